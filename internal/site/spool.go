package site

import (
	"bytes"
	"fmt"

	"github.com/hashicorp/hcl/v2"

	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file owns the block `spool`: where results are stored, how many bytes and
// for how long.

// Spool has the settings of the result store.
type Spool struct {
	Folder string // empty: results are stored in memory alone
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

// Sizes that follow from the protocols: a chunk fits a client connection's send buffer with the overhead of its rows, and
// engines send pages of about this size.
const (
	chunkBytes      = 32 << 10
	enginePageBytes = 6000
	minPages        = 256
	fetchWindow     = 16
)

func (b *spoolBlock) decode(r *attributeReader) *Spool {
	s := &Spool{Budget: spool.Budget{MemoryBytes: 4 << 20, MaxResults: 10_000, DiskThreshold: 256 << 10, LeaseTime: 10 * 60 * rules.Second,
		ChunkBytes: chunkBytes, FetchWindow: fetchWindow}}
	u := &s.Budget
	if r.text(b.Folder, &s.Folder); s.Folder != "" {
		u.DiskBytes = 1 << 30
	}
	r.size(b.Memory, 4*chunkBytes, 1<<40, &u.MemoryBytes)
	if b.Disk != nil && s.Folder == "" {
		r.errorf(b.Disk.Range, "disk is set, but no folder")
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
	if !r.failed() {
		if err := u.Validate(); err != nil {
			r.errorf(b.Range, "%v", err)
		}
	}
	return s
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
