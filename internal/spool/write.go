package spool

import "foxlane/internal/spool/segment"

// This file owns the way of a result from the engine into chunks and onto the disk. Invariants: chunks hold the
// engine's pages in their order; memoryBytes counts all bytes of a result that lie in memory; a result is completed
// only with all its pages, a durable one only after its seal was synced.

func (s *Store) pageArrived(r *result, e PageArrived) {
	if r.pageCount == 0 {
		if e.PageCount < 1 || e.PageCount > s.budget.MaxPages {
			s.fail(r, ReasonTooLarge)
			return
		}
		r.pageCount = e.PageCount
	}
	if e.PageCount != r.pageCount || e.Index < 0 || e.Index >= r.pageCount {
		s.fail(r, ReasonAttemptFailed)
		return
	}
	if e.Index < r.nextPage || r.outOfOrder[e.Index] != nil {
		return // a duplicate
	}
	if reason := s.useReservation(r, int64(len(e.Data))); reason != ReasonNone {
		s.fail(r, reason)
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
		s.allPagesArrived(r)
		return
	}
	s.fetchPages(r)
}

// fetchPages requests further pages, unless too many bytes are being written: with a slow disk the engine has to
// wait, so that memory stays bounded.
func (s *Store) fetchPages(r *result) {
	if r.pageCount == 0 || r.requested >= r.pageCount || r.onDisk && s.unwrittenBytes > s.budget.MaxUnwritten {
		return
	}
	if end := min(r.nextPage+s.budget.FetchWindow, r.pageCount); end > r.requested {
		s.emit(FetchPages{ID: r.id, Index: r.requested, End: end})
		r.requested = end
	}
}

// appendPage appends the next page in order.
func (s *Store) appendPage(r *result, data []byte) {
	r.nextPage++
	if len(r.openChunk) > 0 && len(r.openChunk)+len(data) > s.budget.ChunkBytes {
		s.closeChunk(r)
	}
	r.openChunk = append(r.openChunk, data...)
}

func (s *Store) closeChunk(r *result) {
	r.chunks = append(r.chunks, chunk{data: r.openChunk, size: int32(len(r.openChunk))})
	r.openChunk = nil
	if !r.onDisk && !s.diskLost && s.budget.DiskBytes > 0 && (r.bytes > s.budget.DiskThreshold || s.memoryBytes > s.budget.MemoryBytes) {
		r.onDisk = true
	}
	if r.onDisk {
		s.writeChunks(r)
	}
	s.serveWaiting(r)
}

// writeChunks writes the chunks that are in memory only.
func (s *Store) writeChunks(r *result) {
	if !r.openWritten {
		r.openWritten = true
		meta := segment.Meta{Tenant: r.tenant, Secret: r.secret, Class: uint32(r.class), Created: int64(r.created), LeaseEnd: int64(r.leaseEnd)}
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

func (s *Store) writeRecord(r *result, kind segment.Kind, n int, data []byte) {
	s.emit(WriteRecord{ID: r.id, Record: kind, Index: n, Data: data})
}

// allPagesArrived releases the engine, however slowly the result is written or read from now on.
func (s *Store) allPagesArrived(r *result) {
	if len(r.openChunk) > 0 || len(r.chunks) == 0 {
		s.closeChunk(r)
	}
	s.emit(ReleaseEngine{ID: r.id})
	s.sizes.observe(r.class, r.shape, r.bytes)
	s.returnReservation(r, r.reserved)
	if !r.onDisk {
		s.complete(r)
		return
	}
	r.state = sealing
	s.writeRecord(r, segment.Seal, len(r.chunks), segment.AppendSummary(nil, segment.Summary{Chunks: uint32(len(r.chunks)), Bytes: uint64(r.bytes)}))
	if !r.durable { // the disk only saves memory: nobody was promised that the result outlasts a restart
		s.complete(r)
	}
}

func (s *Store) complete(r *result) {
	r.state = completed
	r.leaseEnd = s.now + s.budget.LeaseTime
	s.leases.push(r)
	s.stats.Completed++
	s.emit(Completed{ID: r.id})
	s.serveWaiting(r)
}

// ---- answers of the disk

// recordWritten frees the memory of a chunk that is on the disk now, which may let engines go on.
func (s *Store) recordWritten(e RecordWritten) {
	r := s.results[e.ID]
	if r == nil {
		return
	}
	if e.Failed {
		s.fail(r, ReasonDiskFailed)
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

// stalledResults are the results whose engine waits for the disk. They are sorted, since the order of a map differs
// from run to run, and that of effects must not.
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

func (s *Store) resultSynced(r *result, failed bool) {
	if failed {
		s.fail(r, ReasonDiskFailed)
		return
	}
	s.complete(r)
}
