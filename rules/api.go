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

// Effect says what a repeat of a request may do.
type Effect int

// Effects of a class.
const (
	EffectSafe   Effect = iota // may be repeated and refused freely
	EffectKeyed                // repeats are dropped within a group of engines, for a time
	EffectUnsafe               // must never run twice
)

// Group says which engines drop the repeats of a keyed request.
type Group int

// Groups of engines, for keyed classes.
const (
	GroupAll Group = iota
	GroupZone
	GroupCell
)

// Class describes one class of request.
type Class struct {
	Aim         Time    // an answer within it earns full worth
	AimStretch  float64 // the aim grows by this times the work over its threads
	GiveUp      Time    // the client's patience over all its tries
	LateValue   float64 // share of worth that a late answer still earns
	Worth       float64
	Effect      Effect
	Group       Group
	DedupWindow Time  // how long a group remembers a keyed request
	Stream      bool  // the answer is streamed
	Ordered     bool  // requests of one key run one at a time
	Zones       []int // the only zones allowed; nil: any
	Kinds       []int // the only kinds allowed; nil: any
	Threads     int   // threads that one request runs on
	IsLoad      bool  // holds its data set on its engine while it runs
	WaitsOnLoad bool  // stands still while a load holds its data set
}

// Tenant describes one tenant's agreed share.
type Tenant struct {
	QuotaPerS float64 // requests a second within its share, over all gateways
	Fraction  float64 // share of the service
}

// Kind describes one kind of engine.
type Kind struct {
	Cores    float64
	MemoryMB float64
}

// ReportMode says how engines tell their load.
type ReportMode int

// Ways of load reports.
const (
	ReportNone    ReportMode = iota
	ReportAnswers            // within outcomes and probe results
	ReportProbes             // within probe results only
)

// Shortage says what an engine does when grants pass its memory.
type Shortage int

// Answers to a shortage of memory.
const (
	ShortageWait Shortage = iota
	ShortageShrink
	ShortagePage
)

// Limits is what the site permits.
type Limits struct {
	MaxAttempts    int // attempts a request may have; 0: no limit told
	MaxOpen        int // requests that may be open; more do not reach the gateway; 0: no limit told
	ParallelTries  bool
	Cancel         bool
	Probes         bool
	PeerMessages   bool
	RetryAfter     bool
	MaxRetryAfter  Time
	ConnectTimeout Time
}

// Duties holds the figures of the rules.
type Duties struct {
	AnswerSlack    Time
	DrainGrace     Time
	AskEvery       Time // an unsubscribed gateway is deemed informed this late
	ColdFrom       float64
	ColdFor        Time
	OverloadFactor float64
	TipAfter       Time
	KeyRest        Time
	Rationed       bool // further attempts are rationed by the next three
	FreeResends    float64
	ExtraPerTaken  float64
	RationWindow   Time
}

// Fees are the prices the site puts on side effects of decisions.
type Fees struct {
	CrossZone, Waste, Probe, Peer, LateFail float64
}

// Settings is all a gateway is told when it starts.
type Settings struct {
	Siblings       int // gateways of this tier, this one included
	Me             int // index of this gateway among them
	Zone           int
	Tick           Time
	AskMembership  bool // the list of engines comes only when asked for
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64
	Kinds          []Kind
	MostGrant      float64 // share of an engine's memory that one query gets at most
	TakesGrants    bool
	TakesPriority  bool
	TellsCost      bool
	WhenShort      Shortage
	MarksRetry     bool
	Report         ReportMode
	ReportFields   []string
	ScaleIsSize    bool // Engine.Scale tells a registered or rough size
	Limits         Limits
	Duties         Duties
	Fees           Fees
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
	ID       RequestID
	Class    int
	Tenant   int
	OrderKey string
	Due      Time    // the client gives this try up then
	Work     Time    // told work of all threads; valid only with HasWork
	HasWork  bool    // the told work means something
	MemoryMB float64 // told memory; 0: none
	DataSet  int
	Repeat   bool // the client says it tried before
	Held     Time // it has waited for so long ahead of the module
	Write    bool
}

// Verdict is how an attempt or a probe ended.
type Verdict int

// Verdicts.
const (
	VerdictOK            Verdict = iota
	VerdictError                 // may have run
	VerdictFull                  // turned away unseen
	VerdictTimeout               // may have run, may still run
	VerdictConnectFailed         // never sent
	VerdictReset                 // may have run
	VerdictCancelled             // may have run
	VerdictMoot                  // never sent
)

// NeverRan reports whether the verdict proves that the attempt had no effect.
func (v Verdict) NeverRan() bool {
	return v == VerdictFull || v == VerdictConnectFailed || v == VerdictMoot
}

// Belief is what a gateway holds of an engine, for its operators.
type Belief struct {
	Engine  EngineID
	Out     int     // attempts without an outcome
	LeftOut bool    // it fails or rests after that: it gets but a trickle
	Slow    float64 // times that it takes of what the work takes alone
	Warm    float64 // part of its speed that it has
	Late    int     // attempts out that have run for longer than such attempts do
}

// Standing is what a gateway holds of its own load, for whoever decides what it lets in.
type Standing struct {
	Share float64   // what it takes of the fleet, in even parts; at least 1
	Held  float64   // predicted work that waits and can still be in time, all threads together, in microseconds
	Work  []float64 // the usual work of a request, by class; 0: none was seen
}

// Learned is what a gateway has learned of a class.
type Learned struct {
	Ratio, Usual float64 // of true over told work; work of a request, all threads together, in microseconds
	Weight       float64 // of the requests that it rests on
}

