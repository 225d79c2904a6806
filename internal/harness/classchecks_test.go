package harness

import (
	"fmt"
	"testing"
	"time"

	"foxlane/internal/standin"
)

// A gateway's retry budget grows with each query that it accepts, also with those of rogue clients. Seed 6 of the
// soak with 40 gateways reported a violation for 6 retries of hall-a/g14 with 17 accepted requests. The gateway's log
// shows 26 accepted queries in those 2 s, ten of them from a rogue client, and a budget of 3 + 0.16 for each allows 7
// retries. Queries that reached no engine do not count, as the gateway may not have read them.
func TestRogueQueriesCountTowardRetryBudget(t *testing.T) {
	for _, c := range []struct{ reached, violations int }{{10, 0}, {2, 0}, {1, 1}, {0, 1}} {
		f := &fleet{Script: Script{RetryBudget: 0.16, Zones: []Zone{{Name: "hall-a"}}}}
		r, g := newRecorder(f), &gateway{}
		for range 17 {
			r.startAttempt(&request{}, g, time.Second)
		}
		for i := range 10 {
			id := fmt.Sprintf("%s%014x", rogueIDPrefix, i)
			r.startRogueQuery(id, g)
			for range 2 { // a second attempt at the same query counts no second time
				if i < c.reached {
					r.recordEngineRequest(standin.Request{ID: id}, nil, time.Now())
				}
			}
		}
		for range 6 {
			r.checkRetryBudget(&clientAttempt{gateway: g}, time.Now(), 0)
		}
		if n := r.ViolationCounts[RetryBudgetExceeded]; n != c.violations {
			t.Errorf("%d rogue queries reached engines: %d violations, want %d", c.reached, n, c.violations)
		}
	}
}

// An attempt that arrives late over a link that was cut may have been sent long before. Seed 20 of the soak, with an
// engine silent for 2.4 s, reported a violation for 6 retries of hall-b/g2 with 27 accepted requests, while by its
// log the gateway sent five retries in any 2 s. Two first attempts that had waited in the silent link arrived after
// their retries, and were counted as retries at that time.
func TestDelayedRetriesDoNotExceedRetryBudget(t *testing.T) {
	for _, c := range []struct {
		delayed    int // how many of six retries came over a link that was cut
		violations int
	}{{0, 1}, {1, 0}, {2, 0}} {
		r, g := newRecorder(&fleet{Script: Script{RetryBudget: 0.1, Zones: []Zone{{Name: "hall-a"}}}}), &gateway{}
		for range 25 {
			r.startAttempt(&request{}, g, time.Second)
		}
		for i := range 6 {
			transit := time.Duration(0)
			if i < c.delayed {
				transit = cutSettleTime
			}
			r.checkRetryBudget(&clientAttempt{gateway: g}, time.Now(), transit)
		}
		if n := r.ViolationCounts[RetryBudgetExceeded]; n != c.violations {
			t.Errorf("%d of six retries came over a link that was cut: %d violations, want %d", c.delayed, n, c.violations)
		}
	}
}
