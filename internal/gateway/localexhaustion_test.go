package gateway

import (
	"errors"
	"testing"
	"time"

	"foxlane/internal/config"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// If all dials fail for seconds because a local resource is exhausted, the gateway considers no zone lost and no engine
// failed, so that it can serve as soon as the resource is available again.
func TestLocalExhaustionLosesNoZone(t *testing.T) {
	sim := newSimulationWith(t, 3, 0, withSite(t, "sites {\n  settle = \"100ms\"\n}"))
	sim.localExhaustion = true
	sim.play(6 * rules.Second)
	for zone, status := range sim.g.zones.controller.Status(sim.now)[:2] {
		if status.Losses > 0 || status.State != zones.Present {
			t.Errorf("zone %d is %v and was lost %d times", zone, status.State, status.Losses)
		}
	}
	if sim.localDialFailures == 0 {
		t.Error("no dial failed: the test covers too little")
	}
}

// A probe that fails because a local resource is exhausted does not count against the engine, even if other gateways
// suspect it.
func TestLocalExhaustionIsNoProbeResult(t *testing.T) {
	sim := newSimulationWith(t, 4, 0, func(cfg *config.Config) {})
	eng := sim.g.engineOrder[0]
	sim.localExhaustion = true
	for range 20 {
		sim.g.probeEngine(eng.id, true)
		sim.executeEffects()
		sim.run(sim.now + 100*rules.Millisecond)
	}
	for _, view := range sim.g.module.EngineViews() {
		if view.Engine == eng.id && view.Ejected {
			t.Error("an engine was ejected because of local exhaustion")
		}
	}
}

var errLocalExhaustion = errors.New("cannot assign requested address")

// Where the settings limit neither attempts nor retries, a send that fails for lack of a connection must not be tried
// again for ever within one event.
func TestUnlimitedRetriesEndWithinAnEvent(t *testing.T) {
	gw := newTestGatewayWith(t, func(c *config.Config) {
		c.Settings.Rules.Limits.MaxAttempts = 0
		c.Settings.Rules.Constraints.RetryBudgetEnabled = false
		c.Limits.MaxConns = 0
	}, oneHost)
	gw.loginClient(1)
	returned := make(chan int)
	go func() {
		gw.receive(1, requestPacket("point", idA))
		returned <- len(gw.g.requests[idA].attempts)
	}()
	select {
	case attempts := <-returned:
		if attempts == 0 || attempts > 10 {
			t.Errorf("%d attempts within one event", attempts)
		}
	case <-time.After(3 * time.Second):
		t.Fatal("the event is still being handled after 3 s") // its goroutine goes on until the test binary ends
	}
	gw.advance(300 * rules.Millisecond)
	if attempts := len(gw.g.requests[idA].attempts); attempts > 40 {
		t.Errorf("%d attempts within 0.3 s", attempts)
	}
}
