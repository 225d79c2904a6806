package admission

import (
	"foxlane/internal/indexheap"
	"foxlane/rules"
)

// This file implements the queues. Each class has a heap of tenants, each tenant has a heap of clients per class, and
// each client has a list of requests per class. Only the first queued request of an order key is in the list of its
// client. Later ones are blocked until the one before them is admitted or removed.

const noSlot = int32(-1)

// requestList is a doubly linked list of requests, linked by their slots.
type requestList struct{ head, tail int32 }

// clientQueue holds the queued requests of a client for one class. Requests that arrived at their Retry-After are ahead
// of the others; within both groups the order is that in which they were queued or unblocked.
type clientQueue struct {
	requestList
	lastBooked int32 // slot of the last request that arrived at its Retry-After
	heapIndex  int32 // in tenantFlow.heap
}

// tenantFlow holds the clients of a tenant that have queued requests of one class, ordered by virtual time.
type tenantFlow struct {
	heap      []*clientAccount
	heapIndex int32 // in classFlow.heap
}

// classFlow holds the tenants that have queued requests of one class, ordered by virtual time, and the pending
// requests of the class.
type classFlow struct {
	heap        []*tenantAccount
	pending     int         // number of pending requests
	pendingList requestList // oldest first; not valid while pending is 0
	staleAt     rules.Time  // when the oldest pending request stops counting as pending
}

func (f *classFlow) hasQueued() bool { return len(f.heap) > 0 }

// enqueue adds a request to the queue of its client, or blocks it behind an earlier request with the same order key.
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
		if tail, ok := c.lastByOrderKey[request.orderKey]; ok {
			c.requests[tail].nextByOrderKey, request.previousByOrderKey = request.slot, tail
			c.lastByOrderKey[request.orderKey] = request.slot
			request.state = requestBlocked
			return
		}
		c.lastByOrderKey[request.orderKey] = request.slot
	}
	c.enqueueForClient(request)
}

// enqueueForClient adds a request to the queue of its client, and adds the client to the heaps if its queue was empty.
func (c *Controller) enqueueForClient(request *openRequest) {
	request.state = requestQueued
	queue := &request.client.queues[request.class]
	behind := queue.tail
	if request.booked {
		behind = queue.lastBooked
		queue.lastBooked = request.slot
	}
	c.insertAfter(queue, request, behind)
	if queue.heapIndex != noSlot {
		return
	}
	tenant, class := request.client.tenant, request.class
	flow := &tenant.flows[class]
	flow.heap = indexheap.Push(flow.heap, request.client, class)
	if flow.heapIndex == noSlot {
		c.flows[class].heap = indexheap.Push(c.flows[class].heap, tenant, class)
	}
}

// insertAfter inserts a request into a queue after the one at slot behind, or at the head if behind is noSlot.
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

// dequeue removes a request from the queues and unblocks the next request with the same order key.
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
		c.unlinkOrderKey(request)
	}
}

// dequeueFromClient removes a request from the queue of its client, and the client from the heaps if that leaves the
// queue empty.
func (c *Controller) dequeueFromClient(request *openRequest) {
	class := request.class
	queue := &request.client.queues[class]
	if queue.lastBooked == request.slot {
		queue.lastBooked = request.previousInQueue // all requests ahead of a booked one are booked as well
	}
	c.unlink(&queue.requestList, request)
	if queue.head != noSlot {
		return
	}
	flow := &request.client.tenant.flows[class]
	flow.heap = indexheap.Remove(flow.heap, int(queue.heapIndex), class)
	queue.heapIndex = noSlot
	if len(flow.heap) == 0 {
		c.flows[class].heap = indexheap.Remove(c.flows[class].heap, int(flow.heapIndex), class)
		flow.heapIndex = noSlot
	}
}

// unlink removes a request from the list that contains it.
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

// unlinkOrderKey removes a request from the list of its order key. If it was the first one, the next request is
// unblocked.
func (c *Controller) unlinkOrderKey(request *openRequest) {
	if request.nextByOrderKey == noSlot {
		if request.previousByOrderKey == noSlot {
			delete(c.lastByOrderKey, request.orderKey)
		} else {
			c.lastByOrderKey[request.orderKey] = request.previousByOrderKey
		}
	} else {
		c.requests[request.nextByOrderKey].previousByOrderKey = request.previousByOrderKey
	}
	if request.previousByOrderKey != noSlot {
		c.requests[request.previousByOrderKey].nextByOrderKey = request.nextByOrderKey
	} else if request.nextByOrderKey != noSlot {
		c.enqueueForClient(&c.requests[request.nextByOrderKey])
	}
	request.nextByOrderKey, request.previousByOrderKey = noSlot, noSlot
}
