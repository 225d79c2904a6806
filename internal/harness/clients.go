package harness

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
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
	inTurn bool          // requests with the same key run one after another, in the order in which they came
	placed bool          // it runs in the first zone only
}

// usualClasses are few and round: many short look-ups, reports that are most of the work, loads that must not run twice, and a
// keyed, an ordered and a placed class, of which scripts say how many.
var usualClasses = []class{
	{name: "point", part: 0.7, work: 20 * time.Millisecond, aim: 400 * time.Millisecond, giveUp: 1500 * time.Millisecond, worth: 1},
	{name: "report", part: 0.25, work: 250 * time.Millisecond, aim: 1200 * time.Millisecond, giveUp: 4 * time.Second, worth: 6},
	{name: "load", part: 0.05, work: 300 * time.Millisecond, aim: 1500 * time.Millisecond, giveUp: 4 * time.Second, worth: 10, unsafe: true},
	{name: "note", work: 30 * time.Millisecond, aim: 400 * time.Millisecond, giveUp: 2 * time.Second, worth: 2, window: 800 * time.Millisecond},
	{name: "step", work: 300 * time.Millisecond, aim: 1500 * time.Millisecond, giveUp: 4 * time.Second, worth: 3, inTurn: true},
	{name: "local", work: 30 * time.Millisecond, aim: 400 * time.Millisecond, giveUp: 2 * time.Second, worth: 2, placed: true},
}

// classesOf are the classes of a script, which may make their deadlines and windows shorter.
func classesOf(s *Script) []class {
	out := slices.Clone(usualClasses)
	for i := range out {
		if s.Deadlines > 0 {
			out[i].giveUp = time.Duration(float64(out[i].giveUp) * s.Deadlines)
			out[i].aim = min(out[i].aim, out[i].giveUp)
		}
		if s.Windows > 0 {
			out[i].window = time.Duration(float64(out[i].window) * s.Windows)
		}
	}
	return out
}

// longest is the longest deadline of all classes.
func (r *Rig) longest() (d time.Duration) {
	for _, c := range r.classes {
		d = max(d, c.giveUp)
	}
	return d
}

const (
	noteClass  = 3
	stepClass  = 4
	localClass = 5
	orderKeys  = 2                      // of the ordered class
	keyRest    = 300 * time.Millisecond // of a key behind an attempt that may still run
	aimStretch = 2.5
	scatter    = 0.5 // deviation of the logarithm of work
	avoidFor   = time.Second
	answerPad  = lateMost + 250*time.Millisecond // behind its time an answer is lost: the rig's own timers, and both ways
	mostTries  = 3
)

func (r *Rig) meanWork() (sum float64) {
	for _, c := range r.classes {
		sum += c.part * float64(c.work)
	}
	return sum
}

// request is what a client wants, over all of its tries.
type request struct {
	id     string // of the latest try
	class  int
	zone   int    // of its client
	key    string // of an ordered class
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

var errNoNew = errors.New("rig: no new connections are made to a gateway that ends")

// take returns a connection that was used before, if there is one, else a new one where these are made.
func (f *front) take(i int, addr string, fresher bool) (c *standin.Client, fresh bool, err error) {
	for {
		select {
		case x := <-f.pools[i]:
			if time.Since(x.since) < restMost {
				return x.client, false, nil
			}
			x.client.Close()
		default:
			if !fresher {
				return nil, true, errNoNew
			}
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
		for c = range r.classes {
			if x -= r.classes[c].part; x < 0 {
				break
			}
		}
		for other, part := range map[int]float64{noteClass: r.Notes, stepClass: r.InTurn, localClass: r.Placed} {
			if part > 0 && rng.Float64() < part {
				c = other
			}
		}
		q := &request{class: c, zone: zone, at: time.Now(),
			work: time.Duration(float64(r.classes[c].work) * math.Exp(rng.NormFloat64()*scatter-scatter*scatter/2))}
		if r.classes[c].inTurn {
			q.key = fmt.Sprint("k", rng.IntN(orderKeys))
		}
		seed := rng.Uint64()
		wg.Go(func() { r.want(ctx, q, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// want has one client try until it is served or gives up.
func (r *Rig) want(ctx context.Context, q *request, rng *rand.Rand) {
	c := r.classes[q.class]
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
	c, g := r.classes[q.class], r.gateways[i]
	conn, fresh, err := r.front.take(i, g.front.Addr().String(), g.takesNew())
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
	if c.inTurn {
		text += ",subject=" + q.key
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
	r.books.answered(id)
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

// takesNew answers whether clients make new connections to the gateway: not for long once it was asked to end.
func (g *gateway) takesNew() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.termAt.IsZero() || time.Since(g.termAt) < newStop
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
	newStop     = 400 * time.Millisecond // new connections come so long after SIGTERM, at most
	killedClose = 500 * time.Millisecond // a client closes its connection so long after KILL QUERY
)

// judgeLost judges a request without an answer: its gateway owes one unless it was killed, or kept from its clients.
func (r *Rig) judgeLost(x *lostTry) {
	g, end := x.gateway, x.began.Add(x.took)
	silent := x.took >= x.left+answerPad
	within := func(unix int64) bool { return unix > x.began.Add(-time.Second).UnixNano() && unix <= end.UnixNano() }
	g.mu.Lock()
	runs := g.run != nil
	g.mu.Unlock()
	ended := time.Unix(0, g.ended.Load())
	switch {
	case silent && r.pauses.since(x.began) > 0:
		return
	case within(g.killed.Load()), g.disturbedSince(x.began.Add(-time.Second)):
		return
	case !runs && x.began.After(ended.Add(-crossing-sockSlack)): // nobody was there any more
		return
	case !silent && !x.fresh && x.took < crossing+sockSlack: // it crossed the close of a resting connection
		return
	case !silent && g.strain.Load() > x.began.UnixNano() && x.fresh && x.took < crossing:
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
