package zones

import (
	"math"

	"foxlane/rules"
)

// This file aggregates observations of engines into observations of zones.

// EngineObservation is the gateway's view of an engine that the endpoint list reports as serving.
type EngineObservation struct {
	Engine       rules.EngineID
	Zone         int
	Cores        float64    // capacity when warm
	WarmFraction float64    // current speed as a fraction of its warm speed
	Slowdown     float64    // ratio of the duration of queries to their duration when run alone
	Excluded     bool       // ejected as an outlier, or silent
	Overdue      bool       // an attempt is overdue
	LastRequest  rules.Time // when the gateway last sent it something
	LastResponse rules.Time // when it last sent something
	LastFailure  rules.Time // when an attempt on it last failed
}

// Observation is the gateway's view of a zone.
type Observation struct {
	ListedCores     float64 // of all engines of the zone in the endpoint list, as if warm
	UnansweredCores float64 // estimate for a lost zone: ListedCores times the fraction of unanswered probes
	HealthyCores    float64 // of the engines that are not excluded, as if warm
	WarmCores       float64 // as HealthyCores, with engines that are warming up counted by their current speed
	Slowdown        float64 // ratio of the duration of queries to their duration when run alone; under 1: unknown
	ActiveEngines   int     // engines that were sent something within recentRequestSpan
	SilentEngines   int     // active engines that are excluded and have sent nothing since the last request
}

// unreachable reports whether the zone has more than one active engine and all of them are silent. Then the zone, or
// the network to it, is down, which is a single failure rather than one of each engine.
func (o Observation) unreachable() bool {
	return o.SilentEngines > 1 && o.SilentEngines == o.ActiveEngines
}

// healthyFraction returns the healthy fraction of the listed cores of the zone.
func (o Observation) healthyFraction() float64 {
	if o.ListedCores <= 0 || o.unreachable() {
		return 0
	}
	return min(o.HealthyCores/o.ListedCores, 1)
}

// ObserveResult is what the caller of Observe has to act on.
type ObserveResult struct {
	Changes []Change
	Probe   []rules.EngineID // engines to probe now; the results go to RecordProbe
}

// recentRequestSpan is the time after a request in which an engine counts as active.
const recentRequestSpan = 4 * rules.Second

// Observe takes the observations of all serving engines and the load of this gateway, and updates states, split,
// limits and shedding. If probes are not allowed, a lost zone starts its recovery ramp after the time that probes would
// have taken; if requests fail there, it is lost again with another penalty.
func (c *Controller) Observe(now rules.Time, engines []EngineObservation, load rules.LoadSummary, probesAllowed bool) (result ObserveResult) {
	c.now = max(c.now, now)
	result.Changes = c.updateZones(c.now, c.observations(engines))
	for _, change := range result.Changes {
		if change.From != change.To {
			c.zones[change.Zone].probes = probeState{}
		}
	}
	for i := range c.zones {
		if zone := &c.zones[i]; zone.state == Lost || zone.state == Returning || zone.probes.suspectedSince != 0 {
			if id, ok := c.chooseProbe(i, zone, engines, probesAllowed); ok {
				result.Probe = append(result.Probe, id)
			}
		}
	}
	c.split = c.Split(c.now)
	c.allocateSpillover()
	c.updatePressure(load)
	return result
}

// observations aggregates the observations of engines by zone.
func (c *Controller) observations(engines []EngineObservation) []Observation {
	observations, logSlowdownSums := make([]Observation, len(c.zones)), make([]float64, len(c.zones))
	lastResponse := c.lastResponses(engines)
	overdue := make([]int, len(c.zones))
	for _, engine := range engines {
		if engine.Zone < 0 || engine.Zone >= len(observations) {
			continue // the engine has no zone
		}
		c.countEngine(&observations[engine.Zone], engine)
		if c.now-engine.LastRequest < recentRequestSpan && lastResponse[engine.Zone] < engine.LastRequest &&
			(engine.Overdue || engine.LastFailure > lastResponse[engine.Zone]) {
			overdue[engine.Zone]++
		}
		logSlowdownSums[engine.Zone] += engine.Cores * math.Log(max(engine.Slowdown, 1))
	}
	for i := range observations {
		observation := &observations[i]
		if observation.ListedCores > 0 {
			observation.Slowdown = math.Exp(logSlowdownSums[i] / observation.ListedCores)
		}
		zone := &c.zones[i]
		c.updateSuspicion(zone, overdue[i], lastResponse[i])
		applyProbes(observation, zone)
	}
	return observations
}

// lastResponses returns, by zone, the time of the last response of any engine.
func (c *Controller) lastResponses(engines []EngineObservation) []rules.Time {
	last := make([]rules.Time, len(c.zones))
	for _, engine := range engines {
		if engine.Zone >= 0 && engine.Zone < len(last) {
			last[engine.Zone] = max(last[engine.Zone], engine.LastResponse)
		}
	}
	return last
}

// countEngine adds an engine to the observation of its zone. In a returning zone, an engine that was excluded for
// failures before the recovery counts as healthy until it fails again. Excluded engines get few requests, so a zone in
// which all engines waited for one to succeed would be lost again.
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

// applyProbes overrides an observation by the results of probes: a suspected zone that does not answer them counts as
// silent, and the health of a lost zone is the answered fraction of its last probes.
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
