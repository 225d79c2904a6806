package harness

import (
	"fmt"
	"math"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// This file judges a run by what clients and engines saw on the wire, and by what gateways counted themselves.

// ViolationKind is a kind of violation.
type ViolationKind int

// Kinds of violations.
const (
	LostRequest         ViolationKind = iota // a request that was read has no final answer, or a result that was kept is not there
	DuplicateExecution                       // an engine was asked again for what may have run and must not run twice
	SentAfterDisconnect                      // an engine was asked for a request whose client had gone
	PastDeadline                             // an engine was told to run for longer than its client waits
	SentWhileDraining                        // an engine was asked that its gateway knew to drain or to be gone
	SlowStartExceeded                        // a cold engine was sent more than it bears by gateways that knew
	WrongResponse                            // rows that no engine made for the request
	Crashed                                  // a process ended by itself, or not when it was asked to, or not with 0
	NotReady                                 // a process was not ready within 10 s
	OrderViolated                            // two requests of an ordered class with one key ran at once
	WrongZone                                // a request ran in a zone that its class must not use
	RetryBudgetExceeded                      // a gateway made more further attempts than its settings allow
	InvariantBroken                          // an invariant that a gateway checks itself
	violationKindCount
)

var violationNames = [...]string{"lost", "duplicated", "sent_after_gone", "past_deadline", "drain_broken", "failback_broken", "wrong_answer",
	"crashed", "not_ready_10s", "order_broken", "misplaced", "ration_broken", "guarded"}

func (v ViolationKind) String() string { return violationNames[v] }

// addViolation counts a violation and keeps what is said of it.
func (r *Report) addViolation(v ViolationKind, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(v, format, args...)
}

func (r *Report) addViolationLocked(v ViolationKind, format string, args ...any) {
	r.ViolationCounts[v]++
	r.appendViolationLocked(v.String()+": "+format, args...)
}

// TotalViolations is how many there were, of all kinds.
func (r *Report) TotalViolations() (n int) {
	for _, k := range r.ViolationCounts {
		n += k
	}
	return n
}

const (
	disconnectSlack = 100 * time.Millisecond // an attempt may begin so long after its client has gone
	deadlineSlack   = 150 * time.Millisecond
	drainGrace      = time.Second
	socketSlack     = 50 * time.Millisecond  // each limit is so much longer on sockets
	harnessSlack    = 100 * time.Millisecond // what the rig's own goroutines and timers may add
	maxLateness     = 500 * time.Millisecond // an answer so late earns nothing; later it is lost
)

// checkEngineRequest judges one request at an engine by when it came. The books are locked.
func (r *Report) checkEngineRequest(attempt *clientAttempt, e *engine, now time.Time, ttl time.Duration) {
	way := r.fleet.slowest(attempt.gateway.party, e.party) + r.fleet.pauses.totalSince(attempt.sentAt)
	if !attempt.abandonedAt.IsZero() {
		if late := now.Sub(attempt.abandonedAt); late > disconnectSlack+socketSlack+harnessSlack+way+r.fleet.slowest(party{"clients", "", "clients"}, attempt.gateway.party) {
			r.addViolationLocked(SentAfterDisconnect, "%s came to %s %v after its client had gone from %s", attempt.id, e.name, late.Round(time.Millisecond), attempt.gateway.name)
		}
	}
	if left := attempt.deadline.Sub(now); ttl > 0 && ttl > left+deadlineSlack+socketSlack+harnessSlack+way && !attempt.gateway.disturbedSince(attempt.sentAt) {
		r.addViolationLocked(PastDeadline, "%s came to %s with %v to run, and its client waits for %v", attempt.id, e.name, ttl, left.Round(time.Millisecond))
	}
	if told := e.drainNotifiedAt(attempt.gateway.index); !told.IsZero() {
		r.SlowestDrain = max(r.SlowestDrain, now.Sub(told)-way)
	}
	if told := e.drainNotifiedAt(attempt.gateway.index); !told.IsZero() && now.Sub(told) > drainGrace+socketSlack+harnessSlack+way {
		r.addViolationLocked(SentWhileDraining, "%s came from %s to %s, which it knew to drain for %v", attempt.id, attempt.gateway.name, e.name, now.Sub(told).Round(time.Millisecond))
	}
}

// slowest is how much longer than usual a way between two parties may be now.
func (f *fleet) slowest(from, to party) time.Duration {
	sum := time.Duration(0)
	for _, link := range []*faultproxy.Link{f.link(from, to), f.link(to, from)} {
		c := link.Conditions()
		sum += c.Delay + c.Jitter
		if c.Loss > 0 {
			sum += 5 * retransmissionDelay
		}
		if c.Cut || link.ChangedWithin(cutSettleTime) {
			sum += cutSettleTime
		}
	}
	return sum
}

const (
	retransmissionDelay = 200 * time.Millisecond // a lost segment comes so much later
	cutSettleTime       = 5 * time.Second        // what waited in a way that was cut may come as late as that
)

// allowedRequests is how many requests of mean work a cold engine bears within the span, of n that the settings allow: chance
// gets some room.
func allowedRequests(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkSlowStart judges what came to a cold engine. Its lock is held.
func (e *engine) checkSlowStart(now time.Time) (broken string) {
	warm := e.warmth(now)
	mean := e.fleet.meanWork()
	n := e.fleet.overloadFactor() * warm * float64(e.fleet.Cores) * float64(overloadWindow) / mean
	sum, informed := 0.0, 0.0
	for _, s := range e.coldSends {
		sum += float64(s.work) / mean
		if s.informed {
			informed += float64(s.work) / mean
		}
	}
	if sum <= allowedRequests(n) {
		return ""
	}
	e.coldSends = nil
	if informed*3 >= sum*2 {
		return fmt.Sprintf("%s at %.2f of its speed got %.1f requests of mean work in %v, where %.1f are allowed", e.name, warm, sum, overloadWindow, n)
	}
	return ""
}

// checkInvariants takes what a gateway has counted itself from its log.
func (r *Report) checkInvariants(g *gateway, log string) {
	for _, line := range strings.Split(log, "\n") {
		if strings.Contains(line, `"msg":"invariant violated"`) {
			r.addViolation(InvariantBroken, "%s: %s", g.name, line)
		}
	}
}
