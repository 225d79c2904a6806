package rules

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// checker keeps its own books of what a module was told and did, and judges
// the seven rules by them alone.
type checker struct {
	t              *testing.T
	settings       Settings
	module         *Module
	now            Time
	startedAt      Time
	engines        map[EngineID]Engine
	requests       map[RequestID]*checkedRequest
	arrivalOrder   []RequestID // of arrival
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

func (f *checker) violation(rule int, format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf("rule %d at %d: %s", rule, f.now, fmt.Sprintf(format, args...)))
}

// handle hands an event over, having booked it, and judges the actions.
func (f *checker) handle(e Event) []Action {
	switch e := e.(type) {
	case FleetUpdate:
		if e.Mode == UpdateFull || e.Mode == UpdateCached {
			clear(f.engines)
		}
		for _, n := range e.Engines {
			f.engines[n.ID] = n
		}
	case Arrival:
		f.requests[e.Request.ID] = &checkedRequest{Request: e.Request, arrivalIndex: len(f.arrivalOrder)}
		f.arrivalOrder = append(f.arrivalOrder, e.Request.ID)
		f.arrivals = append(f.arrivals, f.now)
	case Outcome:
		r := f.requests[e.ID]
		a := &r.attempts[e.Attempt]
		a.done, a.status = true, e.Status
		if e.Status == StatusTimeout || e.Status == StatusReset || e.Status == StatusCancelled {
			r.quarantinedUntil = f.now + f.settings.Constraints.KeyQuarantine
		}
		if e.Closed && !r.ended {
			r.ended = true
			r.responses++
		}
	case ClientGone:
		if r := f.requests[e.ID]; !r.ended {
			r.ended = true
			r.responses++
		}
	}
	actions := slices.Clone(f.module.Handle(f.now, e))
	for _, a := range actions {
		f.checkAction(a)
	}
	return actions
}

func (f *checker) checkAction(a Action) {
	if f.observe != nil {
		f.observe(a)
	}
	switch a := a.(type) {
	case Send:
		f.sendCount++
		f.checkSend(a)
	case Reject:
		r := f.requests[a.ID]
		f.checkFinal(r)
		for _, t := range r.attempts {
			c := f.settings.Classes[r.Class]
			proven := t.done && t.status.NeverExecuted()
			if !proven && (c.Idempotency == NotIdempotent || c.Idempotency == IdempotentWithKey && c.DedupScope != DedupFleet) {
				f.violation(2, "%s refused though it may have run", a.ID)
			}
		}
	case Fail:
		f.checkFinal(f.requests[a.ID])
	case SetTimer:
		f.timers = append(f.timers, a)
	case Cancel:
		if r := f.requests[a.ID]; r == nil || a.Attempt >= len(r.attempts) {
			f.t.Fatalf("cancel of an attempt never made: %v", a)
		}
	}
}

func (f *checker) checkFinal(r *checkedRequest) {
	f.responseCount++
	r.responses++
	if r.ended {
		f.violation(1, "%s answered again", r.ID)
	}
	r.ended = true
	if f.now > r.Deadline+f.settings.Constraints.DeadlineSlack {
		f.violation(1, "%s answered late", r.ID)
	}
}

func (f *checker) checkSend(a Send) {
	r, c := f.requests[a.ID], f.settings.Classes[f.requests[a.ID].Class]
	e, known := f.engines[a.Engine]
	if !known || e.State != EngineServing {
		f.violation(3, "%s sent to engine %d, which is not serving", a.ID, a.Engine)
	}
	if r.ended {
		f.violation(1, "%s sent after its end", a.ID)
	}
	f.checkIdempotency(r, c, e)
	f.checkSlowStart(r, e)
	if c.Ordered && r.OrderKey != "" {
		f.checkOrder(r)
	}
	if c.AllowedZones != nil && !slices.Contains(c.AllowedZones, e.Zone) || c.AllowedKinds != nil && !slices.Contains(c.AllowedKinds, e.Kind) {
		f.violation(6, "%s sent out of its place", a.ID)
	}
	if len(r.attempts) > 0 {
		f.retries = append(f.retries, f.now)
		f.checkRetryBudget()
	}
	if m := f.settings.Limits.MaxAttempts; m > 0 && len(r.attempts) >= m {
		f.t.Fatalf("%s has more than %d attempts", a.ID, m)
	}
	r.attempts = append(r.attempts, checkedAttempt{engine: e, startedAt: f.now})
}

