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

// zoneRouting are the zones of the gateway. The last one holds the engines of zones that the configuration does not name.
type zoneRouting struct {
	router     *zones.Controller
	names      []string
	drained    []int
	lastCounts zones.Counts // at the last line of the log
}

// newZoneRouting returns the zones that the operator has set, or nil.
func newZoneRouting(cfg *config.Config, rng *rand.Rand, now rules.Time) *zoneRouting {
	if cfg.Site == nil || cfg.Site.Zones == nil || len(cfg.Settings.ZoneNames) == 0 {
		return nil
	}
	set, drained := cfg.Site.Zones.Resolve(cfg.Settings.ZoneNames)
	settings := &cfg.Settings.Rules
	routing := &zoneRouting{names: append(slices.Clone(cfg.Settings.ZoneNames), "elsewhere")}
	routing.router = zones.New(set, zones.Fleet{Zones: len(routing.names), HasUnassignedZone: true, OwnZone: settings.Zone, Gateways: settings.Gateways, Jitter: rng.Float64(),
		Classes: settings.Classes, Tenants: settings.Tenants}, now)
	routing.setDrained(drained, now)
	return routing
}

// setDrained begins the drains that the file asks for, and ends the others.
func (r *zoneRouting) setDrained(drained []int, now rules.Time) {
	for _, z := range r.drained {
		if !slices.Contains(drained, z) {
			r.router.SetDraining(now, z, false)
		}
	}
	for _, z := range drained {
		if !slices.Contains(r.drained, z) {
			r.router.SetDraining(now, z, true)
		}
	}
	r.drained = drained
}

// setZonePlan hands the zones to the module.
func (g *Gateway) setZonePlan() {
	if g.zones == nil {
		g.tellModule(rules.ZonePlanChanged{})
		return
	}
	g.tellModule(rules.ZonePlanChanged{Plan: g.zones.router})
}

// reconfigureZones goes over to what the operator's file says now; the block may come and go.
func (g *Gateway) reconfigureZones() {
	on := g.cfg.Site != nil && g.cfg.Site.Zones != nil
	switch {
	case !on && g.zones != nil:
		g.zones = nil
		g.setZonePlan()
	case on && g.zones == nil:
		if g.zones = newZoneRouting(&g.cfg, g.rng, g.now); g.zones != nil {
			g.setZonePlan()
		}
	}
	g.applyZoneSettings()
}

// applyZoneSettings goes over to what the operator's file and the directives say now.
func (g *Gateway) applyZoneSettings() {
	if g.zones == nil {
		return
	}
	set, drained := g.cfg.Site.Zones.Resolve(g.cfg.Settings.ZoneNames)
	if g.directives != nil {
		inForce := g.directives.proposer.State()
		if v, ok := inForce.Value(directives.SpilloverLimit); ok {
			set.SpilloverLimit = v
		}
		for _, name := range inForce.Subjects(directives.DrainZone) {
			if i := slices.Index(g.cfg.Settings.ZoneNames, name); i >= 0 && !slices.Contains(drained, i) {
				drained = append(drained, i)
			}
		}
	}
	g.zones.router.Reconfigure(set)
	g.zones.setDrained(drained, g.now)
}

// sweepZones looks at all zones.
func (g *Gateway) sweepZones() {
	routing := g.zones
	if routing == nil {
		return
	}
	looked := routing.router.Observe(g.now, g.engineSights(), g.module.LoadSummary(), g.cfg.Settings.Rules.Limits.Probes)
	for _, change := range looked.Changes {
		level := Info
		if change.To == zones.Lost {
			level = Warn
		}
		g.log(level, "zone", Attr{"zone", routing.names[change.Zone]}, Attr{"from", change.From.String()}, Attr{"to", change.To.String()}, Attr{"damped", change.Damped})
	}
	for _, id := range looked.Probe {
		g.startProbe(id)
	}
}

