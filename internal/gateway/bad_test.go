package gateway

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// bench is a gateway with one engine and what it asks for, step by step.
type bench struct {
	t     *testing.T
	g     *Gateway
	now   rules.Time
	sent  map[ConnID][]byte
	shut  map[ConnID]bool
	taken map[ConnID]int64 // bytes that were written
	dials []ConnID
	exit  bool
}

var oneHost = standin.Host{ID: "s-00000001", Zone: "hall-b", Kind: "std-16", Weight: 4,
	Addr: netip.MustParseAddrPort("127.8.1.1:7001")}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: 1_700_000_000 * rules.Second, sent: map[ConnID][]byte{}, shut: map[ConnID]bool{}, taken: map[ConnID]int64{}}
	b.g = New(worldConfig(t, []standin.Host{oneHost}), b.now)
	b.flush()
	return b
}

func (b *bench) flush() {
	for _, f := range b.g.Flush() {
		switch f.Kind {
		case Write:
			b.sent[f.Conn] = append(b.sent[f.Conn], f.Data...)
			b.taken[f.Conn] += int64(len(f.Data))
		case CloseConnection:
			b.shut[f.Conn] = true
		case Dial:
			b.dials = append(b.dials, f.Conn)
		case Exit:
			b.exit = true
		}
	}
}

func (b *bench) step(kind EventKind, conn ConnID, data string) {
	b.g.Step(b.now, Event{Kind: kind, Conn: conn, Data: []byte(data), AcceptedBytes: b.taken[conn]})
	b.flush()
}

// pass lets time go by, with all timers.
func (b *bench) pass(d rules.Time) {
	for end := b.now + d; ; {
		at, ok := b.g.timers.next()
		if !ok || at > end {
			b.now = end
			return
		}
		b.now = max(b.now, at)
		b.step(TimerFired, 0, "")
	}
}

func (b *bench) client(id ConnID) {
	b.step(ConnectionAccepted, id, "")
	b.step(DataReceived, id, string(login()))
}

func ask(class, id string) string {
	return string(query(fmt.Sprintf("/* kind=%s,req=%s,timeout=2000 */ SELECT 1 FROM sales_1.x", class, id)))
}

const (
	idA = "00000000000000aa"
	idB = "00000000000000bb"
)

// after is what was sent on a connection since the last call.
func (b *bench) after(id ConnID) string {
	out := string(b.sent[id])
	delete(b.sent, id)
	return out
}

// Whatever a client sends, it alone is concerned.
func TestBadClients(t *testing.T) {
	long := strings.Repeat("x", 1<<20)
	for name, c := range map[string]struct {
		data   string
		shut   bool
		answer string
	}{
		"a packet too large":        {"\xff\xff\xff\x00", true, "packet of"},
		"a packet just too large":   {"\x01\x00\x10\x00" + long, true, "packet of"},
		"wrong sequence number":     {string(packet(3, []byte{14})), true, "wrong sequence"},
		"an empty command":          {string(packet(0, nil)), true, "empty command"},
		"an unknown command":        {string(packet(0, []byte{0x16})), false, "unknown command"},
		"an unknown class":          {ask("other", idB), false, "unknown class"},
		"an id that is open":        {ask("point", idA), false, "id is open"},
		"no fields":                 {string(query("SELECT 1")), false, "no comment"},
		"a comment that never ends": {string(query("/* kind=point,req=" + idB)), false, "never ends"},
		"a field twice":             {string(query("/* kind=point,kind=point,req=" + idB + ",timeout=5 */ SELECT 1")), false, "twice"},
		"KILL of nobody":            {string(query("KILL QUERY 1")), false, "unknown session"},
		"another database":          {string(packet(0, []byte("\x02other"))), false, "unknown database"},
		"a query while one is open": {ask("point", idB) + ask("point", "00000000000000cc"), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.client(1)
			b.step(DataReceived, 1, ask("point", idA))
			b.client(2)
			b.after(1)
			b.after(2)
			b.step(DataReceived, 2, c.data)
			if got := b.after(2); !strings.Contains(got, c.answer) || b.shut[2] != c.shut {
				t.Errorf("answered %q, closed %v", got, b.shut[2])
			}
			if b.shut[1] || b.after(1) != "" || b.g.requests[idA] == nil {
				t.Error("another client was concerned")
			}
		})
	}
}

