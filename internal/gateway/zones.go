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

// This file connects the reducer to package zones: it passes observations of engines to the zone controller, passes
// the controller to the module as its zone plan, lets it admit or reject requests, and logs its state changes. Without
// the block `sites` in the operator's file there is no controller.

// zoneRouting holds the zone controller. Its last zone contains the engines whose zones the configuration does not
// name.
type zoneRouting struct {
	controller *zones.Controller
	names      []string
	drained    []int        // zones drained by the operator's file or a directive
	lastCounts zones.Counts // as of the last statistics log line
}

// newZoneRouting returns the configured zone routing, or nil if zones are not configured.
func newZoneRouting(cfg *config.Config, rng *rand.Rand, now rules.Time) *zoneRouting {
	if cfg.Site == nil || cfg.Site.Zones == nil || len(cfg.Settings.ZoneNames) == 0 {
		return nil
	}
	zoneSettings, drained := cfg.Site.Zones.Resolve(cfg.Settings.ZoneNames)
	settings := &cfg.Settings.Rules
	routing := &zoneRouting{names: append(slices.Clone(cfg.Settings.ZoneNames), "elsewhere")}
	routing.controller = zones.New(zoneSettings, zones.Fleet{
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

// setDrained drains the given zones and ends the drains of all others.
func (r *zoneRouting) setDrained(drained []int, now rules.Time) {
	for _, zone := range r.drained {
		if !slices.Contains(drained, zone) {
			r.controller.SetDraining(now, zone, false)
		}
	}
	for _, zone := range drained {
		if !slices.Contains(r.drained, zone) {
			r.controller.SetDraining(now, zone, true)
		}
	}
	r.drained = drained
}

// setZonePlan sets the controller as the module's zone plan, or removes the plan if there is no controller.
func (g *Gateway) setZonePlan() {
	if g.zones == nil {
		g.notifyModule(rules.ZonePlanChanged{})
		return
	}
	g.notifyModule(rules.ZonePlanChanged{Plan: g.zones.controller})
}

// reconfigureZones applies the zone settings of a reloaded configuration, which may have added or removed the block
// `sites`.
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

// applyZoneSettings applies the zone settings of the operator's file and of the directives in force. A directive's
// spillover limit overrides that of the file. A zone is drained if either of them drains it.
func (g *Gateway) applyZoneSettings() {
	if g.zones == nil {
		return
	}
	settings, drained := g.cfg.Site.Zones.Resolve(g.cfg.Settings.ZoneNames)
	if g.directives != nil {
		inForce := g.directives.node.State()
		if limit, ok := inForce.Value(directives.SpilloverLimit); ok {
			settings.SpilloverLimit = limit
		}
		for _, name := range inForce.Subjects(directives.DrainZone) {
			if i := slices.Index(g.cfg.Settings.ZoneNames, name); i >= 0 && !slices.Contains(drained, i) {
				drained = append(drained, i)
			}
		}
	}
	g.zones.controller.Reconfigure(settings)
	g.zones.setDrained(drained, g.now)
}

// sweepZones lets the controller evaluate all zones, logs state changes, and probes the engines that it requests.
func (g *Gateway) sweepZones() {
	routing := g.zones
	if routing == nil {
		return
	}
	observed := routing.controller.Observe(g.now, g.engineObservations(), g.module.LoadSummary(), g.cfg.Settings.Rules.Limits.Probes)
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

// engineObservations returns the observations of all serving engines from the module and the connections. The slice
// is valid until the next call.
func (g *Gateway) engineObservations() []zones.EngineObservation {
	out := g.observationBuffer[:0]
	for _, view := range g.module.EngineViews() {
		eng := g.engines[view.Engine]
		if eng == nil || eng.state != rules.EngineServing {
			continue
		}
		cores := 1.0
		if kinds := g.cfg.Settings.Rules.Kinds; eng.kind < len(kinds) {
			cores = max(kinds[eng.kind].Cores, 1)
		}
		out = append(out, zones.EngineObservation{
			Engine:       view.Engine,
			Zone:         eng.zone,
			Cores:        cores,
			WarmFraction: view.SpeedFraction,
			Slowdown:     view.Slowdown,
			Excluded:     view.Ejected,
			Overdue:      view.SlowInFlight > 0,
			LastRequest:  eng.lastRequest,
			LastResponse: eng.lastRead,
			LastFailure:  eng.lastFailure,
		})
	}
	g.observationBuffer = out
	return out
}

// admitOrReject reports whether the directives in force and the zone controller admit a request. If not, the
// request has been rejected.
func (g *Gateway) admitOrReject(req *queryRequest) bool {
	if g.classRejectedByDirective(req.class) {
		g.reject(req, g.cfg.Settings.Rules.Limits.MaxRetryAfter, EndDirective)
		return false
	}
	if g.zones == nil {
		return true
	}
	arrival := req.pending
	rejected, retryAfter := g.zones.controller.RequestArrived(g.now, zones.Request{Class: arrival.Class, Tenant: arrival.Tenant,
		DeclaredWork: float64(arrival.EstimatedWork), Retry: arrival.IsRetry})
	if rejected {
		g.reject(req, retryAfter, EndZonePlan)
	}
	return !rejected
}

// effectiveRetryAfter returns the Retry-After of a rejected request: the module's value, or the zone controller's
// if that is longer. During a shutdown the module's value is not extended, since the client should go to another
// gateway at once.
func (g *Gateway) effectiveRetryAfter(moduleRetryAfter rules.Time) rules.Time {
	limits := &g.cfg.Settings.Rules.Limits
	if g.zones == nil || g.stopping || !limits.RetryAfter {
		return moduleRetryAfter
	}
	return max(moduleRetryAfter, capRetryAfter(limits, g.zones.controller.RetryAfter(g.now)))
}

// recordZoneProbe notifies the zone controller of a probe's result.
func (g *Gateway) recordZoneProbe(eng *engineState, ok bool) {
	if g.zones != nil {
		g.zones.controller.RecordProbe(eng.zone, ok)
	}
}

// logZones logs the state of each zone, and the statistics of spillover and load shedding since the last log line.
func (g *Gateway) logZones() {
	routing := g.zones
	if routing == nil {
		return
	}
	for i, status := range routing.controller.Status(g.now) {
		attrs := []Attr{{keyZone, routing.names[i]}, {keyState, status.State.String()}, {"load_share", round2(status.LoadShare)},
			{"traffic_fraction", round2(status.TrafficFraction)}, {"healthy_fraction", round2(status.HealthyFraction)},
			{"penalty", round2(status.Penalty)}, {"losses", status.Losses}}
		if status.SpilloverCores >= 0 {
			attrs = append(attrs, Attr{"spillover_cores", round2(status.SpilloverCores)})
		}
		g.log(Info, "zone state", attrs...)
	}
	pressure, fraction, counts := routing.controller.SheddingStatus()
	last := routing.lastCounts
	routing.lastCounts = counts
	shed := func(tier zones.PriorityTier) int { return counts.Shed[tier] - last.Shed[tier] }
	g.log(Info, "zone limits", Attr{"pressure", round2(pressure)}, Attr{"shed_fraction", round2(fraction)},
		Attr{"spillovers", counts.Spillovers - last.Spillovers}, Attr{"blocked", counts.Blocked - last.Blocked},
		Attr{"retries", counts.Retries - last.Retries}, Attr{"retries_blocked", counts.RetriesBlocked - last.RetriesBlocked},
		Attr{"shed_over_quota", shed(zones.TierOverQuota)}, Attr{"shed_retries", shed(zones.TierRetries)},
		Attr{"shed_lowest_value", shed(zones.TierLowestValue)})
}

// round2 rounds a logged value to two decimals.
func round2(x float64) float64 { return math.Round(100*x) / 100 }
