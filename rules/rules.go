package rules

// All decisions of a gateway. The types it speaks in are in api.go.
//
// The ordinary path: a request is held in the queue of its class and tenant;
// release draws a class, a tenant and a request by lottery; the memory gate
// and the thread bound say which engines may take it; of two random ones of
// these the less busy gets it. Everything else guards that path.

import (
	"container/heap"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	threadsPerCore = 1.5              // thread bound of a whole engine, in threads a core
	fitPart        = 0.5              // part of a further query that must fit; all would shut wide ones out
	learnWindow    = 10 * Second      // memory of the learned ratios
	slowLimit      = 1.35             // times its run alone: slower means too much at once
	slowPart       = 0.1              // and takes over this part of the time in which it is wanted
	shareGrow      = 0.2              // growth of our share by a second of an even part's good work
	startGrow      = 4.0              // times that on top of it after our start, fading over the window
	shareCut       = 0.13             // part of our share cut by a second of an even part in slow attempts
	shareCutMost   = 0.3              // most that one slow attempt cuts
	shareLeast     = 0.05             // in even parts: what we always take
	chance         = 2.0              // deviations by which one gateway's need may pass its part by chance
	usedPart       = 0.7              // part of our share in use from which it counts as used up
	shareMost      = 2.0              // most of an engine's bound that we ever take for ours
	coldSafety     = 0.6              // part of our share of a cold engine's budget that we use
	coldChance     = 5.5              // deviations by which what all together ask for by lot must not pass it
	homesLeast     = 3                // engines that keep even the least read data set warm
	homeSpread     = 1.5              // and this times its part of the requests, of all engines
	homeDoubt      = 20               // requests that a part must outweigh to be believed
	tellFrom       = 2.0              // peers hear of attempts with this times the usual work
	sweepEvery     = 50 * Millisecond // how often held requests are reconsidered without an event
	badGain        = 0.25             // weight of the newest outcome in an engine's failure share
	badLimit       = 0.3              // failure share from which an engine only gets a trickle
	sharedPart     = 0.8              // part of the fleet that must fail for the cause to be shared
	restFirst      = 500 * Millisecond
	restMost       = 4 * Second
	overduePart    = 0.4  // overdue: over this part of the time in which it is wanted, and
	overdueTimes   = 1.2  // overdue: over this times the run time that estimates two deviations off give
	dragGain       = 0.2  // weight of the newest outcome in an engine's drag
	roomPart       = 0.85 // part of the requests that may be open, from which held ones make room
	shortPart      = 0.35 // part of all work up to which a class of high priority passes for short
	missStart      = 0.5  // deviation of estimates that is assumed before any was seen
)

// New returns the module of a gateway that has just started.
func New(s Settings, seed uint64) *Module {
	m := newModule(s, rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)))
	m.share, m.lastDue = 1, math.MaxInt64
	m.usual.span = learnWindow
	for _, c := range s.Classes {
		k := &class{Class: c}
		k.remember(learnWindow)
		k.miss.start(0, missStart)
		k.need.start(1, missStart/2)
		for range max(1, len(s.Tenants)) {
			k.queues = append(k.queues, &queue{})
		}
		m.classes = append(m.classes, k)
		m.patience = max(m.patience, c.GiveUp)
		m.widest = max(m.widest, float64(c.Threads))
	}
	return m
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (m *Module) Handle(now Time, event Event) []Action {
	m.out, m.now = m.out[:0], now
	if !m.begun {
		m.begun, m.born = true, now
		m.subscribe()
	}
	switch e := event.(type) {
	case FleetChange:
		m.fleet(e)
	case Arrival:
		m.arrive(e.Request)
	case Outcome:
		m.outcome(e)
	case StreamOpened:
		m.opened(e.ID)
	case Departure:
		m.left(e.ID)
	case Alarm:
		m.alarm(e.Token)
	case PeerMessage:
		m.heard(e)
	case Stopping:
		m.stop(e.By)
	case lesson:
		e.tell(m)
	case ProbeResult: // it answers: what it is left out for fades
		if known := m.byID[e.Engine]; known != nil && e.Verdict == VerdictOK {
			known.bad, known.pause = known.bad/2, pause{}
		} else if known != nil && e.Doubted {
			m.failed(known)
		}
	}
	m.release()
	m.makeRoom()
	return m.out
}

// ---- the list of engines

