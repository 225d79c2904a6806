package admission

import (
	"fmt"
	"net/netip"
	"testing"

	"go4.org/netipx"

	"foxlane/rules"
)

func set(t testing.TB, prefixes ...string) *netipx.IPSet {
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

func TestWhoseARequestIs(t *testing.T) {
	s := Defaults()
	s.AnyTenant = true
	s.Networks = []Network{
		{Name: "offices", Set: set(t, "10.1.0.0/16", "2001:db8:1::/48"), Weight: 2, Together: true},
		{Name: "proxy", Set: set(t, "192.0.2.7/32"), Weight: 3, Trusted: true},
	}
	s.Tenants = []Tenant{{Name: "coop", Weight: 4}, {Name: "inner", Weight: 5, Networks: []string{"offices"}}}
	w := newDirectory(s, []string{"site"}, 9)
	of := func(from, tenant string) principal {
		name := uint64(0)
		if tenant != "" {
			name = w.hashName(spaceTenant, tenant)
		}
		return w.of(w.from(netip.MustParseAddr(from)), name)
	}
	const (
		same      = iota // one tenant, one client
		clients          // one tenant, two clients
		strangers        // two tenants
	)
	for _, c := range []struct {
		what                  string
		from1, tenant1, from2 string
		tenant2               string
		want                  int
		weight                float64
	}{
		{"an address", "203.0.113.1", "", "203.0.113.1", "", same, 1},
		{"two addresses", "203.0.113.1", "", "203.0.113.2", "", strangers, 1},
		{"IPv4 in IPv6", "::ffff:203.0.113.1", "", "203.0.113.1", "", same, 1},
		{"hosts of one /64", "2001:db8:9::1", "", "2001:db8:9::ffff:2", "", same, 1},
		{"two /64", "2001:db8:9:1::1", "", "2001:db8:9:2::1", "", strangers, 1},
		{"addresses that share as one", "10.1.0.1", "", "10.1.9.9", "", clients, 2},
		{"both families of a network", "10.1.0.1", "", "2001:db8:1::7", "", clients, 2},
		{"a declared tenant from anywhere", "203.0.113.1", "coop", "198.51.100.1", "coop", clients, 4},
		{"a tenant of the site's", "203.0.113.1", "site", "198.51.100.1", "site", clients, 1},
		{"a tenant where it may be told", "10.1.0.1", "inner", "10.1.0.2", "inner", clients, 5},
		{"a tenant where it may not be told", "203.0.113.1", "inner", "203.0.113.1", "", clients, 1},
		{"an undeclared name", "203.0.113.1", "new", "203.0.113.1", "other", clients, 1},
		{"an undeclared name from two addresses", "203.0.113.1", "new", "198.51.100.1", "new", strangers, 1},
		{"an undeclared name from a trusted network", "192.0.2.7", "new", "192.0.2.7", "other", strangers, 3},
		{"one name from a trusted network", "192.0.2.7", "new", "192.0.2.7", "new", same, 3},
	} {
		a, b := of(c.from1, c.tenant1), of(c.from2, c.tenant2)
		got := strangers
		if a.tenant == b.tenant {
			got = clients
			if a.client == b.client {
				got = same
			}
		}
		if got != c.want || a.weight != c.weight {
			t.Errorf("%s: got %d with weight %v, want %d with %v", c.what, got, a.weight, c.want, c.weight)
		}
	}
}

// Who knows the names but not the seed can't tell which share a place.
func TestPlacesDependOnTheSeed(t *testing.T) {
	const tenants, places = 2000, 1 << 10
	pairs := func(seed uint64, addresses bool) map[[2]int]bool {
		w := newDirectory(Defaults(), nil, seed)
		at := map[uint64][]int{}
		for i := range tenants {
			h := w.hashName(spaceTenant, fmt.Sprint("tenant-", i)) % places
			if addresses {
				h = w.address(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)})) % places
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
		both := 0
		for p := range a {
			if b[p] {
				both++
			}
		}
		if len(a) < 1000 || both > len(a)/100 {
			t.Errorf("addresses %v: of %d pairs that share a place under one seed, %d do under another", addresses, len(a), both)
		}
	}
}

// The heaviest of those that have left are followed exactly.
func TestHeaviestAreFollowedExactly(t *testing.T) {
	tb := newTable(32 << 10)
	w := newDirectory(Defaults(), nil, 9)
	key := func(i int) uint64 { return w.hashName(spaceTenant, fmt.Sprint("t", i)) }
	for i := range 20_000 {
		v := 1.0
		if i%1000 == 7 {
			v = 1e6
		}
		tb.put(record{key(i), v, 0}, 0, 0)
	}
	for i := 7; i < 20_000; i += 1000 {
		if r, ok := tb.take(key(i)); !ok || r.value != 1e6 {
			t.Errorf("heavy tenant %d: %+v, %v", i, r, ok)
		}
	}
	full := newTable(0) // one set
	for i := range ways {
		full.put(record{key(i), float64(10 + i), 0}, 0, 0)
	}
	if lost := full.put(record{key(100), 5, 0}, 0, 0); lost.key != key(100) {
		t.Error("a light one took the place of a heavier one")
	}
	if lost := full.put(record{key(101), 50, 0}, 0, 0); lost.key != key(0) {
		t.Error("not the lightest gave way")
	}
	if lost := full.put(record{key(102), 5, 0}, 11, 0); lost.key != 0 {
		t.Error("one that owes nothing any more kept its place")
	}
}

