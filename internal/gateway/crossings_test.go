package gateway

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/discovery"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// crossing is a gateway with two engines, one client's request open, and whatever comes next in any order. It judges
// by what was written alone.
type crossing struct {
	*bench
	class   string
	asks    int  // times that the request came whole to an engine
	unsure  int  // of these, times that it may have run
	late    bool // it came there after its client had left
	answers int  // final ones
	left    bool // its client has gone, or has killed it
	seen    map[ConnID]int
	down    map[ConnID]bool // links that have come up, or never will
}

const crossingKill = 3 // the connection that kills

func newCrossing(t *testing.T, class string) *crossing {
	b := &bench{t: t, now: 1_700_000_000 * rules.Second, sent: map[ConnID][]byte{}, shut: map[ConnID]bool{}, taken: map[ConnID]int64{}}
	two := []standin.Host{oneHost, oneHost}
	two[1].ID, two[1].Addr = "s-00000002", netip.MustParseAddrPort("127.8.1.2:7001")
	b.g = New(worldConfig(t, two), b.now)
	b.flush()
	x := &crossing{bench: b, class: class, seen: map[ConnID]int{}, down: map[ConnID]bool{}}
	b.client(1)
	b.client(crossingKill)
	b.after(1)
	return x
}

// look reads what was written since the last look.
func (x *crossing) look() {
	x.t.Helper()
	for id, out := range x.sent {
		text := string(out[x.seen[id]:])
		x.seen[id] = len(out)
		switch {
		case id == 1:
			x.answers += strings.Count(text, "the query") + strings.Count(text, "\x011\x01a\x01b")
		case id&dialled != 0:
			if n := strings.Count(text, "ASK "+idA); n > 0 {
				x.asks += n
				x.unsure += n
				x.late = x.late || x.left
			}
		}
	}
}

func (x *crossing) link() ConnID {
	if len(x.dials) == 0 {
		return 0
	}
	return x.dials[len(x.dials)-1]
}

func (x *crossing) list(serial uint32, change func(h []standin.Host)) {
	two := []standin.Host{oneHost, oneHost}
	two[1].ID, two[1].Addr = "s-00000002", netip.MustParseAddrPort("127.8.1.2:7001")
	change(two)
	x.step(DNSResponse, 0, string(standin.Answer(x.g.asked[(x.g.askedNum-1)%len(x.g.asked)], listName, serial, two)))
}

