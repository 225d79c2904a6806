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

// This file connects the reducer with package zones: it shows the controller how engines fare, hands it to the module as its plan
// for zones, asks it for the admission of requests, and logs its changes. It decides nothing. Without the block `sites` in the
// operator's file there is no controller.

// zoneRouting is the controller of zones. The last zone holds engines whose zones the configuration does not name.
type zoneRouting struct {
	router     *zones.Controller
	names      []string
	drained    []int        // zones that the operator's file or a directive drains
	lastCounts zones.Counts // when figures were last logged
}

// newZoneRouting returns the controller that the operator has configured, or nil.
func newZoneRouting(cfg *config.Config, rng *rand.Rand, now rules.Time) *zoneRouting {
	if cfg.Site == nil || cfg.Site.Zones == nil || len(cfg.Settings.ZoneNames) == 0 {
		return nil
	}
	zoneSettings, drained := cfg.Site.Zones.Resolve(cfg.Settings.ZoneNames)
	settings := &cfg.Settings.Rules
	routing := &zoneRouting{names: append(slices.Clone(cfg.Settings.ZoneNames), "elsewhere")}
	routing.router = zones.New(zoneSettings, zones.Fleet{
		Zones:             len(routing.names),
		HasUnassignedZone: true,
		OwnZone:           settings.Zone,
		Gateways:          settings.Gateways,
		Jitter:            rng.Float64(),
		Classes:           settings.Classes,
		Tenants:           settings.Tenants,
	}, now)
	routing.setDrained(drained, now)
	return routing
}

// setDrained drains the zones listed, and ends the drains of others.
func (r *zoneRouting) setDrained(drained []int, now rules.Time) {
	for _, zone := range r.drained {
		if !slices.Contains(drained, zone) {
			r.router.SetDraining(now, zone, false)
		}
	}
	for _, zone := range drained {
		if !slices.Contains(r.drained, zone) {
			r.router.SetDraining(now, zone, true)
		}
	}
	r.drained = drained
}

// setZonePlan hands the controller to the module, or takes it away.
func (g *Gateway) setZonePlan() {
	if g.zones == nil {
		g.tellModule(rules.ZonePlanChanged{})
		return
	}
	g.tellModule(rules.ZonePlanChanged{Plan: g.zones.router})
}

// reconfigureZones takes over the operator's file as it is now; the block may come and go.
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

// applyZoneSettings takes over what the operator's file and the directives in force say of zones. Where both set the limit of
// spillover, the directive holds; a zone that either drains is drained.
func (g *Gateway) applyZoneSettings() {
	if g.zones == nil {
		return
	}
	settings, drained := g.cfg.Site.Zones.Resolve(g.cfg.Settings.ZoneNames)
	if g.directives != nil {
		inForce := g.directives.proposer.State()
		if limit, ok := inForce.Value(directives.SpilloverLimit); ok {
			settings.SpilloverLimit = limit
		}
		for _, name := range inForce.Subjects(directives.DrainZone) {
			if i := slices.Index(g.cfg.Settings.ZoneNames, name); i >= 0 && !slices.Contains(drained, i) {
				drained = append(drained, i)
			}
		}
	}
	g.zones.router.Reconfigure(settings)
	g.zones.setDrained(drained, g.now)
}

// sweepZones has the controller look at all zones, and probes the engines that it asks for.
func (g *Gateway) sweepZones() {
	routing := g.zones
	if routing == nil {
		return
	}
	observed := routing.router.Observe(g.now, g.engineSights(), g.module.LoadSummary(), g.cfg.Settings.Rules.Limits.Probes)
	for _, change := range observed.Changes {
		level := Info
		if change.To == zones.Lost {
			level = Warn
		}
		g.log(level, "zone", Attr{keyZone, routing.names[change.Zone]}, Attr{"from", change.From.String()},
			Attr{"to", change.To.String()}, Attr{"damped", change.Damped})
	}
	for _, id := range observed.Probe {
		g.startProbe(id)
	}
}

