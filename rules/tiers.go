package rules

// The zone from which engines are drawn; types are in api.go. Where operators have planned it the plan says
// which, and the ordinary path goes on within the zone.

// drawZone is the zone that a request goes to, or -1 for any; without ok it waits. Without a plan short
// queries stay in their own where crossing costs a fee: it counts by query; they are most of all and little
// of all work, so that load gives no reason to leave. A further attempt leaves it: a lost zone would use up
// all.
func (m *Module) drawZone(r *request) (zone int, ok bool) {
	switch {
	case m.planned(r):
		return m.plan.Draw(m.now, m.rng.Float64(), m.predict(r), r.triedIn())
	case m.s.Fees.CrossZone <= 0 || m.band(r) == 0 || len(r.attempts) > 0:
		return -1, true
	}
	return m.s.Zone, true
}

// planned answers whether the plan holds for a request: of a class that runs in some zones only it can't.
func (m *Module) planned(r *request) bool { return m.plan != nil && r.class.Zones == nil }

// zoneOpen answers whether the plan lets a request run in an engine's zone.
func (m *Module) zoneOpen(r *request, e *engine) bool {
	return !m.planned(r) || m.plan.Open(m.now, e.Zone, m.predict(r), len(r.attempts) > 0)
}
