package gateway

import (
	"net/netip"

	"foxlane/internal/config"
	"foxlane/internal/discovery"
	"foxlane/internal/dns"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file follows the name service: when it is asked, from which socket, and what becomes of its answers. Which list holds
// is decided by package discovery.

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
	g.list.Read(g.now, cfg.Known.Seq, cfg.Known.Engines)
	g.applyChanged()
	g.query()
}

// applyChanged takes the list over where an answer or the time has changed it.
func (g *Gateway) applyChanged() {
	if engines, ok := g.list.Changed(); ok {
		g.applyList(engines, rules.UpdateDelta)
	}
}

// source is what is remembered of the name service as a way, whatever it says.
type source struct {
	heard  rules.Time // when an answer last came, usable or not
	turned rules.Time // when it was last asked from a new socket
	pause  rules.Time // of silence until that is done again
	fresh  rules.Time // when the latest query was sent whose answer held the list that holds: it is as of then or later

	// Since the last line of the log.
	answers int
	slowest rules.Time // from a query to its answer
	oldest  rules.Time // age of the list
}

// turnTo asks the name service at an address from a new socket.
func (g *Gateway) turnTo(addr netip.AddrPort) {
	g.source.turned = g.now
	g.do(Effect{Kind: SetNameServer, Addr: addr})
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

// poll asks the name service, again and again.
func (g *Gateway) poll() {
	g.list.Tick(g.now)
	g.applyChanged()
	g.listenAnew()
	g.query()
	g.timers.add(timer{at: g.now + g.lim.PollEvery, kind: timerPoll})
}

func (g *Gateway) query() {
	id := uint16(g.rng.Uint32())
	g.asked[g.askedNum%len(g.asked)], g.askedAt[g.askedNum%len(g.asked)] = id, g.now
	g.askedNum++
	g.do(Effect{Kind: QueryDNS, Data: dns.AppendQuery(nil, id, listName)})
}

// datagram takes an answer. Whatever is wrong with it, the last list stays.
func (g *Gateway) datagram(msg []byte) {
	id, ok := dns.ID(msg)
	query, found := g.queryOf(id)
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
	g.takeAnswer(query, a.Serial, enginesOf(a.Hosts))
	g.applyChanged()
}

// takeAnswer hands a usable answer to the list and notes what became of it.
func (g *Gateway) takeAnswer(query int, serial uint32, engines []config.Engine) {
	asked, had := g.askedAt[query%len(g.asked)], g.list.Serial()
	verdict := g.list.Hear(g.now, discovery.Answer{Query: uint64(query) + 1, Serial: serial, Engines: engines})
	g.noteAnswer(asked, verdict)
	attrs := []Attr{{"serial", serial}, {"had", had}, {"engines", len(engines)}, {"asked_ms", milliseconds(g.now - asked)}}
	switch verdict {
	case discovery.Newer:
		g.log(Info, "name service: new list", attrs...)
	case discovery.Other:
		g.log(Warn, "name service: another list, not a newer one", attrs...)
	case discovery.Recounted:
		g.log(Warn, "name service: numbers have begun anew", attrs...)
	}
}

// enginesOf translates the hosts of an answer.
func enginesOf(hosts []dns.Host) []config.Engine {
	engines := make([]config.Engine, 0, len(hosts))
	for _, h := range hosts {
		e := config.Engine{ID: h.ID, Addr: h.Addr, Zone: h.Zone, Kind: h.Kind, Cell: h.Cell,
			State: config.StateActive, Weight: float64(h.Weight) / weightScale, Started: h.Started}
		if h.Priority > 0 {
			e.State = config.StateLeaving
		}
		engines = append(engines, e)
	}
	return engines
}

// queryOf is the place of the query with an id among all that were sent, if an answer to it may still come.
func (g *Gateway) queryOf(id uint16) (query int, ok bool) {
	for i := range min(g.askedNum, len(g.asked)) {
		query = g.askedNum - 1 - i
		if g.now-g.askedAt[query%len(g.asked)] > g.lim.ListTold {
			return 0, false // what it could tell counts as told
		}
		if g.asked[query%len(g.asked)] == id {
			return query, true
		}
	}
	return 0, false
}

// noteAnswer counts a usable answer, and notes as of when the list is known to hold.
func (g *Gateway) noteAnswer(asked rules.Time, verdict discovery.Verdict) {
	s := &g.source
	s.answers++
	s.slowest = max(s.slowest, g.now-asked)
	if verdict == discovery.Other || verdict == discovery.Late {
		return
	}
	s.oldest = max(s.oldest, g.now-s.fresh)
	s.fresh = max(s.fresh, asked)
}

// logSource notes what the name service has said since the last such line.
func (g *Gateway) logSource() {
	s := &g.source
	g.log(Info, "name service", Attr{"serial", g.list.Serial()}, Attr{"answers", s.answers}, Attr{"slowest_ms", milliseconds(s.slowest)},
		Attr{"oldest_ms", milliseconds(max(s.oldest, g.now-s.fresh))})
	s.answers, s.slowest, s.oldest = 0, 0, 0
}

func milliseconds(t rules.Time) int64 { return int64(t / rules.Millisecond) }
