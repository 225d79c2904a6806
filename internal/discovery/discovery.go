// Package discovery decides which list of engines is valid, from what a name service answers: lists with serials, some of which are
// lost, late, duplicated, reordered, stale, or renumbered. It is pure: answers and the time go in, the list comes out. It must never
// do I/O, read a clock, or know what is sent to an engine.
//
// Serials order the lists of one sequence only. A new sequence begins when the gateway or the name service starts, and an answer may
// bring a list of another sequence. So no single serial decides:
//
//   - A restriction (an engine drains, or has been removed) takes effect at once, whatever the serial of the list that brings it.
//   - It is lifted by a later start of the engine, or by a few consecutive answers that hold the valid list, or newer ones, and list
//     the engine as active.
//   - A list with a newer serial becomes valid at once. It is replaced by the list that is answered instead, once several answers brought
//     other lists and were not outweighed by answers that confirm it.
package discovery

import (
	"slices"

	"foxlane/internal/config"
	"foxlane/rules"
)

// Answers are 100 ms apart. Three take much less than the grace of a drain, and are more stale answers than the name service gives in a
// row; ten, which is one second, are needed against a list that was confirmed again and again.
const (
	initialSupport      = 3  // of a list that has become valid
	maxSupport          = 10 // however often it was confirmed
	confirmationsNeeded = 3  // to lift a restriction
)

// absenceGrace is how long an engine may be missing from answers that are not newer than the valid list until it counts as removed: a
// stale list lacks engines that were added later, and the next answer shows that.
const absenceGrace = 300 * rules.Millisecond

// maxTombstones is how many removed engines are remembered: a stale list may name them again.
const maxTombstones = 256

// Verdict is what became of an answer.
type Verdict int

// Verdicts.
const (
	Confirmed  Verdict = iota // it holds the valid list
	Newer                     // it holds a newer list, which is valid from now on
	Unordered                 // it holds another list that is not newer: stale, or of another sequence
	Renumbered                // it holds another list, which is valid from now on: a new sequence of serials has begun
	Late                      // its query was sent before others that were answered, and it holds nothing newer
)

// Answer is a well-formed answer of the name service.
type Answer struct {
	QuerySeq uint64 // the number of its query among all that were sent
	Serial   uint32
	Engines  []config.Engine
}

// List is the valid list of engines, and what is remembered of engines that are restricted.
type List struct {
	serial     uint32
	engines    []config.Engine
	index      map[string]int // in engines, by id
	support    int            // of the valid list: an answer that confirms it adds one, an answer with another list takes one away
	lastQuery  uint64         // the latest query that was answered
	records    map[string]*record
	tombstones []string // ids of removed engines, the longest removed first
	changed    bool
}

// record is what is remembered of an engine that is restricted, or missing from answers.
type record struct {
	restricted    bool       // it drains or was removed, as far as is known
	confirmations int        // consecutive answers that held the valid list, or a newer one, and list the engine as active
	started       int64      // its latest start that is known, in Unix milliseconds: a later one is another process
	absentSince   rules.Time // since when it is missing from answers that are not newer; 0: it is not missing
	tombstone     bool       // it is in tombstones
}

// New returns the list that a gateway has at its start.
func New(serial uint32, engines []config.Engine) *List {
	list := &List{records: map[string]*record{}}
	list.adopt(serial, engines)
	list.support = maxSupport
	for i := range engines {
		if engines[i].State == config.StateDraining {
			list.restrict(engines[i].ID, engines[i].Started)
		}
	}
	return list
}

// Serial is the serial of the valid list.
func (l *List) Serial() uint32 { return l.serial }

// Changed returns the valid list, with restricted engines as draining; ok is false if it is as the last call returned it.
func (l *List) Changed() (engines []config.Engine, ok bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	engines = slices.Clone(l.engines)
	for i := range engines {
		if rec := l.records[engines[i].ID]; rec != nil && rec.restricted {
			engines[i].State = config.StateDraining
		}
	}
	return engines, true
}

// Apply takes an answer of the name service.
func (l *List) Apply(now rules.Time, answer Answer) Verdict {
	late := answer.QuerySeq <= l.lastQuery
	l.lastQuery = max(l.lastQuery, answer.QuerySeq)
	return l.apply(now, &answer, late)
}

// Reload takes a list from a configuration that was reloaded.
func (l *List) Reload(now rules.Time, serial uint32, engines []config.Engine) Verdict {
	return l.apply(now, &Answer{Serial: serial, Engines: engines}, false)
}

func (l *List) apply(now rules.Time, answer *Answer, late bool) Verdict {
	verdict := Unordered
	switch {
	case newer(answer.Serial, l.serial):
		verdict = Newer
	case late:
		return Late
	case answer.Serial == l.serial && l.same(answer.Engines):
		verdict = Confirmed
		l.support = min(l.support+1, maxSupport)
	default:
		if l.support--; l.support <= 0 {
			verdict = Renumbered
		}
	}
	if verdict == Confirmed {
		l.reconfirm()
		return verdict
	}
	l.compare(now, answer, verdict)
	if verdict != Unordered {
		l.adopt(answer.Serial, answer.Engines)
		l.trimTombstones()
	}
	return verdict
}

