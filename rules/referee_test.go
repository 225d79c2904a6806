package rules

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// referee keeps its own books of what a module was told and did, and judges
// the seven rules by them alone.
type referee struct {
	t        *testing.T
	s        Settings
	m        *Module
	now      Time
	start    Time
	engines  map[EngineID]Engine
	requests map[RequestID]*refRequest
	order    []RequestID // of arrival
	timers   []SetTimer
	taken    []Time
	extras   []Time
	cold     map[EngineID][]refSend
	usual    map[int]float64 // work of a request, by class
	broken   []string
	sends    int
	answers  int
	logging  func(Action)
}

type refRequest struct {
	Request
	attempts []refAttempt
	over     bool
	answers  int
	taken    int // place in the order of arrival
	freeAt   Time
}

type refAttempt struct {
	engine  Engine
	at      Time
	done    bool
	verdict Verdict
}

type refSend struct {
	at   Time
	work float64
}

func newReferee(t *testing.T, s Settings, seed uint64, start Time) *referee {
	return &referee{t: t, s: s, m: New(s, seed), now: start, start: start, engines: map[EngineID]Engine{},
		requests: map[RequestID]*refRequest{}, cold: map[EngineID][]refSend{}, usual: map[int]float64{}}
}

func (f *referee) breach(rule int, format string, args ...any) {
	f.broken = append(f.broken, fmt.Sprintf("rule %d at %d: %s", rule, f.now, fmt.Sprintf(format, args...)))
}

// tell hands an event over, having booked it, and judges the actions.
func (f *referee) tell(e Event) []Action {
	switch e := e.(type) {
	case FleetChange:
		if e.Mode == ListFull || e.Mode == ListSaved {
			clear(f.engines)
		}
		for _, n := range e.Engines {
			f.engines[n.ID] = n
		}
	case Arrival:
		f.requests[e.Request.ID] = &refRequest{Request: e.Request, taken: len(f.order)}
		f.order = append(f.order, e.Request.ID)
		f.taken = append(f.taken, f.now)
	case Outcome:
		r := f.requests[e.ID]
		a := &r.attempts[e.Attempt]
		a.done, a.verdict = true, e.Verdict
		if e.Verdict == VerdictTimeout || e.Verdict == VerdictReset || e.Verdict == VerdictCancelled {
			r.freeAt = f.now + f.s.Duties.KeyRest
		}
		if e.Closed && !r.over {
			r.over = true
			r.answers++
		}
	case Departure:
		if r := f.requests[e.ID]; !r.over {
			r.over = true
			r.answers++
		}
	}
	actions := slices.Clone(f.m.Handle(f.now, e))
	for _, a := range actions {
		f.judge(a)
	}
	return actions
}

func (f *referee) judge(a Action) {
	if f.logging != nil {
		f.logging(a)
	}
	switch a := a.(type) {
	case Send:
		f.sends++
		f.judgeSend(a)
	case Refuse:
		r := f.requests[a.ID]
		f.final(r)
		for _, t := range r.attempts {
			c := f.s.Classes[r.Class]
			proven := t.done && t.verdict.NeverRan()
			if !proven && (c.Effect == EffectUnsafe || c.Effect == EffectKeyed && c.Group != GroupAll) {
				f.breach(2, "%s refused though it may have run", a.ID)
			}
		}
	case Fail:
		f.final(f.requests[a.ID])
	case SetTimer:
		f.timers = append(f.timers, a)
	case Cancel:
		if r := f.requests[a.ID]; r == nil || a.Attempt >= len(r.attempts) {
			f.t.Fatalf("cancel of an attempt never made: %v", a)
		}
	}
}

func (f *referee) final(r *refRequest) {
	f.answers++
	r.answers++
	if r.over {
		f.breach(1, "%s answered again", r.ID)
	}
	r.over = true
	if f.now > r.Due+f.s.Duties.AnswerSlack {
		f.breach(1, "%s answered late", r.ID)
	}
}

