package rules

import "math/rand/v2"

// State of the module. This file makes no decisions: those are in the files that deploy/balancer.toml lists
// under policy.

// Module makes the decisions of one gateway. It is not safe for concurrent use.
type Module struct {
	settings Settings
	rng      *rand.Rand
	zonePlan ZonePlan // nil: no plan

	now              Time
	startedAt        Time
	started          bool
	shutdownDeadline Time // math.MaxInt64: no shutdown
	actions          []Action
	sweepPending     bool // the sweep timer is set

	engines          []*engine // in the order they were first listed
	engineByID       map[EngineID]*engine
	fleetCapacity    EngineKind // of all serving engines, see servingCapacity
	inFlightLoad     inFlightLoad
	highPriorityLoad inFlightLoad // the part of inFlightLoad with a high priority
	share            float64      // learned share of the fleet, as a multiple of an even share

	requests    map[RequestID]*request // open requests, and ended ones with attempts in flight
	queuedCount int
	classes     []*class
	dataSets    map[int]*dataSet
	keyQueues   map[string]*keyQueue
	requestWork decayingMean // work of a request of any class

	maxClientTimeout Time    // over all classes
	maxThreads       float64 // of a request, over all classes
	arrivals         []Time  // within the window of the retry budget
	retries          []Time  // within the window of the retry budget

	candidates  []*engine // scratch space: candidates for a request; see isCandidate
	zoneEngines []*engine // scratch space: engines of a zone
}

// newModule returns a module without classes.
func newModule(settings Settings, rng *rand.Rand) *Module {
	settings.Gateways = max(settings.Gateways, 1) // at least this gateway
	return &Module{settings: settings, rng: rng, maxThreads: 1, engineByID: map[EngineID]*engine{},
		requests: map[RequestID]*request{}, keyQueues: map[string]*keyQueue{}, dataSets: map[int]*dataSet{}}
}

func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }

// Kinds of timer tokens. A host may send tokens over the wire, so their form is fixed.
const (
	timerRequest = "request" // followed by a request ID: review the request
	timerKey     = "lane"    // followed by an order key: serve its queue
	timerPoll    = "ask"     // subscribe to the endpoint list again
	timerSweep   = "sweep"   // reconsider queued requests
)

// setTimer sets a timer for a request or an order key.
func (m *Module) setTimer(at Time, kind, name string) {
	m.emit(SetTimer{At: at, Token: kind + " " + name})
}

// subscribe requests updates of the endpoint list, if these need a subscription.
func (m *Module) subscribe() {
	if m.settings.PullMembership {
		m.emit(Subscribe{On: true})
	}
}

// observation is an event that only updates the state and triggers no decision of its own.
type observation interface{ apply(m *Module) }

func (e ZonePlanChanged) apply(m *Module) { m.zonePlan = e.Plan }

func (e PeerSlowStartUsage) apply(m *Module) {
	if eng := m.engineByID[e.Engine]; eng != nil {
		eng.peerSlowStartWork = e.Work
	}
}
