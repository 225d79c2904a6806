package rules

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Helpers without knowledge of requests or engines: decaying means, a weighted draw, lists and hashes.
// They decide nothing.

// decayingMean is a mean in which samples lose weight exponentially, by a factor of e for each span.
type decayingMean struct {
	span        Time
	sum, weight float64
	updatedAt   Time
}

func (d *decayingMean) add(now Time, sum, weight float64) {
	keep := 1.0 // a prior set before the first sample counts in full at first
	if d.updatedAt != 0 {
		keep = math.Exp(-float64(now-d.updatedAt) / float64(d.span))
	}
	d.sum, d.weight, d.updatedAt = d.sum*keep+sum, d.weight*keep+weight, now
}

func (d *decayingMean) valueOr(unknown float64) float64 {
	if d.weight < 1e-9 {
		return unknown
	}
	return d.sum / d.weight
}

// decayingDeviation follows the mean and the standard deviation of a figure.
type decayingDeviation struct{ mean, square decayingMean }

func (d *decayingDeviation) add(now Time, x float64) {
	d.mean.add(now, x, 1)
	d.square.add(now, x*x, 1)
}

// assume sets a prior mean and deviation with a weight in samples.
func (d *decayingDeviation) assume(mean, deviation, weight float64) {
	d.mean.sum, d.mean.weight = weight*mean, weight
	d.square.sum, d.square.weight = weight*(mean*mean+deviation*deviation), weight
}

func (d *decayingDeviation) deviation() float64 {
	mean := d.mean.valueOr(0)
	return math.Sqrt(max(0, d.square.valueOr(0)-mean*mean))
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

// insertSorted adds a time in order: requests that waited ahead of the module come out of order.
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

// allowed reports whether a value is in the list, or there is no list.
func allowed(list []int, value int) bool { return list == nil || slices.Contains(list, value) }

// excluding is the list without the elements that match, or the whole list where all do.
func excluding[T any](list []T, matches func(T) bool) []T {
	if !slices.ContainsFunc(list, matches) {
		return list
	}
	if rest := slices.DeleteFunc(slices.Clone(list), matches); len(rest) > 0 {
		return rest
	}
	return list
}

func fractionalPart(x float64) float64 { return x - math.Floor(x) }

// hashUnit hashes a number and an engine to a number from 0 to 1.
func hashUnit(n int, engine EngineID) float64 { return float64(hash64(n, engine)>>11) / (1 << 53) }

// hash64 hashes a number and an engine (the finalizer of splitmix64).
func hash64(n int, engine EngineID) uint64 {
	x := uint64(n)<<32 ^ uint64(engine)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
