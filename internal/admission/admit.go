package admission

import (
	"foxlane/internal/indexheap"
	"foxlane/rules"
)

// This file decides the order of admission by start-time fair queueing over predicted work, on two levels: tenants,
// and the clients of each tenant. It never holds back a request while the decision module has room for one of its
// class, and never reorders two requests with the same order key.
//
// The virtual time of a tenant is the work admitted for it divided by its weight; that of a client is the work
// admitted for it within its tenant. Among the tenants and clients with queued requests of a class, the one with the
// least virtual time is admitted first. Each class has its own queues, because the decision module chooses among the
// classes and one class must not wait behind another, but work of every class advances the same virtual time.

// minStaleAfter is the minimum time after which an admitted request that was not sent to an engine stops counting as
// pending, so that other requests can be admitted.
const minStaleAfter = 50 * rules.Millisecond

// admitQueued admits requests of each class while fewer than Settings.ModuleQueueDepth of that class are pending.
func (c *Controller) admitQueued() {
	for class := range c.flows {
		flow := &c.flows[class]
		for flow.hasQueued() && flow.pending < c.settings.ModuleQueueDepth {
			c.admitNext(flow, int32(class))
		}
	}
}

// admitNext admits the next request of a class: from the tenant with the least virtual time, and within that tenant
// from the client with the least virtual time.
func (c *Controller) admitNext(flow *classFlow, class int32) {
	tenant := flow.heap[0]
	least := tenant.virtualTime
	for i := range c.flows {
		if other := &c.flows[i]; other.hasQueued() {
			least = min(least, other.heap[0].virtualTime)
		}
	}
	c.virtualTime = max(c.virtualTime, least)
	client := tenant.flows[class].heap[0]
	tenant.clientVirtualTime = max(tenant.clientVirtualTime, client.virtualTime)
	request := &c.requests[client.queues[class].head]
	tenant.admittedRate.add(c.now, request.work)
	c.dequeue(request)
	c.charge(client, request.work)
	c.addPending(flow, request)
	c.stats.Admitted++
	if c.now > request.arrivedAt {
		c.stats.Delayed++
	}
	c.emit(Effect{Kind: Admit, Slot: int(request.slot), After: c.now - request.arrivedAt})
}

// charge adds work to the virtual times of a client and its tenant. Negative work is a refund.
func (c *Controller) charge(client *clientAccount, work float64) {
	tenant := client.tenant
	tenant.virtualTime += work / tenant.weight
	client.virtualTime += work
	for class := range tenant.flows {
		flow := &tenant.flows[class]
		if flow.heapIndex != noSlot {
			indexheap.Fix(c.flows[class].heap, int(flow.heapIndex), int32(class))
		}
		if queue := &client.queues[class]; queue.heapIndex != noSlot {
			indexheap.Fix(flow.heap, int(queue.heapIndex), int32(class))
		}
	}
}

// addPending marks a request as admitted now and counts it as pending.
func (c *Controller) addPending(flow *classFlow, request *openRequest) {
	request.admittedAt, request.state = c.now, requestPending
	list := &flow.pendingList
	if request.previousInQueue = list.tail; list.tail == noSlot || flow.pending == 0 {
		request.previousInQueue, list.head = noSlot, request.slot
	} else {
		c.requests[list.tail].nextInQueue = request.slot
	}
	list.tail = request.slot
	flow.pending++
	c.updateStaleAt(flow)
}

// removePending stops counting an admitted request as pending.
func (c *Controller) removePending(request *openRequest) {
	flow := &c.flows[request.class]
	c.unlink(&flow.pendingList, request)
	request.nextInQueue, request.previousInQueue = noSlot, noSlot
	request.state = requestAdmitted
	flow.pending--
	c.updateStaleAt(flow)
}

// updateStaleAt computes when the oldest pending request becomes stale and stops counting as pending. A request that
// fits no engine, because of its memory or because its data set is being loaded, must not prevent others from being
// admitted.
func (c *Controller) updateStaleAt(flow *classFlow) {
	if flow.pending > 0 {
		request := &c.requests[flow.pendingList.head]
		flow.staleAt = request.admittedAt + max(minStaleAfter, rules.Time(c.meanWork[request.class].value/c.threads(request.class)))
	}
}

// expire rejects queued requests that can no longer meet their deadline, and stops counting stale requests as pending.
func (c *Controller) expire() {
	for len(c.expiry) > 0 && c.expiry[0].expiresAt <= c.now {
		c.reject(c.expiry[0], ReasonDeadline)
	}
	for class := range c.flows {
		for flow := &c.flows[class]; flow.pending > 0 && flow.hasQueued() && flow.staleAt <= c.now; {
			c.removePending(&c.requests[flow.pendingList.head])
		}
	}
}