func TestBadLogins(t *testing.T) {
	for name, data := range map[string]string{
		"half":              string(login()[:20]),
		"another user":      strings.Replace(string(login()), "app\x00", "apa\x00", 1),
		"another base":      strings.Replace(string(login()), "main\x00", "mane\x00", 1),
		"wrong number":      "\x05" + string(login()[1:3]) + "\x02" + string(login()[4:]),
		"a password":        string(packet(1, append(login()[4:36], "app\x00\x02xymain\x00"...))),
		"nothing":           "",
		"a packet too long": "\x00\x20\x00\x01",
		"random bytes":      "\x20\x00\x00\x01" + strings.Repeat("\xff", 32),
		"a query at once":   string(query("SELECT 1")),
	} {
		b := newBench(t)
		b.step(ConnectionAccepted, 1, "")
		b.step(DataReceived, 1, data)
		b.pass(2900 * rules.Millisecond)
		if !b.shut[1] || len(b.g.clients) != 0 || len(b.g.sessions) != 0 {
			t.Errorf("%s: the session goes on", name)
		}
	}
}

// Random bytes from all sides never break the reducer.
func TestNoise(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		b := newBench(t)
		b.client(1)
		b.step(DataReceived, 1, ask("point", idA))
		b.step(DialSucceeded, b.dials[0], "")
		pieces := []string{ask("load", idB), string(login()), idA + " served total=3 2\r\n\r\n\r\n", idA + " rows index=1 0\r\n\r\n",
			"\x00\x01\x02", "p1 green - 0\r\n\r\n", string(standin.Answer(uint16(b.g.asked[0]), listName, 2, []standin.Host{oneHost}))}
		for range 10 {
			p := []byte(pieces[rng.IntN(len(pieces))])
			if rng.IntN(2) == 0 {
				p[rng.IntN(len(p))] ^= byte(1 << rng.IntN(8))
			}
			b.step([]EventKind{DataReceived, DataReceived, DNSResponse}[rng.IntN(3)], []ConnID{1, b.dials[0]}[rng.IntN(2)], string(p))
			b.pass(rules.Time(rng.IntN(100)) * rules.Millisecond)
		}
		b.step(ConnectionClosed, 1, "")
		b.pass(5 * rules.Second)
		if len(b.g.requests) != 0 || b.g.unanswered != 0 || b.g.partial != 0 {
			t.Fatalf("%d requests and %d bytes are left", len(b.g.requests), b.g.partial)
		}
	}
}

// What an engine says wrong ends that attempt, or the connection, and claims no more than is known:
// a load that may have run is never refused and never sent again.
func TestBadEngines(t *testing.T) {
	for name, c := range map[string]struct {
		data  string
		shut  bool // the connection
		again bool // a safe query is tried again
	}{
		"a line too long":     {strings.Repeat("x", 5000), true, true},
		"an unknown word":     {idA + " dance - 0\r\n\r\n", true, true},
		"a bad length":        {idA + " served - x\r\n", true, true},
		"too many pages":      {idA + " served total=999 0\r\n\r\n", false, true},
		"a page not asked":    {idA + " rows index=1 0\r\n\r\n", false, true},
		"served with others":  {idA + " served total=2 0\r\n\r\n" + idA + " served total=3 0\r\n\r\n", false, true},
		"another first page":  {idA + " served total=2 0\r\n\r\n" + idA + " served total=2 6\r\n1\ta\tb\n\r\n", false, true},
		"another page":        {idA + " served total=3 0\r\n\r\n" + idA + " rows index=1 0\r\n\r\n" + idA + " rows index=1 6\r\n1\ta\tb\n\r\n", false, true},
		"noise with no end":   {idA + " serv\x00\x9f\x13", true, true},
		"a body of 3 GB":      {idA + " served total=1 3221225472\r\n1\ta\tb\n", true, true},
		"figures beyond all":  {idA + " served total=1,elapsed=1e12 0\r\n\r\n", true, true},
		"a page half a row":   {idA + " served total=1 3\r\na\tb\r\n", false, true},
		"a row of two":        {idA + " served total=1 4\r\na\tb\n\r\n", false, true},
		"health":              {idA + " green - 0\r\n\r\n", false, true},
		"a page lost":         {idA + " served total=2 0\r\n\r\n" + idA + " crashed - 0\r\n\r\n", false, true},
		"an unknown id":       {idB + " served total=1 0\r\n\r\n", false, false},
		"an id without words": {idA + "\r\n", true, true},
	} {
		for _, class := range []string{"point", "load"} {
			b := newBench(t)
			b.client(1)
			b.step(DataReceived, 1, ask(class, idA))
			link := b.dials[0]
			b.step(DialSucceeded, link, "")
			if got := b.after(link); !strings.HasPrefix(got, "ASK "+idA+" lane="+class) {
				t.Fatalf("the engine got %q", got)
			}
			b.after(1)
			b.step(DataReceived, link, c.data)
			if b.shut[link] != c.shut {
				t.Errorf("%s: connection closed: %v", name, b.shut[link])
			}
			if b.shut[1] {
				t.Errorf("%s: the client was concerned", name)
			}
			r := b.g.requests[idA]
			switch {
			case !c.again:
				if r == nil || r.out != 1 {
					t.Errorf("%s, %s: the attempt is over", name, class)
				}
			case class == "load":
				if got := b.after(1); r != nil || !strings.Contains(got, "the query failed") {
					t.Errorf("%s: a load that may have run: %q", name, got)
				}
			case r == nil || r.answered:
				t.Errorf("%s: a safe query was given up", name)
			}
		}
	}
}

