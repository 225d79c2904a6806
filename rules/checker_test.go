package rules

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// checker is the host of a module under test. It records what the module was told and did, independently of
// the module's state, and checks the seven rules by these records alone.
type checker struct {
	t              *testing.T
	settings       Settings
	module         *Module
	now            Time
	startedAt      Time
	engines        map[EngineID]Engine
	requests       map[RequestID]*checkedRequest
	arrivalOrder   []RequestID
	timers         []SetTimer
	arrivals       []Time
	retries        []Time
	slowStartSends map[EngineID][]checkedSend
	work           map[int]float64 // work of a request, by class
	violations     []string
	sendCount      int
	responseCount  int
	observe        func(Action)
}

type checkedRequest struct {
	Request
	attempts         []checkedAttempt
	ended            bool
	responses        int
	arrivalIndex     int // place in the order of arrival
	quarantinedUntil Time
}

type checkedAttempt struct {
	engine    Engine
	startedAt Time
	done      bool
	status    Status
}

type checkedSend struct {
	at   Time
	work float64
}

func newChecker(t *testing.T, s Settings, seed uint64, start Time) *checker {
	return &checker{t: t, settings: s, module: New(s, seed), now: start, startedAt: start, engines: map[EngineID]Engine{},
		requests: map[RequestID]*checkedRequest{}, slowStartSends: map[EngineID][]checkedSend{}, work: map[int]float64{}}
}

func (chk *checker) violation(rule int, format string, args ...any) {
	chk.violations = append(chk.violations, fmt.Sprintf("rule %d at %d: %s", rule, chk.now, fmt.Sprintf(format, args...)))
}

// handle records an event, hands it to the module and checks the actions.
func (chk *checker) handle(e Event) []Action {
	switch e := e.(type) {
	case FleetUpdate:
		if e.Mode == UpdateFull || e.Mode == UpdateCached {
			clear(chk.engines)
		}
		for _, n := range e.Engines {
			chk.engines[n.ID] = n
		}
	case Arrival:
		chk.requests[e.Request.ID] = &checkedRequest{Request: e.Request, arrivalIndex: len(chk.arrivalOrder)}
		chk.arrivalOrder = append(chk.arrivalOrder, e.Request.ID)
		chk.arrivals = append(chk.arrivals, chk.now)
	case Outcome:
		r := chk.requests[e.ID]
		a := &r.attempts[e.Attempt]
		a.done, a.status = true, e.Status
		if e.Status == StatusTimeout || e.Status == StatusReset || e.Status == StatusCancelled {
			r.quarantinedUntil = chk.now + chk.settings.Constraints.KeyQuarantine
		}
		if e.Closed && !r.ended {
			r.ended = true
			r.responses++
		}
	case ClientGone:
		if r := chk.requests[e.ID]; !r.ended {
			r.ended = true
			r.responses++
		}
	}
	actions := slices.Clone(chk.module.Handle(chk.now, e))
	for _, a := range actions {
		chk.checkAction(a)
	}
	return actions
}

func (chk *checker) checkAction(a Action) {
	if chk.observe != nil {
		chk.observe(a)
	}
	switch a := a.(type) {
	case Send:
		chk.sendCount++
		chk.checkSend(a)
	case Reject:
		r := chk.requests[a.ID]
		chk.checkFinal(r)
		for _, t := range r.attempts {
			c := chk.settings.Classes[r.Class]
			proven := t.done && t.status.NeverExecuted()
			if !proven && (c.Idempotency == NotIdempotent || c.Idempotency == IdempotentWithKey && c.DedupScope != DedupFleet) {
				chk.violation(2, "%s rejected though it may have run", a.ID)
			}
		}
	case Fail:
		chk.checkFinal(chk.requests[a.ID])
	case SetTimer:
		chk.timers = append(chk.timers, a)
	case Cancel:
		if r := chk.requests[a.ID]; r == nil || a.Attempt >= len(r.attempts) {
			chk.t.Fatalf("cancel of an attempt that was never sent: %v", a)
		}
	}
}

func (chk *checker) checkFinal(r *checkedRequest) {
	chk.responseCount++
	r.responses++
	if r.ended {
		chk.violation(1, "%s answered again", r.ID)
	}
	r.ended = true
	if chk.now > r.Deadline+chk.settings.Constraints.DeadlineSlack {
		chk.violation(1, "%s answered late", r.ID)
	}
}

