// Package guard checks invariants while a gateway runs. It is pure: the caller passes what is about to be done and what it
// knows, and gets the invariants that this would violate. It never prevents anything: the decision has been made elsewhere,
// and a gateway in service must not fail for a check. Violations are counted by name.
package guard

import "foxlane/rules"

// Invariant is a condition that holds for everything a gateway does.
type Invariant int

// Invariants, by what they are about: an attempt, a retry, an answer, a close, the start of a request. The comment says what
// violates it.
const (
	SendAfterEnd       Invariant = iota // an attempt begins for a request that needs no answer any more
	SendAfterDeadline                   // an attempt begins, or its engine may run on, after its client's deadline
	SendToDraining                      // an attempt goes to an engine that has been draining or delisted for longer than the grace
	SendMisplaced                       // an attempt goes to a zone or kind that its class must not use
	SendParallel                        // an attempt begins while another is in flight and no two may be
	SendOverBudget                      // one gateway alone sends an engine in slow start more than all together may
	RetryUnsafe                         // a retry of a class that is not idempotent, after an attempt that may have run
	RetryOutsideWindow                  // a retry with an idempotency key outside the key's group or window
	RetryOverLimit                      // more attempts than a request may have
	AnswerTwice                         // a final answer to a request that has one
	AnswerLate                          // a final answer long after its client's deadline
	RejectedMayHaveRun                  // a rejection promises that nothing ran, and something may have
	CloseUnanswered                     // the gateway closes a client's connection while its request has no answer
	CloseInFlight                       // the gateway closes an engine's connection with an attempt in flight that was not abandoned
	StartTwice                          // a request begins with an ID that is in use, or on a connection with an unanswered request
	StartAfterEnd                       // a request begins on a connection that the gateway has closed
	count
)

// Count is the number of invariants.
const Count = int(count)

// invariantNames are the names under which operators find the invariants in the log and the statistics.
var invariantNames = [...]string{"send_after_end", "send_after_deadline", "send_to_drained", "send_misplaced", "send_parallel", "send_over_budget",
	"repeat_unsafe", "repeat_outside", "repeat_over_limit", "answer_twice", "answer_late", "refused_may_have_run", "close_unanswered",
	"close_in_flight", "start_twice", "start_after_end"}

func (i Invariant) String() string { return invariantNames[i] }

// Violations counts, by invariant, how often it was violated.
type Violations [Count]int

// Record counts a violation. It answers whether it is the first of its invariant, which is worth a line in the log.
func (v *Violations) Record(i Invariant) (first bool) {
	v[i]++
	return v[i] == 1
}

// Sum is how many violations there were, of all invariants.
func (v *Violations) Sum() (n int) {
	for _, k := range v {
		n += k
	}
	return n
}

// Findings are the invariants that something would violate. The zero value has none.
type Findings struct {
	list [Count]Invariant
	n    int
}

func (f *Findings) add(violated bool, i Invariant) {
	if violated {
		f.list[f.n] = i
		f.n++
	}
}

// All returns them, in the order of the checks.
func (f *Findings) All() []Invariant { return f.list[:f.n] }

// Slack is how far beyond a time limit something may be before it is a violation: delivery and timers take time.
const Slack = 50 * rules.Millisecond

// DeadlineSlack is by how much an engine's deadline may lie after its client's.
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
func (p *PriorAttempt) MayHaveRun() bool { return p.Sent && (!p.Ended || !p.NeverRan) }

// Send is an attempt that is about to be written to an engine.
type Send struct {
	Now             rules.Time
	Answered        bool // the request has its final answer, or its client has gone
	Deadline        rules.Time
	ClientDeadline  rules.Time // until when the client waits
	State           rules.EngineState
	NotifiedAt      rules.Time // when the gateway was notified of that state
	Zone            int
	Kind            int
	Cell            int
	SlowStartSent   float64 // work that this gateway alone has sent it within the window, this attempt included
	SlowStartBudget float64 // what it may get from all gateways within that; 0: it is not in slow start
	Class           *rules.Class
	Duties          *rules.Constraints
	Limits          *rules.Limits
	PriorAttempts   []PriorAttempt // earlier attempts
}

// Check returns what the attempt would violate.
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

// allowed answers whether a zone or kind is among those of a class; nil: any is.
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

// Check returns what the answer would violate.
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
