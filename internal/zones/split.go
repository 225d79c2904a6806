package zones

import (
	"math"

	"foxlane/rules"
)

// This file decides where the load of a gateway goes: over the tiers of preference, as priority levels with
// overprovisioning do it.

// Split is where load goes, in parts of 1 by zone. Panic tells that too little is well to believe what is seen:
// then all that is listed gets load by its size.
type Split struct {
	To    []float64
	Panic bool
	Short float64 // part of the load for which no zone has room
}

// slowFrom is the slowdown from which a zone counts as crowded: its capacity then counts by what is over it. It
// is the factor by which a query may take longer than alone before the decision module counts it as too slow,
// twice: a zone gives load away when its engines are clearly slower than that, not at the first slow query.
const slowFrom = 1.35 * 1.35

// capacity is what a zone can take now, in cores: a return is paced by the ramp or by how warm its engines are,
// whichever is less.
func (z *Zones) capacity(e *zone) float64 {
	if e.sight.cut() {
		return 0
	}
	c := min(min(e.sight.Well, e.sight.Listed)*z.share(e), e.sight.Warm)
	if e.sight.Slow > slowFrom {
		c *= slowFrom / e.sight.Slow
	}
	return c
}

// usual is what a zone lists when nothing of it is gone, in cores. Engines that have died leave the list after a
// while: what was listed counts on, fading by half in the longest time that a zone is kept away, or the half that
// is left of a zone would be taken for a whole one.
func (z *Zones) usual(e *zone) float64 {
	faded := e.usual * math.Exp2(-float64(z.now-e.usualAt)/float64(max(z.set.Damping.Longest, 1)))
	return max(e.sight.Listed, faded, leastCores/2)
}

// leastCores is less than any engine has.
const leastCores = 1e-6

// tiers are all zones in the order in which a zone's load goes to them.
func (z *Zones) tiers(from int) [][]int {
	placed := make([]bool, len(z.all))
	levels := [][]int{}
	add := func(level []int) {
		kept := make([]int, 0, len(level))
		for _, i := range level {
			if i >= 0 && i < len(z.all) && !placed[i] {
				placed[i] = true
				kept = append(kept, i)
			}
		}
		if len(kept) > 0 {
			levels = append(levels, kept)
		}
	}
	add([]int{from})
	for _, t := range z.set.Tiers[from] {
		add(t)
	}
	rest := make([]int, 0, len(z.all))
	for i := range z.all {
		rest = append(rest, i)
	}
	add(rest)
	return levels
}

// Split says where this gateway's load goes now. A zone keeps all of its load while its capacity, counted
// Overprovision times, is at least what it lists; what is over goes to the next tier, within a tier by capacity.
func (z *Zones) Split(now rules.Time) Split { return z.splitOf(now, z.own) }

func (z *Zones) splitOf(now rules.Time, from int) Split {
	z.now = max(z.now, now)
	s := Split{To: make([]float64, len(z.all))}
	listed, there, well := 0.0, 0.0, 0.0
	for i := range z.all {
		e := &z.all[i]
		listed += e.sight.Listed
		there += e.there()
		well += e.sight.Listed * e.sight.well()
	}
	if listed <= 0 {
		return s
	}
	if well < z.set.Panic*there {
		s.Panic = true
		z.bySize(&s, listed)
		return s
	}
	left := 1.0
	for _, level := range z.tiers(from) {
		room, whole := 0.0, 0.0
		for _, i := range level {
			room += z.capacity(&z.all[i])
			whole += z.usual(&z.all[i])
		}
		if room <= 0 {
			continue
		}
		part := min(left, z.set.Overprovision*room/whole)
		for _, i := range level {
			s.To[i] += part * z.capacity(&z.all[i]) / room
		}
		if left -= part; left <= 0 {
			return s
		}
	}
	z.spread(&s, left, listed)
	return s
}

// spread gives what no level took to all in proportion: nothing is kept back here, the limits of spill and the
// ladder say what is held or refused.
func (z *Zones) spread(s *Split, left, listed float64) {
	s.Short = left
	taken := 0.0
	for _, p := range s.To {
		taken += p
	}
	if taken <= 0 {
		s.Panic = true
		z.bySize(s, listed)
		return
	}
	for i := range s.To {
		s.To[i] /= taken
	}
}

// there is what of a zone may be believed to be there, whatever we hold of its health: that nobody answers a probe is no belief.
func (e *zone) there() float64 { return max(e.sight.Listed-e.sight.Dead, 0) }

// bySize gives to each zone by what is there of it, but to what is drained on purpose, which nothing makes come back.
func (z *Zones) bySize(s *Split, listed float64) {
	total := 0.0
	size := func(e *zone) float64 {
		if e.state == Draining || e.state == Drained {
			return 0
		}
		return e.there()
	}
	for i := range z.all {
		total += size(&z.all[i])
	}
	for i := range z.all {
		if e := &z.all[i]; total > 0 {
			s.To[i] = size(e) / total
		} else {
			s.To[i] = e.sight.Listed / listed
		}
	}
}
