package gateway

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"

	"foxlane/internal/config"
	"foxlane/internal/engine"
	"foxlane/internal/mysql"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file carries results to the spool and from there to their clients, and
// the spool's effects out. It never decides what is kept; where the operator
// has set no spool it does nothing, and requests.go has the way of results.

// shelf is the spool with what names its results and readers here.
type shelf struct {
	spool   *spool.Spool
	inbox   []spool.Event
	busy    bool
	wake    rules.Time // 0: none
	random  *rand.ChaCha8
	filling map[spool.ID]*request
	readers slots[client]
	last    spool.Stats // at the last line of the log
}

// reading is a client's way through a result.
type reading struct {
	slot    int
	id      spool.ID
	seq     byte // of the next packet
	begun   bool // the columns are written
	lasting bool // told of the handle, so that it may come back
	chunk   int  // handed over last
	last    bool
	handle  spool.Handle
}

// keeping is what a request knows of its result on the shelf.
type keeping struct {
	handle  spool.Handle
	granted bool // there is room set aside
	lasting bool // the client asked for a handle
	feeding *attempt
	closed  bool // the engine has given all: the module has no more to do
}

func newShelf(cfg *config.Config) *shelf {
	if cfg.Site == nil || cfg.Site.Spool == nil {
		return nil
	}
	return &shelf{spool: spool.New(cfg.Site.Spool.Budget, cfg.Seed), random: rand.NewChaCha8(cfg.Entropy),
		filling: map[spool.ID]*request{}, readers: newSlots[client](cfg.Limits.Clients + cfg.Limits.AcceptAhead)}
}

// handle draws a new one. The generator is cryptographically strong, and its seed the system's entropy.
func (h *shelf) handle() (out spool.Handle) {
	_, _ = h.random.Read(out.ID[:])
	_, _ = h.random.Read(out.Key[:])
	return out
}

// atShelf hands an event to the spool and carries out what it asks for. Events
// that arise meanwhile wait for their turn, as with the module.
func (g *Gateway) atShelf(e spool.Event) {
	h := g.shelf
	if h == nil {
		return
	}
	h.inbox = append(h.inbox, e)
	if h.busy {
		return
	}
	h.busy = true
	for i := 0; i < len(h.inbox); i++ {
		for _, f := range h.spool.Handle(g.now, h.inbox[i]) {
			g.actShelf(f)
		}
	}
	clear(h.inbox)
	h.inbox = h.inbox[:0]
	h.busy = false
}

func (g *Gateway) actShelf(f spool.Effect) {
	h := g.shelf
	switch f.Kind {
	case spool.Write, spool.Load, spool.Gone:
		g.do(Effect{Kind: SubmitSpool, Spool: f})
	case spool.Wake:
		h.wake = f.At
	case spool.Give:
		if c := h.readers.all[f.Reader]; c != nil {
			g.give(c, f)
		}
	case spool.Deny:
		if c := h.readers.all[f.Reader]; c != nil {
			g.stopReading(c)
			g.unusable(c, mysql.CodeFailed, "no such result")
			g.clientIdle(c)
		}
	case spool.Cut:
		if c := h.readers.all[f.Reader]; c != nil {
			g.cutReader(c, f.Why)
		}
	default:
		if r := h.filling[f.ID]; r != nil {
			g.actFilling(r, f)
		}
	}
}

// actFilling carries out what concerns a result that is on its way.
func (g *Gateway) actFilling(r *request, f spool.Effect) {
	switch f.Kind {
	case spool.Granted:
		r.keep.granted = true
		if !r.passed {
			g.toModule(r)
			return
		}
		g.bind(r)
	case spool.Refused:
		delete(g.shelf.filling, f.ID)
		r.keep.granted = false
		g.log(Info, "spool: no room for a result", Attr{"why", f.Why.String()}, Attr{"class", g.cfg.Settings.ClassNames[r.class]})
		switch {
		case r.answered:
		case !r.passed: // nothing ran
			r.why = EndNoResultRoom
			g.turnAway(r, g.allowedReturn(f.After))
		default:
			g.endKept(r, f.Why)
		}
	case spool.Fetch:
		if a := r.keep.feeding; a != nil {
			for n := f.N; n < f.To; n++ {
				a.link.out = engine.AppendNext(a.link.out, string(r.id), n)
			}
			g.touch(&a.link.pipe)
		}
	case spool.Free:
		g.kept(r)
	case spool.Whole:
		g.offer(r)
	case spool.Failed:
		delete(g.shelf.filling, f.ID)
		r.keep.granted = false
		if f.Why == spool.ForBroken { // another attempt may follow, and needs room of its own
			if !r.answered && !r.keep.closed {
				g.shelve(r)
			}
			return
		}
		g.log(Warn, "spool: a result can't be kept", Attr{"why", f.Why.String()}, Attr{"class", g.cfg.Settings.ClassNames[r.class]})
		g.endKept(r, f.Why)
	}
}

