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
			r.checkRetryBudget(&clientAttempt{gateway: g}, time.Now())
		}
		if n := r.ViolationCounts[RetryBudgetExceeded]; n != c.violations {
			t.Errorf("%d rogue queries at engines: %d violations, want %d", c.reached, n, c.violations)
		}
	}
}
