package rules

// Capacity: how many threads and how much memory this gateway may use of an engine and of the fleet; the
// types are in api.go. Invariant: what it has in flight stays within its share of both, except that one
// query is always allowed on an engine and in all.

import "math"

const (
	// threadsPerCore is the thread bound of a whole engine.
	threadsPerCore = 1.5
	// fitFraction is the fraction of a further query that must fit a thread bound. All of it would keep out
	// wide queries for good, as narrow ones take every thread that becomes free.
	fitFraction = 0.5
	// burstDeviations is by how many standard deviations this gateway's need may pass its share by chance.
	burstDeviations = 2.0
)

// fits reports whether an engine is routable and within its bounds with one more request.
func (m *Module) fits(req *request, eng *engine) bool {
	if !m.routable(req, eng) || req.blocksOnDataLoad() && eng.dataLoads[req.DataSet] > 0 {
		return false
	}
	grant := m.memoryGrant(req, eng)
	return m.fitsBesidePeers(req, eng) && m.fitsFleet(req, grant) && m.fitsEngine(req, eng, grant)
}

// fitsBesidePeers reports whether the engine has threads left beside what peers report to run there.
func (m *Module) fitsBesidePeers(req *request, eng *engine) bool {
	eng.peers.expire(m.now - m.longestTimeout)
	needed := fitFraction * req.class.threadCount()
	return eng.peers.threads <= 0 ||
		eng.threads+eng.peers.threads+needed <= threadsPerCore*m.kindOf(eng).Cores
}

func (m *Module) fitsFleet(req *request, grant float64) bool {
	load := m.competing(req, &m.inFlight, &m.highPriority)
	return m.withinBounds(req, load, m.fleetThreadBound(req.late), m.fleetCapacity, grant)
}

func (m *Module) fitsEngine(req *request, eng *engine, grant float64) bool {
	load, kind := m.competing(req, &eng.inFlightLoad, &eng.highPriority), m.kindOf(eng)
	return m.withinBounds(req, load, m.threadBound(kind.Cores), kind, grant)
}

// withinBounds is the thread bound and the memory bound, for one engine or for the fleet.
func (m *Module) withinBounds(
	req *request, load *inFlightLoad, threads float64, kind EngineKind, grant float64,
) bool {
	if load.attempts == 0 {
		return true
	}
	return load.threads+fitFraction*req.class.threadCount() <= threads &&
		(kind.MemoryMB == 0 || load.memoryMB+grant <= kind.MemoryMB*min(1, m.fleetFraction()))
}

// competing is the load that a request competes with at the engines: a high priority overtakes there, and
// competes with its like only.
func (m *Module) competing(req *request, all, high *inFlightLoad) *inFlightLoad {
	if m.priorityBand(req) > 0 {
		return high
	}
	return all
}

func (m *Module) threadBound(cores float64) float64 {
	return threadsPerCore * cores * m.fleetFraction()
}

// fleetThreadBound adds a margin to the thread bound of the fleet: what single gateways need scatters, the
// sum hardly does. Slow attempts at a share below one take from the margin, more of it from late requests:
// these can wait until a burst is over, and must not take the place of what can still meet its objective.
func (m *Module) fleetThreadBound(late bool) float64 {
	bound, margin := m.threadBound(m.fleetCapacity.Cores), min(m.share, 1)
	if late {
		margin *= margin * margin
	}
	return bound + burstDeviations*margin*math.Sqrt(bound*m.mostThreads)
}

// memoryGrant is the memory to ask for: what most requests with such an estimate need.
func (m *Module) memoryGrant(req *request, eng *engine) float64 {
	need := &req.class.memoryNeed
	grant := req.EstimatedMemoryMB * (need.mean.valueOr(1) + need.deviation())
	if m.settings.MaxGrantFraction > 0 {
		grant = min(grant, m.settings.MaxGrantFraction*m.kindOf(eng).MemoryMB)
	}
	return grant
}
