package gateway

import (
	"errors"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// A gateway that lacks something of its own, so that all its dials fail for seconds, takes no zone for lost and no engine
// for failing: once it has what it lacked, it serves at once.
func TestLocalExhaustionLosesNoZone(t *testing.T) {
	sim := newSimulationWith(t, 3, 0, withSite(t, "sites {\n  settle = \"100ms\"\n}"))
	sim.localExhaustion = true
	sim.play(6 * rules.Second)
	for zone, status := range sim.g.zones.router.Status(sim.now)[:2] {
		if status.Losses > 0 || status.State != zones.Present {
			t.Errorf("zone %d is %v and was lost %d times", zone, status.State, status.Losses)
		}
	}
	if sim.localDialFailures == 0 {
		t.Error("no dial failed: nothing is shown")
	}
}

// A probe that could not be made for want of something here is no word of the engine, even where others doubt it.
func TestLocalExhaustionIsNoProbeResult(t *testing.T) {
	sim := newSimulationWith(t, 4, 0, func(cfg *config.Config) {})
	eng := sim.g.engineOrder[0]
	sim.localExhaustion = true
	for range 20 {
		sim.g.probeEngine(eng.id, true)
		sim.executeEffects()
		sim.run(sim.now + 100*rules.Millisecond)
	}
	for _, belief := range sim.g.module.EngineViews() {
		if belief.Engine == eng.id && belief.Ejected {
			t.Error("an engine that was never reached is left out")
		}
	}
}

var errLocalExhaustion = errors.New("cannot assign requested address")