// Pages may come in any order, and reach the client in theirs.
func TestPagesInAnyOrder(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	link := b.dials[0]
	b.step(DialSucceeded, link, "")
	b.after(link)
	b.step(DataReceived, link, idA+" served total=3 6\r\n1\ta\tb\n\r\n")
	if got := b.after(link); got != "NEXT "+idA+" 1\r\nNEXT "+idA+" 2\r\n" {
		t.Fatalf("asked for %q", got)
	}
	b.after(1)
	b.step(DataReceived, link, idA+" rows index=2 6\r\n3\ta\tb\n\r\n")
	if b.after(1) != "" {
		t.Fatal("the client has rows of a result that is not whole")
	}
	b.step(DataReceived, link, idA+" rows index=1 6\r\n2\ta\tb\n\r\n")
	got := b.after(1)
	at := []int{strings.Index(got, "\x011\x01a"), strings.Index(got, "\x012\x01a"), strings.Index(got, "\x013\x01a")}
	if at[0] < 0 || at[1] < at[0] || at[2] < at[1] {
		t.Errorf("rows at %v of %q", at, got)
	}
	if got := b.after(link); got != "FREE "+idA+"\r\n" {
		t.Errorf("the engine got %q", got)
	}
}

// A queued request meets the list anew when its connection comes up: an engine that drains meanwhile gets nothing.
func TestListIsCheckedWhenWritten(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("load", idA))
	h := oneHost
	h.Draining = true
	b.step(DNSResponse, 0, string(standin.Answer(b.g.asked[0], listName, 2, []standin.Host{h})))
	b.step(DialSucceeded, b.dials[0], "")
	if got := b.after(b.dials[0]); got != "" {
		t.Errorf("a draining engine got %q", got)
	}
	if r := b.g.requests[idA]; r == nil || r.answered {
		t.Error("a load that never ran was given up")
	}
}

// A lost, late, forged or broken answer of the name service keeps the last list.
func TestListStays(t *testing.T) {
	b := newBench(t)
	other := oneHost
	other.ID = "s-00000002"
	good := standin.Answer(b.g.asked[0], listName, 2, []standin.Host{other})
	for name, msg := range map[string][]byte{
		"forged":       standin.Answer(b.g.asked[0]+1, listName, 9, nil),
		"older":        standin.Answer(b.g.asked[0], listName, 1, nil),
		"cut":          good[:len(good)-1],
		"another name": standin.Answer(b.g.asked[0], "_data._tcp.other.lan", 9, nil),
		"empty":        {},
	} {
		b.step(DNSResponse, 0, string(msg))
		if len(b.g.order) != 1 || b.g.order[0].entry.ID != oneHost.ID || b.g.order[0].state != rules.EngineServing {
			t.Errorf("%s: the list has changed", name)
		}
	}
	b.step(DNSResponse, 0, string(good))
	if len(b.g.order) != 1 || b.g.order[0].entry.ID != other.ID {
		t.Error("a good answer has not changed the list")
	}
}

