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
func (z *Zones) PickZone(now rules.Time, drawn, work float64, tried []int) (int, bool) {
	z.now = max(z.now, now)
	total, shut := 0.0, false
	odds := func(i int) float64 {
		if z.split.To[i] <= 0 || slices.Contains(tried, i) {
			return 0
		}
		if !z.Admits(now, i, work, len(tried) > 0) {
			shut = true
			return 0
		}
		return z.split.To[i]
	}
	for i := range z.split.To {
		total += odds(i)
	}
	if total <= 0 {
		if shut {
			z.wait()
		}
		return -1, !shut
	}
	last := -1
	drawn *= total
	for i := range z.split.To {
		if p := odds(i); p > 0 {
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
func (z *Zones) Admits(now rules.Time, i int, work float64, further bool) bool {
	if i < 0 || i >= len(z.all) || len(z.split.To) == 0 {
		return true
	}
	z.now = max(z.now, now)
	e := &z.all[i]
	if (e.state == Lost || e.state == Drained) && !z.split.Panic && z.split.To[i] <= 0 {
		return false
	}
	return (!further || z.retryRoom(e)) && z.spillRoom(i, work)
}

// RecordSend notes that a query goes to a zone (rules.ZonePlan).
func (z *Zones) RecordSend(now rules.Time, i int, work float64, further bool) {
	if i < 0 || i >= len(z.all) {
		return
	}
	z.now = max(z.now, now)
	e := &z.all[i]
	e.retries.add(z.now, further)
	if further {
		z.count.Further++
	} else {
		z.demand.done.add(z.now, work)
	}
	if i != z.own {
		z.count.Spilled++
	}
	if z.limited(i) {
		e.spill.sent.Add(z.now, work)
	}
}

// wait notes that a query is kept waiting by our limits.
func (z *Zones) wait() {
	z.count.Waited++
	z.noteShed()
}

// ---- the limit of spill

// spill is what we have sent to a foreign zone within the last span, in microseconds of work.
type spill struct {
	whole float64 // our part of what foreign load may take there within a span
	sent  window.Sum
}

const (
	spillSpan   = rules.Second // over which a limit of spill holds: what is not used within it is not saved up
	overflow    = 0.2          // of what a gateway may spill whose zone is away, for one whose zone is only full
	spillChance = 3.0          // deviations of chance by which what gateways send by lot must stay under a limit
)

// limited answers whether the limit of spill holds for our load in a zone. It does not in our own, nor where nobody is at home,
// nor for a gateway whose own zone never had an engine: it has nowhere else to go.
func (z *Zones) limited(i int) bool {
	return z.set.Spill < 1 && i != z.own && !(z.fleet.Elsewhere && i == len(z.all)-1) &&
		z.own >= 0 && z.own < len(z.all) && z.all[z.own].usual >= leastCores
}

// allot takes our part of each zone's limit anew. Most of it is for gateways whose own zone is away; those that overflow from a
// zone that is there share the rest. Each knows for certain of its own zone only, so one that is at home counts on all others being
// away, and the parts of all never add up to more than the limit. Gateways are taken to be spread evenly over the zones.
func (z *Zones) allot() {
	if z.set.Spill >= 1 {
		return
	}
	homes := z.fleet.homes()
	for i := range z.all {
		s := &z.all[i].spill
		s.whole = 0
		if !z.limited(i) {
			continue
		}
		ours, others := overflow, 0.0
		if z.away(z.own) {
			ours = 1
		}
		for o := range homes {
			switch {
			case o == i || o == z.own:
			case ours == 1 && !z.away(o):
				others += overflow
			default:
				others++
			}
		}
		part := ours / (ours + others) * float64(homes) / float64(z.fleet.Gateways)
		s.whole = z.set.Spill * z.capacity(&z.all[i]) * float64(spillSpan) * min(part, 1)
	}
}

// away answers whether a zone's gateways have to go elsewhere.
func (z *Zones) away(i int) bool {
	s := z.all[i].state
	return s == Lost || s == Returning || s == Draining || s == Drained
}

// spillRoom answers whether work may go to a foreign zone now. Where hundreds of gateways are, a part is smaller than a
// query, and nothing heavy would ever go: then a lot, drawn anew each span, lets so many gateways send one that together they
// ask for a safe part of the limit.
func (z *Zones) spillRoom(i int, work float64) bool {
	if !z.limited(i) {
		return true
	}
	s := &z.all[i].spill
	spent := s.sent.Total(z.now)
	if spent+work <= s.whole {
		return true
	}
	whole := s.whole * float64(z.fleet.Gateways) / float64(z.fleet.homes()) // about what all that send there may
	root := math.Sqrt(whole/work+spillChance*spillChance/4) - spillChance/2
	asked := s.whole * root * root * work / max(whole, 1e-9)
	return work > s.whole && spent+z.lot(i)*work <= asked
}

// lot is a number from 0 to 1 for a zone, drawn anew each span at a time of our own.
func (z *Zones) lot(i int) float64 {
	turn := math.Floor(float64(z.now)/float64(spillSpan) + z.jitter)
	_, lot := math.Modf(math.Mod(turn, 1e6)*math.Phi + z.jitter*7919 + float64(i)*math.Sqrt2)
	return lot
}

// ---- the budget of retries

// retries count what went to a zone, each fading by e in retrySpan.
type retries struct {
	first, further float64
	at             rules.Time
}

const (
	retrySpan = 10 * rules.Second
	retryFree = 5 // further attempts that a zone may get within it in any case
)

func (r *retries) fade(now rules.Time) {
	keep := math.Exp(-float64(now-r.at) / float64(retrySpan))
	r.first, r.further, r.at = r.first*keep, r.further*keep, now
}

func (r *retries) add(now rules.Time, further bool) {
	r.fade(now)
	if further {
		r.further++
	} else {
		r.first++
	}
}

// retryRoom answers whether a zone may get one more further attempt. The budget stands beside the rules' ration: that
// bounds what we send in all, this what a zone that took over from another gets on top of it.
func (z *Zones) retryRoom(e *zone) bool {
	if z.set.Retries >= 1 {
		return true
	}
	r := &e.retries
	r.fade(z.now)
	if r.further+1 <= retryFree+z.set.Retries*r.first {
		return true
	}
	z.count.Spent++
	return false
}
