// Package replica keeps copies of what other gateways have observed, and lets them have ours: (time, event) to effects.
// Each entry has one writer, the gateway that observed it; a copy is told by a life of that gateway and a counter, so that of
// two copies one is always the newer, whichever came first and however often. What differs is joined by that rule alone.
//
// It owns copies only. It must never do I/O, look at a clock or draw but from its seed, nor decide what an observation means:
// who takes entries out of it does, and the decision module never leans on one. Ages travel, not wall clocks; what is old is
// forgotten. With all peers gone nothing here changes but that the copies fade.
package replica

import (
	"cmp"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"

	"foxlane/internal/window"
	"foxlane/rules"
)

// Kind is what an entry tells. Each has its own merge over gateways, at those who read it (see Settings.Keep and the readers).
type Kind uint8

// Kinds of entries. Subject says of what: an engine's number, a class, a zone, a hash of a tenant.
const (
	EngineLoad         Kind = iota + 1 // threads and work of ours on an engine; read: added up over gateways
	EngineFault                        // 1 while we leave an engine out, 0 since it is well; read: gateways counted
	SlowStartSpend                     // work that we sent to a cold engine in this tip window; read: added up
	ClassEstimate                      // ratio of true over told work and usual work of a class, with weights; read: weighted mean
	OfferedLoad                        // work that our clients ask for, in cores; read: added up
	TenantUsage                        // work that a tenant had of us within a span; read: added up
	PromisedRetryAfter                 // until when a tenant was told to stay away; read: the latest
	ZoneState                          // state of a zone here; read: gateways counted
	KindCount
)