func (f *referee) judgeSend(a Send) {
	r, c := f.requests[a.ID], f.s.Classes[f.requests[a.ID].Class]
	e, known := f.engines[a.Engine]
	if !known || e.State != EngineServing {
		f.breach(3, "%s sent to engine %d, which is not serving", a.ID, a.Engine)
	}
	if r.over {
		f.breach(1, "%s sent after its end", a.ID)
	}
	f.judgeEffect(r, c, e)
	f.judgeCold(r, e)
	if c.Ordered && r.OrderKey != "" {
		f.judgeOrder(r)
	}
	if c.Zones != nil && !slices.Contains(c.Zones, e.Zone) || c.Kinds != nil && !slices.Contains(c.Kinds, e.Kind) {
		f.breach(6, "%s sent out of its place", a.ID)
	}
	if len(r.attempts) > 0 {
		f.extras = append(f.extras, f.now)
		f.judgeRation()
	}
	if m := f.s.Limits.MaxAttempts; m > 0 && len(r.attempts) >= m {
		f.t.Fatalf("%s has more than %d attempts", a.ID, m)
	}
	r.attempts = append(r.attempts, refAttempt{engine: e, at: f.now})
}

func (f *referee) judgeEffect(r *refRequest, c Class, e Engine) {
	for _, t := range r.attempts {
		if !t.done && !f.s.Limits.ParallelTries {
			f.breach(2, "%s has two attempts out", r.ID)
		}
		if t.done && t.verdict.NeverRan() {
			continue
		}
		switch c.Effect {
		case EffectUnsafe:
			f.breach(2, "%s sent again though it may have run", r.ID)
		case EffectKeyed:
			same := c.Group == GroupAll || c.Group == GroupZone && t.engine.Zone == e.Zone ||
				c.Group == GroupCell && t.engine.Cell == e.Cell
			if !same || f.now > t.at+c.DedupWindow {
				f.breach(2, "%s sent again where or when repeats are not dropped", r.ID)
			}
		}
	}
}

// judgeCold holds this instance to its part, one of the siblings', of the cold engine's budget.
func (f *referee) judgeCold(r *refRequest, e Engine) {
	d := f.s.Duties
	if e.StartedAt == 0 || f.now >= e.StartedAt+d.ColdFor {
		return
	}
	f.cold[e.ID] = append(f.cold[e.ID], refSend{f.now, f.usual[r.Class]})
	sum := 0.0
	for _, s := range f.cold[e.ID] {
		if s.at > f.now-d.TipAfter {
			sum += s.work
		}
	}
	k := f.s.Kinds[e.Kind]
	warm := d.ColdFrom + (1-d.ColdFrom)*float64(f.now-e.StartedAt)/float64(d.ColdFor)
	if sum > d.OverloadFactor*warm*k.Cores*float64(d.TipAfter)/float64(f.s.Siblings) {
		f.breach(4, "cold engine %d sent too much", e.ID)
	}
	if f.now < f.start+d.TipAfter {
		f.breach(4, "cold engine %d sent to by a gateway that just started", e.ID)
	}
}

func (f *referee) judgeOrder(r *refRequest) {
	for _, id := range f.order[:r.taken] {
		o := f.requests[id]
		if o.OrderKey != r.OrderKey || !f.s.Classes[o.Class].Ordered {
			continue
		}
		out := slices.ContainsFunc(o.attempts, func(t refAttempt) bool { return !t.done })
		if !o.over || out || f.now < o.freeAt {
			f.breach(5, "%s sent before %s was over or rested", r.ID, o.ID)
		}
	}
}

func (f *referee) judgeRation() {
	d := f.s.Duties
	if !d.Rationed {
		return
	}
	since := func(times []Time) float64 {
		n := 0
		for _, t := range times {
			if t > f.now-d.RationWindow {
				n++
			}
		}
		return float64(n)
	}
	if since(f.extras) > d.FreeResends+d.ExtraPerTaken*since(f.taken) {
		f.breach(7, "more further attempts than the ration")
	}
}

