package measure

import (
	"fmt"
	"net/netip"

	"foxlane/internal/admission"
	"foxlane/internal/eventqueue"
	"foxlane/rules"
)

// admissionModel simulates admission control in virtual time, with engines that run a fixed number of requests at
// once, in the order in which they are admitted.
type admissionModel struct {
	controller *admission.Controller
	now        rules.Time
	cores      int
	busy       int
	queue      []int // slots of the admitted requests that wait for a core
	events     eventqueue.Queue
	timerAt    rules.Time // the controller's timer; 0: not set
	requests   []*modelRequest
	freeSlots  []int
	conns      []*modelConn
	freeConns  []int
	slowdown   float64 // multiplies the service times
	onRejected func(c *modelConn, retryAfter rules.Time)
	onServed   func(c *modelConn, r *modelRequest)
}

// modelConn is one client's connection.
type modelConn struct {
	slot        int
	tenant      string
	serviceTime rules.Time // of its requests
	servedWork  float64
	open        bool

	rejectedAt, retryAt rules.Time // of the last rejection with a Retry-After; rejectedAt 0: none
}

type modelRequest struct {
	conn        *modelConn
	serviceTime rules.Time
	admittedAt  rules.Time
}

const (
	modelTimeout = 5 * rules.Second
	modelSeed    = 11
)

// modelClasses returns the only class, to which all requests belong.
func modelClasses() []rules.Class {
	return []rules.Class{{LatencyObjective: 500 * rules.Millisecond, ClientTimeout: modelTimeout, LateValue: 0.1, Threads: 1}}
}

func newAdmissionModel(settings admission.Settings, limits admission.Limits, cores int) *admissionModel {
	m := &admissionModel{controller: admission.New(settings, limits, modelClasses(), nil, modelSeed), now: rules.Second, cores: cores, slowdown: 1,
		requests: make([]*modelRequest, limits.Requests), conns: make([]*modelConn, limits.ConnectionSlots)}
	for i := range limits.Requests {
		m.freeSlots = append(m.freeSlots, i)
	}
	for i := range limits.ConnectionSlots {
		m.freeConns = append(m.freeConns, i)
	}
	return m
}

// setGreedy makes all clients send their next request as soon as they are allowed to.
func (m *admissionModel) setGreedy() {
	m.onServed = func(c *modelConn, _ *modelRequest) { m.request(c) }
	m.onRejected = func(c *modelConn, retryAfter rules.Time) {
		m.schedule(max(retryAfter, rules.Millisecond), func() { m.request(c) })
	}
}

func (m *admissionModel) schedule(d rules.Time, run func()) { m.events.Schedule(m.now+d, run) }

// handle passes an event to the controller and executes its effects, then does the same for the events that these
// cause.
func (m *admissionModel) handle(e admission.Event) {
	pending := []admission.Event{e}
	for i := 0; i < len(pending); i++ {
		for _, effect := range m.controller.Handle(m.now, pending[i]) {
			switch effect.Kind {
			case admission.Admit:
				m.requests[effect.Slot].admittedAt = m.now
				m.queue = append(m.queue, effect.Slot)
			case admission.Reject:
				c := m.requests[effect.Slot].conn
				m.releaseSlot(effect.Slot)
				pending = append(pending, admission.Event{Kind: admission.ConnectionIdle, Conn: c.slot})
				m.schedule(0, func() { m.onRejected(c, effect.After) })
			case admission.Evict:
				m.conns[effect.Conn].open = false
				pending = append(pending, admission.Event{Kind: admission.ConnectionClosed, Conn: effect.Conn})
			case admission.SetTimer:
				m.timerAt = effect.At
			}
		}
		for len(m.queue) > 0 && m.busy < m.cores {
			slot := m.queue[0]
			m.queue = m.queue[1:]
			m.busy++
			pending = append(pending, admission.Event{Kind: admission.RequestForwarded, Slot: slot})
			serviceTime := rules.Time(float64(m.requests[slot].serviceTime) * m.slowdown)
			m.schedule(serviceTime, func() { m.finish(slot, serviceTime) })
		}
	}
}

func (m *admissionModel) releaseSlot(slot int) {
	m.requests[slot] = nil
	m.freeSlots = append(m.freeSlots, slot)
}

// finish ends a request that an engine has served in the given time.
func (m *admissionModel) finish(slot int, serviceTime rules.Time) {
	m.busy--
	r := m.requests[slot]
	m.releaseSlot(slot)
	r.conn.servedWork += float64(serviceTime)
	m.handle(admission.Event{Kind: admission.EngineTimeUsed, Slot: slot, EngineTime: serviceTime})
	m.handle(admission.Event{Kind: admission.RequestDone, Slot: slot, Served: true})
	if r.conn.open {
		m.handle(admission.Event{Kind: admission.ConnectionIdle, Conn: r.conn.slot})
		m.onServed(r.conn, r)
	}
}

func (m *admissionModel) connect(tenant string, serviceTime rules.Time, from netip.Addr) *modelConn {
	c := &modelConn{slot: m.freeConns[0], tenant: tenant, serviceTime: serviceTime, open: true}
	m.freeConns = m.freeConns[1:]
	m.conns[c.slot] = c
	m.handle(admission.Event{Kind: admission.ConnectionOpened, Conn: c.slot, From: from})
	return c
}

func (m *admissionModel) close(c *modelConn) {
	m.conns[c.slot] = nil
	m.freeConns = append(m.freeConns, c.slot)
	m.handle(admission.Event{Kind: admission.ConnectionClosed, Conn: c.slot})
}

// request sends a request on a connection. It does nothing if the connection is closed or no request slot is free.
func (m *admissionModel) request(c *modelConn) {
	if len(m.freeSlots) == 0 || !c.open {
		return
	}
	slot := m.freeSlots[0]
	m.freeSlots = m.freeSlots[1:]
	m.requests[slot] = &modelRequest{conn: c, serviceTime: c.serviceTime}
	m.handle(admission.Event{Kind: admission.RequestArrived, Slot: slot, Conn: c.slot,
		Request: admission.Request{Tenant: c.tenant, Deadline: m.now + modelTimeout, DeclaredWork: c.serviceTime, StatementBytes: 100}})
}

// advance runs the model for the given duration. The controller's timer fires before other events of the same time.
func (m *admissionModel) advance(duration rules.Time) {
	for until := m.now + duration; ; {
		next := until
		if at, ok := m.events.NextAt(); ok {
			next = min(next, at)
		}
		if m.timerAt > 0 && m.timerAt <= next {
			m.now, m.timerAt = max(m.now, m.timerAt), 0
			m.handle(admission.Event{Kind: admission.TimerFired})
			continue
		}
		m.now = max(m.now, next)
		_, run, ok := m.events.PopUntil(until)
		if !ok {
			return
		}
		run()
	}
}

// tenantName returns the name of tenant i.
func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }
