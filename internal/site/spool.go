package site

import (
	"bytes"
	"fmt"

	"github.com/hashicorp/hcl/v2"

	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file owns the block `spool`: where results are kept, how much and for
// how long.

// Spool are the settings of the spool.
type Spool struct {
	Folder string // empty: results are kept in memory alone
	Budget spool.Budget
}

type spoolBlock struct {
	Range     hcl.Range      `hcl:",def_range"`
	Folder    *hcl.Attribute `hcl:"folder,optional"`
	Disk      *hcl.Attribute `hcl:"disk,optional"`
	Memory    *hcl.Attribute `hcl:"memory,optional"`
	Result    *hcl.Attribute `hcl:"result,optional"`
	Tenant    *hcl.Attribute `hcl:"tenant,optional"`
	Results   *hcl.Attribute `hcl:"results,optional"`
	Threshold *hcl.Attribute `hcl:"threshold,optional"`
	Lease     *hcl.Attribute `hcl:"lease,optional"`
}

// Figures that follow from the protocols: chunks that fit a connection's room with the overhead of rows, and
// pages of the engines' size.
const (
	spoolChunk  = 32 << 10
	enginePage  = 6000
	leastPages  = 256
	spoolWindow = 16
)

func (b *spoolBlock) decode() (*Spool, hcl.Diagnostics) {
	s := &Spool{Budget: spool.Budget{Memory: 4 << 20, Results: 10_000, Threshold: 256 << 10, Lease: 10 * 60 * rules.Second,
		Chunk: spoolChunk, Window: spoolWindow}}
	u := &s.Budget
	var r reader
	if r.text(b.Folder, &s.Folder); s.Folder != "" {
		u.Disk = 1 << 30
	}
	r.size(b.Memory, 4*spoolChunk, 1<<40, &u.Memory)
	if b.Disk != nil && s.Folder == "" {
		r.diags = append(r.diags, wrong(b.Disk.Range, "disk is set, but no folder"))
	}
	r.size(b.Disk, 1<<20, 1<<50, &u.Disk)
	most := max(u.Disk, u.Memory)
	u.Result, u.Tenant = most/4, most/2
	r.size(b.Result, spoolChunk, 1<<50, &u.Result)
	r.size(b.Tenant, spoolChunk, 1<<50, &u.Tenant)
	r.size(b.Threshold, 0, 1<<40, &u.Threshold)
	r.count(b.Results, 1, 10_000_000, &u.Results)
	r.duration(b.Lease, &u.Lease)
	u.Behind = u.Memory / 2
	u.Pages = max(leastPages, int(u.Result/enginePage*4))
	if !r.diags.HasErrors() {
		if err := u.Validate(); err != nil {
			r.diags = append(r.diags, wrong(b.Range, "%v", err))
		}
	}
	return s, r.diags
}

func (s *Spool) write(b *bytes.Buffer) {
	u := s.Budget
	b.WriteString("spool {\n")
	if s.Folder != "" {
		fmt.Fprintf(b, "  folder    = %q\n  disk      = %q\n", s.Folder, sizeText(u.Disk))
	}
	fmt.Fprintf(b, "  memory    = %q\n  result    = %q\n  tenant    = %q\n  results   = %d\n  threshold = %q\n  lease     = %q\n}\n",
		sizeText(u.Memory), sizeText(u.Result), sizeText(u.Tenant), u.Results, sizeText(u.Threshold), timeText(u.Lease))
}
