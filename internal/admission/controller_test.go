package admission

import (
	"fmt"
	"math"
	"testing"

	"pgregory.net/rapid"

	"foxlane/rules"
)

func TestLightTenantIsAdmittedBeforeAFlood(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "flood", 50, 100*ms)
	sim.advance(2 * rules.Second)
	c := sim.connect("10.0.0.2")
	sim.onServed = func(request *simulatedRequest) {
		if request.tenant == "flood" {
			sim.send(request.connection, fmt.Sprint(request.id[:8], sim.now), "flood", request.runTime, nil)
		}
	}
	for i := range 20 {
		sim.send(c, fmt.Sprintf("quiet-%d", i), "quiet", 100*ms, nil)
		sim.advance(500 * ms)
	}
	for _, w := range sim.queueTimes["quiet"] {
		if w > 0 { // it is the next one to be admitted, so it waits for one run at most
			if w > 100*ms {
				t.Errorf("a quiet request was queued for %d ms", w/ms)
			}
		}
	}
	if sim.outcomes["quiet-19"] != 1 {
		t.Error("the quiet tenant was not served")
	}
}

func TestWeightsAndEqualWork(t *testing.T) {
	settings := Defaults()
	settings.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 4}}
	sim := newSimulation(t, settings, testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "a", 10, 200*ms) // few heavy requests
	sim.startClosedLoop("10.0.0.2", "b", 20, 10*ms)
	sim.startClosedLoop("10.0.0.3", "c", 20, 25*ms)
	sim.advance(60 * rules.Second)
	sum := sim.served["a"] + sim.served["b"] + sim.served["c"]
	for name, want := range map[string]float64{"a": 1.0 / 7, "b": 2.0 / 7, "c": 4.0 / 7} {
		if got := sim.served[name] / sum; math.Abs(got/want-1) > 0.1 {
			t.Errorf("tenant %s got %.3f of the work, want %.3f", name, got, want)
		}
	}
	if used := sum / float64(60*rules.Second) / float64(sim.engineSlots); used < 0.99 {
		t.Errorf("engine utilization is %.3f, want at least 0.99", used)
	}
}

func TestClientsOfATenantShare(t *testing.T) {
	settings := Defaults()
	settings.Tenants = []Tenant{{Name: "coop", Weight: 1}}
	sim := newSimulation(t, settings, testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "coop", 50, 100*ms)
	sim.advance(rules.Second)
	c := sim.connect("10.0.0.2")
	request := sim.send(c, "colleague", "coop", 100*ms, nil)
	sim.advance(150 * ms)
	if !request.admitted {
		t.Error("a client waits behind the flood of another client of its tenant")
	}
}

func TestIdleTenantEarnsNoCredit(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "busy", 20, 50*ms)
	sim.advance(30 * rules.Second) // the other tenant is idle
	sim.startClosedLoop("10.0.0.2", "back", 20, 50*ms)
	clear(sim.served)
	sim.advance(2 * rules.Second)
	if share := sim.served["back"] / (sim.served["back"] + sim.served["busy"]); share > 0.6 {
		t.Errorf("a tenant that was idle got %.2f of the work, want at most 0.60", share)
	}
}

func TestDebtIsNotForgottenByReconnecting(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "stays", 20, 50*ms)
	n := 0
	repeat := sim.onServed
	for range 40 {
		sim.onServed = repeat
		var mine []int
		for range 20 {
			c := sim.connect("10.0.0.2")
			n++
			sim.send(c, fmt.Sprint("r", n), "reconnects", 50*ms, nil)
			mine = append(mine, c)
		}
		sim.advance(250 * ms)
		for _, c := range mine {
			sim.disconnect(c)
		}
	}
	if share := sim.served["reconnects"] / (sim.served["stays"] + sim.served["reconnects"]); share > 0.55 {
		t.Errorf("the tenant that reconnects got %.2f of the work, want at most 0.55", share)
	}
}

