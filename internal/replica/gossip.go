package replica

import (
	"cmp"
	"errors"
	"fmt"
	"math/bits"
	"slices"

	"foxlane/rules"
)

// This file owns what is said among members: news passed on for a few rounds, digests by which copies are found behind, and
// snapshots for who has just come, all within one budget of bytes.

// snapshotCursor is how far a snapshot that we take has come.
type snapshotCursor struct {
	peer        string // the peer that gives it; empty: none
	next        uint64 // hash of the last origin that came
	requestedAt rules.Time
}

const (
	snapshotTimeout     = 400 * rules.Millisecond // until a peer that was asked for more has answered
	pauseThreshold      = 2 * rules.Second        // without a tick: we stood still, and much has happened
	maxRowBytes         = 8 + 10 + 10
	maxHeaderBytes      = len(magic) + 2 + 1 + maxName + 10 + checksumSize
	maxBlockHeaderBytes = 1 + maxName + 10 + 10 + 10 + 2
	maxReplyMessages    = 4  // messages in answer to one
	typicalEntryBytes   = 28 // bytes of a usual one
)

// tick passes time: news go on, digests are sent, what has grown old is gone.
func (r *Store) tick() {
	if gap := r.now - r.lastTick; r.lastTick != 0 && gap > pauseThreshold {
		r.synced = false // what we missed comes as a snapshot, and is old by what we slept
	}
	r.lastTick = r.now
	r.verifyChecksums()
	if len(r.members) == 0 {
		r.dropRumors()
		return
	}
	r.requestSnapshot()
	r.sendRumors()
	if r.now-r.lastDigest >= r.settings.DigestInterval {
		r.lastDigest = r.now
		r.sendDigest(r.members[r.rng.IntN(len(r.members))].Name)
	}
}

// withinBudget answers whether so many bytes may be sent now.
func (r *Store) withinBudget(n int) bool {
	if r.sentBytes.Total(r.now)+float64(n) <= float64(r.settings.Budget) {
		return true
	}
	r.stats.OverBudget++
	return false
}

func (r *Store) send(to string, msg []byte) {
	r.sentBytes.Add(r.now, float64(len(msg)))
	r.stats.BytesSent += len(msg)
	r.stats.MessagesSent++
	r.emit(Effect{Kind: Send, To: to, Data: append([]byte(nil), msg...)})
}

// rumorRounds is for how many ticks news are passed on: enough to reach all by doubling, and some more for what is lost.
func (r *Store) rumorRounds() int { return bits.Len(uint(len(r.members)+1)) + 3 }

func (r *Store) spreadRumor(o *origin, k Key) {
	rounds := r.rumorRounds()
	if !urgent(k.Kind) {
		rounds = routineRounds
	}
	for i := range o.rumors {
		if o.rumors[i].key == k {
			o.rumors[i].rounds = rounds
			return
		}
	}
	o.rumors = append(o.rumors, rumor{k, rounds})
}

const coolingMembers = 16 // members: of fewer each one counts

const routineRounds = 2 // for which an origin tells what is not urgent

// coolRumor: somebody has told us what we pass on; the more do, the fewer need it.
func (r *Store) coolRumor(o *origin, k Key) {
	if len(r.members) < coolingMembers {
		return
	}
	for i := range o.rumors {
		if o.rumors[i].key == k {
			o.rumors[i].rounds--
		}
	}
}

// dropRumors lets news pass without anybody to tell.
func (r *Store) dropRumors() {
	for _, name := range r.originNames {
		r.origins[name].rumors = r.origins[name].rumors[:0]
	}
}

// sendRumors sends what is news to some members. What finds no room in the budget stays news.
func (r *Store) sendRumors() {
	w := writer{buf: r.buf}
	defer func() { r.buf = w.buf[:0] }()
	if !r.hasRumors() {
		return
	}
	w.begin(typeDelta, r.settings.Name, r.own.incarnation)
	begun := len(w.buf)
	for _, first := range []bool{true, false} {
		for i := range r.originNames { // from another one each time: what finds no room has its turn
			o := r.origins[r.originNames[(i+r.nextRumorOrigin)%len(r.originNames)]]
			kept := o.rumors[:0]
			for _, h := range o.rumors {
				e := o.entries[h.key]
				switch {
				case e == nil || h.rounds <= 0:
					continue
				case urgent(h.key.Kind) != first || len(w.buf)+maxBlockHeaderBytes+maxEntryBytes > r.settings.MaxMessageBytes:
					kept = append(kept, h)
					continue
				}
				w.blockHeader(o, e.Counter-1, e.Counter, 1)
				w.entry(e, e.checksumFor(o.name), r.now)
				if h.rounds--; h.rounds > 0 {
					kept = append(kept, h)
				}
			}
			o.rumors = kept
		}
	}
	r.nextRumorOrigin += 7
	if len(w.buf) == begun {
		return
	}
	msg := w.finish()
	w.buf = msg
	for range min(r.settings.Fanout, len(r.members)) {
		if !r.withinBudget(len(msg)) {
			return
		}
		r.send(r.members[r.rng.IntN(len(r.members))].Name, msg)
	}
}

