package admission

import (
	"fmt"
	"math"
	"testing"

	"foxlane/rules"
)

// Each test of this file covers one rule of the fairness or overload protection, and fails if that rule alone is
// removed.

func TestIdleClientEarnsNoCreditWithinItsTenant(t *testing.T) {
	settings := Defaults()
	settings.Tenants = []Tenant{{Name: "coop", Weight: 1}}
	sim := newSimulation(t, settings, testLimits(), oneClass())
	work := map[int]float64{}
	n := 0
	repeat := func(request *simulatedRequest) {
		work[request.connection] += float64(request.runTime)
		n++
		sim.send(request.connection, fmt.Sprint("r", n), "coop", request.runTime, nil)
	}
	idle := sim.connect("10.0.0.2") // stays connected, so that its account remains
	sim.onServed = nil
	sim.send(idle, "once", "coop", 50*ms, nil)
	sim.advance(100 * ms)
	sim.onServed = repeat
	sim.startClosedLoop("10.0.0.1", "coop", 20, 50*ms)
	sim.advance(30 * rules.Second)
	clear(work)
	conns := []int{idle}
	sim.send(idle, "away", "coop", 50*ms, nil)
	for i := range 19 {
		c := sim.connect("10.0.0.2")
		sim.send(c, fmt.Sprint("back", i), "coop", 50*ms, nil)
		conns = append(conns, c)
	}
	sim.advance(2 * rules.Second)
	sum, idleWork := 0.0, 0.0
	for _, w := range work {
		sum += w
	}
	for _, c := range conns {
		idleWork += work[c]
	}
	if idleWork/sum > 0.6 {
		t.Errorf("a client that was idle got %.2f of its tenant's work, want at most 0.60", idleWork/sum)
	}
}

// reconnectingShare simulates nine principals that always have requests open, and a tenth that sends a request of 400
// ms, disconnects when it is served, and reconnects at once. It returns the share of the work that the tenth gets.
func reconnectingShare(t *testing.T, settings Settings, tenant func(i int) string, address func(i int) string) float64 {
	sim := newSimulation(t, settings, testLimits(), oneClass())
	n := 0
	reconnectingWork, totalWork := 0.0, 0.0
	sim.onServed = func(request *simulatedRequest) {
		totalWork += float64(request.runTime)
		n++
		if request.id[0] != 'x' {
			sim.send(request.connection, fmt.Sprint("r", n), request.tenant, request.runTime, nil)
			return
		}
		reconnectingWork += float64(request.runTime)
		sim.disconnect(request.connection)
		sim.send(sim.connect(address(9)), fmt.Sprint("x", n), tenant(9), 400*ms, nil)
	}
	for i := range 9 {
		for j := range 4 {
			sim.send(sim.connect(address(i)), fmt.Sprint("first", i, j), tenant(i), 50*ms, nil)
		}
	}
	sim.advance(2 * rules.Second)
	reconnectingWork, totalWork = 0, 0
	sim.send(sim.connect(address(9)), "x", tenant(9), 400*ms, nil)
	sim.advance(30 * rules.Second)
	return reconnectingWork / totalWork
}

func TestDebtsOutlastAConnection(t *testing.T) {
	share := reconnectingShare(t, trustingSettings(), func(i int) string { return fmt.Sprint("t", i) }, func(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) })
	if share > 0.14 {
		t.Errorf("a tenant that disconnects after each request got %.2f of the work, want about 0.10", share)
	}
}

func TestDebtsOfAClientOutlastItsConnection(t *testing.T) {
	settings := Defaults()
	settings.Tenants = []Tenant{{Name: "coop", Weight: 1}}
	share := reconnectingShare(t, settings, func(int) string { return "coop" }, func(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) })
	if share > 0.12 {
		t.Errorf("a client that disconnects after each request got %.2f of its tenant's work, want about 0.10", share)
	}
}

