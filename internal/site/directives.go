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
	Voters []string // names of gateways
	Folder string   // of a voter's log; used on voters only
	Tick   rules.Time
}

type directivesBlock struct {
	Range  hcl.Range      `hcl:",def_range"`
	Voters *hcl.Attribute `hcl:"voters"`
	Folder *hcl.Attribute `hcl:"folder,optional"`
	Tick   *hcl.Attribute `hcl:"tick,optional"`
}

const defaultVoteTick = 100 * rules.Millisecond

func (b *directivesBlock) decode(members *Members) (*Directives, hcl.Diagnostics) {
	d := &Directives{Tick: defaultVoteTick}
	var r reader
	for _, w := range r.words(b.Voters) {
		if slices.Contains(d.Voters, w.text) {
			r.diags = append(r.diags, wrong(w.at, "voters: %q comes twice", w.text))
		}
		d.Voters = append(d.Voters, w.text)
	}
	if n := len(d.Voters); !r.diags.HasErrors() && n != 1 && n != 3 && n != 5 {
		r.diags = append(r.diags, wrong(b.Voters.Range, "voters: %d are named; 1, 3 or 5 are possible", n))
	}
	r.text(b.Folder, &d.Folder)
	r.duration(b.Tick, &d.Tick)
	if !r.diags.HasErrors() && (d.Tick < 10*rules.Millisecond || d.Tick > 10*rules.Second) {
		r.diags = append(r.diags, wrong(b.Tick.Range, "tick: within 10ms and 10s is possible"))
	}
	if members == nil {
		r.diags = append(r.diags, wrong(b.Range, "directives needs the block members"))
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
	if d.Folder != "" {
		fmt.Fprintf(b, "  folder = %q\n", d.Folder)
	}
	fmt.Fprintf(b, "  tick   = %q\n}\n", timeText(d.Tick))
}
