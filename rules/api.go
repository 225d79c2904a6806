// Package rules decides when and where each query of a gateway runs.
//
// The package is a deterministic state machine: Module.Handle takes the time
// and one event and returns the actions that follow, in order. It does no I/O,
// starts no goroutine, reads no clock, and draws random numbers only from the
// seed it was given, so the same events give the same actions.
//
// This file, api.go, is its whole interface: settings, events and actions. It
// holds no decision, no tuned value and nothing of any protocol; whatever
// carries queries translates to and from these types. Each decision has a file
// of its own (admission.go, routing.go, retry.go and so on), which states what
// it decides and the invariant that it keeps.
package rules

// Time is a point on, or a span of, the host's clock, in microseconds.
type Time int64

// Spans of Time.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// RequestID identifies a request. It carries no meaning beyond equality.
type RequestID string

// EngineID identifies an engine; it survives a restart of the engine's process.
type EngineID uint32

// Idempotency says whether a request may run more than once.
type Idempotency int

// Idempotency of a class.
const (
	Idempotent        Idempotency = iota // may be retried and rejected freely
	IdempotentWithKey                    // engines drop repeats within DedupScope, for DedupWindow
	NotIdempotent                        // must never run twice
)

// DedupScope says which engines drop repeats of a request that carries an idempotency key.
type DedupScope int

// Scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all engines
	DedupZone                    // the engines of one zone
	DedupCell                    // the engines of one cell
)

// Class describes one class of request.
type Class struct {
	LatencyObjective  Time    // a response within it earns the full priority weight
	ObjectiveStretch  float64 // the objective grows by this times the work over its threads
	ClientTimeout     Time    // how long a client waits, over all attempts
	LateValue         float64 // fraction of the priority weight that a late response still earns
	PriorityWeight    float64
	Idempotency       Idempotency
	DedupScope        DedupScope
	DedupWindow       Time  // how long engines remember an idempotency key
	Stream            bool  // the response is streamed
	Ordered           bool  // requests of one order key run one at a time
	AllowedZones      []int // the only zones allowed; nil: any
	AllowedKinds      []int // the only engine kinds allowed; nil: any
	Threads           int   // threads that one request runs on
	IsDataLoad        bool  // loads its data set, and blocks it on its engine while it runs
	BlockedByDataLoad bool  // does not progress while a data load of its data set runs on its engine
}

// Tenant describes one tenant's quota.
type Tenant struct {
	QuotaPerSecond float64 // requests a second within its quota, over all gateways
	Fraction       float64 // its fraction of the service
}

// EngineKind describes one kind of engine.
type EngineKind struct {
	Cores    float64
	MemoryMB float64
}

// LoadReportMode says how engines report their load.
type LoadReportMode int

// Ways in which load reports arrive.
const (
	LoadReportNone       LoadReportMode = iota
	LoadReportInOutcomes                // within outcomes and probe results
	LoadReportInProbes                  // within probe results only
)

// OvercommitMode says what an engine does when memory grants exceed its memory.
type OvercommitMode int

// Reactions of an engine to overcommitted memory.
const (
	OvercommitWait   OvercommitMode = iota // queries wait for memory
	OvercommitShrink                       // grants are reduced
	OvercommitPage                         // the engine pages
)

// Limits is what the site permits.
type Limits struct {
	MaxAttempts     int  // attempts that a request may have; 0: no limit
	MaxOpenRequests int  // requests open at once; more do not reach the gateway; 0: no limit
	HedgedRequests  bool // a request may have two attempts in flight
	Cancel          bool // an attempt may be cancelled
	Probes          bool // the gateway may send health checks
	PeerMessages    bool // gateways may send each other messages
	RetryAfter      bool // a rejection may carry a time to retry after
	MaxRetryAfter   Time
	ConnectTimeout  Time
}

// Constraints holds the figures of the rules that every decision must keep.
type Constraints struct {
	DeadlineSlack         Time    // a response may come this long after its deadline
	DrainGrace            Time    // a draining engine may still be sent requests for this long
	PollInterval          Time    // without a subscription, a gateway counts as informed of changes this late
	SlowStartInitialSpeed float64 // fraction of its full speed at which an engine starts
	SlowStartPeriod       Time    // time for which an engine warms up
	OverloadFactor        float64 // multiple of its speed that a warming engine bears in a window
	OverloadWindow        Time    // window of the slow-start budget
	KeyQuarantine         Time    // an order key stays idle this long after an attempt of unknown end
	RetryBudgetEnabled    bool    // retries are limited by the next three fields
	RetryBudgetMin        float64 // retries always allowed in a window
	RetryBudgetRatio      float64 // further retries for each request that arrived in the window
	RetryBudgetWindow     Time
}

// Penalties are the prices that the site puts on side effects of decisions.
type Penalties struct {
	CrossZone, WastedWork, Probe, PeerMessage, LateFailure float64
}

