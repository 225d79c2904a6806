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

// This file reads scripts: HCL files that describe a fleet, its load and its faults.

// Zone is a site of the fleet: gateways and engines that can be lost together.
type Zone struct {
	Name        string  `hcl:"name,label"`
	Gateways    int     `hcl:"gateways"`
	Engines     int     `hcl:"engines"`
	ClientShare float64 `hcl:"clients,optional"` // relative share of all requests; 0: its number of engines
}

// Fault is a fault of one of the kinds in faultKinds. From, To and Target are selectors: a party ("hall-a/g0",
// "hall-a/e1", "clients", "names"), a zone, all "gateways" or "engines", or everything ("*").
type Fault struct {
	Kind         string    `hcl:"kind,label"`
	Range        hcl.Range `hcl:",def_range"`
	AtText       string    `hcl:"at"`
	ForText      string    `hcl:"for,optional"`
	From         string    `hcl:"from,optional"`
	To           string    `hcl:"to,optional"`
	Both         bool      `hcl:"both,optional"` // it also affects the direction from To to From
	Target       string    `hcl:"of,optional"`
	DelayText    string    `hcl:"delay,optional"`
	JitterText   string    `hcl:"jitter,optional"`
	Loss         float64   `hcl:"loss,optional"`
	Rate         int       `hcl:"rate,optional"`
	Factor       float64   `hcl:"factor,optional"`
	Text         string    `hcl:"text,optional"`     // its meaning depends on the kind
	UnlistedText string    `hcl:"unlisted,optional"` // from the loss of a zone until its engines leave the list

	At, For     time.Duration // parsed AtText and ForText; For 0: the fault is never reverted
	Delay       time.Duration // parsed DelayText
	jitter      time.Duration
	unlistAfter time.Duration
}

// Script is a fleet, its load and its faults. The names of blocks and attributes in the file are older than those of
// the fields.
type Script struct {
	Zones          []Zone  `hcl:"zone,block"`
	Cores          int     `hcl:"cores"` // of each engine
	Load           float64 `hcl:"load"`  // offered work, as a fraction of the capacity of all engines
	LengthText     string  `hcl:"length"`
	Seed           uint64  `hcl:"seed,optional"`
	ColdText       string  `hcl:"cold,optional"`      // from the start of an engine until it runs at full speed
	ColdFrom       float64 `hcl:"cold_from,optional"` // speed of an engine at its start, as a fraction of its full speed
	OperatorFile   string  `hcl:"operator,optional"`  // text of the operator's file
	Gossip         bool    `hcl:"talk,optional"`      // gateways gossip, through one proxy per pair and direction
	OverloadFactor float64 `hcl:"overload,optional"`  // load limit of cold engines over their speed; 0: the default
	AbandonShare   float64 `hcl:"leave,optional"`     // fraction of clients that abandon their request
	KeyedShare     float64 `hcl:"notes,optional"`     // fraction of requests in the class with idempotency keys
	OrderedShare   float64 `hcl:"in_turn,optional"`   // fraction of requests in the ordered class
	FirstZoneShare float64 `hcl:"placed,optional"`    // fraction of requests in the class of the first zone only
	RetryBudget    float64 `hcl:"ration,optional"`    // retries allowed per accepted request; 0: unlimited
	DeadlineFactor float64 `hcl:"deadlines,optional"` // multiplies the default deadlines; 0: unchanged
	WindowFactor   float64 `hcl:"windows,optional"`   // multiplies the default idempotency windows; 0: unchanged
	OneCore        bool    `hcl:"one_core,optional"`  // all gateways share one core
	MemoryMB       int     `hcl:"memory_mb,optional"` // memory limit of each gateway; 0: the default
	Sockets        int     `hcl:"sockets,optional"`   // descriptor limit of each gateway; 0: the default
	Voters         int     `hcl:"voters,optional"`    // how many gateways, counted from the first, vote on directives
	Faults         []Fault `hcl:"fault,block"`

	Length time.Duration
	Cold   time.Duration
}

const (
	maxLength  = 3 * time.Minute
	maxParties = 64 // gateways and engines together
)

// LoadScript reads and checks a script file.
func LoadScript(path string) (*Script, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("harness: script: %w", err)
	}
	return ParseScript(raw, path)
}

// ParseScript parses and checks a script. Errors name the place in the script by name, the name of its file.
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

// parseDuration parses a duration of at least 0; an empty text is 0. An error begins with what.
func parseDuration(what, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	duration, err := time.ParseDuration(text)
	if err != nil || duration < 0 {
		return 0, fmt.Errorf("%s: %q is not a duration of at least 0", what, text)
	}
	return duration, nil
}

