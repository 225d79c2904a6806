package admission

import "foxlane/rules"

// This file owns the order of admission: start-time fair queueing over predicted work in two levels, tenants and the
// clients within each. It never holds a request back while the decision module has room for one of its class, and never
// reorders two requests of one order key.
//
// The virtual time of a tenant is the work that it was given over its weight, that of a client the work within its
// tenant. Of those with queued requests of a class the least is admitted first. Classes are queued apart, since the decision
// module chooses among them and one class must not wait behind another, but work of any class moves the same virtual time.

// minStaleAfter is the least time after which an admitted request that no engine has taken stops
// counting as pending, so that others are admitted past it.
const minStaleAfter = 50 * rules.Millisecond

// admitQueued admits requests while fewer of their class are pending than the decision module needs for a choice.
func (c *Controller) admitQueued() {
	for class := range c.flows {
		flow := &c.flows[class]
		for flow.hasQueued() && flow.pending < c.settings.ModuleQueueDepth {
			c.admitNext(flow, int32(class))
		}
	}
}

// admitNext admits the request at the head of a class: of the tenant with the least virtual time, and within it of
// the client with the least.
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
	tenant.servedRate.add(c.now, request.work)
	c.dequeue(request)
	c.charge(client, request.work)
	c.addPending(flow, request)
	c.stats.Admitted++
	if c.now > request.arrivedAt {
		c.stats.Delayed++
	}
	c.emit(Effect{Kind: Admit, Slot: int(request.slot), After: c.now - request.arrivedAt})
}

// charge adds work to the virtual times of a client and its tenant. Work under 0 is given back.
func (c *Controller) charge(client *clientAccount, work float64) {
	tenant := client.tenant
	tenant.virtualTime += work / tenant.weight
	client.virtualTime += work
	for class := range tenant.flows {
		flow := &tenant.flows[class]
		if flow.heapIndex != noSlot {
			heapFix(c.flows[class].heap, int(flow.heapIndex), int32(class))
		}
		if queue := &client.queues[class]; queue.heapIndex != noSlot {
			heapFix(flow.heap, int(queue.heapIndex), int32(class))
		}
	}
}

// addPending counts a request that is admitted now as pending.
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

// updateStaleAt notes when the oldest pending request stops counting as pending: one that fits no engine, for its
// memory or because its data set is being loaded, must not keep others from being admitted.
func (c *Controller) updateStaleAt(flow *classFlow) {
	if flow.pending > 0 {
		request := &c.requests[flow.pendingList.head]
		flow.staleAt = request.admittedAt + max(minStaleAfter, rules.Time(c.meanWork[request.class].value/c.threads(request.class)))
	}
}

// expire rejects the queued requests that can't meet their deadline any more, and stops counting stale requests as pending.
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
