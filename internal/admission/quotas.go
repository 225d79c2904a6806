package admission

import "foxlane/rules"

// This file owns what each principal may have open: connections, requests,
// bytes of statements and of unfinished packets. It takes from nobody while
// there is room, and then from whoever holds the most beyond its share. It never
// gives up a request that has passed.

type connectionState uint8

const (
	connectionFree connectionState = iota
	connectionNew                  // has asked for nothing yet
	connectionWaiting
	connectionBusy // has a request
)

// connection is a client's connection.
type connection struct {
	slot         int32
	state        connectionState
	overLimit    bool  // came when there was no room for it
	earlyReturns uint8 // times that it came too early, one after the other
	inputBytes   int32
	address      Address
	origin       origin
	tenantHash   uint64 // hash of the tenant that was told last
	client       *clientAccount
	stateSince   rules.Time // when its state began
	returnAfter  rules.Time // it was told not to come earlier
}

// silenceLimit is for how long a connection may say nothing before it is the first to go where there is no
// room: a login and a command follow at once.
const silenceLimit = 500 * rules.Millisecond

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

// assignConnection moves a connection to the principal that its requests are of.
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

// mostOverQuota is the tenant that holds the most beyond its share of something, and by how much.
func (c *Controller) mostOverQuota(limit int, usage func(*tenantAccount) int) (heaviest *tenantAccount, excess float64) {
	sum := 0.0
	for _, tenant := range c.tenants {
		sum += tenant.weight
	}
	for _, tenant := range c.tenants {
		if b := float64(usage(tenant)) - float64(limit)*tenant.weight/sum; usage(tenant) > 0 && (heaviest == nil || b > excess) {
			heaviest, excess = tenant, b
		}
	}
	return heaviest, excess
}

func connectionsOf(tenant *tenantAccount) int    { return tenant.connections }
func statementBytesOf(tenant *tenantAccount) int { return tenant.statementBytes }
func inputBytesOf(tenant *tenantAccount) int     { return tenant.inputBytes }

func queuedOf(tenant *tenantAccount) int { return tenant.queued }

// makeConnectionRoom makes room for a connection that came over the limit: of those that had time to say
// something and did not, the longest silent; else from the tenant with the most beyond its share the
// longest silent or idle one, else the newest of its requests that is held. A newcomer for whom
// nothing may give way stays in the porch, if that has room: it may have a KILL to say, but it may
// not ask.
func (c *Controller) makeConnectionRoom(conn *connection) {
	if victim := c.longestInState(connectionNew, nil, conn, c.now-silenceLimit); victim != nil {
		c.evict(victim, ReasonSilence)
		return
	}
	tenant, _ := c.mostOverQuota(c.limits.Connections, connectionsOf)
	victim := c.longestInState(connectionNew, tenant, conn, c.now)
	if victim == nil {
		victim = c.longestInState(connectionWaiting, tenant, conn, c.now)
	}
	if victim != nil {
		c.evict(victim, ReasonConnections)
		return
	}
	if conn.client.tenant != tenant {
		if request := c.evictionCandidate(tenant, nil); request != nil {
			victim := &c.connections[request.connection]
			c.reject(request, ReasonConnections)
			c.evict(victim, ReasonConnections)
			return
		}
		if victim := c.longestInState(connectionWaiting, nil, conn, c.now); victim != nil {
			c.evict(victim, ReasonConnections)
			return
		}
	}
	if conn.overLimit = true; c.openConnections >= len(c.connections) {
		c.evict(conn, ReasonConnections)
	}
}

// longestInState is the connection that has been longest in a state, since a time or before, of a tenant or of all, but for one.
func (c *Controller) longestInState(s connectionState, tenant *tenantAccount, except *connection, before rules.Time) (victim *connection) {
	for i := range c.connections {
		conn := &c.connections[i]
		if conn.state == s && conn != except && conn.stateSince <= before && (tenant == nil || conn.client.tenant == tenant) && (victim == nil || conn.stateSince < victim.stateSince) {
			victim = conn
		}
	}
	return victim
}