func TestNewNamesFromOneAddressGainNothing(t *testing.T) {
	settings := Defaults()
	settings.AnyTenant = true
	sim := newSimulation(t, settings, testLimits(), oneClass())
	n := 0
	sim.onServed = func(request *simulatedRequest) {
		name := request.tenant
		if name != "honest" {
			n++
			name = fmt.Sprint("name", n)
		}
		sim.send(request.connection, fmt.Sprint(name, sim.now, request.connection), name, request.runTime, nil)
	}
	sim.startClosedLoop("192.0.2.1", "x", 30, 50*ms)
	sim.startClosedLoop("192.0.2.2", "honest", 20, 50*ms)
	sim.advance(20 * rules.Second)
	sum := 0.0
	for _, w := range sim.served {
		sum += w
	}
	if share := sim.served["honest"] / sum; share < 0.45 {
		t.Errorf("the tenant with one name got %.2f of the work beside a client that changes its name, want at least 0.45", share)
	}
}

func TestOrderKeysKeepTheirOrder(t *testing.T) {
	settings := trustingSettings()
	sim := newSimulation(t, settings, testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "flood", 30, 100*ms)
	sim.advance(rules.Second)
	sim.repeatOnly("flood")
	key := func(q *Request) { q.OrderKey = "k" }
	c1, c2, c3 := sim.connect("10.0.0.1"), sim.connect("10.0.0.9"), sim.connect("10.0.0.9")
	sim.send(c1, "first", "flood", 50*ms, key) // waits in the queue of the heavy tenant
	sim.send(c2, "second", "light", 50*ms, key)
	sim.send(c3, "third", "light", 50*ms, key)
	sim.disconnect(c2) // removes the second request between the first and the third
	sim.advance(4 * rules.Second)
	first, third := -1, -1
	for i, id := range sim.admitted {
		switch id {
		case "first":
			first = i
		case "second":
			t.Error("a request of a closed connection was admitted")
		case "third":
			third = i
		}
	}
	if first < 0 || third < 0 || third < first {
		t.Errorf("requests of one order key: the first was admitted at position %d, the third at %d", first, third)
	}
	if len(sim.controller.lastByOrderKey) != 0 {
		t.Errorf("%d order keys are left, want 0", len(sim.controller.lastByOrderKey))
	}
}

func TestQueuedRequestsAreRejectedBeforeTheirDeadline(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "flood", 40, 400*ms)
	sim.advance(3 * rules.Second)
	sim.onServed = nil
	c := sim.connect("10.0.0.1")
	rejectedAt := rules.Time(0)
	sim.onRejected = func(request *simulatedRequest, after rules.Time, reason Reason) {
		if request.id == "short" {
			rejectedAt = sim.now
			if after <= 0 {
				t.Error("no Retry-After was sent")
			}
		}
	}
	request := sim.send(c, "short", "flood", 100*ms, func(q *Request) { q.Deadline = sim.now + 300*ms })
	sim.advance(400 * ms)
	if request.admitted || rejectedAt == 0 || rejectedAt > request.request.Deadline-100*ms {
		t.Errorf("admitted %v, rejected at %d ms, deadline at %d ms", request.admitted, rejectedAt/ms, request.request.Deadline/ms)
	}
}

