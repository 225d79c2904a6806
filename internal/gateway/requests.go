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

type queryRequest struct {
	id             rules.RequestID
	client         *clientConn // nil: it has left
	admissionSlot  int         // at the door
	endReason      EndReason
	work           rules.Time // as told; 0: it was not
	submitted      bool       // the module knows of it
	served         bool
	pending        *rules.Request // while it is held at the door or waits for room for its result
	heldFor        rules.Time     // at the door
	resultOwner    uint64         // of its result
	statementShape uint64         // of its statement
	result         resultState
	class          int
	stats          *classStats
	arrivedAt      rules.Time
	dueAt          rules.Time
	statement      []byte // nil once answered
	idempotencyKey string // by which engines drop its repeats
	answered       bool   // the final answer was given, or is owed no more
	attempts       []*engineAttempt
	inFlight       int // attempts without an outcome
	memoryMB       int64
	priority       int
}

type engineAttempt struct {
	request         *queryRequest
	index           int
	engine          *engineState
	conn            *engineConn // nil: never had one
	sent            bool        // written to a connection that was up
	endOffset       int64       // where it ends in what is written on its link
	done            bool
	status          rules.Status // once done
	terminating     bool         // ended by us or by its connection: its engine may not have heard of that yet
	blameless       bool         // how it ends says nothing of its engine
	localExhaustion bool         // it had no connection for want of something here
	startedAt       rules.Time   // when the module sent it
	deadline        rules.Time
	priority        int

	firstPageReceived bool // page 0 is here
	pagesRequested    bool // the other pages are asked for
	latency           rules.Time
	pages             [][]byte
	totalPages        int    // where results are kept: pages
	firstPage         []byte // and page 0, until its turn comes
	pagesMissing      int
	pageBytes         int // of the pages
	workMS            float64
	memoryMB          float64
	loadReport        []byte
}

// acceptQuery takes a client's request.
func (g *Gateway) acceptQuery(client *clientConn, query *mysql.Query) {
	class, ok := g.classIndex[query.Fields.Class]
	if !ok {
		g.rejectCommand(client, mysql.CodeParse, fmt.Sprintf("unknown class %.40q", query.Fields.Class))
		return
	}
	tenant := 0
	if query.Fields.Tenant != "" {
		if tenant = slices.Index(g.cfg.Settings.TenantNames, query.Fields.Tenant); tenant < 0 && g.admission.knowsTenant(query.Fields.Tenant) {
			tenant = 0
		}
		if tenant < 0 {
			g.rejectCommand(client, mysql.CodeParse, fmt.Sprintf("unknown tenant %.40q", query.Fields.Tenant))
			return
		}
	}
	patience := rules.Time(query.Fields.TimeoutMS) * rules.Millisecond
	if most := g.cfg.Settings.Rules.Classes[class].ClientTimeout * g.limits.MaxTimeoutFactor; most > 0 && patience > most {
		g.rejectCommand(client, mysql.CodeParse, fmt.Sprintf("a timeout of %d ms is out of range", query.Fields.TimeoutMS))
		return
	}
	id := rules.RequestID(query.Fields.ID)
	if g.requests[id] != nil {
		g.rejectCommand(client, mysql.CodeUnknownError, "a request with this id is open")
		return
	}
	if g.admission == nil && (len(g.requests) >= g.limits.MaxRequests || g.statementBytes+len(query.Statement) > g.limits.MaxInputBytes) {
		g.log(Warn, "client: too much is open, request refused", Attr{"requests", len(g.requests)})
		g.writeErr(client, mysql.CodeUserLimitReached, "too much is open")
		return
	}
	// The client counts from when it sent the request and until it has the answer. Both ways take time,
	// more where machines are busy, so its answer must leave earlier.
	due := g.now + patience - min(patience/g.limits.NetworkMarginDivisor, g.limits.MaxNetworkMargin) - g.inputDelay()
	req := &queryRequest{id: id, client: client, class: class, stats: &g.stats.classes[class], arrivedAt: g.now, dueAt: due,
		statement: bytes.Clone(query.Statement), idempotencyKey: query.Fields.IdempotencyKey, priority: engine.DefaultPriority}
	g.checkStart(req)
	if g.cfg.Trace {
		g.traceRequest(req)
	}
	g.requests[id] = req
	g.unanswered++
	req.stats.accepted++
	req.stats.inFlight++
	g.statementBytes += len(req.statement)
	client.request = req
	work := rules.Time(query.Fields.WorkMS * float64(rules.Millisecond))
	req.work = work
	arrival := rules.Request{
		ID: id, Class: class, Tenant: tenant, OrderKey: query.Fields.OrderKey, Deadline: due, EstimatedWork: work, HasEstimate: work > 0,
		EstimatedMemoryMB: query.Fields.MemoryMB, DataSet: query.TableGroup, IsRetry: query.Fields.IsRetry, IsWrite: query.Write,
	}
	if g.admission == nil && g.results == nil && g.zones == nil && g.directives == nil {
		req.submitted = true
		if g.cfg.Trace {
			g.traceQueued(req, "module")
		}
		g.tellModule(rules.Arrival{Request: arrival})
		return
	}
	req.pending = &arrival
	if g.results != nil {
		req.resultOwner, req.statementShape, req.result.resumable = tenantKey(query.Fields.Tenant), 0, query.Fields.WantsHandle
	}
	if g.admission != nil {
		g.requestAdmission(req, query.Fields.Tenant)
		return
	}
	g.admitted(req, 0)
}

