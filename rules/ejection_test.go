package rules

import "testing"

// An engine that fails fast looks idle and would attract load. It is ejected, and the others get its load.
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

// If all engines fail, there is a common cause: ejection is suspended, and the load stays spread over them.
func TestCommonFaultEjectsNoEngine(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 4)
	attempts := map[EngineID]int{}
	for range 200 {
		chk.submit(0, nil)
		for pending := chk.pending(); len(pending) > 0; pending = chk.pending() {
			attempts[pending[0].Engine]++
			chk.resolve(pending[0], StatusError)
		}
	}
	for id := EngineID(1); id <= 4; id++ {
		if attempts[id] < 20 {
			t.Fatalf("engine %d got only %d attempts while all engines fail: %v", id, attempts[id], attempts)
		}
	}
}

// Engines behind a network partition return no error. An attempt on them that was cancelled as overdue counts
// as a failure.
func TestUnresponsiveEnginesGetProbesOnly(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 4)
	cancelled := map[RequestID]bool{}
	chk.observe = func(a Action) {
		if c, ok := a.(Cancel); ok {
			cancelled[c.ID] = true
		}
	}
	unresponsiveAttempts := 0
	for range 300 {
		chk.submit(0, nil)
		for _, o := range chk.pending() {
			switch {
			case o.Engine > 2:
				o.Latency = 100 * Millisecond
				chk.resolve(o, StatusOK)
			case cancelled[o.ID]:
				unresponsiveAttempts++
				chk.resolve(o, StatusCancelled)
			}
		}
		chk.advance(50 * Millisecond)
	}
	chk.verifyProbesOnly("the unresponsive half of the engines", unresponsiveAttempts, 300)
}

// verifyProbesOnly fails the test unless the failing engines got only a few attempts, as half-open probes do,
// while that many requests were sent.
func (chk *checker) verifyProbesOnly(subject string, attempts, requests int) {
	chk.t.Helper()
	if attempts == 0 || attempts > 20 {
		chk.t.Fatalf("%s got %d attempts of %d requests, want 1 to 20", subject, attempts, requests)
	}
	chk.verify(subject)
}

// ejected reports whether the module has ejected an engine.
func (chk *checker) ejected(id EngineID) bool { return chk.module.ejected(chk.module.engineByID[id]) }

// An ejected engine that answers health checks is readmitted without a half-open probe.
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
		t.Error("a failed health check ended the ejection")
	}
	for range 2 {
		chk.handle(ProbeResult{Engine: 1, Status: StatusOK})
	}
	if chk.ejected(1) {
		t.Error("two successful health checks did not end the ejection")
	}
}

// A malformed response that any engine would give does not eject the engine, while a fault of its own does.
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
			t.Errorf("malformed %v: %d of 3 engines are ejected", malformed, ejected)
		}
	}
}

// Engines that reject one class and run the others well are ejected for that class only, with a growing
// backoff, and their rejections do not cut the share. If nearly all engines reject the class, none is
// ejected.
func TestRejectingEnginesAreEjectedForTheClass(t *testing.T) {
	heavy := interactive
	heavy.LatencyObjective, heavy.ClientTimeout = 2*Second, 10*Second
	for _, rejecting := range []int{2, 4} {
		chk := startModule(t, basicSettings(interactive, heavy), 4)
		chk.setFleetFraction(1.5)
		rejected, shortSent := 0, 0
		for range 300 {
			chk.submit(0, nil)
			chk.submit(1, nil)
			for pending := chk.pending(); len(pending) > 0; pending = chk.pending() {
				o := pending[0]
				o.Latency = 90 * Millisecond
				rejects := int(o.Engine) <= rejecting
				switch heavy := chk.requests[o.ID].Class == 1; {
				case rejects && heavy:
					rejected++
					chk.resolve(o, StatusRejected)
				case rejects:
					shortSent++
					chk.resolve(o, StatusOK)
				default:
					chk.resolve(o, StatusOK)
				}
			}
			chk.advance(10 * Millisecond)
		}
		if chk.fleetFraction() < 1.4 {
			t.Errorf("rejections by %d engines that are not slow cut the share to %.2f",
				rejecting, chk.fleetFraction())
		}
		if rejecting == 2 && (rejected == 0 || rejected > 20 || shortSent < 60) {
			t.Errorf("the rejecting engines got %d queries of the class that they reject, and %d others",
				rejected, shortSent)
		}
		if rejecting == 4 && rejected < 300 {
			t.Errorf("all engines reject the class, and only %d attempts were made", rejected)
		}
		chk.verify("engines that reject a class")
	}
}

// A failed health check counts as a failure only if other gateways suspect the engine too.
func TestFailedProbeCountsOnlyForSuspectedEngine(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	for range 4 {
		chk.handle(ProbeResult{Engine: 1, Status: StatusTimeout})
	}
	if chk.ejected(1) {
		t.Fatal("an engine that no other gateway suspects was ejected for failed health checks")
	}
	chk.handle(ProbeResult{Engine: 1, Status: StatusTimeout, Suspected: true})
	chk.handle(ProbeResult{Engine: 1, Status: StatusTimeout, Suspected: true})
	if !chk.ejected(1) {
		t.Error("a suspected engine was not ejected after two failed health checks")
	}
	chk.handle(ProbeResult{Engine: 1, Status: StatusOK, Suspected: true})
	if chk.ejected(1) {
		t.Error("a successful health check did not end the ejection")
	}
}

// A request is not sent to an engine on which it would be late while another engine is fast enough.
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
		t.Fatalf("an engine with 15 times the usual run time got %d of 200 requests, want 1 to 30", slow)
	}
}

// A request that would be late on a slow engine waits for a fast one, even if the slow one has capacity.
func TestRequestWaitsForEngineThatIsInTime(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	chk.module.engineByID[1].slowdowns[0].log = 3
	for range 20 {
		for range 3 {
			chk.submit(0, nil)
		}
		slowAttempts := 0
		for _, o := range chk.pending() {
			if o.Engine == 1 {
				slowAttempts++
			}
		}
		if slowAttempts > 1 {
			t.Fatalf("%d requests were sent to an engine with twenty times the usual run time", slowAttempts)
		}
		for _, o := range chk.pending() {
			if o.Engine == 2 {
				chk.resolve(o, StatusOK)
			}
		}
	}
}
