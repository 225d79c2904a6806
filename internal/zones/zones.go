// Package zones decides, for one gateway, what becomes of the load of a zone (a site, a hall: its engines and
// its gateways) that fails, is lost, comes back or is drained: which state each zone is in, how much of its
// ordinary use it has now, where queries go instead, how much of a zone foreign load may take, and what is
// refused first. Every gateway decides from its own traffic and list alone, and hundreds of them decide alike:
// what they do at the same time is spread by a jitter of their own and paced in parts of warm capacity.
//
// Look takes what a gateway holds of its engines, every while; Draw, Open and Sent are the decision module's questions
// (rules.ZonePlan); Arrive is asked ahead of it.
//
// It owns the state of zones only. It must never pick an engine, hold a query, look at a clock or draw at
// random: time and what is drawn are arguments, and the gateway's jitter is given at the start.
package zones

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"foxlane/rules"
)

// State is that of a zone.
type State int

// States of a zone.
const (
	Present   State = iota
	Failing         // too little of it is well; it counts as before until that has lasted
	Lost            // it gets a trickle only, by which its return is seen
	Returning       // its share rises
	Draining        // its share falls, on purpose
	Drained         // it gets nothing, on purpose
)

func (s State) String() string {
	return [...]string{"present", "failing", "lost", "returning", "draining", "drained"}[s]
}

// Settings are the operator's. Parts are of 1.
type Settings struct {
	Overprovision float64    // times that the capacity which is well counts: 1.4 keeps all of a zone's load in it until 0.71 is well
	Panic         float64    // part of all capacity that must be well, or health is not believed
	Spill         float64    // part of a zone's warm capacity that load of other zones takes at most; 1: no limit
	Retries       float64    // further attempts into a zone, over the first ones there; 1: no limit
	LostBelow     float64    // a zone fails when less than this part of it is well
	BackOver      float64    // and is well again from this part on
	Settle        rules.Time // how long either must last
	Ramp          rules.Time // of a return, from nothing to all
	Jitter        float64    // part of the ramp by which gateways begin it apart
	Drain         rules.Time // of a drain, from all to nothing
	Damping       Damping
	Tiers         map[int][][]int // by zone: the zones that it prefers beyond itself, nearest first; the rest come last
	Shed          bool            // the ladder is climbed; without it nothing is refused for the sake of what earns more
	Ladder        Ladder
}

// Damping keeps a zone that flaps away until it has been still (as route-flap damping, RFC 2439).
type Damping struct {
	Penalty  float64    // of each loss
	HalfLife rules.Time // in which the sum of penalties halves
	Suppress float64    // sum from which the zone stays lost though it is well
	Reuse    float64    // sum under which it may return
	Longest  rules.Time // that a zone is kept away after it is well
}

// Defaults are those of a site that says nothing.
func Defaults() Settings {
	return Settings{
		Overprovision: 1.4, Panic: 0.5, Spill: 1, Retries: 1, LostBelow: 0.3, BackOver: 0.7, Settle: 500 * rules.Millisecond,
		Ramp: 15 * rules.Second, Jitter: 0.2, Drain: 10 * rules.Second,
		Damping: Damping{Penalty: 1, HalfLife: 15 * rules.Second, Suppress: 2.5, Reuse: 0.75, Longest: 60 * rules.Second},
		Ladder:  DefaultLadder(),
	}
}

// Validate says what can't be used.
func (s Settings) Validate() error {
	switch {
	case !(s.Overprovision >= 1 && s.Overprovision <= 10):
		return fmt.Errorf("overprovision is %v, 1 to 10 is possible", s.Overprovision)
	case !(s.Panic >= 0 && s.Panic <= 1), !(s.Spill >= 0 && s.Spill <= 1), !(s.Jitter >= 0 && s.Jitter <= 1), !(s.Retries >= 0 && s.Retries <= 1):
		return errors.New("panic, spill, retries and jitter are parts: 0 to 1")
	case !(s.LostBelow > 0 && s.LostBelow < s.BackOver && s.BackOver <= 1):
		return fmt.Errorf("lost_below is %v and back_over %v: 0 < lost_below < back_over <= 1", s.LostBelow, s.BackOver)
	case s.Settle < 0, s.Ramp <= 0, s.Drain <= 0:
		return errors.New("ramp and drain must be over 0, settle at least 0")
	case !(s.Damping.Penalty >= 0), s.Damping.HalfLife <= 0, s.Damping.Longest < 0:
		return errors.New("damping: half_life must be over 0, penalty and longest at least 0")
	case !(s.Damping.Reuse > 0 && s.Damping.Reuse < s.Damping.Suppress):
		return fmt.Errorf("damping: reuse is %v and suppress %v: 0 < reuse < suppress", s.Damping.Reuse, s.Damping.Suppress)
	}
	for from, tiers := range s.Tiers {
		seen := []int{from}
		for _, t := range tiers {
			for _, z := range t {
				if slices.Contains(seen, z) {
					return fmt.Errorf("tiers: a zone comes twice for zone %d", from)
				}
				seen = append(seen, z)
			}
		}
	}
	return s.Ladder.validate()
}

