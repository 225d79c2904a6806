package rules

import (
	"fmt"
	"testing"
)

// Queued data loads that wait for each other's data set must not use up MaxOpenRequests. Queued requests are
// shed, heavy ones first, so that short queries are still accepted.
func TestExcessRequestsAreShed(t *testing.T) {
	settings := Settings{
		Gateways: 1, Tick: 5 * Millisecond, Kinds: []EngineKind{{Cores: 64, MemoryMB: 1 << 20}},
		Limits: Limits{MaxOpenRequests: 20},
		Classes: []Class{
			interactive,
			{LatencyObjective: 10 * Second, ClientTimeout: 60 * Second, PriorityWeight: 25, Threads: 2,
				IsDataLoad: true, Idempotency: NotIdempotent},
		},
	}
	m := New(settings, 1)
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
		count(m.Handle(Time(i+1)*Millisecond,
			Arrival{Request{ID: id, Class: 1, DataSet: 7, Deadline: 60 * Second}}))
	}
	if sent != 1 || rejected != 13 || len(m.requests) != 17 {
		t.Fatalf("%d data loads sent, %d rejected, %d open; want 1, 13 and 17 of at most 20",
			sent, rejected, len(m.requests))
	}
	count(m.Handle(Second, Arrival{Request{ID: "short", Class: 0, Deadline: 4 * Second}}))
	if sent != 2 || rejected != 14 {
		t.Errorf("after a short query: %d sent, %d rejected; want 2 and 14, as one more data load is shed",
			sent, rejected)
	}
}

// Requests get a final response even if the settings leave out most values or there is no engine.
func TestMinimalSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no number of gateways": func(s *Settings) { s.Gateways = 0 },
		"no engine kinds":       func(s *Settings) { s.Kinds = nil },
		"300 gateways":          func(s *Settings) { s.Gateways = 300 },
		"no slow-start constraints": func(s *Settings) {
			s.Constraints = Constraints{DeadlineSlack: 20 * Millisecond}
		},
	} {
		for _, engineCount := range []int{0, 1, 40} {
			settings := basicSettings(interactive)
			change(&settings)
			chk := startModule(t, settings, engineCount)
			id := chk.submit(0, nil)
			if engineCount > 0 && chk.attemptCount(id) != 1 {
				t.Fatalf("%s, %d engines: the only request was not sent", name, engineCount)
			}
			chk.advance(4 * Second)
			chk.verify(name)
			if len(chk.module.requests) != 0 && engineCount == 0 {
				t.Fatalf("%s: without engines, a request got no final response", name)
			}
		}
	}
}

// The same events and the same seed result in the same actions.
func TestDeterministic(t *testing.T) {
	run := func() (actions []string) {
		chk := startModule(t, basicSettings(interactive, interactive), 5)
		chk.observe = func(a Action) { actions = append(actions, fmt.Sprintf("%T%v", a, a)) }
		for i := range 300 {
			chk.submit(i%2, nil)
			if i%3 > 0 {
				chk.resolve(chk.pending()[0], StatusOK)
			}
			chk.advance(5 * Millisecond)
		}
		return actions
	}
	first, second := run(), run()
	if len(first) < 300 || fmt.Sprint(first) != fmt.Sprint(second) {
		t.Fatal("two runs with the same events returned different actions")
	}
}
