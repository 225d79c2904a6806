package rules

// Event handling: which decisions an event triggers. The events and actions are in api.go. Invariant: after
// every event, everything that can be dispatched has been dispatched, and no more requests are open than
// allowed.

import (
	"math"
	"math/rand/v2"
	"strings"
)

// New returns the module of a gateway that starts now. The seed determines all its random numbers.
func New(settings Settings, seed uint64) *Module {
	m := newModule(settings, rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)))
	m.share, m.shutdownDeadline = 1, math.MaxInt64
	m.requestWork.timeConstant = learningTimeConstant
	for _, classSettings := range settings.Classes {
		m.classes = append(m.classes, newClass(classSettings, len(settings.Tenants)))
		m.maxClientTimeout = max(m.maxClientTimeout, classSettings.ClientTimeout)
		m.maxThreads = max(m.maxThreads, float64(classSettings.Threads))
	}
	return m
}

// Handle processes one event and returns the actions to execute. The result is valid until the next call.
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

// AwaitsTimer reports whether a timer with this token may still have an effect. The host may drop any other.
func (m *Module) AwaitsTimer(token string) bool {
	kind, name, _ := strings.Cut(token, " ")
	switch kind {
	case timerRequest:
		req := m.requests[RequestID(name)]
		return req != nil && !req.ended
	case timerKey:
		return m.keyQueues[name] != nil
	default:
		return true
	}
}

// handleTimer handles an expired timer by the kind that its token starts with.
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