// fleet follows the list. A failed or silent list leaves the last one standing.
func (m *Module) fleet(f FleetChange) {
	if f.Mode == ListFailed {
		m.do(SetTimer{At: m.now + Second, Token: "ask"})
		return
	}
	if f.Mode != ListDelta {
		for _, e := range m.engines {
			e.State = EngineGone
		}
	}
	for _, entry := range f.Engines {
		e := m.byID[entry.ID]
		if e == nil {
			e = newEngine()
			m.byID[entry.ID] = e
			m.engines = append(m.engines, e)
		}
		if entry.StartedAt != e.StartedAt {
			e.bad, e.drags, e.pause = 0, [2]drag{}, pause{}
		}
		e.Engine = entry
	}
	m.forgetEngines()
}

// ---- requests

func (m *Module) arrive(q Request) {
	if m.open[q.ID] != nil {
		return
	}
	c := m.classes[q.Class]
	q.Due = min(q.Due, m.lastDue)
	r := &request{Request: q, class: c, arrived: m.now - q.Held, slot: -1}
	r.queue = c.queues[min(q.Tenant, len(c.queues)-1)]
	m.open[q.ID] = r
	if m.s.Duties.Rationed {
		m.taken = insert(recent(m.taken, m.now-m.s.Duties.RationWindow), r.arrived)
	}
	c.usual.add(m.now, m.predict(r), 1)
	m.usual.add(m.now, m.predict(r), 1)
	m.set(q.DataSet).seen.add(m.now, 1, 1)
	m.do(SetTimer{At: q.Due, Token: "request " + string(q.ID)})
	if c.Ordered && q.OrderKey != "" {
		m.queueUp(r)
		return
	}
	m.hold(r)
}

// makeRoom refuses, where as many requests are open as clients may have with us, the one that would
// be drawn last of the class with the most held. What is held without hope, as loads that wait for
// each other's data sets, must not shut out what could run at once.
func (m *Module) makeRoom() {
	for m.held > 0 && m.s.Limits.MaxOpen > 0 && float64(len(m.open)) > roomPart*float64(m.s.Limits.MaxOpen) {
		m.finish(m.fullest().last(), FinishNoRoom)
	}
}

// predict is the request's expected work, all threads together.
func (m *Module) predict(r *request) float64 {
	if r.HasWork {
		return float64(r.Work) * r.class.ratio.mean(1)
	}
	return r.class.usual.mean(float64(r.class.Aim))
}

// wanted is how long after its arrival an answer still earns full worth.
func (r *request) wanted(work float64) Time {
	return r.class.Aim + Time(r.class.AimStretch*work/float64(max(1, r.class.Threads)))
}

func (m *Module) hold(r *request) {
	if r.over || r.slot >= 0 {
		return
	}
	work := m.predict(r)
	r.late = m.now+r.runTime(work, 1) > r.arrived+r.wanted(work)
	r.key = r.queue.clock + m.rng.ExpFloat64()*work
	r.queue.total, r.queued = r.queue.total+work, work
	heap.Push(r.queue, r)
	m.held++
	m.review(r)
}

// review settles what time has done to a request: it is late, hopeless, overdue or due.
func (m *Module) review(r *request) {
	if r.over || r.stream {
		return
	}
	work := m.predict(r)
	run := r.runTime(work, 1)
	if m.now >= r.Due || r.running == 0 && m.now+run >= r.Due {
		m.finish(r, FinishDeadline)
		return
	}
	if r.running > 0 {
		m.checkSlow(r)
		m.checkOverdue(r)
		return
	}
	turn := r.arrived + r.wanted(work) - run
	if m.now < turn {
		m.wake(r, turn)
		return
	}
	// It has just arrived: engines that are idle are tried before it is judged by what may be a guess.
	if r.class.LateValue <= 0 && m.now == r.arrived+r.Held {
		m.wake(r, m.now+m.s.Tick)
		return
	}
	if r.class.LateValue <= 0 {
		m.finish(r, FinishLate)
		return
	}
	if !r.late && r.slot >= 0 {
		r.late = true
		heap.Fix(r.queue, r.slot)
	}
	m.wake(r, r.Due-run)
}

// stop brings all deadlines forward to when we must be gone. What could not end by then has its
// answer at once, so that its client goes elsewhere; the rest is served as ever.
func (m *Module) stop(by Time) {
	m.lastDue = by
	for _, id := range slices.Sorted(maps.Keys(m.open)) {
		r := m.open[id]
		if r == nil { // it ended with the one before it, whose turn it had waited for
			continue
		}
		r.Due = min(r.Due, by)
		m.do(SetTimer{At: r.Due, Token: "request " + string(r.ID)})
		m.review(r)
	}
}

