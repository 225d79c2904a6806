package rules

import (
	"fmt"
	"testing"
)

// basicSettings returns the settings of a gateway with one kind of engine, for tests of a single decision.
func basicSettings(classes ...Class) Settings {
	return Settings{
		Gateways: 1, Tick: 5 * Millisecond, Kinds: []EngineKind{{Cores: 8, MemoryMB: 16384}}, MaxGrantFraction: 0.4,
		AcceptsGrants: true, ReportsCost: true, Classes: classes,
		Limits: Limits{MaxAttempts: 4, Cancel: true, RetryAfter: true, MaxRetryAfter: Second,
			ConnectTimeout: 250 * Millisecond},
		Constraints: Constraints{DeadlineSlack: 20 * Millisecond, SlowStartInitialSpeed: 0.3,
			SlowStartPeriod: 15 * Second, OverloadFactor: 2, OverloadWindow: 2 * Second},
	}
}

// interactive is a class of short idempotent queries.
var interactive = Class{LatencyObjective: 600 * Millisecond, ObjectiveStretch: 1.5,
	ClientTimeout: 3 * Second, PriorityWeight: 1, Threads: 1}

// fleetOf returns an endpoint list of identical engines with IDs from 1.
func fleetOf(count int) (engines []Engine) {
	for i := range count {
		engines = append(engines, Engine{ID: EngineID(i + 1), Scale: 1})
	}
	return engines
}

// startModule returns a checker whose endpoint list has that many engines. Requests of all classes take
// 100 ms of work.
func startModule(t *testing.T, settings Settings, engineCount int) *checker {
	chk := newChecker(t, settings, 1, 1000*Second)
	for class := range settings.Classes {
		chk.work[class] = float64(100 * Millisecond)
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleetOf(engineCount)})
	return chk
}

// submit sends the module a request with the work of its class and a deadline in 3 s, and returns its ID. If
// change is not nil, it is applied to the request first.
func (chk *checker) submit(class int, change func(*Request)) RequestID {
	req := Request{ID: RequestID(fmt.Sprintf("q%d", len(chk.arrivalOrder))), Class: class,
		Deadline: chk.now + 3*Second, EstimatedWork: Time(chk.work[class]), HasEstimate: true,
		EstimatedMemoryMB: 10}
	if change != nil {
		change(&req)
	}
	chk.handle(Arrival{Request: req})
	return req.ID
}

// attemptCount returns the number of attempts of a request.
func (chk *checker) attemptCount(id RequestID) int { return len(chk.requests[id].attempts) }

// fleetFraction returns the fraction of the fleet that the module may use.
func (chk *checker) fleetFraction() float64 { return chk.module.fleetFraction() }

// setFleetFraction sets the learned share of the module, as a fraction of the fleet.
func (chk *checker) setFleetFraction(fraction float64) {
	chk.module.share = fraction * float64(chk.settings.Gateways)
}
