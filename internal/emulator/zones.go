package emulator

import (
	"slices"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file connects the zone controller to modelled gateways, with the same decision code as internal/gateway uses.

// observation holds what a gateway records about an engine outside of its module.
type observation struct {
	lastAttempt, lastAnswer, lastFault rules.Time
}

// zoneEvaluationInterval is the interval at which a gateway evaluates the states of the zones.
const zoneEvaluationInterval = 200 * rules.Millisecond

// observationOf returns the observation of an engine, which it creates if there is none.
func (g *gateway) observationOf(id rules.EngineID) *observation {
	o := g.observations[id]
	if o == nil {
		o = &observation{}
		g.observations[id] = o
	}
	return o
}

// startZones sets the zone plan of a gateway that has just started: a static split, a zone controller, or none.
func (g *gateway) startZones() {
	s := &g.fleet.scenario
	switch {
	case s.StaticHomeShare != nil:
		g.handle(rules.ZonePlanChanged{Plan: newStaticSplit(g.zone, s.Zones, *s.StaticHomeShare)})
		return
	case s.ZoneFailover == nil:
		return
	}
	g.zones = zones.New(*s.ZoneFailover, zones.Fleet{Zones: max(1, s.Zones), OwnZone: g.zone, Gateways: s.Gateways, Jitter: g.fleet.rng.Float64(),
		Classes: s.Settings.Classes}, g.fleet.now)
	g.handle(rules.ZonePlanChanged{Plan: g.zones})
	g.every(zoneEvaluationInterval, g.updateZones)
}

// engineObservations returns the gateway's observation of each serving engine.
func (g *gateway) engineObservations() (list []zones.EngineObservation) {
	f := g.fleet
	for _, view := range g.module.EngineViews() {
		e := f.engineByID(view.Engine)
		if !g.serving[e.id] {
			continue
		}
		o := g.observationOf(view.Engine)
		list = append(list, zones.EngineObservation{Engine: view.Engine, Zone: e.zone, Cores: f.scenario.Engine.Cores, WarmFraction: view.SpeedFraction,
			Slowdown: view.Slowdown, Excluded: view.Ejected, Overdue: view.SlowInFlight > 0,
			LastRequest: o.lastAttempt, LastResponse: o.lastAnswer, LastFailure: o.lastFault})
	}
	return list
}

// updateZones passes the engine observations to the zone controller, and probes the engines that it names.
func (g *gateway) updateZones() {
	f := g.fleet
	observed := g.zones.Observe(f.now, g.engineObservations(), g.module.LoadSummary(), f.scenario.Settings.Limits.Probes)
	for _, c := range observed.Changes {
		if c.From != c.To {
			f.Metrics.recordTransition(f.now, c)
		}
	}
	for _, id := range observed.Probe {
		g.sendProbe(f.engineByID(id), false)
	}
}

// admits reports whether the zone controller admits a request. If not, it rejects the request.
func (g *gateway) admits(r *request) bool {
	if g.zones == nil {
		return true
	}
	origin := r.origin
	shed, retryAfter := g.zones.RequestArrived(g.fleet.now, zones.Request{Class: origin.class, DeclaredWork: origin.declaredWork, Retry: origin.tries > 1})
	if origin.tries == 1 {
		g.recordSheddingDecision(zones.ValueTier(r.class.PriorityWeight, origin.declaredWork), shed)
	}
	if shed {
		g.fleet.Metrics.Shed++
		g.fleet.Metrics.recordFirstTry(r, shedTries)
		g.reject(r, retryAfter)
	}
	return !shed
}

// shedOrder holds the lowest value tier that a gateway admitted and the highest that it shed within one second, of
// first tries.
type shedOrder struct {
	second                      rules.Time
	lowestAdmitted, highestShed int
	anyAdmitted, anyShed        bool
}

// recordSheddingDecision records whether a first try of a value tier was shed. At the end of a second it counts that
// second if it has both admitted and shed tries, and as misordered if a tier higher than an admitted one was shed.
// Neighbouring tiers are not misordered, because one of them may be shed in part.
func (g *gateway) recordSheddingDecision(tier int, shed bool) {
	o := &g.shedOrder
	if s := g.fleet.now / rules.Second; s != o.second {
		if o.anyAdmitted && o.anyShed {
			g.fleet.Metrics.SheddingSeconds++
			if o.highestShed > o.lowestAdmitted+1 {
				g.fleet.Metrics.MisorderedSeconds++
			}
		}
		*o = shedOrder{second: s}
	}
	switch {
	case shed && (!o.anyShed || tier > o.highestShed):
		o.highestShed = tier
	case !shed && (!o.anyAdmitted || tier < o.lowestAdmitted):
		o.lowestAdmitted = tier
	}
	o.anyShed, o.anyAdmitted = o.anyShed || shed, o.anyAdmitted || !shed
}

// sendProbe sends a health check to an engine. Suspected marks a probe caused by a suspicion of other gateways.
func (g *gateway) sendProbe(e *engine, suspected bool) {
	f := g.fleet
	f.Metrics.Probes++
	ok := !e.silent && !e.stopped && !e.collapsed && !f.isCut(g.zone, e.zone) && !f.isCut(e.zone, g.zone)
	latency := f.delay(g, e) * 2
	status := rules.StatusOK
	if !ok {
		latency = f.scenario.Settings.Limits.ConnectTimeout
		status = rules.StatusTimeout
	}
	g.after(latency, func() {
		if ok {
			g.observationOf(e.id).lastAnswer = f.now
		}
		if g.zones != nil {
			g.zones.RecordProbe(e.zone, ok)
		}
		g.handle(rules.ProbeResult{Engine: e.id, Suspected: suspected, Status: status})
	})
}

// staticSplit is a constant zone plan: a fixed share of the requests stays in the gateway's own zone, and the rest is
// spread evenly over the others. It is the baseline for comparisons of zone failover.
type staticSplit struct {
	shares []float64 // by zone
}

func newStaticSplit(ownZone, zoneCount int, homeShare float64) *staticSplit {
	s := &staticSplit{shares: make([]float64, max(1, zoneCount))}
	for i := range s.shares {
		if s.shares[i] = 1; i == ownZone && zoneCount > 1 {
			s.shares[i] = homeShare
		} else if zoneCount > 1 {
			s.shares[i] = (1 - homeShare) / float64(zoneCount-1)
		}
	}
	return s
}

// PickZone draws one of the zones that have not been tried, weighted by share. It returns -1 if none is left.
func (s *staticSplit) PickZone(_ rules.Time, drawn, _ float64, tried []int) (int, bool) {
	remaining := slices.Clone(s.shares)
	total := 0.0
	for _, z := range tried {
		remaining[z] = 0
	}
	for _, share := range remaining {
		total += share
	}
	drawn *= total
	for i, share := range remaining {
		if drawn -= share; share > 0 && drawn < 0 {
			return i, true
		}
	}
	return -1, true
}

// Admits returns true: the split has no limits.
func (s *staticSplit) Admits(rules.Time, int, float64, bool) bool { return true }

// RecordSend does nothing: the split does not depend on the requests sent.
func (s *staticSplit) RecordSend(rules.Time, int, float64, bool) {}