// admitted hands a request to the module, after it was held for a while.
func (g *Gateway) admitted(req *queryRequest, held rules.Time) {
	req.heldFor = held
	if !g.admitsRequest(req) {
		return
	}
	if g.results != nil { // room for its result comes first: without it nothing runs
		g.reserveResult(req)
		return
	}
	g.submit(req)
}

func (g *Gateway) submit(req *queryRequest) {
	arrival := req.pending
	arrival.QueuedFor = req.heldFor
	req.submitted, req.pending = true, nil
	if g.cfg.Trace {
		g.traceQueued(req, "module")
	}
	g.tellModule(rules.Arrival{Request: *arrival})
}

// finishRequest notes that no answer is owed any more. Each final answer goes through here, once.
func (g *Gateway) finishRequest(req *queryRequest, how outcome) {
	g.checkAnswer(req, how)
	if g.cfg.Trace {
		g.traceAnswer(req, how)
	}
	req.answered = true
	g.unanswered--
	g.releaseResult(req)
	req.stats.inFlight--
	g.statementBytes -= len(req.statement)
	req.statement = nil
	if client := req.client; client != nil {
		req.client, client.request = nil, nil
		if client.reader == nil {
			client.answeredAt = g.now
		}
		g.clientBecameIdle(client)
	}
	g.releaseRequest(req)
}

func (g *Gateway) releaseRequest(req *queryRequest) {
	if req.answered && req.inFlight == 0 && g.requests[req.id] == req {
		delete(g.requests, req.id)
		g.handleAdmission(admission.Event{Kind: admission.RequestDone, Slot: req.admissionSlot, Served: req.served})
	}
}

// abandonRequest: the client has left or has killed its query.
func (g *Gateway) abandonRequest(req *queryRequest) {
	if req == nil || req.answered {
		return
	}
	req.client.request, req.client = nil, nil
	req.stats.abandoned++
	req.endReason = EndClientLeft
	g.finishRequest(req, outcomeAbandoned)
	if req.submitted {
		g.tellModule(rules.ClientGone{ID: req.id})
	}
}

// reject carries out the module's refusal. Where the door is on, that names the time of return.
func (g *Gateway) reject(req *queryRequest, holdOff rules.Time, why EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = why
	if g.admission != nil {
		g.handleAdmission(admission.Event{Kind: admission.RequestRejected, Slot: req.admissionSlot})
		return
	}
	g.writeRejection(req, g.retryAfter(holdOff))
}

// writeRejection gives the answer that promises that a retry is harmless.
func (g *Gateway) writeRejection(req *queryRequest, holdOff rules.Time) {
	req.stats.rejected++
	text := "the query was refused"
	if holdOff > 0 {
		text = fmt.Sprintf("the query was refused; holdoff=%d", int64(holdOff/rules.Millisecond))
	}
	g.writeErr(req.client, mysql.CodeUserLimitReached, text)
	g.finishRequest(req, outcomeRejected)
}

func (g *Gateway) failRequest(req *queryRequest, why EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = why
	req.stats.failed++
	g.writeErr(req.client, mysql.CodeUnknownError, "the query failed")
	g.finishRequest(req, outcomeFailed)
}

// ---- attempts

