// Package wallclock owns how a stamp of the wall clock is read by a process whose own time does not move with a step of
// that clock. It is pure: what it knows of steps it is told.
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

// Steps are those of the wall clock since the process began, each as its distance from the process's time.
type Steps struct{ skews []rules.Time }

// Note takes by how much the wall clock is ahead of the process's time now.
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

// ProcessTime is when something began, in the process's time, that was stamped so by the wall clock. A stamp may have been
// made before or behind any step. The latest reading that is not in the future is taken: what is wrongly held to be
// younger than it is gets less for a while, what is wrongly held to be older would be overloaded. A stamp that lies in
// the future by all readings began now.
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
