// Package discovery determines the valid list of engines from the answers of a name service. An answer contains a
// list with a serial. Answers may be lost, late, duplicated, reordered or stale, and the serials may be renumbered.
// The package takes answers and the time, and returns the list. It must not do I/O, read a clock, or depend on what
// is sent to an engine.
//
// A serial orders only the lists of one sequence. A new sequence begins when the gateway or the name service starts,
// and an answer may contain a list of another sequence. A single serial is therefore not decisive:
//
//   - A restriction (an engine is draining or was removed) takes effect at once, whatever the serial of its list.
//   - A restriction is lifted when the engine has been restarted, or when several consecutive answers contain the valid
//     list or a newer one and list the engine as active.
//   - Of engines at one address only the one that was started last is listed.
//   - A list with a newer serial becomes valid at once. Each answer that confirms the valid list adds to its support,
//     and each answer with another list reduces it. When the support is used up, the list in the answer becomes valid.
package discovery

import (
	"net/netip"
	"slices"

	"foxlane/internal/config"
	"foxlane/rules"
)

// Answers arrive every 100 ms. Three answers take much less time than the drain period, and the name service gives
// fewer stale answers than that in a row. Ten answers, which take one second, are needed to replace a list that was
// confirmed repeatedly.
const (
	initialSupport        = 3  // support of a list that has just become valid
	maxSupport            = 10 // upper bound of the support of a list
	requiredConfirmations = 3  // consecutive answers that lift a restriction
)

// absenceGrace is how long an engine may be missing from answers that are not newer than the valid list before it
// counts as removed. A stale list lacks engines that were added later, and the next answer contains them again.
const absenceGrace = 300 * rules.Millisecond

// maxTombstones is the number of removed engines whose records are kept, since a stale list may name them again.
const maxTombstones = 256

// Verdict is the result of applying an answer.
type Verdict int

// Verdicts.
const (
	Confirmed  Verdict = iota // the answer contains the valid list
	Newer                     // the answer contains a newer list, which has become valid
	Unordered                 // the answer contains another list that is not newer: it is stale or of another sequence
	Renumbered                // the answer contains a list of a new sequence of serials, which has become valid
	Late                      // its query or a later one was answered before, and the answer contains no newer list
)

// Answer is a well-formed answer of the name service.
type Answer struct {
	QuerySeq uint64 // sequence number of its query
	Serial   uint32
	Engines  []config.Engine
}

// List is the valid list of engines, with the records of restricted engines.
type List struct {
	serial     uint32
	engines    []config.Engine
	index      map[string]int     // index in engines, by engine id
	support    int                // initialSupport plus confirmations minus answers with other lists, up to maxSupport
	lastQuery  uint64             // latest query that was answered
	records    map[string]*record // by engine id
	tombstones []string           // ids of removed engines, longest removed first
	changed    bool               // since the last call of Changed
}

// record is the state of an engine that is restricted or missing from answers.
type record struct {
	restricted    bool       // the engine is draining or was removed
	confirmations int        // consecutive answers with the valid list, or a newer one, that list the engine as active
	started       int64      // latest known start of the engine, in Unix milliseconds; a later start is another process
	absentSince   rules.Time // since when it is missing from answers that are not newer; 0: not missing
	tombstone     bool       // it is in List.tombstones
}

// New returns the list of a gateway that has just started. Its support is maxSupport.
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

// Serial returns the serial of the valid list.
func (l *List) Serial() uint32 { return l.serial }

// Changed returns the valid list, in which restricted engines are draining. ok is false if the list has not changed
// since the last call.
func (l *List) Changed() (engines []config.Engine, ok bool) {
	if !l.changed {
		return nil, false
	}
	l.changed = false
	engines = withoutReplaced(l.engines)
	for i := range engines {
		if rec := l.records[engines[i].ID]; rec != nil && rec.restricted {
			engines[i].State = config.StateDraining
		}
	}
	return engines, true
}

// withoutReplaced returns the engines without those at whose address a later process listens: theirs has ended, though the
// list has not dropped them yet. What is sent there would reach the later process.
func withoutReplaced(engines []config.Engine) []config.Engine {
	newest := make(map[netip.AddrPort]int64, len(engines))
	for i := range engines {
		newest[engines[i].Addr] = max(newest[engines[i].Addr], engines[i].Started)
	}
	return slices.DeleteFunc(slices.Clone(engines), func(e config.Engine) bool { return e.Started < newest[e.Addr] })
}

// Apply applies an answer of the name service.
func (l *List) Apply(now rules.Time, answer Answer) Verdict {
	late := answer.QuerySeq <= l.lastQuery
	l.lastQuery = max(l.lastQuery, answer.QuerySeq)
	return l.apply(now, &answer, late)
}

