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

// The random inputs are the same in each run, unless a seed is given: one result for one program.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20", "rapid.nofailfile": "true"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// simulation is a controller with a decision module that forwards at once while one of so many slots
// of engines is free, on a clock of its own.
type simulation struct {
	t           testing.TB
	controller  *Controller
	now         rules.Time
	slots       int // of the engines
	running     []run
	waiting     []int // admitted, not forwarded
	requests    []*simulatedRequest
	connections []*simulatedConnection
	timerAt     rules.Time
	served      map[string]float64 // work by tenant
	waits       map[string][]rules.Time
	admitted    []string // ids, in order
	aborted     []int
	evicted     []int
	onRejected  func(request *simulatedRequest, after rules.Time, why Reason)
	onServed    func(request *simulatedRequest)
	outcomes    map[string]int
	neverRuns   func(request *simulatedRequest) bool // it fits nowhere: never sent
}

type run struct {
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
	request int // -1: none
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
	all := netipx.IPSetBuilder{}
	all.AddPrefix(netip.MustParsePrefix("10.0.0.0/8"))
	set, _ := all.IPSet()
	s.Networks = []Network{{Name: "office", Addresses: set, Weight: 1, Trusted: true}}
	return s
}

func newSimulation(t testing.TB, set Settings, sizes Limits, classes []rules.Class, declared ...string) *simulation {
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	return &simulation{t: t, controller: New(set, sizes, classes, declared, 7), now: rules.Second, slots: 4, requests: make([]*simulatedRequest, sizes.Requests),
		connections: make([]*simulatedConnection, sizes.ConnectionSlots), timerAt: math.MaxInt64, served: map[string]float64{}, waits: map[string][]rules.Time{},
		outcomes: map[string]int{}}
}

func (sim *simulation) handle(e Event) {
	inbox := []Event{e}
	for len(inbox) > 0 {
		e, inbox = inbox[0], inbox[1:]
		for _, f := range append([]Effect(nil), sim.controller.Handle(sim.now, e)...) {
			switch f.Kind {
			case Admit:
				request := sim.requests[f.Slot]
				if request.admitted {
					sim.t.Fatalf("%s is admitted twice", request.id)
				}
				if f.After < 0 {
					sim.t.Fatalf("%s was queued for %d us", request.id, f.After)
				}
				request.admitted = true
				sim.admitted = append(sim.admitted, request.id)
				sim.waits[request.tenant] = append(sim.waits[request.tenant], sim.now-request.arrivedAt)
				if sim.neverRuns == nil || !sim.neverRuns(request) {
					sim.waiting = append(sim.waiting, f.Slot)
				}
			case Reject:
				request := sim.requests[f.Slot]
				sim.finish(f.Slot)
				if sim.onRejected != nil {
					sim.onRejected(request, f.After, f.Reason)
				}
			case Evict:
				sim.evicted = append(sim.evicted, f.Conn)
				inbox = append(inbox, sim.disconnectEvents(f.Conn)...)
			case AbortInput:
				sim.aborted = append(sim.aborted, f.Conn)
				inbox = append(inbox, sim.disconnectEvents(f.Conn)...)
			case SetTimer:
				sim.timerAt = f.At
			}
		}
		for len(sim.waiting) > 0 && len(sim.running) < sim.slots {
			slot := sim.waiting[0]
			sim.waiting = sim.waiting[1:]
			sim.running = append(sim.running, run{slot, sim.now + sim.requests[slot].runTime})
			inbox = append(inbox, Event{Kind: RequestForwarded, Slot: slot})
		}
	}
	if got, most := sim.controller.StateBytes(), sim.controller.StateBound(); got > most {
		sim.t.Fatalf("state holds %d bytes, %d at most", got, most)
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

// disconnectEvents are the events of a connection that ends.
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
	sim.t.Fatal("no slot for a connection")
	return 0
}

func (sim *simulation) send(conn int, id, tenant string, took rules.Time, change func(*Request)) *simulatedRequest {
	slot := 0
	for sim.requests[slot] != nil {
		slot++
	}
	request := &simulatedRequest{id: id, tenant: tenant, connection: conn, arrivedAt: sim.now, runTime: took,
		request: Request{Tenant: tenant, Deadline: sim.now + 5*rules.Second, DeclaredWork: took, StatementBytes: 100}}
	if change != nil {
		change(&request.request)
	}
	sim.requests[slot], sim.connections[conn].request = request, slot
	sim.handle(Event{Kind: RequestArrived, Slot: slot, Conn: conn, Request: request.request})
	return request
}

// advance plays for a while.
func (sim *simulation) advance(by rules.Time) {
	until := sim.now + by
	for {
		next, which := min(until, sim.timerAt), -1
		for i, r := range sim.running {
			if r.end < next {
				next, which = r.end, i
			}
		}
		sim.now = max(sim.now, next)
		if which < 0 {
			if sim.timerAt <= sim.now {
				sim.timerAt = math.MaxInt64
				sim.handle(Event{Kind: TimerFired})
				continue
			}
			if next == until {
				return
			}
			continue
		}
		r := sim.running[which]
		sim.running = append(sim.running[:which], sim.running[which+1:]...)
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

// startClosedLoop opens so many connections and sends a request on each; repeatRequests makes them send the next as
// soon as it is served.
func (sim *simulation) startClosedLoop(from, tenant string, conns int, took rules.Time) {
	for i := range conns {
		c := sim.connect(from)
		sim.send(c, fmt.Sprintf("%s-%d-%d", tenant, c, i), tenant, took, nil)
	}
}

func (sim *simulation) repeatRequests() {
	n := 0
	sim.onServed = func(request *simulatedRequest) {
		n++
		sim.send(request.connection, fmt.Sprintf("%s+%d", request.id[:min(len(request.id), 12)], n), request.tenant, request.runTime, nil)
	}
}

// repeatOnly goes on with the requests of one tenant only.
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
	if controller.queued > 0 && len(sim.waiting) == 0 && len(sim.running) < sim.slots {
		rt.Fatalf("%d are queued while an engine is idle", controller.queued)
	}
	if controller.openRequests > controller.limits.Requests || controller.statementBytes > controller.limits.StatementBytes || controller.inputBytes > controller.limits.InputBytes || controller.openConnections >= controller.limits.ConnectionSlots {
		rt.Fatalf("over the bounds: %d requests, %d bytes, %d unfinished, %d connections", controller.openRequests, controller.statementBytes, controller.inputBytes, controller.openConnections)
	}
	at := map[string]int{}
	for i, id := range sim.admitted {
		at[id] = i + 1
	}
	for key, ids := range keys {
		last := 0
		for _, id := range ids {
			if n := at[id]; n > 0 {
				if n < last {
					rt.Fatalf("key %s: %s was admitted before an earlier one", key, id)
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
				rt.Fatal("queued for no tenant")
			}
		}
	}
	if queued != controller.queued || queued != len(controller.expiry) {
		rt.Fatalf("%d queued, %d counted, %d in the expiry heap", queued, controller.queued, len(controller.expiry))
	}
	for class := range controller.flows {
		for i, tn := range controller.flows[class].heap {
			if tn.flows[class].heapIndex != int32(i) || i > 0 && controller.flows[class].heap[(i-1)/2].virtualTime > tn.virtualTime {
				rt.Fatal("a heap is out of order")
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
