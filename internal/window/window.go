// Package window implements sums over a sliding time window. A sum covers the last span and at most one bucket more.
// A token bucket with the same limit would let through up to twice the limit within one span. The package never reads
// a clock.
package window

import "foxlane/rules"

// bucketCount is the number of buckets in a span.
const bucketCount = 10

// Sum is a sum over the last Span. A Sum with only Span set is empty. Span must be at least bucketCount units of
// time.
type Sum struct {
	Span    rules.Time
	buckets [bucketCount + 1]float64 // the latest first
	current rules.Time               // number of the latest bucket, counted from time 0
}

// advance drops the buckets that are older than the span at now.
func (s *Sum) advance(now rules.Time) {
	latest := now / (s.Span / bucketCount)
	for n := min(latest-s.current, rules.Time(len(s.buckets))); n > 0; n-- {
		copy(s.buckets[1:], s.buckets[:])
		s.buckets[0] = 0
	}
	s.current = max(s.current, latest)
}

// Add adds amount to the sum at now.
func (s *Sum) Add(now rules.Time, amount float64) {
	s.advance(now)
	s.buckets[0] += amount
}

// Total returns the sum of what was added within the last Span before now, and up to one bucket before that.
func (s *Sum) Total(now rules.Time) (sum float64) {
	s.advance(now)
	for _, bucket := range s.buckets {
		sum += bucket
	}
	return sum
}
