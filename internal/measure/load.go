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

// Group is a number of clients that behave alike.
type Group struct {
	Name    string
	Clients int
	From    func(client int) netip.Addr
	Tenant  func(client, n int) string // nil: none is told
	Every   time.Duration              // open loop: each client asks at this interval on average; 0: as soon as it is answered
	Obey    bool                       // stays away as long as it is told
	Timeout time.Duration
	AsSent  bool          // waits count from when a request was sent: the lab's own timers are late by up to a millisecond
	Warm    time.Duration // what is meant to be sent before this has passed is not counted
}

// Tally counts what a group's clients saw.
type Tally struct {
	mu      sync.Mutex
	waits   *hdrhistogram.Histogram // of the served, in microseconds, from when the request was meant to be sent
	Asked   atomic.Int64
	Served  atomic.Int64
	Refused atomic.Int64
	Failed  atomic.Int64
	Cut     atomic.Int64 // connections that were closed or refused
	Told    atomic.Int64 // refusals with a time of return
	Kept    atomic.Int64 // served when they came back as told
	Lost    atomic.Int64 // not served though they came back as told
	ratios  []float64    // time needed over time told, of the kept
}

func newTally() *Tally { return &Tally{waits: hdrhistogram.New(1, 120_000_000, 3)} }

// P is a quantile of the waits, in milliseconds.
func (t *Tally) P(q float64) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return float64(t.waits.ValueAtQuantile(q)) / 1000
}

func (t *Tally) wait(d time.Duration) {
	t.mu.Lock()
	_ = t.waits.RecordValue(max(d.Microseconds(), 1)) // what is over the range is over any time-out
	t.mu.Unlock()
}

// Ratios are the times that were needed over the times that were told.
func (t *Tally) Ratios() []float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]float64(nil), t.ratios...)
}

var lastID atomic.Uint64

// Play lets groups ask a world until the context ends, and waits for their last answers.
func Play(ctx context.Context, w *World, groups ...Group) map[string]*Tally {
	out := map[string]*Tally{}
	var wg sync.WaitGroup
	for _, g := range groups {
		t := newTally()
		out[g.Name] = t
		wg.Add(1)
		go func() {
			defer wg.Done()
			playInto(ctx, w, g, t)
		}()
	}
	wg.Wait()
	return out
}

// playInto lets one group ask.
func playInto(ctx context.Context, w *World, g Group, t *Tally) {
	var wg sync.WaitGroup
	for i := range g.Clients {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &player{w: w, g: g, t: t, i: i, rng: rand.New(rand.NewPCG(uint64(i), uint64(len(g.Name))))}
			c.play(ctx)
		}()
	}
	wg.Wait()
}

type player struct {
	w    *World
	g    Group
	t    *Tally
	i, n int
	rng  *rand.Rand
	conn *standin.Client
}

const reconnectAfter = 50 * time.Millisecond

func (p *player) play(ctx context.Context) {
	defer func() {
		if p.conn != nil {
			p.conn.Close()
		}
	}()
	meant := time.Now()
	if p.g.Every > 0 {
		meant = meant.Add(time.Duration(p.rng.Float64() * float64(p.g.Every)))
	}
	var back, granted time.Time // as told by the last refusal
	from := time.Now().Add(p.g.Warm)
	t := newTally() // until then
	for {
		if p.g.Every > 0 {
			if !sleep(ctx, time.Until(meant)) {
				return
			}
		} else if meant = time.Now(); ctx.Err() != nil {
			return
		}
		if p.conn == nil {
			c, err := standin.Connect(p.w.Addr, p.g.From(p.i), p.g.Timeout)
			if err != nil {
				p.t.Cut.Add(1)
				wait := reconnectAfter
				var r *standin.Refusal
				if p.g.Obey && errors.As(err, &r) && r.HoldOff > 0 {
					wait = r.HoldOff
				}
				if !sleep(ctx, wait) {
					return
				}
				continue
			}
			p.conn = c
		}
		if meant.After(from) {
			t = p.t
		}
		t.Asked.Add(1)
		sent := time.Now()
		_, err := p.conn.Query(p.text(), p.g.Timeout)
		told := !granted.IsZero()
		var r *standin.Refusal
		switch {
		case err == nil:
			t.Served.Add(1)
			if p.g.AsSent {
				meant = sent
			}
			t.wait(time.Since(meant))
			if told {
				t.Kept.Add(1)
				run := p.w.Run
				needed := time.Since(granted) - run
				t.mu.Lock()
				t.ratios = append(t.ratios, float64(needed)/float64(back.Sub(granted)))
				t.mu.Unlock()
			}
			granted = time.Time{}
		case errors.As(err, &r):
			if told {
				t.Lost.Add(1)
			}
			granted = time.Time{}
			if !r.Harmless() {
				t.Failed.Add(1)
				break
			}
			t.Refused.Add(1)
			if r.HoldOff > 0 {
				t.Told.Add(1)
				if p.g.Obey {
					granted = time.Now()
					back = granted.Add(r.HoldOff)
					if !sleep(ctx, r.HoldOff) {
						return
					}
				}
			}
		default:
			p.conn.Close()
			p.conn = nil
			if time.Since(sent) >= p.g.Timeout {
				t.Failed.Add(1)
			} else {
				t.Cut.Add(1)
			}
			if !sleep(ctx, reconnectAfter) {
				return
			}
		}
		if p.g.Every > 0 {
			meant = meant.Add(time.Duration((0.5 + p.rng.Float64()) * float64(p.g.Every)))
		}
	}
}

func (p *player) text() string {
	p.n++
	tenant := ""
	if p.g.Tenant != nil {
		tenant = ",owner=" + p.g.Tenant(p.i, p.n)
	}
	return fmt.Sprintf("/* kind=point,req=%016x,timeout=%d%s */ SELECT day FROM sales_17.orders", lastID.Add(1), p.g.Timeout.Milliseconds(), tenant)
}

// sleep waits, and answers whether there is time left.
func sleep(ctx context.Context, d time.Duration) bool {
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

// host is an address of this machine's own.
func host(net, n int) netip.Addr { return netip.AddrFrom4([4]byte{127, 0, byte(net), byte(n + 1)}) }
