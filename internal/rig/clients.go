package rig

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"foxlane/internal/standin"
)

// class is what clients ask for.
type class struct {
	name   string
	part   float64 // of all requests
	work   time.Duration
	aim    time.Duration
	giveUp time.Duration
	worth  float64
	unsafe bool
}

// classes are few and round: many short look-ups, reports that are most of the work, loads that must not run twice.
var classes = []class{
	{"point", 0.7, 20 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 1, false},
	{"report", 0.25, 250 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second, 6, false},
	{"load", 0.05, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 10, true},
}

const (
	aimStretch = 2.5
	scatter    = 0.5 // deviation of the logarithm of work
	avoidFor   = time.Second
	answerPad  = 250 * time.Millisecond // by which an answer may pass its time here: the rig's own timers, and both ways
	mostTries  = 3
)

func meanWork() (sum float64) {
	for _, c := range classes {
		sum += c.part * float64(c.work)
	}
	return sum
}

// request is what a client wants, over all of its tries.
type request struct {
	id     string // of the latest try
	class  int
	zone   int // of its client
	work   time.Duration
	at     time.Time
	served bool
}

// front is what clients know of the gateways.
type front struct {
	mu      sync.Mutex
	avoided []time.Time // by gateway, until when
	pools   []chan *standin.Client
}

func newFront(n int) *front {
	f := &front{avoided: make([]time.Time, n)}
	for range n {
		f.pools = append(f.pools, make(chan *standin.Client, 64))
	}
	return f
}

func (f *front) close() {
	for _, p := range f.pools {
		for {
			select {
			case c := <-p:
				c.Close()
				continue
			default:
			}
			break
		}
	}
}

// choose draws a gateway: one of the client's zone where there is one that is not avoided, else any.
func (r *Rig) choose(zone int, rng *rand.Rand) int {
	f := r.front
	f.mu.Lock()
	defer f.mu.Unlock()
	now := time.Now()
	var near, far []int
	for i, g := range r.gateways {
		if now.Before(f.avoided[i]) {
			continue
		}
		if far = append(far, i); g.zoneAt == zone {
			near = append(near, i)
		}
	}
	switch {
	case len(near) > 0:
		return near[rng.IntN(len(near))]
	case len(far) > 0:
		return far[rng.IntN(len(far))]
	}
	return rng.IntN(len(r.gateways))
}

func (f *front) avoid(i int) {
	f.mu.Lock()
	f.avoided[i] = time.Now().Add(avoidFor)
	f.mu.Unlock()
}

// take returns a connection that was used before, if there is one.
func (f *front) take(i int, addr string) (c *standin.Client, fresh bool, err error) {
	select {
	case c = <-f.pools[i]:
		return c, false, nil
	default:
		c, err = standin.Connect(addr, netip.Addr{}, 300*time.Millisecond)
		return c, true, err
	}
}

func (f *front) put(i int, c *standin.Client) {
	select {
	case f.pools[i] <- c:
	default:
		c.Close()
	}
}

// ask has clients of a zone ask, at random times, until the context ends; it waits for their last answers.
func (r *Rig) ask(ctx context.Context, zone int, rate float64, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(zone)+1))
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / (rate * r.burst(zone)) * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		x, c := rng.Float64(), 0
		for c = range classes {
			if x -= classes[c].part; x < 0 {
				break
			}
		}
		q := &request{class: c, zone: zone, at: time.Now(),
			work: time.Duration(float64(classes[c].work) * math.Exp(rng.NormFloat64()*scatter-scatter*scatter/2))}
		seed := rng.Uint64()
		wg.Go(func() { r.want(ctx, q, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// want has one client try until it is served or gives up.
func (r *Rig) want(ctx context.Context, q *request, rng *rand.Rand) {
	c := classes[q.class]
	r.books.offer(q)
	due := q.at.Add(c.giveUp)
	for try := range mostTries {
		left := time.Until(due)
		if left < 50*time.Millisecond {
			return
		}
		i := r.choose(q.zone, rng)
		wait, again := r.try(q, i, left, try > 0)
		if !again || time.Until(due) < wait {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// try asks one gateway. It answers whether the client comes again, and after how long.
func (r *Rig) try(q *request, i int, left time.Duration, resent bool) (wait time.Duration, again bool) {
	c, g := classes[q.class], r.gateways[i]
	conn, _, err := r.front.take(i, g.front.Addr().String())
	if err != nil { // nothing was sent
		r.front.avoid(i)
		r.books.count(func(s *Second) { s.Turned++ })
		return 10 * time.Millisecond, true
	}
	id := r.books.open(q, g)
	text := fmt.Sprintf("/* kind=%s,req=%s,timeout=%d,ms=%d", c.name, id, left.Milliseconds(), max(1, q.work.Milliseconds()))
	if resent {
		text += ",resent=1"
	}
	began := time.Now()
	rows := 0
	wrong := false
	life := g.life.Load()
	err = conn.Rows(text+" */ SELECT day FROM sales_1.orders", left+answerPad, func(row []byte) {
		rows++
		wrong = wrong || len(row) < 17 || string(row[1:17]) != id
	})
	var no *standin.Refusal
	switch {
	case err == nil:
		r.front.put(i, conn)
		if rows != 1 || wrong {
			r.books.breach("request %s of class %s got %d rows, or another's", id, c.name, rows)
		}
		r.books.served(q, time.Since(q.at))
		return 0, false
	case errors.As(err, &no):
		r.front.put(i, conn)
		r.books.refused(q, no.Harmless(), resent)
		if no.Harmless() {
			return max(no.HoldOff, 20*time.Millisecond), true
		}
		return 50 * time.Millisecond, !c.unsafe
	}
	conn.Close()
	r.front.avoid(i)
	if time.Since(began) >= left+answerPad && g.life.Load() == life && !g.disturbed() {
		r.books.breach("request %s of class %s has no answer after %v", id, c.name, time.Since(began).Round(time.Millisecond))
	}
	return 10 * time.Millisecond, !c.unsafe
}
