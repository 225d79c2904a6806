package gateway

import (
	"math"
	"math/rand/v2"
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file shows the zones what the module and the sockets hold of their engines, hands them to the module as its plan,
// asks them ahead of it, and logs what becomes of them. It decides nothing; without the operator's block `sites` it does
// nothing.

// sites are the zones of the gateway. The last one holds the engines of zones that the configuration does not name.
type sites struct {
	zones  *zones.Zones
	names  []string
	drains []int
	last   zones.Counts // at the last line of the log
}

// newSites returns the zones that the operator has set, or nil.
func newSites(cfg *config.Config, rng *rand.Rand, now rules.Time) *sites {
	if cfg.Site == nil || cfg.Site.Sites == nil || len(cfg.Settings.ZoneNames) == 0 {
		return nil
	}
	set, drained := cfg.Site.Sites.Resolve(cfg.Settings.ZoneNames)
	r := &cfg.Settings.Rules
	s := &sites{names: append(slices.Clone(cfg.Settings.ZoneNames), "elsewhere")}
	s.zones = zones.New(set, zones.Fleet{Zones: len(s.names), Elsewhere: true, Own: r.Zone, Gateways: r.Gateways, Jitter: rng.Float64(),
		Classes: r.Classes, Tenants: r.Tenants}, now)
	s.drain(drained, now)
	return s
}

// drain begins the drains that the file asks for, and ends the others.
func (s *sites) drain(drained []int, now rules.Time) {
	for _, z := range s.drains {
		if !slices.Contains(drained, z) {
			s.zones.DrainZone(now, z, false)
		}
	}
	for _, z := range drained {
		if !slices.Contains(s.drains, z) {
			s.zones.DrainZone(now, z, true)
		}
	}
	s.drains = drained
}

// planZones hands the zones to the module.
func (g *Gateway) planZones() {
	if g.sites == nil {
		g.tell(rules.ZonePlanChanged{})
		return
	}
	g.tell(rules.ZonePlanChanged{Plan: g.sites.zones})
}

// retuneSites goes over to what the operator's file says now; the block may come and go.
func (g *Gateway) retuneSites() {
	on := g.cfg.Site != nil && g.cfg.Site.Sites != nil
	switch {
	case !on && g.sites != nil:
		g.sites = nil
		g.planZones()
	case on && g.sites == nil:
		if g.sites = newSites(&g.cfg, g.rng, g.now); g.sites != nil {
			g.planZones()
		}
	}
	g.retuneZones()
}

// retuneZones goes over to what the operator's file and the directives say now.
func (g *Gateway) retuneZones() {
	if g.sites == nil {
		return
	}
	set, drained := g.cfg.Site.Sites.Resolve(g.cfg.Settings.ZoneNames)
	if g.orders != nil {
		b := g.orders.desk.Book()
		if v, ok := b.Value(directives.Spill); ok {
			set.Spill = v
		}
		for _, name := range b.Of(directives.DrainZone) {
			if i := slices.Index(g.cfg.Settings.ZoneNames, name); i >= 0 && !slices.Contains(drained, i) {
				drained = append(drained, i)
			}
		}
	}
	g.sites.zones.Retune(set)
	g.sites.drain(drained, g.now)
}

// sweepSites looks at all zones.
func (g *Gateway) sweepSites() {
	s := g.sites
	if s == nil {
		return
	}
	looked := s.zones.Look(g.now, g.sights(), g.module.LoadSummary(), g.cfg.Settings.Rules.Limits.Probes)
	for _, c := range looked.Changes {
		level := Info
		if c.To == zones.Lost {
			level = Warn
		}
		g.log(level, "zone", Attr{"zone", s.names[c.Zone]}, Attr{"from", c.From.String()}, Attr{"to", c.To.String()}, Attr{"damped", c.Damped})
	}
	for _, id := range looked.Ask {
		g.probe(id)
	}
}

// sights is what is held of each engine that serves.
func (g *Gateway) sights() []zones.EngineSight {
	out := g.seen[:0]
	for _, b := range g.module.EngineViews() {
		e := g.engines[b.Engine]
		if e == nil || e.state != rules.EngineServing {
			continue
		}
		cores := 1.0
		if k := e.kind; k < len(g.cfg.Settings.Rules.Kinds) {
			cores = max(g.cfg.Settings.Rules.Kinds[k].Cores, 1)
		}
		out = append(out, zones.EngineSight{Engine: b.Engine, Zone: e.zone, Cores: cores, Warm: b.SpeedFraction, Slow: b.Slowdown,
			LeftOut: b.Ejected, Late: b.SlowInFlight > 0, Asked: e.asked, Heard: e.heard, Fault: e.fault})
	}
	g.seen = out
	return out
}

// admits asks the directives and the zones whether a request is let in. One that is not has its answer already.
func (g *Gateway) admits(r *request) bool {
	if g.refusesClass(r.class) {
		g.refuse(r, g.cfg.Settings.Rules.Limits.MaxRetryAfter, EndDirective)
		return false
	}
	if g.sites == nil {
		return true
	}
	q := r.arrival
	refuse, after := g.sites.zones.Arrive(g.now, zones.Ask{Class: q.Class, Tenant: q.Tenant, Work: float64(q.EstimatedWork), Repeat: q.IsRetry})
	if refuse {
		g.refuse(r, after, EndZonePlan)
	}
	return !refuse
}

// stayAway is how long a client that is refused stays away: as the module says, or longer where the zones know that it would
// come in vain. At our end it should go elsewhere at once.
func (g *Gateway) stayAway(holdOff rules.Time) rules.Time {
	l := &g.cfg.Settings.Rules.Limits
	if g.sites == nil || g.stopping || !l.RetryAfter {
		return holdOff
	}
	after := g.sites.zones.Return(g.now)
	if l.MaxRetryAfter > 0 {
		after = min(after, l.MaxRetryAfter)
	}
	return max(holdOff, after)
}

// looked takes what a probe said.
func (g *Gateway) looked(e *engineState, ok bool) {
	if g.sites != nil {
		g.sites.zones.Answered(e.zone, ok)
	}
}

// logSites notes each zone, and what its limits did since the last line.
func (g *Gateway) logSites() {
	s := g.sites
	if s == nil {
		return
	}
	for i, st := range s.zones.Status(g.now) {
		attrs := []Attr{{"zone", s.names[i]}, {"state", st.State.String()}, {"share", round2(st.Share)}, {"part", round2(st.Part)},
			{"well", round2(st.Well)}, {"penalty", round2(st.Penalty)}, {"losses", st.Losses}}
		if st.Limit >= 0 {
			attrs = append(attrs, Attr{"limit_cores", round2(st.Limit)})
		}
		g.log(Info, "zone state", attrs...)
	}
	pressure, part, n := s.zones.Shedding()
	l := s.last
	s.last = n
	g.log(Info, "zone limits", Attr{"pressure", round2(pressure)}, Attr{"shed_part", round2(part)}, Attr{"spilled", n.Spilled - l.Spilled},
		Attr{"waited", n.Waited - l.Waited}, Attr{"further", n.Further - l.Further}, Attr{"further_kept_back", n.Spent - l.Spent},
		Attr{"shed_over_share", n.Shed[zones.OverShare] - l.Shed[zones.OverShare]},
		Attr{"shed_repeats", n.Shed[zones.Repeats] - l.Shed[zones.Repeats]}, Attr{"shed_cheap", n.Shed[zones.Cheap] - l.Shed[zones.Cheap]})
}

func round2(x float64) float64 { return math.Round(100*x) / 100 }
