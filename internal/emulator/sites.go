package emulator

import (
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file joins the zones to modelled gateways, as internal/gateway joins them to real ones: the same code decides.

// seen is what a gateway remembers of an engine beside what its module does.
type seen struct {
	asked, heard, fault rules.Time
}

const sitesEvery = 200 * rules.Millisecond

func (g *gateway) of(id rules.EngineID) *seen {
	s := g.seen[id]
	if s == nil {
		s = &seen{}
		g.seen[id] = s
	}
	return s
}

func (g *gateway) beginSites() {
	s := &g.f.scene
	switch {
	case s.Static != nil:
		g.tell(rules.ZonePlanChanged{Plan: newStatic(g.zone, s.Zones, *s.Static)})
		return
	case s.Sites == nil:
		return
	}
	g.zones = zones.New(*s.Sites, zones.Fleet{Zones: max(1, s.Zones), OwnZone: g.zone, Gateways: s.Gateways, Jitter: g.f.rng.Float64(),
		Classes: s.Settings.Classes}, g.f.now)
	g.tell(rules.ZonePlanChanged{Plan: g.zones})
	life := g.life
	var look func()
	look = func() {
		if g.up && g.life == life {
			g.look()
			g.f.after(sitesEvery, look)
		}
	}
	g.f.after(rules.Time(g.f.rng.Int64N(int64(sitesEvery))), look)
}

// sights is what is held of each engine that serves.
func (g *gateway) sights() (list []zones.EngineObservation) {
	f := g.f
	for _, b := range g.module.EngineViews() {
		e := f.engine(b.Engine)
		if !g.listed[e.id] {
			continue
		}
		k := g.of(b.Engine)
		list = append(list, zones.EngineObservation{Engine: b.Engine, Zone: e.zone, Cores: f.scene.Engine.Cores, WarmFraction: b.SpeedFraction, Slowdown: b.Slowdown,
			Excluded: b.Ejected, Overdue: b.SlowInFlight > 0, LastRequest: k.asked, LastResponse: k.heard, LastFailure: k.fault})
	}
	return list
}

// look shows the zones what is held of their engines.
func (g *gateway) look() {
	f := g.f
	looked := g.zones.Observe(f.now, g.sights(), g.module.LoadSummary(), f.scene.Settings.Limits.Probes)
	for _, c := range looked.Changes {
		if c.From != c.To {
			f.Books.move(f.now, c)
		}
	}
	for _, id := range looked.Probe {
		g.probe(f.engine(id))
	}
}

// admits asks the zones whether a request is let in.
func (g *gateway) admits(r *request, a *ask) bool {
	if g.zones == nil {
		return true
	}
	refuse, after := g.zones.RequestArrived(g.f.now, zones.Request{Class: a.class, DeclaredWork: a.told, Retry: a.tries > 1})
	if a.tries == 1 {
		g.bookShed(zones.ValueTier(r.class.PriorityWeight, a.told), refuse)
	}
	if refuse {
		g.f.Books.Shed++
		g.f.Books.first(r.at, r.class.PriorityWeight, a, shed)
		g.refuse(r, after)
	}
	return !refuse
}

// letIn is what a gateway let in and shed within one second, of first tries, by what they earn for their told work.
type letIn struct {
	second           rules.Time
	least, most      int // least that was let in, most that was shed
	someIn, someShed bool
}

// bookShed books a second of a gateway in which something was shed that earns more than what was let in: of neighbouring rungs one is
// shed in part.
func (g *gateway) bookShed(rung int, shed bool) {
	l := &g.letIn
	if s := g.f.now / rules.Second; s != l.second {
		if l.someIn && l.someShed {
			g.f.Books.ShedSeconds++
			if l.most > l.least+1 {
				g.f.Books.WrongSeconds++
			}
		}
		*l = letIn{second: s}
	}
	switch {
	case shed && (!l.someShed || rung > l.most):
		l.most = rung
	case !shed && (!l.someIn || rung < l.least):
		l.least = rung
	}
	l.someShed, l.someIn = l.someShed || shed, l.someIn || !shed
}

func (g *gateway) probe(e *engine) { g.probeFor(e, false) }

func (g *gateway) probeFor(e *engine, doubt bool) {
	f, life := g.f, g.life
	f.Books.Probes++
	ok := !e.silent && !e.gone && !e.fallen && !f.cut(g.zone, e.zone) && !f.cut(e.zone, g.zone)
	took := f.way(g, e) * 2
	if !ok {
		took = f.scene.Settings.Limits.ConnectTimeout
	}
	f.after(took, func() {
		if !g.up || g.life != life {
			return
		}
		if ok {
			g.of(e.id).heard = f.now
		}
		if g.zones != nil {
			g.zones.ProbeAnswered(e.zone, ok)
		}
		v := rules.StatusTimeout
		if ok {
			v = rules.StatusOK
		}
		g.tell(rules.ProbeResult{Engine: e.id, Suspected: doubt, Status: v})
	})
}

// static is a split that never changes: a part stays at home, the rest is spread evenly. It is a baseline.
type static struct {
	own   int
	parts []float64
}

func newStatic(own, n int, home float64) *static {
	s := &static{own: own, parts: make([]float64, max(1, n))}
	for i := range s.parts {
		if s.parts[i] = 1; i == own && n > 1 {
			s.parts[i] = home
		} else if n > 1 {
			s.parts[i] = (1 - home) / float64(n-1)
		}
	}
	return s
}

func (s *static) PickZone(_ rules.Time, drawn, _ float64, tried []int) (int, bool) {
	left := append([]float64(nil), s.parts...)
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

func (s *static) Admits(rules.Time, int, float64, bool) bool { return true }
func (s *static) RecordSend(rules.Time, int, float64, bool)  {}
