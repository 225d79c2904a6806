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

var errAnswersUnread = &mysql.Error{Code: mysql.CodePacketTooLarge, Text: "answers are not read"}

const (
	clientUser     = "app"
	clientDatabase = "main"
)

type clientConn struct {
	outputBuffer
	admissionSlot int // at the door
	greeted       bool
	session       uint32
	decoder       mysql.Decoder
	loginPending  bool // still to come
	request       *queryRequest
	killed        bool // its query was killed: no answer follows, so the session is of no more use
	lastActive    rules.Time
	openedAt      rules.Time
	commands      int        // commands
	answeredAt    rules.Time // when a request of it was last over
	partialBytes  int        // bytes of an unfinished packet
	partialSince  rules.Time // when that packet did
	badCommands   int        // commands that could not be used
	newElement    *list.Element
	idleElement   *list.Element
	reader        *resultReader // a result is on its way to it
}

func (g *Gateway) acceptClient(id ConnID, from netip.Addr) {
	client := &clientConn{outputBuffer: outputBuffer{id: id}, loginPending: true, lastActive: g.now, openedAt: g.now, decoder: mysql.Decoder{MaxPayload: g.limits.MaxLoginBytes}}
	if g.stopped || g.admission == nil && len(g.clients) >= g.limits.MaxClients && !g.evictOne() {
		g.log(Warn, "client: too many connections", Attr{"clients", len(g.clients)}, Attr{"stopped", g.stopped})
		client.output = mysql.AppendErr(nil, 0, mysql.CodeTooManyConnections, "Too many connections")
		g.countClose(client, CloseTooManyClients)
		g.closeAfterWrites(&client.outputBuffer)
		return
	}
	g.lastSession++
	if g.lastSession == 0 {
		g.lastSession++
	}
	client.session = g.lastSession
	client.newElement = g.newClients.PushBack(client)
	g.clients[id], g.sessions[client.session] = client, client
	if g.admission != nil && !g.admitConn(client, from) {
		return
	}
	client.greeted = true
	var scramble [20]byte
	for i := range scramble {
		scramble[i] = byte(1 + g.rng.IntN(127))
	}
	client.output = mysql.AppendGreeting(client.output, client.session, scramble, serverVersion)
	g.markDirty(&client.outputBuffer)
}

// evictOne closes the connection that is worth least to make room for a newcomer: the longest silent
// one that has asked for nothing yet, else the longest idle one. Hundreds that say nothing would
// otherwise turn everybody else away.
func (g *Gateway) evictOne() bool {
	if element := g.newClients.Front(); element != nil {
		g.evictWithError(element.Value.(*clientConn), CloseEvicted, "no room for a connection that asks for nothing")
	} else if element := g.idleClients.Front(); element != nil {
		g.closeClient(element.Value.(*clientConn), CloseEvicted)
	} else {
		return false
	}
	return true
}

// evictWithError closes a connection on which nothing was asked, with the refusal that its client may be
// about to read as the answer to its login or its first command.
func (g *Gateway) evictWithError(client *clientConn, reason CloseReason, why string) {
	seq := byte(1)
	switch {
	case !client.greeted:
		seq = 0
	case client.loginPending:
		seq = 2
	}
	g.log(Info, "client: turned out", Attr{"session", client.session}, Attr{"login", client.loginPending}, Attr{"why", why})
	client.output = mysql.AppendErr(client.output, seq, mysql.CodeTooManyConnections, why)
	g.closeClient(client, reason)
}

// unlistClient takes a session off the lists of those that wait for their client.
func (g *Gateway) unlistClient(client *clientConn) {
	if client.newElement != nil {
		g.newClients.Remove(client.newElement)
	}
	if client.idleElement != nil {
		g.idleClients.Remove(client.idleElement)
	}
	client.newElement, client.idleElement = nil, nil
}

// removeClient forgets a session and gives its request up.
func (g *Gateway) removeClient(client *clientConn) {
	client.closed = true
	g.partialBytes -= client.partialBytes
	client.partialBytes = 0
	delete(g.clients, client.id)
	delete(g.sessions, client.session)
	g.unlistClient(client)
	g.abandonRequest(client.request)
	g.detachReader(client)
	g.releaseConn(client)
}

// closeClient is the one way in which we close a client's connection.
func (g *Gateway) closeClient(client *clientConn, why CloseReason) {
	g.checkClose(client, why)
	g.countClose(client, why)
	g.closeAfterWrites(&client.outputBuffer)
	g.removeClient(client)
}

// countClose counts the end of a client's connection by its reason.
func (g *Gateway) countClose(client *clientConn, why CloseReason) {
	g.closeCounts[why]++
	if g.cfg.Trace {
		g.traceClose(client, why)
	}
}