// engineSights is what is held of each engine that serves.
func (g *Gateway) engineSights() []zones.EngineObservation {
	out := g.sightBuffer[:0]
	for _, belief := range g.module.EngineViews() {
		eng := g.engines[belief.Engine]
		if eng == nil || eng.state != rules.EngineServing {
			continue
		}
		cores := 1.0
		if k := eng.kind; k < len(g.cfg.Settings.Rules.Kinds) {
			cores = max(g.cfg.Settings.Rules.Kinds[k].Cores, 1)
		}
		out = append(out, zones.EngineObservation{Engine: belief.Engine, Zone: eng.zone, Cores: cores, WarmFraction: belief.SpeedFraction, Slowdown: belief.Slowdown,
			Excluded: belief.Ejected, Overdue: belief.SlowInFlight > 0, LastRequest: eng.lastRequest, LastResponse: eng.lastRead, LastFailure: eng.lastFault})
	}
	g.sightBuffer = out
	return out
}

// admitsRequest asks the directives and the zones whether a request is let in. One that is not has its answer already.
func (g *Gateway) admitsRequest(req *queryRequest) bool {
	if g.rejectsClass(req.class) {
		g.reject(req, g.cfg.Settings.Rules.Limits.MaxRetryAfter, EndDirective)
		return false
	}
	if g.zones == nil {
		return true
	}
	arrival := req.pending
	refuse, after := g.zones.router.RequestArrived(g.now, zones.Request{Class: arrival.Class, Tenant: arrival.Tenant, DeclaredWork: float64(arrival.EstimatedWork), Retry: arrival.IsRetry})
	if refuse {
		g.reject(req, after, EndZonePlan)
	}
	return !refuse
}

// retryAfter is how long a client that is refused stays away: as the module says, or longer where the zones know that it would
// come in vain. At our end it should go elsewhere at once.
func (g *Gateway) retryAfter(holdOff rules.Time) rules.Time {
	limits := &g.cfg.Settings.Rules.Limits
	if g.zones == nil || g.stopping || !limits.RetryAfter {
		return holdOff
	}
	after := g.zones.router.RetryAfter(g.now)
	if limits.MaxRetryAfter > 0 {
		after = min(after, limits.MaxRetryAfter)
	}
	return max(holdOff, after)
}

// zoneProbed takes what a probe said.
func (g *Gateway) zoneProbed(eng *engineState, ok bool) {
	if g.zones != nil {
		g.zones.router.ProbeAnswered(eng.zone, ok)
	}
}

// logZones notes each zone, and what its limits did since the last line.
func (g *Gateway) logZones() {
	routing := g.zones
	if routing == nil {
		return
	}
	for i, status := range routing.router.Status(g.now) {
		attrs := []Attr{{"zone", routing.names[i]}, {"state", status.State.String()}, {"share", round2(status.LoadShare)}, {"part", round2(status.TrafficFraction)},
			{"well", round2(status.HealthyFraction)}, {"penalty", round2(status.Penalty)}, {"losses", status.Losses}}
		if status.SpilloverCores >= 0 {
			attrs = append(attrs, Attr{"limit_cores", round2(status.SpilloverCores)})
		}
		g.log(Info, "zone state", attrs...)
	}
	pressure, part, counts := routing.router.SheddingStatus()
	last := routing.lastCounts
	routing.lastCounts = counts
	g.log(Info, "zone limits", Attr{"pressure", round2(pressure)}, Attr{"shed_part", round2(part)}, Attr{"spilled", counts.Spillovers - last.Spillovers},
		Attr{"waited", counts.Blocked - last.Blocked}, Attr{"further", counts.Retries - last.Retries}, Attr{"further_kept_back", counts.RetriesBlocked - last.RetriesBlocked},
		Attr{"shed_over_share", counts.Shed[zones.TierOverQuota] - last.Shed[zones.TierOverQuota]},
		Attr{"shed_repeats", counts.Shed[zones.TierRetries] - last.Shed[zones.TierRetries]}, Attr{"shed_cheap", counts.Shed[zones.TierLowestValue] - last.Shed[zones.TierLowestValue]})
}

func round2(x float64) float64 { return math.Round(100*x) / 100 }
