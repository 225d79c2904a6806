// Package zones implements zone failover for one gateway. A zone is a site or a hall with its engines and gateways.
// The package owns the state of each zone: present, failing, lost, returning, draining or drained. The states determine
// the share of its normal load that each zone receives, the split of this gateway's load over the zones, the spillover
// limit and the retry budget of each zone, and which requests are shed first.
//
// Each gateway decides alone, from its own traffic and endpoint list. Hundreds of gateways make the same decisions at
// the same time, so each spreads its actions by a jitter of its own and paces them by fractions of warm capacity.
//
// Observe receives the gateway's view of its engines at regular intervals. The decision module calls PickZone,
// Admits and RecordSend (rules.ZonePlan). RequestArrived is called for each request before the module receives it.
//
// The package must not pick engines, queue queries, read a clock or draw random numbers: times and random numbers are
// arguments, and the jitter is set by New.
package zones

import "foxlane/rules"

// Fleet describes the fleet as the gateway knows it at its start.
type Fleet struct {
	Zones             int
	HasUnassignedZone bool    // the last zone is for engines without a zone; no gateway belongs to it
	OwnZone           int     // zone of this gateway
	Gateways          int     // in all zones
	Jitter            float64 // from 0 to 1, different for each gateway
	Classes           []rules.Class
	Tenants           []rules.Tenant
}

// gatewayZones returns the number of zones that have gateways.
func (f Fleet) gatewayZones() int {
	if f.HasUnassignedZone {
		return max(f.Zones-1, 1)
	}
	return max(f.Zones, 1)
}

// Controller holds the state of all zones for one gateway and implements rules.ZonePlan. It is not safe for concurrent
// use.
type Controller struct {
	settings      Settings
	fleet         Fleet
	ownZone       int
	jitter        float64
	zones         []zoneRecord
	now           rules.Time
	split         Split // computed by the last Observe
	demand        demandState
	limitedSince  rules.Time // start of the current overload, in which requests are shed or blocked; 0: no overload
	lastLimitedAt rules.Time // time of the last shed or blocked request
	counts        Counts
}

// Counts are totals since the start.
type Counts struct {
	Spillovers     int // queries sent to zones other than the gateway's own
	Blocked        int // calls of PickZone in which the limits left no zone for a query
	Retries        int // retries sent
	RetriesBlocked int // retries denied by the retry budget of a zone
	// Shed counts shed requests by tier; all value tiers count as TierLowestValue.
	Shed [int(TierLowestValue) + 1]int
}

// New returns the controller of a gateway that has just started. All zones count as present until observations say
// otherwise, so a gateway that starts while a zone is lost first routes as it would without zones.
func New(settings Settings, fleet Fleet, now rules.Time) *Controller {
	fleet.Gateways = max(fleet.Gateways, 1)
	controller := &Controller{settings: settings, fleet: fleet, ownZone: fleet.OwnZone, jitter: fleet.Jitter, zones: make([]zoneRecord, fleet.Zones), now: now,
		demand: newDemandState(fleet)}
	for i := range controller.zones {
		controller.zones[i].spillover.sent.Span = spilloverWindow
	}
	return controller
}

// Reconfigure replaces the settings. States, ramps and penalties are kept.
func (c *Controller) Reconfigure(settings Settings) { c.settings = settings }

// Status is the status of a zone as it is logged and published to other gateways.
type Status struct {
	State           State
	Since           rules.Time // when the state was entered
	LoadShare       float64    // fraction of its normal load that the zone receives
	HealthyFraction float64    // healthy fraction of its listed cores
	Penalty         float64    // current sum of flap penalties
	Damped          bool       // suppressed because it flaps
	Losses          int        // since the start
	TrafficFraction float64    // fraction of this gateway's load that is sent to the zone
	SpilloverCores  float64    // cores of spillover that this gateway may send to the zone; negative: no limit
}

// Status returns the status of all zones.
func (c *Controller) Status(now rules.Time) []Status {
	c.now = max(c.now, now)
	statuses := make([]Status, len(c.zones))
	for i := range c.zones {
		zone := &c.zones[i]
		statuses[i] = Status{zone.state, zone.since, c.loadShare(zone), zone.observation.healthyFraction(), c.penalty(zone), zone.damped, zone.losses, 0, -1}
		if i < len(c.split.Fractions) {
			statuses[i].TrafficFraction = c.split.Fractions[i]
		}
		if c.spilloverLimited(i) {
			statuses[i].SpilloverCores = zone.spillover.allowance / float64(spilloverWindow)
		}
	}
	return statuses
}
