package replica

import "foxlane/rules"

// This file provides read access to the store: entries by kind for readers that aggregate them, copies and counts for
// operators.

// Each calls visit for each entry of a kind from all gateways but this one, in the order of origin and subject.
func (s *Store) Each(kind Kind, visit func(origin string, e *Entry)) {
	for _, name := range s.originNames {
		o := s.origins[name]
		if o == s.own {
			continue
		}
		for _, key := range sortedKeys(o.entries) {
			if key.Kind == kind {
				visit(name, o.entries[key])
			}
		}
	}
}

// Copy holds the copies of the entries of one origin.
type Copy struct {
	Origin      string
	Incarnation uint64
	Counter     uint64 // all entries up to it are held
	Left        bool   // the origin is not a member
	Entries     []Entry
}

// Copies returns the copies of all origins, sorted by origin; entries are sorted by kind and subject.
func (s *Store) Copies() []Copy {
	copies := make([]Copy, 0, len(s.originNames))
	for _, name := range s.originNames {
		o := s.origins[name]
		copied := Copy{Origin: name, Incarnation: o.incarnation, Counter: o.completeTo, Left: o.leftAt != 0}
		for _, k := range sortedKeys(o.entries) {
			copied.Entries = append(copied.Entries, *o.entries[k])
		}
		copies = append(copies, copied)
	}
	return copies
}

// Stats are counts since the start and current sizes.
type Stats struct {
	BytesSent, BytesReceived int
	MessagesSent             int
	NewEntries, KnownEntries int        // received entries that were accepted, and that were already held
	Rejected                 int        // messages rejected
	Repaired                 int        // checksum mismatches after which entries were written or fetched again
	OverBudget               int        // messages not sent because of the budget
	SnapshotOrigins          int        // origins sent in snapshots
	Entries, Origins         int        // held now
	Members                  int        // now
	Lag                      rules.Time // for how long members have reported entries that are not held here; 0: none does
}

// Stats returns the counts since the start and the current sizes.
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
