package spool

import "math"

// sizeEstimator learns how large results are, by class, and by statement shape in a table of fixed size.
type sizeEstimator struct {
	classes map[int]*movingStats
	shapes  []shapeSlot
	seed    uint64
	initial float64 // estimate while nothing is known
}

type shapeSlot struct {
	key uint64 // hash of the shape; 0: free
	movingStats
}

const (
	shapeSlots     = 1024
	shapeWays      = 4  // slots that a shape may take
	sizeWindow     = 32 // results that the statistics cover
	sizeDeviations = 2  // standard deviations over the mean that are reserved
	minShapeCount  = 3  // results of a shape before its own statistics are used
)

func newSizeEstimator(b Budget, seed uint64) sizeEstimator {
	return sizeEstimator{classes: map[int]*movingStats{}, shapes: make([]shapeSlot, shapeSlots), seed: seed, initial: float64(b.ChunkBytes)}
}

// movingStats are an exponentially weighted mean and mean square.
type movingStats struct{ mean, square, n float64 }

func (m *movingStats) observe(x float64) {
	m.n = min(m.n+1, sizeWindow)
	m.mean += (x - m.mean) / m.n
	m.square += (x*x - m.square) / m.n
}

// upperBound is a size that most results do not exceed.
func (m *movingStats) upperBound() float64 {
	return m.mean + sizeDeviations*math.Sqrt(max(m.square-m.mean*m.mean, 0))
}

// slots returns the slots that a shape may take.
func (z *sizeEstimator) slots(shape uint64) []shapeSlot {
	at := (shape ^ z.seed) * 0x9e3779b97f4a7c15 >> 32 % (shapeSlots / shapeWays) * shapeWays
	return z.shapes[at : at+shapeWays]
}

// estimate returns the bytes to reserve: by the shape if enough results of it were seen, else by the class, else a chunk.
func (z *sizeEstimator) estimate(class int, shape uint64) int64 {
	if shape != 0 {
		slots := z.slots(shape)
		for i := range slots {
			if slot := &slots[i]; slot.key == shape && slot.n >= minShapeCount {
				return int64(max(slot.upperBound(), 1))
			}
		}
	}
	if c := z.classes[class]; c != nil {
		return int64(max(c.upperBound(), 1))
	}
	return int64(z.initial)
}

// observe learns from the size of a result.
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
	slots := z.slots(shape)
	rarest := &slots[0]
	for i := range slots {
		slot := &slots[i]
		if slot.key == shape {
			slot.observe(float64(bytes))
			return
		}
		if slot.n < rarest.n {
			rarest = slot
		}
	}
	if rarest.n > 1 { // it is replaced once as many results of other shapes came as it has seen itself
		rarest.n--
		return
	}
	*rarest = shapeSlot{key: shape}
	rarest.observe(float64(bytes))
}
