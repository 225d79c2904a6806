package rules

// The zone from which engines are drawn; types are in api.go. Where the host says which part of our load each
// zone gets that is drawn first, and the ordinary path goes on within the zone.

// drawZone is the zone that a request goes to, or -1 for any. Without a plan short queries stay in their own
// where crossing costs a fee: it counts by query; they are most of all and little of all work, so that load
// gives no reason to leave. A further attempt leaves zones that had one: a lost zone would use up all.
func (m *Module) drawZone(r *request) int {
	if len(m.zoneParts) == 0 {
		if m.s.Fees.CrossZone <= 0 || m.band(r) == 0 || len(r.attempts) > 0 {
			return -1
		}
		return m.s.Zone
	}
	odds := append([]float64(nil), m.zoneParts...)
	for i := range r.attempts {
		if z := r.attempts[i].zone; z < len(odds) {
			odds[z] = 0
		}
	}
	return draw(m.rng, odds)
}

// near are the homes of a data set in one zone.
func (m *Module) near(r *request, zone int) (near []*engine) {
	for _, e := range m.set(r.DataSet).order {
		if e.Zone == zone && e.State == EngineServing && len(near) < homesLeast {
			near = append(near, e)
		}
	}
	return near
}
