package rules

// The zone from which engines are drawn; types are in api.go. Where operators have planned it the plan says
// which, and the ordinary path goes on within the zone.

// chooseZone is the zone that a request goes to, or -1 for any; without ok it waits. Without a plan short
// queries stay in their own where crossing costs a fee: it counts by query; they are most of all and little
// of all work, so that load gives no reason to leave. A further attempt leaves it: a lost zone would use up
// all.
func (m *Module) chooseZone(r *request) (zone int, ok bool) {
	switch {
	case m.followsZonePlan(r):
		return m.zonePlan.PickZone(m.now, m.rng.Float64(), m.predictedWork(r), r.triedZones())
	case m.settings.Penalties.CrossZone <= 0 || m.priorityBand(r) == 0 || len(r.attempts) > 0:
		return -1, true
	}
	return m.settings.Zone, true
}

// followsZonePlan answers whether the plan holds for a request: of a class that runs in some zones only it can't.
func (m *Module) followsZonePlan(r *request) bool {
	return m.zonePlan != nil && r.class.AllowedZones == nil
}

// zoneAdmits answers whether the plan lets a request run in an engine's zone.
func (m *Module) zoneAdmits(r *request, e *engine) bool {
	return !m.followsZonePlan(r) || m.zonePlan.Admits(m.now, e.Zone, m.predictedWork(r), len(r.attempts) > 0)
}
