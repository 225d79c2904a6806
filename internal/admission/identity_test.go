package admission

import (
	"fmt"
	"net/netip"
	"testing"

	"go4.org/netipx"

	"foxlane/rules"
)

func addressSet(t testing.TB, prefixes ...string) *netipx.IPSet {
	var b netipx.IPSetBuilder
	for _, p := range prefixes {
		b.AddPrefix(netip.MustParsePrefix(p))
	}
	s, err := b.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestPrincipalOfARequest(t *testing.T) {
	s := Defaults()
	s.AnyTenant = true
	s.Networks = []Network{
		{Name: "offices", Addresses: addressSet(t, "10.1.0.0/16", "2001:db8:1::/48"), Weight: 2, SharedTenant: true},
		{Name: "proxy", Addresses: addressSet(t, "192.0.2.7/32"), Weight: 3, Trusted: true},
	}
	s.Tenants = []Tenant{{Name: "coop", Weight: 4}, {Name: "inner", Weight: 5, Networks: []string{"offices"}}}
	r := newIdentityResolver(s, []string{"site"}, 9)
	resolve := func(from, tenant string) principal {
		name := uint64(0)
		if tenant != "" {
			name = r.hashName(domainTenant, tenant)
		}
		return r.principalOf(r.originOf(netip.MustParseAddr(from)), name)
	}
	const (
		sameClient       = iota // one tenant, one client
		sameTenant              // one tenant, two clients
		differentTenants        // two tenants
	)
	for _, c := range []struct {
		name                  string
		from1, tenant1, from2 string
		tenant2               string
		want                  int
		weight                float64
	}{
		{"an address", "203.0.113.1", "", "203.0.113.1", "", sameClient, 1},
		{"two addresses", "203.0.113.1", "", "203.0.113.2", "", differentTenants, 1},
		{"IPv4 in IPv6", "::ffff:203.0.113.1", "", "203.0.113.1", "", sameClient, 1},
		{"hosts of one /64", "2001:db8:9::1", "", "2001:db8:9::ffff:2", "", sameClient, 1},
		{"two /64", "2001:db8:9:1::1", "", "2001:db8:9:2::1", "", differentTenants, 1},
		{"two addresses of a network with one tenant", "10.1.0.1", "", "10.1.9.9", "", sameTenant, 2},
		{"both families of a network", "10.1.0.1", "", "2001:db8:1::7", "", sameTenant, 2},
		{"a declared tenant from anywhere", "203.0.113.1", "coop", "198.51.100.1", "coop", sameTenant, 4},
		{"a tenant that the site declares", "203.0.113.1", "site", "198.51.100.1", "site", sameTenant, 1},
		{"a tenant from a network that may declare it", "10.1.0.1", "inner", "10.1.0.2", "inner", sameTenant, 5},
		{"a tenant from a network that may not declare it", "203.0.113.1", "inner", "203.0.113.1", "", sameTenant, 1},
		{"an undeclared name", "203.0.113.1", "new", "203.0.113.1", "other", sameTenant, 1},
		{"an undeclared name from two addresses", "203.0.113.1", "new", "198.51.100.1", "new", differentTenants, 1},
		{"an undeclared name from a trusted network", "192.0.2.7", "new", "192.0.2.7", "other", differentTenants, 3},
		{"one name from a trusted network", "192.0.2.7", "new", "192.0.2.7", "new", sameClient, 3},
	} {
		a, b := resolve(c.from1, c.tenant1), resolve(c.from2, c.tenant2)
		got := differentTenants
		if a.tenant == b.tenant {
			got = sameTenant
			if a.client == b.client {
				got = sameClient
			}
		}
		if got != c.want || a.weight != c.weight {
			t.Errorf("%s: got %d with weight %v, want %d with %v", c.name, got, a.weight, c.want, c.weight)
		}
	}
}

// Names or addresses that collide under one seed rarely collide under another, so that clients can't choose colliding
// names without knowing the seed.
func TestHashCollisionsDependOnTheSeed(t *testing.T) {
	const tenants, cells = 2000, 1 << 10
	pairs := func(seed uint64, addresses bool) map[[2]int]bool {
		r := newIdentityResolver(Defaults(), nil, seed)
		at := map[uint64][]int{}
		for i := range tenants {
			h := r.hashName(domainTenant, fmt.Sprint("tenant-", i)) % cells
			if addresses {
				h = r.hashAddress(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})) % cells
			}
			at[h] = append(at[h], i)
		}
		out := map[[2]int]bool{}
		for _, l := range at {
			for i := range l {
				for j := range i {
					out[[2]int{l[j], l[i]}] = true
				}
			}
		}
		return out
	}
	for _, addresses := range []bool{false, true} {
		a, b := pairs(1, addresses), pairs(2, addresses)
		shared := 0
		for p := range a {
			if b[p] {
				shared++
			}
		}
		if len(a) < 1000 || shared > len(a)/100 {
			t.Errorf("addresses %v: of %d pairs that collide under one seed, %d collide under another", addresses, len(a), shared)
		}
	}
}

