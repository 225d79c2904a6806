package admission

import (
	"flag"
	"fmt"
	"math"
	"net/netip"
	"os"
	"testing"

	"go4.org/netipx"
	"pgregory.net/rapid"

	"foxlane/rules"
)

const ms = rules.Millisecond

// The random days are the same in each run, unless a seed is given: one verdict for one program.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// bench is a door with a module that sends at once while one of so many slots
// of engines is free, on a clock of its own.
type bench struct {
	t       testing.TB
	d       *Door
	now     rules.Time
	slots   int // of the engines
	running []run
	waiting []int // passed, not sent
	asks    []*benchAsk
	conns   []*benchConn
	wake    rules.Time
	served  map[string]float64 // work by tenant
	waits   map[string][]rules.Time
	passed  []string // ids, in order
	breach  []int
	evicted []int
	refusal func(a *benchAsk, after rules.Time, why Why)
	ended   func(a *benchAsk)
	finals  map[string]int
	stuck   func(a *benchAsk) bool // it fits nowhere: never sent
}

type run struct {
	slot int
	end  rules.Time
}

type benchAsk struct {
	id, tenant string
	conn       int
	at         rules.Time
	took       rules.Time
	passed     bool
	q          Ask
}

type benchConn struct {
	from netip.Addr
	ask  int // -1: none
}

func oneClass() []rules.Class {
	return []rules.Class{{LatencyObjective: 500 * ms, ClientTimeout: 5 * rules.Second, LateValue: 0.1, Threads: 1}}
}

func newBench(t testing.TB, set Settings, sizes Sizes, classes []rules.Class, declared ...string) *bench {
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	return &bench{t: t, d: New(set, sizes, classes, declared, 7), now: rules.Second, slots: 4, asks: make([]*benchAsk, sizes.Asks),
		conns: make([]*benchConn, sizes.Conns), wake: math.MaxInt64, served: map[string]float64{}, waits: map[string][]rules.Time{},
		finals: map[string]int{}}
}

func testSizes() Sizes {
	return Sizes{Conns: 66, Room: 64, Asks: 64, Statements: 64 << 10, Input: 16 << 10, State: 64 << 10}
}

func (b *bench) tell(e Event) {
	inbox := []Event{e}
	for len(inbox) > 0 {
		e, inbox = inbox[0], inbox[1:]
		for _, f := range append([]Effect(nil), b.d.Handle(b.now, e)...) {
			switch f.Kind {
			case Pass:
				a := b.asks[f.Slot]
				if a.passed {
					b.t.Fatalf("%s passes twice", a.id)
				}
				if f.After < 0 {
					b.t.Fatalf("%s was held for %d us", a.id, f.After)
				}
				a.passed = true
				b.passed = append(b.passed, a.id)
				b.waits[a.tenant] = append(b.waits[a.tenant], b.now-a.at)
				if b.stuck == nil || !b.stuck(a) {
					b.waiting = append(b.waiting, f.Slot)
				}
			case Refuse:
				a := b.asks[f.Slot]
				b.end(f.Slot)
				if b.refusal != nil {
					b.refusal(a, f.After, f.Why)
				}
			case Evict:
				b.evicted = append(b.evicted, f.Conn)
				inbox = append(inbox, b.gone(f.Conn)...)
			case Breach:
				b.breach = append(b.breach, f.Conn)
				inbox = append(inbox, b.gone(f.Conn)...)
			case Wake:
				b.wake = f.At
			}
		}
		for len(b.waiting) > 0 && len(b.running) < b.slots {
			slot := b.waiting[0]
			b.waiting = b.waiting[1:]
			b.running = append(b.running, run{slot, b.now + b.asks[slot].took})
			inbox = append(inbox, Event{Kind: Sent, Slot: slot})
		}
	}
	if got, most := b.d.StateBytes(), b.d.StateBound(); got > most {
		b.t.Fatalf("state holds %d bytes, %d at most", got, most)
	}
}

