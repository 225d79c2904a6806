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
	Overprovision   float64    // times that the capacity which is well counts: 1.4 keeps all of a zone's load in it until 0.71 is well
	PanicThreshold  float64    // part of all capacity that must be well, or health is not believed
	SpilloverLimit  float64    // part of a zone's warm capacity that load of other zones takes at most; 1: no limit
	RetryBudget     float64    // further attempts into a zone, over the first ones there; 1: no limit
	LostBelow       float64    // a zone fails when less than this part of it is well
	RecoverAbove    float64    // and is well again from this part on
	SettlingTime    rules.Time // how long either must last
	RecoveryRamp    rules.Time // of a return, from nothing to all
	RampJitter      float64    // part of the ramp by which gateways begin it apart
	DrainTime       rules.Time // of a drain, from all to nothing
	Damping         Damping
	Tiers           map[int][][]int // by zone: the zones that it prefers beyond itself, nearest first; the rest come last
	SheddingEnabled bool            // the ladder is climbed; without it nothing is refused for the sake of what earns more
	Shedding        SheddingSettings
}

// Damping keeps a zone that flaps away until it has been still (as route-flap damping, RFC 2439).
type Damping struct {
	Penalty        float64    // of each loss
	HalfLife       rules.Time // in which the sum of penalties halves
	SuppressAbove  float64    // sum from which the zone stays lost though it is well
	ReuseBelow     float64    // sum under which it may return
	MaxSuppression rules.Time // that a zone is kept away after it is well
}

// Defaults are those of a site that says nothing.
func Defaults() Settings {
	return Settings{
		Overprovision: 1.4, PanicThreshold: 0.5, SpilloverLimit: 1, RetryBudget: 1, LostBelow: 0.3, RecoverAbove: 0.7, SettlingTime: 500 * rules.Millisecond,
		RecoveryRamp: 15 * rules.Second, RampJitter: 0.2, DrainTime: 10 * rules.Second,
		Damping:  Damping{Penalty: 1, HalfLife: 15 * rules.Second, SuppressAbove: 2.5, ReuseBelow: 0.75, MaxSuppression: 60 * rules.Second},
		Shedding: DefaultShedding(),
	}
}

