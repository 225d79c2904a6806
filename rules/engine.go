package rules

import (
	"cmp"
	"maps"
	"slices"
)

// State of engines and data sets. This file makes no decisions.

// engine is the state of one engine.
type engine struct {
	Engine
	inFlightLoad                        // attempts of this gateway in flight there
	highPriorityLoad inFlightLoad       // the part of it that has a high priority there
	reportedLoad     inFlightLoad       // the part of it that is reported to peers
	peers            peerLoad           // load that peers report
	slowdowns        [2]logSlowdown     // learned, by priority band
	incarnation      int                // counts the processes of the engine that the endpoint list has named
	failureRate      float64            // moving average, from 0 to 1
	ejection         backoff            // of all requests except half-open probes
	rejections       map[*class]backoff // of single classes, after the engine rejected a request
	dataLoads        map[int]int        // number of data loads of this gateway in flight there, by data set

	recentSends       []sentWork // work sent within the overload window, at most one entry per tick
	peerSlowStartWork float64    // while it warms up: work that peers report to have sent within the window
}

// startIncarnation drops what was learned about the former process of the engine.
func (e *engine) startIncarnation() {
	e.incarnation++
	e.failureRate, e.slowdowns, e.ejection = 0, [2]logSlowdown{}, backoff{}
	clear(e.rejections)
	e.peerSlowStartWork = 0
}

// backoff is a period in which an engine gets no requests, or none of one class.
type backoff struct{ duration, until Time }

// logSlowdown is a learned slowdown, as the logarithm of the run time of work over its run time alone.
type logSlowdown struct {
	log       float64
	updatedAt Time // 0: never
}

// sentWork is the work sent to an engine during one tick.
type sentWork struct {
	tickEnd Time
	work    float64
}

// newEngine returns an engine about which nothing was learned yet.
func newEngine() *engine {
	return &engine{dataLoads: map[int]int{}, rejections: map[*class]backoff{}}
}

// inFlightLoad is the total load of attempts in flight.
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
	if l.attempts == 0 { // rounding errors must not accumulate
		*l = inFlightLoad{}
	}
}

// recordSend adds work sent to an engine to the entry of the tick that ends at tickEnd, and drops entries
// before from.
func (e *engine) recordSend(from, tickEnd Time, work float64) {
	e.dropSendsBefore(from)
	if last := len(e.recentSends) - 1; last >= 0 && e.recentSends[last].tickEnd == tickEnd {
		e.recentSends[last].work += work
		return
	}
	e.recentSends = append(e.recentSends, sentWork{tickEnd, work})
}

// dropSendsBefore drops the entries of work sent to an engine before from.
func (e *engine) dropSendsBefore(from Time) {
	for len(e.recentSends) > 0 && e.recentSends[0].tickEnd < from {
		e.recentSends = e.recentSends[1:]
	}
}

// sentSince returns the work sent to an engine since from, and drops older entries.
func (e *engine) sentSince(from Time) (sum float64) {
	e.dropSendsBefore(from)
	for _, sent := range e.recentSends {
		sum += sent.work
	}
	return sum
}

// kindOf returns the kind of an engine, without cores and memory if the settings do not list it.
func (m *Module) kindOf(eng *engine) EngineKind {
	if eng.Kind < len(m.settings.Kinds) {
		return m.settings.Kinds[eng.Kind]
	}
	return EngineKind{}
}

// warmingUp reports whether an engine is within its slow-start period.
func (m *Module) warmingUp(eng *engine) bool {
	return eng.StartedAt != 0 && m.now < eng.StartedAt+m.settings.Constraints.SlowStartPeriod
}

// servingCapacity returns the total capacity of the serving engines. The cores of an engine that warms up
// count by its current speed.
func (m *Module) servingCapacity() (total EngineKind) {
	for _, eng := range m.engines {
		if eng.State == EngineServing {
			total.Cores += m.kindOf(eng).Cores * m.speedFraction(eng)
			total.MemoryMB += m.kindOf(eng).MemoryMB
		}
	}
	return total
}

// removeGoneEngines drops engines that have left the list and run no attempt of this gateway. An engine
// that warms up, or was sent work within the overload window, is kept: if it is listed again, perhaps as a
// new process, that work counts against its slow-start budget.
func (m *Module) removeGoneEngines() {
	before := len(m.engines)
	m.engines = slices.DeleteFunc(m.engines, func(eng *engine) bool {
		gone := eng.State == EngineGone && eng.attempts == 0 && !m.warmingUp(eng) && m.slowStartUsed(eng) == 0
		if gone {
			delete(m.engineByID, eng.ID)
		}
		return gone
	})
	if len(m.engines) < before {
		m.resetPreferences()
	}
}

// countEngines counts the engines for which a condition holds for a class.
func (m *Module) countEngines(cls *class, holds func(*class, *engine) bool) (count int) {
	for _, eng := range m.engines {
		if holds(cls, eng) {
			count++
		}
	}
	return count
}

// enginesInZone returns the engines of a zone. The result is valid until zoneEngines is used again.
func (m *Module) enginesInZone(zone int) []*engine {
	m.zoneEngines = m.zoneEngines[:0]
	for _, eng := range m.engines {
		if eng.Zone == zone {
			m.zoneEngines = append(m.zoneEngines, eng)
		}
	}
	return m.zoneEngines
}

// dataSet is the state of a data set.
type dataSet struct {
	requests   decayingMean // its sum is the decaying number of requests
	preference []*engine    // all engines, in the same hash order on all gateways; nil: to be computed
}

// Data sets are named by clients, so their number has to be bounded. Their preference lists together have about
// maxPreferenceEntries entries, which are 512 KB.
const (
	maxPreferenceEntries = 1 << 16
	minDataSets          = 256 // kept in any case, as more than these are not in use at one time
)

// maxDataSets returns how many data sets the module remembers.
func (m *Module) maxDataSets() int {
	return max(minDataSets, maxPreferenceEntries/max(len(m.engines), 1))
}

// forgetOldestDataSets removes the half of the data sets that was not requested for the longest time.
func (m *Module) forgetOldestDataSets() {
	ids := slices.SortedFunc(maps.Keys(m.dataSets), func(a, b int) int {
		return cmp.Or(cmp.Compare(m.dataSets[a].requests.updatedAt, m.dataSets[b].requests.updatedAt), cmp.Compare(a, b))
	})
	for _, id := range ids[:len(ids)/2] {
		delete(m.dataSets, id)
	}
}

// dataSet returns the state of a data set with its preference list. It creates them if they are missing.
func (m *Module) dataSet(id int) *dataSet {
	set := m.dataSets[id]
	if set == nil {
		if len(m.dataSets) >= m.maxDataSets() {
			m.forgetOldestDataSets()
		}
		set = &dataSet{requests: decayingMean{timeConstant: m.requestWork.timeConstant}}
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

// resetPreferences drops all preference lists, which are outdated, and the data sets without recent
// requests.
func (m *Module) resetPreferences() {
	for id, set := range m.dataSets {
		if set.preference = nil; m.now > set.requests.updatedAt+set.requests.timeConstant {
			delete(m.dataSets, id)
		}
	}
}