func (b *bench) end(slot int) {
	a := b.asks[slot]
	b.asks[slot] = nil
	b.finals[a.id]++
	if c := b.conns[a.conn]; c != nil {
		c.ask = -1
	}
}

// gone are the events of a connection that ends.
func (b *bench) gone(conn int) (out []Event) {
	c := b.conns[conn]
	if c == nil {
		return nil
	}
	b.conns[conn] = nil
	if c.ask >= 0 {
		slot := c.ask
		if a := b.asks[slot]; a.passed {
			for i, w := range b.waiting {
				if w == slot {
					b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
					break
				}
			}
			for i, r := range b.running {
				if r.slot == slot {
					b.running = append(b.running[:i], b.running[i+1:]...)
					break
				}
			}
		}
		b.end(slot)
		out = append(out, Event{Kind: Done, Slot: slot})
	}
	return append(out, Event{Kind: Closed, Conn: conn})
}

func (b *bench) leave(conn int) {
	for _, e := range b.gone(conn) {
		b.tell(e)
	}
}

func (b *bench) connect(from string) int {
	for i, c := range b.conns {
		if c == nil {
			b.conns[i] = &benchConn{from: netip.MustParseAddr(from), ask: -1}
			b.tell(Event{Kind: Opened, Conn: i, From: b.conns[i].from})
			return i
		}
	}
	b.t.Fatal("no slot for a connection")
	return 0
}

func (b *bench) ask(conn int, id, tenant string, took rules.Time, change func(*Ask)) *benchAsk {
	slot := 0
	for b.asks[slot] != nil {
		slot++
	}
	a := &benchAsk{id: id, tenant: tenant, conn: conn, at: b.now, took: took,
		q: Ask{Tenant: tenant, Due: b.now + 5*rules.Second, Work: took, Bytes: 100}}
	if change != nil {
		change(&a.q)
	}
	b.asks[slot], b.conns[conn].ask = a, slot
	b.tell(Event{Kind: Asked, Slot: slot, Conn: conn, Ask: a.q})
	return a
}

// advance plays for a while.
func (b *bench) advance(by rules.Time) {
	until := b.now + by
	for {
		next, which := min(until, b.wake), -1
		for i, r := range b.running {
			if r.end < next {
				next, which = r.end, i
			}
		}
		b.now = max(b.now, next)
		if which < 0 {
			if b.wake <= b.now {
				b.wake = math.MaxInt64
				b.tell(Event{Kind: Tick})
				continue
			}
			if next == until {
				return
			}
			continue
		}
		r := b.running[which]
		b.running = append(b.running[:which], b.running[which+1:]...)
		a := b.asks[r.slot]
		b.served[a.tenant] += float64(a.took)
		b.tell(Event{Kind: Spent, Slot: r.slot, Took: a.took})
		b.end(r.slot)
		b.tell(Event{Kind: Done, Slot: r.slot, Served: true})
		if b.conns[a.conn] != nil {
			b.tell(Event{Kind: Idle, Conn: a.conn})
			if b.ended != nil {
				b.ended(a)
			}
		}
	}
}

// greedy asks on so many connections again as soon as it is answered.
func (b *bench) greedy(from, tenant string, conns int, took rules.Time) {
	for i := range conns {
		c := b.connect(from)
		b.ask(c, fmt.Sprintf("%s-%d-%d", tenant, c, i), tenant, took, nil)
	}
}

func (b *bench) again() {
	n := 0
	b.ended = func(a *benchAsk) {
		n++
		b.ask(a.conn, fmt.Sprintf("%s+%d", a.id[:min(len(a.id), 12)], n), a.tenant, a.took, nil)
	}
}

func anyTenant() Settings {
	s := Defaults()
	s.AnyTenant = true
	all := netipx.IPSetBuilder{}
	all.AddPrefix(netip.MustParsePrefix("10.0.0.0/8"))
	set, _ := all.IPSet()
	s.Networks = []Network{{Name: "office", Set: set, Weight: 1, Trusted: true}}
	return s
}

