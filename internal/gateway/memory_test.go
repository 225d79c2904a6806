package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/memory"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// A client that does not read its answers must not make the gateway hold more of them: its commands wait until it has
// read. Its timeout has passed on meanwhile.
func TestCommandsOfABlockedClientWait(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.step(WriteBlocked{Conn: 1, Pending: 5000})
	gw.receive(1, requestPacket("point", idA))
	if len(gw.g.requests) != 0 || gw.g.memory.Used(memory.ClientInput) == 0 || gw.g.memory.Used(memory.ClientOutput) != 5000 {
		t.Fatalf("%d requests, %d bytes of input, %d of output", len(gw.g.requests), gw.g.memory.Used(memory.ClientInput), gw.g.memory.Used(memory.ClientOutput))
	}
	sentAt := gw.now
	gw.now += 300 * rules.Millisecond
	gw.step(WriteUnblocked{Conn: 1})
	req := gw.g.requests[idA]
	if req == nil || req.dueAt > sentAt+2*rules.Second || gw.g.memory.Total() != req.keptBytes || req.keptBytes <= int64(len(req.statement)) {
		t.Fatalf("request %+v, %d bytes in the account", req, gw.g.memory.Total())
	}
	gw.receive(1, string(packet(0, []byte{1}))) // a command while a query is open: closed without an answer to it
	gw.step(ConnectionClosed{Conn: 1})
	if n := gw.g.memory.Total(); n != 0 {
		t.Errorf("%d bytes are left in the account", n)
	}
}

// A blocked client that goes on sending commands is closed, though its packets are complete.
func TestBlockedClientThatGoesOnSendingIsClosed(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.step(WriteBlocked{Conn: 1, Pending: 5000})
	gw.takeOutput(1)
	for range 60 {
		gw.receive(1, strings.Repeat(string(packet(0, []byte{14})), 1000))
	}
	if !gw.closed[1] {
		t.Errorf("a client with %d bytes of commands is open", gw.g.memory.Used(memory.ClientInput))
	}
	if n, want := gw.g.memory.Used(memory.ClientOutput), int64(5000+len(gw.takeOutput(1))); n != want {
		t.Errorf("%d bytes of output in the account until the connection has ended, want %d", n, want)
	}
	gw.step(ConnectionClosed{Conn: 1})
	if n := gw.g.memory.Total(); n != 0 {
		t.Errorf("%d bytes are left in the account", n)
	}
}

// Results that clients do not read are bounded: the clients that have been blocked for longest are closed, and none that
// is owed an answer.
func TestUnreadResultsAreBounded(t *testing.T) {
	const clients, pending = 100, 60_000
	gw := newTestGateway(t)
	limit := gw.g.memory.Limits[memory.Results]
	gw.loginClient(1)
	gw.receive(1, requestPacket("point", idA))
	for id := ConnID(1); id <= clients; id++ {
		if id > 1 {
			gw.loginClient(id)
		}
		gw.now += rules.Millisecond
		gw.step(WriteBlocked{Conn: id, Pending: max(pending, 3*limit/clients)})
		if used := gw.g.memory.Used(memory.ClientOutput); used > limit {
			t.Fatalf("%d bytes are unread, want %d at most", used, limit)
		}
	}
	if gw.g.clients[1] == nil || gw.g.clients[2] != nil || gw.g.clients[clients] == nil {
		t.Errorf("open: the client with a request %v, the one blocked longest %v, the latest %v", gw.g.clients[1] != nil, gw.g.clients[2] != nil, gw.g.clients[clients] != nil)
	}
}

// Statements that engines do not read are bounded: an attempt that does not fit is not sent, and its request ends in time
// with an answer after which the client may send it again.
func TestUnreadStatementsAreBounded(t *testing.T) {
	gw := newTestGateway(t)
	conn := gw.sendToEngine("point")
	gw.step(WriteBlocked{Conn: conn, Pending: gw.g.memory.Limits[memory.EngineOutput]})
	gw.loginClient(2)
	gw.receive(2, requestPacket("point", idB))
	gw.advance(3 * rules.Second)
	if len(gw.dials) > 1 {
		t.Errorf("%d connections were dialled for statements that do not fit", len(gw.dials)-1)
	}
	if got := gw.takeOutput(2); !strings.Contains(got, "refused") {
		t.Errorf("the request that does not fit got %q", got)
	}
}

// A connection that has ended must not be kept by a list that is emptied and used again: its input buffer may be large.
func TestEndedConnectionsAreNotKept(t *testing.T) {
	gw := newTestGateway(t)
	const clients = 20
	for id := ConnID(1); id <= clients; id++ {
		gw.g.Step(gw.now, ConnectionAccepted{Conn: id})
		gw.g.Step(gw.now, &DataReceived{Conn: id, Data: loginPacket()})
	}
	gw.flush()
	for id := ConnID(1); id <= clients; id++ {
		gw.step(ConnectionClosed{Conn: id})
	}
	gw.flush()
	gw.flush()
	for _, buffer := range gw.g.dirtyBuffers[:cap(gw.g.dirtyBuffers)] {
		if buffer != nil {
			t.Fatalf("the list of buffers to be written keeps connection %d", buffer.id)
		}
	}
	for _, batch := range []*effectBatch{gw.g.effects, gw.g.lastEffects} {
		for _, write := range batch.writes[:cap(batch.writes)] {
			if len(batch.list) == 0 && write.Data != nil {
				t.Fatalf("a batch of effects keeps %d bytes", cap(write.Data))
			}
		}
	}
}

// While clients with unread results are closed, the end of the first one makes admission control reject requests that
// have expired. Their clients exceed the quota of idle connections, so that the second one is closed as well. It must
// not be ended twice, which would free its slot twice.
func TestUnreadClientIsClosedOnce(t *testing.T) {
	const quota, queued = 2, 2
	configure := withAdmission(t, fmt.Sprintf(admissionSiteFormat, 1), 70, 60)
	gw := newTestGatewayWith(t, func(cfg *config.Config) {
		configure(cfg)
		cfg.Limits.ClientQuota = quota
	}, oneHost)
	ping := string(packet(0, []byte{byte(mysql.ComPing)}))
	for id := range ConnID(quota) {
		gw.loginClient(id + 1)
		gw.receive(id+1, ping)
	}
	for id := ConnID(quota + 1); gw.g.admission.controller.Stats().Queued < queued; id++ {
		gw.loginClient(id)
		gw.receive(id, string(queryPacket(fmt.Sprintf("/* kind=point,req=%016x,timeout=300 */ SELECT 1 FROM sales_1.x", id))))
	}
	gw.step(WriteBlocked{Conn: 1, Pending: 1000})
	gw.advance(rules.Time(gw.g.admission.wakeAt) - gw.now - 1) // the requests expire with the next event
	gw.now += rules.Millisecond
	gw.step(WriteBlocked{Conn: 2, Pending: 2 * gw.g.memory.Limits[memory.Results]})
	if !gw.closed[2] || gw.g.clients[1] != nil {
		t.Fatal("the unread clients are open: the test does not reach the case")
	}
	conns := &gw.g.admission.conns
	if open := len(gw.g.clients); len(conns.free) != len(conns.slots)-open {
		t.Errorf("%d of %d slots are free with %d clients", len(conns.free), len(conns.slots), open)
	}
}
