package admission

import (
	"math"

	"foxlane/rules"
)

// This file owns the order in which requests pass: start-time fair queueing
// over predicted work in two levels, tenants and the clients within each. It
// never holds a request back while the module has room for one of its class,
// and never turns round two requests of one key.
//
// A tenant's virtual time is the work that it was given over its weight, a
// client's the work within its tenant. Of those with something held in a class
// the least goes first. Classes are queued apart, since the class lottery is the
// module's and one class must not wait behind another, but work of any class
// moves the same virtual time.

const (
	noSlot              = int32(-1)
	capacitySpan        = 1 * rules.Second
	minStaleAfter       = 50 * rules.Millisecond // requests in the module for longer than this and a run leave their place to others
	clientDebtLifetime  = 10 * rules.Second      // a client's debt within a tenant that others of it keep here
	minDeclaredFraction = 0.125                  // part of its class's mean work that a request counts for at least
	hopelessWaitFactor  = 1.25                   // times its patience that a wait must be predicted to be refused for
)

type requestState uint8

const (
	requestFree    requestState = iota
	requestBlocked              // held, behind one of its key
	requestQueued               // held
	requestPending              // passed, and counts as waiting in the module
	requestAdmitted
)

// openRequest is a request.
type openRequest struct {
	slot                         int32
	state                        requestState
	booked                       bool // came back when it was told to
	class                        int32
	connection                   int32
	nextInQueue, previousInQueue int32 // in its client's line, or among those ahead
	expiryIndex                  int32 // in the heap of the held
	nextOfKey                    int32 // chained behind it by its key
	previousOfKey                int32
	statementBytes               int32
	orderKey                     uint64 // 0: none
	tenantHash                   uint64 // of the tenant that was told; 0: none
	seq                          uint64
	client                       *clientAccount
	arrivedAt                    rules.Time // when it came
	deadline                     rules.Time
	expiresAt                    rules.Time // refused then, if still held
	admittedAt                   rules.Time
	work                         float64 // predicted, and charged when it passed
	declaredWork                 float64 // work as told; 0: not
	engineTime                   float64 // engine time so far, all threads
	bookedAt                     rules.Time
	couldStartAt                 rules.Time // since when it need not have waited, as far as it was seen when it came
	bookedDelay                  rules.Time // span that it was told when it was refused before
}

// clientQueue is what a client has queued of a class, oldest first; who came back as told stands ahead of the rest.
type clientQueue struct {
	head, tail int32
	lastBooked int32
	heapIndex  int32 // its place in the heap of its tenant's flow
}

// clientAccount is one client of a tenant that has a connection or a request.
type clientAccount struct {
	key         uint64
	clientHash  uint64 // without its tenant
	tenant      *tenantAccount
	index       int // in its tenant's list
	virtualTime float64
	connections int
	requests    int // open
	queued      int
	queuedWork  float64 // of the held
	queues      []clientQueue
}

// tenantFlow is what a tenant has queued of a class: its clients, by virtual time.
type tenantFlow struct {
	heap      []*clientAccount
	heapIndex int32 // its place in the heap of the class
}

// tenantAccount is one that has a client.
type tenantAccount struct {
	key               uint64
	epoch             uint64
	weight            float64
	index             int
	virtualTime       float64
	clientVirtualTime float64 // virtual time of its clients
	clients           []*clientAccount
	flows             []tenantFlow
	connections       int
	queued            int
	queuedWork        float64 // of the held
	statementBytes    int     // of statements
	inputBytes        int     // of unfinished packets
	servedRate        decayingRate
	bookedUntil       rules.Time // until when its part is promised to clients that were refused
	emptySince        rules.Time // when it last came that nothing of it was held
	queuedSince       rules.Time // when it last came that something was
}

// classFlow is what is held of a class: its tenants, by virtual time.
type classFlow struct {
	heap                      []*tenantAccount
	pending                   int
	firstPending, lastPending int32 // of those ahead, oldest first
	staleAt                   rules.Time
}

func (f *classFlow) hasQueued() bool { return len(f.heap) > 0 }

// ---- principals that come and go

