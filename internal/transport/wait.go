package transport

import (
	"context"
	"time"
)

// This file has waits that end.

// diskCloseTimeout is how long the end of the process waits for a disk. What was acknowledged is on it already.
const diskCloseTimeout = time.Second

// sleep waits, or answers false once the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// returnsWithin answers whether a call has returned in time. A call that has not goes on in its goroutine, which nothing
// can stop where a disk or a mount hangs: it ends with the process.
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
