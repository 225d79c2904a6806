package admission

import (
	"math"

	"foxlane/rules"
)

// This file predicts the Retry-After of rejections, and corrects later predictions by the delay that clients needed
// when they returned at their Retry-After. A client is never kept away longer than its tenant's share of the capacity
// requires.

const (
	biasGain               = 0.1                    // weight of one observation in the correction
	biasRetention          = 0.99                   // fraction of the correction that remains after each observation
	maxBiasFactor          = 4.0                    // greatest factor by which a prediction is corrected, up or down
	earlyAllowanceFraction = 0.1                    // how early a client may return, as a fraction of its Retry-After,
	maxEarlyAllowance      = 50 * rules.Millisecond // but at most this much
	minLateAllowance       = rules.Second           // how late a client may return; its Retry-After if longer
	retryAfterJitter       = 0.2                    // jitter of a capped Retry-After, as a fraction of the cap
)

// maxWaitRatio is the ratio of a request's predicted wait to the time left to admit it above which the request is
// rejected on arrival.
const maxWaitRatio = 1.25

// cannotMeetDeadline reports whether a request that has just arrived is predicted to miss its deadline by a clear
// margin. The prediction is used only once its tenant has had queued requests for twice the time constant of the
// capacity.
func (c *Controller) cannotMeetDeadline(request *openRequest) bool {
	tenant := request.client.tenant
	if request.state != requestQueued && request.state != requestBlocked || tenant.queued < 2 || c.now-tenant.queuedSince < 2*capacityTimeConstant {
		return false
	}
	wait := c.expectedWait(request.client, request.work)
	return wait*math.Exp(c.retryAfterBias) > maxWaitRatio*float64(request.expiresAt-c.now)
}

// tenantRate returns the work per microsecond that a tenant can expect: its weighted share of the capacity among the
// tenants with queued requests, or its measured rate if that is higher, because others leave capacity unused.
func (c *Controller) tenantRate(tenant *tenantAccount) float64 {
	capacity := c.capacity.rate(c.now)
	if capacity <= 0 {
		return 1 // nothing has run yet: assume the rate of one thread
	}
	weights := c.queuedWeight
	if tenant.queued == 0 {
		weights += tenant.weight
	}
	fairRate := capacity * tenant.weight / max(weights, tenant.weight)
	return max(fairRate, min(tenant.admittedRate.rate(c.now), capacity), 1e-3)
}

// expectedWait returns the time in microseconds until the queued work of a client has run, without counting an excluded
// amount of work.
func (c *Controller) expectedWait(client *clientAccount, excluded float64) float64 {
	tenant := client.tenant
	ahead := tenant.queuedWork - excluded
	if n := len(tenant.clients); n > 1 {
		ahead = min(ahead, (client.queuedWork-excluded)*float64(n))
	}
	return max(ahead, 0) / c.tenantRate(tenant)
}

// retryAfter returns the Retry-After of a rejected request: the time until the backlog of its tenant and the work
// booked for the tenant have run. Bookings are spaced at the rate at which the tenant is served, so that its clients
// do not all return at once.
func (c *Controller) retryAfter(client *clientAccount, work float64, conn *connection) rules.Time {
	if c.settings.MaxRetryAfter <= 0 || c.stopping {
		return 0
	}
	tenant := client.tenant
	correction := math.Exp(c.retryAfterBias) // not applied to bookedUntil, which includes it already
	after := rules.Time(max(c.expectedWait(client, 0)*correction, float64(tenant.bookedUntil-c.now)) + work/c.tenantRate(tenant)*correction)
	if longest := c.settings.MaxRetryAfter; after > longest { // not booked: demand exceeds the capacity until then
		after = longest - rules.Time(retryAfterJitter*c.rng.Float64()*float64(longest))
	} else {
		tenant.bookedUntil = c.now + after
		c.addBooking(client.key, after)
	}
	after = max(after, rules.Millisecond)
	if conn != nil {
		conn.returnAfter = c.now + after - min(rules.Time(earlyAllowanceFraction*float64(after)), maxEarlyAllowance)
	}
	c.stats.RetryAfterSent++
	return after
}

// updateRetryAfterBias corrects later predictions after a request that arrived at its Retry-After is done, by the
// ratio of the delay that it needed to its Retry-After. A request that was admitted at once needed only the delay
// until its tenant had nothing queued. A wait no longer than its run is not an error, since a short queue keeps the
// engines busy. The correction decays unless further observations confirm it.
func (c *Controller) updateRetryAfterBias(request *openRequest, served bool) {
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
