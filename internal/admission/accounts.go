package admission

import (
	"math"

	"foxlane/rules"
)

// This file owns the accounts of tenants and clients that have something open: an account is made when its principal
// comes and removed with the last connection and request, when its debt is remembered.

// clientDebtLifetime is how long the debt of a client is kept while other clients of its tenant stay.
const clientDebtLifetime = 10 * rules.Second

// clientAccount is a client of a tenant, while it has a connection or a request.
type clientAccount struct {
	key         uint64 // unique over all tenants
	clientHash  uint64 // unique within its tenant
	tenant      *tenantAccount
	index       int // in tenantAccount.clients
	virtualTime float64
	connections int
	requests    int
	queued      int
	queuedWork  float64
	queues      []clientQueue // by class
}

// tenantAccount is a tenant, while one of its clients has a connection or a request.
type tenantAccount struct {
	key               uint64
	epoch             uint64 // differs each time that the tenant comes back
	weight            float64
	index             int // in Controller.tenants
	virtualTime       float64
	clientVirtualTime float64 // least virtual time of its clients with a queued request; never falls
	clients           []*clientAccount
	flows             []tenantFlow // by class
	connections       int
	queued            int
	queuedWork        float64
	statementBytes    int
	inputBytes        int
	servedRate        decayingRate
	bookedUntil       rules.Time // its rate is taken by bookings until then
	emptySince        rules.Time // when its last queued request left the queue
	queuedSince       rules.Time // when its queue began to fill
}

// mixHash combines two hashes. It never returns 0, which stands for no principal.
func mixHash(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 29
	if h == 0 {
		return 1
	}
	return h
}

// findOrAddClient returns the account of a principal. A new account starts with the debt that is remembered of the
// principal.
func (c *Controller) findOrAddClient(p principal) *clientAccount {
	tenant := c.tenantByKey[p.tenant]
	if tenant == nil {
		tenant = c.addTenant(p)
	}
	if tenant.queued == 0 {
		tenant.weight = p.weight
	}
	for _, client := range tenant.clients { // a list, since most tenants have few clients
		if client.clientHash == p.client {
			return client
		}
	}
	var client *clientAccount
	if n := len(c.freeClients); n > 0 {
		client, c.freeClients = c.freeClients[n-1], c.freeClients[:n-1]
	} else {
		client = &clientAccount{queues: make([]clientQueue, len(c.classes))}
	}
	queues := client.queues
	*client = clientAccount{key: mixHash(tenant.key^tenant.epoch, p.client), clientHash: p.client, tenant: tenant, index: len(tenant.clients),
		virtualTime: tenant.clientVirtualTime, queues: queues}
	for i := range queues {
		queues[i] = clientQueue{requestList{noSlot, noSlot}, noSlot, noSlot}
	}
	if r, ok := c.clientDebts.take(client.key); ok {
		client.virtualTime = max(client.virtualTime, r.virtualTime)
	}
	tenant.clients = append(tenant.clients, client)
	return client
}

func (c *Controller) addTenant(p principal) *tenantAccount {
	var tenant *tenantAccount
	if n := len(c.freeTenants); n > 0 {
		tenant, c.freeTenants = c.freeTenants[n-1], c.freeTenants[:n-1]
	} else {
		tenant = &tenantAccount{flows: make([]tenantFlow, len(c.classes))}
	}
	c.epoch++
	flows, clients := tenant.flows, tenant.clients[:0]
	*tenant = tenantAccount{key: p.tenant, epoch: mixHash(c.epoch, c.seed), weight: p.weight, index: len(c.tenants), flows: flows, clients: clients,
		servedRate: decayingRate{span: float64(capacitySpan)}, emptySince: c.now}
	for i := range flows {
		flows[i].heap, flows[i].heapIndex = flows[i].heap[:0], noSlot
	}
	if r, ok := c.tenantDebts.take(p.tenant); ok {
		tenant.virtualTime, tenant.bookedUntil = r.virtualTime, r.bookedUntil
	} else {
		tenant.virtualTime = c.lightDebts.get(p.tenant)
	}
	c.tenantByKey[p.tenant] = tenant
	c.tenants = append(c.tenants, tenant)
	return tenant
}

// removeIfUnused removes the account of a client that has nothing open, and that of its tenant with the last one.
// Their debts are remembered.
func (c *Controller) removeIfUnused(client *clientAccount) {
	if client.connections > 0 || client.requests > 0 {
		return
	}
	tenant := client.tenant
	last := tenant.clients[len(tenant.clients)-1]
	last.index = client.index
	tenant.clients = swapRemove(tenant.clients, client.index)
	if len(tenant.clients) > 0 {
		if client.virtualTime > tenant.clientVirtualTime {
			c.clientDebts.put(debt{client.key, client.virtualTime, c.now + clientDebtLifetime}, math.Inf(1), c.now)
		}
	} else {
		c.removeTenant(tenant)
	}
	if client.tenant = nil; len(c.freeClients) < c.limits.ConnectionSlots {
		c.freeClients = append(c.freeClients, client)
	}
}

func (c *Controller) removeTenant(tenant *tenantAccount) {
	if tenant.virtualTime > c.virtualTime || tenant.bookedUntil > c.now {
		if lost := c.tenantDebts.put(debt{tenant.key, tenant.virtualTime, tenant.bookedUntil}, c.virtualTime, c.now); lost.key != 0 {
			c.lightDebts.put(lost.key, lost.virtualTime)
		}
	}
	delete(c.tenantByKey, tenant.key)
	last := c.tenants[len(c.tenants)-1]
	last.index = tenant.index
	c.tenants = swapRemove(c.tenants, tenant.index)
	if len(c.freeTenants) < c.limits.ConnectionSlots {
		c.freeTenants = append(c.freeTenants, tenant)
	}
}

// swapRemove removes an element by moving the last one into its place. The caller updates the index of that one.
func swapRemove[T any](list []*T, i int) []*T {
	last := len(list) - 1
	list[i], list[last] = list[last], nil
	return list[:last]
}
