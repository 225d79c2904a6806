package replica

import (
	"cmp"
	"fmt"
	"slices"

	"foxlane/rules"
)

// Kind is what an entry reports. Each kind has its own merge over gateways, done by the readers; Settings.MaxAge bounds its age.
type Kind uint8

// Kinds of entries. Subject identifies an engine's number, a class, a zone or the hash of a tenant, by kind. The numbers are part of the
// wire form.
const (
	EngineLoad         Kind = iota + 1 // threads and work of this gateway on an engine; read: summed over gateways
	EngineFault                        // 1 while the engine is ejected here, 0 once it has recovered; read: gateways counted
	SlowStartSpend                     // work sent to an engine in slow start within its window; read: summed
	ClassEstimate                      // ratio of true over declared work and usual work of a class, with weights; read: median
	OfferedLoad                        // work that the clients ask for, in cores; read: summed
	TenantUsage                        // work done for a tenant within a window; read: summed
	PromisedRetryAfter                 // until when a tenant was asked to stay away; read: the latest
	ZoneState                          // state of a zone here; read: gateways counted
	KindCount
)

// String returns the kind's name as `foxlane replica diff` prints it.
func (k Kind) String() string {
	names := [...]string{"none", "engine load", "engine fault", "cold spend", "class usual", "offered", "tenant use", "promise", "zone state"}
	if int(k) < len(names) {
		return names[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// urgent reports whether readers act on a kind at once. Urgent entries are sent first and forwarded by every member; others are
// sent by their origin to a few members and reach the rest by digests.
func urgent(k Kind) bool { return k == EngineFault || k == ZoneState || k == PromisedRetryAfter }

// Key identifies an entry of one origin.
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

// withinStep reports whether two values differ by at most a part of the larger, in each number.
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

// Entry is one copy of what an origin wrote.
type Entry struct {
	Key
	Counter   uint64     // counter of its origin when it was written
	WrittenAt rules.Time // on the clock of the holder
	Value     Value
	checksum  uint32 // as received: bits that flip in memory later do not match it
}

// origin is what is held of one gateway.
type origin struct {
	name        string
	incarnation uint64
	completeTo  uint64 // all entries up to this counter are held
	entries     map[Key]*Entry
	rumors      []rumor    // entries that are still forwarded
	leftAt      rules.Time // when it left the members; 0: it has not
}

// entriesAfter returns the entries over a counter, in the order in which they were written.
func (o *origin) entriesAfter(counter uint64) (list []*Entry) {
	for _, e := range o.entries {
		if e.Counter > counter {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.Counter, b.Counter) })
	return list
}

// sortedKeys returns the keys in a fixed order: a map's own order would make what is sent depend on more than the seed.
func sortedKeys(m map[Key]*Entry) []Key {
	keys := make([]Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
