package rules

import (
	"fmt"
	"testing"
)

// Data loads that wait for each other's data sets must not take all connections that clients may have with a
// gateway: queued requests are shed, the heavy ones first, so that short queries get in.
func TestExcessRequestsAreShed(t *testing.T) {
	s := Settings{
		Gateways: 1, Tick: 5 * Millisecond, Kinds: []EngineKind{{Cores: 64, MemoryMB: 1 << 20}},
		Limits: Limits{MaxOpenRequests: 20},
		Classes: []Class{
			interactive,
			{LatencyObjective: 10 * Second, ClientTimeout: 60 * Second, PriorityWeight: 25, Threads: 2, IsDataLoad: true, Idempotency: NotIdempotent},
		},
	}
	m := New(s, 1)
	m.Handle(0, FleetUpdate{Mode: UpdateCached, Engines: []Engine{{ID: 1, Scale: 1}}})
	sent, rejected := 0, 0
	count := func(actions []Action) {
		for _, a := range actions {
			switch a.(type) {
			case Send:
				sent++
			case Reject:
				rejected++
			}
		}
	}
	for i := range 30 {
		id := RequestID("load " + string(rune('a'+i)))
		count(m.Handle(Time(i+1)*Millisecond, Arrival{Request{ID: id, Class: 1, DataSet: 7, Deadline: 60 * Second}}))
	}
	if sent != 1 || rejected != 13 || len(m.requests) != 17 {
		t.Fatalf("%d loads sent, %d rejected, %d open; want 1, 13 and 17 of 20", sent, rejected, len(m.requests))
	}
	count(m.Handle(Second, Arrival{Request{ID: "short", Class: 0, Deadline: 4 * Second}}))
	if sent != 2 || rejected != 14 {
		t.Errorf("a short query: %d sent, %d rejected; want it sent and one more load rejected", sent, rejected)
	}
}

// With settings and lists that say next to nothing requests still get their responses.
func TestBareSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no gateways declared":     func(s *Settings) { s.Gateways = 0 },
		"no engine kinds declared": func(s *Settings) { s.Kinds = nil },
		"300 gateways":             func(s *Settings) { s.Gateways = 300 },
		"no slow-start figures":    func(s *Settings) { s.Constraints = Constraints{DeadlineSlack: 20 * Millisecond} },
	} {
		for _, n := range []int{0, 1, 40} {
			s := basicSettings(interactive)
			change(&s)
			chk := startModule(t, s, n)
			id := chk.submit(0, nil)
			if n > 0 && chk.attempts(id) != 1 {
				t.Fatalf("%s, %d engines: the only request was not sent", name, n)
			}
			chk.advance(4 * Second)
			chk.verify(name)
			if len(chk.module.requests) != 0 && n == 0 {
				t.Fatalf("%s: a request without engines was never answered", name)
			}
		}
	}
}

// The same events and seed give the same actions.
func TestDeterministic(t *testing.T) {
	run := func() (log []string) {
		chk := startModule(t, basicSettings(interactive, interactive), 5)
		chk.observe = func(a Action) { log = append(log, fmt.Sprintf("%T%v", a, a)) }
		for i := range 300 {
			chk.submit(i%2, nil)
			if i%3 > 0 {
				chk.resolve(chk.pending()[0], StatusOK)
			}
			chk.advance(5 * Millisecond)
		}
		return log
	}
	a, b := run(), run()
	if len(a) < 300 || fmt.Sprint(a) != fmt.Sprint(b) {
		t.Fatal("two runs of the same events differ")
	}
}
