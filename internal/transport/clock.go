package transport

import (
	"time"

	"foxlane/rules"
)

// This file has the server's time.

// Clock tells the wall clock's time, which may be stepped, and the time that has passed since some moment, which may not.
type Clock interface {
	Wall() time.Time
	Elapsed() time.Duration
}

// systemClock is that of the operating system.
type systemClock struct{ origin time.Time }

// Wall implements Clock.
func (c systemClock) Wall() time.Time { return time.Now() }

// Elapsed implements Clock.
func (c systemClock) Elapsed() time.Duration { return time.Since(c.origin) }

// clock is the Unix time of the start, carried on by the monotonic clock: a step of the wall clock does not move it.
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

// skew is by how much the wall clock is ahead of this one: by what it was stepped since the start.
func (c *clock) skew() rules.Time {
	return rules.Time(c.Wall().UnixMicro()) - c.now()
}
