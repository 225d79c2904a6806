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

// A request that is read after a stall may have waited in its socket for as long. Its engine still gets no more time
// than the client waits.
func TestDeadlinesAfterStall(t *testing.T) {
	for seed := range seeds(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 0)
			for at := 500 * rules.Millisecond; at < 6*rules.Second; at += 1500 * rules.Millisecond {
				sim.schedule(at, func() { sim.pauseProcess(900 * rules.Millisecond) })
			}
			sim.play(6 * rules.Second)
			for _, violation := range sim.violations {
				if strings.Contains(violation, "to run, and its client waits") {
					t.Error(violation)
				}
			}
		})
	}
}

// After a stall, timers are due before the process has read the input that arrived meanwhile. Requests whose clients
// disconnected or killed them during the stall must not be sent to an engine.
func TestNothingIsSentForClientsGoneDuringStall(t *testing.T) {
	abandoned := 0
	for seed := range seeds(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 0)
			for at := 500 * rules.Millisecond; at < 6*rules.Second; at += 1500 * rules.Millisecond {
				sim.schedule(at, func() { sim.pauseProcess(600 * rules.Millisecond) })
				sim.schedule(at+100*rules.Millisecond, func() {
					for _, req := range sim.requests {
						if !req.finished {
							sim.abandonRequest(req)
							abandoned++
						}
					}
				})
			}
			sim.play(6 * rules.Second)
			for _, violation := range sim.violations {
				if strings.Contains(violation, "had gone") || strings.HasPrefix(violation, "rule 2") {
					t.Error(violation)
				}
			}
		})
	}
	if abandoned < 100 {
		t.Errorf("only %d requests were abandoned: the test covers too little", abandoned)
	}
}

// requestFrom connects a client and sends a request of a class that takes some milliseconds to run.
func (gw *testGateway) requestFrom(client ConnID, class, id string, work int) {
	gw.loginClient(client)
	gw.receive(client, string(queryPacket(fmt.Sprintf("/* kind=%s,req=%s,timeout=2000,ms=%d */ SELECT 1 FROM sales_1.x", class, id, work))))
}

// completeResult is an engine's answer to a request, with a result of one page.
func completeResult(id string) string {
	return id + " served total=1,elapsed=1,rss=1 6\r\na\tb\tc\n\r\n"
}

// gotResult reports whether a client received a result since the last call.
func (gw *testGateway) gotResult(client ConnID) bool {
	return strings.Contains(gw.takeOutput(client), "\x01a\x01b\x01c")
}

var pingPacket = string(packet(0, []byte{byte(mysql.ComPing)}))

const (
	idC       = "00000000000000cc"
	longPause = 400 * rules.Millisecond // its end counts as the end of a long stall
)

// After a stall, the end of a held back attempt closes its connection while the connections of its engine are ranged
// over. This must not end the process.
func TestConnectionClosesWhileSendsResume(t *testing.T) {
	gw := newTestGateway(t)
	conn := gw.sendToEngine("point")
	gw.requestFrom(2, "load", idB, 1500)
	other := gw.dials[1]
	gw.step(DialSucceeded{Conn: other})
	gw.now += longPause
	gw.requestFrom(3, "point", idC, 400)
	gw.closeConn(1) // its connection had no answer for long, and is retired
	gw.answerList(2, draining(oneHost))
	gw.advance(rules.Second)
	if !gw.closed[conn] {
		t.Fatal("the retired connection is open: the test does not reach the case")
	}
	if strings.Contains(gw.takeOutput(conn), idC) {
		t.Error("a request was sent to a draining engine")
	}
	gw.receive(other, completeResult(idB))
	if !gw.gotResult(2) {
		t.Error("the request on the other connection was not served")
	}
}

