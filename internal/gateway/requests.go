package gateway

import (
	"bytes"
	"fmt"
	"slices"

	"foxlane/internal/admission"
	"foxlane/internal/engine"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file owns requests and their attempts, from the client's query to the
// one final answer. It never gives a second answer, and none to a client that
// has left.

type queryRequest struct {
	id             rules.RequestID
	client         *clientConn // nil: it has left
	admissionSlot  int         // at the door
	endReason      EndReason
	work           rules.Time // as told; 0: it was not
	submitted      bool       // the module knows of it
	served         bool
	pending        *rules.Request // while it is held at the door or waits for room for its result
	heldFor        rules.Time     // at the door
	resultOwner    uint64         // of its result
	statementShape uint64         // of its statement
	result         resultState
	class          int
	stats          *classStats
	arrivedAt      rules.Time
	dueAt          rules.Time
	statement      []byte // nil once answered
	idempotencyKey string // by which engines drop its repeats
	answered       bool   // the final answer was given, or is owed no more
	attempts       []*engineAttempt
	inFlight       int // attempts without an outcome
	memoryMB       int64
	priority       int
}

// acceptQuery takes a client's request.
func (g *Gateway) acceptQuery(client *clientConn, query *mysql.Query) {
	class, ok := g.classIndex[query.Fields.Class]
	if !ok {
		g.rejectCommand(client, mysql.CodeParse, fmt.Sprintf("unknown class %.40q", query.Fields.Class))
		return
	}
	tenant := 0
	if query.Fields.Tenant != "" {
		if tenant = slices.Index(g.cfg.Settings.TenantNames, query.Fields.Tenant); tenant < 0 && g.admission.knowsTenant(query.Fields.Tenant) {
			tenant = 0
		}
		if tenant < 0 {
			g.rejectCommand(client, mysql.CodeParse, fmt.Sprintf("unknown tenant %.40q", query.Fields.Tenant))
			return
		}
	}
	patience := rules.Time(query.Fields.TimeoutMS) * rules.Millisecond
	if most := g.cfg.Settings.Rules.Classes[class].ClientTimeout * g.limits.MaxTimeoutFactor; most > 0 && patience > most {
		g.rejectCommand(client, mysql.CodeParse, fmt.Sprintf("a timeout of %d ms is out of range", query.Fields.TimeoutMS))
		return
	}
	id := rules.RequestID(query.Fields.ID)
	if g.requests[id] != nil {
		g.rejectCommand(client, mysql.CodeUnknownError, "a request with this id is open")
		return
	}
	if g.admission == nil && (len(g.requests) >= g.limits.MaxRequests || g.statementBytes+len(query.Statement) > g.limits.MaxInputBytes) {
		g.log(Warn, "client: too much is open, request refused", Attr{"requests", len(g.requests)})
		g.writeErr(client, mysql.CodeUserLimitReached, "too much is open")
		return
	}
	// The client counts from when it sent the request and until it has the answer. Both ways take time,
	// more where machines are busy, so its answer must leave earlier.
	due := g.now + patience - min(patience/g.limits.NetworkMarginDivisor, g.limits.MaxNetworkMargin) - g.inputDelay()
	req := &queryRequest{id: id, client: client, class: class, stats: &g.stats.classes[class], arrivedAt: g.now, dueAt: due,
		statement: bytes.Clone(query.Statement), idempotencyKey: query.Fields.IdempotencyKey, priority: engine.DefaultPriority}
	g.checkStart(req)
	if g.cfg.Trace {
		g.traceRequest(req)
	}
	g.requests[id] = req
	g.unanswered++
	req.stats.accepted++
	req.stats.inFlight++
	g.statementBytes += len(req.statement)
	client.request = req
	work := rules.Time(query.Fields.WorkMS * float64(rules.Millisecond))
	req.work = work
	arrival := rules.Request{
		ID: id, Class: class, Tenant: tenant, OrderKey: query.Fields.OrderKey, Deadline: due, EstimatedWork: work, HasEstimate: work > 0,
		EstimatedMemoryMB: query.Fields.MemoryMB, DataSet: query.TableGroup, IsRetry: query.Fields.IsRetry, IsWrite: query.Write,
	}
	if g.admission == nil && g.results == nil && g.zones == nil && g.directives == nil {
		req.submitted = true
		if g.cfg.Trace {
			g.traceQueued(req, "module")
		}
		g.tellModule(rules.Arrival{Request: arrival})
		return
	}
	req.pending = &arrival
	if g.results != nil {
		req.resultOwner, req.statementShape, req.result.resumable = tenantKey(query.Fields.Tenant), 0, query.Fields.WantsHandle
	}
	if g.admission != nil {
		g.requestAdmission(req, query.Fields.Tenant)
		return
	}
	g.admitted(req, 0)
}

// admitted hands a request to the module, after it was held for a while.
func (g *Gateway) admitted(req *queryRequest, held rules.Time) {
	req.heldFor = held
	if !g.admitsRequest(req) {
		return
	}
	if g.results != nil { // room for its result comes first: without it nothing runs
		g.reserveResult(req)
		return
	}
	g.submit(req)
}

func (g *Gateway) submit(req *queryRequest) {
	arrival := req.pending
	arrival.QueuedFor = req.heldFor
	req.submitted, req.pending = true, nil
	if g.cfg.Trace {
		g.traceQueued(req, "module")
	}
	g.tellModule(rules.Arrival{Request: *arrival})
}

// finishRequest notes that no answer is owed any more. Each final answer goes through here, once.
func (g *Gateway) finishRequest(req *queryRequest, how outcome) {
	g.checkAnswer(req, how)
	if g.cfg.Trace {
		g.traceAnswer(req, how)
	}
	req.answered = true
	g.unanswered--
	g.releaseResult(req)
	req.stats.inFlight--
	g.statementBytes -= len(req.statement)
	req.statement = nil
	if client := req.client; client != nil {
		req.client, client.request = nil, nil
		if client.reader == nil {
			client.answeredAt = g.now
		}
		g.clientBecameIdle(client)
	}
	g.releaseRequest(req)
}

func (g *Gateway) releaseRequest(req *queryRequest) {
	if req.answered && req.inFlight == 0 && g.requests[req.id] == req {
		delete(g.requests, req.id)
		g.handleAdmission(admission.Event{Kind: admission.RequestDone, Slot: req.admissionSlot, Served: req.served})
	}
}

// abandonRequest: the client has left or has killed its query.
func (g *Gateway) abandonRequest(req *queryRequest) {
	if req == nil || req.answered {
		return
	}
	req.client.request, req.client = nil, nil
	req.stats.abandoned++
	req.endReason = EndClientLeft
	g.finishRequest(req, outcomeAbandoned)
	if req.submitted {
		g.tellModule(rules.ClientGone{ID: req.id})
	}
}

// reject carries out the module's refusal. Where the door is on, that names the time of return.
func (g *Gateway) reject(req *queryRequest, holdOff rules.Time, why EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = why
	if g.admission != nil {
		g.handleAdmission(admission.Event{Kind: admission.RequestRejected, Slot: req.admissionSlot})
		return
	}
	g.writeRejection(req, g.retryAfter(holdOff))
}

// writeRejection gives the answer that promises that a retry is harmless.
func (g *Gateway) writeRejection(req *queryRequest, holdOff rules.Time) {
	req.stats.rejected++
	text := "the query was refused"
	if holdOff > 0 {
		text = fmt.Sprintf("the query was refused; holdoff=%d", int64(holdOff/rules.Millisecond))
	}
	g.writeErr(req.client, mysql.CodeUserLimitReached, text)
	g.finishRequest(req, outcomeRejected)
}

func (g *Gateway) failRequest(req *queryRequest, why EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = why
	req.stats.failed++
	g.writeErr(req.client, mysql.CodeUnknownError, "the query failed")
	g.finishRequest(req, outcomeFailed)
}
