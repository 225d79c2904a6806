package admission

import (
	"math"

	"foxlane/rules"
)

// maxMeanWeight is the number of samples after which older samples begin to lose weight.
const maxMeanWeight = 32

// decayingMean is a mean that becomes an exponentially weighted moving average after maxMeanWeight samples.
type decayingMean struct {
	value, weight float64
}

func (m *decayingMean) reset(v float64) { m.value, m.weight = v, 1 }

func (m *decayingMean) add(v float64) {
	m.weight = min(m.weight+1, maxMeanWeight)
	m.value += (v - m.value) / m.weight
}

// capacityTimeConstant is the time in which the weight of past work in a rate decays by a factor of e.
const capacityTimeConstant = 1 * rules.Second

// decayingRate is an exponentially weighted rate.
type decayingRate struct {
	sum          float64 // of all amounts, decayed until updatedAt
	updatedAt    rules.Time
	startedAt    rules.Time // when the first amount was added, or the rate first read
	timeConstant float64    // in microseconds
}

func (r *decayingRate) decay(now rules.Time) {
	if r.startedAt == 0 {
		r.startedAt, r.updatedAt = now, now
	}
	if now > r.updatedAt {
		r.sum *= math.Exp(-float64(now-r.updatedAt) / r.timeConstant)
		r.updatedAt = now
	}
}

func (r *decayingRate) add(now rules.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

// rate returns the amount per microsecond. It corrects for the short history after the start, and returns 0 while less
// than about 2 % of the time constant has passed.
func (r *decayingRate) rate(now rules.Time) float64 {
	r.decay(now)
	coverage := 1 - math.Exp(-float64(now-r.startedAt)/r.timeConstant)
	if coverage < 0.02 {
		return 0
	}
	return r.sum / (r.timeConstant * coverage)
}
