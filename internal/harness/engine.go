package harness

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxlane/internal/faultproxy"
	"foxlane/internal/standin"
)

// engine is a stand-in with cores, queries in line for them, a cold start, and books of what it was sent.
type engine struct {
	party
	rig   *Rig
	index int
	ways  []*faultproxy.TCP // from each gateway

	mu      sync.Mutex
	srv     *standin.Engine
	id      string
	started time.Time // zero: long ago
	free    []time.Time
	slow    float64
	sent    []coldSend
	fell    int
	fellAt  time.Time
	mode    string  // a trouble it has; empty: none
	part    float64 // of the requests that feel it
	rng     *rand.Rand

	listMu       sync.Mutex
	draining     bool // as the list says
	unlisted     bool
	drainVersion uint32 // of the list that first said so
	backVersion  uint32 // of the list that first tells of its latest start
}

type coldSend struct {
	at       time.Time
	work     time.Duration
	informed bool // its gateway knew of the start
}

// listing is how the engine stands in the list of a number, which may be the first that says so.
func (e *engine) listing(version uint32) (draining, unlisted bool) {
	e.listMu.Lock()
	defer e.listMu.Unlock()
	switch {
	case !e.draining && !e.unlisted:
		e.drainVersion = 0
	case e.drainVersion == 0:
		e.drainVersion = version
	}
	return e.draining, e.unlisted
}

// toldDrain is when a gateway was told that the engine drains or is gone; zero: it was not, or the engine does not.
func (e *engine) toldDrain(gateway int) time.Time {
	e.listMu.Lock()
	version := e.drainVersion
	e.listMu.Unlock()
	if version == 0 {
		return time.Time{}
	}
	return e.rig.gateways[gateway].toldOf(version)
}

// toldStart answers whether a gateway was told of the engine's latest start.
func (e *engine) toldStart(gateway int) bool {
	e.listMu.Lock()
	version := e.backVersion
	e.listMu.Unlock()
	return !e.rig.gateways[gateway].toldOf(version).IsZero()
}

// begin starts the engine's process anew: it knows nothing of what came before.
func (e *engine) begin(cold bool) error {
	srv, err := standin.NewEngine("127.0.0.1:0", e.answer)
	if err != nil {
		return err
	}
	e.rig.mu.Lock()
	version := e.rig.version
	e.rig.mu.Unlock()
	e.listMu.Lock()
	e.backVersion = version + 1
	e.listMu.Unlock()
	e.mu.Lock()
	e.srv, e.slow, e.sent, e.mode = srv, 1, nil, ""
	e.rng = rand.New(rand.NewPCG(e.rig.Seed, uint64(e.index)+1000))
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

// bear counts what comes to a cold engine against what it bears. It returns what is to be judged of it.
func (e *engine) bear(now time.Time, work time.Duration, informed bool) (broken string) {
	warm := e.warmth(now)
	if warm >= 1 {
		e.sent = nil
		return ""
	}
	e.sent = append(e.sent, coldSend{now, work, informed})
	sum := time.Duration(0)
	kept := e.sent[:0]
	for _, s := range e.sent {
		if now.Sub(s.at) <= tipAfter {
			kept = append(kept, s)
			sum += s.work
		}
	}
	e.sent = kept
	broken = e.judgeCold(now)
	if float64(sum) > e.rig.overload()*warm*float64(e.rig.Cores)*float64(tipAfter) && now.Sub(e.fellAt) > tipAfter {
		e.fell++
		e.fellAt = now
	}
	return broken
}

// answer has a query wait for a core, and run.
func (e *engine) answer(a standin.Ask) standin.Reply {
	now := time.Now()
	k := e.rig.books.asked(a, e, now)
	informed := k.gateway != nil && e.toldStart(k.gateway.index)
	reply, broken := e.run(a, k, now, informed)
	if reply.Word == "served" && !reply.Break {
		e.rig.books.runs(k, now.Add(reply.After))
	}
	if broken != "" {
		e.rig.books.judge(FailbackBroken, "%s", broken)
	}
	return reply
}

// run has a query wait for a core, and run, or meet the engine's trouble.
func (e *engine) run(a standin.Ask, k *try, now time.Time, informed bool) (reply standin.Reply, broken string) {
	work := k.work
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.srv == nil {
		return standin.Reply{}, ""
	}
	broken = e.bear(now, work, informed)
	if e.mode != "" && e.rng.Float64() < e.part {
		return e.trouble(a, work), broken
	}
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
		return standin.Reply{After: time.Millisecond, Word: "overload"}, broken
	}
	e.free[first] = start.Add(time.Duration(float64(work) / e.warmth(now) * e.slow))
	id := a.ID
	return standin.Reply{After: e.free[first].Sub(now), Work: work, Word: "served", Pages: []string{fmt.Sprintf("%s\tb\tc\n", id)}}, broken
}

// trouble is what becomes of a request that meets the engine's trouble.
func (e *engine) trouble(a standin.Ask, work time.Duration) standin.Reply {
	switch e.mode {
	case modeErr:
		return standin.Reply{After: work / 4, Word: "crashed"}
	case modeSpoil:
		texts := []string{a.ID + " served total=1 600\r\n1\t2", a.ID + " served total=1 4\r\n1\t2\n\r\n", "\x00\xff served", a.ID + " rows index=3 0\r\n\r\n"}
		return standin.Reply{After: work, Raw: texts[e.rng.IntN(len(texts))]}
	case modeBreak:
		return standin.Reply{After: work / 2, Break: true, Word: "served"}
	}
	return standin.Reply{After: time.Hour} // modeHang
}

const (
	tipAfter = 2 * time.Second
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
