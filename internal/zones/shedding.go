package zones

import (
	"math"

	"foxlane/rules"
)

// This file decides which requests are shed first when more is asked for than can be done. Load is shed by priority
// tiers, each of which is one kind of request: as much as must be, from the first tier on; of the tier on which that
// ends only a part. What counts is the priority weight of a request for its work, and not its class: a class that is
// shed as a whole loses its many light requests along with the few heavy ones that need the capacity, and lost 0.07
// of all value in the model of a lost site.

// PriorityTier is a kind of request by which load is shed.
type PriorityTier int

// Tiers, in the order in which they are shed.
const (
	TierOverQuota   PriorityTier = iota // requests of tenants over their quota
	TierRetries                         // requests that failed before
	TierLowestValue                     // the first of the value tiers: requests with the least priority weight for their work
)

// Value tiers are by the priority weight of a request over the seconds of work on one core: two tiers a power of
// two, the middle one at 1.
const (
	valueTiers       = 48
	tiersPerDoubling = 2
)

// ValueTier returns the value tier of a request, from 0: by its priority weight and its work in microseconds, all
// threads together.
func ValueTier(worth, work float64) int {
	if worth <= 0 || work <= 0 {
		return 0
	}
	return min(max(int(math.Floor(tiersPerDoubling*math.Log2(worth*float64(rules.Second)/work)))+valueTiers/2, 0), valueTiers-1)
}

// SheddingSettings say when load is shed. The pressure is 1, and the queued work over the work that is done within
// queueTarget.
type SheddingSettings struct {
	Threshold    float64    // pressure from which more is shed
	Hysteresis   float64    // less is shed when the pressure is this much under the threshold
	SettlingTime rules.Time // how long either must last
}

// DefaultShedding sheds nothing until the work done in a quarter of queueTarget is queued.
func DefaultShedding() SheddingSettings {
	return SheddingSettings{Threshold: 1.25, Hysteresis: 0.1, SettlingTime: 500 * rules.Millisecond}
}

func (s SheddingSettings) validate() error {
	if !(s.Threshold > 1) || !(s.Hysteresis >= 0 && s.Hysteresis < s.Threshold-1) || s.SettlingTime < 0 {
		return settingsErrorf("shedding: up must be over 1, slack at least 0 and under up - 1, settle at least 0")
	}
	return nil
}

const (
	demandWindow    = 4 * rules.Second // over which demand and forwarded work are averaged
	queueAveraging  = rules.Second     // over which queued work is averaged
	queueTarget     = 2 * rules.Second // within which queued work should be done
	queueDrainTime  = 4 * rules.Second // within which a queue that is too long should be gone
	maxShedIncrease = 0.5              // of the demand, added to the shed fraction in a second at most
	minShedDecrease = 0.02             // taken from it in a second at least when the pressure has fallen,
	shedDecay       = 0.4              // or this fraction of it, whichever is more
	maxShedFraction = 0.95             // so that requests of the highest value are admitted even then
	quotaDeviations = 2.0              // standard deviations by which a tenant may pass its quota by chance
	limitedGap      = 2 * rules.Second // a longer time without anything shed or blocked ends an overload
	minRetryAfter   = rules.Second
)

// demandState is what the clients of this gateway ask for, and what becomes of it.
type demandState struct {
	tiers          []tierDemand
	forwarded      decayingSum   // work of first attempts
	queuedWork     float64       // averaged
	tenantRequests []decayingSum // by tenant
	usualWork      []float64     // of a request, by class
	updatedAt      rules.Time
	changingSince  rules.Time // since when the shed fraction should rise, or fall; 0: neither
	increasing     bool       // which of the two
	shedFraction   float64    // of the demand
	pressure       float64    // 1, and queued work over what is done in queueTarget
}

// tierDemand is the demand of one tier.
type tierDemand struct {
	work         decayingSum // arrived
	shedFraction float64
	carry        float64 // part of a request to shed that is left over from those before
}