// Sight is what a gateway sees of a zone, in cores.
type Sight struct {
	Listed  float64 // of all engines that the list has there, as if warm; 0: none
	Dead    float64 // of these, in a zone that is lost, by the part of probes that nobody answered
	Well    float64 // of those that serve and neither fail nor are silent, as if warm
	Warm    float64 // the same, cold ones counted by what they can do now
	Slow    float64 // times that queries take there of what they take alone; under 1: not known
	Engines int
	Silent  int // engines that owe us answers and have said nothing for longer than a connect time-out
}

// cut answers whether all that we have out in a zone is silent, on more than one engine: the way there is cut, or
// all of it is gone. That is one failure, not one of each engine.
func (s Sight) cut() bool { return s.Silent > 1 && s.Silent == s.Engines }

// well is the part of a zone that is.
func (s Sight) well() float64 {
	if s.Listed <= 0 || s.cut() {
		return 0
	}
	return min(s.Well/s.Listed, 1)
}

// zone is what is remembered of one.
type zone struct {
	state   State
	since   rules.Time // when the state was entered
	turning rules.Time // since when what would end the state has been seen; 0: it is not
	from    float64    // the share at which a ramp or a drain began
	begins  rules.Time // of the ramp, with our jitter
	penalty float64
	at      rules.Time // of the penalty
	damped  bool
	up      bool // while lost: it has been well again
	losses  int
	sight   Sight
	seen    bool
	usual   float64 // cores that were listed when most were
	usualAt rules.Time
	look    look
	spill   spill
	retries retries
}

// Fleet is what a gateway is told of the fleet at its start.
type Fleet struct {
	Zones     int
	Elsewhere bool // the last zone holds what belongs to none: nobody's clients are at home there
	Own       int  // the gateway's zone
	Gateways  int  // of all zones
	Jitter    float64
	Classes   []rules.Class
	Tenants   []rules.Tenant
}

// homes are the zones that have gateways.
func (f Fleet) homes() int {
	if f.Elsewhere {
		return max(f.Zones-1, 1)
	}
	return max(f.Zones, 1)
}

// Zones are the zones of one gateway. It is a rules.ZonePlan.
type Zones struct {
	set    Settings
	fleet  Fleet
	own    int
	jitter float64
	all    []zone
	now    rules.Time
	split  Split // of the last look
	shut   bool  // a draw found that limits keep a query waiting since the last look
	demand demand
	since  rules.Time // since when something has been shed or kept waiting; 0: nothing is
	last   rules.Time // when something last was
	count  Counts
}

// Counts are of what limits did since the start.
type Counts struct {
	Spilled int // queries sent to zones that are not ours
	Waited  int // draws that found no zone with room
	Further int // further attempts
	Spent   int // of these, kept from a zone by its budget of retries
	Shed    [int(Cheap) + 1]int
}

// New returns the zones of a gateway that has just started: all are taken for present until it sees otherwise, so
// that one which starts in the middle of a loss does as it would without zones. The fleet's jitter is a number from 0
// to 1 that differs from gateway to gateway.
func New(set Settings, fleet Fleet, now rules.Time) *Zones {
	fleet.Gateways = max(fleet.Gateways, 1)
	z := &Zones{set: set, fleet: fleet, own: fleet.Own, jitter: fleet.Jitter, all: make([]zone, fleet.Zones), now: now,
		demand: newDemand(fleet)}
	for i := range z.all {
		z.all[i].spill.sent.Span = spillSpan
	}
	return z
}

// Retune goes over to other settings; states, ramps and penalties go on under them.
func (z *Zones) Retune(set Settings) { z.set = set }

// Change is a state that a zone has entered.
type Change struct {
	Zone     int
	From, To State
	Damped   bool // it is kept away because it flaps, whether it is well or not
}

// see takes what a gateway sees of all zones, and returns which states have changed.
func (z *Zones) see(now rules.Time, sights []Sight) (changes []Change) {
	z.now = max(z.now, now)
	for i := range z.all {
		e := &z.all[i]
		if i < len(sights) {
			usual := z.usual(e)
			e.sight, e.seen = sights[i], true
			e.usual, e.usualAt = max(usual, sights[i].Listed), z.now
		}
		before, damped := e.state, e.damped
		z.turn(e)
		if e.state != before || e.damped != damped {
			changes = append(changes, Change{Zone: i, From: before, To: e.state, Damped: e.damped})
		}
	}
	return changes
}

// lasted answers whether something has been so for the settling time.
func (z *Zones) lasted(e *zone, is bool) bool {
	if !is {
		e.turning = 0
		return false
	}
	if e.turning == 0 {
		e.turning = max(z.now, 1)
	}
	return z.now-e.turning >= z.set.Settle
}

