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

// listChange is a gateway that knows one engine, which is about to drain or to be removed while a second one is added.
type listChange struct {
	*testGateway
	serial         uint32
	addrs          map[ConnID]netip.AddrPort
	readUpTo       map[ConnID]int
	asksByAddr     map[netip.AddrPort]int // by address
	lastClientConn ConnID                 // of a client
}

func newListChange(t *testing.T) *listChange {
	return &listChange{testGateway: newTestGateway(t), serial: 1, addrs: map[ConnID]netip.AddrPort{}, readUpTo: map[ConnID]int{}, asksByAddr: map[netip.AddrPort]int{}}
}

// readOutput counts the requests that were written to each address since the last look.
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
			c.asksByAddr[c.addrs[id]] += strings.Count(string(out[c.readUpTo[id]:]), "ASK ")
			c.readUpTo[id] = len(out)
		}
	}
}

// sendList has the name service answer with a newer list.
func (c *listChange) sendList(hosts ...standin.Host) {
	c.readOutput()
	c.serial++
	c.step(DNSResponse{Data: standin.EncodeAnswer(c.g.queryIDs[(c.g.queryCount-1)%len(c.g.queryIDs)], listName, c.serial, hosts)})
	c.readOutput()
}

// completeDials has every dial come up that has not.
func (c *listChange) completeDials() {
	c.readOutput()
	for _, id := range c.dials {
		if conn := c.g.engineConns[id]; conn != nil && !conn.up {
			c.step(DialSucceeded{Conn: id})
		}
	}
	c.readOutput()
}

// sendRequest has a new client ask.
func (c *listChange) sendRequest(id string) {
	c.lastClientConn++
	c.loginClient(c.lastClientConn)
	c.receive(c.lastClientConn, string(queryPacket(fmt.Sprintf("/* kind=point,req=%s,timeout=8000 */ SELECT 1 FROM sales_1.x", id))))
	c.readOutput()
}

// serveOne has the engine serve a request, so that a connection to it is up, and forgets it.
func (c *listChange) serveOne() {
	c.sendRequest(idB)
	c.completeDials()
	c.receive(c.dials[0], idB+" served total=1 0\r\n\r\n")
	c.readOutput()
	c.asksByAddr = map[netip.AddrPort]int{}
}

// listChanges are what may become of the engine, by name, and the list that says so.
var listChanges = map[string]func() []standin.Host{
	"draining": func() []standin.Host { host := oneHost; host.Draining = true; return []standin.Host{host, otherHost} },
	"gone":     func() []standin.Host { return []standin.Host{otherHost} },
	"replaced": func() []standin.Host { // under the same id, by a process elsewhere
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

// A request crosses the list that its engine has left, in each of the places where it may be: nothing of it goes to where that
// engine was, but to one that serves, and it is answered.
func TestNoSendToRemovedEngine(t *testing.T) {
	for name, leaving := range listChanges {
		t.Run(name, func(t *testing.T) {
			for state, play := range map[string]func(change *listChange, apply func()){
				"queued": func(change *listChange, apply func()) {
					change.serveOne() // a connection is up
					drained := oneHost
					drained.Draining = true
					change.sendList(drained) // nothing serves: it is held
					for i := range 8 {
						change.sendRequest(fmt.Sprintf("%016x", 0xc0+i))
					}
					apply()
				},
				"waits for a dial": func(change *listChange, apply func()) { change.sendRequest(idA); apply() },
				"waits behind a stall": func(change *listChange, apply func()) {
					change.serveOne()
					change.now += 400 * rules.Millisecond // its timers are late
					change.sendRequest(idA)
					apply()
				},
				"to be retried": func(change *listChange, apply func()) {
					change.sendRequest(idA)
					change.completeDials()
					change.readOutput()
					change.asksByAddr = map[netip.AddrPort]int{}
					apply()
					change.receive(change.dials[0], idA+" overload - 0\r\n\r\n")
				},
				"listed by a reload": func(change *listChange, apply func()) {
					change.sendRequest(idA)
					cfg := change.g.cfg
					cfg.InitialList.Seq, cfg.InitialList.Engines = 9, nil
					for _, host := range leaving() {
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
				play(change, func() { change.sendList(leaving()...) })
				for range 40 {
					change.completeDials()
					change.advance(50 * rules.Millisecond)
				}
				change.readOutput()
				served := 0
				for addr, n := range change.asksByAddr {
					if addr == oneHost.Addr && n > 0 && name != "replaced by another at its address" {
						t.Errorf("%s: %d requests went to where the engine was", state, n)
					} else {
						served += n
					}
				}
				if served == 0 {
					t.Errorf("%s: nothing went to an engine that serves", state)
				}
			}
		})
	}
}

// A connection that was being made to an engine that has gone is not used for another one at its address.
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
