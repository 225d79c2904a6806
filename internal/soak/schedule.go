// Package soak plays many random fleets of real processes, each with a few troubles that overlap, and judges them by what
// clients and engines saw. It is built on package rig and must never judge by what a gateway holds inside, other than the
// invariants that it counts and logs.
package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"foxlane/internal/harness"
)

// Schedule is what is drawn from a seed.
type Schedule struct {
	Seed   uint64
	Script harness.Script
}

const (
	engines          = 6
	coreCount        = 8
	engineColdStart  = 4 * time.Second
	firstFaultAt     = 600 * time.Millisecond
	faultSpread      = 1500 * time.Millisecond // over which troubles begin
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

const (
	largeFleetFrom     = 8  // a fleet of as many processes may be a crowd,
	largeFleetInterval = 5  // which every such seed is
	minLargeFleet      = 20 // processes, on one core together
	maxLargeFleet      = 40
)

// NewSchedule returns the fleet of a seed and what befalls it.
func NewSchedule(seed uint64, processes int, length time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x50a6))
	crowd := processes >= largeFleetFrom && seed%largeFleetInterval == 0
	if crowd {
		processes = minLargeFleet + rng.IntN(maxLargeFleet-minLargeFleet+1)
	}
	s := harness.Script{
		Zones: []harness.Zone{{Name: "hall-a", Gateways: processes - processes/2, Engines: engines / 2}, {Name: "hall-b", Gateways: processes / 2, Engines: engines / 2}},
		Cores: coreCount, Load: 0.2 + 0.5*rng.Float64(), Seed: seed, ColdFrom: 0.33, Cold: engineColdStart, OverloadFactor: 0.3, Length: length, KeyedShare: 0.1, AbandonShare: 0.08,
		OrderedShare: 0.06, FirstZoneShare: 0.05, OneCore: crowd,
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
	s.Gossip = rng.IntN(8) == 0 && !crowd
	for range 2 + rng.IntN(3) {
		s.Faults = append(s.Faults, randomFault(rng, &s, spooled, length))
	}
	if rng.IntN(4) > 0 {
		s.Faults = append(s.Faults, randomListFaults(rng, &s, length)...)
	}
	return Schedule{seed, s}
}

// randomFault draws one trouble.
func randomFault(rng *rand.Rand, s *harness.Script, spooled bool, length time.Duration) harness.Fault {
	f := harness.Fault{At: firstFaultAt + time.Duration(rng.Int64N(int64(faultSpread))), For: minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))}
	f.For = min(f.For, length-f.At-200*time.Millisecond)
	kinds := faultGenerators
	if spooled && rng.IntN(2) == 0 {
		kinds = diskFaultGenerators
	}
	kinds[rng.IntN(len(kinds))](rng, s, &f)
	return f
}

// randomListFaults draws engines that leave the list and answers of the name service that don't say so, at times behind a kill of
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

// randomRestartFaults draws gateways that are killed and started again, lists from before that, and engines that leave behind it.
func randomRestartFaults(rng *rand.Rand, s *harness.Script, length time.Duration) []harness.Fault {
	const killAt, begun = 900 * time.Millisecond, 1300 * time.Millisecond
	of := gatewaySelector(rng, s)
	from := begun + 200*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second)))
	return []harness.Fault{
		{Kind: "retire", Target: randomEngine(rng, s), At: 100 * time.Millisecond, For: 300 * time.Millisecond},
		{Kind: "kill", Target: of, At: killAt, For: 200 * time.Millisecond},
		{Kind: "lists", Target: of, Text: pick(rng, "earlier", "stale", "mixed"), Factor: 0.05 + 0.25*rng.Float64(), Delay: time.Second, At: begun,
			For: from - begun + time.Duration(rng.Int64N(int64(time.Second)))},
		{Kind: "retire", Target: randomEngine(rng, s), Text: pick(rng, "", "gone", "both"), At: from, For: length - from - 700*time.Millisecond},
	}
}

// faultGenerator completes a fault whose time is drawn.
type faultGenerator func(rng *rand.Rand, s *harness.Script, f *harness.Fault)

