package emulator

import (
	"fmt"
	"strings"

	"foxlane/internal/zones"
	"foxlane/rules"
)

// Books are what came of a run. Worth counts by the second in which a client first asked.
type Books struct {
	Refused      int // answers that promise that a retry is harmless
	Failed       int
	Unanswered   int // requests without a final answer in time
	Fallen       int // cold engines that were sent more than they bear
	ColdWorst    float64
	Sends        int
	Again        int // of these, further attempts
	Cross        int // of these, to another zone
	Dials        int // connections that attempts had to make
	Probes       int
	ShedSeconds  int // of gateways, in which the ladder shed some and let some in
	WrongSeconds int // of these, in which something was shed that earns more than what was let in
	Said         int // bytes among gateways
	Moves        int // states that zones have entered, over all gateways
	MovedAt      []Move
	Shed         int // of the refused, for the sake of what earns more
	Lost         [rules.StatusSuperseded + 1]int
	Seconds      []Second

	start   rules.Time
	zones   int
	classes []ClassBooks
}

// Second is what clients asked for in one second, and what came of it.
type Second struct {
	Offered, Worth, Late float64 // worth; Late is part of Worth

	Tried, Refused, Shed []int     // first tries, by what they earn for their told work (zones.WorthRung); Shed is part of Refused
	Foreign              []float64 // work that began in a zone for gateways of others, by zone, in core seconds
	Could                []float64 // and what the zone's engines could do in it
}

// Move is a state that a zone has entered at a gateway.
type Move struct {
	At rules.Time // since the start
	zones.Change
}

// ClassBooks are those of one class.
type ClassBooks struct {
	Asked, InTime, Late int
}

func (b *Books) at(t rules.Time) *Second {
	i := int((t - b.start) / rules.Second)
	for len(b.Seconds) <= i {
		b.Seconds = append(b.Seconds, Second{Tried: make([]int, worthRungs), Refused: make([]int, worthRungs), Shed: make([]int, worthRungs),
			Foreign: make([]float64, b.zones), Could: make([]float64, b.zones)})
	}
	return &b.Seconds[i]
}

func (b *Books) offer(a *ask, c rules.Class) {
	b.classes[a.class].Asked++
	b.at(a.at).Offered += c.PriorityWeight
}

func (b *Books) sent(g *gateway, a *attempt) {
	b.Sends++
	if a.index > 0 {
		b.Again++
	}
	if g.zone != a.engine.zone {
		b.Cross++
		b.at(g.f.now).Foreign[a.engine.zone] += a.request.work / float64(rules.Second)
	}
}

const worthRungs = 64 // more than zones.WorthRung tells

// first notes something of a first try that came at some time.
func (b *Books) first(at rules.Time, worth float64, a *ask, to func(*Second) []int) {
	if a.tries == 1 {
		to(b.at(at))[zones.ValueTier(worth, a.told)]++
	}
}

func tried(s *Second) []int   { return s.Tried }
func refused(s *Second) []int { return s.Refused }
func shed(s *Second) []int    { return s.Shed }

func (b *Books) move(now rules.Time, c zones.Change) {
	b.Moves++
	b.MovedAt = append(b.MovedAt, Move{now - b.start, c})
}

func (b *Books) served(r *request) {
	a := r.ask
	if a.done {
		return
	}
	a.done = true
	f := r.gateway.f
	c := r.class
	took := f.now + f.scene.Ways.Client - a.at
	s := b.at(a.at)
	if took <= c.LatencyObjective+rules.Time(c.ObjectiveStretch*a.work/float64(max(1, c.Threads))) {
		s.Worth += c.PriorityWeight
		b.classes[a.class].InTime++
		return
	}
	b.classes[a.class].Late++
	s.Worth += c.PriorityWeight * c.LateValue
	s.Late += c.PriorityWeight * c.LateValue
}

// Share is the part of the worth offered in the seconds from and before to, counted from the start, that
// was served.
func (b *Books) Share(from, to int) float64 {
	offered, worth := 0.0, 0.0
	for i := from; i < to && i < len(b.Seconds); i++ {
		offered += b.Seconds[i].Offered
		worth += b.Seconds[i].Worth
	}
	if offered == 0 {
		return 1
	}
	return worth / offered
}

// Class is what came of one class.
func (b *Books) Class(i int) ClassBooks { return b.classes[i] }

// String tells all on a few lines.
func (b *Books) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "share %.3f; %d sends, %d of them further ones, %d across zones, %d dials\n",
		b.Share(0, len(b.Seconds)), b.Sends, b.Again, b.Cross, b.Dials)
	fmt.Fprintf(&s, "%d refused, %d failed, %d unanswered; %d cold engines fell, at most %.2f of a budget spent\n",
		b.Refused, b.Failed, b.Unanswered, b.Fallen, b.ColdWorst)
	fmt.Fprintf(&s, "lost attempts: %d error, %d full, %d timeout, %d connect, %d reset, %d cancelled\n",
		b.Lost[rules.StatusError], b.Lost[rules.StatusRejected], b.Lost[rules.StatusTimeout],
		b.Lost[rules.StatusConnectFailed], b.Lost[rules.StatusReset], b.Lost[rules.StatusCancelled])
	for i, c := range b.classes {
		fmt.Fprintf(&s, "class %d: %d asked, %d in time, %d late\n", i, c.Asked, c.InTime, c.Late)
	}
	for i := 0; i < len(b.Seconds); i += 2 {
		fmt.Fprintf(&s, " %.2f", b.Share(i, i+2))
	}
	return s.String()
}
