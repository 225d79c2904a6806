package site

import (
	"bytes"
	"fmt"

	"github.com/hashicorp/hcl/v2"

	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file reads and writes the block `spool`: where results are stored, how many
// bytes of them and for how long.

// Spool holds the settings of the result store.
type Spool struct {
	Folder string // empty: results are stored in memory only
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

// Sizes that follow from the protocols. A chunk, with the overhead of its rows, fits the send buffer of a client
// connection. Engines send pages of about enginePageBytes.
const (
	chunkBytes      = 32 << 10
	enginePageBytes = 6000
	minPages        = 256
	fetchWindow     = 16
	minLoads        = 2
	loadDivisor     = 8 // chunks that are read from the disk at a time take 1/loadDivisor of the memory for results at most
)

func (b *spoolBlock) decode(r *attributeReader) *Spool {
	s := &Spool{Budget: spool.Budget{MemoryBytes: 4 << 20, MaxResults: 10_000, DiskThreshold: 256 << 10, LeaseTime: 10 * 60 * rules.Second,
		ChunkBytes: chunkBytes, FetchWindow: fetchWindow}}
	budget := &s.Budget
	if r.text(b.Folder, &s.Folder); s.Folder != "" {
		budget.DiskBytes = 1 << 30
	}
	r.size(b.Memory, 4*chunkBytes, 1<<40, &budget.MemoryBytes)
	if b.Disk != nil && s.Folder == "" {
		r.errorf(b.Disk.Range, "disk is set, but folder is not")
	}
	r.size(b.Disk, 1<<20, 1<<50, &budget.DiskBytes)
	capacity := max(budget.DiskBytes, budget.MemoryBytes)
	budget.MaxResultBytes, budget.MaxTenantBytes = capacity/4, capacity/2
	r.size(b.Result, chunkBytes, 1<<50, &budget.MaxResultBytes)
	r.size(b.Tenant, chunkBytes, 1<<50, &budget.MaxTenantBytes)
	r.size(b.Threshold, 0, 1<<40, &budget.DiskThreshold)
	r.count(b.Results, 1, 10_000_000, &budget.MaxResults)
	r.duration(b.Lease, &budget.LeaseTime)
	budget.MaxUnwritten = budget.MemoryBytes / 2
	budget.MaxLoads = max(minLoads, int(budget.MemoryBytes/(loadDivisor*chunkBytes)))
	budget.MaxPages = max(minPages, int(budget.MaxResultBytes/enginePageBytes*4))
	if !r.failed() {
		if err := budget.Validate(); err != nil {
			r.errorf(b.Range, "%v", err)
		}
	}
	return s
}

func (s *Spool) write(b *bytes.Buffer) {
	budget := s.Budget
	b.WriteString("spool {\n")
	if s.Folder != "" {
		fmt.Fprintf(b, "  folder    = %q\n  disk      = %q\n", s.Folder, formatSize(budget.DiskBytes))
	}
	fmt.Fprintf(b, "  memory    = %q\n  result    = %q\n  tenant    = %q\n  results   = %d\n  threshold = %q\n  lease     = %q\n}\n",
		formatSize(budget.MemoryBytes), formatSize(budget.MaxResultBytes), formatSize(budget.MaxTenantBytes), budget.MaxResults, formatSize(budget.DiskThreshold), formatTime(budget.LeaseTime))
}
