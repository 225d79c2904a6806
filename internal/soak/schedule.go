// Package soak owns soak runs: random fleets of real processes with overlapping faults, which package harness runs. It
// reports the violations that clients and engines observed. It must not check a gateway's internal state, except for
// the invariant violations that the gateway itself logs.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"foxlane/internal/harness"
)

// Schedule is a fleet and its faults, drawn from a seed.
type Schedule struct {
	Seed   uint64
	Script harness.Script
}

const (
	engineCount      = 6 // of both zones together
	coresPerEngine   = 8
	engineColdStart  = 4 * time.Second
	firstFaultAt     = 600 * time.Millisecond
	faultStartWindow = 1500 * time.Millisecond // faults start within this time after firstFaultAt
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

const (
	largeFleetThreshold = 8  // from this number of requested processes on, some seeds run a large fleet instead
	largeFleetInterval  = 5  // seeds divisible by this run a large fleet
	minLargeFleet       = 20 // processes, all on one core
	maxLargeFleet       = 40 // processes, all on one core
)

// NewSchedule draws a fleet and its faults from a seed. Equal arguments give equal schedules.
func NewSchedule(seed uint64, processes int, length time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x50a6))
	large := processes >= largeFleetThreshold && seed%largeFleetInterval == 0
	if large {
		processes = minLargeFleet + rng.IntN(maxLargeFleet-minLargeFleet+1)
	}
	script := harness.Script{
		Zones: []harness.Zone{{Name: "hall-a", Gateways: processes - processes/2, Engines: engineCount / 2}, {Name: "hall-b", Gateways: processes / 2, Engines: engineCount / 2}},
		Cores: coresPerEngine, Load: 0.2 + 0.5*rng.Float64(), Seed: seed, ColdFrom: 0.33, Cold: engineColdStart, OverloadFactor: 0.3, Length: length, KeyedShare: 0.1, AbandonShare: 0.08,
		OrderedShare: 0.06, FirstZoneShare: 0.05, OneCore: large,
	}
	if rng.IntN(3) == 0 {
		script.RetryBudget = 0.1 + 0.2*rng.Float64()
	}
	if rng.IntN(3) == 0 {
		script.DeadlineFactor, script.WindowFactor = 0.25+0.5*rng.Float64(), 0.4+0.6*rng.Float64()
	}
	var operatorBlocks []string
	if rng.IntN(2) == 0 {
		operatorBlocks = append(operatorBlocks, "sites {\n  settle = \"300ms\"\n}")
	}
	withSpool := rng.IntN(4) == 0
	if withSpool {
		operatorBlocks = append(operatorBlocks, "spool {\n  folder = \"{folder}\"\n}")
	}
	if rng.IntN(4) == 0 {
		operatorBlocks = append(operatorBlocks, "fair {\n}")
	}
	script.OperatorFile = strings.Join(operatorBlocks, "\n")
	script.Gossip = rng.IntN(8) == 0 && !large
	for range 2 + rng.IntN(3) {
		script.Faults = append(script.Faults, randomFault(rng, &script, withSpool, length))
	}
	if rng.IntN(4) > 0 {
		script.Faults = append(script.Faults, randomListFaults(rng, &script, length)...)
	}
	drawMemory(seed, &script)
	return Schedule{seed, script}
}

const (
	minMemoryMB, maxMemoryMB       = 32, 192
	minSockets, maxSockets         = 256, 1024
	minCrowd, maxCrowd             = 60, 160 // clients
	minCrowdSeconds, crowdInterval = 1.0, 3  // a crowd is in one of crowdInterval seeds
)

// drawMemory draws the limits of memory and descriptors and, in some seeds, a crowd at one gateway. It draws from numbers
// of its own, so that the rest of a seed's schedule does not depend on it.
func drawMemory(seed uint64, script *harness.Script) {
	rng := rand.New(rand.NewPCG(seed, 0x3e30))
	script.MemoryMB = minMemoryMB + rng.IntN(maxMemoryMB-minMemoryMB+1)
	script.Sockets = minSockets + rng.IntN(maxSockets-minSockets+1)
	if rng.IntN(2) == 0 { // small machines break more easily
		script.MemoryMB = minMemoryMB + rng.IntN(minMemoryMB)
	}
	if rng.IntN(crowdInterval) != 0 {
		return
	}
	length := time.Duration((minCrowdSeconds + rng.Float64()) * float64(time.Second))
	script.Faults = append(script.Faults, harness.Fault{Kind: "crowd", Target: randomGateway(rng, script), At: firstFaultAt,
		For: min(length, script.Length-firstFaultAt-200*time.Millisecond), Factor: float64(minCrowd + rng.IntN(maxCrowd-minCrowd))})
}

// randomFault draws one fault that ends 200 ms before the end of the run at the latest. With a spool, half of the
// faults are disk faults.
func randomFault(rng *rand.Rand, script *harness.Script, withSpool bool, length time.Duration) harness.Fault {
	fault := harness.Fault{At: firstFaultAt + time.Duration(rng.Int64N(int64(faultStartWindow))), For: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))}
	fault.For = min(fault.For, length-fault.At-200*time.Millisecond)
	generators := faultGenerators
	if withSpool && rng.IntN(2) == 0 {
		generators = diskFaultGenerators
	}
	generators[rng.IntN(len(generators))](rng, script, &fault)
	return fault
}