// What light ones owe is never less than they do, and seldom more.
func TestSketchSeldomOverstates(t *testing.T) {
	s := newSketch(8 << 10) // 256 places a row
	w := newDirectory(Defaults(), nil, 9)
	const n = 100
	key := func(i int) uint64 { return w.hashName(spaceTenant, fmt.Sprint("t", i)) }
	for i := range n {
		s.put(key(i), float64(i+1))
	}
	more := 0
	for i := range n {
		switch got := s.get(key(i)); {
		case got < float64(i+1):
			t.Errorf("%d owes %v", i+1, got)
		case got > float64(i+1):
			more++
		}
	}
	if more > 8 { // a row alone overstates about 18
		t.Errorf("%d of %d are overstated", more, n)
	}
}

// A tenant that comes once is not worse off than a regular, after a million of them.
func TestOnceIsAsGoodAsRegular(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	for i := range 30_000 {
		c := b.connect(fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255))
		b.ask(c, fmt.Sprint("n", i), fmt.Sprint("once", i), ms/10, nil)
		b.advance(ms / 10)
		b.leave(c)
	}
	b.again()
	b.greedy("10.0.0.1", "regular", 30, 50*ms)
	b.advance(5 * rules.Second)
	again := b.ended
	b.ended = func(a *benchAsk) {
		if a.tenant == "regular" {
			again(a)
		}
	}
	for i := range 20 {
		name := fmt.Sprint("newcomer", i)
		c := b.connect(fmt.Sprintf("10.9.9.%d", i+1))
		b.ask(c, name, name, 50*ms, nil)
		b.advance(100 * ms)
		if w := b.waits[name]; len(w) != 1 || w[0] > 50*ms {
			t.Errorf("%s waited %v at the door", name, w)
		}
		b.leave(c)
	}
}

// Neither a tenant of few heavy queries nor one of many light ones waits for the other longer than one run.
func TestHeavyAndLightWaitOneRunAtMost(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "heavy", 20, 400*ms)
	b.advance(4 * rules.Second)
	again := b.ended
	b.ended = func(a *benchAsk) {
		if a.tenant == "heavy" {
			again(a)
		}
	}
	c := b.connect("10.0.0.2")
	for i := range 30 {
		b.ask(c, fmt.Sprint("light", i), "light", 10*ms, nil)
		b.advance(600 * ms)
	}
	for _, w := range b.waits["light"] {
		if w > 400*ms {
			t.Errorf("a light query waited %d ms for runs of 400 ms", w/ms)
		}
	}
	if len(b.waits["light"]) != 30 {
		t.Errorf("%d of 30 light queries passed", len(b.waits["light"]))
	}
}

// A flood that takes a new address of one network for each connection is one tenant where the operator
// has put the network together.
func TestNewAddressesOfOneNetworkWinNothing(t *testing.T) {
	s := Defaults()
	s.Networks = []Network{{Name: "pool", Set: set(t, "10.0.0.0/8"), Weight: 1, Together: true}}
	b := newBench(t, s, testSizes(), oneClass())
	n := 0
	var fresh func(a *benchAsk)
	fresh = func(a *benchAsk) {
		if a.tenant == "" && a.id[0] == 'p' {
			b.leave(a.conn)
			n++
			c := b.connect(fmt.Sprintf("10.%d.%d.%d", n>>16&255, n>>8&255, n&255))
			if b.conns[c] != nil {
				b.ask(c, fmt.Sprint("p", n), "", 50*ms, nil)
			}
			return
		}
		b.ask(a.conn, fmt.Sprint("h", b.now, a.conn), "", a.took, nil)
	}
	b.ended = fresh
	pool, honest := 0.0, 0.0
	for i := range 30 {
		c := b.connect(fmt.Sprintf("10.200.0.%d", i+1))
		b.ask(c, fmt.Sprint("p-", i), "", 50*ms, nil)
	}
	for i := range 20 {
		c := b.connect("192.0.2.1")
		b.ask(c, fmt.Sprint("h-", i), "", 50*ms, nil)
	}
	inner := b.ended
	b.ended = func(a *benchAsk) {
		if a.id[0] == 'p' {
			pool += float64(a.took)
		} else {
			honest += float64(a.took)
		}
		inner(a)
	}
	b.advance(20 * rules.Second)
	if part := honest / (pool + honest); part < 0.45 {
		t.Errorf("beside a pool of addresses the honest client got %.2f of the work", part)
	}
}

// A clock that steps back stands still for the door: nothing is refused or forgotten for it, and nobody
// was held for less than no time.
func TestClockStepsBack(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	c := b.connect("10.0.0.1")
	b.ask(c, "before", "a", 50*ms, nil)
	b.greedy("10.0.0.3", "a", 20, 50*ms)
	b.now -= 10 * rules.Second
	c2 := b.connect("10.0.0.2")
	b.ask(c2, "after", "b", 50*ms, func(q *Ask) { q.Due = b.now + 15*rules.Second })
	if b.finals["before"] != 0 || b.finals["after"] != 0 {
		t.Error("a step back of the clock ended a request")
	}
	for i := range b.running { // these run on by the clock as it is now
		b.running[i].end -= 10 * rules.Second
	}
	b.advance(rules.Second)
	if b.finals["before"] != 1 || b.finals["after"] != 1 {
		t.Error("not answered after the clock stepped back")
	}
}
