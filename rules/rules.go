package rules

// All decisions of a gateway. The types it speaks in are in api.go.
//
// The ordinary path: a request is held in the queue of its class and tenant;
// release draws a class, a tenant and a request by lottery; the memory gate
// and the thread bound say which engines may take it; of two random ones of
// these the less busy gets it. Everything else guards that path.

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	threadsPerCore           = 1.5              // thread bound of a whole engine, in threads a core
	fitFraction              = 0.5              // part of a further query that must fit; all would shut wide ones out
	learningWindow           = 10 * Second      // memory of the learned ratios
	slowFactor               = 1.35             // times its run alone: slower means too much at once
	slowObjectiveFraction    = 0.1              // and takes over this part of the time in which it is wanted
	shareGrowth              = 0.2              // growth of our share by a second of an even part's good work
	startupGrowth            = 4.0              // times that on top of it after our start, fading over the window
	shareCut                 = 0.13             // part of our share cut by a second of an even part in slow attempts
	maxShareCut              = 0.3              // most that one slow attempt cuts
	minShare                 = 0.05             // in even parts: what we always take
	burstDeviations          = 2.0              // deviations by which one gateway's need may pass its part by chance
	usedShareFraction        = 0.7              // part of our share in use from which it counts as used up
	maxShareFactor           = 2.0              // most of an engine's bound that we ever take for ours
	slowStartSafety          = 0.6              // part of our share of a cold engine's budget that we use
	slowStartDeviations      = 5.5              // deviations by which what all together ask for by lot must not pass it
	minPreferredEngines      = 3                // engines that keep even the least read data set warm
	preferredEnginesFactor   = 1.5              // and this times its part of the requests, of all engines
	popularityPrior          = 20               // requests that a part must outweigh to be believed
	peerReportFactor         = 2.0              // peers hear of attempts with this times the usual work
	sweepInterval            = 50 * Millisecond // how often held requests are reconsidered without an event
	failureRateGain          = 0.25             // weight of the newest outcome in an engine's failure share
	ejectionThreshold        = 0.3              // failure share from which an engine only gets a trickle
	panicThreshold           = 0.8              // part of the fleet that must fail for the cause to be shared
	minBackoff               = 500 * Millisecond
	maxBackoff               = 4 * Second
	overdueObjectiveFraction = 0.4  // overdue: over this part of the time in which it is wanted, and
	overdueRunTimeFactor     = 1.2  // overdue: over this times the run time that estimates two deviations off give
	slowdownGain             = 0.2  // weight of the newest outcome in an engine's drag
	openRequestsFraction     = 0.85 // part of the requests that may be open, from which held ones make room
	shortClassMaxWork        = 0.35 // part of all work up to which a class of high priority passes for short
	initialPredictionError   = 0.5  // deviation of estimates that is assumed before any was seen
)

// New returns the module of a gateway that has just started.
func New(s Settings, seed uint64) *Module {
	m := newState(s, rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)))
	m.share, m.lastDeadline = 1, math.MaxInt64
	m.requestWork.span = learningWindow
	for _, c := range s.Classes {
		k := &class{Class: c}
		k.setSpan(learningWindow)
		k.predictionError.assume(0, initialPredictionError)
		k.memoryNeed.assume(1, initialPredictionError/2)
		for range max(1, len(s.Tenants)) {
			k.queues = append(k.queues, &queue{})
		}
		m.classes = append(m.classes, k)
		m.longestTimeout = max(m.longestTimeout, c.ClientTimeout)
		m.mostThreads = max(m.mostThreads, float64(c.Threads))
	}
	return m
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (m *Module) Handle(now Time, event Event) []Action {
	m.actions, m.now = m.actions[:0], now
	if !m.started {
		m.started, m.startedAt = true, now
		m.subscribe()
	}
	switch e := event.(type) {
	case FleetUpdate:
		m.handleFleetUpdate(e)
	case Arrival:
		m.handleArrival(e.Request)
	case Outcome:
		m.handleOutcome(e)
	case StreamOpened:
		m.handleStreamOpened(e.ID)
	case ClientGone:
		m.handleClientGone(e.ID)
	case TimerFired:
		m.handleTimer(e.Token)
	case PeerMessage:
		m.handlePeerMessage(e)
	case ShutdownStarted:
		m.handleShutdown(e.Deadline)
	case observation:
		e.apply(m)
	case ProbeResult: // it answers: what it is left out for fades
		if known := m.engineByID[e.Engine]; known != nil && e.Status == StatusOK {
			known.failureRate, known.backoff = known.failureRate/2, backoff{}
		} else if known != nil && e.Suspected {
			m.recordFailure(known)
		}
	}
	m.dispatch()
	m.shedExcess()
	return m.actions
}

// ---- the list of engines

