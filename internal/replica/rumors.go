package replica

import "math/bits"

// This file implements rumor mongering: a new entry is sent to a few members per tick, for a few ticks.

// rumor is an entry that is being forwarded.
type rumor struct {
	key    Key
	rounds int // remaining ticks
}

const (
	minMembersToShorten = 16 // from this number of members on, a rumor that is received again loses a round
	nonUrgentRounds     = 2  // ticks for which an origin sends an entry that is not urgent
	// rumorStride is the number of origins by which the order of rumors rotates per tick. Without the rotation, the
	// rumors of the same origins would always wait when messages are full.
	rumorStride = 7
)

// rumorRounds returns the number of ticks for which an urgent entry is forwarded: enough to reach all members if each
// round doubles their number, and three more for lost messages.
func (s *Store) rumorRounds() int { return bits.Len(uint(len(s.members)+1)) + 3 }

// spreadRumor starts forwarding an entry, or restarts it.
func (s *Store) spreadRumor(o *origin, k Key) {
	rounds := s.rumorRounds()
	if !urgent(k.Kind) {
		rounds = nonUrgentRounds
	}
	for i := range o.rumors {
		if o.rumors[i].key == k {
			o.rumors[i].rounds = rounds
			return
		}
	}
	o.rumors = append(o.rumors, rumor{k, rounds})
}

// shortenRumor reduces the remaining rounds of a rumor that another member has just sent too: the more members forward
// it, the fewer rounds each needs.
func (s *Store) shortenRumor(o *origin, k Key) {
	if len(s.members) < minMembersToShorten {
		return
	}
	for i := range o.rumors {
		if o.rumors[i].key == k {
			o.rumors[i].rounds--
		}
	}
}

// dropRumors drops all rumors when there is no member to send them to.
func (s *Store) dropRumors() {
	for _, name := range s.originNames {
		s.origins[name].rumors = s.origins[name].rumors[:0]
	}
}

func (s *Store) hasRumors() bool {
	for _, name := range s.originNames {
		if len(s.origins[name].rumors) > 0 {
			return true
		}
	}
	return false
}

// sendRumors sends one message of rumors, urgent ones first, to Fanout members. Rumors that don't fit into the message
// wait for the next tick.
func (s *Store) sendRumors() {
	if !s.hasRumors() {
		return
	}
	w := s.beginMessage(typeDelta)
	headerBytes := len(w.buf)
	for _, urgentPass := range []bool{true, false} {
		for i := range s.originNames {
			o := s.origins[s.originNames[(i+s.nextRumorOrigin)%len(s.originNames)]]
			remaining := o.rumors[:0]
			for _, r := range o.rumors {
				e := o.entries[r.key]
				switch {
				case e == nil || r.rounds <= 0:
					continue
				case urgent(r.key.Kind) != urgentPass || len(w.buf)+maxBlockHeaderBytes+maxEntryBytes > s.settings.MaxMessageBytes:
					remaining = append(remaining, r)
					continue
				}
				w.blockHeader(o, e.Counter-1, e.Counter, 1)
				w.entry(e, e.checksumFor(o.name), s.now)
				if r.rounds--; r.rounds > 0 {
					remaining = append(remaining, r)
				}
			}
			o.rumors = remaining
		}
	}
	s.nextRumorOrigin += rumorStride
	if len(w.buf) == headerBytes {
		s.buf = w.buf[:0]
		return
	}
	msg := s.finishMessage(&w)
	for range min(s.settings.Fanout, len(s.members)) {
		if !s.withinBudget(len(msg)) {
			return
		}
		s.send(s.members[s.rng.IntN(len(s.members))].Name, msg)
	}
}
