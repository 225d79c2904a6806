package rules

import "testing"

// An engine that fails fast looks idle. It is ejected, and the others get the load.
func TestFailingEngineGetsProbesOnly(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 4)
	failed := 0
	for range 300 {
		chk.submit(0, nil)
		for len(chk.pending()) > 0 {
			o := chk.pending()[0]
			if o.Engine == 1 {
				failed++
				chk.resolve(o, StatusError)
			} else {
				chk.resolve(o, StatusOK)
			}
		}
		chk.advance(10 * Millisecond)
	}
	chk.verifyProbesOnly("the failing engine", failed, 300)
}

// Where all engines fail the cause is shared: ejection is suspended, and the load stays spread.
func TestSharedFaultKeepsAllEngines(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 4)
	got := map[EngineID]int{}
	for range 200 {
		chk.submit(0, nil)
		for p := chk.pending(); len(p) > 0; p = chk.pending() {
			got[p[0].Engine]++
			chk.resolve(p[0], StatusError)
		}
	}
	for id := EngineID(1); id <= 4; id++ {
		if got[id] < 20 {
			t.Fatalf("engine %d got %d attempts while all fail alike: %v", id, got[id], got)
		}
	}
}

// Engines behind a partition give no error: an attempt that was cancelled as overdue there counts as a
// failure.
func TestSilentEnginesGetProbesOnly(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 4)
	cancelled := map[RequestID]bool{}
	chk.observe = func(a Action) {
		if c, ok := a.(Cancel); ok {
			cancelled[c.ID] = true
		}
	}
	silent := 0
	for range 300 {
		chk.submit(0, nil)
		for _, o := range chk.pending() {
			switch {
			case o.Engine > 2:
				o.Latency = 100 * Millisecond
				chk.resolve(o, StatusOK)
			case cancelled[o.ID]:
				silent++
				chk.resolve(o, StatusCancelled)
			}
		}
		chk.advance(50 * Millisecond)
	}
	chk.verifyProbesOnly("the silent half of the engines", silent, 300)
}

// verifyProbesOnly fails the test unless what fails got a few attempts, as half-open probes are, of so many.
func (chk *checker) verifyProbesOnly(what string, attempts, requests int) {
	chk.t.Helper()
	if attempts == 0 || attempts > 20 {
		chk.t.Fatalf("%s got %d of %d requests", what, attempts, requests)
	}
	chk.verify(what)
}

// ejected reports whether the module has ejected an engine.
func (chk *checker) ejected(id EngineID) bool { return chk.module.ejected(chk.module.engineByID[id]) }

// An ejected engine that answers health checks is used again, without a half-open probe.
func TestProbeEndsAnEjection(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	for range 6 {
		chk.module.recordFailure(chk.module.engineByID[1])
	}
	if !chk.ejected(1) {
		t.Fatal("an engine that failed six times in a row is not ejected")
	}
	chk.handle(ProbeResult{Engine: 1, Status: StatusTimeout})
	if !chk.ejected(1) {
		t.Error("a probe without an answer ended the ejection")
	}
	for range 2 {
		chk.handle(ProbeResult{Engine: 1, Status: StatusOK})
	}
	if chk.ejected(1) {
		t.Error("two good probes did not end the ejection")
	}
}

// Malformed responses come from any engine alike and must not eject one, while errors of its own do.
func TestMalformedResponsesEjectNoEngine(t *testing.T) {
	for _, malformed := range []bool{true, false} {
		chk := startModule(t, basicSettings(interactive), 3)
		for range 12 {
			chk.submit(0, nil)
			for _, o := range chk.pending() {
				o.NotEngineFault = malformed
				chk.resolve(o, StatusReset)
			}
		}
		ejected := 0
		for _, eng := range chk.module.engines {
			if chk.module.ejected(eng) {
				ejected++
			}
		}
		if malformed != (ejected == 0) {
			t.Errorf("malformed %v: %d engines of 3 are ejected", malformed, ejected)
		}
	}
}

// Engines that reject one class while they run others well are ejected for that class only, with a growing
// backoff, and do not cut the share; where nearly all reject it, none is ejected.
func TestRejectingEnginesAreEjectedForTheClass(t *testing.T) {
	heavy := interactive
	heavy.LatencyObjective, heavy.ClientTimeout = 2*Second, 10*Second
	for _, rejecting := range []int{2, 4} {
		chk := startModule(t, basicSettings(interactive, heavy), 4)
		chk.setShare(1.5)
		rejected, short := 0, 0
		for range 300 {
			chk.submit(0, nil)
			chk.submit(1, nil)
			for p := chk.pending(); len(p) > 0; p = chk.pending() {
				o := p[0]
				o.Latency = 90 * Millisecond
				rejects := int(o.Engine) <= rejecting
				switch heavy := chk.requests[o.ID].Class == 1; {
				case rejects && heavy:
					rejected++
					chk.resolve(o, StatusRejected)
				case rejects:
					short++
					chk.resolve(o, StatusOK)
				default:
					chk.resolve(o, StatusOK)
				}
			}
			chk.advance(10 * Millisecond)
		}
		if chk.fleetFraction() < 1.4 {
			t.Errorf("%d engines that are not slow reject a class, and the share fell to %.2f", rejecting, chk.fleetFraction())
		}
		if rejecting == 2 && (rejected == 0 || rejected > 20 || short < 60) {
			t.Errorf("they got %d queries of the class that they reject, and %d others", rejected, short)
		}
		if rejecting == 4 && rejected < 300 {
			t.Errorf("all reject the class, and only %d attempts were made", rejected)
		}
		chk.verify("rejected")
	}
}

// A failed health check counts as a failure where other gateways suspect the engine, and not otherwise.
func TestSuspectedProbe(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	for range 4 {
		chk.handle(ProbeResult{Engine: 1, Status: StatusTimeout})
	}
	if chk.ejected(1) {
		t.Fatal("an engine is ejected for probes while nobody suspected it")
	}
	chk.handle(ProbeResult{Engine: 1, Status: StatusTimeout, Suspected: true})
	chk.handle(ProbeResult{Engine: 1, Status: StatusTimeout, Suspected: true})
	if !chk.ejected(1) {
		t.Error("a suspected engine that answered neither of two probes is not ejected")
	}
	chk.handle(ProbeResult{Engine: 1, Status: StatusOK, Suspected: true})
	if chk.ejected(1) {
		t.Error("and is not used again once it answers one")
	}
}

// A request does not go where it would be late while another engine is fast enough.
func TestSlowEngineIsAvoided(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 3)
	slow := 0
	for range 200 {
		chk.submit(0, nil)
		o := chk.pending()[0]
		if o.Latency = 90 * Millisecond; o.Engine == 2 {
			o.Latency = 1500 * Millisecond
			slow++
		}
		chk.resolve(o, StatusOK)
		chk.advance(20 * Millisecond)
	}
	if slow == 0 || slow > 30 {
		t.Fatalf("the engine at 15 times its run time got %d of 200 requests", slow)
	}
}

// A request that would be late on a slow engine waits for a fast one, though the slow one has capacity.
func TestWaitsForAnEngineInTime(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	chk.module.engineByID[1].slowdowns[0].log = 3
	for range 20 {
		for range 3 {
			chk.submit(0, nil)
		}
		n := 0
		for _, o := range chk.pending() {
			if o.Engine == 1 {
				n++
			}
		}
		if n > 1 {
			t.Fatalf("%d requests on an engine at twenty times their run time", n)
		}
		for _, o := range chk.pending() {
			if o.Engine == 2 {
				chk.resolve(o, StatusOK)
			}
		}
	}
}
