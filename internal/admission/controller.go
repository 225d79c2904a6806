// Package admission implements the admission control of a gateway. It maps each request to a tenant and a client,
// enforces their quotas, decides the order in which queued requests are admitted to the decision module, and computes
// rejections and their Retry-After. It must not handle protocol bytes, clocks, sockets or goroutines. The decision
// module alone chooses among the classes and the admitted requests, and the engine and the attempts of each request.
//
// The controller takes events with their time and returns effects in order. The caller identifies requests and
// connections by slots, which are less than Limits.Requests and Limits.ConnectionSlots. A slot can be reused after
// its RequestDone or ConnectionClosed. The size of the state depends on Limits only, not on the number of tenants.
package admission

import (
	"math"
	"math/rand/v2"

	"foxlane/rules"
)

// Limits bound what the controller accepts, and with it the size of its state.
type Limits struct {
	ConnectionSlots int // open connections; connections beyond Connections must not send requests
	Connections     int // connections that may send requests; less than ConnectionSlots
	Requests        int // open requests
	StatementBytes  int // total statement bytes of all open requests
	InputBytes      int // total bytes of all incomplete packets
	StateBytes      int // memory for the debts and bookings of tenants and clients that have nothing open
}

// Controller holds the whole state of admission control. It starts no goroutines, reads no clock and makes no
// callbacks. It is not safe for concurrent use.
type Controller struct {
	settings         Settings
	limits           Limits
	classes          []rules.Class
	resolver         *identityResolver
	seed             uint64
	rng              *rand.Rand
	now              rules.Time // never decreases
	effects          []Effect   // of the Handle call in progress
	timerAt          rules.Time // time of the last SetTimer effect
	shutdownDeadline rules.Time
	stopping         bool
	inputPending     bool // after a stall: requests of idle connections may still be unread

	requests       []openRequest // by slot
	connections    []connection  // by slot
	expiry         expiryHeap
	lastByOrderKey map[uint64]int32 // slot of the last queued request, by order key
	flows          []classFlow      // by class

	tenantByKey     map[uint64]*tenantAccount // tenants that have a connection or a request
	tenants         []*tenantAccount          // the tenants of tenantByKey, unordered
	freeTenants     []*tenantAccount          // unused accounts, kept for reuse
	freeClients     []*clientAccount          // unused accounts, kept for reuse
	virtualTime     float64                   // least virtual time of the tenants with queued requests; never decreases
	queuedWeight    float64                   // total weight of the tenants with queued requests
	epoch           uint64                    // number of tenant accounts created so far
	tenantDebts     debtTable                 // debts of tenants that have nothing open
	clientDebts     debtTable                 // debts of clients that have nothing open while their tenant has
	evictedDebts    debtSketch                // debts that were evicted from tenantDebts
	openConnections int
	openRequests    int
	queued          int            // open requests that are not admitted yet
	statementBytes  int            // total statement bytes of open requests
	inputBytes      int            // total bytes of incomplete packets
	meanWork        []decayingMean // work of served requests, by class
	capacity        decayingRate   // engine time used
	retryAfterBias  float64        // running mean of the logarithm of (time needed / Retry-After sent)
	bookings        bookingTable
	seq             uint64 // sequence number of the last request
	stats           Stats
}

// Stats holds counters since the start of the gateway, and gauges.
type Stats struct {
	Admitted, Delayed    int              // requests admitted; how many of them had to wait in a queue
	Rejected             [reasonCount]int // requests rejected, by Reason
	Evicted              [reasonCount]int // connections closed, by Reason
	RetryAfterSent       int
	ReturnsServed        int     // requests that arrived at their Retry-After and were served
	ReturnsMissed        int     // requests that arrived at their Retry-After and were not served
	RetryAfterCorrection float64 // gauge: factor by which a predicted Retry-After is multiplied
	Queued               int     // gauge: queued requests
	Connections          int     // gauge: open connections
	Tenants              int     // gauge: tenants that have a connection or a request
	CapacityMS           float64 // gauge: engine time used, in milliseconds per second
}

