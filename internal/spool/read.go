package spool

import (
	"cmp"
	"crypto/subtle"
	"slices"
)

// This file owns readers: who may read a result, and which chunk a reader gets next. Invariant: no chunk of a result
// that is not completed is delivered.

// authorized compares in a time that does not depend on where the two differ.
func authorized(r *result, secret Secret, tenant uint64) bool {
	same := subtle.ConstantTimeCompare(r.secret[:], secret[:])
	return same&subtle.ConstantTimeEq(int32(r.tenant), int32(tenant))&subtle.ConstantTimeEq(int32(r.tenant>>32), int32(tenant>>32)) == 1
}

// unknownResult is compared with where there is no result, so that the time tells nothing about which IDs exist.
var unknownResult result

// authorize returns a result if the secret and the tenant that were shown allow to use it, else nil.
func (s *Store) authorize(id ID, secret Secret, tenant uint64) *result {
	r := s.results[id]
	if r == nil {
		authorized(&unknownResult, secret, tenant)
		return nil
	}
	if !authorized(r, secret, tenant) {
		return nil
	}
	return r
}

// deny answers a reader. An unknown, foreign, expired or failed result is denied in the same way.
func (s *Store) deny(reader int) {
	s.stats.Denied++
	s.emit(Deny{Reader: reader})
}

// attach lets a client read a result.
func (s *Store) attach(e Attach) {
	r := s.authorize(e.ID, e.Secret, e.Tenant)
	if r == nil || e.Index < 0 || s.readers[e.Reader] != nil || r.state == completed && e.Index >= len(r.chunks) {
		s.deny(e.Reader)
		return
	}
	s.readers[e.Reader] = &reader{result: r, index: e.Index, waiting: true}
	r.readerCount++
	s.renewLease(r)
	s.serveReader(e.Reader)
}

// acknowledge removes a result that its client needs no longer. Other readers of it are aborted.
func (s *Store) acknowledge(e Acknowledge) {
	r := s.authorize(e.ID, e.Secret, e.Tenant)
	if r == nil {
		s.deny(e.Reader)
		return
	}
	s.remove(r, ReasonNone)
	s.emit(Acknowledged{Reader: e.Reader})
}

// nextChunk moves a reader to chunk Index, which says that it has read all before. Reading renews the lease; reading
// the last chunk removes the result.
func (s *Store) nextChunk(e NextChunk) {
	d := s.readers[e.Reader]
	if d == nil {
		return
	}
	r := d.result
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
	d.index, d.waiting = e.Index, true
	s.serveReader(e.Reader)
}

// serveReader delivers the chunk that a reader waits for, or has it loaded from the disk.
func (s *Store) serveReader(n int) {
	d := s.readers[n]
	r := d.result
	if !d.waiting || d.loading || r.state != completed {
		return // a result that is not completed is offered later, by complete
	}
	if d.index >= len(r.chunks) { // asked for before the number of chunks was known
		s.detach(n)
		s.deny(n)
		return
	}
	c := &r.chunks[d.index]
	if c.data == nil {
		d.loading = true
		s.emit(LoadChunk{Reader: n, ID: r.id, Index: d.index, Location: c.location})
		return
	}
	s.deliver(n, d, c.data)
}

func (s *Store) deliver(n int, d *reader, data []byte) {
	d.waiting = false
	s.stats.Delivered++
	chunks := len(d.result.chunks)
	s.emit(DeliverChunk{Reader: n, Index: d.index, End: chunks, Data: data, Last: d.index == chunks-1})
}

// serveWaiting serves all readers of a result that wait for a chunk.
func (s *Store) serveWaiting(r *result) {
	if r.readerCount == 0 {
		return
	}
	for _, n := range s.readersOf(r, func(d *reader) bool { return d.waiting }) {
		s.serveReader(n)
	}
}

// readersOf returns the readers of a result that match, sorted: the order of effects must not differ from run to run.
func (s *Store) readersOf(r *result, matches func(*reader) bool) []int {
	var numbers []int
	for n, d := range s.readers {
		if d.result == r && matches(d) {
			numbers = append(numbers, n)
		}
	}
	slices.SortFunc(numbers, cmp.Compare[int])
	return numbers
}

func (s *Store) chunkLoaded(e ChunkLoaded) {
	d := s.readers[e.Reader]
	if d == nil || !d.loading {
		return
	}
	d.loading = false
	switch {
	case e.Corrupt: // the stored bytes are not those that were written: no reader may get them
		s.fail(d.result, ReasonDiskFailed)
	case e.Failed: // the read may succeed another time, so a result that was promised stays
		s.detach(e.Reader)
		s.emit(AbortRead{Reader: e.Reader, Reason: ReasonDiskFailed})
	case e.Index != d.index: // the reader asked for another chunk meanwhile
		s.serveReader(e.Reader)
	default:
		s.deliver(e.Reader, d, e.Data)
	}
}

func (s *Store) detach(n int) {
	if d := s.readers[n]; d != nil {
		d.result.readerCount--
		delete(s.readers, n)
	}
}
