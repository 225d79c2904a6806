package admission

import "foxlane/rules"

// This file owns the state of connections and the account that each belongs to.

type connectionState uint8

const (
	connectionFree    connectionState = iota // the slot is free
	connectionNew                            // has sent no request yet
	connectionWaiting                        // has its answer and has sent no other request
	connectionBusy                           // has a request, or is evicted and not closed yet
)

// connection is the state of a client's connection.
type connection struct {
	slot         int32
	state        connectionState
	overLimit    bool  // accepted over Limits.Connections: it may be closed at its first request
	earlyReturns uint8 // requests in a row that came before returnAfter
	inputBytes   int32 // of its incomplete packet
	address      Address
	origin       origin
	tenantHash   uint64 // of the tenant that its last request declared; 0: none
	client       *clientAccount
	stateSince   rules.Time
	returnAfter  rules.Time // its Retry-After ends then
}

func (c *Controller) connectionOpened(slot int, from Address) {
	conn := &c.connections[slot]
	*conn = connection{slot: conn.slot, address: from, origin: c.resolver.originOf(from), stateSince: c.now, state: connectionNew}
	conn.client = c.findOrAddClient(conn.origin.principal)
	conn.client.connections++
	conn.client.tenant.connections++
	if c.openConnections++; c.openConnections > c.limits.Connections {
		c.makeConnectionRoom(conn)
	}
}

func (c *Controller) connectionClosed(conn *connection) {
	if conn.state == connectionFree {
		return
	}
	c.openConnections--
	conn.state = connectionFree
	c.inputBuffered(conn, 0)
	client := conn.client
	conn.client = nil
	client.connections--
	client.tenant.connections--
	c.removeIfUnused(client)
}

func (c *Controller) setConnectionState(conn *connection, s connectionState) {
	conn.state, conn.stateSince = s, c.now
}

// assignConnection moves a connection to the account of the principal that its requests belong to.
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

// evict closes a connection, with a Retry-After if connections are at their limit.
func (c *Controller) evict(conn *connection, reason Reason) {
	after := rules.Time(0)
	if reason == ReasonConnections {
		after = c.retryAfter(conn.client, c.predictWork(0, 0), conn)
	}
	c.stats.Evicted[reason]++
	c.emit(Effect{Kind: Evict, Conn: int(conn.slot), Reason: reason, After: after})
	conn.state = connectionBusy // so that it is not chosen again
	conn.stateSince = c.now
}

// returnedTooEarly notes whether a request came before the Retry-After of its connection had passed, and reports whether
// the connection is to be closed for it: each rejection costs as much as a query.
func (c *Controller) returnedTooEarly(conn *connection) (tooOften bool) {
	if conn.returnAfter <= c.now {
		conn.earlyReturns = 0
		return false
	}
	conn.earlyReturns++
	return int(conn.earlyReturns) > min(c.settings.MaxEarlyReturns, 255-1) && c.queued > c.settings.ModuleQueueDepth
}
