package rig

import (
	"fmt"
	"sync"
	"time"

	"foxlane/internal/relay"
	"foxlane/internal/standin"
)

// engine is a stand-in with cores, queries in line for them, a cold start, and books of what it was sent.
type engine struct {
	party
	rig   *Rig
	index int
	ways  []*relay.TCP // from each gateway

	mu      sync.Mutex
	srv     *standin.Engine
	id      string
	started time.Time // zero: long ago
	free    []time.Time
	slow    float64
	sent    []coldSend
	fell    int
}

type coldSend struct {
	at   time.Time
	work time.Duration
}

// begin starts the engine's process anew: it knows nothing of what came before.
func (e *engine) begin(cold bool) error {
	srv, err := standin.NewEngine("127.0.0.1:0", e.answer)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.srv, e.slow, e.sent = srv, 1, nil
	e.free = make([]time.Time, e.rig.Cores)
	e.started = time.Time{}
	if cold {
		e.started = time.Now()
	}
	e.mu.Unlock()
	return nil
}

func (e *engine) end() {
	e.mu.Lock()
	srv := e.srv
	e.srv = nil
	e.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

func (e *engine) addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.srv.Addr()
}

// warmth is the part of its speed that the engine has: it warms evenly.
func (e *engine) warmth(now time.Time) float64 {
	if e.started.IsZero() || e.rig.Cold <= 0 || now.Sub(e.started) >= e.rig.Cold {
		return 1
	}
	return e.rig.ColdFrom + (1-e.rig.ColdFrom)*float64(now.Sub(e.started))/float64(e.rig.Cold)
}

// bear counts what comes to a cold engine against what it bears.
func (e *engine) bear(now time.Time, work time.Duration) {
	warm := e.warmth(now)
	if warm >= 1 {
		e.sent = nil
		return
	}
	e.sent = append(e.sent, coldSend{now, work})
	sum := time.Duration(0)
	kept := e.sent[:0]
	for _, s := range e.sent {
		if now.Sub(s.at) <= tipAfter {
			kept = append(kept, s)
			sum += s.work
		}
	}
	e.sent = kept
	if float64(sum) > overload*warm*float64(e.rig.Cores)*float64(tipAfter) {
		e.fell++
		e.sent = nil
	}
}

// answer has a query wait for a core, and run.
func (e *engine) answer(a standin.Ask) standin.Reply {
	now := time.Now()
	k := e.rig.books.asked(a.ID, e)
	work := k.work
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv == nil {
		return standin.Reply{}
	}
	e.bear(now, work)
	first := 0
	for i := range e.free {
		if e.free[i].Before(e.free[first]) {
			first = i
		}
	}
	start := e.free[first]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > lineMost {
		e.rig.books.turned(k)
		return standin.Reply{After: time.Millisecond, Word: "overload"}
	}
	e.free[first] = start.Add(time.Duration(float64(work) / e.warmth(now) * e.slow))
	id := a.ID
	return standin.Reply{After: e.free[first].Sub(now), Work: work, Word: "served", Pages: []string{fmt.Sprintf("%s\tb\tc\n", id)}}
}

const (
	tipAfter = 2 * time.Second
	overload = 3.0
	lineMost = 2 * time.Second
)

// host is the engine as a gateway's list has it, at the relay for that gateway.
func (e *engine) host(gateway int, draining bool) standin.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := standin.Host{ID: e.id, Zone: e.zone, Kind: "std", Weight: 4, Draining: draining, Addr: e.ways[gateway].Addr()}
	if !e.started.IsZero() {
		h.Started = e.started.UnixMilli()
	}
	return h
}
