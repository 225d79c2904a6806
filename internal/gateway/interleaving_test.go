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

// interleaving is a gateway with two engines, one client's request in flight, and events that come in any order. It judges by what was
// written alone.
type interleaving struct {
	*testGateway
	class          string
	asks           int  // times that the request came complete to an engine
	mayHaveRun     int  // of these, times that it may have run
	sentAfterLeave bool // it came there after its client had left
	answers        int  // final ones
	left           bool // its client has gone or has killed it
	readUpTo       map[ConnID]int
	resolvedDials  map[ConnID]bool // connections that have come up, or never will
}

const killerConn = 3 // the connection that kills

func newInterleaving(t *testing.T, class string) *interleaving {
	gw := newTestGatewayWith(t, nil, oneHost, otherHost)
	x := &interleaving{testGateway: gw, class: class, readUpTo: map[ConnID]int{}, resolvedDials: map[ConnID]bool{}}
	gw.loginClient(1)
	gw.loginClient(killerConn)
	gw.takeOutput(1)
	return x
}

// readOutput reads what was written since it was last called.
func (x *interleaving) readOutput() {
	x.t.Helper()
	for id, out := range x.output {
		text := string(out[x.readUpTo[id]:])
		x.readUpTo[id] = len(out)
		switch {
		case id == 1:
			x.answers += strings.Count(text, "the query") + strings.Count(text, "\x011\x01a\x01b")
		case id&dialledBit != 0:
			if n := strings.Count(text, "ASK "+idA); n > 0 {
				x.asks += n
				x.mayHaveRun += n
				x.sentAfterLeave = x.sentAfterLeave || x.left
			}
		}
	}
}

func (x *interleaving) lastDial() ConnID {
	if len(x.dials) == 0 {
		return 0
	}
	return x.dials[len(x.dials)-1]
}

func (x *interleaving) sendList(serial uint32, change func(hosts []standin.Host)) {
	hosts := []standin.Host{oneHost, otherHost}
	change(hosts)
	x.step(DNSResponse{Data: standin.EncodeAnswer(x.g.queryIDs[(x.g.queryCount-1)%len(x.g.queryIDs)], listName, serial, hosts)})
}

