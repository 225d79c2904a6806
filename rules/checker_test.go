package rules

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// checker is the host of a module under test. It records the events and actions of the module, and checks
// seven rules by these records alone, independently of the module's state:
//
//  1. Each request gets exactly one final response, in time, and no attempt after it.
//  2. Retries and rejections never risk a duplicate execution that the class forbids.
//  3. Requests are sent to serving engines only.
//  4. The slow-start budget of a warming engine is kept.
//  5. Requests of one order key run one at a time, in order of arrival.
//  6. Requests are sent only to the zones and engine kinds that their class allows.
//  7. The retry budget is kept.
type checker struct {
	t              *testing.T
	settings       Settings
	module         *Module
	now            Time
	startedAt      Time
	engines        map[EngineID]Engine // as last listed
	requests       map[RequestID]*checkedRequest
	arrivalOrder   []RequestID
	timers         []SetTimer // not yet fired
	arrivals       []Time
	retries        []Time
	slowStartSends map[EngineID][]checkedSend // to warming engines
	work           map[int]float64            // work of a request in microseconds, by class
	violations     []string
	sendCount      int
	responseCount  int          // final responses of the module
	observe        func(Action) // called for each action; nil: not observed
}

// checkedRequest is the record of a request.
type checkedRequest struct {
	Request
	attempts         []checkedAttempt
	ended            bool
	responses        int  // final responses, including those of engines and disconnects of the client
	arrivalIndex     int  // position in the order of arrival
	quarantinedUntil Time // its order key must stay idle until then
}

// checkedAttempt is the record of an attempt.
type checkedAttempt struct {
	engine    Engine // as listed when the attempt started
	startedAt Time
	done      bool
	status    Status // valid if done
}

// checkedSend is the record of work sent to a warming engine.
type checkedSend struct {
	at   Time
	work float64
}

// newChecker returns a checker with a new module. Its clock starts at the given time.
func newChecker(t *testing.T, settings Settings, seed uint64, start Time) *checker {
	return &checker{t: t, settings: settings, module: New(settings, seed), now: start, startedAt: start,
		engines: map[EngineID]Engine{}, requests: map[RequestID]*checkedRequest{},
		slowStartSends: map[EngineID][]checkedSend{}, work: map[int]float64{}}
}

// addViolation records that a rule was violated. It fails the test only in verify.
func (chk *checker) addViolation(rule int, format string, args ...any) {
	chk.violations = append(chk.violations,
		fmt.Sprintf("rule %d at %d: %s", rule, chk.now, fmt.Sprintf(format, args...)))
}

// handle records an event, passes it to the module and checks the actions.
func (chk *checker) handle(event Event) []Action {
	switch e := event.(type) {
	case FleetUpdate:
		if e.Mode == UpdateFull || e.Mode == UpdateCached {
			clear(chk.engines)
		}
		for _, entry := range e.Engines {
			chk.engines[entry.ID] = entry
		}
	case Arrival:
		chk.requests[e.Request.ID] = &checkedRequest{Request: e.Request, arrivalIndex: len(chk.arrivalOrder)}
		chk.arrivalOrder = append(chk.arrivalOrder, e.Request.ID)
		chk.arrivals = append(chk.arrivals, chk.now)
	case Outcome:
		req := chk.requests[e.ID]
		att := &req.attempts[e.Attempt]
		att.done, att.status = true, e.Status
		if e.Status == StatusTimeout || e.Status == StatusReset || e.Status == StatusCancelled {
			req.quarantinedUntil = chk.now + chk.settings.Constraints.KeyQuarantine
		}
		if e.RequestEnded && !req.ended {
			req.ended = true
			req.responses++
		}
	case ClientGone:
		if req := chk.requests[e.ID]; !req.ended {
			req.ended = true
			req.responses++
		}
	}
	actions := slices.Clone(chk.module.Handle(chk.now, event))
	for _, a := range actions {
		chk.checkAction(a)
	}
	return actions
}

