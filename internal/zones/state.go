package zones

import (
	"math"

	"foxlane/rules"
)

// This file owns the states of zones and the share of its usual load that a zone takes in each of them.

// State is the state of a zone.
type State int

// States of a zone. A zone goes Present -> Failing -> Lost -> Returning -> Present; from any of them
// an order to drain leads to Draining -> Drained, and its end to Returning.
const (
	Present   State = iota
	Failing         // too little of it is healthy; it counts as before until that has lasted
	Lost            // it gets probes only, by which its recovery is seen
	Returning       // its share rises on the recovery ramp
	Draining        // its share falls, by an order of the operator
	Drained         // it gets nothing, by an order of the operator
)

// String returns the name of a state as the log and `foxlane plan` have it.
func (s State) String() string {
	return [...]string{"present", "failing", "lost", "returning", "draining", "drained"}[s]
}

// zoneRecord is the state of one zone.
type zoneRecord struct {
	state          State
	since          rules.Time // when the state was entered
	conditionSince rules.Time // since when the condition that would end the state holds; 0: it does not
	rampFrom       float64    // the share at which a ramp or a drain began
	rampBegins     rules.Time // with the jitter of this gateway
	penalty        float64
	penaltyAt      rules.Time // when penalty was last brought up to date
	damped         bool
	recovered      bool // while lost: it has been healthy again
	losses         int
	observation    Observation
	observed       bool
	usualCores     float64 // cores that were listed when most were
	usualCoresAt   rules.Time
	probes         probeState
	spillover      spilloverState
	retries        retryCounts
}

// Change is a change of the state of a zone.
type Change struct {
	Zone     int
	From, To State
	Damped   bool // it is suppressed because it flaps, whether it is healthy or not
}

// updateZones takes what the gateway sees of all zones, and returns which states have changed.
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

// conditionLasted reports whether a condition has held for the settling time.
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
			if zone.probes.unanswered >= unansweredForSilence { // the condition holds since the suspicion began
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
		if zone.recovered && well < c.settings.LostBelow { // it flaps though it gets no requests
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

// addPenalty counts a loss. The sum is bounded so that it decays to ReuseBelow within MaxSuppression.
func (c *Controller) addPenalty(zone *zoneRecord) {
	d := c.settings.Damping
	most := d.ReuseBelow * math.Exp2(float64(d.MaxSuppression)/float64(d.HalfLife))
	zone.penalty, zone.penaltyAt = min(c.penalty(zone)+d.Penalty, most), c.now
}

// penalty is the sum of penalties, decayed until now.
func (c *Controller) penalty(zone *zoneRecord) float64 {
	return zone.penalty * math.Exp2(-float64(c.now-zone.penaltyAt)/float64(c.settings.Damping.HalfLife))
}

// suppressed reports whether a zone flaps too much to be used. Once it does, it stays suppressed until the penalty has
// decayed to ReuseBelow.
func (c *Controller) suppressed(zone *zoneRecord) bool {
	if zone.damped {
		return c.penalty(zone) > c.settings.Damping.ReuseBelow
	}
	return c.penalty(zone) >= c.settings.Damping.SuppressAbove
}

// beginRamp begins the recovery ramp. Gateways that see a recovery together begin apart, each by its own fraction of
// the jitter.
func (c *Controller) beginRamp(zone *zoneRecord, from float64) {
	zone.rampFrom, zone.rampBegins = from, c.now+rules.Time(c.jitter*c.settings.RampJitter*float64(c.settings.RecoveryRamp))
	zone.damped = false
	c.enterState(zone, Returning)
}

// loadShare is the fraction of its usual load that a zone takes now.
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

// SetDraining begins or ends a drain. A zone whose drain ends takes load again on the recovery ramp.
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
