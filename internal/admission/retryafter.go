package admission

import (
	"math"

	"foxlane/rules"
)

// This file owns the times of return: what they are computed from, that they
// are booked, and how wrong they proved. It never names a time to keep a
// client away longer than its tenant's part of the capacity needs.

const (
	biasGain         = 0.1
	biasRetention    = 0.99                   // of the correction, at each return
	maxBiasFactor    = 4.0                    // times that a prediction is corrected by, either way
	earlyFraction    = 0.1                    // of the span told that a client may come early, and
	maxEarly         = 50 * rules.Millisecond // at most
	minLateAllowance = rules.Second           // and this late, or as late again as it was told
	spreadFraction   = 0.2                    // of the longest time, over which those told that are spread
)

// booking is a time of return that was told.
type booking struct {
	client   uint64 // 0: free
	bookedAt rules.Time
	due      rules.Time
	next     int32
}

// cannotMeetDeadline answers whether a request that has just come could not be in time, by far. While the door
// has held requests for less than the span over which it knows the capacity, it does not.
func (c *Controller) cannotMeetDeadline(request *openRequest) bool {
	tenant := request.client.tenant
	if request.state != requestQueued && request.state != requestBlocked || tenant.queued < 2 || c.now-tenant.queuedSince < 2*capacitySpan {
		return false
	}
	wait := c.expectedWait(request.client, request.work)
	return wait*math.Exp(c.retryAfterBias) > hopelessWaitFactor*float64(request.expiresAt-c.now)
}

// tenantRate is the work per microsecond that a tenant gets: its part of the capacity among those that have
// something held, or what it did get, if others left it more.
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

// expectedWait is how long it takes until what a client has held is run, in microseconds.
func (c *Controller) expectedWait(client *clientAccount, excluded float64) float64 {
	tenant := client.tenant
	held := tenant.queuedWork - excluded
	if n := len(tenant.clients); n > 1 {
		held = min(held, (client.queuedWork-excluded)*float64(n))
	}
	return max(held, 0) / c.tenantRate(tenant)
}

// retryAfter is the time of return that a refusal of a request of so much work names: when the backlog of its
// tenant and all that was promised to it before have run. Promises follow one another at the rate at
// which the tenant is served, so that not all come at once and there is room for each.
func (c *Controller) retryAfter(client *clientAccount, work float64, conn *connection) rules.Time {
	if c.settings.MaxRetryAfter <= 0 || c.stopping {
		return 0
	}
	tenant := client.tenant
	correction := math.Exp(c.retryAfterBias) // of what is added only: what was promised holds the correction already
	after := rules.Time(max(c.expectedWait(client, 0)*correction, float64(tenant.bookedUntil-c.now)) + work/c.tenantRate(tenant)*correction)
	if most := c.settings.MaxRetryAfter; after > most { // no promise: more is asked for than there will be room for
		after = most - rules.Time(spreadFraction*c.rng.Float64()*float64(most))
	} else {
		tenant.bookedUntil = c.now + after
		c.book(client.key, after)
	}
	after = max(after, rules.Millisecond)
	if conn != nil {
		conn.returnAfter = c.now + after - min(rules.Time(earlyFraction*float64(after)), maxEarly)
	}
	c.stats.RetryAfterSent++
	return after
}

// reject gives up a held request, with the time of return.
func (c *Controller) reject(request *openRequest, why Reason) {
	client, work := request.client, request.work
	c.dequeue(request)
	c.stats.Rejected[why]++
	if request.booked {
		c.stats.ReturnsMissed++
	}
	after := c.retryAfter(client, work, &c.connections[request.connection])
	c.emit(Effect{Kind: Reject, Slot: int(request.slot), After: after, Reason: why})
	c.releaseRequest(request)
}

// rejectAdmitted names a time of return for a request that the module turns down. The slot stays until Done.
func (c *Controller) rejectAdmitted(request *openRequest, why Reason) {
	c.stats.Rejected[why]++
	c.emit(Effect{Kind: Reject, Slot: int(request.slot), After: c.retryAfter(request.client, request.work, &c.connections[request.connection]), Reason: why})
}

