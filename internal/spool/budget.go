package spool

import (
	"errors"

	"foxlane/rules"
)

// Budget holds the limits of a Store.
type Budget struct {
	DiskBytes      int64      // maximum bytes on the disk; 0: there is no disk
	MemoryBytes    int64      // maximum bytes of results in memory
	MaxResultBytes int64      // maximum bytes of one result
	MaxTenantBytes int64      // maximum bytes of all results of a tenant
	MaxResults     int        // maximum number of results, completed or not
	DiskThreshold  int64      // bytes; a larger result is written to the disk
	ChunkBytes     int        // target bytes of a chunk, the page that clients read; engine pages are not split
	MaxUnwritten   int64      // bytes of pending writes above which no more pages are requested from engines
	FetchWindow    int        // number of pages to request from an engine in advance
	MaxLoads       int        // chunks that are read from the disk at a time; further readers wait for their turn
	MaxPages       int        // maximum number of pages of one engine result
	LeaseTime      rules.Time // time after the last read for which a result is kept; doubled unless capacity is needed
}

// Validate returns an error if a limit is out of range or conflicts with another.
func (b Budget) Validate() error {
	switch {
	case b.DiskBytes < 0 || b.MemoryBytes <= 0 || b.MaxResultBytes <= 0 || b.MaxTenantBytes <= 0:
		return errors.New("spool: memory, result and tenant must be over 0, and disk must not be negative")
	case b.ChunkBytes <= 0 || int64(b.ChunkBytes) > b.MemoryBytes || b.FetchWindow < 1 || b.MaxLoads < 1 || b.MaxPages < 1 || b.MaxResults < 1:
		return errors.New("spool: chunk, window, loads, pages and results must be 1 or more, and a chunk must fit in memory")
	case b.MaxUnwritten < int64(b.ChunkBytes) || b.MaxUnwritten > b.MemoryBytes:
		return errors.New("spool: the unwritten limit must hold a chunk and must not exceed memory")
	case b.LeaseTime < rules.Second:
		return errors.New("spool: a lease must be a second or more")
	case b.MaxResultBytes > max(b.DiskBytes, b.MemoryBytes) || b.MaxTenantBytes > max(b.DiskBytes, b.MemoryBytes):
		return errors.New("spool: a result or a tenant may not have more than the disk or the memory holds")
	}
	return nil
}
