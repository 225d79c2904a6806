package emulator

import (
	"container/heap"
	"math"
	"slices"

	"foxlane/rules"
)

// EngineModel is a kind of engine. Queries share its cores evenly by thread, those of a high priority ahead
// of the rest; beyond Knee threads a core the whole engine loses, and a cold one does all of its work
// slower. Simplified: memory and data sets are not modelled.
type EngineModel struct {
	Cores        float64
	Slots        int     // queries that run at once
	QueueLimit   int     // queries that wait for a slot; more are turned away
	KneeThreads  float64 // threads a core from which work is lost
	OverloadLoss float64 // part of its work that it loses at twice as many and beyond
	WorkNoise    float64 // deviation of the logarithm of a query's work, from one attempt to another
}

// engine is one of the modelled engines.
type engine struct {
	fleet     *Fleet
	id        rules.EngineID
	zone      int
	state     rules.EngineState
	startedAt rules.Time // 0: long ago
	stopped   bool       // its process has ended: connections are refused
	silent    bool       // it, or the way to it, says nothing
	collapsed bool       // it was sent more than it bears while cold
	slowdown  float64    // times that all its work takes
	errorRate float64    // part of queries that it answers with an error at once

	bands       [2]band // by priority, the low one first
	queue       []*job
	settledAt   rules.Time
	timerSerial uint64 // the end that is waited for

	coldSends      []coldSend
	coldWork       float64
	peakColdBudget float64 // largest part of the cold budget that was spent
	workDone       float64 // work done
}

// band is what runs at one priority.
type band struct {
	running  jobHeap
	threads  float64
	progress float64 // time that each of its threads has run since the start, in microseconds
	rate     float64 // at which it does
}

type coldSend struct {
	at   rules.Time
	work float64
}

// job is an attempt at its engine.
type job struct {
	attempt   *attempt
	threads   float64
	work      float64
	endsAt    float64 // of its band's spun
	band      *band
	heapIndex int // in the heap; -1: not running
	finished  bool
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.heapIndex = -1
	return j
}

// warmUpSpeed is the part of its speed that an engine has: it warms evenly.
func (e *engine) warmUpSpeed() float64 {
	d := e.fleet.scenario.Settings.Constraints
	if e.startedAt == 0 || d.SlowStartPeriod == 0 || e.fleet.now >= e.startedAt+d.SlowStartPeriod {
		return 1
	}
	return d.SlowStartInitialSpeed + (1-d.SlowStartInitialSpeed)*float64(e.fleet.now-e.startedAt)/float64(d.SlowStartPeriod)
}

const minLowPriorityShare = 0.05 // part of the cores that the low band has in any case

// updateRates takes the bands' rates anew.
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

// advance brings the engine's books up to now.
func (e *engine) advance() {
	for i := range e.bands {
		b := &e.bands[i]
		run := b.rate * float64(e.fleet.now-e.settledAt)
		b.progress += run
		e.workDone += run * b.threads
	}
	e.settledAt = e.fleet.now
}

const warmUpInterval = 100 * rules.Millisecond // how often a warming engine's speed is taken anew

// armTimer waits for the next end.
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
	armed := e.timerSerial
	e.fleet.after(wait, func() {
		if e.timerSerial == armed {
			e.completeAndStart()
		}
	})
}

func (e *engine) runningJobs() int { return len(e.bands[0].running) + len(e.bands[1].running) }

// completeAndStart ends what has run, and starts what waits.
func (e *engine) completeAndStart() {
	e.advance()
	for i := range e.bands {
		b := &e.bands[i]
		for len(b.running) > 0 && b.running[0].endsAt <= b.progress+0.5 {
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

// receive has an attempt come to the engine.
func (e *engine) receive(a *attempt) {
	switch {
	case e.silent:
		return
	case e.stopped || e.collapsed:
		e.fleet.answerGateway(a, rules.StatusConnectFailed)
		return
	case e.fleet.rng.Float64() < e.errorRate:
		e.fleet.answerGateway(a, rules.StatusError)
		return
	}
	e.advance()
	work := a.request.work * math.Exp(e.fleet.rng.NormFloat64()*e.fleet.scenario.Engine.WorkNoise)
	if e.chargeColdBudget(work); e.collapsed {
		e.fleet.answerGateway(a, rules.StatusReset)
		return
	}
	j := &job{attempt: a, threads: float64(max(1, a.request.class.Threads)), work: work, heapIndex: -1}
	a.job = j
	switch {
	case e.runningJobs() < e.fleet.scenario.Engine.Slots:
		e.startJob(j)
	case len(e.queue) < e.fleet.scenario.Engine.QueueLimit:
		e.queue = append(e.queue, j)
	default:
		j.finished = true
		e.fleet.answerGateway(a, rules.StatusRejected)
	}
	e.armTimer()
}

// chargeColdBudget counts work against what a cold engine bears. Rejected work counts, too.
func (e *engine) chargeColdBudget(work float64) {
	d := e.fleet.scenario.Settings.Constraints
	if e.warmUpSpeed() >= 1 || d.OverloadWindow == 0 {
		e.coldSends, e.coldWork = nil, 0
		return
	}
	e.coldSends = append(e.coldSends, coldSend{e.fleet.now, work})
	e.coldWork += work
	for e.coldSends[0].at <= e.fleet.now-d.OverloadWindow {
		e.coldWork -= e.coldSends[0].work
		e.coldSends = e.coldSends[1:]
	}
	part := e.coldWork / (d.OverloadFactor * e.warmUpSpeed() * e.fleet.scenario.Engine.Cores * float64(d.OverloadWindow))
	e.peakColdBudget = max(e.peakColdBudget, part)
	if part > 1 {
		e.collapsed = true
		e.fleet.Metrics.OverloadCollapses++
		e.endAll(rules.StatusReset)
	}
}

// endAll ends all that runs and waits there.
func (e *engine) endAll(v rules.Status) {
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
		e.fleet.answerGateway(j.attempt, v)
	}
	e.armTimer()
}

// cancel gives one attempt up.
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
		e.queue = slices.DeleteFunc(e.queue, func(o *job) bool { return o == j })
	}
	e.completeAndStart()
}