// A machine that vanishes says nothing. Once an attempt was given up on a silent connection, the next
// one dials anew: that fails soon where the machine is gone, and proves that nothing ran.
func TestSilentConnectionIsLeft(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, string(query("/* kind=load,req="+idA+",timeout=900 */ SELECT 1 FROM sales_1.x")))
	b.step(DialSucceeded, b.dials[0], "")
	b.pass(900 * rules.Millisecond) // less than what makes a connection idle
	if b.g.requests[idA] != nil || len(b.dials) != 1 {
		t.Fatal("the load should have failed, with no further attempt")
	}
	b.after(b.dials[0])
	b.step(DataReceived, 1, ask("load", idB))
	if got := b.after(b.dials[0]); got != "" || len(b.dials) != 2 {
		t.Errorf("the silent connection got %q; %d dials, want 2", got, len(b.dials))
	}
}

// SIGTERM brings the answers of patient clients forward, and the process ends behind them.
func TestTerminateAnswersAll(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, string(query("/* kind=load,req="+idA+",timeout=30000 */ SELECT 1 FROM sales_1.x")))
	b.step(DialSucceeded, b.dials[0], "")
	b.after(1)
	b.step(ShutdownRequested, 0, "")
	b.pass(b.g.lim.StopWithin - rules.Millisecond)
	if b.exit || b.after(1) != "" {
		t.Fatal("ended before its time")
	}
	b.pass(2 * rules.Millisecond)
	if got := b.after(1); !strings.Contains(got, "the query failed") || !b.exit {
		t.Errorf("answered %q, ended %v", got, b.exit)
	}
}

// A request does not go to a connection that its engine may be about to close as idle.
func TestIdleConnectionIsLeft(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	b.step(DialSucceeded, b.dials[0], "")
	b.step(DataReceived, b.dials[0], idA+" served total=1 0\r\n\r\n")
	b.now += b.g.lim.LinkIdle // before the sweep has seen it
	b.g.armed = b.now         // and no timer is late: the process did not stand still
	b.step(DataReceived, 1, ask("load", idB))
	if len(b.dials) != 2 {
		t.Errorf("%d dials, want 2", len(b.dials))
	}
}

// The session id of KILL concerns the query of that session only, and the killed one hears nothing.
func TestKill(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	b.client(2)
	b.step(DataReceived, 2, ask("point", idB))
	link := b.dials[0]
	b.step(DialSucceeded, link, "")
	b.after(link)
	b.after(1)
	b.client(3)
	b.step(DataReceived, 3, string(query(fmt.Sprintf("KILL QUERY %d", b.g.clients[1].session))))
	if got := b.after(link); got != "QUIT "+idA+"\r\n" {
		t.Errorf("the engine got %q", got)
	}
	b.step(DataReceived, link, idA+" served total=1 0\r\n\r\n") // crosses the QUIT
	if got := b.after(1); got != "" {
		t.Errorf("the killed session got %q", got)
	}
	if b.g.requests[idB] == nil || b.g.requests[idA] != nil {
		t.Error("the wrong request is gone")
	}
}

// Unfinished packets of all clients together stay within bounds.
func TestUnfinishedInputIsBounded(t *testing.T) {
	b := newBench(t)
	b.g.lim.InputBytes = 20 * b.g.lim.Statement
	b.client(99)
	b.step(DataReceived, 99, string(query(ask("point", idA)))[:40])
	piece := "\xff\xff\x00\x00" + strings.Repeat("x", 0xff00)
	for id := ConnID(1); id <= 40; id++ {
		b.client(id)
		b.step(DataReceived, id, piece)
		if b.g.partial > b.g.lim.InputBytes {
			t.Fatalf("%d bytes are held, %d at most", b.g.partial, b.g.lim.InputBytes)
		}
	}
	out := 0
	for id := ConnID(1); id <= 40; id++ {
		if b.shut[id] {
			out++
			if got := b.after(id); !strings.Contains(got, "unfinished") {
				t.Errorf("got %.100q", got)
			}
		}
	}
	if out < 20 || out > 21 || b.shut[99] {
		t.Errorf("%d of those that hold most were turned out, and one with half a query: %v", out, b.shut[99])
	}
}

