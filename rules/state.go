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
	settings       Settings
	rng            *rand.Rand
	now            Time
	startedAt      Time
	started        bool
	sweepPending   bool
	actions        []Action
	engines        []*engine // in the order they were first listed
	engineByID     map[EngineID]*engine
	requests       map[RequestID]*request
	classes        []*class
	dataSets       map[int]*dataSet
	keyQueues      map[string]*keyQueue
	queuedCount    int
	candidates     []*engine    // scratch: the engines that may take a request
	inFlight       inFlightLoad // what runs of ours on all engines
	highPriority   inFlightLoad // and of that what has a high priority there
	fleetCapacity  EngineKind   // all engines that serve, as one
	requestWork    decayingMean // work of a request
	longestTimeout Time         // of clients, at most
	lastDeadline   Time         // no request is worked on beyond it
	mostThreads    float64      // threads of the widest class
	share          float64      // what we take of the fleet, in even parts; learned
	arrivals       []Time       // arrivals within the ration's window
	retries        []Time       // further attempts within it

	zonePlan    ZonePlan  // nil: none
	zoneEngines []*engine // scratch: engines of a zone
}

func newState(s Settings, rng *rand.Rand) *Module {
	s.Gateways = max(s.Gateways, 1) // this gateway is one of them
	return &Module{settings: s, rng: rng, mostThreads: 1, engineByID: map[EngineID]*engine{}, requests: map[RequestID]*request{},
		keyQueues: map[string]*keyQueue{}, dataSets: map[int]*dataSet{}}
}

type engine struct {
	Engine
	inFlightLoad                       // of ours
	highPriority    inFlightLoad       // and of that what has a high priority there
	reportedToPeers inFlightLoad       // the part of it that peers hear of
	peers           peerLoad           // what peers tell of theirs
	slowdowns       [2]logSlowdown     // learned, of what has a low and a high priority there
	failureRate     float64            // learned share of failures
	backoff                            // from all but a trickle
	rejections      map[*class]backoff // from classes that it turned away

	peerSlowStartWork float64     // what others say that they have sent it within the tip window, while it is cold
	dataLoads         map[int]int // ours that run there, by data set
	slowStartSends    []sentWork  // while it is cold: what we sent within the tip window
}

// inFlightLoad is what runs of ours.
type inFlightLoad struct {
	attempts int     // attempts without an outcome
	threads  float64 // theirs
	memoryMB float64 // granted to them
	work     float64 // engine time predicted for them
}

func (l *inFlightLoad) add(a *attempt) {
	l.attempts++
	l.threads += a.threads
	l.memoryMB += a.memoryMB
	l.work += a.work
}

func (l *inFlightLoad) remove(a *attempt) {
	l.attempts--
	l.threads -= a.threads
	l.memoryMB -= a.memoryMB
	l.work -= a.work
	if l.attempts == 0 { // no rounding error stays behind
		*l = inFlightLoad{}
	}
}

// logSlowdown is the logarithm of run time over that of running alone.
type logSlowdown struct {
	log       float64
	updatedAt Time // when it last learned
}

// backoff is a rest from an engine.
type backoff struct{ duration, until Time }

type sentWork struct {
	at   Time
	work float64
}

type class struct {
	Class
	queues          []*queue          // by tenant
	costRatio       decayingMean      // true over told work
	memoryNeed      decayingDeviation // needed over told memory
	predictionError decayingDeviation // logarithm of true over predicted work
	requestWork     decayingMean      // work of a request
}

type attempt struct {
	engine           *engine
	zone             int
	cell             int
	startedAt        Time
	threads          float64
	memoryMB         float64
	work             float64
	expectedTime     float64
	highPriority     bool // it has a high priority there
	done             bool
	reportedToPeers  bool    // peers heard of it
	countedSlow      float64 // the time of it that has counted as too slow
	cancelledOverdue bool    // we cancelled it as overdue
	status           Status
}

