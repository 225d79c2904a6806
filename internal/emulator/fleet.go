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
	Share float64    // of all requests
	Work  rules.Time // mean, all threads together
	CV    float64    // deviation over mean of the work, which is lognormal
	Rough float64    // deviation of the logarithm of told over true work
	Told  float64    // told over true work, on the whole; 0: 1
}

// ClientModel is how clients behave.
type ClientModel struct {
	Tries   int        // for one request, the first included
	Backoff rules.Time // mean wait before a further try
	Honour  float64    // part of them that stay away for as long as they are told
	Skew    float64    // deviation of the logarithm of a gateway's part of the load
	Notice  rules.Time // from a gateway's end until clients go elsewhere
}

// WayModel is the network's delays, one way.
type WayModel struct {
	Same, Cross rules.Time
	Client      rules.Time
	ListLeast   rules.Time // news of the list reach a gateway after this
	ListMost    rules.Time // to this
}

// Scene is all that one run is given.
type Scene struct {
	Settings rules.Settings // Me and Zone are set for each gateway
	Gateways int
	Engines  int
	Zones    int
	Engine   EngineModel
	Classes  []ClassModel // as Settings.Classes
	Clients  ClientModel
	Ways     WayModel
	Load     float64 // work offered over what all engines do at the start, without loss
	Start    rules.Time
	Length   rules.Time
	Seed     uint64
	Faults   []Fault
	Spread   []int           // zones of engines and gateways, in turn; nil: evenly over Zones
	Sites    *zones.Settings // what gateways do when a zone is lost; nil: nothing of its own
	Talk     *HearsayModel   // how gateways talk; nil: they don't
	Believed float64         // times the budget of cold engines that gateways believe in; 0: 1
	Static   *float64        // instead: the part of each gateway's load that stays in its zone, whatever happens; a baseline
}

// home is the zone of the i-th engine or gateway.
func (s *Scene) home(i int) int {
	if len(s.Spread) > 0 {
		return s.Spread[i%len(s.Spread)]
	}
	return i % max(1, s.Zones)
}

// Fleet is one run.
type Fleet struct {
	Books Books

	scene    Scene
	rng      *rand.Rand
	now      rules.Time
	agenda   agenda
	gateways []*gateway
	engines  []*engine // all that ever were
	nextID   rules.EngineID
	nextReq  int
	cuts     map[[2]int]bool // ways from zone to zone on which nothing comes through
	listDark bool            // gateways hear nothing of the list
	late     float64         // times that news of the list take
	rate     float64         // requests a microsecond, all gateways together
	weights  []float64
}

// gateway is one of the gateways, over all of its lives.
type gateway struct {
	f        *Fleet
	index    int
	zone     int
	life     int // counts starts
	up       bool
	module   *rules.Module
	inbox    []rules.Event
	telling  bool
	requests map[rules.RequestID]*request
	order    []*request                    // in the order of arrival, some of them over
	links    map[rules.EngineID]rules.Time // when a connection was last used
	zones    *zones.Controller
	letIn    letIn
	copies   *replica.Store
	hearsay  *gossip.Observations
	seen     map[rules.EngineID]*seen
	listed   map[rules.EngineID]bool // serve, by the list as the gateway has it
	stopping bool
}

type request struct {
	ask      *ask
	id       rules.RequestID
	gateway  *gateway
	life     int
	class    *rules.Class
	work     float64
	priority int
	at       rules.Time
	due      rules.Time
	attempts []*attempt
	over     bool
}

// ask is what a client wants, over all of its tries.
type ask struct {
	class int
	at    rules.Time
	due   rules.Time
	work  float64
	told  float64
	set   int
	tries int
	done  bool
}

type attempt struct {
	request *request
	index   int
	engine  *engine
	at      rules.Time
	job     *job
	done    bool // the gateway has its outcome
	ended   bool // the engine has answered
}

// New returns a run that has not begun.
func New(s Scene) *Fleet {
	f := &Fleet{scene: s, rng: rand.New(rand.NewPCG(s.Seed, 0x5bd1e995)), now: s.Start, late: 1, cuts: map[[2]int]bool{}}
	f.Books.start, f.Books.zones = s.Start, max(1, s.Zones)
	f.Books.classes = make([]ClassBooks, len(s.Classes))
	for range s.Engines {
		f.addEngine(0)
	}
	work, total := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work)
		total += c.Share
	}
	f.rate = s.Load * s.Engine.Cores * float64(s.Engines) / (work / total)
	for i := range s.Gateways {
		g := &gateway{f: f, index: i, zone: s.home(i)}
		f.gateways = append(f.gateways, g)
		f.weights = append(f.weights, math.Exp(f.rng.NormFloat64()*s.Clients.Skew))
		g.begin()
	}
	f.after(f.gap(), f.arrive)
	f.after(capacityEvery, f.couldDo)
	for _, x := range s.Faults {
		f.agenda.add(s.Start+x.At, func() { x.Do(f) })
	}
	return f
}

