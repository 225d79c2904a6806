package zones

import (
	"slices"

	"foxlane/rules"
)

// This file implements rules.ZonePlan, by which the decision module chooses the zone of a query.

// PickZone returns the zone in which a query is to run (rules.ZonePlan). It picks at random, weighted by the last
// split, among the zones that admit the query and are not in tried. It returns -1 (any zone) and true if nothing has
// been observed yet or all zones of the split have been tried, and false if no untried zone of the split admits the
// query.
func (c *Controller) PickZone(now rules.Time, random, work float64, tried []int) (int, bool) {
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
			c.recordBlocked()
		}
		return -1, !blocked
	}
	lastCandidate := -1
	random *= total
	for i := range c.split.Fractions {
		if fraction := fractionOf(i); fraction > 0 {
			if lastCandidate = i; random < fraction {
				return i, true
			}
			random -= fraction
		}
	}
	return lastCandidate, true
}

// Admits reports whether a query may run in a zone now (rules.ZonePlan). A lost or drained zone admits nothing unless
// the split is in panic mode or sends load there; any other zone admits queries within its spillover limit and retry
// budget.
func (c *Controller) Admits(now rules.Time, index int, work float64, retry bool) bool {
	if index < 0 || index >= len(c.zones) || len(c.split.Fractions) == 0 {
		return true
	}
	c.now = max(c.now, now)
	zone := &c.zones[index]
	if (zone.state == Lost || zone.state == Drained) && !c.split.Panic && c.split.Fractions[index] <= 0 {
		return false
	}
	return (!retry || c.retryAllowed(zone)) && c.spilloverAllowed(index, work)
}

// RecordSend records that a query was sent to a zone (rules.ZonePlan).
func (c *Controller) RecordSend(now rules.Time, index int, work float64, retry bool) {
	if index < 0 || index >= len(c.zones) {
		return
	}
	c.now = max(c.now, now)
	zone := &c.zones[index]
	zone.retries.add(c.now, retry)
	if retry {
		c.counts.Retries++
	} else {
		c.demand.forwarded.add(c.now, work)
	}
	if index != c.ownZone {
		c.counts.Spillovers++
	}
	if c.spilloverLimited(index) {
		zone.spillover.sent.Add(c.now, work)
	}
}

// recordBlocked records that the limits keep a query queued.
func (c *Controller) recordBlocked() {
	c.counts.Blocked++
	c.recordLimited()
}