// engineSights is what the module and the connections know of each engine that serves. It is valid until the next call.
func (g *Gateway) engineSights() []zones.EngineObservation {
	out := g.sightBuffer[:0]
	for _, belief := range g.module.EngineViews() {
		eng := g.engines[belief.Engine]
		if eng == nil || eng.state != rules.EngineServing {
			continue
		}
		cores := 1.0
		if kinds := g.cfg.Settings.Rules.Kinds; eng.kind < len(kinds) {
			cores = max(kinds[eng.kind].Cores, 1)
		}
		out = append(out, zones.EngineObservation{
			Engine:       belief.Engine,
			Zone:         eng.zone,
			Cores:        cores,
			WarmFraction: belief.SpeedFraction,
			Slowdown:     belief.Slowdown,
			Excluded:     belief.Ejected,
			Overdue:      belief.SlowInFlight > 0,
			LastRequest:  eng.lastRequest,
			LastResponse: eng.lastRead,
			LastFailure:  eng.lastFault,
		})
	}
	g.sightBuffer = out
	return out
}

// admitsRequest asks the directives in force and the zones whether a request is admitted. One that is not has been answered.
func (g *Gateway) admitsRequest(req *queryRequest) bool {
	if g.rejectsClass(req.class) {
		g.reject(req, g.cfg.Settings.Rules.Limits.MaxRetryAfter, EndDirective)
		return false
	}
	if g.zones == nil {
		return true
	}
	arrival := req.pending
	rejected, after := g.zones.router.RequestArrived(g.now, zones.Request{Class: arrival.Class, Tenant: arrival.Tenant,
		DeclaredWork: float64(arrival.EstimatedWork), Retry: arrival.IsRetry})
	if rejected {
		g.reject(req, after, EndZonePlan)
	}
	return !rejected
}

// retryAfter is how long a rejected client should stay away: as the module says, or longer where the zones can't take it earlier.
// During a shutdown it should go to another gateway at once.
func (g *Gateway) retryAfter(holdOff rules.Time) rules.Time {
	limits := &g.cfg.Settings.Rules.Limits
	if g.zones == nil || g.stopping || !limits.RetryAfter {
		return holdOff
	}
	return max(holdOff, capRetryAfter(limits, g.zones.router.RetryAfter(g.now)))
}

// zoneProbed tells the controller of a probe's result.
func (g *Gateway) zoneProbed(eng *engineState, ok bool) {
	if g.zones != nil {
		g.zones.router.ProbeAnswered(eng.zone, ok)
	}
}

// logZones logs each zone, and what the limits of spillover and shedding did since the last such line.
func (g *Gateway) logZones() {
	routing := g.zones
	if routing == nil {
		return
	}
	for i, status := range routing.router.Status(g.now) {
		attrs := []Attr{{keyZone, routing.names[i]}, {keyState, status.State.String()}, {"load_share", round2(status.LoadShare)},
			{"traffic_fraction", round2(status.TrafficFraction)}, {"healthy_fraction", round2(status.HealthyFraction)},
			{"penalty", round2(status.Penalty)}, {"losses", status.Losses}}
		if status.SpilloverCores >= 0 {
			attrs = append(attrs, Attr{"spillover_cores", round2(status.SpilloverCores)})
		}
		g.log(Info, "zone state", attrs...)
	}
	pressure, fraction, counts := routing.router.SheddingStatus()
	last := routing.lastCounts
	routing.lastCounts = counts
	shed := func(tier zones.PriorityTier) int { return counts.Shed[tier] - last.Shed[tier] }
	g.log(Info, "zone limits", Attr{"pressure", round2(pressure)}, Attr{"shed_fraction", round2(fraction)},
		Attr{"spillovers", counts.Spillovers - last.Spillovers}, Attr{"blocked", counts.Blocked - last.Blocked},
		Attr{"retries", counts.Retries - last.Retries}, Attr{"retries_blocked", counts.RetriesBlocked - last.RetriesBlocked},
		Attr{"shed_over_quota", shed(zones.TierOverQuota)}, Attr{"shed_retries", shed(zones.TierRetries)},
		Attr{"shed_lowest_value", shed(zones.TierLowestValue)})
}

// round2 rounds to hundredths, as figures are logged.
func round2(x float64) float64 { return math.Round(100*x) / 100 }
