// Package discovery owns which list of engines holds, out of what a name service answers: lists with numbers, some of which
// are lost, late, doubled, out of order, from before, or numbered anew. It is pure: answers and the time go in, the list
// comes out. It must never do I/O, read a clock, or know what is sent to an engine.
//
// Numbers order the lists of one count only. A count begins anew when the gateway or the name service starts, and an answer
// may bring a list of another count. So no single number decides:
//
//   - A restriction (an engine drains, or has gone) is believed at once, whatever the number of the list that tells it.
//   - It is taken back by a later start of the engine, or by a few answers in a row that hold the list that holds, or newer ones,
//     and list the engine as active.
//   - A list with a newer number is taken at once. It is given up, for the list that is told instead, once several answers
//     brought other lists and none with its number or a newer one outweighs them.
package discovery

import (
	"slices"

	"foxlane/internal/config"
	"foxlane/rules"
)

// Answers are 100 ms apart. Three are well under the grace of a drain, and more than the name service brings from before
// in a row; ten, one second's, are what it takes against a list that was told again and again.
const (
	firstWeight         = 3
	mostWeight          = 10
	confirmationsNeeded = 3
)

// absentFor is how long an engine may be missing from answers that are not newer than the list that holds until it counts
// as gone: an older list lacks what came behind it, and the next answer says so.
const absentFor = 300 * rules.Millisecond

// maxTombstones is how many engines that have gone are remembered: a list from before may name them again.
const maxTombstones = 256

// Verdict is what became of an answer.
type Verdict int

// Verdicts.
const (
	Confirmed Verdict = iota // it holds the list that holds
	Newer                    // it holds a newer one, which holds from now on
	Other                    // it holds another one that is not newer: stale, or of another count
	Recounted                // as Other, and it holds from now on: the count has begun anew
	Late                     // its query was sent ahead of others that were answered, and it tells nothing newer
)

// Answer is a usable answer of the name service.
type Answer struct {
	Query   uint64 // the place of its query among all that were sent
	Serial  uint32
	Engines []config.Engine
}

// List is the list of engines as it holds now.
type List struct {
	serial     uint32
	held       []config.Engine
	places     map[string]int // in held, by id
	support    int            // of the list that holds: an answer with it adds one, one with another list takes one away
	answered   uint64         // the latest query that was answered
	records    map[string]*record
	tombstones []string // ids of engines that have gone, the longest gone first
	changed    bool
}

// record is what is remembered of an engine that something speaks against.
type record struct {
	restricted    bool       // it drains or has gone, as far as is known
	confirmations int        // answers in a row that held the list that holds, or a newer one, and list the engine as active
	started       int64      // its latest start that is known: a later one is another process
	absentAt      rules.Time // since when it is missing from answers that are not newer; 0: it is not
	tombstone     bool       // it is in tombstones
}

// New returns the list that a gateway knows at its start.
func New(serial uint32, engines []config.Engine) *List {
	l := &List{records: map[string]*record{}}
	l.hold(serial, engines)
	l.support = mostWeight
	for i := range engines {
		if engines[i].State == config.StateLeaving {
			l.restrict(engines[i].ID, engines[i].Started)
		}
	}
	return l
}

// Serial is the number of the list that holds.
func (l *List) Serial() uint32 { return l.serial }

// Changed returns the list as it holds, with engines that something speaks against as leaving; ok is false if it is as the last
// call returned it.
func (l *List) Changed() (engines []config.Engine, ok bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	engines = slices.Clone(l.held)
	for i := range engines {
		if d := l.records[engines[i].ID]; d != nil && d.restricted {
			engines[i].State = config.StateLeaving
		}
	}
	return engines, true
}

// Hear takes an answer.
func (l *List) Hear(now rules.Time, a Answer) Verdict {
	late := a.Query <= l.answered
	l.answered = max(l.answered, a.Query)
	return l.hear(now, &a, late)
}

// Read takes a list from a configuration that was read again.
func (l *List) Read(now rules.Time, serial uint32, engines []config.Engine) Verdict {
	return l.hear(now, &Answer{Serial: serial, Engines: engines}, false)
}

func (l *List) hear(now rules.Time, a *Answer, late bool) Verdict {
	verdict := Other
	switch {
	case newer(a.Serial, l.serial):
		verdict = Newer
	case late:
		return Late
	case a.Serial == l.serial && l.same(a.Engines):
		verdict = Confirmed
		l.support = min(l.support+1, mostWeight)
	default:
		if l.support--; l.support <= 0 {
			verdict = Recounted
		}
	}
	if verdict == Confirmed {
		l.weighHeld()
		return verdict
	}
	l.weigh(now, a, verdict)
	if verdict != Other {
		l.hold(a.Serial, a.Engines)
		l.trimTombstones()
	}
	return verdict
}

