package rules

// Zones: in which zone the engine of a request is chosen; the types are in api.go. Where operators have
// planned it the ZonePlan decides. Invariant: a request never goes to a zone that the plan has closed.

// chooseZone is the zone for a request, -1 for any; without ok it waits. Without a plan short queries stay in
// the gateway's own zone where crossing has a penalty: that counts by query, and they are most of the queries
// and little of the work, so that load gives no reason to leave. A retry may leave the zone, which may be
// lost.
func (m *Module) chooseZone(req *request) (zone int, ok bool) {
	switch {
	case m.followsZonePlan(req):
		return m.zonePlan.PickZone(m.now, m.rng.Float64(), m.predictedWork(req), req.triedZones())
	case m.settings.Penalties.CrossZone <= 0 || m.priorityBand(req) == 0 || len(req.attempts) > 0:
		return -1, true
	}
	return m.settings.Zone, true
}

// followsZonePlan reports whether the plan applies to a request: not if its class is bound to zones.
func (m *Module) followsZonePlan(req *request) bool {
	return m.zonePlan != nil && req.class.AllowedZones == nil
}

// zoneAdmits reports whether the plan lets a request run in an engine's zone.
func (m *Module) zoneAdmits(req *request, eng *engine) bool {
	return !m.followsZonePlan(req) ||
		m.zonePlan.Admits(m.now, eng.Zone, m.predictedWork(req), len(req.attempts) > 0)
}
