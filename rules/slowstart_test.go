package rules

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// The work that counts against the slow-start budget of an engine is kept while the engine is missing from
// the endpoint list. A gateway that has just started sends no work to warming engines for one window.
func TestSlowStartBudget(t *testing.T) {
	settings := basicSettings(interactive)
	chk := newChecker(t, settings, 1, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	warming := []Engine{{ID: 1, StartedAt: chk.now}}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: warming})
	if id := chk.submit(0, nil); chk.attemptCount(id) != 0 {
		t.Fatal("a gateway that has just started sent a request to a warming engine")
	}
	chk.advance(2500 * Millisecond)
	send := func() (sent int) {
		for range 200 {
			sent += chk.attemptCount(chk.submit(0, nil))
			chk.resolveAll(StatusOK)
		}
		return sent
	}
	if n := send(); n == 0 || n == 200 {
		t.Fatalf("%d of 200 requests were sent to a warming engine at once, want some but not all", n)
	}
	chk.handle(FleetUpdate{Mode: UpdateFull})
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: warming})
	if n := send(); n != 0 {
		t.Fatalf("%d requests were sent after the engine had left the list and returned, want none", n)
	}
	chk.verify("slow start")
}

// An engine restarts at its address, and the endpoint list reports that only later. Work sent to the new
// process before the notification counts against its slow-start budget: the gateway sends it the rest of
// its quota, and a full quota only after one window. In a simulation of the reducer, an engine with a
// budget of 12.3 s got 4.6 s of work in the 112 ms before the notification, of which the gateway counted
// nothing, and 9.9 s after it.
func TestSlowStartBudgetCountsWorkSentBeforeNotification(t *testing.T) {
	for _, updates := range []string{
		"no list", "a list without the engine", "a list with the restart and a stale one",
	} {
		t.Run(updates+" in between", func(t *testing.T) { checkLateNotification(t, updates) })
	}
}

// checkLateNotification restarts an engine and notifies the gateway at least 200 ms later, after the other
// updates of the endpoint list that the argument names.
func checkLateNotification(t *testing.T, updates string) {
	chk := startModule(t, basicSettings(interactive), 1)
	chk.advance(3 * Second)
	former, restarted := fleetOf(1), fleetOf(1)
	restarted[0].StartedAt = chk.now
	send := func(count int) (sent float64) {
		for range count {
			sent += float64(chk.attemptCount(chk.submit(0, nil))) * chk.work[0]
			chk.resolveAll(StatusOK)
		}
		return sent
	}
	sentBefore := send(20)
	chk.advance(200 * Millisecond)
	switch updates {
	case "a list without the engine":
		chk.handle(FleetUpdate{Mode: UpdateFull})
		chk.advance(100 * Millisecond)
	case "a list with the restart and a stale one":
		chk.handle(FleetUpdate{Mode: UpdateFull, Engines: restarted})
		chk.handle(FleetUpdate{Mode: UpdateFull, Engines: former})
		chk.submit(0, nil)
		chk.resolveAll(StatusOK)
	}
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: restarted})
	usableQuota := slowStartSafety * chk.module.slowStartQuota(chk.module.engineByID[1])
	sentAfter := send(200)
	if sentBefore == 0 || sentBefore > usableQuota/2 || sentAfter == 0 {
		t.Fatalf("work sent before and after the notification: %.0f and %.0f; quota: %.0f; the test checks nothing",
			sentBefore, sentAfter, usableQuota)
	}
	if sentBefore+sentAfter > usableQuota {
		t.Errorf("work sent before and after the notification: %.0f and %.0f, more than the quota of %.0f",
			sentBefore, sentAfter, usableQuota)
	}
	chk.advance(chk.settings.Constraints.OverloadWindow + 10*Millisecond)
	if sentLater := send(200); sentLater < sentAfter {
		t.Errorf("work of %.0f was sent a window later, less than the %.0f after the notification",
			sentLater, sentAfter)
	}
	chk.verify("late notification")
}

// If clients send no estimates, requests count against the slow-start budget with the measured cost of
// their class. They used to count with the latency objective for ever: if they cost n times as much, an
// engine got n times its budget.
func TestSlowStartBudgetOfUndeclaredWork(t *testing.T) {
	chk := startModule(t, basicSettings(interactive), 2)
	chk.work[0] = float64(1800 * Millisecond) // the objective is 600 ms
	send := func(count int) (sent int) {
		for range count {
			id := chk.submit(0, func(r *Request) { r.HasEstimate, r.EstimatedWork = false, 0 })
			sent += chk.attemptCount(id)
			chk.resolveAll(StatusOK)
		}
		return sent
	}
	if send(20) < 10 {
		t.Fatal("warm engines got too few requests, so the test checks nothing")
	}
	chk.advance(3 * Second)
	warming := fleetOf(2)
	for i := range warming {
		warming[i].StartedAt = chk.now
	}
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: warming})
	if send(200) < 2 {
		t.Error("the warming engines got fewer than 2 requests")
	}
	chk.verify("undeclared work") // checks the budget by the true work
}