// Run plays the whole scene.
func (f *Fleet) Run() *Books {
	until := f.scene.Start + f.scene.Length
	for {
		next, ok := f.agenda.next(until)
		if !ok {
			break
		}
		f.now = next.at
		next.do()
	}
	f.now = until
	for _, e := range f.engines {
		f.Books.ColdWorst = max(f.Books.ColdWorst, e.worst)
	}
	return &f.Books
}

func (f *Fleet) after(d rules.Time, do func()) { f.agenda.add(f.now+d, do) }

const capacityEvery = 100 * rules.Millisecond

// couldDo books what each zone's engines could do.
func (f *Fleet) couldDo() {
	s := f.Books.at(f.now)
	for _, e := range f.engines {
		if !e.gone && !e.fallen && !e.silent && e.state == rules.EngineServing {
			s.Could[e.zone] += f.scene.Engine.Cores * e.warmth() / e.slow * float64(capacityEvery) / float64(rules.Second)
		}
	}
	f.after(capacityEvery, f.couldDo)
}

// ---- engines and their list

func (f *Fleet) addEngine(started rules.Time) *engine {
	f.nextID++
	e := &engine{f: f, id: f.nextID * 2654435761, zone: f.scene.home(len(f.engines)), started: started,
		slow: 1, at: f.now}
	f.engines = append(f.engines, e)
	return e
}

func (e *engine) entry() rules.Engine {
	return rules.Engine{ID: e.id, Zone: e.zone, StartedAt: e.started, State: e.state, Scale: 1}
}

// listed is the list as it is now.
func (f *Fleet) listed() (list []rules.Engine) {
	for _, e := range f.engines {
		if e.state != rules.EngineGone {
			list = append(list, e.entry())
		}
	}
	return list
}

// news tells all gateways what has changed, each at a time of its own.
func (f *Fleet) news(changed ...*engine) {
	list := make([]rules.Engine, 0, len(changed))
	for _, e := range changed {
		list = append(list, e.entry())
	}
	w := f.scene.Ways
	for _, g := range f.gateways {
		wait := w.ListLeast + rules.Time(f.rng.Float64()*float64(w.ListMost-w.ListLeast))
		life := g.life
		f.after(rules.Time(f.late*float64(wait)), func() {
			if g.up && g.life == life && !f.listDark {
				g.hear(rules.UpdateDelta, list)
			}
		})
	}
}

// ---- clients

func (f *Fleet) gap() rules.Time { return max(1, rules.Time(f.rng.ExpFloat64()/f.rate)) }

// arrive has a client ask for the first time.
func (f *Fleet) arrive() {
	f.after(f.gap(), f.arrive)
	total := 0.0
	for _, c := range f.scene.Classes {
		total += c.Share
	}
	x, class := f.rng.Float64()*total, 0
	for i, c := range f.scene.Classes {
		if class = i; x < c.Share {
			break
		}
		x -= c.Share
	}
	m, c := f.scene.Classes[class], f.scene.Settings.Classes[class]
	sigma := math.Sqrt(math.Log(1 + m.CV*m.CV))
	work := float64(m.Work) * math.Exp(f.rng.NormFloat64()*sigma-sigma*sigma/2)
	a := &ask{class: class, at: f.now, due: f.now + c.ClientTimeout, work: work,
		told: work * math.Exp(f.rng.NormFloat64()*m.Rough), set: f.rng.IntN(40)}
	if m.Told > 0 {
		a.told *= m.Told
	}
	f.Books.offer(a, c)
	f.try(a)
}

// front is the gateway that a client comes to.
func (f *Fleet) front() *gateway {
	total := 0.0
	for i, g := range f.gateways {
		if g.up && !g.stopping {
			total += f.weights[i]
		}
	}
	x := f.rng.Float64() * total
	for i, g := range f.gateways {
		if !g.up || g.stopping {
			continue
		}
		if x < f.weights[i] {
			return g
		}
		x -= f.weights[i]
	}
	return nil
}

func (f *Fleet) try(a *ask) {
	g := f.front()
	if g == nil {
		f.again(a, 0)
		return
	}
	a.tries++
	f.after(f.scene.Ways.Client, func() { g.take(a) })
}

