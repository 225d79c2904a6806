package gateway

import (
	"net/netip"

	"foxlane/internal/config"
	"foxlane/internal/dns"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file follows the name service: when it is asked, from which socket, and what its answers change. Whatever is wrong
// with an answer, the last list stays.

// reload goes over to the name service of a configuration that was read again.
// Its numbers continue those of the last one, so the list stays until a later
// one is told, by the file or by the name service.
func (g *Gateway) reload(cfg *config.Config) {
	g.log(Info, "configuration read again", Attr{"dns", cfg.DNS.String()}, Attr{"seq", cfg.Known.Seq})
	g.cfg = *cfg
	g.retuneGate()
	g.retuneSites()
	g.retunePeers()
	if g.shelf != nil {
		budget := cfg.Site.Spool.Budget
		g.atShelf(spool.Event{Kind: spool.Retune, Budget: &budget})
	}
	g.turnTo(cfg.DNS)
	if newer(cfg.Known.Seq, g.serial) {
		g.serial = cfg.Known.Seq
		g.applyList(cfg.Known.Engines, rules.ListDelta)
	}
	g.query()
}

// source is what is remembered of the name service as a way, whatever it says.
type source struct {
	heard  rules.Time // when an answer last came, usable or not
	turned rules.Time // when it was last asked from a new socket
	pause  rules.Time // of silence until that is done again
	fresh  rules.Time // when the latest query was sent that has a usable answer: the list is as of then or later

	// Since the last line of the log.
	answers int
	slowest rules.Time // from a query to its answer
	oldest  rules.Time // age of the list
}

// turnTo asks the name service at an address from a new socket.
func (g *Gateway) turnTo(addr netip.AddrPort) {
	g.source.turned = g.now
	g.do(Effect{Kind: Names, Addr: addr})
}

// listenAnew asks from a new socket where the name service has said nothing for a while: what lies between may
// have forgotten the old one, and it would stay silent for good. Each time the pause is twice as long, so that
// answers that are late by seconds still find the socket that asked.
func (g *Gateway) listenAnew() {
	s := &g.source
	if g.now-max(s.heard, s.turned) < s.pause {
		return
	}
	g.log(Warn, "name service: silent, asked from a new socket", Attr{"silent_ms", int64((g.now - s.heard) / rules.Millisecond)})
	s.pause = min(2*s.pause, g.lim.ListTold)
	g.turnTo(g.cfg.DNS)
}

// newer compares numbers of lists as RFC 1982 does serials: they go round.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// poll asks the name service, again and again.
func (g *Gateway) poll() {
	g.listenAnew()
	g.query()
	g.timers.add(timer{at: g.now + g.lim.PollEvery, kind: timerPoll})
}

func (g *Gateway) query() {
	id := uint16(g.rng.Uint32())
	g.asked[g.askedNum%len(g.asked)], g.askedAt[g.askedNum%len(g.asked)] = id, g.now
	g.askedNum++
	g.do(Effect{Kind: Query, Data: dns.AppendQuery(nil, id, listName)})
}

// datagram takes an answer. Whatever is wrong with it, the last list stays.
func (g *Gateway) datagram(msg []byte) {
	id, ok := dns.ID(msg)
	asked, found := g.whenAsked(id)
	if !ok || !found {
		g.log(Warn, "name service: answer to nothing that was asked", Attr{"bytes", len(msg)})
		return
	}
	g.source.heard, g.source.pause = g.now, g.lim.ListSilent
	a, err := dns.Parse(msg, id, listName)
	if err != nil {
		g.log(Warn, "name service: unusable answer", Attr{"error", err.Error()})
		return
	}
	g.noteAnswer(asked)
	if !newer(a.Serial, g.serial) {
		if a.Serial != g.serial {
			g.log(Warn, "name service: older list", Attr{"serial", a.Serial}, Attr{"have", g.serial}, Attr{"asked_ms", milliseconds(g.now - asked)})
		}
		return
	}
	engines := make([]config.Engine, 0, len(a.Hosts))
	for _, h := range a.Hosts {
		e := config.Engine{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
			State: config.StateActive, Weight: float64(h.Weight) / weightScale, Started: h.Started}
		if h.Priority > 0 {
			e.State = config.StateLeaving
		}
		engines = append(engines, e)
	}
	g.serial = a.Serial
	g.log(Info, "name service: new list", Attr{"serial", a.Serial}, Attr{"engines", len(engines)}, Attr{"asked_ms", milliseconds(g.now - asked)})
	g.applyList(engines, rules.ListDelta)
}

// whenAsked is when the query with an id was sent, if an answer to it may still come.
func (g *Gateway) whenAsked(id uint16) (at rules.Time, ok bool) {
	for i := range min(g.lim.Polls, g.askedNum, len(g.asked)) {
		if n := (g.askedNum - 1 - i) % len(g.asked); g.asked[n] == id {
			return g.askedAt[n], true
		}
	}
	return 0, false
}

// noteAnswer counts a usable answer, and for how long the list was as old as the answers before it.
func (g *Gateway) noteAnswer(asked rules.Time) {
	s := &g.source
	s.answers++
	s.slowest = max(s.slowest, g.now-asked)
	s.oldest = max(s.oldest, g.now-s.fresh)
	s.fresh = max(s.fresh, asked)
}

// logSource notes what the name service has said since the last such line.
func (g *Gateway) logSource() {
	s := &g.source
	g.log(Info, "name service", Attr{"serial", g.serial}, Attr{"answers", s.answers}, Attr{"slowest_ms", milliseconds(s.slowest)},
		Attr{"oldest_ms", milliseconds(max(s.oldest, g.now-s.fresh))})
	s.answers, s.slowest, s.oldest = 0, 0, 0
}

func milliseconds(t rules.Time) int64 { return int64(t / rules.Millisecond) }
