package harness

import (
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"foxlane/internal/standin"
)

const (
	orderKeyCount    = 2                                  // different keys in the ordered class
	keyQuarantine    = 300 * time.Millisecond             // for a key after an attempt that may still run
	objectiveStretch = 2.5                                // added to a latency objective, in multiples of the work
	workSigma        = 0.5                                // standard deviation of the logarithm of work
	lateValue        = 0.2                                // fraction of its weight that a late response earns
	responseGrace    = maxLateness + 250*time.Millisecond // wait after the deadline; 250 ms are for timers and both links
	minTimeLeft      = 50 * time.Millisecond              // a client with less than this until its deadline does not retry
	maxAttempts      = 3
)

// request is a client's request, which may take several attempts.
type request struct {
	class  int    // index of the class
	zone   int    // index of the client's zone
	key    string // order key of a request in the ordered class; otherwise empty
	work   time.Duration
	at     time.Time
	served bool
}

// generateLoad starts requests of a zone's clients as a Poisson process until the context ends. The rate is in
// requests per second. Each request runs in a goroutine of wg.
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
		draw, class := rng.Float64(), 0
		for class = range f.classes {
			if draw -= f.classes[class].share; draw < 0 {
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

// runRequest sends attempts of a client's request until one is served, the client gives up, or its deadline is near.
func (f *fleet) runRequest(ctx context.Context, req *request, rng *rand.Rand) {
	class := f.classes[req.class]
	f.recorder.recordRequest(req)
	deadline := req.at.Add(class.timeout)
	for try := range maxAttempts {
		left := time.Until(deadline)
		if left < minTimeLeft {
			return
		}
		gatewayIndex := f.chooseGateway(req.zone, rng)
		wait, retry := f.attempt(req, gatewayIndex, left, try > 0)
		if !retry || time.Until(deadline) < wait {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// queryText returns the query of an attempt, with the fields that the gateway reads in a leading comment.
func (r *request) queryText(class *requestClass, id string, left time.Duration, resent bool) string {
	text := fmt.Sprintf("/* kind=%s,req=%s,timeout=%d,ms=%d", class.name, id, left.Milliseconds(), max(1, r.work.Milliseconds()))
	if resent {
		text += ",resent=1"
	}
	if class.ordered {
		text += ",subject=" + r.key
	}
	return text + " */ SELECT day FROM sales_1.orders"
}

// attempt sends a request to one gateway and records the outcome. It reports whether the client may retry, and after
// which wait.
func (f *fleet) attempt(req *request, gatewayIndex int, left time.Duration, resent bool) (wait time.Duration, retry bool) {
	class, g := f.classes[req.class], f.gateways[gatewayIndex]
	conn, newConnection, err := f.clients.get(gatewayIndex, g.clientProxy.Addr().String(), g.acceptsNewConnections())
	if err != nil { // no connection, so nothing was sent
		f.clients.avoid(gatewayIndex)
		f.recorder.updateSecond(func(s *Second) { s.NoGateway++ })
		return 10 * time.Millisecond, true
	}
	id := f.recorder.startAttempt(req, g, left)
	text := req.queryText(&class, id, left, resent)
	began := time.Now()
	rows := 0
	wrong := false
	stop := f.scheduleAbandon(conn, g, id, left)
	err = conn.QueryRows(text, left+responseGrace, func(row []byte) {
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
	var rejection *standin.ServerError
	switch {
	case err == nil:
		f.clients.put(gatewayIndex, conn)
		if rows != 1 || wrong {
			f.recorder.addViolation(WrongResponse, "request %s of class %s got %d rows, or rows of another request", id, class.name, rows)
		}
		f.recorder.recordServed(req, time.Since(req.at))
		return 0, false
	case errors.As(err, &rejection):
		f.clients.put(gatewayIndex, conn)
		f.recorder.recordRejected(req, rejection.Retryable(), resent)
		if rejection.Retryable() {
			return max(rejection.RetryAfter, 20*time.Millisecond), true
		}
		return 50 * time.Millisecond, !class.nonIdempotent
	}
	conn.Close()
	f.clients.avoid(gatewayIndex)
	f.checkLost(lostAttempt{id: id, class: class.name, gateway: g, began: began, took: took, left: left, newConnection: newConnection, err: err})
	return 10 * time.Millisecond, !class.nonIdempotent
}
