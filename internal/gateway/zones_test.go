package gateway

import (
	"fmt"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// withSite returns a change of the configuration that sets the site file to text.
func withSite(t testing.TB, text string) func(*config.Config) {
	return func(cfg *config.Config) { cfg.Site = parseSite(t, text) }
}

// The seven rules hold with zone routing, with and without injected faults, while reloads change the zone plan, drain a
// zone, and remove and restore the plan.
func TestRulesWithZoneRouting(t *testing.T) {
	sites := []string{"sites {\n  ramp = \"1s\"\n}", "sites {\n  zone \"hall-a\" {\n    drain = true\n  }\n}", "",
		"sites {\n  settle = \"0s\"\n  damping {\n    half_life = \"200ms\"\n  }\n}"}
	for _, faultRate := range []float64{0, 0.4, 1} {
		for seed := range seeds(6) {
			t.Run(fmt.Sprintf("fault rate %v seed %d", faultRate, seed), func(t *testing.T) {
				sim := newSimulationWith(t, seed, faultRate, withSite(t, sites[0]))
				n := 0
				sim.reloadChange = func(cfg *config.Config) {
					n++
					cfg.Site = parseSite(t, sites[n%len(sites)])
				}
				sim.play(6 * rules.Second)
				sim.reportViolations()
				if sim.attemptsReceived < 300 || sim.served < 100 {
					t.Errorf("only %d attempts and %d served: the test covers too little", sim.attemptsReceived, sim.served)
				}
			})
		}
	}
}

// injectZoneFaults schedules random failures of whole zones: all engines of a zone are silent, die and restart cold, or
// are listed as draining.
func (sim *simulation) injectZoneFaults(until rules.Time) {
	for at := 400 * rules.Millisecond; at < until; at += rules.Time(300+sim.rng.IntN(1200)) * rules.Millisecond {
		zone, kind := []string{"hall-a", "hall-b"}[sim.rng.IntN(2)], sim.rng.IntN(3)
		outage := rules.Time(200+sim.rng.IntN(1500)) * rules.Millisecond
		sim.schedule(at, func() {
			for i := range len(sim.engines) {
				engine := sim.engines[fmt.Sprintf("s-%08x", i)]
				if engine.host.Zone != zone {
					continue
				}
				switch kind {
				case 0:
					engine.silent = true
					sim.schedule(outage, func() { engine.silent = false })
				case 1:
					sim.resetConns(engine)
					engine.refusing, engine.silent = true, false
					sim.schedule(outage, func() {
						engine.refusing, engine.delisted, engine.notifiedAt, engine.host.Draining = false, false, 0, false
						engine.slowStartSince, engine.slowStartSends, engine.startNotifiedAt = sim.now, nil, 0
						engine.host.Started = int64(sim.now / rules.Millisecond)
						sim.serial++
					})
				case 2:
					engine.host.Draining = true
					sim.serial++
					sim.schedule(outage, func() {
						engine.host.Draining, engine.notifiedAt = false, 0
						sim.serial++
					})
				}
			}
		})
	}
}

// The seven rules hold while whole zones are silent, die and restart cold, or are drained, with all limits of the zone
// plan on: no unsafe query runs twice, no engine in slow start gets more than its budget from this gateway, and drained
// zones get no new requests.
func TestRulesUnderZoneLoss(t *testing.T) {
	const text = "sites {\n  settle = \"100ms\"\n  ramp = \"800ms\"\n  spill = 0.3\n  retries = 0.2\n  damping {\n    half_life = \"500ms\"\n  }\n" +
		"  shedding {\n    settle = \"100ms\"\n    up = 1.05\n    slack = 0.02\n  }\n}"
	lost, spilled, sent, served := 0, 0, 0, 0
	for _, faultRate := range []float64{0, 0.4} {
		for seed := range seeds(10) {
			t.Run(fmt.Sprintf("fault rate %v seed %d", faultRate, seed), func(t *testing.T) {
				sim := newSimulationWith(t, seed, faultRate, withSite(t, text))
				sim.injectZoneFaults(6 * rules.Second)
				sim.play(6 * rules.Second)
				sim.reportViolations()
				if sim.attemptsReceived < 60 || sim.served < 40 {
					t.Errorf("only %d attempts and %d served: the test covers too little", sim.attemptsReceived, sim.served)
				}
				sent, served = sent+sim.attemptsReceived, served+sim.served
				for _, s := range sim.g.zones.controller.Status(sim.now) {
					lost += s.Losses
				}
				_, _, counts := sim.g.zones.controller.SheddingStatus()
				spilled += counts.Spillovers
			})
		}
	}
	// A single seed may be far below: zones that are lost in turn are out most of the time.
	if sent < 4000 || served < 3200 {
		t.Errorf("only %d attempts and %d served in all: the test covers too little", sent, served)
	}
	if lost < 10 || spilled < 100 {
		t.Errorf("zones were lost %d times, %d queries went to another zone: the test covers too little", lost, spilled)
	}
}

// countZoneAttempts returns the number of attempts that reached a zone between two times since the start.
func (sim *simulation) countZoneAttempts(zone string, from, to rules.Time) (n int) {
	for _, req := range sim.requests {
		for _, attempt := range req.attempts {
			if attempt.engine.host.Zone == zone && attempt.receivedAt >= sim.start+from && attempt.receivedAt < sim.start+to {
				n++
			}
		}
	}
	return n
}

// A zone whose engines all become unreachable is lost as a whole and gets no requests. Probes detect its return, and
// its traffic recovers on the recovery ramp.
func TestZoneIsLostAndRecovers(t *testing.T) {
	sim := newSimulationWith(t, 3, 0, withSite(t, "sites {\n  ramp = \"3s\"\n  jitter = 0\n}"))
	eachInZone := func(set func(engine *simEngine)) {
		for _, engine := range sim.engines {
			if engine.host.Zone == "hall-a" {
				set(engine)
			}
		}
	}
	for at := rules.Time(0); at < 24*rules.Second; at += 12 * rules.Millisecond {
		sim.schedule(at, sim.sendRequest)
	}
	state := func() zones.State { return sim.g.zones.controller.Status(sim.now)[0].State }
	sim.schedule(3*rules.Second, func() { eachInZone(func(engine *simEngine) { sim.resetConns(engine); engine.refusing = true }) })
	sim.run(sim.start + 6*rules.Second)
	if s := state(); s != zones.Lost {
		t.Fatalf("3 s after its loss the zone is %v", s)
	}
	sim.schedule(3*rules.Second, func() { eachInZone(func(engine *simEngine) { engine.refusing = false }) })
	sim.run(sim.start + 24*rules.Second)
	if s := state(); s != zones.Present {
		t.Errorf("15 s after its return the zone is %v", s)
	}
	if n := sim.countZoneAttempts("hall-a", 6*rules.Second, 9*rules.Second); n > 3 {
		t.Errorf("%d attempts to the lost zone", n)
	}
	if before, after := sim.countZoneAttempts("hall-a", rules.Second, 3*rules.Second), sim.countZoneAttempts("hall-a", 21*rules.Second, 23*rules.Second); before < 50 || after < before/2 {
		t.Errorf("%d attempts in 2 s before the loss, %d after the return", before, after)
	}
	sim.reportViolations()
}

// A zone that the site file drains gets fewer and fewer requests, then none. Once the drain is withdrawn, its traffic
// recovers on the recovery ramp.
func TestZoneIsDrainedByConfig(t *testing.T) {
	normalSite := "sites {\n  ramp = \"2s\"\n  drain_over = \"2s\"\n}"
	drainSite := "sites {\n  ramp = \"2s\"\n  drain_over = \"2s\"\n  zone \"hall-a\" {\n    drain = true\n  }\n}"
	sim := newSimulationWith(t, 4, 0, withSite(t, normalSite))
	for at := rules.Time(0); at < 16*rules.Second; at += 12 * rules.Millisecond {
		sim.schedule(at, sim.sendRequest)
	}
	reload := func(text string) func() {
		return func() {
			cfg := sim.g.cfg
			cfg.Site = parseSite(t, text)
			sim.step(ConfigReloaded{Config: &cfg})
		}
	}
	sim.schedule(3*rules.Second, reload(drainSite))
	sim.schedule(9*rules.Second, reload(normalSite))
	sim.run(sim.start + 16*rules.Second)
	before, drained := sim.countZoneAttempts("hall-a", rules.Second, 3*rules.Second), sim.countZoneAttempts("hall-a", 6*rules.Second, 9*rules.Second)
	after := sim.countZoneAttempts("hall-a", 13*rules.Second, 15*rules.Second)
	if before < 50 || drained > 3 || after < before/2 {
		t.Errorf("%d attempts in 2 s before the drain, %d in 3 s of it, %d in 2 s after it", before, drained, after)
	}
	sim.reportViolations()
}

// Attempts that an engine's former process left unanswered do not count against the new process. A zone that returned
// with new processes used to be suspected again when the attempts from before its loss ended.
func TestFormerProcessDoesNotAffectZone(t *testing.T) {
	gw := newTestGateway(t)
	gw.advance(1100 * rules.Millisecond)  // a gateway that has just started sends nothing to an engine in slow start
	formerConn := gw.sendToEngine("load") // a load is not cancelled and retried elsewhere meanwhile
	eng := gw.g.engineOrder[0]
	gw.advance(300 * rules.Millisecond)
	restarted := oneHost
	restarted.Started = int64((gw.now - 100*rules.Millisecond) / rules.Millisecond)
	gw.answerList(2, restarted)
	if eng.startedAt == 0 {
		t.Fatal("the new start is not known: the test covers too little")
	}
	if eng.lastRequest > eng.lastRead {
		t.Error("a request to the former process counts as unanswered by the new one")
	}
	gw.closeConn(formerConn)
	gw.advance(300 * rules.Millisecond)
	if eng.lastFailure != 0 {
		t.Error("a failed attempt on the former process counts as a failure of the new one")
	}
	gw.loginClient(2)
	gw.receive(2, requestPacket("load", idB))
	newConn := gw.dials[len(gw.dials)-1]
	gw.step(DialSucceeded{Conn: newConn})
	sentAt := gw.now
	gw.now += 10 * rules.Millisecond
	gw.closeConn(newConn)
	gw.advance(300 * rules.Millisecond)
	if eng.lastRequest != sentAt || eng.lastFailure < sentAt {
		t.Errorf("an attempt on the new process at %d that was reset counts as a request at %d and a failure at %d", sentAt, eng.lastRequest, eng.lastFailure)
	}
}

// Guards against a new process that is taken to fail: probes of the process before it, which peers suspect, end late.
func TestProbeOfFormerProcessDoesNotCount(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		gw := newTestGateway(t)
		eng := gw.g.engineOrder[0]
		for range 10 {
			gw.g.probeEngine(eng.id, true)
		}
		gw.flush()
		if restarted {
			host := oneHost
			host.Started = int64((gw.now - 100*rules.Millisecond) / rules.Millisecond)
			gw.answerList(2, host)
		}
		gw.advance(2 * rules.Second) // the probes' timeout
		ejected := false
		for _, view := range gw.g.module.EngineViews() {
			ejected = ejected || view.Ejected
		}
		if ejected == restarted {
			t.Errorf("restarted %v: after 10 failed probes the engine is ejected: %v", restarted, ejected)
		}
	}
}
