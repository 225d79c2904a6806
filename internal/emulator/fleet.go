// Package emu plays a whole fleet in virtual time: the decision modules of many gateways, unchanged,
// against modelled clients, engines, ways and a list of engines. It owns the models and the books of
// what came of them. It must never look at a clock, draw from anything but its seed, or let a module
// see more than a gateway would.
package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"

	"foxlane/internal/gossip"
	"foxlane/internal/replica"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// ClassModel is what clients ask of one class.
type ClassModel struct {
	Share         float64    // of all requests
	Work          rules.Time // mean, all threads together
	CV            float64    // deviation over mean of the work, which is lognormal
	DeclaredNoise float64    // deviation of the logarithm of told over true work
	DeclaredRatio float64    // told over true work, on the whole; 0: 1
}

// ClientModel is how clients behave.
type ClientModel struct {
	MaxTries        int        // for one request, the first included
	Backoff         rules.Time // mean wait before a further try
	HonorRetryAfter float64    // part of them that stay away for as long as they are told
	LoadSkew        float64    // deviation of the logarithm of a gateway's part of the load
	FailoverDelay   rules.Time // from a gateway's end until clients go elsewhere
}

// NetworkModel is the network's delays, one way.
type NetworkModel struct {
	SameZone, CrossZone rules.Time
	Client              rules.Time
	MinListDelay        rules.Time // news of the list reach a gateway after this
	MaxListDelay        rules.Time // to this
}

// Scenario is all that one run is given.
type Scenario struct {
	Settings         rules.Settings // Me and Zone are set for each gateway
	Gateways         int
	Engines          int
	Zones            int
	Engine           EngineModel
	Classes          []ClassModel // as Settings.Classes
	Clients          ClientModel
	Network          NetworkModel
	Load             float64 // work offered over what all engines do at the start, without loss
	Start            rules.Time
	Duration         rules.Time
	Seed             uint64
	Faults           []Fault
	Placement        []int           // zones of engines and gateways, in turn; nil: evenly over Zones
	ZoneFailover     *zones.Settings // what gateways do when a zone is lost; nil: nothing of its own
	Gossip           *GossipModel    // how gateways talk; nil: they don't
	ColdBudgetFactor float64         // times the budget of cold engines that gateways believe in; 0: 1
	StaticHomeShare  *float64        // instead: the part of each gateway's load that stays in its zone, whatever happens; a baseline
}

// zoneOf is the zone of the i-th engine or gateway.
func (s *Scenario) zoneOf(i int) int {
	if len(s.Placement) > 0 {
		return s.Placement[i%len(s.Placement)]
	}
	return i % max(1, s.Zones)
}

// Fleet is one run.
type Fleet struct {
	Metrics Metrics

	scenario        Scenario
	rng             *rand.Rand
	now             rules.Time
	queue           eventQueue
	gateways        []*gateway
	engines         []*engine // all that ever were
	nextID          rules.EngineID
	nextRequest     int
	cutLinks        map[[2]int]bool // ways from zone to zone on which nothing comes through
	listOutage      bool            // gateways hear nothing of the list
	listDelayFactor float64         // times that news of the list take
	requestRate     float64         // requests a microsecond, all gateways together
	gatewayWeights  []float64
}

// gateway is one of the gateways, over all of its lives.
type gateway struct {
	fleet        *Fleet
	index        int
	zone         int
	incarnation  int // counts starts
	up           bool
	module       *rules.Module
	pending      []rules.Event
	handling     bool
	requests     map[rules.RequestID]*request
	byArrival    []*request                    // in the order of arrival, some of them over
	lastUsed     map[rules.EngineID]rules.Time // when a connection was last used
	zones        *zones.Controller
	shedOrder    shedOrder
	replica      *replica.Store
	gossip       *gossip.Observations
	observations map[rules.EngineID]*observation
	serving      map[rules.EngineID]bool // serve, by the list as the gateway has it
	stopping     bool
}

type request struct {
	origin      *clientRequest
	id          rules.RequestID
	gateway     *gateway
	incarnation int
	class       *rules.Class
	work        float64
	priority    int
	arrivedAt   rules.Time
	deadline    rules.Time
	attempts    []*attempt
	finished    bool
}