type request struct {
	Request
	class         *class
	queue         *queue
	arrivedAt     Time
	attempts      []attempt
	inFlight      int
	ended         bool
	streaming     bool
	late          bool
	virtualFinish float64 // place in the queue
	queuedWork    float64 // predicted work while held
	heapIndex     int     // index in the queue's heap; -1: not held
	keyQueue      *keyQueue
	options       SetAttemptOptions
	hadOverdue    bool // an attempt was cancelled as overdue
}

// keyQueue is the line of requests of one key: the first has its turn, the rest wait for it to be over.
type keyQueue struct {
	key              string
	waiting          []*request
	quarantinedUntil Time // nothing is sent for the next one before
}

// queue holds the requests of one class and tenant that wait, as a heap (see Less).
type queue struct {
	requests    []*request
	totalWork   float64 // predicted work of all
	virtualTime float64 // key of the last drawn
}

// startAttempt books an attempt on its engine, and with all that is out.
func (m *Module) startAttempt(r *request, a attempt) {
	r.attempts = append(r.attempts, a)
	r.inFlight++
	e := a.engine
	e.add(&a)
	m.inFlight.add(&a)
	if a.highPriority {
		e.highPriority.add(&a)
		m.highPriority.add(&a)
	}
	if a.reportedToPeers {
		e.reportedToPeers.add(&a)
	}
	if r.class.IsDataLoad {
		e.dataLoads[r.DataSet]++
	}
}

// endAttempt takes an attempt off its engine.
func (m *Module) endAttempt(r *request, a *attempt, v Status) {
	a.done, a.status = true, v
	r.inFlight--
	e := a.engine
	e.remove(a)
	m.inFlight.remove(a)
	if a.highPriority {
		e.highPriority.remove(a)
		m.highPriority.remove(a)
	}
	if a.reportedToPeers {
		e.reportedToPeers.remove(a)
	}
	if r.class.IsDataLoad {
		if e.dataLoads[r.DataSet]--; e.dataLoads[r.DataSet] <= 0 {
			delete(e.dataLoads, r.DataSet)
		}
	}
}

func (m *Module) joinKeyQueue(r *request) {
	l := m.keyQueues[r.OrderKey]
	if l == nil {
		l = &keyQueue{key: r.OrderKey}
		m.keyQueues[r.OrderKey] = l
	}
	r.keyQueue = l
	l.waiting = append(l.waiting, r)
	m.serveKeyQueue(l)
}

func (m *Module) leaveKeyQueue(r *request) {
	l := r.keyQueue
	l.remove(r)
	if len(l.waiting) == 0 && m.now < l.quarantinedUntil {
		m.emit(SetTimer{At: l.quarantinedUntil, Token: "lane " + l.key})
	}
	m.serveKeyQueue(l)
}

func (l *keyQueue) remove(r *request) {
	for i, o := range l.waiting {
		if o == r {
			l.waiting = append(l.waiting[:i], l.waiting[i+1:]...)
			return
		}
	}
}

func (m *Module) kindOf(e *engine) EngineKind {
	if e.Kind < len(m.settings.Kinds) {
		return m.settings.Kinds[e.Kind]
	}
	return EngineKind{}
}

func newEngine() *engine {
	return &engine{dataLoads: map[int]int{}, rejections: map[*class]backoff{}}
}

// setSpan sets the span that all learned figures of a class look back.
func (c *class) setSpan(span Time) {
	for _, w := range []*decayingMean{&c.costRatio, &c.requestWork, &c.memoryNeed.mean, &c.memoryNeed.square, &c.predictionError.mean, &c.predictionError.square} {
		w.span = span
	}
}

// sentSince sums up the work sent to a cold engine since then, and forgets what is older.
func (e *engine) sentSince(from Time) (sum float64) {
	for len(e.slowStartSends) > 0 && e.slowStartSends[0].at < from {
		e.slowStartSends = e.slowStartSends[1:]
	}
	for _, s := range e.slowStartSends {
		sum += s.work
	}
	return sum
}

