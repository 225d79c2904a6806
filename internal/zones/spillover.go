package zones

import (
	"math"

	"foxlane/internal/window"
	"foxlane/rules"
)

// This file owns the spillover limit: how much load of this gateway other zones may take.

// spilloverState is the work that was sent to a zone that is not our own within the last window, in microseconds.
type spilloverState struct {
	allowance float64 // the gateway's part of the spillover that the zone takes within a window
	sent      window.Sum
}

const (
	spilloverWindow    = rules.Second // over which a spillover limit holds: what is not used within it is not saved up
	overflowFraction   = 0.2          // weight of a gateway whose own zone is there but full, beside 1 of one whose own zone is unavailable
	samplingDeviations = 3.0          // standard deviations by which what gateways send by sampling must stay under a limit
)

// spilloverLimited reports whether the spillover limit holds for our load in a zone. It does not in our own zone,
// nor for engines of no zone, nor for a gateway whose own zone never had an engine: it has nowhere else to go.
func (c *Controller) spilloverLimited(i int) bool {
	return c.settings.SpilloverLimit < 1 && i != c.ownZone && (!c.fleet.HasUnassignedZone || i != len(c.zones)-1) &&
		c.ownZone >= 0 && c.ownZone < len(c.zones) && c.zones[c.ownZone].usualCores >= minCores
}

// allocateSpillover computes our part of the spillover limit of each zone. Gateways whose own zone is unavailable
// get most of it, those whose own zone overflows share the rest. Each gateway is certain of its own zone only: one
// whose own zone is there assumes that all others are unavailable, so that the parts of all gateways never add up to
// more than the limit. Gateways are taken to be spread evenly over the zones.
func (c *Controller) allocateSpillover() {
	if c.settings.SpilloverLimit >= 1 {
		return
	}
	homes := c.fleet.gatewayZones()
	for i := range c.zones {
		spillover := &c.zones[i].spillover
		spillover.allowance = 0
		if !c.spilloverLimited(i) {
			continue
		}
		ours, others := overflowFraction, 0.0
		if c.unavailable(c.ownZone) {
			ours = 1
		}
		for o := range homes {
			switch {
			case o == i || o == c.ownZone:
			case ours == 1 && !c.unavailable(o):
				others += overflowFraction
			default:
				others++
			}
		}
		part := ours / (ours + others) * float64(homes) / float64(c.fleet.Gateways)
		spillover.allowance = c.settings.SpilloverLimit * c.capacity(&c.zones[i]) * float64(spilloverWindow) * min(part, 1)
	}
}

// unavailable reports whether the gateways of a zone have to send their load elsewhere.
func (c *Controller) unavailable(i int) bool {
	s := c.zones[i].state
	return s == Lost || s == Returning || s == Draining || s == Drained
}

// spilloverAllowed reports whether work may go to a zone now. Among hundreds of gateways the part of one is smaller
// than a query, and no heavy query would ever go: then sampling, anew for each window, lets some gateways send one
// query each, so many that all together stay under the limit with a margin for chance.
func (c *Controller) spilloverAllowed(i int, work float64) bool {
	if !c.spilloverLimited(i) {
		return true
	}
	spillover := &c.zones[i].spillover
	spent := spillover.sent.Total(c.now)
	if spent+work <= spillover.allowance {
		return true
	}
	all := spillover.allowance * float64(c.fleet.Gateways) / float64(c.fleet.gatewayZones()) // about what all gateways together may send there
	root := math.Sqrt(all/work+samplingDeviations*samplingDeviations/4) - samplingDeviations/2
	asked := spillover.allowance * root * root * work / max(all, 1e-9)
	return work > spillover.allowance && spent+c.sample(i)*work <= asked
}

// sample is a number from 0 to 1 for a zone. It changes once in a window, at a time that differs between gateways.
func (c *Controller) sample(i int) float64 {
	window := math.Floor(float64(c.now)/float64(spilloverWindow) + c.jitter)
	_, sample := math.Modf(math.Mod(window, 1e6)*math.Phi + c.jitter*7919 + float64(i)*math.Sqrt2)
	return sample
}
