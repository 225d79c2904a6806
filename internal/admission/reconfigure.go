package admission

import (
	"cmp"
	"slices"
)

// This file applies new settings while requests are queued. It never rejects a request because of new settings, and
// never reorders two requests with the same order key.

// reconfigure switches to new settings. Queued requests are queued again for the principals that they now belong to.
// The debts of tenants remain, since they are keyed by the hash of the tenant's name.
func (c *Controller) reconfigure(settings Settings, declared []string) {
	var queued []*openRequest
	for i := range c.requests {
		if request := &c.requests[i]; request.state == requestBlocked || request.state == requestQueued {
			queued = append(queued, request)
		}
	}
	slices.SortFunc(queued, func(a, b *openRequest) int { return cmp.Compare(b.seq, a.seq) })
	for _, request := range queued { // the last of each order key first, so that none is unblocked
		c.dequeue(request)
	}
	c.settings = settings
	c.resolver = newIdentityResolver(settings, declared, c.seed)
	for i := range c.connections {
		if conn := &c.connections[i]; conn.state != connectionFree {
			conn.origin = c.resolver.originOf(conn.address)
			c.assignConnection(conn, c.resolver.principalOf(conn.origin, conn.tenantHash))
		}
	}
	slices.Reverse(queued)
	for _, request := range queued {
		c.reassignRequest(request, c.findOrAddClient(c.resolver.principalOf(c.connections[request.connection].origin, request.tenantHash)))
		request.expiresAt = c.latestAdmission(request)
		c.enqueue(request)
	}
}

// reassignRequest moves a request that is not queued at the moment to another client. It is not used for admitted
// requests, which stay with the client that was charged for them.
func (c *Controller) reassignRequest(request *openRequest, client *clientAccount) {
	old := request.client
	if old == client {
		return
	}
	old.requests--
	old.tenant.statementBytes -= int(request.statementBytes)
	client.requests++
	client.tenant.statementBytes += int(request.statementBytes)
	request.client = client
	c.removeIfUnused(old)
}
