package zones

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"foxlane/rules"
)

const (
	ms     = rules.Millisecond
	second = rules.Second
)

// observedZone is a zone of 100 cores of which a fraction is healthy, all of it warm.
func observedZone(well float64) Observation {
	return Observation{ListedCores: 100, HealthyCores: 100 * well, WarmCores: 100 * well, ActiveEngines: 4}
}

// observeFor repeats the same observations for a while and returns the time after it.
func (c *Controller) observeFor(from, length rules.Time, observations ...Observation) rules.Time {
	for now := from; now < from+length; now += 50 * ms {
		c.updateZones(now, observations)
	}
	return from + length
}

func threeZones() *Controller { return New(Defaults(), Fleet{Zones: 3, Jitter: 0.5}, 0) }

func TestLossAndReturn(t *testing.T) {
	controller := threeZones()
	now := controller.observeFor(1, second, observedZone(1), observedZone(1), observedZone(1))
	controller.updateZones(now, []Observation{observedZone(0), observedZone(1), observedZone(1)})
	if s := controller.Status(now)[0]; s.State != Failing || s.LoadShare != 1 {
		t.Fatalf("at the first sign %v with a share of %v", s.State, s.LoadShare)
	}
	now = controller.observeFor(now, second, observedZone(0), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Lost || s.LoadShare != 0 || s.Losses != 1 {
		t.Fatalf("after a second %+v", s)
	}
	if to := controller.Split(now).Fractions; to[0] != 0 || math.Abs(to[1]-0.5) > 1e-9 || math.Abs(to[2]-0.5) > 1e-9 {
		t.Fatalf("the lost zone's gateways send to %v", to)
	}
	now = controller.observeFor(now, 600*ms, observedZone(1), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Returning || s.LoadShare != 0 {
		t.Fatalf("recovered for 0.6 s, before the ramp with its jitter begins: %+v", s)
	}
	last := 0.0
	for range 30 {
		now = controller.observeFor(now, 500*ms, observedZone(1), observedZone(1), observedZone(1))
		s := controller.Status(now)[0]
		if s.LoadShare < last || s.LoadShare > last+0.05 {
			t.Fatalf("the share went from %v to %v within half a second of a ramp of 15 s", last, s.LoadShare)
		}
		last = s.LoadShare
	}
	now = controller.observeFor(now, 5*second, observedZone(1), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Present || s.LoadShare != 1 {
		t.Fatalf("in the end %+v", s)
	}
}

// A zone that is half healthy stays in its state, whichever that is.
func TestHysteresis(t *testing.T) {
	controller := threeZones()
	now := controller.observeFor(1, 5*second, observedZone(0.5), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0].State; s != Present {
		t.Errorf("present and half healthy: %v", s)
	}
	now = controller.observeFor(now, second, observedZone(0.2), observedZone(1), observedZone(1))
	now = controller.observeFor(now, 5*second, observedZone(0.5), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0].State; s != Lost {
		t.Errorf("lost and half healthy: %v", s)
	}
	now = controller.observeFor(now, 400*ms, observedZone(0.8), observedZone(1), observedZone(1))
	controller.observeFor(now, 100*ms, observedZone(0.5), observedZone(1), observedZone(1))
	if s := controller.Status(now + 600*ms)[0].State; s != Lost {
		t.Errorf("healthy for less than the settling time: %v", s)
	}
}

// After its third loss a zone that flaps every 2 s is suppressed until it has been stable, and no longer than MaxSuppression.
func TestFlapsAreDamped(t *testing.T) {
	for _, every := range []rules.Time{2 * second, 10 * second, 60 * second} {
		controller := threeZones()
		controller.settings.RecoveryRamp = second
		now, returns := rules.Time(1), 0
		for flap := range 12 {
			now = controller.observeFor(now, every, observedZone(0), observedZone(1), observedZone(1))
			before := controller.Status(now)[0].State
			for range every / (50 * ms) {
				for _, change := range controller.updateZones(now, []Observation{observedZone(1), observedZone(1), observedZone(1)}) {
					if change.Zone == 0 && change.To == Returning && flap >= 3 {
						returns++
					}
				}
				now += 50 * ms
			}
			if before != Lost && before != Failing {
				t.Fatalf("%v: not lost: %v", every, before)
			}
		}
		t.Logf("flaps every %d s: %d returns in 9 flaps after the third", every/second, returns)
		if every == 2*second && returns > 0 || every == 60*second && returns != 9 {
			t.Errorf("flaps every %d s: %d returns in 9 flaps after the third", every/second, returns)
		}
		now = controller.observeFor(now, controller.settings.Damping.MaxSuppression+2*second, observedZone(1), observedZone(1), observedZone(1))
		if s := controller.Status(now)[0]; s.State != Present {
			t.Errorf("flaps every %d s, then stable for MaxSuppression: %+v", every/second, s)
		}
	}
}

// A zone whose active engines are all silent is unreachable, however healthy its engines are taken to be.
func TestSilentZoneIsUnreachable(t *testing.T) {
	controller := threeZones()
	cut := observedZone(1)
	cut.SilentEngines = cut.ActiveEngines
	now := controller.observeFor(1, second, cut, observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Lost || s.Losses != 1 {
		t.Errorf("%+v", s)
	}
	one := Observation{ListedCores: 100, HealthyCores: 100, WarmCores: 100, ActiveEngines: 1, SilentEngines: 1}
	controller = threeZones()
	now = controller.observeFor(1, second, one, observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Present {
		t.Errorf("a zone of one engine, silent for a moment: %+v", s)
	}
}

func TestDrainOnPurpose(t *testing.T) {
	controller := threeZones()
	all := []Observation{observedZone(1), observedZone(1), observedZone(1)}
	now := controller.observeFor(1, second, all...)
	controller.SetDraining(now, 0, true)
	now = controller.observeFor(now, 5*second, all...)
	if s := controller.Status(now)[0]; s.State != Draining || math.Abs(s.LoadShare-0.5) > 0.02 {
		t.Fatalf("half way %+v", s)
	}
	if to := controller.Split(now).Fractions; math.Abs(to[0]-0.7) > 0.02 {
		t.Errorf("half drained, it keeps %v of its load: half of its capacity counts with the factor 1.4", to[0])
	}
	now = controller.observeFor(now, 6*second, all...)
	if s := controller.Status(now)[0]; s.State != Drained || s.Losses != 0 {
		t.Fatalf("in the end %+v", s)
	}
	controller.SetDraining(now, 0, false)
	now = controller.observeFor(now, 19*second, all...)
	if s := controller.Status(now)[0].State; s != Present {
		t.Errorf("drained, then not: %v", s)
	}
}

// Where too little is healthy, health is ignored: the rest could not take the load of what is excluded.
func TestPanic(t *testing.T) {
	controller := threeZones()
	now := controller.observeFor(1, 2*second, observedZone(0), observedZone(0), observedZone(0.9))
	s := controller.Split(now)
	if !s.Panic || math.Abs(s.Fractions[0]-1.0/3) > 1e-9 {
		t.Errorf("two of three zones lost: %+v", s)
	}
}

func TestTiersInOrder(t *testing.T) {
	set := Defaults()
	set.Tiers = map[int][][]int{0: {{2}}}
	controller := New(set, Fleet{Zones: 4}, 0)
	now := controller.observeFor(1, 2*second, observedZone(0), observedZone(1), observedZone(1), observedZone(1))
	if to := controller.Split(now).Fractions; to[2] != 1 {
		t.Errorf("lost, with zone 2 preferred: %v", to)
	}
	now = controller.observeFor(now, 2*second, observedZone(0), observedZone(1), observedZone(0.5), observedZone(1))
	if to := controller.Split(now).Fractions; math.Abs(to[2]-0.7) > 1e-9 || math.Abs(to[1]-0.15) > 1e-9 {
		t.Errorf("and half of zone 2 gone: %v", to)
	}
	if s := controller.Split(now + 1); s.Panic {
		t.Error("5 of 8 healthy is no panic")
	}
}

// A zone whose engines have failed and left the endpoint list is not taken for complete.
func TestHalfOfAZoneLeavesTheList(t *testing.T) {
	controller := New(Defaults(), Fleet{Zones: 2}, 0)
	now := controller.observeFor(1, 2*second, observedZone(1), observedZone(1))
	half := Observation{ListedCores: 50, HealthyCores: 50, WarmCores: 50, ActiveEngines: 2}
	now = controller.observeFor(now, second, half, observedZone(1))
	if to := controller.Split(now).Fractions; math.Abs(to[0]-0.7) > 0.02 {
		t.Errorf("half of it off the list: it keeps %v of its load, 0.7 wanted", to[0])
	}
	now = controller.observeFor(now, 5*controller.settings.Damping.MaxSuppression, half, observedZone(1))
	if to := controller.Split(now).Fractions; to[0] < 0.99 {
		t.Errorf("half of it gone for long: it keeps %v of its load", to[0])
	}
}

// settingsWithSpillover are the settings of tests of the spillover limit and of load shedding.
func settingsWithSpillover(spill float64) Settings {
	s := Defaults()
	s.SpilloverLimit, s.SheddingEnabled = spill, true
	return s
}

// engineObservations are four engines of 25 cores in each zone, of which a fraction is healthy.
func engineObservations(well ...float64) (out []EngineObservation) {
	for zone, part := range well {
		for i := range 4 {
			out = append(out, EngineObservation{Engine: rules.EngineID(10*zone + i + 1), Zone: zone, Cores: 25, WarmFraction: 1, Slowdown: 1,
				Excluded: float64(i) >= 4*part})
		}
	}
	return out
}

// All gateways together stay within the spillover limit of a zone in any second, with queries smaller and larger than
// the part of one, and use most of it; gateways whose own zone is there need none of it.
func TestSpilloverStaysUnderItsLimit(t *testing.T) {
	for _, work := range []rules.Time{5 * ms, 200 * ms, 2 * second} {
		const gateways, length = 300, 40 * second
		set := settingsWithSpillover(0.3)
		all := make([]*Controller, gateways)
		for i := range all {
			_, jitter := math.Modf(float64(i) * math.Phi)
			all[i] = New(set, Fleet{Zones: 3, OwnZone: i % 3, Gateways: gateways, Jitter: jitter}, 0)
		}
		var sent [length / second]float64
		waits := 0
		for now := rules.Time(1); now < length; now += 100 * ms {
			for _, controller := range all {
				controller.Observe(now, engineObservations(0, 1, 1), rules.LoadSummary{Share: 1}, true)
				if controller.ownZone != 0 {
					continue
				}
				for i := range 16 {
					zone, ok := controller.PickZone(now, 0.25+0.5*float64(i%2), float64(work), nil)
					if ok && zone != 0 {
						controller.RecordSend(now, zone, float64(work), false)
						sent[now/second] += float64(work) / float64(second)
					} else if !ok {
						if waits++; controller.RetryAfter(now) <= 0 {
							t.Fatal("blocked without a Retry-After")
						}
					}
				}
			}
		}
		limit, sum := 2*0.3*100, 0.0
		for at, s := range sent[2:] {
			if sum += s; s > limit*1.001 {
				t.Errorf("queries of %d ms, second %d: %v cores of foreign load, the limit is %v", work/ms, at+2, s, limit)
			}
		}
		t.Logf("queries of %d ms: %.1f cores of a limit of %.0f, %d draws are blocked", work/ms, sum/float64(len(sent)-2), limit, waits)
		if mean := sum / float64(len(sent)-2); mean < 0.35*limit || waits == 0 {
			t.Errorf("queries of %d ms: %v cores of a limit of %v used, %d draws are blocked", work/ms, mean, limit, waits)
		}
	}
}

// There is no spillover limit for a gateway whose own zone has no engines, for engines of no zone, nor with one zone only.
func TestNoSpilloverLimitWithoutAnOwnZone(t *testing.T) {
	for name, controller := range map[string]*Controller{
		"no engine of its own zone": New(settingsWithSpillover(0.01), Fleet{Zones: 3, OwnZone: 2, Gateways: 9}, 0),
		"one zone":                  New(settingsWithSpillover(0.01), Fleet{Zones: 1, Gateways: 9}, 0),
		"a zone that is not known":  New(settingsWithSpillover(0.01), Fleet{Zones: 2, OwnZone: 7, Gateways: 9}, 0),
	} {
		for now := rules.Time(1); now < 3*second; now += 200 * ms {
			controller.Observe(now, engineObservations(1, 1)[:4*min(len(controller.zones), 2)], rules.LoadSummary{Share: 1}, true)
			for range 50 {
				zone, ok := controller.PickZone(now, 0.7, float64(second), nil)
				if !ok {
					t.Fatalf("%s: blocked", name)
				}
				controller.RecordSend(now, zone, float64(second), false)
			}
		}
	}
	controller := New(settingsWithSpillover(0.01), Fleet{Zones: 2, HasUnassignedZone: true, Gateways: 9}, 0)
	controller.Observe(1, engineObservations(1, 1), rules.LoadSummary{Share: 1}, true)
	for range 50 {
		if !controller.Admits(1, 1, float64(second), false) {
			t.Fatal("engines of no zone are taken for those of another zone")
		}
		controller.RecordSend(1, 1, float64(second), false)
	}
}

// Retries into a zone stay within a fraction of the first attempts there; other zones have their own budget.
func TestRetriesByZone(t *testing.T) {
	set := Defaults()
	set.RetryBudget = 0.2
	controller := New(set, Fleet{Zones: 3, Gateways: 1}, 0)
	now, sent := rules.Time(second), 0
	controller.Observe(now, engineObservations(0, 1, 1), rules.LoadSummary{}, false)
	for range 100 {
		controller.RecordSend(now, 1, float64(ms), false)
	}
	for controller.Admits(now, 1, float64(ms), true) {
		controller.RecordSend(now, 1, float64(ms), true)
		if sent++; sent > 100 {
			t.Fatal("retries without end")
		}
	}
	if sent != freeRetries+20 {
		t.Errorf("%d retries on 100 first attempts", sent)
	}
	if !controller.Admits(now, 2, float64(ms), true) || !controller.Admits(now, 1, float64(ms), false) {
		t.Error("the budget of one zone blocks retries into another, or first attempts")
	}
	if !controller.Admits(now+3*retryWindow, 1, float64(ms), true) {
		t.Error("the budget does not recover")
	}
}

// No query is drawn in or admitted to a zone that is lost or drained while others are healthy; in a panic all zones
// admit queries.
func TestOpenZones(t *testing.T) {
	controller := New(Defaults(), Fleet{Zones: 3, Gateways: 1}, 0)
	for now := rules.Time(1); now < 2*second; now += 200 * ms {
		controller.Observe(now, engineObservations(0, 1, 1), rules.LoadSummary{}, true)
	}
	if controller.Admits(2*second, 0, 1, false) || !controller.Admits(2*second, 1, 1, false) {
		t.Error("the lost zone admits queries, or another does not")
	}
	for drawn := 0.0; drawn < 1; drawn += 0.05 {
		if zone, ok := controller.PickZone(2*second, drawn, 1, []int{1}); !ok || zone != 2 {
			t.Fatalf("after an attempt in zone 1, zone 0 lost: %d, %v", zone, ok)
		}
	}
	if zone, ok := controller.PickZone(2*second, 0.5, 1, []int{1, 2}); !ok || zone != -1 {
		t.Errorf("all zones of the split had an attempt: %d, %v", zone, ok)
	}
	for now := 2 * second; now < 5*second; now += 200 * ms {
		controller.Observe(now, engineObservations(0, 0, 0), rules.LoadSummary{}, true)
	}
	if !controller.Admits(5*second, 0, 1, false) {
		t.Error("nothing is healthy, and a zone admits no queries all the same")
	}
}

// With a standing queue requests of the lowest value are shed, as many as the queue needs to drain; without pressure
// nothing is. Nothing is shed where shedding is not enabled.
func TestArriveUnderPressure(t *testing.T) {
	classes := []rules.Class{{PriorityWeight: 1, LatencyObjective: second}, {PriorityWeight: 20, LatencyObjective: second}}
	const work = float64(second) / 2
	for _, shed := range []bool{false, true} {
		set := settingsWithSpillover(1)
		set.SheddingEnabled = shed
		controller := New(set, Fleet{Zones: 1, Gateways: 1, Classes: classes}, 0)
		queued := 0.0
		run := func(from, length rules.Time, load float64) (refused [2]int) {
			due := 0.0
			for now := from; now < from+length; now += 50 * ms {
				controller.Observe(now, engineObservations(1), rules.LoadSummary{Share: 1, QueuedWork: queued, MeanWork: []float64{work, work}}, true)
				for due += load * 100 * float64(50*ms) / work; due >= 1; due-- { // 100 cores do their work
					if refuse, _ := controller.RequestArrived(now, Request{Class: int(due) % 2, DeclaredWork: work}); refuse {
						refused[int(due)%2]++
					} else {
						queued += work
					}
				}
				for did := 0.0; did < 100*float64(50*ms) && queued >= work; did += work {
					queued -= work
					controller.RecordSend(now, 0, work, false)
				}
				queued = min(queued, 400*float64(second)) // the rest has missed its deadline
			}
			return refused
		}
		if got := run(1, 20*second, 0.9); got != [2]int{} {
			t.Errorf("shedding %v, a load of 0.9: %v rejected", shed, got)
		}
		run(20*second, 20*second, 1.4)
		got := run(40*second, 20*second, 1.4)
		if part := float64(got[0]) / (20 * 1.4 * 200); shed && (math.Abs(part-0.286) > 0.06 || got[1] != 0) || !shed && got != [2]int{} {
			t.Errorf("shedding %v, a load of 1.4: %v rejected, %.3f of all; 0.286 is too much", shed, got, part)
		}
		run(60*second, 60*second, 0.8)
		if _, shedNow, _ := controller.SheddingStatus(); shedNow > 0.01 || controller.RetryAfter(120*second) != 0 {
			t.Errorf("shedding %v, after the overload: %v shed, Retry-After %d", shed, shedNow, controller.RetryAfter(120*second))
		}
	}
}

// Requests of a tenant over its quota are shed first.
func TestTenantsOverQuotaAreShedFirst(t *testing.T) {
	controller := New(settingsWithSpillover(1), Fleet{Zones: 1, Gateways: 2, Tenants: []rules.Tenant{{QuotaPerSecond: 20}, {QuotaPerSecond: 20}},
		Classes: []rules.Class{{PriorityWeight: 1, LatencyObjective: second}}}, 0)
	controller.demand.tiers[TierOverQuota].shedFraction = 1
	refused := [2]int{}
	for now := rules.Time(1); now < 20*second; now += 50 * ms {
		for tenant, n := range []int{3, 0} { // 60 a second, and 5: the even part of the quota for one gateway is 10
			if tenant == 1 && now%(200*ms) == 1 {
				n = 1
			}
			for range n {
				if refuse, _ := controller.RequestArrived(now, Request{Tenant: tenant, DeclaredWork: float64(ms)}); refuse {
					refused[tenant]++
				}
			}
		}
	}
	if refused[0] < 500 || refused[1] != 0 {
		t.Errorf("rejected by tenant: %v", refused)
	}
}

// As much is shed as must be, from the first tier on, and of the last one only a part: tenants over their quota,
// retries, then the lowest value.
func TestTiersAreShedInOrder(t *testing.T) {
	controller := New(settingsWithSpillover(1), Fleet{Zones: 1, Gateways: 1, Classes: []rules.Class{{PriorityWeight: 1}, {PriorityWeight: 16}}}, 0)
	light, heavy := TierLowestValue+PriorityTier(ValueTier(1, float64(second))), TierLowestValue+PriorityTier(ValueTier(16, float64(second)))
	if heavy-light != 4*tiersPerDoubling {
		t.Fatalf("16 times the priority weight is %d tiers up", heavy-light)
	}
	for _, c := range []struct{ part, over, again, less, more float64 }{{0, 0, 0, 0, 0}, {0.1, 1, 0, 0, 0}, {0.2, 1, 0.5, 0, 0},
		{0.4, 1, 1, 1.0 / 3, 0}, {0.7, 1, 1, 1, 1.0 / 4}} {
		for i := range controller.demand.tiers {
			controller.demand.tiers[i].work = decayingSum{0, controller.now}
		}
		for tier, asked := range map[PriorityTier]float64{TierOverQuota: 10, TierRetries: 20, light: 30, heavy: 40} {
			controller.demand.tiers[tier].work.sum = asked
		}
		controller.distributeShedding(c.part)
		for tier, want := range map[PriorityTier]float64{TierOverQuota: c.over, TierRetries: c.again, light: c.less, heavy: c.more} {
			if got := controller.demand.tiers[tier].shedFraction; math.Abs(got-want) > 1e-9 {
				t.Errorf("of %v of all, tier %d sheds %v, want %v", c.part, tier, got, want)
			}
		}
	}
	controller.distributeShedding(0)
	controller.demand.tiers[light].shedFraction = 0.25
	shed := 0
	for range 100 {
		if refuse, after := controller.RequestArrived(second, Request{Class: 0, DeclaredWork: float64(second)}); refuse {
			if shed++; after <= 0 {
				t.Fatal("rejected without a Retry-After")
			}
		}
		if refuse, _ := controller.RequestArrived(second, Request{Class: 1, DeclaredWork: float64(second)}); refuse {
			t.Fatal("a request of higher value is rejected")
		}
	}
	if shed != 25 {
		t.Errorf("%d of 100 of a tier that sheds a quarter", shed)
	}
}

// For random observations: fractions add up to one and lie within 0 and 1, nothing goes to a zone that lists nothing, and a
// share never rises faster than the ramp.
func TestSplitIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 5).Draw(t, "zones")
		controller := New(Defaults(), Fleet{Zones: n, OwnZone: rapid.IntRange(0, n-1).Draw(t, "own"), Jitter: rapid.Float64Range(0, 1).Draw(t, "jitter")}, 0)
		now := rules.Time(1)
		before := controller.Status(now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			gap := rules.Time(rapid.IntRange(1, 3000).Draw(t, "gap")) * ms
			now += gap
			observations := make([]Observation, n)
			listed := 0.0
			for i := range observations {
				observation := Observation{ListedCores: rapid.Float64Range(0, 200).Draw(t, "listed"), Slowdown: rapid.Float64Range(0, 9).Draw(t, "slow"),
					ActiveEngines: rapid.IntRange(0, 4).Draw(t, "engines")}
				observation.HealthyCores = observation.ListedCores * rapid.Float64Range(0, 1.1).Draw(t, "well")
				observation.WarmCores = observation.HealthyCores * rapid.Float64Range(0, 1).Draw(t, "warm")
				observation.SilentEngines = rapid.IntRange(0, observation.ActiveEngines).Draw(t, "silent")
				observations[i] = observation
				listed += observation.ListedCores
			}
			if rapid.Bool().Draw(t, "drains") {
				controller.SetDraining(now, rapid.IntRange(0, n-1).Draw(t, "zone"), rapid.Bool().Draw(t, "on"))
			}
			controller.updateZones(now, observations)
			status := controller.Status(now)
			for i := range status {
				if up := status[i].LoadShare - before[i].LoadShare; up > float64(gap)/float64(controller.settings.RecoveryRamp)+1e-9 {
					t.Fatalf("the share of zone %d rose by %v in %d ms", i, up, gap/ms)
				}
			}
			before = status
			split, sum := controller.Split(now), 0.0
			for i, p := range split.Fractions {
				if math.IsNaN(p) || p < 0 || p > 1+1e-9 {
					t.Fatalf("parts %v", split.Fractions)
				}
				if p > 0 && observations[i].ListedCores <= 0 {
					t.Fatalf("zone %d lists nothing and gets %v", i, p)
				}
				sum += p
			}
			if listed > 0 && math.Abs(sum-1) > 1e-9 || listed == 0 && sum != 0 {
				t.Fatalf("parts %v add up to %v, %v cores are listed", split.Fractions, sum, listed)
			}
		}
	})
}

// A simulation of three zones: the others take the load of a lost one within the spillover limit, and its recovery is paced.
func TestPlan(t *testing.T) {
	sc := Scenario{
		Zones:     []ZoneSpec{{"a", 100, 60}, {"b", 100, 60}, {"c", 100, 60}},
		Classes:   []ClassSpec{{"point", 0.1, 22}, {"report", 0.6, 10}, {"load", 0.3, 11}},
		LostZones: []int{0}, LostAt: 5 * second, ReturnAt: 30 * second, UnlistAfter: 3 * second, ClientsMoveAfter: 2 * second,
		ColdSpeed: 0.33, WarmupTime: 15 * second, Duration: 60 * second,
	}
	for _, m := range Simulate(settingsWithSpillover(0.3), sc) {
		at := int(m.At / second)
		asked := 0.0
		for _, z := range m.Zones {
			asked += z.OwnLoad + z.ForeignLoad + z.BlockedLoad + z.ShedLoad
			if z.ForeignLoad > 0.3*100+1e-9 {
				t.Errorf("second %d: %v cores of foreign load", at, z.ForeignLoad)
			}
		}
		if math.Abs(asked-m.Demand) > 1e-6 {
			t.Errorf("second %d: %v cores asked for, %v accounted for", at, m.Demand, asked)
		}
		if (at < 5 || at > 55) && (m.Unserved > 1e-6 || m.Zones[0].OwnLoad < 59) {
			t.Errorf("second %d, nothing is lost: %+v", at, m)
		}
		if at > 7 && at < 30 && (m.Zones[0].OwnLoad+m.Zones[0].ForeignLoad > 1e-9 || m.Unserved > 1) {
			t.Errorf("second %d, a is lost and its clients fit the others: %+v", at, m)
		}
		if at == 33 && (m.Zones[0].OwnLoad > 30 || m.Zones[0].State != Returning) {
			t.Errorf("second %d, a has been back for 3 s: %+v", at, m.Zones[0])
		}
	}
}

// Engines that are excluded for failures from before a recovery do not make the zone lost again; failures after it do.
func TestFailuresFromBeforeARecovery(t *testing.T) {
	controller := New(Defaults(), Fleet{Zones: 2, Gateways: 2}, 0)
	look := func(from, length rules.Time, fault rules.Time, answers bool) rules.Time {
		for now := from; now < from+length; now += 200 * ms {
			list := engineObservations(0, 1)
			for i := range list {
				list[i].LastFailure = fault
			}
			for _, id := range controller.Observe(now, list, rules.LoadSummary{}, true).Probe {
				if id < 10 {
					controller.ProbeAnswered(0, answers)
				}
			}
		}
		return from + length
	}
	now := look(second, 3*second, second, false)
	if s := controller.Status(now)[0].State; s != Lost {
		t.Fatalf("all excluded for 3 s: %v", s)
	}
	now = look(now, 7*second, second, true)
	if s := controller.Status(now)[0]; s.State != Returning || s.Losses != 1 {
		t.Fatalf("its engines answer probes, and are still excluded for failures from before: %+v", s)
	}
	now = look(now, 2*second, now, true)
	if s := controller.Status(now)[0]; s.State != Lost || s.Losses != 2 {
		t.Errorf("they have failed again since: %+v", s)
	}
}

// A zone with two engines with overdue requests and no response since is probed, and lost within a second and a half if no
// probe is answered, long before any of its engines is excluded. One overdue engine is no reason for suspicion; a
// response from any ends it.
func TestSilentZoneIsSuspected(t *testing.T) {
	type run struct {
		late   int // engines of the first zone with an overdue request
		answer bool
		word   rules.Time // when another engine there sends a response; 0: never
	}
	play := func(r run) (asked int, lostAt rules.Time) {
		controller := New(Defaults(), Fleet{Zones: 2, Gateways: 2}, 0)
		const start = 10 * second
		due := map[rules.Time]bool{}
		for now := rules.Time(start); now < start+4*second; now += 50 * ms {
			if answer, ok := due[now]; ok {
				controller.ProbeAnswered(0, answer)
			}
			if now%(200*ms) != 0 {
				continue
			}
			list := engineObservations(1, 1)
			for i := range list[:4] {
				list[i].LastResponse = start - second
				if i < r.late {
					list[i].LastRequest, list[i].Overdue = start-100*ms, now > start
				}
			}
			if r.word != 0 && now >= start+r.word {
				list[3].LastResponse = start + r.word
			}
			for _, id := range controller.Observe(now, list, rules.LoadSummary{}, true).Probe {
				if id < 10 {
					asked++
					due[now+250*ms] = r.answer
				}
			}
			if controller.Status(now)[0].State == Lost && lostAt == 0 {
				lostAt = now - start
			}
		}
		return asked, lostAt
	}
	if asked, lostAt := play(run{late: 2}); asked < 2 || lostAt == 0 || lostAt > 1500*ms {
		t.Errorf("silent: probed %d times, lost after %d ms", asked, lostAt/ms)
	}
	if asked, lostAt := play(run{late: 1}); asked != 0 || lostAt != 0 {
		t.Errorf("one overdue engine: probed %d times, lost after %d ms", asked, lostAt/ms)
	}
	if asked, lostAt := play(run{late: 2, answer: true}); asked == 0 || lostAt != 0 {
		t.Errorf("it answers: probed %d times, lost after %d ms", asked, lostAt/ms)
	}
	if asked, lostAt := play(run{late: 2, word: 300 * ms}); asked > 2 || lostAt != 0 {
		t.Errorf("another engine responds: probed %d times, lost after %d ms", asked, lostAt/ms)
	}
}

// A zone that other gateways say is lost is probed, and keeps its state while it answers.
func TestSuspicionFromPeers(t *testing.T) {
	for _, answers := range []bool{true, false} {
		controller := New(Defaults(), Fleet{Zones: 2, Gateways: 2}, 0)
		asked := 0
		for now := rules.Time(second); now < 4*second; now += 250 * ms {
			if now == 2*second {
				controller.Suspect(0)
				controller.Suspect(7) // no such zone
			}
			for _, id := range controller.Observe(now, engineObservations(1, 1), rules.LoadSummary{}, true).Probe {
				if id < 10 {
					asked++
					controller.ProbeAnswered(0, answers)
				}
			}
		}
		if s := controller.Status(4 * second)[0].State; asked == 0 || (s == Lost) == answers {
			t.Errorf("answers %v: probed %d times, then %v", answers, asked, s)
		}
	}
}
