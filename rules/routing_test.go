package rules

import "testing"

// Of two random engines the less busy one gets the query.
func TestLessBusyOfTwo(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	a := chk.submit(0, func(r *Request) { r.EstimatedWork = Second })
	for range 4 {
		b := chk.submit(0, func(r *Request) { r.EstimatedWork = 10 * Millisecond })
		if chk.requests[a].attempts[0].engine.ID == chk.requests[b].attempts[0].engine.ID {
			t.Fatal("the busier of two engines was picked")
		}
	}
}
