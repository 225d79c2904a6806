package gateway

import (
	"bytes"
	"cmp"
	"slices"

	"foxlane/internal/engine"
	"foxlane/internal/mysql"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file takes results from engines to the spool. One attempt at a time fills a result, and its engine is free once it has
// given all pages, however slowly the client reads.

// spoolFirstPage takes a first page where results are stored.
func (g *Gateway) spoolFirstPage(attempt *engineAttempt, answer *engine.Answer, total int) {
	if !pageWellFormed(answer.Body) {
		g.malformedAnswer(attempt, badRow)
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

// startFilling takes the pages of the first attempt that has answered, if capacity is reserved and no other attempt fills the result.
func (g *Gateway) startFilling(req *queryRequest) {
	if !req.result.reserved || req.result.source != nil || req.answered || req.result.engineDone {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.firstPageReceived && !attempt.done && !attempt.terminating {
			req.result.source = attempt
			first := attempt.firstPage
			attempt.firstPage = nil
			g.handleSpool(spool.PageArrived{ID: req.result.handle.ID, PageCount: attempt.totalPages, Data: first})
			return
		}
	}
}

// spoolPage takes a further page where results are stored.
func (g *Gateway) spoolPage(attempt *engineAttempt, n int, body []byte) {
	req := attempt.request
	switch {
	case !attempt.firstPageReceived || n < 0 || n >= attempt.totalPages || req.result.source != attempt:
		g.malformedAnswer(attempt, unrequestedPage)
	case !pageWellFormed(body):
		g.malformedAnswer(attempt, badRow)
	default:
		data := append(make([]byte, 0, len(body)), body...)
		g.handleSpool(spool.PageArrived{ID: req.result.handle.ID, Index: n, PageCount: attempt.totalPages, Data: data})
	}
}

// pageWellFormed reports whether a page consists of complete rows, each of columnCount columns.
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

// stopFilling is called when an attempt ends: a result that it fills must come from another one, from the start.
func (g *Gateway) stopFilling(attempt *engineAttempt) {
	if result := &attempt.request.result; result.source == attempt {
		result.source = nil
		g.handleSpool(spool.AttemptFailed{ID: result.handle.ID})
	}
}

// resultReceived ends the attempt that has filled a result: the engine is free, whatever becomes of the client.
func (g *Gateway) resultReceived(req *queryRequest) {
	attempt := req.result.source
	req.result.source, req.result.engineDone = nil, true
	if attempt == nil || attempt.done {
		return
	}
	if attempt.totalPages > 1 { // an engine keeps nothing of a result of one page
		attempt.conn.output = engine.AppendRelease(attempt.conn.output, string(req.id))
		g.markDirty(&attempt.conn.outputBuffer)
	}
	g.concludeAttempt(attempt, rules.StatusOK)
	g.timers.add(timer{at: req.dueAt, kind: timerResultStored, request: req})
}

// shortenStoreDeadlines gives results that wait for the disk alone until the end of the shutdown.
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
	// The order in which timers of one time are added decides in which order they run, and must not be that of a map.
	slices.SortFunc(waiting, func(left, right *queryRequest) int { return cmp.Compare(left.id, right.id) })
	for _, req := range waiting {
		g.timers.add(timer{at: g.now + g.limits.ShutdownTimeout, kind: timerResultStored, request: req})
	}
}

// resultLost answers a request whose result can't be stored. The query has run, so only where it is idempotent is the client
// told that a retry is harmless. A result that is too large would be too large again.
func (g *Gateway) resultLost(req *queryRequest, reason spool.Reason) {
	if req.answered {
		return
	}
	req.result.engineDone, req.endReason = true, EndResultLost
	if attempt := req.result.source; attempt != nil {
		req.result.source = nil
		attempt.blameless = true
		g.abandonAttempt(attempt, rules.StatusCancelled)
	}
	if idempotent := g.cfg.Settings.Rules.Classes[req.class].Idempotency == rules.Idempotent; idempotent && reason != spool.ReasonTooLarge {
		g.writeRejection(req, 0)
	} else {
		req.stats.failed++
		g.writeErr(req.client, mysql.CodeUnknownError, "the result could not be kept: "+reason.String())
		g.finishRequest(req, outcomeFailed)
	}
	g.tellModule(rules.ClientGone{ID: req.id})
}
