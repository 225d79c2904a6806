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

// Whatever a client sends, no other client is affected.
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
		"an unknown class":          {requestPacket("other", idB), false, "unknown class"},
		"an id that is open":        {requestPacket("point", idA), false, "id is open"},
		"no fields":                 {string(queryPacket("SELECT 1")), false, "no comment"},
		"a comment that never ends": {string(queryPacket("/* kind=point,req=" + idB)), false, "never ends"},
		"a field twice":             {string(queryPacket("/* kind=point,kind=point,req=" + idB + ",timeout=5 */ SELECT 1")), false, "twice"},
		"KILL of nobody":            {string(queryPacket("KILL QUERY 1")), false, "unknown session"},
		"another database":          {string(packet(0, []byte("\x02other"))), false, "unknown database"},
		"a query while one is open": {requestPacket("point", idB) + requestPacket("point", "00000000000000cc"), true, ""},
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t)
			gw.loginClient(1)
			gw.receive(1, requestPacket("point", idA))
			gw.loginClient(2)
			gw.takeOutput(1)
			gw.takeOutput(2)
			gw.receive(2, c.data)
			if got := gw.takeOutput(2); !strings.Contains(got, c.answer) || gw.closed[2] != c.shut {
				t.Errorf("answered %q, closed %v", got, gw.closed[2])
			}
			if gw.closed[1] || gw.takeOutput(1) != "" || gw.g.requests[idA] == nil {
				t.Error("another client was affected")
			}
		})
	}
}

func TestBadLogins(t *testing.T) {
	for name, data := range map[string]string{
		"half":              string(loginPacket()[:20]),
		"another user":      strings.Replace(string(loginPacket()), "app\x00", "apa\x00", 1),
		"another base":      strings.Replace(string(loginPacket()), "main\x00", "mane\x00", 1),
		"wrong number":      "\x05" + string(loginPacket()[1:3]) + "\x02" + string(loginPacket()[4:]),
		"a password":        string(packet(1, append(loginPacket()[4:36], "app\x00\x02xymain\x00"...))),
		"nothing":           "",
		"a packet too long": "\x00\x20\x00\x01",
		"random bytes":      "\x20\x00\x00\x01" + strings.Repeat("\xff", 32),
		"a query at once":   string(queryPacket("SELECT 1")),
	} {
		gw := newTestGateway(t)
		gw.step(ConnectionAccepted{Conn: 1})
		gw.receive(1, data)
		gw.advance(2900 * rules.Millisecond)
		if !gw.closed[1] || len(gw.g.clients) != 0 || len(gw.g.sessions) != 0 {
			t.Errorf("%s: the session goes on", name)
		}
	}
}

// Random bytes from clients, engines and the name service leave no state behind.
func TestRandomInput(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		gw := newTestGateway(t)
		gw.sendToEngine("point")
		pieces := []string{requestPacket("load", idB), string(loginPacket()), idA + " served total=3 2\r\n\r\n\r\n", idA + " rows index=1 0\r\n\r\n",
			"\x00\x01\x02", "p1 green - 0\r\n\r\n", string(standin.EncodeAnswer(uint16(gw.g.queryIDs[0]), listName, 2, []standin.Host{oneHost}))}
		for range 10 {
			p := []byte(pieces[rng.IntN(len(pieces))])
			if rng.IntN(2) == 0 {
				p[rng.IntN(len(p))] ^= byte(1 << rng.IntN(8))
			}
			kind, conn := rng.IntN(3), []ConnID{1, gw.dials[0]}[rng.IntN(2)]
			if kind < 2 {
				gw.receive(conn, string(p))
			} else {
				gw.step(DNSResponse{Data: p})
			}
			gw.advance(rules.Time(rng.IntN(100)) * rules.Millisecond)
		}
		gw.closeConn(1)
		gw.advance(5 * rules.Second)
		if len(gw.g.requests) != 0 || gw.g.unanswered != 0 || gw.g.partialBytes != 0 {
			t.Fatalf("%d requests and %d bytes are left", len(gw.g.requests), gw.g.partialBytes)
		}
	}
}