// A heavy query counts against the slow-start budget with its own predicted work, not with the mean of its
// class. In the emulator (one gateway, seed 2), four queries with 60 s of work in total counted as 8 s: an
// engine with a budget of 84.7 s got 85.3 s of work, of which the gateway counted 38.5 s.
func TestSlowStartBudgetOfHeavyQueries(t *testing.T) {
	patient := interactive
	patient.LatencyObjective, patient.ClientTimeout = 20*Second, 30*Second
	chk := startModule(t, basicSettings(patient), 1)
	for range 100 { // keeps the mean of the class low
		chk.submit(0, nil)
		chk.resolveAll(StatusOK)
	}
	chk.advance(3 * Second)
	restarted := fleetOf(1)
	restarted[0].StartedAt = chk.now
	chk.handle(FleetUpdate{Mode: UpdateFull, Engines: restarted})
	quota := chk.module.slowStartQuota(chk.module.engineByID[1])
	sent := 0.0
	for range 20 {
		heavy := 2500 * Millisecond
		id := chk.submit(0, func(r *Request) { r.EstimatedWork, r.Deadline = heavy, chk.now+30*Second })
		sent += float64(chk.attemptCount(id)) * float64(heavy)
		chk.resolveAll(StatusOK)
	}
	if sent == 0 {
		t.Error("the engine got no heavy query, so the test checks nothing")
	}
	if sent > quota {
		t.Errorf("work of %.0f was sent at once to an engine with a budget of %.0f", sent, quota)
	}
}

// All gateways together keep to the slow-start budget, whatever part of the traffic each has.
func TestSlowStartBudgetOfAHundredGateways(t *testing.T) {
	t.Run("light", func(t *testing.T) { checkSlowStartOfHundredGateways(t, 20*Millisecond) })
	t.Run("heavier than an even share",
		func(t *testing.T) { checkSlowStartOfHundredGateways(t, 600*Millisecond) })
}

// checkSlowStartOfHundredGateways sends requests with that much work to 100 gateways, one after the other,
// and checks what all of them sent to a warming engine in each overload window.
func checkSlowStartOfHundredGateways(t *testing.T, work Time) {
	heavy := interactive
	heavy.LatencyObjective = 3 * Second
	settings := basicSettings(heavy)
	settings.Gateways = 100
	fleet := fleetOf(3)
	fleet[2].StartedAt = 1000 * Second
	sentWorkAt := map[Time]float64{}
	start, end, sentCount := fleet[2].StartedAt, Time(0), 0
	for gateway := range settings.Gateways {
		settings.GatewayIndex = gateway
		chk := newChecker(t, settings, uint64(gateway), start)
		chk.work[0] = float64(work)
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
		for range 40 {
			for range 1 + gateway%7 {
				chk.submit(0, func(r *Request) { r.DataSet = gateway % 11 })
			}
			chk.advance(200 * Millisecond)
			chk.resolveAll(StatusOK)
			end = chk.now
		}
		for _, req := range chk.requests {
			for _, att := range req.attempts {
				if att.engine.ID == 3 {
					sentWorkAt[att.startedAt] += chk.work[0]
					sentCount++
				}
			}
		}
		if chk.violations = slices.DeleteFunc(chk.violations,
			func(s string) bool { return strings.HasPrefix(s, "rule 4") }); len(chk.violations) > 0 {
			t.Fatal(chk.violations) // rule 4 is checked below, for all gateways together
		}
	}
	if sentCount == 0 {
		t.Fatal("no gateway sent a request to the warming engine")
	}
	c := settings.Constraints
	for windowEnd := start + c.OverloadWindow; windowEnd <= end; windowEnd += settings.Tick {
		sum := 0.0
		for at, work := range sentWorkAt {
			if at > windowEnd-c.OverloadWindow && at <= windowEnd {
				sum += work
			}
		}
		speed := c.SlowStartInitialSpeed +
			(1-c.SlowStartInitialSpeed)*float64(windowEnd-c.OverloadWindow-start)/float64(c.SlowStartPeriod)
		if budget := c.OverloadFactor * speed * settings.Kinds[0].Cores * float64(c.OverloadWindow); sum > budget {
			t.Fatalf("the gateways sent work of %.0f in one window to an engine with a budget of %.0f",
				sum, budget)
		}
	}
}

