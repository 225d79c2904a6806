package admission

import "foxlane/rules"

// EventKind is the type of an Event.
type EventKind uint8

// Kinds of events, each with the fields of Event that it uses.
const (
	ConnectionOpened EventKind = iota + 1 // Conn, From: a connection was accepted
	ConnectionClosed                      // Conn: a connection was closed, after RequestDone of its request
	ConnectionIdle                        // Conn: the request of a connection was answered, and no other was sent
	InputBuffered                         // Conn, Bytes: size of the incomplete packet buffered for a connection
	RequestArrived                        // Slot, Conn, Request: a complete request was read
	RequestForwarded                      // Slot: the first attempt of a request was sent
	EngineTimeUsed                        // Slot, EngineTime: an attempt of a request used an engine for EngineTime
	RequestDone                           // Slot, Served: a request has ended
	RequestRejected                       // Slot: the decision module rejects a request; returns Reject with a Retry-After
	TimerFired                            // the time of the last SetTimer effect was reached
	Reconfigured                          // Settings, DeclaredTenants: the settings were reloaded
	Stopping                              // Deadline: shutdown; caps all deadlines, and no Retry-After is sent
	InputPending                          // after a stall, requests of idle connections may still be unread
	InputRead                             // the input of the stall has been read
)

// Event is an input of the controller. Only the fields listed for its kind are used.
type Event struct {
	Kind       EventKind
	Conn       int        // slot of a connection
	Slot       int        // slot of a request
	From       Address    // address of the client
	Bytes      int        // size of the incomplete packet
	Request    Request    // the request that arrived
	EngineTime rules.Time // duration of the attempt, not multiplied by the threads of the class
	Served     bool       // the request was answered with a result
	Deadline   rules.Time // shutdown deadline

	Settings        *Settings
	DeclaredTenants []string // tenants that the site declares, besides Settings.Tenants
}

// Request describes a request to admission control.
type Request struct {
	Class          int
	Tenant         string // as declared by the client; empty: none
	OrderKey       string // requests with the same key are admitted in the order of their arrival; empty: none
	Deadline       rules.Time
	DeclaredWork   rules.Time // total work of all threads, as declared by the client; 0: not declared
	StatementBytes int
}

// EffectKind is the type of an Effect.
type EffectKind uint8

// Kinds of effects, each with the fields of Effect that it uses.
const (
	Admit      EffectKind = iota + 1 // Slot, After: pass the request to the decision module
	Reject                           // Slot, After, Reason: reject the request; After is the Retry-After
	Evict                            // Conn, After, Reason: close with an error; After is the Retry-After
	AbortInput                       // Conn, Reason: close, since its incomplete packet exceeds its quota
	SetTimer                         // At: send TimerFired at this time; replaces the previous timer
)

// Reason is the reason for a rejection or for closing a connection.
type Reason uint8

// Reasons.
const (
	ReasonNone        Reason = iota
	ReasonCapacity           // requests or statement bytes are at their limit, and its tenant is most over its quota
	ReasonDeadline           // the request can't meet its deadline
	ReasonConnections        // connections are at their limit, and its tenant is most over its quota
	ReasonSilence            // connections are at their limit, and this one has sent no request
	ReasonEarlyReturn        // the connection repeatedly sent requests before its Retry-After had passed
	ReasonInput              // buffered input is at its limit, and its tenant is most over its quota
	ReasonModule             // the decision module rejected the request
	reasonCount       = iota
)

// reasonNames are part of log keys (docs/ops/fair.md).
var reasonNames = [reasonCount]string{"none", "capacity", "deadline", "connections", "silence", "early_return", "input", "module"}

// String returns the name of a reason as it appears in log keys.
func (r Reason) String() string { return reasonNames[r] }

// Effect is an output of the controller. Only the fields listed for its kind are set.
type Effect struct {
	Kind   EffectKind
	Slot   int        // slot of a request
	Conn   int        // slot of a connection
	After  rules.Time // Admit: time spent in the queue; Reject, Evict: the Retry-After, 0: none
	At     rules.Time // SetTimer: time of the TimerFired event
	Reason Reason
}
