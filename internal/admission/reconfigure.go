package admission

import (
	"cmp"
	"slices"
)

// This file owns the change to other settings while requests are queued. It never rejects a request for it, and never
// reorders two requests of one order key.

// reconfigure goes over to other settings. Queued requests are queued again, for the principals that they belong to now;
// the debts of tenants stay with their names.
func (c *Controller) reconfigure(set Settings, declared []string) {
	var queued []*openRequest
	for i := range c.requests {
		if request := &c.requests[i]; request.state == requestBlocked || request.state == requestQueued {
			queued = append(queued, request)
		}
	}
	slices.SortFunc(queued, func(a, b *openRequest) int { return cmp.Compare(b.seq, a.seq) })
	for _, request := range queued { // the last of an order key first, so that none is unblocked
		c.dequeue(request)
	}
	c.settings = set
	c.resolver = newIdentityResolver(set, declared, c.seed)
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

// reassignRequest moves a request that is in no queue to another client. An admitted request stays with the client
// that was charged for it.
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
