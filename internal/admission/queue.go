package admission

import "foxlane/rules"

// This file owns the queues: of each class a heap of tenants, of each tenant and class a heap of clients, of each client
// and class a list of requests. Requests of one order key are queued one after the other: the later ones are blocked, in no
// client's queue, until the one before is admitted or gone.

const noSlot = int32(-1)

// requestList is a doubly linked list of requests, linked by their slots.
type requestList struct{ head, tail int32 }

// clientQueue holds the queued requests of a client and a class, by arrival; those that came at their
// Retry-After are ahead of the others.
type clientQueue struct {
	requestList
	lastBooked int32 // the last request that came at its Retry-After
	heapIndex  int32 // in tenantFlow.heap
}

// tenantFlow holds the clients of a tenant that have queued requests of a class, by virtual time.
type tenantFlow struct {
	heap      []*clientAccount
	heapIndex int32 // in classFlow.heap
}

// classFlow holds the tenants that have queued requests of a class, by virtual time, and the pending requests of the class.
type classFlow struct {
	heap        []*tenantAccount
	pending     int
	pendingList requestList // oldest first; meaningless while pending is 0
	staleAt     rules.Time  // when the oldest pending request stops counting as pending
}

func (f *classFlow) hasQueued() bool { return len(f.heap) > 0 }

// enqueue queues a request for its client, or blocks it behind an earlier one of its order key.
func (c *Controller) enqueue(request *openRequest) {
	client, tenant := request.client, request.client.tenant
	if tenant.queued == 0 {
		tenant.queuedSince = c.now
		tenant.virtualTime = max(tenant.virtualTime, c.virtualTime-float64(c.settings.Burst)/tenant.weight)
		c.queuedWeight += tenant.weight
	}
	if client.queued == 0 {
		client.virtualTime = max(client.virtualTime, tenant.clientVirtualTime-float64(c.settings.Burst))
	}
	tenant.queued++
	client.queued++
	c.queued++
	tenant.queuedWork += request.work
	client.queuedWork += request.work
	c.expiry.push(request)
	if request.orderKey != 0 {
		if tail, ok := c.lastOfKey[request.orderKey]; ok {
			c.requests[tail].nextOfKey, request.previousOfKey = request.slot, tail
			c.lastOfKey[request.orderKey] = request.slot
			request.state = requestBlocked
			return
		}
		c.lastOfKey[request.orderKey] = request.slot
	}
	c.enqueueForClient(request)
}

// enqueueForClient puts a request into the queue of its client, and the client into the heaps if its queue was empty.
func (c *Controller) enqueueForClient(request *openRequest) {
	request.state = requestQueued
	queue := &request.client.queues[request.class]
	at := queue.tail
	if request.booked {
		at = queue.lastBooked
		queue.lastBooked = request.slot
	}
	c.insertAfter(queue, request, at)
	if queue.heapIndex != noSlot {
		return
	}
	tenant, class := request.client.tenant, request.class
	flow := &tenant.flows[class]
	flow.heap = heapPush(flow.heap, request.client, class)
	if flow.heapIndex == noSlot {
		c.flows[class].heap = heapPush(c.flows[class].heap, tenant, class)
	}
}

// insertAfter inserts a request after another one of a queue, or at the head for noSlot.
func (c *Controller) insertAfter(queue *clientQueue, request *openRequest, behind int32) {
	request.previousInQueue = behind
	if behind == noSlot {
		request.nextInQueue, queue.head = queue.head, request.slot
	} else {
		request.nextInQueue = c.requests[behind].nextInQueue
		c.requests[behind].nextInQueue = request.slot
	}
	if request.nextInQueue == noSlot {
		queue.tail = request.slot
	} else {
		c.requests[request.nextInQueue].previousInQueue = request.slot
	}
}

// dequeue removes a queued request. The next one of its order key is queued for its client then.
func (c *Controller) dequeue(request *openRequest) {
	client, tenant := request.client, request.client.tenant
	if request.state == requestQueued {
		c.dequeueFromClient(request)
	}
	request.nextInQueue, request.previousInQueue = noSlot, noSlot
	c.expiry.remove(request)
	tenant.queued--
	client.queued--
	c.queued--
	tenant.queuedWork -= request.work
	client.queuedWork -= request.work
	if tenant.queued == 0 {
		tenant.queuedWork, tenant.emptySince = 0, c.now
		if c.queuedWeight -= tenant.weight; len(c.expiry) == 0 {
			c.queuedWeight = 0
		}
	}
	request.state = requestAdmitted
	if request.orderKey != 0 {
		c.unlinkKey(request)
	}
}

// dequeueFromClient removes a request from the queue of its client, and the client from the heaps if that leaves the
// queue empty.
func (c *Controller) dequeueFromClient(request *openRequest) {
	class := request.class
	queue := &request.client.queues[class]
	if queue.lastBooked == request.slot {
		queue.lastBooked = request.previousInQueue // what is ahead of it is booked as well
	}
	c.unlink(&queue.requestList, request)
	if queue.head != noSlot {
		return
	}
	flow := &request.client.tenant.flows[class]
	flow.heap = heapRemove(flow.heap, int(queue.heapIndex), class)
	queue.heapIndex = noSlot
	if len(flow.heap) == 0 {
		c.flows[class].heap = heapRemove(c.flows[class].heap, int(flow.heapIndex), class)
		flow.heapIndex = noSlot
	}
}

// unlink removes a request from the list that it is in.
func (c *Controller) unlink(list *requestList, request *openRequest) {
	if request.previousInQueue == noSlot {
		list.head = request.nextInQueue
	} else {
		c.requests[request.previousInQueue].nextInQueue = request.nextInQueue
	}
	if request.nextInQueue == noSlot {
		list.tail = request.previousInQueue
	} else {
		c.requests[request.nextInQueue].previousInQueue = request.previousInQueue
	}
}

// unlinkKey removes a request from those of its order key. If it was the first, the next one is queued for its client.
func (c *Controller) unlinkKey(request *openRequest) {
	if request.nextOfKey == noSlot {
		if request.previousOfKey == noSlot {
			delete(c.lastOfKey, request.orderKey)
		} else {
			c.lastOfKey[request.orderKey] = request.previousOfKey
		}
	} else {
		c.requests[request.nextOfKey].previousOfKey = request.previousOfKey
	}
	if request.previousOfKey != noSlot {
		c.requests[request.previousOfKey].nextOfKey = request.nextOfKey
	} else if request.nextOfKey != noSlot {
		c.enqueueForClient(&c.requests[request.nextOfKey])
	}
	request.nextOfKey, request.previousOfKey = noSlot, noSlot
}
