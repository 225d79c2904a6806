package measure

import (
	"context"
	"fmt"
	"io"
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

// This file measures the door: on sockets beside a flood, in virtual time for
// shares and times of return, and alone for its size and cost.

const fairSiteConfig = "fair {\n}\n"

// fairSetup is what the figures of the issue were measured on: two engines of 16 slots, 100 ms a query.
func fairSetup(gateway, site string) Setup {
	return Setup{Gateway: gateway, Engines: 2, Slots: 16, ServiceTime: 100 * time.Millisecond, MemoryMB: 192, Sockets: 1024, SiteConfig: site,
		RetryAfter: true, Timeout: 2500 * time.Millisecond}
}

const quietClients = 20

// warmUp is how long a scene runs before it is counted: hundreds of clients connect in its first second.
const warmUp = 2 * time.Second

// quiet asks for an eighth of what the engines give.
func quiet() ClientGroup {
	return ClientGroup{Name: "quiet", Clients: quietClients, Interval: quietClients * time.Second / 40, Timeout: 2500 * time.Millisecond,
		SourceAddr: func(i int) netip.Addr { return loopbackAddr(1, i) }, WarmUp: warmUp}
}

func flood(clients int) ClientGroup {
	return ClientGroup{Name: "flood", Clients: clients, Timeout: 2500 * time.Millisecond, SourceAddr: func(int) netip.Addr { return loopbackAddr(2, 0) },
		WarmUp: warmUp}
}

// Fairness measures the admission. The gateway is a program; empty: built from this module.
func Fairness(ctx context.Context, gateway string, seconds int, progress io.Writer) (*Report, error) {
	r := newReport("fair", "scene", "quiet asked", "served", "p50 ms", "p99 ms", "flood served", "refused", "cut")
	length := time.Duration(seconds) * time.Second
	scene := func(name, site string, groups ...ClientGroup) (map[string]*ClientStats, error) {
		length := length
		if len(groups) == 1 && groups[0].Name == "flood" {
			length /= 2
		}
		length += warmUp
		fmt.Fprintf(progress, "%s, %v\n", name, length)
		w, err := StartTestbed(fairSetup(gateway, site))
		if err != nil {
			return nil, err
		}
		defer w.Close()
		ctx, stop := context.WithTimeout(ctx, length)
		defer stop()
		t := RunClients(ctx, w, groups...)
		q, f := t["quiet"], t["flood"]
		if q == nil {
			q = newClientStats()
		}
		if f == nil {
			f = newClientStats()
		}
		r.addRow(name, q.Requested.Load(), q.Served.Load(), q.LatencyQuantile(50), q.LatencyQuantile(99), f.Served.Load(), f.Rejected.Load(), f.Disconnected.Load())
		return t, nil
	}
	alone, err := scene("quiet alone, door on", fairSiteConfig, quiet())
	if err != nil {
		return r, err
	}
	beside, err := scene("280 flooding, door on", fairSiteConfig, quiet(), flood(280))
	if err != nil {
		return r, err
	}
	if _, err := scene("280 flooding, door off", "", quiet(), flood(280)); err != nil {
		return r, err
	}
	on, err := scene("100 flooding alone, door on", fairSiteConfig, flood(100))
	if err != nil {
		return r, err
	}
	off, err := scene("100 flooding alone, door off", "", flood(100))
	if err != nil {
		return r, err
	}
	ratio := func(t *ClientStats) float64 { return float64(t.Served.Load()) / float64(max(t.Requested.Load(), 1)) }
	r.setValue("quiet_served_ratio", ratio(beside["quiet"])/ratio(alone["quiet"]), "0.98 or more")
	r.setValue("quiet_p99_ratio", beside["quiet"].LatencyQuantile(99)/alone["quiet"].LatencyQuantile(99), "2 or less")
	r.setValue("throughput_ratio", float64(on["flood"].Served.Load())/float64(max(off["flood"].Served.Load(), 1)), "0.97 or more")

	fmt.Fprintln(progress, "shares and times of return, in virtual time")
	r.setValue("jain_100", jainIndex(), "0.97 or more")
	r.setValue("weight_error", weightError(), "0.1 or less")
	kept, p50 := returnsAfterRejection(1)
	r.setValue("return_kept", kept, "0.9 or more")
	r.setValue("return_ratio_p50", p50, "0.5 to 2")
	kept, p50 = returnsAfterRejection(2)
	r.setValue("return_kept_half_capacity", kept, "")
	r.setValue("return_ratio_p50_half_capacity", p50, "")
	fmt.Fprintln(progress, "size and cost")
	bytes, bound := stateSize(10_000)
	r.setValue("state_bytes_10k", float64(bytes), fmt.Sprintf("%d at most", bound))
	bytes, bound = stateSize(1_000_000)
	r.setValue("state_bytes_1m", float64(bytes), fmt.Sprintf("%d at most", bound))
	ns, allocs := admissionCost()
	r.setValue("cost_ns", ns, "2000 or less")
	r.setValue("cost_allocs", allocs, "0")
	return r, ctx.Err()
}

// trustAnyTenant lets any tenant be told from this machine.
func trustAnyTenant() admission.Settings {
	s := admission.Defaults()
	var all netipx.IPSetBuilder
	all.AddPrefix(netip.MustParsePrefix("127.0.0.0/8"))
	set, _ := all.IPSet()
	s.AnyTenant, s.Networks = true, []admission.Network{{Name: "here", Addresses: set, Weight: 1, Trusted: true}}
	return s
}

func modelSizes() admission.Limits {
	return admission.Limits{ConnectionSlots: 502, Connections: 500, Requests: 342, StatementBytes: 24 << 20, InputBytes: 24 << 20, StateBytes: 6 << 20}
}

var loopback = netip.AddrFrom4([4]byte{127, 0, 0, 1})

// jainIndex is Jain's fairness index of the work that 100 equally greedy tenants got, of runs from 20 to 180 ms.
func jainIndex() float64 {
	m := newAdmissionModel(trustAnyTenant(), modelSizes(), 32)
	m.onServed = func(c *modelConn, _ *modelRequest) { m.request(c) }
	m.onRejected = func(c *modelConn, after rules.Time) {
		m.schedule(max(after, rules.Millisecond), func() { m.request(c) })
	}
	rng := rand.New(rand.NewPCG(3, 3))
	byTenant := make([][]*modelConn, 100)
	for i := range byTenant {
		for range 1 + rng.IntN(5) { // some with many connections
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

// weightError is the greatest part by which three greedy tenants of weights 1, 2 and 4 miss their shares.
func weightError() float64 {
	s := admission.Defaults()
	names := []string{"one", "two", "four"}
	for i, name := range names {
		s.Tenants = append(s.Tenants, admission.Tenant{Name: name, Weight: float64(int(1) << i)})
	}
	m := newAdmissionModel(s, modelSizes(), 32)
	m.onServed = func(c *modelConn, _ *modelRequest) { m.request(c) }
	m.onRejected = func(c *modelConn, after rules.Time) {
		m.schedule(max(after, rules.Millisecond), func() { m.request(c) })
	}
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
	worst := 0.0
	for i := range work {
		want := total * float64(int(1)<<i) / 7
		worst = max(worst, math.Abs(work[i]/want-1))
	}
	return worst
}

// returnsAfterRejection plays 400 clients of 20 tenants that come back when they are told, where 120 requests may be open
// and 32 run at once. Slower is how much slower engines run from the middle on. It answers how many of those
// that came back as told were served in time, and the median of the time needed over the time told.
func returnsAfterRejection(slower float64) (kept, p50 float64) {
	sizes := modelSizes()
	sizes.Requests = 120
	m := newAdmissionModel(trustAnyTenant(), sizes, 32)
	good, bad := 0, 0
	var ratios []float64
	m.onServed = func(c *modelConn, a *modelRequest) {
		if c.rejectedAt > 0 {
			good++
			ratios = append(ratios, float64(a.admittedAt-c.rejectedAt)/float64(c.retryAt-c.rejectedAt))
			c.rejectedAt = 0
		}
		m.request(c)
	}
	m.onRejected = func(c *modelConn, after rules.Time) {
		if c.rejectedAt > 0 {
			bad++
		}
		c.rejectedAt = 0
		if after > 0 {
			c.rejectedAt, c.retryAt = m.now, m.now+after
		}
		m.schedule(max(after, 10*rules.Millisecond), func() { m.request(c) })
	}
	for i := range 400 {
		c := m.connect(tenantName(i%20), 100*rules.Millisecond, loopbackAddr(10, i%250))
		m.schedule(rules.Time(i)*rules.Millisecond, func() { m.request(c) })
	}
	m.advance(30 * rules.Second)
	m.slowdown = slower
	m.advance(30 * rules.Second)
	if len(ratios) == 0 {
		return 0, 0
	}
	slices.Sort(ratios)
	return float64(good) / float64(good+bad), ratios[len(ratios)/2]
}

// displacedClients has the clients of a lost site come to a door where others are at home: 40 who ask for half of the engines, then as many
// again who are unknown and ask for nine tenths, so that not all can be served. It answers the part served of those at home before
// and after, of the strangers, and how many connections of either gave way.
func displacedClients() (before, after, theirs float64, evicted int) {
	const run, each = 100 * rules.Millisecond, 40
	m := newAdmissionModel(trustAnyTenant(), modelSizes(), 32)
	type tally struct{ asked, served float64 }
	var books [3]tally
	group, busy := map[*modelConn]int{}, map[*modelConn]bool{} // a connection has one request at a time
	late := false
	m.onServed = func(c *modelConn, _ *modelRequest) {
		busy[c] = false
		switch {
		case group[c] == 1:
			books[2].served++
		case late:
			books[1].served++
		default:
			books[0].served++
		}
	}
	m.onRejected = func(c *modelConn, _ rules.Time) { busy[c] = false }
	var begin func(c *modelConn, every rules.Time)
	begin = func(c *modelConn, every rules.Time) {
		if c.open {
			switch {
			case group[c] == 1:
				books[2].asked++
			case late:
				books[1].asked++
			default:
				books[0].asked++
			}
			if !busy[c] {
				busy[c] = true
				m.request(c)
			}
			m.schedule(every, func() { begin(c, every) })
		}
	}
	var all []*modelConn
	come := func(g int, every rules.Time) {
		for i := range each {
			c := m.connect(tenantName(100*g+i), run, loopbackAddr(20+g, i))
			group[c] = g
			all = append(all, c)
			m.schedule(rules.Time(i)*every/each, func() { begin(c, every) })
		}
	}
	come(0, 250*rules.Millisecond) // 160 a second of 320
	m.advance(20 * rules.Second)
	late = true
	come(1, 139*rules.Millisecond) // and 288 more
	m.advance(20 * rules.Second)
	for _, c := range all {
		if !c.open {
			evicted++
		}
	}
	part := func(t tally) float64 { return t.served / max(t.asked, 1) }
	return part(books[0]), part(books[1]), part(books[2]), evicted
}

// stateSize is the door's state after so many tenants asked for one query each, and its bound.
func stateSize(tenants int) (bytes, bound int) {
	m := newAdmissionModel(trustAnyTenant(), modelSizes(), 32)
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

// admissionCost is what a request costs in the door, with 100,000 principals known: its arrival, that it is
// sent, what it took and its end.
func admissionCost() (ns, allocs float64) {
	const known, rounds = 100_000, 400_000
	d := admission.New(trustAnyTenant(), modelSizes(), []rules.Class{{LatencyObjective: 500 * rules.Millisecond, ClientTimeout: modelTimeout, LateValue: 0.1, Threads: 1}}, nil, 11)
	now := rules.Second
	names := make([]string, known)
	for i := range names {
		names[i] = tenantName(i)
	}
	round := func(i int) {
		now += 10
		slot := i % 300
		d.Handle(now, admission.Event{Kind: admission.RequestArrived, Slot: slot, Conn: slot, Request: admission.Request{Tenant: names[i%known], Deadline: now + modelTimeout, StatementBytes: 100}})
		d.Handle(now, admission.Event{Kind: admission.RequestForwarded, Slot: slot})
		now += 1000
		d.Handle(now, admission.Event{Kind: admission.EngineTimeUsed, Slot: slot, EngineTime: 1000})
		d.Handle(now, admission.Event{Kind: admission.RequestDone, Slot: slot, Served: true})
		d.Handle(now, admission.Event{Kind: admission.ConnectionIdle, Conn: slot})
	}
	for i := range 300 {
		d.Handle(now, admission.Event{Kind: admission.ConnectionOpened, Conn: i, From: loopback})
	}
	for i := range known {
		round(i)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start := time.Now()
	for i := range rounds {
		round(i)
	}
	took := time.Since(start)
	runtime.ReadMemStats(&after)
	return float64(took.Nanoseconds()) / rounds, math.Round(float64(after.Mallocs-before.Mallocs)/rounds*100) / 100
}
