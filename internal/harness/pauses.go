package harness

import (
	"context"
	"sync"
	"time"
)

// This file watches the harness itself: while its own goroutines don't run, what it sees late is not late by a gateway's fault.
// Each such pause is counted and reported.

const (
	pausePollInterval = 10 * time.Millisecond
	minPause          = 100 * time.Millisecond // a poll this late is a pause
)

// pauses are the times in which this process did not run.
type pauses struct {
	mu   sync.Mutex
	list []pause
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
			p.list = append(p.list, pause{now, gap})
			p.mu.Unlock()
		}
		last = now
	}
}

// totalSince is the total length of the pauses that ended after a time.
func (p *pauses) totalSince(t time.Time) (sum time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		if x.end.After(t) {
			sum += x.length
		}
	}
	return sum
}

// summary returns the number of pauses and the longest one.
func (p *pauses) summary() (n int, longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		longest = max(longest, x.length)
	}
	return len(p.list), longest
}
