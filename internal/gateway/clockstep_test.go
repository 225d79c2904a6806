package gateway

import (
	"testing"

	"foxlane/rules"
)

// An engine that starts after the wall clock was stepped warms up for as long as any other, though its start time and our clock are
// an hour apart; so does one whose start time was taken before the step and is listed after it.
func TestSlowStartAcrossClockStep(t *testing.T) {
	const hour = 3600 * rules.Second
	for name, c := range map[string]struct{ skew, stamped rules.Time }{
		"forward":             {hour, hour},
		"back":                {-hour, -hour},
		"stamped before":      {hour, 0},
		"stamped before back": {-hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 5, 0)
			sim.run(sim.now + rules.Second)
			sim.clockSkew = c.skew
			sim.run(sim.now + rules.Second)
			engine := sim.engines["s-00000002"]
			engine.host.Started = int64((sim.now + c.stamped) / rules.Millisecond)
			sim.serial++
			sim.run(sim.now + 300*rules.Millisecond)
			if fraction := sim.speedFraction(t, "s-00000002"); fraction > 0.6 {
				t.Errorf("0.3 s after its start it counts as warm as %.2f", fraction)
			}
			sim.run(sim.now + 5*rules.Second)
			if fraction := sim.speedFraction(t, "s-00000002"); fraction < 1 {
				t.Errorf("5 s after its start it counts as warm as %.2f only", fraction)
			}
		})
	}
}

// speedFraction is what the module holds of an engine's.
func (sim *simulation) speedFraction(t *testing.T, name string) float64 {
	t.Helper()
	sim.g.Step(sim.now, TimerFired{})
	sim.g.notifyModule(rules.TimerFired{Token: "a look"}) // the module knows the time of its last event only
	sim.executeEffects()
	for _, view := range sim.g.module.EngineViews() {
		if eng := sim.g.engines[view.Engine]; eng != nil && eng.entry.ID == name {
			return view.SpeedFraction
		}
	}
	t.Fatalf("nothing is held of %s", name)
	return 0
}