// decayingSum is a sum that decays by e over demandWindow.
type decayingSum struct {
	sum       float64
	updatedAt rules.Time
}

func (s *decayingSum) value(now rules.Time) float64 {
	s.sum *= math.Exp(-float64(now-s.updatedAt) / float64(demandWindow))
	s.updatedAt = now
	return s.sum
}

func (s *decayingSum) add(now rules.Time, amount float64) { s.sum = s.value(now) + amount }

func newDemandState(f Fleet) demandState {
	demand := demandState{tenantRequests: make([]decayingSum, len(f.Tenants)), tiers: make([]tierDemand, int(TierLowestValue)+valueTiers)}
	for i := range demand.tiers { // the jitter spreads gateways that shed alike
		_, demand.tiers[i].carry = math.Modf(f.Jitter + float64(i)*math.Phi)
	}
	return demand
}

// Request is what is known of a request on its arrival.
type Request struct {
	Class        int
	Tenant       int
	DeclaredWork float64 // all threads together, in microseconds; 0: not declared
	Retry        bool    // its client has tried before
}

// RequestArrived counts a request before anything of it runs, and reports whether it is to be rejected, and with
// which Retry-After.
func (c *Controller) RequestArrived(now rules.Time, request Request) (reject bool, retryAfter rules.Time) {
	c.now = max(c.now, now)
	demand := &c.demand
	work := request.DeclaredWork
	if work <= 0 && request.Class < len(demand.usualWork) {
		work = demand.usualWork[request.Class]
	}
	tier := TierLowestValue
	switch overQuota := c.countOverQuota(request.Tenant); {
	case overQuota:
		tier = TierOverQuota
	case request.Retry:
		tier = TierRetries
	case request.Class < len(c.fleet.Classes):
		tier += PriorityTier(ValueTier(c.fleet.Classes[request.Class].PriorityWeight, work))
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

// countOverQuota counts a request of a tenant, and reports whether the tenant is over its quota at this gateway.
func (c *Controller) countOverQuota(tenant int) bool {
	if tenant < 0 || tenant >= len(c.demand.tenantRequests) || c.fleet.Tenants[tenant].QuotaPerSecond <= 0 {
		return false
	}
	requests := &c.demand.tenantRequests[tenant]
	requests.add(c.now, 1)
	quota := c.fleet.Tenants[tenant].QuotaPerSecond * float64(demandWindow) / float64(rules.Second) / float64(c.fleet.Gateways)
	return requests.sum > quota+quotaDeviations*math.Sqrt(quota)+1
}

// updatePressure computes the pressure and how much is shed.
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

// excessFraction is the fraction of the demand that can not be served. It is meaningful while a queue stands: then
// what is done is all that can be done, and some of it is for the queue.
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

// minWorkRate is a rate of work, in cores: below one request of each class in a demandWindow the gateway does too
// little to tell a pressure.
func (c *Controller) minWorkRate() (sum float64) {
	for _, w := range c.demand.usualWork {
		sum += w
	}
	return max(sum/float64(demandWindow), 1e-9)
}

// distributeShedding spreads a fraction of the demand over the tiers: each tier is shed completely before the next
// one, the last one in part.
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

// noteLimited notes that something was shed or blocked.
func (c *Controller) noteLimited() {
	if c.limitedSince == 0 {
		c.limitedSince = max(c.now, 1)
	}
	c.limitedLast = c.now
}

// RetryAfter is the Retry-After of a rejection, 0 if nothing is shed or blocked: until a recovering zone has its full
// share, else for as long as the overload has lasted, since nothing else is known of an outage.
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

// SheddingStatus returns the pressure, the fraction of the demand that is shed, and what the limits have done since
// the start.
func (c *Controller) SheddingStatus() (pressure, part float64, counts Counts) {
	return c.demand.pressure, c.demand.shedFraction, c.counts
}
