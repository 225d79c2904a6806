package emulator

import (
	"container/heap"
	"math"
	"slices"

	"foxlane/rules"
)

// This file models an engine: cores, queue, slow start, and the collapse under too much work while cold.

// EngineModel holds the parameters of the modelled engines. Threads share the cores evenly, but queries of high
// priority come first. The whole engine slows down above KneeThreads threads per core, and while it is cold. Memory and
// data sets are not modelled.
type EngineModel struct {
	Cores        float64
	Slots        int     // maximum number of concurrent queries
	QueueLimit   int     // maximum number of queries that wait for a slot; more are rejected
	KneeThreads  float64 // threads per core above which the engine slows down
	OverloadLoss float64 // fraction of the speed lost at twice KneeThreads and above; linear between
	WorkNoise    float64 // standard deviation of the logarithm of a query's work between attempts
}

// engine is one of the modelled engines.
type engine struct {
	fleet     *Fleet
	id        rules.EngineID
	zone      int
	state     rules.EngineState // as published in the endpoint list
	startedAt rules.Time        // of its process; 0: long ago
	stopped   bool              // its process has ended: connections are refused
	silent    bool              // unresponsive: it answers neither connections nor requests
	collapsed bool              // it exceeded its slow-start budget
	slowdown  float64           // multiplies the duration of all its work
	errorRate float64           // fraction of the attempts that fail with an error at once

	bands           [2]priorityBand // low priority, high priority
	queue           []*job          // jobs that wait for a slot
	advancedAt      rules.Time      // up to which the bands' progress is computed
	timerGeneration uint64          // of the current timer; earlier timers are ignored

	coldWorkSamples     []coldWorkSample // within the last OverloadWindow, while cold
	coldWork            float64          // sum of the samples
	notifiedWork        float64          // the part of coldWork from gateways that had been notified of the start
	peakSlowStartBudget float64          // maximum used fraction of the slow-start budget
	workSinceStart      float64          // work received since its start, while cold
}

// priorityBand holds the running jobs of one priority. They share the band's rate.
type priorityBand struct {
	running  jobHeap
	threads  float64
	progress float64 // work done by each thread since the start, in microseconds
	rate     float64 // growth of progress per microsecond
}

// coldWorkSample is the work of one attempt at a cold engine.
type coldWorkSample struct {
	at       rules.Time
	work     float64
	notified bool // the gateway had been notified of the engine's start
}

// job is an attempt that an engine runs or queues.
type job struct {
	attempt   *attempt
	threads   float64
	work      float64
	endsAt    float64 // the band's progress at which it ends
	band      *priorityBand
	heapIndex int // in the band's heap; -1: not running
	finished  bool
}

// jobHeap is a min-heap of a band's jobs by endsAt. It implements heap.Interface.
type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].endsAt < h[j].endsAt }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].heapIndex, h[j].heapIndex = i, j }

// Push appends a job; only container/heap calls it.
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.heapIndex = len(*h)
	*h = append(*h, j)
}

// Pop removes and returns the last job; only container/heap calls it.
func (h *jobHeap) Pop() any {
	lastIndex := len(*h) - 1
	j := (*h)[lastIndex]
	(*h)[lastIndex] = nil
	*h = (*h)[:lastIndex]
	j.heapIndex = -1
	return j
}

// speedFraction returns the current fraction of the engine's full speed, which rises linearly over SlowStartPeriod.
func (e *engine) speedFraction() float64 {
	c := e.fleet.scenario.Settings.Constraints
	if e.startedAt == 0 || c.SlowStartPeriod == 0 || e.fleet.now >= e.startedAt+c.SlowStartPeriod {
		return 1
	}
	return c.SlowStartInitialSpeed + (1-c.SlowStartInitialSpeed)*float64(e.fleet.now-e.startedAt)/float64(c.SlowStartPeriod)
}

// minLowPriorityShare is the fraction of the cores that the low band always gets.
const minLowPriorityShare = 0.05

// updateRates recomputes the bands' rates from their thread counts.
func (e *engine) updateRates() {
	m := e.fleet.scenario.Engine
	speed := e.speedFraction() / e.slowdown
	low, high := &e.bands[0], &e.bands[1]
	if overload := (low.threads+high.threads)/(m.KneeThreads*m.Cores) - 1; overload > 0 {
		speed *= 1 - m.OverloadLoss*min(overload, 1)
	}
	high.rate, low.rate = speed, speed
	if high.threads > m.Cores {
		high.rate *= m.Cores / high.threads
	}
	if remaining := max(m.Cores-high.threads, minLowPriorityShare*m.Cores); low.threads > remaining {
		low.rate *= remaining / low.threads
	}
}

