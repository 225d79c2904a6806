package gateway

import (
	"errors"
	"maps"
	"slices"
	"strconv"

	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file owns the connections to engines: few, each with many requests. It
// never claims more of an attempt than is known: what was written to a
// connection that then broke may have run, what was not never did.

type link struct {
	pipe
	engine  *engineState
	dec     engine.Decoder
	up      bool
	retired bool        // takes nothing new
	why     CloseReason // once retired: LinkRetired or LinkIdle
	class   int         // of the requests it is for
	waiting []*attempt
	open    map[string]*attempt
	probes  map[string]*probe
	used    rules.Time // when something was last written or read
	heard   rules.Time // when something was last read
	watched bool       // a timer looks whether an answer is whole by then
	dialled rules.Time // when its dial began
	took    rules.Time // how long that took

	blockedAt rules.Time // since when its engine does not take what was written; 0: it does
	aborted   bool       // by us, over what its engine had not taken
}

type probe struct {
	engine *engineState
	link   *link
	tag    string
	at     rules.Time
	doubt  bool // others say that the engine fails
	ours   bool // it could not be made, for want of something here
	done   bool
}

func (l *link) load() int { return len(l.waiting) + len(l.open) + len(l.probes) }

// had answers whether a request had an attempt on the link: a late answer to
// that one could pass for an answer to the next.
func (l *link) had(r *request) bool {
	return r != nil && slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.link == l })
}

// usable answers whether the link may take a request now: it is on its way, or up, read by its engine and not so long idle
// that that may be about to close it.
func (g *Gateway) usable(l *link, r *request) bool {
	return !l.retired && l.blockedAt == 0 && l.load() < g.lim.Multiplex && !l.had(r) &&
		(!l.up || l.load() > 0 || g.now-l.used < g.lim.LinkIdle)
}

// linkFor finds the connection for an attempt, or dials one. Each class has connections of its own:
// whatever breaks one ends all that it carries, so that spoilt answers, which are as frequent as
// answers, would end the few long requests of heavy classes along with the many short ones. Within a
// class few connections are kept busy: they are reset mostly when new or idle. One that carries nothing may
// change its class, since nothing on it can be broken: where hundreds of gateways have little traffic each,
// every connection spared is a handshake that some engine need not pay for. It returns nil if there may be
// no more connections and all are full.
func (g *Gateway) linkFor(e *engineState, r *request) *link {
	class := 0
	if r != nil {
		class = r.class
	}
	var coming, idle, other *link
	n := 0
	for _, l := range e.links {
		if !l.retired {
			n++
		}
		switch {
		case !g.usable(l, r):
		case l.class != class:
			if other = l; l.up && l.load() == 0 {
				idle = l
			}
		case l.up:
			return l
		case coming == nil:
			coming = l
		}
	}
	if coming != nil {
		return coming
	}
	if idle != nil {
		idle.class = class
		return idle
	}
	if n >= g.lim.Links || len(g.links) >= g.lim.AllLinks {
		return other
	}
	g.lastLink++
	l := &link{pipe: pipe{id: dialled | g.lastLink}, engine: e, class: class, open: map[string]*attempt{}, probes: map[string]*probe{},
		dec: engine.Decoder{MaxLine: g.lim.Line, MaxBody: g.lim.Page}, used: g.now, dialled: g.now}
	e.links = append(e.links, l)
	g.links[l.id] = l
	g.do(Effect{Kind: Dial, Conn: l.id, Addr: e.entry.Addr, Timeout: g.lim.Connect})
	return l
}

// route puts an attempt on a connection.
func (g *Gateway) route(a *attempt) {
	if a.engine.state == rules.EngineGone {
		g.conclude(a, rules.StatusConnectFailed)
		return
	}
	a.engine.asked = g.now
	a.link = g.linkFor(a.engine, a.request)
	switch {
	case a.link == nil:
		g.log(Warn, "engine: no connection left", Attr{"engine", a.engine.entry.ID})
		a.spoilt, a.ours = true, true
		a.engine.notAsked()
		g.conclude(a, rules.StatusConnectFailed)
	case a.link.up && !g.settling():
		g.ask(a)
	default:
		a.link.waiting = append(a.link.waiting, a)
	}
}

