package admission

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// This file owns to which tenant and client a request belongs. It never keeps a name that a client declared: names
// become seeded hashes at once.

// Address is where a connection comes from.
type Address = netip.Addr

// principal is a tenant and a client within it, as hashes.
type principal struct {
	tenant uint64
	client uint64
	weight float64 // of the tenant
}

// origin is what the address of a connection says: the principal of requests that declare no tenant, and the network.
type origin struct {
	principal
	network int // index, -1: none
}

// identityResolver tells to which principal a request belongs.
type identityResolver struct {
	settings Settings
	seed     uint64
	tenants  map[uint64]Tenant // by their hash
	networks map[string]int
}

func newIdentityResolver(set Settings, declared []string, seed uint64) *identityResolver {
	r := &identityResolver{settings: set, seed: seed, tenants: map[uint64]Tenant{}, networks: map[string]int{}}
	for _, name := range declared {
		r.tenants[r.hashName(spaceTenant, name)] = Tenant{Name: name, Weight: 1}
	}
	for _, t := range set.Tenants {
		r.tenants[r.hashName(spaceTenant, t.Name)] = t
	}
	for i, n := range set.Networks {
		r.networks[n.Name] = i
	}
	return r
}

// Hashes of different kinds are kept apart, so that the name of a tenant can't pass for an address.
const (
	spaceTenant = iota + 1
	spaceNetwork
	spaceAddress
	spaceKey
)

func (r *identityResolver) hash(space byte, data []byte) uint64 {
	h := xxh3.HashSeed(data, r.seed^uint64(space)*0x9e3779b97f4a7c15)
	if h == 0 {
		h = 1 // 0 stands for no principal
	}
	return h
}

func (r *identityResolver) hashName(space byte, name string) uint64 {
	h := xxh3.HashStringSeed(name, r.seed^uint64(space)*0x9e3779b97f4a7c15)
	if h == 0 {
		h = 1
	}
	return h
}

// hashAddress is the hash of an IPv4 address, or of the /64 of an IPv6 address: a host there has as many
// addresses as it likes.
func (r *identityResolver) hashAddress(a netip.Addr) uint64 {
	a = a.Unmap()
	if a.Is6() {
		all := a.As16()
		return r.hash(spaceAddress, all[:8])
	}
	four := a.As4()
	return r.hash(spaceAddress, four[:])
}

// originOf returns what is known of a connection by its address alone.
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
			o.tenant = r.hashName(spaceNetwork, n.Name)
		}
		return o
	}
	return origin{principal{host, host, r.settings.UnlistedWeight}, -1}
}

// principalOf returns the principal of a request that declares a tenant, by the hash of the name; 0: none. A name
// that is neither declared in the settings nor trusted from its network makes a client of the address that declares
// it, so that new names gain nothing.
func (r *identityResolver) principalOf(o origin, name uint64) principal {
	if name == 0 {
		return o.principal
	}
	trusted := o.network >= 0 && r.settings.Networks[o.network].Trusted
	t, declared := r.tenants[name]
	if declared && (trusted || r.allowedFrom(t, o.network)) {
		return principal{name, o.client, t.Weight}
	}
	if trusted {
		return principal{name, o.client, r.settings.Networks[o.network].Weight}
	}
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], o.client)
	binary.LittleEndian.PutUint64(both[8:], name)
	return principal{o.tenant, r.hash(spaceTenant, both[:]), o.weight}
}

func (r *identityResolver) allowedFrom(t Tenant, network int) bool {
	if t.Networks == nil {
		return true
	}
	for _, n := range t.Networks {
		if r.networks[n] == network {
			return true
		}
	}
	return false
}

// AcceptsTenant reports whether clients may declare a tenant: any other name is an error to its client.
func (c *Controller) AcceptsTenant(tenant string) bool {
	if c.settings.AnyTenant || tenant == "" {
		return true
	}
	_, ok := c.resolver.tenants[c.resolver.hashName(spaceTenant, tenant)]
	return ok
}
