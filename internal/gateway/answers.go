package gateway

import (
	"bytes"

	"foxlane/internal/engine"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file takes what engines answer to attempts. Where results are passed on at once it collects the pages of a result in memory,
// within bounds, and writes the complete result to the client; nothing of a result is written before all of it is here.

// What is wrong with an answer, in the log.
const (
	badRow          = "a row has not three columns, or a page ends within one"
	unrequestedPage = "a page that was not asked for"
)

// receiveAnswer takes what an engine answers to an attempt.
func (g *Gateway) receiveAnswer(attempt *engineAttempt, answer *engine.Answer) {
	if answer.Report != nil {
		attempt.loadReport = bytes.Clone(answer.Report)
	}
	switch answer.Kind {
	case engine.Progress: // the module does not use it
	case engine.Overloaded:
		g.concludeAttempt(attempt, rules.StatusRejected)
	case engine.NotExecuted:
		g.concludeAttempt(attempt, rules.StatusSuperseded)
	case engine.Errored:
		// Engines answer an error to faulty queries too. So one counts against the engine only if the engine has
		// served nothing since its last error.
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
		g.malformedAnswer(attempt, "a health report for a request")
	}
}

// malformedAnswer ends an attempt whose answer makes no sense. It may have run, and may still run, so its outcome is a reset.
func (g *Gateway) malformedAnswer(attempt *engineAttempt, reason string) {
	g.log(Warn, "engine: malformed answer", Attr{keyEngine, attempt.engine.entry.ID}, Attr{keyRequest, string(attempt.request.id)},
		Attr{keyReason, reason})
	attempt.blameless = true
	g.abandonAttempt(attempt, rules.StatusReset)
}

// receiveFirstPage takes the answer that an attempt was served, with page 0 of its result. Engines may send it twice.
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

// requestPages asks for the further pages of results in the order in which their first pages came, while memory for them is left. Each
// result reserves as much as a result may have at most.
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

// releasePages gives back the memory that is reserved for an attempt's pages.
func (g *Gateway) releasePages(attempt *engineAttempt) {
	attempt.pages = nil
	if attempt.pagesRequested {
		attempt.pagesRequested = false
		g.resultBytes -= g.limits.MaxResultBytes
		g.requestPages()
	}
}

// receivePage takes a page where results are passed on at once. Duplicates are ignored.
func (g *Gateway) receivePage(attempt *engineAttempt, n int, body []byte) {
	switch {
	case !attempt.firstPageReceived || n < 0 || n >= len(attempt.pages):
		g.malformedAnswer(attempt, unrequestedPage)
		return
	case attempt.pages[n] != nil:
		if !bytes.Equal(attempt.pages[n], body) {
			g.malformedAnswer(attempt, "a page that comes twice, with other rows")
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
		attempt.pages[n] = append([]byte{}, body...) // the last one is used before body is reused
	}
	attempt.pageBytes += len(body)
	if attempt.pagesMissing--; attempt.pagesMissing == 0 {
		g.completeResult(attempt)
	}
}

// columnCount is of every result: the deployment's engines have no others.
const columnCount = 3

var columnNames = []string{"c1", "c2", "c3"}

// completeResult ends an attempt all pages of which are here. The first such attempt of a request is its client's answer.
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
		g.finishServed(req)
	}
	if len(attempt.pages) > 1 { // an engine keeps nothing of a result of one page
		attempt.conn.output = engine.AppendRelease(attempt.conn.output, string(req.id))
		g.markDirty(&attempt.conn.outputBuffer)
	}
	g.concludeAttempt(attempt, rules.StatusOK)
}

// appendResult appends a complete result set. If a row can't be read, ok is false and nothing is appended.
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
