package admission

import (
	"errors"
	"fmt"

	"go4.org/netipx"

	"foxlane/rules"
)

// Settings is what the operator sets of the door.
type Settings struct {
	Tenants        []Tenant
	Networks       []Network // the first that holds an address counts
	UnlistedWeight float64   // weight of an address that no network holds

	// AnyTenant lets tenants be told that neither the site nor the operator
	// declares. They share as clients of whoever tells them, unless that network
	// is trusted to tell.
	AnyTenant bool

	ModuleQueueDepth int        // requests of a class that wait in the module, where others wait at the door
	Burst            rules.Time // work ahead of its share that a tenant gets after it was idle
	MaxRetryAfter    rules.Time // time of return that is named at most; 0: none is named
	MaxEarlyReturns  int        // times that a connection may come before it was told to, one after the other
}

// Tenant is a declared tenant.
type Tenant struct {
	Name     string
	Weight   float64
	Networks []string // where it may be told; nil: anywhere
}

// Network is a named set of addresses.
type Network struct {
	Name         string
	Addresses    *netipx.IPSet
	Weight       float64 // of each address, or of all together
	SharedTenant bool    // its addresses share as clients of one tenant
	Trusted      bool    // tenants that are told from there need no declaration
}

// Defaults are the settings of a file that names none. Ahead keeps a choice
// for the module's draw and is short enough that one run bounds the wait;
// Burst is about one short query.
func Defaults() Settings {
	return Settings{UnlistedWeight: 1, ModuleQueueDepth: 4, Burst: 100 * rules.Millisecond, MaxRetryAfter: 30 * rules.Second, MaxEarlyReturns: 8}
}

const (
	maxWeight = 1e6
	minWeight = 1e-6
	maxAhead  = 1024
)

// Validate says what contradicts itself.
func (s Settings) Validate() error {
	weight := func(what, name string, w float64) error {
		if !(w >= minWeight && w <= maxWeight) {
			return fmt.Errorf("%s %q: weight %v is not within %v and %v", what, name, w, minWeight, maxWeight)
		}
		return nil
	}
	errs := []error{weight("unlisted", "addresses", s.UnlistedWeight)}
	networks := map[string]bool{}
	for _, n := range s.Networks {
		if networks[n.Name] {
			errs = append(errs, fmt.Errorf("network %q comes twice", n.Name))
		}
		networks[n.Name] = true
		errs = append(errs, weight("network", n.Name, n.Weight))
	}
	tenants := map[string]bool{}
	for _, t := range s.Tenants {
		if tenants[t.Name] {
			errs = append(errs, fmt.Errorf("tenant %q comes twice", t.Name))
		}
		tenants[t.Name] = true
		errs = append(errs, weight("tenant", t.Name, t.Weight))
		for _, n := range t.Networks {
			if !networks[n] {
				errs = append(errs, fmt.Errorf("tenant %q: no network %q", t.Name, n))
			}
		}
	}
	if s.ModuleQueueDepth < 1 || s.ModuleQueueDepth > maxAhead {
		errs = append(errs, fmt.Errorf("ahead is %d, not within 1 and %d", s.ModuleQueueDepth, maxAhead))
	}
	if s.Burst < 0 || s.MaxRetryAfter < 0 {
		errs = append(errs, errors.New("burst and longest must not be under 0"))
	}
	if s.MaxEarlyReturns < 1 {
		errs = append(errs, errors.New("ignored must be 1 or more"))
	}
	return errors.Join(errs...)
}
