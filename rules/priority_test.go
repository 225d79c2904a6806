package rules

import "testing"

// The class that earns the most for its work gets the high priority where engines heed priorities.
func TestPriorityFollowsWeightOverWork(t *testing.T) {
	heavy := interactive
	heavy.PriorityWeight = 5
	s := basicSettings(interactive, heavy)
	s.AcceptsPriority = true
	chk := startModule(t, s, 4)
	chk.work[1] = float64(Second)
	got := map[int]int{}
	chk.observe = func(a Action) {
		if a, ok := a.(SetAttemptOptions); ok {
			got[chk.requests[a.ID].Class] = a.Priority
		}
	}
	for range 3 {
		chk.submit(1, nil)
		chk.submit(0, nil)
	}
	if got[0] != 3 || got[1] != 1 {
		t.Fatalf("priorities by class: %v", got)
	}
}

// A class of high priority that is much of the work is held by the same bounds as all: it would crowd an
// engine by itself, as 17 of its queries did to a warming engine in one simulated site.
func TestHeavyHighPriorityIsBounded(t *testing.T) {
	low, high := interactive, interactive
	low.LatencyObjective, low.Threads = 5*Second, 4
	high.LatencyObjective, high.Threads, high.PriorityWeight = 5*Second, 4, 1000
	s := basicSettings(low, high)
	s.AcceptsPriority = true
	chk := startModule(t, s, 1)
	chk.work[0], chk.work[1] = float64(2*Second), float64(2*Second)
	for range 8 { // both are known, and as much of the work
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
		t.Fatalf("%d of 6 of the low class went out: they do not fill the engine", sent-before)
	}
	for range 3 {
		chk.submit(1, nil)
	}
	if chk.sendCount != sent {
		t.Errorf("%d heavy queries of a high priority went to an engine that its bound says is full", chk.sendCount-sent)
	}
}
