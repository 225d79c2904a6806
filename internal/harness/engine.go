package harness

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxlane/internal/faultproxy"
	"foxlane/internal/standin"
)

// engine is a fake engine with cores, a queue for them, and a slow start, which checks what it is sent while it is cold.
type engine struct {
	party
	fleet   *fleet
	index   int               // in fleet.engines
	proxies []*faultproxy.TCP // from each gateway, by its index

	mu           sync.Mutex
	server       *standin.Engine // nil: stopped
	id           string
	started      time.Time // zero: so long ago that it is warm
	coreFreeAt   []time.Time
	slowdown     float64    // times that its work takes as long
	coldSends    []coldSend // within overloadWindow
	overloads    int
	overloadedAt time.Time
	faultMode    string  // empty: none
	faultShare   float64 // part of the requests that it affects
	rng          *rand.Rand

	listMu       sync.Mutex
	draining     bool   // in the list
	unlisted     bool   // dropped from the list
	drainVersion uint32 // of the list that first said either; 0: none has
	startVersion uint32 // of the list that first has its latest start
}

// coldSend is a request that reached a cold engine.
type coldSend struct {
	at       time.Time
	work     time.Duration
	informed bool // its gateway was notified of the start
}

// listStatus is how the engine stands in the list of a version, which is remembered if it is the first to say so.
func (e *engine) listStatus(version uint32) (draining, unlisted bool) {
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

// drainNotifiedAt is when a gateway was notified that the engine is draining or removed; zero: it was not, or the engine is not.
func (e *engine) drainNotifiedAt(gateway int) time.Time {
	e.listMu.Lock()
	version := e.drainVersion
	e.listMu.Unlock()
	if version == 0 {
		return time.Time{}
	}
	return e.fleet.gateways[gateway].notifiedAt(version)
}

// startNotified reports whether a gateway was notified of the engine's latest start.
func (e *engine) startNotified(gateway int) bool {
	e.listMu.Lock()
	version := e.startVersion
	e.listMu.Unlock()
	return !e.fleet.gateways[gateway].notifiedAt(version).IsZero()
}

// start starts the engine as a new process, without any state of the one before.
func (e *engine) start(cold bool) error {
	server, err := standin.NewEngine("127.0.0.1:0", e.respond)
	if err != nil {
		return err
	}
	e.fleet.mu.Lock()
	version := e.fleet.listVersion
	e.fleet.mu.Unlock()
	e.listMu.Lock()
	e.startVersion = version + 1
	e.listMu.Unlock()
	e.mu.Lock()
	e.server, e.slowdown, e.coldSends, e.faultMode = server, 1, nil, ""
	e.rng = rand.New(rand.NewPCG(e.fleet.Seed, uint64(e.index)+1000))
	e.coreFreeAt = make([]time.Time, e.fleet.Cores)
	e.started = time.Time{}
	if cold {
		e.started = time.Now()
	}
	e.mu.Unlock()
	return nil
}

// stop stops the engine. Its connections are reset.
func (e *engine) stop() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// addr is the address of the engine itself, behind its proxies. It runs.
func (e *engine) addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server.Addr()
}

// warmth is the part of its full speed that the engine has, which grows evenly from its start. e.mu is held.
func (e *engine) warmth(now time.Time) float64 {
	if e.started.IsZero() || e.fleet.Cold <= 0 || now.Sub(e.started) >= e.fleet.Cold {
		return 1
	}
	return e.fleet.ColdFrom + (1-e.fleet.ColdFrom)*float64(now.Sub(e.started))/float64(e.fleet.Cold)
}