// interleavedEvents are the events that may come, by name.
var interleavedEvents = []struct {
	name string
	do   func(x *interleaving)
}{
	{"request", func(x *interleaving) {
		if !x.closed[1] && !x.left && x.g.requests[idA] == nil && x.answers == 0 {
			x.receive(1, requestPacket(x.class, idA))
		}
	}},
	{"first byte", func(x *interleaving) {
		if !x.closed[1] && !x.left && x.g.requests[idA] == nil && x.answers == 0 {
			x.receive(1, requestPacket(x.class, idA)[:9])
		}
	}},
	{"last byte", func(x *interleaving) {
		if client := x.g.clients[1]; client != nil && client.partialBytes > 0 && !x.left {
			x.receive(1, requestPacket(x.class, idA)[9:])
		}
	}},
	{"close", func(x *interleaving) {
		x.left = true
		x.closeConn(1)
	}},
	{"kill", func(x *interleaving) {
		if client := x.g.clients[1]; client != nil && client.request != nil {
			x.left = true
			x.receive(killerConn, string(queryPacket(fmt.Sprintf("KILL QUERY %d", client.session))))
		}
	}},
	{"session killed", func(x *interleaving) {
		if client := x.g.clients[1]; client != nil {
			x.left = true
			x.receive(killerConn, string(queryPacket(fmt.Sprintf("KILL %d", client.session))))
		}
	}},
	{"connection up", func(x *interleaving) {
		if id := x.lastDial(); id != 0 && !x.resolvedDials[id] {
			x.resolvedDials[id] = true
			x.step(DialSucceeded{Conn: id})
		}
	}},
	{"dial failed", func(x *interleaving) {
		if id := x.lastDial(); id != 0 && !x.resolvedDials[id] {
			x.resolvedDials[id] = true
			x.g.Step(x.now, DialFailed{Conn: id, Err: errors.New("refused")})
			x.flush()
		}
	}},
	{"answer", func(x *interleaving) { x.receive(x.lastDial(), idA+" served total=1 6\r\n1\ta\tb\n\r\n") }},
	{"second answer", func(x *interleaving) {
		x.receive(x.lastDial(), strings.Repeat(idA+" served total=1 6\r\n1\ta\tb\n\r\n", 2))
	}},
	{"first page", func(x *interleaving) { x.receive(x.lastDial(), idA+" served total=2 6\r\n1\ta\tb\n\r\n") }},
	{"second page", func(x *interleaving) { x.receive(x.lastDial(), idA+" rows index=1 6\r\n2\tc\td\n\r\n") }},
	{"half an answer", func(x *interleaving) { x.receive(x.lastDial(), idA+" served total=1 6\r\n1\ta") }},
	{"overload", func(x *interleaving) {
		if x.asks > 0 {
			x.mayHaveRun--
		}
		x.receive(x.lastDial(), idA+" overload - 0\r\n\r\n")
		if x.asks == 0 {
			return
		}
		if req := x.g.requests[idA]; req != nil && len(req.attempts) > 0 && req.attempts[0].sent && !req.attempts[0].done {
			x.mayHaveRun++ // it said so on a connection that carried nothing of it
		}
	}},
	{"reset", func(x *interleaving) {
		if id := x.lastDial(); id != 0 && x.g.engineConns[id] != nil {
			x.resolvedDials[id] = true
			x.closeConn(id)
		}
	}},
	{"drain listed", func(x *interleaving) {
		x.sendList(7, func(hosts []standin.Host) { hosts[0].Draining, hosts[1].Draining = true, true })
	}},
	{"another address", func(x *interleaving) {
		x.sendList(8, func(hosts []standin.Host) { hosts[0].Addr, hosts[1].Addr = hosts[1].Addr, hosts[0].Addr })
	}},
	{"reload", func(x *interleaving) {
		cfg := x.g.cfg
		cfg.DNS = netip.MustParseAddrPort("127.0.0.9:5301")
		x.g.Step(x.now, ConfigReloaded{Config: &cfg})
		x.flush()
	}},
	{"terminate", func(x *interleaving) { x.step(ShutdownRequested{}) }},
	{"deadline", func(x *interleaving) { x.advance(2 * rules.Second) }},
	{"a while", func(x *interleaving) { x.advance(260 * rules.Millisecond) }},
}

// Every order of two and three events: there is one final answer at most, and one unless the client has gone; what must not run twice
// doesn't; nothing goes to an engine once the client has gone; no state is left, and the process exits.
func TestAllInterleavings(t *testing.T) {
	cases := 0
	for _, class := range []string{"point", "note", "load"} {
		play := func(order ...int) {
			cases++
			x := newInterleaving(t, class)
			names := ""
			if order[0] != 0 && order[0] != 1 { // otherwise the request itself is one of the events
				interleavedEvents[0].do(x)
			}
			for _, i := range order {
				names += " | " + interleavedEvents[i].name
				interleavedEvents[i].do(x)
				x.readOutput()
			}
			asked := x.g.requests[idA] != nil || x.answers > 0 || x.left
			x.step(ShutdownRequested{})
			x.advance(5 * rules.Second)
			x.readOutput()
			fault := ""
			switch {
			case x.answers > 1:
				fault = fmt.Sprintf("%d final answers", x.answers)
			case asked && x.answers == 0 && !x.left && !x.closed[1]:
				fault = "no answer"
			case class != "point" && x.mayHaveRun > 1:
				fault = fmt.Sprintf("it came to engines %d times", x.asks)
			case x.sentAfterLeave:
				fault = "it came to an engine after its client had left"
			case len(x.g.requests) != 0 || x.g.unanswered != 0 || x.g.statementBytes != 0 || x.g.resultBytes != 0 || x.g.partialBytes != 0:
				fault = fmt.Sprintf("left: %d requests, %d unanswered, %d, %d and %d bytes", len(x.g.requests), x.g.unanswered, x.g.statementBytes,
					x.g.resultBytes, x.g.partialBytes)
			case !x.exited:
				fault = "the process has not ended"
			}
			if fault != "" {
				t.Errorf("%s%s: %s", class, names, fault)
			}
		}
		for i := range interleavedEvents {
			for j := range interleavedEvents {
				if i == j {
					continue
				}
				play(i, j)
				for k := range interleavedEvents {
					if k != i && k != j {
						play(i, j, k)
					}
				}
			}
		}
	}
	t.Logf("%d interleavings", cases)
}