func mixHash(a, b uint64) uint64 {
	h := a ^ b*0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 29
	if h == 0 {
		return 1
	}
	return h
}

// findOrAddClient finds a principal or makes it, with what is remembered of it.
func (c *Controller) findOrAddClient(p principal) *clientAccount {
	tenant := c.tenantByKey[p.tenant]
	if tenant == nil {
		tenant = c.addTenant(p)
	}
	if tenant.queued == 0 {
		tenant.weight = p.weight
	}
	for _, client := range tenant.clients { // most tenants have few; the newest ask most
		if client.clientHash == p.client {
			return client
		}
	}
	var client *clientAccount
	if n := len(c.freeClients); n > 0 {
		client, c.freeClients = c.freeClients[n-1], c.freeClients[:n-1]
	} else {
		client = &clientAccount{queues: make([]clientQueue, len(c.classes))}
	}
	queues := client.queues
	*client = clientAccount{key: mixHash(tenant.key^tenant.epoch, p.client), clientHash: p.client, tenant: tenant, index: len(tenant.clients), virtualTime: tenant.clientVirtualTime, queues: queues}
	for i := range queues {
		queues[i] = clientQueue{noSlot, noSlot, noSlot, noSlot}
	}
	if r, ok := c.clientDebts.take(client.key); ok {
		client.virtualTime = max(client.virtualTime, r.virtualTime)
	}
	tenant.clients = append(tenant.clients, client)
	return client
}

func (c *Controller) addTenant(p principal) *tenantAccount {
	var tenant *tenantAccount
	if n := len(c.freeTenants); n > 0 {
		tenant, c.freeTenants = c.freeTenants[n-1], c.freeTenants[:n-1]
	} else {
		tenant = &tenantAccount{flows: make([]tenantFlow, len(c.classes))}
	}
	c.epoch++
	flows, clients := tenant.flows, tenant.clients[:0]
	*tenant = tenantAccount{key: p.tenant, epoch: mixHash(c.epoch, c.seed), weight: p.weight, index: len(c.tenants), flows: flows, clients: clients,
		servedRate: decayingRate{span: float64(capacitySpan)}, emptySince: c.now}
	for i := range flows {
		flows[i].heap, flows[i].heapIndex = flows[i].heap[:0], noSlot
	}
	if r, ok := c.tenantDebts.take(p.tenant); ok {
		tenant.virtualTime, tenant.bookedUntil = r.virtualTime, r.bookedUntil
	} else {
		tenant.virtualTime = c.lightDebts.get(p.tenant)
	}
	c.tenantByKey[p.tenant] = tenant
	c.tenants = append(c.tenants, tenant)
	return tenant
}

// removeIfUnused lets a client go that has nothing open any more, and its tenant with the last one.
func (c *Controller) removeIfUnused(client *clientAccount) {
	if client.connections > 0 || client.requests > 0 {
		return
	}
	tenant := client.tenant
	last := tenant.clients[len(tenant.clients)-1]
	tenant.clients[client.index], last.index = last, client.index
	tenant.clients[len(tenant.clients)-1] = nil
	tenant.clients = tenant.clients[:len(tenant.clients)-1]
	if len(tenant.clients) > 0 {
		if client.virtualTime > tenant.clientVirtualTime {
			c.clientDebts.put(debt{client.key, client.virtualTime, c.now + clientDebtLifetime}, math.Inf(1), c.now)
		}
	} else {
		c.removeTenant(tenant)
	}
	if client.tenant = nil; len(c.freeClients) < c.limits.ConnectionSlots {
		c.freeClients = append(c.freeClients, client)
	}
}

func (c *Controller) removeTenant(tenant *tenantAccount) {
	if tenant.virtualTime > c.virtualTime || tenant.bookedUntil > c.now {
		if lost := c.tenantDebts.put(debt{tenant.key, tenant.virtualTime, tenant.bookedUntil}, c.virtualTime, c.now); lost.key != 0 {
			c.lightDebts.put(lost.key, lost.virtualTime)
		}
	}
	delete(c.tenantByKey, tenant.key)
	last := c.tenants[len(c.tenants)-1]
	c.tenants[tenant.index], last.index = last, tenant.index
	c.tenants[len(c.tenants)-1] = nil
	c.tenants = c.tenants[:len(c.tenants)-1]
	if len(c.freeTenants) < c.limits.ConnectionSlots {
		c.freeTenants = append(c.freeTenants, tenant)
	}
}

