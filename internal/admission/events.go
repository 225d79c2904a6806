package admission

import "foxlane/rules"

// EventKind is what an Event reports.
type EventKind uint8

// Kinds of events. Each names the fields of Event that count.
const (
	ConnectionOpened EventKind = iota + 1 // a connection was accepted: Conn, From
	ConnectionClosed                      // a connection is closed, after its request is done: Conn
	ConnectionIdle                        // a connection has its answer and sends nothing: Conn
	InputBuffered                         // Bytes of an incomplete packet are buffered for a connection: Conn, Bytes
	RequestArrived                        // a complete request was read: Slot, Conn, Request
	RequestForwarded                      // the first attempt of a request was sent: Slot
	EngineTimeUsed                        // an attempt of a request used an engine for EngineTime: Slot, EngineTime
	RequestDone                           // a request is over: Slot, Served
	RequestRejected                       // the decision module rejects a request; an Effect Reject with its Retry-After follows: Slot
	TimerFired                            // the time of the last SetTimer has come
	Reconfigured                          // the settings were reloaded: Settings, DeclaredTenants
	Stopping                              // the gateway shuts down: no deadline is later than Deadline, and no Retry-After is sent
)

// Event is an input of the controller. Only the fields named at its kind count.
type Event struct {
	Kind       EventKind
	Conn       int // slot of a connection
	Slot       int // slot of a request
	From       Address
	Bytes      int
	Request    Request
	EngineTime rules.Time
	Served     bool
	Deadline   rules.Time

	Settings        *Settings
	DeclaredTenants []string
}

// Request is what admission control knows of a request.
type Request struct {
	Class          int
	Tenant         string // as the client declares it; empty: none
	OrderKey       string // requests of one key are admitted in the order of their arrival; empty: none
	Deadline       rules.Time
	DeclaredWork   rules.Time // work of all threads, as the client declares it; 0: not declared
	StatementBytes int
}

// EffectKind is what an Effect asks for.
type EffectKind uint8

// Kinds of effects. Each names the fields of Effect that count.
const (
	Admit      EffectKind = iota + 1 // hand Slot to the decision module; it was queued for After
	Reject                           // answer Slot with a rejection, with Retry-After if After is over 0
	Evict                            // close Conn with an error, with Retry-After if After is over 0
	AbortInput                       // close Conn: its incomplete packet exceeds its quota
	SetTimer                         // send TimerFired at At; it replaces the timer set before
)

// Reason is why an Effect was chosen.
type Reason uint8

// Reasons.
const (
	ReasonNone        Reason = iota
	ReasonCapacity           // requests or statement bytes are at their limit, and its tenant is most over its quota
	ReasonDeadline           // it can't meet its deadline
	ReasonConnections        // connections are at their limit, and its tenant is most over its quota
	ReasonSilence            // connections are at their limit, and no request has come on this one
	ReasonEarlyReturn        // it keeps sending before its Retry-After has passed
	ReasonInput              // buffered input is at its limit, and its tenant is most over its quota
	ReasonModule             // the decision module rejected it
	reasonCount       = iota
)

// reasonNames are parts of keys in the log (docs/ops/fair.md).
var reasonNames = [reasonCount]string{"none", "capacity", "deadline", "connections", "silence", "early_return", "input", "module"}

// String returns the name of a reason as the log has it.
func (r Reason) String() string { return reasonNames[r] }

// Effect is an output of the controller. Only the fields named at its kind count.
type Effect struct {
	Kind   EffectKind
	Slot   int        // slot of a request
	Conn   int        // slot of a connection
	After  rules.Time // Admit: how long the request was queued. Reject, Evict: the Retry-After; 0: none
	At     rules.Time
	Reason Reason
}
