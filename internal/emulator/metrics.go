package emulator

import (
	"fmt"
	"strings"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// Metrics are what came of a run. Worth counts by the second in which a client first asked.
type Metrics struct {
	Rejected          int // answers that promise that a retry is harmless
	Failed            int
	Unanswered        int // requests without a final answer in time
	OverloadCollapses int // cold engines that were sent more than they bear
	PeakColdBudget    float64
	Attempts          int
	Retries           int // of these, further attempts
	CrossZone         int // of these, to another zone
	Dials             int // connections that attempts had to make
	Probes            int
	SheddingSeconds   int // of gateways, in which the ladder shed some and let some in
	MisorderedSeconds int // of these, in which something was shed that earns more than what was let in
	GossipBytes       int // bytes among gateways
	ZoneTransitions   int // states that zones have entered, over all gateways
	Transitions       []Transition
	Shed              int // of the refused, for the sake of what earns more
	LostAttempts      [rules.StatusSuperseded + 1]int
	Seconds           []Second

	start   rules.Time
	zones   int
	classes []ClassMetrics
}

// Second is what clients asked for in one second, and what came of it.
type Second struct {
	Offered, Served, ServedLate float64 // worth; Late is part of Worth

	FirstTries, Rejected, Shed []int     // first tries, by what they earn for their told work (zones.WorthRung); Shed is part of Refused
	CrossZoneWork              []float64 // work that began in a zone for gateways of others, by zone, in core seconds
	Capacity                   []float64 // and what the zone's engines could do in it
}

// Transition is a state that a zone has entered at a gateway.
type Transition struct {
	At rules.Time // since the start
	zones.Change
}

// ClassMetrics are those of one class.
type ClassMetrics struct {
	Requested, InTime, Late int
}

func (b *Metrics) second(t rules.Time) *Second {
	i := int((t - b.start) / rules.Second)
	for len(b.Seconds) <= i {
		b.Seconds = append(b.Seconds, Second{FirstTries: make([]int, valueTiers), Rejected: make([]int, valueTiers), Shed: make([]int, valueTiers),
			CrossZoneWork: make([]float64, b.zones), Capacity: make([]float64, b.zones)})
	}
	return &b.Seconds[i]
}

func (b *Metrics) recordRequest(a *clientRequest, c rules.Class) {
	b.classes[a.class].Requested++
	b.second(a.startedAt).Offered += c.PriorityWeight
}

func (b *Metrics) recordAttempt(g *gateway, a *attempt) {
	b.Attempts++
	if a.index > 0 {
		b.Retries++
	}
	if g.zone != a.engine.zone {
		b.CrossZone++
		b.second(g.fleet.now).CrossZoneWork[a.engine.zone] += a.request.work / float64(rules.Second)
	}
}

const valueTiers = 64 // more than zones.WorthRung tells

// recordFirstTry notes something of a first try that came at some time.
func (b *Metrics) recordFirstTry(at rules.Time, worth float64, a *clientRequest, to func(*Second) []int) {
	if a.tries == 1 {
		to(b.second(at))[zones.ValueTier(worth, a.declaredWork)]++
	}
}

func firstTries(s *Second) []int    { return s.FirstTries }
func rejectedTries(s *Second) []int { return s.Rejected }
func shedTries(s *Second) []int     { return s.Shed }

func (b *Metrics) recordTransition(now rules.Time, c zones.Change) {
	b.ZoneTransitions++
	b.Transitions = append(b.Transitions, Transition{now - b.start, c})
}

func (b *Metrics) recordServed(r *request) {
	a := r.origin
	if a.done {
		return
	}
	a.done = true
	f := r.gateway.fleet
	c := r.class
	took := f.now + f.scenario.Network.Client - a.startedAt
	s := b.second(a.startedAt)
	if took <= c.LatencyObjective+rules.Time(c.ObjectiveStretch*a.work/float64(max(1, c.Threads))) {
		s.Served += c.PriorityWeight
		b.classes[a.class].InTime++
		return
	}
	b.classes[a.class].Late++
	s.Served += c.PriorityWeight * c.LateValue
	s.ServedLate += c.PriorityWeight * c.LateValue
}

// ServedShare is the part of the worth offered in the seconds from and before to, counted from the start, that
// was served.
func (b *Metrics) ServedShare(from, to int) float64 {
	offered, worth := 0.0, 0.0
	for i := from; i < to && i < len(b.Seconds); i++ {
		offered += b.Seconds[i].Offered
		worth += b.Seconds[i].Served
	}
	if offered == 0 {
		return 1
	}
	return worth / offered
}

// Class is what came of one class.
func (b *Metrics) Class(i int) ClassMetrics { return b.classes[i] }

// String tells all on a few lines.
func (b *Metrics) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "share %.3f; %d sends, %d of them further ones, %d across zones, %d dials\n",
		b.ServedShare(0, len(b.Seconds)), b.Attempts, b.Retries, b.CrossZone, b.Dials)
	fmt.Fprintf(&s, "%d refused, %d failed, %d unanswered; %d cold engines fell, at most %.2f of a budget spent\n",
		b.Rejected, b.Failed, b.Unanswered, b.OverloadCollapses, b.PeakColdBudget)
	fmt.Fprintf(&s, "lost attempts: %d error, %d full, %d timeout, %d connect, %d reset, %d cancelled\n",
		b.LostAttempts[rules.StatusError], b.LostAttempts[rules.StatusRejected], b.LostAttempts[rules.StatusTimeout],
		b.LostAttempts[rules.StatusConnectFailed], b.LostAttempts[rules.StatusReset], b.LostAttempts[rules.StatusCancelled])
	for i, c := range b.classes {
		fmt.Fprintf(&s, "class %d: %d asked, %d in time, %d late\n", i, c.Requested, c.InTime, c.Late)
	}
	for i := 0; i < len(b.Seconds); i += 2 {
		fmt.Fprintf(&s, " %.2f", b.ServedShare(i, i+2))
	}
	return s.String()
}
