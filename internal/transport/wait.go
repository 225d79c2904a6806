package transport

import (
	"context"
	"time"
)

// diskCloseTimeout is how long shutdown waits for a disk. Acknowledged data is already on the disk.
const diskCloseTimeout = time.Second

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
