package gateway

import (
	"bytes"
	"errors"
	"strconv"

	"foxlane/internal/admission"
	"foxlane/internal/memory"
	"foxlane/internal/mysql"
)

// This file handles client input: logins, commands and statements. Except for KILL, the input of a client affects
// no other client.

const (
	serverVersion  = "8.0.0-foxlane"
	clientUser     = "app"
	clientDatabase = "main"
)

// Errors that end a session. Clients receive their texts.
var (
	errAnswersUnread    = &mysql.Error{Code: mysql.CodePacketTooLarge, Text: "answers are not read"}
	errUnfinishedInput  = &mysql.Error{Code: mysql.CodePacketTooLarge, Text: "too much input is unfinished"}
	errPacketUnfinished = &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "a packet never ends"}
)

// rejectCommand answers an unusable command with an error, and closes the session after more than MaxSessionErrors
// such commands.
func (g *Gateway) rejectCommand(client *clientConn, code uint16, text string) {
	if client.rejectedCommands++; client.rejectedCommands > g.limits.MaxSessionErrors {
		g.closeOnProtocolError(client, 1, &mysql.Error{Code: code, Text: text})
		return
	}
	g.writeErr(client, code, text)
}

// writeErr answers a command with an error.
func (g *Gateway) writeErr(client *clientConn, code uint16, text string) {
	client.output = mysql.AppendErr(client.output, 1, code, text)
	g.markDirty(&client.outputBuffer)
}

// writeOK answers a command with an OK packet.
func (g *Gateway) writeOK(client *clientConn) {
	client.output = mysql.AppendOK(client.output, 1)
	g.markDirty(&client.outputBuffer)
}

// handleClientData handles bytes received from a client.
func (g *Gateway) handleClientData(client *clientConn, data []byte) {
	client.decoder.Feed(data)
	defer g.updatePartialBytes(client)
	for !client.closed && !client.blocked() {
		payload, seq, ok, err := client.decoder.Next()
		if err != nil {
			g.closeOnProtocolError(client, seq+1, err)
			return
		}
		if !ok {
			return
		}
		client.partialSince = g.now // what remains belongs to the next packet
		if client.loginPending {
			g.handleLogin(client, payload, seq)
		} else {
			g.handleCommand(client, payload, seq)
		}
		if len(client.output) > g.limits.ClientSendBuffer && !client.closed { // commands are sent, but no answers read
			client.output = client.output[:0]
			g.closeOnProtocolError(client, 1, errAnswersUnread)
		}
	}
	g.holdCommands(client)
}

// holdCommands notes that the commands of a blocked client wait until it has read. It closes a client that goes on sending
// commands.
func (g *Gateway) holdCommands(client *clientConn) {
	if !client.blocked() || client.closed || client.decoder.Buffered() == 0 {
		return
	}
	if client.heldSince == 0 {
		client.heldSince = g.now
	}
	if client.decoder.Buffered() > 2*g.limits.MaxStatementBytes {
		g.closeOnProtocolError(client, 1, errAnswersUnread)
	}
}

// updatePartialBytes updates the memory of a client's incomplete packet. While all clients have more than the account
// allows, it closes the client with the largest one.
func (g *Gateway) updatePartialBytes(client *clientConn) {
	buffered := 0
	if !client.closed && client.decoder.Buffered() > 0 {
		buffered = client.decoder.Capacity()
	}
	if client.partialBytes == 0 {
		client.partialSince = g.now
	}
	g.memory.Add(memory.ClientInput, int64(buffered-client.partialBytes))
	changed := client.partialBytes != buffered
	client.partialBytes = buffered
	if changed && !client.closed {
		g.notifyAdmission(admission.Event{Kind: admission.InputBuffered, Conn: client.admissionSlot, Bytes: buffered})
	}
	for g.memory.Exceeded(memory.ClientInput) {
		g.memoryStats.closed++
		g.closeOnProtocolError(g.largestPartialClient(client), 1, errUnfinishedInput)
	}
}

