// Package replica replicates the observations of gateways: it publishes this gateway's own and holds copies of those of
// its peers. It is a state machine that takes events and returns effects.
//
// Each entry has a single writer, the gateway that observed it (its origin). The origin's incarnation and counter order
// its copies, so which of two copies is newer depends neither on the order in which they arrive nor on how often.
// mergeBlock and mergeEntry apply no other rule.
//
// The package does no I/O, reads no clock and draws random numbers from its seed only. It does not interpret
// observations; the readers of the entries do, and the decision module depends on none of them. Messages carry ages
// instead of wall-clock times, and an entry older than its kind's MaxAge is dropped. Without peers the copies expire
// and nothing else changes.
package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"foxlane/internal/window"
	"foxlane/rules"
)

// Member identifies another gateway.
type Member struct {
	Name, Zone string
}

// Store holds the copies of one gateway.
type Store struct {
	settings         Settings
	rng              *rand.Rand
	now              rules.Time
	own              *origin
	origins          map[string]*origin
	originNames      []string   // sorted, so that the messages sent depend on the seed only
	members          []Member   // sorted by name
	behindSince      rules.Time // since when a member reports entries that are not held here; 0: none does
	sentBytes        window.Sum // within the last second
	lastExpiryAt     rules.Time
	lastTickAt       rules.Time
	lastDigestAt     rules.Time
	nextRumorOrigin  int  // index of the origin whose rumors are sent first
	nextDigestOrigin int  // index of the origin at which the next digest begins
	nextScrubOrigin  int  // index of the origin whose checksums are verified next
	synced           bool // a complete snapshot was received
	cursor           snapshotCursor
	refutations      int   // number of reports of an incarnation of this gateway later than its own
	expiredKeys      []Key // scratch
	effects          []Effect
	buf              []byte // scratch: the message that is being written
	stats            Stats
}

// New returns the empty store of a gateway that has just started.
func New(settings Settings, now rules.Time) *Store {
	s := &Store{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0xd1b54a32d192ed03)), now: now, origins: map[string]*origin{},
		sentBytes: window.Sum{Span: rules.Second}}
	s.own = s.origin(settings.Name)
	s.own.incarnation = settings.Incarnation
	return s
}

// Handle processes one event and returns its effects, which are valid until the next call.
func (s *Store) Handle(now rules.Time, event Event) []Effect {
	s.effects = s.effects[:0]
	s.now = max(s.now, now)
	s.expireEntries() // first, so that nothing acts on entries that expired while the process was suspended
	switch event := event.(type) {
	case Joined:
		s.addMember(event.Member)
	case Left:
		s.removeMember(event.Member.Name)
	case Received:
		s.receive(event.From.Name, event.Data)
	case Tick:
		s.tick()
	}
	return s.effects
}

func (s *Store) emit(effect Effect) { s.effects = append(s.effects, effect) }

// pauseThreshold is the gap between two ticks above which the process counts as having been suspended.
const pauseThreshold = 2 * rules.Second

// tick runs a round of gossip: it verifies checksums, requests a snapshot if needed, and sends rumors and a digest.
func (s *Store) tick() {
	if gap := s.now - s.lastTickAt; s.lastTickAt != 0 && gap > pauseThreshold {
		s.synced = false // fetch the missed updates as a snapshot
	}
	s.lastTickAt = s.now
	s.verifyChecksums()
	if len(s.members) == 0 {
		s.dropRumors()
		return
	}
	s.requestSnapshot()
	s.sendRumors()
	if s.now-s.lastDigestAt >= s.settings.DigestInterval {
		s.lastDigestAt = s.now
		s.sendDigest(s.members[s.rng.IntN(len(s.members))].Name)
	}
}

// ---- entries of this gateway

