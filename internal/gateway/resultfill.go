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

// This file transfers results from engines to the spool. One attempt at a time fills a result. Its engine is
// released once all pages are received, however slowly the client reads.

// spoolFirstPage handles the first page of a result that is stored in the spool.
func (g *Gateway) spoolFirstPage(attempt *engineAttempt, answer *engine.Answer, total int) {
	if !pageWellFormed(answer.Body) {
		g.failMalformedAnswer(attempt, malformedRow)
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

// startFilling fills the result from the first attempt that has answered, if capacity is reserved and no other
// attempt fills it.
func (g *Gateway) startFilling(req *queryRequest) {
	if !req.result.reserved || req.result.source != nil || req.answered || req.result.engineDone {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.firstPageReceived && !attempt.done && !attempt.terminating {
			req.result.source = attempt
			first := attempt.firstPage
			attempt.firstPage = nil
			g.notifySpool(spool.PageArrived{ID: req.result.handle.ID, PageCount: attempt.totalPages, Data: first})
			return
		}
	}
}

// spoolPage handles a later page of a result that is stored in the spool.
func (g *Gateway) spoolPage(attempt *engineAttempt, n int, body []byte) {
	req := attempt.request
	switch {
	case !attempt.firstPageReceived || n < 0 || n >= attempt.totalPages || req.result.source != attempt:
		g.failMalformedAnswer(attempt, unrequestedPage)
	case !pageWellFormed(body):
		g.failMalformedAnswer(attempt, malformedRow)
	default:
		data := append(make([]byte, 0, len(body)), body...)
		g.notifySpool(spool.PageArrived{ID: req.result.handle.ID, Index: n, PageCount: attempt.totalPages, Data: data})
	}
}

// pageWellFormed reports whether a page consists of complete rows of columnCount columns.
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

// stopFilling discards the result if the ended attempt was filling it. Another attempt must fill it from the start.
func (g *Gateway) stopFilling(attempt *engineAttempt) {
	if result := &attempt.request.result; result.source == attempt {
		result.source = nil
		g.notifySpool(spool.AttemptFailed{ID: result.handle.ID})
	}
}

// handleResultReceived ends the attempt that has filled a result. Its engine is released, whether or not the client
// reads the result.
func (g *Gateway) handleResultReceived(req *queryRequest) {
	attempt := req.result.source
	req.result.source, req.result.engineDone = nil, true
	if attempt == nil || attempt.done {
		return
	}
	if attempt.totalPages > 1 { // engines keep only results of several pages
		attempt.conn.output = engine.AppendRelease(attempt.conn.output, string(req.id))
		g.markDirty(&attempt.conn.outputBuffer)
	}
	g.concludeAttempt(attempt, rules.StatusOK)
	due := req.dueAt
	if g.stopping {
		due = min(due, g.answersDue)
	}
	g.timers.add(timer{at: due, kind: timerResultStored, request: req})
}

// shortenStoreDeadlines gives results that only wait for the disk until the deadline of the shutdown.
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
	// Timers due at the same time run in the order in which they were added, which must not depend on map iteration.
	slices.SortFunc(waiting, func(left, right *queryRequest) int { return cmp.Compare(left.id, right.id) })
	for _, req := range waiting {
		g.timers.add(timer{at: g.answersDue, kind: timerResultStored, request: req})
	}
}

// answerLostResult answers a request whose result cannot be stored. The query has run, so the answer permits a retry
// only if the class is idempotent, and not if the result is too large, since it would be too large again.
func (g *Gateway) answerLostResult(req *queryRequest, reason spool.Reason) {
	if req.answered {
		return
	}
	req.result.engineDone, req.endReason = true, EndResultLost
	if attempt := req.result.source; attempt != nil {
		req.result.source = nil
		attempt.notEngineFault = true
		g.abandonAttempt(attempt, rules.StatusCancelled)
	}
	if g.classIdempotent(req.class) && reason != spool.ReasonTooLarge {
		g.writeRejection(req, 0)
	} else {
		req.stats.failed++
		g.writeErr(req.client, mysql.CodeUnknownError, "the result could not be kept: "+reason.String())
		g.finishRequest(req, outcomeFailed)
	}
	g.notifyModule(rules.ClientGone{ID: req.id})
}
