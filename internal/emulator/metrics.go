package emulator

import (
	"fmt"
	"strings"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// Metrics are the results of a run. Offered and served values are sums of priority weights, and count in the second in
// which a client first sent its request.
type Metrics struct {
	Rejected            int     // requests answered with an error after which a retry is safe
	Failed              int     // requests answered with another error
	Unanswered          int     // requests without a final answer by their deadline
	OverloadCollapses   int     // cold engines that collapsed because they exceeded their slow-start budget
	NotifiedCollapses   int     // of these, with at least two thirds of the work from gateways notified of the start
	PeakSlowStartBudget float64 // maximum fraction of its slow-start budget that a cold engine received
	Attempts            int
	Retries             int // attempts after the first of a request
	CrossZone           int // attempts at engines of another zone
	Dials               int // connections opened for attempts
	Probes              int
	SheddingSeconds     int // seconds in which a gateway shed some requests and admitted others, summed over the gateways
	MisorderedSeconds   int // of these, seconds in which it shed a higher value tier than one that it admitted
	GossipBytes         int // sent between gateways
	ZoneTransitions     int // state changes of zones, summed over the gateways
	Transitions         []Transition
	Shed                int // of the rejected requests, those shed in favour of requests of a higher value
	// RampUpTimes are the times from an engine's start until it had received the work that its cores do in one second.
	RampUpTimes  []rules.Time
	LostAttempts [rules.StatusNotExecuted + 1]int // attempts without a successful response, by status
	Seconds      []Second

	start   rules.Time
	zones   int
	classes []ClassMetrics
}

// Second holds the requests of one second and their results.
type Second struct {
	Offered, Served, ServedLate float64 // ServedLate is part of Served

	// FirstTries, Rejected and Shed count first tries by the value tier of the declared work (zones.ValueTier). Rejected
	// includes Shed.
	FirstTries, Rejected, Shed []int
	CrossZoneWork              []float64 // work sent to a zone by gateways of other zones, by zone, in core seconds
	Capacity                   []float64 // work that the engines of a zone could do, by zone, in core seconds
}

// Transition is a change of a zone's state at a gateway.
type Transition struct {
	At rules.Time // since the start of the run
	zones.Change
}

// ClassMetrics counts the client requests of one class: all, served within the latency objective, and served late.
type ClassMetrics struct {
	Requested, InTime, Late int
}

// maxValueTiers exceeds the number of tiers that zones.ValueTier returns.
const maxValueTiers = 64

// second returns the metrics of the second that contains t.
func (m *Metrics) second(t rules.Time) *Second {
	i := int((t - m.start) / rules.Second)
	for len(m.Seconds) <= i {
		m.Seconds = append(m.Seconds, Second{FirstTries: make([]int, maxValueTiers), Rejected: make([]int, maxValueTiers), Shed: make([]int, maxValueTiers),
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

// recordFirstTry counts a request by value tier in a counter of its second, if it is its client's first try.
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

// recordServed counts the value of a served request: the priority weight of its class if the latency objective is met,
// LateValue times that weight if it is late. A client's request counts once, with the try that is served first.
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

// ServedShare returns the served fraction of the value offered in the seconds [from, to) since the start, or 1 if
// nothing was offered.
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

// Class returns the results of the class with index i.
func (m *Metrics) Class(i int) ClassMetrics { return m.classes[i] }

// String returns the totals on a few lines, followed by the served share of each two seconds.
func (m *Metrics) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "share %.3f; %d attempts, %d of them retries, %d across zones, %d dials\n",
		m.ServedShare(0, len(m.Seconds)), m.Attempts, m.Retries, m.CrossZone, m.Dials)
	fmt.Fprintf(&s, "%d rejected, %d failed, %d unanswered; %d cold engines collapsed, at most %.2f of a budget used\n",
		m.Rejected, m.Failed, m.Unanswered, m.OverloadCollapses, m.PeakSlowStartBudget)
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