// Hundreds of clients go in one batch, as the connection comes up for which their requests have waited: nothing of theirs is sent, and no
// state of them is left.
func TestManyClientsCloseInOneBatch(t *testing.T) {
	const leaving = 200
	for _, upFirst := range []bool{true, false} {
		gw := newTestGateway(t)
		for id := ConnID(1); id <= leaving+1; id++ {
			gw.loginClient(id)
			gw.receive(id, requestPacket("point", fmt.Sprintf("%016x", id)))
		}
		engineConns := map[ConnID]bool{}
		for _, id := range gw.dials {
			engineConns[id] = true
		}
		up := func() {
			for _, id := range gw.dials {
				gw.g.Step(gw.now, DialSucceeded{Conn: id})
			}
		}
		if upFirst {
			up()
		}
		for id := ConnID(1); id <= leaving; id++ {
			gw.g.Step(gw.now, ConnectionClosed{Conn: id})
		}
		if !upFirst {
			up()
		}
		gw.flush()
		for connID := range engineConns {
			got := gw.takeOutput(connID)
			for id := 1; id <= leaving; id++ {
				name := fmt.Sprintf("%016x", id)
				if strings.Contains(got, "ASK "+name) && !strings.Contains(got, "QUIT "+name) {
					t.Fatalf("up first %v: client %d has gone, and its request was sent and not cancelled", upFirst, id)
				}
			}
		}
		if n := len(gw.g.requests); n != 1 {
			t.Errorf("up first %v: %d requests are open, one client is left", upFirst, n)
		}
	}
}

// A connection that breaks before the system has accepted all that was written proves that the last request never ran: a load is sent
// again, where one of which every byte was accepted may have run and is not.
func TestUnwrittenRequestIsRetried(t *testing.T) {
	for name, c := range map[string]struct {
		missing int64
		again   bool
	}{"all was accepted": {0, false}, "all but a byte": {1, true}, "nothing": {1 << 20, true}} {
		gw := newTestGateway(t)
		connID := gw.sendToEngine("load")
		gw.takeOutput(1)
		gw.written[connID] = max(gw.written[connID]-c.missing, 0)
		gw.closeConn(connID)
		if again := gw.g.requests[idA] != nil && len(gw.dials) == 2; again != c.again {
			t.Errorf("%s: sent again %v, want %v; the client got %q", name, again, c.again, gw.takeOutput(1))
		}
	}
}

// An engine's connection ends in the same batch in which a load is put on it: the load was never written.
func TestConnectionClosesInBatchOfSend(t *testing.T) {
	gw := newTestGateway(t)
	connID := gw.sendToEngine("point")
	gw.receive(connID, idA+" served total=1 0\r\n\r\n")
	gw.advance(10 * rules.Millisecond)
	accepted := gw.written[connID]
	gw.g.Step(gw.now, &DataReceived{Conn: 1, Data: []byte(requestPacket("load", idB))})
	gw.g.Step(gw.now, ConnectionClosed{Conn: connID, AcceptedBytes: accepted})
	gw.flush()
	if req := gw.g.requests[idB]; req == nil || len(gw.dials) != 2 {
		t.Errorf("a load that was never written was abandoned: %q", gw.takeOutput(1))
	}
}

