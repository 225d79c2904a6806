package spool

import "foxlane/internal/spool/segment"

// This file packs the pages of an engine into chunks and writes them to the disk. Invariants: chunks hold the engine's
// pages in order; memoryBytes counts all result bytes held in memory; a result is completed only after all its pages
// have arrived, and a durable one only after its seal has been synced.

func (s *Store) handlePageArrived(r *result, e PageArrived) {
	if r.pageCount == 0 {
		if e.PageCount < 1 || e.PageCount > s.budget.MaxPages {
			s.failResult(r, ReasonTooLarge)
			return
		}
		r.pageCount = e.PageCount
	}
	if e.PageCount != r.pageCount || e.Index < 0 || e.Index >= r.pageCount {
		s.failResult(r, ReasonAttemptFailed)
		return
	}
	if e.Index < r.nextPage || r.outOfOrder[e.Index] != nil {
		return // a duplicate
	}
	if reason := s.consumeReservation(r, int64(len(e.Data))); reason != ReasonNone {
		s.failResult(r, reason)
		return
	}
	s.memoryBytes += int64(len(e.Data))
	if e.Index > r.nextPage {
		if r.outOfOrder == nil {
			r.outOfOrder = map[int][]byte{}
		}
		r.outOfOrder[e.Index] = e.Data
	} else {
		s.appendPage(r, e.Data)
		for r.outOfOrder[r.nextPage] != nil {
			data := r.outOfOrder[r.nextPage]
			delete(r.outOfOrder, r.nextPage)
			s.appendPage(r, data)
		}
	}
	if r.nextPage == r.pageCount {
		s.handleAllPagesArrived(r)
		return
	}
	s.fetchPages(r)
}

// fetchPages requests the next pages from the engine, unless the writes pending for the disk exceed MaxUnwritten. This
// backpressure keeps memory bounded when the disk is slow.
func (s *Store) fetchPages(r *result) {
	if r.pageCount == 0 || r.requested >= r.pageCount || r.onDisk && s.unwrittenBytes > s.budget.MaxUnwritten {
		return
	}
	if end := min(r.nextPage+s.budget.FetchWindow, r.pageCount); end > r.requested {
		s.emit(FetchPages{ID: r.id, Index: r.requested, End: end})
		r.requested = end
	}
}

// appendPage appends the next page in order to the open chunk. Pages are never split between chunks.
func (s *Store) appendPage(r *result, data []byte) {
	r.nextPage++
	if len(r.openChunk) > 0 && len(r.openChunk)+len(data) > s.budget.ChunkBytes {
		s.closeChunk(r)
	}
	r.openChunk = append(r.openChunk, data...)
}

// closeChunk completes the open chunk. If the result exceeds DiskThreshold or memory is full, it starts writing the
// result to the disk.
func (s *Store) closeChunk(r *result) {
	r.chunks = append(r.chunks, chunk{data: r.openChunk, size: int32(len(r.openChunk))})
	r.openChunk = nil
	if !r.onDisk && !s.diskLost && s.budget.DiskBytes > 0 && (r.bytes > s.budget.DiskThreshold || s.memoryBytes > s.budget.MemoryBytes) {
		r.onDisk = true
	}
	if r.onDisk {
		s.writeChunks(r)
	}
	s.serveWaitingReaders(r)
}

// writeChunks emits writes of all chunks that are only in memory, after the Open record if that was not written yet.
func (s *Store) writeChunks(r *result) {
	if !r.openWritten {
		r.openWritten = true
		r.leaseStored = s.leaseToStore(r)
		meta := segment.Meta{Tenant: r.tenant, Secret: r.secret, Class: uint32(r.class), Created: int64(r.created), LeaseEnd: int64(r.leaseStored)}
		s.writeRecord(r, segment.Open, 0, segment.AppendMeta(nil, meta))
	}
	for i := range r.chunks {
		if c := &r.chunks[i]; !c.writing && c.data != nil && c.location.Size == 0 {
			c.writing = true
			s.unwrittenBytes += int64(c.size)
			s.writeRecord(r, segment.Chunk, i, c.data)
		}
	}
}

func (s *Store) writeRecord(r *result, kind segment.Kind, index int, data []byte) {
	s.emit(WriteRecord{ID: r.id, Record: kind, Index: index, Data: data})
}

// handleAllPagesArrived releases the engine at once: the rest of the work does not need it, even if the disk or the
// client is slow. It completes the result, or writes its seal.
func (s *Store) handleAllPagesArrived(r *result) {
	if len(r.openChunk) > 0 || len(r.chunks) == 0 {
		s.closeChunk(r)
	}
	s.emit(ReleaseEngine{ID: r.id})
	s.sizes.observe(r.class, r.shape, r.bytes)
	s.releaseReservation(r, r.reserved)
	if !r.onDisk {
		s.complete(r)
		return
	}
	r.state = sealing
	s.writeRecord(r, segment.Seal, len(r.chunks), segment.AppendSummary(nil, segment.Summary{Chunks: uint32(len(r.chunks)), Bytes: uint64(r.bytes)}))
	if !r.durable { // the disk only relieves memory; the result does not have to survive a restart
		s.complete(r)
	}
}

func (s *Store) complete(r *result) {
	r.state = completed
	r.leaseEnd = s.now + s.budget.LeaseTime
	s.leases.push(r)
	s.storeLease(r)
	s.stats.Completed++
	s.emit(Completed{ID: r.id})
	s.serveWaitingReaders(r)
}

// ---- completions of disk writes

// handleRecordWritten frees the memory of a written chunk, and resumes fetching for engines that waited for the disk.
func (s *Store) handleRecordWritten(e RecordWritten) {
	r := s.results[e.ID]
	if r == nil {
		return
	}
	if e.Record == segment.Lease {
		s.handleLeaseWritten(r, e.Failed)
		return
	}
	if e.Failed {
		s.failResult(r, ReasonDiskFailed)
		return
	}
	if e.Record != segment.Chunk || e.Index >= len(r.chunks) {
		return
	}
	c := &r.chunks[e.Index]
	c.location, c.writing = e.Location, false
	s.unwrittenBytes -= int64(c.size)
	s.memoryBytes -= int64(c.size)
	c.data = nil
	if r.state == filling {
		s.fetchPages(r)
	}
	for _, stalled := range s.stalledResults() {
		s.fetchPages(stalled)
	}
}

// stalledResults returns the results whose engine waits for the disk. They are sorted by ID so that the order of
// effects is deterministic.
func (s *Store) stalledResults() []*result {
	if s.unwrittenBytes > s.budget.MaxUnwritten {
		return nil
	}
	var stalled []*result
	for _, r := range s.results {
		if r.state == filling && r.onDisk && r.pageCount > 0 && r.requested < r.pageCount && r.requested <= r.nextPage {
			stalled = append(stalled, r)
		}
	}
	sortByID(stalled)
	return stalled
}

func (s *Store) handleResultSynced(r *result, failed bool) {
	if failed {
		s.failResult(r, ReasonDiskFailed)
		return
	}
	s.complete(r)
}
