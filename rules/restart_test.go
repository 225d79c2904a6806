package rules

import "testing"

// restartEngine has the list say that the process of engine 1 is a new one, which started a while ago.
func restartEngine(chk *checker, ago Time) {
	fleet := fleetOf(len(chk.engines))
	fleet[0].StartedAt = chk.now - ago
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: fleet})
}

// An engine's process dies without a word and another takes its place. The list says so before the attempts at the first one
// time out: these tell nothing of the second one, which was ejected for them for up to 4 s, or taken to be slow.
func TestOutcomesOfAFormerProcessDoNotCount(t *testing.T) {
	for _, status := range []Status{StatusTimeout, StatusReset, StatusError, StatusRejected, StatusConnectFailed} {
		s := basicSettings(interactive)
		s.Limits.HedgedRequests = true
		chk := startModule(t, s, 1)
		for range 5 {
			chk.submit(0, nil)
		}
		former := chk.pending()
		if len(former) < 3 {
			t.Fatalf("only %d attempts are in flight", len(former))
		}
		chk.advance(400 * Millisecond)
		restartEngine(chk, 200*Millisecond)
		for _, o := range former {
			o.Latency = 400 * Millisecond
			chk.resolve(o, status)
		}
		eng := chk.module.engineByID[1]
		if chk.module.ejectedFor(chk.module.classes[0], eng) || eng.failureRate > 0 {
			t.Errorf("status %d: the new process is ejected, failure rate %.2f", status, eng.failureRate)
		}
		if eng.slowdowns != [2]logSlowdown{} {
			t.Errorf("status %d: the new process is taken to be slow: %+v", status, eng.slowdowns)
		}
	}
}

// Outcomes of the new process count from its first attempt after the notification on.
func TestOutcomesOfTheNewProcessCount(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 1)
	chk.advance(3 * Second)
	restartEngine(chk, 200*Millisecond)
	for range 3 {
		chk.submit(0, nil)
		chk.resolveAll(StatusError)
	}
	if !chk.module.ejected(chk.module.engineByID[1]) {
		t.Error("a process that fails again and again is not ejected")
	}
}

// A class that a process rejected is not kept from the next one: it may have been started anew for that very reason.
func TestRejectionsEndWithTheirProcess(t *testing.T) {
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
		t.Fatal("the class is not in backoff: the test has lost its subject")
	}
	restartEngine(chk, 10*Millisecond)
	if chk.module.ejectedFor(chk.module.classes[0], eng) {
		t.Error("the class is kept from a process that has rejected nothing")
	}
}

// What peers reported to have sent to a warming process is no part of the next one's budget. Where no peer reports any more, as
// after the members' block was taken away, the new process got nothing for all of its warm-up.
func TestPeersSpendEndsWithItsProcess(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 1)
	chk.advance(3 * Second)
	restartEngine(chk, 0)
	chk.handle(PeerSlowStartUsage{Engine: 1, Work: 1e12})
	if id := chk.submit(0, nil); chk.attempts(id) != 0 {
		t.Fatal("sent to an engine whose budget peers have used up: the test has lost its subject")
	}
	chk.advance(20 * Second)
	restartEngine(chk, 0)
	chk.advance(100 * Millisecond)
	if id := chk.submit(0, nil); chk.attempts(id) != 1 {
		t.Error("nothing is sent to a new process for what peers sent to the one before")
	}
}