func (chk *checker) checkSend(a Send) {
	r, c := chk.requests[a.ID], chk.settings.Classes[chk.requests[a.ID].Class]
	e, known := chk.engines[a.Engine]
	if !known || e.State != EngineServing {
		chk.violation(3, "%s sent to engine %d, which is not serving", a.ID, a.Engine)
	}
	if r.ended {
		chk.violation(1, "%s sent after its end", a.ID)
	}
	chk.checkIdempotency(r, c, e)
	chk.checkSlowStart(r, e)
	if c.Ordered && r.OrderKey != "" {
		chk.checkOrder(r)
	}
	if c.AllowedZones != nil && !slices.Contains(c.AllowedZones, e.Zone) || c.AllowedKinds != nil && !slices.Contains(c.AllowedKinds, e.Kind) {
		chk.violation(6, "%s sent to a zone or kind that its class excludes", a.ID)
	}
	if len(r.attempts) > 0 {
		chk.retries = append(chk.retries, chk.now)
		chk.checkRetryBudget()
	}
	if m := chk.settings.Limits.MaxAttempts; m > 0 && len(r.attempts) >= m {
		chk.t.Fatalf("%s has more than %d attempts", a.ID, m)
	}
	r.attempts = append(r.attempts, checkedAttempt{engine: e, startedAt: chk.now})
}

func (chk *checker) checkIdempotency(r *checkedRequest, c Class, e Engine) {
	for _, t := range r.attempts {
		if !t.done && !chk.settings.Limits.HedgedRequests {
			chk.violation(2, "%s has two attempts in flight", r.ID)
		}
		if t.done && t.status.NeverExecuted() {
			continue
		}
		switch c.Idempotency {
		case NotIdempotent:
			chk.violation(2, "%s sent again though it may have run", r.ID)
		case IdempotentWithKey:
			same := c.DedupScope == DedupFleet || c.DedupScope == DedupZone && t.engine.Zone == e.Zone ||
				c.DedupScope == DedupCell && t.engine.Cell == e.Cell
			if !same || chk.now > t.startedAt+c.DedupWindow {
				chk.violation(2, "%s retried where or when repeats are not dropped", r.ID)
			}
		}
	}
}

// checkSlowStart holds this gateway to its even part of a warming engine's budget.
func (chk *checker) checkSlowStart(r *checkedRequest, e Engine) {
	d := chk.settings.Constraints
	if e.StartedAt == 0 || chk.now >= e.StartedAt+d.SlowStartPeriod {
		return
	}
	chk.slowStartSends[e.ID] = append(chk.slowStartSends[e.ID], checkedSend{chk.now, chk.work[r.Class]})
	sum := 0.0
	for _, s := range chk.slowStartSends[e.ID] {
		if s.at > chk.now-d.OverloadWindow {
			sum += s.work
		}
	}
	k := chk.settings.Kinds[e.Kind]
	warm := d.SlowStartInitialSpeed + (1-d.SlowStartInitialSpeed)*float64(chk.now-e.StartedAt)/float64(d.SlowStartPeriod)
	if sum > d.OverloadFactor*warm*k.Cores*float64(d.OverloadWindow)/float64(chk.settings.Gateways) {
		chk.violation(4, "warming engine %d sent too much", e.ID)
	}
	if chk.now < chk.startedAt+d.OverloadWindow {
		chk.violation(4, "warming engine %d sent to by a gateway that just started", e.ID)
	}
}

func (chk *checker) checkOrder(r *checkedRequest) {
	for _, id := range chk.arrivalOrder[:r.arrivalIndex] {
		o := chk.requests[id]
		if o.OrderKey != r.OrderKey || !chk.settings.Classes[o.Class].Ordered {
			continue
		}
		out := slices.ContainsFunc(o.attempts, func(t checkedAttempt) bool { return !t.done })
		if !o.ended || out || chk.now < o.quarantinedUntil {
			chk.violation(5, "%s sent before %s was over or out of quarantine", r.ID, o.ID)
		}
	}
}

func (chk *checker) checkRetryBudget() {
	d := chk.settings.Constraints
	if !d.RetryBudgetEnabled {
		return
	}
	since := func(times []Time) float64 {
		n := 0
		for _, t := range times {
			if t > chk.now-d.RetryBudgetWindow {
				n++
			}
		}
		return float64(n)
	}
	if since(chk.retries) > d.RetryBudgetMin+d.RetryBudgetRatio*since(chk.arrivals) {
		chk.violation(7, "more retries than the retry budget")
	}
}

