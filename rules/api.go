// Package rules decides when and on which engine each query of a gateway runs.
//
// The package is a deterministic state machine: Module.Handle takes the current
// time and one event, and returns the resulting actions in order. It does no
// I/O, starts no goroutine, reads no clock, and draws random numbers only from
// the seed passed to New, so the same events always produce the same actions.
//
// This file, api.go, declares the settings, events and actions. It contains no
// decision, no tuned constant and nothing specific to a protocol; hosts
// translate their protocols to and from these types. Each decision has a file of
// its own (admission.go, routing.go, retry.go and so on), whose first comment
// states what is decided and which invariant holds.
package rules

// Time is a point in time or a duration on the host's clock, in microseconds.
type Time int64

// Units of Time.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// RequestID identifies a request. It is only compared for equality.
type RequestID string

// EngineID identifies an engine across restarts of its process.
type EngineID uint32

// Idempotency specifies whether a request may be executed more than once.
type Idempotency int

// Idempotency of a class.
const (
	Idempotent        Idempotency = iota // always safe to retry and to reject
	IdempotentWithKey                    // engines drop duplicates within DedupScope for DedupWindow
	NotIdempotent                        // must never be executed twice
)

// DedupScope specifies which engines drop duplicates of a request that carries an idempotency key.
type DedupScope int

// Scopes of deduplication.
const (
	DedupFleet DedupScope = iota // all engines
	DedupZone                    // the engines of one zone
	DedupCell                    // the engines of one cell
)

// Class describes one class of requests.
type Class struct {
	LatencyObjective  Time    // a response within it earns the full priority weight
	ObjectiveStretch  float64 // extends the objective by this factor times the work per thread
	ClientTimeout     Time    // how long a client waits in total, over all attempts
	LateValue         float64 // fraction of PriorityWeight that a late response earns
	PriorityWeight    float64 // value of a response within its objective
	Idempotency       Idempotency
	DedupScope        DedupScope
	DedupWindow       Time  // how long engines remember an idempotency key
	Stream            bool  // the response is streamed
	Ordered           bool  // requests with the same order key run one at a time
	AllowedZones      []int // nil: all zones
	AllowedKinds      []int // engine kinds; nil: all kinds
	Threads           int   // threads used by one request
	IsDataLoad        bool  // loads its data set, which is blocked on the engine while it runs
	BlockedByDataLoad bool  // makes no progress while a data load of its data set runs on its engine
}

// Tenant describes one tenant's quota.
type Tenant struct {
	QuotaPerSecond float64 // requests per second, over all gateways
	Fraction       float64 // fraction of the service that it is entitled to
}

// EngineKind describes one kind of engine.
type EngineKind struct {
	Cores    float64
	MemoryMB float64
}

// LoadReportMode specifies how engines report their load.
type LoadReportMode int

// Modes of load reporting.
const (
	LoadReportNone       LoadReportMode = iota
	LoadReportInOutcomes                // in outcomes and in probe results
	LoadReportInProbes                  // in probe results only
)

// OvercommitMode specifies how an engine reacts when memory grants exceed its memory.
type OvercommitMode int

// Reactions to overcommitted memory.
const (
	OvercommitWait   OvercommitMode = iota // queries wait for memory
	OvercommitShrink                       // the engine reduces grants
	OvercommitPage                         // the engine pages
)

// Limits specifies what the site permits its gateways.
type Limits struct {
	MaxAttempts     int  // attempts per request; 0: no limit
	MaxOpenRequests int  // requests open at once; any beyond do not reach the gateway; 0: no limit
	HedgedRequests  bool // a request may have two attempts in flight
	Cancel          bool // attempts may be cancelled
	Probes          bool // the gateway may send health checks
	PeerMessages    bool // gateways may send messages to each other
	RetryAfter      bool // a rejection may say after what time to retry
	MaxRetryAfter   Time
	ConnectTimeout  Time
}

// Constraints holds the parameters of the rules that every decision must obey.
type Constraints struct {
	DeadlineSlack         Time    // how long after its deadline a response may arrive
	DrainGrace            Time    // how long requests may still be sent to a draining engine
	PollInterval          Time    // delay after which changes count as known to a gateway without subscription
	SlowStartInitialSpeed float64 // fraction of its full speed with which an engine starts
	SlowStartPeriod       Time    // duration of the warm-up of an engine
	OverloadFactor        float64 // slow-start budget as a multiple of the capacity of a warming engine
	OverloadWindow        Time    // period of the slow-start budget
	KeyQuarantine         Time    // how long an order key stays idle after an attempt that may still run
	RetryBudgetEnabled    bool    // the next three fields limit retries
	RetryBudgetMin        float64 // retries always allowed in a window
	RetryBudgetRatio      float64 // additional retries per request that arrived in the window
	RetryBudgetWindow     Time
}

