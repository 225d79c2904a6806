package admission

import (
	"fmt"
	"math"
	"testing"

	"foxlane/rules"
)

// Each of these fails without the one guard that it is named for.

func TestIdleClientEarnsNoCreditWithinItsTenant(t *testing.T) {
	set := Defaults()
	set.Tenants = []Tenant{{Name: "coop", Weight: 1}}
	b := newBench(t, set, testSizes(), oneClass())
	work := map[int]float64{}
	n := 0
	again := func(a *benchAsk) {
		work[a.conn] += float64(a.took)
		n++
		b.ask(a.conn, fmt.Sprint("r", n), "coop", a.took, nil)
	}
	away := b.connect("10.0.0.2") // stays connected, so it is not forgotten
	b.ended = nil
	b.ask(away, "once", "coop", 50*ms, nil)
	b.advance(100 * ms)
	b.ended = again
	b.greedy("10.0.0.1", "coop", 20, 50*ms)
	b.advance(30 * rules.Second)
	clear(work)
	mine := []int{away}
	b.ask(away, "away", "coop", 50*ms, nil)
	for i := range 19 {
		c := b.connect("10.0.0.2")
		b.ask(c, fmt.Sprint("back", i), "coop", 50*ms, nil)
		mine = append(mine, c)
	}
	b.advance(2 * rules.Second)
	sum, part := 0.0, 0.0
	for _, w := range work {
		sum += w
	}
	for _, c := range mine {
		part += work[c]
	}
	if part/sum > 0.6 {
		t.Errorf("a client that was idle got %.2f of its tenant's work", part/sum)
	}
}

// reconnects plays nine greedy ones and one that asks for a run of 400 ms, leaves and comes back at once,
// and returns its part of the work.
func reconnects(t *testing.T, set Settings, tenant func(i int) string, from func(i int) string) float64 {
	b := newBench(t, set, testSizes(), oneClass())
	n := 0
	mine, all := 0.0, 0.0
	b.ended = func(a *benchAsk) {
		all += float64(a.took)
		n++
		if a.id[0] != 'x' {
			b.ask(a.conn, fmt.Sprint("r", n), a.tenant, a.took, nil)
			return
		}
		mine += float64(a.took)
		b.leave(a.conn)
		b.ask(b.connect(from(9)), fmt.Sprint("x", n), tenant(9), 400*ms, nil)
	}
	for i := range 9 {
		for j := range 4 {
			b.ask(b.connect(from(i)), fmt.Sprint("first", i, j), tenant(i), 50*ms, nil)
		}
	}
	b.advance(2 * rules.Second)
	mine, all = 0, 0
	b.ask(b.connect(from(9)), "x", tenant(9), 400*ms, nil)
	b.advance(30 * rules.Second)
	return mine / all
}

func TestDebtsOutlastAConnection(t *testing.T) {
	part := reconnects(t, anyTenant(), func(i int) string { return fmt.Sprint("t", i) }, func(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) })
	if part > 0.14 {
		t.Errorf("a tenant that leaves after each request got %.2f of the work, a tenth is its part", part)
	}
}

func TestDebtsOfAClientOutlastItsConnection(t *testing.T) {
	set := Defaults()
	set.Tenants = []Tenant{{Name: "coop", Weight: 1}}
	part := reconnects(t, set, func(int) string { return "coop" }, func(i int) string { return fmt.Sprintf("10.0.0.%d", i+1) })
	if part > 0.12 {
		t.Errorf("a client that leaves after each request got %.2f of its tenant's work, a tenth is its part", part)
	}
}