func TestLightTenantPassesAheadOfAFlood(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "flood", 50, 100*ms)
	b.advance(2 * rules.Second)
	c := b.connect("10.0.0.2")
	b.ended = func(a *benchAsk) {
		if a.tenant == "flood" {
			b.ask(a.conn, fmt.Sprint(a.id[:8], b.now), "flood", a.took, nil)
		}
	}
	for i := range 20 {
		b.ask(c, fmt.Sprintf("quiet-%d", i), "quiet", 100*ms, nil)
		b.advance(500 * ms)
	}
	for _, w := range b.waits["quiet"] {
		if w > 0 { // the module has room for one of it before anybody else's
			if w > 100*ms {
				t.Errorf("a quiet request waited %d ms at the door", w/ms)
			}
		}
	}
	if b.finals["quiet-19"] != 1 {
		t.Error("the quiet tenant was not served")
	}
}

func TestWeightsAndEqualWork(t *testing.T) {
	set := Defaults()
	set.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 4}}
	b := newBench(t, set, testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "a", 10, 200*ms) // few heavy ones
	b.greedy("10.0.0.2", "b", 20, 10*ms)
	b.greedy("10.0.0.3", "c", 20, 25*ms)
	b.advance(60 * rules.Second)
	sum := b.served["a"] + b.served["b"] + b.served["c"]
	for name, part := range map[string]float64{"a": 1.0 / 7, "b": 2.0 / 7, "c": 4.0 / 7} {
		if got := b.served[name] / sum; math.Abs(got/part-1) > 0.1 {
			t.Errorf("tenant %s got %.3f of the work, %.3f is its part", name, got, part)
		}
	}
	if used := sum / float64(60*rules.Second) / float64(b.slots); used < 0.99 {
		t.Errorf("engines were used %.3f of the time", used)
	}
}

func TestClientsOfATenantShare(t *testing.T) {
	set := Defaults()
	set.Tenants = []Tenant{{Name: "coop", Weight: 1}}
	b := newBench(t, set, testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "coop", 50, 100*ms)
	b.advance(rules.Second)
	c := b.connect("10.0.0.2")
	a := b.ask(c, "colleague", "coop", 100*ms, nil)
	b.advance(150 * ms)
	if !a.passed {
		t.Error("a colleague waits behind a script of its tenant")
	}
}

func TestIdleTenantEarnsNoCredit(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "busy", 20, 50*ms)
	b.advance(30 * rules.Second) // the other one is away
	b.greedy("10.0.0.2", "back", 20, 50*ms)
	clear(b.served)
	b.advance(2 * rules.Second)
	if part := b.served["back"] / (b.served["back"] + b.served["busy"]); part > 0.6 {
		t.Errorf("a tenant that was idle got %.2f of the work", part)
	}
}

func TestDebtIsNotForgottenByReconnecting(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "stays", 20, 50*ms)
	n := 0
	again := b.ended
	for range 40 {
		b.ended = again
		var mine []int
		for range 20 {
			c := b.connect("10.0.0.2")
			n++
			b.ask(c, fmt.Sprint("r", n), "reconnects", 50*ms, nil)
			mine = append(mine, c)
		}
		b.advance(250 * ms)
		for _, c := range mine {
			b.leave(c)
		}
	}
	if part := b.served["reconnects"] / (b.served["stays"] + b.served["reconnects"]); part > 0.55 {
		t.Errorf("who opens and closes connections got %.2f of the work", part)
	}
}

func TestNewNamesFromOneAddressWinNothing(t *testing.T) {
	set := Defaults()
	set.AnyTenant = true
	b := newBench(t, set, testSizes(), oneClass())
	n := 0
	b.ended = func(a *benchAsk) {
		name := a.tenant
		if name != "honest" {
			n++
			name = fmt.Sprint("name", n)
		}
		b.ask(a.conn, fmt.Sprint(name, b.now, a.conn), name, a.took, nil)
	}
	b.greedy("192.0.2.1", "x", 30, 50*ms)
	b.greedy("192.0.2.2", "honest", 20, 50*ms)
	b.advance(20 * rules.Second)
	sum := 0.0
	for _, w := range b.served {
		sum += w
	}
	if part := b.served["honest"] / sum; part < 0.45 {
		t.Errorf("beside one that changes its name the honest tenant got %.2f of the work", part)
	}
}

