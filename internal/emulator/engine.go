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
	Cores   float64
	Slots   int     // queries that run at once
	Line    int     // queries that wait for a slot; more are turned away
	Knee    float64 // threads a core from which work is lost
	Loss    float64 // part of its work that it loses at twice as many and beyond
	Quarrel float64 // deviation of the logarithm of a query's work, from one attempt to another
}

// engine is one of the modelled engines.
type engine struct {
	f       *Fleet
	id      rules.EngineID
	zone    int
	state   rules.EngineState
	started rules.Time // 0: long ago
	gone    bool       // its process has ended: connections are refused
	silent  bool       // it, or the way to it, says nothing
	fallen  bool       // it was sent more than it bears while cold
	slow    float64    // times that all its work takes
	errs    float64    // part of queries that it answers with an error at once

	bands [2]band // by priority, the low one first
	line  []*job
	at    rules.Time
	armed uint64 // the end that is waited for

	sent    []coldSend
	sentSum float64
	worst   float64 // largest part of the cold budget that was spent
	did     float64 // work done
}

// band is what runs at one priority.
type band struct {
	running jobHeap
	threads float64
	spun    float64 // time that each of its threads has run since the start, in microseconds
	rate    float64 // at which it does
}

type coldSend struct {
	at   rules.Time
	work float64
}

// job is an attempt at its engine.
type job struct {
	attempt *attempt
	threads float64
	work    float64
	ends    float64 // of its band's spun
	band    *band
	slot    int // in the heap; -1: not running
	over    bool
}

type jobHeap []*job

func (h jobHeap) Len() int           { return len(h) }
func (h jobHeap) Less(i, j int) bool { return h[i].ends < h[j].ends }
func (h jobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i]; h[i].slot, h[j].slot = i, j }
func (h *jobHeap) Push(x any) {
	j := x.(*job)
	j.slot = len(*h)
	*h = append(*h, j)
}
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	j.slot = -1
	return j
}

// warmth is the part of its speed that an engine has: it warms evenly.
func (e *engine) warmth() float64 {
	d := e.f.scene.Settings.Constraints
	if e.started == 0 || d.SlowStartPeriod == 0 || e.f.now >= e.started+d.SlowStartPeriod {
		return 1
	}
	return d.SlowStartInitialSpeed + (1-d.SlowStartInitialSpeed)*float64(e.f.now-e.started)/float64(d.SlowStartPeriod)
}

const leastLow = 0.05 // part of the cores that the low band has in any case

// pace takes the bands' rates anew.
func (e *engine) pace() {
	m := e.f.scene.Engine
	speed := e.warmth() / e.slow
	low, high := &e.bands[0], &e.bands[1]
	if over := (low.threads+high.threads)/(m.Knee*m.Cores) - 1; over > 0 {
		speed *= 1 - m.Loss*min(over, 1)
	}
	high.rate, low.rate = speed, speed
	if high.threads > m.Cores {
		high.rate *= m.Cores / high.threads
	}
	if left := max(m.Cores-high.threads, leastLow*m.Cores); low.threads > left {
		low.rate *= left / low.threads
	}
}

// settle brings the engine's books up to now.
func (e *engine) settle() {
	for i := range e.bands {
		b := &e.bands[i]
		run := b.rate * float64(e.f.now-e.at)
		b.spun += run
		e.did += run * b.threads
	}
	e.at = e.f.now
}

const coldStep = 100 * rules.Millisecond // how often a warming engine's speed is taken anew

// arm waits for the next end.
func (e *engine) arm() {
	e.armed++
	e.pace()
	wait := rules.Time(math.MaxInt64)
	for i := range e.bands {
		if b := &e.bands[i]; len(b.running) > 0 {
			wait = min(wait, max(1, rules.Time(math.Ceil((b.running[0].ends-b.spun)/b.rate))))
		}
	}
	if wait == math.MaxInt64 {
		return
	}
	if e.warmth() < 1 {
		wait = min(wait, coldStep)
	}
	armed := e.armed
	e.f.after(wait, func() {
		if e.armed == armed {
			e.turn()
		}
	})
}

