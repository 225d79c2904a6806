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
	Disk      int64      // bytes on the disk; 0: there is none
	Memory    int64      // bytes of chunks in memory
	Result    int64      // bytes of one result
	Tenant    int64      // bytes of one tenant
	Results   int        // that are kept or on their way
	Threshold int64      // bytes of a result from which it is written
	Chunk     int        // bytes of a chunk, about: a page as clients see it
	Behind    int64      // bytes that wait to be written before engines wait
	Window    int        // pages that an engine is asked for ahead
	Pages     int        // of an engine's result
	Lease     rules.Time // for which a result is kept after it was last read; as long again if nobody needs the room
}

// Validate says what contradicts itself.
func (b Budget) Validate() error {
	switch {
	case b.Disk < 0 || b.Memory <= 0 || b.Result <= 0 || b.Tenant <= 0:
		return errors.New("spool: disk, memory, result and tenant must be over 0; disk may be 0")
	case b.Chunk <= 0 || int64(b.Chunk) > b.Memory || b.Window < 1 || b.Pages < 1 || b.Results < 1:
		return errors.New("spool: chunk, window, pages and results must be 1 or more, a chunk within the memory")
	case b.Behind < int64(b.Chunk) || b.Behind > b.Memory:
		return errors.New("spool: behind must hold a chunk and be within the memory")
	case b.Lease < rules.Second:
		return errors.New("spool: a lease must be a second or more")
	case b.Result > max(b.Disk, b.Memory) || b.Tenant > max(b.Disk, b.Memory):
		return errors.New("spool: a result or a tenant may not have more than there is")
	}
	return nil
}

// sizes learns how large results are, by class, and by shape in a room that does not grow.
type sizes struct {
	classes map[int]*scatter
	shapes  []shapeSize
	seed    uint64
	least   float64
}

type shapeSize struct {
	key uint64 // 0: free
	scatter
}

const (
	shapePlaces = 1024
	shapeWays   = 4
	sizeSpan    = 32 // results
	certain     = 2  // deviations over the mean that are set aside
)

func newSizes(b Budget, seed uint64) sizes {
	return sizes{classes: map[int]*scatter{}, shapes: make([]shapeSize, shapePlaces), seed: seed, least: float64(b.Chunk)}
}

// scatter is a mean and a mean square that forget.
type scatter struct{ mean, square, n float64 }

func (c *scatter) add(x float64) {
	c.n = min(c.n+1, sizeSpan)
	c.mean += (x - c.mean) / c.n
	c.square += (x*x - c.square) / c.n
}

// high is what most are under.
func (c *scatter) high() float64 {
	return c.mean + certain*math.Sqrt(max(c.square-c.mean*c.mean, 0))
}

func (z *sizes) places(shape uint64) []shapeSize {
	at := (shape ^ z.seed) * 0x9e3779b97f4a7c15 >> 32 % (shapePlaces / shapeWays) * shapeWays
	return z.shapes[at : at+shapeWays]
}

// estimate is what to set aside: by its shape if that was seen a few times, else by its class, else a chunk.
func (z *sizes) estimate(class int, shape uint64) int64 {
	const few = 3
	if shape != 0 {
		for i := range z.places(shape) {
			if p := &z.places(shape)[i]; p.key == shape && p.n >= few {
				return int64(max(p.high(), 1))
			}
		}
	}
	if c := z.classes[class]; c != nil {
		return int64(max(c.high(), 1))
	}
	return int64(z.least)
}

func (z *sizes) add(class int, shape uint64, bytes int64) {
	c := z.classes[class]
	if c == nil {
		c = &scatter{}
		z.classes[class] = c
	}
	c.add(float64(bytes))
	if shape == 0 {
		return
	}
	set := z.places(shape)
	least := &set[0]
	for i := range set {
		p := &set[i]
		if p.key == shape {
			p.add(float64(bytes))
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
	*least = shapeSize{key: shape}
	least.add(float64(bytes))
}

// leases is a heap of whole results by when their lease is over.
type leases []*result

func (h *leases) push(r *result) {
	r.leaseAt = len(*h)
	*h = append(*h, r)
	h.sift(r.leaseAt)
}

func (h *leases) fix(r *result) {
	if r.leaseAt >= 0 {
		h.sift(r.leaseAt)
	}
}

func (h *leases) drop(r *result) {
	s, i, last := *h, r.leaseAt, len(*h)-1
	if i < 0 {
		return
	}
	r.leaseAt = -1
	s[i], s[last] = s[last], nil
	if *h = s[:last]; i < last {
		h.sift(i)
	}
}

func (h leases) sift(i int) {
	less := func(a, b int) bool { return h[a].lease < h[b].lease }
	swap := func(a, b int) { h[a], h[b] = h[b], h[a]; h[a].leaseAt, h[b].leaseAt = a, b }
	h[i].leaseAt = i
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

func sortInts(ns []int) { slices.SortFunc(ns, cmp.Compare[int]) }
