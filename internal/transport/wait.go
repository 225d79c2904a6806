package transport

import (
	"context"
	"time"
)

// diskCloseTimeout is how long shutdown waits for a disk. Acknowledged data is already on the disk.
const diskCloseTimeout = time.Second

// minCloseTimeout is how long shutdown waits for clients, a disk or a member once the process should have exited.
const minCloseTimeout = 20 * time.Millisecond

// setExitBy notes, at the first SIGTERM, when the process is to have exited: as soon as all answers are due and flushed.
func (s *Server) setExitBy() {
	if s.exitBy.IsZero() {
		s.exitBy = time.Now().Add(time.Duration(s.limits.ShutdownTimeout+s.limits.FlushTimeout) * time.Microsecond)
	}
}

// closeTimeout returns how long shutdown may wait for something that can take up to limit, so that several that hang do not
// together delay the exit.
func (s *Server) closeTimeout(limit time.Duration) time.Duration {
	if s.exitBy.IsZero() { // the gateway ends without SIGTERM
		return limit
	}
	return max(min(limit, time.Until(s.exitBy)), minCloseTimeout)
}

// sleep waits for d and returns true, or returns false as soon as the context is done.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// returnsWithin reports whether a call returns within d. Otherwise the call continues in its goroutine, since a call on
// a hanging disk or mount can't be stopped; it ends with the process.
func returnsWithin(d time.Duration, call func()) bool {
	done := make(chan struct{})
	go func() { defer close(done); call() }()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}
