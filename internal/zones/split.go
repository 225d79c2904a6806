package zones

import (
	"math"

	"foxlane/rules"
)

// This file splits the load of a gateway over zones by failover tiers, as load balancers do with priority levels and
// overprovisioning.

// Split is the split of the load over zones.
type Split struct {
	Fractions []float64 // by zone; their sum is 1, or 0 if nothing is listed
	Panic     bool      // too little is healthy: health is ignored, and zones get load by their size
	Unplaced  float64   // fraction of the load for which no zone has capacity
}

// crowdedSlowdown is the slowdown above which a zone counts as crowded and its capacity is reduced in proportion. It is
// the square of the factor above which the decision module counts a query as too slow, so a zone loses load only when
// its engines are clearly slower than that, not at the first slow query.
const crowdedSlowdown = 1.35 * 1.35

// capacity returns the load that a zone can serve now, in cores. During a recovery it is the lesser of what the ramp
// and the warm-up of its engines allow.
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

// nominalCores returns the cores of a zone when it is complete. Engines that have failed leave the endpoint list after
// a while. Their cores still count, with the half-life Damping.MaxSuppression; otherwise a zone that has lost half of
// its engines would count as complete.
func (c *Controller) nominalCores(zone *zoneRecord) float64 {
	decayed := zone.nominalCores * math.Exp2(-float64(c.now-zone.nominalCoresAt)/float64(max(c.settings.Damping.MaxSuppression, 1)))
	return max(zone.observation.ListedCores, decayed, minCores/2)
}

// minCores is less than the cores of any engine.
const minCores = 1e-6

// preferenceTiers returns all zones in the order in which the load of a zone prefers them: the zone itself, its
// configured failover tiers, and the rest.
func (c *Controller) preferenceTiers(ownZone int) [][]int {
	placed := make([]bool, len(c.zones))
	tiers := [][]int{}
	addTier := func(tier []int) {
		kept := make([]int, 0, len(tier))
		for _, i := range tier {
			if i >= 0 && i < len(c.zones) && !placed[i] {
				placed[i] = true
				kept = append(kept, i)
			}
		}
		if len(kept) > 0 {
			tiers = append(tiers, kept)
		}
	}
	addTier([]int{ownZone})
	for _, tier := range c.settings.Tiers[ownZone] {
		addTier(tier)
	}
	remaining := make([]int, 0, len(c.zones))
	for i := range c.zones {
		remaining = append(remaining, i)
	}
	addTier(remaining)
	return tiers
}

// Split returns the split of this gateway's load now. A tier keeps all of the load while its capacity times
// Overprovision is at least its nominal cores; the rest goes to the next tier. Within a tier load is split by capacity.
func (c *Controller) Split(now rules.Time) Split { return c.splitFrom(now, c.ownZone) }

func (c *Controller) splitFrom(now rules.Time, ownZone int) Split {
	c.now = max(c.now, now)
	split := Split{Fractions: make([]float64, len(c.zones))}
	listed, present, healthy := 0.0, 0.0, 0.0
	for i := range c.zones {
		zone := &c.zones[i]
		listed += zone.observation.ListedCores
		present += zone.presentCores()
		healthy += zone.observation.ListedCores * zone.observation.healthyFraction()
	}
	if listed <= 0 {
		return split
	}
	if healthy < c.settings.PanicThreshold*present {
		split.Panic = true
		c.splitBySize(&split, listed)
		return split
	}
	remaining := 1.0
	for _, tier := range c.preferenceTiers(ownZone) {
		capacity, nominal := 0.0, 0.0
		for _, i := range tier {
			capacity += c.capacity(&c.zones[i])
			nominal += c.nominalCores(&c.zones[i])
		}
		if capacity <= 0 {
			continue
		}
		fraction := min(remaining, c.settings.Overprovision*capacity/nominal)
		for _, i := range tier {
			split.Fractions[i] += fraction * c.capacity(&c.zones[i]) / capacity
		}
		if remaining -= fraction; remaining <= 0 {
			return split
		}
	}
	c.spreadRemainder(&split, remaining, listed)
	return split
}

// spreadRemainder distributes the load for which no tier has capacity over the zones in proportion to their fractions.
// No load is withheld here: the spillover limits and load shedding decide what is blocked or rejected.
func (c *Controller) spreadRemainder(split *Split, remaining, listed float64) {
	split.Unplaced = remaining
	placed := 0.0
	for _, fraction := range split.Fractions {
		placed += fraction
	}
	if placed <= 0 {
		split.Panic = true
		c.splitBySize(split, listed)
		return
	}
	for i := range split.Fractions {
		split.Fractions[i] /= placed
	}
}

// presentCores returns the cores of a zone that are present, whether they count as healthy or not. Only cores that did
// not answer probes are known to be absent.
func (z *zoneRecord) presentCores() float64 {
	return max(z.observation.ListedCores-z.observation.UnansweredCores, 0)
}

// splitBySize splits the load by the present cores of each zone. Draining and drained zones get none, since panic mode
// must not undo an operator's drain.
func (c *Controller) splitBySize(split *Split, listed float64) {
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
			split.Fractions[i] = size(zone) / total
		} else {
			split.Fractions[i] = zone.observation.ListedCores / listed
		}
	}
}