func (g *Gateway) startAttempt(send rules.Send) {
	req := g.requests[send.ID]
	if req == nil {
		return
	}
	attempt := &engineAttempt{request: req, index: len(req.attempts), engine: g.engines[send.Engine], startedAt: g.now, deadline: req.dueAt,
		priority: req.priority}
	req.attempts = append(req.attempts, attempt)
	req.inFlight++
	if g.cfg.Trace {
		g.traceAttempt(attempt)
	}
	req.stats.attempts++
	req.stats.attemptsInFlight++
	if req.inFlight == 1 {
		g.handleAdmission(admission.Event{Kind: admission.RequestForwarded, Slot: req.admissionSlot})
	}
	if send.Timeout != 0 {
		attempt.deadline = min(attempt.deadline, g.now+send.Timeout)
	}
	most := g.cfg.Settings.Rules.Limits.MaxAttempts
	switch {
	case req.answered, attempt.engine == nil, most > 0 && len(req.attempts) > most:
		g.concludeAttempt(attempt, rules.StatusSuperseded)
	case attempt.deadline <= g.now:
		g.concludeAttempt(attempt, rules.StatusTimeout)
	default:
		g.timers.add(timer{at: attempt.deadline, kind: timerAttempt, attempt: attempt})
		g.assignConn(attempt)
	}
}

func (g *Gateway) setTerms(terms rules.SetAttemptOptions) {
	req := g.requests[terms.ID]
	if req == nil {
		return
	}
	req.memoryMB, req.priority = int64(math.Ceil(terms.MemoryMB)), terms.Priority
	for _, attempt := range req.attempts {
		if attempt.done || attempt.terminating || attempt.priority == terms.Priority {
			continue
		}
		attempt.priority = terms.Priority
		if attempt.sent {
			attempt.conn.output = engine.AppendPriority(attempt.conn.output, string(req.id), terms.Priority)
			g.markDirty(&attempt.conn.outputBuffer)
		}
	}
}

func (g *Gateway) cancelAttempt(c rules.Cancel) {
	req := g.requests[c.ID]
	if req == nil || c.Attempt < 0 || c.Attempt >= len(req.attempts) || req.attempts[c.Attempt].done {
		return
	}
	g.abandonAttempt(req.attempts[c.Attempt], rules.StatusCancelled)
}

// abandonAttempt ends an attempt from our side.
func (g *Gateway) abandonAttempt(attempt *engineAttempt, status rules.Status) {
	if attempt.sent && !attempt.terminating && !attempt.conn.closed {
		id := string(attempt.request.id)
		if attempt.firstPageReceived {
			attempt.conn.output = engine.AppendRelease(attempt.conn.output, id)
		} else {
			attempt.conn.output = engine.AppendCancel(attempt.conn.output, id)
		}
		g.flushNow(&attempt.conn.outputBuffer) // ahead of another attempt, which may go out on a connection that was written to before
		g.retireIfSilent(attempt)
	}
	g.terminateAttempt(attempt, status)
}

// terminateAttempt ends an attempt that its engine may still run, since it hears of the end by a way of its own. Where a request may
// have no two attempts out at once, another one could come to a nearer engine ahead of that: the module hears of the end
// once the way is over, which takes no longer than its connection took to come up. Where nothing can follow it hears now.
func (g *Gateway) terminateAttempt(attempt *engineAttempt, status rules.Status) {
	req, settings := attempt.request, &g.cfg.Settings.Rules
	if !attempt.sent || req.answered || status == rules.StatusTimeout || settings.Limits.HedgedRequests ||
		settings.Classes[req.class].Idempotency == rules.NotIdempotent {
		g.concludeAttempt(attempt, status)
		return
	}
	if attempt.terminating {
		return
	}
	attempt.terminating = true
	if !attempt.firstPageReceived {
		attempt.latency = g.now - attempt.startedAt
	}
	g.detachAttempt(attempt.conn, attempt)
	g.releasePages(attempt)
	g.stopFilling(attempt)
	g.timers.add(timer{at: g.now + min(attempt.conn.dialTime, g.limits.MaxNetworkMargin), kind: timerTerminated, attempt: attempt, status: status})
}

