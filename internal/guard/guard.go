// Package guard checks, while a gateway runs, that what it is about to do keeps the rules. It is pure: the caller says
// what is to be done and what it knows, and is told which invariants that would break. It never stops anything: whoever
// decides has decided, and a gateway in service must not fall over a check. A broken invariant is counted by name.
package guard

import "foxlane/rules"

// Invariant is one that is checked at run time.
type Invariant int

// Invariants, by what they are about: a send, a repeat, an answer, a close, the start of a request.
const (
	SendAfterEnd       Invariant = iota // an attempt begins for a request that needs no answer any more
	SendAfterDeadline                   // an attempt begins, or its engine is told to run on, behind what its client waits
	SendToDraining                      // an attempt goes to an engine that was told to drain or to be gone for longer than the grace
	SendMisplaced                       // an attempt goes to a zone or kind that its class must not use
	SendParallel                        // an attempt begins while another is in flight and no two may be
	SendOverBudget                      // one gateway alone sends a cold engine more than all together may
	RetryUnsafe                         // a further attempt of an unsafe class, and an earlier one may have run
	RetryOutsideWindow                  // a further attempt of a keyed class outside its group or its window
	RetryOverLimit                      // more attempts than a request may have
	AnswerTwice                         // a final answer to a request that has one
	AnswerLate                          // a final answer behind what its client waits
	RejectedMayHaveRun                  // a refusal promises that nothing ran, and something may have
	CloseUnanswered                     // a connection is closed by us while its request has no answer
	CloseInFlight                       // a connection to an engine is closed by us under an attempt that was not given up
	StartTwice                          // a request begins with an id that is open, or on a connection with an open one
	StartAfterEnd                       // a request begins on a connection that we have ended
	count
)

// Count is the number of invariants.
const Count = int(count)

var names = [...]string{"send_after_end", "send_after_deadline", "send_to_drained", "send_misplaced", "send_parallel", "send_over_budget",
	"repeat_unsafe", "repeat_outside", "repeat_over_limit", "answer_twice", "answer_late", "refused_may_have_run", "close_unanswered",
	"close_in_flight", "start_twice", "start_after_end"}

func (i Invariant) String() string { return names[i] }

// Violations counts broken invariants by name.
type Violations [Count]int

// Record counts one. It answers whether it is the first of its name, which is worth a line in the log.
func (b *Violations) Record(i Invariant) (first bool) {
	b[i]++
	return b[i] == 1
}

// Sum is how often any was broken.
func (b *Violations) Sum() (n int) {
	for _, k := range b {
		n += k
	}
	return n
}

// Findings are the invariants that something would break. Its zero value is none.
type Findings struct {
	list [Count]Invariant
	n    int
}

func (f *Findings) add(broken bool, i Invariant) {
	if broken {
		f.list[f.n] = i
		f.n++
	}
}

// All lists them.
func (f *Findings) All() []Invariant { return f.list[:f.n] }

// Slack is how far beyond a time limit something may be before it counts as broken: ways and timers take time.
const Slack = 50 * rules.Millisecond

// DeadlineSlack is by how much an engine's deadline may lie behind what the client waits.
const DeadlineSlack = 150 * rules.Millisecond

// PriorAttempt is an earlier attempt of a request.
type PriorAttempt struct {
	At       rules.Time // when the module sent it
	Sent     bool       // written to a connection
	Ended    bool
	NeverRan bool // proven
	Zone     int
	Cell     int
}

// MayHaveRun answers whether the attempt may have had an effect.
func (p *PriorAttempt) MayHaveRun() bool { return p.Sent && !(p.Ended && p.NeverRan) }

// Send is an attempt that is about to be written to an engine.
type Send struct {
	Now             rules.Time
	Answered        bool // the request has its final answer, or its client has gone
	Deadline        rules.Time
	ClientDeadline  rules.Time // the client waits until then
	State           rules.EngineState
	NotifiedAt      rules.Time // when we were told of that state
	Zone            int
	Kind            int
	Cell            int
	SlowStartSent   float64 // work that we alone have sent it within the window, this included
	SlowStartBudget float64 // what it bears from all within that; 0: it is warm
	Class           *rules.Class
	Duties          *rules.Constraints
	Limits          *rules.Limits
	PriorAttempts   []PriorAttempt // earlier attempts
}

// Check names what a send would break.
func (s *Send) Check() (f Findings) {
	f.add(s.Answered, SendAfterEnd)
	f.add(s.Now >= s.ClientDeadline+Slack || s.Deadline > s.ClientDeadline+DeadlineSlack, SendAfterDeadline)
	f.add(s.State != rules.EngineServing && s.Now > s.NotifiedAt+s.Duties.DrainGrace+Slack, SendToDraining)
	f.add(!allowed(s.Class.AllowedZones, s.Zone) || !allowed(s.Class.AllowedKinds, s.Kind), SendMisplaced)
	f.add(s.SlowStartBudget > 0 && s.SlowStartSent > s.SlowStartBudget, SendOverBudget)
	if len(s.PriorAttempts) == 0 {
		return f
	}
	f.add(s.Limits.MaxAttempts > 0 && len(s.PriorAttempts) >= s.Limits.MaxAttempts, RetryOverLimit)
	parallel, unsafe, outside := false, false, false
	for i := range s.PriorAttempts {
		p := &s.PriorAttempts[i]
		parallel = parallel || p.Sent && !p.Ended && !s.Limits.HedgedRequests
		if !p.MayHaveRun() {
			continue
		}
		unsafe = unsafe || s.Class.Idempotency == rules.NotIdempotent
		outside = outside || s.Class.Idempotency == rules.IdempotentWithKey && (s.Now >= p.At+s.Class.DedupWindow+Slack || !s.sameGroup(p))
	}
	f.add(parallel, SendParallel)
	f.add(unsafe, RetryUnsafe)
	f.add(outside, RetryOutsideWindow)
	return f
}

func (s *Send) sameGroup(p *PriorAttempt) bool {
	switch s.Class.DedupScope {
	case rules.DedupZone:
		return p.Zone == s.Zone
	case rules.DedupCell:
		return p.Cell == s.Cell
	}
	return true
}

// allowed answers whether a place is among those of a class; nil: any is.
func allowed(places []int, place int) bool {
	if places == nil {
		return true
	}
	for _, p := range places {
		if p == place {
			return true
		}
	}
	return false
}

// Answer is a final answer that is about to be given.
type Answer struct {
	Now            rules.Time
	ClientDeadline rules.Time
	Answered       bool
	Rejection      bool // it promises that nothing ran, or that running twice is harmless
	Class          *rules.Class
	PriorAttempts  []PriorAttempt
}

// lateAnswerSlack is how far behind its time an answer still only earns nothing.
const lateAnswerSlack = 500 * rules.Millisecond

// Check names what an answer would break.
func (a *Answer) Check() (f Findings) {
	f.add(a.Answered, AnswerTwice)
	f.add(a.Now > a.ClientDeadline+lateAnswerSlack, AnswerLate)
	harmless := a.Class.Idempotency == rules.Idempotent || a.Class.Idempotency == rules.IdempotentWithKey && a.Class.DedupScope == rules.DedupFleet
	mayHaveRun := false
	for i := range a.PriorAttempts {
		mayHaveRun = mayHaveRun || a.PriorAttempts[i].MayHaveRun()
	}
	f.add(a.Rejection && !harmless && mayHaveRun, RejectedMayHaveRun)
	return f
}