// Penalties holds the cost that the site assigns to each side effect of a decision.
type Penalties struct {
	CrossZone, WastedWork, Probe, PeerMessage, LateFailure float64
}

// Settings is the configuration of a gateway.
type Settings struct {
	Gateways         int // gateways of this tier, including this one
	GatewayIndex     int // index of this gateway among them
	Zone             int
	Tick             Time
	PullMembership   bool // the endpoint list is sent only after a Subscribe
	Classes          []Class
	Tenants          []Tenant
	OverQuotaWeight  float64 // factor on the priority weight of requests beyond their tenant's quota
	Kinds            []EngineKind
	MaxGrantFraction float64 // largest fraction of an engine's memory that one query is granted
	AcceptsGrants    bool    // engines respect memory grants
	AcceptsPriority  bool    // engines respect priorities
	ReportsCost      bool    // outcomes carry the measured cost
	Overcommit       OvercommitMode
	MarksRetries     bool // clients mark their retries
	LoadReport       LoadReportMode
	LoadReportFields []string
	ScaleIsCapacity  bool // Engine.Scale is a nominal or approximate capacity
	Limits           Limits
	Constraints      Constraints
	Penalties        Penalties
}

// EngineState is the state of an engine in the endpoint list.
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
	Host      uint64 // hash of the address at which it listens; 0: unknown
	Cell      int
	Zone      int
	Kind      int
	StartedAt Time // start of the process; 0: long ago
	State     EngineState
	Scale     float64
}

// Request is a query or data load from a client.
type Request struct {
	ID                RequestID
	Class             int
	Tenant            int
	OrderKey          string
	Deadline          Time    // when the client abandons this try of its own
	EstimatedWork     Time    // the client's estimate of the work over all threads; see HasEstimate
	HasEstimate       bool    // EstimatedWork is valid
	EstimatedMemoryMB float64 // the client's estimate; 0: none
	DataSet           int
	IsRetry           bool // the client marked it as a retry
	QueuedFor         Time // how long it waited before it reached the module
	IsWrite           bool
}

// Status is the result of an attempt or a probe.
type Status int

// Results of an attempt or a probe.
const (
	StatusOK            Status = iota
	StatusError                // may have been executed
	StatusRejected             // rejected by the engine before execution
	StatusTimeout              // may have been executed, may still be running
	StatusConnectFailed        // never sent
	StatusReset                // may have been executed
	StatusCancelled            // may have been executed
	StatusNotExecuted          // known not to have been executed
)

// NeverExecuted reports whether the status proves that the attempt was not executed and had no effect.
func (s Status) NeverExecuted() bool {
	return s == StatusRejected || s == StatusConnectFailed || s == StatusNotExecuted
}

// EngineView is a gateway's view of an engine, for operators and for zone routing.
type EngineView struct {
	Engine        EngineID
	InFlight      int     // attempts without an outcome yet
	Ejected       bool    // ejected as an outlier: half-open probing only
	Slowdown      float64 // run time of work, relative to its run time alone
	SpeedFraction float64 // fraction of its full speed; below 1 while it warms up
	SlowInFlight  int     // attempts in flight that count as slow
}

// LoadSummary is a gateway's own load, for the admission of requests before they reach the module.
type LoadSummary struct {
	Share      float64   // its share of the fleet, as a multiple of an even share; at least 1
	QueuedWork float64   // predicted work over all threads of queued requests that are not late, in microseconds
	MeanWork   []float64 // mean work of a request by class, in microseconds; 0: unknown
}

// ClassEstimate is what a gateway has learned about a class.
type ClassEstimate struct {
	CostRatio    float64 // measured work over estimated work
	MeanWork     float64 // work of a request over all threads, in microseconds
	SampleWeight float64 // total weight of the requests behind MeanWork
}

// SlowStartUsage is what a gateway has used of the slow-start budget of a warming engine.
type SlowStartUsage struct {
	Engine EngineID
	Work   float64 // predicted work over all threads sent within the overload window, in microseconds
	Quota  float64 // this gateway's even share of the budget, in microseconds
}

// ZonePlan decides in which zones queries may run, as planned by the operators. Like the module it must be
// deterministic: results depend only on the earlier calls and on the arguments. Work is predicted, over all
// threads, in microseconds; retry is set if the query has had an attempt.
type ZonePlan interface {
	// PickZone returns the zone in which to choose an engine for a query, or -1 for any zone. The number drawn
	// is uniform in [0, 1); tried lists the zones of the query's earlier attempts. If ok is false, no zone has
	// capacity now and the query has to wait.
	PickZone(now Time, drawn, work float64, tried []int) (zone int, ok bool)
	// Admits reports whether a query may run in a zone now.
	Admits(now Time, zone int, work float64, retry bool) bool
	// RecordSend records that a query is sent to a zone.
	RecordSend(now Time, zone int, work float64, retry bool)
}

// Event is an input of the module. Only this package implements it.
type Event interface{ event() }