// holdOff is how long a refused client should stay away: until what is held should have run, but no
// longer than its query runs. At our end it should go elsewhere at once.
func (m *Module) holdOff(r *request) Time {
	if !m.s.Limits.RetryAfter || m.lastDue != math.MaxInt64 {
		return 0
	}
	held := Time(m.heldWork() / max(m.bound(m.size.Cores), 1))
	return min(held, r.runTime(m.predict(r), 1), m.s.Limits.MaxRetryAfter)
}

// finish gives the final answer now: a refusal where the rules allow that promise, else a failure.
func (m *Module) finish(r *request, why FinishReason) {
	if m.mayRefuse(r) {
		m.do(Refuse{ID: r.ID, RetryAfter: m.holdOff(r), Reason: why})
	} else {
		m.do(Fail{ID: r.ID, Reason: why})
	}
	m.end(r)
}

// end closes a request and withdraws what still runs for it.
func (m *Module) end(r *request) {
	m.unhold(r)
	r.over = true
	for i := range r.attempts {
		if !r.attempts[i].done && m.s.Limits.Cancel && !r.stream {
			m.do(Cancel{ID: r.ID, Attempt: i})
		}
	}
	m.forget(r)
}

// ---- what the rules allow

// mayRefuse answers whether we can promise that a retry is harmless.
func (m *Module) mayRefuse(r *request) bool {
	c := r.class
	return c.Effect == EffectSafe || c.Effect == EffectKeyed && c.Group == GroupAll || !r.mayHaveRun()
}

// maySend is the one place that says whether the rules allow a (further) attempt on an engine.
func (m *Module) maySend(r *request, e *engine) bool {
	return e.State == EngineServing && contains(r.class.Zones, e.Zone) && contains(r.class.Kinds, e.Kind) &&
		m.mayRepeat(r, e) && m.zoneOpen(r, e) && m.coldRoom(r, e)
}

func (m *Module) mayRepeat(r *request, e *engine) bool {
	if len(r.attempts) == 0 {
		return true
	}
	if r.running > 0 && !m.s.Limits.ParallelTries || !m.rationLeft() || !m.triesLeft(r) {
		return false
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done && a.verdict.NeverRan() || r.class.Effect == EffectSafe {
			continue
		}
		by := m.now + m.s.Limits.ConnectTimeout // it may have to wait for a connection until then
		if r.class.Effect == EffectUnsafe || by-a.at >= r.class.DedupWindow || !r.class.sameGroup(a, e) {
			return false
		}
	}
	return true
}

func (c *class) sameGroup(a *attempt, e *engine) bool {
	switch c.Group {
	case GroupZone:
		return a.zone == e.Zone
	case GroupCell:
		return a.cell == e.Cell
	}
	return true
}

func (m *Module) triesLeft(r *request) bool {
	return m.s.Limits.MaxAttempts <= 0 || len(r.attempts) < m.s.Limits.MaxAttempts
}

// rationLeft answers whether one more further attempt stays within the site's ration.
func (m *Module) rationLeft() bool {
	d := m.s.Duties
	if !d.Rationed {
		return true
	}
	m.taken = recent(m.taken, m.now-d.RationWindow+m.s.Tick)
	m.extras = recent(m.extras, m.now-d.RationWindow-m.s.Tick)
	return float64(len(m.extras)+1) <= d.FreeResends+d.ExtraPerTaken*float64(len(m.taken))
}

// coldRoom keeps a cold engine from being pushed over: all gateways together may send it only so
// much within the tip window, so each keeps to its part, whatever part of the traffic it has. A
// gateway that has just started does not know what it sent before, and waits a window. Where hundreds
// are, a part is smaller than a query, and what is heavy would never go there: then a lot, drawn anew each
// window, lets so many send one that together they ask for a safe part of it. If all of three do, it holds.
func (m *Module) coldRoom(r *request, e *engine) bool {
	d := m.s.Duties
	if !m.cold(e) || d.TipAfter <= 0 || d.OverloadFactor <= 0 { // warm, or no budget is named
		e.sent = nil
		return true
	}
	work := max(r.class.usual.mean(math.Inf(1)), m.predict(r))
	spent := e.sentSince(m.now - d.TipAfter - m.s.Tick)
	part := m.coldPart(e)
	whole := part * float64(m.s.Siblings)
	if m.now < m.born+d.TipAfter || e.elsewhere > 0 && e.elsewhere+spent+work > whole {
		return false
	}
	asked := part * drawnPart(whole/work) * min(1, float64(m.now-e.StartedAt)/float64(d.TipAfter))
	return m.evenRoom(r, e) || spent+work <= coldSafety/2*whole && spent+m.lot(e, d.TipAfter)*work <= asked
}

