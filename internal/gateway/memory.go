package gateway

import (
	"cmp"
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/memory"
	"foxlane/rules"
)

// This file keeps the account of the memory that input takes, and frees memory that clients hold by not reading. A
// client whose output the operating system does not accept is blocked: its further commands wait in its input buffer
// until it has read, so that at most one result is held for it.

// newMemoryAccount returns an account with the configured limits.
func newMemoryAccount(limits *config.Limits) memory.Account {
	return memory.Account{Limits: memory.Limits{
		memory.ClientInput:  int64(limits.MaxInputBytes),
		memory.Statements:   int64(limits.MaxInputBytes),
		memory.Results:      int64(limits.ResultBufferBytes),
		memory.EngineOutput: int64(limits.EngineOutputBytes),
	}}
}

// memoryStats counts what was done to stay within the limits since the last log line.
type memoryStats struct {
	rejected int // requests
	held     int // times that a client's commands had to wait because it does not read
	closed   int // clients with incomplete packets or unread results
}

// setUndelivered records how many bytes written to a connection the operating system has not accepted.
func (g *Gateway) setUndelivered(buffer *outputBuffer, n int64) {
	g.memory.Add(buffer.owner(), n-buffer.undelivered)
	buffer.undelivered = n
}

// owner returns the owner of what is written to the connection.
func (b *outputBuffer) owner() memory.Owner {
	if b.id.Dialled() {
		return memory.EngineOutput
	}
	return memory.ClientOutput
}

// blocked reports whether the operating system has not accepted all bytes written to the connection.
func (b *outputBuffer) blocked() bool { return b.blockedSince != 0 }

// handleWriteBlocked records that the peer of a connection does not read.
func (g *Gateway) handleWriteBlocked(e WriteBlocked) {
	if conn := g.engineConns[e.Conn]; conn != nil {
		conn.blockedSince = g.now
		g.setUndelivered(&conn.outputBuffer, e.Pending)
	} else if client := g.clients[e.Conn]; client != nil {
		client.blockedSince = g.now
		g.setUndelivered(&client.outputBuffer, e.Pending)
		g.memoryStats.held++
		g.closeUnreadClients()
	}
}

// handleWriteUnblocked continues a connection whose peer has read. A client's commands that have waited are handled.
func (g *Gateway) handleWriteUnblocked(id ConnID) {
	if conn := g.engineConns[id]; conn != nil {
		conn.blockedSince = 0
		g.setUndelivered(&conn.outputBuffer, 0)
	} else if client := g.clients[id]; client != nil {
		client.blockedSince = 0
		g.setUndelivered(&client.outputBuffer, 0)
		g.requestPages()
		client.partialSince = g.now
		g.handleClientData(client, nil)
		client.heldSince = 0
	}
}

// heldFor returns how long the command of a client that is being handled has waited because the client was blocked.
func (g *Gateway) heldFor(client *clientConn) rules.Time {
	if client.heldSince == 0 {
		return 0
	}
	return g.now - client.heldSince
}

// releaseUndelivered credits what was written to a connection that has ended. If the gateway closed the connection,
// that memory is held until the operating system has ended it, which handleConnectionClosed reports.
func (g *Gateway) releaseUndelivered(buffer *outputBuffer) {
	if buffer.undelivered == 0 {
		return
	}
	if buffer.closedByGateway {
		g.undeliveredOfClosed[buffer.id] = buffer.undelivered
		buffer.undelivered = 0
		return
	}
	g.setUndelivered(buffer, 0)
	g.requestPages()
}

// releaseUndeliveredOfClosed credits what was written to a connection that the gateway has closed and that has ended.
func (g *Gateway) releaseUndeliveredOfClosed(id ConnID) {
	n, ok := g.undeliveredOfClosed[id]
	if !ok {
		return
	}
	delete(g.undeliveredOfClosed, id)
	g.memory.Add((&outputBuffer{id: id}).owner(), -n)
	g.requestPages()
}