func (m *Module) emit(a Action) { m.actions = append(m.actions, a) }

func (m *Module) subscribe() {
	if m.settings.PullMembership {
		m.emit(Subscribe{On: true})
	}
}

// priorityBand is which of an engine's drags a request feels: 1 is that of short queries which overtake there. Where a class
// of high priority is much of the work it competes with all, and with itself.
func (m *Module) priorityBand(r *request) int {
	if m.settings.AcceptsPriority && m.priority(r) > 1 && r.class.requestWork.sum <= shortClassMaxWork*m.requestWork.sum {
		return 1
	}
	return 0
}

// slowdown is how many times longer a request runs on an engine than alone. Of a cold one of which
// nothing was heard it is what its warmth leaves.
func (m *Module) slowdown(r *request, e *engine) float64 {
	if d := e.slowdowns[m.priorityBand(r)]; d.updatedAt != 0 || !m.warmingUp(e) {
		return math.Exp(d.log)
	}
	return 1 / m.speedFraction(e)
}

// speedFraction is the part of its speed that an engine has, along a straight warm-up.
func (m *Module) speedFraction(e *engine) float64 {
	if d := m.settings.Constraints; m.warmingUp(e) {
		return max(d.SlowStartInitialSpeed+(1-d.SlowStartInitialSpeed)*max(float64(m.now-e.StartedAt), 0)/float64(d.SlowStartPeriod), minSpeedFraction)
	}
	return 1
}

// minSpeedFraction keeps divisions by the warmth finite where the settings name no speed to begin with.
const minSpeedFraction = 1e-3

// servingCapacity sums up the engines that serve, the cold ones by what they can do now.
func (m *Module) servingCapacity() (all EngineKind) {
	for _, e := range m.engines {
		if e.State == EngineServing {
			all.Cores += m.kindOf(e).Cores * m.speedFraction(e)
			all.MemoryMB += m.kindOf(e).MemoryMB
		}
	}
	return all
}

// peerLoad sums up what peers run on an engine, as each of them told last.
type peerLoad struct {
	threads, work float64
	latest        map[int]peerEntry
	byAge         []peerEntry // in the order heard
}

type peerEntry struct {
	from int
	at   Time
	peerReport
}

func (o *peerLoad) record(from int, at Time, n peerReport) {
	if o.latest == nil {
		o.latest = map[int]peerEntry{}
	}
	h := peerEntry{from, at, n}
	o.add(n, 1)
	o.add(o.latest[from].peerReport, -1)
	o.latest[from] = h
	o.byAge = append(o.byAge, h)
}

func (o *peerLoad) add(n peerReport, sign float64) {
	o.threads += sign * n.threads
	o.work += sign * n.work
}

// expire drops what was told before then and never renewed.
func (o *peerLoad) expire(before Time) {
	for len(o.byAge) > 0 && o.byAge[0].at < before {
		if h := o.byAge[0]; o.latest[h.from].at == h.at {
			o.add(o.latest[h.from].peerReport, -1)
			delete(o.latest, h.from)
		}
		o.byAge = o.byAge[1:]
	}
}

// handlePeerMessage takes what a peer runs on an engine.
func (m *Module) handlePeerMessage(p PeerMessage) {
	if n, ok := decodePeerReport(p.Payload); ok && m.engineByID[n.engine] != nil {
		m.engineByID[n.engine].peers.record(p.From, m.now, n)
	}
}

// triedOn answers whether the request had an attempt on an engine.
func (r *request) triedOn(e *engine) bool {
	return slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.engine == e })
}

// countEngines is how many engines are so to a class.
func (m *Module) countEngines(c *class, is func(*class, *engine) bool) (n int) {
	for _, e := range m.engines {
		if is(c, e) {
			n++
		}
	}
	return n
}

