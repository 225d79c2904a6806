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
	chunkBytes      = 32 << 10
	enginePageBytes = 6000
	minPages        = 256
	fetchWindow     = 16
)

func (b *spoolBlock) decode() (*Spool, hcl.Diagnostics) {
	s := &Spool{Budget: spool.Budget{MemoryBytes: 4 << 20, MaxResults: 10_000, DiskThreshold: 256 << 10, LeaseTime: 10 * 60 * rules.Second,
		ChunkBytes: chunkBytes, FetchWindow: fetchWindow}}
	u := &s.Budget
	var r attributeReader
	if r.text(b.Folder, &s.Folder); s.Folder != "" {
		u.DiskBytes = 1 << 30
	}
	r.size(b.Memory, 4*chunkBytes, 1<<40, &u.MemoryBytes)
	if b.Disk != nil && s.Folder == "" {
		r.diags = append(r.diags, errorAt(b.Disk.Range, "disk is set, but no folder"))
	}
	r.size(b.Disk, 1<<20, 1<<50, &u.DiskBytes)
	most := max(u.DiskBytes, u.MemoryBytes)
	u.MaxResultBytes, u.MaxTenantBytes = most/4, most/2
	r.size(b.Result, chunkBytes, 1<<50, &u.MaxResultBytes)
	r.size(b.Tenant, chunkBytes, 1<<50, &u.MaxTenantBytes)
	r.size(b.Threshold, 0, 1<<40, &u.DiskThreshold)
	r.count(b.Results, 1, 10_000_000, &u.MaxResults)
	r.duration(b.Lease, &u.LeaseTime)
	u.MaxUnwritten = u.MemoryBytes / 2
	u.MaxPages = max(minPages, int(u.MaxResultBytes/enginePageBytes*4))
	if !r.diags.HasErrors() {
		if err := u.Validate(); err != nil {
			r.diags = append(r.diags, errorAt(b.Range, "%v", err))
		}
	}
	return s, r.diags
}

func (s *Spool) write(b *bytes.Buffer) {
	u := s.Budget
	b.WriteString("spool {\n")
	if s.Folder != "" {
		fmt.Fprintf(b, "  folder    = %q\n  disk      = %q\n", s.Folder, formatSize(u.DiskBytes))
	}
	fmt.Fprintf(b, "  memory    = %q\n  result    = %q\n  tenant    = %q\n  results   = %d\n  threshold = %q\n  lease     = %q\n}\n",
		formatSize(u.MemoryBytes), formatSize(u.MaxResultBytes), formatSize(u.MaxTenantBytes), u.MaxResults, formatSize(u.DiskThreshold), formatTime(u.LeaseTime))
}
