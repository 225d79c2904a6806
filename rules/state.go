package rules

import (
	"cmp"
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds what the module remembers. It decides nothing.

// Module decides for one gateway.
type Module struct {
	s        Settings
	rng      *rand.Rand
	now      Time
	born     Time
	begun    bool
	sweepOn  bool
	out      []Action
	engines  []*engine // in the order they were first listed
	byID     map[EngineID]*engine
	open     map[RequestID]*request
	classes  []*class
	sets     map[int]*dataSet
	lanes    map[string]*lane
	held     int
	able     []*engine // scratch: the engines that may take a request
	all      load      // what runs of ours on all engines
	high     load      // and of that what has a high priority there
	size     Kind      // all engines that serve, as one
	usual    window    // work of a request
	patience Time      // of clients, at most
	lastDue  Time      // no request is worked on beyond it
	widest   float64   // threads of the widest class
	share    float64   // what we take of the fleet, in even parts; learned
	taken    []Time    // arrivals within the ration's window
	extras   []Time    // further attempts within it

	plan    ZonePlan  // nil: none
	inOrder []*engine // scratch: engines of a zone
}

func newModule(s Settings, rng *rand.Rand) *Module {
	s.Siblings = max(s.Siblings, 1) // this gateway is one of them
	return &Module{s: s, rng: rng, widest: 1, byID: map[EngineID]*engine{}, open: map[RequestID]*request{},
		lanes: map[string]*lane{}, sets: map[int]*dataSet{}}
}

type engine struct {
	Engine
	load                    // of ours
	high   load             // and of that what has a high priority there
	told   load             // the part of it that peers hear of
	others others           // what peers tell of theirs
	drags  [2]drag          // learned, of what has a low and a high priority there
	bad    float64          // learned share of failures
	pause                   // from all but a trickle
	turned map[*class]pause // from classes that it turned away

	elsewhere float64     // what others say that they have sent it within the tip window, while it is cold
	loads     map[int]int // ours that run there, by data set
	sent      []sending   // while it is cold: what we sent within the tip window
}

// load is what runs of ours.
type load struct {
	out     int     // attempts without an outcome
	threads float64 // theirs
	memory  float64 // granted to them
	work    float64 // engine time predicted for them
}

func (l *load) put(a *attempt) {
	l.out++
	l.threads += a.threads
	l.memory += a.memory
	l.work += a.work
}

func (l *load) take(a *attempt) {
	l.out--
	l.threads -= a.threads
	l.memory -= a.memory
	l.work -= a.work
	if l.out == 0 { // no rounding error stays behind
		*l = load{}
	}
}

// drag is the logarithm of run time over that of running alone.
type drag struct {
	log   float64
	heard Time // when it last learned
}

// pause is a rest from an engine.
type pause struct{ rest, till Time }

type sending struct {
	at   Time
	work float64
}

type class struct {
	Class
	queues []*queue // by tenant
	ratio  window   // true over told work
	need   scatter  // needed over told memory
	miss   scatter  // logarithm of true over predicted work
	usual  window   // work of a request
}

type attempt struct {
	engine   *engine
	zone     int
	cell     int
	at       Time
	threads  float64
	memory   float64
	work     float64
	expected float64
	high     bool // it has a high priority there
	done     bool
	told     bool    // peers heard of it
	slow     float64 // the time of it that has counted as too slow
	cut      bool    // we cancelled it as overdue
	verdict  Verdict
}

type request struct {
	Request
	class    *class
	queue    *queue
	arrived  Time
	attempts []attempt
	running  int
	over     bool
	stream   bool
	late     bool
	key      float64 // place in the queue
	queued   float64 // predicted work while held
	slot     int     // index in the queue's heap; -1: not held
	lane     *lane
	terms    SetTerms
	cut      bool // an attempt was cancelled as overdue
}

// lane is the line of requests of one key: the first has its turn, the rest wait for it to be over.
type lane struct {
	key  string
	line []*request
	rest Time // nothing is sent for the next one before
}

// queue holds the requests of one class and tenant that wait, as a heap (see Less).
type queue struct {
	held  []*request
	total float64 // predicted work of all
	clock float64 // key of the last drawn
}

// begin books an attempt on its engine, and with all that is out.
func (m *Module) begin(r *request, a attempt) {
	r.attempts = append(r.attempts, a)
	r.running++
	e := a.engine
	e.put(&a)
	m.all.put(&a)
	if a.high {
		e.high.put(&a)
		m.high.put(&a)
	}
	if a.told {
		e.told.put(&a)
	}
	if r.class.IsLoad {
		e.loads[r.DataSet]++
	}
}

// conclude takes an attempt off its engine.
func (m *Module) conclude(r *request, a *attempt, v Verdict) {
	a.done, a.verdict = true, v
	r.running--
	e := a.engine
	e.take(a)
	m.all.take(a)
	if a.high {
		e.high.take(a)
		m.high.take(a)
	}
	if a.told {
		e.told.take(a)
	}
	if r.class.IsLoad {
		if e.loads[r.DataSet]--; e.loads[r.DataSet] <= 0 {
			delete(e.loads, r.DataSet)
		}
	}
}

func (m *Module) queueUp(r *request) {
	l := m.lanes[r.OrderKey]
	if l == nil {
		l = &lane{key: r.OrderKey}
		m.lanes[r.OrderKey] = l
	}
	r.lane = l
	l.line = append(l.line, r)
	m.turn(l)
}

func (m *Module) leaveLane(r *request) {
	l := r.lane
	l.remove(r)
	if len(l.line) == 0 && m.now < l.rest {
		m.do(SetTimer{At: l.rest, Token: "lane " + l.key})
	}
	m.turn(l)
}

func (l *lane) remove(r *request) {
	for i, o := range l.line {
		if o == r {
			l.line = append(l.line[:i], l.line[i+1:]...)
			return
		}
	}
}

func (m *Module) kind(e *engine) Kind {
	if e.Kind < len(m.s.Kinds) {
		return m.s.Kinds[e.Kind]
	}
	return Kind{}
}

func newEngine() *engine {
	return &engine{loads: map[int]int{}, turned: map[*class]pause{}}
}

// remember sets the span that all learned figures of a class look back.
func (c *class) remember(span Time) {
	for _, w := range []*window{&c.ratio, &c.usual, &c.need.mean, &c.need.square, &c.miss.mean, &c.miss.square} {
		w.span = span
	}
}

// sentSince sums up the work sent to a cold engine since then, and forgets what is older.
func (e *engine) sentSince(from Time) (sum float64) {
	for len(e.sent) > 0 && e.sent[0].at < from {
		e.sent = e.sent[1:]
	}
	for _, s := range e.sent {
		sum += s.work
	}
	return sum
}

func (m *Module) do(a Action) { m.out = append(m.out, a) }

func (m *Module) subscribe() {
	if m.s.AskMembership {
		m.do(Subscribe{On: true})
	}
}

// band is which of an engine's drags a request feels: 1 is that of short queries which overtake there. Where a class
// of high priority is much of the work it competes with all, and with itself.
func (m *Module) band(r *request) int {
	if m.s.TakesPriority && m.priority(r) > 1 && r.class.usual.sum <= shortPart*m.usual.sum {
		return 1
	}
	return 0
}

// slowness is how many times longer a request runs on an engine than alone. Of a cold one of which
// nothing was heard it is what its warmth leaves.
func (m *Module) slowness(r *request, e *engine) float64 {
	if d := e.drags[m.band(r)]; d.heard != 0 || !m.cold(e) {
		return math.Exp(d.log)
	}
	return 1 / m.warmth(e)
}

// warmth is the part of its speed that an engine has, along a straight warm-up.
func (m *Module) warmth(e *engine) float64 {
	if d := m.s.Duties; m.cold(e) {
		return max(d.ColdFrom+(1-d.ColdFrom)*max(float64(m.now-e.StartedAt), 0)/float64(d.ColdFor), leastWarm)
	}
	return 1
}

// leastWarm keeps divisions by the warmth finite where the settings name no speed to begin with.
const leastWarm = 1e-3

// capacity sums up the engines that serve, the cold ones by what they can do now.
func (m *Module) capacity() (all Kind) {
	for _, e := range m.engines {
		if e.State == EngineServing {
			all.Cores += m.kind(e).Cores * m.warmth(e)
			all.MemoryMB += m.kind(e).MemoryMB
		}
	}
	return all
}

// others sums up what peers run on an engine, as each of them told last.
type others struct {
	threads, work float64
	last          map[int]heard
	line          []heard // in the order heard
}

type heard struct {
	from int
	at   Time
	note
}

func (o *others) set(from int, at Time, n note) {
	if o.last == nil {
		o.last = map[int]heard{}
	}
	h := heard{from, at, n}
	o.add(n, 1)
	o.add(o.last[from].note, -1)
	o.last[from] = h
	o.line = append(o.line, h)
}

func (o *others) add(n note, sign float64) {
	o.threads += sign * n.threads
	o.work += sign * n.work
}

// forget drops what was told before then and never renewed.
func (o *others) forget(before Time) {
	for len(o.line) > 0 && o.line[0].at < before {
		if h := o.line[0]; o.last[h.from].at == h.at {
			o.add(o.last[h.from].note, -1)
			delete(o.last, h.from)
		}
		o.line = o.line[1:]
	}
}

// heard takes what a peer runs on an engine.
func (m *Module) heard(p PeerMessage) {
	if n, ok := decodeNote(p.Payload); ok && m.byID[n.engine] != nil {
		m.byID[n.engine].others.set(p.From, m.now, n)
	}
}

// triedOn answers whether the request had an attempt on an engine.
func (r *request) triedOn(e *engine) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.engine == e })
}

