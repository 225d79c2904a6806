package gateway

import (
	"foxlane/internal/admission"
	"foxlane/internal/engine"
	"foxlane/rules"
	"math"
)

// This file owns attempts: how one starts at an engine, how the module changes or cancels it, and how it ends.

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