// An answer given at the client's deadline by our clock was too late by both ways: it leaves ahead.
func TestAnswerLeavesAhead(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("load", idA)) // waits 2 s
	b.step(DialSucceeded, b.dials[0], "")
	b.after(1)
	b.pass(1799 * rules.Millisecond)
	if got := b.after(1); got != "" {
		t.Fatalf("answered too early: %q", got)
	}
	b.pass(2 * rules.Millisecond)
	if got := b.after(1); !strings.Contains(got, "the query failed") {
		t.Errorf("got %q, want the failure 200 ms before the client's time-out", got)
	}
}

// What client libraries ask of their own accord is answered, and nothing of it reaches an engine.
func TestSmallTalk(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.after(1)
	for text, want := range map[string]string{
		"SELECT @@max_allowed_packet": "65536", "select @@version_comment limit 1": "foxlane", "SET NAMES utf8mb4": "\x00\x00\x00",
	} {
		b.step(DataReceived, 1, string(query(text)))
		if got := b.after(1); !strings.Contains(got, want) || strings.Contains(got, "\xff") {
			t.Errorf("%s: got %q", text, got)
		}
	}
	if len(b.dials) != 0 || len(b.g.requests) != 0 {
		t.Error("an engine was asked")
	}
}

// A probe reaches its engine as INFO, and its answer, a silence or a lost connection the module.
func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(b *bench, link ConnID)
		left int
	}{
		"green":   {func(b *bench, link ConnID) { b.step(DataReceived, link, "p1 green rep=queue:1 0\r\n\r\n") }, 0},
		"silence": {func(b *bench, link ConnID) { b.pass(300 * rules.Millisecond) }, 0},
		"lost":    {func(b *bench, link ConnID) { b.step(ConnectionClosed, link, "") }, 0},
		"waiting": {func(b *bench, link ConnID) {}, 1},
	} {
		b := newBench(t)
		b.g.act(rules.Probe{Engine: b.g.order[0].id})
		b.flush()
		link := b.dials[0]
		b.step(DialSucceeded, link, "")
		if got := b.after(link); got != "INFO p1\r\n" {
			t.Fatalf("the engine got %q", got)
		}
		l := b.g.links[link]
		c.do(b, link)
		if n := len(l.probes); n != c.left {
			t.Errorf("%s: %d probes are open, want %d", name, n, c.left)
		}
	}
}

// A configuration that was read again moves the gateway to another name service and asks there at
// once. Its numbers continue: a list in the file counts only if it is newer than the one held.
func TestReload(t *testing.T) {
	b := newBench(t)
	two := []standin.Host{oneHost, oneHost}
	two[1].ID, two[1].Addr = "s-00000002", netip.MustParseAddrPort("127.8.1.2:7001")
	cfg := worldConfig(t, two)
	cfg.DNS = netip.MustParseAddrPort("127.0.0.9:5301")
	reload := func() (moved, asked bool) {
		b.g.Step(b.now, Event{Kind: ConfigReloaded, Config: &cfg})
		for _, f := range b.g.Flush() {
			moved = moved || f.Kind == SetNameServer && f.Addr == cfg.DNS
			asked = asked || f.Kind == QueryDNS && moved
		}
		return moved, asked
	}
	cfg.Known.Seq = b.g.list.Serial()
	if moved, asked := reload(); !moved || !asked || len(b.g.engines) != 1 {
		t.Errorf("moved %v, asked there %v, %d engines", moved, asked, len(b.g.engines))
	}
	cfg.Known.Seq++
	if reload(); len(b.g.engines) != 2 || b.g.list.Serial() != cfg.Known.Seq {
		t.Errorf("a newer list in the file: %d engines, at event %d", len(b.g.engines), b.g.list.Serial())
	}
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	if reload(); b.shut[1] || b.g.requests[idA] == nil {
		t.Error("a client was concerned")
	}
}