// The largest debts stay in the table exactly, however many small ones are added.
func TestHeaviestDebtsAreExact(t *testing.T) {
	table := newDebtTable(32 << 10)
	r := newIdentityResolver(Defaults(), nil, 9)
	key := func(i int) uint64 { return r.hashName(domainTenant, fmt.Sprint("t", i)) }
	for i := range 20_000 {
		v := 1.0
		if i%1000 == 7 {
			v = 1e6
		}
		table.put(debt{key(i), v, 0}, 0, 0)
	}
	for i := 7; i < 20_000; i += 1000 {
		if r, ok := table.remove(key(i)); !ok || r.virtualTime != 1e6 {
			t.Errorf("heavy tenant %d: %+v, %v", i, r, ok)
		}
	}
	full := newDebtTable(0) // one set
	for i := range debtTableWays {
		full.put(debt{key(i), float64(10 + i), 0}, 0, 0)
	}
	if evicted := full.put(debt{key(100), 5, 0}, 0, 0); evicted.key != key(100) {
		t.Error("a debt evicted a larger one")
	}
	if evicted := full.put(debt{key(101), 50, 0}, 0, 0); evicted.key != key(0) {
		t.Error("the smallest debt was not the one that was evicted")
	}
	if evicted := full.put(debt{key(102), 5, 0}, 11, 0); evicted.key != 0 {
		t.Error("an entry below the floor was not replaced")
	}
}

// The sketch never understates a debt, and seldom overstates one.
func TestSketchSeldomOverstates(t *testing.T) {
	sketch := newDebtSketch(8 << 10) // 256 cells per row
	r := newIdentityResolver(Defaults(), nil, 9)
	const n = 100
	key := func(i int) uint64 { return r.hashName(domainTenant, fmt.Sprint("t", i)) }
	for i := range n {
		sketch.put(key(i), float64(i+1))
	}
	overstated := 0
	for i := range n {
		switch got := sketch.get(key(i)); {
		case got < float64(i+1):
			t.Errorf("a debt of %d is returned as %v", i+1, got)
		case got > float64(i+1):
			overstated++
		}
	}
	if overstated > 8 { // a single row would overstate about 18
		t.Errorf("%d of %d debts are overstated", overstated, n)
	}
}

// After many tenants that sent a single request each, a new tenant is still served as promptly as a regular one.
func TestOneTimeTenantIsServedLikeARegularOne(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	for i := range 30_000 {
		c := sim.connect(fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255))
		sim.send(c, fmt.Sprint("n", i), fmt.Sprint("once", i), ms/10, nil)
		sim.advance(ms / 10)
		sim.disconnect(c)
	}
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "regular", 30, 50*ms)
	sim.advance(5 * rules.Second)
	sim.repeatOnly("regular")
	for i := range 20 {
		name := fmt.Sprint("newcomer", i)
		c := sim.connect(fmt.Sprintf("10.9.9.%d", i+1))
		sim.send(c, name, name, 50*ms, nil)
		sim.advance(100 * ms)
		if w := sim.queueTimes[name]; len(w) != 1 || w[0] > 50*ms {
			t.Errorf("%s: queueing times are %v us, want one of at most 50 ms", name, w)
		}
		sim.disconnect(c)
	}
}

