package gateway

import (
	"cmp"
	"slices"

	"foxlane/internal/memory"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file keeps the resident memory of the process within its limit, whatever takes it: it has memory collected, takes
// less input, and as the last resort rejects requests that have not run. It also estimates what the state beside the
// account takes.

const (
	collectInterval  = rules.Second            // between two collections, each of which may take half of it on a tenth of a core
	maxAcceptPause   = 300 * rules.Millisecond // connections that the system has accepted wait at most this long
	acceptPauseEvery = rules.Second            // from the begin of one pause to the next
	pressureShare    = 4                       // under pressure the event queue has this part of its size
	shedFraction     = 4                       // a sample rejects at most this part of the requests that may be rejected, rounded up
)

// memoryPressure is the state of the measures against too much resident memory.
type memoryPressure struct {
	memory.Pressure
	holders     memory.Holders
	collectedAt rules.Time // when memory was last collected
	pausedAt    rules.Time // when accepting was last paused
	paused      bool
	limited     bool // the event queue is limited
	shed        int  // requests rejected since the last report

	batchOutput int64 // bytes of the writes emitted since the last Flush
	attempts    int   // attempts of all open requests
}

// handleMemorySampled takes measures by the resident memory of the process.
func (g *Gateway) handleMemorySampled(e MemorySampled) {
	p := &g.pressure
	previous := p.Observe(e.ResidentBytes)
	level := p.Level()
	if level != previous {
		g.log(Info, "memory: level changed", Attr{"level", level.String()}, Attr{"was", previous.String()}, Attr{"resident_kb", e.ResidentBytes >> 10})
	}
	if level > previous && (level == memory.Critical || previous == memory.Normal) {
		g.reportMemory()
	}
	g.limitInput(level >= memory.High)
	if level >= memory.High && g.now-p.collectedAt >= collectInterval {
		p.collectedAt = g.now
		g.emit(CollectMemory{})
	}
	if level == memory.Critical {
		g.shedForMemory(p.Excess(e.ResidentBytes))
	}
}

// limitInput makes the host take less input while the memory is high, and as usual otherwise. Accepting is paused for a
// bounded time only.
func (g *Gateway) limitInput(limited bool) {
	p := &g.pressure
	if limited != p.limited {
		p.limited = limited
		size := g.limits.EventQueueBytes
		if limited {
			size /= pressureShare
		}
		g.emit(LimitEventQueue{Bytes: size})
	}
	pause := limited && !g.stopping && (p.paused && g.now-p.pausedAt < maxAcceptPause || !p.paused && g.now-p.pausedAt >= acceptPauseEvery)
	if pause == p.paused {
		return
	}
	if p.paused = pause; pause {
		p.pausedAt = g.now
	}
	g.emit(PauseAccepting{Paused: pause})
}

// memoryCritical reports whether new requests are rejected for lack of memory.
func (g *Gateway) memoryCritical() bool { return g.pressure.Level() == memory.Critical }

// shedForMemory rejects requests that have not run, those first that keep most memory, until they have kept the given
// number of bytes.
func (g *Gateway) shedForMemory(excess int64) {
	shed := g.sheddableRequests()
	for _, req := range shed[:(len(shed)+shedFraction-1)/shedFraction] {
		if excess <= 0 {
			return
		}
		excess -= requestBytes + req.keptBytes
		g.pressure.shed++
		g.reject(req, g.limits.FlushTimeout, EndMemory)
		g.notifyModule(rules.ClientGone{ID: req.id})
	}
}

// sheddableRequests returns the requests in the decision module that provably have not run, by what they keep and then by
// ID.
func (g *Gateway) sheddableRequests() (shed []*queryRequest) {
	for _, req := range g.requests {
		ran := slices.ContainsFunc(req.attempts, func(attempt *engineAttempt) bool {
			return !attempt.done || !attempt.status.NeverExecuted()
		})
		if req.submitted && !req.answered && !ran {
			shed = append(shed, req)
		}
	}
	slices.SortFunc(shed, func(left, right *queryRequest) int {
		return cmp.Or(cmp.Compare(right.keptBytes, left.keptBytes), cmp.Compare(left.id, right.id))
	})
	return shed
}

// rejectForMemory answers a query that is not opened because too much is open, or memory is short.
func (g *Gateway) rejectForMemory(client *clientConn) {
	g.log(Warn, "client: too many requests in flight, request rejected", Attr{keyRequests, len(g.requests)})
	g.memoryStats.rejected++
	retryAfter := capRetryAfter(&g.cfg.Settings.Rules.Limits, g.limits.FlushTimeout)
	g.writeErr(client, mysql.CodeUserLimitReached, withRetryAfter("too much is open", retryAfter))
}

// Estimated sizes in bytes, with what belongs to each in the reducer and in the host. They were taken from heap profiles.
const (
	clientBytes     = 3 << 10
	requestBytes    = 1400
	attemptBytes    = 500
	formerBytes     = 150 // of a request that is remembered after its end
	engineConnBytes = 5 << 10
	timerBytes      = 150 // with its token, at a heap that is half full
	effectBytes     = 100
)

// updateHolders estimates the state beside the account, before the effects of a batch are returned.
func (g *Gateway) updateHolders() {
	h := &g.pressure.holders
	h.Set(memory.Clients, int64(len(g.clients)*clientBytes))
	h.Set(memory.Requests, int64(len(g.requests)*requestBytes+g.pressure.attempts*attemptBytes+len(g.former.ids)*formerBytes))
	h.Set(memory.EngineConns, int64(len(g.engineConns)*engineConnBytes))
	h.Set(memory.Timers, int64(cap(g.timers.heap)*timerBytes))
	h.Set(memory.Effects, int64(len(g.effects.list)*effectBytes))
	h.Set(memory.BatchOutput, g.pressure.batchOutput)
	h.Set(memory.FreeBuffers, int64(g.freeBufferBytes))
	h.Set(memory.ModuleState, g.module.MemoryBytes())
	h.Set(memory.HeldPages, g.heldPageBytes())
	g.pressure.batchOutput = 0
}

// heldPageBytes returns the size of the results that wait for memory for their further pages.
func (g *Gateway) heldPageBytes() (sum int64) {
	for _, attempt := range g.pageQueue {
		sum += int64(attempt.pageBytes + len(attempt.pages)*pageSliceBytes)
	}
	return sum
}

// pageSliceBytes is the size of the slice of one page.
const pageSliceBytes = 24

// holderAttrs returns the sizes of the holders for a log line, and resets their peaks.
func (g *Gateway) holderAttrs() (attrs []Attr) {
	h := &g.pressure.holders
	for _, holding := range h.All() {
		if holding.Peak > 0 {
			name := "held_by_" + holding.String()
			attrs = append(attrs, Attr{name, holding.Bytes}, Attr{name + "_peak", holding.Peak})
		}
	}
	h.ResetPeaks()
	return attrs
}
