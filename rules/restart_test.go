package rules

import "testing"

// restartEngine sends an endpoint list in which engine 1 has a new process of that age.
func restartEngine(chk *checker, age Time) {
	fleet := fleetOf(len(chk.engines))
	fleet[0].StartedAt = chk.now - age
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: fleet})
}

// The process of an engine dies silently, and the endpoint list names its successor before the attempts on
// the old process time out. Their outcomes say nothing about the new process, which used to be ejected for
// up to 4 s, or to count as slow, because of them.
func TestOutcomesOfAFormerProcessDoNotCount(t *testing.T) {
	for _, status := range []Status{
		StatusTimeout, StatusReset, StatusError, StatusRejected, StatusConnectFailed,
	} {
		settings := basicSettings(interactive)
		settings.Limits.HedgedRequests = true
		chk := startModule(t, settings, 1)
		for range 5 {
			chk.submit(0, nil)
		}
		formerAttempts := chk.pending()
		if len(formerAttempts) < 3 {
			t.Fatalf("only %d attempts are in flight, want at least 3", len(formerAttempts))
		}
		chk.advance(400 * Millisecond)
		restartEngine(chk, 200*Millisecond)
		for _, o := range formerAttempts {
			o.Latency = 400 * Millisecond
			chk.resolve(o, status)
		}
		eng := chk.module.engineByID[1]
		if chk.module.ejectedFor(chk.module.classes[0], eng) || eng.failureRate > 0 {
			t.Errorf("status %d: the new process is ejected, failure rate %.2f", status, eng.failureRate)
		}
		if eng.slowdowns != [2]logSlowdown{} {
			t.Errorf("status %d: the new process counts as slow: %+v", status, eng.slowdowns)
		}
	}
}

// Outcomes of attempts that start after the endpoint list has named the new process count for it.
func TestOutcomesOfTheNewProcessCount(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 1)
	chk.advance(3 * Second)
	restartEngine(chk, 200*Millisecond)
	for range 3 {
		chk.submit(0, nil)
		chk.resolveAll(StatusError)
	}
	if !chk.module.ejected(chk.module.engineByID[1]) {
		t.Error("a new process that failed three times in a row is not ejected")
	}
}

// The backoff of a class that a process rejected ends with the process: the engine may have been restarted
// for that very reason.
func TestRejectionBackoffEndsOnRestart(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	eng := chk.module.engineByID[1]
	for range 10 {
		chk.submit(0, nil)
		for _, o := range chk.pending() {
			if o.Engine == 1 {
				chk.resolve(o, StatusRejected)
			} else {
				chk.resolve(o, StatusOK)
			}
		}
	}
	if !chk.module.ejectedFor(chk.module.classes[0], eng) {
		t.Fatal("the class is not in backoff, so the test checks nothing")
	}
	restartEngine(chk, 10*Millisecond)
	if chk.module.ejectedFor(chk.module.classes[0], eng) {
		t.Error("the class is in backoff from a new process, which has rejected nothing")
	}
}

// Work that peers reported to have sent to a warming process does not count against the slow-start budget of
// the next process. When peers no longer reported, as after the members block was removed from the settings,
// the new process got no requests for its whole warm-up.
func TestPeerSlowStartUsageEndsOnRestart(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 1)
	chk.advance(3 * Second)
	restartEngine(chk, 0)
	chk.handle(PeerSlowStartUsage{Engine: 1, Work: 1e12})
	if id := chk.submit(0, nil); chk.attemptCount(id) != 0 {
		t.Fatal("a request was sent to an engine whose budget peers have used up, so the test checks nothing")
	}
	chk.advance(20 * Second)
	restartEngine(chk, 0)
	chk.advance(100 * Millisecond)
	if id := chk.submit(0, nil); chk.attemptCount(id) != 1 {
		t.Error("a new process got no request because of work that peers sent to the one before")
	}
}
