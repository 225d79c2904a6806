package harness

import (
	"time"
)

// This file checks the rules of request classes and of gateways over several requests: no duplicates, order by key,
// zones that a class may use, and the retry budget.

// orderKey identifies requests that must run one after another: those with one key at one incarnation of one gateway.
type orderKey struct {
	gateway     *gateway
	incarnation int64
	key         string
}

// countedAttempt is an attempt that counts in a gateway's retry budget, with the incarnation of the gateway.
type countedAttempt struct {
	at          time.Time
	incarnation int64
}

// countWithin counts the attempts of an incarnation in the given window before now.
func countWithin(attempts []countedAttempt, incarnation int64, now time.Time, window time.Duration) (n int) {
	for _, attempt := range attempts {
		if attempt.incarnation == incarnation && now.Sub(attempt.at) < window {
			n++
		}
	}
	return n
}

const (
	freeRetries        = 3                      // retries per window that are allowed without any requests
	retryWindow        = 2 * time.Second        // period over which retries and requests are counted
	retryBudgetSlack   = 300 * time.Millisecond // longest transit from a client to a gateway, and on to an engine
	maxOrderedAttempts = 64                     // kept per key
)

// checkClassRules checks a request that reached an engine against the rules of its class and, if it is a retry,
// against the retry budget. The caller holds r.mu.
func (r *recorder) checkClassRules(attempt *clientAttempt, e *engine, now time.Time) {
	class := &r.fleet.classes[attempt.request.class]
	if class.firstZoneOnly && e.zone != r.fleet.Zones[0].Name {
		r.addViolationLocked(WrongZone, "%s of class %s reached %s, outside the first zone", attempt.id, class.name, e.name)
	}
	if class.ordered {
		r.checkOrder(attempt, now)
	}
	if r.fleet.RetryBudget > 0 && attempt.engineRequests > 1 {
		r.checkRetryBudget(attempt, now, r.fleet.maxAddedTransit(attempt.gateway.party, e.party))
	}
}

// checkOrder checks a request of an ordered class that reached an engine: no other request with its key may run, and
// its key may not be in quarantine after an attempt that a client abandoned.
func (r *recorder) checkOrder(attempt *clientAttempt, now time.Time) {
	key := orderKey{attempt.gateway, attempt.incarnation, attempt.request.key}
	for _, other := range r.orderedAttempts[key] {
		switch slack := socketSlack + harnessSlack; {
		case other == attempt || other.engineRequests == 0:
		case other.abandonedAt.IsZero() && other.answeredAt.IsZero() && other.runEnd.After(now.Add(slack)):
			r.overlaps = append(r.overlaps, overlap{attempt, other, now}) // its response may be in transit
		case !other.abandonedAt.IsZero() && other.runEnd.After(other.abandonedAt.Add(slack)) && now.After(other.abandonedAt) && now.Before(other.abandonedAt.Add(keyQuarantine-slack)):
			r.addViolationLocked(OrderViolated, "%s reached an engine %v after the client of %s, a request with the same key, abandoned it", attempt.id, now.Sub(other.abandonedAt).Round(time.Millisecond), other.id)
		}
	}
	if attempt.engineRequests == 1 {
		kept := append(r.orderedAttempts[key], attempt)
		r.orderedAttempts[key] = kept[max(0, len(kept)-maxOrderedAttempts):]
	}
}

// overlap is a request of an ordered class that reached an engine while another one with its key seemed to be running.
type overlap struct {
	second, first *clientAttempt
	at            time.Time
}

// checkOverlaps adds a violation for each overlap whose first request had no response yet when the second reached an
// engine. It runs once all responses are known.
func (r *recorder) checkOverlaps() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.overlaps {
		latestAnswer := o.at.Add(socketSlack + harnessSlack + r.fleet.pauses.totalSince(o.at.Add(-time.Second)))
		if first := o.first; (first.answeredAt.IsZero() || first.answeredAt.After(latestAnswer)) && (first.abandonedAt.IsZero() || first.abandonedAt.After(latestAnswer)) {
			r.addViolationLocked(OrderViolated, "%s reached an engine while %s with the same key was running there or at another engine", o.second.id, first.id)
		}
	}
}

// checkRetryBudget checks a retry against its gateway's retry budget. Over a slow link, or one that was cut lately,
// an attempt may arrive up to transit after it was sent, and may even be a first attempt that the second one
// overtook. Therefore the attempt counts at the earliest time at which it may have been sent, and the window for
// retries is shorter by transit, the window for accepted requests longer by transit.
func (r *recorder) checkRetryBudget(attempt *clientAttempt, now time.Time, transit time.Duration) {
	g := attempt.gateway
	r.retries[g] = append(r.retries[g], countedAttempt{now.Add(-transit), attempt.incarnation})
	retries := countWithin(r.retries[g], attempt.incarnation, now, retryWindow-retryBudgetSlack-transit)
	accepted := countWithin(r.sends[g], attempt.incarnation, now, retryWindow+retryBudgetSlack+transit)
	if float64(retries) > freeRetries+r.fleet.RetryBudget*float64(accepted) {
		r.addViolationLocked(RetryBudgetExceeded, "%s made %d retries, with %d requests accepted", g.name, retries, accepted)
	}
}

// checkDuplicate checks that a non-idempotent request reaches engines only once, and that one with an idempotency key
// reaches them again only within its window.
func (r *recorder) checkDuplicate(attempt *clientAttempt, e *engine, now time.Time) {
	class := &r.fleet.classes[attempt.request.class]
	sinceFirst := now.Sub(attempt.firstEngineAt)
	outsideWindow := class.idempotencyWindow > 0 && sinceFirst > class.idempotencyWindow+socketSlack+harnessSlack+r.fleet.maxAddedTransit(attempt.gateway.party, e.party)
	if attempt.engineRequests > 1 && (class.nonIdempotent || outsideWindow) {
		r.addViolationLocked(DuplicateExecution, "%s of class %s reached engines %d times, the last time %v after the first", attempt.id, class.name, attempt.engineRequests, sinceFirst.Round(time.Millisecond))
	}
}
