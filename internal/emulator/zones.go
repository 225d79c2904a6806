package emulator

import (
	"slices"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file connects the plan for the loss of a zone to modelled gateways, as internal/gateway connects it to real ones:
// the same code decides.

// observation is what a gateway remembers of an engine besides what its module does.
type observation struct {
	lastAttempt, lastAnswer, lastFault rules.Time
}

// zoneInterval is how often a gateway evaluates the zones.
const zoneInterval = 200 * rules.Millisecond

func (g *gateway) observationOf(id rules.EngineID) *observation {
	o := g.observations[id]
	if o == nil {
		o = &observation{}
		g.observations[id] = o
	}
	return o
}

// startZones gives a gateway that has just started its plan: that of the scenario, a static split, or none.
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
	g.every(zoneInterval, g.updateZones)
}

// engineObservations is what the gateway knows of each engine that serves.
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

// updateZones shows the plan what the gateway knows of its engines, and probes those that the plan names.
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

// admits asks the plan whether to admit a request, and rejects it if not.
func (g *gateway) admits(r *request) bool {
	if g.zones == nil {
		return true
	}
	origin := r.origin
	shed, retryAfter := g.zones.RequestArrived(g.fleet.now, zones.Request{Class: origin.class, DeclaredWork: origin.declaredWork, Retry: origin.tries > 1})
	if origin.tries == 1 {
		g.recordShed(zones.ValueTier(r.class.PriorityWeight, origin.declaredWork), shed)
	}
	if shed {
		g.fleet.Metrics.Shed++
		g.fleet.Metrics.recordFirstTry(r, shedTries)
		g.reject(r, retryAfter)
	}
	return !shed
}

// shedOrder is what a gateway admitted and shed within one second, of first tries, by their value for the declared work.
type shedOrder struct {
	second                      rules.Time
	lowestAdmitted, highestShed int
	anyAdmitted, anyShed        bool
}

// recordShed notes whether a first try of a value tier was shed. When a second has passed it is counted, and as
// misordered if a higher tier was shed than one that was admitted. Neighbouring tiers don't count: one of them may be
// shed in part.
func (g *gateway) recordShed(tier int, shed bool) {
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

// sendProbe sends a health check to an engine; suspected: because other gateways suspect it.
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
			g.zones.ProbeAnswered(e.zone, ok)
		}
		g.handle(rules.ProbeResult{Engine: e.id, Suspected: suspected, Status: status})
	})
}

// staticSplit is a zone plan that never changes: a share stays at home, the rest is spread evenly. It is the baseline
// that plans are compared with.
type staticSplit struct {
	shares []float64 // by zone
}

func newStaticSplit(own, zoneCount int, homeShare float64) *staticSplit {
	s := &staticSplit{shares: make([]float64, max(1, zoneCount))}
	for i := range s.shares {
		if s.shares[i] = 1; i == own && zoneCount > 1 {
			s.shares[i] = homeShare
		} else if zoneCount > 1 {
			s.shares[i] = (1 - homeShare) / float64(zoneCount-1)
		}
	}
	return s
}

// PickZone draws a zone by its share, of those that have not been tried.
func (s *staticSplit) PickZone(_ rules.Time, drawn, _ float64, tried []int) (int, bool) {
	left := slices.Clone(s.shares)
	total := 0.0
	for _, z := range tried {
		left[z] = 0
	}
	for _, share := range left {
		total += share
	}
	drawn *= total
	for i, share := range left {
		if drawn -= share; share > 0 && drawn < 0 {
			return i, true
		}
	}
	return -1, true
}

// Admits admits every request: the split has no limits.
func (s *staticSplit) Admits(rules.Time, int, float64, bool) bool { return true }

// RecordSend does nothing: the split doesn't depend on what was sent.
func (s *staticSplit) RecordSend(rules.Time, int, float64, bool) {}
