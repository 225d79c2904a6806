package gateway

import (
	"fmt"
	"net/netip"

	"foxlane/internal/admission"
	"foxlane/internal/config"
	"foxlane/internal/mysql"
	"foxlane/rules"
)

// This file carries events to the door and its effects out. It never decides
// who passes; where the operator has set no door it does nothing.

// admissionControl is the door with the slots by which it names connections and requests.
type admissionControl struct {
	controller *admission.Controller
	conns      slotTable[clientConn]
	requests   slotTable[queryRequest]
	inbox      []admission.Event
	handling   bool
	wakeAt     rules.Time      // 0: none
	lastStats  admission.Stats // at the last line of the log
}

// newAdmission returns the door that the operator has set, or nil.
func newAdmission(cfg *config.Config) *admissionControl {
	if cfg.Site == nil || cfg.Site.Admission == nil {
		return nil
	}
	limits := cfg.Limits
	sizes := admission.Limits{ConnectionSlots: limits.MaxClients + limits.AcceptOverflow/2 + 1, Connections: limits.MaxClients, Requests: limits.MaxRequests + 1, StatementBytes: limits.MaxInputBytes, InputBytes: limits.MaxInputBytes,
		StateBytes: limits.AdmissionStateBytes}
	return &admissionControl{
		controller: admission.New(admissionSettings(cfg), sizes, cfg.Settings.Rules.Classes, cfg.Settings.TenantNames, cfg.Seed),
		conns:      newSlotTable[clientConn](sizes.ConnectionSlots),
		requests:   newSlotTable[queryRequest](sizes.Requests),
	}
}

// admissionSettings are the operator's, within what the site allows: times of return only where clients may be told.
func admissionSettings(cfg *config.Config) admission.Settings {
	settings := cfg.Site.Admission.Settings
	switch limits := cfg.Settings.Rules.Limits; {
	case !limits.RetryAfter:
		settings.MaxRetryAfter = 0
	case limits.MaxRetryAfter > 0:
		settings.MaxRetryAfter = min(settings.MaxRetryAfter, limits.MaxRetryAfter)
	}
	return settings
}

func (c *admissionControl) knowsTenant(tenant string) bool {
	return c != nil && c.controller.AcceptsTenant(tenant)
}

// handleAdmission hands an event to the door and carries out what it asks for. Events
// that arise meanwhile wait for their turn, as with the module.
func (g *Gateway) handleAdmission(event admission.Event) {
	control := g.admission
	if control == nil {
		return
	}
	control.inbox = append(control.inbox, event)
	if control.handling {
		return
	}
	control.handling = true
	for i := 0; i < len(control.inbox); i++ {
		event := control.inbox[i]
		effects := control.controller.Handle(g.now, event)
		switch event.Kind {
		case admission.ConnectionClosed:
			control.conns.release(event.Conn)
		case admission.RequestDone:
			control.requests.release(event.Slot)
		}
		for _, effect := range effects {
			g.runAdmissionEffect(effect)
		}
	}
	clear(control.inbox)
	control.inbox = control.inbox[:0]
	control.handling = false
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
			g.protocolError(client, 1, &mysql.Error{Code: mysql.CodePacketTooLarge, Text: "too much input is unfinished"})
		}
	case admission.SetTimer:
		control.wakeAt = effect.At
	}
}

// evict closes a connection that gives way, with a refusal if its client may be about to read one.
func (g *Gateway) evict(client *clientConn, effect admission.Effect) {
	why := "no room for this connection"
	if effect.After > 0 {
		why = fmt.Sprintf("%s; holdoff=%d", why, int64(effect.After/rules.Millisecond))
	}
	if client.newElement != nil {
		g.evictWithError(client, CloseAdmission, why)
		return
	}
	g.log(Info, "client: gave way", Attr{"session", client.session}, Attr{"why", effect.Reason.String()})
	g.closeClient(client, CloseAdmission)
}

// admitConn takes a connection to the admission. It answers whether it may stay.
func (g *Gateway) admitConn(client *clientConn, from netip.Addr) bool {
	client.admissionSlot = g.admission.conns.allocate(client)
	g.handleAdmission(admission.Event{Kind: admission.ConnectionOpened, Conn: client.admissionSlot, From: from})
	return !client.closed
}

func (g *Gateway) releaseConn(client *clientConn) {
	g.handleAdmission(admission.Event{Kind: admission.ConnectionClosed, Conn: client.admissionSlot})
}

// requestAdmission takes a request to the admission.
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

// reconfigureAdmission goes over to the settings of a file that was read again.
func (g *Gateway) reconfigureAdmission() {
	if g.admission == nil {
		return
	}
	set := admissionSettings(&g.cfg)
	g.handleAdmission(admission.Event{Kind: admission.Reconfigured, Settings: &set, DeclaredTenants: g.cfg.Settings.TenantNames})
}

func (g *Gateway) wakeAdmission() {
	if control := g.admission; control != nil && control.wakeAt != 0 && control.wakeAt <= g.now {
		control.wakeAt = 0
		g.handleAdmission(admission.Event{Kind: admission.TimerFired})
	}
}

// nextWake is when the reducer is to be woken next.
func (g *Gateway) nextWake() (rules.Time, bool) {
	at, ok := g.timers.next()
	if control := g.admission; control != nil && control.wakeAt != 0 && (!ok || control.wakeAt < at) {
		at, ok = max(control.wakeAt, g.now+1), true
	}
	if store := g.results; store != nil && store.wakeAt != 0 && (!ok || store.wakeAt < at) {
		at, ok = max(store.wakeAt, g.now+1), true
	}
	return at, ok
}

// logAdmission notes what the door did since the last line.
func (g *Gateway) logAdmission() {
	control := g.admission
	if control == nil {
		return
	}
	stats, last := control.controller.Stats(), control.lastStats
	control.lastStats = stats
	attrs := []Attr{{"tenants", stats.Tenants}, {"held", stats.Queued}, {"open", stats.Connections}, {"passed", stats.Admitted - last.Admitted}, {"waited", stats.Delayed - last.Delayed}}
	for w := range stats.Rejected {
		if n := stats.Rejected[w] - last.Rejected[w]; n > 0 {
			attrs = append(attrs, Attr{"refused_for_" + admission.Reason(w).String(), n})
		}
		if n := stats.Evicted[w] - last.Evicted[w]; n > 0 {
			attrs = append(attrs, Attr{"closed_for_" + admission.Reason(w).String(), n})
		}
	}
	g.log(Info, "door", append(attrs, Attr{"told", stats.RetryAfterSent - last.RetryAfterSent}, Attr{"kept", stats.ReturnsServed - last.ReturnsServed}, Attr{"lost", stats.ReturnsMissed - last.ReturnsMissed},
		Attr{"needed_over_told", stats.RetryAfterCorrection}, Attr{"state_bytes", control.controller.StateBytes()})...)
}