// drawnPart is the part of a budget for which all together may ask by lot, where it holds n queries: so
// many that it lies coldChance deviations of chance over what they ask for.
func drawnPart(n float64) float64 {
	root := math.Sqrt(n+coldChance*coldChance/4) - coldChance/2
	return min(root*root/n, coldSafety)
}

// coldPart is our even part of what a cold engine bears in a tip window.
func (m *Module) coldPart(e *engine) float64 {
	d := m.s.Duties
	return d.OverloadFactor * m.warmth(e) * m.kind(e).Cores * float64(d.TipAfter) / float64(m.s.Siblings)
}

// evenRoom answers whether a request fits the part of it that we always use.
func (m *Module) evenRoom(r *request, e *engine) bool {
	spent := r.class.usual.mean(math.Inf(1)) + e.sentSince(m.now-m.s.Duties.TipAfter-m.s.Tick)
	return spent <= coldSafety*m.coldPart(e)
}

// ---- the ordinary path

func (m *Module) release() {
	for m.held > 0 && m.anyRoom() && m.releaseOne() {
	}
	if m.held > 0 && !m.sweepOn {
		m.sweepOn = true
		m.do(SetTimer{At: m.now + sweepEvery, Token: "sweep"})
	}
}

func (m *Module) anyRoom() bool {
	all := &m.all
	if m.s.TakesPriority {
		all = &m.high // at least what has a high priority could go
	}
	if all.out > 0 && all.threads >= m.fleetBound(false) {
		return false
	}
	for _, e := range m.engines {
		open := e.out == 0 || m.s.TakesPriority || e.threads < m.bound(m.kind(e).Cores)
		if open && e.State == EngineServing {
			return true
		}
	}
	return false
}

// releaseOne draws classes, without putting back, until a request of one goes out.
func (m *Module) releaseOne() bool {
	passed := make([]bool, len(m.classes))
	for range m.classes {
		c := m.drawClass(passed)
		if c < 0 {
			return false
		}
		passed[c] = true
		if q := m.classes[c].drawTenant(m.rng); m.releaseFrom(q) || m.releaseFrom(q) {
			return true
		}
	}
	return false
}

// drawClass is the class lottery. Every class has the same share of time; that over the mean
// predicted time of its held requests is its odds. Requests that are late already count for what
// they still earn.
func (m *Module) drawClass(passed []bool) int {
	odds := make([]float64, len(m.classes))
	for i, c := range m.classes {
		n, total, earns := 0, 0.0, 0.0
		for _, q := range c.queues {
			n += q.Len()
			total += q.total
			if q.Len() > 0 && !q.held[0].late {
				earns = 1
			} else if q.Len() > 0 {
				earns = max(earns, c.LateValue, 1e-6)
			}
		}
		if n > 0 && !passed[i] {
			odds[i] = earns * float64(n) / max(total, 1)
		}
	}
	return draw(m.rng, odds)
}

// drawTenant draws a tenant's queue with odds of one over its held requests' mean predicted time.
func (c *class) drawTenant(rng *rand.Rand) *queue {
	odds := make([]float64, len(c.queues))
	for i, q := range c.queues {
		if q.Len() > 0 {
			odds[i] = float64(q.Len()) / max(q.total, 1)
		}
	}
	return c.queues[max(draw(rng, odds), 0)]
}

// releaseFrom draws a request of a queue and sends it if it fits somewhere. If not it is drawn anew:
// one that has to wait (for a ration, a group, memory) must not block the rest.
func (m *Module) releaseFrom(q *queue) bool {
	r := q.held[0]
	to := m.pick(r)
	if to == nil {
		r.key = q.clock + m.rng.ExpFloat64()*r.queued
		heap.Fix(q, 0)
		return false
	}
	if !r.late {
		q.clock = max(q.clock, r.key)
	}
	m.unhold(r)
	m.send(r, to)
	return true
}