// clientRequest is what a client wants, over all of its tries.
type clientRequest struct {
	class        int
	startedAt    rules.Time
	deadline     rules.Time
	work         float64
	declaredWork float64
	dataSet      int
	tries        int
	done         bool
}

type attempt struct {
	request  *request
	index    int
	engine   *engine
	sentAt   rules.Time
	job      *job
	done     bool // the gateway has its outcome
	answered bool // the engine has answered
}

// New returns a run that has not begun.
func New(s Scenario) *Fleet {
	f := &Fleet{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0x5bd1e995)), now: s.Start, listDelayFactor: 1, cutLinks: map[[2]int]bool{}}
	f.Metrics.start, f.Metrics.zones = s.Start, max(1, s.Zones)
	f.Metrics.classes = make([]ClassMetrics, len(s.Classes))
	for range s.Engines {
		f.addEngine(0)
	}
	work, total := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work)
		total += c.Share
	}
	f.requestRate = s.Load * s.Engine.Cores * float64(s.Engines) / (work / total)
	for i := range s.Gateways {
		g := &gateway{fleet: f, index: i, zone: s.zoneOf(i)}
		f.gateways = append(f.gateways, g)
		f.gatewayWeights = append(f.gatewayWeights, math.Exp(f.rng.NormFloat64()*s.Clients.LoadSkew))
		g.start()
	}
	f.after(f.interarrival(), f.newClientRequest)
	f.after(capacityInterval, f.recordCapacity)
	for _, x := range s.Faults {
		f.queue.schedule(s.Start+x.At, func() { x.Inject(f) })
	}
	return f
}

// Run plays the whole scene.
func (f *Fleet) Run() *Metrics {
	until := f.scenario.Start + f.scenario.Duration
	for {
		next, ok := f.queue.popUntil(until)
		if !ok {
			break
		}
		f.now = next.at
		next.run()
	}
	f.now = until
	for _, e := range f.engines {
		f.Metrics.PeakColdBudget = max(f.Metrics.PeakColdBudget, e.peakColdBudget)
	}
	return &f.Metrics
}

func (f *Fleet) after(d rules.Time, do func()) { f.queue.schedule(f.now+d, do) }

const capacityInterval = 100 * rules.Millisecond

// recordCapacity books what each zone's engines could do.
func (f *Fleet) recordCapacity() {
	s := f.Metrics.second(f.now)
	for _, e := range f.engines {
		if !e.stopped && !e.collapsed && !e.silent && e.state == rules.EngineServing {
			s.Capacity[e.zone] += f.scenario.Engine.Cores * e.warmUpSpeed() / e.slowdown * float64(capacityInterval) / float64(rules.Second)
		}
	}
	f.after(capacityInterval, f.recordCapacity)
}

// ---- engines and their list

func (f *Fleet) addEngine(started rules.Time) *engine {
	f.nextID++
	e := &engine{fleet: f, id: f.nextID * 2654435761, zone: f.scenario.zoneOf(len(f.engines)), startedAt: started,
		slowdown: 1, settledAt: f.now}
	f.engines = append(f.engines, e)
	return e
}

func (e *engine) listEntry() rules.Engine {
	return rules.Engine{ID: e.id, Zone: e.zone, StartedAt: e.startedAt, State: e.state, Scale: 1}
}

// listEntries is the list as it is now.
func (f *Fleet) listEntries() (list []rules.Engine) {
	for _, e := range f.engines {
		if e.state != rules.EngineGone {
			list = append(list, e.listEntry())
		}
	}
	return list
}

// announce tells all gateways what has changed, each at a time of its own.
func (f *Fleet) announce(changed ...*engine) {
	list := make([]rules.Engine, 0, len(changed))
	for _, e := range changed {
		list = append(list, e.listEntry())
	}
	w := f.scenario.Network
	for _, g := range f.gateways {
		wait := w.MinListDelay + rules.Time(f.rng.Float64()*float64(w.MaxListDelay-w.MinListDelay))
		life := g.incarnation
		f.after(rules.Time(f.listDelayFactor*float64(wait)), func() {
			if g.up && g.incarnation == life && !f.listOutage {
				g.applyList(rules.UpdateDelta, list)
			}
		})
	}
}

