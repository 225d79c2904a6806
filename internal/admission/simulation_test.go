package admission

import (
	"flag"
	"fmt"
	"math"
	"net/netip"
	"os"
	"testing"

	"go4.org/netipx"
	"pgregory.net/rapid"

	"foxlane/rules"
)

const ms = rules.Millisecond

// TestMain fixes the seed of rapid unless the command line sets it, so that each run checks the same random inputs.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// simulation runs a controller with a simulated clock and a simulated decision module, which forwards an admitted
// request as soon as one of the engine slots is free.
type simulation struct {
	t           testing.TB
	controller  *Controller
	now         rules.Time
	engineSlots int // requests that the engines run at a time
	running     []simulatedRun
	waiting     []int // slots of requests that are admitted but not forwarded
	requests    []*simulatedRequest
	connections []*simulatedConnection
	timerAt     rules.Time
	served      map[string]float64      // work of served requests, by tenant
	queueTimes  map[string][]rules.Time // queueing times, by tenant
	admitted    []string                // request ids, in the order of admission
	aborted     []int                   // connections closed by AbortInput
	evicted     []int                   // connections closed by Evict
	onRejected  func(request *simulatedRequest, after rules.Time, reason Reason)
	onServed    func(request *simulatedRequest)
	outcomes    map[string]int                       // how often a request has ended, by id
	neverRuns   func(request *simulatedRequest) bool // whether a request fits no engine and is never forwarded
}

type simulatedRun struct {
	slot int
	end  rules.Time
}

type simulatedRequest struct {
	id, tenant string
	connection int
	arrivedAt  rules.Time
	runTime    rules.Time
	admitted   bool
	request    Request
}

type simulatedConnection struct {
	from    netip.Addr
	request int // slot of its open request; -1: none
}

func oneClass() []rules.Class {
	return []rules.Class{{LatencyObjective: 500 * ms, ClientTimeout: 5 * rules.Second, LateValue: 0.1, Threads: 1}}
}

func testLimits() Limits {
	return Limits{ConnectionSlots: 66, Connections: 64, Requests: 64, StatementBytes: 64 << 10, InputBytes: 16 << 10, StateBytes: 64 << 10}
}

func trustingSettings() Settings {
	s := Defaults()
	s.AnyTenant = true
	builder := netipx.IPSetBuilder{}
	builder.AddPrefix(netip.MustParsePrefix("10.0.0.0/8"))
	addresses, _ := builder.IPSet()
	s.Networks = []Network{{Name: "office", Addresses: addresses, Weight: 1, Trusted: true}}
	return s
}

func newSimulation(t testing.TB, settings Settings, limits Limits, classes []rules.Class, declared ...string) *simulation {
	if err := settings.Validate(); err != nil {
		t.Fatal(err)
	}
	return &simulation{t: t, controller: New(settings, limits, classes, declared, 7), now: rules.Second, engineSlots: 4, requests: make([]*simulatedRequest, limits.Requests),
		connections: make([]*simulatedConnection, limits.ConnectionSlots), timerAt: math.MaxInt64, served: map[string]float64{}, queueTimes: map[string][]rules.Time{},
		outcomes: map[string]int{}}
}

