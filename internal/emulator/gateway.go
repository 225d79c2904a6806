package emulator

import (
	"fmt"

	"foxlane/internal/gossip"
	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file models a gateway's process: it passes events to the decision module and executes the module's actions.

// gateway is a modelled gateway, over all of its incarnations.
type gateway struct {
	fleet        *Fleet
	index        int
	zone         int
	incarnation  int // incremented when it starts and when it crashes
	up           bool
	stopping     bool // it shuts down gracefully and gets no new requests
	module       *rules.Module
	pending      []rules.Event // events for the module, in order of arrival
	handling     bool          // handle is processing pending
	requests     map[rules.RequestID]*request
	byArrival    []*request                    // in order of arrival, including some that have finished
	lastUsed     map[rules.EngineID]rules.Time // last use of the connection to an engine; no entry: none is open
	observations map[rules.EngineID]*observation
	serving      map[rules.EngineID]bool       // according to this gateway's copy of the endpoint list
	startedAt    map[rules.EngineID]rules.Time // likewise
	zones        *zones.Controller             // nil: no zone failover
	shedOrder    shedOrder
	replica      *replica.Store // nil: no gossip
	gossip       *gossip.Observations
}

// request is one try of a client's request, at the gateway that received it.
type request struct {
	origin      *clientRequest
	id          rules.RequestID
	gateway     *gateway
	incarnation int // of the gateway
	class       *rules.Class
	work        float64
	priority    int
	arrivedAt   rules.Time
	deadline    rules.Time
	attempts    []*attempt
	finished    bool // it has been answered, or the gateway has crashed
}

// compactionThreshold is the length of byArrival above which finished requests are removed from it.
const compactionThreshold = 64

// after calls run after a delay, unless the gateway crashes or restarts first.
func (g *gateway) after(d rules.Time, run func()) { g.afterIn(g.incarnation, d, run) }

// afterIn calls run after a delay if the gateway is then up in the given incarnation.
func (g *gateway) afterIn(incarnation int, d rules.Time, run func()) {
	g.fleet.after(d, func() {
		if g.up && g.incarnation == incarnation {
			run()
		}
	})
}

// every calls run periodically, first at a random time within interval, until the gateway crashes or restarts.
func (g *gateway) every(interval rules.Time, run func()) {
	var tick func()
	tick = func() {
		run()
		g.after(interval, tick)
	}
	g.after(rules.Time(g.fleet.rng.Int64N(int64(interval))), tick)
}

// start starts a new incarnation of the gateway, whose only knowledge is the current endpoint list.
func (g *gateway) start() {
	scenario := &g.fleet.scenario
	s := scenario.Settings
	s.GatewayIndex, s.Zone, s.Gateways = g.index, g.zone, scenario.Gateways
	g.incarnation++
	g.up, g.stopping = true, false
	if factor := scenario.SlowStartBudgetFactor; factor > 0 {
		s.Constraints.OverloadFactor *= factor
	}
	g.module = rules.New(s, g.fleet.rng.Uint64())
	g.requests, g.lastUsed, g.byArrival = map[rules.RequestID]*request{}, map[rules.EngineID]rules.Time{}, nil
	g.pending, g.handling = nil, false
	g.observations, g.serving, g.startedAt = map[rules.EngineID]*observation{}, map[rules.EngineID]bool{}, map[rules.EngineID]rules.Time{}
	g.startZones()
	g.startGossip()
	g.applyList(rules.UpdateCached, g.fleet.listEntries())
}

// applyList applies an update of the endpoint list.
func (g *gateway) applyList(mode rules.UpdateMode, list []rules.Engine) {
	for _, e := range list {
		g.serving[e.ID], g.startedAt[e.ID] = e.State == rules.EngineServing, e.StartedAt
	}
	g.handle(rules.FleetUpdate{Mode: mode, Engines: list})
}

// crash ends the gateway's process at once: engines cancel its attempts, and its clients fail over to other gateways.
func (g *gateway) crash() {
	g.up = false
	g.incarnation++
	g.scheduleCrashDetection()
	for _, r := range g.byArrival {
		if r.finished {
			continue
		}
		r.finished = true
		for _, a := range r.attempts {
			if a.job != nil {
				a.engine.cancel(a.job)
			}
		}
		g.failOver(r.origin)
	}
	g.byArrival = nil
}

// failOver schedules a client's retry at another gateway after FailoverDelay.
func (g *gateway) failOver(r *clientRequest) {
	g.fleet.after(g.fleet.scenario.Clients.FailoverDelay, func() { g.fleet.retry(r, 0) })
}

// receive handles one try of a client's request.
func (g *gateway) receive(origin *clientRequest) {
	f := g.fleet
	if !g.up {
		g.failOver(origin)
		return
	}
	f.nextRequest++
	r := &request{origin: origin, id: rules.RequestID(fmt.Sprintf("%016x", f.nextRequest)), gateway: g, incarnation: g.incarnation,
		class: &f.scenario.Settings.Classes[origin.class], work: origin.work, arrivedAt: f.now, deadline: origin.deadline - f.scenario.Network.Client}
	g.requests[r.id] = r
	g.byArrival = append(g.byArrival, r)
	if len(g.byArrival) > compactionThreshold && g.byArrival[0].finished {
		g.compactArrivals()
	}
	f.Metrics.recordFirstTry(r, firstTries)
	if !g.admits(r) {
		return
	}
	g.handle(rules.Arrival{Request: rules.Request{ID: r.id, Class: origin.class, Deadline: r.deadline, EstimatedWork: rules.Time(origin.declaredWork),
		HasEstimate: true, DataSet: origin.dataSet, IsRetry: origin.tries > 1}})
	g.after(r.deadline+f.scenario.Settings.Constraints.DeadlineSlack+1-f.now, func() {
		if !r.finished {
			f.Metrics.Unanswered++
		}
	})
}

// compactArrivals removes finished requests from byArrival.
func (g *gateway) compactArrivals() {
	unfinished := g.byArrival[:0]
	for _, r := range g.byArrival {
		if !r.finished {
			unfinished = append(unfinished, r)
		}
	}
	clear(g.byArrival[len(unfinished):])
	g.byArrival = unfinished
}

// handle passes an event to the module and executes the resulting actions. Events caused by these actions are queued,
// so that the module is never called recursively.
func (g *gateway) handle(e rules.Event) {
	g.pending = append(g.pending, e)
	if g.handling {
		return
	}
	g.handling = true
	for next := 0; next < len(g.pending); next++ { // pending can grow during the loop
		actions := g.module.Handle(g.fleet.now, g.pending[next])
		for _, action := range actions {
			g.execute(action)
		}
	}
	g.pending, g.handling = g.pending[:0], false
}

// execute executes one action of the module. Actions for requests that have finished are ignored.
func (g *gateway) execute(action rules.Action) {
	f := g.fleet
	switch a := action.(type) {
	case rules.Send:
		g.forward(g.requests[a.ID], a.Engine)
	case rules.SetAttemptOptions:
		if r := g.requests[a.ID]; r != nil {
			r.priority = a.Priority
		}
	case rules.Cancel:
		if r := g.requests[a.ID]; r != nil {
			g.cancel(r.attempts[a.Attempt])
		}
	case rules.Reject:
		if r := g.requests[a.ID]; r != nil && !r.finished {
			retryAfter := a.RetryAfter
			if g.zones != nil && !g.stopping {
				retryAfter = max(retryAfter, min(g.zones.RetryAfter(f.now), f.scenario.Settings.Limits.MaxRetryAfter))
			}
			g.reject(r, retryAfter)
		}
	case rules.Fail:
		if r := g.requests[a.ID]; r != nil && !r.finished {
			f.Metrics.Failed++
			g.finish(r)
			if r.class.Idempotency == rules.Idempotent {
				f.after(f.scenario.Network.Client, func() { f.retry(r.origin, 0) })
			}
		}
	case rules.SetTimer:
		g.after(max(a.At-f.now, 1), func() { g.handle(rules.TimerFired{Token: a.Token}) })
	}
}

// reject answers a request with a rejection that names retryAfter, at most MaxRetryAfter.
func (g *gateway) reject(r *request, retryAfter rules.Time) {
	f := g.fleet
	f.Metrics.Rejected++
	f.Metrics.recordFirstTry(r, rejectedTries)
	g.finish(r)
	f.after(f.scenario.Network.Client, func() { f.retry(r.origin, min(retryAfter, f.scenario.Settings.Limits.MaxRetryAfter)) })
}

// finish marks a request as answered, and removes it if its last attempt has ended.
func (g *gateway) finish(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		if !a.done {
			return
		}
	}
	delete(g.requests, r.id)
}