// Reload applies the list of a reloaded configuration. Unlike an answer, it is never late.
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
	case answer.Serial == l.serial && l.equalsValid(answer.Engines):
		verdict = Confirmed
		l.support = min(l.support+1, maxSupport)
	default:
		if l.support--; l.support <= 0 {
			verdict = Renumbered
		}
	}
	if verdict == Confirmed {
		l.confirmActive()
		return verdict
	}
	l.updateRecords(now, answer, verdict)
	if verdict != Unordered {
		l.adopt(answer.Serial, answer.Engines)
		l.trimTombstones()
	}
	return verdict
}

// Tick restricts the engines that have been missing from answers for absenceGrace.
func (l *List) Tick(now rules.Time) {
	for id, rec := range l.records {
		if rec.absentSince > 0 && now-rec.absentSince >= absenceGrace {
			l.restrict(id, rec.started)
		}
	}
}

// newer reports whether serial a is newer than b. Serials wrap around and are compared as in RFC 1982.
func newer(a, b uint32) bool { return int32(a-b) > 0 }

// adopt makes a list the valid one.
func (l *List) adopt(serial uint32, engines []config.Engine) {
	l.serial, l.engines, l.support, l.changed = serial, slices.Clone(engines), initialSupport, true
	l.index = make(map[string]int, len(engines))
	for i := range engines {
		l.index[engines[i].ID] = i
	}
}

// equalsValid reports whether a list equals the valid one: the same engines with the same states, addresses and start
// times, in any order.
func (l *List) equalsValid(engines []config.Engine) bool {
	if len(engines) != len(l.engines) {
		return false
	}
	for i := range engines {
		at, ok := l.index[engines[i].ID]
		if !ok {
			return false
		}
		entry, valid := &engines[i], &l.engines[at]
		if entry.State != valid.State || entry.Addr != valid.Addr || entry.Started != valid.Started {
			return false
		}
	}
	return true
}

// confirmActive handles an answer that confirms the valid list. It counts as a confirmation of each engine listed as
// active.
func (l *List) confirmActive() {
	for id, rec := range l.records {
		at, listed := l.index[id]
		switch {
		case listed && l.engines[at].State != config.StateDraining:
			l.confirm(&l.engines[at], Confirmed)
		default:
			rec.confirmations = 0
		}
	}
}

// updateRecords updates the records of engines from an answer with another list. A draining engine that the gateway
// does not know is ignored unless that list becomes valid.
func (l *List) updateRecords(now rules.Time, answer *Answer, verdict Verdict) {
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
			l.recordMissing(now, entry, verdict)
		}
	}
}

// restrict records that an engine is draining or was removed.
func (l *List) restrict(id string, started int64) {
	rec := l.findOrAddRecord(id)
	rec.absentSince, rec.started = 0, max(rec.started, started)
	l.changed = l.changed || !rec.restricted
	rec.restricted, rec.confirmations = true, 0
}

// confirm records that an engine was listed as active. It lifts the restriction of the engine after a later start or
// requiredConfirmations confirmations.
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
	if !rec.restricted || entry.Started > rec.started || rec.confirmations >= requiredConfirmations {
		l.liftRestriction(entry.ID, rec)
	}
}

// recordMissing records that an answer does not list an engine of the valid list.
func (l *List) recordMissing(now rules.Time, entry *config.Engine, verdict Verdict) {
	if verdict != Unordered {
		l.restrict(entry.ID, entry.Started)
		l.addTombstone(entry.ID)
		return
	}
	if rec := l.findOrAddRecord(entry.ID); !rec.restricted && rec.absentSince == 0 {
		rec.absentSince, rec.started = now, entry.Started
	}
}

func (l *List) findOrAddRecord(id string) *record {
	rec := l.records[id]
	if rec == nil {
		rec = &record{}
		l.records[id] = rec
	}
	return rec
}

// liftRestriction lifts the restriction of an engine and removes its record.
func (l *List) liftRestriction(id string, rec *record) {
	l.changed = l.changed || rec.restricted
	delete(l.records, id)
	if rec.tombstone {
		l.tombstones = slices.DeleteFunc(l.tombstones, func(o string) bool { return o == id })
	}
}

// addTombstone adds a removed engine to the tombstones, so that trimTombstones can delete its record.
func (l *List) addTombstone(id string) {
	if rec := l.records[id]; !rec.tombstone {
		rec.tombstone = true
		l.tombstones = append(l.tombstones, id)
	}
}

// trimTombstones deletes the records of the longest removed engines while there are more than maxTombstones.
func (l *List) trimTombstones() {
	for len(l.tombstones) > maxTombstones {
		id := l.tombstones[0]
		l.tombstones = l.tombstones[1:]
		if _, listed := l.index[id]; listed {
			l.records[id].tombstone = false
		} else {
			delete(l.records, id)
		}
	}
}
