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
func TestOwnWantLosesNoZone(t *testing.T) {
	w := newWorldWith(t, 3, 0, planned(t, "sites {\n  settle = \"100ms\"\n}"))
	w.ownWant = true
	w.play(6 * rules.Second)
	for zone, st := range w.g.sites.zones.Status(w.now)[:2] {
		if st.Losses > 0 || st.State != zones.Present {
			t.Errorf("zone %d is %v and was lost %d times", zone, st.State, st.Losses)
		}
	}
	if w.wanting == 0 {
		t.Error("no dial failed: nothing is shown")
	}
}

// A probe that could not be made for want of something here is no word of the engine, even where others doubt it.
func TestOwnWantIsNoAnswerToAProbe(t *testing.T) {
	w := newWorldWith(t, 4, 0, func(c *config.Config) {})
	e := w.g.order[0]
	w.ownWant = true
	for range 20 {
		w.g.probeFor(e.id, true)
		w.carryOut()
		w.run(w.now + 100*rules.Millisecond)
	}
	for _, b := range w.g.module.EngineViews() {
		if b.Engine == e.id && b.Ejected {
			t.Error("an engine that was never reached is left out")
		}
	}
}

var errOwnWant = errors.New("cannot assign requested address")
