package emulator

import (
	"fmt"
	"strings"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// Metrics are the results of a run. Values are in priority weight, and count in the second in which a client first
// sent its request.
type Metrics struct {
	Rejected          int     // requests answered with an error that promises that a retry is safe
	Failed            int     // requests answered with another error
	Unanswered        int     // requests without a final answer by their deadline
	OverloadCollapses int     // cold engines that got more work than they bear
	NotifiedCollapses int     // of these, those that got two thirds of it from gateways that had been notified of their start
	PeakColdBudget    float64 // largest part of its slow-start budget that a cold engine got
	Attempts          int
	Retries           int // of the attempts, those after a request's first
	CrossZone         int // of the attempts, those to another zone
	Dials             int // connections that were opened for attempts
	Probes            int
	SheddingSeconds   int // seconds of a gateway in which it shed some requests and admitted some
	MisorderedSeconds int // of these, seconds in which it shed requests of a higher value than some that it admitted
	GossipBytes       int // sent among gateways
	ZoneTransitions   int // states that zones have entered, over all gateways
	Transitions       []Transition
	Shed              int          // of the rejected requests, those shed in favour of requests of a higher value
	TimesToShare      []rules.Time // from an engine's start until it had got as much work as its cores do in a second
	LostAttempts      [rules.StatusSuperseded + 1]int
	Seconds           []Second

	start   rules.Time
	zones   int
	classes []ClassMetrics
}

// Second is what clients requested in one second, and the results.
type Second struct {
	Offered, Served, ServedLate float64 // ServedLate is part of Served

	FirstTries, Rejected, Shed []int     // first tries by their value for the declared work (zones.ValueTier); Shed is part of Rejected
	CrossZoneWork              []float64 // work that began in a zone for gateways of other zones, by zone, in core seconds
	Capacity                   []float64 // work that a zone's engines could do, by zone, in core seconds
}

// Transition is a state that a zone has entered at a gateway.
type Transition struct {
	At rules.Time // since the start
	zones.Change
}

// ClassMetrics are the results of one class.
type ClassMetrics struct {
	Requested, InTime, Late int
}

// valueTiers is more than the number of tiers that zones.ValueTier returns.
const valueTiers = 64

// second returns the second that a time is in.
func (m *Metrics) second(t rules.Time) *Second {
	i := int((t - m.start) / rules.Second)
	for len(m.Seconds) <= i {
		m.Seconds = append(m.Seconds, Second{FirstTries: make([]int, valueTiers), Rejected: make([]int, valueTiers), Shed: make([]int, valueTiers),
			CrossZoneWork: make([]float64, m.zones), Capacity: make([]float64, m.zones)})
	}
	return &m.Seconds[i]
}

func (m *Metrics) recordRequest(r *clientRequest, c rules.Class) {
	m.classes[r.class].Requested++
	m.second(r.startedAt).Offered += c.PriorityWeight
}

func (m *Metrics) recordAttempt(g *gateway, a *attempt) {
	m.Attempts++
	if a.index > 0 {
		m.Retries++
	}
	if g.zone != a.engine.zone {
		m.CrossZone++
		m.second(g.fleet.now).CrossZoneWork[a.engine.zone] += a.request.work / float64(rules.Second)
	}
}

// recordFirstTry counts a request in one of its second's counters by value, if it is its client's first try.
func (m *Metrics) recordFirstTry(r *request, counter func(*Second) []int) {
	if r.origin.tries == 1 {
		counter(m.second(r.arrivedAt))[zones.ValueTier(r.class.PriorityWeight, r.origin.declaredWork)]++
	}
}

func firstTries(s *Second) []int    { return s.FirstTries }
func rejectedTries(s *Second) []int { return s.Rejected }
func shedTries(s *Second) []int     { return s.Shed }

func (m *Metrics) recordTransition(now rules.Time, c zones.Change) {
	m.ZoneTransitions++
	m.Transitions = append(m.Transitions, Transition{now - m.start, c})
}

// recordServed counts the value of a request that was served: the class's weight if it is within the latency
// objective, a part of it if it is late. A client's request counts once, whichever of its tries is served first.
func (m *Metrics) recordServed(r *request) {
	origin := r.origin
	if origin.done {
		return
	}
	origin.done = true
	f := r.gateway.fleet
	c := r.class
	latency := f.now + f.scenario.Network.Client - origin.startedAt
	s := m.second(origin.startedAt)
	if latency <= c.LatencyObjective+rules.Time(c.ObjectiveStretch*origin.work/float64(max(1, c.Threads))) {
		s.Served += c.PriorityWeight
		m.classes[origin.class].InTime++
		return
	}
	m.classes[origin.class].Late++
	s.Served += c.PriorityWeight * c.LateValue
	s.ServedLate += c.PriorityWeight * c.LateValue
}

// ServedShare is the part of the value offered in the seconds from from to before to, counted from the start, that was
// served. It is 1 if nothing was offered.
func (m *Metrics) ServedShare(from, to int) float64 {
	offered, served := 0.0, 0.0
	for i := from; i < to && i < len(m.Seconds); i++ {
		offered += m.Seconds[i].Offered
		served += m.Seconds[i].Served
	}
	if offered == 0 {
		return 1
	}
	return served / offered
}

// Class returns the results of one class.
func (m *Metrics) Class(i int) ClassMetrics { return m.classes[i] }

// String returns the totals on a few lines, then the served share by pairs of seconds.
func (m *Metrics) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "share %.3f; %d attempts, %d of them retries, %d across zones, %d dials\n",
		m.ServedShare(0, len(m.Seconds)), m.Attempts, m.Retries, m.CrossZone, m.Dials)
	fmt.Fprintf(&s, "%d rejected, %d failed, %d unanswered; %d cold engines collapsed, at most %.2f of a budget used\n",
		m.Rejected, m.Failed, m.Unanswered, m.OverloadCollapses, m.PeakColdBudget)
	fmt.Fprintf(&s, "lost attempts: %d error, %d full, %d timeout, %d connect, %d reset, %d cancelled\n",
		m.LostAttempts[rules.StatusError], m.LostAttempts[rules.StatusRejected], m.LostAttempts[rules.StatusTimeout],
		m.LostAttempts[rules.StatusConnectFailed], m.LostAttempts[rules.StatusReset], m.LostAttempts[rules.StatusCancelled])
	for i, c := range m.classes {
		fmt.Fprintf(&s, "class %d: %d requested, %d in time, %d late\n", i, c.Requested, c.InTime, c.Late)
	}
	for i := 0; i < len(m.Seconds); i += 2 {
		fmt.Fprintf(&s, " %.2f", m.ServedShare(i, i+2))
	}
	return s.String()
}
