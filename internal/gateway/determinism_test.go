package gateway

import (
	"fmt"
	"testing"

	"foxlane/internal/config"
	"foxlane/rules"
)

// A failing seed has to fail again, or the failure cannot be traced. So the reducer and the simulation are functions of
// the configuration, the seed and the timed events only. Map iteration orders differ between the two plays.
func TestOneSeedGivesTheSameEffects(t *testing.T) {
	for _, scenario := range []struct {
		name   string
		modify func(*config.Config)
		flood  bool
	}{
		{name: "plain"},
		{name: "admission control", modify: withAdmission(t, fmt.Sprintf(admissionSiteFormat, 1), 70, 60), flood: true},
		{name: "results in memory", modify: withSpool(t, memorySpoolSite)},
		{name: "results on a disk", modify: withSpool(t, diskSpoolSite)},
	} {
		for seed := range seeds(4) {
			t.Run(fmt.Sprintf("%s seed %d", scenario.name, seed), func(t *testing.T) {
				var plays [2][]string
				for i := range plays {
					plays[i] = recordEffects(t, seed, scenario.modify, scenario.flood)
				}
				for i, effect := range plays[0] {
					if i >= len(plays[1]) || plays[1][i] != effect {
						other := "nothing"
						if i < len(plays[1]) {
							other = plays[1][i]
						}
						t.Fatalf("effect %d of %d differs:\n%.400s\n%.400s", i, len(plays[0]), effect, other)
					}
				}
				if len(plays[1]) != len(plays[0]) || len(plays[0]) < 2000 {
					t.Errorf("%d effects in the first play, %d in the second", len(plays[0]), len(plays[1]))
				}
			})
		}
	}
}

// recordEffects plays a seed at fault rate 1 and returns the effects with their times, in order.
func recordEffects(t *testing.T, seed uint64, modify func(*config.Config), flood bool) (effects []string) {
	sim := newSimulationWith(t, seed, 1, modify)
	sim.onEffect = func(effect Effect) {
		effects = append(effects, fmt.Sprintf("%d us %T %v", sim.now-sim.start, effect, effect))
	}
	const length = 6 * rules.Second
	for at := rules.Time(0); flood && at < length; at += 3 * rules.Millisecond {
		sim.schedule(at, sim.sendRequest)
	}
	sim.play(length)
	return effects
}