// Settings is the configuration with which a gateway starts.
type Settings struct {
	Gateways         int // gateways of this tier, this one included
	GatewayIndex     int // index of this gateway among them
	Zone             int
	Tick             Time
	PullMembership   bool // the endpoint list comes only after a subscription
	Classes          []Class
	Tenants          []Tenant
	OverQuotaWeight  float64 // factor on the priority weight of requests over their tenant's quota
	Kinds            []EngineKind
	MaxGrantFraction float64 // fraction of an engine's memory that one query gets at most
	AcceptsGrants    bool    // engines heed memory grants
	AcceptsPriority  bool    // engines heed priorities
	ReportsCost      bool    // outcomes carry the measured cost
	Overcommit       OvercommitMode
	MarksRetries     bool // clients mark the requests that they retry
	LoadReport       LoadReportMode
	LoadReportFields []string
	ScaleIsCapacity  bool // Engine.Scale is a registered or rough capacity
	Limits           Limits
	Constraints      Constraints
	Penalties        Penalties
}

// EngineState is the state of an engine according to the endpoint list.
type EngineState int

// States of an engine.
const (
	EngineServing EngineState = iota
	EngineDraining
	EngineGone
)

// Engine is one entry of the endpoint list.
type Engine struct {
	ID        EngineID
	Cell      int
	Zone      int
	Kind      int
	StartedAt Time // 0: long ago
	State     EngineState
	Scale     float64
}

// Request is one query or data load of a client.
type Request struct {
	ID                RequestID
	Class             int
	Tenant            int
	OrderKey          string
	Deadline          Time    // the client gives this attempt of its own up then
	EstimatedWork     Time    // work of all threads as the client estimates it; valid only with HasEstimate
	HasEstimate       bool    // EstimatedWork is set
	EstimatedMemoryMB float64 // memory as the client estimates it; 0: none
	DataSet           int
	IsRetry           bool // the client says that it retries
	QueuedFor         Time // time for which it waited before it reached the module
	IsWrite           bool
}

// Status is how an attempt or a probe ended.
type Status int

// Ends of an attempt or a probe.
const (
	StatusOK            Status = iota
	StatusError                // may have run
	StatusRejected             // rejected by the engine before it ran
	StatusTimeout              // may have run, may still run
	StatusConnectFailed        // never sent
	StatusReset                // may have run
	StatusCancelled            // may have run
	StatusSuperseded           // never executed
)

// NeverExecuted reports whether the status proves that the attempt had no effect.
func (s Status) NeverExecuted() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusSuperseded
}

// EngineView is what a gateway knows of an engine, for its operators.
type EngineView struct {
	Engine        EngineID
	InFlight      int     // attempts without an outcome
	Ejected       bool    // it is ejected as an outlier and gets half-open probing only
	Slowdown      float64 // run time over that of the same work alone
	SpeedFraction float64 // fraction of its full speed, below 1 while it warms up
	SlowInFlight  int     // attempts in flight that count as slow
}

// LoadSummary is a gateway's own load, for whoever admits requests to it.
type LoadSummary struct {
	Share      float64   // its share of the fleet as a multiple of one over the gateways; at least 1
	QueuedWork float64   // predicted work queued that can still meet its objective, all threads, in microseconds
	MeanWork   []float64 // mean work of a request by class, in microseconds; 0: none was seen
}

// ClassEstimate is what a gateway has learned of a class.
type ClassEstimate struct {
	CostRatio    float64 // measured over estimated work
	MeanWork     float64 // work of a request, all threads together, in microseconds
	SampleWeight float64 // weight of the requests behind MeanWork
}

// SlowStartUsage is what a gateway has sent to a warming engine within the overload window.
type SlowStartUsage struct {
	Engine EngineID
	Work   float64 // predicted, all threads together, in microseconds
	Quota  float64 // this gateway's even part of what the engine bears in that window, likewise
}

// ZonePlan decides in which zones a query may run, where operators have planned it. It must be pure, as the module
// is: its results follow from what it was shown, the time and the number drawn. Work is predicted, in microseconds
// of all threads together; retry says that the query had an attempt before.
type ZonePlan interface {
	// PickZone returns the zone in which to choose a query's engine, -1 for any, by a random number from 0 to 1.
	// Tried are the zones that had an attempt of it. Without ok the query has to wait: no zone has capacity now.
	PickZone(now Time, drawn, work float64, tried []int) (zone int, ok bool)
	// Admits reports whether a query may run in a zone now.
	Admits(now Time, zone int, work float64, retry bool) bool
	// RecordSend notes that a query is sent to a zone.
	RecordSend(now Time, zone int, work float64, retry bool)
}

// Event is an input of the module. The sealed set of events follows.
type Event interface{ event() }

// UpdateMode says how a FleetUpdate relates to the endpoint list before it.
type UpdateMode int

// Modes of a FleetUpdate.
const (
	UpdateDelta  UpdateMode = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last known, possibly outdated
	UpdateFailed                   // the poll failed; the last list stays valid
)