// ask writes an attempt to its connection, which is up. Every send, and so every repeat, goes through here.
func (g *Gateway) ask(a *attempt) {
	r, l := a.request, a.link
	g.guardSend(a)
	ask := engine.Ask{
		ID: string(r.id), Class: g.cfg.Settings.ClassNames[r.class], TTL: max(int64((a.deadline-g.now)/rules.Millisecond), 1),
		MemoryMB: r.memoryMB, Priority: a.priority, Once: r.once, Statement: r.statement,
	}
	if g.cfg.Trace {
		g.traceSent(a, &ask)
	}
	l.out = engine.AppendAsk(l.out, ask)
	a.sent, a.end = true, l.given+int64(len(l.out))
	l.open[string(r.id)] = a
	l.used = g.now
	g.touch(&l.pipe)
}

// linkUp writes what has waited for the connection.
func (g *Gateway) linkUp(l *link) {
	l.up, l.used, l.took = true, g.now, g.now-l.dialled
	g.askAll(l)
	for _, p := range l.probes {
		l.out = engine.AppendInfo(l.out, p.tag)
		g.touch(&l.pipe)
	}
	g.maybeShut(l)
}

// askAll writes what has waited on a connection that is up. The list may have changed meanwhile, and what has waited for
// longer than a dial may take is older than the module reckons with: the window for its repeat may be over.
func (g *Gateway) askAll(l *link) {
	waiting := l.waiting
	l.waiting = nil
	for _, a := range waiting {
		switch {
		case a.done:
		case a.request.answered || l.engine.state != rules.EngineServing || g.now-a.at > g.lim.Connect:
			g.conclude(a, rules.StatusSuperseded)
		case g.settling():
			l.waiting = append(l.waiting, a)
		default:
			g.ask(a)
		}
	}
}

// leave takes an attempt off its connection.
func (g *Gateway) leave(l *link, a *attempt) {
	if a.sent {
		if l.open[string(a.request.id)] == a {
			delete(l.open, string(a.request.id))
		}
	} else {
		l.waiting = slices.DeleteFunc(l.waiting, func(o *attempt) bool { return o == a })
	}
	g.maybeShut(l)
}

// doubt retires a connection on which an attempt was given up in vain, with not a byte of anything
// since: its machine may have vanished without a word. What comes next dials anew, and if the machine
// is gone, that fails soon and proves that nothing ran.
func (g *Gateway) doubt(a *attempt) {
	if l := a.link; a.sent && l.heard <= a.at && g.now-a.at > g.lim.Connect {
		l.retire(LinkRetired)
	}
}

// retire lets a connection take nothing new; it ends once it carries nothing.
func (l *link) retire(why CloseReason) { l.retired, l.why = true, why }

// maybeShut closes a retired connection once nothing is left on it.
func (g *Gateway) maybeShut(l *link) {
	if l.retired && l.load() == 0 && !l.ended {
		g.closeLink(l, l.why)
		g.removeLink(l)
	}
}

// closeLink is the one way in which we close a connection to an engine.
func (g *Gateway) closeLink(l *link, why CloseReason) {
	g.guardLinkClose(l, why)
	g.noteLinkClose(l, why, nil)
	g.shut(&l.pipe)
}

// noteLinkClose counts the end of a connection to an engine by its reason.
func (g *Gateway) noteLinkClose(l *link, why CloseReason, err error) {
	g.closed[why]++
	if g.cfg.Trace {
		g.traceLinkClose(l, why, err)
	}
}

func (g *Gateway) removeLink(l *link) {
	l.ended = true
	delete(g.links, l.id)
	l.engine.links = slices.DeleteFunc(l.engine.links, func(o *link) bool { return o == l })
}

