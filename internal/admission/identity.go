package admission

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// This file maps each request to a tenant and a client. It never stores a name that a client declared, only its seeded
// hash.

// Address is the IP address of a client.
type Address = netip.Addr

// principal identifies a tenant and one of its clients by their hashes.
type principal struct {
	tenant uint64
	client uint64
	weight float64 // of the tenant
}

// origin is what follows from the address of a connection: the principal of requests that declare no tenant, and the
// network.
type origin struct {
	principal
	network int // index in Settings.Networks; -1: none
}

// identityResolver maps addresses and declared tenants to principals.
type identityResolver struct {
	settings Settings
	seed     uint64
	tenants  map[uint64]Tenant // declared tenants, by the hash of their name
	networks map[string]int    // index in Settings.Networks, by name
}

func newIdentityResolver(settings Settings, declared []string, seed uint64) *identityResolver {
	resolver := &identityResolver{settings: settings, seed: seed, tenants: map[uint64]Tenant{}, networks: map[string]int{}}
	for _, name := range declared {
		resolver.tenants[resolver.hashName(domainTenant, name)] = Tenant{Name: name, Weight: 1}
	}
	for _, t := range settings.Tenants {
		resolver.tenants[resolver.hashName(domainTenant, t.Name)] = t
	}
	for i, n := range settings.Networks {
		resolver.networks[n.Name] = i
	}
	return resolver
}

// Hash domains separate the hashes of different kinds of values, so that a tenant name can't pass for an address.
const (
	domainTenant = iota + 1
	domainNetwork
	domainAddress
	domainOrderKey
)

func (r *identityResolver) hash(domain byte, data []byte) uint64 {
	h := xxh3.HashSeed(data, r.seed^uint64(domain)*0x9e3779b97f4a7c15)
	if h == 0 {
		h = 1 // 0 means no principal
	}
	return h
}

func (r *identityResolver) hashName(domain byte, name string) uint64 {
	h := xxh3.HashStringSeed(name, r.seed^uint64(domain)*0x9e3779b97f4a7c15)
	if h == 0 {
		h = 1
	}
	return h
}

// hashAddress returns the hash of an IPv4 address, or of the /64 prefix of an IPv6 address, since an IPv6 host can
// use any number of addresses within its /64.
func (r *identityResolver) hashAddress(a netip.Addr) uint64 {
	a = a.Unmap()
	if a.Is6() {
		bytes := a.As16()
		return r.hash(domainAddress, bytes[:8])
	}
	bytes := a.As4()
	return r.hash(domainAddress, bytes[:])
}

// originOf returns the origin of connections from an address.
func (r *identityResolver) originOf(a netip.Addr) origin {
	if !a.IsValid() {
		a = netip.IPv4Unspecified()
	}
	a = a.Unmap().WithZone("")
	host := r.hashAddress(a)
	for i, n := range r.settings.Networks {
		if !n.Addresses.Contains(a) {
			continue
		}
		o := origin{principal{host, host, n.Weight}, i}
		if n.SharedTenant {
			o.tenant = r.hashName(domainNetwork, n.Name)
		}
		return o
	}
	return origin{principal{host, host, r.settings.UnlistedWeight}, -1}
}

// principalOf returns the principal of a request from its origin and the hash of the tenant name that it declares (0:
// none). From a network that is not trusted, only the name of a declared tenant that allows the network selects a
// tenant. Any other name identifies another client of the tenant of its address, so that new names don't increase a
// client's share.
func (r *identityResolver) principalOf(o origin, nameHash uint64) principal {
	if nameHash == 0 {
		return o.principal
	}
	trusted := o.network >= 0 && r.settings.Networks[o.network].Trusted
	tenant, declared := r.tenants[nameHash]
	if declared && (trusted || r.allowedFrom(tenant, o.network)) {
		return principal{nameHash, o.client, tenant.Weight}
	}
	if trusted {
		return principal{nameHash, o.client, r.settings.Networks[o.network].Weight}
	}
	var combined [16]byte
	binary.LittleEndian.PutUint64(combined[:], o.client)
	binary.LittleEndian.PutUint64(combined[8:], nameHash)
	return principal{o.tenant, r.hash(domainTenant, combined[:]), o.weight}
}

func (r *identityResolver) allowedFrom(tenant Tenant, network int) bool {
	if tenant.Networks == nil {
		return true
	}
	for _, n := range tenant.Networks {
		if r.networks[n] == network {
			return true
		}
	}
	return false
}

// AcceptsTenant reports whether clients may declare a tenant. Requests that declare any other tenant are to be answered
// with an error.
func (c *Controller) AcceptsTenant(tenant string) bool {
	if c.settings.AnyTenant || tenant == "" {
		return true
	}
	_, ok := c.resolver.tenants[c.resolver.hashName(domainTenant, tenant)]
	return ok
}
