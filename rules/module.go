package rules

import "math/rand/v2"

// The state of the module. It decides nothing: the decisions are in the files that deploy/balancer.toml
// lists under policy.

// Module decides for one gateway. It is not safe for concurrent use.
type Module struct {
	settings Settings
	rng      *rand.Rand
	zonePlan ZonePlan // nil: none

	now          Time
	startedAt    Time
	started      bool
	lastDeadline Time // no request may end later
	actions      []Action
	sweepPending bool // the sweep timer is set

	engines       []*engine // in the order they were first listed
	engineByID    map[EngineID]*engine
	fleetCapacity EngineKind // all serving engines together, those that warm up by what they can do now
	inFlight      inFlightLoad
	highPriority  inFlightLoad // the part of inFlight that has a high priority at the engines
	share         float64      // learned share of the fleet, as a multiple of one over the gateways

	requests    map[RequestID]*request // open ones
	queuedCount int
	classes     []*class
	dataSets    map[int]*dataSet
	keyQueues   map[string]*keyQueue
	requestWork decayingMean // work of a request of any class

	longestTimeout Time    // the longest client timeout of any class
	mostThreads    float64 // threads of the class with the most
	arrivals       []Time  // of requests, within the window of the retry budget
	retries        []Time  // likewise

	candidates  []*engine // scratch: the engines that may take a request
	zoneEngines []*engine // scratch: engines of a zone
}

func newState(s Settings, rng *rand.Rand) *Module {
	s.Gateways = max(s.Gateways, 1) // this gateway is one of them
	return &Module{settings: s, rng: rng, mostThreads: 1, engineByID: map[EngineID]*engine{},
		requests: map[RequestID]*request{}, keyQueues: map[string]*keyQueue{}, dataSets: map[int]*dataSet{}}
}

func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }

// Tokens of timers. A host may pass them on over a wire, so their form is fixed.
const (
	timerRequest = "request" // with the request's ID: review it
	timerKey     = "lane"    // with the order key: serve its queue
	timerPoll    = "ask"     // subscribe to the endpoint list again
	timerSweep   = "sweep"   // reconsider queued requests
)

// setTimer asks for a timer of one request or order key.
func (m *Module) setTimer(at Time, kind, name string) {
	m.emit(SetTimer{At: at, Token: kind + " " + name})
}

func (m *Module) subscribe() {
	if m.settings.PullMembership {
		m.emit(Subscribe{On: true})
	}
}

// observation is an event that only adds to what the module knows.
type observation interface{ apply(m *Module) }

func (e ZonePlanChanged) apply(m *Module) { m.zonePlan = e.Plan }

func (e PeerSlowStartUsage) apply(m *Module) {
	if known := m.engineByID[e.Engine]; known != nil {
		known.peerSlowStartWork = e.Work
	}
}
