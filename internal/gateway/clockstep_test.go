package gateway

import (
	"testing"

	"foxlane/rules"
)

// An engine that starts after the wall clock was stepped is cold for as long as any other, though its stamp and our time
// are an hour apart; so is one whose stamp was made before the step and is told behind it.
func TestColdStartAcrossAStepOfTheClock(t *testing.T) {
	const hour = 3600 * rules.Second
	for name, c := range map[string]struct{ skew, stamped rules.Time }{
		"forward":             {hour, hour},
		"back":                {-hour, -hour},
		"stamped before":      {hour, 0},
		"stamped before back": {-hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 0)
			w.run(w.now + rules.Second)
			w.skew = c.skew
			w.run(w.now + rules.Second)
			e := w.engines["s-00000002"]
			e.host.Started = int64((w.now + c.stamped) / rules.Millisecond)
			w.serial++
			w.run(w.now + 300*rules.Millisecond)
			if warm := w.warmth(t, "s-00000002"); warm > 0.6 {
				t.Errorf("0.3 s after its start it counts as warm as %.2f", warm)
			}
			w.run(w.now + 5*rules.Second)
			if warm := w.warmth(t, "s-00000002"); warm < 1 {
				t.Errorf("5 s after its start it counts as warm as %.2f only", warm)
			}
		})
	}
}

// warmth is what the module holds of an engine's.
func (w *world) warmth(t *testing.T, name string) float64 {
	t.Helper()
	w.g.Step(w.now, Event{Kind: TimerFired})
	w.g.tell(rules.TimerFired{Token: "a look"}) // the module knows the time of its last event only
	w.carryOut()
	for _, b := range w.g.module.EngineViews() {
		if e := w.g.engines[b.Engine]; e != nil && e.entry.ID == name {
			return b.SpeedFraction
		}
	}
	t.Fatalf("nothing is held of %s", name)
	return 0
}
