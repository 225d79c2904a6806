package gateway

import (
	"math"

	"foxlane/internal/admission"
	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file owns attempts: how one starts at an engine, how the module changes or cancels it, and how it ends. The module is told of
// each end exactly once, and never more than is known: an attempt that was written may have run unless the engine or the connection
// proves that it did not.

// engineAttempt is one attempt to have an engine run a request.
type engineAttempt struct {
	request         *queryRequest
	index           int
	engine          *engineState
	engineStarted   int64       // when the engine's process started, by the list as it was then
	conn            *engineConn // nil: it never had one
	sent            bool        // it was written to a connection that was up
	endOffset       int64       // where it ends in all that is written on its connection
	done            bool
	status          rules.Status // once done
	terminating     bool         // ended by us or by its connection, but its engine may not know that yet
	blameless       bool         // how it ends does not count against its engine
	localExhaustion bool         // it had no connection because a local resource was exhausted
	startedAt       rules.Time   // when the module asked for it
	deadline        rules.Time
	priority        int

	firstPageReceived bool
	pagesRequested    bool       // the other pages were asked for
	latency           rules.Time // until the first page, or until its end
	pages             [][]byte   // where results are passed on at once; nil: not received yet
	pagesMissing      int        // of pages
	pageBytes         int        // in pages
	totalPages        int        // where results are stored
	firstPage         []byte     // where results are stored: page 0 until the attempt fills the result
	workMS            float64    // that the engine reports it has spent
	memoryMB          float64    // that the engine reports it has used
	loadReport        []byte     // the latest load report that came with an answer
}

// startAttempt starts an attempt that the module has asked for.
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
	maxAttempts := g.cfg.Settings.Rules.Limits.MaxAttempts
	switch {
	case req.answered, attempt.engine == nil, maxAttempts > 0 && len(req.attempts) > maxAttempts:
		g.concludeAttempt(attempt, rules.StatusSuperseded)
	case attempt.deadline <= g.now:
		g.concludeAttempt(attempt, rules.StatusTimeout)
	default:
		g.timers.add(timer{at: attempt.deadline, kind: timerAttempt, attempt: attempt})
		g.assignConn(attempt)
	}
}

// setTerms takes over the memory and the priority that the module gives to a request, for attempts that run too.
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

// cancelAttempt ends an attempt that the module has no more use for.
func (g *Gateway) cancelAttempt(cancel rules.Cancel) {
	req := g.requests[cancel.ID]
	if req == nil || cancel.Attempt < 0 || cancel.Attempt >= len(req.attempts) || req.attempts[cancel.Attempt].done {
		return
	}
	g.abandonAttempt(req.attempts[cancel.Attempt], rules.StatusCancelled)
}

// abandonAttempt ends an attempt from our side, and tells its engine.
func (g *Gateway) abandonAttempt(attempt *engineAttempt, status rules.Status) {
	if attempt.sent && !attempt.terminating && !attempt.conn.closed {
		id := string(attempt.request.id)
		if attempt.firstPageReceived {
			attempt.conn.output = engine.AppendRelease(attempt.conn.output, id)
		} else {
			attempt.conn.output = engine.AppendCancel(attempt.conn.output, id)
		}
		g.flushNow(&attempt.conn.outputBuffer) // before another attempt is, whose connection may come first in the batch
		g.retireIfSilent(attempt)
	}
	g.terminateAttempt(attempt, status)
}

// terminateAttempt ends an attempt that its engine may still run, since the cancel takes time to reach it. Where no two attempts of a
// request may run at once, the next one could reach a nearer engine before the cancel reaches the first. So the module is told of
// the end only after the time that the connection took to come up, which covers the way to the engine. Where nothing can follow, or
// the engine ends the attempt by its own deadline, the module is told at once.
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

// concludeAttempt ends an attempt for good and tells the module its outcome.
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
	if status != rules.StatusOK && status != rules.StatusSuperseded && !attempt.localExhaustion && attempt.ofPresentProcess() {
		attempt.engine.lastFault = g.now
	}
	outcome := rules.Outcome{
		ID:             req.id,
		Attempt:        attempt.index,
		Status:         status,
		Latency:        attempt.latency,
		Closed:         req.answered || req.result.engineDone,
		NotEngineFault: attempt.blameless,
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
	g.tellModule(outcome)
}

// ofPresentProcess reports whether an attempt was started when the list named the engine's present process: otherwise its end says
// nothing of that process.
func (a *engineAttempt) ofPresentProcess() bool {
	return a.engine != nil && a.engineStarted == a.engine.entry.Started
}

// plausibleUsage reports whether an engine of that kind can have spent the work and the memory that an answer reports. The module
// must not learn from figures that were corrupted on the way.
func (g *Gateway) plausibleUsage(attempt *engineAttempt) bool {
	kinds := g.cfg.Settings.Rules.Kinds
	if attempt.engine.kind >= len(kinds) {
		return true // nothing is known of this kind
	}
	kind := kinds[attempt.engine.kind]
	return (kind.Cores <= 0 || attempt.workMS <= kind.Cores*float64(attempt.latency/rules.Millisecond+1)) &&
		(kind.MemoryMB <= 0 || attempt.memoryMB <= kind.MemoryMB)
}
