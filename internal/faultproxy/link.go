package faultproxy

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// Conditions are the faults of a link.
type Conditions struct {
	Delay     time.Duration
	Jitter    time.Duration // added to Delay, uniform from 0
	Loss      float64       // fraction of datagrams lost, and of TCP segments delayed by a retransmission
	Duplicate float64       // fraction of datagrams that arrive twice
	Cut       bool          // nothing passes: datagrams are lost, TCP data waits
	Rate      int           // bytes per second; 0: unlimited
}

const (
	retransmissionDelay = 200 * time.Millisecond
	chunkSize           = 16 << 10
	maxQueuedChunks     = 64 // in transit per connection and direction
	cutPollInterval     = 5 * time.Millisecond
)

// Link is one direction of the traffic between two parties. Any number of proxies may share it.
type Link struct {
	mu            sync.Mutex
	conditions    Conditions
	changedAt     time.Time // when the conditions last changed; zero: never
	rng           *rand.Rand
	rateBusyUntil time.Time // when the rate limit lets the next byte pass

	bytes    atomic.Int64
	lost     atomic.Int64 // datagrams dropped and TCP segments delayed by a retransmission
	resets   atomic.Int64
	accepted atomic.Int64
}

// NewLink returns a link without faults, whose random draws follow from the seed.
func NewLink(seed uint64) *Link { return &Link{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))} }

// SetConditions replaces the conditions of the link.
func (l *Link) SetConditions(c Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c != l.conditions {
		l.changedAt = time.Now()
	}
	l.conditions = c
}

// ChangedWithin reports whether the conditions changed within the last d. Data in transit at a change may still
// arrive late.
func (l *Link) ChangedWithin(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.changedAt.IsZero() && time.Since(l.changedAt) < d
}

// Conditions returns the current conditions.
func (l *Link) Conditions() Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions
}

// Counts are totals of a link: bytes forwarded, datagrams and segments lost, connections accepted and reset.
type Counts struct {
	Bytes    int64
	Lost     int64
	Accepted int64 `json:"Taken"`
	Resets   int64
}

// Counts returns the totals so far.
func (l *Link) Counts() Counts {
	return Counts{l.bytes.Load(), l.lost.Load(), l.accepted.Load(), l.resets.Load()}
}

// delivery draws the delay after which n bytes sent now arrive, and in how many copies. No copies means lost, which
// only happens to datagrams.
func (l *Link) delivery(n int, tcp bool) (delay time.Duration, copies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions
	delay, copies = c.Delay, 1
	if c.Jitter > 0 {
		delay += time.Duration(l.rng.Int64N(int64(c.Jitter)))
	}
	if c.Rate > 0 {
		now := time.Now()
		if l.rateBusyUntil.Before(now) {
			l.rateBusyUntil = now
		}
		l.rateBusyUntil = l.rateBusyUntil.Add(time.Duration(float64(n) / float64(c.Rate) * float64(time.Second)))
		delay += l.rateBusyUntil.Sub(now)
	}
	lost := c.Loss > 0 && l.rng.Float64() < c.Loss
	switch {
	case tcp && lost:
		delay += retransmissionDelay
		l.lost.Add(1)
	case !tcp && (lost || c.Cut):
		l.lost.Add(1)
		return 0, 0
	case !tcp && c.Duplicate > 0 && l.rng.Float64() < c.Duplicate:
		copies = 2
	}
	l.bytes.Add(int64(n))
	return delay, copies
}
