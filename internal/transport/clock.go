package transport

import (
	"time"

	"foxlane/rules"
)

// Clock reads the wall clock, which may be stepped, and a monotonic clock with an arbitrary origin.
type Clock interface {
	Wall() time.Time
	Elapsed() time.Duration
}

// systemClock is the operating system's clock.
type systemClock struct{ origin time.Time }

// Wall implements Clock.
func (c systemClock) Wall() time.Time { return time.Now() }

// Elapsed implements Clock.
func (c systemClock) Elapsed() time.Duration { return time.Since(c.origin) }

// clock is the server's time: the Unix time at the start, advanced by the monotonic clock. A step of the wall clock
// does not change it.
type clock struct {
	Clock
	startElapsed time.Duration
	startUnix    int64 // microseconds
}

func newClock(c Clock) *clock {
	return &clock{Clock: c, startElapsed: c.Elapsed(), startUnix: c.Wall().UnixMicro()}
}

func (c *clock) now() rules.Time {
	return rules.Time(c.startUnix + (c.Elapsed() - c.startElapsed).Microseconds())
}

// skew returns how far the wall clock is ahead of this clock, which is the sum of its steps since the start.
func (c *clock) skew() rules.Time {
	return rules.Time(c.Wall().UnixMicro()) - c.now()
}