func (f *checker) checkIdempotency(r *checkedRequest, c Class, e Engine) {
	for _, t := range r.attempts {
		if !t.done && !f.settings.Limits.HedgedRequests {
			f.violation(2, "%s has two attempts out", r.ID)
		}
		if t.done && t.status.NeverExecuted() {
			continue
		}
		switch c.Idempotency {
		case NotIdempotent:
			f.violation(2, "%s sent again though it may have run", r.ID)
		case IdempotentWithKey:
			same := c.DedupScope == DedupFleet || c.DedupScope == DedupZone && t.engine.Zone == e.Zone ||
				c.DedupScope == DedupCell && t.engine.Cell == e.Cell
			if !same || f.now > t.startedAt+c.DedupWindow {
				f.violation(2, "%s sent again where or when repeats are not dropped", r.ID)
			}
		}
	}
}

// checkSlowStart holds this instance to its part, one of the siblings', of the cold engine's budget.
func (f *checker) checkSlowStart(r *checkedRequest, e Engine) {
	d := f.settings.Constraints
	if e.StartedAt == 0 || f.now >= e.StartedAt+d.SlowStartPeriod {
		return
	}
	f.slowStartSends[e.ID] = append(f.slowStartSends[e.ID], checkedSend{f.now, f.work[r.Class]})
	sum := 0.0
	for _, s := range f.slowStartSends[e.ID] {
		if s.at > f.now-d.OverloadWindow {
			sum += s.work
		}
	}
	k := f.settings.Kinds[e.Kind]
	warm := d.SlowStartInitialSpeed + (1-d.SlowStartInitialSpeed)*float64(f.now-e.StartedAt)/float64(d.SlowStartPeriod)
	if sum > d.OverloadFactor*warm*k.Cores*float64(d.OverloadWindow)/float64(f.settings.Gateways) {
		f.violation(4, "cold engine %d sent too much", e.ID)
	}
	if f.now < f.startedAt+d.OverloadWindow {
		f.violation(4, "cold engine %d sent to by a gateway that just started", e.ID)
	}
}

func (f *checker) checkOrder(r *checkedRequest) {
	for _, id := range f.arrivalOrder[:r.arrivalIndex] {
		o := f.requests[id]
		if o.OrderKey != r.OrderKey || !f.settings.Classes[o.Class].Ordered {
			continue
		}
		out := slices.ContainsFunc(o.attempts, func(t checkedAttempt) bool { return !t.done })
		if !o.ended || out || f.now < o.quarantinedUntil {
			f.violation(5, "%s sent before %s was over or rested", r.ID, o.ID)
		}
	}
}

func (f *checker) checkRetryBudget() {
	d := f.settings.Constraints
	if !d.RetryBudgetEnabled {
		return
	}
	since := func(times []Time) float64 {
		n := 0
		for _, t := range times {
			if t > f.now-d.RetryBudgetWindow {
				n++
			}
		}
		return float64(n)
	}
	if since(f.retries) > d.RetryBudgetMin+d.RetryBudgetRatio*since(f.arrivals) {
		f.violation(7, "more further attempts than the ration")
	}
}

// advance moves the clock, rings the timers due, and lets attempts end at their client's deadline.
func (f *checker) advance(by Time) {
	until := f.now + by
	for {
		f.now += f.settings.Tick
		for _, id := range f.arrivalOrder {
			r := f.requests[id]
			for i := range r.attempts {
				if !r.attempts[i].done && f.now >= r.Deadline {
					f.handle(Outcome{ID: id, Attempt: i, Engine: r.attempts[i].engine.ID, Status: StatusTimeout,
						Latency: f.now - r.attempts[i].startedAt, Closed: r.ended})
				}
			}
		}
		due := f.timers
		f.timers = nil
		for i, t := range due {
			if t.At <= f.now {
				f.handle(TimerFired{Token: t.Token})
			} else {
				f.timers = append(f.timers, due[i])
			}
		}
		if f.now >= until {
			return
		}
	}
}

// pending lists the attempts without an outcome.
func (f *checker) pending() (out []Outcome) {
	for _, id := range f.arrivalOrder {
		r := f.requests[id]
		for i, a := range r.attempts {
			if !a.done {
				out = append(out, Outcome{ID: id, Attempt: i, Engine: a.engine.ID, Latency: f.now - a.startedAt, Closed: r.ended})
			}
		}
	}
	return out
}

// resolve ends a pending attempt with a verdict.
func (f *checker) resolve(o Outcome, v Status) {
	o.Status = v
	if v == StatusOK {
		o.Closed = true
		o.MeasuredWork = Time(f.work[f.requests[o.ID].Class])
		o.MeasuredMemoryMB = f.requests[o.ID].EstimatedMemoryMB
	}
	f.handle(o)
}