// count is how many engines are so to a class.
func (m *Module) count(c *class, is func(*class, *engine) bool) (n int) {
	for _, e := range m.engines {
		if is(c, e) {
			n++
		}
	}
	return n
}

// inZone lists the engines of a zone. It is valid until the next such call.
func (m *Module) inZone(zone int) []*engine {
	m.inOrder = m.inOrder[:0]
	for _, e := range m.engines {
		if e.Zone == zone {
			m.inOrder = append(m.inOrder, e)
		}
	}
	return m.inOrder
}

// near are the homes of a data set in one zone. It is valid until the next such call.
func (m *Module) near(r *request, zone int) []*engine {
	m.inOrder = m.inOrder[:0]
	for _, e := range m.set(r.DataSet).order {
		if e.Zone == zone && e.State == EngineServing && len(m.inOrder) < homesLeast {
			m.inOrder = append(m.inOrder, e)
		}
	}
	return m.inOrder
}

// triedIn are the zones that had an attempt of the request.
func (r *request) triedIn() (zones []int) {
	for i := range r.attempts {
		zones = append(zones, r.attempts[i].zone)
	}
	return zones
}

// lesson is an event that tells something to remember.
type lesson interface{ tell(m *Module) }

func (e Planned) tell(m *Module) { m.plan = e.Zones }

