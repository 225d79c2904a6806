// Package rules decides when and where each query of a gateway runs.
//
// This file is the whole interface of the decision module in rules.go: the
// settings it is started with, the events it is told and the actions it asks
// for. It holds no decision and no tuned value, and nothing of any protocol:
// whatever carries queries translates to and from these types.
package rules

// Time is a point on, or a span of, the host's clock, in microseconds.
type Time int64

// Spans of Time.
const (
	Millisecond Time = 1000
	Second      Time = 1000 * Millisecond
)

// RequestID names a request. It carries no meaning beyond equality.
type RequestID string

// EngineID names an engine; it survives a restart of the engine's process.
type EngineID uint32

// Idempotency says what a repeat of a request may do.
type Idempotency int

// Effects of a class.
const (
	Idempotent        Idempotency = iota // may be repeated and refused freely
	IdempotentWithKey                    // repeats are dropped within a group of engines, for a time
	NotIdempotent                        // must never run twice
)

// DedupScope says which engines drop the repeats of a keyed request.
type DedupScope int

// Groups of engines, for keyed classes.
const (
	DedupFleet DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of request.
type Class struct {
	LatencyObjective  Time    // an answer within it earns full worth
	ObjectiveStretch  float64 // the aim grows by this times the work over its threads
	ClientTimeout     Time    // the client's patience over all its tries
	LateValue         float64 // share of worth that a late answer still earns
	PriorityWeight    float64
	Idempotency       Idempotency
	DedupScope        DedupScope
	DedupWindow       Time  // how long a group remembers a keyed request
	Stream            bool  // the answer is streamed
	Ordered           bool  // requests of one key run one at a time
	AllowedZones      []int // the only zones allowed; nil: any
	AllowedKinds      []int // the only kinds allowed; nil: any
	Threads           int   // threads that one request runs on
	IsDataLoad        bool  // holds its data set on its engine while it runs
	BlockedByDataLoad bool  // stands still while a load holds its data set
}

// Tenant describes one tenant's agreed share.
type Tenant struct {
	QuotaPerSecond float64 // requests a second within its share, over all gateways
	Fraction       float64 // share of the service
}

// EngineKind describes one kind of engine.
type EngineKind struct {
	Cores    float64
	MemoryMB float64
}

// LoadReportMode says how engines tell their load.
type LoadReportMode int

// Ways of load reports.
const (
	LoadReportNone       LoadReportMode = iota
	LoadReportInOutcomes                // within outcomes and probe results
	LoadReportInProbes                  // within probe results only
)

// OvercommitMode says what an engine does when grants pass its memory.
type OvercommitMode int

// Answers to a shortage of memory.
const (
	OvercommitWait OvercommitMode = iota
	OvercommitShrink
	OvercommitPage
)

// Limits is what the site permits.
type Limits struct {
	MaxAttempts     int // attempts a request may have; 0: no limit told
	MaxOpenRequests int // requests that may be open; more do not reach the gateway; 0: no limit told
	HedgedRequests  bool
	Cancel          bool
	Probes          bool
	PeerMessages    bool
	RetryAfter      bool
	MaxRetryAfter   Time
	ConnectTimeout  Time
}

// Constraints holds the figures of the rules.
type Constraints struct {
	DeadlineSlack         Time
	DrainGrace            Time
	PollInterval          Time // an unsubscribed gateway is deemed informed this late
	SlowStartInitialSpeed float64
	SlowStartPeriod       Time
	OverloadFactor        float64
	OverloadWindow        Time
	KeyQuarantine         Time
	RetryBudgetEnabled    bool // further attempts are rationed by the next three
	RetryBudgetMin        float64
	RetryBudgetRatio      float64
	RetryBudgetWindow     Time
}

// Penalties are the prices the site puts on side effects of decisions.
type Penalties struct {
	CrossZone, WastedWork, Probe, PeerMessage, LateFailure float64
}

// Settings is all a gateway is told when it starts.
type Settings struct {
	Gateways         int // gateways of this tier, this one included
	GatewayIndex     int // index of this gateway among them
	Zone             int
	Tick             Time
	PullMembership   bool // the list of engines comes only when asked for
	Classes          []Class
	Tenants          []Tenant
	OverQuotaWeight  float64
	Kinds            []EngineKind
	MaxGrantFraction float64 // share of an engine's memory that one query gets at most
	AcceptsGrants    bool
	AcceptsPriority  bool
	ReportsCost      bool
	Overcommit       OvercommitMode
	MarksRetries     bool
	LoadReport       LoadReportMode
	LoadReportFields []string
	ScaleIsCapacity  bool // Engine.Scale tells a registered or rough size
	Limits           Limits
	Constraints      Constraints
	Penalties        Penalties
}

// EngineState is what the list of engines says of one.
type EngineState int

// States of an engine.
const (
	EngineServing EngineState = iota
	EngineDraining
	EngineGone
)

// Engine is one entry of the list of engines.
type Engine struct {
	ID        EngineID
	Cell      int
	Zone      int
	Kind      int
	StartedAt Time // 0: long ago
	State     EngineState
	Scale     float64
}

// Request is one query or load of a client.
type Request struct {
	ID                RequestID
	Class             int
	Tenant            int
	OrderKey          string
	Deadline          Time    // the client gives this try up then
	EstimatedWork     Time    // told work of all threads; valid only with HasWork
	HasEstimate       bool    // the told work means something
	EstimatedMemoryMB float64 // told memory; 0: none
	DataSet           int
	IsRetry           bool // the client says it tried before
	QueuedFor         Time // it has waited for so long ahead of the module
	IsWrite           bool
}

// Status is how an attempt or a probe ended.
type Status int

// Verdicts.
const (
	StatusOK            Status = iota
	StatusError                // may have run
	StatusRejected             // turned away unseen
	StatusTimeout              // may have run, may still run
	StatusConnectFailed        // never sent
	StatusReset                // may have run
	StatusCancelled            // may have run
	StatusSuperseded           // never sent
)

// NeverExecuted reports whether the verdict proves that the attempt had no effect.
func (v Status) NeverExecuted() bool {
	return v == StatusRejected || v == StatusConnectFailed || v == StatusSuperseded
}

// EngineView is what a gateway holds of an engine, for its operators.
type EngineView struct {
	Engine        EngineID
	InFlight      int     // attempts without an outcome
	Ejected       bool    // it fails or rests after that: it gets but a trickle
	Slowdown      float64 // times that it takes of what the work takes alone
	SpeedFraction float64 // part of its speed that it has
	SlowInFlight  int     // attempts out that have run for longer than such attempts do
}

// LoadSummary is what a gateway holds of its own load, for whoever decides what it lets in.
type LoadSummary struct {
	Share      float64   // what it takes of the fleet, in even parts; at least 1
	QueuedWork float64   // predicted work that waits and can still be in time, all threads together, in microseconds
	MeanWork   []float64 // the usual work of a request, by class; 0: none was seen
}

// ClassEstimate is what a gateway has learned of a class.
type ClassEstimate struct {
	CostRatio, MeanWork float64 // of true over told work; work of a request, all threads together, in microseconds
	SampleWeight        float64 // of the requests that it rests on
}

// SlowStartUsage is what a gateway has sent to a cold engine within the tip window.
type SlowStartUsage struct {
	Engine EngineID
	Work   float64 // predicted, all threads together, in microseconds
}

// ZonePlan decides, where operators have planned it, in which zones a query may run. It is pure, as the module is: what
// it answers follows from what it was shown, the time and the number drawn. Work is predicted, in microseconds of all
// threads together; further tells that the query had an attempt before.
type ZonePlan interface {
	// PickZone returns the zone from which a query's engine is to be drawn, -1 for any, by a number drawn from 0 to 1.
	// Tried are the zones that had an attempt of it. Without ok it has to wait: no zone has room for it now.
	PickZone(now Time, drawn, work float64, tried []int) (zone int, ok bool)
	// Admits answers whether a query may run in a zone now.
	Admits(now Time, zone int, work float64, further bool) bool
	// RecordSend notes that one goes there.
	RecordSend(now Time, zone int, work float64, further bool)
}

// Event is something a gateway is told.
type Event interface{ event() }

// UpdateMode says how a FleetChange relates to the list held.
type UpdateMode int

// Modes of a FleetChange.
const (
	UpdateDelta  UpdateMode = iota // changed entries only
	UpdateFull                     // the complete list
	UpdateCached                   // the complete list as last held, possibly outdated
	UpdateFailed                   // asking failed; the list held stays valid
)

// Events.
type (
	// FleetUpdate is news of the list of engines.
	FleetUpdate struct {
		Mode    UpdateMode
		Engines []Engine
	}
	// Arrival hands over a request; one final answer is owed from here on.
	Arrival struct{ Request Request }
	// Outcome ends one attempt. Closed tells that the request is over.
	Outcome struct {
		ID               RequestID
		Attempt          int
		Engine           EngineID
		Status           Status
		Latency          Time
		Closed           bool
		NotEngineFault   bool    // how it ended says nothing of the engine: answers of any are spoilt alike
		MeasuredWork     Time    // with VerdictOK where costs are told; else 0
		MeasuredMemoryMB float64 // likewise
		Load             map[string]float64
	}
	// StreamOpened tells that an attempt's answer began; it is the client's now.
	StreamOpened struct {
		ID      RequestID
		Attempt int
	}
	// Progress is news of a running attempt.
	Progress struct {
		ID      RequestID
		Attempt int
		Kind    ProgressKind
		Value   float64
	}
	// ClientGone tells that the client left; nothing more is owed.
	ClientGone struct{ ID RequestID }
	// TimerFired is a timer that fell due.
	TimerFired struct{ Token string }
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Engine    EngineID
		Suspected bool // other gateways say that it fails: if it does not answer it counts as a failure of ours
		Status    Status
		Latency   Time
		Load      map[string]float64
	}
	// ShutdownStarted tells that this gateway ends: all answers are due by then.
	ShutdownStarted struct{ Deadline Time }
	// ZonePlanChanged hands over the operators' plan for zones. Nil: none, engines are drawn over all zones.
	ZonePlanChanged struct{ Plan ZonePlan }
	// PeerEstimate tells what other gateways have learned of a class. It stands for what we have not seen ourselves.
	PeerEstimate struct {
		Class               int
		CostRatio, MeanWork float64 // as in Learned
	}
	// PeerSlowStartUsage tells what other gateways have sent to a cold engine within the tip window.
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
	ProgressDone  ProgressKind = iota + 1 // share done
	ProgressSpill                         // MB missing
	ProgressWait                          // 1 for memory, 2 for a load
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
	ReasonQueueFull         FailureReason = iota // too much is held, and it would be drawn last
	ReasonDeadline                               // it can't be ready by its deadline
	ReasonTooLate                                // it would be late, and earns nothing then
	ReasonAttemptsExhausted                      // no further attempt is allowed
	ReasonOverdue                                // its attempt is overdue, and no other may follow
)

// Action is something a gateway does. Actions are carried out in order.
type Action interface{ action() }

// Actions.
type (
	// Send starts an attempt; Timeout 0 means until the client gives up.
	Send struct {
		ID      RequestID
		Engine  EngineID
		Timeout Time
	}
	// SetAttemptOptions names memory (0: the engine chooses) and priority of the next attempts.
	SetAttemptOptions struct {
		ID       RequestID
		MemoryMB float64
		Priority int
	}
	// Cancel withdraws one attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Reject is a final answer that promises that a retry is harmless.
	Reject struct {
		ID         RequestID
		RetryAfter Time
		Reason     FailureReason
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     RequestID
		Reason FailureReason
	}
	// SetTimer asks for an Alarm.
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
	// Subscribe asks for news of the list of engines.
	Subscribe struct{ On bool }
	// FetchFleet asks for the whole list once.
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