func TestBookingsAreSpreadAndServed(t *testing.T) {
	limits := testLimits()
	limits.Requests = 16
	sim := newSimulation(t, trustingSettings(), limits, oneClass())
	served, missed, delayRatios := 0, 0, []float64{}
	n := 0
	type returning struct {
		at, granted rules.Time
		conn        int
	}
	var returns []returning
	first := map[string]returning{}
	sim.onRejected = func(request *simulatedRequest, after rules.Time, _ Reason) {
		if _, ok := first[request.id]; ok {
			missed++
		}
		delete(first, request.id)
		returns = append(returns, returning{sim.now + after, sim.now, request.connection})
	}
	sim.onServed = func(request *simulatedRequest) {
		if f, ok := first[request.id]; ok {
			served++
			delayRatios = append(delayRatios, float64(sim.now-request.runTime-f.granted)/float64(f.at-f.granted))
			delete(first, request.id)
		}
		returns = append(returns, returning{sim.now, 0, request.connection})
	}
	for i := range 60 {
		c := sim.connect(fmt.Sprintf("10.0.0.%d", i+1))
		sim.send(c, fmt.Sprint("q", c), "coop", 50*ms, nil)
	}
	for range 2000 {
		sim.advance(10 * ms)
		due := returns[:0:0]
		pending := returns[:0:0]
		for _, k := range returns {
			if k.at <= sim.now {
				due = append(due, k)
			} else {
				pending = append(pending, k)
			}
		}
		returns = pending
		for _, k := range due {
			n++
			id := fmt.Sprint("b", n)
			if k.granted > 0 {
				first[id] = k
			}
			sim.send(k.conn, id, "coop", 50*ms, nil)
		}
	}
	if served+missed < 300 || float64(served)/float64(served+missed) < 0.9 {
		t.Errorf("%d requests returned at their Retry-After, only %d were served", served+missed, served)
	}
	s := sim.controller.Stats()
	if s.ReturnsServed < 300 || s.RetryAfterCorrection < 0.5 || s.RetryAfterCorrection > 2 {
		t.Errorf("stats: %d returns served, %d missed, correction %.2f", s.ReturnsServed, s.ReturnsMissed, s.RetryAfterCorrection)
	}
	accurate := 0
	for _, r := range delayRatios {
		if r >= 0.5 && r <= 2 {
			accurate++
		}
	}
	if float64(accurate) < 0.5*float64(len(delayRatios)) {
		t.Errorf("for %d of %d requests the delay needed was between 0.5 and 2 times the Retry-After", accurate, len(delayRatios))
	}
}

func TestNoRetryAfterWhereItIsNotAllowed(t *testing.T) {
	settings := trustingSettings()
	settings.MaxRetryAfter = 0
	limits := testLimits()
	limits.Requests = 8
	sim := newSimulation(t, settings, limits, oneClass())
	n := 0
	sim.onRejected = func(_ *simulatedRequest, after rules.Time, _ Reason) {
		if n++; after != 0 {
			t.Error("a Retry-After was sent although MaxRetryAfter is 0")
		}
	}
	sim.startClosedLoop("10.0.0.1", "flood", 20, 100*ms)
	if n == 0 {
		t.Error("no request was rejected")
	}
}

func TestConnectionsAreTakenFromTheTenantMostOverQuota(t *testing.T) {
	sim := newSimulation(t, Defaults(), testLimits(), oneClass())
	quiet := sim.connect("192.0.2.7")
	sim.send(quiet, "q", "", 10*ms, nil)
	sim.advance(20 * ms)
	for range 1000 {
		sim.connect("192.0.2.1")
		sim.advance(ms)
	}
	for range 5 {
		c := sim.connect("192.0.2.8")
		if sim.connections[c] == nil {
			t.Fatal("a new connection of another client was evicted during a login flood")
		}
	}
	if sim.connections[quiet] == nil {
		t.Error("an idle connection was evicted during a login flood")
	}
	if sim.controller.openConnections > sim.controller.limits.Connections {
		t.Errorf("%d connections are open, more than the limit", sim.controller.openConnections)
	}
}

func TestBusyFloodLosesAConnectionToANewClient(t *testing.T) {
	sim := newSimulation(t, Defaults(), testLimits(), oneClass())
	sim.repeatRequests()
	for i := range 64 {
		c := sim.connect("192.0.2.1")
		sim.send(c, fmt.Sprint("f", i), "", 100*ms, nil)
	}
	rejected := 0
	sim.onRejected = func(*simulatedRequest, rules.Time, Reason) { rejected++ }
	c := sim.connect("192.0.2.9")
	if sim.connections[c] == nil || rejected != 1 || len(sim.evicted) != 1 {
		t.Errorf("new connection open: %v, requests rejected: %d, connections evicted: %v", sim.connections[c] != nil, rejected, sim.evicted)
	}
	own := sim.connect("192.0.2.1")
	if sim.connections[own] == nil {
		t.Fatal("a new connection of the flooding tenant was closed before it could send KILL")
	}
	sim.send(own, "own", "", 100*ms, nil)
	if sim.connections[own] != nil || sim.outcomes["own"] != 1 {
		t.Error("a new connection of the flooding tenant could send a request beyond the limit")
	}
}

