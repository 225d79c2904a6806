package harness

import (
	"fmt"
	"testing"
	"time"

	"foxlane/internal/standin"
)

// A gateway's retry budget grows with each query that it takes, those of rogue clients included. Seed 6 of the soak with 40 gateways:
// "hall-a/g14 made 6 further attempts, with 17 requests taken"; its log shows 26 queries taken in those 2 s, ten of them of a rogue
// client, for which 3 and 0.16 for each allow 7. Queries that no engine got are not counted: the gateway may not have read them.
func TestRogueQueriesAddToTheRetryBudget(t *testing.T) {
	for _, c := range []struct{ reached, violations int }{{10, 0}, {2, 0}, {1, 1}, {0, 1}} {
		f := &fleet{Script: Script{RetryBudget: 0.16, Zones: []Zone{{Name: "hall-a"}}}}
		r, g := newRecorder(f), &gateway{}
		for range 17 {
			r.startAttempt(&request{}, g, time.Second)
		}
		for i := range 10 {
			id := fmt.Sprintf("%s%014x", rogueIDPrefix, i)
			r.startRogueQuery(id, g)
			for range 2 { // a second attempt of it is no second query
				if i < c.reached {
					r.recordEngineRequest(standin.Request{ID: id}, nil, time.Now())
				}
			}
		}
		for range 6 {
			r.checkRetryBudget(&clientAttempt{gateway: g}, time.Now(), 0)
		}
		if n := r.ViolationCounts[RetryBudgetExceeded]; n != c.violations {
			t.Errorf("%d rogue queries at engines: %d violations, want %d", c.reached, n, c.violations)
		}
	}
}

// What comes late over a link that was cut says little of when it was sent. Seed 20 of the soak, with an engine silent for 2.4 s: "hall-b/g2
// made 6 further attempts, with 27 requests taken"; by its log it sent five retries in any 2 s. Two first attempts that waited in the
// silent link came behind their retries, and were counted as further ones at that time.
func TestRetriesOverALinkThatWasCut(t *testing.T) {
	for _, c := range []struct {
		late       int // of six retries: those over a link that was cut
		violations int
	}{{0, 1}, {1, 0}, {2, 0}} {
		r, g := newRecorder(&fleet{Script: Script{RetryBudget: 0.1, Zones: []Zone{{Name: "hall-a"}}}}), &gateway{}
		for range 25 {
			r.startAttempt(&request{}, g, time.Second)
		}
		for i := range 6 {
			transit := time.Duration(0)
			if i < c.late {
				transit = cutSettleTime
			}
			r.checkRetryBudget(&clientAttempt{gateway: g}, time.Now(), transit)
		}
		if n := r.ViolationCounts[RetryBudgetExceeded]; n != c.violations {
			t.Errorf("%d of six retries over a link that was cut: %d violations, want %d", c.late, n, c.violations)
		}
	}
}
