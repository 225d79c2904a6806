package rules

import (
	"fmt"
	"testing"
)

// A request that is late and would earn nothing is rejected at once, not kept until its deadline.
func TestWorthlessIsRejectedEarly(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 0)
	id := chk.submit(0, nil)
	chk.advance(800 * Millisecond)
	if !chk.requests[id].ended {
		t.Fatal("a request that can earn nothing any more is still open")
	}
	late := interactive
	late.LateValue = 0.5
	chk = startModule(t, basicSettings(late), 0)
	id = chk.submit(0, nil)
	chk.advance(800 * Millisecond)
	if chk.requests[id].ended {
		t.Fatal("a request that still earns half was ended")
	}
	chk.advance(2200 * Millisecond)
	chk.verify("early rejection")
}

// A request without an estimate, of a class that earns nothing late, is tried on idle engines before it is
// rejected by a prediction that rests on no measurement.
func TestNoEstimateIsTriedOnIdleEngines(t *testing.T) {
	point := Class{LatencyObjective: 200 * Millisecond, ClientTimeout: 1500 * Millisecond, PriorityWeight: 1, Threads: 1}
	chk := startModule(t, basicSettings(point), 3)
	chk.work[0] = float64(5 * Millisecond)
	for i := range 20 {
		id := chk.submit(0, func(r *Request) { r.HasEstimate, r.EstimatedWork = false, 0 })
		chk.advance(10 * Millisecond)
		if chk.attempts(id) == 0 {
			t.Fatalf("request %d is not sent though all engines are idle", i)
		}
		chk.resolveAll(StatusOK)
	}
	chk.verify("without an estimate")
}

// A rejected client is told to wait until what is queued should have run, within what the site allows and no
// longer than its query would run; where the site does not allow it, and during a shutdown, nothing.
func TestRejectedClientsGetRetryAfter(t *testing.T) {
	for _, c := range []struct {
		allowed, stopping bool
		most              Time
		want              bool
	}{{true, false, Second, true}, {true, false, 40 * Millisecond, true}, {false, false, Second, false}, {true, true, Second, false}} {
		s := basicSettings(interactive)
		s.Limits.RetryAfter, s.Limits.MaxRetryAfter, s.Limits.MaxOpenRequests = c.allowed, c.most, 60
		chk := startModule(t, s, 1)
		if c.stopping {
			chk.handle(ShutdownStarted{Deadline: chk.now + 10*Second})
		}
		rejected := 0
		for range 80 {
			r := Request{ID: RequestID(fmt.Sprintf("r%d", len(chk.module.requests)+1000*rejected)), Deadline: chk.now + 3*Second,
				EstimatedWork: 100 * Millisecond, HasEstimate: true}
			for _, a := range chk.handle(Arrival{Request: r}) {
				if a, ok := a.(Reject); ok {
					rejected++
					if (a.RetryAfter > 0) != c.want || a.RetryAfter > c.most || a.RetryAfter > 100*Millisecond {
						t.Fatalf("%+v: told to retry after %d us", c, a.RetryAfter)
					}
				}
			}
		}
		if rejected == 0 {
			t.Fatalf("%+v: nothing was rejected", c)
		}
	}
}