// recordColdSend counts a request at a cold engine against what it can bear. It returns the text of a violation, if there is one.
// e.mu is held.
func (e *engine) recordColdSend(now time.Time, work time.Duration, informed bool) (broken string) {
	warm := e.warmth(now)
	if warm >= 1 {
		e.coldSends = nil
		return ""
	}
	e.coldSends = append(e.coldSends, coldSend{now, work, informed})
	sum := time.Duration(0)
	recent := e.coldSends[:0]
	for _, s := range e.coldSends {
		if now.Sub(s.at) <= overloadWindow {
			recent = append(recent, s)
			sum += s.work
		}
	}
	e.coldSends = recent
	broken = e.checkSlowStart(now)
	if float64(sum) > e.fleet.overloadFactor()*warm*float64(e.fleet.Cores)*float64(overloadWindow) && now.Sub(e.overloadedAt) > overloadWindow {
		e.overloads++
		e.overloadedAt = now
	}
	return broken
}

// respond records a request and returns the reply to it.
func (e *engine) respond(query standin.Request) standin.Reply {
	now := time.Now()
	attempt := e.fleet.recorder.recordEngineRequest(query, e, now)
	informed := attempt.gateway != nil && e.startNotified(attempt.gateway.index)
	reply, broken := e.execute(query, attempt, now, informed)
	if reply.Status == "served" && !reply.Reset {
		e.fleet.recorder.recordRun(attempt, now.Add(reply.Delay))
	}
	if broken != "" {
		e.fleet.recorder.addViolation(SlowStartExceeded, "%s", broken)
	}
	return reply
}

// execute queues a request for a core and runs it, or applies the engine's fault. It returns the text of a violation, if there is
// one.
func (e *engine) execute(query standin.Request, attempt *clientAttempt, now time.Time, informed bool) (reply standin.Reply, broken string) {
	work := attempt.work
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return standin.Reply{}, ""
	}
	broken = e.recordColdSend(now, work, informed)
	if e.faultMode != "" && e.rng.Float64() < e.faultShare {
		return e.faultResponse(query, work), broken
	}
	core := 0
	for i := range e.coreFreeAt {
		if e.coreFreeAt[i].Before(e.coreFreeAt[core]) {
			core = i
		}
	}
	start := e.coreFreeAt[core]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > maxQueueTime {
		e.fleet.recorder.recordEngineRejection(attempt)
		return standin.Reply{Delay: time.Millisecond, Status: "overload"}, broken
	}
	e.coreFreeAt[core] = start.Add(time.Duration(float64(work) / e.warmth(now) * e.slowdown))
	return standin.Reply{Delay: e.coreFreeAt[core].Sub(now), ReportedWork: work, Status: "served", Pages: []string{fmt.Sprintf("%s\tb\tc\n", query.ID)}}, broken
}

// faultResponse is the reply to a request that the engine's fault affects. e.mu is held.
func (e *engine) faultResponse(query standin.Request, work time.Duration) standin.Reply {
	switch e.faultMode {
	case modeError:
		return standin.Reply{Delay: work / 4, Status: "crashed"}
	case modeMalformed:
		texts := []string{query.ID + " served total=1 600\r\n1\t2", query.ID + " served total=1 4\r\n1\t2\n\r\n", "\x00\xff served", query.ID + " rows index=3 0\r\n\r\n"}
		return standin.Reply{Delay: work, Raw: texts[e.rng.IntN(len(texts))]}
	case modeReset:
		return standin.Reply{Delay: work / 2, Reset: true, Status: "served"}
	}
	return standin.Reply{Delay: time.Hour} // modeHang
}

const (
	overloadWindow = 2 * time.Second // over which the load of a cold engine is summed
	maxQueueTime   = 2 * time.Second // a request that would wait longer for a core is rejected
)

// listEntry is the engine in the list of a gateway, with the address of the proxy for that gateway.
func (e *engine) listEntry(gateway int, draining bool) standin.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := standin.Host{ID: e.id, Zone: e.zone, Kind: "std", Weight: 4, Draining: draining, Addr: e.proxies[gateway].Addr()}
	if !e.started.IsZero() {
		h.Started = e.started.UnixMilli()
	}
	return h
}
