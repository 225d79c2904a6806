package replica

import "foxlane/rules"

// This file reads the store: entries by kind for the readers that merge them, copies and counts for operators.

// Each calls do for all entries of a kind, of all gateways but this one, in the order of origin and subject.
func (s *Store) Each(k Kind, do func(origin string, e *Entry)) {
	for _, name := range s.originNames {
		o := s.origins[name]
		if o == s.own {
			continue
		}
		for _, key := range sortedKeys(o.entries) {
			if key.Kind == k {
				do(name, o.entries[key])
			}
		}
	}
}

// Copy is what is held of one origin.
type Copy struct {
	Origin      string
	Incarnation uint64
	Counter     uint64 // all entries up to it are held
	Left        bool   // the origin is no member any more
	Entries     []Entry
}

// Copies returns all that is held, sorted by origin; entries are sorted by kind and subject.
func (s *Store) Copies() []Copy {
	out := make([]Copy, 0, len(s.originNames))
	for _, name := range s.originNames {
		o := s.origins[name]
		c := Copy{Origin: name, Incarnation: o.incarnation, Counter: o.completeTo, Left: o.leftAt != 0}
		for _, k := range sortedKeys(o.entries) {
			c.Entries = append(c.Entries, *o.entries[k])
		}
		out = append(out, c)
	}
	return out
}

// Stats are counts since the start, and sizes now.
type Stats struct {
	BytesSent, BytesReceived int
	MessagesSent             int
	NewEntries, KnownEntries int        // entries received: accepted, and held already
	Rejected                 int        // messages
	Repaired                 int        // origins whose copy did not match its checksum and was fetched again
	OverBudget               int        // messages held back for the budget
	SnapshotOrigins          int        // origins sent as parts of snapshots
	Entries, Origins         int        // now
	Members                  int        // now
	Lag                      rules.Time // for how long a member has held more than is held here; 0: none does
}

// Stats returns the counts since the start, and the sizes now.
func (s *Store) Stats() Stats {
	stats := s.stats
	stats.Members, stats.Origins = len(s.members), len(s.originNames)
	for _, o := range s.origins {
		stats.Entries += len(o.entries)
	}
	if s.behindSince != 0 {
		stats.Lag = s.now - s.behindSince
	}
	return stats
}