// A malformed answer of an engine ends that attempt, or the connection, and claims no more than is known: a load that may have run is
// never rejected and never sent again.
func TestBadEngines(t *testing.T) {
	for name, c := range map[string]struct {
		data  string
		shut  bool // the connection
		again bool // an idempotent query is retried
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
			gw := newTestGateway(t)
			connID := gw.sendToEngine(class)
			if got := gw.takeOutput(connID); !strings.HasPrefix(got, "ASK "+idA+" lane="+class) {
				t.Fatalf("the engine got %q", got)
			}
			gw.takeOutput(1)
			gw.receive(connID, c.data)
			if gw.closed[connID] != c.shut {
				t.Errorf("%s: connection closed: %v", name, gw.closed[connID])
			}
			if gw.closed[1] {
				t.Errorf("%s: the client was affected", name)
			}
			req := gw.g.requests[idA]
			switch {
			case !c.again:
				if req == nil || req.inFlight != 1 {
					t.Errorf("%s, %s: the attempt is over", name, class)
				}
			case class == "load":
				if got := gw.takeOutput(1); req != nil || !strings.Contains(got, "the query failed") {
					t.Errorf("%s: a load that may have run: %q", name, got)
				}
			case req == nil || req.answered:
				t.Errorf("%s: an idempotent query was abandoned", name)
			}
		}
	}
}

// Pages may come in any order, and reach the client in the order of their numbers.
func TestPagesInAnyOrder(t *testing.T) {
	gw := newTestGateway(t)
	connID := gw.sendToEngine("point")
	gw.takeOutput(connID)
	gw.receive(connID, idA+" served total=3 6\r\n1\ta\tb\n\r\n")
	if got := gw.takeOutput(connID); got != "NEXT "+idA+" 1\r\nNEXT "+idA+" 2\r\n" {
		t.Fatalf("asked for %q", got)
	}
	gw.takeOutput(1)
	gw.receive(connID, idA+" rows index=2 6\r\n3\ta\tb\n\r\n")
	if gw.takeOutput(1) != "" {
		t.Fatal("the client has rows of a result that is not complete")
	}
	gw.receive(connID, idA+" rows index=1 6\r\n2\ta\tb\n\r\n")
	got := gw.takeOutput(1)
	at := []int{strings.Index(got, "\x011\x01a"), strings.Index(got, "\x012\x01a"), strings.Index(got, "\x013\x01a")}
	if at[0] < 0 || at[1] < at[0] || at[2] < at[1] {
		t.Errorf("rows at %v of %q", at, got)
	}
	if got := gw.takeOutput(connID); got != "FREE "+idA+"\r\n" {
		t.Errorf("the engine got %q", got)
	}
}

// A request that waits for its connection is checked against the list once that comes up: an engine that drains meanwhile gets nothing.
func TestEngineStateIsCheckedOnWrite(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, requestPacket("load", idA))
	host := oneHost
	host.Draining = true
	gw.step(DNSResponse{Data: standin.EncodeAnswer(gw.g.queryIDs[0], listName, 2, []standin.Host{host})})
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	if got := gw.takeOutput(gw.dials[0]); got != "" {
		t.Errorf("a draining engine got %q", got)
	}
	if req := gw.g.requests[idA]; req == nil || req.answered {
		t.Error("a load that never ran was abandoned")
	}
}

// A lost, late, forged or broken answer of the name service keeps the last list.
func TestInvalidAnswerKeepsList(t *testing.T) {
	gw := newTestGateway(t)
	other := oneHost
	other.ID = "s-00000002"
	good := standin.EncodeAnswer(gw.g.queryIDs[0], listName, 2, []standin.Host{other})
	for name, msg := range map[string][]byte{
		"forged":       standin.EncodeAnswer(gw.g.queryIDs[0]+1, listName, 9, nil),
		"older":        standin.EncodeAnswer(gw.g.queryIDs[0], listName, 1, nil),
		"cut":          good[:len(good)-1],
		"another name": standin.EncodeAnswer(gw.g.queryIDs[0], "_data._tcp.other.lan", 9, nil),
		"empty":        {},
	} {
		gw.step(DNSResponse{Data: msg})
		if len(gw.g.engineOrder) != 1 || gw.g.engineOrder[0].entry.ID != oneHost.ID || gw.g.engineOrder[0].state != rules.EngineServing {
			t.Errorf("%s: the list has changed", name)
		}
	}
	gw.step(DNSResponse{Data: good})
	if len(gw.g.engineOrder) != 1 || gw.g.engineOrder[0].entry.ID != other.ID {
		t.Error("a good answer has not changed the list")
	}
}

