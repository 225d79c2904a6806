package gateway

import (
	"bytes"
	"container/list"
	"errors"
	"net/netip"
	"strconv"

	"foxlane/internal/admission"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file owns the clients' sessions. It never lets what one client sends
// touch another, except for KILL, which is meant to.

const serverVersion = "8.0.0-foxlane"

var errUnread = &mysql.Error{Code: mysql.CodeTooLarge, Text: "answers are not read"}

const (
	clientUser     = "app"
	clientDatabase = "main"
)

type client struct {
	pipe
	slot     int // at the door
	greeted  bool
	session  uint32
	dec      mysql.Decoder
	login    bool // still to come
	request  *request
	killed   bool // its query was killed: no answer follows, so the session is of no more use
	seen     rules.Time
	opened   rules.Time
	asked    int        // commands
	answered rules.Time // when a request of it was last over
	partial  int        // bytes of an unfinished packet
	began    rules.Time // when that packet did
	faults   int        // commands that could not be used
	fresh    *list.Element
	idle     *list.Element
	reading  *reading // a result is on its way to it
}

func (g *Gateway) accept(id ConnID, from netip.Addr) {
	c := &client{pipe: pipe{id: id}, login: true, seen: g.now, opened: g.now, dec: mysql.Decoder{Max: g.lim.Login}}
	if g.stopped || g.gate == nil && len(g.clients) >= g.lim.Clients && !g.giveWay() {
		g.log(Warn, "client: too many connections", Attr{"clients", len(g.clients)}, Attr{"stopped", g.stopped})
		c.out = mysql.AppendErr(nil, 0, mysql.CodeTooMany, "Too many connections")
		g.noteClose(c, CloseTooMany)
		g.shut(&c.pipe)
		return
	}
	g.session++
	if g.session == 0 {
		g.session++
	}
	c.session = g.session
	c.fresh = g.fresh.PushBack(c)
	g.clients[id], g.sessions[c.session] = c, c
	if g.gate != nil && !g.enterGate(c, from) {
		return
	}
	c.greeted = true
	var scramble [20]byte
	for i := range scramble {
		scramble[i] = byte(1 + g.rng.IntN(127))
	}
	c.out = mysql.AppendGreeting(c.out, c.session, scramble, serverVersion)
	g.touch(&c.pipe)
}

// giveWay closes the connection that is worth least to make room for a newcomer: the longest silent
// one that has asked for nothing yet, else the longest idle one. Hundreds that say nothing would
// otherwise turn everybody else away.
func (g *Gateway) giveWay() bool {
	if e := g.fresh.Front(); e != nil {
		g.turnOut(e.Value.(*client), CloseNoRoom, "no room for a connection that asks for nothing")
	} else if e := g.idle.Front(); e != nil {
		g.closeClient(e.Value.(*client), CloseNoRoom)
	} else {
		return false
	}
	return true
}

// turnOut closes a connection on which nothing was asked, with the refusal that its client may be
// about to read as the answer to its login or its first command.
func (g *Gateway) turnOut(c *client, reason CloseReason, why string) {
	seq := byte(1)
	switch {
	case !c.greeted:
		seq = 0
	case c.login:
		seq = 2
	}
	g.log(Info, "client: turned out", Attr{"session", c.session}, Attr{"login", c.login}, Attr{"why", why})
	c.out = mysql.AppendErr(c.out, seq, mysql.CodeTooMany, why)
	g.closeClient(c, reason)
}

// unlist takes a session off the lists of those that wait for their client.
func (g *Gateway) unlist(c *client) {
	if c.fresh != nil {
		g.fresh.Remove(c.fresh)
	}
	if c.idle != nil {
		g.idle.Remove(c.idle)
	}
	c.fresh, c.idle = nil, nil
}

// dropClient forgets a session and gives its request up.
func (g *Gateway) dropClient(c *client) {
	c.ended = true
	g.partial -= c.partial
	c.partial = 0
	delete(g.clients, c.id)
	delete(g.sessions, c.session)
	g.unlist(c)
	g.abandon(c.request)
	g.leaveShelf(c)
	g.leaveGate(c)
}

// closeClient is the one way in which we close a client's connection.
func (g *Gateway) closeClient(c *client, why CloseReason) {
	g.guardClose(c, why)
	g.noteClose(c, why)
	g.shut(&c.pipe)
	g.dropClient(c)
}

// noteClose counts the end of a client's connection by its reason.
func (g *Gateway) noteClose(c *client, why CloseReason) {
	g.closed[why]++
	if g.cfg.Trace {
		g.traceClose(c, why)
	}
}

// clientIdle notes that a session has no request, and closes the longest idle
// ones where there are too many.
func (g *Gateway) clientIdle(c *client) {
	if c.ended || c.killed || c.reading != nil {
		return
	}
	c.seen = g.now
	if c.fresh != nil {
		return
	}
	g.atGate(admission.Event{Kind: admission.Idle, Conn: c.slot})
	if c.idle == nil {
		c.idle = g.idle.PushBack(c)
	} else {
		g.idle.MoveToBack(c.idle)
	}
	for g.idle.Len() > g.lim.ClientShare {
		g.closeClient(g.idle.Front().Value.(*client), CloseIdleShare)
	}
}

// sweepClients closes sessions that outstay what any client does: those that are idle for longer than
// clients keep connections, ask for nothing, leave a packet unfinished or stay on after a KILL.
func (g *Gateway) sweepClients() {
	for e := g.fresh.Front(); e != nil; e = g.fresh.Front() {
		c := e.Value.(*client)
		if g.now-c.seen < g.lim.LoginWithin {
			break
		}
		g.turnOut(c, CloseNothingAsked, "nothing was asked in time")
	}
	for e := g.idle.Front(); e != nil; e = g.idle.Front() {
		c := e.Value.(*client)
		if g.now-c.seen < g.lim.IdleFor {
			break
		}
		g.closeClient(c, CloseIdle)
	}
	for _, c := range g.clients {
		switch {
		case c.killed && g.now-c.seen >= g.lim.LoginWithin:
			g.closeClient(c, CloseKilledQuery)
		case c.partial > 0 && g.now-c.began >= g.lim.LoginWithin:
			g.breach(c, 1, &mysql.Error{Code: mysql.CodeOutOfOrder, Text: "a packet never ends"})
		}
	}
}

// unusable answers a command that can't be used. Whoever goes on sending such is not listened to any more.
func (g *Gateway) unusable(c *client, code uint16, text string) {
	if c.faults++; c.faults > g.lim.Faults {
		g.breach(c, 1, &mysql.Error{Code: code, Text: text})
		return
	}
	g.answerErr(c, code, text)
}

func (g *Gateway) answerErr(c *client, code uint16, text string) {
	c.out = mysql.AppendErr(c.out, 1, code, text)
	g.touch(&c.pipe)
}

func (g *Gateway) clientData(c *client, data []byte) {
	c.dec.Feed(data)
	defer g.countPartial(c)
	for !c.ended {
		payload, seq, ok, err := c.dec.Next()
		if err != nil {
			g.breach(c, seq+1, err)
			return
		}
		if !ok {
			return
		}
		c.began = g.now // what follows it
		if c.login {
			g.clientLogin(c, payload, seq)
		} else {
			g.command(c, payload, seq)
		}
		if len(c.out) > g.lim.ClientOut && !c.ended { // commands without end, and their answers unread
			c.out = c.out[:0]
			g.breach(c, 1, errUnread)
		}
	}
}

// countPartial keeps unfinished packets of all clients together within bounds.
func (g *Gateway) countPartial(c *client) {
	held := c.dec.Held()
	if c.ended {
		held = 0
	}
	if c.partial == 0 {
		c.began = g.now
	}
	g.partial += held - c.partial
	changed := c.partial != held
	c.partial = held
	if changed && !c.ended {
		g.atGate(admission.Event{Kind: admission.Input, Conn: c.slot, Bytes: held})
	}
	for g.partial > g.lim.InputBytes {
		most := c
		for _, o := range g.clients {
			if o.partial > most.partial {
				most = o
			}
		}
		g.breach(most, 1, &mysql.Error{Code: mysql.CodeTooLarge, Text: "too much input is unfinished"})
	}
}

// breach ends a session that breaks the protocol.
func (g *Gateway) breach(c *client, seq byte, err error) {
	code := uint16(mysql.CodeFailed)
	var known *mysql.Error
	if errors.As(err, &known) {
		code = known.Code
	}
	g.log(Warn, "client: broken protocol", Attr{"session", c.session}, Attr{"error", err.Error()})
	if c.request == nil && !c.killed && c.reading == nil {
		c.out = mysql.AppendErr(c.out, seq, code, err.Error())
	}
	g.closeClient(c, CloseProtocol)
}

func (g *Gateway) clientLogin(c *client, payload []byte, seq byte) {
	l, err := mysql.ParseLogin(payload)
	switch {
	case err != nil:
	case seq != 1:
		err = &mysql.Error{Code: mysql.CodeOutOfOrder, Text: "login: wrong sequence number"}
	case l.User != clientUser || l.Password:
		err = &mysql.Error{Code: mysql.CodeDenied, Text: "login: access denied"}
	case l.Database != "" && l.Database != clientDatabase:
		err = &mysql.Error{Code: mysql.CodeUnknownDB, Text: "login: unknown database"}
	}
	if err != nil {
		g.breach(c, seq+1, err)
		return
	}
	c.login, c.dec.Max = false, g.lim.Statement
	c.out = mysql.AppendOK(c.out, seq+1)
	g.touch(&c.pipe)
}

func (g *Gateway) command(c *client, payload []byte, seq byte) {
	switch {
	case c.request != nil || c.killed || c.reading != nil:
		g.breach(c, 1, &mysql.Error{Code: mysql.CodeOutOfOrder, Text: "a command while a query is open"})
		return
	case seq != 0:
		g.breach(c, seq+1, &mysql.Error{Code: mysql.CodeOutOfOrder, Text: "wrong sequence number"})
		return
	case len(payload) == 0:
		g.breach(c, 1, &mysql.Error{Code: mysql.CodeUnknownCom, Text: "empty command"})
		return
	}
	g.unlist(c)
	c.asked++
	switch com := mysql.Command(payload[0]); com {
	case mysql.ComQuit:
		g.closeClient(c, CloseQuit)
		return
	case mysql.ComQuery:
		g.statement(c, payload[1:])
	case mysql.ComPing, mysql.ComReset:
		g.answerOK(c)
	case mysql.ComInitDB:
		if string(payload[1:]) != clientDatabase {
			g.unusable(c, mysql.CodeUnknownDB, "unknown database")
		} else {
			g.answerOK(c)
		}
	default:
		g.log(Info, "client: unknown command", Attr{"session", c.session}, Attr{"command", int(com)})
		g.unusable(c, mysql.CodeUnknownCom, "unknown command")
	}
	if c.request == nil && c.reading == nil {
		g.clientIdle(c)
	}
}

func (g *Gateway) answerOK(c *client) {
	c.out = mysql.AppendOK(c.out, 1)
	g.touch(&c.pipe)
}

// statement takes a COM_QUERY: a request with its fields, KILL, or what client
// libraries say of their own accord.
func (g *Gateway) statement(c *client, text []byte) {
	if mysql.HasFields(text) {
		if q, ok, err := mysql.ParseResume(text); ok {
			if err != nil {
				g.unusable(c, mysql.CodeParse, err.Error())
				return
			}
			g.resume(c, &q)
			return
		}
		q, err := mysql.ParseQuery(text)
		if err != nil {
			g.log(Info, "client: unusable query", Attr{"session", c.session}, Attr{"error", err.Error()})
			g.unusable(c, mysql.CodeParse, err.Error())
			return
		}
		g.open(c, &q)
		return
	}
	if session, query, ok := mysql.ParseKill(text); ok {
		g.kill(c, session, query)
		return
	}
	switch mysql.FirstWord(text) {
	case "SET", "USE", "BEGIN", "COMMIT", "ROLLBACK", "START":
		g.answerOK(c)
		return
	case "SELECT":
		if bytes.Contains(text, []byte("@@")) { // clients ask for one before anything else
			value := "foxlane"
			if bytes.Contains(text, []byte("max_allowed_packet")) {
				value = strconv.Itoa(g.lim.Statement)
			}
			out, seq := mysql.AppendColumns(c.out, 1, []string{"value"})
			out, seq, _ = mysql.AppendRow(out, seq, []byte(value), 1)
			c.out = mysql.AppendEnd(out, seq)
			g.touch(&c.pipe)
			return
		}
	}
	g.log(Info, "client: query without fields", Attr{"session", c.session})
	g.unusable(c, mysql.CodeParse, "no comment with fields ahead of the statement")
}

// kill ends another session's query, without an answer to it, or the session. Who opened a connection to kill while
// the session's last query was still open means that one: it must not hit the next.
func (g *Gateway) kill(c *client, session uint32, query bool) {
	target := g.sessions[session]
	if target == nil {
		g.unusable(c, mysql.CodeNoThread, "unknown session")
		return
	}
	g.answerOK(c)
	late := c.asked == 1 && target.answered >= c.opened
	if !query {
		g.closeClient(target, CloseKilled)
	} else if r := target.request; r != nil && !late {
		target.killed, target.seen = true, g.now
		g.abandon(r)
	} else if target.reading != nil && !late { // nothing more of the answer
		target.out = nil
		g.closeClient(target, CloseKilledQuery)
	}
}
