package gateway

import (
	"bytes"

	"foxlane/internal/engine"
	"foxlane/internal/memory"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file handles the engines' answers to attempts. Without a spool, it collects the pages of a result in
// memory, within limits, and writes the result to the client only once it is complete.

// Reasons why answers are malformed, as logged.
const (
	malformedRow    = "a row has not three columns, or a page ends within one"
	unrequestedPage = "a page that was not asked for"
)

// receiveAnswer handles an engine's answer to an attempt.
func (g *Gateway) receiveAnswer(attempt *engineAttempt, answer *engine.Answer) {
	if answer.Report != nil {
		attempt.loadReport = bytes.Clone(answer.Report)
	}
	switch answer.Kind {
	case engine.Progress: // not used by the module
	case engine.Overloaded:
		g.concludeAttempt(attempt, rules.StatusRejected)
	case engine.NotExecuted:
		g.concludeAttempt(attempt, rules.StatusNotExecuted)
	case engine.Errored:
		// A faulty query causes an error as well, so an error counts against the engine only if the engine has served
		// nothing since its last error.
		attempt.notEngineFault = attempt.engine.lastServed > attempt.engine.lastError
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
		g.failMalformedAnswer(attempt, "a health report for a request")
	}
}

// failMalformedAnswer ends an attempt whose answer is invalid. The query may have run or may still run, so the status
// is a reset.
func (g *Gateway) failMalformedAnswer(attempt *engineAttempt, reason string) {
	g.log(Warn, "engine: malformed answer", Attr{keyEngine, attempt.engine.entry.ID}, Attr{keyRequest, string(attempt.request.id)},
		Attr{keyReason, reason})
	attempt.notEngineFault = true
	g.abandonAttempt(attempt, rules.StatusReset)
}

// receiveFirstPage handles the answer of a served attempt, which has page 0 of the result. Engines may send it twice.
func (g *Gateway) receiveFirstPage(attempt *engineAttempt, answer *engine.Answer) {
	total := max(answer.PageCount, 1)
	if g.results != nil {
		if attempt.firstPageReceived { // a duplicate
			return
		}
		g.spoolFirstPage(attempt, answer, total)
		return
	}
	if attempt.firstPageReceived && total == len(attempt.pages) {
		g.receivePage(attempt, 0, answer.Body) // a duplicate, unless its rows differ
		return
	}
	if attempt.firstPageReceived || total > g.limits.MaxPages {
		g.failMalformedAnswer(attempt, "served twice, or too many pages")
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

// requestPages requests the remaining pages of results in the order of their first pages, while memory is
// available. Each result reserves MaxResultBytes.
func (g *Gateway) requestPages() {
	for len(g.pageQueue) > 0 {
		attempt := g.pageQueue[0]
		if !attempt.done && !attempt.terminating {
			if !g.memory.Fits(memory.Results, int64(g.limits.MaxResultBytes)) {
				return
			}
			g.memory.Add(memory.Results, int64(g.limits.MaxResultBytes))
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

// releasePages releases the memory reserved for an attempt's pages.
func (g *Gateway) releasePages(attempt *engineAttempt) {
	attempt.pages = nil
	if attempt.pagesRequested {
		attempt.pagesRequested = false
		g.memory.Add(memory.Results, -int64(g.limits.MaxResultBytes))
		g.requestPages()
	}
}

// receivePage handles a page of a result without a spool. Identical duplicates are ignored.
func (g *Gateway) receivePage(attempt *engineAttempt, n int, body []byte) {
	switch {
	case !attempt.firstPageReceived || n < 0 || n >= len(attempt.pages):
		g.failMalformedAnswer(attempt, unrequestedPage)
		return
	case attempt.pages[n] != nil:
		if !bytes.Equal(attempt.pages[n], body) {
			g.failMalformedAnswer(attempt, "a page that comes twice, with other rows")
		}
		return
	case attempt.pageBytes+len(body) > g.limits.MaxResultBytes:
		g.failMalformedAnswer(attempt, "the result is too large")
		return
	case len(body) > 0 && body[len(body)-1] != '\n':
		g.failMalformedAnswer(attempt, "a page ends within a row")
		return
	}
	if attempt.pages[n] = body; attempt.pagesMissing > 1 {
		attempt.pages[n] = append([]byte{}, body...) // copied because body is reused; the last page is used before that
	}
	attempt.pageBytes += len(body)
	if attempt.pagesMissing--; attempt.pagesMissing == 0 {
		g.completeResult(attempt)
	}
}

// columnCount is the number of columns of every result: the deployment's engines return no others.
const columnCount = 3

// columnNames are the column names sent to clients.
var columnNames = []string{"c1", "c2", "c3"}

// completeResult ends an attempt once all its pages have been received. The first complete attempt of a request
// answers the client.
func (g *Gateway) completeResult(attempt *engineAttempt) {
	req := attempt.request
	if !req.answered {
		g.borrowBuffer(&req.client.outputBuffer)
		out, ok := appendResult(req.client.output, attempt.pages)
		if !ok {
			g.failMalformedAnswer(attempt, "a row has not three columns")
			return
		}
		req.client.output = out
		g.markDirty(&req.client.outputBuffer)
		g.finishServed(req)
	}
	if len(attempt.pages) > 1 { // engines keep only results of several pages
		attempt.conn.output = engine.AppendRelease(attempt.conn.output, string(req.id))
		g.markDirty(&attempt.conn.outputBuffer)
	}
	g.concludeAttempt(attempt, rules.StatusOK)
}

// appendResult appends a complete result set. If a row is malformed, ok is false and nothing is appended.
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