// concludeAttempt ends an attempt and tells the module.
func (g *Gateway) concludeAttempt(attempt *engineAttempt, status rules.Status) {
	if attempt.done {
		return
	}
	attempt.done, attempt.status = true, status
	req := attempt.request
	req.inFlight--
	req.stats.attemptsInFlight--
	req.stats.statuses[status]++
	if attempt.conn != nil {
		g.detachAttempt(attempt.conn, attempt)
	}
	if !attempt.firstPageReceived && !attempt.terminating {
		attempt.latency = g.now - attempt.startedAt
	}
	g.releasePages(attempt)
	if g.cfg.Trace {
		g.traceAttemptEnd(attempt)
	}
	if attempt.sent {
		g.handleAdmission(admission.Event{Kind: admission.EngineTimeUsed, Slot: req.admissionSlot, EngineTime: attempt.latency})
	}
	if attempt.engine != nil && status != rules.StatusOK && status != rules.StatusSuperseded && !attempt.localExhaustion {
		attempt.engine.lastFault = g.now
	}
	outcome := rules.Outcome{ID: req.id, Attempt: attempt.index, Engine: 0, Status: status, Latency: attempt.latency, Closed: req.answered || req.result.engineDone, NotEngineFault: attempt.blameless}
	if attempt.engine != nil {
		outcome.Engine = attempt.engine.id
	}
	if status == rules.StatusOK && g.cfg.Settings.Rules.ReportsCost && g.plausibleUsage(attempt) {
		outcome.MeasuredWork = rules.Time(attempt.workMS * float64(rules.Millisecond))
		outcome.MeasuredMemoryMB = attempt.memoryMB
	}
	if g.cfg.Settings.Rules.LoadReport == rules.LoadReportInOutcomes {
		outcome.Load = engine.ParseReport(attempt.loadReport)
	}
	g.releaseRequest(req)
	g.stopFilling(attempt)
	g.tellModule(outcome)
}

// stopFilling: the rest of a result that is kept does not come from this attempt.
func (g *Gateway) stopFilling(attempt *engineAttempt) {
	if result := &attempt.request.result; result.source == attempt {
		result.source = nil
		g.handleSpool(spool.Event{Kind: spool.AttemptFailed, ID: result.handle.ID})
	}
}

// plausibleUsage answers whether an engine of that kind can have spent the work and the memory that an answer
// tells. Of one that was spoilt without a sign the module must not learn.
func (g *Gateway) plausibleUsage(attempt *engineAttempt) bool {
	kinds := g.cfg.Settings.Rules.Kinds
	if attempt.engine.kind >= len(kinds) {
		return true // nothing is known of it
	}
	kind := kinds[attempt.engine.kind]
	return (kind.Cores <= 0 || attempt.workMS <= kind.Cores*float64(attempt.latency/rules.Millisecond+1)) &&
		(kind.MemoryMB <= 0 || attempt.memoryMB <= kind.MemoryMB)
}

// ---- results

// receiveAnswer takes what an engine says of an attempt.
func (g *Gateway) receiveAnswer(attempt *engineAttempt, answer *engine.Answer) {
	if answer.Report != nil {
		attempt.loadReport = bytes.Clone(answer.Report)
	}
	switch answer.Kind {
	case engine.Progress: // the module asks for no notes of progress
	case engine.Overloaded:
		g.concludeAttempt(attempt, rules.StatusRejected)
	case engine.NotExecuted:
		g.concludeAttempt(attempt, rules.StatusSuperseded)
	case engine.Errored:
		// Engines answer an error to what bad clients ask, too: it tells of the engine if nothing good
		// came from that since the last one.
		attempt.blameless = attempt.engine.lastServed > attempt.engine.lastError
		attempt.engine.lastError = g.now
		g.concludeAttempt(attempt, rules.StatusError)
	case engine.Served:
		attempt.engine.lastServed = g.now
		g.receiveFirstPage(attempt, answer)
	case engine.FurtherPage:
		if g.results != nil {
			g.spoolPage(attempt, answer.Page, answer.Body)
		} else {
			g.receivePage(attempt, answer.Page, answer.Body)
		}
	default:
		g.malformedAnswer(attempt, "health for a request")
	}
}

// malformedAnswer ends an attempt whose answer makes no sense. It may have run, and may still run: its key rests.
func (g *Gateway) malformedAnswer(attempt *engineAttempt, what string) {
	g.log(Warn, "engine: unusable answer", Attr{"engine", attempt.engine.entry.ID}, Attr{"request", string(attempt.request.id)},
		Attr{"what", what})
	attempt.blameless = true
	g.abandonAttempt(attempt, rules.StatusReset)
}