func TestWhoTellsTooLittleWorkWinsNothing(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	n := 0
	tell := func(tenant string) func(*Ask) {
		return func(q *Ask) {
			if tenant == "liar" {
				q.Work = 1
			}
		}
	}
	b.ended = func(a *benchAsk) {
		n++
		b.ask(a.conn, fmt.Sprint("r", n), a.tenant, a.took, tell(a.tenant))
	}
	for i, tenant := range []string{"liar", "honest"} {
		for j := range 20 {
			b.ask(b.connect(fmt.Sprintf("10.0.0.%d", i+1)), fmt.Sprint("first", i, j), tenant, 50*ms, tell(tenant))
		}
	}
	b.advance(20 * rules.Second)
	if part := b.served["liar"] / (b.served["liar"] + b.served["honest"]); math.Abs(part-0.5) > 0.03 {
		t.Errorf("who tells too little work got %.2f of it", part)
	}
	if w := b.d.predict(0, 1); w < 0.1*float64(50*ms) {
		t.Errorf("a request of 50 ms whose client tells a microsecond counts for %.0f us until it has run", w)
	}
}

func TestWhatFitsNowhereStopsNobody(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.stuck = func(a *benchAsk) bool { return a.tenant == "huge" }
	for i := range 20 {
		b.ask(b.connect("10.0.0.1"), fmt.Sprint("huge", i), "huge", 50*ms, nil)
	}
	a := b.ask(b.connect("10.0.0.2"), "small", "small", 50*ms, nil)
	b.advance(400 * ms)
	if b.finals["small"] != 1 {
		t.Errorf("passed %v: one that fits waits behind those that fit nowhere", a.passed)
	}
}

func TestHopelessIsRefusedAtOnce(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "flood", 40, 200*ms)
	b.advance(4 * rules.Second)
	c, refused := b.connect("10.0.0.1"), rules.Time(0)
	b.refusal = func(a *benchAsk, _ rules.Time, why Why) {
		if a.id == "hopeless" && why == ForTime {
			refused = b.now
		}
	}
	a := b.ask(c, "hopeless", "flood", 200*ms, func(q *Ask) { q.Due = b.now + 800*ms }) // 36 ahead of it, of 4 at a time
	if refused != a.at {
		t.Errorf("came at %d ms, refused at %d ms", a.at/ms, refused/ms)
	}
	hopeful := b.ask(b.connect("10.0.0.1"), "hopeful", "flood", 200*ms, func(q *Ask) { q.Due = b.now + 4*rules.Second })
	b.ended = nil
	b.advance(4 * rules.Second)
	if !hopeful.passed {
		t.Error("one with patience enough was given up")
	}
}

func TestWhoComesBackAsToldIsAhead(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	for i := range 30 {
		b.ask(b.connect("10.0.0.1"), fmt.Sprint("first", i), "coop", 100*ms, nil)
	}
	c := b.connect("10.0.0.1")
	b.d.book(b.d.conns[0].home.key, 100*ms) // it was told to come back then
	b.advance(100 * ms)
	b.ask(c, "back", "coop", 100*ms, nil)
	held := map[string]bool{}
	for _, a := range b.asks {
		if a != nil && !a.passed {
			held[a.id] = true
		}
	}
	b.advance(3 * rules.Second)
	before := 0
	for _, id := range b.passed {
		if id == "back" {
			break
		}
		if held[id] {
			before++
		}
	}
	if len(held) < 10 || b.finals["back"] != 1 || before > 0 {
		t.Errorf("ended %d times, behind %d of the %d that were held when it came", b.finals["back"], before, len(held))
	}
	if s := b.d.Stats(); s.Kept != 1 {
		t.Errorf("%d promises are counted as kept", s.Kept)
	}
}

func TestSilentConnectionsGoFirst(t *testing.T) {
	b := newBench(t, Defaults(), testSizes(), oneClass())
	var pool []int
	for i := range 4 { // holds most, and uses them
		c := b.connect("192.0.2.1")
		b.ask(c, fmt.Sprint("p", i), "", 10*ms, nil)
		pool = append(pool, c)
	}
	b.advance(50 * ms)
	for i := range 60 {
		b.connect(fmt.Sprintf("10.0.0.%d", i+1)) // each says nothing
	}
	b.advance(600 * ms)
	for i := range 10 {
		b.ask(b.connect(fmt.Sprintf("198.51.100.%d", i+1)), fmt.Sprint("n", i), "", 10*ms, nil)
	}
	for _, c := range pool {
		if b.conns[c] == nil {
			t.Error("a connection in use gave way while others say nothing")
		}
	}
}

