package measure

import (
	"container/heap"
	"fmt"
	"net/netip"

	"foxlane/internal/admission"
	"foxlane/rules"
)

// model is a door in virtual time with engines behind it that run so many
// requests at once, in the order in which they pass.
type model struct {
	d       *admission.Controller
	now     rules.Time
	cores   int
	busy    int
	line    []int // passed, waiting for a core
	todo    agenda
	order   int
	wake    rules.Time
	asks    []*modelAsk
	free    []int
	conns   []*modelConn
	slots   []int
	slower  float64
	refused func(c *modelConn, after rules.Time)
	served  func(c *modelConn, a *modelAsk)
}

type modelConn struct {
	slot   int
	tenant string
	run    rules.Time
	work   float64 // served
	open   bool

	granted, back rules.Time // what it was told last; 0: nothing
}

type modelAsk struct {
	conn   *modelConn
	run    rules.Time
	at     rules.Time
	passed rules.Time
}

type item struct {
	at    rules.Time
	order int
	do    func()
}

type agenda []item

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(item)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

const modelPatience = 5 * rules.Second

func newModel(set admission.Settings, sizes admission.Limits, cores int) *model {
	classes := []rules.Class{{LatencyObjective: 500 * rules.Millisecond, ClientTimeout: modelPatience, LateValue: 0.1, Threads: 1}}
	m := &model{d: admission.New(set, sizes, classes, nil, 11), now: rules.Second, cores: cores, slower: 1,
		asks: make([]*modelAsk, sizes.Requests), conns: make([]*modelConn, sizes.ConnectionSlots)}
	for i := range sizes.Requests {
		m.free = append(m.free, i)
	}
	for i := range sizes.ConnectionSlots {
		m.slots = append(m.slots, i)
	}
	return m
}

func (m *model) after(d rules.Time, do func()) {
	m.order++
	heap.Push(&m.todo, item{m.now + d, m.order, do})
}

func (m *model) tell(e admission.Event) {
	inbox := []admission.Event{e}
	for i := 0; i < len(inbox); i++ {
		for _, f := range m.d.Handle(m.now, inbox[i]) {
			switch f.Kind {
			case admission.Admit:
				m.asks[f.Slot].passed = m.now
				m.line = append(m.line, f.Slot)
			case admission.Reject:
				c := m.asks[f.Slot].conn
				m.asks[f.Slot] = nil
				m.free = append(m.free, f.Slot)
				inbox = append(inbox, admission.Event{Kind: admission.ConnectionIdle, Conn: c.slot})
				m.after(0, func() { m.refused(c, f.After) })
			case admission.Evict:
				c := m.conns[f.Conn]
				c.open = false
				inbox = append(inbox, admission.Event{Kind: admission.ConnectionClosed, Conn: f.Conn})
			case admission.SetTimer:
				m.wake = f.At
			}
		}
		for len(m.line) > 0 && m.busy < m.cores {
			slot := m.line[0]
			m.line = m.line[1:]
			m.busy++
			a := m.asks[slot]
			inbox = append(inbox, admission.Event{Kind: admission.RequestForwarded, Slot: slot})
			run := rules.Time(float64(a.run) * m.slower)
			m.after(run, func() { m.end(slot, run) })
		}
	}
}

func (m *model) end(slot int, run rules.Time) {
	m.busy--
	a := m.asks[slot]
	m.asks[slot] = nil
	m.free = append(m.free, slot)
	a.conn.work += float64(run)
	m.tell(admission.Event{Kind: admission.EngineTimeUsed, Slot: slot, EngineTime: run})
	m.tell(admission.Event{Kind: admission.RequestDone, Slot: slot, Served: true})
	if a.conn.open {
		m.tell(admission.Event{Kind: admission.ConnectionIdle, Conn: a.conn.slot})
		m.served(a.conn, a)
	}
}

func (m *model) connect(tenant string, run rules.Time, from netip.Addr) *modelConn {
	c := &modelConn{slot: m.slots[0], tenant: tenant, run: run, open: true}
	m.slots = m.slots[1:]
	m.conns[c.slot] = c
	m.tell(admission.Event{Kind: admission.ConnectionOpened, Conn: c.slot, From: from})
	return c
}

func (m *model) close(c *modelConn) {
	m.conns[c.slot] = nil
	m.slots = append(m.slots, c.slot)
	m.tell(admission.Event{Kind: admission.ConnectionClosed, Conn: c.slot})
}

func (m *model) ask(c *modelConn) {
	if len(m.free) == 0 || !c.open {
		return
	}
	slot := m.free[0]
	m.free = m.free[1:]
	m.asks[slot] = &modelAsk{conn: c, run: c.run, at: m.now}
	m.tell(admission.Event{Kind: admission.RequestArrived, Slot: slot, Conn: c.slot,
		Request: admission.Request{Tenant: c.tenant, Deadline: m.now + modelPatience, DeclaredWork: c.run, StatementBytes: 100}})
}

// play goes on for a while.
func (m *model) play(d rules.Time) {
	for until := m.now + d; ; {
		next := until
		if len(m.todo) > 0 {
			next = min(next, m.todo[0].at)
		}
		if m.wake > 0 && m.wake <= next {
			m.now, m.wake = max(m.now, m.wake), 0
			m.tell(admission.Event{Kind: admission.TimerFired})
			continue
		}
		m.now = max(m.now, next)
		if len(m.todo) == 0 || m.todo[0].at > until {
			return
		}
		heap.Pop(&m.todo).(item).do()
	}
}

// tenantName is one of many.
func tenantName(i int) string { return fmt.Sprintf("tenant-%d", i) }