// Hundreds of connections that say nothing took all places for 10 s, and everybody else was turned
// away. A silent one gives way now, the longest silent first, and is told so.
func TestSilentConnectionsGiveWay(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	b.client(2)
	b.step(DataReceived, 2, string(packet(0, []byte{14}))) // idle after a ping
	most := ConnID(b.g.lim.Clients)
	for id := ConnID(100); id < 100+2*most; id++ {
		b.step(ConnectionAccepted, id, "")
	}
	if len(b.g.clients) > b.g.lim.Clients {
		t.Fatalf("%d connections are held, %d at most", len(b.g.clients), b.g.lim.Clients)
	}
	b.after(3)
	b.client(3)
	b.step(DataReceived, 3, ask("point", idB))
	if b.shut[3] || b.g.requests[idB] == nil {
		t.Fatal("a client that asks at once was turned away for silent ones")
	}
	if got := b.after(100); !b.shut[100] || !strings.Contains(got, "no room") {
		t.Errorf("the longest silent one: closed %v, got %q", b.shut[100], got)
	}
	if b.shut[1] || b.shut[2] || b.g.requests[idA] == nil {
		t.Error("others were closed while there were silent ones")
	}
	b.pass(2900 * rules.Millisecond)
	if n := len(b.g.clients); n != 3 {
		t.Errorf("%d connections are left after 2.9 s, 3 of them in use", n)
	}
}

// Who stops within a packet, or asks once and never again, is closed in time; a client that comes back
// after 4 s is not.
func TestSessionsThatOutstay(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, string(packet(0, []byte{14})))
	b.client(2)
	b.step(DataReceived, 2, ask("point", idA)[:30])
	b.client(3) // logs in and asks for nothing
	b.pass(2900 * rules.Millisecond)
	if b.shut[1] || !b.shut[2] || !b.shut[3] {
		t.Errorf("after 2.9 s: idle closed %v, half a query %v, login alone %v", b.shut[1], b.shut[2], b.shut[3])
	}
	b.pass(1200 * rules.Millisecond)
	b.step(DataReceived, 1, ask("point", idB))
	if b.shut[1] || b.g.requests[idB] == nil {
		t.Fatal("a client that was idle for 4 s was closed")
	}
	b.step(DialSucceeded, b.dials[0], "")
	b.step(DataReceived, b.dials[0], idB+" served total=1 0\r\n\r\n")
	b.pass(5 * rules.Second)
	if !b.shut[1] || len(b.g.clients) != 0 || b.g.idle.Len()+b.g.fresh.Len() != 0 {
		t.Error("a connection held for good is kept")
	}
}

// What no client would say of itself never reaches an engine, and who goes on saying it is closed.
func TestFiguresOutOfRange(t *testing.T) {
	for _, fields := range []string{"timeout=0", "timeout=-5", "timeout=99999999", "timeout=1e3", "timeout=2000,ms=-1", "timeout=2000,ms=NaN",
		"timeout=2000,ms=1e12", "timeout=2000,need_mb=Inf", "timeout=2000,need_mb=1e300", "timeout=2000,need_mb=x"} {
		b := newBench(t)
		b.client(1)
		for i := range b.g.lim.Faults + 1 {
			b.after(1)
			b.step(DataReceived, 1, string(query("/* kind=point,req="+idA+","+fields+" */ SELECT 1 FROM sales_1.x")))
			if got := b.after(1); !strings.Contains(got, "unusable") && !strings.Contains(got, "out of range") {
				t.Fatalf("%s: got %q", fields, got)
			}
			if b.shut[1] != (i == b.g.lim.Faults) {
				t.Fatalf("%s: closed %v after %d times", fields, b.shut[1], i+1)
			}
		}
		if len(b.dials) > 0 || len(b.g.requests) > 0 {
			t.Errorf("%s: it was taken", fields)
		}
	}
}

// An answer that stops short left its connection waiting, and all requests on it until their time-out.
// The connection is ended soon, and none of them counts against the engine.
func TestAnswerThatStopsShort(t *testing.T) {
	for name, piece := range map[string]string{
		"in its line": idA + " served tot", "in its body": idA + " served total=1 600\r\n1\ta", "behind it": idA + " served total=1 0\r\n",
	} {
		b := newBench(t)
		for id, req := range map[ConnID]string{1: idA, 2: idB} {
			b.client(id)
			b.step(DataReceived, id, ask("point", req))
		}
		link := b.dials[0]
		b.step(DialSucceeded, link, "")
		b.step(DataReceived, link, piece)
		b.pass(b.g.lim.AnswerWhole - rules.Millisecond)
		if b.shut[link] {
			t.Errorf("%s: ended too early", name)
		}
		b.pass(2 * rules.Millisecond)
		if !b.shut[link] || len(b.dials) != 2 {
			t.Fatalf("%s: closed %v, %d dials: both queries should be under way again", name, b.shut[link], len(b.dials))
		}
		b.step(DialSucceeded, b.dials[1], "")
		if got := b.after(b.dials[1]); strings.Count(got, "ASK ") != 2 {
			t.Errorf("%s: the engine got %q", name, got)
		}
	}
}

