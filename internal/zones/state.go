package zones

import (
	"math"

	"foxlane/rules"
)

// This file owns the states of zones and the share of its normal load that a zone receives in each state.

// State is the state of a zone.
type State int

// States of a zone. With a loss and a recovery they are Present -> Failing -> Lost -> Returning -> Present. An
// operator's drain leads from any of these to Draining -> Drained; when it is lifted, the zone enters Returning.
const (
	Present   State = iota
	Failing         // too little is healthy; the zone keeps its share until that has lasted for the settling time
	Lost            // the zone gets probes only, which detect its recovery
	Returning       // the share rises on the recovery ramp
	Draining        // the share falls to 0, as the operator ordered
	Drained         // the zone gets no load, as the operator ordered
)

// String returns the name of the state as it is logged and printed by `foxlane plan`.
func (s State) String() string {
	return [...]string{"present", "failing", "lost", "returning", "draining", "drained"}[s]
}

// zoneRecord is the state of one zone.
type zoneRecord struct {
	state            State
	since            rules.Time // when the state was entered
	conditionSince   rules.Time // since when the condition that would end the state holds; 0: it does not hold
	rampStartShare   float64    // share at the start of the ramp or drain
	rampStartsAt     rules.Time // including the jitter of this gateway
	penalty          float64    // sum of flap penalties at penaltyUpdatedAt
	penaltyUpdatedAt rules.Time
	damped           bool
	recovered        bool // in state Lost: the zone has been healthy again
	losses           int
	observation      Observation
	observed         bool    // observation is set
	nominalCores     float64 // decaying peak of the listed cores, as of nominalCoresAt
	nominalCoresAt   rules.Time
	probes           probeState
	spillover        spilloverState
	retries          retryCounts
}

// Change reports that the state of a zone, or its damping, has changed.
type Change struct {
	Zone     int
	From, To State
	Damped   bool // the zone is suppressed because it flaps, even if it is healthy
}

// updateZones takes the observations of all zones and returns the changes of their states.
func (c *Controller) updateZones(now rules.Time, observations []Observation) (changes []Change) {
	c.now = max(c.now, now)
	for i := range c.zones {
		zone := &c.zones[i]
		if i < len(observations) {
			nominal := c.nominalCores(zone)
			zone.observation, zone.observed = observations[i], true
			zone.nominalCores, zone.nominalCoresAt = max(nominal, observations[i].ListedCores), c.now
		}
		stateBefore, dampedBefore := zone.state, zone.damped
		c.updateState(zone)
		if zone.state != stateBefore || zone.damped != dampedBefore {
			changes = append(changes, Change{Zone: i, From: stateBefore, To: zone.state, Damped: zone.damped})
		}
	}
	return changes
}

// conditionLasted reports whether a condition has held for the settling time. It must be called with the current value
// of the condition on each update.
func (c *Controller) conditionLasted(zone *zoneRecord, holds bool) bool {
	if !holds {
		zone.conditionSince = 0
		return false
	}
	if zone.conditionSince == 0 {
		zone.conditionSince = max(c.now, 1)
	}
	return c.now-zone.conditionSince >= c.settings.SettlingTime
}

func (c *Controller) enterState(zone *zoneRecord, state State) {
	zone.state, zone.since, zone.conditionSince = state, c.now, 0
}