func (c *Controller) evict(conn *connection, why Reason) {
	after := rules.Time(0)
	if why == ReasonConnections {
		after = c.retryAfter(conn.client, c.predictWork(0, 0), conn)
	}
	c.stats.Evicted[why]++
	c.emit(Effect{Kind: Evict, Conn: int(conn.slot), Reason: why, After: after})
	conn.state = connectionBusy // not again
	conn.stateSince = c.now
}

// evictionCandidate is the request that a tenant can best do without: of its client with the most of them held, the
// one that came last. One that came back when it was told to is spared while there is another.
func (c *Controller) evictionCandidate(tenant *tenantAccount, except *openRequest) (victim *openRequest) {
	better := func(a, b *openRequest) bool {
		if a.booked != b.booked {
			return !a.booked
		}
		if a.client != b.client && a.client.queued != b.client.queued {
			return a.client.queued > b.client.queued
		}
		return a.arrivedAt > b.arrivedAt || a.arrivedAt == b.arrivedAt && a.slot > b.slot
	}
	for _, request := range c.expiry {
		if request.client.tenant == tenant && request != except && (victim == nil || better(request, victim)) {
			victim = request
		}
	}
	return victim
}

// makeRequestRoom gives up a held request where there are more than may be, or more bytes of statements. It
// answers whether the newcomer is still there.
func (c *Controller) makeRequestRoom(request *openRequest) bool {
	for c.openRequests >= c.limits.Requests || c.statementBytes > c.limits.StatementBytes {
		usage, limit := queuedOf, c.limits.Requests
		if c.statementBytes > c.limits.StatementBytes {
			usage, limit = statementBytesOf, c.limits.StatementBytes
		}
		tenant, _ := c.mostOverQuota(limit, usage)
		victim := request
		if tenant != nil && tenant != request.client.tenant {
			victim = c.evictionCandidate(tenant, nil)
		} else if other := c.evictionCandidate(request.client.tenant, nil); other != nil {
			victim = other
		}
		if victim == nil {
			victim = request
		}
		c.reject(victim, ReasonCapacity)
		if victim == request {
			return false
		}
	}
	return true
}

// inputBuffered notes how much of a packet that is not whole a connection has. Where all have too much, the
// tenant with the most beyond its share loses its largest.
func (c *Controller) inputBuffered(conn *connection, bytes int) {
	if conn.client == nil {
		return
	}
	more := bytes - int(conn.inputBytes)
	conn.inputBytes = int32(bytes)
	c.inputBytes += more
	conn.client.tenant.inputBytes += more
	for c.inputBytes > c.limits.InputBytes {
		tenant, _ := c.mostOverQuota(c.limits.InputBytes, inputBytesOf)
		var victim *connection
		for i := range c.connections {
			if other := &c.connections[i]; other.state != connectionFree && other.client.tenant == tenant && other.inputBytes > 0 && (victim == nil || other.inputBytes > victim.inputBytes) {
				victim = other
			}
		}
		if victim == nil {
			return
		}
		c.stats.Evicted[ReasonInput]++
		c.emit(Effect{Kind: AbortInput, Conn: int(victim.slot), Reason: ReasonInput})
		c.inputBytes -= int(victim.inputBytes)
		tenant.inputBytes -= int(victim.inputBytes)
		victim.inputBytes = 0
	}
}

// returnedTooEarly notes that a connection came before it was told to. Whoever goes on like that is not listened to
// any more: each of its refusals costs as much as a query.
func (c *Controller) returnedTooEarly(conn *connection) (enough bool) {
	if conn.returnAfter <= c.now {
		conn.earlyReturns = 0
		return false
	}
	conn.earlyReturns++
	return int(conn.earlyReturns) > min(c.settings.MaxEarlyReturns, 255-1) && c.queued > c.settings.ModuleQueueDepth
}
