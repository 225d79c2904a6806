package replica

import "math/bits"

// This file spreads rumors: an entry that is new is forwarded to a few members per tick, for a few ticks.

// rumor is an entry that is still forwarded.
type rumor struct {
	key    Key
	rounds int // ticks left
}

const (
	coolingMembers = 16 // from this many members on, receiving a rumor that is forwarded here shortens its rounds
	routineRounds  = 2  // ticks for which an origin sends an entry that is not urgent
	// rumorStride is by how many origins the order of rumors moves per tick, so that no origin is always last when a message is full.
	rumorStride = 7
)

// rumorRounds is for how many ticks an urgent entry is forwarded: enough to reach all members by doubling, and three more for losses.
func (s *Store) rumorRounds() int { return bits.Len(uint(len(s.members)+1)) + 3 }

// spreadRumor begins to forward an entry, or begins again.
func (s *Store) spreadRumor(o *origin, k Key) {
	rounds := s.rumorRounds()
	if !urgent(k.Kind) {
		rounds = routineRounds
	}
	for i := range o.rumors {
		if o.rumors[i].key == k {
			o.rumors[i].rounds = rounds
			return
		}
	}
	o.rumors = append(o.rumors, rumor{k, rounds})
}

// coolRumor shortens the rounds of a rumor that another member has just sent too: the more members forward it, the fewer need to.
func (s *Store) coolRumor(o *origin, k Key) {
	if len(s.members) < coolingMembers {
		return
	}
	for i := range o.rumors {
		if o.rumors[i].key == k {
			o.rumors[i].rounds--
		}
	}
}

// dropRumors ends all rumors: there is no member to send them to.
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

// sendRumors sends one message of rumors to Fanout members, urgent ones first. A rumor that finds no room in the message remains for
// the next tick.
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
