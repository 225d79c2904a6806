// Package door owns who a request belongs to, what each principal may have
// open, the order in which held requests pass to the decision module, the
// refusals at the door and the times of return that these name. It must never
// see bytes of a protocol, a clock, a socket or a goroutine, nor decide what is
// the module's: the engine, the attempt, the class lottery, the draw among the
// requests that were passed.
//
// Events with their time go in, effects come out, in order. A request and a
// connection are named by slots that the caller chooses, below Sizes.Asks and
// Sizes.Conns; a slot is free again once its Done or Closed was told. All state
// has a size that follows from Sizes, however many principals come.
package admission

import (
	"math"
	"math/rand/v2"

	"foxlane/rules"
)

// EventKind is what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	ConnectionOpened EventKind = iota + 1 // a connection came: Conn, From
	ConnectionClosed                      // a connection has gone, its request before it: Conn
	ConnectionIdle                        // a connection that has asked before waits for its client: Conn
	InputBuffered                         // Bytes of an unfinished packet are held for a connection: Conn
	RequestArrived                        // a request came on a connection: Slot, Conn, Ask
	RequestForwarded                      // a request has its first attempt: Slot
	EngineTimeUsed                        // an attempt of a request held an engine for Took: Slot, Took
	RequestDone                           // a request is over, served or not: Slot, Served
	RequestRejected                       // the module refuses a request; a Refuse with the time of return follows: Slot
	TimerFired                            // the time asked for has come
	Reconfigured                          // other settings hold from now on: Settings, Declared
	Stopping                              // the gateway ends: all deadlines come forward to By, nobody is told to return
)

// Event is something the door is told. Only the fields named at its kind count.
type Event struct {
	Kind       EventKind
	Conn       int
	Slot       int
	From       Address
	Bytes      int
	Request    Request
	EngineTime rules.Time
	Served     bool
	Deadline   rules.Time

	Settings        *Settings
	DeclaredTenants []string
}

// Request is a request as the door sees it.
type Request struct {
	Class          int
	Tenant         string // as told; empty: none
	OrderKey       string // requests of one key pass in the order in which they came; empty: none
	Deadline       rules.Time
	DeclaredWork   rules.Time // told work of all threads; 0: not told
	StatementBytes int        // of its statement
}

// EffectKind is what an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	Admit      EffectKind = iota + 1 // hand Slot to the module; it has waited for After
	Reject                           // answer Slot with a refusal that names After, if over 0; it never passed, or TurnDown asked
	Evict                            // close Conn, with an error that names After, if over 0
	AbortInput                       // close Conn: its unfinished input is more than its part
	SetTimer                         // tell Tick at At; only the latest Wake counts
)

// Reason says for what an Effect was chosen.
type Reason uint8

// Reasons.
const (
	ReasonNone        Reason = iota
	ReasonCapacity           // requests or bytes of statements are at their limit, and its principal holds most
	ReasonDeadline           // it can't be in time any more, or could not from the start
	ReasonConnections        // connections are at their limit, and its principal holds most
	ReasonSilence            // connections are at their limit, and nothing was asked on it
	ReasonEarlyReturn        // it keeps coming before the time that it was told
	ReasonInput              // unfinished input is at its limit, and its principal holds most
	ReasonModule             // the module refused it
	reasonCount       = iota
)

var reasonNames = [reasonCount]string{"nothing", "room", "time", "connections", "silence", "ignoring", "input", "module"}

func (w Reason) String() string { return reasonNames[w] }

// Effect is something to do.
type Effect struct {
	Kind   EffectKind
	Slot   int
	Conn   int
	After  rules.Time
	At     rules.Time
	Reason Reason
}

// Limits bound the door.
type Limits struct {
	ConnectionSlots int // slots of connections: over Room, and one more for who is turned away
	Connections     int // connections that may ask; more may stay until they do, since it may be a KILL that comes
	Requests        int // requests
	StatementBytes  int // bytes of the statements of all requests
	InputBytes      int // bytes of all unfinished packets
	StateBytes      int // bytes that remember principals which have nothing open
}

// Controller is the door's whole state.
type Controller struct {
	settings         Settings
	limits           Limits
	classes          []rules.Class
	resolver         *identityResolver
	seed             uint64
	rng              *rand.Rand
	now              rules.Time
	effects          []Effect
	timerAt          rules.Time // the Wake that holds
	shutdownDeadline rules.Time
	stopping         bool

	requests    []openRequest
	connections []connection
	expiry      expiryHeap // of held requests, by when they are refused
	lastOfKey   map[uint64]int32
	flows       []classFlow

	tenantByKey     map[uint64]*tenantAccount // with a connection or a request
	tenants         []*tenantAccount          // the same, in no order
	freeTenants     []*tenantAccount
	freeClients     []*clientAccount
	virtualTime     float64 // where a tenant that comes back starts
	queuedWeight    float64 // of tenants that have something held
	epoch           uint64
	tenantDebts     debtTable // of tenants that have left
	clientDebts     debtTable // of clients that have left a tenant that has not
	lightDebts      debtSketch
	openConnections int // connections
	openRequests    int // requests
	queued          int // of these, those that have not passed
	statementBytes  int // of statements
	inputBytes      int // of unfinished packets
	meanWork        []decayingMean
	capacity        decayingRate
	retryAfterBias  float64 // log of time needed over time told
	bookings        bookingTable
	seq             uint64
	stats           Stats
}

