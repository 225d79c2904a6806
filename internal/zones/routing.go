package zones

import (
	"math"
	"slices"

	"foxlane/internal/window"
	"foxlane/rules"
)

// This file answers the decision module: in which zone a query may run, how much of a foreign zone our load may take,
// and how many further attempts a zone may get.

// PickZone returns the zone from which a query's engine is to be drawn (rules.ZonePlan): by the parts of the last look, among
// zones that are open and had no attempt of it. A gateway that has not looked yet, or a query that all zones with a part had,
// is drawn from any.
func (c *Controller) PickZone(now rules.Time, drawn, work float64, tried []int) (int, bool) {
	c.now = max(c.now, now)
	total, blocked := 0.0, false
	fractionOf := func(i int) float64 {
		if c.split.Fractions[i] <= 0 || slices.Contains(tried, i) {
			return 0
		}
		if !c.Admits(now, i, work, len(tried) > 0) {
			blocked = true
			return 0
		}
		return c.split.Fractions[i]
	}
	for i := range c.split.Fractions {
		total += fractionOf(i)
	}
	if total <= 0 {
		if blocked {
			c.noteBlocked()
		}
		return -1, !blocked
	}
	last := -1
	drawn *= total
	for i := range c.split.Fractions {
		if p := fractionOf(i); p > 0 {
			if last = i; drawn < p {
				return i, true
			}
			drawn -= p
		}
	}
	return last, true
}

// Admits answers whether a query may run in a zone now (rules.ZonePlan): not in one that is lost or drained while others
// are believed to be well, nor over the limit of spill or the budget of retries.
func (c *Controller) Admits(now rules.Time, i int, work float64, retry bool) bool {
	if i < 0 || i >= len(c.zones) || len(c.split.Fractions) == 0 {
		return true
	}
	c.now = max(c.now, now)
	zone := &c.zones[i]
	if (zone.state == Lost || zone.state == Drained) && !c.split.Panic && c.split.Fractions[i] <= 0 {
		return false
	}
	return (!retry || c.retryAllowed(zone)) && c.spilloverAllowed(i, work)
}

// RecordSend notes that a query goes to a zone (rules.ZonePlan).
func (c *Controller) RecordSend(now rules.Time, i int, work float64, retry bool) {
	if i < 0 || i >= len(c.zones) {
		return
	}
	c.now = max(c.now, now)
	zone := &c.zones[i]
	zone.retries.add(c.now, retry)
	if retry {
		c.counts.Retries++
	} else {
		c.demand.forwarded.add(c.now, work)
	}
	if i != c.ownZone {
		c.counts.Spillovers++
	}
	if c.spilloverLimited(i) {
		zone.spillover.sent.Add(c.now, work)
	}
}

// noteBlocked notes that a query is kept waiting by our limits.
func (c *Controller) noteBlocked() {
	c.counts.Blocked++
	c.noteLimited()
}

// ---- the limit of spill

// spilloverState is what we have sent to a foreign zone within the last span, in microseconds of work.
type spilloverState struct {
	allowance float64 // our part of what foreign load may take there within a span
	sent      window.Sum
}

const (
	spilloverWindow    = rules.Second // over which a limit of spill holds: what is not used within it is not saved up
	overflowFraction   = 0.2          // of what a gateway may spill whose zone is away, for one whose zone is only full
	samplingDeviations = 3.0          // deviations of chance by which what gateways send by lot must stay under a limit
)

// spilloverLimited answers whether the limit of spill holds for our load in a zone. It does not in our own, nor where nobody is at home,
// nor for a gateway whose own zone never had an engine: it has nowhere else to go.
func (c *Controller) spilloverLimited(i int) bool {
	return c.settings.SpilloverLimit < 1 && i != c.ownZone && !(c.fleet.HasUnassignedZone && i == len(c.zones)-1) &&
		c.ownZone >= 0 && c.ownZone < len(c.zones) && c.zones[c.ownZone].usualCores >= minCores
}