func (e *engine) runs() int { return len(e.bands[0].running) + len(e.bands[1].running) }

// turn ends what has run, and starts what waits.
func (e *engine) turn() {
	e.settle()
	for i := range e.bands {
		b := &e.bands[i]
		for len(b.running) > 0 && b.running[0].ends <= b.spun+0.5 {
			j := heap.Pop(&b.running).(*job)
			j.over = true
			b.threads -= j.threads
			e.f.answer(j.attempt, rules.StatusOK)
		}
	}
	for len(e.line) > 0 && e.runs() < e.f.scene.Engine.Slots {
		j := e.line[0]
		e.line = e.line[1:]
		e.start(j)
	}
	e.arm()
}

func (e *engine) start(j *job) {
	j.band = &e.bands[0]
	if j.attempt.request.priority > 1 {
		j.band = &e.bands[1]
	}
	j.ends = j.band.spun + j.work/j.threads
	j.band.threads += j.threads
	heap.Push(&j.band.running, j)
}

// take has an attempt come to the engine.
func (e *engine) take(a *attempt) {
	switch {
	case e.silent:
		return
	case e.gone || e.fallen:
		e.f.answer(a, rules.StatusConnectFailed)
		return
	case e.f.rng.Float64() < e.errs:
		e.f.answer(a, rules.StatusError)
		return
	}
	e.settle()
	work := a.request.work * math.Exp(e.f.rng.NormFloat64()*e.f.scene.Engine.Quarrel)
	if e.bear(work); e.fallen {
		e.f.answer(a, rules.StatusReset)
		return
	}
	j := &job{attempt: a, threads: float64(max(1, a.request.class.Threads)), work: work, slot: -1}
	a.job = j
	switch {
	case e.runs() < e.f.scene.Engine.Slots:
		e.start(j)
	case len(e.line) < e.f.scene.Engine.Line:
		e.line = append(e.line, j)
	default:
		j.over = true
		e.f.answer(a, rules.StatusRejected)
	}
	e.arm()
}

// bear counts work against what a cold engine bears. Rejected work counts, too.
func (e *engine) bear(work float64) {
	d := e.f.scene.Settings.Constraints
	if e.warmth() >= 1 || d.OverloadWindow == 0 {
		e.sent, e.sentSum = nil, 0
		return
	}
	e.sent = append(e.sent, coldSend{e.f.now, work})
	e.sentSum += work
	for e.sent[0].at <= e.f.now-d.OverloadWindow {
		e.sentSum -= e.sent[0].work
		e.sent = e.sent[1:]
	}
	part := e.sentSum / (d.OverloadFactor * e.warmth() * e.f.scene.Engine.Cores * float64(d.OverloadWindow))
	e.worst = max(e.worst, part)
	if part > 1 {
		e.fallen = true
		e.f.Books.Fallen++
		e.drop(rules.StatusReset)
	}
}

// drop ends all that runs and waits there.
func (e *engine) drop(v rules.Status) {
	e.settle()
	all := e.line
	for i := range e.bands {
		b := &e.bands[i]
		for len(b.running) > 0 {
			all = append(all, heap.Pop(&b.running).(*job))
		}
		b.threads = 0
	}
	e.line = nil
	for _, j := range all {
		j.over = true
		e.f.answer(j.attempt, v)
	}
	e.arm()
}

// quit gives one attempt up.
func (e *engine) quit(j *job) {
	if j.over {
		return
	}
	e.settle()
	j.over = true
	if j.slot >= 0 {
		heap.Remove(&j.band.running, j.slot)
		j.band.threads -= j.threads
	} else {
		e.line = slices.DeleteFunc(e.line, func(o *job) bool { return o == j })
	}
	e.turn()
}
