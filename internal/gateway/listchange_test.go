package gateway

import (
	"fmt"
	"net/netip"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// listChange is a gateway with one engine. A change of the list drains, removes or replaces that engine.
type listChange struct {
	*testGateway
	serial         uint32
	addrs          map[ConnID]netip.AddrPort // addresses of the engine connections
	readUpTo       map[ConnID]int            // how much of each connection's output was read
	requestsByAddr map[netip.AddrPort]int    // number of requests written to each address
	lastClientConn ConnID                    // ID of the last client connection
}

func newListChange(t *testing.T) *listChange {
	return &listChange{testGateway: newTestGateway(t), serial: 1, addrs: map[ConnID]netip.AddrPort{}, readUpTo: map[ConnID]int{}, requestsByAddr: map[netip.AddrPort]int{}}
}

// readOutput counts the requests that were written to each address since its last call.
func (c *listChange) readOutput() {
	for _, eng := range c.g.engineOrder {
		for _, conn := range eng.conns {
			if _, ok := c.addrs[conn.id]; !ok {
				c.addrs[conn.id] = eng.entry.Addr
			}
		}
	}
	for id, out := range c.output {
		if id&dialledBit != 0 {
			c.requestsByAddr[c.addrs[id]] += strings.Count(string(out[c.readUpTo[id]:]), "ASK ")
			c.readUpTo[id] = len(out)
		}
	}
}

// sendList answers the latest name service query with a newer list.
func (c *listChange) sendList(hosts ...standin.Host) {
	c.readOutput()
	c.serial++
	c.step(DNSResponse{Data: standin.EncodeAnswer(c.g.queryIDs[(c.g.queryCount-1)%len(c.g.queryIDs)], listName, c.serial, hosts)})
	c.readOutput()
}

// completeDials completes all pending dials.
func (c *listChange) completeDials() {
	c.readOutput()
	for _, id := range c.dials {
		if conn := c.g.engineConns[id]; conn != nil && !conn.established {
			c.step(DialSucceeded{Conn: id})
		}
	}
	c.readOutput()
}

// sendRequest sends a request from a new client.
func (c *listChange) sendRequest(id string) {
	c.lastClientConn++
	c.loginClient(c.lastClientConn)
	c.receive(c.lastClientConn, string(queryPacket(fmt.Sprintf("/* kind=point,req=%s,timeout=8000 */ SELECT 1 FROM sales_1.x", id))))
	c.readOutput()
}

// serveOne lets the engine serve a request, so that a connection to it is up, and resets the counts.
func (c *listChange) serveOne() {
	c.sendRequest(idB)
	c.completeDials()
	c.receive(c.dials[0], idB+" served total=1 0\r\n\r\n")
	c.readOutput()
	c.requestsByAddr = map[netip.AddrPort]int{}
}

// listChanges are the changes of the engine by name, with the list after each.
var listChanges = map[string]func() []standin.Host{
	"draining": func() []standin.Host { host := oneHost; host.Draining = true; return []standin.Host{host, otherHost} },
	"removed":  func() []standin.Host { return []standin.Host{otherHost} },
	"replaced": func() []standin.Host { // under the same ID, by a process at another address
		host := oneHost
		host.Addr, host.Started = netip.MustParseAddrPort("127.8.1.9:7001"), 1_700_000_000_500
		return []standin.Host{host, otherHost}
	},
	"replaced by another at its address": func() []standin.Host {
		host := oneHost
		host.ID = "s-00000009"
		return []standin.Host{host}
	},
}

// The list changes while a request is in each of the states before it is written. The request is not written to the
// engine's old address, but to an engine that serves.
func TestNoSendToRemovedEngine(t *testing.T) {
	for name, listAfterChange := range listChanges {
		t.Run(name, func(t *testing.T) {
			for state, play := range map[string]func(change *listChange, apply func()){
				"queued": func(change *listChange, apply func()) {
					change.serveOne() // a connection is up
					drained := oneHost
					drained.Draining = true
					change.sendList(drained) // no engine serves: requests are queued
					for i := range 8 {
						change.sendRequest(fmt.Sprintf("%016x", 0xc0+i))
					}
					apply()
				},
				"waits for a dial": func(change *listChange, apply func()) { change.sendRequest(idA); apply() },
				"waits after a stall": func(change *listChange, apply func()) {
					change.serveOne()
					change.now += 400 * rules.Millisecond // its timers are late, so this is a stall
					change.sendRequest(idA)
					apply()
				},
				"to be retried": func(change *listChange, apply func()) {
					change.sendRequest(idA)
					change.completeDials()
					change.readOutput()
					change.requestsByAddr = map[netip.AddrPort]int{}
					apply()
					change.receive(change.dials[0], idA+" overload - 0\r\n\r\n")
				},
				"listed by a reload": func(change *listChange, apply func()) {
					change.sendRequest(idA)
					cfg := change.g.cfg
					cfg.InitialList.Seq, cfg.InitialList.Engines = 9, nil
					for _, host := range listAfterChange() {
						entry := config.Engine{ID: host.ID, Addr: host.Addr, Zone: host.Zone, Kind: host.Kind, State: config.StateActive, Weight: 4, Started: host.Started}
						if host.Draining {
							entry.State = config.StateDraining
						}
						cfg.InitialList.Engines = append(cfg.InitialList.Engines, entry)
					}
					change.readOutput()
					change.g.Step(change.now, ConfigReloaded{Config: &cfg})
					change.flush()
				},
			} {
				change := newListChange(t)
				play(change, func() { change.sendList(listAfterChange()...) })
				for range 40 {
					change.completeDials()
					change.advance(50 * rules.Millisecond)
				}
				change.readOutput()
				served := 0
				for addr, n := range change.requestsByAddr {
					if addr == oneHost.Addr && n > 0 && name != "replaced by another at its address" {
						t.Errorf("%s: %d requests were sent to the engine's old address", state, n)
					} else {
						served += n
					}
				}
				if served == 0 {
					t.Errorf("%s: no request was sent to an engine that serves", state)
				}
			}
		})
	}
}

// A pending dial to a removed engine is not used for another engine at its address.
func TestDialToRemovedEngineIsNotReused(t *testing.T) {
	change := newListChange(t)
	change.sendRequest(idA)
	change.sendList(listChanges["replaced by another at its address"]()...)
	if len(change.dials) < 2 || !change.closed[change.dials[0]] {
		t.Fatalf("%d dials, the first one cancelled: %v", len(change.dials), change.closed[change.dials[0]])
	}
	change.step(DialSucceeded{Conn: change.dials[0]})
	if out := string(change.output[change.dials[0]]); strings.Contains(out, "ASK") {
		t.Errorf("the first connection got %q", out)
	}
}

// Guards against work that goes to the wrong place: a process that has come up at the address of an engine that has gone,
// in another zone, gets nothing that is meant for that engine, though both are listed.
func TestNewEngineAtFormerAddressIsNotTakenForTheFormerOne(t *testing.T) {
	c := newListChange(t)
	c.sendRequest(idA)
	c.completeDials()
	c.receive(c.dials[0], servedAnswer(idA, "row"))
	former, next := oneHost, oneHost
	next.ID, next.Zone, next.Started = "s-0000000f", "hall-a", int64((c.now-rules.Second)/rules.Millisecond)
	c.sendList(former, next)
	dialledBefore := len(c.dials)
	c.sendRequest(idB)
	c.completeDials()
	for _, eng := range c.g.engineOrder {
		if eng.entry.ID == former.ID && eng.state != rules.EngineGone {
			t.Errorf("the former engine is in state %s", engineStateNames[eng.state])
		}
	}
	for _, id := range c.dials[:dialledBefore] {
		if strings.Contains(string(c.output[id]), "ASK "+idB) {
			t.Error("a request was written to a connection of the former engine")
		}
	}
	if req := c.g.requests[idB]; req == nil || len(req.attempts) > 0 && req.attempts[0].engine.entry.ID != next.ID {
		t.Errorf("the request went to another engine than %s, or has ended", next.ID)
	}
}
