// Package guard checks a gateway's invariants at run time. It is pure: the caller describes an action that it is about
// to take, and gets the invariants that the action would violate. The checks prevent nothing: the decision was made
// elsewhere, and a gateway in service must not fail because of a check. Violations are counted per invariant.
package guard

import "foxlane/rules"

// Invariant is a condition that every action of a gateway must satisfy.
type Invariant int

// The invariants of sending, retries, answers, connection closes and request starts. Each comment describes the
// violation.
const (
	SendAfterEnd       Invariant = iota // an attempt starts for a request that is answered or whose client has gone
	SendAfterDeadline                   // an attempt starts, or may still run on its engine, after the client's deadline
	SendToDraining                      // an attempt goes to an engine draining or delisted for longer than DrainGrace
	SendMisplaced                       // an attempt goes to a zone or engine kind that its class does not allow
	SendParallel                        // an attempt starts while another is in flight, and hedged requests are off
	SendOverBudget                      // this gateway alone exceeds the slow-start budget that all gateways share
	RetryUnsafe                         // a retry of a non-idempotent class after an attempt that may have run
	RetryOutsideWindow                  // a retry with an idempotency key outside the key's dedup scope or window
	RetryOverLimit                      // a request exceeds its limit of attempts
	AnswerTwice                         // a second final answer to a request
	AnswerLate                          // a final answer long after its client's deadline
	RejectedMayHaveRun                  // a rejection states that nothing ran, although an attempt may have run
	CloseUnanswered                     // the gateway closes a client connection with an unanswered request
	CloseInFlight                       // the gateway closes an engine connection with an unabandoned attempt in flight
	StartTwice                          // a request starts with an ID in use, or on a connection with an unanswered one
	StartAfterEnd                       // a request starts on a connection that the gateway has closed
	invariantCount
)

// Count is the number of invariants.
const Count = int(invariantCount)

// invariantNames are the names of the invariants in logs and statistics.
var invariantNames = [...]string{"send_after_end", "send_after_deadline", "send_to_drained", "send_misplaced", "send_parallel", "send_over_budget",
	"repeat_unsafe", "repeat_outside", "repeat_over_limit", "answer_twice", "answer_late", "refused_may_have_run", "close_unanswered",
	"close_in_flight", "start_twice", "start_after_end"}

// String returns the name of the invariant in logs and statistics.
func (i Invariant) String() string { return invariantNames[i] }

// Violations counts violations per invariant.
type Violations [Count]int

// Record counts a violation and reports whether it is the first of its invariant; callers log only the first.
func (v *Violations) Record(i Invariant) (first bool) {
	v[i]++
	return v[i] == 1
}

// Sum returns the number of violations of all invariants.
func (v *Violations) Sum() (n int) {
	for _, k := range v {
		n += k
	}
	return n
}

// Findings lists the invariants that an action would violate. The zero value is empty.
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

// All returns the violated invariants in the order of the checks.
func (f *Findings) All() []Invariant { return f.list[:f.n] }

// Slack is how far an action may exceed a time limit before it counts as a violation, since delivery and timers take
// time.
const Slack = 50 * rules.Millisecond

// DeadlineSlack is how far the deadline given to an engine may lie after the client's deadline.
const DeadlineSlack = 150 * rules.Millisecond

// PriorAttempt is an earlier attempt of a request.
type PriorAttempt struct {
	IssuedAt rules.Time // when the decision module issued it
	Sent     bool       // written to a connection
	Ended    bool
	NeverRan bool // it is known not to have run
	Zone     int
	Cell     int
}

// MayHaveRun reports whether an engine may have executed the attempt.
func (p *PriorAttempt) MayHaveRun() bool { return p.Sent && (!p.Ended || !p.NeverRan) }

// Send is an attempt that is about to be written to an engine.
type Send struct {
	Now             rules.Time
	Answered        bool // the request has its final answer, or its client has gone
	Deadline        rules.Time
	ClientDeadline  rules.Time // when the client stops waiting
	State           rules.EngineState
	NotifiedAt      rules.Time // when the gateway was notified of State
	Zone            int
	Kind            int
	Cell            int
	SlowStartSent   float64 // work that this gateway has sent to the engine within the window, including this attempt
	SlowStartBudget float64 // work that all gateways together may send it within the window; 0: not in slow start
	Class           *rules.Class
	Constraints     *rules.Constraints
	Limits          *rules.Limits
	PriorAttempts   []PriorAttempt
}

// Check returns the invariants that the attempt would violate.
func (s *Send) Check() (f Findings) {
	f.add(s.Answered, SendAfterEnd)
	f.add(s.Now >= s.ClientDeadline+Slack || s.Deadline > s.ClientDeadline+DeadlineSlack, SendAfterDeadline)
	f.add(s.State != rules.EngineServing && s.Now > s.NotifiedAt+s.Constraints.DrainGrace+Slack, SendToDraining)
	f.add(!isAllowed(s.Class.AllowedZones, s.Zone) || !isAllowed(s.Class.AllowedKinds, s.Kind), SendMisplaced)
	f.add(s.SlowStartBudget > 0 && s.SlowStartSent > s.SlowStartBudget, SendOverBudget)
	if len(s.PriorAttempts) == 0 {
		return f
	}
	f.add(s.Limits.MaxAttempts > 0 && len(s.PriorAttempts) >= s.Limits.MaxAttempts, RetryOverLimit)
	parallel, unsafe, outsideWindow := false, false, false
	for i := range s.PriorAttempts {
		p := &s.PriorAttempts[i]
		parallel = parallel || p.Sent && !p.Ended && !s.Limits.HedgedRequests
		if !p.MayHaveRun() {
			continue
		}
		unsafe = unsafe || s.Class.Idempotency == rules.NotIdempotent
		outsideWindow = outsideWindow || s.Class.Idempotency == rules.IdempotentWithKey && (s.Now >= p.IssuedAt+s.Class.DedupWindow+Slack || !s.inDedupScope(p))
	}
	f.add(parallel, SendParallel)
	f.add(unsafe, RetryUnsafe)
	f.add(outsideWindow, RetryOutsideWindow)
	return f
}

// inDedupScope reports whether the attempt runs in the dedup scope of a prior one, where engines recognize its key.
func (s *Send) inDedupScope(p *PriorAttempt) bool {
	switch s.Class.DedupScope {
	case rules.DedupZone:
		return p.Zone == s.Zone
	case rules.DedupCell:
		return p.Cell == s.Cell
	}
	return true
}

// isAllowed reports whether a class allows a zone or engine kind. A nil list allows every one.
func isAllowed(list []int, value int) bool {
	if list == nil {
		return true
	}
	for _, p := range list {
		if p == value {
			return true
		}
	}
	return false
}

// Answer is a final answer that is about to be sent to a client.
type Answer struct {
	Now            rules.Time
	ClientDeadline rules.Time
	Answered       bool
	Rejection      bool // it tells the client that a retry is safe: nothing ran, or running twice is harmless
	Class          *rules.Class
	PriorAttempts  []PriorAttempt
}

// lateAnswerSlack is how late an answer may be without a violation: it has no value for the client, but does no harm.
const lateAnswerSlack = 500 * rules.Millisecond

// Check returns the invariants that the answer would violate.
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