// An engine gets another address while a dial to the old one is under way: nothing is written there, and the request is retried at once.
func TestDialToOldAddressIsCancelled(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, requestPacket("load", idA))
	old := gw.dials[0]
	moved := oneHost
	moved.Addr = netip.MustParseAddrPort("127.8.1.9:7001")
	gw.step(DNSResponse{Data: standin.EncodeAnswer(gw.g.queryIDs[0], listName, 2, []standin.Host{moved})})
	if len(gw.dials) != 2 || !gw.closed[old] {
		t.Fatalf("%d dials, the old one cancelled: %v", len(gw.dials), gw.closed[old])
	}
	gw.step(DialSucceeded{Conn: old}) // it crossed
	gw.step(DialSucceeded{Conn: gw.dials[1]})
	if got := gw.takeOutput(old); got != "" {
		t.Errorf("the old address got %q", got)
	}
	if got := gw.takeOutput(gw.dials[1]); !strings.HasPrefix(got, "ASK "+idA) {
		t.Errorf("the new address got %q", got)
	}
}

// A connection that comes up later than a dial may take carries nothing that waited for it: the process was stopped.
func TestLateConnectionCarriesNothing(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, requestPacket("note", idA))
	gw.now += gw.g.limits.ConnectTimeout + rules.Millisecond // stopped: no timer fired
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	if req := gw.g.requests[idA]; req == nil || !req.attempts[0].done || req.attempts[0].sent {
		t.Errorf("sent on %d ms after it was decided: %q", (gw.g.limits.ConnectTimeout+rules.Millisecond)/rules.Millisecond, gw.takeOutput(gw.dials[0]))
	}
}

// That the limit of connections is reached says nothing of an engine.
func TestConnectionLimitBlamesNoEngine(t *testing.T) {
	gw := newTestGateway(t)
	gw.g.limits.MaxConns = 0
	gw.loginClient(1)
	for i := range 12 {
		gw.receive(1, string(queryPacket(fmt.Sprintf("/* kind=point,req=%016x,timeout=300 */ SELECT 1 FROM sales_1.x", i))))
		gw.advance(400 * rules.Millisecond)
	}
	if gw.g.module.EngineViews()[0].Ejected {
		t.Error("the engine is ejected because our limit of connections was reached")
	}
}

// A KILL on a connection that was opened while the session's last query was in flight, and comes after the answer to that, leaves the
// next query alone. On a connection that was opened later it means the next query.
func TestKillAfterAnswer(t *testing.T) {
	for _, openedLate := range []bool{false, true} {
		gw := newTestGateway(t)
		gw.loginClient(1)
		session := gw.g.clients[1].session
		gw.receive(1, requestPacket("point", idA))
		connID := gw.dials[0]
		gw.step(DialSucceeded{Conn: connID})
		if !openedLate {
			gw.loginClient(2)
		}
		gw.now += rules.Millisecond
		gw.receive(connID, idA+" served total=1 0\r\n\r\n")
		gw.now += rules.Millisecond
		gw.receive(1, requestPacket("point", idB))
		if openedLate {
			gw.loginClient(2)
		}
		gw.takeOutput(connID)
		gw.receive(2, string(queryPacket(fmt.Sprintf("KILL QUERY %d", session))))
		if hit := gw.g.requests[idB] == nil; hit != openedLate {
			t.Errorf("opened after the answer %v: the next query was killed %v", openedLate, hit)
		}
	}
}