func TestKeysKeepTheirOrder(t *testing.T) {
	set := anyTenant()
	b := newBench(t, set, testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "flood", 30, 100*ms)
	b.advance(rules.Second)
	again := b.ended
	b.ended = func(a *benchAsk) {
		if a.tenant == "flood" {
			again(a)
		}
	}
	key := func(q *Ask) { q.Key = "k" }
	c1, c2, c3 := b.connect("10.0.0.1"), b.connect("10.0.0.9"), b.connect("10.0.0.9")
	b.ask(c1, "first", "flood", 50*ms, key) // of the heavy tenant: waits
	b.ask(c2, "second", "light", 50*ms, key)
	b.ask(c3, "third", "light", 50*ms, key)
	b.leave(c2) // leaves no gap
	b.advance(4 * rules.Second)
	first, third := -1, -1
	for i, id := range b.passed {
		switch id {
		case "first":
			first = i
		case "second":
			t.Error("one whose client left was passed")
		case "third":
			third = i
		}
	}
	if first < 0 || third < 0 || third < first {
		t.Errorf("of one key the first passed as %d, the third as %d", first, third)
	}
	if len(b.d.chains) != 0 {
		t.Errorf("%d keys are kept", len(b.d.chains))
	}
}

func TestHeldRequestsAreGivenUpInTime(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.again()
	b.greedy("10.0.0.1", "flood", 40, 400*ms)
	b.advance(3 * rules.Second)
	b.ended = nil
	c := b.connect("10.0.0.1")
	refused := rules.Time(0)
	b.refusal = func(a *benchAsk, after rules.Time, why Why) {
		if a.id == "short" {
			refused = b.now
			if after <= 0 {
				t.Error("no time to return was named")
			}
		}
	}
	a := b.ask(c, "short", "flood", 100*ms, func(q *Ask) { q.Due = b.now + 300*ms })
	b.advance(400 * ms)
	if a.passed || refused == 0 || refused > a.q.Due-100*ms {
		t.Errorf("passed %v, refused at %d ms, due at %d ms", a.passed, refused/ms, a.q.Due/ms)
	}
}

func TestPromisesAreSpreadAndKept(t *testing.T) {
	sizes := testSizes()
	sizes.Asks = 16
	b := newBench(t, anyTenant(), sizes, oneClass())
	kept, lost, told := 0, 0, []float64{}
	n := 0
	type back struct {
		at, granted rules.Time
		conn        int
	}
	var backs []back
	first := map[string]back{}
	b.refusal = func(a *benchAsk, after rules.Time, _ Why) {
		if _, ok := first[a.id]; ok {
			lost++
		}
		delete(first, a.id)
		backs = append(backs, back{b.now + after, b.now, a.conn})
	}
	b.ended = func(a *benchAsk) {
		if f, ok := first[a.id]; ok {
			kept++
			told = append(told, float64(b.now-a.took-f.granted)/float64(f.at-f.granted))
			delete(first, a.id)
		}
		backs = append(backs, back{b.now, 0, a.conn})
	}
	for i := range 60 {
		c := b.connect(fmt.Sprintf("10.0.0.%d", i+1))
		b.ask(c, fmt.Sprint("q", c), "coop", 50*ms, nil)
	}
	for range 2000 {
		b.advance(10 * ms)
		due := backs[:0:0]
		rest := backs[:0:0]
		for _, k := range backs {
			if k.at <= b.now {
				due = append(due, k)
			} else {
				rest = append(rest, k)
			}
		}
		backs = rest
		for _, k := range due {
			n++
			id := fmt.Sprint("b", n)
			if k.granted > 0 {
				first[id] = k
			}
			b.ask(k.conn, id, "coop", 50*ms, nil)
		}
	}
	if kept+lost < 300 || float64(kept)/float64(kept+lost) < 0.9 {
		t.Errorf("of %d that came back when told %d were served", kept+lost, kept)
	}
	s := b.d.Stats()
	if s.Kept < 300 || s.NeededOverTold < 0.5 || s.NeededOverTold > 2 {
		t.Errorf("the door counts %d kept, %d lost, correction %.2f", s.Kept, s.Lost, s.NeededOverTold)
	}
	middle := 0
	for _, r := range told {
		if r >= 0.5 && r <= 2 {
			middle++
		}
	}
	if float64(middle) < 0.5*float64(len(told)) {
		t.Errorf("%d of %d times of return were within a half and twice", middle, len(told))
	}
}

