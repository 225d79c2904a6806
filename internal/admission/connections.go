package admission

import "foxlane/rules"

// This file tracks the state of each connection and the account that it belongs to.

type connectionState uint8

const (
	connectionFree connectionState = iota // the slot is free
	connectionNew                         // open, no request received yet
	connectionIdle                        // its last request is answered
	connectionBusy                        // has an open request, or is evicted but not closed yet
)

// connection is the state of a client connection.
type connection struct {
	slot         int32
	state        connectionState
	overLimit    bool  // accepted beyond Limits.Connections: closed at its first request if still over the limit
	earlyReturns uint8 // consecutive requests that arrived before returnAfter
	inputBytes   int32 // size of its incomplete packet
	address      Address
	origin       origin
	tenantHash   uint64 // hash of the tenant that its last request declared; 0: none
	client       *clientAccount
	stateSince   rules.Time
	returnAfter  rules.Time // requests before this time count as early returns
}

func (c *Controller) handleConnectionOpened(slot int, from Address) {
	conn := &c.connections[slot]
	*conn = connection{slot: conn.slot, address: from, origin: c.resolver.originOf(from), stateSince: c.now, state: connectionNew}
	conn.client = c.findOrAddClient(conn.origin.principal)
	conn.client.connections++
	conn.client.tenant.connections++
	if c.openConnections++; c.openConnections > c.limits.Connections {
		c.enforceConnectionLimit(conn)
	}
}

func (c *Controller) handleConnectionClosed(conn *connection) {
	if conn.state == connectionFree {
		return
	}
	c.openConnections--
	conn.state = connectionFree
	c.handleInputBuffered(conn, 0)
	client := conn.client
	conn.client = nil
	client.connections--
	client.tenant.connections--
	c.removeIfUnused(client)
}

func (c *Controller) setConnectionState(conn *connection, state connectionState) {
	conn.state, conn.stateSince = state, c.now
}

// assignConnection moves a connection to the account of a principal.
func (c *Controller) assignConnection(conn *connection, p principal) {
	if client := conn.client; client.clientHash == p.client && client.tenant.key == p.tenant {
		if client.tenant.queued == 0 {
			client.tenant.weight = p.weight
		}
		return
	}
	old := conn.client
	conn.client = c.findOrAddClient(p)
	conn.client.connections++
	conn.client.tenant.connections++
	conn.client.tenant.inputBytes += int(conn.inputBytes)
	old.connections--
	old.tenant.connections--
	old.tenant.inputBytes -= int(conn.inputBytes)
	c.removeIfUnused(old)
}

// evict closes a connection. It sends a Retry-After if the reason is that the limit of connections was reached.
func (c *Controller) evict(conn *connection, reason Reason) {
	after := rules.Time(0)
	if reason == ReasonConnections {
		after = c.retryAfter(conn.client, c.predictWork(0, 0), conn)
	}
	c.stats.Evicted[reason]++
	c.emit(Effect{Kind: Evict, Conn: int(conn.slot), Reason: reason, After: after})
	conn.state = connectionBusy // so that it is not evicted again
	conn.stateSince = c.now
}

// countEarlyReturn counts consecutive requests that arrived before the Retry-After of their connection had passed. It
// reports whether the connection is to be closed for them, since each rejection costs as much as a query.
func (c *Controller) countEarlyReturn(conn *connection) (tooOften bool) {
	if conn.returnAfter <= c.now {
		conn.earlyReturns = 0
		return false
	}
	conn.earlyReturns++
	return int(conn.earlyReturns) > min(c.settings.MaxEarlyReturns, 255-1) && c.queued > c.settings.ModuleQueueDepth
}