// handleFleetUpdate follows the list. A failed or silent list leaves the last one standing.
func (m *Module) handleFleetUpdate(f FleetUpdate) {
	if f.Mode == UpdateFailed {
		m.emit(SetTimer{At: m.now + Second, Token: "ask"})
		return
	}
	if f.Mode != UpdateDelta {
		for _, e := range m.engines {
			e.State = EngineGone
		}
	}
	for _, entry := range f.Engines {
		e := m.engineByID[entry.ID]
		if e == nil {
			e = newEngine()
			m.engineByID[entry.ID] = e
			m.engines = append(m.engines, e)
		}
		if entry.StartedAt != e.StartedAt {
			e.failureRate, e.slowdowns, e.backoff = 0, [2]logSlowdown{}, backoff{}
		}
		e.Engine = entry
	}
	m.removeGoneEngines()
}

// ---- requests

func (m *Module) handleArrival(q Request) {
	if m.requests[q.ID] != nil {
		return
	}
	c := m.classes[q.Class]
	q.Deadline = min(q.Deadline, m.lastDeadline)
	r := &request{Request: q, class: c, arrivedAt: m.now - q.QueuedFor, heapIndex: -1}
	r.queue = c.queues[min(q.Tenant, len(c.queues)-1)]
	m.requests[q.ID] = r
	if m.settings.Constraints.RetryBudgetEnabled {
		m.arrivals = insertSorted(dropBefore(m.arrivals, m.now-m.settings.Constraints.RetryBudgetWindow), r.arrivedAt)
	}
	c.requestWork.add(m.now, m.predictedWork(r), 1)
	m.requestWork.add(m.now, m.predictedWork(r), 1)
	m.dataSet(q.DataSet).requests.add(m.now, 1, 1)
	m.emit(SetTimer{At: q.Deadline, Token: "request " + string(q.ID)})
	if c.Ordered && q.OrderKey != "" {
		m.joinKeyQueue(r)
		return
	}
	m.enqueue(r)
}

// shedExcess refuses, where as many requests are open as clients may have with us, the one that would
// be drawn last of the class with the most held. What is held without hope, as loads that wait for
// each other's data sets, must not shut out what could run at once.
func (m *Module) shedExcess() {
	for m.queuedCount > 0 && m.settings.Limits.MaxOpenRequests > 0 && float64(len(m.requests)) > openRequestsFraction*float64(m.settings.Limits.MaxOpenRequests) {
		m.finish(m.longestQueue().last(), ReasonQueueFull)
	}
}

// predictedWork is the request's expected work, all threads together.
func (m *Module) predictedWork(r *request) float64 {
	if r.HasEstimate {
		return float64(r.EstimatedWork) * r.class.costRatio.mean(1)
	}
	return r.class.requestWork.mean(float64(r.class.LatencyObjective))
}

// latencyObjective is how long after its arrival an answer still earns full worth.
func (r *request) latencyObjective(work float64) Time {
	return r.class.LatencyObjective + Time(r.class.ObjectiveStretch*work/float64(max(1, r.class.Threads)))
}

func (m *Module) enqueue(r *request) {
	if r.ended || r.heapIndex >= 0 {
		return
	}
	work := m.predictedWork(r)
	r.late = m.now+r.runTime(work, 1) > r.arrivedAt+r.latencyObjective(work)
	r.virtualFinish = r.queue.virtualTime + m.rng.ExpFloat64()*work
	r.queue.totalWork, r.queuedWork = r.queue.totalWork+work, work
	heap.Push(r.queue, r)
	m.queuedCount++
	m.review(r)
}

// review settles what time has done to a request: it is late, hopeless, overdue or due.
func (m *Module) review(r *request) {
	if r.ended || r.streaming {
		return
	}
	work := m.predictedWork(r)
	run := r.runTime(work, 1)
	if m.now >= r.Deadline || r.inFlight == 0 && m.now+run >= r.Deadline {
		m.finish(r, ReasonDeadline)
		return
	}
	if r.inFlight > 0 {
		m.checkSlow(r)
		m.checkOverdue(r)
		return
	}
	turn := r.arrivedAt + r.latencyObjective(work) - run
	if m.now < turn {
		m.reviewAt(r, turn)
		return
	}
	// It has just arrived: engines that are idle are tried before it is judged by what may be a guess.
	if r.class.LateValue <= 0 && m.now == r.arrivedAt+r.QueuedFor {
		m.reviewAt(r, m.now+m.settings.Tick)
		return
	}
	if r.class.LateValue <= 0 {
		m.finish(r, ReasonTooLate)
		return
	}
	if !r.late && r.heapIndex >= 0 {
		r.late = true
		heap.Fix(r.queue, r.heapIndex)
	}
	m.reviewAt(r, r.Deadline-run)
}

