package measure

import (
	"fmt"
	"net/netip"

	"foxlane/internal/admission"
	"foxlane/internal/eventqueue"
	"foxlane/rules"
)

// admissionModel is admission control in virtual time, with engines behind it that run so many requests at once, in the
// order in which they are admitted.
type admissionModel struct {
	controller *admission.Controller
	now        rules.Time
	cores      int
	busy       int
	queue      []int // slots of the requests that are admitted and wait for a core
	events     eventqueue.Queue
	wakeAt     rules.Time // the controller's timer; 0: not set
	requests   []*modelRequest
	freeSlots  []int
	conns      []*modelConn
	freeConns  []int
	slowdown   float64 // multiplies the service times
	onRejected func(c *modelConn, retryAfter rules.Time)
	onServed   func(c *modelConn, r *modelRequest)
}

// modelConn is a client's connection.
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

// modelClasses is the one class of all requests.
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

// setGreedy has all clients send their next request as soon as they may.
func (m *admissionModel) setGreedy() {
	m.onServed = func(c *modelConn, _ *modelRequest) { m.request(c) }
	m.onRejected = func(c *modelConn, retryAfter rules.Time) {
		m.schedule(max(retryAfter, rules.Millisecond), func() { m.request(c) })
	}
}

func (m *admissionModel) schedule(d rules.Time, run func()) { m.events.Schedule(m.now+d, run) }

// handle hands an event to the controller and executes its effects, and so on with the events that they cause.
func (m *admissionModel) handle(e admission.Event) {
	pending := []admission.Event{e}
	for i := 0; i < len(pending); i++ {
		for _, f := range m.controller.Handle(m.now, pending[i]) {
			switch f.Kind {
			case admission.Admit:
				m.requests[f.Slot].admittedAt = m.now
				m.queue = append(m.queue, f.Slot)
			case admission.Reject:
				c := m.requests[f.Slot].conn
				m.freeSlot(f.Slot)
				pending = append(pending, admission.Event{Kind: admission.ConnectionIdle, Conn: c.slot})
				m.schedule(0, func() { m.onRejected(c, f.After) })
			case admission.Evict:
				m.conns[f.Conn].open = false
				pending = append(pending, admission.Event{Kind: admission.ConnectionClosed, Conn: f.Conn})
			case admission.SetTimer:
				m.wakeAt = f.At
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

func (m *admissionModel) freeSlot(slot int) {
	m.requests[slot] = nil
	m.freeSlots = append(m.freeSlots, slot)
}

// finish ends a request that an engine has served.
func (m *admissionModel) finish(slot int, serviceTime rules.Time) {
	m.busy--
	r := m.requests[slot]
	m.freeSlot(slot)
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

// request sends a request on a connection, if that is open and there is a slot for it.
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

// advance runs the model for a while. The controller's timer fires before the events of its time.
func (m *admissionModel) advance(d rules.Time) {
	for until := m.now + d; ; {
		next := until
		if at, ok := m.events.NextAt(); ok {
			next = min(next, at)
		}
		if m.wakeAt > 0 && m.wakeAt <= next {
			m.now, m.wakeAt = max(m.now, m.wakeAt), 0
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

// tenantName is the name of one of many tenants.
func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }
