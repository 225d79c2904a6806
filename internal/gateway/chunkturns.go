package gateway

import (
	"slices"

	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file bounds the chunks that readers of stored results request in a batch, so that many clients that read at once do not
// take much memory. The others have their turns in the next batches, in order.

// chunkTurns are the requests for chunks that wait for the next batch.
type chunkTurns struct {
	queue []chunkRequest
	sent  int // requests since the last Flush
}

// chunkRequest is a reader's request for its first chunk or its next one.
type chunkRequest struct {
	reader *resultReader
	event  spool.Event
}

const minChunksPerBatch = 2

// chunksPerBatch returns the limit of the requests in a batch. Their chunks take half of the memory for results.
func (g *Gateway) chunksPerBatch() int {
	return max(minChunksPerBatch, g.limits.ResultBufferBytes/2/int(g.cfg.Site.Spool.Budget.ChunkBytes))
}

// requestInTurn requests a chunk from the spool, or queues the request for the next batches.
func (g *Gateway) requestInTurn(reader *resultReader, event spool.Event) {
	turns := &g.results.turns
	if len(turns.queue) > 0 || turns.sent >= g.chunksPerBatch() {
		turns.queue = append(turns.queue, chunkRequest{reader, event})
		return
	}
	turns.sent++
	g.notifySpool(event)
}

// serveTurns sends the requests that have their turn in this batch.
func (g *Gateway) serveTurns() {
	if g.results == nil {
		return
	}
	turns, limit := &g.results.turns, g.chunksPerBatch()
	for len(turns.queue) > 0 && turns.sent < limit {
		next := turns.queue[0]
		turns.queue = turns.queue[1:]
		turns.sent++
		g.notifySpool(next.event)
	}
}

// wakeAt returns the time of the next batch's TimerFired, as of now, if requests wait for it.
func (t *chunkTurns) wakeAt(now rules.Time) wakeTime {
	if len(t.queue) == 0 {
		return 0
	}
	return wakeTime(now)
}

// remove removes the request of a reader that has left.
func (t *chunkTurns) remove(reader *resultReader) {
	t.queue = slices.DeleteFunc(t.queue, func(request chunkRequest) bool { return request.reader == reader })
}