// largestPartialClient returns the client with the largest incomplete packet. Ties go to the client that connected
// first, so that the result does not depend on map iteration.
func (g *Gateway) largestPartialClient(client *clientConn) *clientConn {
	largest := client
	for _, other := range g.clients {
		if other.partialBytes > largest.partialBytes || other.partialBytes == largest.partialBytes && other.id < largest.id {
			largest = other
		}
	}
	return largest
}

// closeOnProtocolError closes a session that violates the protocol. The client receives the error unless it is waiting
// for another answer.
func (g *Gateway) closeOnProtocolError(client *clientConn, seq byte, err error) {
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

// handleLogin handles a client's reply to the greeting.
func (g *Gateway) handleLogin(client *clientConn, payload []byte, seq byte) {
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
		g.closeOnProtocolError(client, seq+1, err)
		return
	}
	client.loginPending, client.decoder.MaxPayload = false, g.limits.MaxStatementBytes
	client.output = mysql.AppendOK(client.output, seq+1)
	g.markDirty(&client.outputBuffer)
}

// handleCommand handles one command of a client. A session has at most one command in flight.
func (g *Gateway) handleCommand(client *clientConn, payload []byte, seq byte) {
	switch {
	case client.request != nil || client.killed || client.reader != nil:
		g.closeOnProtocolError(client, 1, &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "a command while a query is open"})
		return
	case seq != 0:
		g.closeOnProtocolError(client, seq+1, &mysql.Error{Code: mysql.CodePacketsOutOfOrder, Text: "wrong sequence number"})
		return
	case len(payload) == 0:
		g.closeOnProtocolError(client, 1, &mysql.Error{Code: mysql.CodeUnknownCommand, Text: "empty command"})
		return
	}
	g.removeFromClientLists(client)
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
		g.handleClientIdle(client)
	}
}

// handleStatement handles a COM_QUERY: a request with its fields, a KILL, or a statement that client libraries send
// on their own.
func (g *Gateway) handleStatement(client *clientConn, text []byte) {
	if mysql.HasFields(text) {
		if resume, ok, err := mysql.ParseResume(text); ok {
			if err != nil {
				g.rejectCommand(client, mysql.CodeParse, err.Error())
				return
			}
			if !client.leaving || resume.Release {
				g.resumeResult(client, &resume)
			}
			return
		}
		query, err := mysql.ParseQuery(text)
		if err != nil {
			g.log(Info, "client: malformed query", Attr{keySession, client.session}, Attr{keyError, err.Error()})
			g.rejectCommand(client, mysql.CodeParse, err.Error())
			return
		}
		if !client.leaving {
			g.acceptQuery(client, &query)
		}
		return
	}
	if session, query, ok := mysql.ParseKill(text); ok {
		g.handleKill(client, session, query)
		return
	}
	switch mysql.FirstWord(text) {
	case "SET", "USE", "BEGIN", "COMMIT", "ROLLBACK", "START":
		g.writeOK(client)
		return
	case "SELECT":
		if bytes.Contains(text, []byte("@@")) { // client libraries read system variables after connecting
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

// handleKill ends another session, or with queryOnly only its query, which gets no answer. A client that opened its
// connection while an earlier query of the session was in flight means that query, so a KILL QUERY that arrives
// after it ended must not end the next one.
func (g *Gateway) handleKill(client *clientConn, session uint32, queryOnly bool) {
	target := g.sessions[session]
	if target == nil {
		g.rejectCommand(client, mysql.CodeNoSuchThread, "unknown session")
		return
	}
	g.writeOK(client)
	// Event numbers are compared, since all events of a batch have the same time.
	queryEnded := client.commands == 1 && target.answeredInEvent >= client.openedInEvent
	if !queryOnly {
		g.closeClient(target, CloseKilled)
	} else if req := target.request; req != nil && !queryEnded {
		target.killed, target.lastActive = true, g.now
		g.abandonRequest(req)
	} else if target.reader != nil && !queryEnded { // the rest of its answer must not be sent
		target.output = nil
		g.closeClient(target, CloseQueryKilled)
	}
}
