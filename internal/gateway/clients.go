package gateway

import (
	"bytes"
	"container/list"
	"errors"
	"strconv"

	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file owns the clients' sessions. It never lets what one client sends
// touch another, except for KILL, which is meant to.

const serverVersion = "8.0.0-foxlane"

const (
	clientUser     = "app"
	clientDatabase = "main"
)

type client struct {
	pipe
	session uint32
	dec     mysql.Decoder
	login   bool // still to come
	request *request
	killed  bool // its query was killed: no answer follows, so the session is of no more use
	seen    rules.Time
	partial int // bytes of an unfinished packet
	idle    *list.Element
}

func (g *Gateway) accept(id ConnID) {
	c := &client{pipe: pipe{id: id}, login: true, seen: g.now, dec: mysql.Decoder{Max: g.lim.Statement}}
	if len(g.clients) >= g.lim.Clients {
		g.log(Warn, "client: too many connections", Attr{"clients", len(g.clients)})
		c.out = mysql.AppendErr(nil, 0, mysql.CodeTooMany, "Too many connections")
		g.shut(&c.pipe)
		return
	}
	g.session++
	if g.session == 0 {
		g.session++
	}
	c.session = g.session
	g.clients[id], g.sessions[c.session] = c, c
	var scramble [20]byte
	for i := range scramble {
		scramble[i] = byte(1 + g.rng.IntN(127))
	}
	c.out = mysql.AppendGreeting(c.out, c.session, scramble, serverVersion)
	g.touch(&c.pipe)
}

// dropClient forgets a session and gives its request up.
func (g *Gateway) dropClient(c *client) {
	c.ended = true
	g.partial -= c.partial
	c.partial = 0
	delete(g.clients, c.id)
	delete(g.sessions, c.session)
	if c.idle != nil {
		g.idle.Remove(c.idle)
		c.idle = nil
	}
	g.abandon(c.request)
}

func (g *Gateway) closeClient(c *client) {
	g.shut(&c.pipe)
	g.dropClient(c)
}

// clientIdle notes that a session has no request, and closes the longest idle
// ones where there are too many.
func (g *Gateway) clientIdle(c *client) {
	if c.ended || c.killed {
		return
	}
	c.seen = g.now
	if c.idle == nil {
		c.idle = g.idle.PushBack(c)
	} else {
		g.idle.MoveToBack(c.idle)
	}
	for g.idle.Len() > g.lim.ClientShare {
		g.closeClient(g.idle.Front().Value.(*client))
	}
}

func (g *Gateway) sweepClients() {
	for e := g.idle.Front(); e != nil; e = g.idle.Front() {
		c := e.Value.(*client)
		if g.now-c.seen < g.lim.IdleFor {
			break
		}
		g.closeClient(c)
	}
	for _, c := range g.clients {
		if (c.login || c.killed) && g.now-c.seen >= g.lim.LoginWithin {
			g.log(Info, "client: nothing came in time", Attr{"session", c.session}, Attr{"login", c.login})
			g.closeClient(c)
		}
	}
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
		if c.login {
			g.clientLogin(c, payload, seq)
		} else {
			g.command(c, payload, seq)
		}
	}
}

// countPartial keeps unfinished packets of all clients together within bounds.
func (g *Gateway) countPartial(c *client) {
	held := c.dec.Held()
	if c.ended {
		held = 0
	}
	g.partial += held - c.partial
	c.partial = held
	if held > 0 && g.partial > g.lim.InputBytes {
		g.breach(c, 1, &mysql.Error{Code: mysql.CodeTooLarge, Text: "too much input is unfinished"})
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
	if c.request == nil && !c.killed {
		c.out = mysql.AppendErr(c.out, seq, code, err.Error())
	}
	g.closeClient(c)
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
	c.login = false
	c.out = mysql.AppendOK(c.out, seq+1)
	g.touch(&c.pipe)
	g.clientIdle(c)
}

func (g *Gateway) command(c *client, payload []byte, seq byte) {
	switch {
	case c.request != nil || c.killed:
		g.breach(c, 1, &mysql.Error{Code: mysql.CodeOutOfOrder, Text: "a command while a query is open"})
		return
	case seq != 0:
		g.breach(c, seq+1, &mysql.Error{Code: mysql.CodeOutOfOrder, Text: "wrong sequence number"})
		return
	case len(payload) == 0:
		g.breach(c, 1, &mysql.Error{Code: mysql.CodeUnknownCom, Text: "empty command"})
		return
	}
	switch com := mysql.Command(payload[0]); com {
	case mysql.ComQuit:
		g.closeClient(c)
		return
	case mysql.ComQuery:
		g.statement(c, payload[1:])
	case mysql.ComPing, mysql.ComReset:
		g.answerOK(c)
	case mysql.ComInitDB:
		if string(payload[1:]) != clientDatabase {
			g.answerErr(c, mysql.CodeUnknownDB, "unknown database")
		} else {
			g.answerOK(c)
		}
	default:
		g.log(Info, "client: unknown command", Attr{"session", c.session}, Attr{"command", int(com)})
		g.answerErr(c, mysql.CodeUnknownCom, "unknown command")
	}
	if c.request == nil {
		g.clientIdle(c)
	} else if c.idle != nil {
		g.idle.Remove(c.idle)
		c.idle = nil
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
		q, err := mysql.ParseQuery(text)
		if err != nil {
			g.log(Info, "client: unusable query", Attr{"session", c.session}, Attr{"error", err.Error()})
			g.answerErr(c, mysql.CodeParse, err.Error())
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
	g.answerErr(c, mysql.CodeParse, "no comment with fields ahead of the statement")
}

// kill ends another session's query, without an answer to it, or the session.
func (g *Gateway) kill(c *client, session uint32, query bool) {
	target := g.sessions[session]
	if target == nil {
		g.answerErr(c, mysql.CodeNoThread, "unknown session")
		return
	}
	g.answerOK(c)
	if !query {
		g.closeClient(target)
	} else if r := target.request; r != nil {
		target.killed, target.seen = true, g.now
		g.abandon(r)
	}
}
