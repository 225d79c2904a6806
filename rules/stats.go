package rules

import (
	"math"
	"math/rand/v2"
	"slices"
)

// Helpers for statistics: decaying means, a weighted draw, lists and hashes. They do not depend on the
// state of the module. This file makes no decisions.

// decayingMean is an exponentially decaying mean: samples lose weight by a factor of e per time constant.
type decayingMean struct {
	timeConstant Time
	sum, weight  float64
	updatedAt    Time
}

// add adds a sample with a weight; sum is the value times the weight.
func (d *decayingMean) add(now Time, sum, weight float64) {
	keep := 1.0 // a prior does not decay before the first sample
	if d.updatedAt != 0 {
		keep = math.Exp(-float64(now-d.updatedAt) / float64(d.timeConstant))
	}
	d.sum, d.weight, d.updatedAt = d.sum*keep+sum, d.weight*keep+weight, now
}

// valueOr returns the mean, or unknown without samples.
func (d *decayingMean) valueOr(unknown float64) float64 {
	if d.weight < 1e-9 {
		return unknown
	}
	return d.sum / d.weight
}

// decayingDeviation is an exponentially decaying mean and standard deviation.
type decayingDeviation struct{ mean, meanSquare decayingMean }

// add adds a sample.
func (d *decayingDeviation) add(now Time, x float64) {
	d.mean.add(now, x, 1)
	d.meanSquare.add(now, x*x, 1)
}

// setPrior sets a prior mean and deviation, with a weight in samples.
func (d *decayingDeviation) setPrior(mean, deviation, weight float64) {
	d.mean.sum, d.mean.weight = weight*mean, weight
	d.meanSquare.sum, d.meanSquare.weight = weight*(mean*mean+deviation*deviation), weight
}

// deviation returns the standard deviation, 0 without samples.
func (d *decayingDeviation) deviation() float64 {
	mean := d.mean.valueOr(0)
	return math.Sqrt(max(0, d.meanSquare.valueOr(0)-mean*mean))
}

// weightedDraw returns a random index with the given odds, or -1 if all odds are zero.
func weightedDraw(rng *rand.Rand, odds []float64) int {
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

// dropBefore drops the times before from of a sorted list.
func dropBefore(times []Time, from Time) []Time {
	for len(times) > 0 && times[0] < from {
		times = times[1:]
	}
	return times
}

// insertSorted inserts a time into a sorted list. Requests can reach the module out of order, since they
// may wait before it.
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

// isAllowed reports whether the list contains a value. A nil list contains all.
func isAllowed(list []int, value int) bool { return list == nil || slices.Contains(list, value) }

// excludeUnlessAll returns the list without the elements that match, or the whole list if all match.
func excludeUnlessAll[T any](list []T, matches func(T) bool) []T {
	if !slices.ContainsFunc(list, matches) {
		return list
	}
	if rest := slices.DeleteFunc(slices.Clone(list), matches); len(rest) > 0 {
		return rest
	}
	return list
}

func fractionalPart(x float64) float64 { return x - math.Floor(x) }

// hashUnit hashes a number and an engine to a number in [0, 1).
func hashUnit(n int, engine EngineID) float64 { return float64(hash64(n, engine)>>11) / (1 << 53) }

// hash64 hashes a number and an engine, with the finalizer of splitmix64.
func hash64(n int, engine EngineID) uint64 {
	x := uint64(n)<<32 ^ uint64(engine)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
