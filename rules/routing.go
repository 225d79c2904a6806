package rules

// Routing: which engine a request is sent to; the types are in api.go. Of two random candidates the less
// busy is chosen. Invariant: only an engine that fits the request and that the rules allow is chosen, and
// one that had an attempt of the request only where no other may take it.

// minCandidates is how many candidates are wanted before a search ends: two leave a choice.
const minCandidates = 2

// chooseEngine chooses the engine for a request, nil if none may take it now.
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
	m.candidates = excluding(m.candidates, req.triedOn)
	return m.lessBusyOfTwo(req)
}

// listCandidatesInZone lists candidates of a zone, those that the request's data set prefers first. Requests
// that a data load blocks keep apart instead.
func (m *Module) listCandidatesInZone(req *request, zone int) {
	m.listCandidates(req, m.preferredInZone(req, zone))
	if req.blocksOnDataLoad() || len(m.candidates) < minCandidates && m.zonePlan != nil {
		m.listCandidates(req, m.enginesInZone(zone))
	}
}

func (m *Module) listCandidatesAnywhere(req *request) {
	m.listCandidates(req, m.preferredEngines(req))
	if len(m.candidates) < minCandidates {
		m.listCandidates(req, m.engines)
	}
}

func (m *Module) listCandidates(req *request, engines []*engine) {
	m.candidates = m.candidates[:0]
	for _, eng := range engines {
		if m.mayTake(eng, req) {
			m.candidates = append(m.candidates, eng)
		}
	}
}

// mayTake reports whether an engine has the capacity for a request, and the rules allow it.
func (m *Module) mayTake(eng *engine, req *request) bool {
	return m.fits(req, eng) && m.maySend(req, eng)
}

// lessBusyOfTwo is the less busy of two random candidates, nil if there are none.
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

// predictedBusy is the engine time predicted for what runs on an engine and for the request itself. Where
// this gateway runs little there, the engine's slowdown alone tells two engines apart.
func (m *Module) predictedBusy(req *request, eng *engine) float64 {
	eng.peers.expire(m.now - m.longestTimeout)
	return eng.work + eng.peers.work + m.predictedWork(req)*m.slowdown(req, eng)
}
