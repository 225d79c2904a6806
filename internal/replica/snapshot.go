package replica

import (
	"cmp"
	"slices"

	"foxlane/rules"
)

// This file transfers snapshots: a member that has just started or was suspended fetches all entries from a peer, in
// parts.

// snapshotCursor is the progress of the snapshot that is being received.
type snapshotCursor struct {
	peer        string // sender; empty: no snapshot is being received
	lastOrigin  uint64 // hash of the last origin received; 0: none
	requestedAt rules.Time
}

// snapshotTimeout is the time after which a part that has not arrived is requested from another peer.
const snapshotTimeout = 400 * rules.Millisecond

// requestSnapshot requests a snapshot until one is complete, preferably from a member of the same zone. One request in
// four goes to any member, since those of the same zone may have just started as well. The gateway serves client
// requests in the meantime.
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
	w.uvarint(s.cursor.lastOrigin)
	msg := s.finishMessage(&w)
	s.cursor.requestedAt = s.now
	s.sendWithinBudget(s.cursor.peer, msg)
}

// sendSnapshotPart sends the next part of a snapshot: origins in the order of the hashes of their names, from where
// the last part ended, as far as the budget allows. The final message of a part has the hash of its last origin, or 0
// at the end of the snapshot.
func (s *Store) sendSnapshotPart(h header, body *reader) {
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
		return // the budget is used up; the requester retries after snapshotTimeout
	}
	end := uint64(0)
	if len(list) > 0 && last != hashName(list[len(list)-1].name) {
		end = last
	}
	w := s.beginMessage(typeSnapshotEnd)
	w.uvarint(end)
	s.send(h.sender, s.finishMessage(&w))
}

// receiveSnapshotEnd requests the next part, or completes the snapshot.
func (s *Store) receiveSnapshotEnd(h header, body *reader) {
	lastOrigin := body.uvarint()
	if body.err != nil || h.sender != s.cursor.peer {
		return
	}
	if lastOrigin == 0 {
		s.synced, s.cursor = true, snapshotCursor{}
		return
	}
	s.cursor.lastOrigin = lastOrigin
	s.requestSnapshotPart()
}
