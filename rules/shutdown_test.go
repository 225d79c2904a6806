package rules

import (
	"reflect"
	"testing"
)

// Requests of one order key wait for each other. During a shutdown, the review of the first may end it and so
// queue the next, which may then end before its own review.
func TestShutdownEndsAKeyQueue(t *testing.T) {
	ordered := interactive
	ordered.Ordered = true
	for seed := range uint64(20) {
		chk := newChecker(t, basicSettings(ordered), seed, 1000*Second)
		chk.work[0] = float64(2 * Second)
		chk.handle(FleetUpdate{Mode: UpdateCached})
		for i := range 6 {
			chk.submit(0, func(r *Request) { r.OrderKey, r.QueuedFor = "k", 5*Second*Time(min(i, 1)) })
		}
		chk.handle(ShutdownStarted{Deadline: chk.now + Second})
		chk.advance(2 * Second)
		chk.verify("key queue during a shutdown")
	}
}

// A shutdown brings all deadlines forward to its own, also those of requests that arrive later. No request
// may be open after that.
func TestShutdownEndsAllInTime(t *testing.T) {
	settings := Settings{
		Gateways: 1, Tick: 5 * Millisecond, Kinds: []EngineKind{{Cores: 64, MemoryMB: 1 << 20}},
		Limits: Limits{Cancel: true},
		Classes: []Class{{LatencyObjective: Second, ClientTimeout: 60 * Second, PriorityWeight: 1, Threads: 2,
			IsDataLoad: true, Idempotency: NotIdempotent}},
	}
	m := New(settings, 1)
	m.Handle(0, FleetUpdate{Mode: UpdateCached, Engines: []Engine{{ID: 1, Scale: 1}}})
	for _, id := range []RequestID{"runs", "queued"} {
		m.Handle(Millisecond, Arrival{Request{ID: id, DataSet: 7, Deadline: 60 * Second}})
	}
	deadline := 3 * Second
	m.Handle(2*Millisecond, ShutdownStarted{Deadline: deadline})
	m.Handle(3*Millisecond, Arrival{Request{ID: "new", DataSet: 7, Deadline: 60 * Second}})
	var ended []Action
	for _, id := range []string{"runs", "queued", "new"} {
		for _, a := range m.Handle(deadline, TimerFired{Token: "request " + id}) {
			switch a.(type) {
			case Fail, Reject:
				ended = append(ended, a)
			}
		}
	}
	want := []Action{Fail{ID: "runs", Reason: ReasonDeadline},
		Reject{ID: "queued", Reason: ReasonDeadline}, Reject{ID: "new", Reason: ReasonDeadline}}
	if !reflect.DeepEqual(ended, want) {
		t.Errorf("got %v, want %v", ended, want)
	}
}
