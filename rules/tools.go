package rules

import (
	"encoding/binary"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds plain tools: a heap's upkeep, a forgetting mean, a draw. It decides nothing.

func (q *queue) Len() int { return len(q.requests) }
func (q *queue) Swap(i, j int) {
	q.requests[i], q.requests[j] = q.requests[j], q.requests[i]
	q.requests[i].heapIndex, q.requests[j].heapIndex = i, j
}
func (q *queue) Push(x any) {
	r := x.(*request)
	r.heapIndex = len(q.requests)
	q.requests = append(q.requests, r)
}
func (q *queue) Pop() any {
	n := len(q.requests) - 1
	r := q.requests[n]
	q.requests[n], q.requests = nil, q.requests[:n]
	r.heapIndex = -1
	return r
}

// last is the held request that would be drawn last.
func (q *queue) last() *request {
	last := 0
	for i := range q.requests {
		if q.Less(last, i) {
			last = i
		}
	}
	return q.requests[last]
}

// longestQueue is the queue that holds the most requests.
func (m *Module) longestQueue() *queue {
	most := m.classes[0].queues[0]
	for _, c := range m.classes {
		for _, q := range c.queues {
			if q.Len() > most.Len() {
				most = q
			}
		}
	}
	return most
}

// decayingMean is a mean that forgets: what is older than its span counts little.
type decayingMean struct {
	span        Time
	sum, weight float64
	updatedAt   Time
}

func (w *decayingMean) add(now Time, sum, weight float64) {
	keep := 1.0 // what it was started with counts in full at first
	if w.updatedAt != 0 {
		keep = math.Exp(-float64(now-w.updatedAt) / float64(w.span))
	}
	w.sum, w.weight, w.updatedAt = w.sum*keep+sum, w.weight*keep+weight, now
}

func (w *decayingMean) mean(unknown float64) float64 {
	if w.weight < 1e-9 {
		return unknown
	}
	return w.sum / w.weight
}

// decayingDeviation follows the mean and the deviation of a figure.
type decayingDeviation struct{ mean, square decayingMean }

func (s *decayingDeviation) add(now Time, x float64) {
	s.mean.add(now, x, 1)
	s.square.add(now, x*x, 1)
}

// assume assumes a mean and a deviation, with the weight of a few samples.
func (s *decayingDeviation) assume(mean, deviation float64) {
	const weight = 4
	s.mean.sum, s.mean.weight = weight*mean, weight
	s.square.sum, s.square.weight = weight*(mean*mean+deviation*deviation), weight
}

func (s *decayingDeviation) deviation() float64 {
	mean := s.mean.mean(0)
	return math.Sqrt(max(0, s.square.mean(0)-mean*mean))
}

// draw returns an index with the given odds, or -1 where all are zero.
func draw(rng *rand.Rand, odds []float64) int {
	total, last := 0.0, -1
	for _, o := range odds {
		total += o
	}
	x := rng.Float64() * total
	for i, o := range odds {
		if o > 0 {
			if last = i; x < o {
				return i
			}
		}
		x -= o
	}
	return last
}

// dropBefore drops the times before from.
func dropBefore(times []Time, from Time) []Time {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// insertSorted adds a time to times in order. What was held ahead of the module comes later than it was taken.
func insertSorted(times []Time, t Time) []Time {
	i := len(times)
	for i > 0 && times[i-1] > t {
		i--
	}
	times = append(times, t)
	copy(times[i+1:], times[i:])
	times[i] = t
	return times
}

// allowed answers whether a value is in the list, or there is no list.
func allowed(list []int, v int) bool {
	for _, x := range list {
		if x == v {
			return true
		}
	}
	return list == nil
}

// excluding is the list without what is so, or the whole list where all is.
func excluding[T any](list []T, is func(T) bool) []T {
	if !slices.ContainsFunc(list, is) {
		return list
	}
	if rest := slices.DeleteFunc(slices.Clone(list), is); len(rest) > 0 {
		return rest
	}
	return list
}

// peerReport is what one gateway tells the others of an engine.
type peerReport struct {
	engine  EngineID
	threads float64
	work    float64
}

// peerReportSize is an engine's id, threads, and work in milliseconds.
const peerReportSize = 4 + 2 + 4

func (n peerReport) encode() []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, peerReportSize), uint32(n.engine))
	b = binary.BigEndian.AppendUint16(b, uint16(min(n.threads, math.MaxUint16)))
	return binary.BigEndian.AppendUint32(b, uint32(min(n.work/float64(Millisecond), math.MaxUint32)))
}

func decodePeerReport(b []byte) (n peerReport, ok bool) {
	if len(b) != peerReportSize {
		return n, false
	}
	return peerReport{EngineID(binary.BigEndian.Uint32(b)), float64(binary.BigEndian.Uint16(b[4:])),
		float64(binary.BigEndian.Uint32(b[6:])) * float64(Millisecond)}, true
}

// sample is a number from 0 to 1, the same for a span that begins at a time of our own and drawn anew after it.
// Over all gateways the lots of an engine and the times at which they change lie evenly (the R2 sequence,
// by the plastic number), so that in any span hardly more come up than should.
func (m *Module) sample(e *engine, span Time) float64 {
	const first, second = 0.7548776662466927, 0.5698402909980532 // one over the plastic number, and its square
	begins := fractionalPart(float64(m.settings.GatewayIndex)*second + hashUnit(0, e.ID))
	turn := int((m.now - e.StartedAt + Time(begins*float64(span))) / span)
	return fractionalPart(float64(m.settings.GatewayIndex)*first + hashUnit(1+turn, e.ID))
}

func fractionalPart(x float64) float64 { return x - math.Floor(x) }

// hashUnit is a hash of a number and an engine, from 0 to 1.
func hashUnit(n int, engine EngineID) float64 { return float64(hash64(n, engine)>>11) / (1 << 53) }

// hash64 is a hash of a data set and an engine (the finalizer of splitmix64).
func hash64(set int, engine EngineID) uint64 {
	x := uint64(set)<<32 ^ uint64(engine)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
