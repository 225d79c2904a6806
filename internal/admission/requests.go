package admission

import "foxlane/rules"

// This file implements the lifecycle of a request, from its arrival until it is done.

// minDeclaredFraction is the least work that a request is charged on admission, as a fraction of the mean work of its
// class, no matter what its client declares.
const minDeclaredFraction = 0.125

// requestState is the state of a request: free -> (blocked ->) queued -> pending -> admitted -> free.
type requestState uint8

const (
	requestFree     requestState = iota // the slot is free
	requestBlocked                      // waits behind an earlier request with the same order key
	requestQueued                       // in the queue of its client
	requestPending                      // admitted, and counts as waiting for an engine
	requestAdmitted                     // admitted, and sent to an engine or stale
)

// openRequest is the state of a request, from its arrival until it is done.
type openRequest struct {
	slot                               int32
	state                              requestState
	booked                             bool // arrived at its Retry-After
	class                              int32
	connection                         int32 // slot of its connection
	nextInQueue, previousInQueue       int32 // slots in the queue of its client, or in the pending list of its class
	expiryIndex                        int32 // in Controller.expiry
	nextByOrderKey, previousByOrderKey int32 // slots of the neighboring queued requests with the same order key
	statementBytes                     int32
	orderKey                           uint64 // hash of the order key; 0: none
	tenantHash                         uint64 // hash of the tenant that the client declared; 0: none
	seq                                uint64 // sequence number in the order of arrival
	client                             *clientAccount
	arrivedAt                          rules.Time
	deadline                           rules.Time
	expiresAt                          rules.Time // when it is rejected if still queued
	admittedAt                         rules.Time
	work                               float64    // predicted work, charged on admission
	declaredWork                       float64    // 0: not declared
	engineTime                         float64    // work done so far by all threads
	bookedAt                           rules.Time // when its Retry-After was sent
	couldStartAt                       rules.Time // when its tenant's queue became empty; its arrival if it was not empty
	bookedDelay                        rules.Time // the Retry-After that it returned at
}

// handleRequestArrived queues a request, and rejects it or another one if a limit is exceeded.
func (c *Controller) handleRequestArrived(slot, connectionSlot int, incoming Request) {
	conn, request := &c.connections[connectionSlot], &c.requests[slot]
	c.setConnectionState(conn, connectionBusy)
	conn.tenantHash = 0
	if incoming.Tenant != "" {
		conn.tenantHash = c.resolver.hashName(domainTenant, incoming.Tenant)
	}
	c.assignConnection(conn, c.resolver.principalOf(conn.origin, conn.tenantHash))
	client := conn.client
	c.seq++
	*request = openRequest{slot: request.slot, seq: c.seq, client: client, class: int32(incoming.Class), connection: conn.slot, tenantHash: conn.tenantHash,
		nextInQueue: noSlot, previousInQueue: noSlot, expiryIndex: noSlot, nextByOrderKey: noSlot, previousByOrderKey: noSlot,
		arrivedAt: c.now, deadline: min(incoming.Deadline, c.shutdownDeadline), statementBytes: int32(incoming.StatementBytes), declaredWork: float64(incoming.DeclaredWork)}
	if incoming.OrderKey != "" {
		request.orderKey = c.resolver.hashName(domainOrderKey, incoming.OrderKey)
	}
	request.work = c.predictWork(request.class, request.declaredWork)
	request.expiresAt = c.latestAdmission(request)
	c.openRequests++
	c.statementBytes += incoming.StatementBytes
	client.requests++
	client.tenant.statementBytes += incoming.StatementBytes
	c.claimBooking(request)
	c.enqueue(request)
	if conn.overLimit && c.openConnections > c.limits.Connections {
		c.reject(request, ReasonConnections)
		c.evict(conn, ReasonConnections)
		return
	}
	conn.overLimit = false
	if c.countEarlyReturn(conn) {
		c.reject(request, ReasonEarlyReturn)
		c.evict(conn, ReasonEarlyReturn)
		return
	}
	if !c.enforceRequestLimits(request) {
		return
	}
	if !request.booked && c.cannotMeetDeadline(request) {
		c.reject(request, ReasonDeadline)
	}
}

// predictWork returns the expected work of a request, summed over all threads: what its client declares, but at least
// minDeclaredFraction of the mean of its class. The lower bound is needed because the charge is corrected to the engine
// time used only after the request has run.
func (c *Controller) predictWork(class int32, declared float64) float64 {
	mean := c.meanWork[class].value
	if declared <= 0 {
		return max(mean, 1)
	}
	return max(declared, minDeclaredFraction*mean, 1)
}

// latestAdmission returns the time after which a queued request would miss its deadline even if it ran at once. Where
// a late result has no value, the stretched latency objective of the class is a deadline as well.
func (c *Controller) latestAdmission(request *openRequest) rules.Time {
	class := &c.classes[request.class]
	runTime := request.work / c.threads(request.class)
	deadline := request.deadline
	if class.LateValue <= 0 {
		deadline = min(deadline, request.arrivedAt+class.LatencyObjective+rules.Time(class.ObjectiveStretch*runTime))
	}
	return max(deadline-rules.Time(runTime), request.arrivedAt)
}

// handleRequestForwarded stops counting a request as pending, since its first attempt was sent.
func (c *Controller) handleRequestForwarded(request *openRequest) {
	if request.state == requestPending {
		c.removePending(request)
	}
}

// handleRequestDone corrects the charge of a request to the engine time that it used, and frees its slot.
func (c *Controller) handleRequestDone(request *openRequest, served bool) {
	if request.state == requestFree {
		return
	}
	client := request.client
	switch request.state {
	case requestBlocked, requestQueued:
		c.dequeue(request)
	case requestPending:
		c.removePending(request)
		fallthrough
	default:
		c.charge(client, request.engineTime-request.work)
		if request.engineTime > 0 {
			c.capacity.add(c.now, request.engineTime)
			if served {
				c.meanWork[request.class].add(request.engineTime)
			}
		}
		c.updateRetryAfterBias(request, served)
	}
	c.releaseRequest(request)
}

// reject rejects a queued request and frees its slot.
func (c *Controller) reject(request *openRequest, reason Reason) {
	client, work := request.client, request.work
	c.dequeue(request)
	c.stats.Rejected[reason]++
	if request.booked {
		c.stats.ReturnsMissed++
	}
	after := c.retryAfter(client, work, &c.connections[request.connection])
	c.emit(Effect{Kind: Reject, Slot: int(request.slot), After: after, Reason: reason})
	c.releaseRequest(request)
}

// rejectAdmitted rejects a request that was admitted to the decision module. Its slot stays in use until RequestDone.
func (c *Controller) rejectAdmitted(request *openRequest, reason Reason) {
	c.stats.Rejected[reason]++
	after := c.retryAfter(request.client, request.work, &c.connections[request.connection])
	c.emit(Effect{Kind: Reject, Slot: int(request.slot), After: after, Reason: reason})
}

func (c *Controller) releaseRequest(request *openRequest) {
	client := request.client
	request.state = requestFree
	c.openRequests--
	c.statementBytes -= int(request.statementBytes)
	client.tenant.statementBytes -= int(request.statementBytes)
	client.requests--
	request.client = nil
	c.removeIfUnused(client)
}