func (k Kind) String() string {
	names := [...]string{"none", "engine load", "engine fault", "cold spend", "class usual", "offered", "tenant use", "promise", "zone state"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Key names an entry of one origin.
type Key struct {
	Kind    Kind
	Subject uint64
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// ValueCount is how many numbers an entry holds.
const ValueCount = 4

// Value is what an entry holds.
type Value [ValueCount]float32

// Entry is one copy.
type Entry struct {
	Key
	Counter   uint64 // of its origin when it was written
	WrittenAt rules.Time
	Value     Value
	checksum  uint32 // sum of what came: bits that flip later don't fit it
}

// Settings bound a replica.
type Settings struct {
	Name            string                // ours
	Zone            string                // ours: a peer of it is asked first for a snapshot
	Incarnation     uint64                // of this process: later ones have larger numbers
	MaxAge          [KindCount]rules.Time // how old a copy may get
	MinChange       [KindCount]float32    // a value that differs by less, as a part, is not told anew before Refresh
	Refresh         rules.Time            // after which an entry is told anew though nothing has changed
	Budget          int                   // bytes that we send a second
	GossipInterval  rules.Time            // between two rounds of gossip
	DigestInterval  rules.Time            // between two digests
	Fanout          int                   // peers that a round reaches
	MaxEntries      int                   // entries kept of one origin
	MaxOrigins      int                   // origins kept
	MaxMessageBytes int                   // bytes of a message, at most
	Seed            uint64
}

// Defaults are for gateways of one fleet on a local network.
func Defaults() Settings {
	s := Settings{Refresh: 5 * rules.Second, Budget: 20_000, GossipInterval: 200 * rules.Millisecond, DigestInterval: rules.Second, Fanout: 3,
		MaxEntries: 256, MaxOrigins: 512, MaxMessageBytes: 1200}
	for k := range s.MaxAge {
		s.MaxAge[k], s.MinChange[k] = 15*rules.Second, 0.2
	}
	s.MaxAge[SlowStartSpend], s.MaxAge[EngineLoad] = 4*rules.Second, 10*rules.Second
	s.MaxAge[ClassEstimate] = 10 * 60 * rules.Second
	s.MaxAge[PromisedRetryAfter] = 60 * rules.Second
	return s
}

// Validate says what can't be used.
func (s Settings) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxName || len(s.Zone) > maxName:
		return fmt.Errorf("replica: name %q must have 1 to %d bytes, zone %q at most that", s.Name, maxName, s.Zone)
	case s.Budget < 1000 || s.GossipInterval <= 0 || s.DigestInterval < s.GossipInterval || s.Refresh <= 0:
		return errors.New("replica: budget must be at least 1000 bytes a second, tick over 0, digest at least a tick, refresh over 0")
	case s.Fanout < 1 || s.MaxEntries < 1 || s.MaxOrigins < 1 || s.MaxMessageBytes < 256 || s.MaxMessageBytes > maxMessage:
		return fmt.Errorf("replica: fanout, entries and origins must be at least 1, a message within 256 and %d bytes", maxMessage)
	}
	return nil
}

// EventKind is what an Event tells.
type EventKind int

// Kinds of events.
const (
	Joined   EventKind = iota + 1 // a member is there: Member
	Left                          // or has gone
	Received                      // Data came from a member
	Tick                          // time has passed
)

// Member is another gateway.
type Member struct {
	Name, Zone string
}

// Event is something that happened.
type Event struct {
	Kind   EventKind
	Member Member
	Data   []byte // with Came; it is copied
}

// EffectKind is what an Effect asks for.
type EffectKind int

// Kinds of effects.
const (
	Send    EffectKind = iota + 1 // send Data to a member, as a datagram
	Updated                       // an entry of Origin is new or newer here: Entry; its Born is on our clock
	Removed                       // an entry of Origin has grown old or its origin has a new life
	Reject                        // what came can't be used: Err, from Origin
)

// Effect is something to do. Data is valid until the next Handle.
type Effect struct {
	Kind   EffectKind
	To     string
	Data   []byte
	Origin string
	Entry  Entry
	Err    error
}

// origin is what is held of one gateway.
type origin struct {
	name        string
	incarnation uint64
	completeTo  uint64 // all entries up to it are here
	entries     map[Key]*Entry
	rumors      []rumor    // told on, for some rounds
	leftAt      rules.Time // when it left; 0: it has not
}

// rumor is an entry that is still passed on.
type rumor struct {
	key    Key
	rounds int
}

// Stats are counts since the start, and sizes now.
type Stats struct {
	BytesSent, BytesReceived int // bytes
	MessagesSent             int // sent
	NewEntries, KnownEntries int // entries that came: news, and those that were here
	Rejected                 int // messages
	Repaired                 int // origins whose copy did not agree and was fetched again
	OverBudget               int // rounds in which the budget was used up
	Entries, Origins         int
	Members                  int
	Lag                      rules.Time // for how long somebody has known more than we have; 0: nobody does
	SnapshotOrigins          int        // parts of snapshots
}

// Store is the copies of one gateway.
type Store struct {
	settings        Settings
	rng             *rand.Rand
	now             rules.Time
	own             *origin
	origins         map[string]*origin
	originNames     []string   // of origins, sorted: what is sent follows from the seed
	members         []Member   // sorted by name
	behindSince     rules.Time // since when somebody has told of more than we have; 0: nobody has
	sentBytes       window.Sum // bytes
	lastExpiry      rules.Time // when we last looked for what is old
	lastTick        rules.Time
	lastDigest      rules.Time
	nextRumorOrigin int  // origin whose news go first
	nextDigestRow   int  // origin at which the next digest begins
	nextScrub       int  // and the next look for flipped bits
	synced          bool // a snapshot was taken
	cursor          snapshotCursor
	refutations     int   // lives of our name that were later than ours
	expired         []Key // scratch
	effects         []Effect
	buf             []byte
	stats           Stats
}

// New returns the copies of a gateway that has just started: none.
func New(set Settings, now rules.Time) *Store {
	r := &Store{settings: set, rng: rand.New(rand.NewPCG(set.Seed, 0xd1b54a32d192ed03)), now: now, origins: map[string]*origin{},
		sentBytes: window.Sum{Span: rules.Second}}
	r.own = r.origin(set.Name)
	r.own.incarnation = set.Incarnation
	return r
}

func (r *Store) origin(name string) *origin {
	o := r.origins[name]
	if o == nil {
		o = &origin{name: name, entries: map[Key]*Entry{}}
		r.origins[name] = o
		i, _ := slices.BinarySearch(r.originNames, name)
		r.originNames = slices.Insert(r.originNames, i, name)
	}
	return o
}

func (r *Store) dropOrigin(o *origin) {
	for _, k := range sortedKeys(o.entries) {
		r.removeEntry(o, k)
	}
	delete(r.origins, o.name)
	if i, ok := slices.BinarySearch(r.originNames, o.name); ok {
		r.originNames = slices.Delete(r.originNames, i, i+1)
	}
}

func sortedKeys(m map[Key]*Entry) []Key {
	keys := make([]Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (r *Store) Handle(now rules.Time, e Event) []Effect {
	r.effects = r.effects[:0]
	r.now = max(r.now, now)
	r.expireEntries() // first: what has grown old while we stood still must not be acted on
	switch e.Kind {
	case Joined:
		r.addMember(e.Member)
	case Left:
		r.removeMember(e.Member.Name)
	case Received:
		r.receive(e.Member.Name, e.Data)
	case Tick:
		r.tick()
	}
	return r.effects
}

func (r *Store) emit(e Effect) { r.effects = append(r.effects, e) }

// ---- our own entries

// Put writes an entry of ours. It is told on if it is new, differs by the kind's step, or has not been told for Refresh.
func (r *Store) Put(now rules.Time, k Key, v Value) {
	r.now = max(r.now, now)
	o := r.own
	e := o.entries[k]
	if e != nil && r.now-e.WrittenAt < r.settings.Refresh && withinStep(e.Value, v, r.settings.MinChange[k.Kind]) {
		return
	}
	if e == nil {
		if len(o.entries) >= r.settings.MaxEntries {
			return // bounded: what is written first stays, and ages
		}
		e = &Entry{Key: k}
		o.entries[k] = e
	} else if r.now-e.WrittenAt < r.minInterval(k.Kind) {
		return
	}
	o.completeTo++
	e.Counter, e.WrittenAt, e.Value = o.completeTo, r.now, v
	e.checksum = e.checksumFor(o.name)
	r.spreadRumor(o, k)
}

// urgent answers whether others act on a kind at once: it goes first, and by all. The rest is told by its origin to some, and goes on by
// digests.
func urgent(k Kind) bool { return k == EngineFault || k == ZoneState || k == PromisedRetryAfter }

// minInterval is for how long an entry is not told anew, however it changes: where hundreds tell, all of it must fit what one may send.
// What others act on at once is told at once.
func (r *Store) minInterval(k Kind) rules.Time {
	if urgent(k) {
		return 0
	}
	return rules.Time(float64(len(r.members)*r.settings.Fanout*typicalEntryBytes) / float64(r.settings.Budget) * float64(rules.Second))
}

func withinStep(a, b Value, step float32) bool {
	for i := range a {
		d := a[i] - b[i]
		if d < 0 {
			d = -d
		}
		if d > step*max(a[i], b[i], -a[i], -b[i]) {
			return false
		}
	}
	return true
}

// ---- members

func (r *Store) addMember(m Member) {
	if m.Name == r.settings.Name {
		return
	}
	i, ok := slices.BinarySearchFunc(r.members, m.Name, func(a Member, n string) int { return cmp.Compare(a.Name, n) })
	if ok {
		r.members[i] = m
		return
	}
	r.members = slices.Insert(r.members, i, m)
	if o := r.origins[m.Name]; o != nil {
		o.leftAt = 0
	}
}

// removeMember: what it observed fades; its life and counter are kept as a tombstone until all copies of it must have faded, so that
// late messages can't bring them back.
func (r *Store) removeMember(name string) {
	i, ok := slices.BinarySearchFunc(r.members, name, func(a Member, n string) int { return cmp.Compare(a.Name, n) })
	if !ok {
		return
	}
	r.members = slices.Delete(r.members, i, i+1)
	if o := r.origins[name]; o != nil && o != r.own {
		o.leftAt = max(r.now, 1)
	}
	if r.cursor.peer == name {
		r.cursor = snapshotCursor{}
	}
}

// Members tells who is there, sorted by name.
func (r *Store) Members() []Member { return r.members }

func (r *Store) isMember(name string) bool {
	_, ok := slices.BinarySearchFunc(r.members, name, func(a Member, n string) int { return cmp.Compare(a.Name, n) })
	return ok
}

// ---- reading

// Each calls for all entries of a kind, of all gateways but us, in the order of origin and subject.
func (r *Store) Each(k Kind, do func(origin string, e *Entry)) {
	for _, name := range r.originNames {
		o := r.origins[name]
		if o == r.own {
			continue
		}
		for _, key := range sortedKeys(o.entries) {
			if key.Kind == k {
				do(name, o.entries[key])
			}
		}
	}
}

// Copy is what is held of one origin, for operators.
type Copy struct {
	Origin      string
	Incarnation uint64
	Counter     uint64
	Left        bool
	Entries     []Entry // sorted by kind and subject
}

// Copies tells all that is held, sorted by origin.
func (r *Store) Copies() []Copy {
	out := make([]Copy, 0, len(r.originNames))
	for _, name := range r.originNames {
		o := r.origins[name]
		c := Copy{Origin: name, Incarnation: o.incarnation, Counter: o.completeTo, Left: o.leftAt != 0}
		for _, k := range sortedKeys(o.entries) {
			c.Entries = append(c.Entries, *o.entries[k])
		}
		out = append(out, c)
	}
	return out
}

// Stats tells what was done since the start.
func (r *Store) Stats() Stats {
	s := r.stats
	s.Members, s.Origins = len(r.members), len(r.originNames)
	for _, o := range r.origins {
		s.Entries += len(o.entries)
	}
	if r.behindSince != 0 {
		s.Lag = r.now - r.behindSince
	}
	return s
}

// ---- ageing

// expireEntries forgets what has grown old.
func (r *Store) expireEntries() {
	if r.now-r.lastExpiry < r.settings.GossipInterval {
		return
	}
	r.lastExpiry = r.now
	for i := 0; i < len(r.originNames); i++ {
		o := r.origins[r.originNames[i]]
		for k, e := range o.entries {
			if r.now-e.WrittenAt > r.settings.MaxAge[k.Kind] {
				r.expired = append(r.expired, k)
			}
		}
		if len(r.expired) > 0 {
			slices.SortFunc(r.expired, compareKeys)
			for _, k := range r.expired {
				r.removeEntry(o, k)
			}
			r.expired = r.expired[:0]
		}
		if o != r.own && o.leftAt != 0 && r.now-o.leftAt > 2*r.longestMaxAge() {
			r.dropOrigin(o)
			i--
		}
	}
}

func (r *Store) longestMaxAge() (most rules.Time) {
	for _, k := range r.settings.MaxAge {
		most = max(most, k)
	}
	return most
}

func (r *Store) removeEntry(o *origin, k Key) {
	e := o.entries[k]
	if e == nil {
		return
	}
	delete(o.entries, k)
	if o != r.own {
		r.emit(Effect{Kind: Removed, Origin: o.name, Entry: *e})
	}
}
