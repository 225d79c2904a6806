// Package admission is the admission control of a gateway: it owns to which tenant and client a request belongs, how much
// each of them may have open, the order in which queued requests are admitted to the decision module, the rejections and
// their Retry-After. It must never see bytes of a protocol, a clock, a socket or a goroutine, nor decide what belongs
// to the decision module: the engine, the attempt, the class, the choice among the requests that were admitted.
//
// Events go in with their time, effects come out in order. The caller names requests and connections by slots, below
// Limits.Requests and Limits.ConnectionSlots; a slot is free again after its RequestDone or ConnectionClosed. The
// size of all state follows from Limits, however many tenants come.
package admission

import (
	"math"
	"math/rand/v2"

	"foxlane/rules"
)

// Limits bound the controller. All its state follows from them.
type Limits struct {
	ConnectionSlots int // more than Connections: the rest may be open but may not send requests
	Connections     int // connections that may send requests
	Requests        int
	StatementBytes  int // of the statements of all open requests
	InputBytes      int // of all incomplete packets
	StateBytes      int // of what is remembered of clients that have nothing open
}

// Controller holds the whole state of admission control. It starts no goroutine, reads no clock
// and calls nobody back; its owner serializes the calls.
type Controller struct {
	settings         Settings
	limits           Limits
	classes          []rules.Class
	resolver         *identityResolver
	seed             uint64
	rng              *rand.Rand
	now              rules.Time // never falls
	effects          []Effect   // of the call in progress
	timerAt          rules.Time // of the last SetTimer
	shutdownDeadline rules.Time
	stopping         bool

	requests    []openRequest // by slot
	connections []connection  // by slot
	expiry      expiryHeap    // of queued requests
	lastOfKey   map[uint64]int32
	flows       []classFlow // by class

	tenantByKey     map[uint64]*tenantAccount // tenants that have a connection or a request
	tenants         []*tenantAccount          // the same, in no order
	freeTenants     []*tenantAccount          // for reuse
	freeClients     []*clientAccount          // for reuse
	virtualTime     float64                   // least virtual time of the tenants with a queued request; never falls
	queuedWeight    float64                   // sum of the weights of tenants with a queued request
	epoch           uint64
	tenantDebts     debtTable // of tenants that have left
	clientDebts     debtTable // of clients that have left while their tenant has not
	lightDebts      debtSketch
	openConnections int
	openRequests    int
	queued          int // of the open requests, those that are not admitted
	statementBytes  int // of open requests
	inputBytes      int // of incomplete packets
	meanWork        []decayingMean
	capacity        decayingRate
	retryAfterBias  float64 // logarithm of the time needed over the Retry-After sent
	bookings        bookingTable
	seq             uint64
	stats           Stats
}

// Stats are counts since the start, but for those marked as current.
type Stats struct {
	Admitted, Delayed    int // requests admitted; of these, those that were queued first
	Rejected             [reasonCount]int
	Evicted              [reasonCount]int
	RetryAfterSent       int
	ReturnsServed        int     // requests that came at their Retry-After and were served
	ReturnsMissed        int     // requests that came at their Retry-After and were not served
	RetryAfterCorrection float64 // factor by which a predicted Retry-After is multiplied
	Queued               int     // current
	Connections          int     // current
	Tenants              int     // current
	CapacityMS           float64 // current: engine time used, in milliseconds per second
}

// New returns the controller of a gateway that has just started. Clients must not know the seed, or they
// could choose names whose hashes collide.
func New(set Settings, limits Limits, classes []rules.Class, declared []string, seed uint64) *Controller {
	controller := &Controller{settings: set, limits: limits, classes: classes, seed: seed, shutdownDeadline: math.MaxInt64,
		rng:         rand.New(rand.NewPCG(seed, seed^0x6a09e667f3bcc909)),
		requests:    make([]openRequest, limits.Requests),
		connections: make([]connection, limits.ConnectionSlots),
		lastOfKey:   make(map[uint64]int32, limits.Requests),
		tenantByKey: make(map[uint64]*tenantAccount, limits.ConnectionSlots),
		flows:       make([]classFlow, len(classes)),
	}
	controller.resolver = newIdentityResolver(set, declared, seed)
	rows := limits.StateBytes / 4
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

// Handle takes one event and returns what to do, in order. The result is valid until the next call.
func (c *Controller) Handle(now rules.Time, e Event) []Effect {
	c.effects = c.effects[:0]
	c.now = max(c.now, now) // a clock that steps back stands still
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
	c.admitQueued() // an expired request frees its order key, a stale one a pending place
	c.setTimer()
	return c.effects
}

func (c *Controller) emit(e Effect) { c.effects = append(c.effects, e) }

// threads is the number of threads that a request of a class uses.
func (c *Controller) threads(class int32) float64 { return float64(max(1, c.classes[class].Threads)) }

// Stats returns the counts.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Queued, s.Connections, s.Tenants = c.queued, c.openConnections, len(c.tenants)
	s.RetryAfterCorrection = math.Exp(c.retryAfterBias)
	s.CapacityMS = c.capacity.rate(c.now) * float64(rules.Second) / float64(rules.Millisecond)
	return s
}

// stop brings the deadlines of all queued requests forward to that of the shutdown: what can't meet it is rejected at once.
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

// setTimer asks for a TimerFired when the next queued request is to be rejected, or the next pending one stops
// counting as pending.
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
