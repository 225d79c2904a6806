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
	from  string // the peer that gives it; empty: none
	next  uint64 // hash of the last origin that came
	asked rules.Time
}

const (
	askWithin = 400 * rules.Millisecond // until a peer that was asked for more has answered
	stood     = 2 * rules.Second        // without a tick: we stood still, and much has happened
	rowMost   = 8 + 10 + 10
	headMost  = len(magic) + 2 + 1 + maxName + 10 + sumSize
	blockMost = 1 + maxName + 10 + 10 + 10 + 2
	perReply  = 4  // messages in answer to one
	entrySize = 28 // bytes of a usual one
)

// tick passes time: news go on, digests are sent, what has grown old is gone.
func (r *Replica) tick() {
	if gap := r.now - r.tickAt; r.tickAt != 0 && gap > stood {
		r.whole = false // what we missed comes as a snapshot, and is old by what we slept
	}
	r.tickAt = r.now
	r.scrub()
	if len(r.members) == 0 {
		r.cool()
		return
	}
	r.catchUp()
	r.passOn()
	if r.now-r.digest >= r.set.Digest {
		r.digest = r.now
		r.sendDigest(r.members[r.rng.IntN(len(r.members))].Name)
	}
}

// room answers whether so many bytes may be sent now.
func (r *Replica) room(n int) bool {
	if r.spent.Total(r.now)+float64(n) <= float64(r.set.Budget) {
		return true
	}
	r.stats.Held++
	return false
}

func (r *Replica) send(to string, msg []byte) {
	r.spent.Add(r.now, float64(len(msg)))
	r.stats.Sent += len(msg)
	r.stats.Messages++
	r.do(Effect{Kind: Send, To: to, Data: append([]byte(nil), msg...)})
}

// rounds is for how many ticks news are passed on: enough to reach all by doubling, and some more for what is lost.
func (r *Replica) rounds() int { return bits.Len(uint(len(r.members)+1)) + 3 }

func (r *Replica) heat(o *origin, k Key) {
	rounds := r.rounds()
	if !urgent(k.Kind) {
		rounds = restRounds
	}
	for i := range o.hot {
		if o.hot[i].key == k {
			o.hot[i].rounds = rounds
			return
		}
	}
	o.hot = append(o.hot, hot{k, rounds})
}

const coolFrom = 16 // members: of fewer each one counts

const restRounds = 2 // for which an origin tells what is not urgent

// cooler: somebody has told us what we pass on; the more do, the fewer need it.
func (r *Replica) cooler(o *origin, k Key) {
	if len(r.members) < coolFrom {
		return
	}
	for i := range o.hot {
		if o.hot[i].key == k {
			o.hot[i].rounds--
		}
	}
}

// cool lets news pass without anybody to tell.
func (r *Replica) cool() {
	for _, name := range r.names {
		r.origins[name].hot = r.origins[name].hot[:0]
	}
}

// passOn sends what is news to some members. What finds no room in the budget stays news.
func (r *Replica) passOn() {
	w := writer{b: r.buf}
	defer func() { r.buf = w.b[:0] }()
	if !r.anyHot() {
		return
	}
	w.begin(typeDelta, r.set.Name, r.own.life)
	begun := len(w.b)
	for _, first := range []bool{true, false} {
		for i := range r.names { // from another one each time: what finds no room has its turn
			o := r.origins[r.names[(i+r.hotAt)%len(r.names)]]
			kept := o.hot[:0]
			for _, h := range o.hot {
				e := o.entries[h.key]
				switch {
				case e == nil || h.rounds <= 0:
					continue
				case urgent(h.key.Kind) != first || len(w.b)+blockMost+entryMost > r.set.Chunk:
					kept = append(kept, h)
					continue
				}
				w.block(o, e.Counter-1, e.Counter, 1)
				w.entry(e, e.sumOf(o.name), r.now)
				if h.rounds--; h.rounds > 0 {
					kept = append(kept, h)
				}
			}
			o.hot = kept
		}
	}
	r.hotAt += 7
	if len(w.b) == begun {
		return
	}
	msg := w.end()
	w.b = msg
	for range min(r.set.Fanout, len(r.members)) {
		if !r.room(len(msg)) {
			return
		}
		r.send(r.members[r.rng.IntN(len(r.members))].Name, msg)
	}
}

