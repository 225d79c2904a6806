package rules

import "testing"

// An attempt that is overdue, for example by a bad query plan, is cancelled and retried on another engine.
// If the retry is overdue too and no attempt is left, the request ends, so that it does not hold its
// engine until the client's deadline.
func TestOverdueAttemptIsCancelledThenEnded(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Limits.MaxAttempts = 2
	chk := startModule(t, settings, 3)
	id := chk.submit(0, nil)
	cancelled := 0
	chk.observe = func(a Action) {
		if _, ok := a.(Cancel); ok {
			cancelled++
		}
	}
	chk.advance(400 * Millisecond)
	if cancelled != 1 {
		t.Fatalf("an attempt at four times its expected time was cancelled %d times, want 1", cancelled)
	}
	chk.resolve(chk.pending()[0], StatusCancelled)
	if chk.attemptCount(id) != 2 {
		t.Fatal("the request was not retried")
	}
	chk.advance(1500 * Millisecond)
	if req := chk.requests[id]; !req.ended || chk.now >= req.Deadline {
		t.Fatal("a request with an overdue retry and no attempt left did not end before its deadline")
	}
	chk.verify("overdue attempts")
}

// Attempts of requests that are not idempotent are never cancelled as overdue, since no retry may follow.
func TestOverdueNonIdempotentAttemptIsNotCancelled(t *testing.T) {
	nonIdempotent := interactive
	nonIdempotent.Idempotency = NotIdempotent
	chk := startModule(t, basicSettings(nonIdempotent), 3)
	chk.observe = func(a Action) {
		if _, ok := a.(Cancel); ok {
			t.Fatal("an attempt of a request that is not idempotent was cancelled")
		}
	}
	chk.submit(0, nil)
	chk.advance(2900 * Millisecond)
}
