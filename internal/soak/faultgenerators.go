package soak

import (
	"fmt"
	"math/rand/v2"
	"time"

	"foxlane/internal/harness"
)

// faultGenerator draws the kind of a fault and the parameters of that kind. The caller has set its start and
// duration.
type faultGenerator func(rng *rand.Rand, s *harness.Script, f *harness.Fault)

// pick returns one of the values, each with the same probability.
func pick[T any](rng *rand.Rand, values ...T) T { return values[rng.IntN(len(values))] }

// randomGatewayTarget returns one gateway (half of the time), the gateways of one zone, or all gateways.
func randomGatewayTarget(rng *rand.Rand, s *harness.Script) string {
	z := s.Zones[rng.IntN(len(s.Zones))]
	switch rng.IntN(4) {
	case 0:
		return "gateways"
	case 1:
		return z.Name
	}
	return randomGateway(rng, s)
}

// randomGateway returns the name of one gateway.
func randomGateway(rng *rand.Rand, s *harness.Script) string {
	z := s.Zones[rng.IntN(len(s.Zones))]
	return fmt.Sprintf("%s/g%d", z.Name, rng.IntN(z.Gateways))
}

// randomEngine returns the name of one engine.
func randomEngine(rng *rand.Rand, s *harness.Script) string {
	z := s.Zones[rng.IntN(len(s.Zones))]
	return fmt.Sprintf("%s/e%d", z.Name, rng.IntN(z.Engines))
}

// targetFault returns a generator of faults that have no parameter except their target.
func targetFault(kind string, draw func(*rand.Rand, *harness.Script) string) faultGenerator {
	return func(rng *rand.Rand, s *harness.Script, f *harness.Fault) { f.Kind, f.Target = kind, draw(rng, s) }
}

// abandonFault generates a fault in which 0.2 to 0.8 of the clients abandon their requests.
func abandonFault(rng *rand.Rand, _ *harness.Script, f *harness.Fault) {
	f.Kind, f.Factor = "leave", 0.2+0.6*rng.Float64()
}

// faultGenerators lists the generators of all faults except disk faults. Each entry has the same probability; a
// fault that is listed twice is drawn twice as often.
var faultGenerators = []faultGenerator{
	targetFault("freeze", randomGateway),
	targetFault("freeze", randomGatewayTarget),
	targetFault("kill", randomGateway),
	targetFault("restart", randomGateway),
	targetFault("kill", randomGatewayTarget),
	targetFault("term", randomGatewayTarget),
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Text = "signals", randomGateway(rng, s), pick(rng, "HUP TERM TERM HUP", "TERM HUP", "HUP HUP HUP HUP", "HUP STOP CONT TERM TERM", "TERM STOP CONT HUP")
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor, f.Delay = "late-dials", randomGatewayTarget(rng, s), 0.2+0.5*rng.Float64(), 300*time.Millisecond+time.Duration(rng.Int64N(int64(1200*time.Millisecond)))
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.From, f.To, f.Both = "cut", randomGateway(rng, s), "names", true
	},
	targetFault("reload", randomGatewayTarget),
	targetFault("fifo", randomGateway),
	targetFault("log", randomGatewayTarget),
	targetFault("files", randomGateway),
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "step", randomGatewayTarget(rng, s), pick(rng, -3600.0, -5, 5, 3600)
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "calls", randomGatewayTarget(rng, s), 0.3+0.7*rng.Float64()
		f.Text = pick(rng, "dial ENETUNREACH", "dial EADDRNOTAVAIL", "dial ENOBUFS", "dial EHOSTUNREACH", "dial ETIMEDOUT", "accept ECONNABORTED",
			"accept ENFILE", "accept EPROTO", "udp ENOBUFS", "send ENETUNREACH", "send ENOBUFS", "receive EHOSTUNREACH", "dial,accept,udp ENFILE")
	},
	targetFault("retire", randomEngine),
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Text = "retire", randomEngine(rng, s), pick(rng, "", "gone", "flap", "newid")
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Text, f.Factor = "mode", pick(rng, randomEngine(rng, s), "engines"), pick(rng, "hang", "error", "spoil", "break"), 0.1+0.4*rng.Float64()
	},
	targetFault("silence", randomEngine),
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target = "reset", pick(rng, randomEngine(rng, s), "engines", randomGateway(rng, s))
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "slow", randomEngine(rng, s), 2+4*rng.Float64()
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "burst", "*", 1.5+2*rng.Float64()
	},
	targetFault("rogue", randomGatewayTarget),
	abandonFault,
	abandonFault,
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) { f.Kind = "dark" },
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.From, f.To, f.Both = "cut", randomGateway(rng, s), randomEngine(rng, s), rng.IntN(2) == 0
	},
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.From, f.To, f.Both, f.Loss = "link", "gateways", "engines", true, 0.3*rng.Float64()
	},
}

// diskFaultGenerators lists the generators of faults in the folder of stored results.
var diskFaultGenerators = []faultGenerator{
	func(rng *rand.Rand, s *harness.Script, f *harness.Fault) {
		f.Kind, f.Target, f.Factor = "disk", "gateways", 0.3+0.7*rng.Float64()
		f.Text = pick(rng, "write ENOSPC", "sync EIO", "write,sync EIO", "open,remove ENOSPC", "truncate,sync,write EIO")
	},
}
