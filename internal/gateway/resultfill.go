package gateway

import (
	"bytes"
	"cmp"
	"foxlane/internal/engine"
	"foxlane/internal/mysql"
	"foxlane/internal/spool"
	"foxlane/rules"
	"slices"
)

// This file takes results from engines to the spool: one attempt at a time fills a result, and the engine is free once it has
// given all, whatever becomes of the client.

// spoolFirstPage takes a first page where results are kept.
func (g *Gateway) spoolFirstPage(attempt *engineAttempt, answer *engine.Answer, total int) {
	if !pageWellFormed(answer.Body) {
		g.malformedAnswer(attempt, "a row has not three columns, or a page ends within one")
		return
	}
	attempt.firstPageReceived, attempt.latency = true, g.now-attempt.startedAt
	attempt.workMS, attempt.memoryMB = answer.WorkMS, answer.MemoryMB
	attempt.totalPages, attempt.firstPage = total, bytes.Clone(answer.Body)
	if attempt.firstPage == nil {
		attempt.firstPage = []byte{}
	}
	g.startFilling(attempt.request)
}

// startFilling lets the first attempt that has answered give its pages, if there is room and none does yet.
func (g *Gateway) startFilling(req *queryRequest) {
	if !req.result.reserved || req.result.source != nil || req.answered || req.result.engineDone {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.firstPageReceived && !attempt.done && !attempt.terminating {
			req.result.source = attempt
			first := attempt.firstPage
			attempt.firstPage = nil
			g.handleSpool(spool.Event{Kind: spool.PageArrived, ID: req.result.handle.ID, PageCount: attempt.totalPages, Data: first})
			return
		}
	}
}

// spoolPage takes a further page.
func (g *Gateway) spoolPage(attempt *engineAttempt, n int, body []byte) {
	req := attempt.request
	switch {
	case !attempt.firstPageReceived || n < 0 || n >= attempt.totalPages || req.result.source != attempt:
		g.malformedAnswer(attempt, "a page that was not asked for")
	case !pageWellFormed(body):
		g.malformedAnswer(attempt, "a row has not three columns, or a page ends within one")
	default:
		data := append(make([]byte, 0, len(body)), body...)
		g.handleSpool(spool.Event{Kind: spool.PageArrived, ID: req.result.handle.ID, Index: n, PageCount: attempt.totalPages, Data: data})
	}
}

// pageWellFormed answers whether a page holds whole rows of as many columns as all have.
func pageWellFormed(page []byte) bool {
	for len(page) > 0 {
		row, rest, ok := bytes.Cut(page, []byte{'\n'})
		if !ok || bytes.Count(row, []byte{'\t'}) != columnCount-1 {
			return false
		}
		page = rest
	}
	return true
}

// stopFilling: the rest of a result that is kept does not come from this attempt.
func (g *Gateway) stopFilling(attempt *engineAttempt) {
	if result := &attempt.request.result; result.source == attempt {
		result.source = nil
		g.handleSpool(spool.Event{Kind: spool.AttemptFailed, ID: result.handle.ID})
	}
}

// resultReceived: the engine has given all and is free, whatever becomes of the client.
func (g *Gateway) resultReceived(req *queryRequest) {
	attempt := req.result.source
	req.result.source, req.result.engineDone = nil, true
	if attempt == nil || attempt.done {
		return
	}
	if attempt.totalPages > 1 { // of a single page the engine keeps nothing
		attempt.conn.output = engine.AppendRelease(attempt.conn.output, string(req.id))
		g.markDirty(&attempt.conn.outputBuffer)
	}
	g.concludeAttempt(attempt, rules.StatusOK)
	g.timers.add(timer{at: req.dueAt, kind: timerResultStored, request: req})
}

// shortenStoreDeadlines brings the deadlines of what waits for the disk alone forward: the gateway ends.
func (g *Gateway) shortenStoreDeadlines() {
	if g.results == nil {
		return
	}
	var waiting []*queryRequest
	for _, req := range g.requests {
		if req.result.engineDone && !req.answered {
			waiting = append(waiting, req)
		}
	}
	slices.SortFunc(waiting, func(left, right *queryRequest) int { return cmp.Compare(left.id, right.id) })
	for _, req := range waiting {
		g.timers.add(timer{at: g.now + g.limits.ShutdownTimeout, kind: timerResultStored, request: req})
	}
}

// resultLost answers a request whose result can't be kept. It has run: only of what may be repeated freely
// the client hears that asking again is harmless.
func (g *Gateway) resultLost(req *queryRequest, why spool.Reason) {
	if req.answered {
		return
	}
	req.result.engineDone, req.endReason = true, EndResultLost
	if attempt := req.result.source; attempt != nil {
		req.result.source = nil
		attempt.blameless = true
		g.abandonAttempt(attempt, rules.StatusCancelled)
	}
	if safe := g.cfg.Settings.Rules.Classes[req.class].Idempotency == rules.Idempotent; safe && why != spool.ReasonTooLarge {
		g.writeRejection(req, 0)
	} else {
		req.stats.failed++
		g.writeErr(req.client, mysql.CodeUnknownError, "the result could not be kept: "+why.String())
		g.finishRequest(req, outcomeFailed)
	}
	g.tellModule(rules.ClientGone{ID: req.id})
}