func TestPledgesAreForgottenInTime(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	d := b.d
	room := len(d.pledges.all)
	for i := range 4 * room {
		d.book(uint64(i+1), rules.Second)
	}
	if len(d.pledges.of) != room || d.pledges.free != none {
		t.Fatalf("%d clients hold %d pledges", len(d.pledges.of), room)
	}
	d.now += 100 * rules.Second
	for i := range room {
		d.book(uint64(1_000_000+i), rules.Second)
	}
	fresh := 0
	for i := range room {
		if _, ok := d.pledges.of[uint64(1_000_000+i)]; ok {
			fresh++
		}
	}
	if fresh < room*9/10 {
		t.Errorf("of %d pledges %d are kept: the room is taken by those that are over", room, fresh)
	}
}

func TestNoClientTakesAllPledges(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	d := b.d
	for range 10 * len(d.pledges.all) {
		d.book(1, rules.Second)
	}
	d.book(2, rules.Second)
	if l := d.pledges.of[1]; int(l.n) > len(d.pledges.all)/4 || d.pledges.of[2].n != 1 {
		t.Errorf("one client holds %d of %d, the other %d", l.n, len(d.pledges.all), d.pledges.of[2].n)
	}
}

func TestReloadKeepsTheOrderOfKeys(t *testing.T) {
	set := anyTenant()
	b := newBench(t, set, testSizes(), oneClass())
	b.greedy("10.0.0.1", "flood", 20, 100*ms)
	for i := range 6 { // alternately of two tenants
		b.ask(b.connect(fmt.Sprintf("10.0.0.%d", 2+i%2)), fmt.Sprint("k", i), fmt.Sprint("t", i%2), 20*ms, func(q *Ask) { q.Key = "key" })
	}
	set.Tenants = []Tenant{{Name: "t1", Weight: 9}}
	b.tell(Event{Kind: Retuned, Settings: &set})
	b.advance(5 * rules.Second)
	next := 0
	for _, id := range b.passed {
		if id[0] == 'k' {
			if id != fmt.Sprint("k", next) {
				t.Fatalf("passed in the order %v", b.passed)
			}
			next++
		}
	}
	if next != 6 {
		t.Errorf("%d of 6 passed", next)
	}
}

func TestReloadMovesANetworkWithItsRequests(t *testing.T) {
	network := func(prefix string) Settings {
		s := Defaults()
		s.Networks = []Network{{Name: "paid", Set: set(t, prefix), Weight: 9}}
		return s
	}
	b := newBench(t, network("10.1.0.0/16"), testSizes(), oneClass())
	n := 0
	work := map[string]float64{}
	b.ended = func(a *benchAsk) {
		n++
		work[b.conns[a.conn].from.String()] += float64(a.took)
		b.ask(a.conn, fmt.Sprint("r", n), "", a.took, nil)
	}
	for i, from := range []string{"10.1.0.1", "10.2.0.1"} {
		for j := range 20 {
			b.ask(b.connect(from), fmt.Sprint("f", i, j), "", 50*ms, nil)
		}
	}
	part := func() float64 {
		clear(work)
		b.advance(10 * rules.Second)
		return work["10.1.0.1"] / (work["10.1.0.1"] + work["10.2.0.1"])
	}
	if p := part(); math.Abs(p-0.9) > 0.05 {
		t.Errorf("the paying network got %.2f of the work", p)
	}
	s := network("10.2.0.0/16")
	b.tell(Event{Kind: Retuned, Settings: &s})
	if p := part(); math.Abs(p-0.1) > 0.05 {
		t.Errorf("after it was moved to another network the first got %.2f", p)
	}
}
