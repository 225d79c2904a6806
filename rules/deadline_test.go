package rules

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// A request whose late response would earn nothing is rejected as soon as it is late, not at its deadline.
func TestRequestWithoutValueIsRejectedEarly(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 0)
	id := chk.submit(0, nil)
	chk.advance(800 * Millisecond)
	if !chk.requests[id].ended {
		t.Fatal("a request that can no longer earn anything is still open")
	}
	halfValueLate := interactive
	halfValueLate.LateValue = 0.5
	chk = startModule(t, basicSettings(halfValueLate), 0)
	id = chk.submit(0, nil)
	chk.advance(800 * Millisecond)
	if chk.requests[id].ended {
		t.Fatal("a request whose late response earns half its weight was ended")
	}
	chk.advance(2200 * Millisecond)
	chk.verify("early rejection")
}

// Without an estimate, the predicted work of a request is a guess, by which the request may count as late on
// arrival. It must not be rejected for that while engines are idle.
func TestRequestWithoutEstimateIsTriedOnIdleEngines(t *testing.T) {
	pointQuery := Class{LatencyObjective: 200 * Millisecond, ClientTimeout: 1500 * Millisecond,
		PriorityWeight: 1, Threads: 1}
	chk := startModule(t, basicSettings(pointQuery), 3)
	chk.work[0] = float64(5 * Millisecond)
	for i := range 20 {
		id := chk.submit(0, func(r *Request) { r.HasEstimate, r.EstimatedWork = false, 0 })
		chk.advance(10 * Millisecond)
		if chk.attemptCount(id) == 0 {
			t.Fatalf("request %d was not sent though all engines are idle", i)
		}
		chk.resolveAll(StatusOK)
	}
	chk.verify("requests without an estimate")
}

// A rejection carries as RetryAfter the time until the queued work should be done, but no more than the run
// time of its own query or MaxRetryAfter. It carries none during a shutdown or if the site does not allow it.
func TestRejectedClientsGetRetryAfter(t *testing.T) {
	for _, test := range []struct {
		retryAfterAllowed, shuttingDown bool
		maxRetryAfter                   Time
		wantRetryAfter                  bool
	}{{true, false, Second, true}, {true, false, 40 * Millisecond, true},
		{false, false, Second, false}, {true, true, Second, false}} {
		settings := basicSettings(interactive)
		settings.Limits.RetryAfter, settings.Limits.MaxRetryAfter, settings.Limits.MaxOpenRequests =
			test.retryAfterAllowed, test.maxRetryAfter, 60
		chk := startModule(t, settings, 1)
		if test.shuttingDown {
			chk.handle(ShutdownStarted{Deadline: chk.now + 10*Second})
		}
		rejected := 0
		for range 80 {
			req := Request{ID: RequestID(fmt.Sprintf("r%d", len(chk.module.requests)+1000*rejected)),
				Deadline: chk.now + 3*Second, EstimatedWork: 100 * Millisecond, HasEstimate: true}
			for _, a := range chk.handle(Arrival{Request: req}) {
				if reject, ok := a.(Reject); ok {
					rejected++
					if (reject.RetryAfter > 0) != test.wantRetryAfter ||
						reject.RetryAfter > test.maxRetryAfter || reject.RetryAfter > 100*Millisecond {
						t.Fatalf("%+v: rejected with a RetryAfter of %d us", test, reject.RetryAfter)
					}
				}
			}
		}
		if rejected == 0 {
			t.Fatalf("%+v: no request was rejected", test)
		}
	}
}

// The reviews of a request must not multiply while the estimates of its class change, as they do when engines become
// slow: each of them sets timers for when the attempt counts as slow and as overdue.
func TestReviewsDoNotMultiplyWhileEstimatesChange(t *testing.T) {
	const maxReviews = 8 // deadline, slow and overdue, and outdated ones of the times before
	patient := interactive
	patient.ClientTimeout = 12 * Second
	highest := 0
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 1))
		growth, noise := 4*rng.Float64(), 1.5*rng.Float64()
		chk := startModule(t, basicSettings(patient), 8)
		for step := range 800 {
			if chk.advance(5 * Millisecond); step%3 == 0 {
				chk.submit(0, func(r *Request) { r.Deadline = chk.now + patient.ClientTimeout })
			}
			for _, outcome := range chk.pending() {
				if rng.IntN(20) != 0 {
					continue
				}
				outcome.Status = pickStatus(rng)
				if outcome.Status == StatusOK {
					outcome.RequestEnded = true
					outcome.MeasuredWork = Time(float64(100*Millisecond) * math.Exp(min(growth*float64(step)/200, 5)+noise*rng.NormFloat64()))
				}
				chk.handle(outcome)
			}
			highest = max(highest, chk.mostTimersOfARequest())
		}
	}
	if highest > maxReviews {
		t.Errorf("%d timers of one request are set, want %d at most", highest, maxReviews)
	}
}

// pickStatus returns a random status; half of the outcomes are successful.
func pickStatus(rng *rand.Rand) Status {
	return []Status{StatusOK, StatusOK, StatusOK, StatusError, StatusReset, StatusConnectFailed}[rng.IntN(6)]
}

// mostTimersOfARequest returns the largest number of timers that are set for one open request.
func (chk *checker) mostTimersOfARequest() (most int) {
	byToken := map[string]int{}
	for _, timer := range chk.timers {
		if chk.module.AwaitsTimer(timer.Token) {
			byToken[timer.Token]++
			most = max(most, byToken[timer.Token])
		}
	}
	return most
}