// dropLink: the connection broke, or never came up. Connections break for reasons that say nothing of
// their engine, and one may carry dozens of requests: only the oldest of these tells of the engine, and
// only if that has answered nothing since another connection to it broke. A process that died breaks
// all of its connections at once, and refuses the next. With spoilt, nothing tells of the engine.
// What was written beyond the bytes that the system has taken never came whole to the engine: it did not run.
func (g *Gateway) dropLink(l *link, err error, taken int64, spoilt bool) {
	ours := spoilt && !l.up // it was never made, for want of something here
	switch {
	case l.ended: // by us, who have said why
	case l.aborted:
		spoilt = true
		g.noteLinkClose(l, LinkUnread, err)
	case ours:
		g.noteLinkClose(l, LinkNotMadeHere, err)
	case !l.up:
		g.noteLinkClose(l, LinkNotMade, err)
	default:
		g.noteLinkClose(l, LinkLost, err)
	}
	g.removeLink(l)
	if l.load() > 0 {
		text := ""
		if err != nil {
			text = err.Error()
		}
		g.log(Warn, "engine: connection lost", Attr{"engine", l.engine.entry.ID}, Attr{"up", l.up},
			Attr{"requests", l.load()}, Attr{"error", text})
	}
	verdict := rules.StatusConnectFailed
	if l.up {
		verdict = rules.StatusReset
	}
	for _, a := range slices.Clone(l.waiting) {
		a.spoilt, a.ours = spoilt, ours
		g.conclude(a, rules.StatusConnectFailed)
	}
	e := l.engine
	if len(l.open) > 0 && !spoilt {
		spoilt = e.heard > e.broke
		e.broke = g.now
	}
	lost := make([]*attempt, 0, len(l.open))
	for _, a := range l.open {
		lost = append(lost, a)
	}
	slices.SortFunc(lost, func(a, b *attempt) int { return int(a.at - b.at) })
	for i, a := range lost {
		a.spoilt = spoilt || i > 0
		if a.end > taken {
			g.conclude(a, rules.StatusSuperseded)
		} else {
			g.part(a, rules.StatusReset)
		}
	}
	if ours {
		l.engine.notAsked()
	}
	for _, p := range l.probes {
		if p.ours = ours; ours {
			verdict = rules.StatusSuperseded
		}
		g.endProbe(p, verdict, nil)
	}
}

// notAsked takes back that an engine was asked for something: it never heard of it, so that its silence tells nothing.
func (e *engineState) notAsked() { e.asked = min(e.asked, e.heard) }

// retireLinks: the process behind them is another one now, or has gone. What waits for a dial to where it was must
// not be written there, since somebody else may have the address: it is returned, to be concluded once the module
// knows of the list.
func (g *Gateway) retireLinks(e *engineState) (stale []*attempt) {
	for _, l := range slices.Clone(e.links) {
		l.retire(LinkRetired)
		stale = append(stale, l.waiting...)
		g.maybeShut(l)
	}
	return stale
}

// watchGrace looks, ahead of the end of the grace of an engine that drains or has gone, whether something for it still waits here.
func (g *Gateway) watchGrace(e *engineState) {
	grace := g.cfg.Settings.Rules.Constraints.DrainGrace
	if grace > 0 && len(e.links) > 0 {
		g.timers.add(timer{at: g.now + grace - grace/graceMargin, kind: timerGrace, engine: e})
	}
}

// graceMargin is the part of a grace, as a divisor, that is left for the end of a connection.
const graceMargin = 10

// endGrace resets connections whose engine has not taken what was written to them before it was told to drain or to be gone: it
// must not leave any more, and there is no other way to take it back.
func (g *Gateway) endGrace(e *engineState) {
	if e.state == rules.EngineServing {
		return
	}
	for _, l := range slices.Clone(e.links) {
		if l.blockedAt == 0 || l.blockedAt > e.told || l.aborted {
			continue
		}
		g.log(Warn, "engine: connection reset, requests on it were not read", Attr{"engine", e.entry.ID}, Attr{"requests", l.load()},
			Attr{"blocked_ms", milliseconds(g.now - l.blockedAt)})
		l.aborted = true
		l.retire(LinkUnread)
		g.do(Effect{Kind: ResetConnection, Conn: l.id})
	}
}

func (g *Gateway) closeIdle(e *engineState) {
	if e == nil {
		return
	}
	for _, l := range slices.Clone(e.links) {
		if l.load() == 0 {
			l.retire(LinkIdle)
			g.maybeShut(l)
		}
	}
}