func TestNobodyIsToldToReturnWhereThatIsNotAllowed(t *testing.T) {
	set := anyTenant()
	set.Longest = 0
	sizes := testSizes()
	sizes.Asks = 8
	b := newBench(t, set, sizes, oneClass())
	n := 0
	b.refusal = func(_ *benchAsk, after rules.Time, _ Why) {
		if n++; after != 0 {
			t.Error("a time of return was named")
		}
	}
	b.greedy("10.0.0.1", "flood", 20, 100*ms)
	if n == 0 {
		t.Error("nothing was refused")
	}
}

func TestConnectionsComeFromWhoHoldsMost(t *testing.T) {
	b := newBench(t, Defaults(), testSizes(), oneClass())
	quiet := b.connect("192.0.2.7")
	b.ask(quiet, "q", "", 10*ms, nil)
	b.advance(20 * ms)
	for range 1000 {
		b.connect("192.0.2.1")
		b.advance(ms)
	}
	for range 5 {
		c := b.connect("192.0.2.8")
		if b.conns[c] == nil {
			t.Fatal("a newcomer was turned away for a flood of logins")
		}
	}
	if b.conns[quiet] == nil {
		t.Error("a quiet connection gave way to a flood of logins")
	}
	if b.d.open > b.d.sizes.Room {
		t.Errorf("%d connections are open", b.d.open)
	}
}

func TestBusyFloodGivesUpAConnectionForANewcomer(t *testing.T) {
	b := newBench(t, Defaults(), testSizes(), oneClass())
	b.again()
	for i := range 64 {
		c := b.connect("192.0.2.1")
		b.ask(c, fmt.Sprint("f", i), "", 100*ms, nil)
	}
	refused := 0
	b.refusal = func(*benchAsk, rules.Time, Why) { refused++ }
	c := b.connect("192.0.2.9")
	if b.conns[c] == nil || refused != 1 || len(b.evicted) != 1 {
		t.Errorf("newcomer in: %v, refused %d, evicted %v", b.conns[c] != nil, refused, b.evicted)
	}
	own := b.connect("192.0.2.1")
	if b.conns[own] == nil {
		t.Fatal("the flood's own newcomer can't say KILL")
	}
	b.ask(own, "own", "", 100*ms, nil)
	if b.conns[own] != nil || b.finals["own"] != 1 {
		t.Error("the flood's own newcomer took a place")
	}
}

func TestUnfinishedInputIsShared(t *testing.T) {
	b := newBench(t, Defaults(), testSizes(), oneClass())
	small := b.connect("192.0.2.7")
	b.tell(Event{Kind: Input, Conn: small, Bytes: 4000})
	var flood []int
	for range 8 {
		c := b.connect("192.0.2.1")
		b.tell(Event{Kind: Input, Conn: c, Bytes: 3000})
		flood = append(flood, c)
	}
	b.tell(Event{Kind: Input, Conn: small, Bytes: 4600}) // it is over the limit again, by the small one
	if b.conns[small] == nil || len(b.breach) == 0 {
		t.Errorf("the small client is there: %v, %d connections were ended", b.conns[small] != nil, len(b.breach))
	}
	if b.d.input > b.d.sizes.Input {
		t.Errorf("%d bytes are held", b.d.input)
	}
	for _, c := range append(flood, small) {
		b.leave(c)
	}
	if b.d.input != 0 {
		t.Errorf("%d bytes stay counted", b.d.input)
	}
}