// shelve asks for room for a request's result.
func (g *Gateway) shelve(r *request) {
	r.keep.handle = g.shelf.handle()
	g.shelf.filling[r.keep.handle.ID] = r
	g.atShelf(spool.Event{Kind: spool.Reserve, ID: r.keep.handle.ID, Secret: r.keep.handle.Secret(), Tenant: r.owner, Class: r.class,
		Shape: r.shape, Lasting: r.keep.lasting})
}

// unshelve lets go of what is kept for a request that is over.
func (g *Gateway) unshelve(r *request) {
	if g.shelf == nil || g.shelf.filling[r.keep.handle.ID] != r {
		return
	}
	delete(g.shelf.filling, r.keep.handle.ID)
	g.atShelf(spool.Event{Kind: spool.Release, ID: r.keep.handle.ID})
}

// allowedReturn is a time of return within what the site allows.
func (g *Gateway) allowedReturn(after rules.Time) rules.Time {
	l := g.cfg.Settings.Rules.Limits
	if !l.RetryAfter {
		return 0
	}
	if l.MaxRetryAfter > 0 {
		after = min(after, l.MaxRetryAfter)
	}
	return after
}

// ownerOf is whose a result is: the tenant that was told, else nobody's, so that a client that comes back
// from another address may read it. It is the same after a restart.
func ownerOf(tenant string) uint64 {
	if tenant == "" {
		return 0
	}
	return xxh3.HashString(tenant)
}

// ---- from the engine

// serve takes a first page where results are kept.
func (g *Gateway) serve(a *attempt, m *engine.Answer, total int) {
	if !wellFormed(m.Body) {
		g.badAnswer(a, "a row has not three columns, or a page ends within one")
		return
	}
	a.served, a.took = true, g.now-a.at
	a.work, a.memory = m.Elapsed, m.RSS
	a.total, a.first = total, bytes.Clone(m.Body)
	if a.first == nil {
		a.first = []byte{}
	}
	g.bind(a.request)
}

// bind lets the first attempt that has answered give its pages, if there is room and none does yet.
func (g *Gateway) bind(r *request) {
	if !r.keep.granted || r.keep.feeding != nil || r.answered || r.keep.closed {
		return
	}
	for _, a := range r.attempts {
		if a.served && !a.done && !a.parting {
			r.keep.feeding = a
			first := a.first
			a.first = nil
			g.atShelf(spool.Event{Kind: spool.Came, ID: r.keep.handle.ID, Total: a.total, Data: first})
			return
		}
	}
}

// keepPage takes a further page.
func (g *Gateway) keepPage(a *attempt, n int, body []byte) {
	r := a.request
	switch {
	case !a.served || n < 0 || n >= a.total || r.keep.feeding != a:
		g.badAnswer(a, "a page that was not asked for")
	case !wellFormed(body):
		g.badAnswer(a, "a row has not three columns, or a page ends within one")
	default:
		data := append(make([]byte, 0, len(body)), body...)
		g.atShelf(spool.Event{Kind: spool.Came, ID: r.keep.handle.ID, N: n, Total: a.total, Data: data})
	}
}

// wellFormed answers whether a page holds whole rows of as many columns as all have.
func wellFormed(page []byte) bool {
	for len(page) > 0 {
		row, rest, ok := bytes.Cut(page, []byte{'\n'})
		if !ok || bytes.Count(row, []byte{'\t'}) != columns-1 {
			return false
		}
		page = rest
	}
	return true
}