// advance moves the clock, fires the timers due, and ends attempts at their client's deadline.
func (chk *checker) advance(by Time) {
	until := chk.now + by
	for {
		chk.now += chk.settings.Tick
		for _, id := range chk.arrivalOrder {
			r := chk.requests[id]
			for i := range r.attempts {
				if !r.attempts[i].done && chk.now >= r.Deadline {
					chk.handle(Outcome{ID: id, Attempt: i, Engine: r.attempts[i].engine.ID, Status: StatusTimeout,
						Latency: chk.now - r.attempts[i].startedAt, Closed: r.ended})
				}
			}
		}
		due := chk.timers
		chk.timers = nil
		for i, t := range due {
			if t.At <= chk.now {
				chk.handle(TimerFired{Token: t.Token})
			} else {
				chk.timers = append(chk.timers, due[i])
			}
		}
		if chk.now >= until {
			return
		}
	}
}

// pending lists the attempts without an outcome.
func (chk *checker) pending() (out []Outcome) {
	for _, id := range chk.arrivalOrder {
		r := chk.requests[id]
		for i, a := range r.attempts {
			if !a.done {
				out = append(out, Outcome{ID: id, Attempt: i, Engine: a.engine.ID, Latency: chk.now - a.startedAt, Closed: r.ended})
			}
		}
	}
	return out
}

// resolve ends a pending attempt with a status.
func (chk *checker) resolve(o Outcome, v Status) {
	o.Status = v
	if v == StatusOK {
		o.Closed = true
		o.MeasuredWork = Time(chk.work[chk.requests[o.ID].Class])
		o.MeasuredMemoryMB = chk.requests[o.ID].EstimatedMemoryMB
	}
	chk.handle(o)
}

// resolveAll ends all pending attempts with a status.
func (chk *checker) resolveAll(status Status) {
	for _, o := range chk.pending() {
		chk.resolve(o, status)
	}
}

// verify fails the test on violations, and on requests past their time without an answer.
func (chk *checker) verify(what string) {
	chk.t.Helper()
	for _, id := range chk.arrivalOrder {
		if r := chk.requests[id]; chk.now > r.Deadline+chk.settings.Constraints.DeadlineSlack && r.responses != 1 {
			chk.violation(1, "%s has %d answers", id, r.responses)
		}
	}
	if len(chk.violations) > 0 {
		chk.t.Fatalf("%s: %d violations:\n%s", what, len(chk.violations), strings.Join(chk.violations[:min(5, len(chk.violations))], "\n"))
	}
}

// randomSettings draws settings that bring up every rule.
func randomSettings(rng *rand.Rand) Settings {
	s := Settings{
		Gateways: 1 + rng.IntN(4), Tick: 5 * Millisecond, Zone: 0,
		Kinds:            []EngineKind{{Cores: 8, MemoryMB: 16384}, {Cores: 2, MemoryMB: 4096}},
		MaxGrantFraction: 0.4, AcceptsGrants: rng.IntN(2) == 0, AcceptsPriority: rng.IntN(2) == 0, ReportsCost: true,
		Limits: Limits{MaxAttempts: 2 + rng.IntN(5), HedgedRequests: rng.IntN(2) == 0, Cancel: rng.IntN(4) > 0,
			Probes: rng.IntN(2) == 0, PeerMessages: rng.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: Second,
			ConnectTimeout: 250 * Millisecond},
		Constraints: Constraints{DeadlineSlack: 20 * Millisecond, DrainGrace: Second, SlowStartInitialSpeed: 0.3, SlowStartPeriod: 5 * Second,
			OverloadFactor: 2, OverloadWindow: 2 * Second, KeyQuarantine: 300 * Millisecond, RetryBudgetEnabled: rng.IntN(2) == 0,
			RetryBudgetMin: 3, RetryBudgetRatio: 0.1, RetryBudgetWindow: 3 * Second},
	}
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{QuotaPerSecond: 5, Fraction: 0.3}, {QuotaPerSecond: 10, Fraction: 0.7}}
	}
	for range 1 + rng.IntN(4) {
		c := Class{LatencyObjective: Time(200+rng.IntN(800)) * Millisecond, ObjectiveStretch: 2, ClientTimeout: 3 * Second, PriorityWeight: 1 + float64(rng.IntN(10)),
			LateValue: rng.Float64() / 2, Idempotency: Idempotency(rng.IntN(3)), DedupScope: DedupScope(rng.IntN(3)),
			DedupWindow: Time(200+rng.IntN(1500)) * Millisecond, Ordered: rng.IntN(2) == 0, Threads: 1 + rng.IntN(3),
			IsDataLoad: rng.IntN(4) == 0, BlockedByDataLoad: rng.IntN(3) == 0}
		if rng.IntN(3) == 0 {
			c.AllowedZones = []int{rng.IntN(2)}
		}
		if rng.IntN(3) == 0 {
			c.AllowedKinds = []int{rng.IntN(2)}
		}
		s.Classes = append(s.Classes, c)
	}
	return s
}