// A machine that vanishes closes nothing. Once an attempt was abandoned on a silent connection, the next one dials anew: that fails soon
// where the machine is gone, and proves that nothing ran.
func TestSilentConnectionIsNotReused(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, string(queryPacket("/* kind=load,req="+idA+",timeout=900 */ SELECT 1 FROM sales_1.x")))
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	gw.advance(900 * rules.Millisecond) // less than what makes a connection idle
	if gw.g.requests[idA] != nil || len(gw.dials) != 1 {
		t.Fatal("the load should have failed, with no further attempt")
	}
	gw.takeOutput(gw.dials[0])
	gw.receive(1, requestPacket("load", idB))
	if got := gw.takeOutput(gw.dials[0]); got != "" || len(gw.dials) != 2 {
		t.Errorf("the silent connection got %q; %d dials, want 2", got, len(gw.dials))
	}
}

// SIGTERM brings the answers forward of clients that would wait for long, and the process exits after them.
func TestShutdownAnswersAll(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, string(queryPacket("/* kind=load,req="+idA+",timeout=30000 */ SELECT 1 FROM sales_1.x")))
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	gw.takeOutput(1)
	gw.step(ShutdownRequested{})
	gw.advance(gw.g.limits.ShutdownTimeout - rules.Millisecond)
	if gw.exited || gw.takeOutput(1) != "" {
		t.Fatal("ended before its time")
	}
	gw.advance(2 * rules.Millisecond)
	if got := gw.takeOutput(1); !strings.Contains(got, "the query failed") || !gw.exited {
		t.Errorf("answered %q, ended %v", got, gw.exited)
	}
}

// A request does not go to a connection that its engine may be about to close as idle.
func TestIdleConnectionIsNotReused(t *testing.T) {
	gw := newTestGateway(t)
	gw.sendToEngine("point")
	gw.receive(gw.dials[0], idA+" served total=1 0\r\n\r\n")
	gw.now += gw.g.limits.EngineIdleTimeout // before the sweep has seen it
	gw.g.armedFor = gw.now                  // and no timer is late: the process did not stand still
	gw.receive(1, requestPacket("load", idB))
	if len(gw.dials) != 2 {
		t.Errorf("%d dials, want 2", len(gw.dials))
	}
}

// KILL ends the query of the session that it names and no other, and that session gets no answer.
func TestKill(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, requestPacket("point", idA))
	gw.loginClient(2)
	gw.receive(2, requestPacket("point", idB))
	connID := gw.dials[0]
	gw.step(DialSucceeded{Conn: connID})
	gw.takeOutput(connID)
	gw.takeOutput(1)
	gw.loginClient(3)
	gw.receive(3, string(queryPacket(fmt.Sprintf("KILL QUERY %d", gw.g.clients[1].session))))
	if got := gw.takeOutput(connID); got != "QUIT "+idA+"\r\n" {
		t.Errorf("the engine got %q", got)
	}
	gw.receive(connID, idA+" served total=1 0\r\n\r\n") // crosses the QUIT
	if got := gw.takeOutput(1); got != "" {
		t.Errorf("the killed session got %q", got)
	}
	if gw.g.requests[idB] == nil || gw.g.requests[idA] != nil {
		t.Error("the wrong request is gone")
	}
}

// Unfinished packets of all clients together stay within bounds.
func TestUnfinishedInputIsBounded(t *testing.T) {
	gw := newTestGateway(t)
	gw.g.limits.MaxInputBytes = 20 * gw.g.limits.MaxStatementBytes
	gw.loginClient(99)
	gw.receive(99, string(queryPacket(requestPacket("point", idA)))[:40])
	piece := "\xff\xff\x00\x00" + strings.Repeat("x", 0xff00)
	for id := ConnID(1); id <= 40; id++ {
		gw.loginClient(id)
		gw.receive(id, piece)
		if gw.g.partialBytes > gw.g.limits.MaxInputBytes {
			t.Fatalf("%d bytes are held, %d at most", gw.g.partialBytes, gw.g.limits.MaxInputBytes)
		}
	}
	evicted := 0
	for id := ConnID(1); id <= 40; id++ {
		if gw.closed[id] {
			evicted++
			if got := gw.takeOutput(id); !strings.Contains(got, "unfinished") {
				t.Errorf("got %.100q", got)
			}
		}
	}
	if evicted < 20 || evicted > 21 || gw.closed[99] {
		t.Errorf("%d of those that hold most were closed, and one with half a query: %v", evicted, gw.closed[99])
	}
}