// New returns the controller of a gateway that has just started. The seed must be kept secret from clients, or they
// could choose names whose hashes collide.
func New(settings Settings, limits Limits, classes []rules.Class, declared []string, seed uint64) *Controller {
	controller := &Controller{settings: settings, limits: limits, classes: classes, seed: seed, shutdownDeadline: math.MaxInt64,
		rng:            rand.New(rand.NewPCG(seed, seed^0x6a09e667f3bcc909)),
		requests:       make([]openRequest, limits.Requests),
		connections:    make([]connection, limits.ConnectionSlots),
		lastByOrderKey: make(map[uint64]int32, limits.Requests),
		tenantByKey:    make(map[uint64]*tenantAccount, limits.ConnectionSlots),
		flows:          make([]classFlow, len(classes)),
	}
	controller.resolver = newIdentityResolver(settings, declared, seed)
	rows := limits.StateBytes / 4
	controller.tenantDebts, controller.clientDebts = newDebtTable(rows), newDebtTable(rows)
	controller.evictedDebts, controller.bookings = newDebtSketch(rows), newBookingTable(rows)
	for _, c := range classes {
		controller.meanWork = append(controller.meanWork, decayingMean{})
		controller.meanWork[len(controller.meanWork)-1].reset(float64(c.LatencyObjective) / 2)
	}
	controller.capacity.timeConstant = float64(capacityTimeConstant)
	for i := range controller.connections {
		controller.connections[i].slot = int32(i)
	}
	for i := range controller.requests {
		controller.requests[i].slot, controller.requests[i].expiryIndex = int32(i), -1
	}
	return controller
}

// Handle processes one event and returns the effects to carry out, in order. The result is valid until the next call.
func (c *Controller) Handle(now rules.Time, event Event) []Effect {
	c.effects = c.effects[:0]
	c.now = max(c.now, now) // if the clock steps back, the controller's time does not advance
	switch event.Kind {
	case ConnectionOpened:
		c.handleConnectionOpened(event.Conn, event.From)
	case ConnectionClosed:
		c.handleConnectionClosed(&c.connections[event.Conn])
	case ConnectionIdle:
		c.setConnectionState(&c.connections[event.Conn], connectionIdle)
	case InputBuffered:
		c.handleInputBuffered(&c.connections[event.Conn], event.Bytes)
	case RequestArrived:
		c.handleRequestArrived(event.Slot, event.Conn, event.Request)
	case RequestForwarded:
		c.handleRequestForwarded(&c.requests[event.Slot])
	case EngineTimeUsed:
		c.requests[event.Slot].engineTime += float64(event.EngineTime) * c.threads(c.requests[event.Slot].class)
	case RequestDone:
		c.handleRequestDone(&c.requests[event.Slot], event.Served)
	case RequestRejected:
		request := &c.requests[event.Slot]
		c.rejectAdmitted(request, ReasonModule)
	case Reconfigured:
		c.reconfigure(*event.Settings, event.DeclaredTenants)
	case Stopping:
		c.beginShutdown(event.Deadline)
	case InputPending:
		c.inputPending = true
	case InputRead:
		c.handleInputRead()
	}
	c.admitQueued()
	c.expire()
	c.admitQueued() // expire may have unblocked an order key or made room among the pending requests
	c.setTimer()
	return c.effects
}

func (c *Controller) emit(effect Effect) { c.effects = append(c.effects, effect) }

// threads returns the number of threads that a request of a class uses.
func (c *Controller) threads(class int32) float64 { return float64(max(1, c.classes[class].Threads)) }

// Stats returns the current counters and gauges.
func (c *Controller) Stats() Stats {
	s := c.stats
	s.Queued, s.Connections, s.Tenants = c.queued, c.openConnections, len(c.tenants)
	s.RetryAfterCorrection = math.Exp(c.retryAfterBias)
	s.CapacityMS = c.capacity.rate(c.now) * float64(rules.Second) / float64(rules.Millisecond)
	return s
}

// beginShutdown caps the deadlines of all queued requests at the shutdown deadline. Handle then rejects those that
// can't meet it.
func (c *Controller) beginShutdown(deadline rules.Time) {
	c.stopping, c.shutdownDeadline = true, deadline
	for i := range c.requests {
		if request := &c.requests[i]; request.state == requestBlocked || request.state == requestQueued {
			request.deadline = min(request.deadline, deadline)
			request.expiresAt = c.latestAdmission(request)
			c.expiry.fix(request)
		}
	}
}

// setTimer requests a TimerFired event for the time at which the next queued request expires or the next pending
// request becomes stale, whichever is earlier.
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
