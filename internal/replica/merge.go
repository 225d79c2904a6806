package replica

import (
	"errors"
	"fmt"
)

// This file takes messages in and merges what they carry. Merging is commutative, associative and idempotent.

// receive takes a message. One that can't be decoded is rejected as a whole: no part of it is merged.
func (s *Store) receive(from string, msg []byte) {
	s.stats.BytesReceived += len(msg)
	h, body, err := decodeHeader(msg)
	switch {
	case err != nil:
		s.reject(from, err)
		return
	case h.sender != from || !s.isMember(from):
		s.reject(from, fmt.Errorf("%w: %q speaks as %q", ErrForeignMessage, from, h.sender))
		return
	}
	switch h.kind {
	case typeDelta:
		s.receiveDelta(h, &body)
	case typeDigest:
		s.receiveDigest(h, &body)
	case typeSnapshotRequest:
		s.serveSnapshotPart(h, &body)
	case typeSnapshotEnd:
		s.receiveSnapshotEnd(h, &body)
	default: // of a later version
		return
	}
	if body.err != nil {
		s.reject(from, fmt.Errorf("%w, in a %s", body.err, h.kind))
	}
}

func (s *Store) reject(from string, err error) {
	s.stats.Rejected++
	s.emit(Reject{From: from, Err: err})
}

var errNameConflict = errors.New("replica: another process has our name")

// maxRefutations is how often a process takes a later incarnation before it holds that another process has its name.
const maxRefutations = 3

// refute takes an incarnation beyond the one that others hold of this gateway's name: an earlier process had it, and the clock has stepped
// back since.
func (s *Store) refute(from string, incarnation uint64) {
	if s.refutations++; s.refutations > maxRefutations {
		s.reject(from, errNameConflict)
		return
	}
	s.own.incarnation = incarnation + 1
}

// receiveDelta merges the blocks of a delta, if all of them can be decoded.
func (s *Store) receiveDelta(h header, body *reader) {
	var blocks []block
	for len(body.rest) > 0 && body.err == nil {
		blocks = append(blocks, body.block(s.now))
	}
	if body.err != nil {
		return
	}
	for i := range blocks {
		s.mergeBlock(h.sender, &blocks[i])
	}
}

// mergeBlock merges entries of one origin into what is held. Of two copies the one with the later incarnation stands, then the one with the
// higher counter, so that neither the order in which blocks arrive nor how often makes a difference.
func (s *Store) mergeBlock(from string, b *block) {
	if b.origin == s.settings.Name {
		if b.incarnation > s.own.incarnation {
			s.refute(from, b.incarnation)
		}
		return
	}
	o := s.origins[b.origin]
	switch {
	case o == nil && len(s.origins) >= s.settings.MaxOrigins:
		return
	case o == nil:
		o = s.origin(b.origin)
		o.incarnation = b.incarnation
		if !s.isMember(b.origin) {
			o.leftAt = max(s.now, 1) // it has left, or has not joined here yet: a tombstone that expires
		}
	case b.incarnation < o.incarnation:
		s.stats.KnownEntries += len(b.entries)
		return
	case b.incarnation > o.incarnation:
		s.removeAllEntries(o)
		o.incarnation, o.completeTo, o.rumors = b.incarnation, 0, nil
	}
	single := b.to-b.from == 1 // a rumor; longer ranges answer digests and are not forwarded
	for i := range b.entries {
		s.mergeEntry(o, &b.entries[i], single)
	}
	if b.from <= o.completeTo && b.to > o.completeTo {
		o.completeTo = b.to
	}
}

func (s *Store) mergeEntry(o *origin, e *Entry, forward bool) {
	held := o.entries[e.Key]
	switch {
	case held != nil && held.Counter >= e.Counter:
		if held.Counter == e.Counter { // ages grow on the way: the older of two equal copies is nearer the truth
			held.WrittenAt = min(held.WrittenAt, e.WrittenAt)
		}
		s.stats.KnownEntries++
		s.coolRumor(o, e.Key)
		return
	case s.now-e.WrittenAt > s.settings.MaxAge[e.Kind]:
		return
	case held == nil && len(o.entries) >= s.settings.MaxEntries:
		return
	}
	s.stats.NewEntries++
	accepted := *e
	o.entries[e.Key] = &accepted
	if forward && urgent(e.Kind) {
		s.spreadRumor(o, e.Key)
	}
	s.emit(Updated{Origin: o.name, Entry: accepted})
}

// verifyChecksums looks for bits that have flipped in memory, in a tenth of the origins per tick. A copy that does not match what was
// received is dropped with its origin's others, and fetched again.
func (s *Store) verifyChecksums() {
	for range min(len(s.originNames), 1+len(s.originNames)/10) {
		s.nextScrub %= len(s.originNames)
		o := s.origins[s.originNames[s.nextScrub]]
		s.nextScrub++
		for _, k := range sortedKeys(o.entries) {
			e := o.entries[k]
			if e.checksumFor(o.name) == e.checksum {
				continue
			}
			s.stats.Repaired++
			if o == s.own { // the next Put writes it anew
				delete(o.entries, k)
				continue
			}
			s.removeAllEntries(o)
			o.completeTo = 0
			break
		}
	}
}
