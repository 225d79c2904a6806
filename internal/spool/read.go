package spool

import (
	"cmp"
	"crypto/subtle"
	"slices"
)

// This file authorizes readers and delivers chunks to them. Invariant: only chunks of completed results are delivered.

// credentialsMatch compares the secret and the tenant of a result in constant time.
func credentialsMatch(r *result, secret Secret, tenant uint64) bool {
	secretEqual := subtle.ConstantTimeCompare(r.secret[:], secret[:])
	return secretEqual&subtle.ConstantTimeEq(int32(r.tenant), int32(tenant))&subtle.ConstantTimeEq(int32(r.tenant>>32), int32(tenant>>32)) == 1
}

// dummyResult is compared with if an ID is unknown, so that the response time does not reveal which IDs exist.
var dummyResult result

// authorize returns the result with this ID if the secret and the tenant match, or nil.
func (s *Store) authorize(id ID, secret Secret, tenant uint64) *result {
	r := s.results[id]
	if r == nil {
		credentialsMatch(&dummyResult, secret, tenant)
		return nil
	}
	if !credentialsMatch(r, secret, tenant) {
		return nil
	}
	return r
}

// denyReader rejects a reader. It gives no reason, so that unknown, foreign, expired and failed results look the same.
func (s *Store) denyReader(reader ReaderID) {
	s.stats.Denied++
	s.emit(Deny{Reader: reader})
}

// attach adds a reader to a result. If the result is not complete, the reader waits for it.
func (s *Store) attach(e Attach) {
	r := s.authorize(e.ID, e.Secret, e.Tenant)
	if r == nil || e.Index < 0 || s.readers[e.Reader] != nil || r.state == completed && e.Index >= len(r.chunks) {
		s.denyReader(e.Reader)
		return
	}
	s.readers[e.Reader] = &reader{result: r, index: e.Index, waiting: true}
	r.readerCount++
	s.renewLease(r)
	s.serveReader(e.Reader)
}

// acknowledge removes a result that its client no longer needs. It aborts all readers of the result.
func (s *Store) acknowledge(e Acknowledge) {
	r := s.authorize(e.ID, e.Secret, e.Tenant)
	if r == nil {
		s.denyReader(e.Reader)
		return
	}
	s.remove(r, ReasonNone)
	s.emit(Acknowledged{Reader: e.Reader})
}

// nextChunk moves a reader to chunk Index, which confirms that it has read all earlier chunks. It renews the lease. A
// reader past the last chunk is detached, and the result is removed if it has no other reader.
func (s *Store) nextChunk(e NextChunk) {
	rd := s.readers[e.Reader]
	if rd == nil {
		return
	}
	r := rd.result
	s.renewLease(r)
	if r.state == completed && e.Index >= len(r.chunks) {
		s.detach(e.Reader)
		if r.readerCount == 0 {
			s.remove(r, ReasonNone)
		}
		return
	}
	if e.Index < 0 {
		s.detach(e.Reader)
		s.emit(Deny{Reader: e.Reader})
		return
	}
	rd.index, rd.waiting = e.Index, true
	s.serveReader(e.Reader)
}

// serveReader delivers the chunk that a reader waits for, or requests it from the disk.
func (s *Store) serveReader(id ReaderID) {
	rd := s.readers[id]
	r := rd.result
	if !rd.waiting || rd.loading || r.state != completed {
		return // complete serves the readers of a result that is not completed yet
	}
	if rd.index >= len(r.chunks) { // requested before the number of chunks was known
		s.detach(id)
		s.denyReader(id)
		return
	}
	c := &r.chunks[rd.index]
	if c.data == nil {
		s.loadChunk(id, rd)
		return
	}
	s.deliver(id, rd, c.data)
}

// loadChunk requests the chunk that a reader waits for from the disk, or queues the reader while MaxLoads are pending.
func (s *Store) loadChunk(id ReaderID, rd *reader) {
	if s.loads >= s.budget.MaxLoads {
		if !rd.queued {
			rd.queued = true
			s.loadQueue = append(s.loadQueue, id)
		}
		return
	}
	rd.loading = true
	s.loads++
	s.emit(LoadChunk{Reader: id, ID: rd.result.id, Index: rd.index, Location: rd.result.chunks[rd.index].location})
}

// serveLoadQueue serves readers in the order in which they were queued, while loads are free.
func (s *Store) serveLoadQueue() {
	for len(s.loadQueue) > 0 && s.loads < s.budget.MaxLoads {
		id := s.loadQueue[0]
		s.loadQueue = s.loadQueue[1:]
		s.readers[id].queued = false
		s.serveReader(id)
	}
}

func (s *Store) deliver(id ReaderID, rd *reader, data []byte) {
	rd.waiting = false
	s.stats.Delivered++
	chunks := len(rd.result.chunks)
	s.emit(DeliverChunk{Reader: id, Index: rd.index, End: chunks, Data: data, Last: rd.index == chunks-1})
}

// serveWaitingReaders serves all readers of a result that are waiting for a chunk.
func (s *Store) serveWaitingReaders(r *result) {
	if r.readerCount == 0 {
		return
	}
	for _, id := range s.readersOf(r, func(rd *reader) bool { return rd.waiting }) {
		s.serveReader(id)
	}
}

// readersOf returns the matching readers of a result, sorted so that the order of effects is deterministic.
func (s *Store) readersOf(r *result, matches func(*reader) bool) []ReaderID {
	var ids []ReaderID
	for id, rd := range s.readers {
		if rd.result == r && matches(rd) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, cmp.Compare[ReaderID])
	return ids
}

func (s *Store) handleChunkLoaded(e ChunkLoaded) {
	s.loads--
	defer s.serveLoadQueue()
	rd := s.readers[e.Reader]
	if rd == nil || !rd.loading {
		return
	}
	rd.loading = false
	switch {
	case e.Corrupt: // the stored bytes are not those that were written, so no reader may get them
		s.failResult(rd.result, ReasonDiskFailed)
	case e.Failed: // a later read may succeed, so the result is kept
		s.detach(e.Reader)
		s.emit(AbortRead{Reader: e.Reader, Reason: ReasonDiskFailed})
	case e.Index != rd.index: // the reader has requested another chunk in the meantime
		s.serveReader(e.Reader)
	default:
		s.deliver(e.Reader, rd, e.Data)
	}
}

func (s *Store) detach(id ReaderID) {
	if rd := s.readers[id]; rd != nil {
		rd.result.readerCount--
		s.removeReader(id)
	}
}

// removeReader removes a reader, also from the queue for loads.
func (s *Store) removeReader(id ReaderID) {
	if s.readers[id].queued {
		s.loadQueue = slices.DeleteFunc(s.loadQueue, func(queued ReaderID) bool { return queued == id })
	}
	delete(s.readers, id)
}