// Tick lets time pass.
func (l *List) Tick(now rules.Time) {
	for id, rec := range l.records {
		if rec.absentSince > 0 && now-rec.absentSince >= absenceGrace {
			l.restrict(id, rec.started)
		}
	}
}

// newer compares serials as RFC 1982 does, since they wrap around.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// adopt makes a list the valid one.
func (l *List) adopt(serial uint32, engines []config.Engine) {
	l.serial, l.engines, l.support, l.changed = serial, slices.Clone(engines), initialSupport, true
	l.index = make(map[string]int, len(engines))
	for i := range engines {
		l.index[engines[i].ID] = i
	}
}

// same reports whether a list names the same engines in the same states as the valid one, in any order.
func (l *List) same(engines []config.Engine) bool {
	if len(engines) != len(l.engines) {
		return false
	}
	for i := range engines {
		at, ok := l.index[engines[i].ID]
		if !ok {
			return false
		}
		entry, held := &engines[i], &l.engines[at]
		if entry.State != held.State || entry.Addr != held.Addr || entry.Started != held.Started {
			return false
		}
	}
	return true
}

// reconfirm counts an answer that confirms the valid list for each engine that it lists as active.
func (l *List) reconfirm() {
	for id, rec := range l.records {
		at, held := l.index[id]
		switch {
		case held && l.engines[at].State != config.StateDraining:
			l.confirm(&l.engines[at], Confirmed)
		default:
			rec.confirmations = 0
		}
	}
}

// compare takes over what another list says of each engine. Engines that the gateway does not know count only if that list becomes
// valid.
func (l *List) compare(now rules.Time, answer *Answer, verdict Verdict) {
	named := make(map[string]bool, len(answer.Engines))
	for i := range answer.Engines {
		entry := &answer.Engines[i]
		named[entry.ID] = true
		_, known := l.index[entry.ID]
		switch {
		case entry.State != config.StateDraining:
			l.confirm(entry, verdict)
		case known || l.records[entry.ID] != nil || verdict != Unordered:
			l.restrict(entry.ID, entry.Started)
		}
	}
	for id, rec := range l.records {
		if !named[id] {
			rec.confirmations = 0
		}
	}
	for i := range l.engines {
		if entry := &l.engines[i]; !named[entry.ID] {
			l.noteMissing(now, entry, verdict)
		}
	}
}

// restrict notes that an engine drains or was removed.
func (l *List) restrict(id string, started int64) {
	rec := l.recordOf(id)
	rec.absentSince, rec.started = 0, max(rec.started, started)
	l.changed = l.changed || !rec.restricted
	rec.restricted, rec.confirmations = true, 0
}

// confirm notes that an engine was listed as active, and lifts its restriction once that is certain.
func (l *List) confirm(entry *config.Engine, verdict Verdict) {
	rec := l.records[entry.ID]
	if rec == nil {
		return
	}
	rec.absentSince = 0
	rec.confirmations++
	if verdict == Unordered {
		rec.confirmations = 0
	}
	if !rec.restricted || entry.Started > rec.started || rec.confirmations >= confirmationsNeeded {
		l.release(entry.ID, rec)
	}
}

// noteMissing notes that an answer does not name an engine of the valid list.
func (l *List) noteMissing(now rules.Time, entry *config.Engine, verdict Verdict) {
	if verdict != Unordered {
		l.restrict(entry.ID, entry.Started)
		l.addTombstone(entry.ID)
		return
	}
	if rec := l.recordOf(entry.ID); !rec.restricted && rec.absentSince == 0 {
		rec.absentSince, rec.started = now, entry.Started
	}
}

func (l *List) recordOf(id string) *record {
	rec := l.records[id]
	if rec == nil {
		rec = &record{}
		l.records[id] = rec
	}
	return rec
}

// release lifts an engine's restriction.
func (l *List) release(id string, rec *record) {
	l.changed = l.changed || rec.restricted
	delete(l.records, id)
	if rec.tombstone {
		l.tombstones = slices.DeleteFunc(l.tombstones, func(o string) bool { return o == id })
	}
}

// addTombstone remembers an engine that was removed.
func (l *List) addTombstone(id string) {
	if rec := l.records[id]; !rec.tombstone {
		rec.tombstone = true
		l.tombstones = append(l.tombstones, id)
	}
}

// trimTombstones forgets the engines that were removed first, if too many are remembered.
func (l *List) trimTombstones() {
	for len(l.tombstones) > maxTombstones {
		id := l.tombstones[0]
		l.tombstones = l.tombstones[1:]
		if _, held := l.index[id]; held {
			l.records[id].tombstone = false
		} else {
			delete(l.records, id)
		}
	}
}
