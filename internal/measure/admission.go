package measure

import (
	"math"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"slices"
	"time"

	"go4.org/netipx"

	"foxlane/internal/admission"
	"foxlane/rules"
)

// This file measures admission control without sockets: shares and Retry-After in virtual time, and the state size
// and the CPU cost of the controller alone.

// modelCores is the number of requests that the engines of a model run at once.
const modelCores = 32

// anyTenantSettings returns the default settings, changed so that clients on loopback may name any tenant.
func anyTenantSettings() admission.Settings {
	s := admission.Defaults()
	var builder netipx.IPSetBuilder
	builder.AddPrefix(netip.MustParsePrefix("127.0.0.0/8"))
	addresses, _ := builder.IPSet() // fails only for an invalid prefix
	s.AnyTenant, s.Networks = true, []admission.Network{{Name: "here", Addresses: addresses, Weight: 1, Trusted: true}}
	return s
}

func modelLimits() admission.Limits {
	return admission.Limits{ConnectionSlots: 502, Connections: 500, Requests: 342, StatementBytes: 24 << 20, InputBytes: 24 << 20, StateBytes: 6 << 20}
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// jainIndex returns Jain's fairness index of the work served for 100 greedy tenants in 120 s, with requests of 20
// to 180 ms.
func jainIndex() float64 {
	m := newAdmissionModel(anyTenantSettings(), modelLimits(), modelCores)
	m.setGreedy()
	rng := rand.New(rand.NewPCG(3, 3))
	byTenant := make([][]*modelConn, 100)
	for i := range byTenant {
		for range 1 + rng.IntN(5) { // 1 to 5 connections per tenant
			c := m.connect(tenantName(i), rules.Time(20+rng.IntN(160))*rules.Millisecond, loopback)
			byTenant[i] = append(byTenant[i], c)
			m.request(c)
		}
	}
	m.advance(120 * rules.Second)
	sum, squares := 0.0, 0.0
	for _, conns := range byTenant {
		work := 0.0
		for _, c := range conns {
			work += c.servedWork
		}
		sum += work
		squares += work * work
	}
	return sum * sum / (float64(len(byTenant)) * squares)
}

// weightError returns the largest relative error of the shares of three greedy tenants with weights 1, 2 and 4.
func weightError() float64 {
	s := admission.Defaults()
	names := []string{"one", "two", "four"}
	for i, name := range names {
		s.Tenants = append(s.Tenants, admission.Tenant{Name: name, Weight: float64(int(1) << i)})
	}
	m := newAdmissionModel(s, modelLimits(), modelCores)
	m.setGreedy()
	var conns [3][]*modelConn
	for i, name := range names {
		for n := range 60 {
			c := m.connect(name, rules.Time(20+60*i)*rules.Millisecond, loopbackAddr(3+i, n))
			conns[i] = append(conns[i], c)
			m.request(c)
		}
	}
	m.advance(120 * rules.Second)
	total, work := 0.0, [3]float64{}
	for i := range conns {
		for _, c := range conns[i] {
			work[i] += c.servedWork
		}
		total += work[i]
	}
	maxError := 0.0
	for i := range work {
		want := total * float64(int(1)<<i) / 7
		maxError = max(maxError, math.Abs(work[i]/want-1))
	}
	return maxError
}

// retriesAfterRejection simulates 400 clients of 20 tenants that honour Retry-After, with at most 120 open requests
// of which 32 run at once. For the second half of the run, service times are multiplied by the slowdown. It returns
// the fraction of the retries, each sent when its Retry-After has passed, that were served rather than rejected again,
// and the median of the time from rejection to admission, as a multiple of the Retry-After.
func retriesAfterRejection(slowdown float64) (served, p50 float64) {
	limits := modelLimits()
	limits.Requests = 120
	m := newAdmissionModel(anyTenantSettings(), limits, modelCores)
	returned, rejected := 0, 0
	var ratios []float64
	m.onServed = func(c *modelConn, r *modelRequest) {
		if c.rejectedAt > 0 {
			returned++
			ratios = append(ratios, float64(r.admittedAt-c.rejectedAt)/float64(c.retryAt-c.rejectedAt))
			c.rejectedAt = 0
		}
		m.request(c)
	}
	m.onRejected = func(c *modelConn, retryAfter rules.Time) {
		if c.rejectedAt > 0 {
			rejected++
		}
		c.rejectedAt = 0
		if retryAfter > 0 {
			c.rejectedAt, c.retryAt = m.now, m.now+retryAfter
		}
		m.schedule(max(retryAfter, 10*rules.Millisecond), func() { m.request(c) })
	}
	for i := range 400 {
		c := m.connect(tenantName(i%20), 100*rules.Millisecond, loopbackAddr(10, i%250))
		m.schedule(rules.Time(i)*rules.Millisecond, func() { m.request(c) })
	}
	m.advance(30 * rules.Second)
	m.slowdown = slowdown
	m.advance(30 * rules.Second)
	if len(ratios) == 0 {
		return 0, 0
	}
	slices.Sort(ratios)
	return float64(returned) / float64(returned+rejected), ratios[len(ratios)/2]
}

// displacedClients simulates a gateway that takes over the clients of a lost zone. Its 40 home clients use half of
// the engines; then 40 clients unknown to it connect and request nine tenths, so that not all can be served. It
// returns the fraction served of the home clients' requests before and after, that of the displaced clients, and
// the number of evicted connections of both groups.
func displacedClients() (before, after, displaced float64, evicted int) {
	const serviceTime, clients = 100 * rules.Millisecond, 40
	m := newAdmissionModel(anyTenantSettings(), modelLimits(), modelCores)
	const (
		homeBefore = iota
		homeAfter
		fromLostZone
		phases
	)
	var requested, served [phases]float64
	isDisplaced, busy := map[*modelConn]bool{}, map[*modelConn]bool{} // a connection has one request at a time
	zoneLost := false
	phaseOf := func(c *modelConn) int {
		switch {
		case isDisplaced[c]:
			return fromLostZone
		case zoneLost:
			return homeAfter
		}
		return homeBefore
	}
	m.onServed = func(c *modelConn, _ *modelRequest) {
		busy[c] = false
		served[phaseOf(c)]++
	}
	m.onRejected = func(c *modelConn, _ rules.Time) { busy[c] = false }
	var sendNext func(c *modelConn, interval rules.Time)
	sendNext = func(c *modelConn, interval rules.Time) {
		if !c.open {
			return
		}
		requested[phaseOf(c)]++
		if !busy[c] {
			busy[c] = true
			m.request(c)
		}
		m.schedule(interval, func() { sendNext(c, interval) })
	}
	var conns []*modelConn
	connect := func(group int, interval rules.Time) {
		for i := range clients {
			c := m.connect(tenantName(100*group+i), serviceTime, loopbackAddr(20+group, i))
			isDisplaced[c] = group == 1
			conns = append(conns, c)
			m.schedule(rules.Time(i)*interval/clients, func() { sendNext(c, interval) })
		}
	}
	connect(0, 250*rules.Millisecond) // 160 requests per second; the engines serve 320
	m.advance(20 * rules.Second)
	zoneLost = true
	connect(1, 139*rules.Millisecond) // 288 more requests per second
	m.advance(20 * rules.Second)
	for _, c := range conns {
		if !c.open {
			evicted++
		}
	}
	fraction := func(phase int) float64 { return served[phase] / max(requested[phase], 1) }
	return fraction(homeBefore), fraction(homeAfter), fraction(fromLostZone), evicted
}

// stateSize returns the largest size of the controller's state, in bytes, while the given number of tenants send one
// request each, and the bound that the controller states for it.
func stateSize(tenants int) (bytes, bound int) {
	m := newAdmissionModel(anyTenantSettings(), modelLimits(), modelCores)
	m.onServed = func(*modelConn, *modelRequest) {}
	m.onRejected = func(*modelConn, rules.Time) {}
	for i := range tenants {
		c := m.connect(tenantName(i), rules.Millisecond/10, netip.AddrFrom4([4]byte{127, byte(i >> 16), byte(i >> 8), byte(i)}))
		m.request(c)
		m.advance(rules.Millisecond / 5)
		m.close(c)
		bytes = max(bytes, m.controller.StateBytes())
	}
	return bytes, m.controller.StateBound()
}

// admissionCost returns the time and the allocations that the controller needs per request with 100,000 known
// tenants. A request consists of its events: arrived, forwarded, engine time used, done, connection idle.
func admissionCost() (ns, allocs float64) {
	const tenants, requests, slots = 100_000, 400_000, 300
	controller := admission.New(anyTenantSettings(), modelLimits(), modelClasses(), nil, modelSeed)
	now := rules.Second
	names := make([]string, tenants)
	for i := range names {
		names[i] = tenantName(i)
	}
	simulateRequest := func(i int) {
		now += 10
		slot := i % slots
		controller.Handle(now, admission.Event{Kind: admission.RequestArrived, Slot: slot, Conn: slot, Request: admission.Request{Tenant: names[i%tenants], Deadline: now + modelTimeout, StatementBytes: 100}})
		controller.Handle(now, admission.Event{Kind: admission.RequestForwarded, Slot: slot})
		now += 1000
		controller.Handle(now, admission.Event{Kind: admission.EngineTimeUsed, Slot: slot, EngineTime: 1000})
		controller.Handle(now, admission.Event{Kind: admission.RequestDone, Slot: slot, Served: true})
		controller.Handle(now, admission.Event{Kind: admission.ConnectionIdle, Conn: slot})
	}
	for i := range slots {
		controller.Handle(now, admission.Event{Kind: admission.ConnectionOpened, Conn: i, From: loopback})
	}
	for i := range tenants {
		simulateRequest(i)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range requests {
		simulateRequest(i)
	}
	elapsed := time.Since(start)
	runtime.ReadMemStats(&after)
	return float64(elapsed.Nanoseconds()) / requests, math.Round(float64(after.Mallocs-before.Mallocs)/requests*100) / 100
}
