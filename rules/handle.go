package rules

// The entry point of the module; the events and actions are in api.go. It decides which decision an event
// brings up. Invariant: after every event, what can be dispatched is dispatched, and no more requests stay
// open than may.

import (
	"math"
	"math/rand/v2"
	"strings"
)

// New returns the module of a gateway that has just started.
func New(s Settings, seed uint64) *Module {
	m := newState(s, rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)))
	m.share, m.lastDeadline = 1, math.MaxInt64
	m.requestWork.span = learningWindow
	for _, settings := range s.Classes {
		m.classes = append(m.classes, newClass(settings, len(s.Tenants)))
		m.longestTimeout = max(m.longestTimeout, settings.ClientTimeout)
		m.mostThreads = max(m.mostThreads, float64(settings.Threads))
	}
	return m
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (m *Module) Handle(now Time, event Event) []Action {
	m.actions, m.now = m.actions[:0], now
	if !m.started {
		m.started, m.startedAt = true, now
		m.subscribe()
	}
	switch e := event.(type) {
	case FleetUpdate:
		m.handleFleetUpdate(e)
	case Arrival:
		m.handleArrival(e.Request)
	case Outcome:
		m.handleOutcome(e)
	case StreamOpened:
		m.handleStreamOpened(e.ID)
	case ClientGone:
		m.handleClientGone(e.ID)
	case TimerFired:
		m.handleTimer(e.Token)
	case PeerMessage:
		m.handlePeerMessage(e)
	case ShutdownStarted:
		m.handleShutdown(e.Deadline)
	case observation:
		e.apply(m)
	case ProbeResult:
		m.handleProbeResult(e)
	}
	m.dispatch()
	m.shedExcess()
	return m.actions
}

func (m *Module) handleTimer(token string) {
	kind, name, _ := strings.Cut(token, " ")
	switch kind {
	case timerRequest:
		if req := m.requests[RequestID(name)]; req != nil {
			m.review(req)
		}
	case timerKey:
		if queue := m.keyQueues[name]; queue != nil {
			m.serveKeyQueue(queue)
		}
	case timerPoll:
		m.subscribe()
	case timerSweep:
		m.removeGoneEngines()
		m.sweepPending, m.fleetCapacity = false, m.servingCapacity()
	}
}