// Good answers that bring more than belongs to them are let pass: a second copy of an answer or a
// page, or an answer to nothing ahead of it.
func TestAnswersThatComeTwice(t *testing.T) {
	b := newBench(t)
	b.client(1)
	b.step(DataReceived, 1, ask("point", idA))
	link := b.dials[0]
	b.step(DialSucceeded, link, "")
	b.after(1)
	first := idA + " served total=3 6\r\n1\ta\tb\n\r\n"
	page := idA + " rows index=1 6\r\n2\ta\tb\n\r\n"
	b.step(DataReceived, link, idB+" served total=1 0\r\n\r\n"+first+first+page+page+first+idA+" rows index=2 6\r\n3\ta\tb\n\r\n"+page)
	if got := b.after(1); strings.Count(got, "\x01a") != 3 || b.shut[link] {
		t.Errorf("got %q", got)
	}
	if len(b.g.requests) != 0 {
		t.Error("the request is still open")
	}
}

// A load rode on a connection with queries, and an answer to one of these that could not be read made
// it fail, though it ran on and must not be sent again. Each class has connections of its own.
func TestClassesRideApart(t *testing.T) {
	b := newBench(t)
	for i, class := range []string{"load", "load", "point", "point", "report"} {
		b.client(ConnID(i + 1))
		b.step(DataReceived, ConnID(i+1), string(query(fmt.Sprintf("/* kind=%s,req=%016x,timeout=2000 */ SELECT 1 FROM sales_%d.x", class, i, i))))
	}
	got := map[string]int{}
	for _, d := range b.dials {
		b.step(DialSucceeded, d, "")
		sent := b.after(d)
		for _, class := range []string{"load", "point", "report"} {
			if n := strings.Count(sent, "lane="+class); n > 0 {
				got[class] += n
				if n != strings.Count(sent, "ASK ") {
					t.Errorf("a connection carries %q", sent)
				}
			}
		}
	}
	if len(b.dials) != 3 || got["load"] != 2 || got["point"] != 2 || got["report"] != 1 {
		t.Fatalf("%d connections carry %v", len(b.dials), got)
	}
	b.step(DataReceived, b.dials[1], "\x00\r\n")
	if !b.shut[b.dials[1]] || b.shut[b.dials[0]] || b.shut[b.dials[2]] || b.g.requests["0000000000000000"].out != 1 {
		t.Error("more than the queries of one class were concerned")
	}
}

// Three classes made three connections to each engine, though hardly two of their requests were open at a
// time: 300 gateways paid for 30,000 handshakes with 60,000 requests. One that carries nothing may change
// its class, and one that does may not.
func TestIdleConnectionChangesItsClass(t *testing.T) {
	b := newBench(t)
	ask := func(client int, class string) string {
		id := fmt.Sprintf("%016x", client)
		b.client(ConnID(client))
		b.step(DataReceived, ConnID(client), string(query("/* kind="+class+",req="+id+",timeout=2000 */ SELECT 1 FROM sales_1.x")))
		return id
	}
	first := ask(1, "point")
	b.step(DialSucceeded, b.dials[0], "")
	b.step(DataReceived, b.dials[0], first+" served elapsed=1,rss=1,total=1 6\r\na\tb\tc\n\r\n")
	ask(2, "report")
	if len(b.dials) != 1 || !strings.Contains(b.after(b.dials[0]), "lane=report") {
		t.Fatalf("%d connections for two requests one after the other", len(b.dials))
	}
	ask(3, "point")
	if len(b.dials) != 2 {
		t.Fatalf("%d connections for requests of two classes at a time", len(b.dials))
	}
}

