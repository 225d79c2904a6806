package replica

import (
	"errors"
	"fmt"
)

// This file handles received messages and merges their entries. Merging is commutative, associative and idempotent.

// receive handles a message. A message that can't be decoded is rejected as a whole: no part of it is merged.
func (s *Store) receive(from string, msg []byte) {
	s.stats.BytesReceived += len(msg)
	h, body, err := decodeHeader(msg)
	switch {
	case err != nil:
		s.reject(from, err)
		return
	case h.sender != from || !s.isMember(from):
		s.reject(from, fmt.Errorf("%w: sent by %q in the name of %q", ErrForeignMessage, from, h.sender))
		return
	}
	switch h.kind {
	case typeDelta:
		s.receiveDelta(h, &body)
	case typeDigest:
		s.receiveDigest(h, &body)
	case typeSnapshotRequest:
		s.sendSnapshotPart(h, &body)
	case typeSnapshotEnd:
		s.receiveSnapshotEnd(h, &body)
	default: // a message type of a later version
		return
	}
	if body.err != nil {
		s.reject(from, fmt.Errorf("%w in a %s", body.err, h.kind))
	}
}

func (s *Store) reject(from string, err error) {
	s.stats.Rejected++
	s.emit(Reject{From: from, Err: err})
}

var errNameConflict = errors.New("replica: another process has this gateway's name")

// maxRefutations is the number of later incarnations that a process refutes before it assumes a name conflict.
const maxRefutations = 3

// refute raises this gateway's incarnation above a later one that others hold of it. That one belongs to an earlier
// process with this name, since the clock has stepped back between the two starts. After maxRefutations the cause must
// be another running process with this name, which is reported.
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

// mergeBlock merges the entries of one origin. Of two copies the one with the later incarnation wins, then the one with
// the higher counter, so the result depends neither on the order of blocks nor on duplicates.
func (s *Store) mergeBlock(from string, incoming *block) {
	if incoming.origin == s.settings.Name {
		if incoming.incarnation > s.own.incarnation {
			s.refute(from, incoming.incarnation)
		}
		return
	}
	o := s.origins[incoming.origin]
	switch {
	case o == nil && len(s.origins) >= s.settings.MaxOrigins:
		return
	case o == nil:
		o = s.origin(incoming.origin)
		o.incarnation = incoming.incarnation
		if !s.isMember(incoming.origin) {
			o.leftAt = max(s.now, 1) // it has left or is not known as a member yet: keep it as a tombstone
		}
	case incoming.incarnation < o.incarnation:
		s.stats.KnownEntries += len(incoming.entries)
		return
	case incoming.incarnation > o.incarnation:
		s.removeAllEntries(o)
		o.incarnation, o.completeTo, o.rumors = incoming.incarnation, 0, nil
	}
	isRumor := incoming.to-incoming.from == 1 // longer ranges are replies to digests and are not forwarded
	for i := range incoming.entries {
		s.mergeEntry(o, &incoming.entries[i], isRumor)
	}
	if incoming.from <= o.completeTo && incoming.to > o.completeTo {
		o.completeTo = incoming.to
	}
}

func (s *Store) mergeEntry(o *origin, incoming *Entry, forward bool) {
	held := o.entries[incoming.Key]
	switch {
	case held != nil && held.Counter >= incoming.Counter:
		if held.Counter == incoming.Counter { // transit delays make ages too small, so the larger age is more accurate
			held.WrittenAt = min(held.WrittenAt, incoming.WrittenAt)
		}
		s.stats.KnownEntries++
		s.shortenRumor(o, incoming.Key)
		return
	case s.now-incoming.WrittenAt > s.settings.MaxAge[incoming.Kind]:
		return
	case held == nil && len(o.entries) >= s.settings.MaxEntriesPerOrigin:
		return
	}
	s.stats.NewEntries++
	accepted := *incoming
	o.entries[incoming.Key] = &accepted
	if forward && urgent(incoming.Kind) {
		s.spreadRumor(o, incoming.Key)
	}
	s.emit(Updated{Origin: o.name, Entry: accepted})
}

// verifyChecksums detects entries whose bits have flipped in memory, checking a tenth of the origins per tick. If an
// entry does not match its checksum, all entries of its origin are dropped and fetched again.
func (s *Store) verifyChecksums() {
	for range min(len(s.originNames), 1+len(s.originNames)/10) {
		s.nextScrubOrigin %= len(s.originNames)
		o := s.origins[s.originNames[s.nextScrubOrigin]]
		s.nextScrubOrigin++
		for _, k := range sortedKeys(o.entries) {
			e := o.entries[k]
			if e.checksumFor(o.name) == e.checksum {
				continue
			}
			s.stats.Repaired++
			if o == s.own { // the next Put writes it again
				delete(o.entries, k)
				continue
			}
			s.removeAllEntries(o)
			o.completeTo = 0
			break
		}
	}
}
