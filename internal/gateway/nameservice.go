package gateway

import (
	"net/netip"

	"foxlane/internal/config"
	"foxlane/internal/discovery"
	"foxlane/internal/dns"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file follows the name service: when it is polled, from which socket, and what becomes of its answers. Which list of engines is
// valid is decided by package discovery.

// reconfigure takes over a configuration that was reloaded. Its list has serials of the same sequence as the last one's, so the list
// stays until the file or the name service has a newer one.
func (g *Gateway) reconfigure(cfg *config.Config) {
	g.log(Info, "configuration reloaded", Attr{"dns", cfg.DNS.String()}, Attr{keySerial, cfg.InitialList.Seq})
	g.cfg = *cfg
	g.reconfigureAdmission()
	g.reconfigureZones()
	g.reconfigurePeers()
	g.reconfigureDirectives()
	if g.results != nil {
		g.handleSpool(spool.SetBudget{Budget: cfg.Site.Spool.Budget})
	}
	g.renewSocket(cfg.DNS)
	g.list.Reload(g.now, cfg.InitialList.Seq, cfg.InitialList.Engines)
	g.applyChanged()
	g.sendQuery()
}

// applyChanged takes over the list if an answer or the time has changed it.
func (g *Gateway) applyChanged() {
	if engines, ok := g.list.Changed(); ok {
		g.applyList(engines, rules.UpdateDelta)
	}
}

// nameService is how the name service answers, whatever the answers say.
type nameService struct {
	lastAnswer  rules.Time // when an answer last came, well-formed or not
	socketSince rules.Time // when the socket was made from which it is asked
	renewAfter  rules.Time // of silence until a new socket is made
	listAsOf    rules.Time // when the latest query was sent whose answer confirmed the list

	// Since figures were last logged.
	answers       int
	slowestAnswer rules.Time // from a query to its answer
	oldestList    rules.Time // greatest age of the list
}

// renewSocket has the name service at an address asked from a new socket.
func (g *Gateway) renewSocket(addr netip.AddrPort) {
	g.nameService.socketSince = g.now
	g.emit(SetNameServer{Addr: addr})
}

// renewSocketIfSilent makes a new socket if the name service has been silent for a while: a middlebox may have forgotten the old one,
// and would drop all answers to it. The time until the next one doubles, so that answers that are late by seconds still find the
// socket that asked.
func (g *Gateway) renewSocketIfSilent() {
	service := &g.nameService
	if g.now-max(service.lastAnswer, service.socketSince) < service.renewAfter {
		return
	}
	g.log(Warn, "name service: silent, socket renewed", Attr{keySilent, milliseconds(g.now - service.lastAnswer)})
	service.renewAfter = min(2*service.renewAfter, g.limits.MaxListDelay)
	g.renewSocket(g.cfg.DNS)
}

// poll asks the name service for the list, and has a timer for the next time.
func (g *Gateway) poll() {
	g.list.Tick(g.now)
	g.applyChanged()
	g.renewSocketIfSilent()
	g.sendQuery()
	g.timers.add(timer{at: g.now + g.limits.PollInterval, kind: timerPoll})
}

// sendQuery asks the name service for the list.
func (g *Gateway) sendQuery() {
	id := uint16(g.rng.Uint32())
	slot := g.queryCount % maxQueries
	g.queryIDs[slot], g.queryTimes[slot] = id, g.now
	g.queryCount++
	g.emit(QueryDNS{Data: dns.AppendQuery(nil, id, listName)})
}

// receiveDatagram takes an answer of the name service. Whatever is wrong with it, the last list stays.
func (g *Gateway) receiveDatagram(msg []byte) {
	id, ok := dns.ID(msg)
	query, found := g.findQuery(id)
	if !ok || !found {
		g.log(Warn, "name service: unsolicited answer", Attr{"bytes", len(msg)})
		return
	}
	g.nameService.lastAnswer, g.nameService.renewAfter = g.now, g.limits.ResolverTimeout
	answer, err := dns.Parse(msg, id, listName)
	if err != nil {
		g.log(Warn, "name service: malformed answer", Attr{keyError, err.Error()})
		return
	}
	g.applyAnswer(query, answer.Serial, enginesOf(answer.Hosts))
	g.applyChanged()
}

// applyAnswer hands a well-formed answer to the list and logs what became of it.
func (g *Gateway) applyAnswer(query int, serial uint32, engines []config.Engine) {
	askedAt, before := g.queryTimes[query%maxQueries], g.list.Serial()
	verdict := g.list.Apply(g.now, discovery.Answer{QuerySeq: uint64(query) + 1, Serial: serial, Engines: engines})
	g.recordAnswer(askedAt, verdict)
	attrs := []Attr{{keySerial, serial}, {"was", before}, {keyEngines, len(engines)}, {"asked_ms", milliseconds(g.now - askedAt)}}
	switch verdict {
	case discovery.Newer:
		g.log(Info, "name service: new list", attrs...)
	case discovery.Unordered:
		g.log(Warn, "name service: list without a newer serial", attrs...)
	case discovery.Renumbered:
		g.log(Warn, "name service: serials renumbered", attrs...)
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

// findQuery finds the query with an id, by its number among all that were sent, if an answer to it may still come. Ids are random, so an
// answer without one of them is forged or too late.
func (g *Gateway) findQuery(id uint16) (query int, ok bool) {
	for i := range min(g.queryCount, maxQueries) {
		query = g.queryCount - 1 - i
		if g.now-g.queryTimes[query%maxQueries] > g.limits.MaxListDelay {
			return 0, false // answers come within that time or not at all
		}
		if g.queryIDs[query%maxQueries] == id {
			return query, true
		}
	}
	return 0, false
}

// recordAnswer counts a well-formed answer, and notes when the list was last confirmed.
func (g *Gateway) recordAnswer(askedAt rules.Time, verdict discovery.Verdict) {
	service := &g.nameService
	service.answers++
	service.slowestAnswer = max(service.slowestAnswer, g.now-askedAt)
	if verdict == discovery.Unordered || verdict == discovery.Late {
		return
	}
	service.oldestList = max(service.oldestList, g.now-service.listAsOf)
	service.listAsOf = max(service.listAsOf, askedAt)
}

// logNameService logs how the name service answered since the last such line.
func (g *Gateway) logNameService() {
	service := &g.nameService
	g.log(Info, "name service", Attr{keySerial, g.list.Serial()}, Attr{"answers", service.answers}, Attr{"slowest_ms", milliseconds(service.slowestAnswer)},
		Attr{"oldest_ms", milliseconds(max(service.oldestList, g.now-service.listAsOf))})
	service.answers, service.slowestAnswer, service.oldestList = 0, 0, 0
}

func milliseconds(t rules.Time) int64 { return int64(t / rules.Millisecond) }