// A session is answered, sends its next query and is told to end it by a new connection, all in one moment, as when they are read in one
// batch: the KILL means the query that is in flight. The times of the answer and of the new connection were compared, and where
// they were the same the KILL was taken to be late: OK was its answer, and the query ran on and was answered 27 ms later (seed 35378 of
// TestRulesWithAdmissionControl at fault rate 1: "the query was refused" to a killed query).
func TestKillAtTheTimeOfAnAnswer(t *testing.T) {
	for _, openedFirst := range []bool{false, true} {
		gw := newTestGateway(t)
		gw.loginClient(1)
		session := gw.g.clients[1].session
		gw.receive(1, requestPacket("point", idA))
		connID := gw.dials[0]
		gw.step(DialSucceeded{Conn: connID})
		gw.now += rules.Millisecond
		if openedFirst { // in the same moment, and meant for the query that is answered next
			gw.loginClient(2)
		}
		gw.receive(connID, idA+" served total=1 0\r\n\r\n")
		gw.receive(1, requestPacket("point", idB))
		if !openedFirst {
			gw.loginClient(2)
		}
		gw.receive(2, string(queryPacket(fmt.Sprintf("KILL QUERY %d", session))))
		if hit := gw.g.requests[idB] == nil; hit == openedFirst {
			t.Errorf("opened ahead of the answer %v: the next query was killed %v", openedFirst, hit)
		}
	}
}

// During a shutdown clients that have sent no command get an error, new ones too; idle ones stay until the last close; and a request that
// is read while the process exits is answered first.
func TestShutdownAnswersLateInput(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, string(packet(0, []byte{14}))) // a ping: it is idle
	gw.step(ShutdownRequested{})
	gw.advance(gw.g.limits.MinDrainPeriod - 10*rules.Millisecond)
	gw.loginClient(2) // asks for nothing
	gw.step(ConnectionAccepted{Conn: 3})
	gw.takeOutput(2)
	gw.takeOutput(3)
	gw.advance(20 * rules.Millisecond)
	if !gw.exited {
		t.Fatal("not ended")
	}
	for _, id := range []ConnID{2, 3} {
		if got := gw.takeOutput(id); !strings.Contains(got, "this gateway ends") || !gw.closed[id] {
			t.Errorf("connection %d got %q, closed %v", id, got, gw.closed[id])
		}
	}
	gw.step(ConnectionAccepted{Conn: 4})
	if got := gw.takeOutput(4); !strings.Contains(got, "Too many") || !gw.closed[4] {
		t.Errorf("a new client got %q, closed %v", got, gw.closed[4])
	}
	if gw.closed[1] {
		t.Error("the idle one was closed by the reducer, while it may be sending")
	}
	gw.takeOutput(1)
	gw.exited = false
	gw.receive(1, requestPacket("point", idA))
	if gw.exited {
		t.Fatal("ended with a request in flight")
	}
	gw.step(DialSucceeded{Conn: gw.dials[0]})
	gw.receive(gw.dials[0], idA+" served total=1 6\r\n1\ta\tb\n\r\n")
	if got := gw.takeOutput(1); !strings.Contains(got, "\x011\x01a") || !gw.exited {
		t.Errorf("the request got %q, ended %v", got, gw.exited)
	}
}

// A client that sends many commands and reads no answers is closed before these fill the memory.
func TestClientThatReadsNoAnswers(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, strings.Repeat(string(packet(0, []byte{14})), 200_000))
	if got := len(gw.output[1]); !gw.closed[1] || got > gw.g.limits.ClientSendBuffer {
		t.Errorf("closed %v, %d bytes were written to it", gw.closed[1], got)
	}
}

// recordSocketRenewals is when the gateway asks for a new socket while time goes by.
func recordSocketRenewals(gw *testGateway, duration rules.Time, afterEach func()) (at []rules.Time) {
	from := gw.now
	for end := gw.now + duration; gw.now < end; {
		next, _ := gw.g.timers.next()
		gw.now = max(gw.now, next)
		gw.g.Step(gw.now, TimerFired{})
		for _, effect := range gw.g.Flush() {
			if _, ok := effect.(SetNameServer); ok {
				at = append(at, (gw.now-from)/rules.Millisecond)
			}
		}
		if afterEach != nil {
			afterEach()
		}
	}
	return at
}

