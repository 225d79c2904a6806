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

// This file owns scripts: a rig and what befalls it, in one HCL file.

// Zone is a site: gateways and engines that are lost together.
type Zone struct {
	Name        string  `hcl:"name,label"`
	Gateways    int     `hcl:"gateways"`
	Engines     int     `hcl:"engines"`
	ClientShare float64 `hcl:"clients,optional"` // part of all requests, in any unit; 0: as many as it has engines
}

// Fault is something that befalls a rig. From, To and Of name a party ("hall-a/g0", "hall-a/e1", "clients", "names"), a zone, all
// "gateways" or "engines", or anything ("*").
type Fault struct {
	Kind         string    `hcl:"kind,label"`
	Range        hcl.Range `hcl:",def_range"`
	AtText       string    `hcl:"at"`
	ForText      string    `hcl:"for,optional"`
	From         string    `hcl:"from,optional"`
	To           string    `hcl:"to,optional"`
	Both         bool      `hcl:"both,optional"` // both ways
	Target       string    `hcl:"of,optional"`
	DelayText    string    `hcl:"delay,optional"`
	JitterText   string    `hcl:"jitter,optional"`
	Loss         float64   `hcl:"loss,optional"`
	Rate         int       `hcl:"rate,optional"`
	Factor       float64   `hcl:"factor,optional"`
	Text         string    `hcl:"text,optional"`     // of an order: its kind and subject
	UnlistedText string    `hcl:"unlisted,optional"` // from a loss until the list says so

	At, For     time.Duration
	Delay       time.Duration // as Delay says
	jitter      time.Duration
	unlistAfter time.Duration
}

// Kinds of faults, and what each needs.
var faultKinds = map[string]struct{ of, ways bool }{
	"lose":       {of: true},   // a zone, gateways killed and engines silent; it comes back cold after `for`
	"silence":    {of: true},   // nothing comes to or from it
	"freeze":     {of: true},   // gateways are stopped and go on after `for`
	"kill":       {of: true},   // gateways are killed, and started after `for`
	"restart":    {of: true},   // gateways are asked to end, and started again once they have
	"reset":      {of: true},   // its connections are reset
	"drain":      {of: true},   // the operator's file drains a zone
	"burst":      {of: true},   // clients of a zone ask `factor` times as much
	"slow":       {of: true},   // engines take `factor` times as long
	"order":      {of: true},   // a gateway is asked for a directive: `text` is its kind and subject
	"hush":       {},           // the operator's file switches the gateways' talk off
	"mode":       {of: true},   // engines meet a part (`factor`) of requests with `text`: hang, error, spoil, break
	"retire":     {of: true},   // engines drain, end after `for`, and come back cold; `text` is gone, both, flap or newid: see troubles.go
	"term":       {of: true},   // gateways are asked to end, killed as early as the pages allow, and started again
	"signals":    {of: true},   // gateways get a series: `text` is "HUP TERM STOP CONT"; behind a TERM as with term
	"late-dials": {of: true},   // a part (`factor`) of connections to engines come up late by up to `delay` (test doubles)
	"reload":     {of: true},   // gateways read their files again
	"step":       {of: true},   // the wall clock is stepped by `factor` seconds (test doubles)
	"calls":      {of: true},   // a part (`factor`) of calls fails: `text` is "dial,accept ENETUNREACH" (test doubles)
	"disk":       {of: true},   // a part of calls on the folder of results fails: `text` is "write,sync EIO" (test doubles)
	"files":      {of: true},   // gateways may open few descriptors beyond those that are open
	"log":        {of: true},   // nobody reads the log
	"rogue":      {of: true},   // clients that keep to no protocol
	"leave":      {},           // a part (`factor`) of clients leave before their answer
	"fifo":       {of: true},   // the configuration is replaced by a pipe, and back
	"dark":       {},           // the name service says nothing
	"late":       {},           // what it says is late by `delay`
	"lists":      {of: true},   // a part (`factor`) of its answers to gateways is `text`: see names.go; late ones by up to `delay`
	"cut":        {ways: true}, // nothing comes through from one to the other
	"link":       {ways: true}, // delay, jitter, loss, rate
}

// Script is a rig, and what befalls it.
type Script struct {
	Zones          []Zone  `hcl:"zone,block"`
	Cores          int     `hcl:"cores"` // of an engine
	Load           float64 `hcl:"load"`  // work offered over what all engines do
	LengthText     string  `hcl:"length"`
	Seed           uint64  `hcl:"seed,optional"`
	ColdText       string  `hcl:"cold,optional"` // until an engine that has started has all of its speed
	ColdFrom       float64 `hcl:"cold_from,optional"`
	OperatorFile   string  `hcl:"operator,optional"`  // text of the operator's file
	Gossip         bool    `hcl:"talk,optional"`      // gateways talk to one another, through relays by pair
	OverloadFactor float64 `hcl:"overload,optional"`  // times its speed that a cold engine bears; 0: 3
	AbandonShare   float64 `hcl:"leave,optional"`     // part of clients that leave before their answer
	KeyedShare     float64 `hcl:"notes,optional"`     // part of requests of a keyed class
	OrderedShare   float64 `hcl:"in_turn,optional"`   // of an ordered class
	FirstZoneShare float64 `hcl:"placed,optional"`    // of a class that runs in the first zone only
	RetryBudget    float64 `hcl:"ration,optional"`    // further attempts allowed for each request taken; 0: any
	DeadlineFactor float64 `hcl:"deadlines,optional"` // times the usual deadlines; 0: once
	WindowFactor   float64 `hcl:"windows,optional"`   // times the usual windows for repeats; 0: once
	OneCore        bool    `hcl:"one_core,optional"`  // all gateways share one core
	Voters         int     `hcl:"voters,optional"`    // of these, the first ones vote on directives
	Faults         []Fault `hcl:"fault,block"`

	Length time.Duration
	Cold   time.Duration
}

