package admission

// heapItem is an element of a binary heap that records its own index, so that it can be moved or removed from any
// position. Accounts are in one heap per class; items that are in a single heap ignore the class.
type heapItem[T any] interface {
	before(other T) bool
	setHeapIndex(class, index int32)
}

func heapPush[T heapItem[T]](h []T, item T, class int32) []T {
	h = append(h, item)
	heapFix(h, len(h)-1, class)
	return h
}

// heapFix restores the heap order after the item at i has changed.
func heapFix[T heapItem[T]](h []T, i int, class int32) {
	item := h[i]
	for ; i > 0 && item.before(h[(i-1)/2]); i = (i - 1) / 2 {
		h[i] = h[(i-1)/2]
		h[i].setHeapIndex(class, int32(i))
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			break
		}
		if least+1 < len(h) && h[least+1].before(h[least]) {
			least++
		}
		if !h[least].before(item) {
			break
		}
		h[i] = h[least]
		h[i].setHeapIndex(class, int32(i))
		i = least
	}
	h[i] = item
	item.setHeapIndex(class, int32(i))
}

// heapRemove removes the item at i.
func heapRemove[T heapItem[T]](h []T, i int, class int32) []T {
	var none T
	last := len(h) - 1
	h[i], h[last] = h[last], none
	if h = h[:last]; i < last {
		heapFix(h, i, class)
	}
	return h
}

func (t *tenantAccount) before(other *tenantAccount) bool { return t.virtualTime < other.virtualTime }

func (t *tenantAccount) setHeapIndex(class, index int32) { t.flows[class].heapIndex = index }

func (c *clientAccount) before(other *clientAccount) bool { return c.virtualTime < other.virtualTime }

func (c *clientAccount) setHeapIndex(class, index int32) { c.queues[class].heapIndex = index }

func (r *openRequest) before(other *openRequest) bool { return r.expiresAt < other.expiresAt }

func (r *openRequest) setHeapIndex(_, index int32) { r.expiryIndex = index }

// expiryHeap holds all queued requests, ordered by expiresAt.
type expiryHeap []*openRequest

func (h *expiryHeap) push(request *openRequest) { *h = heapPush(*h, request, 0) }

func (h expiryHeap) fix(request *openRequest) { heapFix(h, int(request.expiryIndex), 0) }

func (h *expiryHeap) remove(request *openRequest) {
	i := int(request.expiryIndex)
	request.expiryIndex = noSlot
	*h = heapRemove(*h, i, 0)
}