// moments are all that may come, by name.
var moments = []struct {
	name string
	do   func(x *crossing)
}{
	{"request", func(x *crossing) {
		if !x.shut[1] && !x.left && x.g.requests[idA] == nil && x.answers == 0 {
			x.step(DataReceived, 1, ask(x.class, idA))
		}
	}},
	{"first byte", func(x *crossing) {
		if !x.shut[1] && !x.left && x.g.requests[idA] == nil && x.answers == 0 {
			x.step(DataReceived, 1, ask(x.class, idA)[:9])
		}
	}},
	{"last byte", func(x *crossing) {
		if c := x.g.clients[1]; c != nil && c.partial > 0 && !x.left {
			x.step(DataReceived, 1, ask(x.class, idA)[9:])
		}
	}},
	{"close", func(x *crossing) {
		x.left = true
		x.step(ConnectionClosed, 1, "")
	}},
	{"kill", func(x *crossing) {
		if c := x.g.clients[1]; c != nil && c.request != nil {
			x.left = true
			x.step(DataReceived, crossingKill, string(query(fmt.Sprintf("KILL QUERY %d", c.session))))
		}
	}},
	{"session killed", func(x *crossing) {
		if c := x.g.clients[1]; c != nil {
			x.left = true
			x.step(DataReceived, crossingKill, string(query(fmt.Sprintf("KILL %d", c.session))))
		}
	}},
	{"connection up", func(x *crossing) {
		if id := x.link(); id != 0 && !x.down[id] {
			x.down[id] = true
			x.step(DialSucceeded, id, "")
		}
	}},
	{"dial failed", func(x *crossing) {
		if id := x.link(); id != 0 && !x.down[id] {
			x.down[id] = true
			x.g.Step(x.now, Event{Kind: DialFailed, Conn: id, Err: errors.New("refused")})
			x.flush()
		}
	}},
	{"answer", func(x *crossing) { x.step(DataReceived, x.link(), idA+" served total=1 6\r\n1\ta\tb\n\r\n") }},
	{"second answer", func(x *crossing) {
		x.step(DataReceived, x.link(), strings.Repeat(idA+" served total=1 6\r\n1\ta\tb\n\r\n", 2))
	}},
	{"first page", func(x *crossing) { x.step(DataReceived, x.link(), idA+" served total=2 6\r\n1\ta\tb\n\r\n") }},
	{"second page", func(x *crossing) { x.step(DataReceived, x.link(), idA+" rows index=1 6\r\n2\tc\td\n\r\n") }},
	{"half an answer", func(x *crossing) { x.step(DataReceived, x.link(), idA+" served total=1 6\r\n1\ta") }},
	{"overload", func(x *crossing) {
		if x.asks > 0 {
			x.unsure--
		}
		x.step(DataReceived, x.link(), idA+" overload - 0\r\n\r\n")
		if x.asks == 0 {
			return
		}
		if r := x.g.requests[idA]; r != nil && len(r.attempts) > 0 && r.attempts[0].sent && !r.attempts[0].done {
			x.unsure++ // it said so on a connection that carried nothing of it
		}
	}},
	{"reset", func(x *crossing) {
		if id := x.link(); id != 0 && x.g.links[id] != nil {
			x.down[id] = true
			x.step(ConnectionClosed, id, "")
		}
	}},
	{"drain told", func(x *crossing) {
		x.list(7, func(h []standin.Host) { h[0].Draining, h[1].Draining = true, true })
	}},
	{"another address", func(x *crossing) {
		x.list(8, func(h []standin.Host) { h[0].Addr, h[1].Addr = h[1].Addr, h[0].Addr })
	}},
	{"reload", func(x *crossing) {
		cfg := x.g.cfg
		cfg.DNS = netip.MustParseAddrPort("127.0.0.9:5301")
		x.g.Step(x.now, Event{Kind: ConfigReloaded, Config: &cfg})
		x.flush()
	}},
	{"terminate", func(x *crossing) { x.step(ShutdownRequested, 0, "") }},
	{"deadline", func(x *crossing) { x.pass(2 * rules.Second) }},
	{"a while", func(x *crossing) { x.pass(260 * rules.Millisecond) }},
}

// Whatever comes in whatever order, two and three of all that may: one final answer at most, and one unless the
// client has gone; what must not run twice doesn't; nothing goes to an engine once the client has left; nothing is left
// behind, and the process ends.
func TestAllOrders(t *testing.T) {
	cases := 0
	for _, class := range []string{"point", "note", "load"} {
		play := func(order ...int) {
			cases++
			x := newCrossing(t, class)
			names := ""
			if order[0] != 0 && order[0] != 1 { // or the request itself is among what crosses
				moments[0].do(x)
			}
			for _, i := range order {
				names += " | " + moments[i].name
				moments[i].do(x)
				x.look()
			}
			asked := x.g.requests[idA] != nil || x.answers > 0 || x.left
			x.step(ShutdownRequested, 0, "")
			x.pass(5 * rules.Second)
			x.look()
			fault := ""
			switch {
			case x.answers > 1:
				fault = fmt.Sprintf("%d final answers", x.answers)
			case asked && x.answers == 0 && !x.left && !x.shut[1]:
				fault = "no answer"
			case class != "point" && x.unsure > 1:
				fault = fmt.Sprintf("it came to engines %d times", x.asks)
			case x.late:
				fault = "it came to an engine after its client had left"
			case len(x.g.requests) != 0 || x.g.unanswered != 0 || x.g.inputHeld != 0 || x.g.resultHeld != 0 || x.g.partial != 0:
				fault = fmt.Sprintf("left: %d requests, %d unanswered, %d, %d and %d bytes", len(x.g.requests), x.g.unanswered, x.g.inputHeld,
					x.g.resultHeld, x.g.partial)
			case !x.exit:
				fault = "the process has not ended"
			}
			if fault != "" {
				t.Errorf("%s%s: %s", class, names, fault)
			}
		}
		for i := range moments {
			for j := range moments {
				if i == j {
					continue
				}
				play(i, j)
				for k := range moments {
					if k != i && k != j {
						play(i, j, k)
					}
				}
			}
		}
	}
	t.Logf("%d orders", cases)
}