func (z *Zones) enter(e *zone, s State) {
	e.state, e.since, e.turning = s, z.now, 0
}

// turn moves one zone from state to state.
func (z *Zones) turn(e *zone) {
	if !e.seen || e.usual < leastCores { // it never had an engine
		return
	}
	well := e.sight.well()
	switch e.state {
	case Present, Returning:
		if well < z.set.LostBelow {
			e.from = z.share(e)
			z.enter(e, Failing)
			if e.look.failed >= doubtFails { // it has lasted for as long as we have doubted
				e.turning = e.look.doubt
			}
			z.turn(e)
		} else if e.state == Returning && z.share(e) >= 1 {
			z.enter(e, Present)
		}
	case Failing:
		switch {
		case well >= z.set.BackOver && e.from < 1:
			z.back(e, e.from)
		case well >= z.set.BackOver:
			z.enter(e, Present)
		case z.lasted(e, well < z.set.LostBelow):
			z.lose(e)
		}
	case Lost:
		if e.up && well < z.set.LostBelow { // it flaps though it gets nothing
			z.punish(e)
		}
		e.up = well >= z.set.BackOver || e.up && well >= z.set.LostBelow
		e.damped = z.suppressed(e)
		if z.lasted(e, well >= z.set.BackOver) && !e.damped {
			z.back(e, 0)
		}
	case Draining:
		if z.share(e) <= 0 {
			z.enter(e, Drained)
		}
	}
}

func (z *Zones) lose(e *zone) {
	z.punish(e)
	e.up = false
	e.losses++
	z.enter(e, Lost)
}

// punish counts a loss. The sum stays where it fades to reuse within the longest time that a zone is kept away.
func (z *Zones) punish(e *zone) {
	d := z.set.Damping
	most := d.Reuse * math.Exp2(float64(d.Longest)/float64(d.HalfLife))
	e.penalty, e.at = min(z.penalty(e)+d.Penalty, most), z.now
}

// back begins the ramp of a return. Gateways that see it together begin apart, and each the later the larger the
// part of the fleet's ramp that the jitter is.
func (z *Zones) back(e *zone, from float64) {
	e.from, e.begins = from, z.now+rules.Time(z.jitter*z.set.Jitter*float64(z.set.Ramp))
	e.damped = false
	z.enter(e, Returning)
}

// penalty is the sum of penalties as it has faded until now.
func (z *Zones) penalty(e *zone) float64 {
	return e.penalty * math.Exp2(-float64(z.now-e.at)/float64(z.set.Damping.HalfLife))
}

// suppressed answers whether a zone flaps too much to be used. Once it does, it is kept away until the penalty
// has faded to where it may be reused.
func (z *Zones) suppressed(e *zone) bool {
	if e.damped {
		return z.penalty(e) > z.set.Damping.Reuse
	}
	return z.penalty(e) >= z.set.Damping.Suppress
}

// share is the part of its ordinary use that a zone has now.
func (z *Zones) share(e *zone) float64 {
	part := func(from rules.Time, over rules.Time) float64 {
		return min(max(float64(z.now-from)/float64(over), 0), 1)
	}
	switch e.state {
	case Failing:
		return e.from
	case Returning:
		return e.from + (1-e.from)*part(e.begins, z.set.Ramp)
	case Draining:
		return e.from * (1 - part(e.since, z.set.Drain))
	case Lost, Drained:
		return 0
	}
	return 1
}

// DrainZone begins or ends a drain on purpose. What comes back from one returns on the ramp.
func (z *Zones) DrainZone(now rules.Time, i int, on bool) {
	z.now = max(z.now, now)
	if i < 0 || i >= len(z.all) {
		return
	}
	e := &z.all[i]
	drains := e.state == Draining || e.state == Drained
	switch {
	case on && !drains:
		e.from = z.share(e)
		z.enter(e, Draining)
	case !on && drains:
		z.back(e, z.share(e))
	}
}

// Status is what an operator hears of a zone.
type Status struct {
	State   State
	Since   rules.Time
	Share   float64 // of its ordinary use
	Well    float64 // part of it
	Penalty float64
	Damped  bool
	Losses  int
	Part    float64 // of the gateway's load that goes there
	Limit   float64 // cores of foreign load that the gateway may put there; under 0: no limit
}

// Status tells all zones.
func (z *Zones) Status(now rules.Time) []Status {
	z.now = max(z.now, now)
	out := make([]Status, len(z.all))
	for i := range z.all {
		e := &z.all[i]
		out[i] = Status{e.state, e.since, z.share(e), e.sight.well(), z.penalty(e), e.damped, e.losses, 0, -1}
		if i < len(z.split.To) {
			out[i].Part = z.split.To[i]
		}
		if z.limited(i) {
			out[i].Limit = e.spill.whole / float64(spillSpan)
		}
	}
	return out
}
