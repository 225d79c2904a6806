package rules

// Capacity: how many threads and how much memory of an engine and of the fleet this gateway may use. The
// types are in api.go. Invariant: its load in flight stays within its share of both, except that one query
// is always allowed on an engine and on the fleet.

import "math"

const (
	// threadsPerCore is the bound on the threads in flight per core of an engine, over all gateways.
	threadsPerCore = 1.5
	// fitFraction is the fraction of the threads of a further query that must fit a thread bound. If all
	// had to, wide queries would never start, since narrow ones take every thread that becomes free.
	fitFraction = 0.5
	// burstDeviations is the number of standard deviations by which this gateway's load may exceed its
	// share in a random burst.
	burstDeviations = 2.0
)

// fits reports whether an engine is routable, and within all bounds with one more request.
func (m *Module) fits(req *request, eng *engine) bool {
	if !m.routable(req, eng) || req.blocksOnDataLoad() && eng.dataLoads[req.DataSet] > 0 {
		return false
	}
	grant := m.memoryGrant(req, eng)
	return m.fitsBesidePeers(req, eng) && m.fitsFleet(req, grant) && m.fitsEngine(req, eng, grant)
}

// fitsBesidePeers reports whether the engine has enough threads free, after those that peers report.
func (m *Module) fitsBesidePeers(req *request, eng *engine) bool {
	eng.peers.expire(m.now - m.maxClientTimeout)
	needed := fitFraction * req.class.threadCount()
	return eng.peers.threads <= 0 ||
		eng.threads+eng.peers.threads+needed <= threadsPerCore*m.kindOf(eng).Cores
}

// fitsFleet reports whether one more request keeps this gateway within its bounds on the fleet.
func (m *Module) fitsFleet(req *request, grant float64) bool {
	load := m.competingLoad(req, &m.inFlightLoad, &m.highPriorityLoad)
	return m.withinBounds(req, load, m.fleetThreadBound(req.late), m.fleetCapacity, grant)
}

// fitsEngine reports whether one more request keeps this gateway within its bounds on an engine.
func (m *Module) fitsEngine(req *request, eng *engine, grant float64) bool {
	load, kind := m.competingLoad(req, &eng.inFlightLoad, &eng.highPriorityLoad), m.kindOf(eng)
	return m.withinBounds(req, load, m.threadBound(kind.Cores), kind, grant)
}

// withinBounds checks the thread bound and the memory bound, of an engine or of the fleet, with one more
// request. Without any load the request is always within bounds.
func (m *Module) withinBounds(
	req *request, load *inFlightLoad, threadBound float64, capacity EngineKind, grant float64,
) bool {
	if load.attempts == 0 {
		return true
	}
	return load.threads+fitFraction*req.class.threadCount() <= threadBound &&
		(capacity.MemoryMB == 0 || load.memoryMB+grant <= capacity.MemoryMB*min(1, m.fleetFraction()))
}

// competingLoad returns the load that a request competes with on engines. A request with a high priority
// overtakes the others there, and competes only with requests of a high priority.
func (m *Module) competingLoad(req *request, all, high *inFlightLoad) *inFlightLoad {
	if m.priorityBand(req) > 0 {
		return high
	}
	return all
}

// threadBound returns how many threads this gateway may have in flight on the given cores.
func (m *Module) threadBound(cores float64) float64 {
	return threadsPerCore * cores * m.fleetFraction()
}

// fleetThreadBound returns the thread bound of the fleet plus a margin for bursts: the load of a single
// gateway fluctuates, while the total hardly does. A share below 1, the result of slow attempts, reduces
// the margin, and more so for late requests: they can wait until a burst is over, and must not displace
// requests that can still meet their objective.
func (m *Module) fleetThreadBound(late bool) float64 {
	bound, margin := m.threadBound(m.fleetCapacity.Cores), min(m.share, 1)
	if late {
		margin *= margin * margin
	}
	return bound + burstDeviations*margin*math.Sqrt(bound*m.maxThreads)
}

// memoryGrant returns the memory grant of an attempt in MB: what most requests with such an estimate need,
// which is the estimate times the mean need of the class plus one standard deviation. MaxGrantFraction
// caps it.
func (m *Module) memoryGrant(req *request, eng *engine) float64 {
	need := &req.class.memoryNeed
	grant := req.EstimatedMemoryMB * (need.mean.valueOr(1) + need.deviation())
	if m.settings.MaxGrantFraction > 0 {
		grant = min(grant, m.settings.MaxGrantFraction*m.kindOf(eng).MemoryMB)
	}
	return grant
}