const (
	maxLength  = 3 * time.Minute
	maxParties = 64
)

// LoadScript reads a script from a file.
func LoadScript(path string) (*Script, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("script: %w", err)
	}
	return ParseScript(raw, path)
}

// ParseScript reads a script. What is wrong is told with its place.
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

// validate reads what is text, and says what can't be played.
func (s *Script) validate(name string) error {
	var err error
	span := func(what, text string, to *time.Duration) {
		if text == "" || err != nil {
			return
		}
		if *to, err = time.ParseDuration(text); err != nil || *to < 0 {
			err = fmt.Errorf("%s: %s: %q is no span of time", name, what, text)
		}
	}
	span("length", s.LengthText, &s.Length)
	span("cold", s.ColdText, &s.Cold)
	gateways, engines := 0, 0
	for i, z := range s.Zones {
		gateways, engines = gateways+z.Gateways, engines+z.Engines
		if z.Gateways < 0 || z.Engines < 0 || z.ClientShare < 0 || slices.ContainsFunc(s.Zones[:i], func(o Zone) bool { return o.Name == z.Name }) {
			return fmt.Errorf("%s: zone %q comes twice, or has a count under 0", name, z.Name)
		}
	}
	switch {
	case err != nil:
		return err
	case s.Length <= 0 || s.Length > maxLength:
		return fmt.Errorf("%s: length must be over 0 and at most %v", name, maxLength)
	case gateways == 0 || engines == 0 || gateways+engines > maxParties:
		return fmt.Errorf("%s: %d gateways and %d engines; at least one of each and %d in all are possible", name, gateways, engines, maxParties)
	case s.Voters != 0 && (!s.Gossip || s.Voters > gateways):
		return fmt.Errorf("%s: voters need talk, and as many gateways", name)
	case s.Cores < 1 || !(s.Load > 0 && s.Load <= 10) || !(s.ColdFrom > 0 && s.ColdFrom <= 1):
		return fmt.Errorf("%s: cores must be at least 1, load within 0 and 10, cold_from within 0 and 1", name)
	}
	for i := range s.Faults {
		fault := &s.Faults[i]
		at := fault.Range.String()
		need, ok := faultKinds[fault.Kind]
		if !ok {
			return fmt.Errorf("%s: unknown fault %q", at, fault.Kind)
		}
		for _, t := range []struct {
			what, text string
			to         *time.Duration
		}{{"at", fault.AtText, &fault.At}, {"for", fault.ForText, &fault.For}, {"delay", fault.DelayText, &fault.Delay}, {"jitter", fault.JitterText, &fault.jitter},
			{"unlisted", fault.UnlistedText, &fault.unlistAfter}} {
			span(at+": "+t.what, t.text, t.to)
		}
		switch {
		case err != nil:
			return err
		case need.of && fault.Target == "":
			return fmt.Errorf("%s: %s needs `of`", at, fault.Kind)
		case need.ways && (fault.From == "" || fault.To == ""):
			return fmt.Errorf("%s: %s needs `from` and `to`", at, fault.Kind)
		case (fault.Kind == "burst" || fault.Kind == "slow") && !(fault.Factor > 0):
			return fmt.Errorf("%s: %s needs a factor over 0", at, fault.Kind)
		case fault.Kind == "signals" && !validSignals(fault.Text):
			return fmt.Errorf("%s: signals needs a text of HUP, TERM, STOP and CONT", at)
		case fault.Kind == "lists" && validateListFault(fault, at) != nil:
			return validateListFault(fault, at)
		case fault.Loss < 0 || fault.Loss > 1 || fault.Rate < 0:
			return fmt.Errorf("%s: loss is a part, 0 to 1, and rate at least 0", at)
		}
		for _, sel := range []string{fault.Target, fault.From, fault.To} {
			if sel != "" && !s.hasParty(sel) {
				return fmt.Errorf("%s: nothing here is called %q", at, sel)
			}
		}
	}
	return nil
}

// validSignals answers whether a series of signals can be sent.
func validSignals(text string) bool {
	names := strings.Fields(text)
	return len(names) > 0 && !slices.ContainsFunc(names, func(n string) bool { return signalNames[n] == 0 })
}

// hasParty answers whether a selector names something.
func (s *Script) hasParty(sel string) bool {
	if slices.Contains([]string{"*", "clients", "names", "gateways", "engines"}, sel) {
		return true
	}
	zone, rest, one := strings.Cut(sel, "/")
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

// party is one end of ways.
type party struct{ name, zone, kind string }

func (p party) matches(sel string) bool {
	return sel == "*" || sel == p.name || sel == p.zone || sel == p.kind
}
