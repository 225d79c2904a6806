package zones

import (
	"math"
	"slices"

	"foxlane/rules"
)

// This file simulates the loss and recovery of zones for `foxlane plan`. It runs the controller that decides at run
// time, so the plan can't differ from what the gateways do. One controller represents all gateways of a zone.

// ZoneSpec is a zone of a scenario.
type ZoneSpec struct {
	Name   string
	Cores  float64 // of its engines when warm
	Demand float64 // of its own clients, in cores
}

// ClassSpec is a class of a scenario.
type ClassSpec struct {
	Name               string
	DemandFraction     float64 // fraction of the demand of each zone
	ValuePerCoreSecond float64 // priority weight per core second of work
}

// Scenario is a loss of zones to simulate.
type Scenario struct {
	Zones            []ZoneSpec
	Classes          []ClassSpec
	LostZones        []int // zones that are lost with their engines and gateways
	LostAt           rules.Time
	ReturnAt         rules.Time // when the zones return, with cold engines; 0: never
	UnlistAfter      rules.Time // time from the loss until their engines leave the endpoint list
	ClientsMoveAfter rules.Time // time from the loss until their clients connect to gateways of other zones
	ColdSpeed        float64    // speed of an engine at its start, as a fraction of its warm speed
	WarmupTime       rules.Time // time from the start of an engine until it is warm
	Duration         rules.Time
}

// Sample is the state at one second of a simulation.
type Sample struct {
	At       rules.Time
	Zones    []ZoneSample
	Demand   float64 // cores
	Unserved float64 // cores of the demand that are shed, blocked by spillover limits or beyond the engines' capacity
}

// ZoneSample is the state of one zone in a Sample. Capacity and loads are in cores.
type ZoneSample struct {
	State           State
	LoadShare       float64  // fraction of its normal load that the zone receives
	Capacity        float64  // of its engines
	OwnLoad         float64  // load that its own gateways send to it
	ForeignLoad     float64  // load that gateways of other zones send to it
	BlockedLoad     float64  // load from other zones over the spillover limit
	RejectedClasses []string // classes of which its gateways shed requests
	ShedLoad        float64  // load that its gateways shed
}

const simulationStep = 100 * rules.Millisecond

// Simulate runs a scenario and returns its state at each second.
func Simulate(settings Settings, scenario Scenario) []Sample {
	zoneCount := len(scenario.Zones)
	gateways := make([]*Controller, zoneCount)
	for i := range gateways {
		gateways[i] = New(settings, Fleet{Zones: zoneCount, OwnZone: i, Gateways: zoneCount, Jitter: 0.5}, 0)
	}
	var samples []Sample
	for now := rules.Time(1); now <= scenario.Duration; now += simulationStep {
		observations := make([]Observation, zoneCount)
		for i := range observations {
			observations[i] = scenario.observation(i, now)
		}
		sample := scenario.simulateStep(gateways, observations, now)
		if (now-1)%rules.Second == 0 {
			samples = append(samples, sample)
		}
	}
	return samples
}

func (s *Scenario) isLost(zone int, now rules.Time) bool {
	return slices.Contains(s.LostZones, zone) && now >= s.LostAt && (s.ReturnAt == 0 || now < s.ReturnAt)
}

// observation returns what any gateway would observe of a zone.
func (s *Scenario) observation(zone int, now rules.Time) Observation {
	cores := s.Zones[zone].Cores
	observation := Observation{ListedCores: cores, HealthyCores: cores, WarmCores: cores, ActiveEngines: 2}
	if s.isLost(zone, now) {
		if observation.HealthyCores, observation.WarmCores, observation.SilentEngines = 0, 0, observation.ActiveEngines; now >= s.LostAt+s.UnlistAfter {
			observation.ListedCores = 0
		}
		return observation
	}
	if slices.Contains(s.LostZones, zone) && s.ReturnAt != 0 && now >= s.ReturnAt && s.WarmupTime > 0 {
		observation.WarmCores *= min(1, s.ColdSpeed+(1-s.ColdSpeed)*float64(now-s.ReturnAt)/float64(s.WarmupTime))
	}
	return observation
}

// demand returns the load that arrives at the gateways of a zone, in cores. The clients of a lost zone move to the
// gateways of the other zones ClientsMoveAfter the loss, and move back when their zone returns.
func (s *Scenario) demand(zone int, now rules.Time) float64 {
	if s.isLost(zone, now) {
		return 0
	}
	moved, present := 0.0, 0.0
	for other, spec := range s.Zones {
		if !s.isLost(other, now) {
			present += spec.Demand
		} else if now >= s.LostAt+s.ClientsMoveAfter {
			moved += spec.Demand
		}
	}
	if present <= 0 {
		return 0
	}
	return s.Zones[zone].Demand * (1 + moved/present)
}

func (s *Scenario) simulateStep(gateways []*Controller, observations []Observation, now rules.Time) Sample {
	zoneCount := len(gateways)
	sample := Sample{At: now, Zones: make([]ZoneSample, zoneCount)}
	for j := range gateways {
		sample.Zones[j].Capacity = observations[j].WarmCores
	}
	for i, gateway := range gateways {
		gateway.updateZones(now, observations)
		gateway.split = gateway.Split(now)
		gateway.allocateSpillover()
		demand := s.demand(i, now)
		sample.Demand += demand
		zoneSample := &sample.Zones[i]
		own := &gateway.zones[i]
		zoneSample.State, zoneSample.LoadShare = own.state, gateway.loadShare(own)
		gateway.shedExcess(s, demand)
		for _, class := range s.Classes {
			if shedFraction := gateway.demand.tiers[int(TierLowestValue)+ValueTier(class.ValuePerCoreSecond, float64(rules.Second))].shedFraction; shedFraction > 0 {
				zoneSample.RejectedClasses = append(zoneSample.RejectedClasses, class.Name)
				zoneSample.ShedLoad += demand * class.DemandFraction * shedFraction
			}
		}
		for j, fraction := range gateway.split.Fractions {
			load := (demand - zoneSample.ShedLoad) * fraction
			if j == i {
				zoneSample.OwnLoad += load
				continue
			}
			sent := load
			if gateway.spilloverLimited(j) {
				sent = min(load, gateway.zones[j].spillover.allowance/float64(spilloverWindow))
			}
			sample.Zones[j].ForeignLoad += sent
			sample.Zones[j].BlockedLoad += load - sent
		}
	}
	for j := range sample.Zones {
		zoneSample := &sample.Zones[j]
		sample.Unserved += zoneSample.ShedLoad + zoneSample.BlockedLoad + math.Max(0, zoneSample.OwnLoad+zoneSample.ForeignLoad-zoneSample.Capacity)
	}
	return sample
}

// shedExcess sheds the demand that exceeds the available cores. At run time the shed fraction settles at the same
// value. A simulation has no retries and no tenants over their quota.
func (c *Controller) shedExcess(scenario *Scenario, offered float64) {
	demand := &c.demand
	for i := range demand.tiers {
		demand.tiers[i].work = decayingSum{0, c.now}
	}
	for _, class := range scenario.Classes {
		demand.tiers[int(TierLowestValue)+ValueTier(class.ValuePerCoreSecond, float64(rules.Second))].work.add(c.now, offered*class.DemandFraction)
	}
	if available := c.availableCores(); !c.settings.SheddingEnabled || offered <= available {
		c.distributeShedding(0)
	} else {
		c.distributeShedding(1 - available/offered)
	}
}

// availableCores returns the cores that the gateways of a zone can use: those of the zone, and what they may send to
// other zones.
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
