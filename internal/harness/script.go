package harness

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
)

// This file owns scripts: a fleet and its faults, in one HCL file.

// Zone is a site of the fleet: gateways and engines that can be lost together.
type Zone struct {
	Name        string  `hcl:"name,label"`
	Gateways    int     `hcl:"gateways"`
	Engines     int     `hcl:"engines"`
	ClientShare float64 `hcl:"clients,optional"` // part of all requests, in any unit; 0: as many as it has engines
}

// Fault is a fault of a kind in faultKinds. From, To and Target are selectors: a party ("hall-a/g0", "hall-a/e1", "clients",
// "names"), a zone, all "gateways" or "engines", or anything ("*").
type Fault struct {
	Kind         string    `hcl:"kind,label"`
	Range        hcl.Range `hcl:",def_range"`
	AtText       string    `hcl:"at"`
	ForText      string    `hcl:"for,optional"`
	From         string    `hcl:"from,optional"`
	To           string    `hcl:"to,optional"`
	Both         bool      `hcl:"both,optional"` // from From to To, and back
	Target       string    `hcl:"of,optional"`
	DelayText    string    `hcl:"delay,optional"`
	JitterText   string    `hcl:"jitter,optional"`
	Loss         float64   `hcl:"loss,optional"`
	Rate         int       `hcl:"rate,optional"`
	Factor       float64   `hcl:"factor,optional"`
	Text         string    `hcl:"text,optional"`     // what the kind makes of it
	UnlistedText string    `hcl:"unlisted,optional"` // from the loss of a zone until the list says so

	At, For     time.Duration // AtText and ForText; For 0: it is never reverted
	Delay       time.Duration // DelayText
	jitter      time.Duration
	unlistAfter time.Duration
}

// Script is a fleet, its load and its faults. The names of blocks and attributes in the file predate those of the fields.
type Script struct {
	Zones          []Zone  `hcl:"zone,block"`
	Cores          int     `hcl:"cores"` // of an engine
	Load           float64 `hcl:"load"`  // work offered, as a part of what all engines can do
	LengthText     string  `hcl:"length"`
	Seed           uint64  `hcl:"seed,optional"`
	ColdText       string  `hcl:"cold,optional"`      // from an engine's start until it has its full speed
	ColdFrom       float64 `hcl:"cold_from,optional"` // part of its speed at its start
	OperatorFile   string  `hcl:"operator,optional"`  // text of the operator's file
	Gossip         bool    `hcl:"talk,optional"`      // gateways gossip, through a proxy for each two and direction
	OverloadFactor float64 `hcl:"overload,optional"`  // times its present speed that a cold engine can bear; 0: defaultOverloadFactor
	AbandonShare   float64 `hcl:"leave,optional"`     // part of clients that abandon their request
	KeyedShare     float64 `hcl:"notes,optional"`     // part of requests in a class with idempotency keys
	OrderedShare   float64 `hcl:"in_turn,optional"`   // in an ordered class
	FirstZoneShare float64 `hcl:"placed,optional"`    // in a class that may run in the first zone only
	RetryBudget    float64 `hcl:"ration,optional"`    // retries allowed for each request that is accepted; 0: any
	DeadlineFactor float64 `hcl:"deadlines,optional"` // times the default deadlines; 0: once
	WindowFactor   float64 `hcl:"windows,optional"`   // times the default idempotency windows; 0: once
	OneCore        bool    `hcl:"one_core,optional"`  // all gateways share one core
	Voters         int     `hcl:"voters,optional"`    // the number of gateways, the first ones, that vote on directives
	Faults         []Fault `hcl:"fault,block"`

	Length time.Duration
	Cold   time.Duration
}

const (
	maxLength  = 3 * time.Minute
	maxParties = 64 // gateways and engines
)

// LoadScript reads a script from a file.
func LoadScript(path string) (*Script, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("harness: script: %w", err)
	}
	return ParseScript(raw, path)
}

// ParseScript reads a script. An error names the place in the file, which is called name.
func ParseScript(raw []byte, name string) (*Script, error) {
	f, diags := hclparse.NewParser().ParseHCL(raw, name)
	if diags.HasErrors() {
		return nil, diags
	}
	s := &Script{Seed: 1, ColdFrom: 0.33}
	if diags := gohcl.DecodeBody(f.Body, nil, s); diags.HasErrors() {
		return nil, diags
	}
	return s, s.validate(name)
}

// parseSpan reads a time in text form; empty is 0. What names it in an error.
func parseSpan(what, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	span, err := time.ParseDuration(text)
	if err != nil || span < 0 {
		return 0, fmt.Errorf("%s: %q is no span of time", what, text)
	}
	return span, nil
}

