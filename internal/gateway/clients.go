package gateway

import (
	"cmp"
	"container/list"
	"net/netip"
	"slices"

	"foxlane/internal/admission"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file owns the clients' connections, from accept to close, and which of them give way where there are too many.

// clientConn is a client's connection, and the session on it.
type clientConn struct {
	outputBuffer
	admissionSlot int // in admissionControl.conns
	greeted       bool
	session       uint32
	decoder       mysql.Decoder
	loginPending  bool // the client has not logged in yet
	request       *queryRequest
	killed        bool // its query was killed: no answer follows, so the session can't go on
	lastActive    rules.Time
	openedBy      uint64        // the number of the event that opened it
	commands      int           // that it has sent
	answeredBy    uint64        // the number of the event by which a request of it last ended
	partialBytes  int           // bytes of an unfinished packet
	partialSince  rules.Time    // when that packet began
	badCommands   int           // that could not be used
	newElement    *list.Element // in newClients, while it has sent no command
	idleElement   *list.Element // in idleClients, while it has no request
	reader        *resultReader // while it reads a stored result
}

// acceptClient greets a new client, or tells it that there are too many connections.
func (g *Gateway) acceptClient(id ConnID, from netip.Addr) {
	client := &clientConn{
		outputBuffer: outputBuffer{id: id},
		loginPending: true,
		lastActive:   g.now,
		openedBy:     g.eventNumber,
		decoder:      mysql.Decoder{MaxPayload: g.limits.MaxLoginBytes},
	}
	if g.stopped || g.admission == nil && len(g.clients) >= g.limits.MaxClients && !g.evictOne() {
		g.log(Warn, "client: too many connections", Attr{keyClients, len(g.clients)}, Attr{"stopped", g.stopped})
		client.output = mysql.AppendErr(nil, 0, mysql.CodeTooManyConnections, "Too many connections")
		g.countClose(client, CloseTooManyClients)
		g.closeAfterWrites(&client.outputBuffer)
		return
	}
	g.lastSession++
	if g.lastSession == 0 { // the protocol has no session 0
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

// evictOne closes a connection to make room for a new one: the oldest of those that have sent no command, else the one that has been
// idle for longest. Otherwise a few hundred connections that send nothing would keep every other client out. It reports whether
// there was one to close.
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

// evictWithError closes a connection on which no command came, with an error that its client may read as the answer to its login or
// its first command.
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

// unlistClient takes a session off the lists of those that send nothing.
func (g *Gateway) unlistClient(client *clientConn) {
	if client.newElement != nil {
		g.newClients.Remove(client.newElement)
	}
	if client.idleElement != nil {
		g.idleClients.Remove(client.idleElement)
	}
	client.newElement, client.idleElement = nil, nil
}

// removeClient forgets a session and abandons its request.
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

// closeClient closes a client's connection. Every such close by us goes through here.
func (g *Gateway) closeClient(client *clientConn, reason CloseReason) {
	g.checkClose(client, reason)
	g.countClose(client, reason)
	g.closeAfterWrites(&client.outputBuffer)
	g.removeClient(client)
}

// countClose counts the end of a client's connection by its reason.
func (g *Gateway) countClose(client *clientConn, reason CloseReason) {
	g.closeCounts[reason]++
	if g.cfg.Trace {
		g.traceClose(client, reason)
	}
}

// clientBecameIdle notes that a session has no request. Where too many sessions are idle, those that have been for longest are closed.
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

// sweepClients closes sessions that do what no client does: they are idle for longer than clients keep connections, send no command,
// leave a packet unfinished, or stay on after a KILL.
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
	for _, client := range g.overdueClients() {
		switch {
		case client.closed: // together with one before it
		case client.killed:
			g.closeClient(client, CloseQueryKilled)
		default:
			g.protocolError(client, 1, errPacketUnfinished)
		}
	}
}

// overdueClients lists the clients that were killed and stay, or leave a packet unfinished. They are sorted, since the order in which
// connections end decides what is sent next, and must not be that of a map.
func (g *Gateway) overdueClients() (overdue []*clientConn) {
	for _, client := range g.clients {
		stays := client.killed && g.now-client.lastActive >= g.limits.LoginTimeout
		unfinished := client.partialBytes > 0 && g.now-client.partialSince >= g.limits.LoginTimeout
		if stays || unfinished {
			overdue = append(overdue, client)
		}
	}
	slices.SortFunc(overdue, func(left, right *clientConn) int { return cmp.Compare(left.id, right.id) })
	return overdue
}