// handleShutdown brings all deadlines forward to when we must be gone. What could not end by then has its
// answer at once, so that its client goes elsewhere; the rest is served as ever.
func (m *Module) handleShutdown(by Time) {
	m.lastDeadline = by
	for _, id := range slices.Sorted(maps.Keys(m.requests)) {
		r := m.requests[id]
		if r == nil { // it ended with the one before it, whose turn it had waited for
			continue
		}
		r.Deadline = min(r.Deadline, by)
		m.emit(SetTimer{At: r.Deadline, Token: "request " + string(r.ID)})
		m.review(r)
	}
}

// retryAfter is how long a refused client should stay away: until what is held should have run, but no
// longer than its query runs. At our end it should go elsewhere at once.
func (m *Module) retryAfter(r *request) Time {
	if !m.settings.Limits.RetryAfter || m.lastDeadline != math.MaxInt64 {
		return 0
	}
	held := Time(m.queuedWork() / max(m.threadBound(m.fleetCapacity.Cores), 1))
	return min(held, r.runTime(m.predictedWork(r), 1), m.settings.Limits.MaxRetryAfter)
}

// finish gives the final answer now: a refusal where the rules allow that promise, else a failure.
func (m *Module) finish(r *request, why FailureReason) {
	if m.mayReject(r) {
		m.emit(Reject{ID: r.ID, RetryAfter: m.retryAfter(r), Reason: why})
	} else {
		m.emit(Fail{ID: r.ID, Reason: why})
	}
	m.endRequest(r)
}

// endRequest closes a request and withdraws what still runs for it.
func (m *Module) endRequest(r *request) {
	m.dequeue(r)
	r.ended = true
	for i := range r.attempts {
		if !r.attempts[i].done && m.settings.Limits.Cancel && !r.streaming {
			m.emit(Cancel{ID: r.ID, Attempt: i})
		}
	}
	m.removeIfDone(r)
}

// ---- what the rules allow

// mayReject answers whether we can promise that a retry is harmless.
func (m *Module) mayReject(r *request) bool {
	c := r.class
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentWithKey && c.DedupScope == DedupFleet || !r.mayHaveExecuted()
}

// maySend is the one place that says whether the rules allow a (further) attempt on an engine.
func (m *Module) maySend(r *request, e *engine) bool {
	return e.State == EngineServing && allowed(r.class.AllowedZones, e.Zone) && allowed(r.class.AllowedKinds, e.Kind) &&
		m.mayRetry(r, e) && m.zoneAdmits(r, e) && m.slowStartBudgetLeft(r, e)
}

func (m *Module) mayRetry(r *request, e *engine) bool {
	if len(r.attempts) == 0 {
		return true
	}
	if r.inFlight > 0 && !m.settings.Limits.HedgedRequests || !m.retryBudgetLeft() || !m.attemptsLeft(r) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done && a.status.NeverExecuted() || r.class.Idempotency == Idempotent {
			continue
		}
		by := m.now + m.settings.Limits.ConnectTimeout // it may have to wait for a connection until then
		if r.class.Idempotency == NotIdempotent || by-a.startedAt >= r.class.DedupWindow || !r.class.sameDedupScope(a, e) {
			return false
		}
	}
	return true
}

func (c *class) sameDedupScope(a *attempt, e *engine) bool {
	switch c.DedupScope {
	case DedupZone:
		return a.zone == e.Zone
	case DedupCell:
		return a.cell == e.Cell
	}
	return true
}

func (m *Module) attemptsLeft(r *request) bool {
	return m.settings.Limits.MaxAttempts <= 0 || len(r.attempts) < m.settings.Limits.MaxAttempts
}

// retryBudgetLeft answers whether one more further attempt stays within the site's ration.
func (m *Module) retryBudgetLeft() bool {
	d := m.settings.Constraints
	if !d.RetryBudgetEnabled {
		return true
	}
	m.arrivals = dropBefore(m.arrivals, m.now-d.RetryBudgetWindow+m.settings.Tick)
	m.retries = dropBefore(m.retries, m.now-d.RetryBudgetWindow-m.settings.Tick)
	return float64(len(m.retries)+1) <= d.RetryBudgetMin+d.RetryBudgetRatio*float64(len(m.arrivals))
}

// slowStartBudgetLeft keeps a cold engine from being pushed over: all gateways together may send it only so
// much within the tip window, so each keeps to its part, whatever part of the traffic it has. A
// gateway that has just started does not know what it sent before, and waits a window. Where hundreds
// are, a part is smaller than a query, and what is heavy would never go there: then a lot, drawn anew each
// window, lets so many send one that together they ask for a safe part of it. If all of three do, it holds.
func (m *Module) slowStartBudgetLeft(r *request, e *engine) bool {
	d := m.settings.Constraints
	if !m.warmingUp(e) || d.OverloadWindow <= 0 || d.OverloadFactor <= 0 { // warm, or no budget is named
		e.slowStartSends = nil
		return true
	}
	work := max(r.class.requestWork.mean(math.Inf(1)), m.predictedWork(r))
	spent := e.sentSince(m.now - d.OverloadWindow - m.settings.Tick)
	part := m.slowStartQuota(e)
	whole := part * float64(m.settings.Gateways)
	if m.now < m.startedAt+d.OverloadWindow || e.peerSlowStartWork > 0 && e.peerSlowStartWork+spent+work > whole {
		return false
	}
	asked := part * sampledFraction(whole/work) * min(1, float64(m.now-e.StartedAt)/float64(d.OverloadWindow))
	return m.withinSlowStartQuota(r, e) || spent+work <= slowStartSafety/2*whole && spent+m.sample(e, d.OverloadWindow)*work <= asked
}

