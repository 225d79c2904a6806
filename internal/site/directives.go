package site

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"foxlane/rules"
)

// This file owns the block `directives`: who votes on operators' directives.

// Directives are the settings of the book of directives.
type Directives struct {
	Voters       []string // names of gateways
	LogFolder    string   // of a voter's log; used on voters only
	TickInterval rules.Time
}

type directivesBlock struct {
	Range  hcl.Range      `hcl:",def_range"`
	Voters *hcl.Attribute `hcl:"voters"`
	Folder *hcl.Attribute `hcl:"folder,optional"`
	Tick   *hcl.Attribute `hcl:"tick,optional"`
}

const defaultTickInterval = 100 * rules.Millisecond

func (b *directivesBlock) decode(members *Members) (*Directives, hcl.Diagnostics) {
	d := &Directives{TickInterval: defaultTickInterval}
	var r attributeReader
	for _, w := range r.stringList(b.Voters) {
		if slices.Contains(d.Voters, w.text) {
			r.diags = append(r.diags, errorAt(w.at, "voters: %q comes twice", w.text))
		}
		d.Voters = append(d.Voters, w.text)
	}
	if n := len(d.Voters); !r.diags.HasErrors() && n != 1 && n != 3 && n != 5 {
		r.diags = append(r.diags, errorAt(b.Voters.Range, "voters: %d are named; 1, 3 or 5 are possible", n))
	}
	r.text(b.Folder, &d.LogFolder)
	r.duration(b.Tick, &d.TickInterval)
	if !r.diags.HasErrors() && (d.TickInterval < 10*rules.Millisecond || d.TickInterval > 10*rules.Second) {
		r.diags = append(r.diags, errorAt(b.Tick.Range, "tick: within 10ms and 10s is possible"))
	}
	if members == nil {
		r.diags = append(r.diags, errorAt(b.Range, "directives needs the block members"))
	}
	return d, r.diags
}

func (d *Directives) write(b *bytes.Buffer) {
	fmt.Fprintf(b, "directives {\n  voters = [")
	for i, v := range d.Voters {
		if i > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(b, "%q", v)
	}
	b.WriteString("]\n")
	if d.LogFolder != "" {
		fmt.Fprintf(b, "  folder = %q\n", d.LogFolder)
	}
	fmt.Fprintf(b, "  tick   = %q\n}\n", formatTime(d.TickInterval))
}
