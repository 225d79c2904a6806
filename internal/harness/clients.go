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

// requestClass is what clients ask for.
type requestClass struct {
	name              string
	share             float64 // of all requests
	work              time.Duration
	latencyObjective  time.Duration
	timeout           time.Duration
	weight            float64
	nonIdempotent     bool
	idempotencyWindow time.Duration // for which its repeats are dropped; 0: it is not keyed
	ordered           bool          // requests with the same key run one after another, in the order in which they came
	firstZoneOnly     bool          // it runs in the first zone only
}

// defaultClasses are few and round: many short look-ups, reports that are most of the work, loads that must not run twice, and a
// keyed, an ordered and a placed class, of which scripts say how many.
var defaultClasses = []requestClass{
	{name: "point", share: 0.7, work: 20 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 1500 * time.Millisecond, weight: 1},
	{name: "report", share: 0.25, work: 250 * time.Millisecond, latencyObjective: 1200 * time.Millisecond, timeout: 4 * time.Second, weight: 6},
	{name: "load", share: 0.05, work: 300 * time.Millisecond, latencyObjective: 1500 * time.Millisecond, timeout: 4 * time.Second, weight: 10, nonIdempotent: true},
	{name: "note", work: 30 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 2 * time.Second, weight: 2, idempotencyWindow: 800 * time.Millisecond},
	{name: "step", work: 300 * time.Millisecond, latencyObjective: 1500 * time.Millisecond, timeout: 4 * time.Second, weight: 3, ordered: true},
	{name: "local", work: 30 * time.Millisecond, latencyObjective: 400 * time.Millisecond, timeout: 2 * time.Second, weight: 2, firstZoneOnly: true},
}

// classesOf are the classes of a script, which may make their deadlines and windows shorter.
func classesOf(s *Script) []requestClass {
	out := slices.Clone(defaultClasses)
	for i := range out {
		if s.DeadlineFactor > 0 {
			out[i].timeout = time.Duration(float64(out[i].timeout) * s.DeadlineFactor)
			out[i].latencyObjective = min(out[i].latencyObjective, out[i].timeout)
		}
		if s.WindowFactor > 0 {
			out[i].idempotencyWindow = time.Duration(float64(out[i].idempotencyWindow) * s.WindowFactor)
		}
	}
	return out
}

// longestTimeout is the longest deadline of all classes.
func (f *fleet) longestTimeout() (d time.Duration) {
	for _, c := range f.classes {
		d = max(d, c.timeout)
	}
	return d
}

const (
	keyedClass       = 3
	orderedClass     = 4
	firstZoneClass   = 5
	orderKeyCount    = 2                      // of the ordered class
	keyQuarantine    = 300 * time.Millisecond // of a key behind an attempt that may still run
	objectiveStretch = 2.5
	workSigma        = 0.5 // deviation of the logarithm of work
	avoidDuration    = time.Second
	responseGrace    = maxLateness + 250*time.Millisecond // behind its time an answer is lost: the rig's own timers, and both ways
	maxAttempts      = 3
)

