package zones

import (
	"math"
	"slices"

	"foxlane/rules"
)

// This file plays a loss and a return with the very code that decides at run time, so that plan and conduct can't
// differ: the gateways of each zone are one that sees what all of them would.

// ZoneSpec is a zone as a plan takes it.
type ZoneSpec struct {
	Name   string
	Cores  float64 // of its engines, warm
	Demand float64 // of its own clients, in cores
}

// ClassSpec is a class as a plan takes it.
type ClassSpec struct {
	Name  string
	Part  float64 // of the demand
	Earns float64 // worth for a second of work on one core
}

// Scenario is what a plan plays.
type Scenario struct {
	Zones    []ZoneSpec
	Classes  []ClassSpec
	Lose     []int      // zones that are lost, engines and gateways
	At       rules.Time // when
	Back     rules.Time // when they come back, cold; 0: they don't
	Unlisted rules.Time // after a loss, until their engines leave the list
	Notice   rules.Time // after a loss, until their clients come to the other zones' gateways
	ColdFrom float64    // part of its speed that an engine has at its start
	ColdFor  rules.Time // until it has all
	Length   rules.Time
}

// Moment is one second of a plan.
type Moment struct {
	At    rules.Time
	Zones []ZoneMoment
	Asked float64 // cores
	Left  float64 // of these, refused by the ladder, held by the limits of spill, or over what engines can do
}

// ZoneMoment is one zone in it. Loads are in cores.
type ZoneMoment struct {
	State   State
	Share   float64  // of its ordinary use
	Room    float64  // what its engines can do
	Own     float64  // load of its own gateways that goes there
	Foreign float64  // and of others
	Held    float64  // foreign load over the limit of spill
	Refused []string // classes of which its gateways refuse some
	Shed    float64  // load of its gateways that the ladder refuses
}

const planStep = 100 * rules.Millisecond

// Play returns what would happen, second by second.
func Play(set Settings, sc Scenario) []Moment {
	n := len(sc.Zones)
	gates := make([]*Zones, n)
	for i := range gates {
		gates[i] = New(set, Fleet{Zones: n, Own: i, Gateways: n, Jitter: 0.5}, 0)
	}
	var out []Moment
	for now := rules.Time(1); now <= sc.Length; now += planStep {
		sights := make([]Sight, n)
		for i := range sights {
			sights[i] = sc.sight(i, now)
		}
		m := sc.moment(gates, sights, now)
		if (now-1)%rules.Second == 0 {
			out = append(out, m)
		}
	}
	return out
}

func (sc *Scenario) lost(i int, now rules.Time) bool {
	return slices.Contains(sc.Lose, i) && now >= sc.At && (sc.Back == 0 || now < sc.Back)
}

// sight is what any gateway would see of a zone.
func (sc *Scenario) sight(i int, now rules.Time) Sight {
	cores := sc.Zones[i].Cores
	s := Sight{Listed: cores, Well: cores, Warm: cores, Engines: 2}
	if sc.lost(i, now) {
		if s.Well, s.Warm, s.Silent = 0, 0, s.Engines; now >= sc.At+sc.Unlisted {
			s.Listed = 0
		}
		return s
	}
	if slices.Contains(sc.Lose, i) && sc.Back != 0 && now >= sc.Back && sc.ColdFor > 0 {
		s.Warm *= min(1, sc.ColdFrom+(1-sc.ColdFrom)*float64(now-sc.Back)/float64(sc.ColdFor))
	}
	return s
}

// demand is what the gateways of a zone are asked for: those of a lost zone are gone, and its clients come to the
// others once they have noticed, and go back as gateways do.
func (sc *Scenario) demand(i int, now rules.Time) float64 {
	if sc.lost(i, now) {
		return 0
	}
	strange, here := 0.0, 0.0
	for j, z := range sc.Zones {
		if !sc.lost(j, now) {
			here += z.Demand
		} else if now >= sc.At+sc.Notice {
			strange += z.Demand
		}
	}
	if here <= 0 {
		return 0
	}
	return sc.Zones[i].Demand * (1 + strange/here)
}

func (sc *Scenario) moment(gates []*Zones, sights []Sight, now rules.Time) Moment {
	n := len(gates)
	m := Moment{At: now, Zones: make([]ZoneMoment, n)}
	for j := range gates {
		m.Zones[j].Room = sights[j].Warm
	}
	for i, g := range gates {
		g.see(now, sights)
		g.split = g.Split(now)
		g.allot()
		asked := sc.demand(i, now)
		m.Asked += asked
		zm := &m.Zones[i]
		own := &g.all[i]
		zm.State, zm.Share = own.state, g.share(own)
		g.shedFor(sc, asked)
		for _, c := range sc.Classes {
			if part := g.demand.rungs[int(Cheap)+WorthRung(c.Earns, float64(rules.Second))].part; part > 0 {
				zm.Refused = append(zm.Refused, c.Name)
				zm.Shed += asked * c.Part * part
			}
		}
		for j, part := range g.split.To {
			flow := (asked - zm.Shed) * part
			if j == i {
				zm.Own += flow
				continue
			}
			goes := flow
			if g.limited(j) {
				goes = min(flow, g.all[j].spill.whole/float64(spillSpan))
			}
			m.Zones[j].Foreign += goes
			m.Zones[j].Held += flow - goes
		}
	}
	for j := range m.Zones {
		zm := &m.Zones[j]
		m.Left += zm.Shed + zm.Held + math.Max(0, zm.Own+zm.Foreign-zm.Room)
	}
	return m
}

// shedFor has the ladder shed what is asked for beyond what takes it: that is where pressure brings it at run time, once it has
// settled. In a plan nothing is a repeat, and no tenant is over its share.
func (z *Zones) shedFor(sc *Scenario, asked float64) {
	d := &z.demand
	for i := range d.rungs {
		d.rungs[i].asked = fading{0, z.now}
	}
	for _, c := range sc.Classes {
		d.rungs[int(Cheap)+WorthRung(c.Earns, float64(rules.Second))].asked.add(z.now, asked*c.Part)
	}
	if open := z.open(); !z.set.Shed || asked <= open {
		z.shed(0)
	} else {
		z.shed(1 - open/asked)
	}
}

// open is what takes the load of a zone's gateways, in cores: their zone, and of others what they may spill there.
func (z *Zones) open() (cores float64) {
	for i := range z.all {
		switch room := z.capacity(&z.all[i]); {
		case i == z.own:
			cores += room
		case z.limited(i):
			cores += z.all[i].spill.whole / float64(spillSpan)
		default:
			cores += room * z.split.To[i]
		}
	}
	return cores
}