func (g *Gateway) receiveFirstPage(attempt *engineAttempt, answer *engine.Answer) {
	total := max(answer.PageCount, 1)
	if g.results != nil {
		if attempt.firstPageReceived { // a second copy
			return
		}
		g.spoolFirstPage(attempt, answer, total)
		return
	}
	if attempt.firstPageReceived && total == len(attempt.pages) {
		g.receivePage(attempt, 0, answer.Body) // a second copy, unless its rows are others
		return
	}
	if attempt.firstPageReceived || total > g.limits.MaxPages {
		g.malformedAnswer(attempt, "served twice, or too many pages")
		return
	}
	attempt.firstPageReceived, attempt.latency = true, g.now-attempt.startedAt
	attempt.workMS, attempt.memoryMB = answer.WorkMS, answer.MemoryMB
	attempt.pages, attempt.pagesMissing = make([][]byte, total), total
	if g.receivePage(attempt, 0, answer.Body); !attempt.done && !attempt.terminating {
		g.pageQueue = append(g.pageQueue, attempt)
		g.requestPages()
	}
}

// requestPages asks for the pages of results in turn, while there is room for them.
func (g *Gateway) requestPages() {
	for len(g.pageQueue) > 0 {
		attempt := g.pageQueue[0]
		if !attempt.done && !attempt.terminating {
			if g.resultBytes+g.limits.MaxResultBytes > g.limits.ResultBufferBytes {
				return
			}
			g.resultBytes += g.limits.MaxResultBytes
			attempt.pagesRequested = true
			for n := 1; n < len(attempt.pages); n++ {
				attempt.conn.output = engine.AppendFetchPage(attempt.conn.output, string(attempt.request.id), n)
			}
			g.markDirty(&attempt.conn.outputBuffer)
		}
		g.pageQueue[0] = nil
		g.pageQueue = g.pageQueue[1:]
	}
	g.pageQueue = nil
}

// releasePages gives back the room of an attempt's pages.
func (g *Gateway) releasePages(attempt *engineAttempt) {
	attempt.pages = nil
	if attempt.pagesRequested {
		attempt.pagesRequested = false
		g.resultBytes -= g.limits.MaxResultBytes
		g.requestPages()
	}
}

func (g *Gateway) receivePage(attempt *engineAttempt, n int, body []byte) {
	switch {
	case !attempt.firstPageReceived || n < 0 || n >= len(attempt.pages):
		g.malformedAnswer(attempt, "a page that was not asked for")
		return
	case attempt.pages[n] != nil:
		if !bytes.Equal(attempt.pages[n], body) {
			g.malformedAnswer(attempt, "a page that comes twice, each time another")
		}
		return
	case attempt.pageBytes+len(body) > g.limits.MaxResultBytes:
		g.malformedAnswer(attempt, "the result is too large")
		return
	case len(body) > 0 && body[len(body)-1] != '\n':
		g.malformedAnswer(attempt, "a page ends within a row")
		return
	}
	if attempt.pages[n] = body; attempt.pagesMissing > 1 {
		attempt.pages[n] = append([]byte{}, body...) // the last one is used at once
	}
	attempt.pageBytes += len(body)
	if attempt.pagesMissing--; attempt.pagesMissing == 0 {
		g.completeResult(attempt)
	}
}

const columnCount = 3

var columnNames = []string{"c1", "c2", "c3"}

// completeResult: all pages are here. The first such attempt is the client's answer.
func (g *Gateway) completeResult(attempt *engineAttempt) {
	req := attempt.request
	if !req.answered {
		g.borrowBuffer(&req.client.outputBuffer)
		out, ok := appendResult(req.client.output, attempt.pages)
		if !ok {
			g.malformedAnswer(attempt, "a row has not three columns")
			return
		}
		req.client.output = out
		g.markDirty(&req.client.outputBuffer)
		req.served = true
		req.stats.served++
		req.stats.latencySum += g.now - req.arrivedAt
		g.finishRequest(req, outcomeServed)
	}
	if len(attempt.pages) > 1 { // of a single page the engine keeps nothing
		attempt.conn.output = engine.AppendRelease(attempt.conn.output, string(req.id))
		g.markDirty(&attempt.conn.outputBuffer)
	}
	g.concludeAttempt(attempt, rules.StatusOK)
}

// appendResult appends the whole result set. If a row can't be read, nothing is appended.
func appendResult(dst []byte, pages [][]byte) (out []byte, ok bool) {
	out, seq := mysql.AppendColumns(dst, 1, columnNames)
	for _, page := range pages {
		for len(page) > 0 {
			var row []byte
			row, page, _ = bytes.Cut(page, []byte{'\n'})
			if out, seq, ok = mysql.AppendRow(out, seq, row, columnCount); !ok {
				return dst, false
			}
		}
	}
	return mysql.AppendEnd(out, seq), true
}
