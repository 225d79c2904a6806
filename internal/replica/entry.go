package replica

import (
	"cmp"
	"fmt"
	"slices"

	"foxlane/rules"
)

// Kind is the kind of observation in an entry. Readers aggregate the entries of each kind over gateways in their own
// way; Settings.MaxAge bounds their age.
type Kind uint8

// Kinds of entries, with the way in which readers aggregate them. Depending on the kind, Subject is an engine's number,
// a class, a zone or the hash of a tenant. The values are part of the wire format.
const (
	EngineLoad         Kind = iota + 1 // threads and work of the origin on an engine; sum
	EngineFault                        // 1 while the origin ejects an engine, 0 after its recovery; count of gateways
	SlowStartSpend                     // work sent to an engine in slow start within its window; sum
	ClassEstimate                      // ratio of true to declared work, mean work and sample weight of a class; median
	OfferedLoad                        // demand of the origin's clients, in cores; sum
	TenantUsage                        // work done for a tenant within a window; sum
	PromisedRetryAfter                 // time until which a tenant was asked not to retry; latest
	ZoneState                          // state of a zone at the origin; count of gateways
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

// urgent reports whether readers act on entries of a kind at once. Urgent entries are sent first and forwarded by every
// member. Others are sent by their origin to a few members, and reach the rest through digests.
func urgent(k Kind) bool { return k == EngineFault || k == ZoneState || k == PromisedRetryAfter }

// Key identifies an entry among those of one origin.
type Key struct {
	Kind    Kind
	Subject uint64
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Subject, b.Subject))
}

// ValueCount is the number of values in an entry.
const ValueCount = 4

// Value holds the values of an entry; their meaning depends on its kind.
type Value [ValueCount]float32

// withinChange reports whether a and b differ in each number by at most a fraction maxChange of the larger one.
func withinChange(a, b Value, maxChange float32) bool {
	for i := range a {
		d := a[i] - b[i]
		if d < 0 {
			d = -d
		}
		if d > maxChange*max(a[i], b[i], -a[i], -b[i]) {
			return false
		}
	}
	return true
}

// Entry is one copy of an entry of an origin.
type Entry struct {
	Key
	Counter   uint64     // of the origin when it wrote the entry
	WrittenAt rules.Time // by the clock of the holder
	Value     Value
	checksum  uint32 // as received; detects bits that flip in memory
}

// origin holds the entries of one gateway.
type origin struct {
	name        string
	incarnation uint64
	completeTo  uint64 // all entries up to this counter are held
	entries     map[Key]*Entry
	rumors      []rumor    // entries that are still being forwarded
	leftAt      rules.Time // when it left the members; 0: it is a member
}

// entriesAfter returns the entries with counters over counter, in the order in which they were written.
func (o *origin) entriesAfter(counter uint64) (list []*Entry) {
	for _, e := range o.entries {
		if e.Counter > counter {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.Counter, b.Counter) })
	return list
}

// sortedKeys returns the keys in a fixed order, so that the messages sent depend on the seed and not on map iteration.
func sortedKeys(m map[Key]*Entry) []Key {
	keys := make([]Key, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}