// validate parses the durations of the script and of its faults, and returns an error that names the first invalid
// value.
func (s *Script) validate(name string) (err error) {
	if s.Length, err = parseDuration(name+": length", s.LengthText); err != nil {
		return err
	}
	if s.Cold, err = parseDuration(name+": cold", s.ColdText); err != nil {
		return err
	}
	gateways, engines := 0, 0
	for i, z := range s.Zones {
		gateways, engines = gateways+z.Gateways, engines+z.Engines
		if z.Gateways < 0 || z.Engines < 0 || z.ClientShare < 0 || slices.ContainsFunc(s.Zones[:i], func(o Zone) bool { return o.Name == z.Name }) {
			return fmt.Errorf("%s: zone %q is defined twice or has a negative count", name, z.Name)
		}
	}
	switch {
	case s.Length <= 0 || s.Length > maxLength:
		return fmt.Errorf("%s: length must be over 0 and at most %v", name, maxLength)
	case gateways == 0 || engines == 0 || gateways+engines > maxParties:
		return fmt.Errorf("%s: %d gateways and %d engines; there must be at least one of each and at most %d in all", name, gateways, engines, maxParties)
	case s.Voters != 0 && (!s.Gossip || s.Voters < 0 || s.Voters > gateways):
		return fmt.Errorf("%s: voters need talk, and must be from 0 to the number of gateways", name)
	case s.MemoryMB < 0 || s.Sockets < 0:
		return fmt.Errorf("%s: memory_mb and sockets must not be negative", name)
	case s.Cores < 1 || !(s.Load > 0 && s.Load <= 10) || !(s.ColdFrom > 0 && s.ColdFrom <= 1):
		return fmt.Errorf("%s: cores must be at least 1, load over 0 and at most 10, cold_from over 0 and at most 1", name)
	}
	for i := range s.Faults {
		if err := s.Faults[i].validate(s); err != nil {
			return err
		}
	}
	return nil
}

// validate parses the durations of a fault of a script, and returns an error that names the fault's place in the file
// and the first invalid value.
func (f *Fault) validate(s *Script) error {
	place := f.Range.String()
	kind, ok := faultKinds[f.Kind]
	if !ok {
		return fmt.Errorf("%s: unknown fault %q", place, f.Kind)
	}
	for _, field := range []struct {
		what, text string
		to         *time.Duration
	}{{"at", f.AtText, &f.At}, {"for", f.ForText, &f.For}, {"delay", f.DelayText, &f.Delay}, {"jitter", f.JitterText, &f.jitter},
		{"unlisted", f.UnlistedText, &f.unlistAfter}} {
		var err error
		if *field.to, err = parseDuration(place+": "+field.what, field.text); err != nil {
			return err
		}
	}
	switch {
	case kind.target && f.Target == "":
		return fmt.Errorf("%s: %s needs `of`", place, f.Kind)
	case kind.link && (f.From == "" || f.To == ""):
		return fmt.Errorf("%s: %s needs `from` and `to`", place, f.Kind)
	case (f.Kind == "burst" || f.Kind == "slow") && !(f.Factor > 0):
		return fmt.Errorf("%s: %s needs a factor over 0", place, f.Kind)
	case f.Kind == "signals" && !validSignals(f.Text):
		return fmt.Errorf("%s: signals needs a text made of HUP, TERM, STOP and CONT", place)
	case f.Loss < 0 || f.Loss > 1 || f.Rate < 0:
		return fmt.Errorf("%s: loss must be from 0 to 1, and rate at least 0", place)
	}
	if f.Kind == "lists" {
		if err := validateListFault(f, place); err != nil {
			return err
		}
	}
	for _, selector := range []string{f.Target, f.From, f.To} {
		if selector != "" && !s.hasParty(selector) {
			return fmt.Errorf("%s: no party or zone is called %q", place, selector)
		}
	}
	return nil
}

// validSignals reports whether a text is a nonempty list of names in signalsByName.
func validSignals(text string) bool {
	names := strings.Fields(text)
	return len(names) > 0 && !slices.ContainsFunc(names, func(n string) bool { return signalsByName[n] == 0 })
}

// hasParty reports whether a selector matches anything in the script.
func (s *Script) hasParty(selector string) bool {
	if slices.Contains([]string{"*", "clients", "names", "gateways", "engines"}, selector) {
		return true
	}
	zone, rest, hasRest := strings.Cut(selector, "/")
	for _, z := range s.Zones {
		if z.Name != zone {
			continue
		}
		if !hasRest {
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

// party is an end of links: a gateway, an engine, all clients together, or all name servers together.
type party struct{ name, zone, kind string }

var (
	clientsParty     = party{"clients", "", "clients"}
	nameServersParty = party{"names", "", "names"}
)

// matches reports whether a selector of a script includes the party.
func (p party) matches(selector string) bool {
	return selector == "*" || selector == p.name || selector == p.zone || selector == p.kind
}
