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
	window time.Duration // for which its repeats are dropped; 0: it is not keyed
}

// classes are few and round: many short look-ups, reports that are most of the work, loads that must not run twice.
var classes = []class{
	{"point", 0.7, 20 * time.Millisecond, 400 * time.Millisecond, 1500 * time.Millisecond, 1, false, 0},
	{"report", 0.25, 250 * time.Millisecond, 1200 * time.Millisecond, 4 * time.Second, 6, false, 0},
	{"load", 0.05, 300 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second, 10, true, 0},
	{"note", 0, 30 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second, 2, false, 800 * time.Millisecond},
}

const (
	noteClass  = 3
	aimStretch = 2.5
	scatter    = 0.5 // deviation of the logarithm of work
	avoidFor   = time.Second
	answerPad  = lateMost + 250*time.Millisecond // behind its time an answer is lost: the rig's own timers, and both ways
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
	pools   []chan resting
}

// resting is a connection without a request.
type resting struct {
	client *standin.Client
	since  time.Time
}

// restMost is for how long clients keep a connection that rests.
const restMost = 4 * time.Second

func newFront(n int) *front {
	f := &front{avoided: make([]time.Time, n)}
	for range n {
		f.pools = append(f.pools, make(chan resting, 64))
	}
	return f
}

func (f *front) close() {
	for _, p := range f.pools {
		for {
			select {
			case c := <-p:
				c.client.Close()
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
	for {
		select {
		case x := <-f.pools[i]:
			if time.Since(x.since) < restMost {
				return x.client, false, nil
			}
			x.client.Close()
		default:
			c, err = standin.Connect(addr, netip.Addr{}, 300*time.Millisecond)
			return c, true, err
		}
	}
}

func (f *front) put(i int, c *standin.Client) {
	select {
	case f.pools[i] <- resting{c, time.Now()}:
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
		if rng.Float64() < r.Notes {
			c = noteClass
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
	conn, fresh, err := r.front.take(i, g.front.Addr().String())
	if err != nil { // nothing was sent
		r.front.avoid(i)
		r.books.count(func(s *Second) { s.Turned++ })
		return 10 * time.Millisecond, true
	}
	id := r.books.open(q, g, left)
	text := fmt.Sprintf("/* kind=%s,req=%s,timeout=%d,ms=%d", c.name, id, left.Milliseconds(), max(1, q.work.Milliseconds()))
	if resent {
		text += ",resent=1"
	}
	began := time.Now()
	rows := 0
	wrong := false
	stop := r.maybeLeave(conn, g, id, left)
	err = conn.Rows(text+" */ SELECT day FROM sales_1.orders", left+answerPad, func(row []byte) {
		rows++
		wrong = wrong || len(row) < 17 || string(row[1:17]) != id
	})
	took := time.Since(began)
	if stop() {
		conn.Close()
		return 0, false
	}
	if late := took - left; late > sockSlack+r.pauses.since(began) && err == nil && !g.disturbedSince(began) {
		r.books.late()
	}
	var no *standin.Refusal
	switch {
	case err == nil:
		r.front.put(i, conn)
		if rows != 1 || wrong {
			r.books.judge(WrongAnswer, "request %s of class %s got %d rows, or another's", id, c.name, rows)
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
	r.judgeLost(&lostTry{id: id, class: c.name, gateway: g, began: began, took: took, left: left, fresh: fresh, err: err})
	return 10 * time.Millisecond, !c.unsafe
}

// lostTry is a request whose connection ended, or said nothing, before its answer.
type lostTry struct {
	id, class  string
	gateway    *gateway
	began      time.Time
	took, left time.Duration
	fresh      bool
	err        error
}

const (
	crossing    = 50 * time.Millisecond  // a request that crosses the close of a resting connection is sent again
	openStop    = 400 * time.Millisecond // requests on open connections come so long after SIGTERM, at most
	killedClose = 500 * time.Millisecond // a client closes its connection so long after KILL QUERY
)

// judgeLost judges a request without an answer: its gateway owes one unless it was killed, or kept from its clients.
func (r *Rig) judgeLost(x *lostTry) {
	g, end := x.gateway, x.began.Add(x.took)
	silent := x.took >= x.left+answerPad
	within := func(unix int64) bool { return unix > x.began.Add(-time.Second).UnixNano() && unix <= end.UnixNano() }
	g.mu.Lock()
	term, runs := g.termAt, g.run != nil
	g.mu.Unlock()
	switch {
	case silent && r.pauses.since(x.began) > 0:
		return
	case within(g.killed.Load()), g.disturbedSince(x.began.Add(-time.Second)):
		return
	case !term.IsZero() && x.began.After(term.Add(openStop-crossing)): // nothing is owed for what comes so late
		return
	case !silent && !x.fresh && x.took < crossing+sockSlack: // it crossed the close of a resting connection
		return
	case !silent && g.strain.Load() > x.began.UnixNano() && x.fresh && x.took < crossing:
		return
	case !runs && term.IsZero():
		return
	}
	r.books.judge(Lost, "%s of class %s at %s: %v after %v of %v", x.id, x.class, g.name, x.err, x.took.Round(time.Millisecond), x.left)
}

// maybeLeave has some clients leave before their answer: they close their connection, or kill the query and close behind
// that. It returns a function that stops that, and answers whether the client has gone.
func (r *Rig) maybeLeave(conn *standin.Client, g *gateway, id string, left time.Duration) (stop func() bool) {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(time.Now().UnixNano())))
	if rng.Int64N(1000) >= r.leaving.Load() {
		return func() bool { return false }
	}
	var mu sync.Mutex
	done, gone := false, false
	kill := rng.IntN(2) == 0
	after := time.AfterFunc(time.Duration(rng.Int64N(int64(min(left, 600*time.Millisecond)))), func() {
		mu.Lock()
		defer mu.Unlock()
		if done {
			return
		}
		gone = true
		if !kill {
			r.books.gone(id)
			conn.Close()
			return
		}
		if k, err := standin.Connect(g.front.Addr().String(), netip.Addr{}, 300*time.Millisecond); err == nil {
			_, _ = k.Query(fmt.Sprintf("KILL QUERY %d", conn.Session), 300*time.Millisecond) // the session may have no query any more
			r.books.gone(id)
			k.Close()
			time.Sleep(killedClose)
		} else {
			r.books.gone(id)
		}
		conn.Close()
	})
	return func() bool {
		after.Stop()
		mu.Lock()
		defer mu.Unlock()
		done = true
		return gone
	}
}
