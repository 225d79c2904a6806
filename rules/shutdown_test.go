package rules

import (
	"reflect"
	"testing"
)

// Requests of one key wait for each other: the end of the first queues the next, which may end in turn during
// a shutdown before it is reviewed itself.
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
		chk.verify("a key queue at shutdown")
	}
}

// A shutdown brings all deadlines forward: no request may be open after its deadline.
func TestShutdownEndsAllInTime(t *testing.T) {
	s := Settings{
		Gateways: 1, Tick: 5 * Millisecond, Kinds: []EngineKind{{Cores: 64, MemoryMB: 1 << 20}}, Limits: Limits{Cancel: true},
		Classes: []Class{{LatencyObjective: Second, ClientTimeout: 60 * Second, PriorityWeight: 1, Threads: 2, IsDataLoad: true, Idempotency: NotIdempotent}},
	}
	m := New(s, 1)
	m.Handle(0, FleetUpdate{Mode: UpdateCached, Engines: []Engine{{ID: 1, Scale: 1}}})
	for _, id := range []RequestID{"runs", "queued"} {
		m.Handle(Millisecond, Arrival{Request{ID: id, DataSet: 7, Deadline: 60 * Second}})
	}
	by := 3 * Second
	m.Handle(2*Millisecond, ShutdownStarted{Deadline: by})
	m.Handle(3*Millisecond, Arrival{Request{ID: "new", DataSet: 7, Deadline: 60 * Second}})
	var ended []Action
	for _, id := range []string{"runs", "queued", "new"} {
		for _, a := range m.Handle(by, TimerFired{Token: "request " + id}) {
			switch a.(type) {
			case Fail, Reject:
				ended = append(ended, a)
			}
		}
	}
	want := []Action{Fail{ID: "runs", Reason: ReasonDeadline}, Reject{ID: "queued", Reason: ReasonDeadline}, Reject{ID: "new", Reason: ReasonDeadline}}
	if !reflect.DeepEqual(ended, want) {
		t.Errorf("got %v, want %v", ended, want)
	}
}
