package zones

import "foxlane/rules"

// This file decides which engines are probed. A lost zone gets no requests, so that only probes can show that it has
// recovered.

// probeState is what probes say: of a lost zone, whose engines are excluded and get no requests; and of a suspected
// one, whether it is still there.
type probeState struct {
	nextEngine     int // counts probes; the engine is that modulo the number of candidates
	lastProbe      rules.Time
	answers        [probeWindow]bool // of the last probes of a lost zone, the newest last
	suspectedSince rules.Time        // since when the zone is suspected; 0: it is not
	unanswered     int               // probes since then without an answer
}

const (
	probeWindow          = 4                 // probes by which a lost zone is judged
	probeInterval        = rules.Second      // between two probes of a lost zone: hundreds of gateways probe it as well
	suspectProbeInterval = probeInterval / 4 // between two probes of a suspected zone
	unansweredForSilence = 2                 // probes in a row without an answer that make a suspected zone silent
)

// Suspect has a zone probed because other gateways say that it is lost. Only what its engines answer counts.
func (c *Controller) Suspect(index int) {
	if index < 0 || index >= len(c.zones) {
		return
	}
	if zone := &c.zones[index]; zone.probes.suspectedSince == 0 && (zone.state == Present || zone.state == Returning) {
		zone.probes.suspectedSince = c.now
	}
}

// ProbeAnswered takes the result of a probe of an engine in a zone.
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

// chooseProbe chooses an engine to probe: of a lost or suspected zone any, one after the other; of a recovering zone
// those that are still excluded.
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

// updateSuspicion suspects a zone when more than one of its engines has an overdue or failed request and no engine
// of it has sent anything since: that shows a loss long before its engines are excluded one by one. Any response
// from the zone ends the suspicion.
func (c *Controller) updateSuspicion(zone *zoneRecord, overdue int, lastResponse rules.Time) {
	probes := &zone.probes
	switch {
	case zone.state == Lost || probes.suspectedSince != 0 && lastResponse > probes.suspectedSince:
		probes.suspectedSince, probes.unanswered = 0, 0
	case probes.suspectedSince == 0 && overdue > 1:
		probes.suspectedSince = c.now
	}
}