func (r *Store) hasRumors() bool {
	for _, name := range r.originNames {
		if len(r.origins[name].rumors) > 0 {
			return true
		}
	}
	return false
}

func (w *writer) blockHeader(o *origin, from, to uint64, n int) {
	w.text(o.name)
	w.uvarint(o.incarnation)
	w.uvarint(from)
	w.uvarint(to)
	w.uvarint(uint64(n))
}

// ---- digests

// digestRow tells how much somebody has of an origin: all up to a counter.
type digestRow struct{ hash, incarnation, counter uint64 }

func (o *origin) digestRow() digestRow {
	return digestRow{hashName(o.name), o.incarnation, o.completeTo}
}

const maxDigestRows = 512 // in one digest

// sendDigest tells a member how much we have of some origins, in turn.
func (r *Store) sendDigest(to string) {
	var rows []digestRow
	for range min(len(r.originNames), r.digestCapacity()) {
		r.nextDigestRow %= len(r.originNames)
		rows = append(rows, r.origins[r.originNames[r.nextDigestRow]].digestRow())
		r.nextDigestRow++
	}
	r.sendDigestRows(to, rows, true)
}

func (r *Store) digestCapacity() int {
	return min((r.settings.MaxMessageBytes-maxHeaderBytes-4)/maxRowBytes, maxDigestRows)
}

func (r *Store) sendDigestRows(to string, rows []digestRow, answer bool) {
	rows = rows[:min(len(rows), r.digestCapacity())]
	if len(rows) == 0 {
		return
	}
	w := writer{buf: r.buf}
	w.begin(typeDigest, r.settings.Name, r.own.incarnation)
	wanted := byte(0)
	if answer {
		wanted = 1
	}
	w.buf = append(w.buf, wanted)
	w.uvarint(uint64(len(rows)))
	for _, x := range rows {
		w.uvarint(x.hash)
		w.uvarint(x.incarnation)
		w.uvarint(x.counter)
	}
	msg := w.finish()
	r.buf = msg[:0]
	if r.withinBudget(len(msg)) {
		r.send(to, msg)
	}
}

// receiveDigest gives what the sender lacks, and asks for what we lack.
func (r *Store) receiveDigest(h header, body *reader) {
	wanted := body.bytes(1)[0] == 1
	n := body.count(maxDigestRows)
	rows := make([]digestRow, 0, n)
	for range n {
		rows = append(rows, digestRow{body.uvarint(), body.uvarint(), body.uvarint()})
	}
	if body.err != nil {
		return
	}
	byHash := r.originsByHash()
	var lack []digestRow
	sent := 0
	for _, x := range rows {
		o := byHash[x.hash]
		switch {
		case o == nil:
			lack = append(lack, digestRow{hash: x.hash})
		case o == r.own && x.incarnation > o.incarnation:
			r.refute(h.sender, x.incarnation)
		case x.incarnation > o.incarnation || x.incarnation == o.incarnation && x.counter > o.completeTo:
			if o != r.own && o.leftAt == 0 {
				lack = append(lack, o.digestRow())
			}
		case sent < maxReplyMessages && x.incarnation < o.incarnation:
			sent += r.sendEntries(h.sender, o, 0, maxReplyMessages-sent)
		case sent < maxReplyMessages && x.counter < o.completeTo:
			sent += r.sendEntries(h.sender, o, x.counter, maxReplyMessages-sent)
		}
	}
	switch {
	case len(lack) == 0 && wanted:
		r.behindSince = 0
	case len(lack) > 0 && r.behindSince == 0:
		r.behindSince = max(r.now, 1)
	}
	if wanted {
		r.sendDigestRows(h.sender, lack, false)
	}
}

func (r *Store) originsByHash() map[uint64]*origin {
	m := make(map[uint64]*origin, len(r.originNames))
	for _, name := range r.originNames {
		m[hashName(name)] = r.origins[name]
	}
	return m
}

// entriesAfter are the entries of an origin over a counter, in the order in which they were written.
func (o *origin) entriesAfter(counter uint64) (list []*Entry) {
	for _, e := range o.entries {
		if e.Counter > counter {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.Counter, b.Counter) })
	return list
}

