package gateway

import (
	"bytes"
	"fmt"
	"slices"

	"foxlane/internal/admission"
	"foxlane/internal/engine"
	"foxlane/internal/memory"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file manages requests from the client's query to its answer. Each request gets exactly one final answer, or
// none if its client has disconnected or the query was killed.

// queryRequest is the state of a client's query. It exists until the query is answered and all its attempts have
// ended.
type queryRequest struct {
	id             rules.RequestID
	client         *clientConn // nil once the client has disconnected or was answered
	admissionSlot  int         // index in admissionControl.requests
	endReason      EndReason
	work           rules.Time // declared by the client; 0: not declared
	submitted      bool       // it was passed to the module
	served         bool
	pending        *rules.Request // request to pass to the module; nil once submitted
	queuedFor      rules.Time     // time in the queue of admission control
	resultOwner    uint64         // tenantKey of the tenant that may read its stored result
	result         resultState
	class          int
	stats          *classStats
	arrivedAt      rules.Time
	dueAt          rules.Time // when the answer must be sent
	statement      []byte     // nil once answered
	keptBytes      int64      // of its statement and fields, charged until it is answered
	idempotencyKey string     // lets engines recognise retries
	answered       bool       // the final answer was sent, or none is due any more
	attempts       []*engineAttempt
	inFlight       int         // number of attempts that have not ended
	formerConns    formerConns // must not be used: late answers to earlier requests with this ID may arrive there
	memoryMB       int64
	priority       int
}

// acceptQuery starts a request for a client's query, or rejects the command if its fields are invalid.
func (g *Gateway) acceptQuery(client *clientConn, query *mysql.Query) {
	class, tenant, err := g.resolveQuery(query)
	if err != nil {
		g.rejectCommand(client, err.Code, err.Text)
		return
	}
	if g.memoryCritical() || g.admission == nil && (len(g.requests) >= g.limits.MaxRequests || !g.memory.Fits(memory.Statements, queryBytes(query))) {
		g.rejectForMemory(client)
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
	g.handleRequestAdmitted(req, 0)
}

// resolveQuery looks up the class and the tenant of a query and validates its fields. The error is sent to the
// client.
func (g *Gateway) resolveQuery(query *mysql.Query) (class, tenant int, err *mysql.Error) {
	fields := &query.Fields
	class, ok := g.classIndex[fields.Class]
	if !ok {
		return 0, 0, &mysql.Error{Code: mysql.CodeParse, Text: fmt.Sprintf("unknown class %.40q", fields.Class)}
	}
	if fields.Tenant != "" {
		tenant = slices.Index(g.cfg.Settings.TenantNames, fields.Tenant)
		if tenant < 0 && g.admission.acceptsTenant(fields.Tenant) {
			tenant = 0 // the module treats it as tenant 0; admission control accounts for it by name
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
	if g.former.unsafeToRun(rules.RequestID(fields.ID), g.classIdempotent(class)) {
		return 0, 0, &mysql.Error{Code: mysql.CodeUnknownError, Text: "a request with this id may have run"}
	}
	return class, tenant, nil
}

// classIdempotent reports whether requests of a class may run more than once.
func (g *Gateway) classIdempotent(class int) bool {
	return g.cfg.Settings.Rules.Classes[class].Idempotency == rules.Idempotent
}

// clientTimeout returns how long a client waits for its answer.
func clientTimeout(query *mysql.Query) rules.Time {
	return rules.Time(query.Fields.TimeoutMS) * rules.Millisecond
}

// queryBytes returns the size of what a request keeps of its query.
func queryBytes(query *mysql.Query) int64 {
	return int64(len(query.Statement) + query.Fields.KeptBytes())
}

// openRequest creates a request and counts it as in flight.
func (g *Gateway) openRequest(client *clientConn, query *mysql.Query, class int) *queryRequest {
	// The client measures its timeout from sending the query to receiving the answer. The margin covers the network
	// transit in both directions, which takes longer when machines are busy.
	timeout := clientTimeout(query)
	margin := min(timeout/g.limits.NetworkMarginDivisor, g.limits.MaxNetworkMargin)
	req := &queryRequest{
		id:             rules.RequestID(query.Fields.ID),
		client:         client,
		class:          class,
		stats:          &g.stats.classes[class],
		arrivedAt:      g.now,
		dueAt:          g.now + timeout - margin - max(g.inputDelay(), g.heldFor(client)),
		work:           rules.Time(query.Fields.WorkMS * float64(rules.Millisecond)),
		statement:      bytes.Clone(query.Statement),
		keptBytes:      queryBytes(query),
		idempotencyKey: query.Fields.IdempotencyKey,
		priority:       engine.DefaultPriority,
		formerConns:    g.former.connsOf(rules.RequestID(query.Fields.ID)),
	}
	g.checkStart(req)
	if g.cfg.Trace {
		g.traceRequest(req)
	}
	g.requests[req.id] = req
	g.unanswered++
	req.stats.accepted++
	req.stats.inFlight++
	g.memory.Add(memory.Statements, req.keptBytes)
	client.request = req
	return req
}

// handleRequestAdmitted continues a request that admission control has admitted, after it was queued for queuedFor.
func (g *Gateway) handleRequestAdmitted(req *queryRequest, queuedFor rules.Time) {
	req.queuedFor = queuedFor
	if !g.admitOrReject(req) {
		return
	}
	if g.results != nil { // the request runs only once capacity for its result is reserved
		g.reserveResult(req)
		return
	}
	g.submit(req)
}

// submit passes a request to the module.
func (g *Gateway) submit(req *queryRequest) {
	arrival := req.pending
	arrival.QueuedFor = req.queuedFor
	req.submitted, req.pending = true, nil
	if g.cfg.Trace {
		g.traceQueued(req, "module")
	}
	g.notifyModule(rules.Arrival{Request: *arrival})
}

// finishRequest marks a request as answered. It is called exactly once per request, after the final answer if there
// is one.
func (g *Gateway) finishRequest(req *queryRequest, outcome requestOutcome) {
	g.checkAnswer(req, outcome)
	if g.cfg.Trace {
		g.traceAnswer(req, outcome)
	}
	req.answered = true
	g.unanswered--
	g.releaseResult(req)
	req.stats.inFlight--
	g.memory.Add(memory.Statements, -req.keptBytes)
	req.statement = nil
	if client := req.client; client != nil {
		req.client, client.request = nil, nil
		if client.reader == nil {
			client.answeredInEvent = g.eventNumber
		}
		g.handleClientIdle(client)
	}
	g.releaseRequest(req)
}

// finishServed finishes a request that was answered with its result.
func (g *Gateway) finishServed(req *queryRequest) {
	req.served = true
	req.stats.served++
	req.stats.latencySum += g.now - req.arrivedAt
	g.finishRequest(req, outcomeServed)
}

// releaseRequest deletes a request once it is answered and has no attempt in flight.
func (g *Gateway) releaseRequest(req *queryRequest) {
	if req.answered && req.inFlight == 0 && g.requests[req.id] == req {
		delete(g.requests, req.id)
		g.former.add(req, g.classIdempotent(req.class))
		g.pressure.attempts -= len(req.attempts)
		g.notifyAdmission(admission.Event{Kind: admission.RequestDone, Slot: req.admissionSlot, Served: req.served})
	}
}

// abandonRequest ends a request whose client has disconnected, or that was killed.
func (g *Gateway) abandonRequest(req *queryRequest) {
	if req == nil || req.answered {
		return
	}
	req.client.request, req.client = nil, nil
	req.stats.abandoned++
	req.endReason = EndClientLeft
	g.finishRequest(req, outcomeAbandoned)
	if req.submitted {
		g.notifyModule(rules.ClientGone{ID: req.id})
	}
}

// reject rejects a request on behalf of the module, the zones or a directive. If admission control is on, it
// chooses the Retry-After instead.
func (g *Gateway) reject(req *queryRequest, retryAfter rules.Time, reason EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = reason
	if g.admission != nil {
		g.notifyAdmission(admission.Event{Kind: admission.RequestRejected, Slot: req.admissionSlot})
		return
	}
	g.writeRejection(req, g.effectiveRetryAfter(retryAfter))
}

// writeRejection answers a request with the error after which the client can safely retry.
func (g *Gateway) writeRejection(req *queryRequest, retryAfter rules.Time) {
	req.stats.rejected++
	g.writeErr(req.client, mysql.CodeUserLimitReached, withRetryAfter("the query was refused", retryAfter))
	g.finishRequest(req, outcomeRejected)
}

// failRequest answers a request with the error that leaves open whether the query has run.
func (g *Gateway) failRequest(req *queryRequest, reason EndReason) {
	if req == nil || req.answered {
		return
	}
	req.endReason = reason
	req.stats.failed++
	g.writeErr(req.client, mysql.CodeUnknownError, "the query failed")
	g.finishRequest(req, outcomeFailed)
}