// A light query waits for at most one run of another tenant's heavy queries.
func TestHeavyAndLightWaitOneRunAtMost(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	sim.repeatRequests()
	sim.startClosedLoop("10.0.0.1", "heavy", 20, 400*ms)
	sim.advance(4 * rules.Second)
	sim.repeatOnly("heavy")
	c := sim.connect("10.0.0.2")
	for i := range 30 {
		sim.send(c, fmt.Sprint("light", i), "light", 10*ms, nil)
		sim.advance(600 * ms)
	}
	for _, w := range sim.queueTimes["light"] {
		if w > 400*ms {
			t.Errorf("a light query waited %d ms, longer than one run of 400 ms", w/ms)
		}
	}
	if len(sim.queueTimes["light"]) != 30 {
		t.Errorf("%d of 30 light queries were admitted", len(sim.queueTimes["light"]))
	}
}

// A client that changes its address within a network gains no additional share if the operator has made the network one
// tenant.
func TestNewAddressesOfOneNetworkGainNothing(t *testing.T) {
	s := Defaults()
	s.Networks = []Network{{Name: "pool", Addresses: addressSet(t, "10.0.0.0/8"), Weight: 1, SharedTenant: true}}
	sim := newSimulation(t, s, testLimits(), oneClass())
	n := 0
	sendNext := func(request *simulatedRequest) {
		if request.tenant == "" && request.id[0] == 'p' {
			sim.disconnect(request.connection)
			n++
			c := sim.connect(fmt.Sprintf("10.%d.%d.%d", n>>16&255, n>>8&255, n&255))
			if sim.connections[c] != nil {
				sim.send(c, fmt.Sprint("p", n), "", 50*ms, nil)
			}
			return
		}
		sim.send(request.connection, fmt.Sprint("h", sim.now, request.connection), "", request.runTime, nil)
	}
	sim.onServed = sendNext
	pool, honest := 0.0, 0.0
	for i := range 30 {
		c := sim.connect(fmt.Sprintf("10.200.0.%d", i+1))
		sim.send(c, fmt.Sprint("p-", i), "", 50*ms, nil)
	}
	for i := range 20 {
		c := sim.connect("192.0.2.1")
		sim.send(c, fmt.Sprint("h-", i), "", 50*ms, nil)
	}
	repeat := sim.onServed
	sim.onServed = func(request *simulatedRequest) {
		if request.id[0] == 'p' {
			pool += float64(request.runTime)
		} else {
			honest += float64(request.runTime)
		}
		repeat(request)
	}
	sim.advance(20 * rules.Second)
	if share := honest / (pool + honest); share < 0.45 {
		t.Errorf("the client with one address got %.2f of the work beside a network of changing addresses, want at least 0.45", share)
	}
}

// When the clock steps back, the controller's time does not advance: no request is rejected, and no queueing time is
// negative.
func TestClockStepsBack(t *testing.T) {
	sim := newSimulation(t, trustingSettings(), testLimits(), oneClass())
	c := sim.connect("10.0.0.1")
	sim.send(c, "before", "a", 50*ms, nil)
	sim.startClosedLoop("10.0.0.3", "a", 20, 50*ms)
	sim.now -= 10 * rules.Second
	c2 := sim.connect("10.0.0.2")
	sim.send(c2, "after", "b", 50*ms, func(q *Request) { q.Deadline = sim.now + 15*rules.Second })
	if sim.outcomes["before"] != 0 || sim.outcomes["after"] != 0 {
		t.Error("a step back of the clock ended a request")
	}
	for i := range sim.running { // runs in progress end by the new clock
		sim.running[i].end -= 10 * rules.Second
	}
	sim.advance(rules.Second)
	if sim.outcomes["before"] != 1 || sim.outcomes["after"] != 1 {
		t.Error("a request was not served after the clock stepped back")
	}
}