// Hundreds leave in one turn, as the connection comes up for which their requests have waited: nothing of theirs is sent,
// and nothing of them stays.
func TestHundredsLeaveInOneTurn(t *testing.T) {
	const leaving = 200
	for _, upFirst := range []bool{true, false} {
		b := newBench(t)
		for id := ConnID(1); id <= leaving+1; id++ {
			b.client(id)
			b.step(DataReceived, id, ask("point", fmt.Sprintf("%016x", id)))
		}
		links := map[ConnID]bool{}
		for _, id := range b.dials {
			links[id] = true
		}
		up := func() {
			for _, id := range b.dials {
				b.g.Step(b.now, Event{Kind: DialSucceeded, Conn: id})
			}
		}
		if upFirst {
			up()
		}
		for id := ConnID(1); id <= leaving; id++ {
			b.g.Step(b.now, Event{Kind: ConnectionClosed, Conn: id})
		}
		if !upFirst {
			up()
		}
		b.flush()
		for link := range links {
			got := b.after(link)
			for id := 1; id <= leaving; id++ {
				name := fmt.Sprintf("%016x", id)
				if strings.Contains(got, "ASK "+name) && !strings.Contains(got, "QUIT "+name) {
					t.Fatalf("up first %v: client %d has gone, and its request was sent and not given up", upFirst, id)
				}
			}
		}
		if n := len(b.g.requests); n != 1 {
			t.Errorf("up first %v: %d requests are open, one client is left", upFirst, n)
		}
	}
}

// A connection that breaks ahead of what was written to it proves that this never ran: a load is sent again, where
// a load of which every byte was taken may have run and is not.
func TestUntakenNeverRan(t *testing.T) {
	for name, c := range map[string]struct {
		missing int64
		again   bool
	}{"all was taken": {0, false}, "all but a byte": {1, true}, "nothing": {1 << 20, true}} {
		b := newBench(t)
		b.client(1)
		b.step(DataReceived, 1, ask("load", idA))
		link := b.dials[0]
		b.step(DialSucceeded, link, "")
		b.after(1)
		b.taken[link] = max(b.taken[link]-c.missing, 0)
		b.step(ConnectionClosed, link, "")
		if again := b.g.requests[idA] != nil && len(b.dials) == 2; again != c.again {
			t.Errorf("%s: sent again %v, want %v; the client got %q", name, again, c.again, b.after(1))
		}
	}
}

// An engine's connection ends in the same turn in which a load is put on it: the load was never written.
func TestLinkEndsInTheTurnOfASend(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	link := b.dials[0]
	b.step(DialSucceeded, link, "")
	b.step(DataReceived, link, idA+" served total=1 0\r\n\r\n")
	b.pass(10 * rules.Millisecond)
	taken := b.taken[link]
	b.g.Step(b.now, Event{Kind: DataReceived, Conn: 1, Data: []byte(ask("load", idB))})
	b.g.Step(b.now, Event{Kind: ConnectionClosed, Conn: link, AcceptedBytes: taken})
	b.flush()
	if r := b.g.requests[idB]; r == nil || len(b.dials) != 2 {
		t.Errorf("a load that was never written was given up: %q", b.after(1))
	}
}

// An engine gets another address while a dial to the old one is under way: nothing is written there, and the request
// goes on at once.
func TestDialToAnOldAddressIsGivenUp(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("load", idA))
	old := b.dials[0]
	moved := oneHost
	moved.Addr = netip.MustParseAddrPort("127.8.1.9:7001")
	b.step(DNSResponse, 0, string(standin.Answer(b.g.asked[0], listName, 2, []standin.Host{moved})))
	if len(b.dials) != 2 || !b.shut[old] {
		t.Fatalf("%d dials, the old one given up: %v", len(b.dials), b.shut[old])
	}
	b.step(DialSucceeded, old, "") // it crossed
	b.step(DialSucceeded, b.dials[1], "")
	if got := b.after(old); got != "" {
		t.Errorf("the old address got %q", got)
	}
	if got := b.after(b.dials[1]); !strings.HasPrefix(got, "ASK "+idA) {
		t.Errorf("the new address got %q", got)
	}
}