// Of two attempts that wait on a retired connection the first one is concluded. Its connection must stay open for the
// second one, which would otherwise be written to a closed connection and never reach the engine.
func TestConnectionStaysOpenForWaitingAttempts(t *testing.T) {
	gw := newTestGateway(t)
	conn := gw.sendToEngine("point")
	gw.now += longPause
	gw.requestFrom(2, "point", idB, 1000)
	gw.now += longPause // so that the attempt has waited for too long when sends resume
	gw.requestFrom(3, "point", idC, 1000)
	gw.closeConn(1) // its connection had no answer for long, and is retired
	gw.advance(longPause / 2)
	gw.receive(conn, completeResult(idC))
	if !gw.gotResult(3) {
		t.Errorf("the request was not served; written to its connection: %q", gw.takeOutput(conn))
	}
	gw.advance(rules.Millisecond)
	if !gw.closed[conn] {
		t.Error("the retired connection is open after its last attempt")
	}
}

// wakeAfterPause moves the clock forward and fires the timers that have become due, as a process does that was stopped:
// ahead of the input that arrived meanwhile.
func (gw *testGateway) wakeAfterPause(pause rules.Time) {
	gw.now += pause
	gw.step(TimerFired{})
}

// Input that arrived during a stall is read after timers have fired. Connections must not be closed for the lack of it,
// since their clients' requests would be lost.
func TestStallClosesNoClientWithUnreadInput(t *testing.T) {
	const pause = 1600 * rules.Millisecond
	request := requestPacket("point", idA)
	for name, play := range map[string]func(gw *testGateway){
		"idle": func(gw *testGateway) {
			gw.loginClient(1)
			gw.receive(1, pingPacket)
			gw.advance(gw.g.limits.ClientIdleTimeout - pause/2)
			gw.wakeAfterPause(pause)
			gw.receive(1, request)
		},
		"before its first command": func(gw *testGateway) {
			gw.loginClient(1)
			gw.advance(gw.g.limits.LoginTimeout - pause/2)
			gw.wakeAfterPause(pause)
			gw.receive(1, request)
		},
		"in an incomplete packet": func(gw *testGateway) {
			gw.loginClient(1)
			gw.receive(1, pingPacket+request[:20])
			gw.advance(gw.g.limits.LoginTimeout - pause/2)
			gw.wakeAfterPause(pause)
			gw.receive(1, request[20:])
		},
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t)
			play(gw)
			if gw.closed[1] || gw.g.requests[idA] == nil {
				t.Fatalf("closed: %v; written to the client: %q", gw.closed[1], gw.takeOutput(1))
			}
			gw.advance(gw.g.limits.LongSettleTime + gw.g.limits.MaxSettleTime)
			gw.step(DialSucceeded{Conn: gw.dials[0]})
			gw.receive(gw.dials[0], completeResult(idA))
			if !gw.gotResult(1) {
				t.Error("the request was not served")
			}
		})
	}
}

// A client that has sent nothing is closed for it after a stall, once pending input has been read.
func TestStallDelaysClosesOnly(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.wakeAfterPause(gw.g.limits.LoginTimeout + longPause)
	if gw.closed[1] {
		t.Error("the client was closed before pending input was read")
	}
	gw.advance(gw.g.limits.LongSettleTime + gw.g.limits.MaxSettleTime)
	if !gw.closed[1] {
		t.Error("the client is open")
	}
}

// The rest of an answer that arrived during a stall is read after timers have fired. The connection must not be ended
// for an incomplete answer, with all requests on it.
func TestStallEndsNoIncompleteAnswer(t *testing.T) {
	gw := newTestGateway(t)
	conn := gw.sendToEngine("load")
	answer := completeResult(idA)
	gw.receive(conn, answer[:len(answer)-4])
	gw.wakeAfterPause(longPause)
	gw.receive(conn, answer[len(answer)-4:])
	if gw.closed[conn] || !gw.gotResult(1) {
		t.Errorf("connection closed: %v; the request was not served", gw.closed[conn])
	}
}