// Validate says what can't be used.
func (s Settings) Validate() error {
	switch {
	case !(s.Overprovision >= 1 && s.Overprovision <= 10):
		return fmt.Errorf("overprovision is %v, 1 to 10 is possible", s.Overprovision)
	case !(s.PanicThreshold >= 0 && s.PanicThreshold <= 1), !(s.SpilloverLimit >= 0 && s.SpilloverLimit <= 1), !(s.RampJitter >= 0 && s.RampJitter <= 1), !(s.RetryBudget >= 0 && s.RetryBudget <= 1):
		return errors.New("panic, spill, retries and jitter are parts: 0 to 1")
	case !(s.LostBelow > 0 && s.LostBelow < s.RecoverAbove && s.RecoverAbove <= 1):
		return fmt.Errorf("lost_below is %v and back_over %v: 0 < lost_below < back_over <= 1", s.LostBelow, s.RecoverAbove)
	case s.SettlingTime < 0, s.RecoveryRamp <= 0, s.DrainTime <= 0:
		return errors.New("ramp and drain must be over 0, settle at least 0")
	case !(s.Damping.Penalty >= 0), s.Damping.HalfLife <= 0, s.Damping.MaxSuppression < 0:
		return errors.New("damping: half_life must be over 0, penalty and longest at least 0")
	case !(s.Damping.ReuseBelow > 0 && s.Damping.ReuseBelow < s.Damping.SuppressAbove):
		return fmt.Errorf("damping: reuse is %v and suppress %v: 0 < reuse < suppress", s.Damping.ReuseBelow, s.Damping.SuppressAbove)
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
	return s.Shedding.validate()
}

// Observation is what a gateway sees of a zone, in cores.
type Observation struct {
	ListedCores     float64 // of all engines that the list has there, as if warm; 0: none
	UnansweredCores float64 // of these, in a zone that is lost, by the part of probes that nobody answered
	HealthyCores    float64 // of those that serve and neither fail nor are silent, as if warm
	WarmCores       float64 // the same, cold ones counted by what they can do now
	Slowdown        float64 // times that queries take there of what they take alone; under 1: not known
	ActiveEngines   int
	SilentEngines   int // engines that owe us answers and have said nothing for longer than a connect time-out
}

// unreachable answers whether all that we have out in a zone is silent, on more than one engine: the way there is cut, or
// all of it is gone. That is one failure, not one of each engine.
func (s Observation) unreachable() bool {
	return s.SilentEngines > 1 && s.SilentEngines == s.ActiveEngines
}

// healthyFraction is the part of a zone that is.
func (s Observation) healthyFraction() float64 {
	if s.ListedCores <= 0 || s.unreachable() {
		return 0
	}
	return min(s.HealthyCores/s.ListedCores, 1)
}

// zoneRecord is what is remembered of one.
type zoneRecord struct {
	state          State
	since          rules.Time // when the state was entered
	conditionSince rules.Time // since when what would end the state has been seen; 0: it is not
	rampFrom       float64    // the share at which a ramp or a drain began
	rampBegins     rules.Time // of the ramp, with our jitter
	penalty        float64
	penaltyAt      rules.Time // of the penalty
	damped         bool
	recovered      bool // while lost: it has been well again
	losses         int
	observation    Observation
	observed       bool
	usualCores     float64 // cores that were listed when most were
	usualCoresAt   rules.Time
	probes         probeState
	spillover      spilloverState
	retries        retryCounts
}

// Fleet is what a gateway is told of the fleet at its start.
type Fleet struct {
	Zones             int
	HasUnassignedZone bool // the last zone holds what belongs to none: nobody's clients are at home there
	OwnZone           int  // the gateway's zone
	Gateways          int  // of all zones
	Jitter            float64
	Classes           []rules.Class
	Tenants           []rules.Tenant
}

// gatewayZones are the zones that have gateways.
func (f Fleet) gatewayZones() int {
	if f.HasUnassignedZone {
		return max(f.Zones-1, 1)
	}
	return max(f.Zones, 1)
}

// Controller are the zones of one gateway. It is a rules.ZonePlan.
type Controller struct {
	settings     Settings
	fleet        Fleet
	ownZone      int
	jitter       float64
	zones        []zoneRecord
	now          rules.Time
	split        Split // of the last look
	shut         bool  // a draw found that limits keep a query waiting since the last look
	demand       demandState
	limitedSince rules.Time // since when something has been shed or kept waiting; 0: nothing is
	limitedLast  rules.Time // when something last was
	counts       Counts
}

// Counts are of what limits did since the start.
type Counts struct {
	Spillovers     int // queries sent to zones that are not ours
	Blocked        int // draws that found no zone with room
	Retries        int // further attempts
	RetriesBlocked int // of these, kept from a zone by its budget of retries
	Shed           [int(TierLowestValue) + 1]int
}

// New returns the zones of a gateway that has just started: all are taken for present until it sees otherwise, so
// that one which starts in the middle of a loss does as it would without zones. The fleet's jitter is a number from 0
// to 1 that differs from gateway to gateway.
func New(set Settings, fleet Fleet, now rules.Time) *Controller {
	fleet.Gateways = max(fleet.Gateways, 1)
	controller := &Controller{settings: set, fleet: fleet, ownZone: fleet.OwnZone, jitter: fleet.Jitter, zones: make([]zoneRecord, fleet.Zones), now: now,
		demand: newDemandState(fleet)}
	for i := range controller.zones {
		controller.zones[i].spillover.sent.Span = spilloverWindow
	}
	return controller
}

// Reconfigure goes over to other settings; states, ramps and penalties go on under them.
func (c *Controller) Reconfigure(set Settings) { c.settings = set }

// Change is a state that a zone has entered.
type Change struct {
	Zone     int
	From, To State
	Damped   bool // it is kept away because it flaps, whether it is well or not
}

// updateZones takes what a gateway sees of all zones, and returns which states have changed.
func (c *Controller) updateZones(now rules.Time, observations []Observation) (changes []Change) {
	c.now = max(c.now, now)
	for i := range c.zones {
		zone := &c.zones[i]
		if i < len(observations) {
			usual := c.usualCores(zone)
			zone.observation, zone.observed = observations[i], true
			zone.usualCores, zone.usualCoresAt = max(usual, observations[i].ListedCores), c.now
		}
		before, damped := zone.state, zone.damped
		c.updateState(zone)
		if zone.state != before || zone.damped != damped {
			changes = append(changes, Change{Zone: i, From: before, To: zone.state, Damped: zone.damped})
		}
	}
	return changes
}

// conditionLasted answers whether something has been so for the settling time.
func (c *Controller) conditionLasted(zone *zoneRecord, is bool) bool {
	if !is {
		zone.conditionSince = 0
		return false
	}
	if zone.conditionSince == 0 {
		zone.conditionSince = max(c.now, 1)
	}
	return c.now-zone.conditionSince >= c.settings.SettlingTime
}

func (c *Controller) enterState(zone *zoneRecord, s State) {
	zone.state, zone.since, zone.conditionSince = s, c.now, 0
}

// updateState moves one zone from state to state.
func (c *Controller) updateState(zone *zoneRecord) {
	if !zone.observed || zone.usualCores < minCores { // it never had an engine
		return
	}
	well := zone.observation.healthyFraction()
	switch zone.state {
	case Present, Returning:
		if well < c.settings.LostBelow {
			zone.rampFrom = c.loadShare(zone)
			c.enterState(zone, Failing)
			if zone.probes.unanswered >= unansweredForSilence { // it has lasted for as long as we have doubted
				zone.conditionSince = zone.probes.suspectedSince
			}
			c.updateState(zone)
		} else if zone.state == Returning && c.loadShare(zone) >= 1 {
			c.enterState(zone, Present)
		}
	case Failing:
		switch {
		case well >= c.settings.RecoverAbove && zone.rampFrom < 1:
			c.beginRamp(zone, zone.rampFrom)
		case well >= c.settings.RecoverAbove:
			c.enterState(zone, Present)
		case c.conditionLasted(zone, well < c.settings.LostBelow):
			c.markLost(zone)
		}
	case Lost:
		if zone.recovered && well < c.settings.LostBelow { // it flaps though it gets nothing
			c.addPenalty(zone)
		}
		zone.recovered = well >= c.settings.RecoverAbove || zone.recovered && well >= c.settings.LostBelow
		zone.damped = c.suppressed(zone)
		if c.conditionLasted(zone, well >= c.settings.RecoverAbove) && !zone.damped {
			c.beginRamp(zone, 0)
		}
	case Draining:
		if c.loadShare(zone) <= 0 {
			c.enterState(zone, Drained)
		}
	}
}

func (c *Controller) markLost(zone *zoneRecord) {
	c.addPenalty(zone)
	zone.recovered = false
	zone.losses++
	c.enterState(zone, Lost)
}

// addPenalty counts a loss. The sum stays where it fades to reuse within the longest time that a zone is kept away.
func (c *Controller) addPenalty(zone *zoneRecord) {
	d := c.settings.Damping
	most := d.ReuseBelow * math.Exp2(float64(d.MaxSuppression)/float64(d.HalfLife))
	zone.penalty, zone.penaltyAt = min(c.penalty(zone)+d.Penalty, most), c.now
}

// beginRamp begins the ramp of a return. Gateways that see it together begin apart, and each the later the larger the
// part of the fleet's ramp that the jitter is.
func (c *Controller) beginRamp(zone *zoneRecord, from float64) {
	zone.rampFrom, zone.rampBegins = from, c.now+rules.Time(c.jitter*c.settings.RampJitter*float64(c.settings.RecoveryRamp))
	zone.damped = false
	c.enterState(zone, Returning)
}

// penalty is the sum of penalties as it has faded until now.
func (c *Controller) penalty(zone *zoneRecord) float64 {
	return zone.penalty * math.Exp2(-float64(c.now-zone.penaltyAt)/float64(c.settings.Damping.HalfLife))
}

// suppressed answers whether a zone flaps too much to be used. Once it does, it is kept away until the penalty
// has faded to where it may be reused.
func (c *Controller) suppressed(zone *zoneRecord) bool {
	if zone.damped {
		return c.penalty(zone) > c.settings.Damping.ReuseBelow
	}
	return c.penalty(zone) >= c.settings.Damping.SuppressAbove
}

// loadShare is the part of its ordinary use that a zone has now.
func (c *Controller) loadShare(zone *zoneRecord) float64 {
	part := func(from rules.Time, over rules.Time) float64 {
		return min(max(float64(c.now-from)/float64(over), 0), 1)
	}
	switch zone.state {
	case Failing:
		return zone.rampFrom
	case Returning:
		return zone.rampFrom + (1-zone.rampFrom)*part(zone.rampBegins, c.settings.RecoveryRamp)
	case Draining:
		return zone.rampFrom * (1 - part(zone.since, c.settings.DrainTime))
	case Lost, Drained:
		return 0
	}
	return 1
}

// SetDraining begins or ends a drain on purpose. What comes back from one returns on the ramp.
func (c *Controller) SetDraining(now rules.Time, i int, on bool) {
	c.now = max(c.now, now)
	if i < 0 || i >= len(c.zones) {
		return
	}
	zone := &c.zones[i]
	drains := zone.state == Draining || zone.state == Drained
	switch {
	case on && !drains:
		zone.rampFrom = c.loadShare(zone)
		c.enterState(zone, Draining)
	case !on && drains:
		c.beginRamp(zone, c.loadShare(zone))
	}
}

// Status is what an operator hears of a zone.
type Status struct {
	State           State
	Since           rules.Time
	LoadShare       float64 // of its ordinary use
	HealthyFraction float64 // part of it
	Penalty         float64
	Damped          bool
	Losses          int
	TrafficFraction float64 // of the gateway's load that goes there
	SpilloverCores  float64 // cores of foreign load that the gateway may put there; under 0: no limit
}

// Status tells all zones.
func (c *Controller) Status(now rules.Time) []Status {
	c.now = max(c.now, now)
	out := make([]Status, len(c.zones))
	for i := range c.zones {
		zone := &c.zones[i]
		out[i] = Status{zone.state, zone.since, c.loadShare(zone), zone.observation.healthyFraction(), c.penalty(zone), zone.damped, zone.losses, 0, -1}
		if i < len(c.split.Fractions) {
			out[i].TrafficFraction = c.split.Fractions[i]
		}
		if c.spilloverLimited(i) {
			out[i].SpilloverCores = zone.spillover.allowance / float64(spilloverWindow)
		}
	}
	return out
}
