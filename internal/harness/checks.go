package harness

import (
	"fmt"
	"math"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// This file checks single requests by what clients and engines see on the wire, and gateways by the broken invariants
// that they log.

const (
	disconnectSlack = 100 * time.Millisecond // a gateway may send an attempt this long after its client disconnected
	deadlineSlack   = 150 * time.Millisecond // the deadline passed to an engine may be this much later than the client's
	drainGrace      = time.Second            // a gateway may use an engine this long after it was notified of its drain
	socketSlack     = 50 * time.Millisecond  // added to each limit for delays in the kernel's sockets
	harnessSlack    = 100 * time.Millisecond // added to each limit for delays of the harness's goroutines and timers
	maxLateness     = 500 * time.Millisecond // a response that is later than this counts as lost
)

// checkEngineRequest checks, with slack for transit and scheduling, that a request reached an engine before its client
// disconnected, with no later deadline than the client's, and not after the gateway learned of the engine's drain. The
// caller holds r.mu.
func (r *recorder) checkEngineRequest(attempt *clientAttempt, e *engine, now time.Time, ttl time.Duration) {
	transit := r.fleet.maxAddedTransit(attempt.gateway.party, e.party) + r.fleet.pauses.totalSince(attempt.sentAt)
	if !attempt.abandonedAt.IsZero() {
		if late := now.Sub(attempt.abandonedAt); late > disconnectSlack+socketSlack+harnessSlack+transit+r.fleet.maxAddedTransit(clientsParty, attempt.gateway.party) {
			r.addViolationLocked(SentAfterDisconnect, "%s reached %s %v after its client abandoned it at %s", attempt.id, e.name, late.Round(time.Millisecond), attempt.gateway.name)
		}
	}
	if left := attempt.deadline.Sub(now); ttl > 0 && ttl > left+deadlineSlack+socketSlack+harnessSlack+transit && !attempt.gateway.disturbedSince(attempt.sentAt) {
		r.addViolationLocked(PastDeadline, "%s reached %s with a deadline in %v, but its client's deadline is in %v", attempt.id, e.name, ttl, left.Round(time.Millisecond))
	}
	if notified := e.drainNotifiedAt(attempt.gateway.index); !notified.IsZero() {
		known := now.Sub(notified)
		r.SlowestDrain = max(r.SlowestDrain, known-transit)
		if known > drainGrace+socketSlack+harnessSlack+transit {
			r.addViolationLocked(SentWhileDraining, "%s was sent by %s to %s and arrived %v after the gateway was notified of the drain", attempt.id, attempt.gateway.name, e.name, known.Round(time.Millisecond))
		}
	}
}

// maxAddedTransit returns the most that the current conditions of the links between two parties, in both directions,
// may add to the usual transit time.
func (f *fleet) maxAddedTransit(from, to party) time.Duration {
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
	retransmissionDelay = 200 * time.Millisecond // delay of a lost TCP segment
	cutSettleTime       = 5 * time.Second        // data that waited in a cut link may arrive this late
)

// allowedRequests returns how many requests of mean work may reach a cold engine within the window if the settings
// allow the given average. The terms beyond the average leave room for chance.
func allowedRequests(average float64) float64 {
	if average < 30 {
		return average + 3*math.Sqrt(average) + 3
	}
	return average + 2*math.Sqrt(average) + 2
}

// checkSlowStart checks the work that a cold engine received within overloadWindow, and returns the text of a
// violation, if there is one. An excess counts only if at least two thirds of the work came from gateways that were
// notified of the engine's start. The caller holds e.mu.
func (e *engine) checkSlowStart(now time.Time) (violation string) {
	speed := e.speedFraction(now)
	meanWork := e.fleet.meanWork()
	allowed := e.fleet.overloadFactor() * speed * float64(e.fleet.Cores) * float64(overloadWindow) / meanWork
	sum, fromNotified := 0.0, 0.0 // in requests of mean work
	for _, send := range e.coldSends {
		sum += float64(send.work) / meanWork
		if send.notified {
			fromNotified += float64(send.work) / meanWork
		}
	}
	if sum <= allowedRequests(allowed) {
		return ""
	}
	e.coldSends = nil
	if fromNotified*3 >= sum*2 {
		return fmt.Sprintf("%s at %.2f of its full speed received %.1f requests of mean work within %v, where %.1f are allowed on average", e.name, speed, sum, overloadWindow, allowed)
	}
	return ""
}

// checkInvariants adds a violation for each broken invariant that a gateway has logged.
func (r *recorder) checkInvariants(g *gateway) {
	for _, line := range strings.Split(g.log.String(), "\n") {
		if strings.Contains(line, `"msg":"invariant violated"`) {
			r.addViolation(InvariantBroken, "%s: %s", g.name, line)
		}
	}
}