// pick takes the less busy, by the time we predicted for what runs there, of two random engines that
// may take the request. One that had an attempt of it gets another only where no other engine may.
func (m *Module) pick(r *request) *engine {
	if e := m.drawnCold(r); e != nil {
		return e
	}
	zone, ok := m.drawZone(r)
	if m.able = m.able[:0]; !ok {
		return nil
	}
	if zone >= 0 {
		if m.listAble(r, m.near(r, zone)); r.waitsOnLoad() || len(m.able) < 2 && m.plan != nil {
			m.listAble(r, m.inZone(zone))
		}
	}
	if len(m.able) == 0 {
		if m.listAble(r, m.homes(r)); len(m.able) < 2 {
			m.listAble(r, m.engines)
		}
	}
	m.able = without(m.able, r.triedOn)
	n := len(m.able)
	if n < 2 {
		return append(m.able, nil)[0]
	}
	i, j := m.rng.IntN(n), m.rng.IntN(n-1)
	if j >= i {
		j++
	}
	best := m.able[i]
	if m.busy(r, m.able[j]) < m.busy(r, best) {
		best = m.able[j]
	}
	return best
}

// drawnCold is the least busy of the cold engines on which a lot came up for the request.
func (m *Module) drawnCold(r *request) (best *engine) {
	for _, e := range m.engines {
		if m.cold(e) && !m.evenRoom(r, e) && m.fits(r, e) && m.maySend(r, e) && !r.triedOn(e) &&
			(best == nil || m.busy(r, e) < m.busy(r, best)) {
			best = e
		}
	}
	return best
}

// part is our part of anything that all gateways use, as learned.
func (m *Module) part() float64 { return max(m.share, 1) / float64(m.s.Siblings) }

func (m *Module) listAble(r *request, of []*engine) {
	m.able = m.able[:0]
	for _, e := range of {
		if m.fits(r, e) && m.maySend(r, e) {
			m.able = append(m.able, e)
		}
	}
}

// homes are the engines that all gateways prefer for a data set, so that it is warm there: a few by a
// hash that all share, and more the larger its part of the requests. Loads keep apart instead.
func (m *Module) homes(r *request) []*engine {
	if r.waitsOnLoad() {
		return nil
	}
	set := m.set(r.DataSet)
	n := homesLeast + int(homeSpread*float64(len(m.engines))*set.seen.sum/(m.usual.weight+homeDoubt))
	return set.order[:min(n, len(set.order))]
}

// ---- notes among gateways

// tellsOf answers whether peers hear of an attempt: where notes are allowed, of all that is twice as
// heavy as the usual request. That is most of the work, and few notes: they cost.
func (m *Module) tellsOf(a *attempt) bool {
	return m.s.Limits.PeerMessages && m.s.Siblings > 1 && a.work >= tellFrom*m.usual.mean(0)
}

// busy is the engine time predicted for what runs there of ours and for the request itself. With few
// queries of ours out, the engine's drag is all that tells two engines apart.
func (m *Module) busy(r *request, e *engine) float64 {
	e.others.forget(m.now - m.patience)
	return e.work + e.others.work + m.predict(r)*m.slowness(r, e)
}

func (m *Module) bound(cores float64) float64 { return threadsPerCore * cores * m.part() }

// fleetBound adds a margin of chance: what single gateways draw scatters, their sum hardly does. Slow
// attempts that go on at an even part take away from it, more of it from what is late already: that can
// wait until a crowd has gone, and must not take the place of what can still be in time.
func (m *Module) fleetBound(late bool) float64 {
	b, spare := m.bound(m.size.Cores), min(m.share, 1)
	if late {
		spare *= spare * spare
	}
	return b + chance*spare*math.Sqrt(b*m.widest)
}

// within is the memory gate and the thread bound, for one engine or for all together.
func (m *Module) within(r *request, l *load, bound float64, k Kind, grant float64) bool {
	return l.out == 0 || l.threads+fitPart*float64(max(1, r.class.Threads)) <= bound &&
		(k.MemoryMB == 0 || l.memory+grant <= k.MemoryMB*min(1, m.part()))
}

