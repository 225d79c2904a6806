package rules

// Data affinity: which engines are preferred for a data set, so that it stays cached there. The types are
// in api.go. Invariant: all gateways prefer the same engines for a data set (rendezvous hashing), and the
// preference only orders candidates: a request is sent to another engine if these cannot take it.

const (
	// minPreferredEngines is the number of engines that keep even the least requested data set cached.
	minPreferredEngines = 3
	// preferredEnginesFactor scales the number of further preferred engines: it is this factor times the
	// data set's fraction of the requests times the number of engines.
	preferredEnginesFactor = 1.5
	// popularityPrior is added to the number of all requests in that fraction, so that a few requests do
	// not make a data set popular.
	popularityPrior = 20
)

// blocksOnDataLoad reports whether a data load of the same data set blocks the request on its engine, while
// the request holds its memory grant. Such requests are kept on separate engines, and their latency says
// little about the engine.
func (r *request) blocksOnDataLoad() bool { return r.class.IsDataLoad || r.class.BlockedByDataLoad }

// preferredEngines returns the first engines of a data set's preference list. Their number grows with the
// data set's fraction of the requests. Requests that block on data loads prefer no engines.
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

// preferredInZone returns the first serving engines of a zone in a data set's preference list. The result
// is valid until zoneEngines is used again.
func (m *Module) preferredInZone(req *request, zone int) []*engine {
	m.zoneEngines = m.zoneEngines[:0]
	for _, eng := range m.dataSet(req.DataSet).preference {
		if eng.Zone == zone && eng.State == EngineServing && len(m.zoneEngines) < minPreferredEngines {
			m.zoneEngines = append(m.zoneEngines, eng)
		}
	}
	return m.zoneEngines
}