// again has a client come back, if it does.
func (f *Fleet) again(a *ask, stay rules.Time) {
	c := f.scene.Clients
	if a.done || a.tries >= c.Tries {
		return
	}
	wait := rules.Time(f.rng.ExpFloat64() * float64(c.Backoff))
	if stay > 0 && f.rng.Float64() < c.Honour {
		wait = stay
	}
	if f.now+wait < a.due {
		f.after(wait, func() { f.try(a) })
	}
}

// ---- gateways

// begin starts a gateway that knows nothing but the list.
func (g *gateway) begin() {
	s := g.f.scene.Settings
	s.GatewayIndex, s.Zone, s.Gateways = g.index, g.zone, g.f.scene.Gateways
	g.life++
	g.up, g.stopping = true, false
	if by := g.f.scene.Believed; by > 0 {
		s.Constraints.OverloadFactor *= by
	}
	g.module = rules.New(s, g.f.rng.Uint64())
	g.requests, g.links, g.order = map[rules.RequestID]*request{}, map[rules.EngineID]rules.Time{}, nil
	g.inbox, g.telling = nil, false
	g.seen, g.listed = map[rules.EngineID]*seen{}, map[rules.EngineID]bool{}
	g.beginSites()
	g.beginTalk()
	g.hear(rules.UpdateCached, g.f.listed())
}

// hear takes news of the list.
func (g *gateway) hear(mode rules.UpdateMode, list []rules.Engine) {
	for _, e := range list {
		g.listed[e.ID] = e.State == rules.EngineServing
	}
	g.tell(rules.FleetUpdate{Mode: mode, Engines: list})
}

// die ends a gateway at once: engines give up what it has with them, and its clients come elsewhere.
func (g *gateway) die() {
	g.up = false
	g.life++
	g.endTalk()
	for _, r := range g.order {
		if r.over {
			continue
		}
		r.over = true
		for _, a := range r.attempts {
			if a.job != nil {
				a.engine.quit(a.job)
			}
		}
		a := r.ask
		g.f.after(g.f.scene.Clients.Notice, func() { g.f.again(a, 0) })
	}
	g.order = nil
}

func (g *gateway) take(a *ask) {
	f := g.f
	if !g.up {
		f.after(f.scene.Clients.Notice, func() { f.again(a, 0) })
		return
	}
	f.nextReq++
	r := &request{ask: a, id: rules.RequestID(fmt.Sprintf("%016x", f.nextReq)), gateway: g, life: g.life,
		class: &f.scene.Settings.Classes[a.class], work: a.work, at: f.now, due: a.due - f.scene.Ways.Client}
	g.requests[r.id] = r
	g.order = append(g.order, r)
	if len(g.order) > 64 && g.order[0].over {
		g.compact()
	}
	f.Books.first(f.now, r.class.PriorityWeight, a, tried)
	if !g.admits(r, a) {
		return
	}
	g.tell(rules.Arrival{Request: rules.Request{ID: r.id, Class: a.class, Deadline: r.due, EstimatedWork: rules.Time(a.told),
		HasEstimate: true, DataSet: a.set, IsRetry: a.tries > 1}})
	f.after(r.due+f.scene.Settings.Constraints.DeadlineSlack+1-f.now, func() {
		if !r.over && g.up && g.life == r.life {
			f.Books.Unanswered++
		}
	})
}

func (g *gateway) compact() {
	kept := g.order[:0]
	for _, r := range g.order {
		if !r.over {
			kept = append(kept, r)
		}
	}
	clear(g.order[len(kept):])
	g.order = kept
}

// tell hands an event to the module and carries out what it asks for.
func (g *gateway) tell(e rules.Event) {
	g.inbox = append(g.inbox, e)
	if g.telling {
		return
	}
	g.telling = true
	for i := 0; i < len(g.inbox); i++ {
		for _, a := range g.module.Handle(g.f.now, g.inbox[i]) {
			g.act(a)
		}
	}
	g.inbox, g.telling = g.inbox[:0], false
}

