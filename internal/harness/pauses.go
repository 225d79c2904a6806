package harness

import (
	"context"
	"sync"
	"time"
)

// This file detects pauses of the harness itself: what it observes late because its own goroutines did not run is no
// fault of a gateway. Each pause is counted and reported.

const (
	pausePollInterval = 10 * time.Millisecond
	minPause          = 100 * time.Millisecond // a poll that is this late counts as a pause
)

// pauses records the times in which the harness's process did not run.
type pauses struct {
	mu       sync.Mutex
	recorded []pause
}

type pause struct {
	end    time.Time
	length time.Duration
}

// watch records pauses until the context ends.
func (p *pauses) watch(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		time.Sleep(pausePollInterval)
		now := time.Now()
		if gap := now.Sub(last) - pausePollInterval; gap >= minPause {
			p.mu.Lock()
			p.recorded = append(p.recorded, pause{now, gap})
			p.mu.Unlock()
		}
		last = now
	}
}

// totalSince returns the total length of the pauses that ended after t.
func (p *pauses) totalSince(t time.Time) (sum time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pause := range p.recorded {
		if pause.end.After(t) {
			sum += pause.length
		}
	}
	return sum
}

// summary returns the number of pauses and the length of the longest one.
func (p *pauses) summary() (n int, longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, pause := range p.recorded {
		longest = max(longest, pause.length)
	}
	return len(p.recorded), longest
}
