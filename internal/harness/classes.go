package harness

import (
	"slices"
	"time"
)

// requestClass is a kind of request that clients send.
type requestClass struct {
	name              string
	share             float64 // of all requests
	work              time.Duration
	latencyObjective  time.Duration
	timeout           time.Duration
	weight            float64
	nonIdempotent     bool
	idempotencyWindow time.Duration // in which repeats of a key are dropped; 0: its requests have no idempotency key
	ordered           bool          // requests with the same key run one after another, in order of arrival
	firstZoneOnly     bool          // it may run in the first zone only
}

// Indices of the classes in defaultClasses whose shares scripts set, and of the one that stored results belong to.
const (
	reportClass    = 1
	keyedClass     = 3
	orderedClass   = 4
	firstZoneClass = 5
)

// defaultClasses are the classes of each run: many short look-ups, reports that are most of the work, loads that are not
// idempotent, and a keyed, an ordered and a first-zone class, whose shares scripts set.
var defaultClasses = []requestClass{
	{name: "point", share: 0.7, work: 20 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 1500 * time.Millisecond, weight: 1},
	{name: "report", share: 0.25, work: 250 * time.Millisecond, latencyObjective: 1200 * time.Millisecond, timeout: 4 * time.Second, weight: 6},
	{name: "load", share: 0.05, work: 300 * time.Millisecond, latencyObjective: 1500 * time.Millisecond, timeout: 4 * time.Second, weight: 10, nonIdempotent: true},
	{name: "note", work: 30 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 2 * time.Second, weight: 2, idempotencyWindow: 800 * time.Millisecond},
	{name: "step", work: 300 * time.Millisecond, latencyObjective: 1500 * time.Millisecond, timeout: 4 * time.Second, weight: 3, ordered: true},
	{name: "local", work: 30 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 2 * time.Second, weight: 2, firstZoneOnly: true},
}

// classesOf returns the default classes with their deadlines and windows scaled as the script says.
func classesOf(s *Script) []requestClass {
	out := slices.Clone(defaultClasses)
	for i := range out {
		if s.DeadlineFactor > 0 {
			out[i].timeout = time.Duration(float64(out[i].timeout) * s.DeadlineFactor)
			out[i].latencyObjective = min(out[i].latencyObjective, out[i].timeout)
		}
		if s.WindowFactor > 0 {
			out[i].idempotencyWindow = time.Duration(float64(out[i].idempotencyWindow) * s.WindowFactor)
		}
	}
	return out
}

// longestTimeout is the longest timeout of all classes.
func (f *fleet) longestTimeout() (d time.Duration) {
	for _, c := range f.classes {
		d = max(d, c.timeout)
	}
	return d
}

// meanWork is the mean work of a request, in nanoseconds.
func (f *fleet) meanWork() (sum float64) {
	for _, c := range f.classes {
		sum += c.share * float64(c.work)
	}
	return sum
}
