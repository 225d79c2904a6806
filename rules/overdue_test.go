package rules

import "testing"

// An attempt with a bad plan is cancelled and retried elsewhere. If the retry is bad too and no attempt is
// left, the request is ended instead of holding its engine until the client's deadline.
func TestOverdueAttemptIsCancelledThenEnded(t *testing.T) {
	s := basicSettings(interactive)
	s.Limits.MaxAttempts = 2
	chk := startModule(t, s, 3)
	id := chk.submit(0, nil)
	cancelled := 0
	chk.observe = func(a Action) {
		if _, ok := a.(Cancel); ok {
			cancelled++
		}
	}
	chk.advance(400 * Millisecond)
	if cancelled != 1 {
		t.Fatalf("%d cancels of an attempt at four times its expected time, want 1", cancelled)
	}
	chk.resolve(chk.pending()[0], StatusCancelled)
	if chk.attempts(id) != 2 {
		t.Fatal("the request was not tried again")
	}
	chk.advance(1500 * Millisecond)
	if r := chk.requests[id]; !r.ended || chk.now >= r.Deadline {
		t.Fatal("a request that no attempt can help was not ended before its deadline")
	}
	chk.verify("overdue")
}

// Requests that are not idempotent are never cancelled to be retried, however long they take.
func TestOverdueUnsafeIsLeftAlone(t *testing.T) {
	c := interactive
	c.Idempotency = NotIdempotent
	chk := startModule(t, basicSettings(c), 3)
	chk.observe = func(a Action) {
		if _, ok := a.(Cancel); ok {
			t.Fatal("an unsafe attempt was cancelled")
		}
	}
	chk.submit(0, nil)
	chk.advance(2900 * Millisecond)
}
