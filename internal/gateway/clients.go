package gateway

import (
	"cmp"
	"container/list"
	"net/netip"
	"slices"

	"foxlane/internal/admission"
	"foxlane/internal/memory"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file manages client connections from accept to close, including the eviction of connections when there are
// too many.

// clientConn is a client connection and its session.
type clientConn struct {
	outputBuffer
	admissionSlot    int // index in admissionControl.conns
	greeted          bool
	session          uint32
	decoder          mysql.Decoder
	loginPending     bool
	request          *queryRequest
	killed           bool // its query was killed without an answer, so the session cannot continue
	leaving          bool // its connection has ended, and it will read no answer
	lastActive       rules.Time
	openedInEvent    uint64        // number of the event that opened the connection
	commands         int           // number of commands received
	answeredInEvent  uint64        // number of the event in which its last request ended
	partialBytes     int           // memory of an incomplete packet, or of commands that wait while the client is blocked
	partialSince     rules.Time    // when the first bytes of that packet arrived
	heldSince        rules.Time    // since when commands wait because the client is blocked; 0: none wait
	rejectedCommands int           // number of commands rejected as unusable
	newElement       *list.Element // entry in newClients until the first command
	idleElement      *list.Element // entry in idleClients while it has no request
	reader           *resultReader // non-nil while the client reads a stored result
}

// acceptClient greets a new client, or rejects it with an error if there are too many connections.
func (g *Gateway) acceptClient(id ConnID, from netip.Addr) {
	client := &clientConn{
		outputBuffer:  outputBuffer{id: id},
		loginPending:  true,
		lastActive:    g.now,
		openedInEvent: g.eventNumber,
		decoder:       mysql.Decoder{MaxPayload: g.limits.MaxLoginBytes},
	}
	if g.stopped || g.admission == nil && !g.makeRoom() {
		g.log(Warn, "client: too many connections", Attr{keyClients, len(g.clients)}, Attr{"stopped", g.stopped})
		client.output = mysql.AppendErr(nil, 0, mysql.CodeTooManyConnections, "Too many connections")
		g.countClose(client, CloseTooManyClients)
		g.closeAfterWrites(&client.outputBuffer)
		return
	}
	g.lastSession++
	if g.lastSession == 0 { // 0 is not a valid session ID in the protocol
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

// makeRoom reports whether there is room for a new connection, after closing another one if necessary. While input that
// arrived during a stall is still to be read, more connections are accepted instead, up to AcceptOverflow.
func (g *Gateway) makeRoom() bool {
	limit := g.limits.MaxClients
	if g.inputPending() {
		limit += g.limits.AcceptOverflow
	}
	return len(g.clients) < limit || g.evictOne()
}

// evictOne closes a connection to make room for a new one: the oldest connection without a command, else the one
// that has been idle longest. Without eviction, a few hundred connections that send nothing would lock out all
// other clients. After a stall no idle connection is closed while its request may still be unread. It reports whether
// a connection was closed.
func (g *Gateway) evictOne() bool {
	if element := g.newClients.Front(); element != nil {
		g.evictWithError(element.Value.(*clientConn), CloseEvicted, "no room for a connection that asks for nothing")
	} else if element := g.idleClients.Front(); element != nil && !g.inputPending() {
		g.closeClient(element.Value.(*clientConn), CloseEvicted)
	} else {
		return false
	}
	return true
}

// evictWithError closes a connection that has not sent a command. The client can read the error as the answer to
// its login or its first command.
func (g *Gateway) evictWithError(client *clientConn, reason CloseReason, text string) {
	seq := byte(1)
	switch {
	case !client.greeted:
		seq = 0
	case client.loginPending:
		seq = 2
	}
	g.log(Info, "client: evicted before its first command", Attr{keySession, client.session}, Attr{"login_pending", client.loginPending}, Attr{keyReason, text})
	client.output = mysql.AppendErr(client.output, seq, mysql.CodeTooManyConnections, text)
	g.closeClient(client, reason)
}

// removeFromClientLists removes a client from newClients and idleClients.
func (g *Gateway) removeFromClientLists(client *clientConn) {
	if client.newElement != nil {
		g.newClients.Remove(client.newElement)
	}
	if client.idleElement != nil {
		g.idleClients.Remove(client.idleElement)
	}
	client.newElement, client.idleElement = nil, nil
}

// removeClient deletes the state of a client and abandons its request.
func (g *Gateway) removeClient(client *clientConn) {
	client.closed = true
	g.memory.Add(memory.ClientInput, -int64(client.partialBytes))
	client.partialBytes = 0
	g.releaseUndelivered(&client.outputBuffer)
	delete(g.clients, client.id)
	delete(g.sessions, client.session)
	g.removeFromClientLists(client)
	g.abandonRequest(client.request)
	g.detachReader(client)
	g.releaseConn(client)
}

// handleClientLeaving ends the request of a client that has left. What it has sent before is still handled, since it may
// be a KILL, but no query of it is sent to an engine.
func (g *Gateway) handleClientLeaving(id ConnID) {
	if client := g.clients[id]; client != nil {
		client.leaving = true
		g.abandonRequest(client.request)
	}
}

// closeClient closes a client connection. Each close by the gateway goes through it, except for connections that
// acceptClient rejects.
func (g *Gateway) closeClient(client *clientConn, reason CloseReason) {
	g.checkClose(client, reason)
	g.countClose(client, reason)
	g.closeAfterWrites(&client.outputBuffer)
	g.removeClient(client)
}

// countClose counts the end of a client connection by reason.
func (g *Gateway) countClose(client *clientConn, reason CloseReason) {
	g.closeCounts[reason]++
	if g.cfg.Trace {
		g.traceClose(client, reason)
	}
}

// handleClientIdle records that a client has no request. If there are too many idle clients, those idle longest are
// closed.
func (g *Gateway) handleClientIdle(client *clientConn) {
	if client.closed || client.killed || client.reader != nil {
		return
	}
	client.lastActive = g.now
	if client.newElement != nil {
		return
	}
	g.notifyAdmission(admission.Event{Kind: admission.ConnectionIdle, Conn: client.admissionSlot})
	if client.idleElement == nil {
		client.idleElement = g.idleClients.PushBack(client)
	} else {
		g.idleClients.MoveToBack(client.idleElement)
	}
	g.enforceIdleQuota()
}

// enforceIdleQuota closes the clients that have been idle longest while there are too many, unless their requests may
// still be unread after a stall.
func (g *Gateway) enforceIdleQuota() {
	for !g.inputPending() && g.idleClients.Len() > g.limits.ClientQuota {
		g.closeClient(g.idleClients.Front().Value.(*clientConn), CloseIdleQuota)
	}
}

// enforceClientLimits closes the clients that exceed the limits because none was closed after a stall.
func (g *Gateway) enforceClientLimits() {
	g.enforceIdleQuota()
	for g.admission == nil && len(g.clients) > g.limits.MaxClients && g.evictOne() {
	}
}

// sweepClients closes connections that no working client would keep: those that are idle for longer than clients keep
// connections, those without a first command, those with an incomplete packet, and those still open after a KILL QUERY.
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
	g.closeUnreadClients()
	for _, client := range g.overdueClients() {
		switch {
		case client.closed: // by the close of an earlier one
		case client.killed:
			g.closeClient(client, CloseQueryKilled)
		default:
			g.closeOnProtocolError(client, 1, errPacketUnfinished)
		}
	}
}

// overdueClients returns the clients that stayed connected after a KILL QUERY or did not complete a packet in time.
// They are sorted by ID: the order in which connections end affects what is sent next, so it must not depend on map
// iteration.
func (g *Gateway) overdueClients() (overdue []*clientConn) {
	for _, client := range g.clients {
		stays := client.killed && g.now-client.lastActive >= g.limits.LoginTimeout
		unfinished := client.partialBytes > 0 && !client.blocked() && g.now-client.partialSince >= g.limits.LoginTimeout
		if stays || unfinished {
			overdue = append(overdue, client)
		}
	}
	slices.SortFunc(overdue, func(left, right *clientConn) int { return cmp.Compare(left.id, right.id) })
	return overdue
}