func TestUnfinishedInputHasAQuota(t *testing.T) {
	sim := newSimulation(t, Defaults(), testLimits(), oneClass())
	small := sim.connect("192.0.2.7")
	sim.handle(Event{Kind: InputBuffered, Conn: small, Bytes: 4000})
	var flood []int
	for range 8 {
		c := sim.connect("192.0.2.1")
		sim.handle(Event{Kind: InputBuffered, Conn: c, Bytes: 3000})
		flood = append(flood, c)
	}
	sim.handle(Event{Kind: InputBuffered, Conn: small, Bytes: 4600}) // exceeds the limit again
	if sim.connections[small] == nil || len(sim.aborted) == 0 {
		t.Errorf("connection of the small client open: %v, connections aborted: %d", sim.connections[small] != nil, len(sim.aborted))
	}
	if sim.controller.inputBytes > sim.controller.limits.InputBytes {
		t.Errorf("%d bytes are buffered, more than the limit", sim.controller.inputBytes)
	}
	for _, c := range append(flood, small) {
		sim.disconnect(c)
	}
	if sim.controller.inputBytes != 0 {
		t.Errorf("%d bytes are counted after all connections were closed", sim.controller.inputBytes)
	}
}

func TestClientThatIgnoresRetryAfterIsDisconnected(t *testing.T) {
	limits := testLimits()
	limits.Requests = 16
	sim := newSimulation(t, Defaults(), limits, oneClass())
	n := 0
	sim.onRejected = func(request *simulatedRequest, _ rules.Time, _ Reason) {
		if request.request.Tenant == "" {
			n++
		}
	}
	for i := range 40 { // 25 of them are queued or rejected
		c := sim.connect("192.0.2.1")
		sim.send(c, fmt.Sprint("f", i), "", 100*ms, nil)
	}
	for i := range 100 {
		for c, k := range sim.connections {
			if k != nil && k.request < 0 {
				sim.send(c, fmt.Sprint("g", i, "-", c), "", 100*ms, nil)
			}
		}
		sim.advance(ms)
	}
	if sim.controller.stats.Evicted[ReasonEarlyReturn] == 0 {
		t.Error("a client that ignores Retry-After was not disconnected")
	}
	if n > 40*(Defaults().MaxEarlyReturns+2) {
		t.Errorf("%d rejections were sent to a client that ignores Retry-After", n)
	}
}

func TestStateIsBoundedWhateverTheNumberOfTenants(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	bound := sim.controller.StateBound()
	for i := range 20000 {
		c := sim.connect(fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255))
		sim.send(c, fmt.Sprint("n", i), fmt.Sprint("tenant", i), ms/10, nil)
		sim.advance(ms / 5)
		sim.disconnect(c)
	}
	if got := sim.controller.StateBytes(); got > bound {
		t.Errorf("the state takes %d bytes, want at most %d", got, bound)
	}
	if len(sim.controller.tenantByKey) != 0 || len(sim.controller.tenants) != 0 || sim.controller.queued != 0 || sim.controller.statementBytes != 0 || sim.controller.openRequests != 0 {
		t.Error("state of tenants or requests is left after all connections were closed")
	}
}