// randomListFaults draws a fault in which engines leave the endpoint list while the answers of the name service are
// faulty, for example stale. Some draws kill gateways first.
func randomListFaults(rng *rand.Rand, script *harness.Script, length time.Duration) (faults []harness.Fault) {
	if rng.IntN(3) == 0 {
		return randomRestartFaults(rng, script, length)
	}
	if rng.IntN(2) == 0 {
		faults = append(faults, harness.Fault{Kind: "retire", Target: randomEngine(rng, script), At: 100 * time.Millisecond, For: 300 * time.Millisecond},
			harness.Fault{Kind: "kill", Target: randomGatewayTarget(rng, script), At: firstFaultAt + 300*time.Millisecond, For: 200 * time.Millisecond})
	}
	leaveAt := firstFaultAt + 700*time.Millisecond + time.Duration(rng.Int64N(int64(faultStartWindow/2)))
	listFault := harness.Fault{Kind: "lists", Target: randomGatewayTarget(rng, script), At: leaveAt - time.Duration(rng.Int64N(int64(time.Second/2))),
		For: 200*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))}
	listFault.Text = pick(rng, "stale", "stale", "earlier", "earlier", "mixed", "mixed", "lost", "late", "twice", "short", "failed", "other-id", "anew")
	listFault.Factor = 0.05 + 0.25*rng.Float64()
	switch listFault.Text {
	case "lost":
		listFault.Factor = 0.3 + 0.6*rng.Float64()
	case "late":
		listFault.Factor, listFault.Delay = 0.3+0.7*rng.Float64(), time.Duration(rng.Int64N(int64(7*time.Second)))
	case "mixed":
		listFault.Delay = 2 * time.Second
	}
	leaveFault := harness.Fault{Kind: "retire", Target: pick(rng, randomEngine(rng, script), randomEngine(rng, script), script.Zones[1].Name), Text: pick(rng, "", "", "gone", "both", "flap", "newid"), At: leaveAt}
	leaveFault.For = length - leaveAt - 700*time.Millisecond
	return append(faults, listFault, leaveFault)
}

// randomRestartFaults draws gateways that are killed and restarted, then receive lists from before the restart while
// engines leave the list.
func randomRestartFaults(rng *rand.Rand, script *harness.Script, length time.Duration) []harness.Fault {
	const killAt, restartedAt = 900 * time.Millisecond, 1300 * time.Millisecond
	target := randomGatewayTarget(rng, script)
	leaveAt := restartedAt + 200*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))
	return []harness.Fault{
		{Kind: "retire", Target: randomEngine(rng, script), At: 100 * time.Millisecond, For: 300 * time.Millisecond},
		{Kind: "kill", Target: target, At: killAt, For: 200 * time.Millisecond},
		{Kind: "lists", Target: target, Text: pick(rng, "earlier", "stale", "mixed"), Factor: 0.05 + 0.25*rng.Float64(), Delay: time.Second, At: restartedAt,
			For: leaveAt - restartedAt + time.Duration(rng.Int64N(int64(time.Second)))},
		{Kind: "retire", Target: randomEngine(rng, script), Text: pick(rng, "", "gone", "both"), At: leaveAt, For: length - leaveAt - 700*time.Millisecond},
	}
}

// gatewayCount returns the number of gateways in the fleet.
func (s *Schedule) gatewayCount() (n int) {
	for _, z := range s.Script.Zones {
		n += z.Gateways
	}
	return n
}

// Overlapping reports whether at least two faults are active at the same time.
func (s *Schedule) Overlapping() bool {
	for i, a := range s.Script.Faults {
		for _, b := range s.Script.Faults[:i] {
			if a.At < b.At+b.For && b.At < a.At+a.For {
				return true
			}
		}
	}
	return false
}

// String describes the schedule: a line for the fleet, then one for each fault.
func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d+%d gateways, %d MB, %d descriptors, load %.2f, one core %v, ration %.2f, deadlines %.2f, windows %.2f, talk %v, operator %q\n", s.Seed,
		s.Script.Zones[0].Gateways, s.Script.Zones[1].Gateways, s.Script.MemoryMB, s.Script.Sockets, s.Script.Load, s.Script.OneCore, s.Script.RetryBudget, s.Script.DeadlineFactor, s.Script.WindowFactor,
		s.Script.Gossip, strings.Join(strings.Fields(s.Script.OperatorFile), " "))
	for _, f := range s.Script.Faults {
		fmt.Fprintf(&b, "  %5.2f s for %.2f s: %s %s%s %s %s", f.At.Seconds(), f.For.Seconds(), f.Kind, f.Target, f.From, f.To, f.Text)
		if f.Factor != 0 {
			fmt.Fprintf(&b, " factor %.2f", f.Factor)
		}
		if f.Loss != 0 {
			fmt.Fprintf(&b, " loss %.2f", f.Loss)
		}
		b.WriteString("\n")
	}
	return b.String()
}