// Events.
type (
	// FleetUpdate is a change of the endpoint list.
	FleetUpdate struct {
		Mode    UpdateMode
		Engines []Engine
	}
	// Arrival hands over a request; exactly one final response is owed from here on.
	Arrival struct{ Request Request }
	// Outcome ends one attempt. Closed says that the request is over.
	Outcome struct {
		ID               RequestID
		Attempt          int
		Engine           EngineID
		Status           Status
		Latency          Time
		Closed           bool
		NotEngineFault   bool    // the status says nothing about the engine, as with responses malformed by any
		MeasuredWork     Time    // with StatusOK where costs are reported; else 0
		MeasuredMemoryMB float64 // likewise
		Load             map[string]float64
	}
	// StreamOpened says that an attempt's response has begun to reach the client.
	StreamOpened struct {
		ID      RequestID
		Attempt int
	}
	// Progress is an engine's report on a running attempt.
	Progress struct {
		ID      RequestID
		Attempt int
		Kind    ProgressKind
		Value   float64
	}
	// ClientGone says that the client left; nothing more is owed.
	ClientGone struct{ ID RequestID }
	// TimerFired says that a timer of SetTimer fell due.
	TimerFired struct{ Token string }
	// ProbeResult is the end of a Probe.
	ProbeResult struct {
		Engine    EngineID
		Suspected bool // other gateways suspect the engine: a failed probe counts as a failure seen by this one
		Status    Status
		Latency   Time
		Load      map[string]float64
	}
	// ShutdownStarted says that this gateway shuts down: all responses are due by Deadline.
	ShutdownStarted struct{ Deadline Time }
	// ZonePlanChanged replaces the operators' plan for zones. Nil: none, engines are chosen over all zones.
	ZonePlanChanged struct{ Plan ZonePlan }
	// PeerEstimate is what other gateways have learned of a class. It stands in for samples this gateway lacks.
	PeerEstimate struct {
		Class     int
		CostRatio float64 // as in ClassEstimate
		MeanWork  float64 // as in ClassEstimate
	}
	// PeerSlowStartUsage is what other gateways have sent to a warming engine within the overload window.
	PeerSlowStartUsage struct {
		Engine EngineID
		Work   float64
	}
	// PeerMessage is a message of another gateway.
	PeerMessage struct {
		From    int
		Payload []byte
	}
)

// ProgressKind is the kind of a Progress event.
type ProgressKind int

// Kinds of progress.
const (
	ProgressDone  ProgressKind = iota + 1 // fraction done
	ProgressSpill                         // MB of memory missing
	ProgressWait                          // 1: waits for memory, 2: waits for a data load
)

func (FleetUpdate) event()        {}
func (Arrival) event()            {}
func (Outcome) event()            {}
func (StreamOpened) event()       {}
func (Progress) event()           {}
func (ClientGone) event()         {}
func (TimerFired) event()         {}
func (ProbeResult) event()        {}
func (PeerMessage) event()        {}
func (ShutdownStarted) event()    {}
func (ZonePlanChanged) event()    {}
func (PeerEstimate) event()       {}
func (PeerSlowStartUsage) event() {}

// FailureReason is why the module ends a request that is not served.
type FailureReason int

// Reasons to end a request.
const (
	ReasonQueueFull         FailureReason = iota // too many requests are open, and it would be dispatched last
	ReasonDeadline                               // it can't be ready by its deadline
	ReasonTooLate                                // it would miss its objective, and earns nothing then
	ReasonAttemptsExhausted                      // no further attempt is allowed
	ReasonOverdue                                // its attempt is overdue, and no other may follow
)

// Action is an output of the module. Actions are executed in the order returned.
type Action interface{ action() }

// Actions.
type (
	// Send starts an attempt; Timeout 0 means until the client gives up.
	Send struct {
		ID      RequestID
		Engine  EngineID
		Timeout Time
	}
	// SetAttemptOptions sets memory (0: the engine chooses) and priority of the next attempts.
	SetAttemptOptions struct {
		ID       RequestID
		MemoryMB float64
		Priority int
	}
	// Cancel cancels one attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Reject is a final response that promises that a retry is safe.
	Reject struct {
		ID         RequestID
		RetryAfter Time
		Reason     FailureReason
	}
	// Fail is a final response that promises nothing.
	Fail struct {
		ID     RequestID
		Reason FailureReason
	}
	// SetTimer asks for a TimerFired with the same token.
	SetTimer struct {
		At    Time
		Token string
	}
	// Probe asks an engine for its health.
	Probe struct{ Engine EngineID }
	// CloseIdle closes idle connections to an engine.
	CloseIdle struct{ Engine EngineID }
	// Broadcast sends a message to every other gateway of the tier.
	Broadcast struct{ Payload []byte }
	// Subscribe asks for changes of the endpoint list.
	Subscribe struct{ On bool }
	// FetchFleet asks for the whole endpoint list once.
	FetchFleet struct{}
	// Log adds a line to the operators' report.
	Log struct{ Text string }
)

func (Send) action()              {}
func (SetAttemptOptions) action() {}
func (Cancel) action()            {}
func (Reject) action()            {}
func (Fail) action()              {}
func (SetTimer) action()          {}
func (Probe) action()             {}
func (CloseIdle) action()         {}
func (Broadcast) action()         {}
func (Subscribe) action()         {}
func (FetchFleet) action()        {}
func (Log) action()               {}
