package measure

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"foxlane/internal/standin"
)

// This file generates load: groups of clients that query a gateway, and statistics of their requests.

// ClientGroup describes a number of clients with the same behaviour.
type ClientGroup struct {
	Name          string
	Clients       int
	SourceAddr    func(client int) netip.Addr
	Interval      time.Duration // mean time between a client's requests (open loop); 0: closed loop
	Timeout       time.Duration
	TimedFromSend bool          // count latencies from sending, not from the due time, which timers miss by up to 1 ms
	WarmUp        time.Duration // requests due within this time after the start are not counted
}

// ClientStats are the statistics of a client group. They may be read while the clients run.
type ClientStats struct {
	Requested    atomic.Int64
	Served       atomic.Int64
	Rejected     atomic.Int64
	Failed       atomic.Int64
	Disconnected atomic.Int64 // connections that were closed or refused

	mu        sync.Mutex
	latencies *hdrhistogram.Histogram // of served requests, in microseconds, from the time they were due
}

// Latencies are recorded from 1 us to 2 min, which exceeds every timeout, with three significant digits.
const (
	minLatencyUS  = 1
	maxLatencyUS  = 120_000_000
	latencyDigits = 3
)

func newClientStats() *ClientStats {
	return &ClientStats{latencies: hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)}
}

// LatencyQuantile returns the latency, in milliseconds, at a quantile given as a percentage.
func (s *ClientStats) LatencyQuantile(percentage float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.latencies.ValueAtQuantile(percentage)) / 1000
}

func (s *ClientStats) recordLatency(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.latencies.RecordValue(max(d.Microseconds(), minLatencyUS)) // fails only for a value above the range
}

// lastRequestID is the id of the last request; ids are unique within the process.
var lastRequestID atomic.Uint64

// RunClients runs groups of clients until the context ends, waits for their last answers, and returns the
// statistics by name of the group.
func RunClients(ctx context.Context, t *Testbed, groups ...ClientGroup) map[string]*ClientStats {
	stats := map[string]*ClientStats{}
	for _, g := range groups {
		stats[g.Name] = newClientStats()
	}
	runGroups(ctx, t, groups, stats)
	return stats
}

// runGroups is like RunClients, but records into the caller's statistics, which may be read meanwhile.
func runGroups(ctx context.Context, t *Testbed, groups []ClientGroup, stats map[string]*ClientStats) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, g := range groups {
		for i := range g.Clients {
			c := &loadClient{testbed: t, group: g, stats: stats[g.Name], index: i, rng: rand.New(rand.NewPCG(uint64(i), uint64(len(g.Name))))}
			wg.Go(func() { c.run(ctx) })
		}
	}
}

// loadClient is one client of a group, with at most one connection and one request at a time.
type loadClient struct {
	testbed *Testbed
	group   ClientGroup
	stats   *ClientStats
	index   int
	rng     *rand.Rand
	due     time.Time       // when the next request should be sent
	conn    *standin.Client // nil: not connected
}

// reconnectBackoff is the time that a client waits after its connection failed.
const reconnectBackoff = 50 * time.Millisecond

// run sends requests until the context ends.
func (c *loadClient) run(ctx context.Context) {
	defer c.disconnect()
	c.due = time.Now()
	if c.group.Interval > 0 { // spread the clients over the first interval
		c.due = c.due.Add(time.Duration(c.rng.Float64() * float64(c.group.Interval)))
	}
	countFrom := time.Now().Add(c.group.WarmUp)
	stats := newClientStats() // of the warm-up, which are discarded
	for c.waitUntilDue(ctx) {
		if err := c.connect(); err != nil {
			c.stats.Disconnected.Add(1)
			if !sleepContext(ctx, reconnectBackoff) {
				return
			}
			continue
		}
		if c.due.After(countFrom) {
			stats = c.stats
		}
		if c.query(stats); c.conn == nil && !sleepContext(ctx, reconnectBackoff) {
			return
		}
		if c.group.Interval > 0 {
			c.due = c.due.Add(time.Duration((0.5 + c.rng.Float64()) * float64(c.group.Interval)))
		}
	}
}

// waitUntilDue waits until the next request is due, and reports whether the context is still active.
func (c *loadClient) waitUntilDue(ctx context.Context) bool {
	if c.group.Interval > 0 {
		return sleepContext(ctx, time.Until(c.due))
	}
	c.due = time.Now()
	return ctx.Err() == nil
}

func (c *loadClient) connect() (err error) {
	if c.conn == nil {
		c.conn, err = standin.Connect(c.testbed.Addr, c.group.SourceAddr(c.index), c.group.Timeout)
	}
	return err
}

func (c *loadClient) disconnect() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// query sends one request and counts its outcome. It disconnects if the connection failed.
func (c *loadClient) query(stats *ClientStats) {
	stats.Requested.Add(1)
	sentAt := time.Now()
	_, err := c.conn.Query(c.statement(), c.group.Timeout)
	var serverError *standin.ServerError
	switch {
	case err == nil:
		stats.Served.Add(1)
		if c.group.TimedFromSend {
			c.due = sentAt
		}
		stats.recordLatency(time.Since(c.due))
	case errors.As(err, &serverError) && serverError.Retryable():
		stats.Rejected.Add(1)
	case serverError != nil:
		stats.Failed.Add(1)
	default:
		c.disconnect()
		if time.Since(sentAt) >= c.group.Timeout {
			stats.Failed.Add(1)
		} else {
			stats.Disconnected.Add(1)
		}
	}
}

func (c *loadClient) statement() string {
	return fmt.Sprintf("/* kind=point,req=%016x,timeout=%d */ SELECT day FROM sales_17.orders", lastRequestID.Add(1), c.group.Timeout.Milliseconds())
}

// sleepContext waits for d, or until the context ends, and reports whether the context is still active. It returns
// at once if d is not positive.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// loopbackAddr returns the loopback address 127.0.net.(host+1).
func loopbackAddr(net, host int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(net), byte(host + 1)})
}