// fits is the memory gate, the thread bound and the trickle to an engine that fails.
func (m *Module) fits(r *request, e *engine) bool {
	if !m.trusted(r, e) || r.waitsOnLoad() && e.loads[r.DataSet] > 0 {
		return false
	}
	grant, kind := m.grant(r, e), m.kind(e)
	e.others.forget(m.now - m.patience)
	wide := fitPart * float64(max(1, r.class.Threads))
	return (e.others.threads <= 0 || e.threads+e.others.threads+wide <= threadsPerCore*kind.Cores) &&
		m.within(r, m.ahead(r, &m.all, &m.high), m.fleetBound(r.late), m.size, grant) &&
		m.within(r, m.ahead(r, &e.load, &e.high), m.bound(kind.Cores), kind, grant)
}

// ahead is which of our loads a request competes with there: what has a high priority does with its like
// only, and must not wait here for what it would overtake there.
func (m *Module) ahead(r *request, all, high *load) *load {
	if m.band(r) > 0 {
		return high
	}
	return all
}

// waitsOnLoad answers whether a load of the same data set on its engine makes the request stand
// still, with all the memory it was granted. It goes elsewhere, and how long it took says little of
// the engine: another gateway's load may have held it up.
func (r *request) waitsOnLoad() bool { return r.class.IsLoad || r.class.WaitsOnLoad }

// trusted keeps all but a trickle of short queries from an engine that fails, or on which the
// request would be late. Where hardly an engine does not fail the cause is shared, and leaving engines
// out would only add load to the others. A cut between zones leaves a part of the fleet, even a small
// one, and that part is better than none.
func (m *Module) trusted(r *request, e *engine) bool {
	inTime := r.late || m.now+r.runTime(m.predict(r), m.slowness(r, e)) <= r.arrived+r.wanted(m.predict(r))
	if inTime && (!m.shuns(r.class, e) || m.sharedFault(r.class)) {
		return true
	}
	return r.class.Effect == EffectSafe && m.priority(r) > 1 && e.out == 0 &&
		m.now >= max(e.till, e.turned[r.class].till)
}

// sick: it fails much, or is resting after that.
func (m *Module) sick(e *engine) bool { return e.bad >= badLimit || m.now < e.till }

// shuns: it is sick, or has turned away the class and rests from it.
func (m *Module) shuns(c *class, e *engine) bool { return m.sick(e) || m.now < e.turned[c].till }

func (m *Module) sharedFault(c *class) bool {
	return float64(m.count(c, m.shuns)) > sharedPart*float64(len(m.engines))
}

// longer is a rest that follows another: twice as long, within bounds.
func (p pause) longer(now Time) pause {
	rest := min(max(2*p.rest, restFirst), restMost)
	return pause{rest, now + rest}
}

// grant is the memory we ask for: the need of most requests with such an estimate.
func (m *Module) grant(r *request, e *engine) float64 {
	grant := r.MemoryMB * (r.class.need.mean.mean(1) + r.class.need.deviation())
	if m.s.MostGrant > 0 {
		grant = min(grant, m.s.MostGrant*m.kind(e).MemoryMB)
	}
	return grant
}

func (m *Module) send(r *request, e *engine) {
	grant := m.grant(r, e)
	terms := SetTerms{ID: r.ID, MemoryMB: math.Ceil(grant), Priority: m.priority(r)}
	if terms != r.terms && (m.s.TakesGrants || m.s.TakesPriority) {
		r.terms = terms
		m.do(terms)
	}
	m.do(Send{ID: r.ID, Engine: e.ID})
	if len(r.attempts) > 0 {
		m.extras = append(m.extras, m.now)
	}
	work := m.predict(r)
	if m.planned(r) {
		m.plan.Sent(m.now, e.Zone, work, len(r.attempts) > 0)
	}
	a := attempt{engine: e, zone: e.Zone, cell: e.Cell, at: m.now, threads: float64(max(1, r.class.Threads)),
		memory: grant, high: m.band(r) > 0, expected: float64(r.runTime(work, m.slowness(r, e)))}
	a.work = a.expected * a.threads
	a.told = m.tellsOf(&a)
	m.begin(r, a)
	if a.told {
		m.do(TellPeers{Payload: e.tells()})
	}
	if m.cold(e) {
		e.sent = append(e.sent, sending{m.now, r.class.usual.mean(work)})
	}
	m.wake(r, m.slowAt(r, &a))
}

// priority favours the class that earns most for its work.
func (m *Module) priority(r *request) int {
	for _, c := range m.classes {
		if c.Worth*r.class.usual.mean(1) > r.class.Worth*c.usual.mean(math.Inf(1)) {
			return 1
		}
	}
	return 3
}