func TestReloadRequeuesQueuedRequests(t *testing.T) {
	settings := Defaults()
	settings.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	sim := newSimulation(t, settings, testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("192.0.2.1", "a", 20, 50*ms)
	sim.startClosedLoop("192.0.2.2", "b", 20, 50*ms)
	sim.advance(2 * rules.Second)
	settings.Tenants = []Tenant{{Name: "a", Weight: 4}} // requests of b now count for their address
	settings.UnlistedWeight = 1
	sim.handle(Event{Kind: Reconfigured, Settings: &settings})
	clear(sim.served)
	sim.advance(10 * rules.Second)
	if share := sim.served["a"] / (sim.served["a"] + sim.served["b"]); math.Abs(share-0.8) > 0.06 {
		t.Errorf("after the reload tenant a got %.2f of the work, want 0.80", share)
	}
	for id, n := range sim.outcomes {
		if n != 1 {
			t.Errorf("request %s ended %d times", id, n)
		}
	}
}

func TestStoppingEndsQueuedRequests(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.startClosedLoop("10.0.0.1", "flood", 40, 300*ms)
	sim.advance(350 * ms)
	sim.onRejected = func(_ *simulatedRequest, after rules.Time, _ Reason) {
		if after != 0 {
			t.Error("a Retry-After was sent during shutdown")
		}
	}
	sim.handle(Event{Kind: Stopping, Deadline: sim.now + rules.Second})
	sim.advance(rules.Second)
	if sim.controller.queued != 0 {
		t.Errorf("%d requests are still queued at the shutdown deadline", sim.controller.queued)
	}
}

// Checks for random events: each request ends exactly once, the state stays within its bounds, requests with the same
// order key stay in order, no request is queued while an engine is idle, and no state is left after all clients have
// disconnected.
func TestControllerInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limits := Limits{ConnectionSlots: 18, Connections: 16, Requests: 12, StatementBytes: 1500, InputBytes: 2000, StateBytes: 16 << 10}
		classes := append(oneClass(), rules.Class{LatencyObjective: 50 * ms, ClientTimeout: rules.Second, Threads: 2})
		settings := trustingSettings()
		settings.ModuleQueueDepth = rapid.IntRange(1, 4).Draw(rt, "ahead")
		settings.Tenants = []Tenant{{Name: "t0", Weight: 3}}
		sim := newSimulation(t, settings, limits, classes)
		sim.engineSlots = rapid.IntRange(1, 4).Draw(rt, "slots")
		keys := map[string][]string{} // request ids by order key, in the order of arrival
		ids := 0
		sentIDs := map[string]bool{}
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			switch rapid.IntRange(0, 10).Draw(rt, "step") {
			case 0, 1:
				sim.connect(fmt.Sprintf("10.0.0.%d", rapid.IntRange(1, 4).Draw(rt, "from")))
			case 2, 3, 4, 5:
				if c := idleConnection(rt, sim); c >= 0 {
					ids++
					id := fmt.Sprint("r", ids)
					sentIDs[id] = true
					key := rapid.SampledFrom([]string{"", "", "k", "l"}).Draw(rt, "key")
					if key != "" {
						keys[key] = append(keys[key], id)
					}
					sim.send(c, id, rapid.SampledFrom([]string{"", "t0", "t1", "t2"}).Draw(rt, "tenant"),
						rules.Time(rapid.IntRange(1, 300).Draw(rt, "took"))*ms, func(q *Request) {
							q.OrderKey, q.Class = key, rapid.IntRange(0, 1).Draw(rt, "class")
							q.Deadline = sim.now + rules.Time(rapid.IntRange(1, 3000).Draw(rt, "patience"))*ms
							q.StatementBytes = rapid.IntRange(1, 400).Draw(rt, "bytes")
						})
				}
			case 6:
				if c := rapid.IntRange(0, len(sim.connections)-1).Draw(rt, "leaves"); sim.connections[c] != nil {
					sim.disconnect(c)
				}
			case 7:
				if c := idleConnection(rt, sim); c >= 0 {
					sim.handle(Event{Kind: InputBuffered, Conn: c, Bytes: rapid.IntRange(0, 900).Draw(rt, "input")})
				}
			case 8:
				if rapid.IntRange(0, 3).Draw(rt, "reload") == 0 {
					settings.Tenants = []Tenant{{Name: "t0", Weight: float64(rapid.IntRange(1, 4).Draw(rt, "weight"))}}
					sim.handle(Event{Kind: Reconfigured, Settings: &settings})
				}
			case 9:
				sim.advance(rules.Time(rapid.IntRange(1, 200).Draw(rt, "ms")) * ms)
			case 10:
				sim.handle(Event{Kind: rapid.SampledFrom([]EventKind{InputPending, InputRead}).Draw(rt, "stall")})
			}
			sim.checkInvariants(rt, keys)
		}
		sim.advance(20 * rules.Second)
		sim.checkInvariants(rt, keys)
		for id := range sentIDs {
			if sim.outcomes[id] != 1 {
				rt.Fatalf("request %s ended %d times", id, sim.outcomes[id])
			}
		}
		for c := range sim.connections {
			sim.disconnect(c)
		}
		controller := sim.controller
		if controller.queued != 0 || controller.openRequests != 0 || controller.statementBytes != 0 || controller.inputBytes != 0 || controller.openConnections != 0 || len(controller.tenants) != 0 || len(controller.tenantByKey) != 0 ||
			len(controller.lastByOrderKey) != 0 || len(controller.expiry) != 0 || controller.queuedWeight != 0 {
			rt.Fatalf("state is left after all clients have disconnected: %+v", controller.Stats())
		}
	})
}