// A connection that comes up later than a dial may take carries nothing that waited for it: the process stood still.
func TestLateConnectionCarriesNothing(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("note", idA))
	b.now += b.g.lim.Connect + rules.Millisecond // frozen: no timer rang
	b.step(DialSucceeded, b.dials[0], "")
	if r := b.g.requests[idA]; r == nil || !r.attempts[0].done || r.attempts[0].sent {
		t.Errorf("sent on %d ms after it was decided: %q", (b.g.lim.Connect+rules.Millisecond)/rules.Millisecond, b.after(b.dials[0]))
	}
}

// No connection is left for an attempt: that tells nothing of its engine.
func TestWantOfConnectionsBlamesNobody(t *testing.T) {
	b := newBench(t)
	b.g.lim.AllLinks = 0
	b.client(1)
	for i := range 12 {
		b.step(DataReceived, 1, string(query(fmt.Sprintf("/* kind=point,req=%016x,timeout=300 */ SELECT 1 FROM sales_1.x", i))))
		b.pass(400 * rules.Millisecond)
	}
	if b.g.module.EngineViews()[0].Ejected {
		t.Error("the engine is left out for our want of connections")
	}
}

// A KILL on a connection that was opened while the session's last query was still open, and comes behind its answer,
// leaves the next one alone. One that was opened later means the next.
func TestKillBehindTheAnswer(t *testing.T) {
	for _, openedLate := range []bool{false, true} {
		b := newBench(t)
		b.client(1)
		session := b.g.clients[1].session
		b.step(DataReceived, 1, ask("point", idA))
		link := b.dials[0]
		b.step(DialSucceeded, link, "")
		if !openedLate {
			b.client(2)
		}
		b.now += rules.Millisecond
		b.step(DataReceived, link, idA+" served total=1 0\r\n\r\n")
		b.now += rules.Millisecond
		b.step(DataReceived, 1, ask("point", idB))
		if openedLate {
			b.client(2)
		}
		b.after(link)
		b.step(DataReceived, 2, string(query(fmt.Sprintf("KILL QUERY %d", session))))
		if hit := b.g.requests[idB] == nil; hit != openedLate {
			t.Errorf("opened behind the answer %v: the next query was killed %v", openedLate, hit)
		}
	}
}

// At the end: who has asked for nothing hears a refusal, newcomers too; who rests is left to the last close; and a
// request that is read while the end is under way is answered ahead of it.
func TestEndAnswersWhatComesMeanwhile(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, string(packet(0, []byte{14}))) // a ping: it rests
	b.step(ShutdownRequested, 0, "")
	b.pass(b.g.lim.StopLinger - 10*rules.Millisecond)
	b.client(2) // asks for nothing
	b.step(ConnectionAccepted, 3, "")
	b.after(2)
	b.after(3)
	b.pass(20 * rules.Millisecond)
	if !b.exit {
		t.Fatal("not ended")
	}
	for _, id := range []ConnID{2, 3} {
		if got := b.after(id); !strings.Contains(got, "this gateway ends") || !b.shut[id] {
			t.Errorf("connection %d got %q, closed %v", id, got, b.shut[id])
		}
	}
	b.step(ConnectionAccepted, 4, "")
	if got := b.after(4); !strings.Contains(got, "Too many") || !b.shut[4] {
		t.Errorf("a newcomer got %q, closed %v", got, b.shut[4])
	}
	if b.shut[1] {
		t.Error("the resting one was closed from the reducer, over what it may be sending")
	}
	b.after(1)
	b.exit = false
	b.step(DataReceived, 1, ask("point", idA))
	if b.exit {
		t.Fatal("ended with a request open")
	}
	b.step(DialSucceeded, b.dials[0], "")
	b.step(DataReceived, b.dials[0], idA+" served total=1 6\r\n1\ta\tb\n\r\n")
	if got := b.after(1); !strings.Contains(got, "\x011\x01a") || !b.exit {
		t.Errorf("the request got %q, ended %v", got, b.exit)
	}
}

