package admission

import (
	"encoding/binary"
	"net/netip"

	"github.com/zeebo/xxh3"
)

// This file owns the question whose a request is. It never keeps a name that
// a client told: names become seeded hashes at once.

// Address is where a connection comes from.
type Address = netip.Addr

// principal is a tenant and a client within it.
type principal struct {
	tenant uint64
	client uint64
	weight float64 // of the tenant
}

// origin is what a connection's address says.
type origin struct {
	principal
	network int // index, -1: none
}

type directory struct {
	set      Settings
	seed     uint64
	tenants  map[uint64]Tenant // by their hash
	networks map[string]int
}

func newDirectory(set Settings, declared []string, seed uint64) *directory {
	w := &directory{set: set, seed: seed, tenants: map[uint64]Tenant{}, networks: map[string]int{}}
	for _, name := range declared {
		w.tenants[w.hashName(spaceTenant, name)] = Tenant{Name: name, Weight: 1}
	}
	for _, t := range set.Tenants {
		w.tenants[w.hashName(spaceTenant, t.Name)] = t
	}
	for i, n := range set.Networks {
		w.networks[n.Name] = i
	}
	return w
}

// Spaces of hashes, so that a tenant can't pass for an address.
const (
	spaceTenant = iota + 1
	spaceNetwork
	spaceAddress
	spaceKey
)

func (w *directory) hash(space byte, data []byte) uint64 {
	h := xxh3.HashSeed(data, w.seed^uint64(space)*0x9e3779b97f4a7c15)
	if h == 0 {
		h = 1 // 0 is no principal
	}
	return h
}

func (w *directory) hashName(space byte, name string) uint64 {
	h := xxh3.HashStringSeed(name, w.seed^uint64(space)*0x9e3779b97f4a7c15)
	if h == 0 {
		h = 1
	}
	return h
}

// address is the hash of an IPv4 address, or of the /64 that an IPv6 address lies in: a host there
// has as many as it likes.
func (w *directory) address(a netip.Addr) uint64 {
	a = a.Unmap()
	if a.Is6() {
		all := a.As16()
		return w.hash(spaceAddress, all[:8])
	}
	four := a.As4()
	return w.hash(spaceAddress, four[:])
}

// from answers whose a connection is by its address alone.
func (w *directory) from(a netip.Addr) origin {
	if !a.IsValid() {
		a = netip.IPv4Unspecified()
	}
	a = a.Unmap().WithZone("")
	host := w.address(a)
	for i, n := range w.set.Networks {
		if !n.Set.Contains(a) {
			continue
		}
		o := origin{principal{host, host, n.Weight}, i}
		if n.Together {
			o.tenant = w.hashName(spaceNetwork, n.Name)
		}
		return o
	}
	return origin{principal{host, host, w.set.Unlisted}, -1}
}

// of answers whose a request is that tells a tenant, by the hash of its name; 0: none. One that is not declared, or not from there, shares
// as a client of the address that tells it, so that new names win nothing.
func (w *directory) of(o origin, name uint64) principal {
	if name == 0 {
		return o.principal
	}
	trusted := o.network >= 0 && w.set.Networks[o.network].Trusted
	t, declared := w.tenants[name]
	if declared && (trusted || w.allowed(t, o.network)) {
		return principal{name, o.client, t.Weight}
	}
	if trusted {
		return principal{name, o.client, w.set.Networks[o.network].Weight}
	}
	var both [16]byte
	binary.LittleEndian.PutUint64(both[:], o.client)
	binary.LittleEndian.PutUint64(both[8:], name)
	return principal{o.tenant, w.hash(spaceTenant, both[:]), o.weight}
}

func (w *directory) allowed(t Tenant, network int) bool {
	if t.Networks == nil {
		return true
	}
	for _, n := range t.Networks {
		if w.networks[n] == network {
			return true
		}
	}
	return false
}

// Knows answers whether a tenant may be told: the others are an error to their clients.
func (d *Door) Knows(tenant string) bool {
	if d.set.AnyTenant || tenant == "" {
		return true
	}
	_, ok := d.who.tenants[d.who.hashName(spaceTenant, tenant)]
	return ok
}