func (g *gateway) act(action rules.Action) {
	f := g.f
	switch a := action.(type) {
	case rules.Send:
		g.send(g.requests[a.ID], a.Engine)
	case rules.SetAttemptOptions:
		if r := g.requests[a.ID]; r != nil {
			r.priority = a.Priority
		}
	case rules.Cancel:
		if r := g.requests[a.ID]; r != nil {
			g.cancel(r.attempts[a.Attempt])
		}
	case rules.Reject:
		if r := g.requests[a.ID]; r != nil && !r.over {
			after := a.RetryAfter
			if g.zones != nil && !g.stopping {
				after = max(after, min(g.zones.RetryAfter(f.now), f.scene.Settings.Limits.MaxRetryAfter))
			}
			g.refuse(r, after)
		}
	case rules.Fail:
		if r := g.requests[a.ID]; r != nil && !r.over {
			f.Books.Failed++
			g.end(r)
			if r.class.Idempotency == rules.Idempotent {
				f.after(f.scene.Ways.Client, func() { f.again(r.ask, 0) })
			}
		}
	case rules.SetTimer:
		life := g.life
		f.agenda.add(max(a.At, f.now+1), func() {
			if g.up && g.life == life {
				g.tell(rules.TimerFired{Token: a.Token})
			}
		})
	}
}

func (g *gateway) refuse(r *request, after rules.Time) {
	f := g.f
	f.Books.Refused++
	f.Books.first(r.at, r.class.PriorityWeight, r.ask, refused)
	g.end(r)
	f.after(f.scene.Ways.Client, func() { f.again(r.ask, min(after, f.scene.Settings.Limits.MaxRetryAfter)) })
}

func (g *gateway) end(r *request) {
	r.over = true
	for _, a := range r.attempts {
		if !a.done {
			return
		}
	}
	delete(g.requests, r.id)
}

func (f *Fleet) way(g *gateway, e *engine) rules.Time {
	if g.zone == e.zone {
		return f.scene.Ways.Same
	}
	return f.scene.Ways.Cross
}

// cut answers whether nothing comes through from zone to zone.
func (f *Fleet) cut(from, to int) bool { return f.cuts[[2]int{from, to}] }

func (f *Fleet) engine(id rules.EngineID) *engine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

func (g *gateway) send(r *request, id rules.EngineID) {
	f := g.f
	a := &attempt{request: r, index: len(r.attempts), engine: f.engine(id), at: f.now}
	r.attempts = append(r.attempts, a)
	f.Books.sent(g, a)
	g.of(id).asked = f.now
	at, open := g.links[id]
	dials := !open || f.now-at > linkIdle
	if dials {
		f.Books.Dials++
	}
	g.links[id] = f.now
	switch {
	case dials && (a.engine.silent || f.cut(g.zone, a.engine.zone) || f.cut(a.engine.zone, g.zone)):
		delete(g.links, id)
		f.after(f.scene.Settings.Limits.ConnectTimeout, func() {
			if g.up && g.life == r.life {
				g.conclude(a, rules.StatusConnectFailed)
			}
		})
	default:
		f.after(f.way(g, a.engine), func() {
			if !a.done && !f.cut(g.zone, a.engine.zone) {
				a.engine.take(a)
			}
		})
	}
	f.after(r.due-f.now, func() {
		if !a.done && g.up && g.life == r.life {
			g.conclude(a, rules.StatusTimeout)
		}
	})
}

const linkIdle = 13 * rules.Second

// answer has an engine's answer reach its gateway.
func (f *Fleet) answer(a *attempt, v rules.Status) {
	a.ended = true
	g, life := a.request.gateway, a.request.life
	if a.engine.silent || f.cut(a.engine.zone, g.zone) {
		return
	}
	f.after(f.way(g, a.engine), func() {
		if g.up && g.life == life {
			g.conclude(a, v)
		}
	})
}

func (g *gateway) cancel(a *attempt) {
	if a.done {
		return
	}
	if j := a.job; j != nil {
		g.f.after(g.f.way(g, a.engine), func() { a.engine.quit(j) })
	}
	g.conclude(a, rules.StatusCancelled)
}

// conclude tells the module how an attempt ended; the first good answer is the client's.
func (g *gateway) conclude(a *attempt, v rules.Status) {
	if a.done {
		return
	}
	a.done = true
	f, r := g.f, a.request
	if v != rules.StatusOK && v != rules.StatusSuperseded {
		g.of(a.engine.id).fault = f.now
	}
	if a.ended {
		g.of(a.engine.id).heard = f.now
	}
	if v == rules.StatusTimeout && a.job != nil {
		a.engine.quit(a.job)
	}
	if v == rules.StatusOK && !r.over {
		f.Books.served(r)
		r.over = true
	} else if !a.ended || v != rules.StatusOK {
		f.Books.Lost[v]++
	}
	o := rules.Outcome{ID: r.id, Attempt: a.index, Engine: a.engine.id, Status: v, Latency: f.now - a.at, Closed: r.over}
	if v == rules.StatusOK && f.scene.Settings.ReportsCost {
		o.MeasuredWork = rules.Time(r.work)
	}
	if r.over {
		g.end(r)
	}
	g.tell(o)
}
