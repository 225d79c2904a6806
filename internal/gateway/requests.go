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

// This file owns requests, from the client's query to the one final answer. It never gives a second answer, and none to a client that
// has gone.

// queryRequest is a client's query until it has been answered and all its attempts have ended.
type queryRequest struct {
	id             rules.RequestID
	client         *clientConn // nil: it has gone, or is answered
	admissionSlot  int         // in admissionControl.requests
	endReason      EndReason
	work           rules.Time // that the client declared; 0: none
	submitted      bool       // the module knows of it
	served         bool
	pending        *rules.Request // until it is submitted
	heldFor        rules.Time     // how long admission control has queued it
	resultOwner    uint64         // who may read its stored result
	result         resultState
	class          int
	stats          *classStats
	arrivedAt      rules.Time
	dueAt          rules.Time // when its answer must leave
	statement      []byte     // nil once answered
	idempotencyKey string     // by which engines recognise retries
	answered       bool       // the final answer was given, or none is due any more
	attempts       []*engineAttempt
	inFlight       int // attempts that have not ended
	memoryMB       int64
	priority       int
}

// acceptQuery takes a client's query. It is rejected as a command if its fields can't be used.
func (g *Gateway) acceptQuery(client *clientConn, query *mysql.Query) {
	class, tenant, err := g.resolveQuery(query)
	if err != nil {
		g.rejectCommand(client, err.Code, err.Text)
		return
	}
	if g.admission == nil && (len(g.requests) >= g.limits.MaxRequests || g.statementBytes+len(query.Statement) > g.limits.MaxInputBytes) {
		g.log(Warn, "client: too many requests in flight, request rejected", Attr{keyRequests, len(g.requests)})
		g.writeErr(client, mysql.CodeUserLimitReached, "too much is open")
		return
	}
	req := g.openRequest(client, query, class)
	arrival := rules.Request{
		ID:                req.id,
		Class:             class,
		Tenant:            tenant,
		OrderKey:          query.Fields.OrderKey,
		Deadline:          req.dueAt,
		EstimatedWork:     req.work,
		HasEstimate:       req.work > 0,
		EstimatedMemoryMB: query.Fields.MemoryMB,
		DataSet:           query.TableGroup,
		IsRetry:           query.Fields.IsRetry,
		IsWrite:           query.Write,
	}
	req.pending = &arrival
	if g.admission == nil && g.results == nil && g.zones == nil && g.directives == nil {
		g.submit(req)
		return
	}
	if g.results != nil {
		req.resultOwner, req.result.resumable = tenantKey(query.Fields.Tenant), query.Fields.WantsHandle
	}
	if g.admission != nil {
		g.requestAdmission(req, query.Fields.Tenant)
		return
	}
	g.admitted(req, 0)
}

// resolveQuery finds a query's class and tenant, and checks its fields against the settings. The error is for the client.
func (g *Gateway) resolveQuery(query *mysql.Query) (class, tenant int, err *mysql.Error) {
	fields := &query.Fields
	class, ok := g.classIndex[fields.Class]
	if !ok {
		return 0, 0, &mysql.Error{Code: mysql.CodeParse, Text: fmt.Sprintf("unknown class %.40q", fields.Class)}
	}
	if fields.Tenant != "" {
		tenant = slices.Index(g.cfg.Settings.TenantNames, fields.Tenant)
		if tenant < 0 && g.admission.knowsTenant(fields.Tenant) {
			tenant = 0 // for the module; admission control accounts for it by name
		}
		if tenant < 0 {
			return 0, 0, &mysql.Error{Code: mysql.CodeParse, Text: fmt.Sprintf("unknown tenant %.40q", fields.Tenant)}
		}
	}
	maxTimeout := g.cfg.Settings.Rules.Classes[class].ClientTimeout * g.limits.MaxTimeoutFactor
	if maxTimeout > 0 && clientTimeout(query) > maxTimeout {
		return 0, 0, &mysql.Error{Code: mysql.CodeParse, Text: fmt.Sprintf("a timeout of %d ms is out of range", fields.TimeoutMS)}
	}
	if g.requests[rules.RequestID(fields.ID)] != nil {
		return 0, 0, &mysql.Error{Code: mysql.CodeUnknownError, Text: "a request with this id is open"}
	}
	return class, tenant, nil
}