func TestUnderstatedWorkGainsNothing(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	n := 0
	declare := func(tenant string) func(*Request) {
		return func(q *Request) {
			if tenant == "liar" {
				q.DeclaredWork = 1
			}
		}
	}
	sim.onServed = func(request *simulatedRequest) {
		n++
		sim.send(request.connection, fmt.Sprint("r", n), request.tenant, request.runTime, declare(request.tenant))
	}
	for i, tenant := range []string{"liar", "honest"} {
		for j := range 20 {
			sim.send(sim.connect(fmt.Sprintf("10.0.0.%d", i+1)), fmt.Sprint("first", i, j), tenant, 50*ms, declare(tenant))
		}
	}
	sim.advance(20 * rules.Second)
	if share := sim.served["liar"] / (sim.served["liar"] + sim.served["honest"]); math.Abs(share-0.5) > 0.03 {
		t.Errorf("a tenant that understates its work got %.2f of the work, want 0.50", share)
	}
	if w := sim.controller.predictWork(0, 1); w < 0.1*float64(50*ms) {
		t.Errorf("a request of 50 ms that is declared as 1 us is charged %.0f us on admission", w)
	}
}

func TestUnplaceableRequestBlocksNobody(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.neverRuns = func(request *simulatedRequest) bool { return request.tenant == "huge" }
	for i := range 20 {
		sim.send(sim.connect("10.0.0.1"), fmt.Sprint("huge", i), "huge", 50*ms, nil)
	}
	request := sim.send(sim.connect("10.0.0.2"), "small", "small", 50*ms, nil)
	sim.advance(400 * ms)
	if sim.outcomes["small"] != 1 {
		t.Errorf("admitted %v: a request that fits an engine waits behind requests that fit none", request.admitted)
	}
}

func TestRequestThatCannotMeetItsDeadlineIsRejectedAtOnce(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "flood", 40, 200*ms)
	sim.advance(4 * rules.Second)
	c, rejectedAt := sim.connect("10.0.0.1"), rules.Time(0)
	sim.onRejected = func(request *simulatedRequest, _ rules.Time, reason Reason) {
		if request.id == "hopeless" && reason == ReasonDeadline {
			rejectedAt = sim.now
		}
	}
	// 36 requests are ahead of it, 4 run at a time.
	request := sim.send(c, "hopeless", "flood", 200*ms, func(q *Request) { q.Deadline = sim.now + 800*ms })
	if rejectedAt != request.arrivedAt {
		t.Errorf("arrived at %d ms, rejected at %d ms", request.arrivedAt/ms, rejectedAt/ms)
	}
	hopeful := sim.send(sim.connect("10.0.0.1"), "hopeful", "flood", 200*ms, func(q *Request) { q.Deadline = sim.now + 4*rules.Second })
	sim.onServed = nil
	sim.advance(4 * rules.Second)
	if !hopeful.admitted {
		t.Error("a request with a later deadline was rejected")
	}
}

func TestBookedReturnIsQueuedFirst(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	for i := range 30 {
		sim.send(sim.connect("10.0.0.1"), fmt.Sprint("first", i), "coop", 100*ms, nil)
	}
	c := sim.connect("10.0.0.1")
	sim.controller.addBooking(sim.controller.connections[0].client.key, 100*ms) // a Retry-After of 100 ms
	sim.advance(100 * ms)
	sim.send(c, "back", "coop", 100*ms, nil)
	queued := map[string]bool{}
	for _, request := range sim.requests {
		if request != nil && !request.admitted {
			queued[request.id] = true
		}
	}
	sim.advance(3 * rules.Second)
	before := 0
	for _, id := range sim.admitted {
		if id == "back" {
			break
		}
		if queued[id] {
			before++
		}
	}
	if len(queued) < 10 || sim.outcomes["back"] != 1 || before > 0 {
		t.Errorf("ended %d times, admitted after %d of the %d requests that were queued when it arrived", sim.outcomes["back"], before, len(queued))
	}
	if s := sim.controller.Stats(); s.ReturnsServed != 1 {
		t.Errorf("%d returns are counted as served, want 1", s.ReturnsServed)
	}
}

func TestSilentConnectionsAreEvictedFirst(t *testing.T) {
	sim := newSimulation(t, Defaults(), testLimits(), oneClass())
	var pool []int
	for i := range 4 { // holds the most connections of any client, and uses them
		c := sim.connect("192.0.2.1")
		sim.send(c, fmt.Sprint("p", i), "", 10*ms, nil)
		pool = append(pool, c)
	}
	sim.advance(50 * ms)
	for i := range 60 {
		sim.connect(fmt.Sprintf("10.0.0.%d", i+1)) // sends no request
	}
	sim.advance(600 * ms)
	for i := range 10 {
		sim.send(sim.connect(fmt.Sprintf("198.51.100.%d", i+1)), fmt.Sprint("n", i), "", 10*ms, nil)
	}
	for _, c := range pool {
		if sim.connections[c] == nil {
			t.Error("a connection in use was evicted while others had sent no request")
		}
	}
}

