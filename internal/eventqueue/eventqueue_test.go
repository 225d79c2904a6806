package eventqueue

import (
	"math/rand/v2"
	"slices"
	"testing"

	"foxlane/rules"
)

// Events run in order of time, and events with equal times in the order in which they were scheduled.
func TestOrder(t *testing.T) {
	type scheduled struct {
		at    rules.Time
		index int
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		var queue Queue
		var want, got []scheduled
		for i := range rng.IntN(100) {
			s := scheduled{rules.Time(rng.IntN(20)), i}
			want = append(want, s)
			queue.Schedule(s.at, func() { got = append(got, s) })
		}
		slices.SortStableFunc(want, func(a, b scheduled) int { return int(a.at - b.at) })
		for {
			next, ok := queue.NextAt()
			at, run, popped := queue.PopUntil(19)
			if ok != popped || at != next {
				t.Fatalf("NextAt returned %v, %v, PopUntil returned %v, %v", next, ok, at, popped)
			}
			if !popped {
				break
			}
			run()
		}
		if !slices.Equal(got, want) || queue.Len() != 0 {
			t.Fatalf("ran %v, want %v; %d left", got, want, queue.Len())
		}
	}
}

// RunUntil runs all due events, including those scheduled by other events, leaves the rest, and sets the time to its
// limit.
func TestRunUntil(t *testing.T) {
	var queue Queue
	var now rules.Time
	var ran []rules.Time
	record := func() { ran = append(ran, now) }
	queue.Schedule(5, func() { record(); queue.Schedule(now+3, record) })
	queue.Schedule(10, record)
	queue.Schedule(11, record)
	queue.RunUntil(10, &now)
	if want := []rules.Time{5, 8, 10}; !slices.Equal(ran, want) || now != 10 || queue.Len() != 1 {
		t.Errorf("ran at %v, want %v; now %d, %d left", ran, want, now, queue.Len())
	}
	if _, _, ok := queue.PopUntil(10); ok {
		t.Error("an event ran before its time")
	}
}
