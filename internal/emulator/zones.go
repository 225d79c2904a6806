package emulator

import (
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file joins the zones to modelled gateways, as internal/gateway joins them to real ones: the same code decides.

// observation is what a gateway remembers of an engine beside what its module does.
type observation struct {
	lastAttempt, lastAnswer, lastFault rules.Time
}

const zoneInterval = 200 * rules.Millisecond

func (g *gateway) observationOf(id rules.EngineID) *observation {
	s := g.observations[id]
	if s == nil {
		s = &observation{}
		g.observations[id] = s
	}
	return s
}

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
	life := g.incarnation
	var look func()
	look = func() {
		if g.up && g.incarnation == life {
			g.updateZones()
			g.fleet.after(zoneInterval, look)
		}
	}
	g.fleet.after(rules.Time(g.fleet.rng.Int64N(int64(zoneInterval))), look)
}

// engineObservations is what is held of each engine that serves.
func (g *gateway) engineObservations() (list []zones.EngineObservation) {
	f := g.fleet
	for _, b := range g.module.EngineViews() {
		e := f.engineByID(b.Engine)
		if !g.serving[e.id] {
			continue
		}
		k := g.observationOf(b.Engine)
		list = append(list, zones.EngineObservation{Engine: b.Engine, Zone: e.zone, Cores: f.scenario.Engine.Cores, WarmFraction: b.SpeedFraction, Slowdown: b.Slowdown,
			Excluded: b.Ejected, Overdue: b.SlowInFlight > 0, LastRequest: k.lastAttempt, LastResponse: k.lastAnswer, LastFailure: k.lastFault})
	}
	return list
}

// updateZones shows the zones what is held of their engines.
func (g *gateway) updateZones() {
	f := g.fleet
	looked := g.zones.Observe(f.now, g.engineObservations(), g.module.LoadSummary(), f.scenario.Settings.Limits.Probes)
	for _, c := range looked.Changes {
		if c.From != c.To {
			f.Metrics.recordTransition(f.now, c)
		}
	}
	for _, id := range looked.Probe {
		g.probe(f.engineByID(id))
	}
}

// admits asks the zones whether a request is let in.
func (g *gateway) admits(r *request, a *clientRequest) bool {
	if g.zones == nil {
		return true
	}
	refuse, after := g.zones.RequestArrived(g.fleet.now, zones.Request{Class: a.class, DeclaredWork: a.declaredWork, Retry: a.tries > 1})
	if a.tries == 1 {
		g.recordShed(zones.ValueTier(r.class.PriorityWeight, a.declaredWork), refuse)
	}
	if refuse {
		g.fleet.Metrics.Shed++
		g.fleet.Metrics.recordFirstTry(r.arrivedAt, r.class.PriorityWeight, a, shedTries)
		g.reject(r, after)
	}
	return !refuse
}

// shedOrder is what a gateway let in and shed within one second, of first tries, by what they earn for their told work.
type shedOrder struct {
	second                      rules.Time
	lowestAdmitted, highestShed int // least that was let in, most that was shed
	anyAdmitted, anyShed        bool
}

// recordShed books a second of a gateway in which something was shed that earns more than what was let in: of neighbouring rungs one is
// shed in part.
func (g *gateway) recordShed(rung int, shed bool) {
	l := &g.shedOrder
	if s := g.fleet.now / rules.Second; s != l.second {
		if l.anyAdmitted && l.anyShed {
			g.fleet.Metrics.SheddingSeconds++
			if l.highestShed > l.lowestAdmitted+1 {
				g.fleet.Metrics.MisorderedSeconds++
			}
		}
		*l = shedOrder{second: s}
	}
	switch {
	case shed && (!l.anyShed || rung > l.highestShed):
		l.highestShed = rung
	case !shed && (!l.anyAdmitted || rung < l.lowestAdmitted):
		l.lowestAdmitted = rung
	}
	l.anyShed, l.anyAdmitted = l.anyShed || shed, l.anyAdmitted || !shed
}

func (g *gateway) probe(e *engine) { g.sendProbe(e, false) }

func (g *gateway) sendProbe(e *engine, doubt bool) {
	f, life := g.fleet, g.incarnation
	f.Metrics.Probes++
	ok := !e.silent && !e.stopped && !e.collapsed && !f.isCut(g.zone, e.zone) && !f.isCut(e.zone, g.zone)
	took := f.delay(g, e) * 2
	if !ok {
		took = f.scenario.Settings.Limits.ConnectTimeout
	}
	f.after(took, func() {
		if !g.up || g.incarnation != life {
			return
		}
		if ok {
			g.observationOf(e.id).lastAnswer = f.now
		}
		if g.zones != nil {
			g.zones.ProbeAnswered(e.zone, ok)
		}
		v := rules.StatusTimeout
		if ok {
			v = rules.StatusOK
		}
		g.handle(rules.ProbeResult{Engine: e.id, Suspected: doubt, Status: v})
	})
}

// staticSplit is a split that never changes: a part stays at home, the rest is spread evenly. It is a baseline.
type staticSplit struct {
	own    int
	shares []float64
}

func newStaticSplit(own, n int, home float64) *staticSplit {
	s := &staticSplit{own: own, shares: make([]float64, max(1, n))}
	for i := range s.shares {
		if s.shares[i] = 1; i == own && n > 1 {
			s.shares[i] = home
		} else if n > 1 {
			s.shares[i] = (1 - home) / float64(n-1)
		}
	}
	return s
}

func (s *staticSplit) PickZone(_ rules.Time, drawn, _ float64, tried []int) (int, bool) {
	left := append([]float64(nil), s.shares...)
	total := 0.0
	for _, z := range tried {
		left[z] = 0
	}
	for _, p := range left {
		total += p
	}
	drawn *= total
	for i, p := range left {
		if drawn -= p; p > 0 && drawn < 0 {
			return i, true
		}
	}
	return -1, true
}

func (s *staticSplit) Admits(rules.Time, int, float64, bool) bool { return true }
func (s *staticSplit) RecordSend(rules.Time, int, float64, bool)  {}