// advance updates the bands' progress to the current time. It must be called before any change of what the rates depend
// on.
func (e *engine) advance() {
	for i := range e.bands {
		b := &e.bands[i]
		b.progress += b.rate * float64(e.fleet.now-e.advancedAt)
	}
	e.advancedAt = e.fleet.now
}

// slowStartUpdateInterval is the maximum interval between updates of the speed of a busy engine in slow start.
const slowStartUpdateInterval = 100 * rules.Millisecond

// armTimer recomputes the rates and schedules the next job completion.
func (e *engine) armTimer() {
	e.timerGeneration++
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
	if e.speedFraction() < 1 {
		wait = min(wait, slowStartUpdateInterval)
	}
	generation := e.timerGeneration
	e.fleet.after(wait, func() {
		if e.timerGeneration == generation {
			e.completeAndStart()
		}
	})
}

func (e *engine) runningJobs() int { return len(e.bands[0].running) + len(e.bands[1].running) }

// progressTolerance covers the rounding of timers to whole microseconds, in units of progress.
const progressTolerance = 0.5

// completeAndStart completes the jobs that have ended, and starts queued jobs in the free slots.
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

// receive handles an attempt that arrives: it drops, answers, starts or queues it.
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
	if e.chargeSlowStartBudget(work, a.notified); e.collapsed {
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

// notifiedFraction is the operators' threshold for blaming a collapse on the gateways: at least this fraction of the
// cold engine's work came from gateways that had been notified of its start.
const notifiedFraction = 2.0 / 3

// chargeSlowStartBudget charges work to the slow-start budget of a cold engine, which collapses if the budget is
// exceeded. Work that the engine then rejects for lack of a slot counts as well.
func (e *engine) chargeSlowStartBudget(work float64, notified bool) {
	c := e.fleet.scenario.Settings.Constraints
	if e.speedFraction() >= 1 || c.OverloadWindow == 0 {
		e.coldWorkSamples, e.coldWork, e.notifiedWork = nil, 0, 0
		return
	}
	e.recordRampUp(work)
	e.adjustColdWork(coldWorkSample{e.fleet.now, work, notified}, 1)
	e.coldWorkSamples = append(e.coldWorkSamples, coldWorkSample{e.fleet.now, work, notified})
	for e.coldWorkSamples[0].at <= e.fleet.now-c.OverloadWindow {
		e.adjustColdWork(e.coldWorkSamples[0], -1)
		e.coldWorkSamples = e.coldWorkSamples[1:]
	}
	used := e.coldWork / (c.OverloadFactor * e.speedFraction() * e.fleet.scenario.Engine.Cores * float64(c.OverloadWindow))
	e.peakSlowStartBudget = max(e.peakSlowStartBudget, used)
	if used <= 1 {
		return
	}
	e.collapsed = true
	e.fleet.Metrics.OverloadCollapses++
	if e.notifiedWork >= notifiedFraction*e.coldWork {
		e.fleet.Metrics.NotifiedCollapses++
	}
	e.endAllJobs(rules.StatusReset)
}

// adjustColdWork adds a sample to the sums of a cold engine (sign 1), or subtracts it (sign -1).
func (e *engine) adjustColdWork(sample coldWorkSample, sign float64) {
	e.coldWork += sign * sample.work
	if sample.notified {
		e.notifiedWork += sign * sample.work
	}
}

// recordRampUp records the time from an engine's start until it has received the work that all of its cores do in one
// second.
func (e *engine) recordRampUp(work float64) {
	oneSecondOfWork := e.fleet.scenario.Engine.Cores * float64(rules.Second)
	if e.workSinceStart < oneSecondOfWork && e.workSinceStart+work >= oneSecondOfWork {
		e.fleet.Metrics.RampUpTimes = append(e.fleet.Metrics.RampUpTimes, e.fleet.now-e.startedAt)
	}
	e.workSinceStart += work
}

// restart replaces an engine's process at once by a cold one.
func (e *engine) restart() {
	e.endAllJobs(rules.StatusReset)
	e.startedAt, e.collapsed = e.fleet.now, false
	e.coldWorkSamples, e.coldWork, e.notifiedWork, e.workSinceStart = nil, 0, 0, 0
}

// endAllJobs ends all running and queued jobs with the given status.
func (e *engine) endAllJobs(status rules.Status) {
	e.advance()
	jobs := e.queue
	for i := range e.bands {
		b := &e.bands[i]
		for len(b.running) > 0 {
			jobs = append(jobs, heap.Pop(&b.running).(*job))
		}
		b.threads = 0
	}
	e.queue = nil
	for _, j := range jobs {
		j.finished = true
		e.fleet.answerGateway(j.attempt, status)
	}
	e.armTimer()
}

// cancel removes a running or queued job without a response.
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
