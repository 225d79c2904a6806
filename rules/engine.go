package rules

import (
	"cmp"
	"slices"
)

// The state kept of each engine and data set. It decides nothing.

type engine struct {
	Engine
	inFlightLoad                       // of this gateway
	highPriority    inFlightLoad       // the part of it that has a high priority there
	reportedToPeers inFlightLoad       // the part of it that peers are told of
	peers           peerLoad           // what peers report of theirs
	slowdowns       [2]logSlowdown     // learned, by priority band
	process         int                // counts its processes, by the list
	failureRate     float64            // learned
	ejection        backoff            // from all but half-open probing
	rejections      map[*class]backoff // of the classes that it rejected
	dataLoads       map[int]int        // data loads of this gateway that run there, by data set

	recentSends       []sentWork // what was sent within the overload window, a tick apart at least
	peerSlowStartWork float64    // while it warms up: what peers report to have sent within the window
}

// forgetProcess drops what was learned of an engine's process, which is another one now.
func (e *engine) forgetProcess() {
	e.process++
	e.failureRate, e.slowdowns, e.ejection = 0, [2]logSlowdown{}, backoff{}
	clear(e.rejections)
	e.peerSlowStartWork = 0
}

// backoff is a span for which something is left alone.
type backoff struct{ duration, until Time }

// logSlowdown is the logarithm of the run time over that of the same work alone.
type logSlowdown struct {
	log       float64
	updatedAt Time // 0: never
}

// sentWork is work sent to an engine by a time.
type sentWork struct {
	at   Time
	work float64
}

func newEngine() *engine {
	return &engine{dataLoads: map[int]int{}, rejections: map[*class]backoff{}}
}

// inFlightLoad sums up attempts in flight.
type inFlightLoad struct {
	attempts int
	threads  float64
	memoryMB float64 // granted
	work     float64 // predicted engine time
}

func (l *inFlightLoad) add(att *attempt) {
	l.attempts++
	l.threads += att.threads
	l.memoryMB += att.memoryMB
	l.work += att.work
}

func (l *inFlightLoad) remove(att *attempt) {
	l.attempts--
	l.threads -= att.threads
	l.memoryMB -= att.memoryMB
	l.work -= att.work
	if l.attempts == 0 { // no rounding error accumulates
		*l = inFlightLoad{}
	}
}

// recordSend adds work sent to an engine, together with what was sent until the same time, and drops what is
// older than from.
func (e *engine) recordSend(from, until Time, work float64) {
	e.forgetSends(from)
	if last := len(e.recentSends) - 1; last >= 0 && e.recentSends[last].at == until {
		e.recentSends[last].work += work
		return
	}
	e.recentSends = append(e.recentSends, sentWork{until, work})
}

// forgetSends drops what was sent to an engine before then.
func (e *engine) forgetSends(from Time) {
	for len(e.recentSends) > 0 && e.recentSends[0].at < from {
		e.recentSends = e.recentSends[1:]
	}
}

// sentSince sums up the work sent to an engine since then, and drops what is older.
func (e *engine) sentSince(from Time) (sum float64) {
	e.forgetSends(from)
	for _, sent := range e.recentSends {
		sum += sent.work
	}
	return sum
}

func (m *Module) kindOf(eng *engine) EngineKind {
	if eng.Kind < len(m.settings.Kinds) {
		return m.settings.Kinds[eng.Kind]
	}
	return EngineKind{}
}

func (m *Module) warmingUp(eng *engine) bool {
	return eng.StartedAt != 0 && m.now < eng.StartedAt+m.settings.Constraints.SlowStartPeriod
}

// servingCapacity sums up the engines that serve, those that warm up by what they can do now.
func (m *Module) servingCapacity() (total EngineKind) {
	for _, eng := range m.engines {
		if eng.State == EngineServing {
			total.Cores += m.kindOf(eng).Cores * m.speedFraction(eng)
			total.MemoryMB += m.kindOf(eng).MemoryMB
		}
	}
	return total
}

// removeGoneEngines drops engines that have left the list and run no attempt of this gateway. One that warms
// up, or was sent work within the overload window, is kept: if it is listed again, as a new process perhaps,
// that work counts against its budget.
func (m *Module) removeGoneEngines() {
	before := len(m.engines)
	m.engines = slices.DeleteFunc(m.engines, func(eng *engine) bool {
		gone := eng.State == EngineGone && eng.attempts == 0 && !m.warmingUp(eng) && m.slowStartWork(eng) == 0
		if gone {
			delete(m.engineByID, eng.ID)
		}
		return gone
	})
	if len(m.engines) < before {
		m.forgetPreferences()
	}
}

// countEngines counts the engines for which a condition holds to a class.
func (m *Module) countEngines(cls *class, holds func(*class, *engine) bool) (count int) {
	for _, eng := range m.engines {
		if holds(cls, eng) {
			count++
		}
	}
	return count
}

// enginesInZone lists the engines of a zone. The result is valid until zoneEngines is next used.
func (m *Module) enginesInZone(zone int) []*engine {
	m.zoneEngines = m.zoneEngines[:0]
	for _, eng := range m.engines {
		if eng.Zone == zone {
			m.zoneEngines = append(m.zoneEngines, eng)
		}
	}
	return m.zoneEngines
}

// dataSet is what is known of a data set.
type dataSet struct {
	requests   decayingMean // requests for it
	preference []*engine    // all engines, in the order of a hash that all gateways share; nil: to be computed
}

func (m *Module) dataSet(id int) *dataSet {
	set := m.dataSets[id]
	if set == nil {
		set = &dataSet{requests: decayingMean{span: m.requestWork.span}}
		m.dataSets[id] = set
	}
	if set.preference == nil {
		set.preference = slices.Clone(m.engines)
		slices.SortFunc(set.preference, func(a, b *engine) int {
			return cmp.Compare(hash64(id, a.ID), hash64(id, b.ID))
		})
	}
	return set
}

// forgetPreferences drops the preference lists, which are out of date, and data sets not requested lately.
func (m *Module) forgetPreferences() {
	for id, set := range m.dataSets {
		if set.preference = nil; m.now > set.requests.updatedAt+set.requests.span {
			delete(m.dataSets, id)
		}
	}
}
