package rules

// Data affinity: which engines are preferred for a data set, so that it stays cached there; the types are in
// api.go. Invariant: all gateways prefer the same engines for a data set (rendezvous hashing), and the
// preference only orders candidates: a request goes elsewhere where these can't take it.

const (
	// minPreferredEngines is how many engines keep even the least requested data set cached.
	minPreferredEngines = 3
	// preferredEnginesFactor is how many times a data set's part of the requests, of all engines, prefer it.
	preferredEnginesFactor = 1.5
	// popularityPrior is how many requests a data set's part of the requests has to outweigh to count.
	popularityPrior = 20
)

// blocksOnDataLoad reports whether a data load of the same data set blocks the request on its engine, with
// all the memory it was granted. Such requests keep apart, and their latency says little of the engine.
func (r *request) blocksOnDataLoad() bool { return r.class.IsDataLoad || r.class.BlockedByDataLoad }

// preferredEngines are the first engines of a data set's preference list: more of them the larger its part
// of the requests.
func (m *Module) preferredEngines(req *request) []*engine {
	if req.blocksOnDataLoad() {
		return nil
	}
	set := m.dataSet(req.DataSet)
	spread := preferredEnginesFactor * float64(len(m.engines)) * set.requests.sum /
		(m.requestWork.weight + popularityPrior)
	count := minPreferredEngines + int(spread)
	return set.preference[:min(count, len(set.preference))]
}

// preferredInZone are the first serving engines of a data set's preference list in a zone. The result is
// valid until zoneEngines is next used.
func (m *Module) preferredInZone(req *request, zone int) []*engine {
	m.zoneEngines = m.zoneEngines[:0]
	for _, eng := range m.dataSet(req.DataSet).preference {
		if eng.Zone == zone && eng.State == EngineServing && len(m.zoneEngines) < minPreferredEngines {
			m.zoneEngines = append(m.zoneEngines, eng)
		}
	}
	return m.zoneEngines
}
