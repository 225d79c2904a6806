package harness

import (
	"slices"
	"time"
)

// requestClass is a kind of request that clients send.
type requestClass struct {
	name              string
	share             float64 // fraction of all requests
	work              time.Duration
	latencyObjective  time.Duration
	timeout           time.Duration
	weight            float64
	nonIdempotent     bool
	idempotencyWindow time.Duration // in which repeats of an idempotency key are dropped; 0: requests have no key
	ordered           bool          // requests with the same key run one after another, in order of arrival
	firstZoneOnly     bool          // requests may run in the first zone only
}

// Indices in defaultClasses: the class of stored results, and the classes whose shares scripts set.
const (
	reportClass    = 1
	keyedClass     = 3
	orderedClass   = 4
	firstZoneClass = 5
)

// defaultClasses are the classes of each run: many short lookups, reports that make up most of the work, data loads
// that are not idempotent, and three classes whose shares scripts set: one with idempotency keys, an ordered one, and
// one that may run in the first zone only.
var defaultClasses = []requestClass{
	{name: "point", share: 0.7, work: 20 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 1500 * time.Millisecond, weight: 1},
	{name: "report", share: 0.25, work: 250 * time.Millisecond, latencyObjective: 1200 * time.Millisecond, timeout: 4 * time.Second, weight: 6},
	{name: "load", share: 0.05, work: 300 * time.Millisecond, latencyObjective: 1500 * time.Millisecond, timeout: 4 * time.Second, weight: 10, nonIdempotent: true},
	{name: "note", work: 30 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 2 * time.Second, weight: 2, idempotencyWindow: 800 * time.Millisecond},
	{name: "step", work: 300 * time.Millisecond, latencyObjective: 1500 * time.Millisecond, timeout: 4 * time.Second, weight: 3, ordered: true},
	{name: "local", work: 30 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 2 * time.Second, weight: 2, firstZoneOnly: true},
}

// classesOf returns the default classes with their timeouts and idempotency windows scaled by the factors of the
// script.
func classesOf(s *Script) []requestClass {
	classes := slices.Clone(defaultClasses)
	for i := range classes {
		if s.DeadlineFactor > 0 {
			classes[i].timeout = time.Duration(float64(classes[i].timeout) * s.DeadlineFactor)
			classes[i].latencyObjective = min(classes[i].latencyObjective, classes[i].timeout)
		}
		if s.WindowFactor > 0 {
			classes[i].idempotencyWindow = time.Duration(float64(classes[i].idempotencyWindow) * s.WindowFactor)
		}
	}
	return classes
}

// longestTimeout returns the longest timeout of all classes.
func (f *fleet) longestTimeout() (d time.Duration) {
	for _, c := range f.classes {
		d = max(d, c.timeout)
	}
	return d
}

// meanWork returns the mean work of a request, in nanoseconds.
func (f *fleet) meanWork() (sum float64) {
	for _, c := range f.classes {
		sum += c.share * float64(c.work)
	}
	return sum
}
