// Package wallclock converts timestamps of the wall clock to the time of a process, which a step of the wall clock does
// not move. It is pure: its caller tells it of steps.
package wallclock

import (
	"slices"

	"foxlane/rules"
)

const (
	// minStep is the least difference between two readings that counts as a step and not as a clock being slewed.
	minStep = 100 * rules.Millisecond
	// maxFuture is how far a stamp may lie ahead of now: clocks of machines differ a little.
	maxFuture = rules.Second
	// maxSteps is how many steps are kept.
	maxSteps = 8
)

// Steps are the steps of the wall clock since the process began, the last few of them, each as the wall clock's distance from
// the process's time. The zero value has none.
type Steps struct{ skews []rules.Time }

// Note records by how much the wall clock is ahead of the process's time now.
func (s *Steps) Note(skew rules.Time) {
	last := rules.Time(0)
	if n := len(s.skews); n > 0 {
		last = s.skews[n-1]
	}
	if max(skew-last, last-skew) < minStep {
		return
	}
	if s.skews = append(s.skews, skew); len(s.skews) > maxSteps {
		s.skews = slices.Delete(s.skews, 0, 1)
	}
}

// ProcessTime converts a timestamp of when something started. The timestamp may have been made before or after any step, so
// there are several readings of it; the latest that is not in the future counts: what is taken for younger than it is gets
// less load for a while, what is taken for older would be overloaded. A timestamp that is in the future by all readings
// is taken as now.
func (s *Steps) ProcessTime(stamp, now rules.Time) rules.Time {
	best, found := rules.Time(0), false
	for _, skew := range append([]rules.Time{0}, s.skews...) {
		if at := stamp - skew; at <= now+maxFuture && (!found || at > best) {
			best, found = at, true
		}
	}
	if !found {
		return now
	}
	return best
}
