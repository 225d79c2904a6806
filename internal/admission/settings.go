package admission

import (
	"errors"
	"fmt"

	"go4.org/netipx"

	"foxlane/rules"
)

// Settings is the operator's configuration of admission control (block fair, docs/ops/fair.md).
type Settings struct {
	Tenants        []Tenant
	Networks       []Network // the first network that contains an address applies
	UnlistedWeight float64   // weight of an address that no network contains

	// AnyTenant allows clients to declare tenants that neither the site nor the operator
	// declares. Such a name only identifies another client of the tenant of its address, unless
	// the network of the address is trusted to declare tenants.
	AnyTenant bool

	ModuleQueueDepth int        // requests of a class that may wait in the decision module while others are queued
	Burst            rules.Time // work that a tenant may run ahead of its share after it was idle
	MaxRetryAfter    rules.Time // longest Retry-After; 0: none is sent
	MaxEarlyReturns  int        // consecutive requests that a connection may send before its Retry-After has passed
}

// Tenant is a declared tenant.
type Tenant struct {
	Name     string
	Weight   float64
	Networks []string // networks from which clients may declare it; nil: any address
}

// Network is a named set of addresses.
type Network struct {
	Name         string
	Addresses    *netipx.IPSet
	Weight       float64 // of each address, or of the shared tenant
	SharedTenant bool    // its addresses are clients of one tenant
	Trusted      bool    // its clients may declare any tenant
}

// Defaults returns the settings used where the operator sets nothing. ModuleQueueDepth gives the decision module
// several requests to choose from, and is small enough that the wait is bounded by about one run. Burst is about one
// short query.
func Defaults() Settings {
	return Settings{UnlistedWeight: 1, ModuleQueueDepth: 4, Burst: 100 * rules.Millisecond, MaxRetryAfter: 30 * rules.Second, MaxEarlyReturns: 8}
}

const (
	maxWeight           = 1e6
	minWeight           = 1e-6
	maxModuleQueueDepth = 1024
)

// Errors wrapped by the result of Settings.Validate.
var (
	ErrDuplicate      = errors.New("is declared twice")
	ErrOutOfRange     = errors.New("not between")
	ErrUnknownNetwork = errors.New("is not declared")
	ErrNegative       = errors.New("must not be negative")
)

// Validate returns all errors of the settings, joined, or nil if the settings are valid. Each error names the block
// and the key in the operator's file.
func (s Settings) Validate() error {
	errs := []error{checkWeight("unlisted", "addresses", s.UnlistedWeight)}
	networks, tenants := nameSet{}, nameSet{}
	for _, n := range s.Networks {
		errs = append(errs, networks.add("network", n.Name), checkWeight("network", n.Name, n.Weight))
	}
	for _, t := range s.Tenants {
		errs = append(errs, tenants.add("tenant", t.Name), checkWeight("tenant", t.Name, t.Weight))
		for _, n := range t.Networks {
			if !networks[n] {
				errs = append(errs, fmt.Errorf("tenant %q: network %q %w", t.Name, n, ErrUnknownNetwork))
			}
		}
	}
	if s.ModuleQueueDepth < 1 || s.ModuleQueueDepth > maxModuleQueueDepth {
		errs = append(errs, fmt.Errorf("ahead: %d is %w 1 and %d", s.ModuleQueueDepth, ErrOutOfRange, maxModuleQueueDepth))
	}
	if s.Burst < 0 || s.MaxRetryAfter < 0 {
		errs = append(errs, fmt.Errorf("burst and longest %w", ErrNegative))
	}
	if s.MaxEarlyReturns < 1 {
		errs = append(errs, errors.New("ignored must be at least 1"))
	}
	return errors.Join(errs...)
}

// nameSet is the set of names of the blocks of one kind.
type nameSet map[string]bool

func (n nameSet) add(block, name string) error {
	if n[name] {
		return fmt.Errorf("%s %q %w", block, name, ErrDuplicate)
	}
	n[name] = true
	return nil
}

func checkWeight(block, name string, weight float64) error {
	if !(weight >= minWeight && weight <= maxWeight) { // NaN is rejected as well
		return fmt.Errorf("%s %q: weight: %v is %w %v and %v", block, name, weight, ErrOutOfRange, minWeight, maxWeight)
	}
	return nil
}