// validate reads the times of the script, and returns an error that names what can't be played.
func (s *Script) validate(name string) (err error) {
	if s.Length, err = parseSpan(name+": length", s.LengthText); err != nil {
		return err
	}
	if s.Cold, err = parseSpan(name+": cold", s.ColdText); err != nil {
		return err
	}
	gateways, engines := 0, 0
	for i, z := range s.Zones {
		gateways, engines = gateways+z.Gateways, engines+z.Engines
		if z.Gateways < 0 || z.Engines < 0 || z.ClientShare < 0 || slices.ContainsFunc(s.Zones[:i], func(o Zone) bool { return o.Name == z.Name }) {
			return fmt.Errorf("%s: zone %q comes twice, or has a count under 0", name, z.Name)
		}
	}
	switch {
	case s.Length <= 0 || s.Length > maxLength:
		return fmt.Errorf("%s: length must be over 0 and at most %v", name, maxLength)
	case gateways == 0 || engines == 0 || gateways+engines > maxParties:
		return fmt.Errorf("%s: %d gateways and %d engines; at least one of each and %d in all are possible", name, gateways, engines, maxParties)
	case s.Voters != 0 && (!s.Gossip || s.Voters < 0 || s.Voters > gateways):
		return fmt.Errorf("%s: voters need talk, and as many gateways", name)
	case s.Cores < 1 || !(s.Load > 0 && s.Load <= 10) || !(s.ColdFrom > 0 && s.ColdFrom <= 1):
		return fmt.Errorf("%s: cores must be at least 1, load within 0 and 10, cold_from within 0 and 1", name)
	}
	for i := range s.Faults {
		if err := s.Faults[i].validate(s); err != nil {
			return err
		}
	}
	return nil
}

// validate reads the times of a fault, and returns an error that names its place and what can't be played in the script.
func (f *Fault) validate(s *Script) error {
	at := f.Range.String()
	kind, ok := faultKinds[f.Kind]
	if !ok {
		return fmt.Errorf("%s: unknown fault %q", at, f.Kind)
	}
	for _, span := range []struct {
		what, text string
		to         *time.Duration
	}{{"at", f.AtText, &f.At}, {"for", f.ForText, &f.For}, {"delay", f.DelayText, &f.Delay}, {"jitter", f.JitterText, &f.jitter},
		{"unlisted", f.UnlistedText, &f.unlistAfter}} {
		var err error
		if *span.to, err = parseSpan(at+": "+span.what, span.text); err != nil {
			return err
		}
	}
	switch {
	case kind.target && f.Target == "":
		return fmt.Errorf("%s: %s needs `of`", at, f.Kind)
	case kind.link && (f.From == "" || f.To == ""):
		return fmt.Errorf("%s: %s needs `from` and `to`", at, f.Kind)
	case (f.Kind == "burst" || f.Kind == "slow") && !(f.Factor > 0):
		return fmt.Errorf("%s: %s needs a factor over 0", at, f.Kind)
	case f.Kind == "signals" && !validSignals(f.Text):
		return fmt.Errorf("%s: signals needs a text of HUP, TERM, STOP and CONT", at)
	case f.Loss < 0 || f.Loss > 1 || f.Rate < 0:
		return fmt.Errorf("%s: loss is a part, 0 to 1, and rate at least 0", at)
	}
	if f.Kind == "lists" {
		if err := validateListFault(f, at); err != nil {
			return err
		}
	}
	for _, selector := range []string{f.Target, f.From, f.To} {
		if selector != "" && !s.hasParty(selector) {
			return fmt.Errorf("%s: nothing here is called %q", at, selector)
		}
	}
	return nil
}

// validSignals reports whether a text is a series of signals.
func validSignals(text string) bool {
	names := strings.Fields(text)
	return len(names) > 0 && !slices.ContainsFunc(names, func(n string) bool { return signalNames[n] == 0 })
}

// hasParty reports whether a selector names something in the script.
func (s *Script) hasParty(selector string) bool {
	if slices.Contains([]string{"*", "clients", "names", "gateways", "engines"}, selector) {
		return true
	}
	zone, rest, one := strings.Cut(selector, "/")
	for _, z := range s.Zones {
		if z.Name != zone {
			continue
		}
		if !one {
			return true
		}
		for i := range z.Gateways {
			if rest == fmt.Sprint("g", i) {
				return true
			}
		}
		for i := range z.Engines {
			if rest == fmt.Sprint("e", i) {
				return true
			}
		}
	}
	return false
}

// party is one end of links: a gateway, an engine, all clients, or all name servers.
type party struct{ name, zone, kind string }

var (
	clientsParty = party{"clients", "", "clients"}
	namesParty   = party{"names", "", "names"}
)

// matches reports whether a selector of a script names the party.
func (p party) matches(selector string) bool {
	return selector == "*" || selector == p.name || selector == p.zone || selector == p.kind
}