// Put writes an entry of this gateway. It is sent if it is new, has changed by more than the kind's MinChange, or was
// last written RefreshInterval ago, but not again within minInterval. Otherwise Put does nothing.
func (s *Store) Put(now rules.Time, key Key, value Value) {
	s.now = max(s.now, now)
	o := s.own
	e := o.entries[key]
	if e != nil && s.now-e.WrittenAt < s.settings.RefreshInterval && withinChange(e.Value, value, s.settings.MinChange[key.Kind]) {
		return
	}
	if e == nil {
		if len(o.entries) >= s.settings.MaxEntriesPerOrigin {
			return // no eviction: earlier entries stay until they expire
		}
		e = &Entry{Key: key}
		o.entries[key] = e
	} else if s.now-e.WrittenAt < s.minInterval(key.Kind) {
		return
	}
	o.completeTo++
	e.Counter, e.WrittenAt, e.Value = o.completeTo, s.now, value
	e.checksum = e.checksumFor(o.name)
	s.spreadRumor(o, key)
}

// ---- members

// findMember returns the index of a member in the sorted list, or the index at which to insert it.
func (s *Store) findMember(name string) (i int, found bool) {
	return slices.BinarySearchFunc(s.members, name, func(m Member, n string) int { return cmp.Compare(m.Name, n) })
}

func (s *Store) isMember(name string) bool {
	_, found := s.findMember(name)
	return found
}

func (s *Store) addMember(m Member) {
	if m.Name == s.settings.Name {
		return
	}
	i, found := s.findMember(m.Name)
	if found {
		s.members[i] = m
		return
	}
	s.members = slices.Insert(s.members, i, m)
	if o := s.origins[m.Name]; o != nil {
		o.leftAt = 0
	}
}

// removeMember removes a member and lets its entries expire. Its incarnation and counter remain as a tombstone until
// all copies of its entries must have expired, so that late messages can't restore them.
func (s *Store) removeMember(name string) {
	i, found := s.findMember(name)
	if !found {
		return
	}
	s.members = slices.Delete(s.members, i, i+1)
	if o := s.origins[name]; o != nil && o != s.own {
		o.leftAt = max(s.now, 1)
	}
	if s.cursor.peer == name {
		s.cursor = snapshotCursor{}
	}
}

// Members returns the other gateways, sorted by name. The caller must not change the slice.
func (s *Store) Members() []Member { return s.members }

// ---- origins

// origin returns the origin of a name, and creates it if there is none.
func (s *Store) origin(name string) *origin {
	o := s.origins[name]
	if o == nil {
		o = &origin{name: name, entries: map[Key]*Entry{}}
		s.origins[name] = o
		i, _ := slices.BinarySearch(s.originNames, name)
		s.originNames = slices.Insert(s.originNames, i, name)
	}
	return o
}

func (s *Store) dropOrigin(o *origin) {
	s.removeAllEntries(o)
	delete(s.origins, o.name)
	if i, found := slices.BinarySearch(s.originNames, o.name); found {
		s.originNames = slices.Delete(s.originNames, i, i+1)
	}
}

func (s *Store) removeAllEntries(o *origin) {
	for _, k := range sortedKeys(o.entries) {
		s.removeEntry(o, k)
	}
}

func (s *Store) removeEntry(o *origin, k Key) {
	e := o.entries[k]
	if e == nil {
		return
	}
	delete(o.entries, k)
	if o != s.own {
		s.emit(Removed{Origin: o.name, Entry: *e})
	}
}

// expireEntries drops entries older than their kind's MaxAge, and origins that left so long ago that no copy of their
// entries can remain. It runs at most once per GossipInterval.
func (s *Store) expireEntries() {
	if s.now-s.lastExpiryAt < s.settings.GossipInterval {
		return
	}
	s.lastExpiryAt = s.now
	for i := 0; i < len(s.originNames); i++ {
		o := s.origins[s.originNames[i]]
		for k, e := range o.entries {
			if s.now-e.WrittenAt > s.settings.MaxAge[k.Kind] {
				s.expiredKeys = append(s.expiredKeys, k)
			}
		}
		if len(s.expiredKeys) > 0 {
			slices.SortFunc(s.expiredKeys, compareKeys)
			for _, k := range s.expiredKeys {
				s.removeEntry(o, k)
			}
			s.expiredKeys = s.expiredKeys[:0]
		}
		if o != s.own && o.leftAt != 0 && s.now-o.leftAt > 2*s.settings.longestMaxAge() {
			s.dropOrigin(o)
			i--
		}
	}
}