// verify fails the test on breaches, and on requests past their time without an answer.
func (f *checker) verify(what string) {
	f.t.Helper()
	for _, id := range f.arrivalOrder {
		if r := f.requests[id]; f.now > r.Deadline+f.settings.Constraints.DeadlineSlack && r.responses != 1 {
			f.violation(1, "%s has %d answers", id, r.responses)
		}
	}
	if len(f.violations) > 0 {
		f.t.Fatalf("%s: %d breaches:\n%s", what, len(f.violations), strings.Join(f.violations[:min(5, len(f.violations))], "\n"))
	}
}

// randomSettings draws settings in which every rule has something to say.
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

// TestRulesHold plays random events on random settings and lets the referee judge.
func TestRulesHold(t *testing.T) {
	sends, answers := 0, 0
	for seed := range uint64(150) {
		rng := rand.New(rand.NewPCG(seed, 1))
		s := randomSettings(rng)
		f := newChecker(t, s, seed, Time(1+rng.IntN(1e9)))
		for c := range s.Classes {
			f.work[c] = float64(Time(20+rng.IntN(400)) * Millisecond)
		}
		fleet := make([]Engine, 2+rng.IntN(6))
		for i := range fleet {
			fleet[i] = Engine{ID: EngineID(100 + i*7), Cell: i / 2, Zone: i % 2, Kind: rng.IntN(2), Scale: 1}
			if rng.IntN(4) == 0 {
				fleet[i].StartedAt = f.now - Time(rng.IntN(3))*Second
			}
		}
		f.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
		for step := range 700 {
			randomStep(f, rng, fleet, step)
		}
		f.advance(6 * Second)
		f.verify(fmt.Sprintf("seed %d", seed))
		if len(f.module.requests) != 0 || f.module.queuedCount != 0 || len(f.module.keyQueues) != 0 {
			t.Fatalf("seed %d: state is not freed: %d open, %d held, %d lanes", seed, len(f.module.requests), f.module.queuedCount, len(f.module.keyQueues))
		}
		sends, answers = sends+f.sendCount, answers+f.responseCount
	}
	if sends < 5000 || answers < 10000 {
		t.Fatalf("the test has lost its grip: %d sends, %d answers", sends, answers)
	}
}

func randomStep(f *checker, rng *rand.Rand, fleet []Engine, step int) {
	switch rng.IntN(13) {
	case 0, 1, 2, 3:
		c := rng.IntN(len(f.settings.Classes))
		r := Request{ID: RequestID(fmt.Sprintf("q%d", step)), Class: c, Tenant: rng.IntN(max(1, len(f.settings.Tenants))),
			Deadline: f.now + Time(50+rng.IntN(2500))*Millisecond, EstimatedWork: Time(f.work[c]), HasEstimate: true,
			EstimatedMemoryMB: float64(10 + rng.IntN(3000)), DataSet: rng.IntN(5)}
		if f.settings.Classes[c].Ordered {
			r.OrderKey = fmt.Sprintf("k%d", rng.IntN(3))
		}
		f.handle(Arrival{Request: r})
	case 4, 5, 6, 7:
		if p := f.pending(); len(p) > 0 {
			verdicts := []Status{StatusOK, StatusOK, StatusOK, StatusError, StatusRejected, StatusConnectFailed,
				StatusReset, StatusCancelled, StatusSuperseded}
			f.resolve(p[rng.IntN(len(p))], verdicts[rng.IntN(len(verdicts))])
		}
	case 8:
		i := rng.IntN(len(fleet))
		fleet[i].State = EngineState(rng.IntN(3))
		if fleet[i].State == EngineServing && rng.IntN(2) == 0 {
			fleet[i].StartedAt = f.now - Time(rng.IntN(1000))*Millisecond
			f.slowStartSends[fleet[i].ID] = nil
		}
		f.handle(FleetUpdate{Mode: UpdateDelta, Engines: fleet[i : i+1]})
	case 9:
		if rng.IntN(5) > 0 {
			f.handle(FleetUpdate{Mode: UpdateFailed})
			return
		}
		serving := slices.DeleteFunc(slices.Clone(fleet), func(e Engine) bool { return e.State == EngineGone })
		f.handle(FleetUpdate{Mode: UpdateFull, Engines: serving})
	case 10:
		if len(f.arrivalOrder) > 0 && rng.IntN(4) == 0 {
			if id := f.arrivalOrder[rng.IntN(len(f.arrivalOrder))]; !f.requests[id].ended {
				f.handle(ClientGone{ID: id})
			}
		}
	case 11:
		n := peerReport{fleet[rng.IntN(len(fleet))].ID, float64(rng.IntN(8)), float64(rng.IntN(5e6))}
		f.handle(PeerMessage{From: rng.IntN(6), Payload: n.encode()[:peerReportSize-rng.IntN(2)]})
	case 12:
		f.advance(Time(5*(1+rng.IntN(40))) * Millisecond)
	}
}
