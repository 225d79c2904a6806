// Package directives replicates operators' directives to all gateways: drains of zones and engines, rejected request
// classes and a limit on spillover. Directives are few and change rarely, so a single raft log holds them all. One,
// three or five configured gateways are its voters; all other gateways follow the committed state.
//
// The package is pure: time arrives as ticks, disk writes and messages are returned as effects, and a message is sent
// only after the state that it depends on is persisted. Readers of State carry the directives out.
package directives

import (
	"errors"
	"fmt"
)

// Kind is the type of a directive.
type Kind string

// Kinds of directives.
const (
	DrainZone      Kind = "drain-zone"   // Subject: a zone
	DrainEngine    Kind = "drain-engine" // Subject: an engine's id
	RejectClass    Kind = "refuse-class" // Subject: a request class
	SpilloverLimit Kind = "spill"        // Value: the fraction of a zone's capacity that load of other zones may use
)

// Directive is an operator's instruction to all gateways.
type Directive struct {
	Kind    Kind    `json:"kind"`
	Subject string  `json:"subject,omitempty"`
	Value   float64 `json:"value,omitempty"`
	By      string  `json:"by,omitempty"`    // the operator, as free text
	AtMS    int64   `json:"at_ms,omitempty"` // Unix milliseconds by the clock of the proposing voter; for display only
}

// Op is the operation of a command.
type Op string

// Operations.
const (
	Set   Op = "set"
	Unset Op = "unset"
)

// Command is a change of the state, as stored in the log.
type Command struct {
	ID string `json:"id"` // idempotency key: a command that is committed twice is applied once
	Op Op     `json:"op"`
	Directive
}

// maxTextBytes bounds each of a command's ID, subject and author.
const maxTextBytes = 64

// Validate returns an error if the command is malformed, whatever the state.
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