// Among tenants of any weight and run time that always have requests queued, a small tenant's request is admitted
// within the time of one run of each tenant plus the time that works off the debt of its own last run.
func TestNoTenantStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		settings := Defaults()
		n := rapid.IntRange(1, 6).Draw(rt, "tenants")
		smallWeight, longest, weights := 1.0, rules.Time(0), 0.0
		var runs []rules.Time
		for i := range n {
			w := float64(rapid.IntRange(1, 8).Draw(rt, "weight"))
			settings.Tenants = append(settings.Tenants, Tenant{Name: fmt.Sprint("g", i), Weight: w})
			weights += w
			run := rules.Time(rapid.IntRange(5, 200).Draw(rt, "run")) * ms
			runs, longest = append(runs, run), max(longest, run)
		}
		settings.Tenants = append(settings.Tenants, Tenant{Name: "small", Weight: smallWeight})
		sim := newSimulation(t, settings, testLimits(), oneClass())
		sim.engineSlots = rapid.IntRange(1, 6).Draw(rt, "slots")
		sent := 0
		sim.onServed = func(request *simulatedRequest) {
			if request.tenant != "small" {
				sent++
				sim.send(request.connection, fmt.Sprint("again", sent), request.tenant, request.runTime, func(q *Request) { q.Deadline = sim.now + 1000*rules.Second })
			}
		}
		for i := range n {
			for j := range 8 {
				c := sim.connect(fmt.Sprintf("10.0.%d.%d", i, j))
				sim.send(c, fmt.Sprint("first", i, j), fmt.Sprint("g", i), runs[i], func(q *Request) { q.Deadline = sim.now + 1000*rules.Second })
			}
		}
		sim.advance(5 * rules.Second)
		c := sim.connect("10.0.9.9")
		for i := range 5 {
			run := rules.Time(rapid.IntRange(5, 50).Draw(rt, "small run")) * ms
			sim.send(c, fmt.Sprint("small", i), "small", run, func(q *Request) { q.Deadline = sim.now + 1000*rules.Second })
			sim.advance(longest + run) // afterwards its debt is at most this run
			for sim.outcomes[fmt.Sprint("small", i)] == 0 && sim.now < 60*rules.Second {
				sim.advance(longest)
			}
		}
		// The runs that have begun, one run of each other tenant, and, for the debt of its own last run, work of the
		// other tenants in proportion to their weights.
		bound := longest*rules.Time(settings.ModuleQueueDepth+sim.engineSlots+n) + 2*50*ms*rules.Time(weights)/rules.Time(sim.engineSlots)
		for _, w := range sim.queueTimes["small"] {
			if w > bound {
				rt.Fatalf("waited %d ms, want at most %d ms", w/ms, bound/ms)
			}
		}
		if len(sim.queueTimes["small"]) != 5 {
			rt.Fatalf("only %d of 5 requests were admitted", len(sim.queueTimes["small"]))
		}
	})
}