func (r *Replica) anyHot() bool {
	for _, name := range r.names {
		if len(r.origins[name].hot) > 0 {
			return true
		}
	}
	return false
}

func (w *writer) block(o *origin, from, to uint64, n int) {
	w.text(o.name)
	w.number(o.life)
	w.number(from)
	w.number(to)
	w.number(uint64(n))
}

// ---- digests

// row tells how much somebody has of an origin: all up to a counter.
type row struct{ hash, life, counter uint64 }

func (o *origin) row() row { return row{hashName(o.name), o.life, o.counter} }

const rowsMost = 512 // in one digest

// sendDigest tells a member how much we have of some origins, in turn.
func (r *Replica) sendDigest(to string) {
	var rows []row
	for range min(len(r.names), r.rowRoom()) {
		r.rowsAt %= len(r.names)
		rows = append(rows, r.origins[r.names[r.rowsAt]].row())
		r.rowsAt++
	}
	r.sendRows(to, rows, true)
}

func (r *Replica) rowRoom() int { return min((r.set.Chunk-headMost-4)/rowMost, rowsMost) }

func (r *Replica) sendRows(to string, rows []row, answer bool) {
	rows = rows[:min(len(rows), r.rowRoom())]
	if len(rows) == 0 {
		return
	}
	w := writer{b: r.buf}
	w.begin(typeDigest, r.set.Name, r.own.life)
	wanted := byte(0)
	if answer {
		wanted = 1
	}
	w.b = append(w.b, wanted)
	w.number(uint64(len(rows)))
	for _, x := range rows {
		w.number(x.hash)
		w.number(x.life)
		w.number(x.counter)
	}
	msg := w.end()
	r.buf = msg[:0]
	if r.room(len(msg)) {
		r.send(to, msg)
	}
}

// takeDigest gives what the sender lacks, and asks for what we lack.
func (r *Replica) takeDigest(h head, body *reader) {
	wanted := body.bytes(1)[0] == 1
	n := body.count(rowsMost)
	rows := make([]row, 0, n)
	for range n {
		rows = append(rows, row{body.number(), body.number(), body.number()})
	}
	if body.err != nil {
		return
	}
	byHash := r.byHash()
	var lack []row
	sent := 0
	for _, x := range rows {
		o := byHash[x.hash]
		switch {
		case o == nil:
			lack = append(lack, row{hash: x.hash})
		case o == r.own && x.life > o.life:
			r.refute(h.sender, x.life)
		case x.life > o.life || x.life == o.life && x.counter > o.counter:
			if o != r.own && o.gone == 0 {
				lack = append(lack, o.row())
			}
		case sent < perReply && x.life < o.life:
			sent += r.sendAll(h.sender, o, 0, perReply-sent)
		case sent < perReply && x.counter < o.counter:
			sent += r.sendAll(h.sender, o, x.counter, perReply-sent)
		}
	}
	switch {
	case len(lack) == 0 && wanted:
		r.behind = 0
	case len(lack) > 0 && r.behind == 0:
		r.behind = max(r.now, 1)
	}
	if wanted {
		r.sendRows(h.sender, lack, false)
	}
}

func (r *Replica) byHash() map[uint64]*origin {
	m := make(map[uint64]*origin, len(r.names))
	for _, name := range r.names {
		m[hashName(name)] = r.origins[name]
	}
	return m
}

// over are the entries of an origin over a counter, in the order in which they were written.
func (o *origin) over(counter uint64) (list []*Entry) {
	for _, e := range o.entries {
		if e.Counter > counter {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *Entry) int { return cmp.Compare(a.Counter, b.Counter) })
	return list
}

