package spool

import (
	"errors"

	"foxlane/rules"
)

// Budget limits what a Store may use.
type Budget struct {
	DiskBytes      int64      // on the disk; 0: there is no disk
	MemoryBytes    int64      // of chunks in memory
	MaxResultBytes int64      // of one result
	MaxTenantBytes int64      // of all results of a tenant
	MaxResults     int        // completed or not
	DiskThreshold  int64      // bytes of a result from which on it is written to the disk
	ChunkBytes     int        // of a chunk, the page that clients see; about, since engine pages are not split
	MaxUnwritten   int64      // bytes being written from which on engines have to wait
	FetchWindow    int        // pages that are requested from an engine ahead
	MaxPages       int        // of an engine's result
	LeaseTime      rules.Time // for which a result is kept after it was last read; as long again while nobody needs the capacity
}

// Validate returns an error if a limit is out of range or contradicts another.
func (b Budget) Validate() error {
	switch {
	case b.DiskBytes < 0 || b.MemoryBytes <= 0 || b.MaxResultBytes <= 0 || b.MaxTenantBytes <= 0:
		return errors.New("spool: disk, memory, result and tenant must be over 0; disk may be 0")
	case b.ChunkBytes <= 0 || int64(b.ChunkBytes) > b.MemoryBytes || b.FetchWindow < 1 || b.MaxPages < 1 || b.MaxResults < 1:
		return errors.New("spool: chunk, window, pages and results must be 1 or more, a chunk within the memory")
	case b.MaxUnwritten < int64(b.ChunkBytes) || b.MaxUnwritten > b.MemoryBytes:
		return errors.New("spool: behind must hold a chunk and be within the memory")
	case b.LeaseTime < rules.Second:
		return errors.New("spool: a lease must be a second or more")
	case b.MaxResultBytes > max(b.DiskBytes, b.MemoryBytes) || b.MaxTenantBytes > max(b.DiskBytes, b.MemoryBytes):
		return errors.New("spool: a result or a tenant may not have more than there is")
	}
	return nil
}
