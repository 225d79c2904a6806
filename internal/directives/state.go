package directives

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

const (
	maxDirectives = 64
	maxHistory    = 32
	maxSeenIDs    = 64
)

// Errors of valid commands that can't be applied. Their texts are stored in the history, which gateways show.
var (
	ErrTooMany  = errors.New("directives: the book is full")
	ErrNotFound = errors.New("directives: there is no such directive")
)

// Change is an entry of the history: a command from the log, and its error if it could not be applied.
type Change struct {
	Index uint64 `json:"index"`
	Command
	Failed string `json:"failed,omitempty"`
}

// State is the set of directives at an index of the log. All gateways have the same state for the same index.
type State struct {
	Index      uint64      `json:"index"`
	Directives []Directive `json:"held,omitempty"` // sorted by kind and subject
	History    []Change    `json:"history,omitempty"`
	SeenIDs    []string    `json:"seen,omitempty"` // IDs of the latest commands, for deduplication
}

// compareDirectives orders directives by kind and subject.
func compareDirectives(a, b Directive) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// applyEntry applies the log entry at an index. A command that fails is recorded in the history with its error. An
// entry without data is the one that raft appends when a new leader is elected.
func (s *State) applyEntry(index uint64, data []byte) (c Command, err error) {
	s.Index = index
	if len(data) == 0 {
		return c, nil
	}
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("directives: log entry %d: %w", index, err)
	}
	if slices.Contains(s.SeenIDs, c.ID) {
		return c, nil
	}
	s.SeenIDs = append(s.SeenIDs, c.ID)
	s.SeenIDs = s.SeenIDs[max(0, len(s.SeenIDs)-maxSeenIDs):]
	err = s.applyCommand(c)
	change := Change{Index: index, Command: c}
	if err != nil {
		change.Failed = err.Error()
	}
	s.History = append(s.History, change)
	s.History = s.History[max(0, len(s.History)-maxHistory):]
	return c, err
}

// applyCommand adds, replaces or removes a directive.
func (s *State) applyCommand(c Command) error {
	if err := c.Validate(); err != nil {
		return err
	}
	i, found := slices.BinarySearchFunc(s.Directives, c.Directive, compareDirectives)
	switch {
	case c.Op == Unset && !found:
		return ErrNotFound
	case c.Op == Unset:
		s.Directives = slices.Delete(s.Directives, i, i+1)
	case found:
		s.Directives[i] = c.Directive
	case len(s.Directives) >= maxDirectives:
		return ErrTooMany
	default:
		s.Directives = slices.Insert(s.Directives, i, c.Directive)
	}
	return nil
}

// Subjects returns the subjects of all directives of a kind.
func (s *State) Subjects(k Kind) (subjects []string) {
	for _, d := range s.Directives {
		if d.Kind == k {
			subjects = append(subjects, d.Subject)
		}
	}
	return subjects
}

// Value returns the value of a kind that has no subjects. It returns ok false if there is no such directive.
func (s *State) Value(k Kind) (v float64, ok bool) {
	for _, d := range s.Directives {
		if d.Kind == k {
			return d.Value, true
		}
	}
	return 0, false
}

func (s *State) encode() ([]byte, error) {
	raw, err := json.Marshal(s)
	if err != nil {
		return nil, fmt.Errorf("directives: encode the state of index %d: %w", s.Index, err)
	}
	return raw, nil
}

func (s *State) clone() State {
	c := *s
	c.Directives, c.History, c.SeenIDs = slices.Clone(s.Directives), slices.Clone(s.History), slices.Clone(s.SeenIDs)
	return c
}
