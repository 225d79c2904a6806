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
	Name               string
	DemandFraction     float64 // of the demand
	ValuePerCoreSecond float64 // worth for a second of work on one core
}

// Scenario is what a plan plays.
type Scenario struct {
	Zones            []ZoneSpec
	Classes          []ClassSpec
	LostZones        []int      // zones that are lost, engines and gateways
	LostAt           rules.Time // when
	ReturnAt         rules.Time // when they come back, cold; 0: they don't
	UnlistAfter      rules.Time // after a loss, until their engines leave the list
	ClientsMoveAfter rules.Time // after a loss, until their clients come to the other zones' gateways
	ColdSpeed        float64    // part of its speed that an engine has at its start
	WarmupTime       rules.Time // until it has all
	Duration         rules.Time
}

// Moment is one second of a plan.
type Moment struct {
	At       rules.Time
	Zones    []ZoneMoment
	Demand   float64 // cores
	Unserved float64 // of these, refused by the ladder, held by the limits of spill, or over what engines can do
}

// ZoneMoment is one zone in it. Loads are in cores.
type ZoneMoment struct {
	State           State
	LoadShare       float64  // of its ordinary use
	Capacity        float64  // what its engines can do
	OwnLoad         float64  // load of its own gateways that goes there
	ForeignLoad     float64  // and of others
	BlockedLoad     float64  // foreign load over the limit of spill
	RejectedClasses []string // classes of which its gateways refuse some
	ShedLoad        float64  // load of its gateways that the ladder refuses
}

const simulationStep = 100 * rules.Millisecond

// Simulate returns what would happen, second by second.
func Simulate(set Settings, sc Scenario) []Moment {
	n := len(sc.Zones)
	gateways := make([]*Controller, n)
	for i := range gateways {
		gateways[i] = New(set, Fleet{Zones: n, OwnZone: i, Gateways: n, Jitter: 0.5}, 0)
	}
	var out []Moment
	for now := rules.Time(1); now <= sc.Duration; now += simulationStep {
		observations := make([]Observation, n)
		for i := range observations {
			observations[i] = sc.observation(i, now)
		}
		m := sc.simulateStep(gateways, observations, now)
		if (now-1)%rules.Second == 0 {
			out = append(out, m)
		}
	}
	return out
}

func (sc *Scenario) lost(i int, now rules.Time) bool {
	return slices.Contains(sc.LostZones, i) && now >= sc.LostAt && (sc.ReturnAt == 0 || now < sc.ReturnAt)
}

// observation is what any gateway would see of a zone.
func (sc *Scenario) observation(i int, now rules.Time) Observation {
	cores := sc.Zones[i].Cores
	observation := Observation{ListedCores: cores, HealthyCores: cores, WarmCores: cores, ActiveEngines: 2}
	if sc.lost(i, now) {
		if observation.HealthyCores, observation.WarmCores, observation.SilentEngines = 0, 0, observation.ActiveEngines; now >= sc.LostAt+sc.UnlistAfter {
			observation.ListedCores = 0
		}
		return observation
	}
	if slices.Contains(sc.LostZones, i) && sc.ReturnAt != 0 && now >= sc.ReturnAt && sc.WarmupTime > 0 {
		observation.WarmCores *= min(1, sc.ColdSpeed+(1-sc.ColdSpeed)*float64(now-sc.ReturnAt)/float64(sc.WarmupTime))
	}
	return observation
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
		} else if now >= sc.LostAt+sc.ClientsMoveAfter {
			strange += z.Demand
		}
	}
	if here <= 0 {
		return 0
	}
	return sc.Zones[i].Demand * (1 + strange/here)
}

func (sc *Scenario) simulateStep(gateways []*Controller, observations []Observation, now rules.Time) Moment {
	n := len(gateways)
	m := Moment{At: now, Zones: make([]ZoneMoment, n)}
	for j := range gateways {
		m.Zones[j].Capacity = observations[j].WarmCores
	}
	for i, gateway := range gateways {
		gateway.updateZones(now, observations)
		gateway.split = gateway.Split(now)
		gateway.allocateSpillover()
		asked := sc.demand(i, now)
		m.Demand += asked
		moment := &m.Zones[i]
		own := &gateway.zones[i]
		moment.State, moment.LoadShare = own.state, gateway.loadShare(own)
		gateway.shedExcess(sc, asked)
		for _, class := range sc.Classes {
			if part := gateway.demand.tiers[int(TierLowestValue)+ValueTier(class.ValuePerCoreSecond, float64(rules.Second))].shedFraction; part > 0 {
				moment.RejectedClasses = append(moment.RejectedClasses, class.Name)
				moment.ShedLoad += asked * class.DemandFraction * part
			}
		}
		for j, part := range gateway.split.Fractions {
			flow := (asked - moment.ShedLoad) * part
			if j == i {
				moment.OwnLoad += flow
				continue
			}
			goes := flow
			if gateway.spilloverLimited(j) {
				goes = min(flow, gateway.zones[j].spillover.allowance/float64(spilloverWindow))
			}
			m.Zones[j].ForeignLoad += goes
			m.Zones[j].BlockedLoad += flow - goes
		}
	}
	for j := range m.Zones {
		moment := &m.Zones[j]
		m.Unserved += moment.ShedLoad + moment.BlockedLoad + math.Max(0, moment.OwnLoad+moment.ForeignLoad-moment.Capacity)
	}
	return m
}

// shedExcess has the ladder shed what is asked for beyond what takes it: that is where pressure brings it at run time, once it has
// settled. In a plan nothing is a repeat, and no tenant is over its share.
func (c *Controller) shedExcess(sc *Scenario, asked float64) {
	demand := &c.demand
	for i := range demand.tiers {
		demand.tiers[i].work = decayingSum{0, c.now}
	}
	for _, class := range sc.Classes {
		demand.tiers[int(TierLowestValue)+ValueTier(class.ValuePerCoreSecond, float64(rules.Second))].work.add(c.now, asked*class.DemandFraction)
	}
	if open := c.availableCores(); !c.settings.SheddingEnabled || asked <= open {
		c.distributeShedding(0)
	} else {
		c.distributeShedding(1 - open/asked)
	}
}

// availableCores is what takes the load of a zone's gateways, in cores: their zone, and of others what they may spill there.
func (c *Controller) availableCores() (cores float64) {
	for i := range c.zones {
		switch room := c.capacity(&c.zones[i]); {
		case i == c.ownZone:
			cores += room
		case c.spilloverLimited(i):
			cores += c.zones[i].spillover.allowance / float64(spilloverWindow)
		default:
			cores += room * c.split.Fractions[i]
		}
	}
	return cores
}
