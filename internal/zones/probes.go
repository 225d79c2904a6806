package zones

import "foxlane/rules"

// This file decides which engines are probed. A lost zone gets no requests, so only probes can detect its recovery.

// probeState holds the results of probes of a zone that is lost or suspected.
type probeState struct {
	nextEngine     int // number of probes; modulo the number of candidates it selects the engine
	lastProbeAt    rules.Time
	answers        [probeWindow]bool // whether the last probes of a lost zone were answered, newest last
	suspectedSince rules.Time        // 0: the zone is not suspected
	unanswered     int               // unanswered probes since suspectedSince
}

const (
	probeWindow          = 4                 // number of last probes that determine the health of a lost zone
	probeInterval        = rules.Second      // between probes of a lost zone, which hundreds of gateways probe as well
	suspectProbeInterval = probeInterval / 4 // between probes of a suspected or returning zone
	unansweredForSilence = 2                 // consecutive unanswered probes that make a suspected zone silent
)

// Suspect starts probing a present or returning zone that other gateways report as lost. Only the results of this
// gateway's probes change its state.
func (c *Controller) Suspect(index int) {
	if index < 0 || index >= len(c.zones) {
		return
	}
	if zone := &c.zones[index]; zone.probes.suspectedSince == 0 && (zone.state == Present || zone.state == Returning) {
		zone.probes.suspectedSince = c.now
	}
}

// RecordProbe records whether a probe of an engine in a zone was answered.
func (c *Controller) RecordProbe(index int, ok bool) {
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

// chooseProbe returns the engine of a zone to probe now, if any. Candidates take turns: in a lost or suspected zone
// they are all engines, in a returning zone those that are still excluded.
func (c *Controller) chooseProbe(index int, zone *zoneRecord, engines []EngineObservation, probesAllowed bool) (id rules.EngineID, ok bool) {
	probes, probeAll := &zone.probes, zone.state == Lost || zone.probes.suspectedSince != 0
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
	if c.now-probes.lastProbeAt < interval {
		return 0, false
	}
	candidates := 0
	for _, engine := range engines {
		if engine.Zone == index && (probeAll || engine.Excluded) {
			candidates++
		}
	}
	if candidates == 0 {
		return 0, false
	}
	probes.lastProbeAt = c.now
	probes.nextEngine++
	skip := probes.nextEngine % candidates
	for _, engine := range engines {
		if engine.Zone == index && (probeAll || engine.Excluded) {
			if skip == 0 {
				return engine.Engine, true
			}
			skip--
		}
	}
	return 0, false
}

// updateSuspicion suspects a zone when more than one of its engines has an overdue or failed request and no engine of
// the zone has responded since. That detects a loss long before the engines are excluded one by one. Any response from
// the zone ends the suspicion.
func (c *Controller) updateSuspicion(zone *zoneRecord, overdue int, lastResponse rules.Time) {
	probes := &zone.probes
	switch {
	case zone.state == Lost || probes.suspectedSince != 0 && lastResponse > probes.suspectedSince:
		probes.suspectedSince, probes.unanswered = 0, 0
	case probes.suspectedSince == 0 && overdue > 1:
		probes.suspectedSince = c.now
	}
}
