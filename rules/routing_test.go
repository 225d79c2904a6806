package rules

import "testing"

// The less busy of two random engines gets the query.
func TestLessBusyOfTwo(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	heavy := chk.submit(0, func(r *Request) { r.EstimatedWork = Second })
	for range 4 {
		light := chk.submit(0, func(r *Request) { r.EstimatedWork = 10 * Millisecond })
		if chk.requests[heavy].attempts[0].engine.ID == chk.requests[light].attempts[0].engine.ID {
			t.Fatal("the busier of two engines was chosen")
		}
	}
}