// enginesInZone lists the engines of a zone. It is valid until the next such call.
func (m *Module) enginesInZone(zone int) []*engine {
	m.zoneEngines = m.zoneEngines[:0]
	for _, e := range m.engines {
		if e.Zone == zone {
			m.zoneEngines = append(m.zoneEngines, e)
		}
	}
	return m.zoneEngines
}

// preferredInZone are the homes of a data set in one zone. It is valid until the next such call.
func (m *Module) preferredInZone(r *request, zone int) []*engine {
	m.zoneEngines = m.zoneEngines[:0]
	for _, e := range m.dataSet(r.DataSet).preference {
		if e.Zone == zone && e.State == EngineServing && len(m.zoneEngines) < minPreferredEngines {
			m.zoneEngines = append(m.zoneEngines, e)
		}
	}
	return m.zoneEngines
}

// triedZones are the zones that had an attempt of the request.
func (r *request) triedZones() (zones []int) {
	for i := range r.attempts {
		zones = append(zones, r.attempts[i].zone)
	}
	return zones
}

// observation is an event that tells something to remember.
type observation interface{ apply(m *Module) }

func (e ZonePlanChanged) apply(m *Module) { m.zonePlan = e.Plan }

func (e PeerSlowStartUsage) apply(m *Module) {
	if known := m.engineByID[e.Engine]; known != nil {
		known.peerSlowStartWork = e.Work
	}
}

// apply gives what others have learned of a class the weight of a few samples, ahead of our own.
func (e PeerEstimate) apply(m *Module) {
	if e.Class < 0 || e.Class >= len(m.classes) || !(e.CostRatio > 0) || !(e.MeanWork > 0) {
		return
	}
	const weight = 4
	c := m.classes[e.Class]
	if told := weight * e.MeanWork / e.CostRatio; c.costRatio.weight < told { // it weighs by told work
		c.costRatio.sum, c.costRatio.weight = c.costRatio.sum+told*e.CostRatio, c.costRatio.weight+told
	}
	if c.requestWork.weight < weight {
		c.requestWork.sum, c.requestWork.weight = c.requestWork.sum+weight*e.MeanWork, c.requestWork.weight+weight
	}
}

// ClassEstimates tells what is known of each class.
func (m *Module) ClassEstimates() []ClassEstimate {
	out := make([]ClassEstimate, len(m.classes))
	for i, c := range m.classes {
		out[i] = ClassEstimate{CostRatio: c.costRatio.mean(1), MeanWork: c.requestWork.mean(0), SampleWeight: c.requestWork.weight}
	}
	return out
}

// SlowStartUsage tells what we have sent to each cold engine within the tip window.
func (m *Module) SlowStartUsage() (out []SlowStartUsage) {
	for _, e := range m.engines {
		if m.warmingUp(e) && e.State == EngineServing {
			out = append(out, SlowStartUsage{e.ID, e.sentSince(m.now - m.settings.Constraints.OverloadWindow - m.settings.Tick)})
		}
	}
	return out
}

// LoadSummary tells what is held of our own load.
func (m *Module) LoadSummary() LoadSummary {
	s := LoadSummary{Share: max(m.share, 1), MeanWork: make([]float64, len(m.classes))}
	for i, c := range m.classes {
		s.MeanWork[i] = c.requestWork.mean(0)
		for _, q := range c.queues {
			for _, r := range q.requests {
				if !r.late {
					s.QueuedWork += r.queuedWork
				}
			}
		}
	}
	return s
}

// encodePeerReport is what peers hear of an engine: what runs of ours there, of that which they are told.
func (e *engine) encodePeerReport() []byte {
	return peerReport{e.ID, e.reportedToPeers.threads, e.reportedToPeers.work}.encode()
}

