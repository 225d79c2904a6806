package harness

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"foxlane/internal/faultproxy"
	"foxlane/internal/standin"
)

// engine is a fake engine with cores, a queue for them and a slow start. It checks the load that it receives while it
// is cold.
type engine struct {
	party
	fleet   *fleet
	index   int               // in fleet.engines
	proxies []*faultproxy.TCP // from each gateway, by the gateway's index

	mu           sync.Mutex
	server       *standin.Engine // nil: stopped
	id           string
	started      time.Time // zero: so long ago that the engine is warm
	coreFreeAt   []time.Time
	slowdown     float64    // factor by which requests take longer
	coldSends    []coldSend // within overloadWindow
	overloads    int
	overloadedAt time.Time
	faultMode    string  // one of the modes in enginefaults.go; empty: none
	faultShare   float64 // fraction of the requests that faultMode affects
	rng          *rand.Rand

	listMu       sync.Mutex
	draining     bool   // listed as draining
	unlisted     bool   // dropped from the list
	drainVersion uint32 // first version of the list that has it as draining or not at all; 0: none
	startVersion uint32 // first version of the list with the engine's latest start

	formerID      string    // of the process before, which is still listed; empty: none
	formerStarted time.Time // its start
}

// coldSend is a request that reached a cold engine.
type coldSend struct {
	at       time.Time
	work     time.Duration
	notified bool // the gateway that sent it was notified of the engine's start
}

// listStatus returns whether the engine is draining or dropped in a version of the list. It keeps the first version
// in which the engine is either.
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

// drainNotifiedAt returns when a gateway was notified that the engine is draining or removed. It returns the zero
// time if the gateway was not notified yet, or if the engine is neither.
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

// start starts the engine without any state of its previous run, as a new process would.
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

// stop stops the engine and resets its connections.
func (e *engine) stop() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	if server != nil {
		server.Close()
	}
}

// addr returns the address of the engine itself, behind its proxies. The engine must be running.
func (e *engine) addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.server.Addr()
}

// speedFraction returns the engine's current speed as a fraction of its full speed. It grows linearly from ColdFrom
// at the start to 1 after Cold. The caller holds e.mu.
func (e *engine) speedFraction(now time.Time) float64 {
	if e.started.IsZero() || e.fleet.Cold <= 0 || now.Sub(e.started) >= e.fleet.Cold {
		return 1
	}
	return e.fleet.ColdFrom + (1-e.fleet.ColdFrom)*float64(now.Sub(e.started))/float64(e.fleet.Cold)
}

// recordColdSend adds a request to the recent load of a cold engine, and counts an overload if the load exceeds the
// engine's limit. It returns the text of a violation, if there is one. The caller holds e.mu.
func (e *engine) recordColdSend(now time.Time, work time.Duration, notified bool) (violation string) {
	speed := e.speedFraction(now)
	if speed >= 1 {
		e.coldSends = nil
		return ""
	}
	e.coldSends = append(e.coldSends, coldSend{now, work, notified})
	sum := time.Duration(0)
	recent := e.coldSends[:0]
	for _, send := range e.coldSends {
		if now.Sub(send.at) <= overloadWindow {
			recent = append(recent, send)
			sum += send.work
		}
	}
	e.coldSends = recent
	violation = e.checkSlowStart(now)
	if float64(sum) > e.fleet.overloadFactor()*speed*float64(e.fleet.Cores)*float64(overloadWindow) && now.Sub(e.overloadedAt) > overloadWindow {
		e.overloads++
		e.overloadedAt = now
	}
	return violation
}

// respond records a request that reached the engine and returns the reply to it.
func (e *engine) respond(query standin.Request) standin.Reply {
	now := time.Now()
	attempt := e.fleet.recorder.recordEngineRequest(query, e, now)
	notified := attempt.gateway != nil && e.startNotified(attempt.gateway.index)
	reply, violation := e.execute(query, attempt, now, notified)
	if reply.Status == "served" && !reply.Reset {
		e.fleet.recorder.recordRunEnd(attempt, now.Add(reply.Delay))
	}
	if violation != "" {
		e.fleet.recorder.addViolation(SlowStartExceeded, "%s", violation)
	}
	return reply
}

// execute queues a request for a core and computes the reply, or applies the engine's fault. It also returns the text
// of a violation, if there is one.
func (e *engine) execute(query standin.Request, attempt *clientAttempt, now time.Time, notified bool) (reply standin.Reply, violation string) {
	work := attempt.work
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return standin.Reply{}, ""
	}
	violation = e.recordColdSend(now, work, notified)
	if e.faultMode != "" && e.rng.Float64() < e.faultShare {
		return e.faultResponse(query, work), violation
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
		return standin.Reply{Delay: time.Millisecond, Status: "overload"}, violation
	}
	e.coreFreeAt[core] = start.Add(time.Duration(float64(work) / e.speedFraction(now) * e.slowdown))
	return standin.Reply{Delay: e.coreFreeAt[core].Sub(now), ReportedWork: work, Status: "served", Pages: []string{fmt.Sprintf("%s\tb\tc\n", query.ID)}}, violation
}

// faultResponse returns the reply to a request that the engine's fault affects. The caller holds e.mu.
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
	overloadWindow = 2 * time.Second // the load of a cold engine is summed over this
	maxQueueTime   = 2 * time.Second // a request that would wait longer for a core is rejected
)

// listEntry returns the engine's entry in the list of a gateway, with the address of the proxy for that gateway.
func (e *engine) listEntry(gateway int, draining bool) standin.Host {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entryOf(gateway, draining, e.id, e.started)
}

// formerEntry returns the list entry of the process before, as a gateway sees it; ok is false if there is none.
func (e *engine) formerEntry(gateway int) (host standin.Host, ok bool) {
	e.listMu.Lock()
	defer e.listMu.Unlock()
	return e.entryOf(gateway, false, e.formerID, e.formerStarted), e.formerID != ""
}

// entryOf returns the list entry of a process with an id and a start.
func (e *engine) entryOf(gateway int, draining bool, id string, started time.Time) standin.Host {
	host := standin.Host{ID: id, Zone: e.zone, Kind: "std", Weight: 4, Draining: draining, Addr: e.proxies[gateway].Addr()}
	if !started.IsZero() {
		host.Started = started.UnixMilli()
	}
	return host
}