// A name service that falls silent is asked from a new socket after a second, and then after twice as long each time; one that answers
// is not, however late its answers come.
func TestSilentNameServiceGetsANewSocket(t *testing.T) {
	gw := newTestGateway(t)
	at := recordSocketRenewals(gw, 20*rules.Second, nil)
	if len(at) < 3 || at[0] < 900 || at[0] > 1300 || at[1]-at[0] < 1900 || at[2]-at[1] < 3900 || len(at) > 5 {
		t.Errorf("asked from a new socket at %v ms", at)
	}
	gw = newTestGateway(t)
	type lateAnswer struct {
		id uint16
		at rules.Time
	}
	var pending []lateAnswer
	n := 0
	at = recordSocketRenewals(gw, 20*rules.Second, func() {
		if gw.g.queryCount > n {
			n = gw.g.queryCount
			pending = append(pending, lateAnswer{gw.g.queryIDs[(n-1)%len(gw.g.queryIDs)], gw.now + 6*rules.Second})
		}
		for len(pending) > 0 && pending[0].at <= gw.now {
			gw.g.Step(gw.now, DNSResponse{Data: standin.EncodeAnswer(pending[0].id, listName, 1, nil)})
			pending = pending[1:]
		}
	})
	for _, ms := range at {
		if ms > 7000 {
			t.Errorf("answers come, 6 s late, and it is asked from a new socket at %d ms", ms)
		}
	}
}

// An answer that is seconds late still counts.
func TestLateList(t *testing.T) {
	gw := newTestGateway(t)
	id := gw.g.queryIDs[0]
	gw.advance(6500 * rules.Millisecond)
	gw.checkDrainNoticed(id, "6.5 s")
}

// checkDrainNoticed has the name service answer a query late, with a list in which the engine drains.
func (gw *testGateway) checkDrainNoticed(id uint16, delay string) {
	gw.t.Helper()
	gw.answerQuery(id, 2, draining(oneHost))
	if gw.g.engineOrder[0].state != rules.EngineDraining {
		gw.t.Errorf("a drain in an answer that is %s late was not noticed", delay)
	}
}

// After many reloads, each of which sends a query as well, an answer that is seconds late still counts.
func TestLateListAfterManyReloads(t *testing.T) {
	gw := newTestGateway(t)
	if polls := int(gw.g.limits.MaxListDelay / gw.g.limits.PollInterval); queryHistorySize < 2*polls {
		t.Errorf("%d queries are remembered, %d are sent while an answer may come", queryHistorySize, polls)
	}
	id := gw.g.queryIDs[0]
	for range 80 {
		cfg := gw.g.cfg
		gw.g.Step(gw.now, ConfigReloaded{Config: &cfg})
		gw.g.Flush()
	}
	gw.advance(3 * rules.Second)
	gw.checkDrainNoticed(id, "3 s")
}

// A reload that moves the name service: an older list in the file changes nothing, a newer one counts, and a return to the first address
// asks there again, from a new socket each time.
func TestReloadBackAndForth(t *testing.T) {
	gw := newTestGateway(t)
	gw.g.endpointList = discovery.New(9, gw.g.cfg.InitialList.Engines)
	first := gw.g.cfg.DNS
	second := netip.MustParseAddrPort("127.0.0.9:5301")
	for i, c := range []struct {
		dns     netip.AddrPort
		seq     uint32
		engines int
	}{{second, 4, 1}, {first, 12, 0}, {second, 11, 0}} {
		cfg := gw.g.cfg
		cfg.DNS, cfg.InitialList = c.dns, config.EngineList{Seq: c.seq}
		gw.g.Step(gw.now, ConfigReloaded{Config: &cfg})
		renewals := 0
		for _, effect := range gw.g.Flush() {
			if effect == Effect(SetNameServer{Addr: c.dns}) {
				renewals++
			}
		}
		if serving := len(gw.g.engineOrder); renewals != 1 || serving != c.engines {
			t.Errorf("step %d: moved %d times, %d engines, want %d", i, renewals, serving, c.engines)
		}
	}
}

// Some deployments use idempotency keys and progress reports. A key is forwarded as it came, with every attempt; one that would break the
// list of fields is an error; a progress report ends nothing.
func TestIdempotencyKeyAndProgressReports(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, string(queryPacket("/* kind=note,req="+idA+",timeout=1900,opkey=d3523c54572be3e1 */ SELECT 1 FROM sales_1.x")))
	connID := gw.dials[0]
	gw.step(DialSucceeded{Conn: connID})
	if got := gw.takeOutput(connID); !strings.Contains(got, ",dedupe=d3523c54572be3e1 ") {
		t.Errorf("the engine got %q", got)
	}
	gw.receive(connID, idA+" update why=share,datum=0.25 0\r\n\r\n"+idA+" update - 3\r\nabc\r\n"+idB+" update - 0\r\n\r\n")
	if gw.closed[connID] || gw.g.requests[idA] == nil || gw.g.requests[idA].inFlight != 1 {
		t.Fatal("a progress report ended the attempt, or its connection")
	}
	gw.advance(20 * rules.Millisecond)
	gw.closeConn(connID)
	gw.advance(rules.Millisecond)
	gw.step(DialSucceeded{Conn: gw.dials[len(gw.dials)-1]})
	if got := gw.takeOutput(gw.dials[len(gw.dials)-1]); len(gw.dials) < 2 || !strings.Contains(got, ",dedupe=d3523c54572be3e1 ") {
		t.Errorf("the retry: %d dials, the engine got %q", len(gw.dials), got)
	}
	gw.loginClient(2)
	for _, key := range []string{"", "a b", "a=b", strings.Repeat("k", 200), "k\x01"} {
		gw.takeOutput(2)
		gw.receive(2, string(queryPacket("/* kind=note,req="+idB+",timeout=1900,opkey="+key+" */ SELECT 1 FROM sales_1.x")))
		if got := gw.takeOutput(2); !strings.Contains(got, "opkey") {
			t.Errorf("key %.20q: answered %q", key, got)
		}
	}
}

// Where no two attempts of a request may be in flight at once, an engine that may run one has been told of its end before another engine is
// asked, however the attempt ended: over a network delay of up to 40 ms, as its connection took to come up. A proof that nothing ran
// needs no wait, and neither do settings that allow hedged requests.
func TestNextAttemptWaitsForTermination(t *testing.T) {
	const delay = 40 * rules.Millisecond
	for name, c := range map[string]struct {
		end  func(x *interleaving)
		wait bool
	}{
		"cancelled": {func(x *interleaving) {
			x.g.runAction(rules.Cancel{ID: idA, Attempt: 0})
			x.flush()
		}, true},
		"an answer that makes no sense":   {func(x *interleaving) { x.receive(x.lastDial(), idA+" green - 0\r\n\r\n") }, true},
		"a connection that can't be read": {func(x *interleaving) { x.receive(x.lastDial(), "\x00\x01\x02") }, true},
		"reset":                           {func(x *interleaving) { x.closeConn(x.lastDial()) }, true},
		"full":                            {func(x *interleaving) { x.receive(x.lastDial(), idA+" overload - 0\r\n\r\n") }, false},
		"never accepted": {func(x *interleaving) {
			x.written[x.lastDial()] = 0
			x.closeConn(x.lastDial())
		}, false},
	} {
		for _, hedging := range []bool{false, true} {
			x := newInterleaving(t, "point")
			x.g.cfg.Settings.Rules.Limits.HedgedRequests = hedging
			x.receive(1, requestPacket("point", idA))
			first := x.lastDial()
			x.now += delay
			x.step(DialSucceeded{Conn: first})
			x.readOutput()
			if x.asks != 1 {
				t.Fatalf("%s: asked %d times at first", name, x.asks)
			}
			x.now += 5 * rules.Millisecond
			x.step(TimerFired{})
			c.end(x)
			again := func() bool { // another attempt has begun, whether its connection is up or not
				x.readOutput()
				return x.asks > 1 || len(x.dials) > 1
			}
			if waits := c.wait && !hedging; waits {
				x.advance(delay - rules.Millisecond)
				if again() {
					t.Errorf("%s: another attempt began while the end of the first was on its way", name)
				}
			}
			x.advance(2 * rules.Millisecond)
			if !again() {
				t.Errorf("%s, hedging %v: no further attempt began", name, hedging)
			}
		}
	}
}

