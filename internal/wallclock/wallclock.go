// Package wallclock converts timestamps of the wall clock to process time, which a step of the wall clock does not
// change. It never reads a clock: its caller reports the steps.
package wallclock

import (
	"slices"

	"foxlane/rules"
)

const (
	// minStep is the minimum change of the skew that counts as a step. Smaller changes are attributed to slewing.
	minStep = 100 * rules.Millisecond
	// maxFuture is how far a timestamp may be ahead of now, since clocks of different machines differ slightly.
	maxFuture = rules.Second
	// maxSteps is the number of steps that are kept.
	maxSteps = 8
)

// Steps records the last few steps of the wall clock since the process began. Each is stored as the skew after the
// step: how far the wall clock is ahead of process time. The zero value has no steps.
type Steps struct{ skews []rules.Time }

// Note records the current skew as a step if it differs from the last recorded skew by at least minStep.
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

// ProcessTime converts a wall clock timestamp of an engine's start to process time. The timestamp may have been made
// before or after any step, so it has several possible conversions. ProcessTime returns the latest one that is not in
// the future: an engine that is assumed younger than it is gets less load for a while, one that is assumed older
// would be overloaded. If all conversions are in the future, it returns now.
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
