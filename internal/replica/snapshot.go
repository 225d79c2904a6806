package replica

import (
	"cmp"
	"slices"

	"foxlane/rules"
)

// This file transfers snapshots: a member that has just started, or was suspended, fetches all entries from one peer, in parts.

// snapshotCursor is the progress of the snapshot that is being received.
type snapshotCursor struct {
	peer        string // that sends it; empty: none
	next        uint64 // hash of the last origin that was received
	requestedAt rules.Time
}

// snapshotTimeout is how long a peer may take to send a part before another is asked.
const snapshotTimeout = 400 * rules.Millisecond

// requestSnapshot asks a member for a snapshot, of the same zone if there is one; every fourth time it may be any, since the nearest may
// have started just now too. Requests are served meanwhile.
func (s *Store) requestSnapshot() {
	if s.synced || s.cursor.peer != "" && s.now-s.cursor.requestedAt < snapshotTimeout {
		return
	}
	var sameZone []string
	for _, m := range s.members {
		if m.Zone == s.settings.Zone {
			sameZone = append(sameZone, m.Name)
		}
	}
	if len(sameZone) == 0 || s.rng.IntN(4) == 0 {
		s.cursor.peer = s.members[s.rng.IntN(len(s.members))].Name
	} else {
		s.cursor.peer = sameZone[s.rng.IntN(len(sameZone))]
	}
	s.requestSnapshotPart()
}

func (s *Store) requestSnapshotPart() {
	w := s.beginMessage(typeSnapshotRequest)
	w.uvarint(s.cursor.next)
	msg := s.finishMessage(&w)
	s.cursor.requestedAt = s.now
	s.sendWithinBudget(s.cursor.peer, msg)
}

// serveSnapshotPart sends origins in the order of their names' hashes, from where the last part ended, as far as the budget allows. The
// last message says where the part ended; 0 is the end of the snapshot.
func (s *Store) serveSnapshotPart(h header, body *reader) {
	from := body.uvarint()
	if body.err != nil {
		return
	}
	var list []*origin
	for _, name := range s.originNames {
		if o := s.origins[name]; hashName(name) > from && name != h.sender && len(o.entries) > 0 {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *origin) int { return cmp.Compare(hashName(a.name), hashName(b.name)) })
	last, sent := from, 0
	for _, o := range list {
		if sent >= maxReplyMessages || !s.withinBudget(s.settings.MaxMessageBytes) {
			break
		}
		sent += s.sendEntries(h.sender, o, 0, 2)
		last = hashName(o.name)
		s.stats.SnapshotOrigins++
	}
	if sent == 0 && len(list) > 0 {
		return // the budget is used up: the requester asks again, or another member
	}
	end := uint64(0)
	if len(list) > 0 && last != hashName(list[len(list)-1].name) {
		end = last
	}
	w := s.beginMessage(typeSnapshotEnd)
	w.uvarint(end)
	s.send(h.sender, s.finishMessage(&w))
}

// receiveSnapshotEnd asks for the next part, or ends the snapshot.
func (s *Store) receiveSnapshotEnd(h header, body *reader) {
	next := body.uvarint()
	if body.err != nil || h.sender != s.cursor.peer {
		return
	}
	if next == 0 {
		s.synced, s.cursor = true, snapshotCursor{}
		return
	}
	s.cursor.next = next
	s.requestSnapshotPart()
}