// ---- requests that come

func (c *Controller) requestArrived(slot, connSlot int, q Request) {
	conn, request := &c.connections[connSlot], &c.requests[slot]
	c.setConnectionState(conn, connectionBusy)
	conn.tenantHash = 0
	if q.Tenant != "" {
		conn.tenantHash = c.resolver.hashName(spaceTenant, q.Tenant)
	}
	c.assignConnection(conn, c.resolver.principalOf(conn.origin, conn.tenantHash))
	client := conn.client
	c.seq++
	*request = openRequest{slot: request.slot, seq: c.seq, tenantHash: conn.tenantHash, class: int32(q.Class), connection: conn.slot, nextInQueue: noSlot, previousInQueue: noSlot, expiryIndex: noSlot, nextOfKey: noSlot, previousOfKey: noSlot,
		client: client, arrivedAt: c.now, deadline: min(q.Deadline, c.shutdownDeadline), statementBytes: int32(q.StatementBytes), declaredWork: float64(q.DeclaredWork)}
	if q.OrderKey != "" {
		request.orderKey = c.resolver.hashName(spaceKey, q.OrderKey)
	}
	request.work = c.predictWork(request.class, request.declaredWork)
	request.expiresAt = c.latestAdmission(request)
	c.openRequests++
	c.statementBytes += q.StatementBytes
	client.requests++
	client.tenant.statementBytes += q.StatementBytes
	c.claimBooking(request)
	c.enqueue(request)
	if conn.overLimit && c.openConnections > c.limits.Connections {
		c.reject(request, ReasonConnections)
		c.evict(conn, ReasonConnections)
		return
	}
	conn.overLimit = false
	if c.returnedTooEarly(conn) {
		c.reject(request, ReasonEarlyReturn)
		c.evict(conn, ReasonEarlyReturn)
		return
	}
	if !c.makeRequestRoom(request) {
		return
	}
	if !request.booked && c.cannotMeetDeadline(request) {
		c.reject(request, ReasonDeadline)
	}
}

// predictWork is the work that a request is expected to be, all threads together. What clients tell
// is taken in proportion to what such told proved to be, and not for less than a part of the mean:
// the account is settled by what it was, but only once it has run.
func (c *Controller) predictWork(class int32, declared float64) float64 {
	mean := c.meanWork[class].value
	if declared <= 0 {
		return max(mean, 1)
	}
	return max(declared, minDeclaredFraction*mean, 1)
}

// latestAdmission is when a held request is given up: when it would end too late even if it went at once.
func (c *Controller) latestAdmission(request *openRequest) rules.Time {
	class := &c.classes[request.class]
	run := request.work / c.threads(request.class)
	end := request.deadline
	if class.LateValue <= 0 {
		end = min(end, request.arrivedAt+class.LatencyObjective+rules.Time(class.ObjectiveStretch*run))
	}
	return max(end-rules.Time(run), request.arrivedAt)
}

// enqueue puts a request into its line, behind those of its key.
func (c *Controller) enqueue(request *openRequest) {
	client, tenant := request.client, request.client.tenant
	if tenant.queued == 0 {
		tenant.queuedSince = c.now
		tenant.virtualTime = max(tenant.virtualTime, c.virtualTime-float64(c.settings.Burst)/tenant.weight)
		c.queuedWeight += tenant.weight
	}
	if client.queued == 0 {
		client.virtualTime = max(client.virtualTime, tenant.clientVirtualTime-float64(c.settings.Burst))
	}
	tenant.queued++
	client.queued++
	c.queued++
	tenant.queuedWork += request.work
	client.queuedWork += request.work
	c.expiry.push(request)
	if request.orderKey != 0 {
		if tail, ok := c.lastOfKey[request.orderKey]; ok {
			c.requests[tail].nextOfKey, request.previousOfKey = request.slot, tail
			c.lastOfKey[request.orderKey] = request.slot
			request.state = requestBlocked
			return
		}
		c.lastOfKey[request.orderKey] = request.slot
	}
	c.enqueueForClient(request)
}