// An answer that left at the client's deadline by our clock would come too late, by the delay of both directions: it leaves earlier.
func TestFailureIsSentBeforeDeadline(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, requestPacket("load", idA)) // waits 2 s
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	gw.takeOutput(1)
	gw.advance(1799 * rules.Millisecond)
	if got := gw.takeOutput(1); got != "" {
		t.Fatalf("answered too early: %q", got)
	}
	gw.advance(2 * rules.Millisecond)
	if got := gw.takeOutput(1); !strings.Contains(got, "the query failed") {
		t.Errorf("got %q, want the failure 200 ms before the client's time-out", got)
	}
}

// What client libraries send of their own accord is answered, and nothing of it reaches an engine.
func TestClientLibraryCommands(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.takeOutput(1)
	for text, want := range map[string]string{
		"SELECT @@max_allowed_packet": "65536", "select @@version_comment limit 1": "foxlane", "SET NAMES utf8mb4": "\x00\x00\x00",
	} {
		gw.receive(1, string(queryPacket(text)))
		if got := gw.takeOutput(1); !strings.Contains(got, want) || strings.Contains(got, "\xff") {
			t.Errorf("%s: got %q", text, got)
		}
	}
	if len(gw.dials) != 0 || len(gw.g.requests) != 0 {
		t.Error("an engine was asked")
	}
}

// A probe reaches its engine as INFO; its answer, its timeout or the loss of its connection ends it.
func TestProbe(t *testing.T) {
	for name, c := range map[string]struct {
		do   func(gw *testGateway, connID ConnID)
		left int
	}{
		"green":   {func(gw *testGateway, connID ConnID) { gw.receive(connID, "p1 green rep=queue:1 0\r\n\r\n") }, 0},
		"silence": {func(gw *testGateway, connID ConnID) { gw.advance(300 * rules.Millisecond) }, 0},
		"lost":    {func(gw *testGateway, connID ConnID) { gw.closeConn(connID) }, 0},
		"waiting": {func(gw *testGateway, connID ConnID) {}, 1},
	} {
		gw := newTestGateway(t)
		gw.g.runAction(rules.Probe{Engine: gw.g.engineOrder[0].id})
		gw.flush()
		connID := gw.dials[0]
		gw.step(DialSucceeded{Conn: connID})
		if got := gw.takeOutput(connID); got != "INFO p1\r\n" {
			t.Fatalf("the engine got %q", got)
		}
		conn := gw.g.engineConns[connID]
		c.do(gw, connID)
		if n := len(conn.probes); n != c.left {
			t.Errorf("%s: %d probes are in flight, want %d", name, n, c.left)
		}
	}
}

// A reloaded configuration moves the gateway to another name service, which is asked at once. Its serials continue: a list in the file
// counts only if it is newer than the valid one.
func TestReload(t *testing.T) {
	gw := newTestGateway(t)
	hosts := []standin.Host{oneHost, otherHost}
	cfg := simConfig(t, hosts)
	cfg.DNS = netip.MustParseAddrPort("127.0.0.9:5301")
	reload := func() (moved, asked bool) {
		gw.g.Step(gw.now, ConfigReloaded{Config: &cfg})
		for _, effect := range gw.g.Flush() {
			switch effect := effect.(type) {
			case SetNameServer:
				moved = moved || effect.Addr == cfg.DNS
			case QueryDNS:
				asked = asked || moved
			}
		}
		return moved, asked
	}
	cfg.InitialList.Seq = gw.g.endpointList.Serial()
	if moved, asked := reload(); !moved || !asked || len(gw.g.engines) != 1 {
		t.Errorf("moved %v, asked there %v, %d engines", moved, asked, len(gw.g.engines))
	}
	cfg.InitialList.Seq++
	if reload(); len(gw.g.engines) != 2 || gw.g.endpointList.Serial() != cfg.InitialList.Seq {
		t.Errorf("a newer list in the file: %d engines, serial %d", len(gw.g.engines), gw.g.endpointList.Serial())
	}
	gw.loginClient(1)
	gw.receive(1, requestPacket("point", idA))
	if reload(); gw.closed[1] || gw.g.requests[idA] == nil {
		t.Error("a client was affected")
	}
}

