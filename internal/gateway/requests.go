package gateway

import (
	"bytes"
	"fmt"
	"math"
	"slices"

	"foxlane/internal/admission"
	"foxlane/internal/engine"
	"foxlane/internal/mysql"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file owns requests and their attempts, from the client's query to the
// one final answer. It never gives a second answer, and none to a client that
// has left.

type request struct {
	id        rules.RequestID
	client    *client // nil: it has left
	slot      int     // at the door
	why       EndReason
	work      rules.Time // as told; 0: it was not
	passed    bool       // the module knows of it
	served    bool
	arrival   *rules.Request // while it is held at the door or waits for room for its result
	held      rules.Time     // at the door
	owner     uint64         // of its result
	shape     uint64         // of its statement
	keep      keeping
	class     int
	stats     *classStats
	at        rules.Time
	due       rules.Time
	statement []byte // nil once answered
	once      string // by which engines drop its repeats
	answered  bool   // the final answer was given, or is owed no more
	attempts  []*attempt
	out       int // attempts without an outcome
	memoryMB  int64
	priority  int
}

type attempt struct {
	request  *request
	index    int
	engine   *engineState
	link     *link // nil: never had one
	sent     bool  // written to a connection that was up
	end      int64 // where it ends in what is written on its link
	done     bool
	verdict  rules.Status // once done
	parting  bool         // ended by us or by its connection: its engine may not have heard of that yet
	spoilt   bool         // how it ends says nothing of its engine
	ours     bool         // it had no connection for want of something here
	at       rules.Time   // when the module sent it
	deadline rules.Time
	priority int

	served  bool // page 0 is here
	paged   bool // the other pages are asked for
	took    rules.Time
	pages   [][]byte
	total   int    // where results are kept: pages
	first   []byte // and page 0, until its turn comes
	missing int
	bytes   int // of the pages
	work    float64
	memory  float64
	report  []byte
}

// open takes a client's request.
func (g *Gateway) open(c *client, q *mysql.Query) {
	class, ok := g.classIndex[q.Fields.Class]
	if !ok {
		g.unusable(c, mysql.CodeParse, fmt.Sprintf("unknown class %.40q", q.Fields.Class))
		return
	}
	tenant := 0
	if q.Fields.Tenant != "" {
		if tenant = slices.Index(g.cfg.Settings.Tenants, q.Fields.Tenant); tenant < 0 && g.gate.knows(q.Fields.Tenant) {
			tenant = 0
		}
		if tenant < 0 {
			g.unusable(c, mysql.CodeParse, fmt.Sprintf("unknown tenant %.40q", q.Fields.Tenant))
			return
		}
	}
	patience := rules.Time(q.Fields.TimeoutMS) * rules.Millisecond
	if most := g.cfg.Settings.Rules.Classes[class].ClientTimeout * g.lim.Patience; most > 0 && patience > most {
		g.unusable(c, mysql.CodeParse, fmt.Sprintf("a timeout of %d ms is out of range", q.Fields.TimeoutMS))
		return
	}
	id := rules.RequestID(q.Fields.ID)
	if g.requests[id] != nil {
		g.unusable(c, mysql.CodeFailed, "a request with this id is open")
		return
	}
	if g.gate == nil && (len(g.requests) >= g.lim.Requests || g.inputHeld+len(q.Statement) > g.lim.InputBytes) {
		g.log(Warn, "client: too much is open, request refused", Attr{"requests", len(g.requests)})
		g.answerErr(c, mysql.CodeLimitReached, "too much is open")
		return
	}
	// The client counts from when it sent the request and until it has the answer. Both ways take time,
	// more where machines are busy, so its answer must leave earlier.
	due := g.now + patience - min(patience/g.lim.WayPart, g.lim.WayMost) - g.waitedFor()
	r := &request{id: id, client: c, class: class, stats: &g.stats.classes[class], at: g.now, due: due,
		statement: bytes.Clone(q.Statement), once: q.Fields.Once, priority: engine.DefaultPriority}
	g.guardStart(r)
	if g.cfg.Trace {
		g.traceStart(r)
	}
	g.requests[id] = r
	g.unanswered++
	r.stats.taken++
	r.stats.open++
	g.inputHeld += len(r.statement)
	c.request = r
	work := rules.Time(q.Fields.WorkMS * float64(rules.Millisecond))
	r.work = work
	arrival := rules.Request{
		ID: id, Class: class, Tenant: tenant, OrderKey: q.Fields.Key, Deadline: due, EstimatedWork: work, HasEstimate: work > 0,
		EstimatedMemoryMB: q.Fields.MemoryMB, DataSet: q.Group, IsRetry: q.Fields.Repeat, IsWrite: q.Write,
	}
	if g.gate == nil && g.shelf == nil && g.sites == nil && g.orders == nil {
		r.passed = true
		if g.cfg.Trace {
			g.traceQueued(r, "module")
		}
		g.tell(rules.Arrival{Request: arrival})
		return
	}
	r.arrival = &arrival
	if g.shelf != nil {
		r.owner, r.shape, r.keep.lasting = ownerOf(q.Fields.Tenant), 0, q.Fields.Spool
	}
	if g.gate != nil {
		g.askGate(r, q.Fields.Tenant)
		return
	}
	g.pass(r, 0)
}

// pass hands a request to the module, after it was held for a while.
func (g *Gateway) pass(r *request, held rules.Time) {
	r.held = held
	if !g.admits(r) {
		return
	}
	if g.shelf != nil { // room for its result comes first: without it nothing runs
		g.shelve(r)
		return
	}
	g.toModule(r)
}

func (g *Gateway) toModule(r *request) {
	q := r.arrival
	q.QueuedFor = r.held
	r.passed, r.arrival = true, nil
	if g.cfg.Trace {
		g.traceQueued(r, "module")
	}
	g.tell(rules.Arrival{Request: *q})
}

// settle notes that no answer is owed any more. Each final answer goes through here, once.
func (g *Gateway) settle(r *request, how ending) {
	g.guardAnswer(r, how)
	if g.cfg.Trace {
		g.traceAnswer(r, how)
	}
	r.answered = true
	g.unanswered--
	g.unshelve(r)
	r.stats.open--
	g.inputHeld -= len(r.statement)
	r.statement = nil
	if c := r.client; c != nil {
		r.client, c.request = nil, nil
		if c.reading == nil {
			c.answered = g.now
		}
		g.clientIdle(c)
	}
	g.forget(r)
}

func (g *Gateway) forget(r *request) {
	if r.answered && r.out == 0 && g.requests[r.id] == r {
		delete(g.requests, r.id)
		g.atGate(admission.Event{Kind: admission.Done, Slot: r.slot, Served: r.served})
	}
}

// abandon: the client has left or has killed its query.
func (g *Gateway) abandon(r *request) {
	if r == nil || r.answered {
		return
	}
	r.client.request, r.client = nil, nil
	r.stats.left++
	r.why = EndClientLeft
	g.settle(r, endedLeft)
	if r.passed {
		g.tell(rules.ClientGone{ID: r.id})
	}
}

// refuse carries out the module's refusal. Where the door is on, that names the time of return.
func (g *Gateway) refuse(r *request, holdOff rules.Time, why EndReason) {
	if r == nil || r.answered {
		return
	}
	r.why = why
	if g.gate != nil {
		g.atGate(admission.Event{Kind: admission.TurnDown, Slot: r.slot})
		return
	}
	g.turnAway(r, g.stayAway(holdOff))
}

// turnAway gives the answer that promises that a retry is harmless.
func (g *Gateway) turnAway(r *request, holdOff rules.Time) {
	r.stats.refused++
	text := "the query was refused"
	if holdOff > 0 {
		text = fmt.Sprintf("the query was refused; holdoff=%d", int64(holdOff/rules.Millisecond))
	}
	g.answerErr(r.client, mysql.CodeLimitReached, text)
	g.settle(r, endedRefused)
}

func (g *Gateway) fail(r *request, why EndReason) {
	if r == nil || r.answered {
		return
	}
	r.why = why
	r.stats.failed++
	g.answerErr(r.client, mysql.CodeFailed, "the query failed")
	g.settle(r, endedFailed)
}

// ---- attempts

func (g *Gateway) send(s rules.Send) {
	r := g.requests[s.ID]
	if r == nil {
		return
	}
	a := &attempt{request: r, index: len(r.attempts), engine: g.engines[s.Engine], at: g.now, deadline: r.due,
		priority: r.priority}
	r.attempts = append(r.attempts, a)
	r.out++
	if g.cfg.Trace {
		g.traceAttempt(a)
	}
	r.stats.attempts++
	r.stats.running++
	if r.out == 1 {
		g.atGate(admission.Event{Kind: admission.Sent, Slot: r.slot})
	}
	if s.Timeout != 0 {
		a.deadline = min(a.deadline, g.now+s.Timeout)
	}
	most := g.cfg.Settings.Rules.Limits.MaxAttempts
	switch {
	case r.answered, a.engine == nil, most > 0 && len(r.attempts) > most:
		g.conclude(a, rules.StatusSuperseded)
	case a.deadline <= g.now:
		g.conclude(a, rules.StatusTimeout)
	default:
		g.timers.add(timer{at: a.deadline, kind: timerAttempt, attempt: a})
		g.route(a)
	}
}

func (g *Gateway) setTerms(t rules.SetAttemptOptions) {
	r := g.requests[t.ID]
	if r == nil {
		return
	}
	r.memoryMB, r.priority = int64(math.Ceil(t.MemoryMB)), t.Priority
	for _, a := range r.attempts {
		if a.done || a.parting || a.priority == t.Priority {
			continue
		}
		a.priority = t.Priority
		if a.sent {
			a.link.out = engine.AppendPriority(a.link.out, string(r.id), t.Priority)
			g.touch(&a.link.pipe)
		}
	}
}

func (g *Gateway) cancel(c rules.Cancel) {
	r := g.requests[c.ID]
	if r == nil || c.Attempt < 0 || c.Attempt >= len(r.attempts) || r.attempts[c.Attempt].done {
		return
	}
	g.giveUp(r.attempts[c.Attempt], rules.StatusCancelled)
}

// giveUp ends an attempt from our side.
func (g *Gateway) giveUp(a *attempt, v rules.Status) {
	if a.sent && !a.parting && !a.link.ended {
		id := string(a.request.id)
		if a.served {
			a.link.out = engine.AppendFree(a.link.out, id)
		} else {
			a.link.out = engine.AppendQuit(a.link.out, id)
		}
		g.flushNow(&a.link.pipe) // ahead of another attempt, which may go out on a connection that was written to before
		g.doubt(a)
	}
	g.part(a, v)
}

// part ends an attempt that its engine may still run, since it hears of the end by a way of its own. Where a request may
// have no two attempts out at once, another one could come to a nearer engine ahead of that: the module hears of the end
// once the way is over, which takes no longer than its connection took to come up. Where nothing can follow it hears now.
func (g *Gateway) part(a *attempt, v rules.Status) {
	r, s := a.request, &g.cfg.Settings.Rules
	if !a.sent || r.answered || v == rules.StatusTimeout || s.Limits.HedgedRequests ||
		s.Classes[r.class].Idempotency == rules.NotIdempotent {
		g.conclude(a, v)
		return
	}
	if a.parting {
		return
	}
	a.parting = true
	if !a.served {
		a.took = g.now - a.at
	}
	g.leave(a.link, a)
	g.freePages(a)
	g.feedNoMore(a)
	g.timers.add(timer{at: g.now + min(a.link.took, g.lim.WayMost), kind: timerParted, attempt: a, verdict: v})
}

// conclude ends an attempt and tells the module.
func (g *Gateway) conclude(a *attempt, v rules.Status) {
	if a.done {
		return
	}
	a.done, a.verdict = true, v
	r := a.request
	r.out--
	r.stats.running--
	r.stats.verdicts[v]++
	if a.link != nil {
		g.leave(a.link, a)
	}
	if !a.served && !a.parting {
		a.took = g.now - a.at
	}
	g.freePages(a)
	if g.cfg.Trace {
		g.traceEnded(a)
	}
	if a.sent {
		g.atGate(admission.Event{Kind: admission.Spent, Slot: r.slot, Took: a.took})
	}
	if a.engine != nil && v != rules.StatusOK && v != rules.StatusSuperseded && !a.ours {
		a.engine.fault = g.now
	}
	o := rules.Outcome{ID: r.id, Attempt: a.index, Engine: 0, Status: v, Latency: a.took, Closed: r.answered || r.keep.closed, NotEngineFault: a.spoilt}
	if a.engine != nil {
		o.Engine = a.engine.id
	}
	if v == rules.StatusOK && g.cfg.Settings.Rules.ReportsCost && g.credible(a) {
		o.MeasuredWork = rules.Time(a.work * float64(rules.Millisecond))
		o.MeasuredMemoryMB = a.memory
	}
	if g.cfg.Settings.Rules.LoadReport == rules.LoadReportInOutcomes {
		o.Load = engine.ParseReport(a.report)
	}
	g.forget(r)
	g.feedNoMore(a)
	g.tell(o)
}

// feedNoMore: the rest of a result that is kept does not come from this attempt.
func (g *Gateway) feedNoMore(a *attempt) {
	if k := &a.request.keep; k.feeding == a {
		k.feeding = nil
		g.atShelf(spool.Event{Kind: spool.Broke, ID: k.handle.ID})
	}
}

// credible answers whether an engine of that kind can have spent the work and the memory that an answer
// tells. Of one that was spoilt without a sign the module must not learn.
func (g *Gateway) credible(a *attempt) bool {
	kinds := g.cfg.Settings.Rules.Kinds
	if a.engine.kind >= len(kinds) {
		return true // nothing is known of it
	}
	k := kinds[a.engine.kind]
	return (k.Cores <= 0 || a.work <= k.Cores*float64(a.took/rules.Millisecond+1)) &&
		(k.MemoryMB <= 0 || a.memory <= k.MemoryMB)
}

// ---- results

// answer takes what an engine says of an attempt.
func (g *Gateway) answer(a *attempt, m *engine.Answer) {
	if m.Report != nil {
		a.report = bytes.Clone(m.Report)
	}
	switch m.Word {
	case engine.Update: // the module asks for no notes of progress
	case engine.Overload:
		g.conclude(a, rules.StatusRejected)
	case engine.Nobody:
		g.conclude(a, rules.StatusSuperseded)
	case engine.Crashed:
		// Engines answer an error to what bad clients ask, too: it tells of the engine if nothing good
		// came from that since the last one.
		a.spoilt = a.engine.good > a.engine.erred
		a.engine.erred = g.now
		g.conclude(a, rules.StatusError)
	case engine.Served:
		a.engine.good = g.now
		g.firstPage(a, m)
	case engine.Rows:
		if g.shelf != nil {
			g.keepPage(a, m.Index, m.Body)
		} else {
			g.page(a, m.Index, m.Body)
		}
	default:
		g.badAnswer(a, "health for a request")
	}
}

// badAnswer ends an attempt whose answer makes no sense. It may have run, and may still run: its key rests.
func (g *Gateway) badAnswer(a *attempt, what string) {
	g.log(Warn, "engine: unusable answer", Attr{"engine", a.engine.entry.ID}, Attr{"request", string(a.request.id)},
		Attr{"what", what})
	a.spoilt = true
	g.giveUp(a, rules.StatusReset)
}

func (g *Gateway) firstPage(a *attempt, m *engine.Answer) {
	total := max(m.Total, 1)
	if g.shelf != nil {
		if a.served { // a second copy
			return
		}
		g.serve(a, m, total)
		return
	}
	if a.served && total == len(a.pages) {
		g.page(a, 0, m.Body) // a second copy, unless its rows are others
		return
	}
	if a.served || total > g.lim.Pages {
		g.badAnswer(a, "served twice, or too many pages")
		return
	}
	a.served, a.took = true, g.now-a.at
	a.work, a.memory = m.Elapsed, m.RSS
	a.pages, a.missing = make([][]byte, total), total
	if g.page(a, 0, m.Body); !a.done && !a.parting {
		g.pageQueue = append(g.pageQueue, a)
		g.askPages()
	}
}

// askPages asks for the pages of results in turn, while there is room for them.
func (g *Gateway) askPages() {
	for len(g.pageQueue) > 0 {
		a := g.pageQueue[0]
		if !a.done && !a.parting {
			if g.resultHeld+g.lim.Result > g.lim.ResultBytes {
				return
			}
			g.resultHeld += g.lim.Result
			a.paged = true
			for n := 1; n < len(a.pages); n++ {
				a.link.out = engine.AppendNext(a.link.out, string(a.request.id), n)
			}
			g.touch(&a.link.pipe)
		}
		g.pageQueue[0] = nil
		g.pageQueue = g.pageQueue[1:]
	}
	g.pageQueue = nil
}

// freePages gives back the room of an attempt's pages.
func (g *Gateway) freePages(a *attempt) {
	a.pages = nil
	if a.paged {
		a.paged = false
		g.resultHeld -= g.lim.Result
		g.askPages()
	}
}

func (g *Gateway) page(a *attempt, n int, body []byte) {
	switch {
	case !a.served || n < 0 || n >= len(a.pages):
		g.badAnswer(a, "a page that was not asked for")
		return
	case a.pages[n] != nil:
		if !bytes.Equal(a.pages[n], body) {
			g.badAnswer(a, "a page that comes twice, each time another")
		}
		return
	case a.bytes+len(body) > g.lim.Result:
		g.badAnswer(a, "the result is too large")
		return
	case len(body) > 0 && body[len(body)-1] != '\n':
		g.badAnswer(a, "a page ends within a row")
		return
	}
	if a.pages[n] = body; a.missing > 1 {
		a.pages[n] = append([]byte{}, body...) // the last one is used at once
	}
	a.bytes += len(body)
	if a.missing--; a.missing == 0 {
		g.complete(a)
	}
}

const columns = 3

var columnNames = []string{"c1", "c2", "c3"}

// complete: all pages are here. The first such attempt is the client's answer.
func (g *Gateway) complete(a *attempt) {
	r := a.request
	if !r.answered {
		g.roomy(&r.client.pipe)
		out, ok := appendResult(r.client.out, a.pages)
		if !ok {
			g.badAnswer(a, "a row has not three columns")
			return
		}
		r.client.out = out
		g.touch(&r.client.pipe)
		r.served = true
		r.stats.served++
		r.stats.took += g.now - r.at
		g.settle(r, endedServed)
	}
	if len(a.pages) > 1 { // of a single page the engine keeps nothing
		a.link.out = engine.AppendFree(a.link.out, string(r.id))
		g.touch(&a.link.pipe)
	}
	g.conclude(a, rules.StatusOK)
}

// appendResult appends the whole result set. If a row can't be read, nothing is appended.
func appendResult(dst []byte, pages [][]byte) (out []byte, ok bool) {
	out, seq := mysql.AppendColumns(dst, 1, columnNames)
	for _, page := range pages {
		for len(page) > 0 {
			var row []byte
			row, page, _ = bytes.Cut(page, []byte{'\n'})
			if out, seq, ok = mysql.AppendRow(out, seq, row, columns); !ok {
				return dst, false
			}
		}
	}
	return mysql.AppendEnd(out, seq), true
}