// advance moves the clock, rings the timers due, and lets attempts end at their client's deadline.
func (f *referee) advance(by Time) {
	until := f.now + by
	for {
		f.now += f.s.Tick
		for _, id := range f.order {
			r := f.requests[id]
			for i := range r.attempts {
				if !r.attempts[i].done && f.now >= r.Due {
					f.tell(Outcome{ID: id, Attempt: i, Engine: r.attempts[i].engine.ID, Verdict: VerdictTimeout,
						Latency: f.now - r.attempts[i].at, Closed: r.over})
				}
			}
		}
		due := f.timers
		f.timers = nil
		for i, t := range due {
			if t.At <= f.now {
				f.tell(Alarm{Token: t.Token})
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
func (f *referee) pending() (out []Outcome) {
	for _, id := range f.order {
		r := f.requests[id]
		for i, a := range r.attempts {
			if !a.done {
				out = append(out, Outcome{ID: id, Attempt: i, Engine: a.engine.ID, Latency: f.now - a.at, Closed: r.over})
			}
		}
	}
	return out
}

// resolve ends a pending attempt with a verdict.
func (f *referee) resolve(o Outcome, v Verdict) {
	o.Verdict = v
	if v == VerdictOK {
		o.Closed = true
		o.TrueWork = Time(f.usual[f.requests[o.ID].Class])
		o.TrueMemoryMB = f.requests[o.ID].MemoryMB
	}
	f.tell(o)
}

// check fails the test on breaches, and on requests past their time without an answer.
func (f *referee) check(what string) {
	f.t.Helper()
	for _, id := range f.order {
		if r := f.requests[id]; f.now > r.Due+f.s.Duties.AnswerSlack && r.answers != 1 {
			f.breach(1, "%s has %d answers", id, r.answers)
		}
	}
	if len(f.broken) > 0 {
		f.t.Fatalf("%s: %d breaches:\n%s", what, len(f.broken), strings.Join(f.broken[:min(5, len(f.broken))], "\n"))
	}
}

// anySettings draws settings in which every rule has something to say.
func anySettings(rng *rand.Rand) Settings {
	s := Settings{
		Siblings: 1 + rng.IntN(4), Tick: 5 * Millisecond, Zone: 0,
		Kinds:     []Kind{{Cores: 8, MemoryMB: 16384}, {Cores: 2, MemoryMB: 4096}},
		MostGrant: 0.4, TakesGrants: rng.IntN(2) == 0, TakesPriority: rng.IntN(2) == 0, TellsCost: true,
		Limits: Limits{MaxAttempts: 2 + rng.IntN(5), ParallelTries: rng.IntN(2) == 0, Cancel: rng.IntN(4) > 0,
			Probes: rng.IntN(2) == 0, PeerMessages: rng.IntN(2) == 0, RetryAfter: true, MaxRetryAfter: Second,
			ConnectTimeout: 250 * Millisecond},
		Duties: Duties{AnswerSlack: 20 * Millisecond, DrainGrace: Second, ColdFrom: 0.3, ColdFor: 5 * Second,
			OverloadFactor: 2, TipAfter: 2 * Second, KeyRest: 300 * Millisecond, Rationed: rng.IntN(2) == 0,
			FreeResends: 3, ExtraPerTaken: 0.1, RationWindow: 3 * Second},
	}
	if rng.IntN(2) == 0 {
		s.Tenants = []Tenant{{QuotaPerS: 5, Fraction: 0.3}, {QuotaPerS: 10, Fraction: 0.7}}
	}
	for range 1 + rng.IntN(4) {
		c := Class{Aim: Time(200+rng.IntN(800)) * Millisecond, AimStretch: 2, GiveUp: 3 * Second, Worth: 1 + float64(rng.IntN(10)),
			LateValue: rng.Float64() / 2, Effect: Effect(rng.IntN(3)), Group: Group(rng.IntN(3)),
			DedupWindow: Time(200+rng.IntN(1500)) * Millisecond, Ordered: rng.IntN(2) == 0, Threads: 1 + rng.IntN(3),
			IsLoad: rng.IntN(4) == 0, WaitsOnLoad: rng.IntN(3) == 0}
		if rng.IntN(3) == 0 {
			c.Zones = []int{rng.IntN(2)}
		}
		if rng.IntN(3) == 0 {
			c.Kinds = []int{rng.IntN(2)}
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
		s := anySettings(rng)
		f := newReferee(t, s, seed, Time(1+rng.IntN(1e9)))
		for c := range s.Classes {
			f.usual[c] = float64(Time(20+rng.IntN(400)) * Millisecond)
		}
		fleet := make([]Engine, 2+rng.IntN(6))
		for i := range fleet {
			fleet[i] = Engine{ID: EngineID(100 + i*7), Cell: i / 2, Zone: i % 2, Kind: rng.IntN(2), Scale: 1}
			if rng.IntN(4) == 0 {
				fleet[i].StartedAt = f.now - Time(rng.IntN(3))*Second
			}
		}
		f.tell(FleetChange{Mode: ListSaved, Engines: fleet})
		for step := range 700 {
			playStep(f, rng, fleet, step)
		}
		f.advance(6 * Second)
		f.check(fmt.Sprintf("seed %d", seed))
		if len(f.m.open) != 0 || f.m.held != 0 || len(f.m.lanes) != 0 {
			t.Fatalf("seed %d: state is not freed: %d open, %d held, %d lanes", seed, len(f.m.open), f.m.held, len(f.m.lanes))
		}
		sends, answers = sends+f.sends, answers+f.answers
	}
	if sends < 5000 || answers < 10000 {
		t.Fatalf("the test has lost its grip: %d sends, %d answers", sends, answers)
	}
}

func playStep(f *referee, rng *rand.Rand, fleet []Engine, step int) {
	switch rng.IntN(13) {
	case 0, 1, 2, 3:
		c := rng.IntN(len(f.s.Classes))
		r := Request{ID: RequestID(fmt.Sprintf("q%d", step)), Class: c, Tenant: rng.IntN(max(1, len(f.s.Tenants))),
			Due: f.now + Time(50+rng.IntN(2500))*Millisecond, Work: Time(f.usual[c]), HasWork: true,
			MemoryMB: float64(10 + rng.IntN(3000)), DataSet: rng.IntN(5)}
		if f.s.Classes[c].Ordered {
			r.OrderKey = fmt.Sprintf("k%d", rng.IntN(3))
		}
		f.tell(Arrival{Request: r})
	case 4, 5, 6, 7:
		if p := f.pending(); len(p) > 0 {
			verdicts := []Verdict{VerdictOK, VerdictOK, VerdictOK, VerdictError, VerdictFull, VerdictConnectFailed,
				VerdictReset, VerdictCancelled, VerdictMoot}
			f.resolve(p[rng.IntN(len(p))], verdicts[rng.IntN(len(verdicts))])
		}
	case 8:
		i := rng.IntN(len(fleet))
		fleet[i].State = EngineState(rng.IntN(3))
		if fleet[i].State == EngineServing && rng.IntN(2) == 0 {
			fleet[i].StartedAt = f.now - Time(rng.IntN(1000))*Millisecond
			f.cold[fleet[i].ID] = nil
		}
		f.tell(FleetChange{Mode: ListDelta, Engines: fleet[i : i+1]})
	case 9:
		if rng.IntN(5) > 0 {
			f.tell(FleetChange{Mode: ListFailed})
			return
		}
		serving := slices.DeleteFunc(slices.Clone(fleet), func(e Engine) bool { return e.State == EngineGone })
		f.tell(FleetChange{Mode: ListFull, Engines: serving})
	case 10:
		if len(f.order) > 0 && rng.IntN(4) == 0 {
			if id := f.order[rng.IntN(len(f.order))]; !f.requests[id].over {
				f.tell(Departure{ID: id})
			}
		}
	case 11:
		n := note{fleet[rng.IntN(len(fleet))].ID, float64(rng.IntN(8)), float64(rng.IntN(5e6))}
		f.tell(PeerMessage{From: rng.IntN(6), Payload: n.encode()[:noteSize-rng.IntN(2)]})
	case 12:
		f.advance(Time(5*(1+rng.IntN(40))) * Millisecond)
	}
}
