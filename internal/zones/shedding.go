package zones

import (
	"math"

	"foxlane/rules"
)

// This file implements load shedding: it decides which requests are shed when demand exceeds capacity. Each request
// belongs to a priority tier. Tiers are shed in order, each one completely before the next; the last one is shed in
// part. Value tiers are by the priority weight of a request over its work, not by its class: shedding a whole class
// loses its many light requests along with the few heavy ones that need the capacity, and lost 0.07 of all value in
// the model of a lost site.

// PriorityTier is a load shedding tier.
type PriorityTier int

// Load shedding tiers, in the order in which they are shed.
const (
	TierOverQuota   PriorityTier = iota // requests of tenants over their quota
	TierRetries                         // requests that failed before and that the client retries
	TierLowestValue                     // first value tier: requests with the least priority weight per work
)

// Value tiers divide the priority weight per core second of work on a logarithmic scale, with tiersPerDoubling tiers
// for each doubling. The tier in the middle begins at 1.
const (
	valueTiers       = 48
	tiersPerDoubling = 2
)

// ValueTier returns the value tier of a request, from 0, by its priority weight and its work in microseconds, summed
// over all threads.
func ValueTier(priorityWeight, work float64) int {
	if priorityWeight <= 0 || work <= 0 {
		return 0
	}
	return min(max(int(math.Floor(tiersPerDoubling*math.Log2(priorityWeight*float64(rules.Second)/work)))+valueTiers/2, 0), valueTiers-1)
}

// SheddingSettings control when load is shed. The pressure is 1 plus the ratio of the queued work to the work that is
// done within queueTarget.
type SheddingSettings struct {
	Threshold    float64    // the shed fraction rises at and above this pressure
	Hysteresis   float64    // the shed fraction falls when the pressure is this much below Threshold
	SettlingTime rules.Time // how long either condition must last
}

// DefaultShedding returns the default settings: load is shed once the queued work exceeds what is done in a quarter of
// queueTarget.
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
	demandWindow       = 4 * rules.Second // time constant of the averages of demand and forwarded work
	queueAveragingTime = rules.Second     // time constant of the average of queued work
	queueTarget        = 2 * rules.Second // time within which queued work should be done
	queueDrainTime     = 4 * rules.Second // time within which a queue that is too long should have drained
	maxShedIncrease    = 0.5              // largest increase of the shed fraction per second
	minShedDecrease    = 0.02             // smallest decrease of the shed fraction per second once the pressure has fallen
	shedDecay          = 0.4              // relative decrease of the shed fraction per second, if that is more
	maxShedFraction    = 0.95             // below 1, so that requests of the highest value are always admitted
	quotaDeviations    = 2.0              // standard deviations by which a tenant may exceed its quota by chance
	overloadEndDelay   = 2 * rules.Second // an overload ends after more than this time without shed or blocked requests
	minRetryAfter      = rules.Second
)

// demandState tracks the demand of the clients of this gateway, and how much of it is forwarded, queued and shed.
type demandState struct {
	tiers          []tierDemand
	forwarded      decayingSum   // work of first attempts
	queuedWork     float64       // average over queueAveragingTime
	tenantRequests []decayingSum // by tenant
	meanWork       []float64     // mean work of a request, by class
	updatedAt      rules.Time
	changingSince  rules.Time // since when the pressure calls for a change of the shed fraction; 0: it does not
	increasing     bool       // the change is an increase
	shedFraction   float64    // of the demand
	pressure       float64    // see SheddingSettings
}

// tierDemand is the demand of one tier.
type tierDemand struct {
	work         decayingSum // of the requests that arrived
	shedFraction float64
	carry        float64 // accumulated fraction of a request to shed; at 1 the next request is shed
}

// decayingSum is a sum that decays exponentially with the time constant demandWindow.
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

func newDemandState(fleet Fleet) demandState {
	demand := demandState{tenantRequests: make([]decayingSum, len(fleet.Tenants)), tiers: make([]tierDemand, int(TierLowestValue)+valueTiers)}
	for i := range demand.tiers { // the jitter makes gateways with the same shed fractions shed different requests
		_, demand.tiers[i].carry = math.Modf(fleet.Jitter + float64(i)*math.Phi)
	}
	return demand
}

// Request describes a request on its arrival.
type Request struct {
	Class        int
	Tenant       int
	DeclaredWork float64 // in microseconds, summed over all threads; 0: not declared
	Retry        bool    // the client has sent the request before
}

// RequestArrived records the arrival of a request and reports whether to shed it. If so, retryAfter is the Retry-After
// of the rejection.
func (c *Controller) RequestArrived(now rules.Time, request Request) (reject bool, retryAfter rules.Time) {
	c.now = max(c.now, now)
	demand := &c.demand
	work := request.DeclaredWork
	if work <= 0 && request.Class < len(demand.meanWork) {
		work = demand.meanWork[request.Class]
	}
	tier := TierLowestValue
	switch overQuota := c.countTenantRequest(request.Tenant); {
	case overQuota:
		tier = TierOverQuota
	case request.Retry:
		tier = TierRetries
	case request.Class < len(c.fleet.Classes):
		tier += PriorityTier(ValueTier(c.fleet.Classes[request.Class].PriorityWeight, work))
	}
	tierLoad := &demand.tiers[tier]
	tierLoad.work.add(c.now, work)
	if !c.settings.SheddingEnabled || tierLoad.shedFraction <= 0 {
		return false, 0
	}
	if tierLoad.carry += tierLoad.shedFraction; tierLoad.carry < 1 {
		return false, 0
	}
	tierLoad.carry--
	c.counts.Shed[min(tier, TierLowestValue)]++
	c.recordLimited()
	return true, c.RetryAfter(c.now)
}