// A client that sends commands without end and reads nothing is closed before its answers fill the memory.
func TestAnswersUnread(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, strings.Repeat(string(packet(0, []byte{14})), 200_000))
	if got := len(b.sent[1]); !b.shut[1] || got > b.g.lim.ClientOut {
		t.Errorf("closed %v, %d bytes were written to it", b.shut[1], got)
	}
}

// renamed counts how often the gateway asks from a new socket while time goes by.
func renamed(b *bench, d rules.Time, each func()) (at []rules.Time) {
	from := b.now
	for end := b.now + d; b.now < end; {
		next, _ := b.g.timers.next()
		b.now = max(b.now, next)
		b.g.Step(b.now, Event{Kind: TimerFired})
		for _, f := range b.g.Flush() {
			if f.Kind == SetNameServer {
				at = append(at, (b.now-from)/rules.Millisecond)
			}
		}
		if each != nil {
			each()
		}
	}
	return at
}

// A name service that falls silent is asked from a new socket after a second, and then after twice as long each time;
// one that answers never is, however late it does.
func TestSilentSourceIsAskedFromANewSocket(t *testing.T) {
	b := newBench(t)
	at := renamed(b, 20*rules.Second, nil)
	if len(at) < 3 || at[0] < 900 || at[0] > 1300 || at[1]-at[0] < 1900 || at[2]-at[1] < 3900 || len(at) > 5 {
		t.Errorf("asked from a new socket at %v ms", at)
	}
	b = newBench(t)
	type late struct {
		id uint16
		at rules.Time
	}
	var line []late
	n := 0
	at = renamed(b, 20*rules.Second, func() {
		if b.g.askedNum > n {
			n = b.g.askedNum
			line = append(line, late{b.g.asked[(n-1)%len(b.g.asked)], b.now + 6*rules.Second})
		}
		for len(line) > 0 && line[0].at <= b.now {
			b.g.Step(b.now, Event{Kind: DNSResponse, Data: standin.Answer(line[0].id, listName, 1, nil)})
			line = line[1:]
		}
	})
	for _, ms := range at {
		if ms > 7000 {
			t.Errorf("answers come, 6 s late, and it is asked from a new socket at %d ms", ms)
		}
	}
}

// An answer that is seconds late still counts: what it tells counts as told.
func TestLateList(t *testing.T) {
	b := newBench(t)
	id := b.g.asked[0]
	b.pass(6500 * rules.Millisecond)
	drained := oneHost
	drained.Draining = true
	b.step(DNSResponse, 0, string(standin.Answer(id, listName, 2, []standin.Host{drained})))
	if b.g.order[0].state != rules.EngineDraining {
		t.Error("a drain in an answer that is 6.5 s late was not heard")
	}
}

// Behind many reloads, each of which asks as well, an answer that is seconds late still counts.
func TestLateListBehindManyReloads(t *testing.T) {
	b := newBench(t)
	if polls := int(b.g.lim.ListTold / b.g.lim.PollEvery); askedMost < 2*polls {
		t.Errorf("%d queries are remembered, %d are sent while an answer may come", askedMost, polls)
	}
	id := b.g.asked[0]
	for range 80 {
		cfg := b.g.cfg
		b.g.Step(b.now, Event{Kind: ConfigReloaded, Config: &cfg})
		b.g.Flush()
	}
	b.pass(3 * rules.Second)
	drained := oneHost
	drained.Draining = true
	b.step(DNSResponse, 0, string(standin.Answer(id, listName, 2, []standin.Host{drained})))
	if b.g.order[0].state != rules.EngineDraining {
		t.Error("a drain in an answer that is 3 s late was not heard")
	}
}

