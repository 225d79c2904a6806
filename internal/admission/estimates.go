package admission

import (
	"math"

	"foxlane/rules"
)

// maxMeanWeight is the number of samples after which the oldest begin to lose weight.
const maxMeanWeight = 32

// decayingMean is a mean in which the weight of a sample decays as others follow.
type decayingMean struct {
	value, weight float64
}

func (m *decayingMean) start(v float64) { m.value, m.weight = v, 1 }

func (m *decayingMean) add(v float64) {
	m.weight = min(m.weight+1, maxMeanWeight)
	m.value += (v - m.value) / m.weight
}

// capacitySpan is the time over which rates of work decay by e.
const capacitySpan = 1 * rules.Second

// decayingRate is an amount per time that decays by e over its span.
type decayingRate struct {
	sum       float64
	updatedAt rules.Time
	startedAt rules.Time // of the first amount
	span      float64
}

func (r *decayingRate) decay(now rules.Time) {
	if r.startedAt == 0 {
		r.startedAt, r.updatedAt = now, now
	}
	if now > r.updatedAt {
		r.sum *= math.Exp(-float64(now-r.updatedAt) / r.span)
		r.updatedAt = now
	}
}

func (r *decayingRate) add(now rules.Time, amount float64) {
	r.decay(now)
	r.sum += amount
}

// rate is the amount per microsecond. Until a span has passed since the first amount, the time passed counts.
func (r *decayingRate) rate(now rules.Time) float64 {
	r.decay(now)
	seen := 1 - math.Exp(-float64(now-r.startedAt)/r.span)
	if seen < 0.02 {
		return 0
	}
	return r.sum / (r.span * seen)
}
