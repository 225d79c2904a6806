package zones

import (
	"errors"
	"math"

	"foxlane/rules"
)

// This file decides what is refused first when more is asked for than can be done: a ladder, each rung of which is one kind
// of request. As much is shed as must be, from the first rung up; of the rung on which that ends only a part. What a request
// earns for its work counts, not its class: a class shed as a whole takes its many light requests along with the few heavy ones
// that need the room, and lost 0.07 of all worth in the model of a lost site.

// PriorityTier is a kind of request that a ladder sheds.
type PriorityTier int

// Rungs, in the order in which they are climbed.
const (
	TierOverQuota   PriorityTier = iota // of tenants over their share
	TierRetries                         // of requests that failed before
	TierLowestValue                     // of those that earn least for their work, and further rungs up to those that earn most
)

// Rungs by what a request earns for a second of work on one core: half a power of two each, the middle one at 1.
const (
	valueTiers       = 48
	tiersPerDoubling = 2
)

// ValueTier is the place of a request among the rungs by worth, from 0: work in microseconds, all threads together.
func ValueTier(worth, work float64) int {
	if worth <= 0 || work <= 0 {
		return 0
	}
	return min(max(int(math.Floor(tiersPerDoubling*math.Log2(worth*float64(rules.Second)/work)))+valueTiers/2, 0), valueTiers-1)
}

// SheddingSettings is how it is climbed. Pressure is 1 and what waits over what is worked off within heldSpan.
type SheddingSettings struct {
	Threshold    float64    // pressure from which more is shed
	Hysteresis   float64    // less is shed when pressure is this much under it
	SettlingTime rules.Time // how long either must last
}

// DefaultShedding sheds nothing until a quarter of heldSpan's work waits.
func DefaultShedding() SheddingSettings {
	return SheddingSettings{Threshold: 1.25, Hysteresis: 0.1, SettlingTime: 500 * rules.Millisecond}
}

func (l SheddingSettings) validate() error {
	if !(l.Threshold > 1) || !(l.Hysteresis >= 0 && l.Hysteresis < l.Threshold-1) || l.SettlingTime < 0 {
		return errors.New("shedding: up must be over 1, slack at least 0 and under up - 1, settle at least 0")
	}
	return nil
}

const (
	demandWindow    = 4 * rules.Second // over which what is asked for and done is averaged
	queueAveraging  = rules.Second     // over which what waits is averaged
	queueTarget     = 2 * rules.Second // within which what waits should be worked off
	queueDrainTime  = 4 * rules.Second // within which a queue that is too long should be gone
	maxShedIncrease = 0.5              // most of what is asked for that a second adds to what is shed
	minShedDecrease = 0.02             // and that a second without a queue takes away,
	shedDecay       = 0.4              // or this part of what is shed, whichever is more
	maxShedFraction = 0.95             // what earns most is let in even then
	quotaDeviations = 2.0              // deviations by which a tenant may pass its share by chance
	limitedGap      = 2 * rules.Second // what was shed or kept waiting within it makes one stretch
	minRetryAfter   = rules.Second
)

// demandState is what our clients ask for, and what becomes of it.
type demandState struct {
	tiers          []tierDemand
	forwarded      decayingSum   // work that was sent on for the first time
	queuedWork     float64       // work that waits, averaged
	tenantRequests []decayingSum // requests
	usualWork      []float64
	updatedAt      rules.Time // of the last look
	changingSince  rules.Time // since when more, or less, should be shed
	increasing     bool       // which of the two
	shedFraction   float64    // of what is asked for that is shed
	pressure       float64    // pressure
}

// tierDemand is one kind of request. Of a part that is shed every so many are: carry is what is left over.
type tierDemand struct {
	work         decayingSum // work
	shedFraction float64
	carry        float64
}

// decayingSum is a sum that forgets, by e in demandSpan.
type decayingSum struct {
	sum       float64
	updatedAt rules.Time
}

func (f *decayingSum) value(now rules.Time) float64 {
	f.sum *= math.Exp(-float64(now-f.updatedAt) / float64(demandWindow))
	f.updatedAt = now
	return f.sum
}

func (f *decayingSum) add(now rules.Time, x float64) { f.sum = f.value(now) + x }

func newDemandState(f Fleet) demandState {
	demand := demandState{tenantRequests: make([]decayingSum, len(f.Tenants)), tiers: make([]tierDemand, int(TierLowestValue)+valueTiers)}
	for i := range demand.tiers { // gateways that shed alike begin apart
		_, demand.tiers[i].carry = math.Modf(f.Jitter + float64(i)*math.Phi)
	}
	return demand
}

// Request is what is known of a request ahead of the decision module: nothing of it has run here.
type Request struct {
	Class        int
	Tenant       int
	DeclaredWork float64 // told, all threads together, in microseconds; 0: not told
	Retry        bool    // its client has tried before
}

// RequestArrived takes a request before anything of it runs. If it is refused, after is how long its client should stay away.
func (c *Controller) RequestArrived(now rules.Time, a Request) (refuse bool, after rules.Time) {
	c.now = max(c.now, now)
	demand := &c.demand
	work := a.DeclaredWork
	if work <= 0 && a.Class < len(demand.usualWork) {
		work = demand.usualWork[a.Class]
	}
	tier := TierLowestValue
	switch overQuota := c.countOverQuota(a.Tenant); {
	case overQuota:
		tier = TierOverQuota
	case a.Retry:
		tier = TierRetries
	case a.Class < len(c.fleet.Classes):
		tier += PriorityTier(ValueTier(c.fleet.Classes[a.Class].PriorityWeight, work))
	}
	load := &demand.tiers[tier]
	load.work.add(c.now, work)
	if !c.settings.SheddingEnabled || load.shedFraction <= 0 {
		return false, 0
	}
	if load.carry += load.shedFraction; load.carry < 1 {
		return false, 0
	}
	load.carry--
	c.counts.Shed[min(tier, TierLowestValue)]++
	c.noteLimited()
	return true, c.RetryAfter(c.now)
}