// kept: the engine has given all and is free, whatever becomes of the client.
func (g *Gateway) kept(r *request) {
	a := r.keep.feeding
	r.keep.feeding, r.keep.closed = nil, true
	if a == nil || a.done {
		return
	}
	if a.total > 1 { // of a single page the engine keeps nothing
		a.link.out = engine.AppendFree(a.link.out, string(r.id))
		g.touch(&a.link.pipe)
	}
	g.conclude(a, rules.StatusOK)
	g.timers.add(timer{at: r.due, kind: timerKept, request: r})
}

// hurryKept brings the deadlines of what waits for the disk alone forward: the gateway ends.
func (g *Gateway) hurryKept() {
	if g.shelf == nil {
		return
	}
	var waiting []*request
	for _, r := range g.requests {
		if r.keep.closed && !r.answered {
			waiting = append(waiting, r)
		}
	}
	slices.SortFunc(waiting, func(a, b *request) int { return cmp.Compare(a.id, b.id) })
	for _, r := range waiting {
		g.timers.add(timer{at: g.now + g.lim.StopWithin, kind: timerKept, request: r})
	}
}

// endKept answers a request whose result can't be kept. It has run: only of what may be repeated freely
// the client hears that asking again is harmless.
func (g *Gateway) endKept(r *request, why spool.Why) {
	if r.answered {
		return
	}
	r.keep.closed, r.why = true, EndResultLost
	if a := r.keep.feeding; a != nil {
		r.keep.feeding = nil
		a.spoilt = true
		g.giveUp(a, rules.StatusCancelled)
	}
	if safe := g.cfg.Settings.Rules.Classes[r.class].Idempotency == rules.Idempotent; safe && why != spool.ForSize {
		g.turnAway(r, 0)
	} else {
		r.stats.failed++
		g.answerErr(r.client, mysql.CodeFailed, "the result could not be kept: "+why.String())
		g.settle(r, endedFailed)
	}
	g.tell(rules.ClientGone{ID: r.id})
}

// ---- to the client

// offer begins the answer: the result is whole.
func (g *Gateway) offer(r *request) {
	delete(g.shelf.filling, r.keep.handle.ID)
	c := r.client
	if r.answered || c == nil {
		g.atShelf(spool.Event{Kind: spool.Release, ID: r.keep.handle.ID})
		return
	}
	r.served = true
	r.stats.served++
	r.stats.took += g.now - r.at
	c.reading = &reading{id: r.keep.handle.ID, seq: 1, lasting: r.keep.lasting, handle: r.keep.handle}
	g.settle(r, endedServed)
	g.attach(c, r.owner, 0)
}

// attach lets a client read from a chunk on.
func (g *Gateway) attach(c *client, owner uint64, from int) {
	d := c.reading
	d.slot = g.shelf.readers.take(c)
	g.atShelf(spool.Event{Kind: spool.Attach, Reader: d.slot, ID: d.id, Secret: d.handle.Secret(), Tenant: owner, N: from})
}

// resume takes a client's wish to read a result again, or to be done with it.
func (g *Gateway) resume(c *client, q *mysql.Resume) {
	handle, err := spool.ParseHandle([]byte(q.Handle))
	if g.shelf == nil || err != nil {
		g.unusable(c, mysql.CodeFailed, "no such result") // the same words for whatever is wrong with a handle
		return
	}
	c.reading = &reading{id: handle.ID, seq: 1, lasting: true, handle: handle}
	if q.Done {
		c.reading.slot = g.shelf.readers.take(c)
		g.atShelf(spool.Event{Kind: spool.Acked, Reader: c.reading.slot, ID: handle.ID, Secret: handle.Secret(), Tenant: ownerOf(q.Tenant)})
		return
	}
	g.attach(c, ownerOf(q.Tenant), q.Page)
}