// allocateSpillover takes our part of each zone's limit anew. Most of it is for gateways whose own zone is away; those that overflow from a
// zone that is there share the rest. Each knows for certain of its own zone only, so one that is at home counts on all others being
// away, and the parts of all never add up to more than the limit. Gateways are taken to be spread evenly over the zones.
func (c *Controller) allocateSpillover() {
	if c.settings.SpilloverLimit >= 1 {
		return
	}
	homes := c.fleet.gatewayZones()
	for i := range c.zones {
		spillover := &c.zones[i].spillover
		spillover.allowance = 0
		if !c.spilloverLimited(i) {
			continue
		}
		ours, others := overflowFraction, 0.0
		if c.unavailable(c.ownZone) {
			ours = 1
		}
		for o := range homes {
			switch {
			case o == i || o == c.ownZone:
			case ours == 1 && !c.unavailable(o):
				others += overflowFraction
			default:
				others++
			}
		}
		part := ours / (ours + others) * float64(homes) / float64(c.fleet.Gateways)
		spillover.allowance = c.settings.SpilloverLimit * c.capacity(&c.zones[i]) * float64(spilloverWindow) * min(part, 1)
	}
}

// unavailable answers whether a zone's gateways have to go elsewhere.
func (c *Controller) unavailable(i int) bool {
	s := c.zones[i].state
	return s == Lost || s == Returning || s == Draining || s == Drained
}

// spilloverAllowed answers whether work may go to a foreign zone now. Where hundreds of gateways are, a part is smaller than a
// query, and nothing heavy would ever go: then a lot, drawn anew each span, lets so many gateways send one that together they
// ask for a safe part of the limit.
func (c *Controller) spilloverAllowed(i int, work float64) bool {
	if !c.spilloverLimited(i) {
		return true
	}
	spillover := &c.zones[i].spillover
	spent := spillover.sent.Total(c.now)
	if spent+work <= spillover.allowance {
		return true
	}
	whole := spillover.allowance * float64(c.fleet.Gateways) / float64(c.fleet.gatewayZones()) // about what all that send there may
	root := math.Sqrt(whole/work+samplingDeviations*samplingDeviations/4) - samplingDeviations/2
	asked := spillover.allowance * root * root * work / max(whole, 1e-9)
	return work > spillover.allowance && spent+c.sample(i)*work <= asked
}

// sample is a number from 0 to 1 for a zone, drawn anew each span at a time of our own.
func (c *Controller) sample(i int) float64 {
	turn := math.Floor(float64(c.now)/float64(spilloverWindow) + c.jitter)
	_, lot := math.Modf(math.Mod(turn, 1e6)*math.Phi + c.jitter*7919 + float64(i)*math.Sqrt2)
	return lot
}

// ---- the budget of retries

// retryCounts count what went to a zone, each fading by e in retrySpan.
type retryCounts struct {
	first, retries float64
	updatedAt      rules.Time
}

const (
	retryWindow = 10 * rules.Second
	freeRetries = 5 // further attempts that a zone may get within it in any case
)

func (r *retryCounts) decay(now rules.Time) {
	keep := math.Exp(-float64(now-r.updatedAt) / float64(retryWindow))
	r.first, r.retries, r.updatedAt = r.first*keep, r.retries*keep, now
}

func (r *retryCounts) add(now rules.Time, retry bool) {
	r.decay(now)
	if retry {
		r.retries++
	} else {
		r.first++
	}
}

// retryAllowed answers whether a zone may get one more further attempt. The budget stands beside the rules' ration: that
// bounds what we send in all, this what a zone that took over from another gets on top of it.
func (c *Controller) retryAllowed(zone *zoneRecord) bool {
	if c.settings.RetryBudget >= 1 {
		return true
	}
	counts := &zone.retries
	counts.decay(c.now)
	if counts.retries+1 <= freeRetries+c.settings.RetryBudget*counts.first {
		return true
	}
	c.counts.RetriesBlocked++
	return false
}