func TestWhoIgnoresTheTimeIsNotListenedTo(t *testing.T) {
	sizes := testSizes()
	sizes.Asks = 16
	b := newBench(t, Defaults(), sizes, oneClass())
	n := 0
	b.refusal = func(a *benchAsk, _ rules.Time, _ Why) {
		if a.q.Tenant == "" {
			n++
		}
	}
	for i := range 40 { // of them 25 wait at the door or are turned away
		c := b.connect("192.0.2.1")
		b.ask(c, fmt.Sprint("f", i), "", 100*ms, nil)
	}
	for i := range 100 {
		for c, k := range b.conns {
			if k != nil && k.ask < 0 {
				b.ask(c, fmt.Sprint("g", i, "-", c), "", 100*ms, nil)
			}
		}
		b.advance(ms)
	}
	if b.d.stats.Evicted[ForIgnoring] == 0 {
		t.Error("a client that never heeds its times keeps its connections")
	}
	if n > 40*(Defaults().Ignored+2) {
		t.Errorf("%d refusals were sent to it", n)
	}
}

func TestStateIsBoundedWhateverTheNumberOfTenants(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	most := b.d.StateBound()
	for i := range 20000 {
		c := b.connect(fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255))
		b.ask(c, fmt.Sprint("n", i), fmt.Sprint("tenant", i), ms/10, nil)
		b.advance(ms / 5)
		b.leave(c)
	}
	if got := b.d.StateBytes(); got > most {
		t.Errorf("%d bytes, %d at most", got, most)
	}
	if len(b.d.active) != 0 || len(b.d.tenants) != 0 || b.d.held != 0 || b.d.bytes != 0 || b.d.taken != 0 {
		t.Error("something is left of what has gone")
	}
}

func TestReloadMovesWhatIsHeld(t *testing.T) {
	set := Defaults()
	set.Tenants = []Tenant{{Name: "a", Weight: 1}, {Name: "b", Weight: 1}}
	b := newBench(t, set, testSizes(), oneClass())
	b.again()
	b.greedy("192.0.2.1", "a", 20, 50*ms)
	b.greedy("192.0.2.2", "b", 20, 50*ms)
	b.advance(2 * rules.Second)
	set.Tenants = []Tenant{{Name: "a", Weight: 4}} // b is gone: its address shares from now on
	set.Unlisted = 1
	b.tell(Event{Kind: Retuned, Settings: &set})
	clear(b.served)
	b.advance(10 * rules.Second)
	if part := b.served["a"] / (b.served["a"] + b.served["b"]); math.Abs(part-0.8) > 0.06 {
		t.Errorf("after the reload a got %.2f of the work", part)
	}
	for id, n := range b.finals {
		if n != 1 {
			t.Errorf("%s had %d answers", id, n)
		}
	}
}

func TestStoppingEndsWhatIsHeld(t *testing.T) {
	b := newBench(t, anyTenant(), testSizes(), oneClass())
	b.greedy("10.0.0.1", "flood", 40, 300*ms)
	b.advance(350 * ms)
	b.refusal = func(_ *benchAsk, after rules.Time, _ Why) {
		if after != 0 {
			t.Error("told to return to a gateway that ends")
		}
	}
	b.tell(Event{Kind: Stopping, By: b.now + rules.Second})
	b.advance(rules.Second)
	if b.d.held != 0 {
		t.Errorf("%d are held at the end", b.d.held)
	}
}

