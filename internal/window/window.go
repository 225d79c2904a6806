// Package window owns sums over a sliding span of time, in steps: what was added within the last span, and up to a step more. A
// bucket that fills evenly would let twice as much through within one span. It must never look at a clock.
package window

import "foxlane/rules"

const steps = 10

// Sum is a sum over the last span. The zero value with a Span is empty.
type Sum struct {
	Span rules.Time
	step [steps + 1]float64
	at   rules.Time // the step that is filled, counted from the start of time
}

func (s *Sum) forward(now rules.Time) {
	at := now / (s.Span / steps)
	for n := min(at-s.at, rules.Time(len(s.step))); n > 0; n-- {
		copy(s.step[1:], s.step[:])
		s.step[0] = 0
	}
	s.at = max(s.at, at)
}

// Add adds to it.
func (s *Sum) Add(now rules.Time, x float64) {
	s.forward(now)
	s.step[0] += x
}

// Now is what was added within the span.
func (s *Sum) Now(now rules.Time) (sum float64) {
	s.forward(now)
	for _, x := range s.step {
		sum += x
	}
	return sum
}
