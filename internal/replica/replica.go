// Package replica holds copies of what other gateways have observed and shares this gateway's own observations. It is a state machine:
// (time, event) in, effects out.
//
// Each entry has one writer, the gateway that observed it (its origin). A copy is identified by the origin's incarnation and a counter,
// so of two copies one is always newer, whatever the order of arrival and however often each arrives; mergeBlock and mergeEntry apply
// that rule and no other.
//
// The package does no I/O, reads no clock and draws random numbers from its seed only. It does not interpret observations: readers of
// the entries do, and the decision module never depends on one. Messages carry ages, not wall-clock times; an entry older than its
// kind's MaxAge is dropped. With no peers left, the copies expire and nothing else changes.
package replica

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"foxlane/internal/window"
	"foxlane/rules"
)

// Member is another gateway.
type Member struct {
	Name, Zone string
}

// Store holds the copies of one gateway.
type Store struct {
	settings        Settings
	rng             *rand.Rand
	now             rules.Time
	own             *origin
	origins         map[string]*origin
	originNames     []string   // sorted: what is sent follows from the seed
	members         []Member   // sorted by name
	behindSince     rules.Time // when a member first reported more than is held here; 0: none does
	sentBytes       window.Sum // within the last second
	lastExpiry      rules.Time
	lastTick        rules.Time
	lastDigest      rules.Time
	nextRumorOrigin int  // origin whose rumors are sent first
	nextDigestRow   int  // origin at which the next digest begins
	nextScrub       int  // origin at which the next check of checksums begins
	synced          bool // a snapshot was received in full
	cursor          snapshotCursor
	refutations     int   // incarnations of this gateway's name that were later than its own
	expired         []Key // scratch
	effects         []Effect
	buf             []byte // scratch: the message that is being written
	stats           Stats
}

// New returns the empty store of a gateway that has just started.
func New(settings Settings, now rules.Time) *Store {
	s := &Store{settings: settings, rng: rand.New(rand.NewPCG(settings.Seed, 0xd1b54a32d192ed03)), now: now, origins: map[string]*origin{},
		sentBytes: window.Sum{Span: rules.Second}}
	s.own = s.origin(settings.Name)
	s.own.incarnation = settings.Incarnation
	return s
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (s *Store) Handle(now rules.Time, event Event) []Effect {
	s.effects = s.effects[:0]
	s.now = max(s.now, now)
	s.expireEntries() // first: what expired while the process stood still must not be acted on
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

// pauseThreshold is the gap between two ticks from which on the process is held to have been suspended.
const pauseThreshold = 2 * rules.Second

// tick runs what is due at an interval of gossip: the check of checksums, a snapshot request, rumors and a digest.
func (s *Store) tick() {
	if gap := s.now - s.lastTick; s.lastTick != 0 && gap > pauseThreshold {
		s.synced = false // what was missed arrives as a snapshot, aged by the pause
	}
	s.lastTick = s.now
	s.verifyChecksums()
	if len(s.members) == 0 {
		s.dropRumors()
		return
	}
	s.requestSnapshot()
	s.sendRumors()
	if s.now-s.lastDigest >= s.settings.DigestInterval {
		s.lastDigest = s.now
		s.sendDigest(s.members[s.rng.IntN(len(s.members))].Name)
	}
}

// ---- the gateway's own entries

// Put writes an entry of this gateway. It is sent if it is new, differs by the kind's MinChange, or has not been sent for Refresh.
func (s *Store) Put(now rules.Time, k Key, v Value) {
	s.now = max(s.now, now)
	o := s.own
	e := o.entries[k]
	if e != nil && s.now-e.WrittenAt < s.settings.Refresh && withinStep(e.Value, v, s.settings.MinChange[k.Kind]) {
		return
	}
	if e == nil {
		if len(o.entries) >= s.settings.MaxEntries {
			return // what was written first stays until it expires
		}
		e = &Entry{Key: k}
		o.entries[k] = e
	} else if s.now-e.WrittenAt < s.minInterval(k.Kind) {
		return
	}
	o.completeTo++
	e.Counter, e.WrittenAt, e.Value = o.completeTo, s.now, v
	e.checksum = e.checksumFor(o.name)
	s.spreadRumor(o, k)
}

// ---- members

// findMember returns the place of a member in the sorted list, or the place where it would be inserted.
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

// removeMember lets the member's entries expire. Its incarnation and counter remain as a tombstone until all copies of its entries must
// have expired, so that late messages can't restore them.
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

// Members returns the other gateways, sorted by name. It is not to be changed.
func (s *Store) Members() []Member { return s.members }

// ---- origins

// origin returns what is held of a gateway; it is created on first use.
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

// expireEntries drops entries over their kind's MaxAge, and origins that left so long ago that no copy of their entries can remain.
func (s *Store) expireEntries() {
	if s.now-s.lastExpiry < s.settings.GossipInterval {
		return
	}
	s.lastExpiry = s.now
	for i := 0; i < len(s.originNames); i++ {
		o := s.origins[s.originNames[i]]
		for k, e := range o.entries {
			if s.now-e.WrittenAt > s.settings.MaxAge[k.Kind] {
				s.expired = append(s.expired, k)
			}
		}
		if len(s.expired) > 0 {
			slices.SortFunc(s.expired, compareKeys)
			for _, k := range s.expired {
				s.removeEntry(o, k)
			}
			s.expired = s.expired[:0]
		}
		if o != s.own && o.leftAt != 0 && s.now-o.leftAt > 2*s.settings.longestMaxAge() {
			s.dropOrigin(o)
			i--
		}
	}
}