// enqueueForClient puts a request into its client's line.
func (c *Controller) enqueueForClient(request *openRequest) {
	request.state = requestQueued
	queue := &request.client.queues[request.class]
	at := queue.tail
	if request.booked {
		at = queue.lastBooked
		queue.lastBooked = request.slot
	}
	c.insertAfter(queue, request, at)
	if queue.heapIndex != noSlot {
		return
	}
	tenant, class := request.client.tenant, request.class
	flow := &tenant.flows[class]
	flow.heap = append(flow.heap, request.client)
	queue.heapIndex = int32(len(flow.heap) - 1)
	siftClient(flow.heap, int(queue.heapIndex), class)
	if flow.heapIndex == noSlot {
		perClass := &c.flows[class]
		perClass.heap = append(perClass.heap, tenant)
		flow.heapIndex = int32(len(perClass.heap) - 1)
		siftTenant(perClass.heap, int(flow.heapIndex), class)
	}
}

// insertAfter puts a request behind another of a line, or at its head.
func (c *Controller) insertAfter(queue *clientQueue, request *openRequest, behind int32) {
	request.previousInQueue = behind
	if behind == noSlot {
		request.nextInQueue, queue.head = queue.head, request.slot
	} else {
		request.nextInQueue = c.requests[behind].nextInQueue
		c.requests[behind].nextInQueue = request.slot
	}
	if request.nextInQueue == noSlot {
		queue.tail = request.slot
	} else {
		c.requests[request.nextInQueue].previousInQueue = request.slot
	}
}

// dequeue takes a held request out of the door's order. The next of its key may have its turn then.
func (c *Controller) dequeue(request *openRequest) {
	client, tenant, class := request.client, request.client.tenant, request.class
	if request.state == requestQueued {
		queue := &client.queues[class]
		if queue.lastBooked == request.slot {
			queue.lastBooked = request.previousInQueue // those ahead of it came back as well
		}
		if request.previousInQueue == noSlot {
			queue.head = request.nextInQueue
		} else {
			c.requests[request.previousInQueue].nextInQueue = request.nextInQueue
		}
		if request.nextInQueue == noSlot {
			queue.tail = request.previousInQueue
		} else {
			c.requests[request.nextInQueue].previousInQueue = request.previousInQueue
		}
		if queue.head == noSlot {
			flow := &tenant.flows[class]
			flow.heap = dropClient(flow.heap, int(queue.heapIndex), class)
			queue.heapIndex = noSlot
			if len(flow.heap) == 0 {
				c.flows[class].heap = dropTenant(c.flows[class].heap, int(flow.heapIndex), class)
				flow.heapIndex = noSlot
			}
		}
	}
	request.nextInQueue, request.previousInQueue = noSlot, noSlot
	c.expiry.drop(request)
	tenant.queued--
	client.queued--
	c.queued--
	tenant.queuedWork -= request.work
	client.queuedWork -= request.work
	if tenant.queued == 0 {
		tenant.queuedWork, tenant.emptySince = 0, c.now
		if c.queuedWeight -= tenant.weight; len(c.expiry) == 0 {
			c.queuedWeight = 0
		}
	}
	request.state = requestAdmitted
	if request.orderKey != 0 {
		c.unlinkKey(request)
	}
}

func (c *Controller) unlinkKey(request *openRequest) {
	if request.nextOfKey == noSlot {
		if request.previousOfKey == noSlot {
			delete(c.lastOfKey, request.orderKey)
		} else {
			c.lastOfKey[request.orderKey] = request.previousOfKey
		}
	} else {
		c.requests[request.nextOfKey].previousOfKey = request.previousOfKey
	}
	if request.previousOfKey != noSlot {
		c.requests[request.previousOfKey].nextOfKey = request.nextOfKey
	} else if request.nextOfKey != noSlot {
		c.enqueueForClient(&c.requests[request.nextOfKey])
	}
	request.nextOfKey, request.previousOfKey = noSlot, noSlot
}