// checkAction records an action and checks it.
func (chk *checker) checkAction(action Action) {
	if chk.observe != nil {
		chk.observe(action)
	}
	switch a := action.(type) {
	case Send:
		chk.sendCount++
		chk.checkSend(a)
	case Reject:
		req := chk.requests[a.ID]
		chk.checkFinalResponse(req)
		for _, att := range req.attempts {
			class := chk.settings.Classes[req.Class]
			neverExecuted := att.done && att.status.NeverExecuted()
			if !neverExecuted && (class.Idempotency == NotIdempotent ||
				class.Idempotency == IdempotentWithKey && class.DedupScope != DedupFleet) {
				chk.addViolation(2, "%s was rejected though it may have been executed", a.ID)
			}
		}
	case Fail:
		chk.checkFinalResponse(chk.requests[a.ID])
	case SetTimer:
		chk.timers = append(chk.timers, a)
	case Cancel:
		if req := chk.requests[a.ID]; req == nil || a.Attempt >= len(req.attempts) {
			chk.t.Fatalf("an attempt was cancelled that was never sent: %v", a)
		}
	}
}

// checkFinalResponse checks rule 1 for a final response of the module.
func (chk *checker) checkFinalResponse(req *checkedRequest) {
	chk.responseCount++
	req.responses++
	if req.ended {
		chk.addViolation(1, "%s got a second final response", req.ID)
	}
	req.ended = true
	if chk.now > req.Deadline+chk.settings.Constraints.DeadlineSlack {
		chk.addViolation(1, "%s got its final response too late", req.ID)
	}
}

// checkSend records an attempt and checks the rules about sending.
func (chk *checker) checkSend(send Send) {
	req, class := chk.requests[send.ID], chk.settings.Classes[chk.requests[send.ID].Class]
	eng, known := chk.engines[send.Engine]
	if !known || eng.State != EngineServing {
		chk.addViolation(3, "%s was sent to engine %d, which is not serving", send.ID, send.Engine)
	}
	if req.ended {
		chk.addViolation(1, "%s was sent after its end", send.ID)
	}
	chk.checkIdempotency(req, class, eng)
	chk.checkSlowStart(req, eng)
	if class.Ordered && req.OrderKey != "" {
		chk.checkOrder(req)
	}
	if class.AllowedZones != nil && !slices.Contains(class.AllowedZones, eng.Zone) ||
		class.AllowedKinds != nil && !slices.Contains(class.AllowedKinds, eng.Kind) {
		chk.addViolation(6, "%s was sent to a zone or engine kind that its class does not allow", send.ID)
	}
	if len(req.attempts) > 0 {
		chk.retries = append(chk.retries, chk.now)
		chk.checkRetryBudget()
	}
	if maxAttempts := chk.settings.Limits.MaxAttempts; maxAttempts > 0 && len(req.attempts) >= maxAttempts {
		chk.t.Fatalf("%s has more than %d attempts", send.ID, maxAttempts)
	}
	req.attempts = append(req.attempts, checkedAttempt{engine: eng, startedAt: chk.now})
}

// checkIdempotency checks rule 2 for another attempt of a request.
func (chk *checker) checkIdempotency(req *checkedRequest, class Class, eng Engine) {
	for _, earlier := range req.attempts {
		if !earlier.done && !chk.settings.Limits.HedgedRequests {
			chk.addViolation(2, "%s has two attempts in flight", req.ID)
		}
		if earlier.done && earlier.status.NeverExecuted() {
			continue
		}
		switch class.Idempotency {
		case NotIdempotent:
			chk.addViolation(2, "%s was retried though it may have been executed", req.ID)
		case IdempotentWithKey:
			sameScope := class.DedupScope == DedupFleet ||
				class.DedupScope == DedupZone && earlier.engine.Zone == eng.Zone ||
				class.DedupScope == DedupCell && earlier.engine.Cell == eng.Cell
			if !sameScope || chk.now > earlier.startedAt+class.DedupWindow {
				chk.addViolation(2, "%s was retried outside its dedup scope or dedup window", req.ID)
			}
		}
	}
}

