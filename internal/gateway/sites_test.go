package gateway

import (
	"fmt"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/zones"
	"foxlane/rules"
)

func planned(t testing.TB, text string) func(*config.Config) {
	return func(c *config.Config) { c.Site = mustSite(t, text) }
}

// The seven rules hold with a plan for the loss of a zone, whatever fails and while the plan is read again, drained,
// taken away and put back.
func TestRulesWithSites(t *testing.T) {
	texts := []string{"sites {\n  ramp = \"1s\"\n}", "sites {\n  zone \"hall-a\" {\n    drain = true\n  }\n}", "",
		"sites {\n  settle = \"0s\"\n  damping {\n    half_life = \"200ms\"\n  }\n}"}
	for _, rough := range []float64{0, 0.4, 1} {
		for seed := range uint64(6) {
			t.Run(fmt.Sprintf("rough %v seed %d", rough, seed), func(t *testing.T) {
				w := newWorldWith(t, seed, rough, planned(t, texts[0]))
				n := 0
				w.retune = func(c *config.Config) {
					n++
					c.Site = mustSite(t, texts[n%len(texts)])
				}
				w.play(6 * rules.Second)
				for _, b := range w.broken[:min(len(w.broken), 5)] {
					t.Error(b)
				}
				if w.sent < 300 || w.served < 100 {
					t.Errorf("only %d attempts and %d served: the test has lost its subject", w.sent, w.served)
				}
			})
		}
	}
}

// zoneTroubles befall whole zones now and then: silence, processes that die together and come back cold, drains by the list.
func (w *world) zoneTroubles(until rules.Time) {
	for at := 400 * rules.Millisecond; at < until; at += rules.Time(300+w.rng.IntN(1200)) * rules.Millisecond {
		zone, kind := []string{"hall-a", "hall-b"}[w.rng.IntN(2)], w.rng.IntN(3)
		away := rules.Time(200+w.rng.IntN(1500)) * rules.Millisecond
		w.after(at, func() {
			for i := range len(w.engines) {
				e := w.engines[fmt.Sprintf("s-%08x", i)]
				if e.host.Zone != zone {
					continue
				}
				switch kind {
				case 0:
					e.mute = true
					w.after(away, func() { e.mute = false })
				case 1:
					w.reset(e)
					e.down, e.mute = true, false
					w.after(away, func() {
						e.down, e.gone, e.told, e.host.Draining = false, false, 0, false
						e.coldSince, e.coldSent, e.coldTold = w.now, nil, 0
						e.host.Started = int64(w.now / rules.Millisecond)
						w.serial++
					})
				case 2:
					e.host.Draining = true
					w.serial++
					w.after(away, func() {
						e.host.Draining, e.told = false, 0
						w.serial++
					})
				}
			}
		})
	}
}

// The seven rules hold while whole zones fall silent, die and come back cold, and are drained, with all limits of the plan on: no
// unsafe query runs twice, no cold engine gets too much of us, nothing new goes where it is drained.
func TestRulesUnderLossesOfZones(t *testing.T) {
	const text = "sites {\n  settle = \"100ms\"\n  ramp = \"800ms\"\n  spill = 0.3\n  retries = 0.2\n  damping {\n    half_life = \"500ms\"\n  }\n" +
		"  shedding {\n    settle = \"100ms\"\n    up = 1.05\n    slack = 0.02\n  }\n}"
	lost, spilled, sent, served := 0, 0, 0, 0
	for _, rough := range []float64{0, 0.4} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("rough %v seed %d", rough, seed), func(t *testing.T) {
				w := newWorldWith(t, seed, rough, planned(t, text))
				w.zoneTroubles(6 * rules.Second)
				w.play(6 * rules.Second)
				for _, b := range w.broken[:min(len(w.broken), 5)] {
					t.Error(b)
				}
				if w.sent < 60 || w.served < 40 {
					t.Errorf("only %d attempts and %d served: the test has lost its subject", w.sent, w.served)
				}
				sent, served = sent+w.sent, served+w.served
				for _, s := range w.g.sites.zones.Status(w.now) {
					lost += s.Losses
				}
				_, _, n := w.g.sites.zones.Shedding()
				spilled += n.Spilled
			})
		}
	}
	if sent < 4000 || served < 3200 { // one seed alone may lie far below: zones that are lost in turn stay out for most of it
		t.Errorf("only %d attempts and %d served in all: the test has lost its subject", sent, served)
	}
	if lost < 10 || spilled < 100 {
		t.Errorf("zones were lost %d times, %d queries went to another zone: the test has lost its subject", lost, spilled)
	}
}

