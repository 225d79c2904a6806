package rules

import "testing"

// A failed poll keeps the last endpoint list, and the list is asked for again where it has to be.
func TestFailedListKeepsTheLast(t *testing.T) {
	s := basicSettings(interactive)
	s.PullMembership = true
	chk := startModule(t, s, 1)
	asked := 0
	chk.observe = func(a Action) {
		if a, ok := a.(Subscribe); ok && a.On {
			asked++
		}
	}
	chk.handle(FleetUpdate{Mode: UpdateFailed})
	if id := chk.submit(0, nil); chk.attempts(id) != 1 {
		t.Fatal("a failed list lost the engines")
	}
	chk.advance(2 * Second)
	if asked == 0 {
		t.Fatal("the list was not asked for again")
	}
}
