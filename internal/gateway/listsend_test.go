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

// leaver is a gateway that knows one engine, which is about to leave the list, and gets a second one with that.
type leaver struct {
	*bench
	serial uint32
	addrs  map[ConnID]netip.AddrPort
	seen   map[ConnID]int
	asks   map[netip.AddrPort]int // by address
	last   ConnID                 // of a client
}

func newLeaver(t *testing.T) *leaver {
	return &leaver{bench: newBench(t), serial: 1, addrs: map[ConnID]netip.AddrPort{}, seen: map[ConnID]int{}, asks: map[netip.AddrPort]int{}}
}

// look counts the requests that were written to each address since the last look.
func (l *leaver) look() {
	for _, e := range l.g.order {
		for _, k := range e.links {
			if _, ok := l.addrs[k.id]; !ok {
				l.addrs[k.id] = e.entry.Addr
			}
		}
	}
	for id, out := range l.sent {
		if id&dialled != 0 {
			l.asks[l.addrs[id]] += strings.Count(string(out[l.seen[id]:]), "ASK ")
			l.seen[id] = len(out)
		}
	}
}

var otherHost = standin.Host{ID: "s-00000002", Zone: "hall-b", Kind: "std-16", Weight: 4, Addr: netip.MustParseAddrPort("127.8.1.2:7001")}

// list has the name service tell a list now.
func (l *leaver) list(hosts ...standin.Host) {
	l.look()
	l.serial++
	l.step(DNSResponse, 0, string(standin.Answer(l.g.asked[(l.g.askedNum-1)%len(l.g.asked)], listName, l.serial, hosts)))
	l.look()
}

// up has every dial come up that has not.
func (l *leaver) up() {
	l.look()
	for _, id := range l.dials {
		if k := l.g.links[id]; k != nil && !k.up {
			l.step(DialSucceeded, id, "")
		}
	}
	l.look()
}

// ask has a new client ask.
func (l *leaver) ask(id string) {
	l.last++
	l.client(l.last)
	l.step(DataReceived, l.last, string(query(fmt.Sprintf("/* kind=point,req=%s,timeout=8000 */ SELECT 1 FROM sales_1.x", id))))
	l.look()
}

// serveOne has the engine serve a request, so that a connection to it is up, and forgets it.
func (l *leaver) serveOne() {
	l.ask(idB)
	l.up()
	l.step(DataReceived, l.dials[0], idB+" served total=1 0\r\n\r\n")
	l.look()
	l.asks = map[netip.AddrPort]int{}
}

// leavings are what may become of the engine, by name: the list that tells it.
var leavings = map[string]func() []standin.Host{
	"draining": func() []standin.Host { h := oneHost; h.Draining = true; return []standin.Host{h, otherHost} },
	"gone":     func() []standin.Host { return []standin.Host{otherHost} },
	"replaced": func() []standin.Host { // under the same id, by a process elsewhere
		h := oneHost
		h.Addr, h.Started = netip.MustParseAddrPort("127.8.1.9:7001"), 1_700_000_000_500
		return []standin.Host{h, otherHost}
	},
	"replaced by another at its address": func() []standin.Host {
		h := oneHost
		h.ID = "s-00000009"
		return []standin.Host{h}
	},
}

// A request crosses the list that its engine has left, in each of the places where it may be: nothing of it goes to where that
// engine was, but to one that serves, and it is answered.
func TestNoSendCrossesTheList(t *testing.T) {
	for name, leaving := range leavings {
		t.Run(name, func(t *testing.T) {
			for place, cross := range map[string]func(l *leaver, tell func()){
				"queued": func(l *leaver, tell func()) {
					l.serveOne() // a connection is up
					drained := oneHost
					drained.Draining = true
					l.list(drained) // nothing serves: it is held
					for i := range 8 {
						l.ask(fmt.Sprintf("%016x", 0xc0+i))
					}
					tell()
				},
				"waits for a dial": func(l *leaver, tell func()) { l.ask(idA); tell() },
				"waits behind a stall": func(l *leaver, tell func()) {
					l.serveOne()
					l.now += 400 * rules.Millisecond // its timers are late
					l.ask(idA)
					tell()
				},
				"to be repeated": func(l *leaver, tell func()) {
					l.ask(idA)
					l.up()
					l.look()
					l.asks = map[netip.AddrPort]int{}
					tell()
					l.step(DataReceived, l.dials[0], idA+" overload - 0\r\n\r\n")
				},
				"told by a reload": func(l *leaver, tell func()) {
					l.ask(idA)
					cfg := l.g.cfg
					cfg.Known.Seq, cfg.Known.Engines = 9, nil
					for _, h := range leaving() {
						e := config.Engine{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, State: config.StateActive, Weight: 4, Started: h.Started}
						if h.Draining {
							e.State = config.StateLeaving
						}
						cfg.Known.Engines = append(cfg.Known.Engines, e)
					}
					l.look()
					l.g.Step(l.now, Event{Kind: ConfigReloaded, Config: &cfg})
					l.flush()
				},
			} {
				l := newLeaver(t)
				cross(l, func() { l.list(leaving()...) })
				for range 40 {
					l.up()
					l.pass(50 * rules.Millisecond)
				}
				l.look()
				served := 0
				for addr, n := range l.asks {
					if addr == oneHost.Addr && n > 0 && name != "replaced by another at its address" {
						t.Errorf("%s: %d requests went to where the engine was", place, n)
					} else {
						served += n
					}
				}
				if served == 0 {
					t.Errorf("%s: nothing went to an engine that serves", place)
				}
			}
		})
	}
}

// A connection that was being made to an engine that has gone is not used for another one at its address.
func TestDialToOneThatHasGoneServesNoOther(t *testing.T) {
	l := newLeaver(t)
	l.ask(idA)
	l.list(leavings["replaced by another at its address"]()...)
	if len(l.dials) < 2 || !l.shut[l.dials[0]] {
		t.Fatalf("%d dials, the first one given up: %v", len(l.dials), l.shut[l.dials[0]])
	}
	l.step(DialSucceeded, l.dials[0], "")
	if out := string(l.sent[l.dials[0]]); strings.Contains(out, "ASK") {
		t.Errorf("the first connection got %q", out)
	}
}
