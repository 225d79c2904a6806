package admission

import (
	"math"

	"foxlane/rules"
)

// This file manages the accounts of tenants and clients. An account is created with the first connection or request of
// its principal and removed with the last one; its debt is then recorded.

// clientDebtLifetime is how long the debt of a client that has nothing open is kept while its tenant has other clients.
const clientDebtLifetime = 10 * rules.Second

// clientAccount is the account of a client that has a connection or a request.
type clientAccount struct {
	key         uint64 // unique among the clients of all tenants
	clientHash  uint64 // unique within its tenant
	tenant      *tenantAccount
	index       int // in tenantAccount.clients
	virtualTime float64
	connections int // open connections
	requests    int // open requests
	queued      int // queued requests, including blocked ones
	queuedWork  float64
	queues      []clientQueue // by class
}

// tenantAccount is the account of a tenant that has a client with a connection or a request.
type tenantAccount struct {
	key               uint64
	epoch             uint64 // unique to this account: differs when the tenant gets a new one
	weight            float64
	index             int // in Controller.tenants
	virtualTime       float64
	clientVirtualTime float64 // least virtual time of its clients with queued requests; never decreases
	clients           []*clientAccount
	flows             []tenantFlow // by class
	connections       int          // open connections
	queued            int          // queued requests, including blocked ones
	queuedWork        float64
	statementBytes    int          // statement bytes of its open requests
	inputBytes        int          // bytes of its incomplete packets
	admittedRate      decayingRate // work admitted
	bookedUntil       rules.Time   // bookings take up its share of the capacity until then
	emptySince        rules.Time   // when its queue became empty
	queuedSince       rules.Time   // when its queue became non-empty
}

// mixHash combines two hashes. It never returns 0, which means no principal.
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

// findOrAddClient returns the account of a principal. A new account starts with the recorded debt of the principal.
func (c *Controller) findOrAddClient(p principal) *clientAccount {
	tenant := c.tenantByKey[p.tenant]
	if tenant == nil {
		tenant = c.addTenant(p)
	}
	if tenant.queued == 0 {
		tenant.weight = p.weight
	}
	for _, client := range tenant.clients { // a linear search, since most tenants have few clients
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
	if recorded, ok := c.clientDebts.remove(client.key); ok {
		client.virtualTime = max(client.virtualTime, recorded.virtualTime)
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
		admittedRate: decayingRate{timeConstant: float64(capacityTimeConstant)}, emptySince: c.now}
	for i := range flows {
		flows[i].heap, flows[i].heapIndex = flows[i].heap[:0], noSlot
	}
	if recorded, ok := c.tenantDebts.remove(p.tenant); ok {
		tenant.virtualTime, tenant.bookedUntil = recorded.virtualTime, recorded.bookedUntil
	} else {
		tenant.virtualTime = c.evictedDebts.get(p.tenant)
	}
	c.tenantByKey[p.tenant] = tenant
	c.tenants = append(c.tenants, tenant)
	return tenant
}

// removeIfUnused removes the account of a client that has nothing open, and with the last client the account of its
// tenant. Their debts are recorded.
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
		if evicted := c.tenantDebts.put(debt{tenant.key, tenant.virtualTime, tenant.bookedUntil}, c.virtualTime, c.now); evicted.key != 0 {
			c.evictedDebts.put(evicted.key, evicted.virtualTime)
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

// swapRemove removes the element at i by moving the last element there. The caller updates the index of the moved
// element.
func swapRemove[T any](list []*T, i int) []*T {
	last := len(list) - 1
	list[i], list[last] = list[last], nil
	return list[:last]
}
