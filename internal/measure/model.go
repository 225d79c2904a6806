package measure

import (
	"container/heap"
	"fmt"
	"net/netip"

	"foxlane/internal/admission"
	"foxlane/rules"
)

// admissionModel is a door in virtual time with engines behind it that run so many
// requests at once, in the order in which they pass.
type admissionModel struct {
	controller   *admission.Controller
	now          rules.Time
	cores        int
	busy         int
	queue        []int // passed, waiting for a core
	events       eventHeap
	lastSequence int
	wakeAt       rules.Time
	requests     []*modelRequest
	freeSlots    []int
	conns        []*modelConn
	freeConns    []int
	slowdown     float64
	onRejected   func(c *modelConn, after rules.Time)
	onServed     func(c *modelConn, a *modelRequest)
}

type modelConn struct {
	slot        int
	tenant      string
	serviceTime rules.Time
	servedWork  float64 // served
	open        bool

	rejectedAt, retryAt rules.Time // what it was told last; 0: nothing
}

type modelRequest struct {
	conn        *modelConn
	serviceTime rules.Time
	arrivedAt   rules.Time
	admittedAt  rules.Time
}

type event struct {
	at       rules.Time
	sequence int
	run      func()
}

type eventHeap []event

func (a eventHeap) Len() int { return len(a) }
func (a eventHeap) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].sequence < a[j].sequence
}
func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *eventHeap) Push(x any)   { *a = append(*a, x.(event)) }
func (a *eventHeap) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

const modelTimeout = 5 * rules.Second

func newAdmissionModel(set admission.Settings, sizes admission.Limits, cores int) *admissionModel {
	classes := []rules.Class{{LatencyObjective: 500 * rules.Millisecond, ClientTimeout: modelTimeout, LateValue: 0.1, Threads: 1}}
	m := &admissionModel{controller: admission.New(set, sizes, classes, nil, 11), now: rules.Second, cores: cores, slowdown: 1,
		requests: make([]*modelRequest, sizes.Requests), conns: make([]*modelConn, sizes.ConnectionSlots)}
	for i := range sizes.Requests {
		m.freeSlots = append(m.freeSlots, i)
	}
	for i := range sizes.ConnectionSlots {
		m.freeConns = append(m.freeConns, i)
	}
	return m
}

func (m *admissionModel) schedule(d rules.Time, do func()) {
	m.lastSequence++
	heap.Push(&m.events, event{m.now + d, m.lastSequence, do})
}

func (m *admissionModel) handle(e admission.Event) {
	inbox := []admission.Event{e}
	for i := 0; i < len(inbox); i++ {
		for _, f := range m.controller.Handle(m.now, inbox[i]) {
			switch f.Kind {
			case admission.Admit:
				m.requests[f.Slot].admittedAt = m.now
				m.queue = append(m.queue, f.Slot)
			case admission.Reject:
				c := m.requests[f.Slot].conn
				m.requests[f.Slot] = nil
				m.freeSlots = append(m.freeSlots, f.Slot)
				inbox = append(inbox, admission.Event{Kind: admission.ConnectionIdle, Conn: c.slot})
				m.schedule(0, func() { m.onRejected(c, f.After) })
			case admission.Evict:
				c := m.conns[f.Conn]
				c.open = false
				inbox = append(inbox, admission.Event{Kind: admission.ConnectionClosed, Conn: f.Conn})
			case admission.SetTimer:
				m.wakeAt = f.At
			}
		}
		for len(m.queue) > 0 && m.busy < m.cores {
			slot := m.queue[0]
			m.queue = m.queue[1:]
			m.busy++
			a := m.requests[slot]
			inbox = append(inbox, admission.Event{Kind: admission.RequestForwarded, Slot: slot})
			run := rules.Time(float64(a.serviceTime) * m.slowdown)
			m.schedule(run, func() { m.finish(slot, run) })
		}
	}
}

func (m *admissionModel) finish(slot int, run rules.Time) {
	m.busy--
	a := m.requests[slot]
	m.requests[slot] = nil
	m.freeSlots = append(m.freeSlots, slot)
	a.conn.servedWork += float64(run)
	m.handle(admission.Event{Kind: admission.EngineTimeUsed, Slot: slot, EngineTime: run})
	m.handle(admission.Event{Kind: admission.RequestDone, Slot: slot, Served: true})
	if a.conn.open {
		m.handle(admission.Event{Kind: admission.ConnectionIdle, Conn: a.conn.slot})
		m.onServed(a.conn, a)
	}
}

func (m *admissionModel) connect(tenant string, run rules.Time, from netip.Addr) *modelConn {
	c := &modelConn{slot: m.freeConns[0], tenant: tenant, serviceTime: run, open: true}
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

func (m *admissionModel) request(c *modelConn) {
	if len(m.freeSlots) == 0 || !c.open {
		return
	}
	slot := m.freeSlots[0]
	m.freeSlots = m.freeSlots[1:]
	m.requests[slot] = &modelRequest{conn: c, serviceTime: c.serviceTime, arrivedAt: m.now}
	m.handle(admission.Event{Kind: admission.RequestArrived, Slot: slot, Conn: c.slot,
		Request: admission.Request{Tenant: c.tenant, Deadline: m.now + modelTimeout, DeclaredWork: c.serviceTime, StatementBytes: 100}})
}

// advance goes on for a while.
func (m *admissionModel) advance(d rules.Time) {
	for until := m.now + d; ; {
		next := until
		if len(m.events) > 0 {
			next = min(next, m.events[0].at)
		}
		if m.wakeAt > 0 && m.wakeAt <= next {
			m.now, m.wakeAt = max(m.now, m.wakeAt), 0
			m.handle(admission.Event{Kind: admission.TimerFired})
			continue
		}
		m.now = max(m.now, next)
		if len(m.events) == 0 || m.events[0].at > until {
			return
		}
		heap.Pop(&m.events).(event).run()
	}
}

// tenantName is one of many.
func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }
