package zones

import (
	"math"

	"foxlane/rules"
)

// This file turns what a gateway knows of its engines into what it sees of zones.

// EngineObservation is what a gateway knows of an engine that the endpoint list has as serving.
type EngineObservation struct {
	Engine       rules.EngineID
	Zone         int
	Cores        float64    // when warm
	WarmFraction float64    // fraction of its speed that it has
	Slowdown     float64    // time that queries take there over the time that they take alone
	Excluded     bool       // it is ejected as an outlier or sends nothing
	Overdue      bool       // an attempt there has taken longer than it should
	LastRequest  rules.Time // when it was last sent something
	LastResponse rules.Time // when it last sent something
	LastFailure  rules.Time // when an attempt there last failed
}

// Observation is what a gateway sees of a zone.
type Observation struct {
	ListedCores     float64 // of all engines of the endpoint list there, as if warm; 0: none
	UnansweredCores float64 // of these, in a lost zone, by the fraction of probes without an answer
	HealthyCores    float64 // of engines that are serving and not excluded, as if warm
	WarmCores       float64 // the same, engines that are warming up counted by their speed now
	Slowdown        float64 // time that queries take there over the time that they take alone; under 1: not known
	ActiveEngines   int
	SilentEngines   int // active engines that are excluded and have sent nothing since the last request
}

// unreachable reports whether all active engines of a zone are silent, and these are more than one: the zone, or the
// network to it, is down. That is one failure, and not one of each engine.
func (s Observation) unreachable() bool {
	return s.SilentEngines > 1 && s.SilentEngines == s.ActiveEngines
}

// healthyFraction is the fraction of a zone that is healthy.
func (s Observation) healthyFraction() float64 {
	if s.ListedCores <= 0 || s.unreachable() {
		return 0
	}
	return min(s.HealthyCores/s.ListedCores, 1)
}

// ObserveResult is what an observation led to.
type ObserveResult struct {
	Changes []Change
	Probe   []rules.EngineID // engines to be probed now; ProbeAnswered takes the results
}

// recentRequestSpan is how recently an engine must have been sent something to count as active.
const recentRequestSpan = 4 * rules.Second

// Observe takes what a gateway knows of all serving engines, and of its own load. Where probes are not allowed, a
// lost zone begins its recovery ramp after the time that probes would have taken: if requests fail there it is lost
// again, with one more penalty.
func (c *Controller) Observe(now rules.Time, engines []EngineObservation, standing rules.LoadSummary, probesAllowed bool) (out ObserveResult) {
	c.now = max(c.now, now)
	out.Changes = c.updateZones(c.now, c.observations(engines))
	for _, change := range out.Changes {
		if change.From != change.To {
			c.zones[change.Zone].probes = probeState{}
		}
	}
	for i := range c.zones {
		if zone := &c.zones[i]; zone.state == Lost || zone.state == Returning || zone.probes.suspectedSince != 0 {
			if id, ok := c.chooseProbe(i, zone, engines, probesAllowed); ok {
				out.Probe = append(out.Probe, id)
			}
		}
	}
	c.split = c.Split(c.now)
	c.allocateSpillover()
	c.updatePressure(standing)
	return out
}

// observations adds up what is known of the engines of each zone.
func (c *Controller) observations(engines []EngineObservation) []Observation {
	out, logSlowdown := make([]Observation, len(c.zones)), make([]float64, len(c.zones))
	lastResponse := c.lastResponses(engines)
	overdue := make([]int, len(c.zones))
	for _, engine := range engines {
		if engine.Zone < 0 || engine.Zone >= len(out) {
			continue // of no zone
		}
		c.countEngine(&out[engine.Zone], engine)
		if c.now-engine.LastRequest < recentRequestSpan && lastResponse[engine.Zone] < engine.LastRequest &&
			(engine.Overdue || engine.LastFailure > lastResponse[engine.Zone]) {
			overdue[engine.Zone]++
		}
		logSlowdown[engine.Zone] += engine.Cores * math.Log(max(engine.Slowdown, 1))
	}
	for i := range out {
		observation := &out[i]
		if observation.ListedCores > 0 {
			observation.Slowdown = math.Exp(logSlowdown[i] / observation.ListedCores)
		}
		zone := &c.zones[i]
		c.updateSuspicion(zone, overdue[i], lastResponse[i])
		applyProbes(observation, zone)
	}
	return out
}

// lastResponses returns, by zone, when any engine last sent something.
func (c *Controller) lastResponses(engines []EngineObservation) []rules.Time {
	last := make([]rules.Time, len(c.zones))
	for _, engine := range engines {
		if engine.Zone >= 0 && engine.Zone < len(last) {
			last[engine.Zone] = max(last[engine.Zone], engine.LastResponse)
		}
	}
	return last
}

// countEngine adds an engine to the observation of its zone. An engine that is excluded for failures from before the
// recovery of its zone counts as healthy until it fails again: requests reach excluded engines seldom, and a zone
// whose engines all wait for one would be lost again.
func (c *Controller) countEngine(observation *Observation, engine EngineObservation) {
	zone := &c.zones[engine.Zone]
	excluded := engine.Excluded && (zone.state != Returning || engine.LastFailure >= zone.since)
	observation.ListedCores += engine.Cores
	if !excluded {
		observation.HealthyCores += engine.Cores
		observation.WarmCores += engine.Cores * engine.WarmFraction
	}
	if c.now-engine.LastRequest < recentRequestSpan {
		observation.ActiveEngines++
		if excluded && engine.LastResponse < engine.LastRequest {
			observation.SilentEngines++
		}
	}
}

// applyProbes overrides an observation by what probes say: a suspected zone that does not answer them is silent, and
// a lost zone is as healthy as its last probes.
func applyProbes(observation *Observation, zone *zoneRecord) {
	if zone.probes.unanswered >= unansweredForSilence {
		observation.ActiveEngines = max(observation.ActiveEngines, 2)
		observation.SilentEngines = observation.ActiveEngines
	}
	if zone.state != Lost {
		return
	}
	answered := 0
	for _, ok := range zone.probes.answers {
		if ok {
			answered++
		}
	}
	observation.HealthyCores = observation.ListedCores * float64(answered) / probeWindow
	observation.WarmCores = observation.HealthyCores
	observation.SilentEngines = 0
	observation.UnansweredCores = observation.ListedCores - observation.HealthyCores
}