// While the end of an attempt is on its way, its client goes or kills the query, its deadline comes, or the process shuts down: the request
// ends as usual, its engine is told once, and no state is left. A connection that took long to come up makes no request wait for long.
func TestTerminatingAttemptEndsWithItsRequest(t *testing.T) {
	const delay = 40 * rules.Millisecond
	start := func(timeout int, dialTime rules.Time) *interleaving {
		x := newInterleaving(t, "point")
		x.receive(1, string(queryPacket(fmt.Sprintf("/* kind=point,req=%s,timeout=%d,ms=5 */ SELECT 1 FROM sales_1.x", idA, timeout))))
		x.g.armedFor = x.now + dialTime // the process is not stopped: no timer is late
		x.now += dialTime
		x.step(DialSucceeded{Conn: x.lastDial()})
		x.g.runAction(rules.Cancel{ID: idA, Attempt: 0})
		x.flush()
		return x
	}
	for name, c := range map[string]struct {
		timeout, answers int
		end              func(x *interleaving)
	}{
		"client goes": {2000, 0, func(x *interleaving) { x.closeConn(1) }},
		"killed": {2000, 0, func(x *interleaving) {
			x.receive(killerConn, string(queryPacket(fmt.Sprintf("KILL QUERY %d", x.g.clients[1].session))))
		}},
		"deadline": {80, 1, func(x *interleaving) { x.advance(30 * rules.Millisecond) }},
		"terminate": {80, 1, func(x *interleaving) {
			x.step(ShutdownRequested{})
			x.advance(30 * rules.Millisecond)
		}},
	} {
		x := start(c.timeout, delay)
		first := x.lastDial()
		c.end(x)
		x.readOutput()
		if len(x.g.requests) != 0 || x.answers != c.answers {
			t.Errorf("%s: %d requests stay, %d answers, want %d", name, len(x.g.requests), x.answers, c.answers)
		}
		x.advance(2 * delay)
		x.readOutput()
		if got := string(x.output[first]); strings.Count(got, "QUIT") != 1 || len(x.dials) > 1 || x.answers != c.answers {
			t.Errorf("%s: the engine got %q, %d dials, %d answers", name, got, len(x.dials), x.answers)
		}
		if n := x.g.stats.classes[0].attemptsInFlight; n != 0 {
			t.Errorf("%s: %d attempts still count as running", name, n)
		}
	}
	x := start(2000, 240*rules.Millisecond)
	if x.advance(x.g.limits.MaxNetworkMargin - rules.Millisecond); len(x.dials) > 1 {
		t.Error("another attempt began while the end of the first was on its way")
	}
	if x.advance(2 * rules.Millisecond); len(x.dials) < 2 {
		t.Error("an attempt on a connection that came up late keeps its request waiting")
	}
}

// Answers that can't be read end their connection; the requests on it are cancelled there first, by name.
func TestMalformedConnectionCancelsByName(t *testing.T) {
	gw := newTestGateway(t)
	connID := gw.sendToEngine("point")
	gw.takeOutput(connID)
	gw.receive(connID, "\x00\x01\x02")
	if got := gw.takeOutput(connID); got != "QUIT "+idA+"\r\n" || !gw.closed[connID] {
		t.Errorf("the engine got %q, closed %v", got, gw.closed[connID])
	}
}
