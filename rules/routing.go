package rules

// Routing: which engine a request is sent to. The types are in api.go. The less busy of two random
// candidates is chosen. Invariant: the chosen engine has the capacity for the request and the rules allow
// it, and it has had an attempt of the request only if no other engine is a candidate.

// minCandidates is the number of candidates with which a search ends: two leave a choice.
const minCandidates = 2

// chooseEngine returns the engine for a request, or nil if no engine is a candidate now.
func (m *Module) chooseEngine(req *request) *engine {
	if eng := m.sampledWarmingEngine(req); eng != nil {
		return eng
	}
	zone, ok := m.chooseZone(req)
	if !ok {
		return nil
	}
	m.candidates = m.candidates[:0]
	if zone >= 0 {
		m.listCandidatesInZone(req, zone)
	}
	if len(m.candidates) == 0 {
		m.listCandidatesAnywhere(req)
	}
	m.candidates = excludeUnlessAll(m.candidates, req.triedOn)
	return m.lessBusyOfTwo(req)
}

// listCandidatesInZone lists the candidates of a zone that the data set of the request prefers. It lists all
// candidates of the zone for requests that block on data loads, so that these are spread over the zone, and
// under a zone plan if too few are preferred.
func (m *Module) listCandidatesInZone(req *request, zone int) {
	m.listCandidates(req, m.preferredInZone(req, zone))
	if req.blocksOnDataLoad() || len(m.candidates) < minCandidates && m.zonePlan != nil {
		m.listCandidates(req, m.enginesInZone(zone))
	}
}

// listCandidatesAnywhere lists the candidates that the data set of the request prefers, or all if these are
// too few.
func (m *Module) listCandidatesAnywhere(req *request) {
	m.listCandidates(req, m.preferredEngines(req))
	if len(m.candidates) < minCandidates {
		m.listCandidates(req, m.engines)
	}
}

// listCandidates lists those of the engines that are candidates for a request.
func (m *Module) listCandidates(req *request, engines []*engine) {
	m.candidates = m.candidates[:0]
	for _, eng := range engines {
		if m.isCandidate(eng, req) {
			m.candidates = append(m.candidates, eng)
		}
	}
}

// isCandidate reports whether an engine has the capacity for a request and the rules allow it.
func (m *Module) isCandidate(eng *engine, req *request) bool {
	return m.fits(req, eng) && m.attemptAllowed(req, eng)
}

// lessBusyOfTwo returns the less busy of two random candidates, or nil if there are none.
func (m *Module) lessBusyOfTwo(req *request) *engine {
	count := len(m.candidates)
	switch count {
	case 0:
		return nil
	case 1:
		return m.candidates[0]
	}
	i, j := m.rng.IntN(count), m.rng.IntN(count-1)
	if j >= i {
		j++
	}
	first, second := m.candidates[i], m.candidates[j]
	if m.predictedBusy(req, second) < m.predictedBusy(req, first) {
		return second
	}
	return first
}

// predictedBusy returns the engine time predicted for the load of an engine and for the request itself. If
// this gateway and its peers have little load there, the slowdowns alone distinguish two engines.
func (m *Module) predictedBusy(req *request, eng *engine) float64 {
	eng.peers.expire(m.now - m.maxClientTimeout)
	return eng.work + eng.peers.work + m.predictedWork(req)*m.slowdown(req, eng)
}