// ---- outcomes

func (m *Module) outcome(o Outcome) {
	r := m.open[o.ID]
	if r == nil || o.Attempt >= len(r.attempts) || r.attempts[o.Attempt].done {
		return
	}
	a := &r.attempts[o.Attempt]
	m.learn(r, a, o)
	m.conclude(r, a, o.Verdict)
	if a.told {
		m.do(TellPeers{Payload: a.engine.tells()})
	}
	if a.engine.State == EngineGone {
		m.forgetEngines()
	}
	m.restLane(r, o.Verdict)
	if o.Closed && !r.over {
		m.end(r)
	}
	if r.over {
		m.forget(r)
		return
	}
	if r.running == 0 {
		m.again(r)
	}
}

// again holds a request for a further attempt where one may still help, else ends it.
func (m *Module) again(r *request) {
	if !m.triesLeft(r) || r.mayHaveRun() && r.class.Effect == EffectUnsafe {
		m.finish(r, FinishTriesSpent)
		return
	}
	m.hold(r)
}

// learn takes from an outcome all it tells of its class and its engine. Time-outs and cancels
// count too: figures of survivors alone would look better than things are.
func (m *Module) learn(r *request, a *attempt, o Outcome) {
	c, e := r.class, a.engine
	if o.Spoilt { // answers of any engine are: none is left out for it
		return
	}
	switch o.Verdict {
	case VerdictMoot:
		return
	case VerdictError, VerdictReset, VerdictConnectFailed:
		m.failed(e)
		return
	case VerdictTimeout, VerdictCancelled:
		if a.cut || o.Verdict == VerdictTimeout {
			m.failed(e)
		}
	case VerdictFull:
		drag := e.drags[m.band(r)].log // it may be full of something else
		m.cutShare(shareCutMost * min(1, drag/math.Log(slowLimit)))
		e.turned[c] = e.turned[c].longer(m.now)
		return
	case VerdictOK:
		e.bad -= badGain * e.bad
		e.rest = 0
		delete(e.turned, c)
	}
	work := m.predict(r)
	if o.Verdict == VerdictOK && o.TrueWork > 0 {
		c.miss.add(m.now, math.Log(float64(o.TrueWork)/max(work, 1)))
		work = float64(o.TrueWork)
		if r.HasWork {
			c.ratio.add(m.now, work, float64(r.Work))
		}
		if r.MemoryMB > 0 && o.TrueMemoryMB > 0 {
			c.need.add(m.now, o.TrueMemoryMB/r.MemoryMB)
		}
	}
	lag := float64(o.Latency)
	m.learnDrag(r, e, work, lag)
	if a.cut || r.waitsOnLoad() {
		return
	}
	alone := float64(r.runTime(work, 1)) + float64(2*m.s.Tick)
	waiting := o.Load["queue"] >= 1 // queries wait for memory there: more is granted than there is
	if waiting || lag > max(slowLimit*alone, slowPart*float64(r.wanted(work))) {
		m.tooSlow(a, lag)
	} else if o.Verdict == VerdictOK && m.usedUp() {
		grow := shareGrow * (1 + startGrow*math.Exp(-float64(m.now-m.born)/float64(learnWindow)))
		m.share = min(m.share+grow*m.evenSeconds(work), shareMost*float64(m.s.Siblings))
	}
}

// learnDrag follows, as a logarithm, how slow an engine is to all that we send at one priority, however it
// ends: where many queries crowd an engine, those of a high priority hardly feel it. The longer ago we
// heard of it, the more the newest outcome counts.
func (m *Module) learnDrag(r *request, e *engine, work, lag float64) {
	d := &e.drags[m.band(r)]
	drag := math.Log(max(lag/float64(r.runTime(work, 1)+2*m.s.Tick), 1))
	d.log += max(dragGain, 1-math.Exp(-float64(m.now-d.heard)/float64(learnWindow))) * (drag - d.log)
	d.heard = m.now
}

// tooSlow cuts our share of an engine for an attempt that takes too long, by the part of the engine
// that it held. It counts as soon as it is seen, and what it held further at its end: outcomes alone would
// tell of survivors.
func (m *Module) tooSlow(a *attempt, lag float64) {
	if lag > a.slow {
		m.cutShare(shareCut * m.evenSeconds(a.threads*(lag-a.slow)))
		a.slow = lag
	}
}

