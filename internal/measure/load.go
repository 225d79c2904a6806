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

// ClientGroup is a number of clients that behave alike.
type ClientGroup struct {
	Name            string
	Clients         int
	SourceAddr      func(client int) netip.Addr
	Tenant          func(client, n int) string // nil: none is told
	Interval        time.Duration              // open loop: each client asks at this interval on average; 0: as soon as it is answered
	HonorRetryAfter bool                       // stays away as long as it is told
	Timeout         time.Duration
	TimedFromSend   bool          // waits count from when a request was sent: the lab's own timers are late by up to a millisecond
	WarmUp          time.Duration // what is meant to be sent before this has passed is not counted
}

// ClientStats counts what a group's clients saw.
type ClientStats struct {
	mu            sync.Mutex
	latencies     *hdrhistogram.Histogram // of the served, in microseconds, from when the request was meant to be sent
	Requested     atomic.Int64
	Served        atomic.Int64
	Rejected      atomic.Int64
	Failed        atomic.Int64
	Disconnected  atomic.Int64 // connections that were closed or refused
	RetryAfters   atomic.Int64 // refusals with a time of return
	ReturnsServed atomic.Int64 // served when they came back as told
	ReturnsFailed atomic.Int64 // not served though they came back as told
	returnRatios  []float64    // time needed over time told, of the kept
}

func newClientStats() *ClientStats {
	return &ClientStats{latencies: hdrhistogram.New(1, 120_000_000, 3)}
}

// LatencyQuantile is a quantile of the waits, in milliseconds.
func (t *ClientStats) LatencyQuantile(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.latencies.ValueAtQuantile(q)) / 1000
}

func (t *ClientStats) recordLatency(d time.Duration) {
	t.mu.Lock()
	_ = t.latencies.RecordValue(max(d.Microseconds(), 1)) // what is over the range is over any time-out
	t.mu.Unlock()
}

// ReturnRatios are the times that were needed over the times that were told.
func (t *ClientStats) ReturnRatios() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]float64(nil), t.returnRatios...)
}

var lastRequestID atomic.Uint64

// RunClients lets groups ask a world until the context ends, and waits for their last answers.
func RunClients(ctx context.Context, w *Testbed, groups ...ClientGroup) map[string]*ClientStats {
	out := map[string]*ClientStats{}
	var wg sync.WaitGroup
	for _, g := range groups {
		t := newClientStats()
		out[g.Name] = t
		wg.Add(1)
		go func() {
			defer wg.Done()
			runGroup(ctx, w, g, t)
		}()
	}
	wg.Wait()
	return out
}

// runGroup lets one group ask.
func runGroup(ctx context.Context, w *Testbed, g ClientGroup, t *ClientStats) {
	var wg sync.WaitGroup
	for i := range g.Clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &loadClient{testbed: w, group: g, stats: t, index: i, rng: rand.New(rand.NewPCG(uint64(i), uint64(len(g.Name))))}
			c.run(ctx)
		}()
	}
	wg.Wait()
}

type loadClient struct {
	testbed         *Testbed
	group           ClientGroup
	stats           *ClientStats
	index, requests int
	rng             *rand.Rand
	conn            *standin.Client
}

const reconnectBackoff = 50 * time.Millisecond

func (p *loadClient) run(ctx context.Context) {
	defer func() {
		if p.conn != nil {
			p.conn.Close()
		}
	}()
	meant := time.Now()
	if p.group.Interval > 0 {
		meant = meant.Add(time.Duration(p.rng.Float64() * float64(p.group.Interval)))
	}
	var back, granted time.Time // as told by the last refusal
	from := time.Now().Add(p.group.WarmUp)
	t := newClientStats() // until then
	for {
		if p.group.Interval > 0 {
			if !sleepContext(ctx, time.Until(meant)) {
				return
			}
		} else if meant = time.Now(); ctx.Err() != nil {
			return
		}
		if p.conn == nil {
			c, err := standin.Connect(p.testbed.Addr, p.group.SourceAddr(p.index), p.group.Timeout)
			if err != nil {
				p.stats.Disconnected.Add(1)
				wait := reconnectBackoff
				var r *standin.ServerError
				if p.group.HonorRetryAfter && errors.As(err, &r) && r.RetryAfter > 0 {
					wait = r.RetryAfter
				}
				if !sleepContext(ctx, wait) {
					return
				}
				continue
			}
			p.conn = c
		}
		if meant.After(from) {
			t = p.stats
		}
		t.Requested.Add(1)
		sent := time.Now()
		_, err := p.conn.Query(p.statement(), p.group.Timeout)
		told := !granted.IsZero()
		var r *standin.ServerError
		switch {
		case err == nil:
			t.Served.Add(1)
			if p.group.TimedFromSend {
				meant = sent
			}
			t.recordLatency(time.Since(meant))
			if told {
				t.ReturnsServed.Add(1)
				run := p.testbed.ServiceTime
				needed := time.Since(granted) - run
				t.mu.Lock()
				t.returnRatios = append(t.returnRatios, float64(needed)/float64(back.Sub(granted)))
				t.mu.Unlock()
			}
			granted = time.Time{}
		case errors.As(err, &r):
			if told {
				t.ReturnsFailed.Add(1)
			}
			granted = time.Time{}
			if !r.Retryable() {
				t.Failed.Add(1)
				break
			}
			t.Rejected.Add(1)
			if r.RetryAfter > 0 {
				t.RetryAfters.Add(1)
				if p.group.HonorRetryAfter {
					granted = time.Now()
					back = granted.Add(r.RetryAfter)
					if !sleepContext(ctx, r.RetryAfter) {
						return
					}
				}
			}
		default:
			p.conn.Close()
			p.conn = nil
			if time.Since(sent) >= p.group.Timeout {
				t.Failed.Add(1)
			} else {
				t.Disconnected.Add(1)
			}
			if !sleepContext(ctx, reconnectBackoff) {
				return
			}
		}
		if p.group.Interval > 0 {
			meant = meant.Add(time.Duration((0.5 + p.rng.Float64()) * float64(p.group.Interval)))
		}
	}
}

func (p *loadClient) statement() string {
	p.requests++
	tenant := ""
	if p.group.Tenant != nil {
		tenant = ",owner=" + p.group.Tenant(p.index, p.requests)
	}
	return fmt.Sprintf("/* kind=point,req=%016x,timeout=%d%s */ SELECT day FROM sales_17.orders", lastRequestID.Add(1), p.group.Timeout.Milliseconds(), tenant)
}

// sleepContext waits, and answers whether there is time left.
func sleepContext(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// loopbackAddr is an address of this machine's own.
func loopbackAddr(net, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, 0, byte(net), byte(n + 1)})
}
