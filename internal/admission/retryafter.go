package admission

import (
	"math"

	"foxlane/rules"
)

// This file owns the Retry-After of rejections: how it is predicted, and how later predictions are corrected by what
// clients that obeyed it needed. It never keeps a client away for longer than its tenant's part of the capacity
// requires.

const (
	biasGain         = 0.1                    // weight of one observation in the correction
	biasRetention    = 0.99                   // fraction of the correction that each observation keeps
	maxBiasFactor    = 4.0                    // by which a prediction is corrected at most, either way
	earlyFraction    = 0.1                    // of its Retry-After that a client may come early, and
	maxEarly         = 50 * rules.Millisecond // at most
	minLateAllowance = rules.Second           // that a client may come late; or its Retry-After, whichever is more
	spreadFraction   = 0.2                    // of the longest Retry-After, over which those beyond it are spread at random
)

// hopelessWaitFactor is how many times the time left until its deadline the predicted wait of a
// request must be for it to be rejected on arrival.
const hopelessWaitFactor = 1.25

// cannotMeetDeadline reports whether the predicted wait of a request that has just come exceeds, by far, the time
// until its deadline. The prediction counts only once its tenant has had queued requests for longer than the
// capacity is averaged over.
func (c *Controller) cannotMeetDeadline(request *openRequest) bool {
	tenant := request.client.tenant
	if request.state != requestQueued && request.state != requestBlocked || tenant.queued < 2 || c.now-tenant.queuedSince < 2*capacitySpan {
		return false
	}
	wait := c.expectedWait(request.client, request.work)
	return wait*math.Exp(c.retryAfterBias) > hopelessWaitFactor*float64(request.expiresAt-c.now)
}

// tenantRate is the work per microsecond that a tenant is served at: its weighted part of the capacity among the tenants
// with queued requests, or the rate measured, if others leave it more.
func (c *Controller) tenantRate(tenant *tenantAccount) float64 {
	capacity := c.capacity.rate(c.now)
	if capacity <= 0 {
		return 1 // nothing has run yet: as one thread would
	}
	weights := c.queuedWeight
	if tenant.queued == 0 {
		weights += tenant.weight
	}
	fairRate := capacity * tenant.weight / max(weights, tenant.weight)
	return max(fairRate, min(tenant.servedRate.rate(c.now), capacity), 1e-3)
}

// expectedWait is how long it takes until what a client has queued is run, in microseconds, but for an excluded
// amount of work.
func (c *Controller) expectedWait(client *clientAccount, excluded float64) float64 {
	tenant := client.tenant
	ahead := tenant.queuedWork - excluded
	if n := len(tenant.clients); n > 1 {
		ahead = min(ahead, (client.queuedWork-excluded)*float64(n))
	}
	return max(ahead, 0) / c.tenantRate(tenant)
}

// retryAfter is the Retry-After of a rejected request: the time until the backlog of its tenant and the work that is
// booked for it have run. Bookings follow one another at the rate at which the tenant is served, so that clients do
// not all come at once.
func (c *Controller) retryAfter(client *clientAccount, work float64, conn *connection) rules.Time {
	if c.settings.MaxRetryAfter <= 0 || c.stopping {
		return 0
	}
	tenant := client.tenant
	correction := math.Exp(c.retryAfterBias) // of what is added only: bookedUntil holds the correction already
	after := rules.Time(max(c.expectedWait(client, 0)*correction, float64(tenant.bookedUntil-c.now)) + work/c.tenantRate(tenant)*correction)
	if most := c.settings.MaxRetryAfter; after > most { // not booked: more is asked for than there will be capacity for
		after = most - rules.Time(spreadFraction*c.rng.Float64()*float64(most))
	} else {
		tenant.bookedUntil = c.now + after
		c.addBooking(client.key, after)
	}
	after = max(after, rules.Millisecond)
	if conn != nil {
		conn.returnAfter = c.now + after - min(rules.Time(earlyFraction*float64(after)), maxEarly)
	}
	c.stats.RetryAfterSent++
	return after
}

// learnFromReturn corrects later predictions by a request that came at its Retry-After: by the time that it would
// have needed, over the Retry-After. One that was admitted at once could have come as soon as nothing of its tenant
// was queued. A wait no longer than its run is the queue that keeps engines busy, and no error. The correction
// decays unless it is confirmed.
func (c *Controller) learnFromReturn(request *openRequest, served bool) {
	if !request.booked {
		return
	}
	if !served {
		c.stats.ReturnsMissed++
		return
	}
	c.stats.ReturnsServed++
	needed := request.bookedDelay
	switch {
	case request.admittedAt == request.arrivedAt:
		needed = min(request.couldStartAt-request.bookedAt, request.bookedDelay)
	case request.admittedAt-request.arrivedAt > rules.Time(request.work/c.threads(request.class)):
		needed = request.admittedAt - request.bookedAt
	}
	ratio := min(max(float64(needed)/float64(request.bookedDelay), 1/maxBiasFactor), maxBiasFactor)
	c.retryAfterBias = min(max(biasRetention*c.retryAfterBias+biasGain*math.Log(ratio), -math.Log(maxBiasFactor)), math.Log(maxBiasFactor))
}