// sweepLinks closes idle connections before their engines do: a request that
// crosses such a close could not be proven never to have run.
func (g *Gateway) sweepLinks() {
	for _, e := range g.order {
		for _, l := range slices.Clone(e.links) {
			if l.up && l.load() == 0 && g.now-l.used >= g.lim.LinkIdle {
				l.retire(LinkIdle)
				g.maybeShut(l)
			}
		}
	}
}

// linkData takes what came from an engine. Breaking the protocol ends the connection.
func (g *Gateway) linkData(l *link, data []byte) {
	l.used, l.heard, l.engine.heard = g.now, g.now, g.now
	l.dec.Feed(data)
	for !l.ended {
		m, ok, err := l.dec.Next()
		if err != nil {
			g.spoil(l, err)
			return
		}
		if !ok {
			g.watch(l)
			return
		}
		if a := l.open[string(m.ID)]; a != nil {
			g.answer(a, &m)
		} else if p := l.probes[string(m.ID)]; p != nil {
			verdict := rules.StatusError
			if m.Word == engine.Green {
				verdict = rules.StatusOK
			}
			g.endProbe(p, verdict, m.Report)
		}
		// Anything else answers what was given up meanwhile.
	}
}

// spoil ends a connection on which an answer came that can't be read or is not whole: nothing behind it
// can be told apart any more. That happens to answers of any engine alike.
func (g *Gateway) spoil(l *link, err error) {
	g.log(Warn, "engine: broken protocol", Attr{"engine", l.engine.entry.ID}, Attr{"requests", l.load()},
		Attr{"error", err.Error()})
	l.out = nil // with what was not written yet nothing has run
	for _, id := range slices.Sorted(maps.Keys(l.open)) {
		if l.open[id].end <= l.given { // given up here, whatever becomes of the close
			l.out = engine.AppendQuit(l.out, id)
		}
	}
	given := l.given
	g.closeLink(l, LinkMalformed)
	g.dropLink(l, err, given, true)
}

var errUnfinished = errors.New("engine: an answer never ends")

// watch looks later whether an answer that has begun is whole: one that stops short would leave all
// requests on its connection waiting, and swallow what comes behind it.
func (g *Gateway) watch(l *link) {
	if l.dec.Held() > 0 && !l.watched {
		l.watched = true
		g.timers.add(timer{at: l.heard + g.lim.AnswerWhole, kind: timerWhole, link: l})
	}
}

func (g *Gateway) checkWhole(l *link) {
	l.watched = false
	switch {
	case l.ended || l.dec.Held() == 0:
	case g.now-l.heard < g.lim.AnswerWhole:
		g.watch(l)
	default:
		g.spoil(l, errUnfinished)
	}
}

// ---- probes

func (g *Gateway) probe(id rules.EngineID) { g.probeFor(id, false) }

// probeFor asks an engine for its health, with doubt because others say that it fails.
func (g *Gateway) probeFor(id rules.EngineID, doubt bool) {
	e := g.engines[id]
	if e == nil {
		return
	}
	g.lastTag++
	p := &probe{engine: e, doubt: doubt, tag: "p" + strconv.FormatUint(g.lastTag, 10), at: g.now, link: g.linkFor(e, nil)}
	if p.link == nil || e.state == rules.EngineGone {
		p.ours = p.link == nil
		g.endProbe(p, rules.StatusConnectFailed, nil)
		return
	}
	p.link.probes[p.tag] = p
	g.timers.add(timer{at: g.now + g.lim.ProbeWithin, kind: timerProbe, probe: p})
	if p.link.up {
		p.link.out = engine.AppendInfo(p.link.out, p.tag)
		p.link.used = g.now
		g.touch(&p.link.pipe)
	}
}

func (g *Gateway) endProbe(p *probe, v rules.Status, report []byte) {
	if p.done {
		return
	}
	p.done = true
	if !p.ours {
		g.looked(p.engine, v == rules.StatusOK)
	}
	if p.link != nil {
		delete(p.link.probes, p.tag)
		g.maybeShut(p.link)
	}
	g.tell(rules.ProbeResult{Engine: p.engine.id, Suspected: p.doubt && !p.ours, Status: v, Latency: g.now - p.at, Load: engine.ParseReport(report)})
}