// countOverQuota counts a tenant's request, and answers whether its tenant asks for more than its agreed share here.
func (c *Controller) countOverQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(c.demand.tenantRequests) || c.fleet.Tenants[tenant].QuotaPerSecond <= 0 {
		return false
	}
	requests := &c.demand.tenantRequests[tenant]
	requests.add(c.now, 1)
	quota := c.fleet.Tenants[tenant].QuotaPerSecond * float64(demandWindow) / float64(rules.Second) / float64(c.fleet.Gateways)
	return requests.sum > quota+quotaDeviations*math.Sqrt(quota)+1
}

// updatePressure takes the pressure anew, and how much is shed.
func (c *Controller) updatePressure(s rules.LoadSummary) {
	demand, set := &c.demand, c.settings.Shedding
	demand.usualWork = s.MeanWork
	if c.limitedSince != 0 && c.now-c.limitedLast > limitedGap {
		c.limitedSince = 0
	}
	gap := c.now - demand.updatedAt
	if demand.updatedAt == 0 {
		gap = 0
	}
	demand.updatedAt = c.now
	demand.queuedWork += (s.QueuedWork - demand.queuedWork) * -math.Expm1(-float64(gap)/float64(queueAveraging))
	demand.pressure = 1 + demand.queuedWork/float64(queueTarget)/max(demand.forwarded.value(c.now)/float64(demandWindow), c.minWorkRate())
	if !c.settings.SheddingEnabled {
		demand.shedFraction = 0
		c.distributeShedding(0)
		return
	}
	rising, falling := demand.pressure >= set.Threshold, demand.shedFraction > 0 && demand.pressure < set.Threshold-set.Hysteresis
	switch {
	case !rising && !falling:
		demand.changingSince = 0
	case demand.changingSince == 0 || demand.increasing != rising:
		demand.changingSince, demand.increasing = max(c.now, 1), rising
	}
	if demand.changingSince != 0 && c.now-demand.changingSince >= set.SettlingTime {
		step := float64(gap) / float64(rules.Second)
		if rising {
			demand.shedFraction = min(max(demand.shedFraction, c.excessFraction()), demand.shedFraction+maxShedIncrease*step)
		} else {
			demand.shedFraction -= max(minShedDecrease, demand.shedFraction*shedDecay) * step
		}
	}
	demand.shedFraction = min(max(demand.shedFraction, 0), maxShedFraction)
	c.distributeShedding(demand.shedFraction)
}

// excessFraction is the part of what is asked for that can't be done, while a queue stands: then what is done is all that can be, and some
// of that is for the queue.
func (c *Controller) excessFraction() float64 {
	demand := &c.demand
	asked := 0.0
	for i := range demand.tiers {
		asked += demand.tiers[i].work.value(c.now)
	}
	done := demand.forwarded.value(c.now)
	queue := (demand.pressure - c.settings.Shedding.Threshold) * done * float64(queueTarget) / float64(queueDrainTime)
	return 1 - (done-min(queue, done/2))/max(asked, 1e-9)
}

// minWorkRate is a rate of work, in cores, under which a gateway does too little to tell a pressure: a request of each class in
// the time over which it is averaged.
func (c *Controller) minWorkRate() (sum float64) {
	for _, w := range c.demand.usualWork {
		sum += w
	}
	return max(sum/float64(demandWindow), 1e-9)
}

// distributeShedding spreads a part of what is asked for over the rungs, from the first one up.
func (c *Controller) distributeShedding(part float64) {
	demand := &c.demand
	total := 0.0
	for i := range demand.tiers {
		total += demand.tiers[i].work.value(c.now)
	}
	left := part * total
	for i := range demand.tiers {
		load := &demand.tiers[i]
		load.shedFraction = 0
		if left > 0 {
			load.shedFraction = 1
			if load.work.sum > left {
				load.shedFraction = left / load.work.sum
			}
			left -= load.shedFraction * load.work.sum
		}
	}
}

// noteLimited notes that something was shed or kept waiting.
func (c *Controller) noteLimited() {
	if c.limitedSince == 0 {
		c.limitedSince = max(c.now, 1)
	}
	c.limitedLast = c.now
}

// RetryAfter is how long a client that is refused should stay away, 0 if nothing of the zones keeps it waiting: until a zone that
// returns has its share again, else as long as it has lasted, since that is all that is known of an outage.
func (c *Controller) RetryAfter(now rules.Time) rules.Time {
	c.now = max(c.now, now)
	if c.limitedSince == 0 {
		return 0
	}
	longest := max(c.settings.RecoveryRamp, minRetryAfter)
	for i := range c.zones {
		if zone := &c.zones[i]; zone.state == Returning {
			return min(max(rules.Time((1-c.loadShare(zone))*float64(c.settings.RecoveryRamp)), minRetryAfter), longest)
		}
	}
	return min(max(c.now-c.limitedSince, minRetryAfter), longest)
}

// SheddingStatus tells the pressure, the part of what is asked for that is shed, and what limits have done since the start.
func (c *Controller) SheddingStatus() (pressure, part float64, counts Counts) {
	return c.demand.pressure, c.demand.shedFraction, c.counts
}