// sampledFraction is the part of a budget for which all together may ask by lot, where it holds n queries: so
// many that it lies coldChance deviations of chance over what they ask for.
func sampledFraction(n float64) float64 {
	root := math.Sqrt(n+slowStartDeviations*slowStartDeviations/4) - slowStartDeviations/2
	return min(root*root/n, slowStartSafety)
}

// slowStartQuota is our even part of what a cold engine bears in a tip window.
func (m *Module) slowStartQuota(e *engine) float64 {
	d := m.settings.Constraints
	return d.OverloadFactor * m.speedFraction(e) * m.kindOf(e).Cores * float64(d.OverloadWindow) / float64(m.settings.Gateways)
}

// withinSlowStartQuota answers whether a request fits the part of it that we always use.
func (m *Module) withinSlowStartQuota(r *request, e *engine) bool {
	spent := r.class.requestWork.mean(math.Inf(1)) + e.sentSince(m.now-m.settings.Constraints.OverloadWindow-m.settings.Tick)
	return spent <= slowStartSafety*m.slowStartQuota(e)
}

// ---- the ordinary path

func (m *Module) dispatch() {
	for m.queuedCount > 0 && m.hasCapacity() && m.dispatchOne() {
	}
	if m.queuedCount > 0 && !m.sweepPending {
		m.sweepPending = true
		m.emit(SetTimer{At: m.now + sweepInterval, Token: "sweep"})
	}
}

func (m *Module) hasCapacity() bool {
	all := &m.inFlight
	if m.settings.AcceptsPriority {
		all = &m.highPriority // at least what has a high priority could go
	}
	if all.attempts > 0 && all.threads >= m.fleetThreadBound(false) {
		return false
	}
	for _, e := range m.engines {
		open := e.attempts == 0 || m.settings.AcceptsPriority || e.threads < m.threadBound(m.kindOf(e).Cores)
		if open && e.State == EngineServing {
			return true
		}
	}
	return false
}

// dispatchOne draws classes, without putting back, until a request of one goes out.
func (m *Module) dispatchOne() bool {
	passed := make([]bool, len(m.classes))
	for range m.classes {
		c := m.drawClass(passed)
		if c < 0 {
			return false
		}
		passed[c] = true
		if q := m.classes[c].drawTenant(m.rng); m.dispatchFrom(q) || m.dispatchFrom(q) {
			return true
		}
	}
	return false
}

// drawClass is the class lottery. Every class has the same share of time; that over the mean
// predicted time of its held requests is its odds. Requests that are late already count for what
// they still earn.
func (m *Module) drawClass(passed []bool) int {
	odds := make([]float64, len(m.classes))
	for i, c := range m.classes {
		n, total, earns := 0, 0.0, 0.0
		for _, q := range c.queues {
			n += q.Len()
			total += q.totalWork
			if q.Len() > 0 && !q.requests[0].late {
				earns = 1
			} else if q.Len() > 0 {
				earns = max(earns, c.LateValue, 1e-6)
			}
		}
		if n > 0 && !passed[i] {
			odds[i] = earns * float64(n) / max(total, 1)
		}
	}
	return draw(m.rng, odds)
}

// drawTenant draws a tenant's queue with odds of one over its held requests' mean predicted time.
func (c *class) drawTenant(rng *rand.Rand) *queue {
	odds := make([]float64, len(c.queues))
	for i, q := range c.queues {
		if q.Len() > 0 {
			odds[i] = float64(q.Len()) / max(q.totalWork, 1)
		}
	}
	return c.queues[max(draw(rng, odds), 0)]
}

// dispatchFrom draws a request of a queue and sends it if it fits somewhere. If not it is drawn anew:
// one that has to wait (for a ration, a group, memory) must not block the rest.
func (m *Module) dispatchFrom(q *queue) bool {
	r := q.requests[0]
	to := m.chooseEngine(r)
	if to == nil {
		r.virtualFinish = q.virtualTime + m.rng.ExpFloat64()*r.queuedWork
		heap.Fix(q, 0)
		return false
	}
	if !r.late {
		q.virtualTime = max(q.virtualTime, r.virtualFinish)
	}
	m.dequeue(r)
	m.send(r, to)
	return true
}