// clientBecameIdle notes that a session has no request, and closes the longest idle
// ones where there are too many.
func (g *Gateway) clientBecameIdle(client *clientConn) {
	if client.closed || client.killed || client.reader != nil {
		return
	}
	client.lastActive = g.now
	if client.newElement != nil {
		return
	}
	g.handleAdmission(admission.Event{Kind: admission.ConnectionIdle, Conn: client.admissionSlot})
	if client.idleElement == nil {
		client.idleElement = g.idleClients.PushBack(client)
	} else {
		g.idleClients.MoveToBack(client.idleElement)
	}
	for g.idleClients.Len() > g.limits.ClientQuota {
		g.closeClient(g.idleClients.Front().Value.(*clientConn), CloseIdleQuota)
	}
}

// sweepClients closes sessions that outstay what any client does: those that are idle for longer than
// clients keep connections, ask for nothing, leave a packet unfinished or stay on after a KILL.
func (g *Gateway) sweepClients() {
	for element := g.newClients.Front(); element != nil; element = g.newClients.Front() {
		client := element.Value.(*clientConn)
		if g.now-client.lastActive < g.limits.LoginTimeout {
			break
		}
		g.evictWithError(client, CloseNoCommand, "nothing was asked in time")
	}
	for element := g.idleClients.Front(); element != nil; element = g.idleClients.Front() {
		client := element.Value.(*clientConn)
		if g.now-client.lastActive < g.limits.ClientIdleTimeout {
			break
		}
		g.closeClient(client, CloseIdle)
	}
	for _, client := range g.clients {
		switch {
		case client.killed && g.now-client.lastActive >= g.limits.LoginTimeout:
			g.closeClient(client, CloseQueryKilled)
		case client.partialBytes > 0 && g.now-client.partialSince >= g.limits.LoginTimeout:
			g.protocolError(client, 1, &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "a packet never ends"})
		}
	}
}

// rejectCommand answers a command that can't be used. Whoever goes on sending such is not listened to any more.
func (g *Gateway) rejectCommand(client *clientConn, code uint16, text string) {
	if client.badCommands++; client.badCommands > g.limits.MaxSessionErrors {
		g.protocolError(client, 1, &mysql.Error{Code: code, Text: text})
		return
	}
	g.writeErr(client, code, text)
}

func (g *Gateway) writeErr(client *clientConn, code uint16, text string) {
	client.output = mysql.AppendErr(client.output, 1, code, text)
	g.markDirty(&client.outputBuffer)
}

func (g *Gateway) clientData(client *clientConn, data []byte) {
	client.decoder.Feed(data)
	defer g.countPartial(client)
	for !client.closed {
		payload, seq, ok, err := client.decoder.Next()
		if err != nil {
			g.protocolError(client, seq+1, err)
			return
		}
		if !ok {
			return
		}
		client.partialSince = g.now // what follows it
		if client.loginPending {
			g.clientLogin(client, payload, seq)
		} else {
			g.handleCommand(client, payload, seq)
		}
		if len(client.output) > g.limits.ClientSendBuffer && !client.closed { // commands without end, and their answers unread
			client.output = client.output[:0]
			g.protocolError(client, 1, errAnswersUnread)
		}
	}
}

// countPartial keeps unfinished packets of all clients together within bounds.
func (g *Gateway) countPartial(client *clientConn) {
	held := client.decoder.Buffered()
	if client.closed {
		held = 0
	}
	if client.partialBytes == 0 {
		client.partialSince = g.now
	}
	g.partialBytes += held - client.partialBytes
	changed := client.partialBytes != held
	client.partialBytes = held
	if changed && !client.closed {
		g.handleAdmission(admission.Event{Kind: admission.InputBuffered, Conn: client.admissionSlot, Bytes: held})
	}
	for g.partialBytes > g.limits.MaxInputBytes {
		most := client
		for _, other := range g.clients {
			if other.partialBytes > most.partialBytes {
				most = other
			}
		}
		g.protocolError(most, 1, &mysql.Error{Code: mysql.CodePacketTooLarge, Text: "too much input is unfinished"})
	}
}

// protocolError ends a session that breaks the protocol.
func (g *Gateway) protocolError(client *clientConn, seq byte, err error) {
	code := uint16(mysql.CodeUnknownError)
	var known *mysql.Error
	if errors.As(err, &known) {
		code = known.Code
	}
	g.log(Warn, "client: broken protocol", Attr{"session", client.session}, Attr{"error", err.Error()})
	if client.request == nil && !client.killed && client.reader == nil {
		client.output = mysql.AppendErr(client.output, seq, code, err.Error())
	}
	g.closeClient(client, CloseProtocolError)
}

