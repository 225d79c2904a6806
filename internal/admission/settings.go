package admission

import (
	"errors"
	"fmt"

	"go4.org/netipx"

	"foxlane/rules"
)

// Settings are what the operator sets of admission control (block fair, docs/ops/fair.md).
type Settings struct {
	Tenants        []Tenant
	Networks       []Network // the first that holds an address counts
	UnlistedWeight float64   // weight of an address that no network holds

	// AnyTenant allows clients to name tenants that neither the site nor the operator
	// declares. Such a name makes a client of the address that it comes from, unless its
	// network is trusted to name tenants.
	AnyTenant bool

	ModuleQueueDepth int        // requests of a class that may wait in the decision module while others are queued
	Burst            rules.Time // work that a tenant gets ahead of its share after it was idle
	MaxRetryAfter    rules.Time // 0: no Retry-After is sent
	MaxEarlyReturns  int        // requests in a row that a connection may send before its Retry-After has passed
}

// Tenant is a declared tenant.
type Tenant struct {
	Name     string
	Weight   float64
	Networks []string // from which clients may name it; nil: any
}

// Network is a named set of addresses.
type Network struct {
	Name         string
	Addresses    *netipx.IPSet
	Weight       float64 // of each address, or of all together
	SharedTenant bool    // its addresses share as clients of one tenant
	Trusted      bool    // tenants named from there need no declaration
}

// Defaults are the settings of a file that names none. ModuleQueueDepth leaves the decision
// module a choice and is short enough that one run bounds the wait; Burst is about one
// short query.
func Defaults() Settings {
	return Settings{UnlistedWeight: 1, ModuleQueueDepth: 4, Burst: 100 * rules.Millisecond, MaxRetryAfter: 30 * rules.Second, MaxEarlyReturns: 8}
}

const (
	maxWeight           = 1e6
	minWeight           = 1e-6
	maxModuleQueueDepth = 1024
)

// Errors that those of Settings.Validate wrap.
var (
	ErrDuplicate      = errors.New("comes twice")
	ErrOutOfRange     = errors.New("not within")
	ErrUnknownNetwork = errors.New("no network")
	ErrNegative       = errors.New("must not be under 0")
)

// Validate returns all errors of the settings together, nil if they can be used. Each names its block and
// key in the operator's file.
func (s Settings) Validate() error {
	errs := []error{checkWeight("unlisted", "addresses", s.UnlistedWeight)}
	networks, tenants := names{}, names{}
	for _, n := range s.Networks {
		errs = append(errs, networks.add("network", n.Name), checkWeight("network", n.Name, n.Weight))
	}
	for _, t := range s.Tenants {
		errs = append(errs, tenants.add("tenant", t.Name), checkWeight("tenant", t.Name, t.Weight))
		for _, n := range t.Networks {
			if !networks[n] {
				errs = append(errs, fmt.Errorf("tenant %q: %w %q", t.Name, ErrUnknownNetwork, n))
			}
		}
	}
	if s.ModuleQueueDepth < 1 || s.ModuleQueueDepth > maxModuleQueueDepth {
		errs = append(errs, fmt.Errorf("ahead is %d, %w 1 and %d", s.ModuleQueueDepth, ErrOutOfRange, maxModuleQueueDepth))
	}
	if s.Burst < 0 || s.MaxRetryAfter < 0 {
		errs = append(errs, fmt.Errorf("burst and longest %w", ErrNegative))
	}
	if s.MaxEarlyReturns < 1 {
		errs = append(errs, errors.New("ignored must be 1 or more"))
	}
	return errors.Join(errs...)
}

// names are those of the blocks of one kind.
type names map[string]bool

func (n names) add(block, name string) error {
	if n[name] {
		return fmt.Errorf("%s %q %w", block, name, ErrDuplicate)
	}
	n[name] = true
	return nil
}

func checkWeight(block, name string, weight float64) error {
	if !(weight >= minWeight && weight <= maxWeight) { // also NaN
		return fmt.Errorf("%s %q: weight %v is %w %v and %v", block, name, weight, ErrOutOfRange, minWeight, maxWeight)
	}
	return nil
}