// Hundreds of connections that send nothing must not keep other clients out: a new connection evicts a silent one, the longest silent
// first, which gets an error.
func TestSilentConnectionsAreEvicted(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, requestPacket("point", idA))
	gw.loginClient(2)
	gw.receive(2, string(packet(0, []byte{14}))) // idle after a ping
	maxClients := ConnID(gw.g.limits.MaxClients)
	for id := ConnID(100); id < 100+2*maxClients; id++ {
		gw.step(ConnectionAccepted{Conn: id})
	}
	if len(gw.g.clients) > gw.g.limits.MaxClients {
		t.Fatalf("%d connections are held, %d at most", len(gw.g.clients), gw.g.limits.MaxClients)
	}
	gw.takeOutput(3)
	gw.loginClient(3)
	gw.receive(3, requestPacket("point", idB))
	if gw.closed[3] || gw.g.requests[idB] == nil {
		t.Fatal("a client that asks at once was rejected in favour of silent ones")
	}
	if got := gw.takeOutput(100); !gw.closed[100] || !strings.Contains(got, "no room") {
		t.Errorf("the longest silent one: closed %v, got %q", gw.closed[100], got)
	}
	if gw.closed[1] || gw.closed[2] || gw.g.requests[idA] == nil {
		t.Error("others were closed while there were silent ones")
	}
	gw.advance(2900 * rules.Millisecond)
	if n := len(gw.g.clients); n != 3 {
		t.Errorf("%d connections are left after 2.9 s, 3 of them in use", n)
	}
}

// A client that stops within a packet, or sends one command and no other, is closed in time; one that returns after 4 s is not.
func TestSessionTimeouts(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, string(packet(0, []byte{14})))
	gw.loginClient(2)
	gw.receive(2, requestPacket("point", idA)[:30])
	gw.loginClient(3) // logs in and asks for nothing
	gw.advance(2900 * rules.Millisecond)
	if gw.closed[1] || !gw.closed[2] || !gw.closed[3] {
		t.Errorf("after 2.9 s: idle closed %v, half a query %v, login alone %v", gw.closed[1], gw.closed[2], gw.closed[3])
	}
	gw.advance(1200 * rules.Millisecond)
	gw.receive(1, requestPacket("point", idB))
	if gw.closed[1] || gw.g.requests[idB] == nil {
		t.Fatal("a client that was idle for 4 s was closed")
	}
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	gw.receive(gw.dials[0], idB+" served total=1 0\r\n\r\n")
	gw.advance(5 * rules.Second)
	if !gw.closed[1] || len(gw.g.clients) != 0 || gw.g.idleClients.Len()+gw.g.newClients.Len() != 0 {
		t.Error("a connection that is idle for good stays open")
	}
}

// Fields that are out of range never reach an engine, and a client that goes on sending them is closed.
func TestFieldsOutOfRange(t *testing.T) {
	for _, fields := range []string{"timeout=0", "timeout=-5", "timeout=99999999", "timeout=1e3", "timeout=2000,ms=-1", "timeout=2000,ms=NaN",
		"timeout=2000,ms=1e12", "timeout=2000,need_mb=Inf", "timeout=2000,need_mb=1e300", "timeout=2000,need_mb=x"} {
		gw := newTestGateway(t)
		gw.loginClient(1)
		for i := range gw.g.limits.MaxSessionErrors + 1 {
			gw.takeOutput(1)
			gw.receive(1, string(queryPacket("/* kind=point,req="+idA+","+fields+" */ SELECT 1 FROM sales_1.x")))
			if got := gw.takeOutput(1); !strings.Contains(got, "unusable") && !strings.Contains(got, "out of range") {
				t.Fatalf("%s: got %q", fields, got)
			}
			if gw.closed[1] != (i == gw.g.limits.MaxSessionErrors) {
				t.Fatalf("%s: closed %v after %d times", fields, gw.closed[1], i+1)
			}
		}
		if len(gw.dials) > 0 || len(gw.g.requests) > 0 {
			t.Errorf("%s: it was accepted", fields)
		}
	}
}

