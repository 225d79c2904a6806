// Package directives keeps what operators have ordered and what must be the same everywhere: drains of zones and engines, a limit of
// spill, classes that are refused. They are few, and changed by few: one log, replicated by raft among three or five voters that
// the operators name; all others follow what is committed.
//
// It owns the book of directives and the voters' log in memory. It is pure: time comes as ticks, what is to be kept on a disk and said to
// others are effects, and nothing is said before what it rests on is kept. It must never carry a directive out: who reads the
// book does.
package directives

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Kind is what a directive orders.
type Kind string

// Kinds of directives.
const (
	DrainZone      Kind = "drain-zone"   // Subject: a zone
	DrainEngine    Kind = "drain-engine" // Subject: an engine's id
	RejectClass    Kind = "refuse-class" // Subject: a class
	SpilloverLimit Kind = "spill"        // Value: part of a zone that foreign load takes at most
)

// Directive is one order.
type Directive struct {
	Kind    Kind    `json:"kind"`
	Subject string  `json:"subject,omitempty"`
	Value   float64 `json:"value,omitempty"`
	By      string  `json:"by,omitempty"`    // who gave it, in their own words
	AtMS    int64   `json:"at_ms,omitempty"` // Unix milliseconds by the clock of who took it; only shown
}

// Op is what a command does.
type Op string

// Ops.
const (
	Set   Op = "set"
	Unset Op = "unset"
)

// Command is a change of the book, as the log holds it.
type Command struct {
	ID string `json:"id"` // of this command: one that comes twice counts once
	Op Op     `json:"op"`
	Directive
}

const (
	maxDirectives = 64
	maxTextBytes  = 64
	maxHistory    = 32
	maxSeenIDs    = 64
)

// Errors of commands.
var (
	ErrTooMany  = errors.New("directives: the book is full")
	ErrNotFound = errors.New("directives: there is no such directive")
)

// Validate says what can't be ordered.
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

// Change is a command that was applied.
type Change struct {
	Index uint64 `json:"index"`
	Command
	Failed string `json:"failed,omitempty"`
}

// State is what holds, as of an index of the log. Books of one index are the same everywhere.
type State struct {
	Index      uint64      `json:"index"`
	Directives []Directive `json:"held,omitempty"` // sorted by kind and subject
	History    []Change    `json:"history,omitempty"`
	SeenIDs    []string    `json:"seen,omitempty"` // ids of the latest commands
}

func compare(a, b Directive) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// apply takes the entry of an index. One that comes twice counts once; one that can't be done is in the history with its cause.
func (b *State) apply(index uint64, data []byte) (c Command, err error) {
	b.Index = index
	if len(data) == 0 { // a new leader's
		return c, nil
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, err
	}
	if slices.Contains(b.SeenIDs, c.ID) {
		return c, nil
	}
	b.SeenIDs = append(b.SeenIDs, c.ID)
	b.SeenIDs = b.SeenIDs[max(0, len(b.SeenIDs)-maxSeenIDs):]
	err = b.change(c)
	ch := Change{Index: index, Command: c}
	if err != nil {
		ch.Failed = err.Error()
	}
	b.History = append(b.History, ch)
	b.History = b.History[max(0, len(b.History)-maxHistory):]
	return c, err
}

func (b *State) change(c Command) error {
	if err := c.Validate(); err != nil {
		return err
	}
	i, found := slices.BinarySearchFunc(b.Directives, c.Directive, compare)
	switch {
	case c.Op == Unset && !found:
		return ErrNotFound
	case c.Op == Unset:
		b.Directives = slices.Delete(b.Directives, i, i+1)
	case found:
		b.Directives[i] = c.Directive
	case len(b.Directives) >= maxDirectives:
		return ErrTooMany
	default:
		b.Directives = slices.Insert(b.Directives, i, c.Directive)
	}
	return nil
}

// Subjects are the subjects of a kind that hold.
func (b *State) Subjects(k Kind) (subjects []string) {
	for _, d := range b.Directives {
		if d.Kind == k {
			subjects = append(subjects, d.Subject)
		}
	}
	return subjects
}

// Value is that of a kind without subjects.
func (b *State) Value(k Kind) (v float64, ok bool) {
	for _, d := range b.Directives {
		if d.Kind == k {
			return d.Value, true
		}
	}
	return 0, false
}

func (b *State) encode() []byte {
	raw, err := json.Marshal(b)
	if err != nil {
		panic(err) // of plain values: it can't fail
	}
	return raw
}

func (b *State) clone() State {
	c := *b
	c.Directives, c.History, c.SeenIDs = slices.Clone(b.Directives), slices.Clone(b.History), slices.Clone(b.SeenIDs)
	return c
}
