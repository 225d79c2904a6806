package rules

import "testing"

// A wide query gets its turn though narrow ones take every thread that becomes free.
func TestWideQueriesAreNotStarved(t *testing.T) {
	wide := interactive
	wide.Threads, wide.LatencyObjective, wide.ClientTimeout = 4, 10*Second, 20*Second
	s := basicSettings(interactive, wide)
	s.Kinds = []EngineKind{{Cores: 4, MemoryMB: 16384}}
	chk := startModule(t, s, 2)
	sent := 0
	for range 200 {
		chk.submit(0, func(r *Request) { r.Deadline = chk.now + 20*Second })
		chk.submit(0, func(r *Request) { r.Deadline = chk.now + 20*Second })
		id := chk.submit(1, func(r *Request) { r.Deadline = chk.now + 20*Second })
		for range 3 {
			chk.resolve(chk.pending()[0], StatusOK)
		}
		sent += chk.attempts(id)
	}
	if sent < 20 {
		t.Fatalf("%d of 200 wide queries were sent", sent)
	}
	chk = startModule(t, s, 1) // six threads in all: four run, and half of the next four fit
	chk.submit(1, nil)
	if id := chk.submit(1, nil); chk.attempts(id) != 1 {
		t.Fatal("a wide query was queued though half of it fits")
	}
}

// Memory is granted only up to this gateway's part of an engine, but one query may always run there.
func TestMemoryGate(t *testing.T) {
	s := basicSettings(interactive)
	chk := startModule(t, s, 1)
	big := func(r *Request) { r.EstimatedMemoryMB = 6000 }
	if id := chk.submit(0, big); chk.attempts(id) != 1 {
		t.Fatal("the first query was queued")
	}
	chk.submit(0, big)
	if id := chk.submit(0, big); chk.attempts(id) != 0 {
		t.Fatal("three queries of two fifths of the memory each were sent to one engine")
	}
	for len(chk.pending()) > 0 {
		chk.resolve(chk.pending()[0], StatusOK)
	}
	if chk.sendCount != 3 {
		t.Fatal("the queued query was not sent when memory became free")
	}
}

// With hundreds of gateways one query on every engine from each would be many times what the engines run
// well: the load of a gateway over all engines stays near its part of the fleet.
func TestFleetBoundHoldsWhereEveryEngineIsFree(t *testing.T) {
	s := basicSettings(interactive)
	s.Gateways = 100
	chk := startModule(t, s, 40) // our part: 1.5 threads a core of 3.2 cores
	for range 60 {
		chk.submit(0, nil)
	}
	if n := len(chk.pending()); n < 4 || n > 12 {
		t.Fatalf("%d queries of one gateway of a hundred are out, want about 5 and a margin", n)
	}
}

// A gateway of very many, whose part of an engine is next to nothing, still sends one query.
func TestSmallestPartStillSends(t *testing.T) {
	s := basicSettings(interactive)
	s.Gateways = 100000
	chk := startModule(t, s, 2)
	chk.submit(0, nil)
	chk.submit(0, nil)
	if n := len(chk.pending()); n != 1 {
		t.Fatalf("%d queries are out, want one", n)
	}
}

// A request of high priority does not wait in the gateway behind what it would overtake at the engines.
func TestHighPriorityWaitsForItsLikeOnly(t *testing.T) {
	heavy := interactive
	heavy.LatencyObjective, heavy.Threads, heavy.PriorityWeight = 5*Second, 4, 2
	s := basicSettings(interactive, heavy)
	s.AcceptsPriority, s.Gateways = true, 100
	chk := startModule(t, s, 4)
	chk.work[1] = float64(4 * Second)
	chk.submit(0, nil)
	chk.resolve(chk.pending()[0], StatusOK)
	for range 40 {
		chk.submit(1, nil)
	}
	if chk.module.queuedCount == 0 {
		t.Fatal("the heavy queries do not fill the gateway's part of the fleet")
	}
	if id := chk.submit(0, nil); chk.attempts(id) != 1 {
		t.Fatal("a short query of a high priority was queued behind heavy ones")
	}
}

// A late request has no margin beyond the share: while the share is cut, it waits.
func TestLateWaitsWhileTheShareIsCut(t *testing.T) {
	heavy := interactive
	heavy.Threads, heavy.LateValue = 2, 0.4
	s := basicSettings(heavy)
	s.Gateways = 50
	for _, late := range []bool{false, true} {
		chk := startModule(t, s, 10)
		chk.work[0] = float64(Second)
		chk.setShare(0.5 / 50)
		sent := 0
		for range 3 {
			id := chk.submit(0, func(r *Request) {
				if r.Deadline = chk.now + 20*Second; late {
					r.QueuedFor = 5 * Second
				}
			})
			sent += chk.attempts(id)
		}
		if late && sent != 1 || !late && sent < 2 {
			t.Errorf("late %v: %d of 3 sent", late, sent)
		}
	}
}
