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

// reconfigure goes over to the name service of a configuration that was read again.
// Its numbers continue those of the last one, so the list stays until a later
// one is told, by the file or by the name service.
func (g *Gateway) reconfigure(cfg *config.Config) {
	g.log(Info, "configuration read again", Attr{"dns", cfg.DNS.String()}, Attr{"seq", cfg.InitialList.Seq})
	g.cfg = *cfg
	g.reconfigureAdmission()
	g.reconfigureZones()
	g.reconfigurePeers()
	if g.results != nil {
		budget := cfg.Site.Spool.Budget
		g.handleSpool(spool.Event{Kind: spool.SetBudget, Budget: &budget})
	}
	g.renewSocket(cfg.DNS)
	g.list.Reload(g.now, cfg.InitialList.Seq, cfg.InitialList.Engines)
	g.applyChanged()
	g.sendQuery()
}

// applyChanged takes the list over where an answer or the time has changed it.
func (g *Gateway) applyChanged() {
	if engines, ok := g.list.Changed(); ok {
		g.applyList(engines, rules.UpdateDelta)
	}
}

// nameService is what is remembered of the name service as a way, whatever it says.
type nameService struct {
	lastAnswer  rules.Time // when an answer last came, usable or not
	socketSince rules.Time // when it was last asked from a new socket
	renewAfter  rules.Time // of silence until that is done again
	listAsOf    rules.Time // when the latest query was sent whose answer held the list that holds: it is as of then or later

	// Since the last line of the log.
	answers       int
	slowestAnswer rules.Time // from a query to its answer
	oldestList    rules.Time // age of the list
}

// renewSocket asks the name service at an address from a new socket.
func (g *Gateway) renewSocket(addr netip.AddrPort) {
	g.nameService.socketSince = g.now
	g.emit(SetNameServer{Addr: addr})
}

// renewSocketIfSilent asks from a new socket where the name service has said nothing for a while: what lies between may
// have forgotten the old one, and it would stay silent for good. Each time the pause is twice as long, so that
// answers that are late by seconds still find the socket that asked.
func (g *Gateway) renewSocketIfSilent() {
	service := &g.nameService
	if g.now-max(service.lastAnswer, service.socketSince) < service.renewAfter {
		return
	}
	g.log(Warn, "name service: silent, asked from a new socket", Attr{"silent_ms", int64((g.now - service.lastAnswer) / rules.Millisecond)})
	service.renewAfter = min(2*service.renewAfter, g.limits.MaxListDelay)
	g.renewSocket(g.cfg.DNS)
}

// poll asks the name service, again and again.
func (g *Gateway) poll() {
	g.list.Tick(g.now)
	g.applyChanged()
	g.renewSocketIfSilent()
	g.sendQuery()
	g.timers.add(timer{at: g.now + g.limits.PollInterval, kind: timerPoll})
}

func (g *Gateway) sendQuery() {
	id := uint16(g.rng.Uint32())
	g.queryIDs[g.queryCount%len(g.queryIDs)], g.queryTimes[g.queryCount%len(g.queryIDs)] = id, g.now
	g.queryCount++
	g.emit(QueryDNS{Data: dns.AppendQuery(nil, id, listName)})
}

// receiveDatagram takes an answer. Whatever is wrong with it, the last list stays.
func (g *Gateway) receiveDatagram(msg []byte) {
	id, ok := dns.ID(msg)
	query, found := g.findQuery(id)
	if !ok || !found {
		g.log(Warn, "name service: answer to nothing that was asked", Attr{"bytes", len(msg)})
		return
	}
	g.nameService.lastAnswer, g.nameService.renewAfter = g.now, g.limits.ResolverTimeout
	answer, err := dns.Parse(msg, id, listName)
	if err != nil {
		g.log(Warn, "name service: unusable answer", Attr{"error", err.Error()})
		return
	}
	g.applyAnswer(query, answer.Serial, enginesOf(answer.Hosts))
	g.applyChanged()
}

// applyAnswer hands a usable answer to the list and notes what became of it.
func (g *Gateway) applyAnswer(query int, serial uint32, engines []config.Engine) {
	asked, had := g.queryTimes[query%len(g.queryIDs)], g.list.Serial()
	verdict := g.list.Apply(g.now, discovery.Answer{QuerySeq: uint64(query) + 1, Serial: serial, Engines: engines})
	g.recordAnswer(asked, verdict)
	attrs := []Attr{{"serial", serial}, {"had", had}, {"engines", len(engines)}, {"asked_ms", milliseconds(g.now - asked)}}
	switch verdict {
	case discovery.Newer:
		g.log(Info, "name service: new list", attrs...)
	case discovery.Unordered:
		g.log(Warn, "name service: another list, not a newer one", attrs...)
	case discovery.Renumbered:
		g.log(Warn, "name service: numbers have begun anew", attrs...)
	}
}

// enginesOf translates the hosts of an answer.
func enginesOf(hosts []dns.Host) []config.Engine {
	engines := make([]config.Engine, 0, len(hosts))
	for _, host := range hosts {
		entry := config.Engine{ID: host.ID, Addr: host.Addr, Zone: host.Zone, Kind: host.Kind, Cell: host.Cell,
			State: config.StateActive, Weight: float64(host.Weight) / weightScale, Started: host.Started}
		if host.Priority > 0 {
			entry.State = config.StateDraining
		}
		engines = append(engines, entry)
	}
	return engines
}

// findQuery is the place of the query with an id among all that were sent, if an answer to it may still come.
func (g *Gateway) findQuery(id uint16) (query int, ok bool) {
	for i := range min(g.queryCount, len(g.queryIDs)) {
		query = g.queryCount - 1 - i
		if g.now-g.queryTimes[query%len(g.queryIDs)] > g.limits.MaxListDelay {
			return 0, false // what it could tell counts as told
		}
		if g.queryIDs[query%len(g.queryIDs)] == id {
			return query, true
		}
	}
	return 0, false
}

// recordAnswer counts a usable answer, and notes as of when the list is known to hold.
func (g *Gateway) recordAnswer(asked rules.Time, verdict discovery.Verdict) {
	service := &g.nameService
	service.answers++
	service.slowestAnswer = max(service.slowestAnswer, g.now-asked)
	if verdict == discovery.Unordered || verdict == discovery.Late {
		return
	}
	service.oldestList = max(service.oldestList, g.now-service.listAsOf)
	service.listAsOf = max(service.listAsOf, asked)
}

// logNameService notes what the name service has said since the last such line.
func (g *Gateway) logNameService() {
	service := &g.nameService
	g.log(Info, "name service", Attr{"serial", g.list.Serial()}, Attr{"answers", service.answers}, Attr{"slowest_ms", milliseconds(service.slowestAnswer)},
		Attr{"oldest_ms", milliseconds(max(service.oldestList, g.now-service.listAsOf))})
	service.answers, service.slowestAnswer, service.oldestList = 0, 0, 0
}

func milliseconds(t rules.Time) int64 { return int64(t / rules.Millisecond) }