func (e SpentElsewhere) tell(m *Module) {
	if known := m.byID[e.Engine]; known != nil {
		known.elsewhere = e.Work
	}
}

// tell gives what others have learned of a class the weight of a few samples, ahead of our own.
func (e Taught) tell(m *Module) {
	if e.Class < 0 || e.Class >= len(m.classes) || !(e.Ratio > 0) || !(e.Usual > 0) {
		return
	}
	const weight = 4
	c := m.classes[e.Class]
	if told := weight * e.Usual / e.Ratio; c.ratio.weight < told { // it weighs by told work
		c.ratio.sum, c.ratio.weight = c.ratio.sum+told*e.Ratio, c.ratio.weight+told
	}
	if c.usual.weight < weight {
		c.usual.sum, c.usual.weight = c.usual.sum+weight*e.Usual, c.usual.weight+weight
	}
}

// Learned tells what is known of each class.
func (m *Module) Learned() []Learned {
	out := make([]Learned, len(m.classes))
	for i, c := range m.classes {
		out[i] = Learned{Ratio: c.ratio.mean(1), Usual: c.usual.mean(0), Weight: c.usual.weight}
	}
	return out
}

// Cold tells what we have sent to each cold engine within the tip window.
func (m *Module) Cold() (out []ColdSent) {
	for _, e := range m.engines {
		if m.cold(e) && e.State == EngineServing {
			out = append(out, ColdSent{e.ID, e.sentSince(m.now - m.s.Duties.TipAfter - m.s.Tick)})
		}
	}
	return out
}

