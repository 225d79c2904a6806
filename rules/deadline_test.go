package rules

import (
	"fmt"
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