// ColdSent is what a gateway has sent to a cold engine within the tip window.
type ColdSent struct {
	Engine EngineID
	Work   float64 // predicted, all threads together, in microseconds
}

// ZonePlan decides, where operators have planned it, in which zones a query may run. It is pure, as the module is: what
// it answers follows from what it was shown, the time and the number drawn. Work is predicted, in microseconds of all
// threads together; further tells that the query had an attempt before.
type ZonePlan interface {
	// Draw returns the zone from which a query's engine is to be drawn, -1 for any, by a number drawn from 0 to 1.
	// Tried are the zones that had an attempt of it. Without ok it has to wait: no zone has room for it now.
	Draw(now Time, drawn, work float64, tried []int) (zone int, ok bool)
	// Open answers whether a query may run in a zone now.
	Open(now Time, zone int, work float64, further bool) bool
	// Sent notes that one goes there.
	Sent(now Time, zone int, work float64, further bool)
}

// Event is something a gateway is told.
type Event interface{ event() }

// ListMode says how a FleetChange relates to the list held.
type ListMode int

// Modes of a FleetChange.
const (
	ListDelta  ListMode = iota // changed entries only
	ListFull                   // the complete list
	ListSaved                  // the complete list as last held, possibly outdated
	ListFailed                 // asking failed; the list held stays valid
)

// Events.
type (
	// FleetChange is news of the list of engines.
	FleetChange struct {
		Mode    ListMode
		Engines []Engine
	}
	// Arrival hands over a request; one final answer is owed from here on.
	Arrival struct{ Request Request }
	// Outcome ends one attempt. Closed tells that the request is over.
	Outcome struct {
		ID           RequestID
		Attempt      int
		Engine       EngineID
		Verdict      Verdict
		Latency      Time
		Closed       bool
		Spoilt       bool    // how it ended says nothing of the engine: answers of any are spoilt alike
		TrueWork     Time    // with VerdictOK where costs are told; else 0
		TrueMemoryMB float64 // likewise
		Load         map[string]float64
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
		Sort    ProgressSort
		Value   float64
	}
	// Departure tells that the client left; nothing more is owed.
	Departure struct{ ID RequestID }
	// Alarm is a timer that fell due.
	Alarm struct{ Token string }
	// ProbeResult answers a Probe.
	ProbeResult struct {
		Engine  EngineID
		Doubted bool // other gateways say that it fails: if it does not answer it counts as a failure of ours
		Verdict Verdict
		Latency Time
		Load    map[string]float64
	}
	// Stopping tells that this gateway ends: all answers are due by then.
	Stopping struct{ By Time }
	// Planned hands over the operators' plan for zones. Nil: none, engines are drawn over all zones.
	Planned struct{ Zones ZonePlan }
	// Taught tells what other gateways have learned of a class. It stands for what we have not seen ourselves.
	Taught struct {
		Class        int
		Ratio, Usual float64 // as in Learned
	}
	// SpentElsewhere tells what other gateways have sent to a cold engine within the tip window.
	SpentElsewhere struct {
		Engine EngineID
		Work   float64
	}
	// PeerMessage is a message of another gateway.
	PeerMessage struct {
		From    int
		Payload []byte
	}
)

// ProgressSort is the kind of a Progress event.
type ProgressSort int

// Kinds of progress.
const (
	ProgressDone   ProgressSort = iota + 1 // share done
	ProgressSpills                         // MB missing
	ProgressWaits                          // 1 for memory, 2 for a load
)

func (FleetChange) event()    {}
func (Arrival) event()        {}
func (Outcome) event()        {}
func (StreamOpened) event()   {}
func (Progress) event()       {}
func (Departure) event()      {}
func (Alarm) event()          {}
func (ProbeResult) event()    {}
func (PeerMessage) event()    {}
func (Stopping) event()       {}
func (Planned) event()        {}
func (Taught) event()         {}
func (SpentElsewhere) event() {}

// FinishReason is why the module ends a request that is not served.
type FinishReason int

// Reasons to end a request.
const (
	FinishNoRoom     FinishReason = iota // too much is held, and it would be drawn last
	FinishDeadline                       // it can't be ready by its deadline
	FinishLate                           // it would be late, and earns nothing then
	FinishTriesSpent                     // no further attempt is allowed
	FinishOverdue                        // its attempt is overdue, and no other may follow
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
	// SetTerms names memory (0: the engine chooses) and priority of the next attempts.
	SetTerms struct {
		ID       RequestID
		MemoryMB float64
		Priority int
	}
	// Cancel withdraws one attempt.
	Cancel struct {
		ID      RequestID
		Attempt int
	}
	// Refuse is a final answer that promises that a retry is harmless.
	Refuse struct {
		ID         RequestID
		RetryAfter Time
		Reason     FinishReason
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		ID     RequestID
		Reason FinishReason
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
	// TellPeers sends a message to every other gateway of the tier.
	TellPeers struct{ Payload []byte }
	// Subscribe asks for news of the list of engines.
	Subscribe struct{ On bool }
	// FetchList asks for the whole list once.
	FetchList struct{}
	// Log adds a line to the operators' report.
	Log struct{ Text string }
)

func (Send) action()      {}
func (SetTerms) action()  {}
func (Cancel) action()    {}
func (Refuse) action()    {}
func (Fail) action()      {}
func (SetTimer) action()  {}
func (Probe) action()     {}
func (CloseIdle) action() {}
func (TellPeers) action() {}
func (Subscribe) action() {}
func (FetchList) action() {}
func (Log) action()       {}