// EngineViews tells what is held of each engine, in the order they were first listed.
func (m *Module) EngineViews() []EngineView {
	out := make([]EngineView, 0, len(m.engines))
	late := map[*engine]int{}
	for _, r := range m.requests {
		for i := range r.attempts {
			if a := &r.attempts[i]; !a.done && a.countedSlow > 0 {
				late[a.engine]++
			}
		}
	}
	for _, e := range m.engines {
		out = append(out, EngineView{Engine: e.ID, InFlight: e.attempts, Ejected: m.ejected(e), Slowdown: math.Exp(max(e.slowdowns[0].log, e.slowdowns[1].log)),
			SpeedFraction: m.speedFraction(e), SlowInFlight: late[e]})
	}
	return out
}

// handleStreamOpened notes that the answer of a request has begun.
func (m *Module) handleStreamOpened(id RequestID) {
	if r := m.requests[id]; r != nil {
		r.streaming = true
	}
}

// handleClientGone closes the request of a client that has gone.
func (m *Module) handleClientGone(id RequestID) {
	if r := m.requests[id]; r != nil && !r.ended {
		m.endRequest(r)
	}
}

// runTime is how long the work takes on an engine of the given slowdown.
func (r *request) runTime(work, slow float64) Time {
	return Time(work / float64(max(1, r.class.Threads)) * slow)
}

// queuedWork sums up the predicted work of all that is held.
func (m *Module) queuedWork() (sum float64) {
	for _, c := range m.classes {
		for _, q := range c.queues {
			sum += q.totalWork
		}
	}
	return sum
}

func (m *Module) dequeue(r *request) {
	if r.heapIndex < 0 {
		return
	}
	heap.Remove(r.queue, r.heapIndex)
	r.queue.totalWork -= r.queuedWork
	m.queuedCount--
}

// removeIfDone frees a request that is over and has no attempt out.
func (m *Module) removeIfDone(r *request) {
	if !r.ended || r.inFlight > 0 {
		return
	}
	delete(m.requests, r.ID)
	if r.keyQueue != nil {
		m.leaveKeyQueue(r)
	}
}

// evenShareSeconds tells for how many seconds thread time fills an even part of the fleet.
func (m *Module) evenShareSeconds(threadTime float64) float64 {
	return threadTime * float64(m.settings.Gateways) / (m.fleetCapacity.Cores*float64(Second) + 1)
}

// removeGoneEngines frees what has left the list and runs nothing of ours. A cold engine is kept: should
// the list name it again, what we sent it before still counts.
func (m *Module) removeGoneEngines() {
	kept := m.engines[:0]
	for _, e := range m.engines {
		if e.State == EngineGone && e.attempts == 0 && !m.warmingUp(e) {
			delete(m.engineByID, e.ID)
			continue
		}
		kept = append(kept, e)
	}
	m.engines = kept
	for id, set := range m.dataSets {
		if set.preference = nil; m.now > set.requests.updatedAt+set.requests.span {
			delete(m.dataSets, id)
		}
	}
	m.fleetCapacity = m.servingCapacity()
}

func (m *Module) warmingUp(e *engine) bool {
	return e.StartedAt != 0 && m.now < e.StartedAt+m.settings.Constraints.SlowStartPeriod
}

func (r *request) mayHaveExecuted() bool {
	for i := range r.attempts {
		if a := &r.attempts[i]; !a.done || !a.status.NeverExecuted() {
			return true
		}
	}
	return false
}

func (m *Module) reviewAt(r *request, at Time) {
	if at > m.now && at < r.Deadline {
		m.emit(SetTimer{At: at, Token: "request " + string(r.ID)})
	}
}

// dataSet is what is remembered of a data set.
type dataSet struct {
	requests   decayingMean // requests for it
	preference []*engine    // in the order of a hash that all gateways share
}

func (m *Module) dataSet(id int) *dataSet {
	s := m.dataSets[id]
	if s == nil {
		s = &dataSet{requests: decayingMean{span: m.requestWork.span}}
		m.dataSets[id] = s
	}
	if s.preference == nil {
		s.preference = slices.Clone(m.engines)
		slices.SortFunc(s.preference, func(a, b *engine) int {
			return cmp.Compare(hash64(id, a.ID), hash64(id, b.ID))
		})
	}
	return s
}