// UpdateMode specifies how a FleetUpdate relates to the previous endpoint list.
type UpdateMode int

// Modes of a FleetUpdate.
const (
	UpdateDelta  UpdateMode = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last known; may be outdated
	UpdateFailed                   // the poll failed; the previous list stays valid
)

// Events.
type (
	// FleetUpdate changes the endpoint list.
	FleetUpdate struct {
		Mode    UpdateMode
		Engines []Engine
	}
	// Arrival passes a request to the module. From then on exactly one final response is due.
	Arrival struct{ Request Request }
	// Outcome ends one attempt. RequestEnded is set if the request has ended too.
	Outcome struct {
		ID           RequestID
		Attempt      int
		Engine       EngineID
		Status       Status
		Latency      Time
		RequestEnded bool
		// NotEngineFault is set if the status says nothing about the engine, such as a response that would be
		// malformed on any engine. Nothing is learned from such an outcome.
		NotEngineFault   bool
		MeasuredWork     Time               // with StatusOK and Settings.ReportsCost, else 0
		MeasuredMemoryMB float64            // as MeasuredWork
		Load             map[string]float64 // load report by field; nil: none
	}
	// StreamOpened reports that the response of an attempt has begun to reach the client.
	StreamOpened struct {
		ID      RequestID
		Attempt int
	}
	// Progress is a progress report of an engine on a running attempt.
	Progress struct {
		ID      RequestID
		Attempt int
		Kind    ProgressKind
		Value   float64
	}
	// ClientGone reports that the client has disconnected. No response is due any more.
	ClientGone struct{ ID RequestID }
	// TimerFired reports that a timer set by SetTimer has expired.
	TimerFired struct{ Token string }
	// ProbeResult is the result of a Probe.
	ProbeResult struct {
		Engine    EngineID
		Suspected bool // other gateways suspect the engine too; only then a failed probe counts
		Status    Status
		Latency   Time
		Load      map[string]float64
	}
	// ShutdownStarted reports that this gateway is shutting down. All responses are due by Deadline.
	ShutdownStarted struct{ Deadline Time }
	// ZonePlanChanged replaces the zone plan of the operators. Without a plan (nil), engines are chosen over
	// all zones.
	ZonePlanChanged struct{ Plan ZonePlan }
	// PeerEstimate is what other gateways have learned about a class. It substitutes for samples that this
	// gateway lacks.
	PeerEstimate struct {
		Class     int
		CostRatio float64 // as in ClassEstimate
		MeanWork  float64 // as in ClassEstimate
	}
	// PeerSlowStartUsage is the work that other gateways have sent to a warming engine within the overload
	// window.
	PeerSlowStartUsage struct {
		Engine EngineID
		Work   float64
	}
	// PeerMessage is a message from another gateway.
	PeerMessage struct {
		From    int
		Payload []byte
	}
)

// ProgressKind is the kind of a Progress event.
type ProgressKind int

// Kinds of progress.
const (
	ProgressDone  ProgressKind = iota + 1 // the fraction that is done
	ProgressSpill                         // the missing memory in MB
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

// FailureReason specifies why the module ends a request without serving it.
type FailureReason int

// Reasons to end a request.
const (
	ReasonQueueFull         FailureReason = iota // too many requests are open, and it would be dispatched last
	ReasonDeadline                               // it cannot complete by its deadline
	ReasonTooLate                                // it would be late, and a late response earns nothing
	ReasonAttemptsExhausted                      // no further attempt is allowed
	ReasonOverdue                                // its attempt is overdue, and no retry may follow
)

// Action is an output of the module. The host executes actions in the order in which they are returned.
type Action interface{ action() }

// Actions.
type (
	// Send starts an attempt. With a zero Timeout it may run until the client gives up.
	Send struct {
		ID      RequestID
		Engine  EngineID
		Timeout Time
	}
	// SetAttemptOptions sets the memory grant (0: the engine chooses) and the priority of a request's next
	// attempts.
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
	// Reject is a final response with the promise that a retry is safe.
	Reject struct {
		ID         RequestID
		RetryAfter Time
		Reason     FailureReason
	}
	// Fail is a final response without the promise that a retry is safe.
	Fail struct {
		ID     RequestID
		Reason FailureReason
	}
	// SetTimer requests a TimerFired with the same token at a point in time.
	SetTimer struct {
		At    Time
		Token string
	}
	// Probe sends a health check to an engine.
	Probe struct{ Engine EngineID }
	// CloseIdle closes idle connections to an engine.
	CloseIdle struct{ Engine EngineID }
	// Broadcast sends a message to every other gateway of the tier.
	Broadcast struct{ Payload []byte }
	// Subscribe requests updates of the endpoint list, or ends them.
	Subscribe struct{ On bool }
	// FetchFleet requests the complete endpoint list once.
	FetchFleet struct{}
	// Log adds a line to the log for operators.
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