// ---- requests that pass

// admitQueued hands requests to the module while it has fewer of their class waiting than a choice needs.
func (c *Controller) admitQueued() {
	for class := range c.flows {
		flow := &c.flows[class]
		for flow.hasQueued() && flow.pending < c.settings.ModuleQueueDepth {
			c.admitNext(flow)
		}
	}
}

func (c *Controller) admitNext(flow *classFlow) {
	tenant := flow.heap[0]
	least := tenant.virtualTime
	for class := range c.flows {
		if other := &c.flows[class]; other.hasQueued() {
			least = min(least, other.heap[0].virtualTime)
		}
	}
	c.virtualTime = max(c.virtualTime, least)
	class := int32(0)
	for ; &c.flows[class] != flow; class++ {
	}
	client := tenant.flows[class].heap[0]
	tenant.clientVirtualTime = max(tenant.clientVirtualTime, client.virtualTime)
	request := &c.requests[client.queues[class].head]
	tenant.servedRate.add(c.now, request.work)
	c.dequeue(request)
	c.charge(client, request.work)
	request.admittedAt, request.state = c.now, requestPending
	if request.previousInQueue = flow.lastPending; flow.lastPending == noSlot || flow.pending == 0 {
		request.previousInQueue, flow.firstPending = noSlot, request.slot
	} else {
		c.requests[flow.lastPending].nextInQueue = request.slot
	}
	flow.lastPending = request.slot
	flow.pending++
	c.updateStaleAt(flow)
	c.stats.Admitted++
	if c.now > request.arrivedAt {
		c.stats.Delayed++
	}
	c.emit(Effect{Kind: Admit, Slot: int(request.slot), After: c.now - request.arrivedAt})
}

// charge moves virtual times by work that was given, or given back if under 0.
func (c *Controller) charge(client *clientAccount, work float64) {
	tenant := client.tenant
	tenant.virtualTime += work / tenant.weight
	client.virtualTime += work
	for class := range tenant.flows {
		flow := &tenant.flows[class]
		if flow.heapIndex != noSlot {
			siftTenant(c.flows[class].heap, int(flow.heapIndex), int32(class))
		}
		if queue := &client.queues[class]; queue.heapIndex != noSlot {
			siftClient(flow.heap, int(queue.heapIndex), int32(class))
		}
	}
}

// requestForwarded: the module has an engine for it.
func (c *Controller) requestForwarded(request *openRequest) {
	if request.state == requestPending {
		c.removePending(request)
	}
}

func (c *Controller) removePending(request *openRequest) {
	flow := &c.flows[request.class]
	if request.previousInQueue == noSlot {
		flow.firstPending = request.nextInQueue
	} else {
		c.requests[request.previousInQueue].nextInQueue = request.nextInQueue
	}
	if request.nextInQueue == noSlot {
		flow.lastPending = request.previousInQueue
	} else {
		c.requests[request.nextInQueue].previousInQueue = request.previousInQueue
	}
	request.nextInQueue, request.previousInQueue = noSlot, noSlot
	request.state = requestAdmitted
	flow.pending--
	c.updateStaleAt(flow)
}

// updateStaleAt notes when the oldest that waits in the module stops keeping others from it. What fits
// nowhere, for its memory or for a load that holds its data set, must not stop what would.
func (c *Controller) updateStaleAt(flow *classFlow) {
	if flow.pending > 0 {
		request := &c.requests[flow.firstPending]
		flow.staleAt = request.admittedAt + max(minStaleAfter, rules.Time(c.meanWork[request.class].value/c.threads(request.class)))
	}
}

// expire gives up what can't be in time any more, and lets go of what has waited long in the module.
func (c *Controller) expire() {
	for len(c.expiry) > 0 && c.expiry[0].expiresAt <= c.now {
		c.reject(c.expiry[0], ReasonDeadline)
	}
	for class := range c.flows {
		for flow := &c.flows[class]; flow.pending > 0 && flow.hasQueued() && flow.staleAt <= c.now; {
			c.removePending(&c.requests[flow.firstPending])
		}
	}
}

