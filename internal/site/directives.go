package site

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/hashicorp/hcl/v2"

	"foxlane/rules"
)

// This file reads and writes the block `directives`: the voters of the replicated log of operators' directives.

// Directives holds the settings of the replicated log of directives.
type Directives struct {
	Voters       []string   // names of gateways
	LogFolder    string     // folder of the log; only voters use it
	TickInterval rules.Time // interval of the consensus clock, 10 ms to 10 s
}

type directivesBlock struct {
	Range  hcl.Range      `hcl:",def_range"`
	Voters *hcl.Attribute `hcl:"voters"`
	Folder *hcl.Attribute `hcl:"folder,optional"`
	Tick   *hcl.Attribute `hcl:"tick,optional"`
}

const defaultTickInterval = 100 * rules.Millisecond

func (b *directivesBlock) decode(r *attributeReader, members *Members) *Directives {
	d := &Directives{TickInterval: defaultTickInterval}
	for _, w := range r.stringList(b.Voters) {
		if slices.Contains(d.Voters, w.text) {
			r.errorf(w.at, "voters: %q is named twice", w.text)
		}
		d.Voters = append(d.Voters, w.text)
	}
	if n := len(d.Voters); !r.failed() && n != 1 && n != 3 && n != 5 {
		at := b.Range
		if b.Voters != nil {
			at = b.Voters.Range
		}
		r.errorf(at, "voters: %d are named; 1, 3 or 5 are allowed", n)
	}
	r.text(b.Folder, &d.LogFolder)
	r.duration(b.Tick, &d.TickInterval)
	if !r.failed() && (d.TickInterval < 10*rules.Millisecond || d.TickInterval > 10*rules.Second) {
		r.errorf(b.Tick.Range, "tick: must be between 10ms and 10s")
	}
	if members == nil {
		r.errorf(b.Range, "the block directives needs the block members")
	}
	return d
}

func (d *Directives) write(b *bytes.Buffer) {
	fmt.Fprintf(b, "directives {\n  voters = [%s]\n", quoteList(d.Voters))
	if d.LogFolder != "" {
		fmt.Fprintf(b, "  folder = %q\n", d.LogFolder)
	}
	fmt.Fprintf(b, "  tick   = %q\n}\n", formatTime(d.TickInterval))
}