// countTenantRequest counts a request of a tenant and reports whether the tenant exceeds this gateway's share of its
// quota.
func (c *Controller) countTenantRequest(tenant int) bool {
	if tenant < 0 || tenant >= len(c.demand.tenantRequests) || c.fleet.Tenants[tenant].QuotaPerSecond <= 0 {
		return false
	}
	requests := &c.demand.tenantRequests[tenant]
	requests.add(c.now, 1)
	quota := c.fleet.Tenants[tenant].QuotaPerSecond * float64(demandWindow) / float64(rules.Second) / float64(c.fleet.Gateways)
	return requests.sum > quota+quotaDeviations*math.Sqrt(quota)+1
}

// updatePressure updates the pressure and the shed fraction.
func (c *Controller) updatePressure(load rules.LoadSummary) {
	demand, shedding := &c.demand, c.settings.Shedding
	demand.meanWork = load.MeanWork
	if c.limitedSince != 0 && c.now-c.lastLimitedAt > overloadEndDelay {
		c.limitedSince = 0
	}
	elapsed := c.now - demand.updatedAt
	if demand.updatedAt == 0 {
		elapsed = 0
	}
	demand.updatedAt = c.now
	demand.queuedWork += (load.QueuedWork - demand.queuedWork) * -math.Expm1(-float64(elapsed)/float64(queueAveragingTime))
	demand.pressure = 1 + demand.queuedWork/float64(queueTarget)/max(demand.forwarded.value(c.now)/float64(demandWindow), c.minWorkRate())
	if !c.settings.SheddingEnabled {
		demand.shedFraction = 0
		c.distributeShedding(0)
		return
	}
	rising, falling := demand.pressure >= shedding.Threshold, demand.shedFraction > 0 && demand.pressure < shedding.Threshold-shedding.Hysteresis
	switch {
	case !rising && !falling:
		demand.changingSince = 0
	case demand.changingSince == 0 || demand.increasing != rising:
		demand.changingSince, demand.increasing = max(c.now, 1), rising
	}
	if demand.changingSince != 0 && c.now-demand.changingSince >= shedding.SettlingTime {
		step := float64(elapsed) / float64(rules.Second)
		if rising {
			demand.shedFraction = min(max(demand.shedFraction, c.excessFraction()), demand.shedFraction+maxShedIncrease*step)
		} else {
			demand.shedFraction -= max(minShedDecrease, demand.shedFraction*shedDecay) * step
		}
	}
	demand.shedFraction = min(max(demand.shedFraction, 0), maxShedFraction)
	c.distributeShedding(demand.shedFraction)
}

// excessFraction returns the fraction of the demand that can't be served. It is valid only while requests are queued:
// then the forwarded work equals the capacity, and part of that capacity is needed to drain the queue.
func (c *Controller) excessFraction() float64 {
	demand := &c.demand
	arrived := 0.0
	for i := range demand.tiers {
		arrived += demand.tiers[i].work.value(c.now)
	}
	forwarded := demand.forwarded.value(c.now)
	excessQueue := (demand.pressure - c.settings.Shedding.Threshold) * forwarded * float64(queueTarget) / float64(queueDrainTime)
	return 1 - (forwarded-min(excessQueue, forwarded/2))/max(arrived, 1e-9)
}

// minWorkRate returns a lower bound, in cores, for the work rate by which the pressure is computed: one request of each
// class within demandWindow. At lower rates the measured work is too little to estimate the capacity.
func (c *Controller) minWorkRate() (total float64) {
	for _, work := range c.demand.meanWork {
		total += work
	}
	return max(total/float64(demandWindow), 1e-9)
}

// distributeShedding sets the shed fractions of the tiers so that a fraction of the demand is shed: each tier is shed
// completely before the next one, the last one in part.
func (c *Controller) distributeShedding(fraction float64) {
	demand := &c.demand
	total := 0.0
	for i := range demand.tiers {
		total += demand.tiers[i].work.value(c.now)
	}
	remaining := fraction * total
	for i := range demand.tiers {
		tier := &demand.tiers[i]
		tier.shedFraction = 0
		if remaining > 0 {
			tier.shedFraction = 1
			if tier.work.sum > remaining {
				tier.shedFraction = remaining / tier.work.sum
			}
			remaining -= tier.shedFraction * tier.work.sum
		}
	}
}

// recordLimited records that a request was shed or blocked.
func (c *Controller) recordLimited() {
	if c.limitedSince == 0 {
		c.limitedSince = max(c.now, 1)
	}
	c.lastLimitedAt = c.now
}

// RetryAfter returns the Retry-After of a rejection, or 0 if nothing is shed or blocked. If a zone is returning, it is
// the time until that zone has its full share. Otherwise it is as long as the overload has lasted so far, since nothing
// else is known of the outage.
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

// SheddingStatus returns the pressure, the fraction of the demand that is shed, and the counts since the start.
func (c *Controller) SheddingStatus() (pressure, shedFraction float64, counts Counts) {
	return c.demand.pressure, c.demand.shedFraction, c.counts
}
