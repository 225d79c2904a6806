package gateway

import (
	"math"

	"foxlane/internal/admission"
	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file manages the attempts of requests: their start, their change or cancellation by the module, and their
// end. The module is notified of each end exactly once. An attempt that was written counts as possibly executed,
// unless the engine or the connection proves that it did not run.

// engineAttempt is one attempt to run a request on an engine.
type engineAttempt struct {
	request         *queryRequest
	index           int
	engine          *engineState
	engineStarted   int64       // start time of the engine's process in the endpoint list when the attempt started
	conn            *engineConn // nil if no connection was ever assigned
	sent            bool        // it was written to an established connection
	endOffset       int64       // offset of its end in the bytes written to its connection
	done            bool
	status          rules.Status // valid once done
	terminating     bool         // ended by the gateway or its connection, but its engine may still run it
	notEngineFault  bool         // its failure does not count against the engine
	localExhaustion bool         // it got no connection because a local resource was exhausted
	startedAt       rules.Time   // when the module requested it
	deadline        rules.Time
	priority        int

	firstPageReceived bool
	pagesRequested    bool       // the pages after the first were requested
	latency           rules.Time // time to the first page, or to its end if there was none
	pages             [][]byte   // without a spool: the pages; nil elements were not received yet
	pagesMissing      int        // number of pages not received yet
	pageBytes         int        // total size of pages
	totalPages        int        // with a spool: number of pages of the result
	firstPage         []byte     // with a spool: page 0, until the attempt fills the result
	workMS            float64    // work reported by the engine, in core milliseconds
	memoryMB          float64    // memory use reported by the engine
	loadReport        []byte     // latest load report received with an answer
}

// startAttempt starts an attempt that the module requested.
func (g *Gateway) startAttempt(send rules.Send) {
	req := g.requests[send.ID]
	if req == nil {
		return
	}
	attempt := &engineAttempt{
		request:   req,
		index:     len(req.attempts),
		engine:    g.engines[send.Engine],
		startedAt: g.now,
		deadline:  req.dueAt,
		priority:  req.priority,
	}
	if attempt.engine != nil {
		attempt.engineStarted = attempt.engine.entry.Started
	}
	req.attempts = append(req.attempts, attempt)
	g.pressure.attempts++
	req.inFlight++
	if g.cfg.Trace {
		g.traceAttempt(attempt)
	}
	req.stats.attempts++
	req.stats.attemptsInFlight++
	if req.inFlight == 1 {
		g.notifyAdmission(admission.Event{Kind: admission.RequestForwarded, Slot: req.admissionSlot})
	}
	if send.Timeout != 0 {
		attempt.deadline = min(attempt.deadline, g.now+send.Timeout)
	}
	maxAttempts := g.cfg.Settings.Rules.Limits.MaxAttempts
	switch {
	case req.answered, attempt.engine == nil, maxAttempts > 0 && len(req.attempts) > maxAttempts:
		g.concludeAttempt(attempt, rules.StatusNotExecuted)
	case attempt.deadline <= g.now:
		g.concludeAttempt(attempt, rules.StatusTimeout)
	default:
		g.timers.add(timer{at: attempt.deadline, kind: timerAttempt, attempt: attempt})
		g.assignConn(attempt)
	}
}

// setAttemptOptions sets the memory and the priority of a request as the module decided. A changed priority is also
// sent for running attempts.
func (g *Gateway) setAttemptOptions(options rules.SetAttemptOptions) {
	req := g.requests[options.ID]
	if req == nil {
		return
	}
	req.memoryMB, req.priority = int64(math.Ceil(options.MemoryMB)), options.Priority
	for _, attempt := range req.attempts {
		if attempt.done || attempt.terminating || attempt.priority == options.Priority {
			continue
		}
		attempt.priority = options.Priority
		if attempt.sent {
			attempt.conn.output = engine.AppendPriority(attempt.conn.output, string(req.id), options.Priority)
			g.markDirty(&attempt.conn.outputBuffer)
		}
	}
}

// cancelAttempt cancels an attempt that the module no longer needs.
func (g *Gateway) cancelAttempt(cancel rules.Cancel) {
	req := g.requests[cancel.ID]
	if req == nil || cancel.Attempt < 0 || cancel.Attempt >= len(req.attempts) || req.attempts[cancel.Attempt].done {
		return
	}
	g.abandonAttempt(req.attempts[cancel.Attempt], rules.StatusCancelled)
}

// abandonAttempt ends an attempt from the gateway's side and notifies its engine.
func (g *Gateway) abandonAttempt(attempt *engineAttempt, status rules.Status) {
	if attempt.sent && !attempt.terminating && !attempt.conn.closed {
		id := string(attempt.request.id)
		if attempt.firstPageReceived {
			attempt.conn.output = engine.AppendRelease(attempt.conn.output, id)
		} else {
			attempt.conn.output = engine.AppendCancel(attempt.conn.output, id)
		}
		g.flushNow(&attempt.conn.outputBuffer) // ahead of the next attempt, whose connection may come first in the batch
		g.retireIfSilent(attempt)
	}
	g.terminateAttempt(attempt, status)
}

// terminateAttempt ends an attempt that its engine may still run until the cancel arrives. If attempts of a request
// must not run concurrently, the next attempt could reach a nearer engine before the cancel reaches the first. The
// module is therefore notified only after the time that the connection took to establish, which covers the transit
// to the engine. It is notified at once if no attempt can follow, or if the engine ends the attempt by its own
// deadline.
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

// concludeAttempt marks an attempt as done and reports its outcome to the module. It has no effect on one that is
// done already.
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
		g.notifyAdmission(admission.Event{Kind: admission.EngineTimeUsed, Slot: req.admissionSlot, EngineTime: attempt.latency})
	}
	if status != rules.StatusOK && status != rules.StatusNotExecuted && !attempt.localExhaustion && attempt.targetsCurrentProcess() {
		attempt.engine.lastFailure = g.now
	}
	outcome := rules.Outcome{
		ID:             req.id,
		Attempt:        attempt.index,
		Status:         status,
		Latency:        attempt.latency,
		RequestEnded:   req.answered || req.result.engineDone,
		NotEngineFault: attempt.notEngineFault,
	}
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
	g.notifyModule(outcome)
}

// targetsCurrentProcess reports whether the engine's process is the one that the endpoint list named when the attempt
// started. If not, the end of the attempt says nothing about the current process.
func (a *engineAttempt) targetsCurrentProcess() bool {
	return a.engine != nil && a.engineStarted == a.engine.entry.Started
}

// plausibleUsage reports whether an engine of this kind can have used the reported work and memory. Figures that
// were corrupted in transit must not reach the module's estimates.
func (g *Gateway) plausibleUsage(attempt *engineAttempt) bool {
	kinds := g.cfg.Settings.Rules.Kinds
	if attempt.engine.kind >= len(kinds) {
		return true // the limits of this kind are unknown
	}
	kind := kinds[attempt.engine.kind]
	return (kind.Cores <= 0 || attempt.workMS <= kind.Cores*float64(attempt.latency/rules.Millisecond+1)) &&
		(kind.MemoryMB <= 0 || attempt.memoryMB <= kind.MemoryMB)
}