// Where no more connections may be made, requests share the ones that are there.
func TestConnectionsAreShared(t *testing.T) {
	b := newBench(t)
	b.g.lim.AllLinks = 1
	for i := range 6 {
		id := ConnID(i + 1)
		b.client(id)
		b.step(DataReceived, id, string(query(fmt.Sprintf("/* kind=%s,req=%016x,timeout=2000 */ SELECT 1 FROM sales_%d.x",
			[]string{"load", "point"}[i%2], i, i))))
	}
	b.step(DialSucceeded, b.dials[0], "")
	if asked := strings.Count(b.after(b.dials[0]), "ASK "); len(b.dials) != 1 || asked != b.g.lim.Multiplex {
		t.Errorf("%d requests went out on %d connections", asked, len(b.dials))
	}
}

// Connections are reset though their engine is well. A reset told of the engine once for each request
// on the connection, and two in a row left the engine out. Now one tells of it only if the engine has
// answered nothing since the last one.
func TestResetsOfAnEngineThatAnswers(t *testing.T) {
	for _, answers := range []bool{true, false} {
		b := newBench(t)
		for round := range 6 {
			id := ConnID(10 * (round + 1))
			for i := range ConnID(3) {
				b.client(id + i)
				b.step(DataReceived, id+i, string(query(fmt.Sprintf("/* kind=point,req=%016x,timeout=800 */ SELECT 1 FROM sales_1.x", 16*round+int(i)))))
			}
			link := b.dials[len(b.dials)-1]
			b.step(DialSucceeded, link, "")
			if answers {
				b.step(DataReceived, link, fmt.Sprintf("%016x served total=1 0\r\n\r\n", 16*round))
			}
			b.pass(rules.Millisecond)
			b.step(ConnectionClosed, link, "")
			b.pass(rules.Millisecond)
		}
		if left := b.g.module.EngineViews()[0].Ejected; left == answers {
			t.Errorf("answers between resets %v: left out %v", answers, left)
		}
	}
}

// Figures that no engine of the kind can have spent are not learned from, though the answer is good.
func TestIncredibleFigures(t *testing.T) {
	for _, c := range []struct {
		work, memory float64
		took         rules.Time
		want         bool
	}{
		{100, 64, 50 * rules.Millisecond, true}, {1e8, 64, 50 * rules.Millisecond, false}, {100, 1e8, 50 * rules.Millisecond, false},
		{16, 0, 0, true}, {17, 0, 0, false},
	} {
		b := newBench(t)
		a := &attempt{engine: b.g.order[0], work: c.work, memory: c.memory, took: c.took}
		if got := b.g.credible(a); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
		a.engine = &engineState{}
		b.g.enter(a.engine, config.Engine{})
		if !b.g.credible(a) {
			t.Errorf("%+v: nothing is known of that kind", c)
		}
	}
}

// Engines answer errors to requests of bad clients, and two in a row left an engine out, whatever it
// served beside. An error tells of its engine only if nothing good came since the last one.
func TestErrorsOfAnEngineThatServes(t *testing.T) {
	for _, serves := range []bool{true, false} {
		b := newBench(t)
		b.client(1)
		b.client(2)
		for i := range 12 {
			bad, good := fmt.Sprintf("%016x", 2*i), fmt.Sprintf("%016x", 2*i+1)
			b.step(DataReceived, 1, ask("load", bad))
			b.step(DataReceived, 2, ask("point", good))
			for _, d := range b.dials {
				if l := b.g.links[d]; l != nil && !l.up {
					b.step(DialSucceeded, d, "")
				}
			}
			answers := map[string]string{good: good + " crashed - 0\r\n\r\n", bad: bad + " crashed - 0\r\n\r\n"}
			if serves {
				answers[good] = good + " served total=1 0\r\n\r\n"
			}
			for _, id := range []string{good, bad} {
				if r := b.g.requests[rules.RequestID(id)]; r != nil && r.out > 0 {
					b.step(DataReceived, r.attempts[len(r.attempts)-1].link.id, answers[id])
				}
			}
			b.pass(50 * rules.Millisecond)
		}
		if left := b.g.module.EngineViews()[0].Ejected; left == serves {
			t.Errorf("serves beside: %v, left out: %v", serves, left)
		}
	}
}