// sendAll gives all entries of an origin over a counter, in messages of which each covers a stretch of counters. It returns how many
// messages went out, at most most.
func (r *Replica) sendAll(to string, o *origin, from uint64, most int) (sent int) {
	list := o.over(from)
	for sent < most {
		w := writer{b: r.buf}
		w.begin(typeDelta, r.set.Name, r.own.life)
		n := min(len(list), (r.set.Chunk-headMost-blockMost)/entryMost)
		until := o.counter
		if n < len(list) {
			until = list[n-1].Counter
		}
		w.block(o, from, until, n)
		for _, e := range list[:n] {
			w.entry(e, e.sumOf(o.name), r.now)
		}
		msg := w.end()
		r.buf = msg[:0]
		if !r.room(len(msg)) {
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

// catchUp takes a snapshot from a member after a start, or after we stood still: from one of our zone if there is one. Without an
// answer another is asked. Serving goes on meanwhile.
func (r *Replica) catchUp() {
	if r.whole || r.cursor.from != "" && r.now-r.cursor.asked < askWithin {
		return
	}
	var near []string
	for _, m := range r.members {
		if m.Zone == r.set.Zone {
			near = append(near, m.Name)
		}
	}
	next := r.cursor.next
	if len(near) == 0 || r.rng.IntN(4) == 0 { // a near one may be as new as we are
		r.cursor.from = r.members[r.rng.IntN(len(r.members))].Name
	} else {
		r.cursor.from = near[r.rng.IntN(len(near))]
	}
	r.cursor.next = next
	r.askMore()
}

func (r *Replica) askMore() {
	w := writer{b: r.buf}
	defer func() { r.buf = w.b[:0] }()
	w.begin(typeAsk, r.set.Name, r.own.life)
	w.number(r.cursor.next)
	msg := w.end()
	w.b = msg
	r.cursor.asked = r.now
	if r.room(len(msg)) {
		r.send(r.cursor.from, msg)
	}
}

// takeAsk gives a part of a snapshot: origins by the order of their hashes, from where the last part ended. Its last message tells
// where it ended; a part within the budget, no more.
func (r *Replica) takeAsk(h head, body *reader) {
	from := body.number()
	if body.err != nil {
		return
	}
	var list []*origin
	for _, name := range r.names {
		if o := r.origins[name]; hashName(name) > from && name != h.sender && len(o.entries) > 0 {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b *origin) int { return cmp.Compare(hashName(a.name), hashName(b.name)) })
	last, sent := from, 0
	for _, o := range list {
		if sent >= perReply || !r.room(r.set.Chunk) {
			break
		}
		sent += r.sendAll(h.sender, o, 0, 2)
		last = hashName(o.name)
		r.stats.Given++
	}
	if sent == 0 && len(list) > 0 {
		return // no room: it asks again, or another
	}
	end := uint64(0)
	if len(list) > 0 && last != hashName(list[len(list)-1].name) {
		end = last
	}
	w := writer{b: r.buf}
	w.begin(typeDone, r.set.Name, r.own.life)
	w.number(end)
	msg := w.end()
	r.buf = msg[:0]
	r.send(h.sender, msg)
}

// takeDone goes on with a snapshot, or ends it.
func (r *Replica) takeDone(h head, body *reader) {
	next := body.number()
	if body.err != nil || h.sender != r.cursor.from {
		return
	}
	if next == 0 {
		r.whole, r.cursor = true, snapshotCursor{}
		return
	}
	r.cursor.next = next
	r.askMore()
}

// ---- what comes

var errNamesake = errors.New("replica: another process has our name")

// refute takes a later life than one that others hold of our name: we were that one, and our clock has stepped back since. If it
// happens again and again another process has our name, and is told.
func (r *Replica) refute(from string, life uint64) {
	if r.refuted++; r.refuted > mostRefutes {
		r.refuse(from, errNamesake)
		return
	}
	r.own.life = life + 1
}

const mostRefutes = 3

func (r *Replica) refuse(from string, err error) {
	r.stats.Refused++
	r.do(Effect{Kind: Refuse, Origin: from, Err: err})
}

// came takes a message. What can't be read is refused as a whole: nothing of it counts.
func (r *Replica) came(from string, msg []byte) {
	r.stats.Received += len(msg)
	h, body, err := open(msg)
	switch {
	case err != nil:
		r.refuse(from, err)
		return
	case h.sender != from || !r.member(from):
		r.refuse(from, fmt.Errorf("%w: %q speaks as %q", ErrForeign, from, h.sender))
		return
	}
	switch h.kind {
	case typeDelta:
		r.takeDelta(h, &body)
	case typeDigest:
		r.takeDigest(h, &body)
	case typeAsk:
		r.takeAsk(h, &body)
	case typeDone:
		r.takeDone(h, &body)
	default: // of a later version
		return
	}
	if body.err != nil {
		r.refuse(from, body.err)
	}
}

// block is a part of a delta.
type block struct {
	name     string
	life     uint64
	from, to uint64
	entries  []Entry
}

func (r *Replica) takeDelta(h head, body *reader) {
	var blocks []block
	for len(body.b) > 0 && body.err == nil {
		b := block{name: body.text(), life: body.number(), from: body.number(), to: body.number()}
		n := body.count(maxEntries)
		for range n {
			e, sum := body.entry(r.now)
			if body.err != nil {
				return
			}
			if e.check = sum; e.sumOf(b.name) != sum {
				body.fail(ErrSum)
				return
			}
			if e.Counter <= b.from || e.Counter > b.to {
				body.fail(ErrRange)
				return
			}
			if e.Kind >= 1 && e.Kind < Kinds { // others are of a later version
				b.entries = append(b.entries, e)
			}
		}
		if b.name == "" || b.to < b.from {
			body.fail(ErrRange)
		}
		blocks = append(blocks, b)
	}
	if body.err != nil {
		return
	}
	for i := range blocks {
		r.join1(h.sender, &blocks[i])
	}
}

// join1 joins what came of one origin to what is here. Of two copies the one with the higher life, then the higher counter stands:
// the order in which they come, and how often, makes no difference.
func (r *Replica) join1(from string, b *block) {
	if b.name == r.set.Name {
		if b.life > r.own.life {
			r.refute(from, b.life)
		}
		return
	}
	o := r.origins[b.name]
	switch {
	case o == nil && len(r.origins) >= r.set.Origins:
		return
	case o == nil:
		o = r.origin(b.name)
		o.life = b.life
		if !r.member(b.name) {
			o.gone = max(r.now, 1) // of one that has left, or that we have not met yet: it ages
		}
	case b.life < o.life:
		r.stats.Old += len(b.entries)
		return
	case b.life > o.life:
		for _, k := range sortedKeys(o.entries) {
			r.forget(o, k)
		}
		o.life, o.counter, o.hot = b.life, 0, nil
	}
	single := b.to-b.from == 1
	for i := range b.entries {
		r.take(o, &b.entries[i], single)
	}
	if b.from <= o.counter && b.to > o.counter {
		o.counter = b.to
	}
}

func (r *Replica) take(o *origin, e *Entry, passOn bool) {
	old := o.entries[e.Key]
	switch {
	case old != nil && old.Counter >= e.Counter:
		if old.Counter == e.Counter { // one of the two was longer on its way
			old.Born = min(old.Born, e.Born)
		}
		r.stats.Old++
		r.cooler(o, e.Key)
		return
	case r.now-e.Born > r.set.Keep[e.Kind]:
		return
	case old == nil && len(o.entries) >= r.set.Most:
		return
	}
	r.stats.New++
	kept := *e
	o.entries[e.Key] = &kept
	if passOn && urgent(e.Kind) {
		r.heat(o, e.Key)
	}
	r.do(Effect{Kind: Heard, Origin: o.name, Entry: kept})
}

// scrub looks for bits that have flipped, a few origins a tick. A copy that is not what came is dropped, and fetched again.
func (r *Replica) scrub() {
	for range min(len(r.names), 1+len(r.names)/10) {
		r.scrubAt %= len(r.names)
		o := r.origins[r.names[r.scrubAt]]
		r.scrubAt++
		for _, k := range sortedKeys(o.entries) {
			if e := o.entries[k]; e.sumOf(o.name) != e.check {
				r.stats.Mended++
				if o == r.own { // ours is written anew when it is put next
					delete(o.entries, k)
					continue
				}
				for _, k := range sortedKeys(o.entries) {
					r.forget(o, k)
				}
				o.counter = 0
				break
			}
		}
	}
}