// The answer to a probe that arrived during a stall is read after timers have fired. Its engine must not count as
// unreachable.
func TestStallFailsNoProbe(t *testing.T) {
	gw := newTestGateway(t)
	gw.g.startProbe(gw.g.engineOrder[0].id)
	gw.flush()
	conn := gw.dials[0]
	gw.step(DialSucceeded{Conn: conn})
	gw.wakeAfterPause(longPause)
	if len(gw.g.engineConns[conn].probes) != 1 {
		t.Error("the probe has ended before pending input was read")
	}
}

// Connections and requests that arrived during a stall are read after timers have fired, and after answers of engines.
// A gateway that shuts down must not exit before it has answered them.
func TestStallDelaysExit(t *testing.T) {
	for name, play := range map[string]func(gw *testGateway){
		"drain period over": func(gw *testGateway) {
			gw.step(ShutdownRequested{})
			gw.wakeAfterPause(1600 * rules.Millisecond)
		},
		"last open request answered": func(gw *testGateway) {
			gw.requestFrom(1, "load", idA, 2000)
			conn := gw.dials[0]
			gw.step(DialSucceeded{Conn: conn})
			gw.step(ShutdownRequested{})
			gw.advance(gw.g.limits.MinDrainPeriod + rules.Millisecond)
			gw.now += longPause
			gw.receive(conn, strings.Replace(completeResult(idA), "elapsed=1,", "elapsed=2000,", 1))
		},
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGateway(t)
			play(gw)
			if gw.exited {
				t.Fatal("the gateway exits before pending input is read")
			}
			gw.step(ConnectionAccepted{Conn: 2})
			gw.receive(2, string(loginPacket())+requestPacket("point", idB))
			gw.advance(gw.g.limits.LongSettleTime + gw.g.limits.MaxSettleTime)
			for _, conn := range gw.dials {
				gw.step(DialSucceeded{Conn: conn})
				gw.receive(conn, completeResult(idB))
			}
			if !gw.gotResult(2) || !gw.exited {
				t.Errorf("exited: %v; written to the client: %q", gw.exited, gw.takeOutput(2))
			}
		})
	}
}

// After a stall, new connections and answers of engines may be read before the requests of idle clients. These must not
// be evicted for them until all input has been read.
func TestStallEvictsNoClientWithUnreadInput(t *testing.T) {
	limited := func(maxClients, quota int) func(*config.Config) {
		return func(cfg *config.Config) { cfg.Limits.MaxClients, cfg.Limits.ClientQuota = maxClients, quota }
	}
	accept := func(gw *testGateway) { gw.step(ConnectionAccepted{Conn: 2}) }
	for name, test := range map[string]struct {
		configure func(*config.Config)
		readFirst func(gw *testGateway)
	}{
		"for a new connection":                 {limited(1, 1), accept},
		"for a new one with admission control": {withAdmission(t, fmt.Sprintf(admissionSiteFormat, 1), 1, 10), accept},
		"over the quota of idle connections":   {limited(10, 1), func(gw *testGateway) { gw.loginClient(2); gw.receive(2, pingPacket) }},
	} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGatewayWith(t, test.configure, oneHost)
			gw.loginClient(1)
			gw.receive(1, pingPacket)
			gw.wakeAfterPause(longPause)
			test.readFirst(gw)
			gw.receive(1, requestPacket("point", idA))
			if gw.closed[1] || gw.g.requests[idA] == nil {
				t.Fatalf("the idle client was closed: %v", gw.closed[1])
			}
			gw.loginClient(3)
			gw.receive(3, pingPacket)
			gw.advance(gw.g.limits.LongSettleTime + gw.g.limits.MaxSettleTime)
			if gw.closed[1] {
				t.Error("the client with a request was closed")
			}
			if open, idle := len(gw.g.clients), gw.g.idleClients.Len(); open > gw.g.limits.MaxClients || idle > gw.g.limits.ClientQuota {
				t.Errorf("%d clients are open, %d of them idle", open, idle)
			}
		})
	}
}

