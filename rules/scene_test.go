package rules

import (
	"fmt"
	"testing"
)

// basicSettings are of a site with one kind of engine, for tests of one decision each.
func basicSettings(classes ...Class) Settings {
	return Settings{
		Gateways: 1, Tick: 5 * Millisecond, Kinds: []EngineKind{{Cores: 8, MemoryMB: 16384}}, MaxGrantFraction: 0.4,
		AcceptsGrants: true, ReportsCost: true, Classes: classes,
		Limits: Limits{MaxAttempts: 4, Cancel: true, RetryAfter: true, MaxRetryAfter: Second,
			ConnectTimeout: 250 * Millisecond},
		Constraints: Constraints{DeadlineSlack: 20 * Millisecond, SlowStartInitialSpeed: 0.3, SlowStartPeriod: 15 * Second, OverloadFactor: 2,
			OverloadWindow: 2 * Second},
	}
}

// interactive is a class of short idempotent queries.
var interactive = Class{LatencyObjective: 600 * Millisecond, ObjectiveStretch: 1.5, ClientTimeout: 3 * Second, PriorityWeight: 1, Threads: 1}

// fleetOf lists n like engines with IDs from 1.
func fleetOf(n int) (out []Engine) {
	for i := range n {
		out = append(out, Engine{ID: EngineID(i + 1), Scale: 1})
	}
	return out
}

// startModule starts a module under a checker with n engines.
func startModule(t *testing.T, s Settings, n int) *checker {
	chk := newChecker(t, s, 1, 1000*Second)
	for c := range s.Classes {
		chk.work[c] = float64(100 * Millisecond)
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleetOf(n)})
	return chk
}

// submit hands over one request with the mean work of its class, and returns its ID.
func (chk *checker) submit(class int, change func(*Request)) RequestID {
	r := Request{ID: RequestID(fmt.Sprintf("q%d", len(chk.arrivalOrder))), Class: class, Deadline: chk.now + 3*Second,
		EstimatedWork: Time(chk.work[class]), HasEstimate: true, EstimatedMemoryMB: 10}
	if change != nil {
		change(&r)
	}
	chk.handle(Arrival{Request: r})
	return r.ID
}

// attempts counts the attempts of a request.
func (chk *checker) attempts(id RequestID) int { return len(chk.requests[id].attempts) }

// fleetFraction is the part of the fleet that the module takes.
func (chk *checker) fleetFraction() float64 { return chk.module.fleetFraction() }

func (chk *checker) setShare(part float64) { chk.module.share = part * float64(chk.settings.Gateways) }