// ---- clients

func (f *Fleet) interarrival() rules.Time {
	return max(1, rules.Time(f.rng.ExpFloat64()/f.requestRate))
}

// newClientRequest has a client ask for the first time.
func (f *Fleet) newClientRequest() {
	f.after(f.interarrival(), f.newClientRequest)
	total := 0.0
	for _, c := range f.scenario.Classes {
		total += c.Share
	}
	x, class := f.rng.Float64()*total, 0
	for i, c := range f.scenario.Classes {
		if class = i; x < c.Share {
			break
		}
		x -= c.Share
	}
	m, c := f.scenario.Classes[class], f.scenario.Settings.Classes[class]
	sigma := math.Sqrt(math.Log(1 + m.CV*m.CV))
	work := float64(m.Work) * math.Exp(f.rng.NormFloat64()*sigma-sigma*sigma/2)
	a := &clientRequest{class: class, startedAt: f.now, deadline: f.now + c.ClientTimeout, work: work,
		declaredWork: work * math.Exp(f.rng.NormFloat64()*m.DeclaredNoise), dataSet: f.rng.IntN(40)}
	if m.DeclaredRatio > 0 {
		a.declaredWork *= m.DeclaredRatio
	}
	f.Metrics.recordRequest(a, c)
	f.send(a)
}

// pickGateway is the gateway that a client comes to.
func (f *Fleet) pickGateway() *gateway {
	total := 0.0
	for i, g := range f.gateways {
		if g.up && !g.stopping {
			total += f.gatewayWeights[i]
		}
	}
	x := f.rng.Float64() * total
	for i, g := range f.gateways {
		if !g.up || g.stopping {
			continue
		}
		if x < f.gatewayWeights[i] {
			return g
		}
		x -= f.gatewayWeights[i]
	}
	return nil
}

func (f *Fleet) send(a *clientRequest) {
	g := f.pickGateway()
	if g == nil {
		f.retry(a, 0)
		return
	}
	a.tries++
	f.after(f.scenario.Network.Client, func() { g.receive(a) })
}

// retry has a client come back, if it does.
func (f *Fleet) retry(a *clientRequest, stay rules.Time) {
	c := f.scenario.Clients
	if a.done || a.tries >= c.MaxTries {
		return
	}
	wait := rules.Time(f.rng.ExpFloat64() * float64(c.Backoff))
	if stay > 0 && f.rng.Float64() < c.HonorRetryAfter {
		wait = stay
	}
	if f.now+wait < a.deadline {
		f.after(wait, func() { f.send(a) })
	}
}

// ---- gateways

// start starts a gateway that knows nothing but the list.
func (g *gateway) start() {
	s := g.fleet.scenario.Settings
	s.GatewayIndex, s.Zone, s.Gateways = g.index, g.zone, g.fleet.scenario.Gateways
	g.incarnation++
	g.up, g.stopping = true, false
	if by := g.fleet.scenario.ColdBudgetFactor; by > 0 {
		s.Constraints.OverloadFactor *= by
	}
	g.module = rules.New(s, g.fleet.rng.Uint64())
	g.requests, g.lastUsed, g.byArrival = map[rules.RequestID]*request{}, map[rules.EngineID]rules.Time{}, nil
	g.pending, g.handling = nil, false
	g.observations, g.serving = map[rules.EngineID]*observation{}, map[rules.EngineID]bool{}
	g.startZones()
	g.startGossip()
	g.applyList(rules.UpdateCached, g.fleet.listEntries())
}

// applyList takes news of the list.
func (g *gateway) applyList(mode rules.UpdateMode, list []rules.Engine) {
	for _, e := range list {
		g.serving[e.ID] = e.State == rules.EngineServing
	}
	g.handle(rules.FleetUpdate{Mode: mode, Engines: list})
}