// TestRulesHold plays random events on random settings and checks the rules.
func TestRulesHold(t *testing.T) {
	sends, answers := 0, 0
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := randomSettings(rng)
		chk := newChecker(t, s, seed, Time(1+rng.IntN(1e9)))
		for c := range s.Classes {
			chk.work[c] = float64(Time(20+rng.IntN(400)) * Millisecond)
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
			t.Fatalf("seed %d: state is not freed: %d open, %d queued, %d key queues", seed, len(chk.module.requests), chk.module.queuedCount, len(chk.module.keyQueues))
		}
		sends, answers = sends+chk.sendCount, answers+chk.responseCount
	}
	if sends < 5000 || answers < 10000 {
		t.Fatalf("the test does too little: %d sends, %d answers", sends, answers)
	}
}

func randomStep(chk *checker, rng *rand.Rand, fleet []Engine, step int) {
	switch rng.IntN(13) {
	case 0, 1, 2, 3:
		c := rng.IntN(len(chk.settings.Classes))
		r := Request{ID: RequestID(fmt.Sprintf("q%d", step)), Class: c, Tenant: rng.IntN(max(1, len(chk.settings.Tenants))),
			Deadline: chk.now + Time(50+rng.IntN(2500))*Millisecond, EstimatedWork: Time(chk.work[c]), HasEstimate: true,
			EstimatedMemoryMB: float64(10 + rng.IntN(3000)), DataSet: rng.IntN(5)}
		if chk.settings.Classes[c].Ordered {
			r.OrderKey = fmt.Sprintf("k%d", rng.IntN(3))
		}
		chk.handle(Arrival{Request: r})
	case 4, 5, 6, 7:
		if p := chk.pending(); len(p) > 0 {
			statuses := []Status{StatusOK, StatusOK, StatusOK, StatusError, StatusRejected, StatusConnectFailed,
				StatusReset, StatusCancelled, StatusSuperseded}
			chk.resolve(p[rng.IntN(len(p))], statuses[rng.IntN(len(statuses))])
		}
	case 8:
		i := rng.IntN(len(fleet))
		fleet[i].State = EngineState(rng.IntN(3))
		if fleet[i].State == EngineServing && rng.IntN(2) == 0 {
			fleet[i].StartedAt = chk.now - Time(rng.IntN(1000))*Millisecond
			chk.slowStartSends[fleet[i].ID] = nil
		}
		chk.handle(FleetUpdate{Mode: UpdateDelta, Engines: fleet[i : i+1]})
	case 9:
		if rng.IntN(5) > 0 {
			chk.handle(FleetUpdate{Mode: UpdateFailed})
			return
		}
		serving := slices.DeleteFunc(slices.Clone(fleet), func(e Engine) bool { return e.State == EngineGone })
		chk.handle(FleetUpdate{Mode: UpdateFull, Engines: serving})
	case 10:
		if len(chk.arrivalOrder) > 0 && rng.IntN(4) == 0 {
			if id := chk.arrivalOrder[rng.IntN(len(chk.arrivalOrder))]; !chk.requests[id].ended {
				chk.handle(ClientGone{ID: id})
			}
		}
	case 11:
		n := peerReport{fleet[rng.IntN(len(fleet))].ID, float64(rng.IntN(8)), float64(rng.IntN(5e6))}
		chk.handle(PeerMessage{From: rng.IntN(6), Payload: n.encode()[:peerReportSize-rng.IntN(2)]})
	case 12:
		chk.advance(Time(5*(1+rng.IntN(40))) * Millisecond)
	}
}