// A reload that moves the name service: an older list in the file changes nothing, a newer one counts, and going back
// to the first address asks there again, on a new socket each time.
func TestReloadBackAndForth(t *testing.T) {
	b := newBench(t)
	b.g.list = discovery.New(9, b.g.cfg.Known.Engines)
	first := b.g.cfg.DNS
	second := netip.MustParseAddrPort("127.0.0.9:5301")
	for i, c := range []struct {
		dns     netip.AddrPort
		seq     uint32
		engines int
	}{{second, 4, 1}, {first, 12, 0}, {second, 11, 0}} {
		cfg := b.g.cfg
		cfg.DNS, cfg.Known = c.dns, config.Known{Seq: c.seq}
		b.g.Step(b.now, Event{Kind: ConfigReloaded, Config: &cfg})
		moved := 0
		for _, f := range b.g.Flush() {
			if f.Kind == SetNameServer && f.Addr == c.dns {
				moved++
			}
		}
		if serving := len(b.g.order); moved != 1 || serving != c.engines {
			t.Errorf("step %d: moved %d times, %d engines, want %d", i, moved, serving, c.engines)
		}
	}
}

// The key by which engines drop repeats, and notes of progress: deployments have both that the first one had not. The
// key goes on as it came, with every attempt; one that would break the list of fields is refused; a note ends nothing.
func TestRepeatKeyAndNotes(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, string(query("/* kind=note,req="+idA+",timeout=1900,opkey=d3523c54572be3e1 */ SELECT 1 FROM sales_1.x")))
	link := b.dials[0]
	b.step(DialSucceeded, link, "")
	if got := b.after(link); !strings.Contains(got, ",dedupe=d3523c54572be3e1 ") {
		t.Errorf("the engine got %q", got)
	}
	b.step(DataReceived, link, idA+" update why=share,datum=0.25 0\r\n\r\n"+idA+" update - 3\r\nabc\r\n"+idB+" update - 0\r\n\r\n")
	if b.shut[link] || b.g.requests[idA] == nil || b.g.requests[idA].out != 1 {
		t.Fatal("a note of progress ended the attempt, or its connection")
	}
	b.pass(20 * rules.Millisecond)
	b.step(ConnectionClosed, link, "")
	b.pass(rules.Millisecond)
	b.step(DialSucceeded, b.dials[len(b.dials)-1], "")
	if got := b.after(b.dials[len(b.dials)-1]); len(b.dials) < 2 || !strings.Contains(got, ",dedupe=d3523c54572be3e1 ") {
		t.Errorf("the further attempt: %d dials, the engine got %q", len(b.dials), got)
	}
	b.client(2)
	for _, key := range []string{"", "a b", "a=b", strings.Repeat("k", 200), "k\x01"} {
		b.after(2)
		b.step(DataReceived, 2, string(query("/* kind=note,req="+idB+",timeout=1900,opkey="+key+" */ SELECT 1 FROM sales_1.x")))
		if got := b.after(2); !strings.Contains(got, "opkey") {
			t.Errorf("key %.20q: answered %q", key, got)
		}
	}
}

// Where a request may have no two attempts out at once, an engine that may run one has heard of its end before another is
// asked, however the attempt ended: on a way of up to 40 ms, as its connection took to come up. A proof that nothing ran
// needs no wait, and neither does a site that allows second copies.
func TestNoAttemptOvertakesAnEnd(t *testing.T) {
	const way = 40 * rules.Millisecond
	for name, c := range map[string]struct {
		end  func(x *crossing)
		wait bool
	}{
		"cancelled": {func(x *crossing) {
			x.g.act(rules.Cancel{ID: idA, Attempt: 0})
			x.flush()
		}, true},
		"an answer that makes no sense":   {func(x *crossing) { x.step(DataReceived, x.link(), idA+" green - 0\r\n\r\n") }, true},
		"a connection that can't be read": {func(x *crossing) { x.step(DataReceived, x.link(), "\x00\x01\x02") }, true},
		"reset":                           {func(x *crossing) { x.step(ConnectionClosed, x.link(), "") }, true},
		"full":                            {func(x *crossing) { x.step(DataReceived, x.link(), idA+" overload - 0\r\n\r\n") }, false},
		"never taken": {func(x *crossing) {
			x.taken[x.link()] = 0
			x.step(ConnectionClosed, x.link(), "")
		}, false},
	} {
		for _, copies := range []bool{false, true} {
			x := newCrossing(t, "point")
			x.g.cfg.Settings.Rules.Limits.HedgedRequests = copies
			x.step(DataReceived, 1, ask("point", idA))
			first := x.link()
			x.now += way
			x.step(DialSucceeded, first, "")
			x.look()
			if x.asks != 1 {
				t.Fatalf("%s: asked %d times at first", name, x.asks)
			}
			x.now += 5 * rules.Millisecond
			x.step(TimerFired, 0, "")
			c.end(x)
			again := func() bool { // another attempt has begun, whether its connection is up or not
				x.look()
				return x.asks > 1 || len(x.dials) > 1
			}
			if waits := c.wait && !copies; waits {
				x.pass(way - rules.Millisecond)
				if again() {
					t.Errorf("%s: another attempt began while the end of the first was on its way", name)
				}
			}
			x.pass(2 * rules.Millisecond)
			if !again() {
				t.Errorf("%s, copies %v: no further attempt began", name, copies)
			}
		}
	}
}

