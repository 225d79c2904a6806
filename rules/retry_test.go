package rules

import "testing"

// A retry is sent to an engine that has had no attempt of the request, so that a dead engine does not use up
// all attempts. If there is no such engine, it may be sent to one that has had an attempt.
func TestRetriesUseOtherEngines(t *testing.T) {
	for engineCount := 1; engineCount <= 3; engineCount++ {
		for range 20 {
			chk := startModule(t, basicSettings(interactive), engineCount)
			id := chk.submit(0, nil)
			for range 3 {
				if pending := chk.pending(); len(pending) > 0 {
					pending[0].NotEngineFault = true
					chk.resolve(pending[0], StatusReset)
				}
				chk.advance(Millisecond)
			}
			used := map[EngineID]bool{}
			for _, att := range chk.requests[id].attempts[:engineCount] {
				used[att.engine.ID] = true
			}
			if len(used) != engineCount || len(chk.requests[id].attempts) != 4 {
				t.Fatalf("%d engines: %d attempts, want 4; the first ones were on %v",
					engineCount, len(chk.requests[id].attempts), used)
			}
		}
	}
}

// A request with an idempotency key is retried only if the retry reaches its engine within the dedup window
// even after waiting for a connection. With a window shorter than that wait, there is no retry.
func TestKeyedRetryStaysWithinDedupWindow(t *testing.T) {
	for _, test := range []struct {
		window, resetAfter Time
		wantRetry          bool
	}{
		{900 * Millisecond, 600 * Millisecond, true}, {900 * Millisecond, 650 * Millisecond, false},
		{900 * Millisecond, 800 * Millisecond, false},
		{200 * Millisecond, 1 * Millisecond, false}, {0, 1 * Millisecond, false},
	} {
		keyed := interactive
		keyed.Idempotency, keyed.DedupWindow, keyed.LatencyObjective = IdempotentWithKey, test.window, 3*Second
		chk := startModule(t, basicSettings(keyed), 3)
		id := chk.submit(0, nil)
		chk.advance(test.resetAfter)
		chk.resolve(chk.pending()[0], StatusReset)
		if retried := chk.attemptCount(id) > 1; retried != test.wantRetry {
			t.Errorf("dedup window of %d ms, reset after %d ms: retried %v, want %v",
				test.window/Millisecond, test.resetAfter/Millisecond, retried, test.wantRetry)
		}
		chk.verify("requests with an idempotency key")
	}
}

// Requests that wait for the end of a key's quarantine must not each set a timer for it.
func TestQuarantinedKeySetsOneTimer(t *testing.T) {
	ordered := interactive
	ordered.Ordered = true
	settings := basicSettings(ordered)
	settings.Constraints.KeyQuarantine = Second
	chk := startModule(t, settings, 3)
	withKey := func(r *Request) { r.OrderKey = "key" }
	first := chk.submit(0, withKey)
	chk.handle(Outcome{ID: first, Engine: chk.requests[first].attempts[0].engine.ID, Status: StatusReset, RequestEnded: true})
	for range 50 {
		id := chk.submit(0, withKey)
		chk.handle(ClientGone{ID: id})
	}
	timers := 0
	for _, timer := range chk.timers {
		if timer.Token == timerKey+" key" {
			timers++
		}
	}
	if timers != 1 {
		t.Errorf("%d timers are set for the end of the quarantine of one key, want 1", timers)
	}
}