func (f *fleet) meanWork() (sum float64) {
	for _, c := range f.classes {
		sum += c.share * float64(c.work)
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

// clientPool is what clients know of the gateways.
type clientPool struct {
	mu      sync.Mutex
	avoided []time.Time // by gateway, until when
	idle    []chan idleConn
}

// idleConn is a connection without a request.
type idleConn struct {
	client *standin.Client
	since  time.Time
}

// maxIdleTime is for how long clients keep a connection that rests.
const maxIdleTime = 4 * time.Second

func newClientPool(n int) *clientPool {
	f := &clientPool{avoided: make([]time.Time, n)}
	for range n {
		f.idle = append(f.idle, make(chan idleConn, 64))
	}
	return f
}

func (p *clientPool) close() {
	for _, conns := range p.idle {
		for {
			select {
			case c := <-conns:
				c.client.Close()
				continue
			default:
			}
			break
		}
	}
}

// chooseGateway draws a gateway: one of the client's zone where there is one that is not avoided, else any.
func (f *fleet) chooseGateway(zone int, rng *rand.Rand) int {
	pool := f.clients
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	var near, far []int
	for i, g := range f.gateways {
		if now.Before(pool.avoided[i]) {
			continue
		}
		if far = append(far, i); g.zoneIndex == zone {
			near = append(near, i)
		}
	}
	switch {
	case len(near) > 0:
		return near[rng.IntN(len(near))]
	case len(far) > 0:
		return far[rng.IntN(len(far))]
	}
	return rng.IntN(len(f.gateways))
}

func (p *clientPool) avoid(i int) {
	p.mu.Lock()
	p.avoided[i] = time.Now().Add(avoidDuration)
	p.mu.Unlock()
}

var errNoNewConnections = errors.New("rig: no new connections are made to a gateway that ends")

// get returns a connection that was used before, if there is one, else a new one where these are made.
func (p *clientPool) get(i int, addr string, fresher bool) (c *standin.Client, fresh bool, err error) {
	for {
		select {
		case x := <-p.idle[i]:
			if time.Since(x.since) < maxIdleTime {
				return x.client, false, nil
			}
			x.client.Close()
		default:
			if !fresher {
				return nil, true, errNoNewConnections
			}
			c, err = standin.Connect(addr, netip.Addr{}, 300*time.Millisecond)
			return c, true, err
		}
	}
}

func (p *clientPool) put(i int, c *standin.Client) {
	select {
	case p.idle[i] <- idleConn{c, time.Now()}:
	default:
		c.Close()
	}
}

// generateLoad has clients of a zone ask, at random times, until the context ends; it waits for their last answers.
func (f *fleet) generateLoad(ctx context.Context, zone int, rate float64, wg *sync.WaitGroup) {
	rng := rand.New(rand.NewPCG(f.Seed, uint64(zone)+1))
	next := time.Now()
	for {
		next = next.Add(time.Duration(rng.ExpFloat64() / (rate * f.burstFactor(zone)) * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		}
		point, class := rng.Float64(), 0
		for class = range f.classes {
			if point -= f.classes[class].share; point < 0 {
				break
			}
		}
		for other, share := range map[int]float64{keyedClass: f.KeyedShare, orderedClass: f.OrderedShare, firstZoneClass: f.FirstZoneShare} {
			if share > 0 && rng.Float64() < share {
				class = other
			}
		}
		req := &request{class: class, zone: zone, at: time.Now(),
			work: time.Duration(float64(f.classes[class].work) * math.Exp(rng.NormFloat64()*workSigma-workSigma*workSigma/2))}
		if f.classes[class].ordered {
			req.key = fmt.Sprint("k", rng.IntN(orderKeyCount))
		}
		seed := rng.Uint64()
		wg.Go(func() { f.runRequest(ctx, req, rand.New(rand.NewPCG(seed, 1))) })
	}
}

// runRequest has one client try until it is served or gives up.
func (f *fleet) runRequest(ctx context.Context, req *request, rng *rand.Rand) {
	class := f.classes[req.class]
	f.recorder.recordRequest(req)
	deadline := req.at.Add(class.timeout)
	for try := range maxAttempts {
		left := time.Until(deadline)
		if left < 50*time.Millisecond {
			return
		}
		i := f.chooseGateway(req.zone, rng)
		wait, again := f.attempt(req, i, left, try > 0)
		if !again || time.Until(deadline) < wait {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// attempt asks one gateway. It answers whether the client comes again, and after how long.
func (f *fleet) attempt(req *request, i int, left time.Duration, resent bool) (wait time.Duration, again bool) {
	class, g := f.classes[req.class], f.gateways[i]
	conn, fresh, err := f.clients.get(i, g.clientProxy.Addr().String(), g.acceptsNewConnections())
	if err != nil { // nothing was sent
		f.clients.avoid(i)
		f.recorder.updateSecond(func(s *Second) { s.NoGateway++ })
		return 10 * time.Millisecond, true
	}
	id := f.recorder.startAttempt(req, g, left)
	text := fmt.Sprintf("/* kind=%s,req=%s,timeout=%d,ms=%d", class.name, id, left.Milliseconds(), max(1, req.work.Milliseconds()))
	if resent {
		text += ",resent=1"
	}
	if class.ordered {
		text += ",subject=" + req.key
	}
	began := time.Now()
	rows := 0
	wrong := false
	stop := f.maybeAbandon(conn, g, id, left)
	err = conn.QueryRows(text+" */ SELECT day FROM sales_1.orders", left+responseGrace, func(row []byte) {
		rows++
		wrong = wrong || len(row) < 17 || string(row[1:17]) != id
	})
	took := time.Since(began)
	if stop() {
		conn.Close()
		return 0, false
	}
	f.recorder.recordResponse(id)
	if late := took - left; late > socketSlack+f.pauses.totalSince(began) && err == nil && !g.disturbedSince(began) {
		f.recorder.recordLate()
	}
	var refusal *standin.ServerError
	switch {
	case err == nil:
		f.clients.put(i, conn)
		if rows != 1 || wrong {
			f.recorder.addViolation(WrongResponse, "request %s of class %s got %d rows, or another's", id, class.name, rows)
		}
		f.recorder.recordServed(req, time.Since(req.at))
		return 0, false
	case errors.As(err, &refusal):
		f.clients.put(i, conn)
		f.recorder.recordRejected(req, refusal.Retryable(), resent)
		if refusal.Retryable() {
			return max(refusal.RetryAfter, 20*time.Millisecond), true
		}
		return 50 * time.Millisecond, !class.nonIdempotent
	}
	conn.Close()
	f.clients.avoid(i)
	f.checkLost(&lostAttempt{id: id, class: class.name, gateway: g, began: began, took: took, left: left, fresh: fresh, err: err})
	return 10 * time.Millisecond, !class.nonIdempotent
}

// acceptsNewConnections answers whether clients make new connections to the gateway: not for long once it was asked to end.
func (g *gateway) acceptsNewConnections() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.termAt.IsZero() || time.Since(g.termAt) < newConnectionsAfterTerm
}

// lostAttempt is a request whose connection ended, or said nothing, before its answer.
type lostAttempt struct {
	id, class  string
	gateway    *gateway
	began      time.Time
	took, left time.Duration
	fresh      bool
	err        error
}

const (
	closeRace               = 50 * time.Millisecond  // a request that crosses the close of a resting connection is sent again
	newConnectionsAfterTerm = 400 * time.Millisecond // new connections come so long after SIGTERM, at most
	closeAfterKill          = 500 * time.Millisecond // a client closes its connection so long after KILL QUERY
)

// checkLost judges a request without an answer: its gateway owes one unless it was killed, or kept from its clients.
func (f *fleet) checkLost(lost *lostAttempt) {
	g, end := lost.gateway, lost.began.Add(lost.took)
	timedOut := lost.took >= lost.left+responseGrace
	within := func(unix int64) bool { return unix > lost.began.Add(-time.Second).UnixNano() && unix <= end.UnixNano() }
	g.mu.Lock()
	runs := g.current != nil
	g.mu.Unlock()
	ended := time.Unix(0, g.endedAt.Load())
	switch {
	case timedOut && f.pauses.totalSince(lost.began) > 0:
		return
	case within(g.killedAt.Load()), g.disturbedSince(lost.began.Add(-time.Second)):
		return
	case !runs && lost.began.After(ended.Add(-closeRace-socketSlack)): // nobody was there any more
		return
	case !timedOut && !lost.fresh && lost.took < closeRace+socketSlack: // it crossed the close of a resting connection
		return
	case !timedOut && g.strainedUntil.Load() > lost.began.UnixNano() && lost.fresh && lost.took < closeRace:
		return
	}
	f.recorder.addViolation(LostRequest, "%s of class %s at %s: %v after %v of %v", lost.id, lost.class, g.name, lost.err, lost.took.Round(time.Millisecond), lost.left)
}

// maybeAbandon has some clients leave before their answer: they close their connection, or kill the query and close behind
// that. It returns a function that stops that, and answers whether the client has gone.
func (f *fleet) maybeAbandon(conn *standin.Client, g *gateway, id string, left time.Duration) (stop func() bool) {
	rng := rand.New(rand.NewPCG(f.Seed, uint64(time.Now().UnixNano())))
	if rng.Int64N(1000) >= f.abandonPermille.Load() {
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
			f.recorder.recordAbandoned(id)
			conn.Close()
			return
		}
		if k, err := standin.Connect(g.clientProxy.Addr().String(), netip.Addr{}, 300*time.Millisecond); err == nil {
			_, _ = k.Query(fmt.Sprintf("KILL QUERY %d", conn.ConnectionID), 300*time.Millisecond) // the session may have no query any more
			f.recorder.recordAbandoned(id)
			k.Close()
			time.Sleep(closeAfterKill)
		} else {
			f.recorder.recordAbandoned(id)
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