// requestDone: a request is over. What it took is settled against what it was charged.
func (c *Controller) requestDone(request *openRequest, served bool) {
	if request.state == requestFree {
		return
	}
	client := request.client
	switch request.state {
	case requestBlocked, requestQueued:
		c.dequeue(request)
	case requestPending:
		c.removePending(request)
		fallthrough
	default:
		c.charge(client, request.engineTime-request.work)
		if request.engineTime > 0 {
			c.capacity.add(c.now, request.engineTime)
			if served {
				c.meanWork[request.class].add(request.engineTime)
			}
		}
		c.learnFromReturn(request, served)
	}
	c.releaseRequest(request)
}

// releaseRequest frees a request's slot.
func (c *Controller) releaseRequest(request *openRequest) {
	client := request.client
	request.state = requestFree
	c.openRequests--
	c.statementBytes -= int(request.statementBytes)
	client.tenant.statementBytes -= int(request.statementBytes)
	client.requests--
	request.client = nil
	c.removeIfUnused(client)
}

// ---- heaps

// siftTenant moves a tenant to its place in a heap by virtual time.
func siftTenant(h []*tenantAccount, i int, class int32) {
	for ; i > 0 && h[i].virtualTime < h[(i-1)/2].virtualTime; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		h[i].flows[class].heapIndex = int32(i)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			break
		}
		if least+1 < len(h) && h[least+1].virtualTime < h[least].virtualTime {
			least++
		}
		if h[i].virtualTime <= h[least].virtualTime {
			break
		}
		h[i], h[least] = h[least], h[i]
		h[i].flows[class].heapIndex = int32(i)
		i = least
	}
	h[i].flows[class].heapIndex = int32(i)
}

func dropTenant(h []*tenantAccount, i int, class int32) []*tenantAccount {
	last := len(h) - 1
	h[i], h[last] = h[last], nil
	if h = h[:last]; i < last {
		siftTenant(h, i, class)
	}
	return h
}

// siftClient does the same for clients.
func siftClient(h []*clientAccount, i int, class int32) {
	for ; i > 0 && h[i].virtualTime < h[(i-1)/2].virtualTime; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		h[i].queues[class].heapIndex = int32(i)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			break
		}
		if least+1 < len(h) && h[least+1].virtualTime < h[least].virtualTime {
			least++
		}
		if h[i].virtualTime <= h[least].virtualTime {
			break
		}
		h[i], h[least] = h[least], h[i]
		h[i].queues[class].heapIndex = int32(i)
		i = least
	}
	h[i].queues[class].heapIndex = int32(i)
}

func dropClient(h []*clientAccount, i int, class int32) []*clientAccount {
	last := len(h) - 1
	h[i], h[last] = h[last], nil
	if h = h[:last]; i < last {
		siftClient(h, i, class)
	}
	return h
}

// expiryHeap holds all held requests by when they are given up.
type expiryHeap []*openRequest

func (h *expiryHeap) push(request *openRequest) {
	request.expiryIndex = int32(len(*h))
	*h = append(*h, request)
	h.sift(int(request.expiryIndex))
}

func (h *expiryHeap) fix(request *openRequest) { h.sift(int(request.expiryIndex)) }

func (h *expiryHeap) drop(request *openRequest) {
	s, i, last := *h, int(request.expiryIndex), len(*h)-1
	request.expiryIndex = noSlot
	s[i], s[last] = s[last], nil
	if *h = s[:last]; i < last {
		h.sift(i)
	}
}

func (h expiryHeap) sift(i int) {
	for ; i > 0 && h[i].expiresAt < h[(i-1)/2].expiresAt; i = (i - 1) / 2 {
		h[i], h[(i-1)/2] = h[(i-1)/2], h[i]
		h[i].expiryIndex = int32(i)
	}
	for {
		least := 2*i + 1
		if least >= len(h) {
			break
		}
		if least+1 < len(h) && h[least+1].expiresAt < h[least].expiresAt {
			least++
		}
		if h[i].expiresAt <= h[least].expiresAt {
			break
		}
		h[i], h[least] = h[least], h[i]
		h[i].expiryIndex = int32(i)
		i = least
	}
	h[i].expiryIndex = int32(i)
}