// chooseEngine takes the less busy, by the time we predicted for what runs there, of two random engines that
// may take the request. One that had an attempt of it gets another only where no other engine may.
func (m *Module) chooseEngine(r *request) *engine {
	if e := m.sampledWarmingEngine(r); e != nil {
		return e
	}
	zone, ok := m.chooseZone(r)
	if m.candidates = m.candidates[:0]; !ok {
		return nil
	}
	if zone >= 0 {
		if m.listCandidates(r, m.preferredInZone(r, zone)); r.blocksOnDataLoad() || len(m.candidates) < 2 && m.zonePlan != nil {
			m.listCandidates(r, m.enginesInZone(zone))
		}
	}
	if len(m.candidates) == 0 {
		if m.listCandidates(r, m.preferredEngines(r)); len(m.candidates) < 2 {
			m.listCandidates(r, m.engines)
		}
	}
	m.candidates = excluding(m.candidates, r.triedOn)
	n := len(m.candidates)
	if n < 2 {
		return append(m.candidates, nil)[0]
	}
	i, j := m.rng.IntN(n), m.rng.IntN(n-1)
	if j >= i {
		j++
	}
	best := m.candidates[i]
	if m.predictedBusy(r, m.candidates[j]) < m.predictedBusy(r, best) {
		best = m.candidates[j]
	}
	return best
}

// sampledWarmingEngine is the least busy of the cold engines on which a lot came up for the request.
func (m *Module) sampledWarmingEngine(r *request) (best *engine) {
	for _, e := range m.engines {
		if m.warmingUp(e) && !m.withinSlowStartQuota(r, e) && m.fits(r, e) && m.maySend(r, e) && !r.triedOn(e) &&
			(best == nil || m.predictedBusy(r, e) < m.predictedBusy(r, best)) {
			best = e
		}
	}
	return best
}

// fleetFraction is our part of anything that all gateways use, as learned.
func (m *Module) fleetFraction() float64 { return max(m.share, 1) / float64(m.settings.Gateways) }

func (m *Module) listCandidates(r *request, of []*engine) {
	m.candidates = m.candidates[:0]
	for _, e := range of {
		if m.fits(r, e) && m.maySend(r, e) {
			m.candidates = append(m.candidates, e)
		}
	}
}

// preferredEngines are the engines that all gateways prefer for a data set, so that it is warm there: a few by a
// hash that all share, and more the larger its part of the requests. Loads keep apart instead.
func (m *Module) preferredEngines(r *request) []*engine {
	if r.blocksOnDataLoad() {
		return nil
	}
	set := m.dataSet(r.DataSet)
	n := minPreferredEngines + int(preferredEnginesFactor*float64(len(m.engines))*set.requests.sum/(m.requestWork.weight+popularityPrior))
	return set.preference[:min(n, len(set.preference))]
}

// ---- notes among gateways

// reportsToPeers answers whether peers hear of an attempt: where notes are allowed, of all that is twice as
// heavy as the usual request. That is most of the work, and few notes: they cost.
func (m *Module) reportsToPeers(a *attempt) bool {
	return m.settings.Limits.PeerMessages && m.settings.Gateways > 1 && a.work >= peerReportFactor*m.requestWork.mean(0)
}

// predictedBusy is the engine time predicted for what runs there of ours and for the request itself. With few
// queries of ours out, the engine's drag is all that tells two engines apart.
func (m *Module) predictedBusy(r *request, e *engine) float64 {
	e.peers.expire(m.now - m.longestTimeout)
	return e.work + e.peers.work + m.predictedWork(r)*m.slowdown(r, e)
}

func (m *Module) threadBound(cores float64) float64 {
	return threadsPerCore * cores * m.fleetFraction()
}

// fleetThreadBound adds a margin of chance: what single gateways draw scatters, their sum hardly does. Slow
// attempts that go on at an even part take away from it, more of it from what is late already: that can
// wait until a crowd has gone, and must not take the place of what can still be in time.
func (m *Module) fleetThreadBound(late bool) float64 {
	b, spare := m.threadBound(m.fleetCapacity.Cores), min(m.share, 1)
	if late {
		spare *= spare * spare
	}
	return b + burstDeviations*spare*math.Sqrt(b*m.mostThreads)
}

// withinBounds is the memory gate and the thread bound, for one engine or for all together.
func (m *Module) withinBounds(r *request, l *inFlightLoad, bound float64, k EngineKind, grant float64) bool {
	return l.attempts == 0 || l.threads+fitFraction*float64(max(1, r.class.Threads)) <= bound &&
		(k.MemoryMB == 0 || l.memoryMB+grant <= k.MemoryMB*min(1, m.fleetFraction()))
}