// While the end of an attempt is on its way its client goes or kills the query, its deadline comes, or the process ends: the
// request ends as ever, its engine hears once, and nothing stays. A connection that came up late makes nobody wait for long.
func TestPartingEndsWithItsRequest(t *testing.T) {
	const way = 40 * rules.Millisecond
	start := func(timeout int, took rules.Time) *crossing {
		x := newCrossing(t, "point")
		x.step(DataReceived, 1, string(query(fmt.Sprintf("/* kind=point,req=%s,timeout=%d,ms=5 */ SELECT 1 FROM sales_1.x", idA, timeout))))
		x.g.armed = x.now + took // the process does not stand still: no timer is late
		x.now += took
		x.step(DialSucceeded, x.link(), "")
		x.g.act(rules.Cancel{ID: idA, Attempt: 0})
		x.flush()
		return x
	}
	for name, c := range map[string]struct {
		timeout, answers int
		end              func(x *crossing)
	}{
		"client goes": {2000, 0, func(x *crossing) { x.step(ConnectionClosed, 1, "") }},
		"killed": {2000, 0, func(x *crossing) {
			x.step(DataReceived, crossingKill, string(query(fmt.Sprintf("KILL QUERY %d", x.g.clients[1].session))))
		}},
		"deadline": {80, 1, func(x *crossing) { x.pass(30 * rules.Millisecond) }},
		"terminate": {80, 1, func(x *crossing) {
			x.step(ShutdownRequested, 0, "")
			x.pass(30 * rules.Millisecond)
		}},
	} {
		x := start(c.timeout, way)
		first := x.link()
		c.end(x)
		x.look()
		if len(x.g.requests) != 0 || x.answers != c.answers {
			t.Errorf("%s: %d requests stay, %d answers, want %d", name, len(x.g.requests), x.answers, c.answers)
		}
		x.pass(2 * way)
		x.look()
		if got := string(x.sent[first]); strings.Count(got, "QUIT") != 1 || len(x.dials) > 1 || x.answers != c.answers {
			t.Errorf("%s: the engine got %q, %d dials, %d answers", name, got, len(x.dials), x.answers)
		}
		if n := x.g.stats.classes[0].running; n != 0 {
			t.Errorf("%s: %d attempts still count as running", name, n)
		}
	}
	x := start(2000, 240*rules.Millisecond)
	if x.pass(x.g.lim.WayMost - rules.Millisecond); len(x.dials) > 1 {
		t.Error("another attempt began while the end of the first was on its way")
	}
	if x.pass(2 * rules.Millisecond); len(x.dials) < 2 {
		t.Error("an attempt on a connection that came up late keeps its request waiting")
	}
}

// Answers that can't be read end their connection; what was asked on it is given up there first, by name.
func TestSpoiltConnectionGivesUpByName(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	link := b.dials[0]
	b.step(DialSucceeded, link, "")
	b.after(link)
	b.step(DataReceived, link, "\x00\x01\x02")
	if got := b.after(link); got != "QUIT "+idA+"\r\n" || !b.shut[link] {
		t.Errorf("the engine got %q, closed %v", got, b.shut[link])
	}
}