func pick[T any](rng *rand.Rand, from ...T) T { return from[rng.IntN(len(from))] }

// gatewaySelector names one gateway, a zone of them, or all.
func gatewaySelector(rng *rand.Rand, s *harness.Script) string {
	z := s.Zones[rng.IntN(len(s.Zones))]
	switch rng.IntN(4) {
	case 0:
		return "gateways"
	case 1:
		return z.Name
	}
	return randomGateway(rng, s)
}

func randomGateway(rng *rand.Rand, s *harness.Script) string {
	z := s.Zones[rng.IntN(len(s.Zones))]
	return fmt.Sprintf("%s/g%d", z.Name, rng.IntN(z.Gateways))
}

func randomEngine(rng *rand.Rand, s *harness.Script) string {
	z := s.Zones[rng.IntN(len(s.Zones))]
	return fmt.Sprintf("%s/e%d", z.Name, rng.IntN(z.Engines))
}

// faultGenerators are drawn evenly.
var faultGenerators = []faultGenerator{
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "freeze", randomGateway(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "freeze", gatewaySelector(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "kill", randomGateway(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "restart", randomGateway(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "kill", gatewaySelector(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "term", gatewaySelector(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Text = "signals", randomGateway(rng, s), pick(rng, "HUP TERM TERM HUP", "TERM HUP", "HUP HUP HUP HUP", "HUP STOP CONT TERM TERM", "TERM STOP CONT HUP")
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor, f.Delay = "late-dials", gatewaySelector(rng, s), 0.2+0.5*rng.Float64(), 300*time.Millisecond+time.Duration(rng.Int64N(int64(1200*time.Millisecond)))
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.From, f.To, f.Both = "cut", randomGateway(rng, s), "names", true
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "reload", gatewaySelector(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "fifo", randomGateway(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "log", gatewaySelector(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "files", randomGateway(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "step", gatewaySelector(rng, s), pick(rng, -3600.0, -5, 5, 3600)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "calls", gatewaySelector(rng, s), 0.3+0.7*rng.Float64()
		f.Text = pick(rng, "dial ENETUNREACH", "dial EADDRNOTAVAIL", "dial ENOBUFS", "dial EHOSTUNREACH", "dial ETIMEDOUT", "accept ECONNABORTED",
			"accept ENFILE", "accept EPROTO", "udp ENOBUFS", "send ENETUNREACH", "send ENOBUFS", "receive EHOSTUNREACH", "dial,accept,udp ENFILE")
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "retire", randomEngine(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Text = "retire", randomEngine(rng, s), pick(rng, "", "gone", "flap", "newid")
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Text, f.Factor = "mode", pick(rng, randomEngine(rng, s), "engines"), pick(rng, "hang", "error", "spoil", "break"), 0.1+0.4*rng.Float64()
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "silence", randomEngine(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "reset", pick(rng, randomEngine(rng, s), "engines", randomGateway(rng, s))
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "slow", randomEngine(rng, s), 2+4*rng.Float64()
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "burst", "*", 1.5+2*rng.Float64()
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "rogue", gatewaySelector(rng, s)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Factor = "leave", 0.2+0.6*rng.Float64()
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Factor = "leave", 0.2+0.6*rng.Float64()
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) { f.Kind = "dark" },
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.From, f.To, f.Both = "cut", randomGateway(rng, s), randomEngine(rng, s), rng.IntN(2) == 0
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.From, f.To, f.Both, f.Loss = "link", "gateways", "engines", true, 0.3*rng.Float64()
	},
}

// diskFaultGenerators are those of the folder of results.
var diskFaultGenerators = []faultGenerator{
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "disk", "gateways", 0.3+0.7*rng.Float64()
		f.Text = pick(rng, "write ENOSPC", "sync EIO", "write,sync EIO", "open,remove ENOSPC", "truncate,sync,write EIO")
	},
}

// processes is how many gateways the fleet has.
func (s *Schedule) processes() (n int) {
	for _, z := range s.Script.Zones {
		n += z.Gateways
	}
	return n
}

// Overlapping answers whether two troubles hold at once.
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

// String tells the schedule, a line a trouble.
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