// fits is the memory gate, the thread bound and the trickle to an engine that fails.
func (m *Module) fits(r *request, e *engine) bool {
	if !m.routable(r, e) || r.blocksOnDataLoad() && e.dataLoads[r.DataSet] > 0 {
		return false
	}
	grant, kind := m.memoryGrant(r, e), m.kindOf(e)
	e.peers.expire(m.now - m.longestTimeout)
	wide := fitFraction * float64(max(1, r.class.Threads))
	return (e.peers.threads <= 0 || e.threads+e.peers.threads+wide <= threadsPerCore*kind.Cores) &&
		m.withinBounds(r, m.competing(r, &m.inFlight, &m.highPriority), m.fleetThreadBound(r.late), m.fleetCapacity, grant) &&
		m.withinBounds(r, m.competing(r, &e.inFlightLoad, &e.highPriority), m.threadBound(kind.Cores), kind, grant)
}

// competing is which of our loads a request competes with there: what has a high priority does with its like
// only, and must not wait here for what it would overtake there.
func (m *Module) competing(r *request, all, high *inFlightLoad) *inFlightLoad {
	if m.priorityBand(r) > 0 {
		return high
	}
	return all
}

// blocksOnDataLoad answers whether a load of the same data set on its engine makes the request stand
// still, with all the memory it was granted. It goes elsewhere, and how long it took says little of
// the engine: another gateway's load may have held it up.
func (r *request) blocksOnDataLoad() bool { return r.class.IsDataLoad || r.class.BlockedByDataLoad }

// routable keeps all but a trickle of short queries from an engine that fails, or on which the
// request would be late. Where hardly an engine does not fail the cause is shared, and leaving engines
// out would only add load to the others. A cut between zones leaves a part of the fleet, even a small
// one, and that part is better than none.
func (m *Module) routable(r *request, e *engine) bool {
	inTime := r.late || m.now+r.runTime(m.predictedWork(r), m.slowdown(r, e)) <= r.arrivedAt+r.latencyObjective(m.predictedWork(r))
	if inTime && (!m.ejectedFor(r.class, e) || m.inPanicMode(r.class)) {
		return true
	}
	return r.class.Idempotency == Idempotent && m.priority(r) > 1 && e.attempts == 0 &&
		m.now >= max(e.until, e.rejections[r.class].until)
}

// ejected: it fails much, or is resting after that.
func (m *Module) ejected(e *engine) bool {
	return e.failureRate >= ejectionThreshold || m.now < e.until
}

// ejectedFor: it is sick, or has turned away the class and rests from it.
func (m *Module) ejectedFor(c *class, e *engine) bool {
	return m.ejected(e) || m.now < e.rejections[c].until
}

func (m *Module) inPanicMode(c *class) bool {
	return float64(m.countEngines(c, m.ejectedFor)) > panicThreshold*float64(len(m.engines))
}

// next is a rest that follows another: twice as long, within bounds.
func (p backoff) next(now Time) backoff {
	rest := min(max(2*p.duration, minBackoff), maxBackoff)
	return backoff{rest, now + rest}
}

// memoryGrant is the memory we ask for: the need of most requests with such an estimate.
func (m *Module) memoryGrant(r *request, e *engine) float64 {
	grant := r.EstimatedMemoryMB * (r.class.memoryNeed.mean.mean(1) + r.class.memoryNeed.deviation())
	if m.settings.MaxGrantFraction > 0 {
		grant = min(grant, m.settings.MaxGrantFraction*m.kindOf(e).MemoryMB)
	}
	return grant
}

func (m *Module) send(r *request, e *engine) {
	grant := m.memoryGrant(r, e)
	terms := SetAttemptOptions{ID: r.ID, MemoryMB: math.Ceil(grant), Priority: m.priority(r)}
	if terms != r.options && (m.settings.AcceptsGrants || m.settings.AcceptsPriority) {
		r.options = terms
		m.emit(terms)
	}
	m.emit(Send{ID: r.ID, Engine: e.ID})
	if len(r.attempts) > 0 {
		m.retries = append(m.retries, m.now)
	}
	work := m.predictedWork(r)
	if m.followsZonePlan(r) {
		m.zonePlan.RecordSend(m.now, e.Zone, work, len(r.attempts) > 0)
	}
	a := attempt{engine: e, zone: e.Zone, cell: e.Cell, startedAt: m.now, threads: float64(max(1, r.class.Threads)),
		memoryMB: grant, highPriority: m.priorityBand(r) > 0, expectedTime: float64(r.runTime(work, m.slowdown(r, e)))}
	a.work = a.expectedTime * a.threads
	a.reportedToPeers = m.reportsToPeers(&a)
	m.startAttempt(r, a)
	if a.reportedToPeers {
		m.emit(Broadcast{Payload: e.encodePeerReport()})
	}
	if m.warmingUp(e) {
		e.slowStartSends = append(e.slowStartSends, sentWork{m.now, r.class.requestWork.mean(work)})
	}
	m.reviewAt(r, m.slowAt(r, &a))
}

// priority favours the class that earns most for its work.
func (m *Module) priority(r *request) int {
	for _, c := range m.classes {
		if c.PriorityWeight*r.class.requestWork.mean(1) > r.class.PriorityWeight*c.requestWork.mean(math.Inf(1)) {
			return 1
		}
	}
	return 3
}