// Tick lets time pass.
func (l *List) Tick(now rules.Time) {
	for id, d := range l.records {
		if d.absentAt > 0 && now-d.absentAt >= absentFor {
			l.restrict(id, d.started)
		}
	}
}

// newer compares numbers of lists as RFC 1982 does serials: they go round.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// hold takes a list for the one that holds.
func (l *List) hold(serial uint32, engines []config.Engine) {
	l.serial, l.held, l.support, l.changed = serial, slices.Clone(engines), firstWeight, true
	l.places = make(map[string]int, len(engines))
	for i := range engines {
		l.places[engines[i].ID] = i
	}
}

// same answers whether a list names the same engines in the same states as the one that holds, in any order.
func (l *List) same(engines []config.Engine) bool {
	if len(engines) != len(l.held) {
		return false
	}
	for i := range engines {
		at, ok := l.places[engines[i].ID]
		if !ok {
			return false
		}
		e, held := &engines[i], &l.held[at]
		if e.State != held.State || e.Addr != held.Addr || e.Started != held.Started {
			return false
		}
	}
	return true
}

// weighHeld takes once more what the list that holds says of engines that are in doubt.
func (l *List) weighHeld() {
	for id, d := range l.records {
		at, held := l.places[id]
		switch {
		case held && l.held[at].State != config.StateLeaving:
			l.confirm(&l.held[at], Confirmed)
		default:
			d.confirmations = 0
		}
	}
}

// weigh takes what another list says of each engine. Of engines that the gateway does not know, only a list that is to hold
// tells anything.
func (l *List) weigh(now rules.Time, a *Answer, verdict Verdict) {
	named := make(map[string]bool, len(a.Engines))
	for i := range a.Engines {
		e := &a.Engines[i]
		named[e.ID] = true
		_, known := l.places[e.ID]
		switch {
		case e.State != config.StateLeaving:
			l.confirm(e, verdict)
		case known || l.records[e.ID] != nil || verdict != Other:
			l.restrict(e.ID, e.Started)
		}
	}
	for id, d := range l.records {
		if !named[id] {
			d.confirmations = 0
		}
	}
	for i := range l.held {
		if e := &l.held[i]; !named[e.ID] {
			l.miss(now, e, verdict)
		}
	}
}

// restrict notes that an engine drains or has gone.
func (l *List) restrict(id string, started int64) {
	d := l.recordOf(id)
	d.absentAt, d.started = 0, max(d.started, started)
	l.changed = l.changed || !d.restricted
	d.restricted, d.confirmations = true, 0
}

// confirm notes that an engine was listed as active.
func (l *List) confirm(e *config.Engine, verdict Verdict) {
	d := l.records[e.ID]
	if d == nil {
		return
	}
	d.absentAt = 0
	d.confirmations++
	if verdict == Other {
		d.confirmations = 0
	}
	if !d.restricted || e.Started > d.started || d.confirmations >= confirmationsNeeded {
		l.release(e.ID, d)
	}
}

// miss notes that an answer does not name an engine of the list that holds.
func (l *List) miss(now rules.Time, e *config.Engine, verdict Verdict) {
	if verdict != Other {
		l.restrict(e.ID, e.Started)
		l.addTombstone(e.ID)
		return
	}
	if d := l.recordOf(e.ID); !d.restricted && d.absentAt == 0 {
		d.absentAt, d.started = now, e.Started
	}
}

func (l *List) recordOf(id string) *record {
	d := l.records[id]
	if d == nil {
		d = &record{}
		l.records[id] = d
	}
	return d
}

func (l *List) release(id string, d *record) {
	l.changed = l.changed || d.restricted
	delete(l.records, id)
	if d.tombstone {
		l.tombstones = slices.DeleteFunc(l.tombstones, func(o string) bool { return o == id })
	}
}

// addTombstone remembers an engine that has gone.
func (l *List) addTombstone(id string) {
	if d := l.records[id]; !d.tombstone {
		d.tombstone = true
		l.tombstones = append(l.tombstones, id)
	}
}

// trimTombstones forgets the engines that have been gone for longest, where too many are remembered.
func (l *List) trimTombstones() {
	for len(l.tombstones) > maxTombstones {
		id := l.tombstones[0]
		l.tombstones = l.tombstones[1:]
		if _, held := l.places[id]; held {
			l.records[id].tombstone = false
		} else {
			delete(l.records, id)
		}
	}
}
