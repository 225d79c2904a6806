package zones

import (
	"math"

	"foxlane/rules"
)

// This file decides where the load of a gateway goes: over tiers of preference, as priority levels with
// overprovisioning do.

// Split is where load goes, in fractions of 1 by zone. With Panic too little is healthy for health to be
// trusted, and all that is listed gets load by its size.
type Split struct {
	Fractions []float64
	Panic     bool
	Unplaced  float64 // fraction of the load for which no zone has capacity
}

// crowdedSlowdown is the slowdown from which a zone counts as crowded: the part over it is taken off its capacity. It
// is the square of the factor by which a query may take longer than alone before the decision module counts it as too
// slow: a zone loses load when its engines are clearly slower than that, and not at the first slow query.
const crowdedSlowdown = 1.35 * 1.35

// capacity is the load that a zone can take now, in cores: in a recovery the lesser of what the ramp and the
// warmth of its engines allow.
func (c *Controller) capacity(zone *zoneRecord) float64 {
	if zone.observation.unreachable() {
		return 0
	}
	cores := min(min(zone.observation.HealthyCores, zone.observation.ListedCores)*c.loadShare(zone), zone.observation.WarmCores)
	if zone.observation.Slowdown > crowdedSlowdown {
		cores *= crowdedSlowdown / zone.observation.Slowdown
	}
	return cores
}

// usualCores is what a zone lists when nothing of it is gone, in cores. Engines that have failed leave the endpoint
// list after a while: their cores count on, decaying by half in Damping.MaxSuppression, or the half that is left of
// a zone would be taken for a complete one.
func (c *Controller) usualCores(zone *zoneRecord) float64 {
	faded := zone.usualCores * math.Exp2(-float64(c.now-zone.usualCoresAt)/float64(max(c.settings.Damping.MaxSuppression, 1)))
	return max(zone.observation.ListedCores, faded, minCores/2)
}

// minCores is less than any engine has.
const minCores = 1e-6

// preferenceTiers are all zones, in the order in which the load of a zone goes to them.
func (c *Controller) preferenceTiers(from int) [][]int {
	placed := make([]bool, len(c.zones))
	levels := [][]int{}
	add := func(level []int) {
		kept := make([]int, 0, len(level))
		for _, i := range level {
			if i >= 0 && i < len(c.zones) && !placed[i] {
				placed[i] = true
				kept = append(kept, i)
			}
		}
		if len(kept) > 0 {
			levels = append(levels, kept)
		}
	}
	add([]int{from})
	for _, t := range c.settings.Tiers[from] {
		add(t)
	}
	rest := make([]int, 0, len(c.zones))
	for i := range c.zones {
		rest = append(rest, i)
	}
	add(rest)
	return levels
}

// Split returns where the load of this gateway goes now. A zone keeps all of its load while its capacity times
// Overprovision is at least its usual cores; the rest goes to the next tier, within a tier by capacity.
func (c *Controller) Split(now rules.Time) Split { return c.splitFrom(now, c.ownZone) }

func (c *Controller) splitFrom(now rules.Time, from int) Split {
	c.now = max(c.now, now)
	s := Split{Fractions: make([]float64, len(c.zones))}
	listed, there, well := 0.0, 0.0, 0.0
	for i := range c.zones {
		zone := &c.zones[i]
		listed += zone.observation.ListedCores
		there += zone.presentCores()
		well += zone.observation.ListedCores * zone.observation.healthyFraction()
	}
	if listed <= 0 {
		return s
	}
	if well < c.settings.PanicThreshold*there {
		s.Panic = true
		c.splitBySize(&s, listed)
		return s
	}
	left := 1.0
	for _, level := range c.preferenceTiers(from) {
		capacity, usual := 0.0, 0.0
		for _, i := range level {
			capacity += c.capacity(&c.zones[i])
			usual += c.usualCores(&c.zones[i])
		}
		if capacity <= 0 {
			continue
		}
		part := min(left, c.settings.Overprovision*capacity/usual)
		for _, i := range level {
			s.Fractions[i] += part * c.capacity(&c.zones[i]) / capacity
		}
		if left -= part; left <= 0 {
			return s
		}
	}
	c.spreadRemainder(&s, left, listed)
	return s
}

// spreadRemainder gives the load for which no tier has capacity to all zones in proportion: nothing is held back
// here; spillover limits and load shedding decide what is blocked or rejected.
func (c *Controller) spreadRemainder(s *Split, left, listed float64) {
	s.Unplaced = left
	taken := 0.0
	for _, p := range s.Fractions {
		taken += p
	}
	if taken <= 0 {
		s.Panic = true
		c.splitBySize(s, listed)
		return
	}
	for i := range s.Fractions {
		s.Fractions[i] /= taken
	}
}

// presentCores are the cores of a zone that exist, whatever their health is taken to be: that a probe was not
// answered is a fact.
func (z *zoneRecord) presentCores() float64 {
	return max(z.observation.ListedCores-z.observation.UnansweredCores, 0)
}

// splitBySize splits the load by the present cores of each zone, without zones that are drained: no panic undoes the
// operator's order.
func (c *Controller) splitBySize(s *Split, listed float64) {
	total := 0.0
	size := func(zone *zoneRecord) float64 {
		if zone.state == Draining || zone.state == Drained {
			return 0
		}
		return zone.presentCores()
	}
	for i := range c.zones {
		total += size(&c.zones[i])
	}
	for i := range c.zones {
		if zone := &c.zones[i]; total > 0 {
			s.Fractions[i] = size(zone) / total
		} else {
			s.Fractions[i] = zone.observation.ListedCores / listed
		}
	}
}