// checkSlowStart checks that this gateway keeps to its even share of a warming engine's budget, and sends
// nothing there for a window after its own start.
func (chk *checker) checkSlowStart(req *checkedRequest, eng Engine) {
	c := chk.settings.Constraints
	if eng.StartedAt == 0 || chk.now >= eng.StartedAt+c.SlowStartPeriod {
		return
	}
	chk.slowStartSends[eng.ID] = append(chk.slowStartSends[eng.ID], checkedSend{chk.now, chk.work[req.Class]})
	sum := 0.0
	for _, send := range chk.slowStartSends[eng.ID] {
		if send.at > chk.now-c.OverloadWindow {
			sum += send.work
		}
	}
	kind := chk.settings.Kinds[eng.Kind]
	speed := c.SlowStartInitialSpeed +
		(1-c.SlowStartInitialSpeed)*float64(chk.now-eng.StartedAt)/float64(c.SlowStartPeriod)
	if sum > c.OverloadFactor*speed*kind.Cores*float64(c.OverloadWindow)/float64(chk.settings.Gateways) {
		chk.addViolation(4, "the slow-start budget of engine %d was exceeded", eng.ID)
	}
	if chk.now < chk.startedAt+c.OverloadWindow {
		chk.addViolation(4, "warming engine %d got work within a window after the gateway's start", eng.ID)
	}
}

// checkOrder checks that all earlier requests of an order key are over, and the key is not in quarantine.
func (chk *checker) checkOrder(req *checkedRequest) {
	for _, id := range chk.arrivalOrder[:req.arrivalIndex] {
		earlier := chk.requests[id]
		if earlier.OrderKey != req.OrderKey || !chk.settings.Classes[earlier.Class].Ordered {
			continue
		}
		inFlight := slices.ContainsFunc(earlier.attempts, func(t checkedAttempt) bool { return !t.done })
		if !earlier.ended || inFlight || chk.now < earlier.quarantinedUntil {
			chk.addViolation(5, "%s was sent before the end of %s and of its quarantine", req.ID, earlier.ID)
		}
	}
}

// checkRetryBudget checks that the retries within the window are within the retry budget.
func (chk *checker) checkRetryBudget() {
	c := chk.settings.Constraints
	if !c.RetryBudgetEnabled {
		return
	}
	countInWindow := func(times []Time) float64 {
		count := 0
		for _, t := range times {
			if t > chk.now-c.RetryBudgetWindow {
				count++
			}
		}
		return float64(count)
	}
	if countInWindow(chk.retries) > c.RetryBudgetMin+c.RetryBudgetRatio*countInWindow(chk.arrivals) {
		chk.addViolation(7, "the retry budget was exceeded")
	}
}

// advance moves the clock forward tick by tick, fires the timers that are due, and times out attempts at the
// deadline of their request.
func (chk *checker) advance(duration Time) {
	until := chk.now + duration
	for {
		chk.now += chk.settings.Tick
		for _, id := range chk.arrivalOrder {
			req := chk.requests[id]
			for i := range req.attempts {
				if !req.attempts[i].done && chk.now >= req.Deadline {
					chk.handle(Outcome{ID: id, Attempt: i, Engine: req.attempts[i].engine.ID, Status: StatusTimeout,
						Latency: chk.now - req.attempts[i].startedAt, RequestEnded: req.ended})
				}
			}
		}
		due := chk.timers
		chk.timers = nil
		for i, timer := range due {
			if timer.At <= chk.now {
				chk.handle(TimerFired{Token: timer.Token})
			} else {
				chk.timers = append(chk.timers, due[i])
			}
		}
		if chk.now >= until {
			return
		}
	}
}

// pending returns an Outcome, without a status, for each attempt that has none yet.
func (chk *checker) pending() (outcomes []Outcome) {
	for _, id := range chk.arrivalOrder {
		req := chk.requests[id]
		for i, att := range req.attempts {
			if !att.done {
				outcomes = append(outcomes, Outcome{ID: id, Attempt: i, Engine: att.engine.ID,
					Latency: chk.now - att.startedAt, RequestEnded: req.ended})
			}
		}
	}
	return outcomes
}

