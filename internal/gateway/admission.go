package gateway

import (
	"fmt"
	"net/netip"

	"foxlane/internal/admission"
	"foxlane/internal/config"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file connects the reducer to package admission: it notifies the admission controller of connections and
// requests and executes its decisions. Without the block `fair` in the operator's file there is no controller, and
// requests continue at once.

// admissionControl holds the admission controller and the slots by which it identifies connections and requests.
type admissionControl struct {
	controller *admission.Controller
	conns      slotTable[clientConn]
	requests   slotTable[queryRequest]
	queue      serialQueue[admission.Event]
	wakeAt     wakeTime        // when the controller's timer fires
	lastStats  admission.Stats // as of the last statistics log line
}

// newAdmission returns the configured admission control, or nil if it is not configured.
func newAdmission(cfg *config.Config) *admissionControl {
	if cfg.Site == nil || cfg.Site.Admission == nil {
		return nil
	}
	limits := cfg.Limits
	sizes := admission.Limits{
		ConnectionSlots: limits.MaxClients + limits.AcceptOverflow/2 + 1,
		Connections:     limits.MaxClients,
		Requests:        limits.MaxRequests + 1,
		StatementBytes:  limits.MaxInputBytes,
		InputBytes:      limits.MaxInputBytes,
		StateBytes:      limits.AdmissionStateBytes,
	}
	return &admissionControl{
		controller: admission.New(admissionSettings(cfg), sizes, cfg.Settings.Rules.Classes, cfg.Settings.TenantNames, cfg.Seed),
		conns:      newSlotTable[clientConn](sizes.ConnectionSlots),
		requests:   newSlotTable[queryRequest](sizes.Requests),
	}
}

// admissionSettings returns the operator's settings, with Retry-After capped by the site's limits.
func admissionSettings(cfg *config.Config) admission.Settings {
	settings := cfg.Site.Admission.Settings
	settings.MaxRetryAfter = capRetryAfter(&cfg.Settings.Rules.Limits, settings.MaxRetryAfter)
	return settings
}

// capRetryAfter limits a Retry-After to what the site allows: 0 if it allows none, else at most MaxRetryAfter.
func capRetryAfter(limits *rules.Limits, retryAfter rules.Time) rules.Time {
	if !limits.RetryAfter {
		return 0
	}
	if limits.MaxRetryAfter > 0 {
		retryAfter = min(retryAfter, limits.MaxRetryAfter)
	}
	return retryAfter
}

// acceptsTenant reports whether admission control accepts a tenant that the settings do not list.
func (c *admissionControl) acceptsTenant(tenant string) bool {
	return c != nil && c.controller.AcceptsTenant(tenant)
}

// notifyAdmission passes an event to the admission controller and executes the resulting effects.
func (g *Gateway) notifyAdmission(event admission.Event) {
	control := g.admission
	if control == nil || !control.queue.add(event) {
		return
	}
	for event, ok := control.queue.next(); ok; event, ok = control.queue.next() {
		effects := control.controller.Handle(g.now, event)
		switch event.Kind { // released first, since the effects may lead to a new allocation
		case admission.ConnectionClosed:
			control.conns.releaseIndex(event.Conn)
		case admission.RequestDone:
			control.requests.releaseIndex(event.Slot)
		}
		for _, effect := range effects {
			g.runAdmissionEffect(effect)
		}
	}
}

func (g *Gateway) runAdmissionEffect(effect admission.Effect) {
	control := g.admission
	switch effect.Kind {
	case admission.Admit:
		if req := control.requests.at(effect.Slot); !req.answered { // its client may have been evicted by an earlier effect
			g.handleRequestAdmitted(req, effect.After)
		}
	case admission.Reject:
		if req := control.requests.at(effect.Slot); !req.answered {
			req.endReason = EndAdmission
			g.writeRejection(req, effect.After)
		}
	case admission.Evict:
		if client := control.conns.at(effect.Conn); client != nil && !client.closed {
			g.evict(client, effect)
		}
	case admission.AbortInput:
		if client := control.conns.at(effect.Conn); client != nil && !client.closed {
			g.closeOnProtocolError(client, 1, errUnfinishedInput)
		}
	case admission.SetTimer:
		control.wakeAt = wakeTime(effect.At)
	}
}

// evict closes a connection to make room for others. A client that has not sent a command yet receives an error.
func (g *Gateway) evict(client *clientConn, effect admission.Effect) {
	if client.newElement != nil {
		g.evictWithError(client, CloseAdmission, withRetryAfter("no room for this connection", effect.After))
		return
	}
	g.log(Info, "client: evicted", Attr{keySession, client.session}, Attr{keyReason, effect.Reason.String()})
	g.endRead(client, mysql.CodeUnknownError, "no room for this connection")
	g.closeClient(client, CloseAdmission)
}

// withRetryAfter appends a Retry-After in milliseconds to an error text, in the form that clients parse.
func withRetryAfter(text string, retryAfter rules.Time) string {
	if retryAfter <= 0 {
		return text
	}
	return fmt.Sprintf("%s; holdoff=%d", text, int64(retryAfter/rules.Millisecond))
}

// admitConn notifies the admission controller of a new connection. It reports whether the connection stays open.
func (g *Gateway) admitConn(client *clientConn, from netip.Addr) bool {
	client.admissionSlot = g.admission.conns.allocate(client).index()
	g.notifyAdmission(admission.Event{Kind: admission.ConnectionOpened, Conn: client.admissionSlot, From: from})
	return !client.closed
}

// releaseConn notifies the admission controller of the end of a connection.
func (g *Gateway) releaseConn(client *clientConn) {
	g.notifyAdmission(admission.Event{Kind: admission.ConnectionClosed, Conn: client.admissionSlot})
}

// requestAdmission submits a request to the admission controller.
func (g *Gateway) requestAdmission(req *queryRequest, tenant string) {
	req.admissionSlot = g.admission.requests.allocate(req).index()
	arrival := req.pending
	key := ""
	if g.cfg.Settings.Rules.Classes[req.class].Ordered {
		key = arrival.OrderKey
	}
	if g.cfg.Trace {
		g.traceQueued(req, "admission")
	}
	g.notifyAdmission(admission.Event{Kind: admission.RequestArrived, Slot: req.admissionSlot, Conn: req.client.admissionSlot, Request: admission.Request{
		Class: req.class, Tenant: tenant, OrderKey: key, Deadline: arrival.Deadline, DeclaredWork: arrival.EstimatedWork, StatementBytes: len(req.statement),
	}})
}

// reconfigureAdmission applies the settings of a reloaded configuration.
func (g *Gateway) reconfigureAdmission() {
	if g.admission == nil {
		return
	}
	settings := admissionSettings(&g.cfg)
	g.notifyAdmission(admission.Event{Kind: admission.Reconfigured, Settings: &settings, DeclaredTenants: g.cfg.Settings.TenantNames})
}

// wakeAdmission notifies the admission controller if its timer has fired.
func (g *Gateway) wakeAdmission() {
	if control := g.admission; control != nil && control.wakeAt.fire(g.now) {
		g.notifyAdmission(admission.Event{Kind: admission.TimerFired})
	}
}

// logAdmission logs the statistics of admission control since its last log line.
func (g *Gateway) logAdmission() {
	control := g.admission
	if control == nil {
		return
	}
	stats, last := control.controller.Stats(), control.lastStats
	control.lastStats = stats
	attrs := []Attr{{"tenants", stats.Tenants}, {"queued", stats.Queued}, {keyConnections, stats.Connections},
		{"admitted", stats.Admitted - last.Admitted}, {"delayed", stats.Delayed - last.Delayed}}
	for i := range stats.Rejected {
		reason := admission.Reason(i).String()
		if n := stats.Rejected[i] - last.Rejected[i]; n > 0 {
			attrs = append(attrs, Attr{"rejected_for_" + reason, n})
		}
		if n := stats.Evicted[i] - last.Evicted[i]; n > 0 {
			attrs = append(attrs, Attr{"evicted_for_" + reason, n})
		}
	}
	g.log(Info, "admission", append(attrs, Attr{"retry_after_sent", stats.RetryAfterSent - last.RetryAfterSent},
		Attr{"returns_served", stats.ReturnsServed - last.ReturnsServed}, Attr{"returns_missed", stats.ReturnsMissed - last.ReturnsMissed},
		Attr{"retry_after_correction", stats.RetryAfterCorrection}, Attr{"state_bytes", control.controller.StateBytes()})...)
}