func (sim *simulation) handle(event Event) {
	inbox := []Event{event}
	for len(inbox) > 0 {
		event, inbox = inbox[0], inbox[1:]
		for _, effect := range append([]Effect(nil), sim.controller.Handle(sim.now, event)...) {
			switch effect.Kind {
			case Admit:
				request := sim.requests[effect.Slot]
				if request.admitted {
					sim.t.Fatalf("request %s was admitted twice", request.id)
				}
				if effect.After < 0 {
					sim.t.Fatalf("request %s has a negative queueing time of %d us", request.id, effect.After)
				}
				request.admitted = true
				sim.admitted = append(sim.admitted, request.id)
				sim.queueTimes[request.tenant] = append(sim.queueTimes[request.tenant], sim.now-request.arrivedAt)
				if sim.neverRuns == nil || !sim.neverRuns(request) {
					sim.waiting = append(sim.waiting, effect.Slot)
				}
			case Reject:
				request := sim.requests[effect.Slot]
				sim.finish(effect.Slot)
				if sim.onRejected != nil {
					sim.onRejected(request, effect.After, effect.Reason)
				}
			case Evict:
				sim.evicted = append(sim.evicted, effect.Conn)
				inbox = append(inbox, sim.disconnectEvents(effect.Conn)...)
			case AbortInput:
				sim.aborted = append(sim.aborted, effect.Conn)
				inbox = append(inbox, sim.disconnectEvents(effect.Conn)...)
			case SetTimer:
				sim.timerAt = effect.At
			}
		}
		for len(sim.waiting) > 0 && len(sim.running) < sim.engineSlots {
			slot := sim.waiting[0]
			sim.waiting = sim.waiting[1:]
			sim.running = append(sim.running, simulatedRun{slot, sim.now + sim.requests[slot].runTime})
			inbox = append(inbox, Event{Kind: RequestForwarded, Slot: slot})
		}
	}
	if got, bound := sim.controller.StateBytes(), sim.controller.StateBound(); got > bound {
		sim.t.Fatalf("the state takes %d bytes, want at most %d", got, bound)
	}
}

func (sim *simulation) finish(slot int) {
	request := sim.requests[slot]
	sim.requests[slot] = nil
	sim.outcomes[request.id]++
	if conn := sim.connections[request.connection]; conn != nil {
		conn.request = -1
	}
}

// disconnectEvents closes a connection and returns the events to report it with.
func (sim *simulation) disconnectEvents(index int) (out []Event) {
	conn := sim.connections[index]
	if conn == nil {
		return nil
	}
	sim.connections[index] = nil
	if conn.request >= 0 {
		slot := conn.request
		if request := sim.requests[slot]; request.admitted {
			for i, w := range sim.waiting {
				if w == slot {
					sim.waiting = append(sim.waiting[:i], sim.waiting[i+1:]...)
					break
				}
			}
			for i, r := range sim.running {
				if r.slot == slot {
					sim.running = append(sim.running[:i], sim.running[i+1:]...)
					break
				}
			}
		}
		sim.finish(slot)
		out = append(out, Event{Kind: RequestDone, Slot: slot})
	}
	return append(out, Event{Kind: ConnectionClosed, Conn: index})
}

func (sim *simulation) disconnect(conn int) {
	for _, e := range sim.disconnectEvents(conn) {
		sim.handle(e)
	}
}

func (sim *simulation) connect(from string) int {
	for i, conn := range sim.connections {
		if conn == nil {
			sim.connections[i] = &simulatedConnection{from: netip.MustParseAddr(from), request: -1}
			sim.handle(Event{Kind: ConnectionOpened, Conn: i, From: sim.connections[i].from})
			return i
		}
	}
	sim.t.Fatal("no free connection slot")
	return 0
}

func (sim *simulation) send(conn int, id, tenant string, runTime rules.Time, change func(*Request)) *simulatedRequest {
	slot := 0
	for sim.requests[slot] != nil {
		slot++
	}
	request := &simulatedRequest{id: id, tenant: tenant, connection: conn, arrivedAt: sim.now, runTime: runTime,
		request: Request{Tenant: tenant, Deadline: sim.now + 5*rules.Second, DeclaredWork: runTime, StatementBytes: 100}}
	if change != nil {
		change(&request.request)
	}
	sim.requests[slot], sim.connections[conn].request = request, slot
	sim.handle(Event{Kind: RequestArrived, Slot: slot, Conn: conn, Request: request.request})
	return request
}

