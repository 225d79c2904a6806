package gateway

import (
	"fmt"
	"net/netip"

	"foxlane/internal/admission"
	"foxlane/internal/config"
	"foxlane/rules"
)

// This file connects the reducer with package admission: it tells the controller of connections and requests, and carries out
// what the controller decides. It decides nothing itself. Without the block `fair` in the operator's file there is no controller,
// and requests go on at once.

// admissionControl is the controller with the slots by which it names connections and requests.
type admissionControl struct {
	controller *admission.Controller
	conns      slotTable[clientConn]
	requests   slotTable[queryRequest]
	queue      serialQueue[admission.Event]
	alarm      alarm           // of the controller
	lastStats  admission.Stats // when figures were last logged
}

// newAdmission returns the admission control that the operator has configured, or nil.
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

// admissionSettings are the operator's, within what the site allows clients to be told.
func admissionSettings(cfg *config.Config) admission.Settings {
	settings := cfg.Site.Admission.Settings
	settings.MaxRetryAfter = capRetryAfter(&cfg.Settings.Rules.Limits, settings.MaxRetryAfter)
	return settings
}

// capRetryAfter is a Retry-After within what the site allows: none, or up to a maximum.
func capRetryAfter(limits *rules.Limits, after rules.Time) rules.Time {
	if !limits.RetryAfter {
		return 0
	}
	if limits.MaxRetryAfter > 0 {
		after = min(after, limits.MaxRetryAfter)
	}
	return after
}

// knowsTenant reports whether requests may name a tenant that the settings don't list.
func (c *admissionControl) knowsTenant(tenant string) bool {
	return c != nil && c.controller.AcceptsTenant(tenant)
}

// handleAdmission tells the controller of an event and carries out what it decides.
func (g *Gateway) handleAdmission(event admission.Event) {
	control := g.admission
	if control == nil || !control.queue.add(event) {
		return
	}
	for event, ok := control.queue.next(); ok; event, ok = control.queue.next() {
		effects := control.controller.Handle(g.now, event)
		switch event.Kind { // a slot may be used anew by what the effects bring about
		case admission.ConnectionClosed:
			control.conns.release(event.Conn)
		case admission.RequestDone:
			control.requests.release(event.Slot)
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
		g.admitted(control.requests.entries[effect.Slot], effect.After)
	case admission.Reject:
		if req := control.requests.entries[effect.Slot]; !req.answered {
			req.endReason = EndAdmission
			g.writeRejection(req, effect.After)
		}
	case admission.Evict:
		if client := control.conns.entries[effect.Conn]; client != nil && !client.closed {
			g.evict(client, effect)
		}
	case admission.AbortInput:
		if client := control.conns.entries[effect.Conn]; client != nil && !client.closed {
			g.protocolError(client, 1, errUnfinishedInput)
		}
	case admission.SetTimer:
		control.alarm = alarm(effect.At)
	}
}

// evict closes a connection to make room for others, with an error if its client may be about to read one.
func (g *Gateway) evict(client *clientConn, effect admission.Effect) {
	if client.newElement != nil {
		g.evictWithError(client, CloseAdmission, withHoldOff("no room for this connection", effect.After))
		return
	}
	g.log(Info, "client: evicted", Attr{keySession, client.session}, Attr{keyReason, effect.Reason.String()})
	g.closeClient(client, CloseAdmission)
}

// withHoldOff appends to an error's text when its client may return. Clients look for this form.
func withHoldOff(text string, after rules.Time) string {
	if after <= 0 {
		return text
	}
	return fmt.Sprintf("%s; holdoff=%d", text, int64(after/rules.Millisecond))
}

// admitConn tells the controller of a connection. It reports whether that may stay.
func (g *Gateway) admitConn(client *clientConn, from netip.Addr) bool {
	client.admissionSlot = g.admission.conns.allocate(client)
	g.handleAdmission(admission.Event{Kind: admission.ConnectionOpened, Conn: client.admissionSlot, From: from})
	return !client.closed
}

func (g *Gateway) releaseConn(client *clientConn) {
	g.handleAdmission(admission.Event{Kind: admission.ConnectionClosed, Conn: client.admissionSlot})
}

// requestAdmission asks the controller for the admission of a request.
func (g *Gateway) requestAdmission(req *queryRequest, tenant string) {
	req.admissionSlot = g.admission.requests.allocate(req)
	arrival := req.pending
	key := ""
	if g.cfg.Settings.Rules.Classes[req.class].Ordered {
		key = arrival.OrderKey
	}
	if g.cfg.Trace {
		g.traceQueued(req, "admission")
	}
	g.handleAdmission(admission.Event{Kind: admission.RequestArrived, Slot: req.admissionSlot, Conn: req.client.admissionSlot, Request: admission.Request{
		Class: req.class, Tenant: tenant, OrderKey: key, Deadline: arrival.Deadline, DeclaredWork: arrival.EstimatedWork, StatementBytes: len(req.statement),
	}})
}

// reconfigureAdmission takes over the settings of a configuration that was reloaded.
func (g *Gateway) reconfigureAdmission() {
	if g.admission == nil {
		return
	}
	settings := admissionSettings(&g.cfg)
	g.handleAdmission(admission.Event{Kind: admission.Reconfigured, Settings: &settings, DeclaredTenants: g.cfg.Settings.TenantNames})
}

func (g *Gateway) wakeAdmission() {
	if control := g.admission; control != nil && control.alarm.ring(g.now) {
		g.handleAdmission(admission.Event{Kind: admission.TimerFired})
	}
}

// logAdmission logs what admission control did since the last such line.
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
