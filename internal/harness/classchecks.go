package harness

import "time"

// This file judges what classes and gateways keep to beyond single requests: order by key, placement, the ration of further
// attempts.

// orderKey is what ordered requests share: their gateway, the life of its process, and their key.
type orderKey struct {
	gateway     *gateway
	incarnation int64
	key         string
}

// clientSend is when a try was sent to a gateway, and in which life.
type clientSend struct {
	at          time.Time
	incarnation int64
}

// retry is a further attempt of a request.
type retry struct {
	at          time.Time
	incarnation int64
}

const (
	freeRetries        = 3
	retryWindow        = 2 * time.Second
	retryBudgetSlack   = 300 * time.Millisecond // requests take so long from client to gateway, and from there to an engine, at most
	maxOrderedAttempts = 64                     // ordered requests of a key that are remembered
)

// checkClassRules judges a request at an engine by its class. The books are locked.
func (r *Report) checkClassRules(attempt *clientAttempt, e *engine, now time.Time) {
	class := &r.fleet.classes[attempt.request.class]
	if class.firstZoneOnly && e.zone != r.fleet.Zones[0].Name {
		r.addViolationLocked(WrongZone, "%s of class %s came to %s", attempt.id, class.name, e.name)
	}
	if class.ordered {
		r.checkOrder(attempt, now)
	}
	if r.fleet.RetryBudget > 0 && attempt.engineRequests > 1 {
		r.checkRetryBudget(attempt, now)
	}
}

// checkOrder judges a request of an ordered class at an engine: no other one with its key may be under way.
func (r *Report) checkOrder(attempt *clientAttempt, now time.Time) {
	key := orderKey{attempt.gateway, attempt.incarnation, attempt.request.key}
	for _, other := range r.orderedAttempts[key] {
		switch slack := socketSlack + harnessSlack; {
		case other == attempt || other.engineRequests == 0:
		case other.abandonedAt.IsZero() && other.answeredAt.IsZero() && other.runEnd.After(now.Add(slack)):
			r.overlaps = append(r.overlaps, overlap{attempt, other, now}) // its answer may be on its way
		case !other.abandonedAt.IsZero() && other.runEnd.After(other.abandonedAt.Add(slack)) && now.After(other.abandonedAt) && now.Before(other.abandonedAt.Add(keyQuarantine-slack)):
			r.addViolationLocked(OrderViolated, "%s came to an engine %v after the client of %s with the same key had gone", attempt.id, now.Sub(other.abandonedAt).Round(time.Millisecond), other.id)
		}
	}
	if attempt.engineRequests == 1 {
		kept := append(r.orderedAttempts[key], attempt)
		r.orderedAttempts[key] = kept[max(0, len(kept)-maxOrderedAttempts):]
	}
}

// overlap is a request of an ordered class that came to an engine while another one with its key ran.
type overlap struct {
	second, first *clientAttempt
	at            time.Time
}

// checkOverlaps judges in the end which of them ran at once: the answer of the first one had not been given by then.
func (r *Report) checkOverlaps() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.overlaps {
		by := p.at.Add(socketSlack + harnessSlack + r.fleet.pauses.totalSince(p.at.Add(-time.Second)))
		if first := p.first; (first.answeredAt.IsZero() || first.answeredAt.After(by)) && (first.abandonedAt.IsZero() || first.abandonedAt.After(by)) {
			r.addViolationLocked(OrderViolated, "%s came to an engine while %s with the same key ran there or at another", p.second.id, first.id)
		}
	}
}

// checkRetryBudget judges a further attempt by how many its gateway has made of late.
func (r *Report) checkRetryBudget(attempt *clientAttempt, now time.Time) {
	g := attempt.gateway
	r.retries[g] = append(r.retries[g], retry{now, attempt.incarnation})
	further, taken := 0, 0
	for _, x := range r.retries[g] {
		if x.incarnation == attempt.incarnation && now.Sub(x.at) < retryWindow-retryBudgetSlack {
			further++
		}
	}
	for _, send := range r.sends[g] {
		if send.incarnation == attempt.incarnation && now.Sub(send.at) < retryWindow+retryBudgetSlack {
			taken++
		}
	}
	if float64(further) > freeRetries+r.fleet.RetryBudget*float64(taken) {
		r.addViolationLocked(RetryBudgetExceeded, "%s made %d further attempts, with %d requests taken", g.name, further, taken)
	}
}

// recordRun notes until when a request runs at an engine.
func (r *Report) recordRun(attempt *clientAttempt, until time.Time) {
	r.mu.Lock()
	attempt.runEnd = until
	r.mu.Unlock()
}
