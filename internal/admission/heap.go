package admission

import "foxlane/internal/indexheap"

// This file puts accounts and requests into heaps. Accounts are in one heap for each class, whose number is that of the class.

// Before reports whether the tenant is served before another.
func (t *tenantAccount) Before(other *tenantAccount) bool { return t.virtualTime < other.virtualTime }

// SetHeapIndex records the tenant's index in the heap of a class.
func (t *tenantAccount) SetHeapIndex(class, index int32) { t.flows[class].heapIndex = index }

// Before reports whether the client is served before another.
func (c *clientAccount) Before(other *clientAccount) bool { return c.virtualTime < other.virtualTime }

// SetHeapIndex records the client's index in the heap of a class.
func (c *clientAccount) SetHeapIndex(class, index int32) { c.queues[class].heapIndex = index }

// Before reports whether the request expires before another.
func (r *openRequest) Before(other *openRequest) bool { return r.expiresAt < other.expiresAt }

// SetHeapIndex records the request's index in the expiryHeap.
func (r *openRequest) SetHeapIndex(_, index int32) { r.expiryIndex = index }

// expiryHeap holds all queued requests, ordered by expiresAt.
type expiryHeap []*openRequest

func (h *expiryHeap) push(request *openRequest) { *h = indexheap.Push(*h, request, 0) }

func (h expiryHeap) fix(request *openRequest) { indexheap.Fix(h, int(request.expiryIndex), 0) }

func (h *expiryHeap) remove(request *openRequest) {
	i := int(request.expiryIndex)
	request.expiryIndex = noSlot
	*h = indexheap.Remove(*h, i, 0)
}
