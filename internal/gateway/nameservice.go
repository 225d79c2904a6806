package gateway

import (
	"net/netip"

	"foxlane/internal/config"
	"foxlane/internal/discovery"
	"foxlane/internal/dns"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file polls the name service for the endpoint list, renews the socket it is queried from, and processes its
// answers. It also applies reloaded configurations. Package discovery decides which endpoint list is valid.

// reconfigure applies a reloaded configuration. The serials of its endpoint list belong to the same sequence as
// those of the current list, which stays valid until the file or the name service provides a newer one.
func (g *Gateway) reconfigure(cfg *config.Config) {
	g.log(Info, "configuration reloaded", Attr{"dns", cfg.DNS.String()}, Attr{keySerial, cfg.InitialList.Seq})
	g.cfg = *cfg
	g.reconfigureAdmission()
	g.reconfigureZones()
	g.reconfigurePeers()
	g.reconfigureDirectives()
	if g.results != nil {
		g.notifySpool(spool.SetBudget{Budget: cfg.Site.Spool.Budget})
		g.logBudget()
	}
	g.renewSocket(cfg.DNS)
	g.endpointList.Reload(g.now, cfg.InitialList.Seq, cfg.InitialList.Engines)
	g.applyListChanges()
	g.queryNameService()
}

// applyListChanges applies the endpoint list if an answer or the passage of time has changed it.
func (g *Gateway) applyListChanges() {
	if engines, ok := g.endpointList.Changed(); ok {
		g.applyList(engines, rules.UpdateDelta)
	}
}

// nameService is the state of the exchange with the name service, apart from the content of its answers.
type nameService struct {
	lastAnswer      rules.Time // last answer received, well-formed or not
	socketSince     rules.Time // when the current socket was created
	renewAfter      rules.Time // duration of silence after which the socket is renewed
	listConfirmedAt rules.Time // send time of the latest query whose answer confirmed the list

	// Statistics since the last log line.
	answers       int
	maxAnswerTime rules.Time // longest time from a query to its answer
	maxListAge    rules.Time // greatest age of the list when it was confirmed
}

// renewSocket switches to the name service at an address with a new socket.
func (g *Gateway) renewSocket(addr netip.AddrPort) {
	g.nameService.socketSince = g.now
	g.emit(SetNameServer{Addr: addr})
}

// renewSocketIfSilent renews the socket if the name service has been silent for renewAfter: a middlebox may have
// lost the state of the old socket and drop all answers to it. The interval doubles with each renewal, so that
// answers that are late by seconds still reach the socket that sent the query. After a stall its answers may still be
// unread.
func (g *Gateway) renewSocketIfSilent() {
	service := &g.nameService
	if g.inputPending() || g.now-max(service.lastAnswer, service.socketSince) < service.renewAfter {
		return
	}
	g.log(Warn, "name service: silent, socket renewed", Attr{keySilent, milliseconds(g.now - service.lastAnswer)})
	service.renewAfter = min(2*service.renewAfter, g.limits.MaxListDelay)
	g.renewSocket(g.cfg.DNS)
}

// pollNameService queries the name service for the endpoint list and sets the timer for the next poll.
func (g *Gateway) pollNameService() {
	g.endpointList.Tick(g.now)
	g.applyListChanges()
	g.renewSocketIfSilent()
	g.queryNameService()
	g.timers.add(timer{at: g.now + g.limits.PollInterval, kind: timerPoll})
}

// queryNameService queries the name service for the endpoint list.
func (g *Gateway) queryNameService() {
	id := uint16(g.rng.Uint32())
	slot := g.queryCount % queryHistorySize
	g.queryIDs[slot], g.queryTimes[slot] = id, g.now
	g.queryCount++
	g.emit(QueryDNS{Data: dns.AppendQuery(nil, id, listName)})
}

// receiveDatagram handles an answer of the name service. An invalid answer leaves the current list unchanged.
func (g *Gateway) receiveDatagram(msg []byte) {
	id, ok := dns.ID(msg)
	query, found := g.findNameServiceQuery(id)
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
	g.applyAnswer(query, answer.Serial, enginesFromHosts(answer.Hosts))
	g.applyListChanges()
}

// applyAnswer applies a well-formed answer to the endpoint list and logs the verdict.
func (g *Gateway) applyAnswer(query int, serial uint32, engines []config.Engine) {
	queriedAt, previousSerial := g.queryTimes[query%queryHistorySize], g.endpointList.Serial()
	verdict := g.endpointList.Apply(g.now, discovery.Answer{QuerySeq: uint64(query) + 1, Serial: serial, Engines: engines})
	g.recordAnswer(queriedAt, verdict)
	attrs := []Attr{{keySerial, serial}, {"was", previousSerial}, {keyEngines, len(engines)}, {"asked_ms", milliseconds(g.now - queriedAt)}}
	switch verdict {
	case discovery.Newer:
		g.log(Info, "name service: new list", attrs...)
	case discovery.Unordered:
		g.log(Warn, "name service: list without a newer serial", attrs...)
	case discovery.Renumbered:
		g.log(Warn, "name service: serials renumbered", attrs...)
	}
}

// enginesFromHosts converts the hosts of an answer to engine entries. A host with a priority above 0 is draining.
func enginesFromHosts(hosts []dns.Host) []config.Engine {
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

// findNameServiceQuery returns the sequence number of the query with an ID, if its answer may still arrive. IDs are
// random, so an answer with an unknown ID is forged or too late.
func (g *Gateway) findNameServiceQuery(id uint16) (query int, ok bool) {
	for i := range min(g.queryCount, queryHistorySize) {
		query = g.queryCount - 1 - i
		if g.now-g.queryTimes[query%queryHistorySize] > g.limits.MaxListDelay {
			return 0, false // answers arrive within MaxListDelay or not at all
		}
		if g.queryIDs[query%queryHistorySize] == id {
			return query, true
		}
	}
	return 0, false
}

// recordAnswer counts a well-formed answer and records when the list was last confirmed.
func (g *Gateway) recordAnswer(queriedAt rules.Time, verdict discovery.Verdict) {
	service := &g.nameService
	service.answers++
	service.maxAnswerTime = max(service.maxAnswerTime, g.now-queriedAt)
	if verdict == discovery.Unordered || verdict == discovery.Late {
		return
	}
	service.maxListAge = max(service.maxListAge, g.now-service.listConfirmedAt)
	service.listConfirmedAt = max(service.listConfirmedAt, queriedAt)
}

// logNameService logs the statistics of the name service since its last log line.
func (g *Gateway) logNameService() {
	service := &g.nameService
	g.log(Info, "name service", Attr{keySerial, g.endpointList.Serial()}, Attr{"answers", service.answers}, Attr{"slowest_ms", milliseconds(service.maxAnswerTime)},
		Attr{"oldest_ms", milliseconds(max(service.maxListAge, g.now-service.listConfirmedAt))})
	service.answers, service.maxAnswerTime, service.maxListAge = 0, 0, 0
}

// milliseconds returns a time in whole milliseconds.
func milliseconds(t rules.Time) int64 { return int64(t / rules.Millisecond) }
