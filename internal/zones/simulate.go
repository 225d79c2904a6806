package zones

import (
	"math"
	"slices"

	"foxlane/rules"
)

// This file simulates the loss and the recovery of zones with the code that decides at run time, so that `foxlane
// plan` can't differ from it. One controller stands for all gateways of a zone.

// ZoneSpec is a zone of a scenario.
type ZoneSpec struct {
	Name   string
	Cores  float64 // of its engines, warm
	Demand float64 // of its own clients, in cores
}

// ClassSpec is a class of a scenario.
type ClassSpec struct {
	Name               string
	DemandFraction     float64 // of the demand
	ValuePerCoreSecond float64 // priority weight over the seconds of work on one core
}

// Scenario is the loss of zones that Simulate plays.
type Scenario struct {
	Zones            []ZoneSpec
	Classes          []ClassSpec
	LostZones        []int // zones that are lost with their engines and gateways
	LostAt           rules.Time
	ReturnAt         rules.Time // when they come back, cold; 0: never
	UnlistAfter      rules.Time // from the loss until their engines leave the endpoint list
	ClientsMoveAfter rules.Time // from the loss until their clients come to the gateways of other zones
	ColdSpeed        float64    // fraction of its speed that an engine has at its start
	WarmupTime       rules.Time // until it has all
	Duration         rules.Time
}

// Moment is the state in one second of a simulation.
type Moment struct {
	At       rules.Time
	Zones    []ZoneMoment
	Demand   float64 // cores
	Unserved float64 // of these, shed, blocked by spillover limits, or more than the engines can do
}

// ZoneMoment is the state of one zone in it. Loads are in cores.
type ZoneMoment struct {
	State           State
	LoadShare       float64  // fraction of its usual load that it takes
	Capacity        float64  // what its engines can do
	OwnLoad         float64  // load of its own gateways that goes there
	ForeignLoad     float64  // load of other gateways that goes there
	BlockedLoad     float64  // foreign load over the spillover limit
	RejectedClasses []string // classes of which its gateways shed some
	ShedLoad        float64  // load of its gateways that is shed
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

// demand is the load that arrives at the gateways of a zone. The clients of a lost zone come to the others' gateways
// ClientsMoveAfter its loss, and go back when its gateways return.
func (sc *Scenario) demand(i int, now rules.Time) float64 {
	if sc.lost(i, now) {
		return 0
	}
	moved, present := 0.0, 0.0
	for j, z := range sc.Zones {
		if !sc.lost(j, now) {
			present += z.Demand
		} else if now >= sc.LostAt+sc.ClientsMoveAfter {
			moved += z.Demand
		}
	}
	if present <= 0 {
		return 0
	}
	return sc.Zones[i].Demand * (1 + moved/present)
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

// shedExcess sheds the demand that exceeds the cores available to it: that is where the pressure leads at run time,
// once it has settled. A simulation has no retries and no tenants over their quota.
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

// availableCores are the cores that take the load of the gateways of a zone: those of the zone, and what they may
// send to others.
func (c *Controller) availableCores() (cores float64) {
	for i := range c.zones {
		switch capacity := c.capacity(&c.zones[i]); {
		case i == c.ownZone:
			cores += capacity
		case c.spilloverLimited(i):
			cores += c.zones[i].spillover.allowance / float64(spilloverWindow)
		default:
			cores += capacity * c.split.Fractions[i]
		}
	}
	return cores
}
