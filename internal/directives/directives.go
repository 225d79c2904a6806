// Package directives replicates operators' directives, which must be the same at every gateway: drains of zones and engines, a limit on
// spillover, request classes that are rejected. They are few and change rarely: one log, replicated by raft among the one, three or five
// voters that the operators name. All other gateways follow what is committed.
//
// The package is pure: time comes as ticks, what is to be persisted and sent are effects, and nothing is sent before the state on which it
// rests is persisted. It does not carry directives out: readers of the State do.
package directives

import (
	"errors"
	"fmt"
)

// Kind is what a directive orders.
type Kind string

// Kinds of directives.
const (
	DrainZone      Kind = "drain-zone"   // Subject: a zone
	DrainEngine    Kind = "drain-engine" // Subject: an engine's id
	RejectClass    Kind = "refuse-class" // Subject: a request class
	SpilloverLimit Kind = "spill"        // Value: the part of a zone that load of other zones may take
)

// Directive is one order.
type Directive struct {
	Kind    Kind    `json:"kind"`
	Subject string  `json:"subject,omitempty"`
	Value   float64 `json:"value,omitempty"`
	By      string  `json:"by,omitempty"`    // who gave it, in their own words
	AtMS    int64   `json:"at_ms,omitempty"` // Unix milliseconds by the clock of the voter that took it; for display only
}

// Op is what a command does.
type Op string

// Ops.
const (
	Set   Op = "set"
	Unset Op = "unset"
)

// Command is a change of the state, as the log holds it.
type Command struct {
	ID string `json:"id"` // idempotency key: a command that is committed twice applies once
	Op Op     `json:"op"`
	Directive
}

// maxTextBytes bounds the texts of a command.
const maxTextBytes = 64

// Validate returns an error that says why the command can't be applied anywhere.
func (c Command) Validate() error {
	switch {
	case c.ID == "" || len(c.ID) > maxTextBytes || len(c.Subject) > maxTextBytes || len(c.By) > maxTextBytes:
		return fmt.Errorf("directives: id, subject and by may have %d bytes, and an id is needed", maxTextBytes)
	case c.Op != Set && c.Op != Unset:
		return fmt.Errorf("directives: unknown op %q", c.Op)
	}
	switch c.Kind {
	case DrainZone, DrainEngine, RejectClass:
		if c.Subject == "" {
			return fmt.Errorf("directives: %s needs a subject", c.Kind)
		}
	case SpilloverLimit:
		if c.Subject != "" || c.Op == Set && !(c.Value >= 0 && c.Value <= 1) {
			return errors.New("directives: spill is a part, 0 to 1, and has no subject")
		}
	default:
		return fmt.Errorf("directives: unknown kind %q; there are %s, %s, %s and %s", c.Kind, DrainZone, DrainEngine, RejectClass, SpilloverLimit)
	}
	return nil
}
