package admission

import "foxlane/rules"

// This file owns the life of a request, from its arrival until it is done.

// minDeclaredFraction is the fraction of its class's mean work that a request counts for at least,
// whatever its client declares.
const minDeclaredFraction = 0.125

// requestState is where a request stands in its life: free -> (blocked ->) queued -> pending -> admitted -> free.
type requestState uint8

const (
	requestFree     requestState = iota // the slot is free
	requestBlocked                      // waits behind an earlier request of its order key
	requestQueued                       // in its client's queue
	requestPending                      // admitted, and counts as waiting for an engine
	requestAdmitted                     // admitted
)

// openRequest is the state of a request, from its arrival until it is done.
type openRequest struct {
	slot                         int32
	state                        requestState
	booked                       bool // came at its Retry-After
	class                        int32
	connection                   int32
	nextInQueue, previousInQueue int32 // in the queue of its client, or in the pending requests of its class
	expiryIndex                  int32 // in Controller.expiry
	nextOfKey, previousOfKey     int32 // requests of the same order key
	statementBytes               int32
	orderKey                     uint64 // 0: none
	tenantHash                   uint64 // of the tenant that the client declared; 0: none
	seq                          uint64 // by arrival
	client                       *clientAccount
	arrivedAt                    rules.Time
	deadline                     rules.Time
	expiresAt                    rules.Time // rejected then, if still queued
	admittedAt                   rules.Time
	work                         float64    // predicted; charged on admission
	declaredWork                 float64    // 0: not declared
	engineTime                   float64    // used so far, all threads
	bookedAt                     rules.Time // when its Retry-After was sent
	couldStartAt                 rules.Time // since when nothing of its tenant was queued, as seen on arrival
	bookedDelay                  rules.Time // the Retry-After that it came back at
}

// requestArrived queues a request, and rejects it or another one if a limit is exceeded.
func (c *Controller) requestArrived(slot, connectionSlot int, q Request) {
	conn, request := &c.connections[connectionSlot], &c.requests[slot]
	c.setConnectionState(conn, connectionBusy)
	conn.tenantHash = 0
	if q.Tenant != "" {
		conn.tenantHash = c.resolver.hashName(spaceTenant, q.Tenant)
	}
	c.assignConnection(conn, c.resolver.principalOf(conn.origin, conn.tenantHash))
	client := conn.client
	c.seq++
	*request = openRequest{slot: request.slot, seq: c.seq, client: client, class: int32(q.Class), connection: conn.slot, tenantHash: conn.tenantHash,
		nextInQueue: noSlot, previousInQueue: noSlot, expiryIndex: noSlot, nextOfKey: noSlot, previousOfKey: noSlot,
		arrivedAt: c.now, deadline: min(q.Deadline, c.shutdownDeadline), statementBytes: int32(q.StatementBytes), declaredWork: float64(q.DeclaredWork)}
	if q.OrderKey != "" {
		request.orderKey = c.resolver.hashName(spaceKey, q.OrderKey)
	}
	request.work = c.predictWork(request.class, request.declaredWork)
	request.expiresAt = c.latestAdmission(request)
	c.openRequests++
	c.statementBytes += q.StatementBytes
	client.requests++
	client.tenant.statementBytes += q.StatementBytes
	c.claimBooking(request)
	c.enqueue(request)
	if conn.overLimit && c.openConnections > c.limits.Connections {
		c.reject(request, ReasonConnections)
		c.evict(conn, ReasonConnections)
		return
	}
	conn.overLimit = false
	if c.returnedTooEarly(conn) {
		c.reject(request, ReasonEarlyReturn)
		c.evict(conn, ReasonEarlyReturn)
		return
	}
	if !c.makeRequestRoom(request) {
		return
	}
	if !request.booked && c.cannotMeetDeadline(request) {
		c.reject(request, ReasonDeadline)
	}
}

// predictWork is the work that a request is expected to be, all threads together. What its client declares
// counts, but for no less than a fraction of the mean: the charge is settled by the engine time
// used, but only once the request has run.
func (c *Controller) predictWork(class int32, declared float64) float64 {
	mean := c.meanWork[class].value
	if declared <= 0 {
		return max(mean, 1)
	}
	return max(declared, minDeclaredFraction*mean, 1)
}

// latestAdmission is when a queued request is rejected: when it would miss its deadline even if it ran at once.
func (c *Controller) latestAdmission(request *openRequest) rules.Time {
	class := &c.classes[request.class]
	run := request.work / c.threads(request.class)
	end := request.deadline
	if class.LateValue <= 0 {
		end = min(end, request.arrivedAt+class.LatencyObjective+rules.Time(class.ObjectiveStretch*run))
	}
	return max(end-rules.Time(run), request.arrivedAt)
}

// requestForwarded notes that an engine has taken the request.
func (c *Controller) requestForwarded(request *openRequest) {
	if request.state == requestPending {
		c.removePending(request)
	}
}

// requestDone settles the charge of a request by the engine time that it used, and frees its slot.
func (c *Controller) requestDone(request *openRequest, served bool) {
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
		c.learnFromReturn(request, served)
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

// rejectAdmitted rejects a request that the decision module has. Its slot stays in use until RequestDone.
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
