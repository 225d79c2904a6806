package emulator

import (
	"container/heap"
	"math"
	"slices"

	"foxlane/rules"
)

// This file models an engine: its cores, its queue, its warm-up and its collapse under too much work while cold.

// EngineModel is a kind of engine. Queries share its cores evenly by thread, those of a high priority before the rest.
// Beyond KneeThreads threads a core the whole engine slows down, and a cold one does all of its work slower. Memory and
// data sets are not modelled.
type EngineModel struct {
	Cores        float64
	Slots        int     // queries that run at once
	QueueLimit   int     // queries that wait for a slot; more are rejected
	KneeThreads  float64 // threads a core beyond which speed is lost
	OverloadLoss float64 // part of its speed that is lost at twice as many and beyond
	WorkNoise    float64 // standard deviation of the logarithm of a query's work, from one attempt to another
}

// engine is one of the modelled engines.
type engine struct {
	fleet     *Fleet
	id        rules.EngineID
	zone      int
	state     rules.EngineState // in the list
	startedAt rules.Time        // 0: long ago
	stopped   bool              // its process has ended: connections are refused
	silent    bool              // nothing of it reaches a gateway
	collapsed bool              // it got more work than it bears while cold
	slowdown  float64           // multiplies the time that all its work takes
	errorRate float64           // part of the attempts that it answers with an error at once

	bands       [2]band // by priority, the low one first
	queue       []*job  // jobs that wait for a slot
	settledAt   rules.Time
	timerSerial uint64 // of the timer that counts; earlier ones are void

	coldSends      []coldSend // the work of the last OverloadWindow, while cold
	coldWork       float64    // their sum
	notifiedWork   float64    // of it, what came from gateways that had been notified of the start
	peakColdBudget float64    // largest part of the slow-start budget that was used
	sinceStart     float64    // work that it got since its start, until it carries its share
}

// band is what runs at one priority.
type band struct {
	running  jobHeap
	threads  float64
	progress float64 // time that each of its threads has run since the start, in microseconds
	rate     float64 // by which progress grows
}

// coldSend is work that a cold engine got.
type coldSend struct {
	at       rules.Time
	work     float64
	notified bool // its gateway had been notified of the start
}

// job is an attempt that an engine runs or queues.
type job struct {
	attempt   *attempt
	threads   float64
	work      float64
	endsAt    float64 // in its band's progress
	band      *band
	heapIndex int // in the band's heap; -1: not running
	finished  bool
}

// jobHeap orders the jobs of a band by their end. It implements heap.Interface.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }

// Push is for container/heap only.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop is for container/heap only.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.heapIndex = -1
	return j
}

// warmUpSpeed is the fraction of its full speed that an engine has; it rises linearly over the warm-up.
func (e *engine) warmUpSpeed() float64 {
	c := e.fleet.scenario.Settings.Constraints
	if e.startedAt == 0 || c.SlowStartPeriod == 0 || e.fleet.now >= e.startedAt+c.SlowStartPeriod {
		return 1
	}
	return c.SlowStartInitialSpeed + (1-c.SlowStartInitialSpeed)*float64(e.fleet.now-e.startedAt)/float64(c.SlowStartPeriod)
}

// minLowPriorityShare is the part of the cores that the low band gets in any case.
const minLowPriorityShare = 0.05

// updateRates recomputes the bands' rates from their threads.
func (e *engine) updateRates() {
	m := e.fleet.scenario.Engine
	speed := e.warmUpSpeed() / e.slowdown
	low, high := &e.bands[0], &e.bands[1]
	if over := (low.threads+high.threads)/(m.KneeThreads*m.Cores) - 1; over > 0 {
		speed *= 1 - m.OverloadLoss*min(over, 1)
	}
	high.rate, low.rate = speed, speed
	if high.threads > m.Cores {
		high.rate *= m.Cores / high.threads
	}
	if left := max(m.Cores-high.threads, minLowPriorityShare*m.Cores); low.threads > left {
		low.rate *= left / low.threads
	}
}

// advance brings the bands' progress up to now. It must be called before anything that their rates depend on changes.
func (e *engine) advance() {
	for i := range e.bands {
		b := &e.bands[i]
		b.progress += b.rate * float64(e.fleet.now-e.settledAt)
	}
	e.settledAt = e.fleet.now
}

// warmUpInterval is how often the speed of a warming engine is recomputed.
const warmUpInterval = 100 * rules.Millisecond

// armTimer recomputes the rates and schedules the end of the job that ends next.
func (e *engine) armTimer() {
	e.timerSerial++
	e.updateRates()
	wait := rules.Time(math.MaxInt64)
	for i := range e.bands {
		if b := &e.bands[i]; len(b.running) > 0 {
			wait = min(wait, max(1, rules.Time(math.Ceil((b.running[0].endsAt-b.progress)/b.rate))))
		}
	}
	if wait == math.MaxInt64 {
		return
	}
	if e.warmUpSpeed() < 1 {
		wait = min(wait, warmUpInterval)
	}
	serial := e.timerSerial
	e.fleet.after(wait, func() {
		if e.timerSerial == serial {
			e.completeAndStart()
		}
	})
}

func (e *engine) runningJobs() int { return len(e.bands[0].running) + len(e.bands[1].running) }

// progressTolerance absorbs the rounding of timers to whole microseconds.
const progressTolerance = 0.5

