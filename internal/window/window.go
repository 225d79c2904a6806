// Package window has sums over a sliding window of time: what was added within the last span, and up to a bucket more. A
// token bucket would let twice as much through within one span. It never looks at a clock.
package window

import "foxlane/rules"

// bucketCount is how many buckets a span has.
const bucketCount = 10

// Sum is a sum over the last span. The zero value with a Span set is empty.
type Sum struct {
	Span    rules.Time
	buckets [bucketCount + 1]float64 // latest first
	current rules.Time               // number of the latest bucket, counted from time 0
}

// advance drops the buckets that are too old.
func (s *Sum) advance(now rules.Time) {
	at := now / (s.Span / bucketCount)
	for n := min(at-s.current, rules.Time(len(s.buckets))); n > 0; n-- {
		copy(s.buckets[1:], s.buckets[:])
		s.buckets[0] = 0
	}
	s.current = max(s.current, at)
}

// Add adds to the sum.
func (s *Sum) Add(now rules.Time, x float64) {
	s.advance(now)
	s.buckets[0] += x
}

// Total is what was added within the last span.
func (s *Sum) Total(now rules.Time) (sum float64) {
	s.advance(now)
	for _, x := range s.buckets {
		sum += x
	}
	return sum
}