// resolve ends a pending attempt with a status. A successful one is measured to take the true work of its
// class.
func (chk *checker) resolve(outcome Outcome, status Status) {
	outcome.Status = status
	if status == StatusOK {
		outcome.RequestEnded = true
		outcome.MeasuredWork = Time(chk.work[chk.requests[outcome.ID].Class])
		outcome.MeasuredMemoryMB = chk.requests[outcome.ID].EstimatedMemoryMB
	}
	chk.handle(outcome)
}

// resolveAll ends all pending attempts with a status.
func (chk *checker) resolveAll(status Status) {
	for _, o := range chk.pending() {
		chk.resolve(o, status)
	}
}

// verify fails the test if a rule was violated, or if a request has no final response after its deadline.
func (chk *checker) verify(subject string) {
	chk.t.Helper()
	for _, id := range chk.arrivalOrder {
		if req := chk.requests[id]; chk.now > req.Deadline+chk.settings.Constraints.DeadlineSlack &&
			req.responses != 1 {
			chk.addViolation(1, "%s got %d final responses", id, req.responses)
		}
	}
	if len(chk.violations) > 0 {
		chk.t.Fatalf("%s: %d violations:\n%s", subject, len(chk.violations),
			strings.Join(chk.violations[:min(5, len(chk.violations))], "\n"))
	}
}

// randomSettings returns random settings. Those of many seeds together exercise every rule.
func randomSettings(rng *rand.Rand) Settings {
	settings := Settings{
		Gateways: 1 + rng.IntN(4), Tick: 5 * Millisecond, Zone: 0,
		Kinds:            []EngineKind{{Cores: 8, MemoryMB: 16384}, {Cores: 2, MemoryMB: 4096}},
		MaxGrantFraction: 0.4, AcceptsGrants: rng.IntN(2) == 0, AcceptsPriority: rng.IntN(2) == 0,
		ReportsCost: true,
		Limits: Limits{MaxAttempts: 2 + rng.IntN(5), HedgedRequests: rng.IntN(2) == 0, Cancel: rng.IntN(4) > 0,
			Probes: rng.IntN(2) == 0, PeerMessages: rng.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: Second,
			ConnectTimeout: 250 * Millisecond},
		Constraints: Constraints{DeadlineSlack: 20 * Millisecond, DrainGrace: Second,
			SlowStartInitialSpeed: 0.3, SlowStartPeriod: 5 * Second, OverloadFactor: 2, OverloadWindow: 2 * Second,
			KeyQuarantine: 300 * Millisecond, RetryBudgetEnabled: rng.IntN(2) == 0,
			RetryBudgetMin: 3, RetryBudgetRatio: 0.1, RetryBudgetWindow: 3 * Second},
	}
	if rng.IntN(2) == 0 {
		settings.Tenants = []Tenant{{QuotaPerSecond: 5, Fraction: 0.3}, {QuotaPerSecond: 10, Fraction: 0.7}}
	}
	for range 1 + rng.IntN(4) {
		class := Class{LatencyObjective: Time(200+rng.IntN(800)) * Millisecond, ObjectiveStretch: 2,
			ClientTimeout: 3 * Second, PriorityWeight: 1 + float64(rng.IntN(10)), LateValue: rng.Float64() / 2,
			Idempotency: Idempotency(rng.IntN(3)), DedupScope: DedupScope(rng.IntN(3)),
			DedupWindow: Time(200+rng.IntN(1500)) * Millisecond, Ordered: rng.IntN(2) == 0, Threads: 1 + rng.IntN(3),
			IsDataLoad: rng.IntN(4) == 0, BlockedByDataLoad: rng.IntN(3) == 0}
		if rng.IntN(3) == 0 {
			class.AllowedZones = []int{rng.IntN(2)}
		}
		if rng.IntN(3) == 0 {
			class.AllowedKinds = []int{rng.IntN(2)}
		}
		settings.Classes = append(settings.Classes, class)
	}
	return settings
}

