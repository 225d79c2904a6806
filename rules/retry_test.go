package rules

import "testing"

// A retry goes to an engine without an attempt of the request, so that one that has just died does not use up
// all attempts. Where there is no other, it may go there again.
func TestFurtherAttemptsGoElsewhere(t *testing.T) {
	for engines := 1; engines <= 3; engines++ {
		for range 20 {
			chk := startModule(t, basicSettings(interactive), engines)
			id := chk.submit(0, nil)
			for range 3 {
				if p := chk.pending(); len(p) > 0 {
					p[0].NotEngineFault = true
					chk.resolve(p[0], StatusReset)
				}
				chk.advance(Millisecond)
			}
			seen := map[EngineID]bool{}
			for _, a := range chk.requests[id].attempts[:engines] {
				seen[a.engine.ID] = true
			}
			if len(seen) != engines || len(chk.requests[id].attempts) != 4 {
				t.Fatalf("%d engines: %d attempts, the first on %v", engines, len(chk.requests[id].attempts), seen)
			}
		}
	}
}

// A retry with an idempotency key is sent only if it reaches its engine within the dedup window even if it
// has to wait for a connection; with a window shorter than that there is none.
func TestKeyedRetryStaysWithinDedupWindow(t *testing.T) {
	for _, c := range []struct {
		window, after Time
		again         bool
	}{
		{900 * Millisecond, 600 * Millisecond, true}, {900 * Millisecond, 650 * Millisecond, false}, {900 * Millisecond, 800 * Millisecond, false},
		{200 * Millisecond, 1 * Millisecond, false}, {0, 1 * Millisecond, false},
	} {
		keyed := interactive
		keyed.Idempotency, keyed.DedupWindow, keyed.LatencyObjective = IdempotentWithKey, c.window, 3*Second
		chk := startModule(t, basicSettings(keyed), 3)
		id := chk.submit(0, nil)
		chk.advance(c.after)
		chk.resolve(chk.pending()[0], StatusReset)
		if again := chk.attempts(id) > 1; again != c.again {
			t.Errorf("a window of %d ms, broken after %d: sent again %v, want %v", c.window/Millisecond, c.after/Millisecond, again, c.again)
		}
		chk.verify("keyed")
	}
}
