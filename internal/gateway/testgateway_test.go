package gateway

import (
	"encoding/binary"
	"fmt"
	"net/netip"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// This file defines testGateway, which most tests step event by event, and the packets that clients send.

// testGateway is a Gateway with a clock set by the test. It records the effects that the Gateway returns.
type testGateway struct {
	t       *testing.T
	g       *Gateway
	now     rules.Time
	output  map[ConnID][]byte // data written to each connection since the last takeOutput
	closed  map[ConnID]bool   // connections closed by the gateway
	written map[ConnID]int64  // number of bytes written to each connection
	dials   []ConnID          // dialled connections, in order
	exited  bool
}

var oneHost = standin.Host{ID: "s-00000001", Zone: "hall-b", Kind: "std-16", Weight: 4,
	Addr: netip.MustParseAddrPort("127.8.1.1:7001")}

// newTestGateway returns a testGateway with one engine, oneHost.
func newTestGateway(t *testing.T) *testGateway { return newTestGatewayWith(t, nil, oneHost) }

// newTestGatewayWith returns a testGateway with the given engines. If modify is not nil, it changes the
// configuration first.
func newTestGatewayWith(t *testing.T, modify func(*config.Config), hosts ...standin.Host) *testGateway {
	gw := startTestGateway(t, modify, hosts...)
	gw.flush()
	return gw
}

// startTestGateway is like newTestGatewayWith, but leaves the effects of the start to the caller.
func startTestGateway(t *testing.T, modify func(*config.Config), hosts ...standin.Host) *testGateway {
	cfg := simConfig(t, hosts)
	if modify != nil {
		modify(&cfg)
	}
	now := 1_700_000_000 * rules.Second
	return &testGateway{t: t, now: now, g: New(cfg, now), output: map[ConnID][]byte{}, closed: map[ConnID]bool{}, written: map[ConnID]int64{}}
}

// flush records the gateway's pending effects.
func (gw *testGateway) flush() {
	for _, effect := range gw.g.Flush() {
		switch effect := effect.(type) {
		case *Write:
			gw.output[effect.Conn] = append(gw.output[effect.Conn], effect.Data...)
			gw.written[effect.Conn] += int64(len(effect.Data))
		case CloseConnection:
			gw.closed[effect.Conn] = true
		case Dial:
			gw.dials = append(gw.dials, effect.Conn)
		case Exit:
			gw.exited = true
		}
	}
}

// step passes an event to the gateway and records the effects.
func (gw *testGateway) step(event Event) {
	gw.g.Step(gw.now, event)
	gw.flush()
}

// receive passes data received on a connection to the gateway.
func (gw *testGateway) receive(conn ConnID, data string) {
	gw.step(&DataReceived{Conn: conn, Data: []byte(data)})
}

// closeConn reports the end of a connection that accepted all bytes written to it.
func (gw *testGateway) closeConn(conn ConnID) {
	gw.step(ConnectionClosed{Conn: conn, AcceptedBytes: gw.written[conn]})
}

// advance moves the clock forward by a duration and fires all timers that become due.
func (gw *testGateway) advance(duration rules.Time) {
	for end := gw.now + duration; ; {
		at, ok := gw.g.timers.next()
		if !ok || at > end {
			gw.now = end
			return
		}
		gw.now = max(gw.now, at)
		gw.step(TimerFired{})
	}
}

// loginClient connects a client and logs it in.
func (gw *testGateway) loginClient(id ConnID) {
	gw.step(ConnectionAccepted{Conn: id})
	gw.receive(id, string(loginPacket()))
}

// sendToEngine sends request idA from client 1 and completes the dial to the engine, which then receives the request.
func (gw *testGateway) sendToEngine(class string) (connID ConnID) {
	gw.loginClient(1)
	gw.receive(1, requestPacket(class, idA))
	connID = gw.dials[0]
	gw.step(DialSucceeded{Conn: connID})
	return connID
}

// answerList answers the latest name service query.
func (gw *testGateway) answerList(serial uint32, hosts ...standin.Host) {
	gw.answerQuery(gw.g.queryIDs[(gw.g.queryCount-1)%queryHistorySize], serial, hosts...)
}

// answerQuery answers the name service query id.
func (gw *testGateway) answerQuery(id uint16, serial uint32, hosts ...standin.Host) {
	gw.step(DNSResponse{Data: standin.EncodeAnswer(id, listName, serial, hosts)})
}

// draining returns a copy of host that is listed as draining.
func draining(host standin.Host) standin.Host {
	host.Draining = true
	return host
}

// requestPacket returns a query packet for a request of the given class.
func requestPacket(class, id string) string {
	return string(queryPacket(fmt.Sprintf("/* kind=%s,req=%s,timeout=2000 */ SELECT 1 FROM sales_1.x", class, id)))
}

const (
	idA = "00000000000000aa"
	idB = "00000000000000bb"
)

// takeOutput returns what was written to a connection since the last call.
func (gw *testGateway) takeOutput(id ConnID) string {
	out := string(gw.output[id])
	delete(gw.output, id)
	return out
}

// loginPacket returns a client's HandshakeResponse41 for user app and database main.
func loginPacket() []byte {
	p := binary.LittleEndian.AppendUint32(nil, 1<<9|1<<15|1<<3|1<<19)
	p = binary.LittleEndian.AppendUint32(p, 1<<24)
	p = append(p, 45)
	p = append(p, make([]byte, 23)...)
	p = append(p, "app\x00\x00main\x00mysql_native_password\x00"...)
	return packet(1, p)
}

func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}

func queryPacket(text string) []byte { return packet(0, append([]byte{3}, text...)) }

var otherHost = standin.Host{ID: "s-00000002", Zone: "hall-b", Kind: "std-16", Weight: 4, Addr: netip.MustParseAddrPort("127.8.1.2:7001")}
