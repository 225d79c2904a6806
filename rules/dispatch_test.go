package rules

import "testing"

// A class with a high priority weight gets no more than its part of the engine time, so that it does not
// starve short queries.
func TestShortClassIsNotStarvedByPriorityWeight(t *testing.T) {
	heavy := interactive
	heavy.PriorityWeight, heavy.Threads, heavy.ClientTimeout = 200, 4, 20*Second
	settings := basicSettings(interactive, heavy)
	settings.Kinds = []EngineKind{{Cores: 4, MemoryMB: 16384}}
	chk := startModule(t, settings, 1)
	chk.work[1] = float64(4 * Second)
	chk.submit(0, nil)
	chk.resolve(chk.pending()[0], StatusOK)
	for range 40 {
		chk.submit(1, func(r *Request) { r.Deadline = chk.now + 20*Second })
		chk.submit(0, nil)
	}
	shortSent := 0
	for range 30 {
		chk.resolve(chk.pending()[0], StatusOK)
	}
	for _, req := range chk.requests {
		if req.Class == 0 && len(req.attempts) > 0 {
			shortSent++
		}
	}
	if shortSent < 25 {
		t.Fatalf("%d of 40 short queries were sent when 30 attempts had ended, want at least 25", shortSent)
	}
}

// Within a class, the odds that a query is sent next are inverse to its predicted work.
func TestDrawFollowsInverseWork(t *testing.T) {
	lightFirst := 0
	for seed := range uint64(400) {
		settings := basicSettings(interactive)
		settings.Kinds = []EngineKind{{Cores: 0.5, MemoryMB: 16384}}
		chk := newChecker(t, settings, seed, 1000*Second)
		chk.work[0] = float64(100 * Millisecond)
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleetOf(1)})
		chk.module.share = 1
		chk.submit(0, nil)
		light := chk.submit(0, func(r *Request) { r.EstimatedWork = 50 * Millisecond })
		chk.submit(0, func(r *Request) { r.EstimatedWork = 150 * Millisecond })
		chk.resolve(chk.pending()[0], StatusOK)
		lightFirst += chk.attemptCount(light)
	}
	if lightFirst < 260 || lightFirst > 340 { // three quarters, with a margin of over four standard deviations
		t.Fatalf("the light query was sent first in %d of 400 runs, want about 300", lightFirst)
	}
}

// A request that cannot be sent, here a retry that waits for the retry budget, does not block its class.
func TestBlockedRequestsDoNotBlockTheirClass(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Constraints.RetryBudgetEnabled, settings.Constraints.RetryBudgetWindow = true, 10*Second
	chk := startModule(t, settings, 2)
	retry := chk.submit(0, func(r *Request) { r.EstimatedWork = 10 * Millisecond })
	chk.resolve(chk.pending()[0], StatusConnectFailed)
	if chk.attemptCount(retry) != 1 || chk.requests[retry].ended {
		t.Fatal("the retry does not wait for the retry budget")
	}
	for range 100 {
		chk.submit(0, nil)
		chk.resolveAll(StatusOK)
		chk.advance(5 * Millisecond)
	}
	if chk.sendCount < 85 {
		t.Fatalf("%d of 100 requests were sent while one waits for the retry budget, want at least 84",
			chk.sendCount-1)
	}
}