// ---- outcomes

func (m *Module) handleOutcome(o Outcome) {
	r := m.requests[o.ID]
	if r == nil || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	m.learn(r, a, o)
	m.endAttempt(r, a, o.Status)
	if a.reportedToPeers {
		m.emit(Broadcast{Payload: a.engine.encodePeerReport()})
	}
	if a.engine.State == EngineGone {
		m.removeGoneEngines()
	}
	m.quarantineKey(r, o.Status)
	if o.Closed && !r.ended {
		m.endRequest(r)
	}
	if r.ended {
		m.removeIfDone(r)
		return
	}
	if r.inFlight == 0 {
		m.retryOrFinish(r)
	}
}

// retryOrFinish holds a request for a further attempt where one may still help, else ends it.
func (m *Module) retryOrFinish(r *request) {
	if !m.attemptsLeft(r) || r.mayHaveExecuted() && r.class.Idempotency == NotIdempotent {
		m.finish(r, ReasonAttemptsExhausted)
		return
	}
	m.enqueue(r)
}

// learn takes from an outcome all it tells of its class and its engine. Time-outs and cancels
// count too: figures of survivors alone would look better than things are.
func (m *Module) learn(r *request, a *attempt, o Outcome) {
	c, e := r.class, a.engine
	if o.NotEngineFault { // answers of any engine are: none is left out for it
		return
	}
	switch o.Status {
	case StatusSuperseded:
		return
	case StatusError, StatusReset, StatusConnectFailed:
		m.recordFailure(e)
		return
	case StatusTimeout, StatusCancelled:
		if a.cancelledOverdue || o.Status == StatusTimeout {
			m.recordFailure(e)
		}
	case StatusRejected:
		drag := e.slowdowns[m.priorityBand(r)].log // it may be full of something else
		m.cutShare(maxShareCut * min(1, drag/math.Log(slowFactor)))
		e.rejections[c] = e.rejections[c].next(m.now)
		return
	case StatusOK:
		e.failureRate -= failureRateGain * e.failureRate
		e.duration = 0
		delete(e.rejections, c)
	}
	work := m.predictedWork(r)
	if o.Status == StatusOK && o.MeasuredWork > 0 {
		c.predictionError.add(m.now, math.Log(float64(o.MeasuredWork)/max(work, 1)))
		work = float64(o.MeasuredWork)
		if r.HasEstimate {
			c.costRatio.add(m.now, work, float64(r.EstimatedWork))
		}
		if r.EstimatedMemoryMB > 0 && o.MeasuredMemoryMB > 0 {
			c.memoryNeed.add(m.now, o.MeasuredMemoryMB/r.EstimatedMemoryMB)
		}
	}
	lag := float64(o.Latency)
	m.learnSlowdown(r, e, work, lag)
	if a.cancelledOverdue || r.blocksOnDataLoad() {
		return
	}
	alone := float64(r.runTime(work, 1)) + float64(2*m.settings.Tick)
	waiting := o.Load["queue"] >= 1 // queries wait for memory there: more is granted than there is
	if waiting || lag > max(slowFactor*alone, slowObjectiveFraction*float64(r.latencyObjective(work))) {
		m.countSlow(a, lag)
	} else if o.Status == StatusOK && m.shareUsed() {
		grow := shareGrowth * (1 + startupGrowth*math.Exp(-float64(m.now-m.startedAt)/float64(learningWindow)))
		m.share = min(m.share+grow*m.evenShareSeconds(work), maxShareFactor*float64(m.settings.Gateways))
	}
}

// learnSlowdown follows, as a logarithm, how slow an engine is to all that we send at one priority, however it
// ends: where many queries crowd an engine, those of a high priority hardly feel it. The longer ago we
// heard of it, the more the newest outcome counts.
func (m *Module) learnSlowdown(r *request, e *engine, work, lag float64) {
	d := &e.slowdowns[m.priorityBand(r)]
	drag := math.Log(max(lag/float64(r.runTime(work, 1)+2*m.settings.Tick), 1))
	d.log += max(slowdownGain, 1-math.Exp(-float64(m.now-d.updatedAt)/float64(learningWindow))) * (drag - d.log)
	d.updatedAt = m.now
}

// countSlow cuts our share of an engine for an attempt that takes too long, by the part of the engine
// that it held. It counts as soon as it is seen, and what it held further at its end: outcomes alone would
// tell of survivors.
func (m *Module) countSlow(a *attempt, lag float64) {
	if lag > a.countedSlow {
		m.cutShare(shareCut * m.evenShareSeconds(a.threads*(lag-a.countedSlow)))
		a.countedSlow = lag
	}
}

func (m *Module) cutShare(by float64) { m.share = max(m.share*(1-min(by, maxShareCut)), minShare) }

