package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// The spent slow-start budget of an engine outlives its absence from the list, and a gateway that has just
// started sends it nothing for a window.
func TestSlowStartBudget(t *testing.T) {
	s := basicSettings(interactive)
	chk := newChecker(t, s, 1, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	warming := []Engine{{ID: 1, StartedAt: chk.now}}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: warming})
	if id := chk.submit(0, nil); chk.attempts(id) != 0 {
		t.Fatal("sent to a warming engine by a gateway that just started")
	}
	chk.advance(2500 * Millisecond)
	send := func() (n int) {
		for range 200 {
			n += chk.attempts(chk.submit(0, nil))
			chk.resolveAll(StatusOK)
		}
		return n
	}
	if n := send(); n == 0 || n == 200 {
		t.Fatalf("%d of 200 sent to a warming engine at once", n)
	}
	chk.handle(FleetUpdate{Mode: UpdateFull})
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: warming})
	if n := send(); n != 0 {
		t.Fatalf("%d sent after the engine left the list and came back", n)
	}
	chk.verify("slow start")
}

// An engine restarts at its address and the list says so a while later. What the new process got until then is part of what it
// bears: the gateway sends it the rest of its part, and a full part only once a window has passed. Seen in the reducer's
// simulation: an engine got 4.6 s of work in the 112 ms before the notification, of which the gateway counted nothing, and 9.9 s
// after it, where it bore 12.3 s.
func TestSlowStartBudgetCountsWhatCameBeforeTheNotification(t *testing.T) {
	for _, between := range []string{"nothing", "a list without it", "a list with its start and one without"} {
		t.Run(between+" in between", func(t *testing.T) { checkLateNotification(t, between) })
	}
}

func checkLateNotification(t *testing.T, between string) {
	chk := startModule(t, basicSettings(interactive), 1)
	chk.advance(3 * Second)
	former, restarted := fleetOf(1), fleetOf(1)
	restarted[0].StartedAt = chk.now
	send := func(most int) (work float64) {
		for range most {
			work += float64(chk.attempts(chk.submit(0, nil))) * chk.work[0]
			chk.resolveAll(StatusOK)
		}
		return work
	}
	before := send(20)
	chk.advance(200 * Millisecond)
	switch between {
	case "a list without it":
		chk.handle(FleetUpdate{Mode: UpdateFull})
		chk.advance(100 * Millisecond)
	case "a list with its start and one without": // the second one is stale
		chk.handle(FleetUpdate{Mode: UpdateFull, Engines: restarted})
		chk.handle(FleetUpdate{Mode: UpdateFull, Engines: former})
		chk.submit(0, nil)
		chk.resolveAll(StatusOK)
	}
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: restarted})
	part := slowStartSafety * chk.module.slowStartQuota(chk.module.engineByID[1])
	after := send(200)
	if before == 0 || before > part/2 || after == 0 {
		t.Fatalf("%.0f before and %.0f after the notification of a part of %.0f: the test has lost its subject", before, after, part)
	}
	if before+after > part {
		t.Errorf("%.0f were sent before and %.0f after the notification, together more than the gateway's part of %.0f", before, after, part)
	}
	chk.advance(chk.settings.Constraints.OverloadWindow + 10*Millisecond)
	if again := send(200); again < after {
		t.Errorf("%.0f were sent a window later, less than the %.0f at first", again, after)
	}
	chk.verify("late notification")
}

// Where clients estimate nothing, a warming engine's budget counts what the requests of a class were measured to cost. It counted the
// latency objective, for ever, so an engine got as many times its budget as its requests cost more than that.
func TestSlowStartBudgetOfUndeclaredWork(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	chk.work[0] = float64(1800 * Millisecond) // the objective is 600 ms
	send := func(most int) (sent int) {
		for range most {
			id := chk.submit(0, func(r *Request) { r.HasEstimate, r.EstimatedWork = false, 0 })
			sent += chk.attempts(id)
			chk.resolveAll(StatusOK)
		}
		return sent
	}
	if send(20) < 10 {
		t.Fatal("warm engines get nothing: the test has lost its subject")
	}
	chk.advance(3 * Second)
	warming := fleetOf(2)
	for i := range warming {
		warming[i].StartedAt = chk.now
	}
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: warming})
	if send(200) < 2 {
		t.Error("the warming engines get nothing")
	}
	chk.verify("undeclared work") // by the true work
}

// A heavy query counts against a warming engine's budget with its own work, not with the mean of its class: four of 60 s together counted as
// 8 s in the emulator (one gateway, seed 2), and the engine got 85.3 s of work where it bears 84.7 s and the gateway counted 38.5 s.
func TestSlowStartBudgetOfHeavyQueries(t *testing.T) {
	patient := interactive
	patient.LatencyObjective, patient.ClientTimeout = 20*Second, 30*Second
	chk := startModule(t, basicSettings(patient), 1)
	for range 100 { // the mean of the class is of light ones
		chk.submit(0, nil)
		chk.resolveAll(StatusOK)
	}
	chk.advance(3 * Second)
	restarted := fleetOf(1)
	restarted[0].StartedAt = chk.now
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: restarted})
	bears := chk.module.slowStartQuota(chk.module.engineByID[1])
	sent := 0.0
	for range 20 {
		heavy := 2500 * Millisecond
		id := chk.submit(0, func(r *Request) { r.EstimatedWork, r.Deadline = heavy, chk.now+30*Second })
		sent += float64(chk.attempts(id)) * float64(heavy)
		chk.resolveAll(StatusOK)
	}
	if sent == 0 {
		t.Error("the engine gets no heavy query: the test has lost its subject")
	}
	if sent > bears {
		t.Errorf("sent %.0f at once to an engine that bears %.0f", sent, bears)
	}
}

