package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/rules"
)

// Guards against an effect that is repeated: an id ran twice when it came again after its client had left, or after an answer.
func TestUnsafeRequestRunsOnceThoughItsIDComesAgain(t *testing.T) {
	for name, end := range map[string]func(gw *testGateway, engine ConnID){
		"client left":     func(gw *testGateway, _ ConnID) { gw.closeConn(1) },
		"query killed":    func(gw *testGateway, _ ConnID) { gw.killQuery(1) },
		"failed":          func(gw *testGateway, engine ConnID) { gw.receive(engine, idA+" crashed - 0\r\n\r\n") },
		"served":          func(gw *testGateway, engine ConnID) { gw.receive(engine, servedAnswer(idA, "first")) },
		"connection lost": func(gw *testGateway, engine ConnID) { gw.closeConn(engine) },
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t)
			end(gw, gw.sendToEngine("load"))
			gw.advance(300 * rules.Millisecond)
			gw.loginClient(2)
			gw.takeOutput(2)
			gw.receive(2, requestPacket("load", idA))
			gw.connectDials()
			if asked := gw.askedFor(idA); asked != 1 {
				t.Errorf("the request was written to engines %d times", asked)
			}
			if got := gw.takeOutput(2); !strings.Contains(got, "may have run") {
				t.Errorf("the second client got %q", got)
			}
		})
	}
}

// A request that provably has not run may come again with its ID.
func TestIDOfUnexecutedRequestMayComeAgain(t *testing.T) {
	gw := newTestGateway(t)
	engine := gw.sendToEngine("load")
	gw.receive(engine, idA+" overload - 0\r\n\r\n")
	gw.closeConn(1)
	gw.advance(300 * rules.Millisecond)
	gw.loginClient(2)
	gw.takeOutput(2)
	gw.receive(2, requestPacket("load", idA))
	if got := gw.takeOutput(2); strings.Contains(got, "may have run") || gw.g.requests[idA] == nil {
		t.Errorf("not accepted: %q", got)
	}
}

// Guards against another client's rows: the late answer to a request whose client has left was taken for that to a later
// request with the same id on the same connection.
func TestLateAnswerReachesNoLaterRequestWithSameID(t *testing.T) {
	gw := newTestGateway(t)
	former := gw.sendToEngine("point")
	gw.closeConn(1)
	gw.loginClient(2)
	gw.takeOutput(2)
	gw.receive(2, requestPacket("point", idA))
	gw.connectDials()
	gw.receive(former, servedAnswer(idA, "first")) // it crossed the QUIT
	if got := gw.takeOutput(2); strings.Contains(got, "first") {
		t.Fatalf("the second client got the first one's rows: %q", got)
	}
	gw.receive(gw.dials[len(gw.dials)-1], servedAnswer(idA, "second"))
	if got := gw.takeOutput(2); !strings.Contains(got, "second") {
		t.Errorf("the second client got %q", got)
	}
}

// What is remembered of former requests is bounded, and the latest ones are kept.
func TestFormerRequestsAreBounded(t *testing.T) {
	former := newFormerRequests(10)
	conn := &engineConn{outputBuffer: outputBuffer{id: 7}}
	for i := range 100 {
		req := &queryRequest{id: rules.RequestID(fmt.Sprint(i))}
		req.attempts = []*engineAttempt{{sent: true, status: rules.StatusTimeout, conn: conn}}
		former.add(req, false)
	}
	if len(former.byID) != 10 || len(former.ids) != 10 || !former.unsafeToRun("90", true) || former.unsafeToRun("89", false) {
		t.Errorf("%d of the latest 10 requests are remembered, %d by ID", len(former.ids), len(former.byID))
	}
	if conns := former.connsOf("95"); !conns.contain(7) || conns.contain(8) {
		t.Errorf("connections %v are remembered, want 7", conns)
	}
}

// servedAnswer returns an engine's complete answer of one row.
func servedAnswer(id, row string) string {
	body := row + "\tb\tc\n"
	return fmt.Sprintf("%s served - %d\r\n%s\r\n", id, len(body), body)
}

// killQuery kills the query of a client on a new connection.
func (gw *testGateway) killQuery(client ConnID) {
	const killer = 77
	gw.loginClient(killer)
	gw.receive(killer, string(queryPacket(fmt.Sprintf("KILL QUERY %d", gw.g.clients[client].session))))
}

// connectDials completes all dials.
func (gw *testGateway) connectDials() {
	for _, id := range gw.dials {
		if conn := gw.g.engineConns[id]; conn != nil && !conn.established {
			gw.step(DialSucceeded{Conn: id})
		}
	}
}

// askedFor returns how many times a request was written to engines since their output was last taken.
func (gw *testGateway) askedFor(id string) (n int) {
	for _, conn := range gw.dials {
		n += strings.Count(string(gw.output[conn]), "ASK "+id)
	}
	return n
}

// Guards against requests that are sent on after their client has left: a query that is read together with the end of its
// connection, or that still waits when that end is read, is not sent to an engine. A KILL that a client sent before it
// left is carried out.
func TestQueryOfLeavingClientIsNotSent(t *testing.T) {
	gw := newTestGateway(t)
	engine := gw.sendToEngine("point") // of client 1
	gw.loginClient(2)
	gw.step(ClientLeaving{Conn: 2})
	gw.receive(2, requestPacket("load", idB))
	gw.closeConn(2)
	gw.connectDials()
	if asked := gw.askedFor(idB); asked != 0 || gw.g.requests[idB] != nil {
		t.Errorf("a query of a client that has left was sent %d times, open: %v", asked, gw.g.requests[idB] != nil)
	}
	gw.loginClient(3)
	gw.step(ClientLeaving{Conn: 3})
	gw.receive(3, string(queryPacket(fmt.Sprintf("KILL QUERY %d", gw.g.clients[1].session))))
	gw.closeConn(3)
	if sent := string(gw.output[engine]); !strings.Contains(sent, "QUIT "+idA) {
		t.Errorf("the KILL of a client that left at once had no effect: the engine got %q", sent)
	}
	if gw.g.unanswered != 0 || len(gw.g.requests) != 0 {
		t.Errorf("%d requests are open", len(gw.g.requests))
	}
}

// The request of a client that has left ends before anything else of the batch may send it.
func TestWaitingRequestOfLeavingClientIsNotSent(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, requestPacket("load", idA)) // waits for a dial
	gw.step(ClientLeaving{Conn: 1})
	gw.connectDials()
	gw.closeConn(1)
	if asked := gw.askedFor(idA); asked != 0 {
		t.Errorf("the request was sent %d times after its client had left", asked)
	}
	if abandoned := gw.g.stats.classes[gw.g.classIndex["load"]].abandoned; abandoned != 1 || len(gw.g.requests) != 0 {
		t.Errorf("%d requests abandoned, %d open", abandoned, len(gw.g.requests))
	}
}