// sentTo counts attempts by zone since a time.
func (w *world) sentTo(zone string, from, to rules.Time) (n int) {
	for _, r := range w.taken {
		for _, a := range r.attempts {
			if a.engine.host.Zone == zone && a.at >= w.start+from && a.at < w.start+to {
				n++
			}
		}
	}
	return n
}

// A zone whose machines vanish without a word is lost as one, gets nothing while it is, is found again by probes, and
// comes back on the ramp.
func TestZoneIsLostAndComesBack(t *testing.T) {
	w := newWorldWith(t, 3, 0, planned(t, "sites {\n  ramp = \"3s\"\n  jitter = 0\n}"))
	hall := func(set func(e *wengine)) {
		for _, e := range w.engines {
			if e.host.Zone == "hall-a" {
				set(e)
			}
		}
	}
	for at := rules.Time(0); at < 24*rules.Second; at += 12 * rules.Millisecond {
		w.after(at, w.request)
	}
	state := func() zones.State { return w.g.sites.zones.Status(w.now)[0].State }
	w.after(3*rules.Second, func() { hall(func(e *wengine) { w.reset(e); e.down = true }) })
	w.run(w.start + 6*rules.Second)
	if s := state(); s != zones.Lost {
		t.Fatalf("3 s after its loss the zone is %v", s)
	}
	w.after(3*rules.Second, func() { hall(func(e *wengine) { e.down = false }) })
	w.run(w.start + 24*rules.Second)
	if s := state(); s != zones.Present {
		t.Errorf("15 s after its return the zone is %v", s)
	}
	if n := w.sentTo("hall-a", 6*rules.Second, 9*rules.Second); n > 3 {
		t.Errorf("%d attempts to the lost zone", n)
	}
	if before, after := w.sentTo("hall-a", rules.Second, 3*rules.Second), w.sentTo("hall-a", 21*rules.Second, 23*rules.Second); before < 50 || after < before/2 {
		t.Errorf("%d attempts in 2 s before the loss, %d after the return", before, after)
	}
	for _, b := range w.broken {
		t.Error(b)
	}
}

// A zone that the file drains gets less and less, then nothing, and returns on the ramp when the file says so.
func TestZoneIsDrainedByTheFile(t *testing.T) {
	off := "sites {\n  ramp = \"2s\"\n  drain_over = \"2s\"\n}"
	on := "sites {\n  ramp = \"2s\"\n  drain_over = \"2s\"\n  zone \"hall-a\" {\n    drain = true\n  }\n}"
	w := newWorldWith(t, 4, 0, planned(t, off))
	for at := rules.Time(0); at < 16*rules.Second; at += 12 * rules.Millisecond {
		w.after(at, w.request)
	}
	reload := func(text string) func() {
		return func() {
			cfg := w.g.cfg
			cfg.Site = mustSite(t, text)
			w.step(Event{Kind: ConfigReloaded, Config: &cfg})
		}
	}
	w.after(3*rules.Second, reload(on))
	w.after(9*rules.Second, reload(off))
	w.run(w.start + 16*rules.Second)
	before, drained := w.sentTo("hall-a", rules.Second, 3*rules.Second), w.sentTo("hall-a", 6*rules.Second, 9*rules.Second)
	after := w.sentTo("hall-a", 13*rules.Second, 15*rules.Second)
	if before < 50 || drained > 3 || after < before/2 {
		t.Errorf("%d attempts in 2 s before the drain, %d in 3 s of it, %d in 2 s after it", before, drained, after)
	}
	for _, b := range w.broken {
		t.Error(b)
	}
}