// Stats count since the start, but for those that say now.
type Stats struct {
	Admitted, Delayed                            int // requests that passed; of these, those that were held first
	Rejected                                     [reasonCount]int
	Evicted                                      [reasonCount]int
	RetryAfterSent, ReturnsServed, ReturnsMissed int // promises that were given; those that came back and were served; those that were not
	RetryAfterCorrection                         float64
	Queued, Connections, Tenants                 int // now
	CapacityMS                                   float64
}

// New returns the door of a gateway that has just started. The seed must not
// be known to clients, or they could choose names that share a place.
func New(set Settings, sizes Limits, classes []rules.Class, declared []string, seed uint64) *Controller {
	controller := &Controller{settings: set, limits: sizes, classes: classes, seed: seed, shutdownDeadline: math.MaxInt64,
		rng:         rand.New(rand.NewPCG(seed, seed^0x6a09e667f3bcc909)),
		requests:    make([]openRequest, sizes.Requests),
		connections: make([]connection, sizes.ConnectionSlots),
		lastOfKey:   make(map[uint64]int32, sizes.Requests),
		tenantByKey: make(map[uint64]*tenantAccount, sizes.ConnectionSlots),
		flows:       make([]classFlow, len(classes)),
	}
	controller.resolver = newDirectory(set, declared, seed)
	rows := sizes.StateBytes / 4
	controller.tenantDebts, controller.clientDebts = newDebtTable(rows), newDebtTable(rows)
	controller.lightDebts, controller.bookings = newDebtSketch(rows), newBookingTable(rows)
	for _, c := range classes {
		controller.meanWork = append(controller.meanWork, decayingMean{})
		controller.meanWork[len(controller.meanWork)-1].start(float64(c.LatencyObjective) / 2)
	}
	controller.capacity.span = float64(capacitySpan)
	for i := range controller.connections {
		controller.connections[i].slot = int32(i)
	}
	for i := range controller.requests {
		controller.requests[i].slot, controller.requests[i].expiryIndex = int32(i), -1
	}
	return controller
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (c *Controller) Handle(now rules.Time, e Event) []Effect {
	c.effects = c.effects[:0]
	c.now = max(c.now, now) // a clock that steps back stands still here
	switch e.Kind {
	case ConnectionOpened:
		c.connectionOpened(e.Conn, e.From)
	case ConnectionClosed:
		c.connectionClosed(&c.connections[e.Conn])
	case ConnectionIdle:
		c.setConnectionState(&c.connections[e.Conn], connectionWaiting)
	case InputBuffered:
		c.inputBuffered(&c.connections[e.Conn], e.Bytes)
	case RequestArrived:
		c.requestArrived(e.Slot, e.Conn, e.Request)
	case RequestForwarded:
		c.requestForwarded(&c.requests[e.Slot])
	case EngineTimeUsed:
		c.requests[e.Slot].engineTime += float64(e.EngineTime) * c.threads(c.requests[e.Slot].class)
	case RequestDone:
		c.requestDone(&c.requests[e.Slot], e.Served)
	case RequestRejected:
		request := &c.requests[e.Slot]
		c.rejectAdmitted(request, ReasonModule)
	case Reconfigured:
		c.reconfigure(*e.Settings, e.DeclaredTenants)
	case Stopping:
		c.stop(e.Deadline)
	}
	c.admitQueued()
	c.expire()
	c.admitQueued() // what stood behind a key, or what no longer counts as ahead, left room
	c.setTimer()
	return c.effects
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

func (c *Controller) threads(class int32) float64 { return float64(max(1, c.classes[class].Threads)) }

// Stats returns the counts.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Queued, s.Connections, s.Tenants = c.queued, c.openConnections, len(c.tenants)
	s.RetryAfterCorrection = math.Exp(c.retryAfterBias)
	s.CapacityMS = c.capacity.rate(c.now) * float64(rules.Second) / float64(rules.Millisecond)
	return s
}

// stop brings all deadlines forward: who can't be served by then has its answer at once.
func (c *Controller) stop(by rules.Time) {
	c.stopping, c.shutdownDeadline = true, by
	for i := range c.requests {
		if request := &c.requests[i]; request.state == requestBlocked || request.state == requestQueued {
			request.deadline = min(request.deadline, by)
			request.expiresAt = c.latestAdmission(request)
			c.expiry.fix(request)
		}
	}
}

// setTimer asks for a Tick when the next held request is to be refused or stops counting as ahead.
func (c *Controller) setTimer() {
	at := rules.Time(math.MaxInt64)
	if len(c.expiry) > 0 {
		at = c.expiry[0].expiresAt
	}
	for class := range c.flows {
		if flow := &c.flows[class]; flow.hasQueued() && flow.pending > 0 {
			at = min(at, flow.staleAt)
		}
	}
	if at != math.MaxInt64 && at != c.timerAt {
		c.emit(Effect{Kind: SetTimer, At: at})
	}
	c.timerAt = at
}
