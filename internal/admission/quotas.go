package admission

import "foxlane/rules"

// This file owns the quotas: connections, requests, bytes of statements and of incomplete packets. Nobody loses anything
// while a limit is not reached; then the tenant does that exceeds its weighted part of the limit by the most. An admitted
// request is never rejected for a quota.

// silenceLimit is how long a new connection may send no request before it is the first to be evicted
// where connections are at their limit. A login is followed by a command at once.
const silenceLimit = 500 * rules.Millisecond

// mostOverQuota returns the tenant whose usage exceeds its weighted part of the limit by the most, nil if no tenant
// uses anything.
func (c *Controller) mostOverQuota(limit int, usage func(*tenantAccount) int) (heaviest *tenantAccount) {
	weights, most := 0.0, 0.0
	for _, tenant := range c.tenants {
		weights += tenant.weight
	}
	for _, tenant := range c.tenants {
		if excess := float64(usage(tenant)) - float64(limit)*tenant.weight/weights; usage(tenant) > 0 && (heaviest == nil || excess > most) {
			heaviest, most = tenant, excess
		}
	}
	return heaviest
}

func connectionsOf(tenant *tenantAccount) int { return tenant.connections }

func statementBytesOf(tenant *tenantAccount) int { return tenant.statementBytes }

func inputBytesOf(tenant *tenantAccount) int { return tenant.inputBytes }

func queuedOf(tenant *tenantAccount) int { return tenant.queued }

// makeConnectionRoom evicts a connection for one that was accepted over the limit: the longest silent of
// those that had time to send a request; else, of the tenant most over its quota, the longest silent or idle
// one or the one of its queued request that is rejected first; else the longest idle of all. Where none of
// these exists the new connection stays over the limit, as long as a slot is free: it may send a KILL, but no request.
func (c *Controller) makeConnectionRoom(conn *connection) {
	if victim := c.longestInState(connectionNew, nil, conn, c.now-silenceLimit); victim != nil {
		c.evict(victim, ReasonSilence)
		return
	}
	tenant := c.mostOverQuota(c.limits.Connections, connectionsOf)
	victim := c.longestInState(connectionNew, tenant, conn, c.now)
	if victim == nil {
		victim = c.longestInState(connectionWaiting, tenant, conn, c.now)
	}
	if victim != nil {
		c.evict(victim, ReasonConnections)
		return
	}
	if conn.client.tenant != tenant {
		if request := c.evictionCandidate(tenant); request != nil {
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

// longestInState returns the connection that has been in a state for longest, and since before or longer, of one
// tenant (nil: of all); never except.
func (c *Controller) longestInState(state connectionState, tenant *tenantAccount, except *connection, before rules.Time) (longest *connection) {
	for i := range c.connections {
		conn := &c.connections[i]
		if conn.state != state || conn == except || conn.stateSince > before || tenant != nil && conn.client.tenant != tenant {
			continue
		}
		if longest == nil || conn.stateSince < longest.stateSince {
			longest = conn
		}
	}
	return longest
}

// evictsBefore orders queued requests of a tenant for eviction: those that came at their Retry-After last, then those of
// the client with the most queued requests first, then the newest first.
func evictsBefore(a, b *openRequest) bool {
	if a.booked != b.booked {
		return !a.booked
	}
	if a.client != b.client && a.client.queued != b.client.queued {
		return a.client.queued > b.client.queued
	}
	return a.arrivedAt > b.arrivedAt || a.arrivedAt == b.arrivedAt && a.slot > b.slot
}

// evictionCandidate returns the queued request of a tenant that is rejected first, nil if it has none.
func (c *Controller) evictionCandidate(tenant *tenantAccount) (victim *openRequest) {
	for _, request := range c.expiry {
		if request.client.tenant == tenant && (victim == nil || evictsBefore(request, victim)) {
			victim = request
		}
	}
	return victim
}

// makeRequestRoom rejects queued requests while there are more than may be, or more bytes of statements.
// It reports whether the request that has just come is still queued.
func (c *Controller) makeRequestRoom(request *openRequest) bool {
	for c.openRequests >= c.limits.Requests || c.statementBytes > c.limits.StatementBytes {
		usage, limit := queuedOf, c.limits.Requests
		if c.statementBytes > c.limits.StatementBytes {
			usage, limit = statementBytesOf, c.limits.StatementBytes
		}
		tenant := c.mostOverQuota(limit, usage)
		victim := request
		if tenant != nil && tenant != request.client.tenant {
			victim = c.evictionCandidate(tenant)
		} else if other := c.evictionCandidate(request.client.tenant); other != nil {
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

// inputBuffered notes how many bytes of an incomplete packet a connection holds. Over the limit of all, the tenant
// most over its quota loses the connection that holds most.
func (c *Controller) inputBuffered(conn *connection, bytes int) {
	if conn.client == nil {
		return
	}
	added := bytes - int(conn.inputBytes)
	conn.inputBytes = int32(bytes)
	c.inputBytes += added
	conn.client.tenant.inputBytes += added
	for c.inputBytes > c.limits.InputBytes {
		tenant := c.mostOverQuota(c.limits.InputBytes, inputBytesOf)
		victim := c.largestInput(tenant)
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

// largestInput returns the connection of a tenant that holds the most bytes of an incomplete packet, nil if none holds any.
func (c *Controller) largestInput(tenant *tenantAccount) (largest *connection) {
	for i := range c.connections {
		conn := &c.connections[i]
		if conn.state != connectionFree && conn.client.tenant == tenant && conn.inputBytes > 0 && (largest == nil || conn.inputBytes > largest.inputBytes) {
			largest = conn
		}
	}
	return largest
}
