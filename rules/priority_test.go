package rules

import "testing"

// The class with the most priority weight per work gets the high priority, if engines respect priorities.
func TestPriorityFollowsWeightOverWork(t *testing.T) {
	heavy := interactive
	heavy.PriorityWeight = 5
	settings := basicSettings(interactive, heavy)
	settings.AcceptsPriority = true
	chk := startModule(t, settings, 4)
	chk.work[1] = float64(Second)
	priorities := map[int]int{}
	chk.observe = func(a Action) {
		if options, ok := a.(SetAttemptOptions); ok {
			priorities[chk.requests[options.ID].Class] = options.Priority
		}
	}
	for range 3 {
		chk.submit(1, nil)
		chk.submit(0, nil)
	}
	if priorities[0] != 3 || priorities[1] != 1 {
		t.Fatalf("priorities by class: %v, want 3 for the light one and 1 for the heavy one", priorities)
	}
}

// A class with a high priority and a large part of the work is subject to the same bounds as all classes.
// Otherwise it would overload an engine by itself: in one simulated site, 17 of its queries did that to a
// warming engine.
func TestHeavyHighPriorityIsBounded(t *testing.T) {
	low, high := interactive, interactive
	low.LatencyObjective, low.Threads = 5*Second, 4
	high.LatencyObjective, high.Threads, high.PriorityWeight = 5*Second, 4, 1000
	settings := basicSettings(low, high)
	settings.AcceptsPriority = true
	chk := startModule(t, settings, 1)
	chk.work[0], chk.work[1] = float64(2*Second), float64(2*Second)
	for range 8 { // the work of both classes is known, and each is half of all work
		for class := range 2 {
			chk.submit(class, nil)
			chk.resolve(chk.pending()[0], StatusOK)
		}
	}
	before := chk.sendCount
	for range 6 {
		chk.submit(0, nil)
	}
	sent := chk.sendCount
	if sent == before || sent == before+6 {
		t.Fatalf("%d of 6 queries of low priority were sent, want some, but not all",
			sent-before)
	}
	for range 3 {
		chk.submit(1, nil)
	}
	if chk.sendCount != sent {
		t.Errorf("%d heavy queries with a high priority were sent to an engine that is at its bound",
			chk.sendCount-sent)
	}
}
