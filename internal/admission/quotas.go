package admission

import "foxlane/rules"

// This file enforces the quotas on connections, requests, statement bytes and bytes of incomplete packets. A quota
// applies only when a limit is reached: the tenant whose usage exceeds its weighted share of the limit the most then
// loses a connection or a request. An admitted request is never rejected because of a quota.

// silenceLimit is how long a new connection may send no request before it is evicted ahead of all others when
// connections are at their limit. Clients send a command right after the login.
const silenceLimit = 500 * rules.Millisecond

// mostOverQuota returns the tenant whose usage exceeds its weighted share of the limit the most, or nil if no tenant
// uses anything.
func (c *Controller) mostOverQuota(limit int, usage func(*tenantAccount) int) (heaviest *tenantAccount) {
	weights, mostExcess := 0.0, 0.0
	for _, tenant := range c.tenants {
		weights += tenant.weight
	}
	for _, tenant := range c.tenants {
		if excess := float64(usage(tenant)) - float64(limit)*tenant.weight/weights; usage(tenant) > 0 && (heaviest == nil || excess > mostExcess) {
			heaviest, mostExcess = tenant, excess
		}
	}
	return heaviest
}

func connectionsOf(tenant *tenantAccount) int { return tenant.connections }

func statementBytesOf(tenant *tenantAccount) int { return tenant.statementBytes }

func inputBytesOf(tenant *tenantAccount) int { return tenant.inputBytes }

func queuedOf(tenant *tenantAccount) int { return tenant.queued }

// enforceConnectionLimit evicts a connection in favor of conn, which was accepted beyond the limit. It chooses, in this
// order:
//   - the connection that has been open the longest without sending a request, if for at least silenceLimit;
//   - of the tenant most over its quota, the connection that has been open the longest without sending a request, or
//     the longest idle one;
//   - if conn belongs to another tenant, the connection of the evictionCandidate of the tenant most over its quota, or
//     the longest idle connection of all tenants.
//
// If there is none, conn stays open beyond the limit while a slot is free. It may then send a KILL, but no request. While
// the input of a stall is pending, only connections that have sent no request are evicted.
func (c *Controller) enforceConnectionLimit(conn *connection) {
	if victim := c.longestInState(connectionNew, nil, conn, c.now-silenceLimit); victim != nil {
		c.evict(victim, ReasonSilence)
		return
	}
	tenant := c.mostOverQuota(c.limits.Connections, connectionsOf)
	if c.evictUnused(tenant, conn) {
		return
	}
	if conn.client.tenant != tenant && !c.inputPending {
		if request := c.evictionCandidate(tenant); request != nil {
			victim := &c.connections[request.connection]
			c.reject(request, ReasonConnections)
			c.evict(victim, ReasonConnections)
			return
		}
		if victim := c.longestInState(connectionIdle, nil, conn, c.now); victim != nil {
			c.evict(victim, ReasonConnections)
			return
		}
	}
	if conn.overLimit = true; c.openConnections >= len(c.connections) {
		c.evict(conn, ReasonConnections)
	}
}

// evictUnused evicts the connection of a tenant (nil: of all tenants) that has been open the longest without sending a
// request, or the longest idle one. It never evicts except. It reports whether there was one.
func (c *Controller) evictUnused(tenant *tenantAccount, except *connection) bool {
	victim := c.longestInState(connectionNew, tenant, except, c.now)
	if victim == nil && !c.inputPending {
		victim = c.longestInState(connectionIdle, tenant, except, c.now)
	}
	if victim == nil {
		return false
	}
	c.evict(victim, ReasonConnections)
	return true
}

// handleInputRead evicts as many connections as were accepted beyond the limit while idle ones were not evicted.
func (c *Controller) handleInputRead() {
	c.inputPending = false
	for excess := c.openConnections - c.limits.Connections; excess > 0; excess-- {
		if !c.evictUnused(c.mostOverQuota(c.limits.Connections, connectionsOf), nil) && !c.evictUnused(nil, nil) {
			return
		}
	}
}

// longestInState returns the connection of a tenant (nil: of all tenants) that has been in a state the longest, or nil
// if none has been in it since the given time or earlier. It never returns except.
func (c *Controller) longestInState(state connectionState, tenant *tenantAccount, except *connection, since rules.Time) (longest *connection) {
	for i := range c.connections {
		conn := &c.connections[i]
		if conn.state != state || conn == except || conn.stateSince > since || tenant != nil && conn.client.tenant != tenant {
			continue
		}
		if longest == nil || conn.stateSince < longest.stateSince {
			longest = conn
		}
	}
	return longest
}

// evictedBefore reports whether queued request a is evicted before b of the same tenant. Requests that arrived at
// their Retry-After are evicted last; otherwise those of the client with the most queued requests first, then the
// newest first.
func evictedBefore(a, b *openRequest) bool {
	if a.booked != b.booked {
		return !a.booked
	}
	if a.client != b.client && a.client.queued != b.client.queued {
		return a.client.queued > b.client.queued
	}
	return a.arrivedAt > b.arrivedAt || a.arrivedAt == b.arrivedAt && a.slot > b.slot
}

// evictionCandidate returns the queued request of a tenant that is evicted first, or nil if it has none.
func (c *Controller) evictionCandidate(tenant *tenantAccount) (victim *openRequest) {
	for _, request := range c.expiry {
		if request.client.tenant == tenant && (victim == nil || evictedBefore(request, victim)) {
			victim = request
		}
	}
	return victim
}

// enforceRequestLimits rejects queued requests while the open requests have reached their limit or the statement bytes
// exceed theirs. It reports whether request, which has just arrived, is still queued.
func (c *Controller) enforceRequestLimits(request *openRequest) bool {
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

// handleInputBuffered updates the size of the incomplete packet of a connection. While the total exceeds the limit, the
// tenant most over its quota loses its connection with the largest incomplete packet.
func (c *Controller) handleInputBuffered(conn *connection, bytes int) {
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

// largestInput returns the connection of a tenant with the largest incomplete packet, or nil if it has none.
func (c *Controller) largestInput(tenant *tenantAccount) (largest *connection) {
	for i := range c.connections {
		conn := &c.connections[i]
		if conn.state != connectionFree && conn.client.tenant == tenant && conn.inputBytes > 0 && (largest == nil || conn.inputBytes > largest.inputBytes) {
			largest = conn
		}
	}
	return largest
}
