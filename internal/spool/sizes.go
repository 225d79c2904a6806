package spool

import "math"

// sizeEstimator estimates result sizes from past results, by class and by statement shape. Shapes are kept in a
// set-associative table of fixed size, so that memory stays bounded.
type sizeEstimator struct {
	classes map[int]*movingStats
	shapes  []shapeSlot
	seed    uint64
	initial float64 // estimate in bytes before any result was observed
}

// shapeSlot holds the statistics of one statement shape.
type shapeSlot struct {
	key uint64 // hash of the shape; 0: the slot is free
	movingStats
}

const (
	shapeSlots     = 1024
	shapeWays      = 4  // slots in which a shape can be stored
	sizeWindow     = 32 // effective number of results in the moving statistics
	sizeDeviations = 2  // standard deviations above the mean in an estimate
	minShapeCount  = 3  // results of a shape that are needed before its own statistics are used
)

func newSizeEstimator(b Budget, seed uint64) sizeEstimator {
	return sizeEstimator{classes: map[int]*movingStats{}, shapes: make([]shapeSlot, shapeSlots), seed: seed, initial: float64(b.ChunkBytes)}
}

// movingStats holds a mean and a mean square: exact up to sizeWindow values, then exponentially weighted.
type movingStats struct{ mean, meanSquare, count float64 }

func (m *movingStats) observe(x float64) {
	m.count = min(m.count+1, sizeWindow)
	m.mean += (x - m.mean) / m.count
	m.meanSquare += (x*x - m.meanSquare) / m.count
}

// upperBound returns a size that most results do not exceed.
func (m *movingStats) upperBound() float64 {
	return m.mean + sizeDeviations*math.Sqrt(max(m.meanSquare-m.mean*m.mean, 0))
}

// slots returns the slots in which a shape can be stored.
func (e *sizeEstimator) slots(shape uint64) []shapeSlot {
	start := (shape ^ e.seed) * 0x9e3779b97f4a7c15 >> 32 % (shapeSlots / shapeWays) * shapeWays
	return e.shapes[start : start+shapeWays]
}

// estimate returns the number of bytes to reserve: from the statistics of the shape if it was observed often enough,
// else from those of the class, else the initial estimate.
func (e *sizeEstimator) estimate(class int, shape uint64) int64 {
	if shape != 0 {
		slots := e.slots(shape)
		for i := range slots {
			if slot := &slots[i]; slot.key == shape && slot.count >= minShapeCount {
				return int64(max(slot.upperBound(), 1))
			}
		}
	}
	if c := e.classes[class]; c != nil {
		return int64(max(c.upperBound(), 1))
	}
	return int64(e.initial)
}

// observe updates the statistics of the class and the shape with the size of a result.
func (e *sizeEstimator) observe(class int, shape uint64, bytes int64) {
	c := e.classes[class]
	if c == nil {
		c = &movingStats{}
		e.classes[class] = c
	}
	c.observe(float64(bytes))
	if shape == 0 {
		return
	}
	slots := e.slots(shape)
	leastSeen := &slots[0]
	for i := range slots {
		slot := &slots[i]
		if slot.key == shape {
			slot.observe(float64(bytes))
			return
		}
		if slot.count < leastSeen.count {
			leastSeen = slot
		}
	}
	if leastSeen.count > 1 { // a shape is replaced only after as many results of other shapes as of its own
		leastSeen.count--
		return
	}
	*leastSeen = shapeSlot{key: shape}
	leastSeen.observe(float64(bytes))
}