// Whatever comes: each taken request has one end, state stays in bounds, keys stay in order, the module
// is never left without work that is held, and nobody who stays is passed over for ever.
func TestDoorHolds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sizes := Sizes{Conns: 18, Room: 16, Asks: 12, Statements: 1500, Input: 2000, State: 16 << 10}
		classes := append(oneClass(), rules.Class{LatencyObjective: 50 * ms, ClientTimeout: rules.Second, Threads: 2})
		set := anyTenant()
		set.Ahead = rapid.IntRange(1, 4).Draw(rt, "ahead")
		set.Tenants = []Tenant{{Name: "t0", Weight: 3}}
		b := newBench(t, set, sizes, classes)
		b.slots = rapid.IntRange(1, 4).Draw(rt, "slots")
		keys := map[string][]string{} // in the order taken
		ids := 0
		taken := map[string]bool{}
		for range rapid.IntRange(10, 150).Draw(rt, "steps") {
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0, 1:
				b.connect(fmt.Sprintf("10.0.0.%d", rapid.IntRange(1, 4).Draw(rt, "from")))
			case 2, 3, 4, 5:
				if c := idleConn(rt, b); c >= 0 {
					ids++
					id := fmt.Sprint("r", ids)
					taken[id] = true
					key := rapid.SampledFrom([]string{"", "", "k", "l"}).Draw(rt, "key")
					if key != "" {
						keys[key] = append(keys[key], id)
					}
					b.ask(c, id, rapid.SampledFrom([]string{"", "t0", "t1", "t2"}).Draw(rt, "tenant"),
						rules.Time(rapid.IntRange(1, 300).Draw(rt, "took"))*ms, func(q *Ask) {
							q.Key, q.Class = key, rapid.IntRange(0, 1).Draw(rt, "class")
							q.Due = b.now + rules.Time(rapid.IntRange(1, 3000).Draw(rt, "patience"))*ms
							q.Bytes = rapid.IntRange(1, 400).Draw(rt, "bytes")
						})
				}
			case 6:
				if c := rapid.IntRange(0, len(b.conns)-1).Draw(rt, "leaves"); b.conns[c] != nil {
					b.leave(c)
				}
			case 7:
				if c := idleConn(rt, b); c >= 0 {
					b.tell(Event{Kind: Input, Conn: c, Bytes: rapid.IntRange(0, 900).Draw(rt, "input")})
				}
			case 8:
				if rapid.IntRange(0, 3).Draw(rt, "reload") == 0 {
					set.Tenants = []Tenant{{Name: "t0", Weight: float64(rapid.IntRange(1, 4).Draw(rt, "weight"))}}
					b.tell(Event{Kind: Retuned, Settings: &set})
				}
			case 9:
				b.advance(rules.Time(rapid.IntRange(1, 200).Draw(rt, "ms")) * ms)
			}
			b.judge(rt, keys)
		}
		b.advance(20 * rules.Second)
		b.judge(rt, keys)
		for id := range taken {
			if b.finals[id] != 1 {
				rt.Fatalf("%s had %d ends", id, b.finals[id])
			}
		}
		for c := range b.conns {
			b.leave(c)
		}
		d := b.d
		if d.held != 0 || d.taken != 0 || d.bytes != 0 || d.input != 0 || d.open != 0 || len(d.tenants) != 0 || len(d.active) != 0 ||
			len(d.chains) != 0 || len(d.late) != 0 || d.weights != 0 {
			rt.Fatalf("left behind: %+v", d.Stats())
		}
	})
}

