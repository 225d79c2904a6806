package gateway

import (
	"testing"

	"foxlane/rules"
)

// An engine that starts after a step of the wall clock has a slow start of the usual length, although its start time
// and the gateway's clock differ by an hour. The same holds for an engine whose start time was taken before the step
// and is listed after it.
func TestSlowStartAcrossClockStep(t *testing.T) {
	const hour = 3600 * rules.Second
	for name, c := range map[string]struct{ skew, stampOffset rules.Time }{
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
			engine.host.Started = int64((sim.now + c.stampOffset) / rules.Millisecond)
			sim.serial++
			sim.run(sim.now + 300*rules.Millisecond)
			if fraction := sim.speedFraction(t, "s-00000002"); fraction > 0.6 {
				t.Errorf("speed fraction 0.3 s after the start: %.2f, want at most 0.6", fraction)
			}
			sim.run(sim.now + 5*rules.Second)
			if fraction := sim.speedFraction(t, "s-00000002"); fraction < 1 {
				t.Errorf("speed fraction 5 s after the start: %.2f, want 1", fraction)
			}
		})
	}
}

// speedFraction returns the module's current speed fraction of an engine.
func (sim *simulation) speedFraction(t *testing.T, name string) float64 {
	t.Helper()
	sim.g.Step(sim.now, TimerFired{})
	sim.g.notifyModule(rules.TimerFired{Token: "refresh"}) // the module's time is that of its last event
	sim.executeEffects()
	for _, view := range sim.g.module.EngineViews() {
		if eng := sim.g.engines[view.Engine]; eng != nil && eng.entry.ID == name {
			return view.SpeedFraction
		}
	}
	t.Fatalf("the module has no view of engine %s", name)
	return 0
}
