package rules

import "testing"

// Narrow queries, which fit as soon as one thread becomes free, must not starve queries with many threads.
func TestWideQueriesAreNotStarved(t *testing.T) {
	wide := interactive
	wide.Threads, wide.LatencyObjective, wide.ClientTimeout = 4, 10*Second, 20*Second
	settings := basicSettings(interactive, wide)
	settings.Kinds = []EngineKind{{Cores: 4, MemoryMB: 16384}}
	chk := startModule(t, settings, 2)
	sent := 0
	for range 200 {
		chk.submit(0, func(r *Request) { r.Deadline = chk.now + 20*Second })
		chk.submit(0, func(r *Request) { r.Deadline = chk.now + 20*Second })
		id := chk.submit(1, func(r *Request) { r.Deadline = chk.now + 20*Second })
		for range 3 {
			chk.resolve(chk.pending()[0], StatusOK)
		}
		sent += chk.attemptCount(id)
	}
	if sent < 20 {
		t.Fatalf("%d of 200 wide queries were sent, want at least 20", sent)
	}
	chk = startModule(t, settings, 1) // bound of six threads: four are in use, and half of the next four fit
	chk.submit(1, nil)
	if id := chk.submit(1, nil); chk.attemptCount(id) != 1 {
		t.Fatal("a wide query was queued though half of its threads fit")
	}
}

// Memory grants stay within this gateway's share of an engine, but one query is always allowed there.
func TestMemoryBound(t *testing.T) {
	settings := basicSettings(interactive)
	chk := startModule(t, settings, 1)
	needs6000MB := func(r *Request) { r.EstimatedMemoryMB = 6000 }
	if id := chk.submit(0, needs6000MB); chk.attemptCount(id) != 1 {
		t.Fatal("the first query was queued")
	}
	chk.submit(0, needs6000MB)
	if id := chk.submit(0, needs6000MB); chk.attemptCount(id) != 0 {
		t.Fatal("three queries with a grant of 6000 MB each were sent to an engine with 16384 MB")
	}
	for len(chk.pending()) > 0 {
		chk.resolve(chk.pending()[0], StatusOK)
	}
	if chk.sendCount != 3 {
		t.Fatal("the queued query was not sent when memory became free")
	}
}

// One query is always allowed on an idle engine. If each of hundreds of gateways sent one to every engine,
// the fleet would be overloaded many times, so the load of a gateway is also bounded by its share of the
// fleet.
func TestFleetBoundHoldsWhenAllEnginesAreIdle(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Gateways = 100
	chk := startModule(t, settings, 40) // its share: 3.2 cores with 1.5 threads each
	for range 60 {
		chk.submit(0, nil)
	}
	if n := len(chk.pending()); n < 4 || n > 12 {
		t.Fatalf("one of a hundred gateways has %d queries in flight, want about 5 plus a margin", n)
	}
}

// A gateway whose share of the fleet is too small for any query still sends one query.
func TestSmallestShareStillSends(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Gateways = 100000
	chk := startModule(t, settings, 2)
	chk.submit(0, nil)
	chk.submit(0, nil)
	if n := len(chk.pending()); n != 1 {
		t.Fatalf("%d queries are in flight, want 1", n)
	}
}

// A request with a high priority does not wait in the gateway for requests that it would overtake on the
// engines.
func TestHighPriorityCompetesWithHighPriorityOnly(t *testing.T) {
	heavy := interactive
	heavy.LatencyObjective, heavy.Threads, heavy.PriorityWeight = 5*Second, 4, 2
	settings := basicSettings(interactive, heavy)
	settings.AcceptsPriority, settings.Gateways = true, 100
	chk := startModule(t, settings, 4)
	chk.work[1] = float64(4 * Second)
	chk.submit(0, nil)
	chk.resolve(chk.pending()[0], StatusOK)
	for range 40 {
		chk.submit(1, nil)
	}
	if chk.module.queuedCount == 0 {
		t.Fatal("the heavy queries do not use up the gateway's share of the fleet")
	}
	if id := chk.submit(0, nil); chk.attemptCount(id) != 1 {
		t.Fatal("a short query with a high priority was queued behind heavy ones")
	}
}

// While slow attempts have cut the share, a late request gets hardly any of the margin for bursts, and waits.
func TestLateRequestWaitsWhileShareIsReduced(t *testing.T) {
	heavy := interactive
	heavy.Threads, heavy.LateValue = 2, 0.4
	settings := basicSettings(heavy)
	settings.Gateways = 50
	for _, late := range []bool{false, true} {
		chk := startModule(t, settings, 10)
		chk.work[0] = float64(Second)
		chk.setFleetFraction(0.5 / 50)
		sent := 0
		for range 3 {
			id := chk.submit(0, func(r *Request) {
				if r.Deadline = chk.now + 20*Second; late {
					r.QueuedFor = 5 * Second
				}
			})
			sent += chk.attemptCount(id)
		}
		if late && sent != 1 || !late && sent < 2 {
			t.Errorf("late %v: %d of 3 requests were sent", late, sent)
		}
	}
}