// A query of over slowStartSafety/2 of the whole slow-start budget is never sent by sampling. Otherwise three
// gateways could exceed the budget if all of them were sampled.
func TestTooHeavyQueryIsNeverSampled(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Gateways, settings.Classes[0].LatencyObjective = 3, 20*Second
	warming := fleetOf(10)
	for i := range warming {
		warming[i].StartedAt = 1000 * Second
	}
	for gateway := range 3 {
		settings.GatewayIndex = gateway
		chk := newChecker(t, settings, uint64(gateway), 1000*Second)
		chk.work[0] = float64(9 * Second)
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: warming})
		chk.advance(settings.Constraints.OverloadWindow)
		for range 30 {
			if id := chk.submit(0, func(r *Request) { r.Deadline = chk.now + 20*Second }); chk.attemptCount(id) > 0 {
				t.Fatalf("gateway %d sent a query of 9 s to an engine whose budget is at most 32 s a window",
					gateway)
			}
			chk.advance(400 * Millisecond)
		}
	}
}

// Work that peers report to have sent to a warming engine counts against its slow-start budget.
func TestSlowStartBudgetCountsPeers(t *testing.T) {
	settings := basicSettings(interactive)
	chk := newChecker(t, settings, 1, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	chk.advance(5 * Second)
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: []Engine{{ID: 1, Scale: 1, StartedAt: chk.now}}})
	chk.advance(3 * Second)
	chk.handle(PeerSlowStartUsage{Engine: 9}) // ignored: the engine is not listed
	budget := 2 * chk.module.speedFraction(chk.module.engineByID[1]) * 8 * float64(2*Second)
	chk.handle(PeerSlowStartUsage{Engine: 1, Work: budget})
	if id := chk.submit(0, nil); chk.attemptCount(id) != 0 {
		t.Error("a request was sent to a warming engine whose budget peers have used up")
	}
	chk.handle(PeerSlowStartUsage{Engine: 1, Work: budget / 2})
	if id := chk.submit(0, nil); chk.attemptCount(id) != 1 {
		t.Error("no request was sent to a warming engine with half of its budget left")
	}
}

// If the settings give no slow-start budget, or no initial speed either, warming engines still get requests.
func TestWarmingEngineWithoutABudget(t *testing.T) {
	for _, change := range []func(*Constraints){
		func(c *Constraints) { c.OverloadWindow = 0 },
		func(c *Constraints) { c.OverloadFactor = 0 },
		func(c *Constraints) { c.SlowStartInitialSpeed, c.OverloadWindow = 0, 0 },
	} {
		settings := basicSettings(interactive)
		change(&settings.Constraints)
		settings.Classes[0].LatencyObjective = 3 * Second
		m := New(settings, 1)
		now := 1000 * Second
		// The start time of the engine is in the future: it is from a machine whose clock is ahead.
		m.Handle(now, FleetUpdate{Mode: UpdateCached, Engines: []Engine{{ID: 1, StartedAt: now + 5*Millisecond}}})
		sent := 0
		for i := range 3 {
			for _, a := range m.Handle(now, Arrival{Request: Request{ID: RequestID(fmt.Sprint(i)),
				Deadline: now + 3*Second, EstimatedWork: 1000, HasEstimate: true}}) {
				if _, ok := a.(Send); ok {
					sent++
				}
			}
		}
		if sent == 0 {
			t.Errorf("%+v: no request was sent to the only engine", settings.Constraints)
		}
	}
}

// Guards against an overload of a process that comes up at the address of an engine that has gone, under
// an id of its own: what was sent to the former engine before the list reported either may have reached the
// new one, and counts against its slow-start budget.
func TestSlowStartBudgetCountsWorkSentToPredecessor(t *testing.T) {
	const host = 77
	for _, goneFirst := range []bool{false, true} {
		chk := newChecker(t, basicSettings(interactive), 1, 1000*Second)
		chk.work[0] = float64(100 * Millisecond)
		former := []Engine{{ID: 1, Host: host, Scale: 1}}
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: former})
		chk.advance(3 * Second)
		startedAt := chk.now
		send := func(count int) (sent float64) {
			for range count {
				sent += float64(chk.attemptCount(chk.submit(0, nil))) * chk.work[0]
				chk.resolveAll(StatusOK)
			}
			return sent
		}
		sentBefore := send(20)
		chk.advance(200 * Millisecond)
		if goneFirst {
			chk.handle(FleetUpdate{Mode: UpdateFull})
			chk.advance(100 * Millisecond)
		}
		chk.handle(FleetUpdate{Mode: UpdateFull, Engines: []Engine{{ID: 2, Host: host, Scale: 1, StartedAt: startedAt}}})
		quota := slowStartSafety * chk.module.slowStartQuota(chk.module.engineByID[2])
		sentAfter := send(200)
		if sentBefore == 0 || sentBefore > quota/2 || sentAfter == 0 {
			t.Fatalf("sent %.0f before and %.0f after, quota %.0f: the test checks nothing", sentBefore, sentAfter, quota)
		}
		if sentBefore+sentAfter > quota {
			t.Errorf("gone first %v: sent %.0f before and %.0f after the notification, more than the quota of %.0f",
				goneFirst, sentBefore, sentAfter, quota)
		}
	}
}
