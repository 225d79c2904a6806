package rules

// Zones: in which zone the engine of a request is chosen. The types are in api.go. If operators have
// planned zones, the ZonePlan decides. Invariant: a request never goes to a zone that the plan excludes.

// chooseZone returns the zone for a request, or -1 for any zone. If ok is false, the request has to wait.
// Without a plan, short queries stay in the zone of the gateway if crossing zones has a penalty: the
// penalty is per query, and short queries are most of the queries but little of the work, so load is no
// reason for them to leave. A retry may leave the zone, since the zone may be lost.
func (m *Module) chooseZone(req *request) (zone int, ok bool) {
	switch {
	case m.followsZonePlan(req):
		return m.zonePlan.PickZone(m.now, m.rng.Float64(), m.predictedWork(req), req.triedZones())
	case m.settings.Penalties.CrossZone <= 0 || m.priorityBand(req) == 0 || len(req.attempts) > 0:
		return -1, true
	}
	return m.settings.Zone, true
}

// followsZonePlan reports whether the plan applies to a request: not if AllowedZones restricts its class.
func (m *Module) followsZonePlan(req *request) bool {
	return m.zonePlan != nil && req.class.AllowedZones == nil
}

// zoneAdmits reports whether the plan permits a request in the zone of an engine.
func (m *Module) zoneAdmits(req *request, eng *engine) bool {
	return !m.followsZonePlan(req) ||
		m.zonePlan.Admits(m.now, eng.Zone, m.predictedWork(req), len(req.attempts) > 0)
}