// updateState applies the state transitions of one zone.
func (c *Controller) updateState(zone *zoneRecord) {
	if !zone.observed || zone.nominalCores < minCores { // the zone never had an engine
		return
	}
	healthy := zone.observation.healthyFraction()
	switch zone.state {
	case Present, Returning:
		if healthy < c.settings.LostBelow {
			zone.rampStartShare = c.loadShare(zone)
			c.enterState(zone, Failing)
			if zone.probes.unanswered >= unansweredForSilence { // the failure dates from the start of the suspicion
				zone.conditionSince = zone.probes.suspectedSince
			}
			c.updateState(zone)
		} else if zone.state == Returning && c.loadShare(zone) >= 1 {
			c.enterState(zone, Present)
		}
	case Failing:
		switch {
		case healthy >= c.settings.RecoverAbove && zone.rampStartShare < 1:
			c.startRamp(zone, zone.rampStartShare)
		case healthy >= c.settings.RecoverAbove:
			c.enterState(zone, Present)
		case c.conditionLasted(zone, healthy < c.settings.LostBelow):
			c.markLost(zone)
		}
	case Lost:
		if zone.recovered && healthy < c.settings.LostBelow { // it flaps even without requests
			c.addPenalty(zone)
		}
		zone.recovered = healthy >= c.settings.RecoverAbove || zone.recovered && healthy >= c.settings.LostBelow
		zone.damped = c.isSuppressed(zone)
		if c.conditionLasted(zone, healthy >= c.settings.RecoverAbove) && !zone.damped {
			c.startRamp(zone, 0)
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

// addPenalty adds the penalty of one loss. The sum is bounded so that it decays to ReuseBelow within MaxSuppression.
func (c *Controller) addPenalty(zone *zoneRecord) {
	damping := c.settings.Damping
	maxPenalty := damping.ReuseBelow * math.Exp2(float64(damping.MaxSuppression)/float64(damping.HalfLife))
	zone.penalty, zone.penaltyUpdatedAt = min(c.penalty(zone)+damping.Penalty, maxPenalty), c.now
}

// penalty returns the sum of penalties, decayed to the current time.
func (c *Controller) penalty(zone *zoneRecord) float64 {
	return zone.penalty * math.Exp2(-float64(c.now-zone.penaltyUpdatedAt)/float64(c.settings.Damping.HalfLife))
}

// isSuppressed reports whether a zone flaps too much to be used: from a penalty of SuppressAbove on, until it has
// decayed to ReuseBelow.
func (c *Controller) isSuppressed(zone *zoneRecord) bool {
	if zone.damped {
		return c.penalty(zone) > c.settings.Damping.ReuseBelow
	}
	return c.penalty(zone) >= c.settings.Damping.SuppressAbove
}

// startRamp starts the recovery ramp at a share. Gateways see a recovery at the same time, so each delays its ramp by
// its own fraction of the ramp jitter.
func (c *Controller) startRamp(zone *zoneRecord, startShare float64) {
	zone.rampStartShare, zone.rampStartsAt = startShare, c.now+rules.Time(c.jitter*c.settings.RampJitter*float64(c.settings.RecoveryRamp))
	zone.damped = false
	c.enterState(zone, Returning)
}

// loadShare returns the fraction of its normal load that a zone receives now.
func (c *Controller) loadShare(zone *zoneRecord) float64 {
	progress := func(start rules.Time, duration rules.Time) float64 {
		return min(max(float64(c.now-start)/float64(duration), 0), 1)
	}
	switch zone.state {
	case Failing:
		return zone.rampStartShare
	case Returning:
		return zone.rampStartShare + (1-zone.rampStartShare)*progress(zone.rampStartsAt, c.settings.RecoveryRamp)
	case Draining:
		return zone.rampStartShare * (1 - progress(zone.since, c.settings.DrainTime))
	case Lost, Drained:
		return 0
	}
	return 1
}

// SetDraining starts or lifts the drain of a zone. When a drain is lifted, the load returns on the recovery ramp. An
// unknown zone is ignored.
func (c *Controller) SetDraining(now rules.Time, index int, draining bool) {
	c.now = max(c.now, now)
	if index < 0 || index >= len(c.zones) {
		return
	}
	zone := &c.zones[index]
	isDraining := zone.state == Draining || zone.state == Drained
	switch {
	case draining && !isDraining:
		zone.rampStartShare = c.loadShare(zone)
		c.enterState(zone, Draining)
	case !draining && isDraining:
		c.startRamp(zone, c.loadShare(zone))
	}
}
