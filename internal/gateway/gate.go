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

// gate is the door with the slots by which it names connections and requests.
type gate struct {
	door  *admission.Door
	conns slots[client]
	asks  slots[request]
	inbox []admission.Event
	busy  bool
	wake  rules.Time      // 0: none
	last  admission.Stats // at the last line of the log
}

// slots gives numbers to what is open.
type slots[T any] struct {
	all  []*T
	free []int
}

func newSlots[T any](n int) slots[T] {
	s := slots[T]{all: make([]*T, n), free: make([]int, n)}
	for i := range s.free {
		s.free[i] = n - 1 - i
	}
	return s
}

func (s *slots[T]) take(v *T) int {
	i := s.free[len(s.free)-1]
	s.free = s.free[:len(s.free)-1]
	s.all[i] = v
	return i
}

func (s *slots[T]) drop(i int) {
	s.all[i] = nil
	s.free = append(s.free, i)
}

// newGate returns the door that the operator has set, or nil.
func newGate(cfg *config.Config) *gate {
	if cfg.Site == nil || cfg.Site.Fair == nil {
		return nil
	}
	l := cfg.Limits
	sizes := admission.Sizes{Conns: l.Clients + l.AcceptAhead/2 + 1, Room: l.Clients, Asks: l.Requests + 1, Statements: l.InputBytes, Input: l.InputBytes,
		State: l.DoorState}
	return &gate{
		door:  admission.New(doorSettings(cfg), sizes, cfg.Settings.Rules.Classes, cfg.Settings.Tenants, cfg.Seed),
		conns: newSlots[client](sizes.Conns),
		asks:  newSlots[request](sizes.Asks),
	}
}

// doorSettings are the operator's, within what the site allows: times of return only where clients may be told.
func doorSettings(cfg *config.Config) admission.Settings {
	s := cfg.Site.Fair.Door
	switch l := cfg.Settings.Rules.Limits; {
	case !l.RetryAfter:
		s.Longest = 0
	case l.MaxRetryAfter > 0:
		s.Longest = min(s.Longest, l.MaxRetryAfter)
	}
	return s
}

func (a *gate) knows(tenant string) bool { return a != nil && a.door.Knows(tenant) }

// atGate hands an event to the door and carries out what it asks for. Events
// that arise meanwhile wait for their turn, as with the module.
func (g *Gateway) atGate(e admission.Event) {
	a := g.gate
	if a == nil {
		return
	}
	a.inbox = append(a.inbox, e)
	if a.busy {
		return
	}
	a.busy = true
	for i := 0; i < len(a.inbox); i++ {
		e := a.inbox[i]
		effects := a.door.Handle(g.now, e)
		switch e.Kind {
		case admission.Closed:
			a.conns.drop(e.Conn)
		case admission.Done:
			a.asks.drop(e.Slot)
		}
		for _, f := range effects {
			g.actGate(f)
		}
	}
	clear(a.inbox)
	a.inbox = a.inbox[:0]
	a.busy = false
}

func (g *Gateway) actGate(f admission.Effect) {
	a := g.gate
	switch f.Kind {
	case admission.Pass:
		g.pass(a.asks.all[f.Slot], f.After)
	case admission.Refuse:
		if r := a.asks.all[f.Slot]; !r.answered {
			r.why = EndAdmission
			g.turnAway(r, f.After)
		}
	case admission.Evict:
		if c := a.conns.all[f.Conn]; c != nil && !c.ended {
			g.evict(c, f)
		}
	case admission.Breach:
		if c := a.conns.all[f.Conn]; c != nil && !c.ended {
			g.breach(c, 1, &mysql.Error{Code: mysql.CodeTooLarge, Text: "too much input is unfinished"})
		}
	case admission.Wake:
		a.wake = f.At
	}
}

// evict closes a connection that gives way, with a refusal if its client may be about to read one.
func (g *Gateway) evict(c *client, f admission.Effect) {
	why := "no room for this connection"
	if f.After > 0 {
		why = fmt.Sprintf("%s; holdoff=%d", why, int64(f.After/rules.Millisecond))
	}
	if c.fresh != nil {
		g.turnOut(c, CloseAdmission, why)
		return
	}
	g.log(Info, "client: gave way", Attr{"session", c.session}, Attr{"why", f.Why.String()})
	g.closeClient(c, CloseAdmission)
}

// enterGate takes a connection to the admission. It answers whether it may stay.
func (g *Gateway) enterGate(c *client, from netip.Addr) bool {
	c.slot = g.gate.conns.take(c)
	g.atGate(admission.Event{Kind: admission.Opened, Conn: c.slot, From: from})
	return !c.ended
}

func (g *Gateway) leaveGate(c *client) {
	g.atGate(admission.Event{Kind: admission.Closed, Conn: c.slot})
}

// askGate takes a request to the admission.
func (g *Gateway) askGate(r *request, tenant string) {
	r.slot = g.gate.asks.take(r)
	q := r.arrival
	key := ""
	if g.cfg.Settings.Rules.Classes[r.class].Ordered {
		key = q.OrderKey
	}
	if g.cfg.Trace {
		g.traceQueued(r, "admission")
	}
	g.atGate(admission.Event{Kind: admission.Asked, Slot: r.slot, Conn: r.client.slot, Ask: admission.Ask{
		Class: r.class, Tenant: tenant, Key: key, Due: q.Deadline, Work: q.EstimatedWork, Bytes: len(r.statement),
	}})
}

// retuneGate goes over to the settings of a file that was read again.
func (g *Gateway) retuneGate() {
	if g.gate == nil {
		return
	}
	set := doorSettings(&g.cfg)
	g.atGate(admission.Event{Kind: admission.Retuned, Settings: &set, Declared: g.cfg.Settings.Tenants})
}

func (g *Gateway) ringGate() {
	if a := g.gate; a != nil && a.wake != 0 && a.wake <= g.now {
		a.wake = 0
		g.atGate(admission.Event{Kind: admission.Tick})
	}
}

// nextWake is when the reducer is to be woken next.
func (g *Gateway) nextWake() (rules.Time, bool) {
	at, ok := g.timers.next()
	if a := g.gate; a != nil && a.wake != 0 && (!ok || a.wake < at) {
		at, ok = max(a.wake, g.now+1), true
	}
	if h := g.shelf; h != nil && h.wake != 0 && (!ok || h.wake < at) {
		at, ok = max(h.wake, g.now+1), true
	}
	return at, ok
}

// logGate notes what the door did since the last line.
func (g *Gateway) logGate() {
	a := g.gate
	if a == nil {
		return
	}
	s, l := a.door.Stats(), a.last
	a.last = s
	attrs := []Attr{{"tenants", s.Tenants}, {"held", s.Held}, {"open", s.Open}, {"passed", s.Passed - l.Passed}, {"waited", s.Waited - l.Waited}}
	for w := range s.Refused {
		if n := s.Refused[w] - l.Refused[w]; n > 0 {
			attrs = append(attrs, Attr{"refused_for_" + admission.Why(w).String(), n})
		}
		if n := s.Evicted[w] - l.Evicted[w]; n > 0 {
			attrs = append(attrs, Attr{"closed_for_" + admission.Why(w).String(), n})
		}
	}
	g.log(Info, "door", append(attrs, Attr{"told", s.Told - l.Told}, Attr{"kept", s.Kept - l.Kept}, Attr{"lost", s.Lost - l.Lost},
		Attr{"needed_over_told", s.NeededOverTold}, Attr{"state_bytes", a.door.StateBytes()})...)
}
