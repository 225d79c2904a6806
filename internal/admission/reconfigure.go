package admission

import (
	"cmp"
	"slices"
)

// This file owns the change to other settings while requests are held. It never
// answers a request for it, and never lets two of one key change places.

// Retune goes over to other settings. What is held is queued anew, under the
// principals that hold from now on; what tenants owe stays with their names.
func (c *Controller) reconfigure(set Settings, declared []string) {
	var held []*openRequest
	for i := range c.requests {
		if request := &c.requests[i]; request.state == requestBlocked || request.state == requestQueued {
			held = append(held, request)
		}
	}
	slices.SortFunc(held, func(a, b *openRequest) int { return cmp.Compare(b.seq, a.seq) })
	for _, request := range held { // the last of a key first, so that none gets its turn by it
		c.dequeue(request)
	}
	c.settings = set
	c.resolver = newDirectory(set, declared, c.seed)
	for i := range c.connections {
		if conn := &c.connections[i]; conn.state != connectionFree {
			conn.origin = c.resolver.originOf(conn.address)
			c.assignConnection(conn, c.resolver.principalOf(conn.origin, conn.tenantHash))
		}
	}
	slices.Reverse(held)
	for _, request := range held {
		c.reassignRequest(request, c.findOrAddClient(c.resolver.principalOf(c.connections[request.connection].origin, request.tenantHash)))
		request.expiresAt = c.latestAdmission(request)
		c.enqueue(request)
	}
}

// reassignRequest hands a request that is not in any line to another principal. One that has passed stays with whom it was charged to.
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
