package gateway

import (
	"bytes"
	"errors"
	"strconv"

	"foxlane/internal/admission"
	"foxlane/internal/mysql"
)

// This file takes what clients send: the login, commands and statements. What one client sends never touches another, except by KILL.

const (
	serverVersion  = "8.0.0-foxlane"
	clientUser     = "app"
	clientDatabase = "main"
)

// Errors that end a session. Clients see their texts.
var (
	errAnswersUnread    = &mysql.Error{Code: mysql.CodePacketTooLarge, Text: "answers are not read"}
	errUnfinishedInput  = &mysql.Error{Code: mysql.CodePacketTooLarge, Text: "too much input is unfinished"}
	errPacketUnfinished = &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "a packet never ends"}
)

// rejectCommand answers a command that can't be used with an error. A session that goes on sending such is closed.
func (g *Gateway) rejectCommand(client *clientConn, code uint16, text string) {
	if client.badCommands++; client.badCommands > g.limits.MaxSessionErrors {
		g.protocolError(client, 1, &mysql.Error{Code: code, Text: text})
		return
	}
	g.writeErr(client, code, text)
}

// writeErr writes an error as the answer to a command.
func (g *Gateway) writeErr(client *clientConn, code uint16, text string) {
	client.output = mysql.AppendErr(client.output, 1, code, text)
	g.markDirty(&client.outputBuffer)
}

// writeOK writes an OK as the answer to a command.
func (g *Gateway) writeOK(client *clientConn) {
	client.output = mysql.AppendOK(client.output, 1)
	g.markDirty(&client.outputBuffer)
}

// clientData takes bytes that came from a client.
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
		client.partialSince = g.now // the next packet
		if client.loginPending {
			g.clientLogin(client, payload, seq)
		} else {
			g.handleCommand(client, payload, seq)
		}
		if len(client.output) > g.limits.ClientSendBuffer && !client.closed { // many commands, and their answers are not read
			client.output = client.output[:0]
			g.protocolError(client, 1, errAnswersUnread)
		}
	}
}

// countPartial keeps the unfinished packets of all clients together within bounds: the client that holds most is closed.
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
		g.protocolError(g.mostUnfinished(client), 1, errUnfinishedInput)
	}
}

// mostUnfinished is the client that holds most of unfinished packets: of several, the one that connected first, since the order of
// a map must not decide.
func (g *Gateway) mostUnfinished(client *clientConn) *clientConn {
	most := client
	for _, other := range g.clients {
		if other.partialBytes > most.partialBytes || other.partialBytes == most.partialBytes && other.id < most.id {
			most = other
		}
	}
	return most
}

// protocolError ends a session that breaks the protocol, with an error unless its client waits for another answer.
func (g *Gateway) protocolError(client *clientConn, seq byte, err error) {
	code := uint16(mysql.CodeUnknownError)
	var protocolErr *mysql.Error
	if errors.As(err, &protocolErr) {
		code = protocolErr.Code
	}
	g.log(Warn, "client: protocol error", Attr{keySession, client.session}, Attr{keyError, err.Error()})
	if client.request == nil && !client.killed && client.reader == nil {
		client.output = mysql.AppendErr(client.output, seq, code, err.Error())
	}
	g.closeClient(client, CloseProtocolError)
}

// clientLogin takes a client's answer to the greeting.
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

// handleCommand takes one command of a client. A session has one command in flight at most.
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
	switch command := mysql.Command(payload[0]); command {
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
		g.log(Info, "client: unknown command", Attr{keySession, client.session}, Attr{"command", int(command)})
		g.rejectCommand(client, mysql.CodeUnknownCommand, "unknown command")
	}
	if client.request == nil && client.reader == nil {
		g.clientBecameIdle(client)
	}
}

// handleStatement takes a COM_QUERY: a request with its fields, a KILL, or what client libraries send of their own accord.
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
			g.log(Info, "client: malformed query", Attr{keySession, client.session}, Attr{keyError, err.Error()})
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
		if bytes.Contains(text, []byte("@@")) { // libraries read a system variable before anything else
			g.writeVariable(client, text)
			return
		}
	}
	g.log(Info, "client: query without fields", Attr{keySession, client.session})
	g.rejectCommand(client, mysql.CodeParse, "no comment with fields ahead of the statement")
}

// writeVariable answers a SELECT of a system variable.
func (g *Gateway) writeVariable(client *clientConn, text []byte) {
	value := "foxlane"
	if bytes.Contains(text, []byte("max_allowed_packet")) {
		value = strconv.Itoa(g.limits.MaxStatementBytes)
	}
	output, seq := mysql.AppendColumns(client.output, 1, []string{"value"})
	output, seq, _ = mysql.AppendRow(output, seq, []byte(value), 1)
	client.output = mysql.AppendEnd(output, seq)
	g.markDirty(&client.outputBuffer)
}

// kill ends another session's query, without an answer to it, or the whole session. A client that opened its connection while the
// session's last query was still in flight means that one, so a KILL QUERY that comes late must not hit the next.
func (g *Gateway) kill(client *clientConn, session uint32, query bool) {
	target := g.sessions[session]
	if target == nil {
		g.rejectCommand(client, mysql.CodeNoSuchThread, "unknown session")
		return
	}
	g.writeOK(client)
	late := client.commands == 1 && target.answeredBy >= client.openedBy // by number: events of one batch have one time
	if !query {
		g.closeClient(target, CloseKilled)
	} else if req := target.request; req != nil && !late {
		target.killed, target.lastActive = true, g.now
		g.abandonRequest(req)
	} else if target.reader != nil && !late { // it must get nothing more of its answer
		target.output = nil
		g.closeClient(target, CloseQueryKilled)
	}
}
