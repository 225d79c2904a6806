// Package window owns sums over a sliding span of time, in steps: what was added within the last span, and up to a step more. A
// bucket that fills evenly would let twice as much through within one span. It must never look at a clock.
package window

import "foxlane/rules"

const bucketCount = 10

// Sum is a sum over the last span. The zero value with a Span is empty.
type Sum struct {
	Span    rules.Time
	buckets [bucketCount + 1]float64
	current rules.Time // the step that is filled, counted from the start of time
}

func (s *Sum) advance(now rules.Time) {
	at := now / (s.Span / bucketCount)
	for n := min(at-s.current, rules.Time(len(s.buckets))); n > 0; n-- {
		copy(s.buckets[1:], s.buckets[:])
		s.buckets[0] = 0
	}
	s.current = max(s.current, at)
}

// Add adds to it.
func (s *Sum) Add(now rules.Time, x float64) {
	s.advance(now)
	s.buckets[0] += x
}

// Total is what was added within the span.
func (s *Sum) Total(now rules.Time) (sum float64) {
	s.advance(now)
	for _, x := range s.buckets {
		sum += x
	}
	return sum
}