// bookingTable are the times of return that may still be kept, in a room that does not grow: each client's in
// the order in which they were told.
type bookingTable struct {
	bookings   []booking
	firstFree  int32
	byClient   map[uint64]bookingList
	sweepIndex int // looked at next, for one that nobody came for
}

type bookingList struct{ first, last, count int32 }

const bookingBytes = 32 + mapEntryBytes

func newBookingTable(bytes int) bookingTable {
	n := max(bytes/bookingBytes, 16)
	p := bookingTable{bookings: make([]booking, n), byClient: make(map[uint64]bookingList, n)}
	for i := range p.bookings {
		p.bookings[i].next = int32(i) + 1
	}
	p.bookings[n-1].next = noSlot
	return p
}

func (p *bookingTable) bytes() int { return len(p.bookings) * bookingBytes }

// dropFirst forgets the first of a client.
func (p *bookingTable) dropFirst(client uint64, list bookingList) bookingList {
	i := list.first
	list.first, list.count = p.bookings[i].next, list.count-1
	if list.count == 0 {
		delete(p.byClient, client)
	} else {
		p.byClient[client] = list
	}
	p.bookings[i] = booking{next: p.firstFree}
	p.firstFree = i
	return list
}

// expired answers whether nobody need come for it any more.
func (p *booking) expired(now rules.Time) bool {
	return now > p.due+max(minLateAllowance, p.due-p.bookedAt)
}

// expireSome drops what is over of two clients. One that holds nothing is passed over.
func (p *bookingTable) expireSome(now rules.Time) {
	for range 2 {
		p.sweepIndex = (p.sweepIndex + 1) % len(p.bookings)
		if c := p.bookings[p.sweepIndex].client; c != 0 {
			for list := p.byClient[c]; list.count > 0 && p.bookings[list.first].expired(now); {
				list = p.dropFirst(c, list)
			}
		}
	}
}

// book keeps a time of return, so that who comes then is put ahead. Of a client not more than a part of
// the room is kept: what goes beyond is told all the same, but not booked.
func (c *Controller) book(client uint64, after rules.Time) {
	bookings := &c.bookings
	bookings.expireSome(c.now)
	list := bookings.byClient[client]
	if bookings.firstFree == noSlot || int(list.count) >= max(len(bookings.bookings)/4, 1) {
		return
	}
	i := bookings.firstFree
	bookings.firstFree = bookings.bookings[i].next
	bookings.bookings[i] = booking{client, c.now, c.now + after, noSlot}
	if list.count == 0 {
		list.first = i
	} else {
		bookings.bookings[list.last].next = i
	}
	list.last = i
	list.count++
	bookings.byClient[client] = list
}

// claimBooking puts a request ahead whose client was told to come now.
func (c *Controller) claimBooking(request *openRequest) {
	bookings, key := &c.bookings, request.client.key
	list := bookings.byClient[key]
	for list.count > 0 && bookings.bookings[list.first].expired(c.now) {
		list = bookings.dropFirst(key, list)
	}
	if list.count == 0 {
		return
	}
	g := bookings.bookings[list.first]
	span := g.due - g.bookedAt
	if c.now < g.due-min(rules.Time(earlyFraction*float64(span)), maxEarly) {
		return
	}
	bookings.dropFirst(key, list)
	request.booked, request.bookedAt, request.bookedDelay = true, g.bookedAt, max(span, 1)
	request.couldStartAt = c.now
	if tenant := request.client.tenant; tenant.queued == 0 {
		request.couldStartAt = max(tenant.emptySince, g.bookedAt)
	}
}

// learnFromReturn learns from a request that came back as told: how long it would have had to wait, over what it
// was told. One that passed at once could have come as soon as nothing of its tenant was held; a wait of
// no more than its run is the queue that keeps engines busy, and no error. The correction fades unless it
// is confirmed.
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