// crash ends a gateway at once: engines give up what it has with them, and its clients come elsewhere.
func (g *gateway) crash() {
	g.up = false
	g.incarnation++
	g.stopGossip()
	for _, r := range g.byArrival {
		if r.finished {
			continue
		}
		r.finished = true
		for _, a := range r.attempts {
			if a.job != nil {
				a.engine.cancel(a.job)
			}
		}
		a := r.origin
		g.fleet.after(g.fleet.scenario.Clients.FailoverDelay, func() { g.fleet.retry(a, 0) })
	}
	g.byArrival = nil
}

func (g *gateway) receive(a *clientRequest) {
	f := g.fleet
	if !g.up {
		f.after(f.scenario.Clients.FailoverDelay, func() { f.retry(a, 0) })
		return
	}
	f.nextRequest++
	r := &request{origin: a, id: rules.RequestID(fmt.Sprintf("%016x", f.nextRequest)), gateway: g, incarnation: g.incarnation,
		class: &f.scenario.Settings.Classes[a.class], work: a.work, arrivedAt: f.now, deadline: a.deadline - f.scenario.Network.Client}
	g.requests[r.id] = r
	g.byArrival = append(g.byArrival, r)
	if len(g.byArrival) > 64 && g.byArrival[0].finished {
		g.dropFinished()
	}
	f.Metrics.recordFirstTry(f.now, r.class.PriorityWeight, a, firstTries)
	if !g.admits(r, a) {
		return
	}
	g.handle(rules.Arrival{Request: rules.Request{ID: r.id, Class: a.class, Deadline: r.deadline, EstimatedWork: rules.Time(a.declaredWork),
		HasEstimate: true, DataSet: a.dataSet, IsRetry: a.tries > 1}})
	f.after(r.deadline+f.scenario.Settings.Constraints.DeadlineSlack+1-f.now, func() {
		if !r.finished && g.up && g.incarnation == r.incarnation {
			f.Metrics.Unanswered++
		}
	})
}

func (g *gateway) dropFinished() {
	kept := g.byArrival[:0]
	for _, r := range g.byArrival {
		if !r.finished {
			kept = append(kept, r)
		}
	}
	clear(g.byArrival[len(kept):])
	g.byArrival = kept
}

// handle hands an event to the module and carries out what it asks for.
func (g *gateway) handle(e rules.Event) {
	g.pending = append(g.pending, e)
	if g.handling {
		return
	}
	g.handling = true
	for i := 0; i < len(g.pending); i++ {
		for _, a := range g.module.Handle(g.fleet.now, g.pending[i]) {
			g.execute(a)
		}
	}
	g.pending, g.handling = g.pending[:0], false
}

func (g *gateway) execute(action rules.Action) {
	f := g.fleet
	switch a := action.(type) {
	case rules.Send:
		g.forward(g.requests[a.ID], a.Engine)
	case rules.SetAttemptOptions:
		if r := g.requests[a.ID]; r != nil {
			r.priority = a.Priority
		}
	case rules.Cancel:
		if r := g.requests[a.ID]; r != nil {
			g.cancel(r.attempts[a.Attempt])
		}
	case rules.Reject:
		if r := g.requests[a.ID]; r != nil && !r.finished {
			after := a.RetryAfter
			if g.zones != nil && !g.stopping {
				after = max(after, min(g.zones.RetryAfter(f.now), f.scenario.Settings.Limits.MaxRetryAfter))
			}
			g.reject(r, after)
		}
	case rules.Fail:
		if r := g.requests[a.ID]; r != nil && !r.finished {
			f.Metrics.Failed++
			g.finish(r)
			if r.class.Idempotency == rules.Idempotent {
				f.after(f.scenario.Network.Client, func() { f.retry(r.origin, 0) })
			}
		}
	case rules.SetTimer:
		life := g.incarnation
		f.queue.schedule(max(a.At, f.now+1), func() {
			if g.up && g.incarnation == life {
				g.handle(rules.TimerFired{Token: a.Token})
			}
		})
	}
}

func (g *gateway) reject(r *request, after rules.Time) {
	f := g.fleet
	f.Metrics.Rejected++
	f.Metrics.recordFirstTry(r.arrivedAt, r.class.PriorityWeight, r.origin, rejectedTries)
	g.finish(r)
	f.after(f.scenario.Network.Client, func() { f.retry(r.origin, min(after, f.scenario.Settings.Limits.MaxRetryAfter)) })
}

