package zones

import (
	"slices"

	"foxlane/rules"
)

// This file answers the decision module: in which zone a query may run.

// PickZone returns the zone from which the engine of a query is to be drawn (rules.ZonePlan): at random by the last
// split, among the zones that admit it and had no attempt of it. For a gateway that has observed nothing yet, or a
// query that all zones of the split have had, it returns any zone.
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

// Admits reports whether a query may run in a zone now (rules.ZonePlan): not in one that is lost or drained while
// others are taken for healthy, nor over the spillover limit or the retry budget.
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

// RecordSend notes that a query was sent to a zone (rules.ZonePlan).
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

// noteBlocked notes that limits keep a query queued.
func (c *Controller) noteBlocked() {
	c.counts.Blocked++
	c.noteLimited()
}