func (g *Gateway) clientLogin(client *clientConn, payload []byte, seq byte) {
	login, err := mysql.ParseLogin(payload)
	switch {
	case err != nil:
	case seq != 1:
		err = &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "login: wrong sequence number"}
	case login.User != clientUser || login.Password:
		err = &mysql.Error{Code: mysql.CodeAccessDenied, Text: "login: access denied"}
	case login.Database != "" && login.Database != clientDatabase:
		err = &mysql.Error{Code: mysql.CodeUnknownDatabase, Text: "login: unknown database"}
	}
	if err != nil {
		g.protocolError(client, seq+1, err)
		return
	}
	client.loginPending, client.decoder.MaxPayload = false, g.limits.MaxStatementBytes
	client.output = mysql.AppendOK(client.output, seq+1)
	g.markDirty(&client.outputBuffer)
}

func (g *Gateway) handleCommand(client *clientConn, payload []byte, seq byte) {
	switch {
	case client.request != nil || client.killed || client.reader != nil:
		g.protocolError(client, 1, &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "a command while a query is open"})
		return
	case seq != 0:
		g.protocolError(client, seq+1, &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "wrong sequence number"})
		return
	case len(payload) == 0:
		g.protocolError(client, 1, &mysql.Error{Code: mysql.CodeUnknownCommand, Text: "empty command"})
		return
	}
	g.unlistClient(client)
	client.commands++
	switch com := mysql.Command(payload[0]); com {
	case mysql.ComQuit:
		g.closeClient(client, CloseQuit)
		return
	case mysql.ComQuery:
		g.handleStatement(client, payload[1:])
	case mysql.ComPing, mysql.ComReset:
		g.writeOK(client)
	case mysql.ComInitDB:
		if string(payload[1:]) != clientDatabase {
			g.rejectCommand(client, mysql.CodeUnknownDatabase, "unknown database")
		} else {
			g.writeOK(client)
		}
	default:
		g.log(Info, "client: unknown command", Attr{"session", client.session}, Attr{"command", int(com)})
		g.rejectCommand(client, mysql.CodeUnknownCommand, "unknown command")
	}
	if client.request == nil && client.reader == nil {
		g.clientBecameIdle(client)
	}
}

func (g *Gateway) writeOK(client *clientConn) {
	client.output = mysql.AppendOK(client.output, 1)
	g.markDirty(&client.outputBuffer)
}

// handleStatement takes a COM_QUERY: a request with its fields, KILL, or what client
// libraries say of their own accord.
func (g *Gateway) handleStatement(client *clientConn, text []byte) {
	if mysql.HasFields(text) {
		if resume, ok, err := mysql.ParseResume(text); ok {
			if err != nil {
				g.rejectCommand(client, mysql.CodeParse, err.Error())
				return
			}
			g.resumeResult(client, &resume)
			return
		}
		query, err := mysql.ParseQuery(text)
		if err != nil {
			g.log(Info, "client: unusable query", Attr{"session", client.session}, Attr{"error", err.Error()})
			g.rejectCommand(client, mysql.CodeParse, err.Error())
			return
		}
		g.acceptQuery(client, &query)
		return
	}
	if session, query, ok := mysql.ParseKill(text); ok {
		g.kill(client, session, query)
		return
	}
	switch mysql.FirstWord(text) {
	case "SET", "USE", "BEGIN", "COMMIT", "ROLLBACK", "START":
		g.writeOK(client)
		return
	case "SELECT":
		if bytes.Contains(text, []byte("@@")) { // clients ask for one before anything else
			value := "foxlane"
			if bytes.Contains(text, []byte("max_allowed_packet")) {
				value = strconv.Itoa(g.limits.MaxStatementBytes)
			}
			out, seq := mysql.AppendColumns(client.output, 1, []string{"value"})
			out, seq, _ = mysql.AppendRow(out, seq, []byte(value), 1)
			client.output = mysql.AppendEnd(out, seq)
			g.markDirty(&client.outputBuffer)
			return
		}
	}
	g.log(Info, "client: query without fields", Attr{"session", client.session})
	g.rejectCommand(client, mysql.CodeParse, "no comment with fields ahead of the statement")
}

// kill ends another session's query, without an answer to it, or the session. Who opened a connection to kill while
// the session's last query was still open means that one: it must not hit the next.
func (g *Gateway) kill(client *clientConn, session uint32, query bool) {
	target := g.sessions[session]
	if target == nil {
		g.rejectCommand(client, mysql.CodeNoSuchThread, "unknown session")
		return
	}
	g.writeOK(client)
	late := client.commands == 1 && target.answeredAt >= client.openedAt
	if !query {
		g.closeClient(target, CloseKilled)
	} else if req := target.request; req != nil && !late {
		target.killed, target.lastActive = true, g.now
		g.abandonRequest(req)
	} else if target.reader != nil && !late { // nothing more of the answer
		target.output = nil
		g.closeClient(target, CloseQueryKilled)
	}
}
