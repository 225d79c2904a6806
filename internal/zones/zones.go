// Package zones decides, for one gateway, what becomes of the load of a zone (a site or a hall: its engines and
// its gateways) that fails, is lost, recovers or is drained: the state of each zone, the share of its usual load that
// it takes, where queries go instead, how much load of other zones it may take, and which requests are shed first.
// Every gateway decides from its own traffic and endpoint list alone, and hundreds of them decide alike: what they do
// at the same time is spread by a jitter of their own and paced in fractions of warm capacity.
//
// Observe takes what a gateway knows of its engines, in regular intervals; PickZone, Admits and RecordSend are the
// calls of the decision module (rules.ZonePlan); RequestArrived is called ahead of it.
//
// The package owns the state of zones only. It must never pick an engine, queue a query, read a clock or draw at
// random: time and random numbers are arguments, and the jitter of the gateway is given at the start.
package zones

import "foxlane/rules"

// Fleet is what a gateway knows of the fleet at its start.
type Fleet struct {
	Zones             int
	HasUnassignedZone bool    // the last zone holds the engines of no zone; no gateway has it as its own
	OwnZone           int     // the zone of the gateway
	Gateways          int     // of all zones
	Jitter            float64 // from 0 to 1, different for each gateway
	Classes           []rules.Class
	Tenants           []rules.Tenant
}

// gatewayZones is the number of zones that have gateways.
func (f Fleet) gatewayZones() int {
	if f.HasUnassignedZone {
		return max(f.Zones-1, 1)
	}
	return max(f.Zones, 1)
}

// Controller holds the state of all zones, for one gateway. It is a rules.ZonePlan. Its owner serializes the calls.
type Controller struct {
	settings     Settings
	fleet        Fleet
	ownZone      int
	jitter       float64
	zones        []zoneRecord
	now          rules.Time
	split        Split // of the last Observe
	demand       demandState
	limitedSince rules.Time // since when something has been shed or blocked; 0: nothing is
	limitedLast  rules.Time // when something was last
	counts       Counts
}

// Counts are what the limits did since the start.
type Counts struct {
	Spillovers     int // queries sent to zones other than the own one
	Blocked        int // times that no zone could take a query
	Retries        int // retries sent
	RetriesBlocked int // retries that the budget of a zone did not allow
	Shed           [int(TierLowestValue) + 1]int
}

// New returns the controller of a gateway that has just started. All zones are taken for present until it observes
// otherwise: a gateway that starts while a zone is lost does what it would do without zones.
func New(set Settings, fleet Fleet, now rules.Time) *Controller {
	fleet.Gateways = max(fleet.Gateways, 1)
	controller := &Controller{settings: set, fleet: fleet, ownZone: fleet.OwnZone, jitter: fleet.Jitter, zones: make([]zoneRecord, fleet.Zones), now: now,
		demand: newDemandState(fleet)}
	for i := range controller.zones {
		controller.zones[i].spillover.sent.Span = spilloverWindow
	}
	return controller
}

// Reconfigure goes over to other settings. States, ramps and penalties are kept.
func (c *Controller) Reconfigure(set Settings) { c.settings = set }

// Status is what the log and other gateways are told of a zone.
type Status struct {
	State           State
	Since           rules.Time
	LoadShare       float64 // fraction of its usual load that it takes
	HealthyFraction float64 // fraction of it that is healthy
	Penalty         float64
	Damped          bool
	Losses          int
	TrafficFraction float64 // fraction of the gateway's load that goes there
	SpilloverCores  float64 // cores of spillover that the gateway may send there; under 0: no limit
}

// Status returns the status of all zones.
func (c *Controller) Status(now rules.Time) []Status {
	c.now = max(c.now, now)
	out := make([]Status, len(c.zones))
	for i := range c.zones {
		zone := &c.zones[i]
		out[i] = Status{zone.state, zone.since, c.loadShare(zone), zone.observation.healthyFraction(), c.penalty(zone), zone.damped, zone.losses, 0, -1}
		if i < len(c.split.Fractions) {
			out[i].TrafficFraction = c.split.Fractions[i]
		}
		if c.spilloverLimited(i) {
			out[i].SpilloverCores = zone.spillover.allowance / float64(spilloverWindow)
		}
	}
	return out
}