// The operating system accepts output during a stall, which is reported after timers have fired. A client must not be
// closed for the time in which its gateway stood still, while it reads its result.
func TestStallClosesNoClientThatReads(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(2)
	gw.loginClient(3)
	gw.step(WriteBlocked{Conn: 2, Pending: 1000})
	conn := gw.sendToEngine("load")
	// A result of two pages has to wait for memory.
	gw.g.memory.Add(memory.Results, gw.g.memory.Limits[memory.Results]-int64(gw.g.limits.MaxResultBytes)/2)
	gw.receive(conn, idA+" served total=2,elapsed=1,rss=1 6\r\na\tb\tc\n\r\n")
	gw.wakeAfterPause(longPause)
	gw.step(WriteBlocked{Conn: 3, Pending: 1000})
	if gw.g.clients[2] == nil {
		t.Error("the client was closed before the gateway has learned that it reads")
	}
	gw.advance(rules.Second)
	if gw.g.clients[2] != nil {
		t.Error("a client that does not read is open, though another result waits for memory")
	}
}

// Answers of the name service that arrived during a stall are read after timers have fired. Its silence meanwhile is no
// reason for a new socket, whose opening closes the one before the current one.
func TestStallKeepsNameServiceSocket(t *testing.T) {
	gw := newTestGateway(t)
	gw.now += 2 * gw.g.limits.ResolverTimeout
	gw.g.Step(gw.now, TimerFired{})
	for _, effect := range gw.g.Flush() {
		if _, ok := effect.(SetNameServer); ok {
			t.Error("the socket was renewed before pending input was read")
		}
	}
	if at := recordSocketRenewals(gw, rules.Second, nil); len(at) == 0 {
		t.Error("the socket of a silent name service was not renewed afterwards")
	}
}

// A process that always wakes late has short stalls without end. These must not postpone closes and the exit forever.
func TestRepeatedShortStallsPostponeForBoundedTime(t *testing.T) {
	gw := newTestGateway(t)
	gw.loginClient(1)
	gw.receive(1, pingPacket)
	wakeLate := func(until rules.Time) {
		for gw.now < until && !gw.exited {
			at, _ := gw.g.timers.next()
			gw.now = max(gw.now, at) + gw.g.limits.StallThreshold + 10*rules.Millisecond
			gw.step(TimerFired{})
		}
	}
	wakeLate(gw.now + gw.g.limits.ClientIdleTimeout + rules.Second)
	if !gw.closed[1] {
		t.Error("the idle client is open")
	}
	gw.step(ShutdownRequested{})
	wakeLate(gw.now + gw.g.limits.MinDrainPeriod + rules.Second)
	if !gw.exited {
		t.Error("the gateway has not exited")
	}
}

// Guards against requests that are never answered: a process that stalls for a short time again and again, as under a quota
// of processor time, held back all attempts for as long as clients sent anything.
func TestRepeatedShortStallsHoldSendsForBoundedTime(t *testing.T) {
	gw := newTestGateway(t)
	gw.receive(gw.sendToEngine("point"), servedAnswer(idA, "row"))
	gw.loginClient(2)
	gw.loginClient(3)
	began, sent := gw.now, false
	for n := 0; !sent && gw.now < began+2*rules.Second; n++ {
		at, _ := gw.g.timers.next()
		gw.now = max(gw.now, at) + gw.g.limits.StallThreshold + 10*rules.Millisecond
		gw.step(TimerFired{})
		gw.receive(3, pingPacket) // input extends the hold
		if n == 2 {
			gw.receive(2, requestPacket("point", idB))
		}
		sent = gw.askedFor(idB) > 0
	}
	if bound := gw.g.limits.LongSettleTime + gw.g.limits.MaxSettleTime + 200*rules.Millisecond; !sent || gw.now-began > bound {
		t.Errorf("the request was sent: %v, %d ms after the first stall", sent, milliseconds(gw.now-began))
	}
}
