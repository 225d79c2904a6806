package zones

import (
	"math"

	"foxlane/rules"
)

// This file takes what a gateway holds of its engines for what it sees of zones, and decides which engines are asked:
// a lost zone gets nothing by which it could be seen to be well again.

// EngineObservation is what a gateway holds of one engine that the list has as serving.
type EngineObservation struct {
	Engine       rules.EngineID
	Zone         int
	Cores        float64    // warm
	WarmFraction float64    // part of its speed that it has
	Slowdown     float64    // times that queries take there of what they take alone
	Excluded     bool       // it fails or is silent
	Overdue      bool       // something of ours has been out there for longer than it should
	LastRequest  rules.Time // when it was last asked for something
	LastResponse rules.Time // when it last said something
	LastFailure  rules.Time // when an attempt there last ended otherwise than well
}

// probeState is what probes say: of a lost zone, whose engines the module leaves out and hears of no more; and of one in which everything is
// late, whether it is still there.
type probeState struct {
	nextEngine     int // engine to ask, by the order of the list
	lastProbe      rules.Time
	answers        [probeWindow]bool // the newest last
	suspectedSince rules.Time        // since when the zone is doubted; 0: it is not
	unanswered     int               // probes since then without an answer
}

const (
	probeWindow          = 4                 // probes by which a lost zone is judged
	probeInterval        = rules.Second      // between two of them: hundreds of gateways ask as well
	recentRequestSpan    = 4 * rules.Second  // engines that were asked for something within it tell whether a zone is silent
	suspectProbeInterval = probeInterval / 4 // between two probes of a zone that is doubted
	unansweredForSilence = 2                 // probes in a row without an answer that make it silent
)

// ObserveResult is what a look led to.
type ObserveResult struct {
	Changes []Change
	Probe   []rules.EngineID // engines to be probed now; Answered takes what comes of it
}

// Observe takes what a gateway holds of all engines that serve, and where it stands itself. Without probes a lost zone is
// tried after as long as they would have taken, on its ramp: what fails there makes it lost again, and damped.
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

// Suspect has a zone looked at because others say that it is lost. What its engines answer us counts, and nothing else.
func (c *Controller) Suspect(index int) {
	if index < 0 || index >= len(c.zones) {
		return
	}
	if zone := &c.zones[index]; zone.probes.suspectedSince == 0 && (zone.state == Present || zone.state == Returning) {
		zone.probes.suspectedSince = c.now
	}
}

// ProbeAnswered takes what a probe of an engine in a zone said.
func (c *Controller) ProbeAnswered(index int, ok bool) {
	if index < 0 || index >= len(c.zones) {
		return
	}
	probes := &c.zones[index].probes
	switch {
	case c.zones[index].state == Lost:
		copy(probes.answers[:], probes.answers[1:])
		probes.answers[probeWindow-1] = ok
	case probes.suspectedSince != 0 && ok:
		probes.suspectedSince, probes.unanswered = 0, 0
	case probes.suspectedSince != 0:
		probes.unanswered++
	}
}

// chooseProbe chooses the engine of a lost zone that is asked whether it is there again, one after the other, and of one that
// returns, more often, those that the module still leaves out: it hears of what they say. In a zone that is doubted any is asked.
func (c *Controller) chooseProbe(index int, zone *zoneRecord, engines []EngineObservation, probesAllowed bool) (id rules.EngineID, ok bool) {
	probes, all := &zone.probes, zone.state == Lost || zone.probes.suspectedSince != 0
	interval := probeInterval
	if zone.state != Lost {
		interval = suspectProbeInterval
	}
	if !probesAllowed {
		for i := range probes.answers {
			probes.answers[i] = c.now-zone.since >= probeWindow*probeInterval
		}
		return 0, false
	}
	if c.now-probes.lastProbe < interval {
		return 0, false
	}
	candidates := 0
	for _, engine := range engines {
		if engine.Zone == index && (all || engine.Excluded) {
			candidates++
		}
	}
	if candidates == 0 {
		return 0, false
	}
	probes.lastProbe = c.now
	probes.nextEngine++
	n := probes.nextEngine % candidates
	for _, engine := range engines {
		if engine.Zone == index && (all || engine.Excluded) {
			if n == 0 {
				return engine.Engine, true
			}
			n--
		}
	}
	return 0, false
}

// observations adds up what is held of all engines. Those of no zone are let pass. What is left out for faults from before a
// return is well until it faults again: the module hears that by its trickle, and a zone whose engines all wait for
// theirs is not lost once more.
func (c *Controller) observations(engines []EngineObservation) []Observation {
	out, logSlowdown := make([]Observation, len(c.zones)), make([]float64, len(c.zones))
	lastResponse := make([]rules.Time, len(c.zones)) // the last word of any engine there
	for _, engine := range engines {
		if engine.Zone >= 0 && engine.Zone < len(out) {
			lastResponse[engine.Zone] = max(lastResponse[engine.Zone], engine.LastResponse)
		}
	}
	overdue := make([]int, len(c.zones))
	for _, engine := range engines {
		if engine.Zone < 0 || engine.Zone >= len(out) {
			continue
		}
		observation, zone := &out[engine.Zone], &c.zones[engine.Zone]
		excluded := engine.Excluded && !(zone.state == Returning && engine.LastFailure < zone.since)
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
			if lastResponse[engine.Zone] < engine.LastRequest && (engine.Overdue || engine.LastFailure > lastResponse[engine.Zone]) {
				overdue[engine.Zone]++
			}
		}
		logSlowdown[engine.Zone] += engine.Cores * math.Log(max(engine.Slowdown, 1))
	}
	for i := range out {
		observation := &out[i]
		if observation.ListedCores > 0 {
			observation.Slowdown = math.Exp(logSlowdown[i] / observation.ListedCores)
		}
		zone := &c.zones[i]
		if c.updateSuspicion(zone, overdue[i], lastResponse[i]); zone.probes.unanswered >= unansweredForSilence {
			observation.ActiveEngines = max(observation.ActiveEngines, 2)
			observation.SilentEngines = observation.ActiveEngines
		}
		if zone.state == Lost {
			good := 0
			for _, ok := range zone.probes.answers {
				if ok {
					good++
				}
			}
			observation.HealthyCores = observation.ListedCores * float64(good) / probeWindow
			observation.WarmCores, observation.SilentEngines, observation.UnansweredCores = observation.HealthyCores, 0, observation.ListedCores-observation.HealthyCores
		}
	}
	return out
}

// updateSuspicion begins when more than one engine of a zone owes us something that is late, or has ended badly, and none has said anything
// since it was asked: a loss is seen by it long before what is there is given up. It ends with a word from any of them.
func (c *Controller) updateSuspicion(zone *zoneRecord, overdue int, lastResponse rules.Time) {
	probes := &zone.probes
	switch {
	case zone.state == Lost || probes.suspectedSince != 0 && lastResponse > probes.suspectedSince:
		probes.suspectedSince, probes.unanswered = 0, 0
	case probes.suspectedSince == 0 && overdue > 1:
		probes.suspectedSince = c.now
	}
}