// TestRulesHold sends random events to modules with random settings, and checks the rules. After all
// requests are over, the module must have freed their state.
func TestRulesHold(t *testing.T) {
	sends, responses := 0, 0
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 1))
		settings := randomSettings(rng)
		chk := newChecker(t, settings, seed, Time(1+rng.IntN(1e9)))
		for class := range settings.Classes {
			chk.work[class] = float64(Time(20+rng.IntN(400)) * Millisecond)
		}
		fleet := make([]Engine, 2+rng.IntN(6))
		for i := range fleet {
			fleet[i] = Engine{ID: EngineID(100 + i*7), Cell: i / 2, Zone: i % 2, Kind: rng.IntN(2), Scale: 1}
			if rng.IntN(4) == 0 {
				fleet[i].StartedAt = chk.now - Time(rng.IntN(3))*Second
			}
		}
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
		for step := range 700 {
			randomStep(chk, rng, fleet, step)
		}
		chk.advance(6 * Second)
		chk.verify(fmt.Sprintf("seed %d", seed))
		if len(chk.module.requests) != 0 || chk.module.queuedCount != 0 || len(chk.module.keyQueues) != 0 {
			t.Fatalf("seed %d: state is not freed: %d open requests, %d queued, %d key queues", seed,
				len(chk.module.requests), chk.module.queuedCount, len(chk.module.keyQueues))
		}
		sends, responses = sends+chk.sendCount, responses+chk.responseCount
	}
	if sends < 5000 || responses < 10000 {
		t.Fatalf("too few events to check the rules: %d attempts, %d final responses of the module",
			sends, responses)
	}
}

// randomStep makes one random step: an event, the outcome of an attempt or the passage of time.
func randomStep(chk *checker, rng *rand.Rand, fleet []Engine, step int) {
	switch rng.IntN(13) {
	case 0, 1, 2, 3:
		class := rng.IntN(len(chk.settings.Classes))
		req := Request{ID: RequestID(fmt.Sprintf("q%d", step)), Class: class,
			Tenant:   rng.IntN(max(1, len(chk.settings.Tenants))),
			Deadline: chk.now + Time(50+rng.IntN(2500))*Millisecond, EstimatedWork: Time(chk.work[class]),
			HasEstimate: true, EstimatedMemoryMB: float64(10 + rng.IntN(3000)), DataSet: rng.IntN(5)}
		if chk.settings.Classes[class].Ordered {
			req.OrderKey = fmt.Sprintf("k%d", rng.IntN(3))
		}
		chk.handle(Arrival{Request: req})
	case 4, 5, 6, 7:
		if pending := chk.pending(); len(pending) > 0 {
			statuses := []Status{StatusOK, StatusOK, StatusOK, StatusError, StatusRejected, StatusConnectFailed,
				StatusReset, StatusCancelled, StatusNotExecuted}
			chk.resolve(pending[rng.IntN(len(pending))], statuses[rng.IntN(len(statuses))])
		}
	case 8:
		changed := rng.IntN(len(fleet))
		fleet[changed].State = EngineState(rng.IntN(3))
		if fleet[changed].State == EngineServing && rng.IntN(2) == 0 {
			fleet[changed].StartedAt = chk.now - Time(rng.IntN(1000))*Millisecond
			chk.slowStartSends[fleet[changed].ID] = nil
		}
		chk.handle(FleetUpdate{Mode: UpdateDelta, Engines: fleet[changed : changed+1]})
	case 9:
		if rng.IntN(5) > 0 {
			chk.handle(FleetUpdate{Mode: UpdateFailed})
			return
		}
		listed := slices.DeleteFunc(slices.Clone(fleet), func(e Engine) bool { return e.State == EngineGone })
		chk.handle(FleetUpdate{Mode: UpdateFull, Engines: listed})
	case 10:
		if len(chk.arrivalOrder) > 0 && rng.IntN(4) == 0 {
			if id := chk.arrivalOrder[rng.IntN(len(chk.arrivalOrder))]; !chk.requests[id].ended {
				chk.handle(ClientGone{ID: id})
			}
		}
	case 11:
		report := peerReport{fleet[rng.IntN(len(fleet))].ID, float64(rng.IntN(8)), float64(rng.IntN(5e6))}
		chk.handle(PeerMessage{From: rng.IntN(6), Payload: report.encode()[:peerReportSize-rng.IntN(2)]})
	case 12:
		chk.advance(Time(5*(1+rng.IntN(40))) * Millisecond)
	}
}
