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
	fleet   *fleet
	index   int
	proxies []*faultproxy.TCP // from each gateway

	mu           sync.Mutex
	server       *standin.Engine
	id           string
	started      time.Time // zero: long ago
	coreFreeAt   []time.Time
	slowdown     float64
	coldSends    []coldSend
	overloads    int
	overloadedAt time.Time
	faultMode    string  // a trouble it has; empty: none
	faultShare   float64 // of the requests that feel it
	rng          *rand.Rand

	listMu       sync.Mutex
	draining     bool // as the list says
	unlisted     bool
	drainVersion uint32 // of the list that first said so
	startVersion uint32 // of the list that first tells of its latest start
}

type coldSend struct {
	at       time.Time
	work     time.Duration
	informed bool // its gateway knew of the start
}

// listStatus is how the engine stands in the list of a number, which may be the first that says so.
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

// drainNotifiedAt is when a gateway was told that the engine drains or is gone; zero: it was not, or the engine does not.
func (e *engine) drainNotifiedAt(gateway int) time.Time {
	e.listMu.Lock()
	version := e.drainVersion
	e.listMu.Unlock()
	if version == 0 {
		return time.Time{}
	}
	return e.fleet.gateways[gateway].notifiedAt(version)
}

// startNotified answers whether a gateway was told of the engine's latest start.
func (e *engine) startNotified(gateway int) bool {
	e.listMu.Lock()
	version := e.startVersion
	e.listMu.Unlock()
	return !e.fleet.gateways[gateway].notifiedAt(version).IsZero()
}

// start starts the engine's process anew: it knows nothing of what came before.
func (e *engine) start(cold bool) error {
	srv, err := standin.NewEngine("127.0.0.1:0", e.respond)
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
	e.server, e.slowdown, e.coldSends, e.faultMode = srv, 1, nil, ""
	e.rng = rand.New(rand.NewPCG(e.fleet.Seed, uint64(e.index)+1000))
	e.coreFreeAt = make([]time.Time, e.fleet.Cores)
	e.started = time.Time{}
	if cold {
		e.started = time.Now()
	}
	e.mu.Unlock()
	return nil
}

func (e *engine) stop() {
	e.mu.Lock()
	srv := e.server
	e.server = nil
	e.mu.Unlock()
	if srv != nil {
		srv.Close()
	}
}

func (e *engine) addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server.Addr()
}

// warmth is the part of its speed that the engine has: it warms evenly.
func (e *engine) warmth(now time.Time) float64 {
	if e.started.IsZero() || e.fleet.Cold <= 0 || now.Sub(e.started) >= e.fleet.Cold {
		return 1
	}
	return e.fleet.ColdFrom + (1-e.fleet.ColdFrom)*float64(now.Sub(e.started))/float64(e.fleet.Cold)
}

// recordColdSend counts what comes to a cold engine against what it bears. It returns what is to be judged of it.
func (e *engine) recordColdSend(now time.Time, work time.Duration, informed bool) (broken string) {
	warm := e.warmth(now)
	if warm >= 1 {
		e.coldSends = nil
		return ""
	}
	e.coldSends = append(e.coldSends, coldSend{now, work, informed})
	sum := time.Duration(0)
	kept := e.coldSends[:0]
	for _, s := range e.coldSends {
		if now.Sub(s.at) <= overloadWindow {
			kept = append(kept, s)
			sum += s.work
		}
	}
	e.coldSends = kept
	broken = e.checkSlowStart(now)
	if float64(sum) > e.fleet.overloadFactor()*warm*float64(e.fleet.Cores)*float64(overloadWindow) && now.Sub(e.overloadedAt) > overloadWindow {
		e.overloads++
		e.overloadedAt = now
	}
	return broken
}

// respond has a query wait for a core, and run.
func (e *engine) respond(ask standin.Request) standin.Reply {
	now := time.Now()
	attempt := e.fleet.recorder.recordEngineRequest(ask, e, now)
	informed := attempt.gateway != nil && e.startNotified(attempt.gateway.index)
	reply, broken := e.execute(ask, attempt, now, informed)
	if reply.Status == "served" && !reply.Reset {
		e.fleet.recorder.recordRun(attempt, now.Add(reply.Delay))
	}
	if broken != "" {
		e.fleet.recorder.addViolation(SlowStartExceeded, "%s", broken)
	}
	return reply
}

// execute has a query wait for a core, and run, or meet the engine's trouble.
func (e *engine) execute(ask standin.Request, attempt *clientAttempt, now time.Time, informed bool) (reply standin.Reply, broken string) {
	work := attempt.work
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return standin.Reply{}, ""
	}
	broken = e.recordColdSend(now, work, informed)
	if e.faultMode != "" && e.rng.Float64() < e.faultShare {
		return e.faultResponse(ask, work), broken
	}
	first := 0
	for i := range e.coreFreeAt {
		if e.coreFreeAt[i].Before(e.coreFreeAt[first]) {
			first = i
		}
	}
	start := e.coreFreeAt[first]
	if start.Before(now) {
		start = now
	}
	if start.Sub(now) > maxQueueTime {
		e.fleet.recorder.recordEngineRejection(attempt)
		return standin.Reply{Delay: time.Millisecond, Status: "overload"}, broken
	}
	e.coreFreeAt[first] = start.Add(time.Duration(float64(work) / e.warmth(now) * e.slowdown))
	id := ask.ID
	return standin.Reply{Delay: e.coreFreeAt[first].Sub(now), ReportedWork: work, Status: "served", Pages: []string{fmt.Sprintf("%s\tb\tc\n", id)}}, broken
}

// faultResponse is what becomes of a request that meets the engine's trouble.
func (e *engine) faultResponse(ask standin.Request, work time.Duration) standin.Reply {
	switch e.faultMode {
	case modeError:
		return standin.Reply{Delay: work / 4, Status: "crashed"}
	case modeMalformed:
		texts := []string{ask.ID + " served total=1 600\r\n1\t2", ask.ID + " served total=1 4\r\n1\t2\n\r\n", "\x00\xff served", ask.ID + " rows index=3 0\r\n\r\n"}
		return standin.Reply{Delay: work, Raw: texts[e.rng.IntN(len(texts))]}
	case modeReset:
		return standin.Reply{Delay: work / 2, Reset: true, Status: "served"}
	}
	return standin.Reply{Delay: time.Hour} // modeHang
}

const (
	overloadWindow = 2 * time.Second
	maxQueueTime   = 2 * time.Second
)

// listEntry is the engine as a gateway's list has it, at the relay for that gateway.
func (e *engine) listEntry(gateway int, draining bool) standin.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := standin.Host{ID: e.id, Zone: e.zone, Kind: "std", Weight: 4, Draining: draining, Addr: e.proxies[gateway].Addr()}
	if !e.started.IsZero() {
		h.Started = e.started.UnixMilli()
	}
	return h
}
