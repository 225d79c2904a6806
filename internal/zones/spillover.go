package zones

import (
	"math"

	"foxlane/internal/window"
	"foxlane/rules"
)

// This file owns the spillover limits: how much load this gateway may send to other zones.

// spilloverState is the spillover of this gateway to another zone, in microseconds of work.
type spilloverState struct {
	allowance float64    // this gateway's share of the zone's spillover limit, per spilloverWindow
	sent      window.Sum // within the last spilloverWindow
}

const (
	spilloverWindow = rules.Second // span over which a spillover limit holds; unused allowance is not carried over
	// overflowWeight is the weight in the spillover limit of a gateway whose own zone is present but full. A gateway
	// whose own zone is unavailable has the weight 1.
	overflowWeight = 0.2
	// samplingMargin is the margin, in standard deviations, by which the work that all gateways send by sampling
	// stays under a limit.
	samplingMargin = 3.0
)

// spilloverLimited reports whether a spillover limit holds for the load of this gateway in a zone. There is none in its
// own zone, for engines without a zone, or if its own zone never had an engine and the load has to go elsewhere.
func (c *Controller) spilloverLimited(index int) bool {
	return c.settings.SpilloverLimit < 1 && index != c.ownZone && (!c.fleet.HasUnassignedZone || index != len(c.zones)-1) &&
		c.ownZone >= 0 && c.ownZone < len(c.zones) && c.zones[c.ownZone].nominalCores >= minCores
}

// allocateSpillover computes this gateway's share of the spillover limit of each zone. Gateways whose own zone is
// unavailable get most of a limit; those whose own zone overflows share the rest. A gateway is certain of the state of
// its own zone only. If that is available, it assumes that all other zones are unavailable, so the shares of all
// gateways never add up to more than the limit. Gateways are assumed to be spread evenly over the zones.
func (c *Controller) allocateSpillover() {
	if c.settings.SpilloverLimit >= 1 {
		return
	}
	zonesWithGateways := c.fleet.gatewayZones()
	for i := range c.zones {
		spillover := &c.zones[i].spillover
		spillover.allowance = 0
		if !c.spilloverLimited(i) {
			continue
		}
		ownWeight, otherWeights := overflowWeight, 0.0
		if c.mustSpillOver(c.ownZone) {
			ownWeight = 1
		}
		for other := range zonesWithGateways {
			switch {
			case other == i || other == c.ownZone:
			case ownWeight == 1 && !c.mustSpillOver(other):
				otherWeights += overflowWeight
			default:
				otherWeights++
			}
		}
		share := ownWeight / (ownWeight + otherWeights) * float64(zonesWithGateways) / float64(c.fleet.Gateways)
		spillover.allowance = c.settings.SpilloverLimit * c.capacity(&c.zones[i]) * float64(spilloverWindow) * min(share, 1)
	}
}

// mustSpillOver reports whether the gateways of a zone have to send load to other zones.
func (c *Controller) mustSpillOver(index int) bool {
	state := c.zones[index].state
	return state == Lost || state == Returning || state == Draining || state == Drained
}

// spilloverAllowed reports whether a query of some work may be sent to a zone now. Among hundreds of gateways, the
// allowance of one can be smaller than a heavy query, which could then never be sent. In that case, each window a
// sample of the gateways may send one such query each. The sample is small enough that all gateways together stay under
// the limit by samplingMargin.
func (c *Controller) spilloverAllowed(index int, work float64) bool {
	if !c.spilloverLimited(index) {
		return true
	}
	spillover := &c.zones[index].spillover
	sent := spillover.sent.Total(c.now)
	if sent+work <= spillover.allowance {
		return true
	}
	// totalAllowance estimates the whole limit of the zone, which all gateways share.
	totalAllowance := spillover.allowance * float64(c.fleet.Gateways) / float64(c.fleet.gatewayZones())
	// rootCount solves x*x + samplingMargin*x = totalAllowance/work: on average x*x queries are sent, with the
	// standard deviation x.
	rootCount := math.Sqrt(totalAllowance/work+samplingMargin*samplingMargin/4) - samplingMargin/2
	samplingLimit := spillover.allowance * rootCount * rootCount * work / max(totalAllowance, 1e-9)
	return work > spillover.allowance && sent+c.windowSample(index)*work <= samplingLimit
}

// windowSample returns a pseudo-random number from 0 to 1 for a zone. It changes once per window, at a different time
// for each gateway.
func (c *Controller) windowSample(index int) float64 {
	windowIndex := math.Floor(float64(c.now)/float64(spilloverWindow) + c.jitter)
	_, sample := math.Modf(math.Mod(windowIndex, 1e6)*math.Phi + c.jitter*7919 + float64(index)*math.Sqrt2)
	return sample
}
