package harness

import (
	"context"
	"sync"
	"time"
)

// This file watches the rig itself: where its own goroutines don't run for a while, what it saw late is not late by fault of
// a gateway. Each such pause is counted and told.

const (
	pausePollInterval = 10 * time.Millisecond
	minPause          = 100 * time.Millisecond // a tick that is so late is a pause
)

// pauses are those of the rig's process.
type pauses struct {
	mu   sync.Mutex
	list []pause
}

type pause struct {
	end    time.Time
	length time.Duration
}

// watch notes pauses until the context ends.
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

// totalSince is for how long the rig has not run, in all, since a time.
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

// summary is how many there were, and how long the longest one was.
func (p *pauses) summary() (n int, longest time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, x := range p.list {
		longest = max(longest, x.length)
	}
	return len(p.list), longest
}