// give writes a chunk, and asks to be told once the client's connection has taken it.
func (g *Gateway) give(c *client, f spool.Effect) {
	d := c.reading
	if f.Data == nil && f.Last && f.N < 0 { // an acknowledgement
		g.stopReading(c)
		g.answerOK(c)
		g.clientIdle(c)
		return
	}
	if !d.begun {
		d.begun = true
		c.out, d.seq = mysql.AppendColumns(c.out, d.seq, columnNames)
		if d.lasting {
			c.out, d.seq, _ = mysql.AppendRow(c.out, d.seq, []byte("#handle\t"+d.handle.String()+"\t"+strconv.Itoa(f.To)), columns)
		}
	}
	for page := f.Data; len(page) > 0; {
		var row []byte
		row, page, _ = bytes.Cut(page, []byte{'\n'})
		c.out, d.seq, _ = mysql.AppendRow(c.out, d.seq, row, columns) // it was checked when it came
	}
	if d.lasting {
		c.out, d.seq, _ = mysql.AppendRow(c.out, d.seq, []byte("#page\t"+strconv.Itoa(f.N)+"\t"+strconv.Itoa(f.To)), columns)
	}
	d.chunk, d.last = f.N, f.Last
	g.touch(&c.pipe)
	if !f.Last {
		g.watchClient(c)
		return
	}
	c.out = mysql.AppendEnd(c.out, d.seq)
	if d.lasting { // kept until it is acknowledged, or its lease is over
		g.atShelf(spool.Event{Kind: spool.Detach, Reader: d.slot})
	} else {
		g.atShelf(spool.Event{Kind: spool.Next, Reader: d.slot, N: f.N + 1})
	}
	g.stopReading(c)
	g.clientIdle(c)
}

// watchClient asks to be told once all that was written to a client has been taken.
func (g *Gateway) watchClient(c *client) {
	g.flushNow(&c.pipe)
	g.do(Effect{Kind: NotifyDrained, Conn: c.id})
}

// drained: the client has taken a chunk and gets the next.
func (g *Gateway) drained(c *client) {
	if d := c.reading; d != nil && d.begun && !d.last {
		g.atShelf(spool.Event{Kind: spool.Next, Reader: d.slot, N: d.chunk + 1})
	}
}

// stopReading takes a client off the shelf's readers.
func (g *Gateway) stopReading(c *client) {
	if c.reading != nil {
		g.shelf.readers.drop(c.reading.slot)
		c.reading, c.answered = nil, g.now
	}
}

// leaveShelf: a client has gone while it read. What nobody can ask for again goes with it.
func (g *Gateway) leaveShelf(c *client) {
	d := c.reading
	if d == nil {
		return
	}
	g.stopReading(c)
	g.atShelf(spool.Event{Kind: spool.Detach, Reader: d.slot})
	if !d.lasting {
		g.atShelf(spool.Event{Kind: spool.Release, ID: d.id})
	}
}

// cutReader ends an answer that can't go on, so that its client can tell it from a whole one.
func (g *Gateway) cutReader(c *client, why spool.Why) {
	d := c.reading
	g.log(Warn, "spool: a result was lost while it was read", Attr{"session", c.session}, Attr{"why", why.String()})
	c.out = mysql.AppendErr(c.out, d.seq, mysql.CodeFailed, "the result was lost: "+why.String())
	g.touch(&c.pipe)
	g.stopReading(c)
	g.clientIdle(c)
}

// shelved takes what the disk says.
func (g *Gateway) shelved(events []spool.Event) {
	for _, e := range events {
		g.atShelf(e)
	}
}

func (g *Gateway) ringShelf() {
	if h := g.shelf; h != nil && h.wake != 0 && h.wake <= g.now {
		h.wake = 0
		g.atShelf(spool.Event{Kind: spool.Tick})
	}
}

// logShelf notes what the spool did since the last line.
func (g *Gateway) logShelf() {
	h := g.shelf
	if h == nil {
		return
	}
	s, l := h.spool.Stats(), h.last
	h.last = s
	g.log(Info, "spool", Attr{"results", s.Results}, Attr{"readers", s.Readers}, Attr{"disk_bytes", s.Disk}, Attr{"memory_bytes", s.Memory},
		Attr{"reserved", s.Reserved - l.Reserved}, Attr{"refused", s.Refused - l.Refused}, Attr{"whole", s.Whole - l.Whole},
		Attr{"failed", s.Failed - l.Failed}, Attr{"given", s.Given - l.Given}, Attr{"denied", s.Denied - l.Denied},
		Attr{"expired", s.Expired - l.Expired}, Attr{"gave_way", s.GaveWay - l.GaveWay})
}