// advance runs the simulation for a duration.
func (sim *simulation) advance(duration rules.Time) {
	end := sim.now + duration
	for {
		next, nextRun := min(end, sim.timerAt), -1
		for i, r := range sim.running {
			if r.end < next {
				next, nextRun = r.end, i
			}
		}
		sim.now = max(sim.now, next)
		if nextRun < 0 {
			if sim.timerAt <= sim.now {
				sim.timerAt = math.MaxInt64
				sim.handle(Event{Kind: TimerFired})
				continue
			}
			if next == end {
				return
			}
			continue
		}
		r := sim.running[nextRun]
		sim.running = append(sim.running[:nextRun], sim.running[nextRun+1:]...)
		request := sim.requests[r.slot]
		sim.served[request.tenant] += float64(request.runTime)
		sim.handle(Event{Kind: EngineTimeUsed, Slot: r.slot, EngineTime: request.runTime})
		sim.finish(r.slot)
		sim.handle(Event{Kind: RequestDone, Slot: r.slot, Served: true})
		if sim.connections[request.connection] != nil {
			sim.handle(Event{Kind: ConnectionIdle, Conn: request.connection})
			if sim.onServed != nil {
				sim.onServed(request)
			}
		}
	}
}

// startClosedLoop opens a number of connections and sends a request on each. After repeatRequests, each connection
// sends its next request as soon as the previous one is served.
func (sim *simulation) startClosedLoop(from, tenant string, conns int, runTime rules.Time) {
	for i := range conns {
		c := sim.connect(from)
		sim.send(c, fmt.Sprintf("%s-%d-%d", tenant, c, i), tenant, runTime, nil)
	}
}

func (sim *simulation) repeatRequests() {
	n := 0
	sim.onServed = func(request *simulatedRequest) {
		n++
		sim.send(request.connection, fmt.Sprintf("%s+%d", request.id[:min(len(request.id), 12)], n), request.tenant, request.runTime, nil)
	}
}

// repeatOnly restricts repeatRequests to one tenant.
func (sim *simulation) repeatOnly(tenant string) {
	repeat := sim.onServed
	sim.onServed = func(request *simulatedRequest) {
		if request.tenant == tenant {
			repeat(request)
		}
	}
}

func (sim *simulation) checkInvariants(rt *rapid.T, keys map[string][]string) {
	controller := sim.controller
	if controller.queued > 0 && len(sim.waiting) == 0 && len(sim.running) < sim.engineSlots {
		rt.Fatalf("%d requests are queued while an engine is idle", controller.queued)
	}
	if controller.openRequests > controller.limits.Requests || controller.statementBytes > controller.limits.StatementBytes || controller.inputBytes > controller.limits.InputBytes || controller.openConnections >= controller.limits.ConnectionSlots {
		rt.Fatalf("limits exceeded: %d requests, %d statement bytes, %d input bytes, %d connections", controller.openRequests, controller.statementBytes, controller.inputBytes, controller.openConnections)
	}
	positions := map[string]int{}
	for i, id := range sim.admitted {
		positions[id] = i + 1
	}
	for key, ids := range keys {
		last := 0
		for _, id := range ids {
			if n := positions[id]; n > 0 {
				if n < last {
					rt.Fatalf("order key %s: request %s was admitted before an earlier one", key, id)
				}
				last = n
			}
		}
	}
	queued := 0
	for i := range controller.requests {
		if request := &controller.requests[i]; request.state == requestBlocked || request.state == requestQueued {
			queued++
			if request.client.tenant == nil {
				rt.Fatal("a queued request has no tenant")
			}
		}
	}
	if queued != controller.queued || queued != len(controller.expiry) {
		rt.Fatalf("%d requests are queued, %d are counted, %d are in the expiry heap", queued, controller.queued, len(controller.expiry))
	}
	for class := range controller.flows {
		for i, tenant := range controller.flows[class].heap {
			if tenant.flows[class].heapIndex != int32(i) || i > 0 && controller.flows[class].heap[(i-1)/2].virtualTime > tenant.virtualTime {
				rt.Fatal("the heap of tenants is out of order")
			}
		}
	}
}

func idleConnection(rt *rapid.T, sim *simulation) int {
	var idle []int
	for i, conn := range sim.connections {
		if conn != nil && conn.request < 0 {
			idle = append(idle, i)
		}
	}
	if len(idle) == 0 {
		return -1
	}
	return rapid.SampledFrom(idle).Draw(rt, "conn")
}