// completeAndStart completes the jobs that have ended, and starts queued ones.
func (e *engine) completeAndStart() {
	e.advance()
	for i := range e.bands {
		b := &e.bands[i]
		for len(b.running) > 0 && b.running[0].endsAt <= b.progress+progressTolerance {
			j := heap.Pop(&b.running).(*job)
			j.finished = true
			b.threads -= j.threads
			e.fleet.answerGateway(j.attempt, rules.StatusOK)
		}
	}
	for len(e.queue) > 0 && e.runningJobs() < e.fleet.scenario.Engine.Slots {
		j := e.queue[0]
		e.queue = e.queue[1:]
		e.startJob(j)
	}
	e.armTimer()
}

func (e *engine) startJob(j *job) {
	j.band = &e.bands[0]
	if j.attempt.request.priority > 1 {
		j.band = &e.bands[1]
	}
	j.endsAt = j.band.progress + j.work/j.threads
	j.band.threads += j.threads
	heap.Push(&j.band.running, j)
}

// receive takes an attempt: it is lost, answered at once, started or queued.
func (e *engine) receive(a *attempt) {
	f := e.fleet
	switch {
	case e.silent:
		return
	case e.stopped || e.collapsed:
		f.answerGateway(a, rules.StatusConnectFailed)
		return
	case f.rng.Float64() < e.errorRate:
		f.answerGateway(a, rules.StatusError)
		return
	}
	e.advance()
	work := a.request.work * math.Exp(f.rng.NormFloat64()*f.scenario.Engine.WorkNoise)
	if e.chargeColdBudget(work, a.notified); e.collapsed {
		f.answerGateway(a, rules.StatusReset)
		return
	}
	j := &job{attempt: a, threads: float64(max(1, a.request.class.Threads)), work: work, heapIndex: -1}
	a.job = j
	switch {
	case e.runningJobs() < f.scenario.Engine.Slots:
		e.startJob(j)
	case len(e.queue) < f.scenario.Engine.QueueLimit:
		e.queue = append(e.queue, j)
	default:
		j.finished = true
		f.answerGateway(a, rules.StatusRejected)
	}
	e.armTimer()
}

// notifiedPart is the part of a cold engine's work from which a collapse counts against the gateways, as the operators have it: what
// came from gateways that had been notified of the start.
const notifiedPart = 2.0 / 3

// chargeColdBudget charges work to the slow-start budget of a cold engine, which collapses if it is exceeded. Work that
// is rejected afterwards counts, too.
func (e *engine) chargeColdBudget(work float64, notified bool) {
	c := e.fleet.scenario.Settings.Constraints
	if e.warmUpSpeed() >= 1 || c.OverloadWindow == 0 {
		e.coldSends, e.coldWork, e.notifiedWork = nil, 0, 0
		return
	}
	e.recordShare(work)
	e.addColdSend(coldSend{e.fleet.now, work, notified}, 1)
	e.coldSends = append(e.coldSends, coldSend{e.fleet.now, work, notified})
	for e.coldSends[0].at <= e.fleet.now-c.OverloadWindow {
		e.addColdSend(e.coldSends[0], -1)
		e.coldSends = e.coldSends[1:]
	}
	used := e.coldWork / (c.OverloadFactor * e.warmUpSpeed() * e.fleet.scenario.Engine.Cores * float64(c.OverloadWindow))
	e.peakColdBudget = max(e.peakColdBudget, used)
	if used <= 1 {
		return
	}
	e.collapsed = true
	e.fleet.Metrics.OverloadCollapses++
	if e.notifiedWork >= notifiedPart*e.coldWork {
		e.fleet.Metrics.NotifiedCollapses++
	}
	e.endAll(rules.StatusReset)
}

// addColdSend adds work to the sums of a cold engine, or takes it off by a sign of -1.
func (e *engine) addColdSend(send coldSend, sign float64) {
	e.coldWork += sign * send.work
	if send.notified {
		e.notifiedWork += sign * send.work
	}
}

// recordShare records the time until an engine that has started has got as much work as all of its cores do in a second.
func (e *engine) recordShare(work float64) {
	share := e.fleet.scenario.Engine.Cores * float64(rules.Second)
	if e.sinceStart < share && e.sinceStart+work >= share {
		e.fleet.Metrics.TimesToShare = append(e.fleet.Metrics.TimesToShare, e.fleet.now-e.startedAt)
	}
	e.sinceStart += work
}

// restart has another process take an engine's place at once, cold.
func (e *engine) restart() {
	e.endAll(rules.StatusReset)
	e.startedAt, e.collapsed = e.fleet.now, false
	e.coldSends, e.coldWork, e.notifiedWork, e.sinceStart = nil, 0, 0, 0
}

// endAll ends all jobs, queued or running, with one status.
func (e *engine) endAll(status rules.Status) {
	e.advance()
	all := e.queue
	for i := range e.bands {
		b := &e.bands[i]
		for len(b.running) > 0 {
			all = append(all, heap.Pop(&b.running).(*job))
		}
		b.threads = 0
	}
	e.queue = nil
	for _, j := range all {
		j.finished = true
		e.fleet.answerGateway(j.attempt, status)
	}
	e.armTimer()
}

// cancel gives up one job without an answer.
func (e *engine) cancel(j *job) {
	if j.finished {
		return
	}
	e.advance()
	j.finished = true
	if j.heapIndex >= 0 {
		heap.Remove(&j.band.running, j.heapIndex)
		j.band.threads -= j.threads
	} else {
		e.queue = slices.DeleteFunc(e.queue, func(other *job) bool { return other == j })
	}
	e.completeAndStart()
}
