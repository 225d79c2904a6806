package spool

import (
	"cmp"
	"errors"
	"math"
	"slices"

	"foxlane/rules"
)

// Budget is what the spool may use.
type Budget struct {
	DiskBytes      int64      // bytes on the disk; 0: there is none
	MemoryBytes    int64      // bytes of chunks in memory
	MaxResultBytes int64      // bytes of one result
	MaxTenantBytes int64      // bytes of one tenant
	MaxResults     int        // that are kept or on their way
	DiskThreshold  int64      // bytes of a result from which it is written
	ChunkBytes     int        // bytes of a chunk, about: a page as clients see it
	MaxUnwritten   int64      // bytes that wait to be written before engines wait
	FetchWindow    int        // pages that an engine is asked for ahead
	MaxPages       int        // of an engine's result
	LeaseTime      rules.Time // for which a result is kept after it was last read; as long again if nobody needs the room
}

// Validate says what contradicts itself.
func (b Budget) Validate() error {
	switch {
	case b.DiskBytes < 0 || b.MemoryBytes <= 0 || b.MaxResultBytes <= 0 || b.MaxTenantBytes <= 0:
		return errors.New("spool: disk, memory, result and tenant must be over 0; disk may be 0")
	case b.ChunkBytes <= 0 || int64(b.ChunkBytes) > b.MemoryBytes || b.FetchWindow < 1 || b.MaxPages < 1 || b.MaxResults < 1:
		return errors.New("spool: chunk, window, pages and results must be 1 or more, a chunk within the memory")
	case b.MaxUnwritten < int64(b.ChunkBytes) || b.MaxUnwritten > b.MemoryBytes:
		return errors.New("spool: behind must hold a chunk and be within the memory")
	case b.LeaseTime < rules.Second:
		return errors.New("spool: a lease must be a second or more")
	case b.MaxResultBytes > max(b.DiskBytes, b.MemoryBytes) || b.MaxTenantBytes > max(b.DiskBytes, b.MemoryBytes):
		return errors.New("spool: a result or a tenant may not have more than there is")
	}
	return nil
}

// sizeEstimator learns how large results are, by class, and by shape in a room that does not grow.
type sizeEstimator struct {
	classes map[int]*movingStats
	shapes  []shapeSlot
	seed    uint64
	initial float64
}

type shapeSlot struct {
	key uint64 // 0: free
	movingStats
}

const (
	shapeSlots     = 1024
	shapeWays      = 4
	sizeWindow     = 32 // results
	sizeDeviations = 2  // deviations over the mean that are set aside
)

func newSizeEstimator(b Budget, seed uint64) sizeEstimator {
	return sizeEstimator{classes: map[int]*movingStats{}, shapes: make([]shapeSlot, shapeSlots), seed: seed, initial: float64(b.ChunkBytes)}
}

// movingStats is a mean and a mean square that forget.
type movingStats struct{ mean, square, n float64 }

func (c *movingStats) observe(x float64) {
	c.n = min(c.n+1, sizeWindow)
	c.mean += (x - c.mean) / c.n
	c.square += (x*x - c.square) / c.n
}

// upperBound is what most are under.
func (c *movingStats) upperBound() float64 {
	return c.mean + sizeDeviations*math.Sqrt(max(c.square-c.mean*c.mean, 0))
}

func (z *sizeEstimator) slots(shape uint64) []shapeSlot {
	at := (shape ^ z.seed) * 0x9e3779b97f4a7c15 >> 32 % (shapeSlots / shapeWays) * shapeWays
	return z.shapes[at : at+shapeWays]
}

// estimate is what to set aside: by its shape if that was seen a few times, else by its class, else a chunk.
func (z *sizeEstimator) estimate(class int, shape uint64) int64 {
	const few = 3
	if shape != 0 {
		for i := range z.slots(shape) {
			if p := &z.slots(shape)[i]; p.key == shape && p.n >= few {
				return int64(max(p.upperBound(), 1))
			}
		}
	}
	if c := z.classes[class]; c != nil {
		return int64(max(c.upperBound(), 1))
	}
	return int64(z.initial)
}

func (z *sizeEstimator) observe(class int, shape uint64, bytes int64) {
	c := z.classes[class]
	if c == nil {
		c = &movingStats{}
		z.classes[class] = c
	}
	c.observe(float64(bytes))
	if shape == 0 {
		return
	}
	set := z.slots(shape)
	least := &set[0]
	for i := range set {
		p := &set[i]
		if p.key == shape {
			p.observe(float64(bytes))
			return
		}
		if p.n < least.n {
			least = p
		}
	}
	if least.n > 1 { // the rarest gives way after it was passed over as often as it was seen
		least.n--
		return
	}
	*least = shapeSlot{key: shape}
	least.observe(float64(bytes))
}

// leaseHeap is a heap of whole results by when their lease is over.
type leaseHeap []*result

func (h *leaseHeap) push(r *result) {
	r.heapIndex = len(*h)
	*h = append(*h, r)
	h.sift(r.heapIndex)
}

func (h *leaseHeap) fix(r *result) {
	if r.heapIndex >= 0 {
		h.sift(r.heapIndex)
	}
}

func (h *leaseHeap) remove(r *result) {
	s, i, last := *h, r.heapIndex, len(*h)-1
	if i < 0 {
		return
	}
	r.heapIndex = -1
	s[i], s[last] = s[last], nil
	if *h = s[:last]; i < last {
		h.sift(i)
	}
}

func (h leaseHeap) sift(i int) {
	less := func(a, b int) bool { return h[a].leaseEnd < h[b].leaseEnd }
	swap := func(a, b int) { h[a], h[b] = h[b], h[a]; h[a].heapIndex, h[b].heapIndex = a, b }
	h[i].heapIndex = i
	for ; i > 0 && less(i, (i-1)/2); i = (i - 1) / 2 {
		swap(i, (i-1)/2)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			return
		}
		if least+1 < len(h) && less(least+1, least) {
			least++
		}
		if !less(least, i) {
			return
		}
		swap(i, least)
		i = least
	}
}

func sortByID(rs []*result) {
	slices.SortFunc(rs, func(a, b *result) int { return slices.Compare(a.id[:], b.id[:]) })
}

func sortReaders(ns []int) { slices.SortFunc(ns, cmp.Compare[int]) }