// The slow-start budget binds over all gateways together, whatever part of the traffic each has.
func TestSlowStartBudgetOfAHundredGateways(t *testing.T) {
	t.Run("light", func(t *testing.T) { checkHundredGateways(t, 20*Millisecond) })
	t.Run("heavier than an even part", func(t *testing.T) { checkHundredGateways(t, 600*Millisecond) })
}

func checkHundredGateways(t *testing.T, work Time) {
	heavy := interactive
	heavy.LatencyObjective = 3 * Second
	s := basicSettings(heavy)
	s.Gateways = 100
	fleet := fleetOf(3)
	fleet[2].StartedAt = 1000 * Second
	sent := map[Time]float64{}
	first, last, count := fleet[2].StartedAt, Time(0), 0
	for g := range s.Gateways {
		s.GatewayIndex = g
		chk := newChecker(t, s, uint64(g), first)
		chk.work[0] = float64(work)
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
		for range 40 {
			for range 1 + g%7 {
				chk.submit(0, func(r *Request) { r.DataSet = g % 11 })
			}
			chk.advance(200 * Millisecond)
			chk.resolveAll(StatusOK)
			last = chk.now
		}
		for _, r := range chk.requests {
			for _, a := range r.attempts {
				if a.engine.ID == 3 {
					sent[a.startedAt] += chk.work[0]
					count++
				}
			}
		}
		if chk.violations = slices.DeleteFunc(chk.violations, func(s string) bool { return strings.HasPrefix(s, "rule 4") }); len(chk.violations) > 0 {
			t.Fatal(chk.violations) // rule 4 is checked below, by what all of them sent
		}
	}
	if count == 0 {
		t.Fatal("the warming engine got nothing from anyone")
	}
	d := s.Constraints
	for end := first + d.OverloadWindow; end <= last; end += s.Tick {
		sum := 0.0
		for at, work := range sent {
			if at > end-d.OverloadWindow && at <= end {
				sum += work
			}
		}
		warm := d.SlowStartInitialSpeed + (1-d.SlowStartInitialSpeed)*float64(end-d.OverloadWindow-first)/float64(d.SlowStartPeriod)
		if budget := d.OverloadFactor * warm * s.Kinds[0].Cores * float64(d.OverloadWindow); sum > budget {
			t.Fatalf("all together sent %.0f to a warming engine that takes %.0f", sum, budget)
		}
	}
}

// A query heavier than what a warming engine bears over what all gateways ask for never goes there.
func TestTooHeavyIsNeverSampled(t *testing.T) {
	s := basicSettings(interactive)
	s.Gateways, s.Classes[0].LatencyObjective = 3, 20*Second
	warming := fleetOf(10)
	for i := range warming {
		warming[i].StartedAt = 1000 * Second
	}
	for me := range 3 {
		s.GatewayIndex = me
		chk := newChecker(t, s, uint64(me), 1000*Second)
		chk.work[0] = float64(9 * Second)
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: warming})
		chk.advance(s.Constraints.OverloadWindow)
		for range 30 {
			if id := chk.submit(0, func(r *Request) { r.Deadline = chk.now + 20*Second }); chk.attempts(id) > 0 {
				t.Fatalf("gateway %d sent 9 s of work to an engine that bears 32 s in 2 s when it is warm", me)
			}
			chk.advance(400 * Millisecond)
		}
	}
}

// A warming engine whose budget peers have used up gets nothing; while they have not, it does.
func TestSlowStartBudgetCountsPeers(t *testing.T) {
	s := basicSettings(interactive)
	chk := newChecker(t, s, 1, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	chk.advance(5 * Second)
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: []Engine{{ID: 1, Scale: 1, StartedAt: chk.now}}})
	chk.advance(3 * Second)
	chk.handle(PeerSlowStartUsage{Engine: 9}) // of one that is not listed: ignored
	budget := 2 * chk.module.speedFraction(chk.module.engineByID[1]) * 8 * float64(2*Second)
	chk.handle(PeerSlowStartUsage{Engine: 1, Work: budget})
	if id := chk.submit(0, nil); chk.attempts(id) != 0 {
		t.Error("sent to a warming engine whose budget peers have used up")
	}
	chk.handle(PeerSlowStartUsage{Engine: 1, Work: budget / 2})
	if id := chk.submit(0, nil); chk.attempts(id) != 1 {
		t.Error("not sent to a warming engine with half of its budget left")
	}
}

// Where a site names no slow-start budget, or no initial speed, warming engines are used.
func TestWarmingEngineWithoutABudget(t *testing.T) {
	for _, change := range []func(*Constraints){
		func(d *Constraints) { d.OverloadWindow = 0 },
		func(d *Constraints) { d.OverloadFactor = 0 },
		func(d *Constraints) { d.SlowStartInitialSpeed, d.OverloadWindow = 0, 0 },
	} {
		s := basicSettings(interactive)
		change(&s.Constraints)
		s.Classes[0].LatencyObjective = 3 * Second
		m := New(s, 1)
		now := 1000 * Second
		m.Handle(now, FleetUpdate{Mode: UpdateCached, Engines: []Engine{{ID: 1, StartedAt: now + 5*Millisecond}}}) // by a clock ahead of ours
		sent := 0
		for i := range 3 {
			for _, a := range m.Handle(now, Arrival{Request: Request{ID: RequestID(fmt.Sprint(i)), Deadline: now + 3*Second, EstimatedWork: 1000, HasEstimate: true}}) {
				if _, ok := a.(Send); ok {
					sent++
				}
			}
		}
		if sent == 0 {
			t.Errorf("%+v: nothing was sent to the only engine", s.Constraints)
		}
	}
}
