package rules

// Share: how much of the fleet this gateway takes, as a multiple of one over the gateways; the types are in
// api.go. It grows with good outcomes while it is used up, and slow attempts cut it. Invariant: it stays
// between minShare and maxShareFactor times the whole fleet, and bounds never fall below an even part.

import "math"

const (
	// shareGrowth is the growth of the share for a second of good work on an even part of the fleet.
	shareGrowth = 0.2
	// startupGrowth is how many times that is added after this gateway's start, fading over learningWindow:
	// one that is back gets the clients of others with an even part of engines that they left half empty.
	startupGrowth = 4.0
	// shareCut is the part of the share that a second of an even part in slow attempts cuts.
	shareCut = 0.13
	// maxShareCut is the most that one slow attempt cuts.
	maxShareCut = 0.3
	// minShare is the least share. Below one it takes from the margin of fleetThreadBound only.
	minShare = 0.05
	// maxShareFactor is the most of an engine's bound that this gateway takes for its own.
	maxShareFactor = 2.0
	// usedShareFraction is the fraction of the bounds in use from which the share counts as used up.
	usedShareFraction = 0.7
)

// fleetFraction is this gateway's part of anything that all gateways use.
func (m *Module) fleetFraction() float64 { return max(m.share, 1) / float64(m.settings.Gateways) }

// growShare grows the share for good work while it is used up: more of it would be used.
func (m *Module) growShare(work float64) {
	if !m.shareUsed() {
		return
	}
	age := float64(m.now - m.startedAt)
	growth := shareGrowth * (1 + startupGrowth*math.Exp(-age/float64(learningWindow)))
	m.share = min(m.share+growth*m.evenShareSeconds(work), maxShareFactor*float64(m.settings.Gateways))
}

// shareUsed reports whether the gateway comes near what it may put on the fleet.
func (m *Module) shareUsed() bool {
	return m.inFlight.threads >= usedShareFraction*m.threadBound(m.fleetCapacity.Cores) ||
		m.inFlight.memoryMB >= usedShareFraction*m.fleetCapacity.MemoryMB*m.fleetFraction()
}

// countSlow cuts the share for an attempt that takes too long, by the part of the fleet that it held. It
// counts as soon as it is seen, and what it held further at its end: outcomes alone come too late.
func (m *Module) countSlow(att *attempt, latency float64) {
	if latency > att.countedSlow {
		m.cutShare(shareCut * m.evenShareSeconds(att.threads*(latency-att.countedSlow)))
		att.countedSlow = latency
	}
}

func (m *Module) cutShare(by float64) { m.share = max(m.share*(1-min(by, maxShareCut)), minShare) }

// evenShareSeconds is for how many seconds thread time fills an even part of the fleet.
func (m *Module) evenShareSeconds(threadTime float64) float64 {
	return threadTime * float64(m.settings.Gateways) / (m.fleetCapacity.Cores*float64(Second) + 1)
}