// sendEntries gives all entries of an origin over a counter, in messages of which each covers a stretch of counters. It returns how many
// messages went out, at most most.
func (r *Store) sendEntries(to string, o *origin, from uint64, most int) (sent int) {
	list := o.entriesAfter(from)
	for sent < most {
		w := writer{buf: r.buf}
		w.begin(typeDelta, r.settings.Name, r.own.incarnation)
		n := min(len(list), (r.settings.MaxMessageBytes-maxHeaderBytes-maxBlockHeaderBytes)/maxEntryBytes)
		until := o.completeTo
		if n < len(list) {
			until = list[n-1].Counter
		}
		w.blockHeader(o, from, until, n)
		for _, e := range list[:n] {
			w.entry(e, e.checksumFor(o.name), r.now)
		}
		msg := w.finish()
		r.buf = msg[:0]
		if !r.withinBudget(len(msg)) {
			return sent
		}
		r.send(to, msg)
		sent++
		if list, from = list[n:], until; len(list) == 0 {
			return sent
		}
	}
	return sent
}

// ---- snapshots

// requestSnapshot takes a snapshot from a member after a start, or after we stood still: from one of our zone if there is one. Without an
// answer another is asked. Serving goes on meanwhile.
func (r *Store) requestSnapshot() {
	if r.synced || r.cursor.peer != "" && r.now-r.cursor.requestedAt < snapshotTimeout {
		return
	}
	var near []string
	for _, m := range r.members {
		if m.Zone == r.settings.Zone {
			near = append(near, m.Name)
		}
	}
	next := r.cursor.next
	if len(near) == 0 || r.rng.IntN(4) == 0 { // a near one may be as new as we are
		r.cursor.peer = r.members[r.rng.IntN(len(r.members))].Name
	} else {
		r.cursor.peer = near[r.rng.IntN(len(near))]
	}
	r.cursor.next = next
	r.requestSnapshotPart()
}

func (r *Store) requestSnapshotPart() {
	w := writer{buf: r.buf}
	defer func() { r.buf = w.buf[:0] }()
	w.begin(typeSnapshotRequest, r.settings.Name, r.own.incarnation)
	w.uvarint(r.cursor.next)
	msg := w.finish()
	w.buf = msg
	r.cursor.requestedAt = r.now
	if r.withinBudget(len(msg)) {
		r.send(r.cursor.peer, msg)
	}
}

// serveSnapshotPart gives a part of a snapshot: origins by the order of their hashes, from where the last part ended. Its last message tells
// where it ended; a part within the budget, no more.
func (r *Store) serveSnapshotPart(h header, body *reader) {
	from := body.uvarint()
	if body.err != nil {
		return
	}
	var list []*origin
	for _, name := range r.originNames {
		if o := r.origins[name]; hashName(name) > from && name != h.sender && len(o.entries) > 0 {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *origin) int { return cmp.Compare(hashName(a.name), hashName(b.name)) })
	last, sent := from, 0
	for _, o := range list {
		if sent >= maxReplyMessages || !r.withinBudget(r.settings.MaxMessageBytes) {
			break
		}
		sent += r.sendEntries(h.sender, o, 0, 2)
		last = hashName(o.name)
		r.stats.SnapshotOrigins++
	}
	if sent == 0 && len(list) > 0 {
		return // no room: it asks again, or another
	}
	end := uint64(0)
	if len(list) > 0 && last != hashName(list[len(list)-1].name) {
		end = last
	}
	w := writer{buf: r.buf}
	w.begin(typeSnapshotEnd, r.settings.Name, r.own.incarnation)
	w.uvarint(end)
	msg := w.finish()
	r.buf = msg[:0]
	r.send(h.sender, msg)
}

// receiveSnapshotEnd goes on with a snapshot, or ends it.
func (r *Store) receiveSnapshotEnd(h header, body *reader) {
	next := body.uvarint()
	if body.err != nil || h.sender != r.cursor.peer {
		return
	}
	if next == 0 {
		r.synced, r.cursor = true, snapshotCursor{}
		return
	}
	r.cursor.next = next
	r.requestSnapshotPart()
}

// ---- what comes

var errNameConflict = errors.New("replica: another process has our name")

// refute takes a later life than one that others hold of our name: we were that one, and our clock has stepped back since. If it
// happens again and again another process has our name, and is told.
func (r *Store) refute(from string, life uint64) {
	if r.refutations++; r.refutations > maxRefutations {
		r.reject(from, errNameConflict)
		return
	}
	r.own.incarnation = life + 1
}

const maxRefutations = 3

func (r *Store) reject(from string, err error) {
	r.stats.Rejected++
	r.emit(Effect{Kind: Reject, Origin: from, Err: err})
}