// clientTimeout is how long a client waits for its answer.
func clientTimeout(query *mysql.Query) rules.Time {
	return rules.Time(query.Fields.TimeoutMS) * rules.Millisecond
}

// openRequest begins a request.
func (g *Gateway) openRequest(client *clientConn, query *mysql.Query, class int) *queryRequest {
	// The client counts from when it sent the query until it has the answer. The way takes time in both directions, more where
	// machines are busy, so the answer must leave earlier.
	timeout := clientTimeout(query)
	margin := min(timeout/g.limits.NetworkMarginDivisor, g.limits.MaxNetworkMargin)
	req := &queryRequest{
		id:             rules.RequestID(query.Fields.ID),
		client:         client,
		class:          class,
		stats:          &g.stats.classes[class],
		arrivedAt:      g.now,
		dueAt:          g.now + timeout - margin - g.inputDelay(),
		work:           rules.Time(query.Fields.WorkMS * float64(rules.Millisecond)),
		statement:      bytes.Clone(query.Statement),
		idempotencyKey: query.Fields.IdempotencyKey,
		priority:       engine.DefaultPriority,
	}
	g.checkStart(req)
	if g.cfg.Trace {
		g.traceRequest(req)
	}
	g.requests[req.id] = req
	g.unanswered++
	req.stats.accepted++
	req.stats.inFlight++
	g.statementBytes += len(req.statement)
	client.request = req
	return req
}

// admitted takes on a request that admission control has let pass, after it was queued for a while.
func (g *Gateway) admitted(req *queryRequest, held rules.Time) {
	req.heldFor = held
	if !g.admitsRequest(req) {
		return
	}
	if g.results != nil { // capacity for its result comes first: without it nothing runs
		g.reserveResult(req)
		return
	}
	g.submit(req)
}

// submit hands a request to the module.
func (g *Gateway) submit(req *queryRequest) {
	arrival := req.pending
	arrival.QueuedFor = req.heldFor
	req.submitted, req.pending = true, nil
	if g.cfg.Trace {
		g.traceQueued(req, "module")
	}
	g.tellModule(rules.Arrival{Request: *arrival})
}

// finishRequest notes that no answer is due any more. Each request comes here once, after its final answer if it has one.
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
			client.answeredBy = g.eventNumber
		}
		g.clientBecameIdle(client)
	}
	g.releaseRequest(req)
}

// finishServed finishes a request whose answer is its result.
func (g *Gateway) finishServed(req *queryRequest) {
	req.served = true
	req.stats.served++
	req.stats.latencySum += g.now - req.arrivedAt
	g.finishRequest(req, outcomeServed)
}

// releaseRequest forgets a request that is answered and has no attempt in flight.
func (g *Gateway) releaseRequest(req *queryRequest) {
	if req.answered && req.inFlight == 0 && g.requests[req.id] == req {
		delete(g.requests, req.id)
		g.handleAdmission(admission.Event{Kind: admission.RequestDone, Slot: req.admissionSlot, Served: req.served})
	}
}

// abandonRequest ends a request whose client has gone or has killed it.
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

// reject rejects a request for the module, the zones or a directive. Where admission control is on, that decides when the client
// may return.
func (g *Gateway) reject(req *queryRequest, holdOff rules.Time, reason EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = reason
	if g.admission != nil {
		g.handleAdmission(admission.Event{Kind: admission.RequestRejected, Slot: req.admissionSlot})
		return
	}
	g.writeRejection(req, g.retryAfter(holdOff))
}

// writeRejection gives the answer that tells the client that a retry is harmless.
func (g *Gateway) writeRejection(req *queryRequest, holdOff rules.Time) {
	req.stats.rejected++
	g.writeErr(req.client, mysql.CodeUserLimitReached, withHoldOff("the query was refused", holdOff))
	g.finishRequest(req, outcomeRejected)
}

// failRequest gives the answer that says nothing of whether the query has run.
func (g *Gateway) failRequest(req *queryRequest, reason EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = reason
	req.stats.failed++
	g.writeErr(req.client, mysql.CodeUnknownError, "the query failed")
	g.finishRequest(req, outcomeFailed)
}
