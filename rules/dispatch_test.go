package rules

import "testing"

// A class of a high priority weight takes no more than its part of the time: short queries are not starved.
func TestShortClassIsNotStarvedByPriorityWeight(t *testing.T) {
	heavy := interactive
	heavy.PriorityWeight, heavy.Threads, heavy.ClientTimeout = 200, 4, 20*Second
	s := basicSettings(interactive, heavy)
	s.Kinds = []EngineKind{{Cores: 4, MemoryMB: 16384}}
	chk := startModule(t, s, 1)
	chk.work[1] = float64(4 * Second)
	chk.submit(0, nil)
	chk.resolve(chk.pending()[0], StatusOK)
	for range 40 {
		chk.submit(1, func(r *Request) { r.Deadline = chk.now + 20*Second })
		chk.submit(0, nil)
	}
	short := 0
	for range 30 {
		chk.resolve(chk.pending()[0], StatusOK)
	}
	for _, r := range chk.requests {
		if r.Class == 0 && len(r.attempts) > 0 {
			short++
		}
	}
	if short < 25 {
		t.Fatalf("%d of 40 short queries sent among the first 30 slots", short)
	}
}

// Within a class light queries go before heavy ones, with odds of one over the predicted time.
func TestDrawFollowsInverseTime(t *testing.T) {
	light := 0
	for seed := range uint64(400) {
		s := basicSettings(interactive)
		s.Kinds = []EngineKind{{Cores: 0.5, MemoryMB: 16384}}
		chk := newChecker(t, s, seed, 1000*Second)
		chk.work[0] = float64(100 * Millisecond)
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleetOf(1)})
		chk.module.share = 1
		chk.submit(0, nil)
		first := chk.submit(0, func(r *Request) { r.EstimatedWork = 50 * Millisecond })
		chk.submit(0, func(r *Request) { r.EstimatedWork = 150 * Millisecond })
		chk.resolve(chk.pending()[0], StatusOK)
		light += chk.attempts(first)
	}
	if light < 260 || light > 340 { // three quarters of 400, and four deviations
		t.Fatalf("the light query was drawn first %d times of 400, want about 300", light)
	}
}

// A request that can't be sent, here a retry without budget, does not block its class.
func TestBlockedRequestsDoNotBlockTheirClass(t *testing.T) {
	s := basicSettings(interactive)
	s.Constraints.RetryBudgetEnabled, s.Constraints.RetryBudgetWindow = true, 10*Second
	chk := startModule(t, s, 2)
	retry := chk.submit(0, func(r *Request) { r.EstimatedWork = 10 * Millisecond })
	chk.resolve(chk.pending()[0], StatusConnectFailed)
	if chk.attempts(retry) != 1 || chk.requests[retry].ended {
		t.Fatal("the retry does not wait for the retry budget")
	}
	for range 100 {
		chk.submit(0, nil)
		chk.resolveAll(StatusOK)
		chk.advance(5 * Millisecond)
	}
	if chk.sendCount < 85 {
		t.Fatalf("%d of 100 requests sent beside one that waits for the retry budget", chk.sendCount-1)
	}
}
