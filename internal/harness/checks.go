package harness

import (
	"fmt"
	"math"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// This file checks single requests by what clients and engines see on the wire, and gateways by the invariants they log.

const (
	disconnectSlack = 100 * time.Millisecond // an attempt may begin this long after its client has disconnected
	deadlineSlack   = 150 * time.Millisecond // the deadline passed to an engine may be this much later than the client's
	drainGrace      = time.Second            // a gateway may use an engine this long after it was notified of its drain
	socketSlack     = 50 * time.Millisecond  // added to each limit, for the system's sockets
	harnessSlack    = 100 * time.Millisecond // added to each limit, for the harness's own goroutines and timers
	maxLateness     = 500 * time.Millisecond // a response later than this is lost
)

// checkEngineRequest checks a request that reached an engine by when it came. r.mu is held.
func (r *recorder) checkEngineRequest(attempt *clientAttempt, e *engine, now time.Time, ttl time.Duration) {
	transit := r.fleet.slowest(attempt.gateway.party, e.party) + r.fleet.pauses.totalSince(attempt.sentAt)
	if !attempt.abandonedAt.IsZero() {
		if late := now.Sub(attempt.abandonedAt); late > disconnectSlack+socketSlack+harnessSlack+transit+r.fleet.slowest(clientsParty, attempt.gateway.party) {
			r.addViolationLocked(SentAfterDisconnect, "%s came to %s %v after its client had gone from %s", attempt.id, e.name, late.Round(time.Millisecond), attempt.gateway.name)
		}
	}
	if left := attempt.deadline.Sub(now); ttl > 0 && ttl > left+deadlineSlack+socketSlack+harnessSlack+transit && !attempt.gateway.disturbedSince(attempt.sentAt) {
		r.addViolationLocked(PastDeadline, "%s came to %s with %v to run, and its client waits for %v", attempt.id, e.name, ttl, left.Round(time.Millisecond))
	}
	if notified := e.drainNotifiedAt(attempt.gateway.index); !notified.IsZero() {
		known := now.Sub(notified)
		r.SlowestDrain = max(r.SlowestDrain, known-transit)
		if known > drainGrace+socketSlack+harnessSlack+transit {
			r.addViolationLocked(SentWhileDraining, "%s came from %s to %s, which it knew to drain for %v", attempt.id, attempt.gateway.name, e.name, known.Round(time.Millisecond))
		}
	}
}

// slowest is the most that the links between two parties, there and back, may add to the usual transit time now.
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
	retransmissionDelay = 200 * time.Millisecond // of a lost TCP segment
	cutSettleTime       = 5 * time.Second        // after a cut, what waited in the link may arrive this late
)

// allowedRequests is how many requests of mean work may reach a cold engine within the window, if the settings allow n on
// average: the terms in the square root leave room for chance.
func allowedRequests(n float64) float64 {
	if n < 30 {
		return n + 3*math.Sqrt(n) + 3
	}
	return n + 2*math.Sqrt(n) + 2
}

// checkSlowStart checks what a cold engine received of late. Sends count against the gateways only if two thirds of the work
// came from gateways that were notified of the start. e.mu is held.
func (e *engine) checkSlowStart(now time.Time) (broken string) {
	warm := e.warmth(now)
	mean := e.fleet.meanWork()
	n := e.fleet.overloadFactor() * warm * float64(e.fleet.Cores) * float64(overloadWindow) / mean
	sum, informed := 0.0, 0.0 // requests of mean work
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

// checkInvariants adds a violation for each broken invariant in a gateway's log.
func (r *recorder) checkInvariants(g *gateway) {
	for _, line := range strings.Split(g.log.String(), "\n") {
		if strings.Contains(line, `"msg":"invariant violated"`) {
			r.addViolation(InvariantBroken, "%s: %s", g.name, line)
		}
	}
}
