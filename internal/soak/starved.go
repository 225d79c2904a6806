package soak

import (
	"math/rand/v2"
	"time"

	"foxlane/internal/harness"
)

const (
	starvedEngines   = 8 // of both zones together
	minStarvedFaults = 3 // drawn beside those of every run
	maxBusyThreads   = 9 // on the core that starved gateways share
)

// NewStarvedSchedule draws a fleet whose gateways have little processor time while all engines fail, hostile clients
// connect and processes are killed, all at the same time. Equal arguments give equal schedules.
func NewStarvedSchedule(seed uint64, processes int, length time.Duration) Schedule {
	rng := rand.New(rand.NewPCG(seed, 0x57a2))
	script := harness.Script{
		Zones: []harness.Zone{{Name: "hall-a", Gateways: processes - processes/2, Engines: starvedEngines / 2}, {Name: "hall-b", Gateways: processes / 2, Engines: starvedEngines / 2}},
		Cores: coresPerEngine, Load: 0.2 + 0.6*rng.Float64(), Seed: seed, ColdFrom: 0.33, Cold: engineColdStart, OverloadFactor: 0.3, Length: length,
		KeyedShare: 0.1, AbandonShare: 0.08, OrderedShare: 0.06, FirstZoneShare: 0.05,
	}
	if rng.IntN(4) > 0 {
		script.OperatorFile = "sites {\n}"
	}
	drawMemory(seed, &script)
	end := length - 200*time.Millisecond
	within := func(from, shortest, longest time.Duration) (at, d time.Duration) {
		at = from + time.Duration(rng.Int64N(int64(end-from)/2))
		return at, min(shortest+time.Duration(rng.Int64N(int64(longest-shortest))), end-at)
	}
	starved := harness.Fault{Kind: pick(rng, "starve", "starve", "pulse"), Target: randomGatewayTarget(rng, &script), Factor: float64(1 + rng.IntN(maxBusyThreads))}
	starved.At, starved.For = within(firstFaultAt, length/4, length)
	script.Faults = append(script.Faults, starved, lostZones(rng, &script, within),
		harness.Fault{Kind: "rogue", Target: "gateways", At: firstFaultAt, For: end - firstFaultAt})
	for range 1 + rng.IntN(2) {
		kill := harness.Fault{Kind: "kill", Target: randomGateway(rng, &script)}
		kill.At, _ = within(firstFaultAt, time.Second, 2*time.Second)
		kill.For = min(time.Second, end-kill.At)
		script.Faults = append(script.Faults, kill)
	}
	for range minStarvedFaults + rng.IntN(3) {
		fault := harness.Fault{}
		fault.At, fault.For = within(firstFaultAt, minFaultDuration, 2*maxFaultDuration)
		faultGenerators[rng.IntN(len(faultGenerators))](rng, &script, &fault)
		script.Faults = append(script.Faults, fault)
	}
	return Schedule{seed, script}
}

// lostZones draws a fault in which the engines of both zones fail.
func lostZones(rng *rand.Rand, _ *harness.Script, within func(from, shortest, longest time.Duration) (at, d time.Duration)) harness.Fault {
	fault := harness.Fault{Kind: "mode", Target: "engines", Text: pick(rng, "hang", "error", "spoil", "break"), Factor: 0.5 + 0.5*rng.Float64()}
	switch rng.IntN(4) {
	case 0:
		fault = harness.Fault{Kind: "silence", Target: "engines"}
	case 1:
		fault = harness.Fault{Kind: "slow", Target: "engines", Factor: 3 + 9*rng.Float64()}
	}
	fault.At, fault.For = within(firstFaultAt, time.Second, 2*maxFaultDuration)
	return fault
}