// An answer that stops short must not keep all requests on its connection waiting until they time out: the connection is ended soon, and
// none of them counts against the engine.
func TestAnswerThatStopsShort(t *testing.T) {
	for name, piece := range map[string]string{
		"in its line": idA + " served tot", "in its body": idA + " served total=1 600\r\n1\ta", "behind it": idA + " served total=1 0\r\n",
	} {
		gw := newTestGateway(t)
		for id, req := range map[ConnID]string{1: idA, 2: idB} {
			gw.loginClient(id)
			gw.receive(id, requestPacket("point", req))
		}
		connID := gw.dials[0]
		gw.step(DialSucceeded{Conn: connID})
		gw.receive(connID, piece)
		gw.advance(gw.g.limits.AnswerStallTimeout - rules.Millisecond)
		if gw.closed[connID] {
			t.Errorf("%s: ended too early", name)
		}
		gw.advance(2 * rules.Millisecond)
		if !gw.closed[connID] || len(gw.dials) != 2 {
			t.Fatalf("%s: closed %v, %d dials: both queries should be under way again", name, gw.closed[connID], len(gw.dials))
		}
		gw.step(DialSucceeded{Conn: gw.dials[1]})
		if got := gw.takeOutput(gw.dials[1]); strings.Count(got, "ASK ") != 2 {
			t.Errorf("%s: the engine got %q", name, got)
		}
	}
}

// Duplicates of answers and pages, and answers to nothing that was asked, are ignored.
func TestAnswersThatComeTwice(t *testing.T) {
	gw := newTestGateway(t)
	connID := gw.sendToEngine("point")
	gw.takeOutput(1)
	first := idA + " served total=3 6\r\n1\ta\tb\n\r\n"
	page := idA + " rows index=1 6\r\n2\ta\tb\n\r\n"
	gw.receive(connID, idB+" served total=1 0\r\n\r\n"+first+first+page+page+first+idA+" rows index=2 6\r\n3\ta\tb\n\r\n"+page)
	if got := gw.takeOutput(1); strings.Count(got, "\x01a") != 3 || gw.closed[connID] {
		t.Errorf("got %q", got)
	}
	if len(gw.g.requests) != 0 {
		t.Error("the request is still in flight")
	}
}

// Each class has connections of its own: a load that shares a connection with queries would fail with the first malformed answer to one
// of them, though it runs on and must not be sent again.
func TestClassesUseSeparateConnections(t *testing.T) {
	gw := newTestGateway(t)
	for i, class := range []string{"load", "load", "point", "point", "report"} {
		gw.loginClient(ConnID(i + 1))
		gw.receive(ConnID(i+1), string(queryPacket(fmt.Sprintf("/* kind=%s,req=%016x,timeout=2000 */ SELECT 1 FROM sales_%d.x", class, i, i))))
	}
	got := map[string]int{}
	for _, d := range gw.dials {
		gw.step(DialSucceeded{Conn: d})
		sent := gw.takeOutput(d)
		for _, class := range []string{"load", "point", "report"} {
			if n := strings.Count(sent, "lane="+class); n > 0 {
				got[class] += n
				if n != strings.Count(sent, "ASK ") {
					t.Errorf("a connection carries %q", sent)
				}
			}
		}
	}
	if len(gw.dials) != 3 || got["load"] != 2 || got["point"] != 2 || got["report"] != 1 {
		t.Fatalf("%d connections carry %v", len(gw.dials), got)
	}
	gw.receive(gw.dials[1], "\x00\r\n")
	if !gw.closed[gw.dials[1]] || gw.closed[gw.dials[0]] || gw.closed[gw.dials[2]] || gw.g.requests["0000000000000000"].inFlight != 1 {
		t.Error("more than the queries of one class were affected")
	}
}

// Where few requests are in flight, a connection for each class and engine costs more handshakes than it saves (30,000 for 60,000 requests
// of 300 gateways). So a connection that carries nothing may change its class, and one that does may not.
func TestIdleConnectionChangesItsClass(t *testing.T) {
	gw := newTestGateway(t)
	ask := func(client int, class string) string {
		id := fmt.Sprintf("%016x", client)
		gw.loginClient(ConnID(client))
		gw.receive(ConnID(client), string(queryPacket("/* kind="+class+",req="+id+",timeout=2000 */ SELECT 1 FROM sales_1.x")))
		return id
	}
	first := ask(1, "point")
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	gw.receive(gw.dials[0], first+" served elapsed=1,rss=1,total=1 6\r\na\tb\tc\n\r\n")
	ask(2, "report")
	if len(gw.dials) != 1 || !strings.Contains(gw.takeOutput(gw.dials[0]), "lane=report") {
		t.Fatalf("%d connections for two requests one after the other", len(gw.dials))
	}
	ask(3, "point")
	if len(gw.dials) != 2 {
		t.Fatalf("%d connections for requests of two classes at a time", len(gw.dials))
	}
}