// Nobody starves: beside greedy tenants of any weights and runs, whoever asks passes within the time in which
// every tenant gets one run, and the work that it owes for what it had.
func TestNobodyStarves(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		set := Defaults()
		n := rapid.IntRange(1, 6).Draw(rt, "tenants")
		least, longest, weights := 1.0, rules.Time(0), 0.0
		var runs []rules.Time
		for i := range n {
			w := float64(rapid.IntRange(1, 8).Draw(rt, "weight"))
			set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("g", i), Weight: w})
			weights += w
			run := rules.Time(rapid.IntRange(5, 200).Draw(rt, "run")) * ms
			runs, longest = append(runs, run), max(longest, run)
		}
		set.Tenants = append(set.Tenants, Tenant{Name: "small", Weight: least})
		b := newBench(t, set, testSizes(), oneClass())
		b.slots = rapid.IntRange(1, 6).Draw(rt, "slots")
		k := 0
		b.ended = func(a *benchAsk) {
			if a.tenant != "small" {
				k++
				b.ask(a.conn, fmt.Sprint("again", k), a.tenant, a.took, func(q *Ask) { q.Due = b.now + 1000*rules.Second })
			}
		}
		for i := range n {
			for j := range 8 {
				c := b.connect(fmt.Sprintf("10.0.%d.%d", i, j))
				b.ask(c, fmt.Sprint("first", i, j), fmt.Sprint("g", i), runs[i], func(q *Ask) { q.Due = b.now + 1000*rules.Second })
			}
		}
		b.advance(5 * rules.Second)
		c := b.connect("10.0.9.9")
		for i := range 5 {
			run := rules.Time(rapid.IntRange(5, 50).Draw(rt, "small run")) * ms
			b.ask(c, fmt.Sprint("small", i), "small", run, func(q *Ask) { q.Due = b.now + 1000*rules.Second })
			b.advance(longest + run) // it owes no more than this one once it asks again
			for b.finals[fmt.Sprint("small", i)] == 0 && b.now < 60*rules.Second {
				b.advance(longest)
			}
		}
		// The tenants' runs that are on their way, one of each, and for what it owes of its own last run as much
		// work of each as that has weight.
		bound := longest*rules.Time(set.Ahead+b.slots+n) + 2*50*ms*rules.Time(weights)/rules.Time(b.slots)
		for _, w := range b.waits["small"] {
			if w > bound {
				rt.Fatalf("waited %d ms, %d at most", w/ms, bound/ms)
			}
		}
		if len(b.waits["small"]) != 5 {
			rt.Fatalf("only %d of 5 passed", len(b.waits["small"]))
		}
	})
}

func idleConn(rt *rapid.T, b *bench) int {
	var idle []int
	for i, c := range b.conns {
		if c != nil && c.ask < 0 {
			idle = append(idle, i)
		}
	}
	if len(idle) == 0 {
		return -1
	}
	return rapid.SampledFrom(idle).Draw(rt, "conn")
}

func (b *bench) judge(rt *rapid.T, keys map[string][]string) {
	d := b.d
	if d.held > 0 && len(b.waiting) == 0 && len(b.running) < b.slots {
		rt.Fatalf("%d are held while an engine stands idle", d.held)
	}
	if d.taken > d.sizes.Asks || d.bytes > d.sizes.Statements || d.input > d.sizes.Input || d.open >= d.sizes.Conns {
		rt.Fatalf("over the bounds: %d requests, %d bytes, %d unfinished, %d connections", d.taken, d.bytes, d.input, d.open)
	}
	at := map[string]int{}
	for i, id := range b.passed {
		at[id] = i + 1
	}
	for key, ids := range keys {
		last := 0
		for _, id := range ids {
			if n := at[id]; n > 0 {
				if n < last {
					rt.Fatalf("key %s: %s passed ahead of an earlier one", key, id)
				}
				last = n
			}
		}
	}
	held := 0
	for i := range d.asks {
		if a := &d.asks[i]; a.state == askChained || a.state == askQueued {
			held++
			if a.client.tenant == nil {
				rt.Fatal("held by nobody")
			}
		}
	}
	if held != d.held || held != len(d.late) {
		rt.Fatalf("%d held, %d counted, %d with a deadline", held, d.held, len(d.late))
	}
	for k := range d.flows {
		for i, tn := range d.flows[k].heap {
			if tn.flows[k].at != int32(i) || i > 0 && d.flows[k].heap[(i-1)/2].v > tn.v {
				rt.Fatal("a heap is out of order")
			}
		}
	}
}