// closeUnreadClients closes clients that do not read their results while these take more memory than there is, and,
// while other results wait for memory, those that have been blocked for FlushTimeout. The client that has been blocked
// for longest goes first. A client with an open request stays, since it is owed an answer. The end of one client may
// close others, such as those over the quota of idle connections. After a stall it is not known yet who has read meanwhile.
func (g *Gateway) closeUnreadClients() {
	if !g.memory.Exceeded(memory.ClientOutput) && len(g.pageQueue) == 0 {
		return
	}
	for _, client := range g.unreadClients() {
		if client.closed {
			continue
		}
		overdue := len(g.pageQueue) > 0 && !g.inputPending() && g.now-client.blockedSince >= g.limits.FlushTimeout
		if !overdue && !g.memory.Exceeded(memory.ClientOutput) {
			return
		}
		g.closeUnread(client)
	}
}

// unreadClients returns the blocked clients without an open request, by the time for which they have been blocked and
// then by ID, so that the order does not depend on map iteration.
func (g *Gateway) unreadClients() (unread []*clientConn) {
	for _, client := range g.clients {
		if client.blocked() && client.request == nil {
			unread = append(unread, client)
		}
	}
	slices.SortFunc(unread, func(left, right *clientConn) int {
		return cmp.Or(cmp.Compare(left.blockedSince, right.blockedSince), cmp.Compare(left.id, right.id))
	})
	return unread
}

// closeUnread resets the connection of a client that does not read, which discards what was written to it.
func (g *Gateway) closeUnread(client *clientConn) {
	g.log(Info, "client: closed with unread results", Attr{keySession, client.session}, Attr{"bytes", client.undelivered},
		Attr{"blocked_ms", milliseconds(g.now - client.blockedSince)})
	g.memoryStats.closed++
	g.checkClose(client, CloseUnread)
	g.countClose(client, CloseUnread)
	g.emit(ResetConnection{Conn: client.id})
	g.removeClient(client)
}

// engineOutputFits reports whether a statement may be written to an engine. If engines do not read, the operating system
// holds little of what is written to them, and the rest takes the gateway's memory.
func (g *Gateway) engineOutputFits(req *queryRequest) bool {
	return g.memory.Fits(memory.EngineOutput, int64(len(req.statement)))
}

// logPressure logs each owner whose pressure has changed.
func (g *Gateway) logPressure() {
	for _, change := range g.memory.Changes() {
		text := "memory: pressure is over"
		if change.Pressed {
			text = "memory: under pressure"
		}
		g.log(Info, text, Attr{"owner", change.Owner.String()}, Attr{"bytes", g.memory.Used(change.Owner)}, Attr{"total_bytes", g.memory.Total()})
	}
}

// reportMemory has the host log the memory of the process, with the account and what was done to stay within it.
func (g *Gateway) reportMemory() {
	attrs := []Attr{{"account", g.memory.Total()}, {"account_peak", g.memory.TotalPeak()}}
	for owner := range memory.OwnerCount {
		if peak := g.memory.Peak(owner); peak > 0 {
			attrs = append(attrs, Attr{owner.String(), g.memory.Used(owner)}, Attr{owner.String() + "_peak", peak})
		}
	}
	attrs = append(attrs, Attr{"timers", g.timers.len()}, Attr{keyRejected, g.memoryStats.rejected}, Attr{"held", g.memoryStats.held},
		Attr{"closed", g.memoryStats.closed}, Attr{"level", g.pressure.Level().String()}, Attr{"shed", g.pressure.shed})
	if g.admission != nil { // counted here alone, since it takes a while
		g.pressure.holders.Set(memory.AdmissionState, int64(g.admission.controller.StateBytes()))
	}
	held := g.memory.TotalPeak() + g.pressure.holders.TotalPeak()
	attrs = append(attrs, g.holderAttrs()...)
	g.memoryStats, g.pressure.shed = memoryStats{}, 0
	g.emit(ReportMemory{Attrs: attrs, PeakHeld: held})
}