// Where no more connections may be made, requests share the ones that are there.
func TestConnectionsAreShared(t *testing.T) {
	gw := newTestGateway(t)
	gw.g.limits.MaxConns = 1
	for i := range 6 {
		id := ConnID(i + 1)
		gw.loginClient(id)
		gw.receive(id, string(queryPacket(fmt.Sprintf("/* kind=%s,req=%016x,timeout=2000 */ SELECT 1 FROM sales_%d.x",
			[]string{"load", "point"}[i%2], i, i))))
	}
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	if asked := strings.Count(gw.takeOutput(gw.dials[0]), "ASK "); len(gw.dials) != 1 || asked != gw.g.limits.Multiplex {
		t.Errorf("%d requests went out on %d connections", asked, len(gw.dials))
	}
}

// Connections are reset though their engine is healthy. A reset counts against the engine once, not for each request on the connection,
// and only if the engine has answered nothing since the last one.
func TestResetsOfAnEngineThatAnswers(t *testing.T) {
	for _, answers := range []bool{true, false} {
		gw := newTestGateway(t)
		for round := range 6 {
			id := ConnID(10 * (round + 1))
			for i := range ConnID(3) {
				gw.loginClient(id + i)
				gw.receive(id+i, string(queryPacket(fmt.Sprintf("/* kind=point,req=%016x,timeout=800 */ SELECT 1 FROM sales_1.x", 16*round+int(i)))))
			}
			connID := gw.dials[len(gw.dials)-1]
			gw.step(DialSucceeded{Conn: connID})
			if answers {
				gw.receive(connID, fmt.Sprintf("%016x served total=1 0\r\n\r\n", 16*round))
			}
			gw.advance(rules.Millisecond)
			gw.closeConn(connID)
			gw.advance(rules.Millisecond)
		}
		if left := gw.g.module.EngineViews()[0].Ejected; left == answers {
			t.Errorf("answers between resets %v: ejected %v", answers, left)
		}
	}
}

// Work and memory that no engine of the kind can have spent are not learned from, though the answer is used.
func TestImplausibleUsage(t *testing.T) {
	for _, c := range []struct {
		work, memory float64
		took         rules.Time
		want         bool
	}{
		{100, 64, 50 * rules.Millisecond, true}, {1e8, 64, 50 * rules.Millisecond, false}, {100, 1e8, 50 * rules.Millisecond, false},
		{16, 0, 0, true}, {17, 0, 0, false},
	} {
		gw := newTestGateway(t)
		attempt := &engineAttempt{engine: gw.g.engineOrder[0], workMS: c.work, memoryMB: c.memory, latency: c.took}
		if got := gw.g.plausibleUsage(attempt); got != c.want {
			t.Errorf("%+v: got %v", c, got)
		}
		attempt.engine = &engineState{}
		gw.g.setEntry(attempt.engine, config.Engine{})
		if !gw.g.plausibleUsage(attempt) {
			t.Errorf("%+v: nothing is known of that kind", c)
		}
	}
}

// Engines answer errors to faulty queries. An error counts against the engine only if it has served nothing since its last error.
func TestErrorsOfAnEngineThatServes(t *testing.T) {
	for _, serves := range []bool{true, false} {
		gw := newTestGateway(t)
		gw.loginClient(1)
		gw.loginClient(2)
		for i := range 12 {
			bad, good := fmt.Sprintf("%016x", 2*i), fmt.Sprintf("%016x", 2*i+1)
			gw.receive(1, requestPacket("load", bad))
			gw.receive(2, requestPacket("point", good))
			for _, d := range gw.dials {
				if conn := gw.g.engineConns[d]; conn != nil && !conn.up {
					gw.step(DialSucceeded{Conn: d})
				}
			}
			answers := map[string]string{good: good + " crashed - 0\r\n\r\n", bad: bad + " crashed - 0\r\n\r\n"}
			if serves {
				answers[good] = good + " served total=1 0\r\n\r\n"
			}
			for _, id := range []string{good, bad} {
				if req := gw.g.requests[rules.RequestID(id)]; req != nil && req.inFlight > 0 {
					gw.receive(req.attempts[len(req.attempts)-1].conn.id, answers[id])
				}
			}
			gw.advance(50 * rules.Millisecond)
		}
		if left := gw.g.module.EngineViews()[0].Ejected; left == serves {
			t.Errorf("serves beside: %v, ejected: %v", serves, left)
		}
	}
}