// shareUsed answers whether we come near what we may put on the fleet, so that more would be used.
func (m *Module) shareUsed() bool {
	return m.inFlight.threads >= usedShareFraction*m.threadBound(m.fleetCapacity.Cores) ||
		m.inFlight.memoryMB >= usedShareFraction*m.fleetCapacity.MemoryMB*m.fleetFraction()
}

// recordFailure marks an engine that failed an attempt and lets it rest, longer each time. An attempt cancelled as
// overdue is a failure too: an engine behind a cut link, or one that grows slower, gives no other sign.
func (m *Module) recordFailure(e *engine) {
	e.failureRate += failureRateGain * (1 - e.failureRate)
	if e.failureRate >= ejectionThreshold {
		e.backoff = e.backoff.next(m.now)
	}
}

// ---- bad plans and other overdue attempts

// slowAt is when an attempt counts as slow before its outcome is known.
func (m *Module) slowAt(r *request, a *attempt) Time {
	work := m.predictedWork(r) * math.Exp(r.class.predictionError.deviation())
	return a.startedAt + Time(max(slowFactor*float64(r.runTime(work, 1)), slowObjectiveFraction*float64(r.latencyObjective(work)))) + 1
}

func (m *Module) overdueAt(r *request, a *attempt) Time {
	long := overdueRunTimeFactor * a.expectedTime * math.Exp(2*r.class.predictionError.deviation())
	return a.startedAt + Time(max(long, overdueObjectiveFraction*float64(r.latencyObjective(m.predictedWork(r)))))
}

// checkSlow counts attempts that have been out too long against our share of their engines.
func (m *Module) checkSlow(r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done || r.blocksOnDataLoad() {
			continue
		}
		if at := m.slowAt(r, a); m.now >= at && a.countedSlow == 0 {
			m.countSlow(a, float64(m.now-a.startedAt))
		} else {
			m.reviewAt(r, at)
		}
	}
}

// checkOverdue cancels an attempt that takes far longer than such attempts do, to try elsewhere:
// a bad plan, a stalled or an unreachable engine. Only where the repeat is allowed, and the later the
// rougher the estimates. Where no further attempt can help it ends the request a little later.
func (m *Module) checkOverdue(r *request) {
	i := len(r.attempts) - 1
	a := &r.attempts[i]
	if r.inFlight != 1 || a.done || a.cancelledOverdue || r.class.Idempotency != Idempotent || !m.settings.Limits.Cancel {
		return
	}
	late := m.overdueAt(r, a) - a.startedAt
	again := m.attemptsLeft(r) && m.retryBudgetLeft() && m.now+Time(a.expectedTime) < r.Deadline
	if !again || r.hadOverdue {
		late += late / 2
	}
	if m.now < a.startedAt+late {
		m.reviewAt(r, a.startedAt+late)
		return
	}
	a.cancelledOverdue = true
	if !again {
		m.finish(r, ReasonOverdue)
		return
	}
	r.hadOverdue = true
	m.emit(Cancel{ID: r.ID, Attempt: i})
}

func (m *Module) handleTimer(token string) {
	kind, name, _ := strings.Cut(token, " ")
	if r := m.requests[RequestID(name)]; kind == "request" && r != nil {
		m.review(r)
	}
	if l := m.keyQueues[name]; kind == "lane" && l != nil {
		m.serveKeyQueue(l)
	}
	if kind == "ask" {
		m.subscribe()
	}
	if kind == "sweep" {
		m.sweepPending, m.fleetCapacity = false, m.servingCapacity()
	}
}

// ---- order by key

func (m *Module) serveKeyQueue(l *keyQueue) {
	if len(l.waiting) == 0 {
		if m.now >= l.quarantinedUntil {
			delete(m.keyQueues, l.key)
		}
		return
	}
	if r := l.waiting[0]; !r.ended && len(r.attempts) == 0 {
		if m.now < l.quarantinedUntil {
			m.emit(SetTimer{At: l.quarantinedUntil, Token: "lane " + l.key})
			return
		}
		m.enqueue(r)
	}
}

// quarantineKey: an attempt that may still run keeps its key idle for a time after it was given up.
func (m *Module) quarantineKey(r *request, v Status) {
	if r.keyQueue != nil && (v == StatusTimeout || v == StatusReset || v == StatusCancelled) {
		r.keyQueue.quarantinedUntil = max(r.keyQueue.quarantinedUntil, m.now+m.settings.Constraints.KeyQuarantine)
	}
}

// Less makes a queue a race: each held request draws an exponential time with mean its predicted
// work, and the shortest goes first. So the odds of the next draw are one over predicted time, as
// the design has it, at the cost of a heap. Requests that can't be in time any more go last.
func (q *queue) Less(i, j int) bool {
	a, b := q.requests[i], q.requests[j]
	if a.late != b.late {
		return b.late
	}
	return a.virtualFinish < b.virtualFinish
}
