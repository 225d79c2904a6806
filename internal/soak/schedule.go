// Package soak runs many random fleets of real processes, each with a few faults that overlap, on package harness, and reports
// the violations that clients and engines saw. It must never check what a gateway holds inside, other than the invariants that it
// logs as broken.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"foxlane/internal/harness"
)

// Schedule is a fleet and its faults, as drawn from a seed.
type Schedule struct {
	Seed   uint64
	Script harness.Script
}

const (
	engines          = 6 // in both zones together
	coreCount        = 8 // of an engine
	engineColdStart  = 4 * time.Second
	firstFaultAt     = 600 * time.Millisecond
	faultSpread      = 1500 * time.Millisecond // over which faults begin
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

const (
	largeFleetFrom     = 8  // with at least this many processes asked for, some seeds have a large fleet instead:
	largeFleetInterval = 5  // those divisible by this
	minLargeFleet      = 20 // processes, which share one core
	maxLargeFleet      = 40
)

// NewSchedule draws the fleet of a seed and its faults. The same arguments give the same schedule.
func NewSchedule(seed uint64, processes int, length time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x50a6))
	large := processes >= largeFleetFrom && seed%largeFleetInterval == 0
	if large {
		processes = minLargeFleet + rng.IntN(maxLargeFleet-minLargeFleet+1)
	}
	s := harness.Script{
		Zones: []harness.Zone{{Name: "hall-a", Gateways: processes - processes/2, Engines: engines / 2}, {Name: "hall-b", Gateways: processes / 2, Engines: engines / 2}},
		Cores: coreCount, Load: 0.2 + 0.5*rng.Float64(), Seed: seed, ColdFrom: 0.33, Cold: engineColdStart, OverloadFactor: 0.3, Length: length, KeyedShare: 0.1, AbandonShare: 0.08,
		OrderedShare: 0.06, FirstZoneShare: 0.05, OneCore: large,
	}
	if rng.IntN(3) == 0 {
		s.RetryBudget = 0.1 + 0.2*rng.Float64()
	}
	if rng.IntN(3) == 0 {
		s.DeadlineFactor, s.WindowFactor = 0.25+0.5*rng.Float64(), 0.4+0.6*rng.Float64()
	}
	var operator []string
	if rng.IntN(2) == 0 {
		operator = append(operator, "sites {\n  settle = \"300ms\"\n}")
	}
	spooled := rng.IntN(4) == 0
	if spooled {
		operator = append(operator, "spool {\n  folder = \"{folder}\"\n}")
	}
	if rng.IntN(4) == 0 {
		operator = append(operator, "fair {\n}")
	}
	s.OperatorFile = strings.Join(operator, "\n")
	s.Gossip = rng.IntN(8) == 0 && !large
	for range 2 + rng.IntN(3) {
		s.Faults = append(s.Faults, randomFault(rng, &s, spooled, length))
	}
	if rng.IntN(4) > 0 {
		s.Faults = append(s.Faults, randomListFaults(rng, &s, length)...)
	}
	return Schedule{seed, s}
}

// randomFault draws one fault.
func randomFault(rng *rand.Rand, s *harness.Script, spooled bool, length time.Duration) harness.Fault {
	f := harness.Fault{At: firstFaultAt + time.Duration(rng.Int64N(int64(faultSpread))), For: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))}
	f.For = min(f.For, length-f.At-200*time.Millisecond)
	generators := faultGenerators
	if spooled && rng.IntN(2) == 0 {
		generators = diskFaultGenerators
	}
	generators[rng.IntN(len(generators))](rng, s, &f)
	return f
}

// randomListFaults draws engines that leave the list while answers of the name service don't say so, sometimes after a kill of
// several gateways.
func randomListFaults(rng *rand.Rand, s *harness.Script, length time.Duration) (out []harness.Fault) {
	if rng.IntN(3) == 0 {
		return randomRestartFaults(rng, s, length)
	}
	if rng.IntN(2) == 0 {
		out = append(out, harness.Fault{Kind: "retire", Target: randomEngine(rng, s), At: 100 * time.Millisecond, For: 300 * time.Millisecond},
			harness.Fault{Kind: "kill", Target: gatewaySelector(rng, s), At: firstFaultAt + 300*time.Millisecond, For: 200 * time.Millisecond})
	}
	from := firstFaultAt + 700*time.Millisecond + time.Duration(rng.Int64N(int64(faultSpread/2)))
	lists := harness.Fault{Kind: "lists", Target: gatewaySelector(rng, s), At: from - time.Duration(rng.Int64N(int64(time.Second/2))),
		For: 200*time.Millisecond + time.Duration(rng.Int64N(int64(2*time.Second)))}
	lists.Text = pick(rng, "stale", "stale", "earlier", "earlier", "mixed", "mixed", "lost", "late", "twice", "short", "failed", "other-id", "anew")
	lists.Factor = 0.05 + 0.25*rng.Float64()
	switch lists.Text {
	case "lost":
		lists.Factor = 0.3 + 0.6*rng.Float64()
	case "late":
		lists.Factor, lists.Delay = 0.3+0.7*rng.Float64(), time.Duration(rng.Int64N(int64(7*time.Second)))
	case "mixed":
		lists.Delay = 2 * time.Second
	}
	leave := harness.Fault{Kind: "retire", Target: pick(rng, randomEngine(rng, s), randomEngine(rng, s), s.Zones[1].Name), Text: pick(rng, "", "", "gone", "both", "flap", "newid"), At: from}
	leave.For = length - from - 700*time.Millisecond
	return append(out, lists, leave)
}

// randomRestartFaults draws gateways that are killed and started again, then answers with lists from before that, and engines that
// leave the list.
func randomRestartFaults(rng *rand.Rand, s *harness.Script, length time.Duration) []harness.Fault {
	const killAt, restartedAt = 900 * time.Millisecond, 1300 * time.Millisecond
	of := gatewaySelector(rng, s)
	from := restartedAt + 200*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))
	return []harness.Fault{
		{Kind: "retire", Target: randomEngine(rng, s), At: 100 * time.Millisecond, For: 300 * time.Millisecond},
		{Kind: "kill", Target: of, At: killAt, For: 200 * time.Millisecond},
		{Kind: "lists", Target: of, Text: pick(rng, "earlier", "stale", "mixed"), Factor: 0.05 + 0.25*rng.Float64(), Delay: time.Second, At: restartedAt,
			For: from - restartedAt + time.Duration(rng.Int64N(int64(time.Second)))},
		{Kind: "retire", Target: randomEngine(rng, s), Text: pick(rng, "", "gone", "both"), At: from, For: length - from - 700*time.Millisecond},
	}
}

// processes is the number of gateways in the fleet.
func (s *Schedule) processes() (n int) {
	for _, z := range s.Script.Zones {
		n += z.Gateways
	}
	return n
}

// Overlapping reports whether two faults are active at once.
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

// String prints the schedule, a line for each fault.
func (s *Schedule) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d+%d gateways, load %.2f, one core %v, ration %.2f, deadlines %.2f, windows %.2f, talk %v, operator %q\n", s.Seed,
		s.Script.Zones[0].Gateways, s.Script.Zones[1].Gateways, s.Script.Load, s.Script.OneCore, s.Script.RetryBudget, s.Script.DeadlineFactor, s.Script.WindowFactor,
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