func TestBookingsExpire(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	controller := sim.controller
	capacity := len(controller.bookings.bookings)
	for i := range 4 * capacity {
		controller.addBooking(uint64(i+1), rules.Second)
	}
	if len(controller.bookings.byClient) != capacity || controller.bookings.firstFree != noSlot {
		t.Fatalf("the table is not full: %d clients hold its %d bookings", len(controller.bookings.byClient), capacity)
	}
	controller.now += 100 * rules.Second
	for i := range capacity {
		controller.addBooking(uint64(1_000_000+i), rules.Second)
	}
	fresh := 0
	for i := range capacity {
		if _, ok := controller.bookings.byClient[uint64(1_000_000+i)]; ok {
			fresh++
		}
	}
	if fresh < capacity*9/10 {
		t.Errorf("%d of %d new bookings were recorded: expired ones still fill the table", fresh, capacity)
	}
}

func TestNoClientTakesAllBookings(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	controller := sim.controller
	for range 10 * len(controller.bookings.bookings) {
		controller.addBooking(1, rules.Second)
	}
	controller.addBooking(2, rules.Second)
	if list := controller.bookings.byClient[1]; int(list.count) > len(controller.bookings.bookings)/4 || controller.bookings.byClient[2].count != 1 {
		t.Errorf("one client holds %d of %d bookings, the other %d", list.count, len(controller.bookings.bookings), controller.bookings.byClient[2].count)
	}
}

func TestReloadKeepsTheOrderOfKeys(t *testing.T) {
	settings := trustingSettings()
	sim := newSimulation(t, settings, testLimits(), oneClass())
	sim.startClosedLoop("10.0.0.1", "flood", 20, 100*ms)
	for i := range 6 { // alternates between two tenants
		sim.send(sim.connect(fmt.Sprintf("10.0.0.%d", 2+i%2)), fmt.Sprint("k", i), fmt.Sprint("t", i%2), 20*ms, func(q *Request) { q.OrderKey = "key" })
	}
	settings.Tenants = []Tenant{{Name: "t1", Weight: 9}}
	sim.handle(Event{Kind: Reconfigured, Settings: &settings})
	sim.advance(5 * rules.Second)
	next := 0
	for _, id := range sim.admitted {
		if id[0] == 'k' {
			if id != fmt.Sprint("k", next) {
				t.Fatalf("admitted in the order %v", sim.admitted)
			}
			next++
		}
	}
	if next != 6 {
		t.Errorf("%d of 6 requests were admitted", next)
	}
}

func TestReloadMovesANetworkWithItsRequests(t *testing.T) {
	network := func(prefix string) Settings {
		s := Defaults()
		s.Networks = []Network{{Name: "paid", Addresses: addressSet(t, prefix), Weight: 9}}
		return s
	}
	sim := newSimulation(t, network("10.1.0.0/16"), testLimits(), oneClass())
	n := 0
	work := map[string]float64{}
	sim.onServed = func(request *simulatedRequest) {
		n++
		work[sim.connections[request.connection].from.String()] += float64(request.runTime)
		sim.send(request.connection, fmt.Sprint("r", n), "", request.runTime, nil)
	}
	for i, from := range []string{"10.1.0.1", "10.2.0.1"} {
		for j := range 20 {
			sim.send(sim.connect(from), fmt.Sprint("f", i, j), "", 50*ms, nil)
		}
	}
	share := func() float64 {
		clear(work)
		sim.advance(10 * rules.Second)
		return work["10.1.0.1"] / (work["10.1.0.1"] + work["10.2.0.1"])
	}
	if got := share(); math.Abs(got-0.9) > 0.05 {
		t.Errorf("the network with weight 9 got %.2f of the work, want 0.90", got)
	}
	s := network("10.2.0.0/16")
	sim.handle(Event{Kind: Reconfigured, Settings: &s})
	if got := share(); math.Abs(got-0.1) > 0.05 {
		t.Errorf("the address that left the network got %.2f of the work, want 0.10", got)
	}
}