func (g *gateway) finish(r *request) {
	r.finished = true
	for _, a := range r.attempts {
		if !a.done {
			return
		}
	}
	delete(g.requests, r.id)
}

func (f *Fleet) delay(g *gateway, e *engine) rules.Time {
	if g.zone == e.zone {
		return f.scenario.Network.SameZone
	}
	return f.scenario.Network.CrossZone
}

// isCut answers whether nothing comes through from zone to zone.
func (f *Fleet) isCut(from, to int) bool { return f.cutLinks[[2]int{from, to}] }

func (f *Fleet) engineByID(id rules.EngineID) *engine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (g *gateway) forward(r *request, id rules.EngineID) {
	f := g.fleet
	a := &attempt{request: r, index: len(r.attempts), engine: f.engineByID(id), sentAt: f.now}
	r.attempts = append(r.attempts, a)
	f.Metrics.recordAttempt(g, a)
	g.observationOf(id).lastAttempt = f.now
	at, open := g.lastUsed[id]
	dials := !open || f.now-at > connectionIdleTimeout
	if dials {
		f.Metrics.Dials++
	}
	g.lastUsed[id] = f.now
	switch {
	case dials && (a.engine.silent || f.isCut(g.zone, a.engine.zone) || f.isCut(a.engine.zone, g.zone)):
		delete(g.lastUsed, id)
		f.after(f.scenario.Settings.Limits.ConnectTimeout, func() {
			if g.up && g.incarnation == r.incarnation {
				g.finishAttempt(a, rules.StatusConnectFailed)
			}
		})
	default:
		f.after(f.delay(g, a.engine), func() {
			if !a.done && !f.isCut(g.zone, a.engine.zone) {
				a.engine.receive(a)
			}
		})
	}
	f.after(r.deadline-f.now, func() {
		if !a.done && g.up && g.incarnation == r.incarnation {
			g.finishAttempt(a, rules.StatusTimeout)
		}
	})
}

const connectionIdleTimeout = 13 * rules.Second

// answerGateway has an engine's answer reach its gateway.
func (f *Fleet) answerGateway(a *attempt, v rules.Status) {
	a.answered = true
	g, life := a.request.gateway, a.request.incarnation
	if a.engine.silent || f.isCut(a.engine.zone, g.zone) {
		return
	}
	f.after(f.delay(g, a.engine), func() {
		if g.up && g.incarnation == life {
			g.finishAttempt(a, v)
		}
	})
}

func (g *gateway) cancel(a *attempt) {
	if a.done {
		return
	}
	if j := a.job; j != nil {
		g.fleet.after(g.fleet.delay(g, a.engine), func() { a.engine.cancel(j) })
	}
	g.finishAttempt(a, rules.StatusCancelled)
}

// finishAttempt tells the module how an attempt ended; the first good answer is the client's.
func (g *gateway) finishAttempt(a *attempt, v rules.Status) {
	if a.done {
		return
	}
	a.done = true
	f, r := g.fleet, a.request
	if v != rules.StatusOK && v != rules.StatusSuperseded {
		g.observationOf(a.engine.id).lastFault = f.now
	}
	if a.answered {
		g.observationOf(a.engine.id).lastAnswer = f.now
	}
	if v == rules.StatusTimeout && a.job != nil {
		a.engine.cancel(a.job)
	}
	if v == rules.StatusOK && !r.finished {
		f.Metrics.recordServed(r)
		r.finished = true
	} else if !a.answered || v != rules.StatusOK {
		f.Metrics.LostAttempts[v]++
	}
	o := rules.Outcome{ID: r.id, Attempt: a.index, Engine: a.engine.id, Status: v, Latency: f.now - a.sentAt, Closed: r.finished}
	if v == rules.StatusOK && f.scenario.Settings.ReportsCost {
		o.MeasuredWork = rules.Time(r.work)
	}
	if r.finished {
		g.finish(r)
	}
	g.handle(o)
}