func (m *Module) cutShare(by float64) { m.share = max(m.share*(1-min(by, shareCutMost)), shareLeast) }

// usedUp answers whether we come near what we may put on the fleet, so that more would be used.
func (m *Module) usedUp() bool {
	return m.all.threads >= usedPart*m.bound(m.size.Cores) ||
		m.all.memory >= usedPart*m.size.MemoryMB*m.part()
}

// failed marks an engine that failed an attempt and lets it rest, longer each time. An attempt cancelled as
// overdue is a failure too: an engine behind a cut link, or one that grows slower, gives no other sign.
func (m *Module) failed(e *engine) {
	e.bad += badGain * (1 - e.bad)
	if e.bad >= badLimit {
		e.pause = e.pause.longer(m.now)
	}
}

// ---- bad plans and other overdue attempts

// slowAt is when an attempt counts as slow before its outcome is known.
func (m *Module) slowAt(r *request, a *attempt) Time {
	work := m.predict(r) * math.Exp(r.class.miss.deviation())
	return a.at + Time(max(slowLimit*float64(r.runTime(work, 1)), slowPart*float64(r.wanted(work)))) + 1
}

func (m *Module) overdueAt(r *request, a *attempt) Time {
	long := overdueTimes * a.expected * math.Exp(2*r.class.miss.deviation())
	return a.at + Time(max(long, overduePart*float64(r.wanted(m.predict(r)))))
}

// checkSlow counts attempts that have been out too long against our share of their engines.
func (m *Module) checkSlow(r *request) {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.done || r.waitsOnLoad() {
			continue
		}
		if at := m.slowAt(r, a); m.now >= at && a.slow == 0 {
			m.tooSlow(a, float64(m.now-a.at))
		} else {
			m.wake(r, at)
		}
	}
}

// checkOverdue cancels an attempt that takes far longer than such attempts do, to try elsewhere:
// a bad plan, a stalled or an unreachable engine. Only where the repeat is allowed, and the later the
// rougher the estimates. Where no further attempt can help it ends the request a little later.
func (m *Module) checkOverdue(r *request) {
	i := len(r.attempts) - 1
	a := &r.attempts[i]
	if r.running != 1 || a.done || a.cut || r.class.Effect != EffectSafe || !m.s.Limits.Cancel {
		return
	}
	late := m.overdueAt(r, a) - a.at
	again := m.triesLeft(r) && m.rationLeft() && m.now+Time(a.expected) < r.Due
	if !again || r.cut {
		late += late / 2
	}
	if m.now < a.at+late {
		m.wake(r, a.at+late)
		return
	}
	a.cut = true
	if !again {
		m.finish(r, FinishOverdue)
		return
	}
	r.cut = true
	m.do(Cancel{ID: r.ID, Attempt: i})
}

func (m *Module) alarm(token string) {
	kind, name, _ := strings.Cut(token, " ")
	if r := m.open[RequestID(name)]; kind == "request" && r != nil {
		m.review(r)
	}
	if l := m.lanes[name]; kind == "lane" && l != nil {
		m.turn(l)
	}
	if kind == "ask" {
		m.subscribe()
	}
	if kind == "sweep" {
		m.sweepOn, m.size = false, m.capacity()
	}
}

// ---- order by key

func (m *Module) turn(l *lane) {
	if len(l.line) == 0 {
		if m.now >= l.rest {
			delete(m.lanes, l.key)
		}
		return
	}
	if r := l.line[0]; !r.over && len(r.attempts) == 0 {
		if m.now < l.rest {
			m.do(SetTimer{At: l.rest, Token: "lane " + l.key})
			return
		}
		m.hold(r)
	}
}

// restLane: an attempt that may still run keeps its key idle for a time after it was given up.
func (m *Module) restLane(r *request, v Verdict) {
	if r.lane != nil && (v == VerdictTimeout || v == VerdictReset || v == VerdictCancelled) {
		r.lane.rest = max(r.lane.rest, m.now+m.s.Duties.KeyRest)
	}
}

// Less makes a queue a race: each held request draws an exponential time with mean its predicted
// work, and the shortest goes first. So the odds of the next draw are one over predicted time, as
// the design has it, at the cost of a heap. Requests that can't be in time any more go last.
func (q *queue) Less(i, j int) bool {
	a, b := q.held[i], q.held[j]
	if a.late != b.late {
		return b.late
	}
	return a.key < b.key
}