// Standing tells what is held of our own load.
func (m *Module) Standing() Standing {
	s := Standing{Share: max(m.share, 1), Work: make([]float64, len(m.classes))}
	for i, c := range m.classes {
		s.Work[i] = c.usual.mean(0)
		for _, q := range c.queues {
			for _, r := range q.held {
				if !r.late {
					s.Held += r.queued
				}
			}
		}
	}
	return s
}

// tells is what peers hear of an engine: what runs of ours there, of that which they are told.
func (e *engine) tells() []byte { return note{e.ID, e.told.threads, e.told.work}.encode() }

// Beliefs tells what is held of each engine, in the order they were first listed.
func (m *Module) Beliefs() []Belief {
	out := make([]Belief, 0, len(m.engines))
	late := map[*engine]int{}
	for _, r := range m.open {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.done && a.slow > 0 {
				late[a.engine]++
			}
		}
	}
	for _, e := range m.engines {
		out = append(out, Belief{Engine: e.ID, Out: e.out, LeftOut: m.sick(e), Slow: math.Exp(max(e.drags[0].log, e.drags[1].log)),
			Warm: m.warmth(e), Late: late[e]})
	}
	return out
}

// opened notes that the answer of a request has begun.
func (m *Module) opened(id RequestID) {
	if r := m.open[id]; r != nil {
		r.stream = true
	}
}

// left closes the request of a client that has gone.
func (m *Module) left(id RequestID) {
	if r := m.open[id]; r != nil && !r.over {
		m.end(r)
	}
}

// runTime is how long the work takes on an engine of the given slowdown.
func (r *request) runTime(work, slow float64) Time {
	return Time(work / float64(max(1, r.class.Threads)) * slow)
}

// heldWork sums up the predicted work of all that is held.
func (m *Module) heldWork() (sum float64) {
	for _, c := range m.classes {
		for _, q := range c.queues {
			sum += q.total
		}
	}
	return sum
}

func (m *Module) unhold(r *request) {
	if r.slot < 0 {
		return
	}
	heap.Remove(r.queue, r.slot)
	r.queue.total -= r.queued
	m.held--
}

// forget frees a request that is over and has no attempt out.
func (m *Module) forget(r *request) {
	if !r.over || r.running > 0 {
		return
	}
	delete(m.open, r.ID)
	if r.lane != nil {
		m.leaveLane(r)
	}
}

// evenSeconds tells for how many seconds thread time fills an even part of the fleet.
func (m *Module) evenSeconds(threadTime float64) float64 {
	return threadTime * float64(m.s.Siblings) / (m.size.Cores*float64(Second) + 1)
}

// forgetEngines frees what has left the list and runs nothing of ours. A cold engine is kept: should
// the list name it again, what we sent it before still counts.
func (m *Module) forgetEngines() {
	kept := m.engines[:0]
	for _, e := range m.engines {
		if e.State == EngineGone && e.out == 0 && !m.cold(e) {
			delete(m.byID, e.ID)
			continue
		}
		kept = append(kept, e)
	}
	m.engines = kept
	for id, set := range m.sets {
		if set.order = nil; m.now > set.seen.at+set.seen.span {
			delete(m.sets, id)
		}
	}
	m.size = m.capacity()
}

func (m *Module) cold(e *engine) bool {
	return e.StartedAt != 0 && m.now < e.StartedAt+m.s.Duties.ColdFor
}

func (r *request) mayHaveRun() bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done || !a.verdict.NeverRan() {
			return true
		}
	}
	return false
}

func (m *Module) wake(r *request, at Time) {
	if at > m.now && at < r.Due {
		m.do(SetTimer{At: at, Token: "request " + string(r.ID)})
	}
}

// dataSet is what is remembered of a data set.
type dataSet struct {
	seen  window    // requests for it
	order []*engine // in the order of a hash that all gateways share
}

func (m *Module) set(id int) *dataSet {
	s := m.sets[id]
	if s == nil {
		s = &dataSet{seen: window{span: m.usual.span}}
		m.sets[id] = s
	}
	if s.order == nil {
		s.order = slices.Clone(m.engines)
		slices.SortFunc(s.order, func(a, b *engine) int {
			return cmp.Compare(scramble(id, a.ID), scramble(id, b.ID))
		})
	}
	return s
}