// receive takes a message. What can't be read is refused as a whole: nothing of it counts.
func (r *Store) receive(from string, msg []byte) {
	r.stats.BytesReceived += len(msg)
	h, body, err := decodeHeader(msg)
	switch {
	case err != nil:
		r.reject(from, err)
		return
	case h.sender != from || !r.isMember(from):
		r.reject(from, fmt.Errorf("%w: %q speaks as %q", ErrForeignMessage, from, h.sender))
		return
	}
	switch h.kind {
	case typeDelta:
		r.receiveDelta(h, &body)
	case typeDigest:
		r.receiveDigest(h, &body)
	case typeSnapshotRequest:
		r.serveSnapshotPart(h, &body)
	case typeSnapshotEnd:
		r.receiveSnapshotEnd(h, &body)
	default: // of a later version
		return
	}
	if body.err != nil {
		r.reject(from, body.err)
	}
}

// block is a part of a delta.
type block struct {
	origin      string
	incarnation uint64
	from, to    uint64
	entries     []Entry
}

func (r *Store) receiveDelta(h header, body *reader) {
	var blocks []block
	for len(body.rest) > 0 && body.err == nil {
		b := block{origin: body.text(), incarnation: body.uvarint(), from: body.uvarint(), to: body.uvarint()}
		n := body.count(maxBlockEntries)
		for range n {
			e, sum := body.entry(r.now)
			if body.err != nil {
				return
			}
			if e.checksum = sum; e.checksumFor(b.origin) != sum {
				body.fail(ErrChecksum)
				return
			}
			if e.Counter <= b.from || e.Counter > b.to {
				body.fail(ErrOutOfRange)
				return
			}
			if e.Kind >= 1 && e.Kind < KindCount { // others are of a later version
				b.entries = append(b.entries, e)
			}
		}
		if b.origin == "" || b.to < b.from {
			body.fail(ErrOutOfRange)
		}
		blocks = append(blocks, b)
	}
	if body.err != nil {
		return
	}
	for i := range blocks {
		r.mergeBlock(h.sender, &blocks[i])
	}
}

// mergeBlock joins what came of one origin to what is here. Of two copies the one with the higher life, then the higher counter stands:
// the order in which they come, and how often, makes no difference.
func (r *Store) mergeBlock(from string, b *block) {
	if b.origin == r.settings.Name {
		if b.incarnation > r.own.incarnation {
			r.refute(from, b.incarnation)
		}
		return
	}
	o := r.origins[b.origin]
	switch {
	case o == nil && len(r.origins) >= r.settings.MaxOrigins:
		return
	case o == nil:
		o = r.origin(b.origin)
		o.incarnation = b.incarnation
		if !r.isMember(b.origin) {
			o.leftAt = max(r.now, 1) // of one that has left, or that we have not met yet: it ages
		}
	case b.incarnation < o.incarnation:
		r.stats.KnownEntries += len(b.entries)
		return
	case b.incarnation > o.incarnation:
		for _, k := range sortedKeys(o.entries) {
			r.removeEntry(o, k)
		}
		o.incarnation, o.completeTo, o.rumors = b.incarnation, 0, nil
	}
	single := b.to-b.from == 1
	for i := range b.entries {
		r.mergeEntry(o, &b.entries[i], single)
	}
	if b.from <= o.completeTo && b.to > o.completeTo {
		o.completeTo = b.to
	}
}

func (r *Store) mergeEntry(o *origin, e *Entry, passOn bool) {
	old := o.entries[e.Key]
	switch {
	case old != nil && old.Counter >= e.Counter:
		if old.Counter == e.Counter { // one of the two was longer on its way
			old.WrittenAt = min(old.WrittenAt, e.WrittenAt)
		}
		r.stats.KnownEntries++
		r.coolRumor(o, e.Key)
		return
	case r.now-e.WrittenAt > r.settings.MaxAge[e.Kind]:
		return
	case old == nil && len(o.entries) >= r.settings.MaxEntries:
		return
	}
	r.stats.NewEntries++
	kept := *e
	o.entries[e.Key] = &kept
	if passOn && urgent(e.Kind) {
		r.spreadRumor(o, e.Key)
	}
	r.emit(Effect{Kind: Updated, Origin: o.name, Entry: kept})
}

// verifyChecksums looks for bits that have flipped, a few origins a tick. A copy that is not what came is dropped, and fetched again.
func (r *Store) verifyChecksums() {
	for range min(len(r.originNames), 1+len(r.originNames)/10) {
		r.nextScrub %= len(r.originNames)
		o := r.origins[r.originNames[r.nextScrub]]
		r.nextScrub++
		for _, k := range sortedKeys(o.entries) {
			if e := o.entries[k]; e.checksumFor(o.name) != e.checksum {
				r.stats.Repaired++
				if o == r.own { // ours is written anew when it is put next
					delete(o.entries, k)
					continue
				}
				for _, k := range sortedKeys(o.entries) {
					r.removeEntry(o, k)
				}
				o.completeTo = 0
				break
			}
		}
	}
}
