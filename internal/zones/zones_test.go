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

// observedZone returns the observation of a zone of 100 cores of which a fraction is healthy and warm.
func observedZone(healthy float64) Observation {
	return Observation{ListedCores: 100, HealthyCores: 100 * healthy, WarmCores: 100 * healthy, ActiveEngines: 4}
}

// observeFor repeats the same observations for some time and returns the time at the end.
func (c *Controller) observeFor(from, duration rules.Time, observations ...Observation) rules.Time {
	for now := from; now < from+duration; now += 50 * ms {
		c.updateZones(now, observations)
	}
	return from + duration
}

func threeZones() *Controller { return New(Defaults(), Fleet{Zones: 3, Jitter: 0.5}, 0) }

func TestLossAndReturn(t *testing.T) {
	controller := threeZones()
	now := controller.observeFor(1, second, observedZone(1), observedZone(1), observedZone(1))
	controller.updateZones(now, []Observation{observedZone(0), observedZone(1), observedZone(1)})
	if s := controller.Status(now)[0]; s.State != Failing || s.LoadShare != 1 {
		t.Fatalf("after the first observation of the loss: state %v, share %v", s.State, s.LoadShare)
	}
	now = controller.observeFor(now, second, observedZone(0), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Lost || s.LoadShare != 0 || s.Losses != 1 {
		t.Fatalf("1 s after the loss: %+v", s)
	}
	if fractions := controller.Split(now).Fractions; fractions[0] != 0 || math.Abs(fractions[1]-0.5) > 1e-9 || math.Abs(fractions[2]-0.5) > 1e-9 {
		t.Fatalf("gateways of the lost zone split their load as %v", fractions)
	}
	now = controller.observeFor(now, 600*ms, observedZone(1), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Returning || s.LoadShare != 0 {
		t.Fatalf("healthy for 0.6 s, before the ramp starts after its jitter: %+v", s)
	}
	last := 0.0
	for range 30 {
		now = controller.observeFor(now, 500*ms, observedZone(1), observedZone(1), observedZone(1))
		s := controller.Status(now)[0]
		if s.LoadShare < last || s.LoadShare > last+0.05 {
			t.Fatalf("the share went from %v to %v within 0.5 s of a ramp of 15 s", last, s.LoadShare)
		}
		last = s.LoadShare
	}
	now = controller.observeFor(now, 5*second, observedZone(1), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Present || s.LoadShare != 1 {
		t.Fatalf("after the ramp: %+v", s)
	}
}

// A zone that is half healthy stays in its state, whether that is present or lost.
func TestHysteresis(t *testing.T) {
	controller := threeZones()
	now := controller.observeFor(1, 5*second, observedZone(0.5), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0].State; s != Present {
		t.Errorf("present zone, half healthy: %v", s)
	}
	now = controller.observeFor(now, second, observedZone(0.2), observedZone(1), observedZone(1))
	now = controller.observeFor(now, 5*second, observedZone(0.5), observedZone(1), observedZone(1))
	if s := controller.Status(now)[0].State; s != Lost {
		t.Errorf("lost zone, half healthy: %v", s)
	}
	now = controller.observeFor(now, 400*ms, observedZone(0.8), observedZone(1), observedZone(1))
	controller.observeFor(now, 100*ms, observedZone(0.5), observedZone(1), observedZone(1))
	if s := controller.Status(now + 600*ms)[0].State; s != Lost {
		t.Errorf("lost zone, healthy for less than the settling time: %v", s)
	}
}

// After its third loss, a zone that flaps every 2 s is suppressed until it has been stable, for at most MaxSuppression.
func TestFlapDamping(t *testing.T) {
	for _, every := range []rules.Time{2 * second, 10 * second, 60 * second} {
		controller := threeZones()
		controller.settings.RecoveryRamp = second
		now, returns := rules.Time(1), 0
		for flaps := range 12 {
			now = controller.observeFor(now, every, observedZone(0), observedZone(1), observedZone(1))
			before := controller.Status(now)[0].State
			for range every / (50 * ms) {
				for _, change := range controller.updateZones(now, []Observation{observedZone(1), observedZone(1), observedZone(1)}) {
					if change.Zone == 0 && change.To == Returning && flaps >= 3 {
						returns++
					}
				}
				now += 50 * ms
			}
			if before != Lost && before != Failing {
				t.Fatalf("flaps every %v: state %v, want lost or failing", every, before)
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

// A zone whose active engines are all silent is unreachable, even if its engines count as healthy.
func TestSilentZoneIsUnreachable(t *testing.T) {
	controller := threeZones()
	silent := observedZone(1)
	silent.SilentEngines = silent.ActiveEngines
	now := controller.observeFor(1, second, silent, observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Lost || s.Losses != 1 {
		t.Errorf("%+v", s)
	}
	singleEngine := Observation{ListedCores: 100, HealthyCores: 100, WarmCores: 100, ActiveEngines: 1, SilentEngines: 1}
	controller = threeZones()
	now = controller.observeFor(1, second, singleEngine, observedZone(1), observedZone(1))
	if s := controller.Status(now)[0]; s.State != Present {
		t.Errorf("a zone whose only active engine is silent: %+v", s)
	}
}

func TestOperatorDrain(t *testing.T) {
	controller := threeZones()
	healthyZones := []Observation{observedZone(1), observedZone(1), observedZone(1)}
	now := controller.observeFor(1, second, healthyZones...)
	controller.SetDraining(now, 0, true)
	now = controller.observeFor(now, 5*second, healthyZones...)
	if s := controller.Status(now)[0]; s.State != Draining || math.Abs(s.LoadShare-0.5) > 0.02 {
		t.Fatalf("half way through the drain: %+v", s)
	}
	if fractions := controller.Split(now).Fractions; math.Abs(fractions[0]-0.7) > 0.02 {
		t.Errorf("the half drained zone keeps %v of its load, want 0.7: half of its capacity times 1.4", fractions[0])
	}
	now = controller.observeFor(now, 6*second, healthyZones...)
	if s := controller.Status(now)[0]; s.State != Drained || s.Losses != 0 {
		t.Fatalf("after the drain: %+v", s)
	}
	controller.SetDraining(now, 0, false)
	now = controller.observeFor(now, 19*second, healthyZones...)
	if s := controller.Status(now)[0].State; s != Present {
		t.Errorf("19 s after the drain was lifted: %v", s)
	}
}

// When too little is healthy, health is ignored: the healthy part could not take the load of the rest.
func TestPanicMode(t *testing.T) {
	controller := threeZones()
	now := controller.observeFor(1, 2*second, observedZone(0), observedZone(0), observedZone(0.9))
	s := controller.Split(now)
	if !s.Panic || math.Abs(s.Fractions[0]-1.0/3) > 1e-9 {
		t.Errorf("two of three zones lost: %+v", s)
	}
}

func TestFailoverTierOrder(t *testing.T) {
	settings := Defaults()
	settings.Tiers = map[int][][]int{0: {{2}}}
	controller := New(settings, Fleet{Zones: 4}, 0)
	now := controller.observeFor(1, 2*second, observedZone(0), observedZone(1), observedZone(1), observedZone(1))
	if fractions := controller.Split(now).Fractions; fractions[2] != 1 {
		t.Errorf("own zone lost, zone 2 preferred: %v", fractions)
	}
	now = controller.observeFor(now, 2*second, observedZone(0), observedZone(1), observedZone(0.5), observedZone(1))
	if fractions := controller.Split(now).Fractions; math.Abs(fractions[2]-0.7) > 1e-9 || math.Abs(fractions[1]-0.15) > 1e-9 {
		t.Errorf("own zone lost, half of zone 2 unhealthy: %v", fractions)
	}
	if s := controller.Split(now + 1); s.Panic {
		t.Error("panic mode though 5/8 of the capacity is healthy")
	}
}

// A zone does not count as complete after failed engines have left the endpoint list.
func TestUnlistedEnginesCountAsLost(t *testing.T) {
	controller := New(Defaults(), Fleet{Zones: 2}, 0)
	now := controller.observeFor(1, 2*second, observedZone(1), observedZone(1))
	half := Observation{ListedCores: 50, HealthyCores: 50, WarmCores: 50, ActiveEngines: 2}
	now = controller.observeFor(now, second, half, observedZone(1))
	if fractions := controller.Split(now).Fractions; math.Abs(fractions[0]-0.7) > 0.02 {
		t.Errorf("half of the zone has left the list: it keeps %v of its load, want 0.7", fractions[0])
	}
	now = controller.observeFor(now, 5*controller.settings.Damping.MaxSuppression, half, observedZone(1))
	if fractions := controller.Split(now).Fractions; fractions[0] < 0.99 {
		t.Errorf("half of the zone left the list long ago: it keeps %v of its load", fractions[0])
	}
}

// settingsWithSpillover returns settings with a spillover limit and load shedding enabled.
func settingsWithSpillover(limit float64) Settings {
	settings := Defaults()
	settings.SpilloverLimit, settings.SheddingEnabled = limit, true
	return settings
}

// engineObservations returns four engines of 25 cores for each zone, of which a fraction is healthy.
func engineObservations(healthy ...float64) (observations []EngineObservation) {
	for zone, fraction := range healthy {
		for i := range 4 {
			observations = append(observations, EngineObservation{Engine: rules.EngineID(10*zone + i + 1), Zone: zone, Cores: 25, WarmFraction: 1, Slowdown: 1,
				Excluded: float64(i) >= 4*fraction})
		}
	}
	return observations
}

// All gateways together stay within the spillover limit of a zone in each second, with queries smaller and larger than
// the allowance of one gateway, and use at least 0.35 of it. Gateways whose own zone is present don't spill over.
func TestSpilloverStaysUnderItsLimit(t *testing.T) {
	for _, work := range []rules.Time{5 * ms, 200 * ms, 2 * second} {
		const gateways, duration = 300, 40 * second
		settings := settingsWithSpillover(0.3)
		controllers := make([]*Controller, gateways)
		for i := range controllers {
			_, jitter := math.Modf(float64(i) * math.Phi)
			controllers[i] = New(settings, Fleet{Zones: 3, OwnZone: i % 3, Gateways: gateways, Jitter: jitter}, 0)
		}
		var sent [duration / second]float64
		blocked := 0
		for now := rules.Time(1); now < duration; now += 100 * ms {
			for _, controller := range controllers {
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
						if blocked++; controller.RetryAfter(now) <= 0 {
							t.Fatal("query blocked without a Retry-After")
						}
					}
				}
			}
		}
		limit, sum := 2*0.3*100, 0.0
		for at, cores := range sent[2:] {
			if sum += cores; cores > limit*1.001 {
				t.Errorf("queries of %d ms, second %d: %v cores of spillover, the limit is %v", work/ms, at+2, cores, limit)
			}
		}
		t.Logf("queries of %d ms: %.1f cores of a limit of %.0f used, %d picks blocked", work/ms, sum/float64(len(sent)-2), limit, blocked)
		if mean := sum / float64(len(sent)-2); mean < 0.35*limit || blocked == 0 {
			t.Errorf("queries of %d ms: %v cores of a limit of %v used, %d picks blocked", work/ms, mean, limit, blocked)
		}
	}
}

// There is no spillover limit for a gateway whose own zone has no engines or is unknown, in a fleet of one zone, or for
// engines without a zone.
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
			t.Fatal("the spillover limit applies to engines without a zone")
		}
		controller.RecordSend(1, 1, float64(second), false)
	}
}

// The retry budget bounds retries into a zone by a fraction of the first attempts there. Each zone has its own budget.
func TestRetryBudgetPerZone(t *testing.T) {
	settings := Defaults()
	settings.RetryBudget = 0.2
	controller := New(settings, Fleet{Zones: 3, Gateways: 1}, 0)
	now, sent := rules.Time(second), 0
	controller.Observe(now, engineObservations(0, 1, 1), rules.LoadSummary{}, false)
	for range 100 {
		controller.RecordSend(now, 1, float64(ms), false)
	}
	for controller.Admits(now, 1, float64(ms), true) {
		controller.RecordSend(now, 1, float64(ms), true)
		if sent++; sent > 100 {
			t.Fatal("retries are not limited")
		}
	}
	if sent != freeRetries+20 {
		t.Errorf("%d retries for 100 first attempts, want 25", sent)
	}
	if !controller.Admits(now, 2, float64(ms), true) || !controller.Admits(now, 1, float64(ms), false) {
		t.Error("the retry budget of one zone blocks retries into another zone or first attempts")
	}
	if !controller.Admits(now+3*retryWindow, 1, float64(ms), true) {
		t.Error("the retry budget does not recover")
	}
}

// A lost zone admits no queries and is not picked while others are healthy. In panic mode all zones admit queries.
func TestAdmittingZones(t *testing.T) {
	controller := New(Defaults(), Fleet{Zones: 3, Gateways: 1}, 0)
	for now := rules.Time(1); now < 2*second; now += 200 * ms {
		controller.Observe(now, engineObservations(0, 1, 1), rules.LoadSummary{}, true)
	}
	if controller.Admits(2*second, 0, 1, false) || !controller.Admits(2*second, 1, 1, false) {
		t.Error("the lost zone admits queries, or a healthy zone does not")
	}
	for random := 0.0; random < 1; random += 0.05 {
		if zone, ok := controller.PickZone(2*second, random, 1, []int{1}); !ok || zone != 2 {
			t.Fatalf("zone 1 tried, zone 0 lost: picked zone %d, %v", zone, ok)
		}
	}
	if zone, ok := controller.PickZone(2*second, 0.5, 1, []int{1, 2}); !ok || zone != -1 {
		t.Errorf("all zones of the split tried: picked zone %d, %v", zone, ok)
	}
	for now := 2 * second; now < 5*second; now += 200 * ms {
		controller.Observe(now, engineObservations(0, 0, 0), rules.LoadSummary{}, true)
	}
	if !controller.Admits(5*second, 0, 1, false) {
		t.Error("no zone is healthy, but a zone admits no queries")
	}
}

// Under overload, requests of the lowest value are shed, and no more of them than the excess demand. Without overload,
// or with shedding disabled, nothing is shed.
func TestSheddingUnderOverload(t *testing.T) {
	classes := []rules.Class{{PriorityWeight: 1, LatencyObjective: second}, {PriorityWeight: 20, LatencyObjective: second}}
	const work = float64(second) / 2
	for _, enabled := range []bool{false, true} {
		settings := settingsWithSpillover(1)
		settings.SheddingEnabled = enabled
		controller := New(settings, Fleet{Zones: 1, Gateways: 1, Classes: classes}, 0)
		queued := 0.0
		run := func(from, duration rules.Time, load float64) (shed [2]int) {
			arrivals := 0.0
			for now := from; now < from+duration; now += 50 * ms {
				controller.Observe(now, engineObservations(1), rules.LoadSummary{Share: 1, QueuedWork: queued, MeanWork: []float64{work, work}}, true)
				for arrivals += load * 100 * float64(50*ms) / work; arrivals >= 1; arrivals-- { // load relative to the 100 cores
					if reject, _ := controller.RequestArrived(now, Request{Class: int(arrivals) % 2, DeclaredWork: work}); reject {
						shed[int(arrivals)%2]++
					} else {
						queued += work
					}
				}
				for done := 0.0; done < 100*float64(50*ms) && queued >= work; done += work {
					queued -= work
					controller.RecordSend(now, 0, work, false)
				}
				queued = min(queued, 400*float64(second)) // requests beyond this miss their deadlines
			}
			return shed
		}
		if shed := run(1, 20*second, 0.9); shed != [2]int{} {
			t.Errorf("shedding enabled %v, load of 0.9: %v rejected", enabled, shed)
		}
		run(20*second, 20*second, 1.4)
		shed := run(40*second, 20*second, 1.4)
		if fraction := float64(shed[0]) / (20 * 1.4 * 200); enabled && (math.Abs(fraction-0.286) > 0.06 || shed[1] != 0) || !enabled && shed != [2]int{} {
			t.Errorf("shedding enabled %v, load of 1.4: %v rejected, %.3f of all; the excess is 0.286", enabled, shed, fraction)
		}
		run(60*second, 60*second, 0.8)
		if _, shedNow, _ := controller.SheddingStatus(); shedNow > 0.01 || controller.RetryAfter(120*second) != 0 {
			t.Errorf("shedding enabled %v, after the overload: %v shed, Retry-After %d", enabled, shedNow, controller.RetryAfter(120*second))
		}
	}
}

// Requests of a tenant over its quota are shed first.
func TestTenantsOverQuotaAreShedFirst(t *testing.T) {
	controller := New(settingsWithSpillover(1), Fleet{Zones: 1, Gateways: 2, Tenants: []rules.Tenant{{QuotaPerSecond: 20}, {QuotaPerSecond: 20}},
		Classes: []rules.Class{{PriorityWeight: 1, LatencyObjective: second}}}, 0)
	controller.demand.tiers[TierOverQuota].shedFraction = 1
	shed := [2]int{}
	for now := rules.Time(1); now < 20*second; now += 50 * ms {
		for tenant, n := range []int{3, 0} { // 60 and 5 requests a second; the quota is 10 a second per gateway
			if tenant == 1 && now%(200*ms) == 1 {
				n = 1
			}
			for range n {
				if reject, _ := controller.RequestArrived(now, Request{Tenant: tenant, DeclaredWork: float64(ms)}); reject {
					shed[tenant]++
				}
			}
		}
	}
	if shed[0] < 500 || shed[1] != 0 {
		t.Errorf("rejected by tenant: %v", shed)
	}
}

// Tiers are shed in order, each completely before the next and the last one in part: tenants over their quota, retries,
// then the lowest value.
func TestTiersAreShedInOrder(t *testing.T) {
	controller := New(settingsWithSpillover(1), Fleet{Zones: 1, Gateways: 1, Classes: []rules.Class{{PriorityWeight: 1}, {PriorityWeight: 16}}}, 0)
	light, heavy := TierLowestValue+PriorityTier(ValueTier(1, float64(second))), TierLowestValue+PriorityTier(ValueTier(16, float64(second)))
	if heavy-light != 4*tiersPerDoubling {
		t.Fatalf("16 times the priority weight is %d tiers higher, want 8", heavy-light)
	}
	for _, test := range []struct{ fraction, overQuota, retries, light, heavy float64 }{{0, 0, 0, 0, 0}, {0.1, 1, 0, 0, 0}, {0.2, 1, 0.5, 0, 0},
		{0.4, 1, 1, 1.0 / 3, 0}, {0.7, 1, 1, 1, 1.0 / 4}} {
		for i := range controller.demand.tiers {
			controller.demand.tiers[i].work = decayingSum{0, controller.now}
		}
		for tier, work := range map[PriorityTier]float64{TierOverQuota: 10, TierRetries: 20, light: 30, heavy: 40} {
			controller.demand.tiers[tier].work.sum = work
		}
		controller.distributeShedding(test.fraction)
		for tier, want := range map[PriorityTier]float64{TierOverQuota: test.overQuota, TierRetries: test.retries, light: test.light, heavy: test.heavy} {
			if got := controller.demand.tiers[tier].shedFraction; math.Abs(got-want) > 1e-9 {
				t.Errorf("%v of the demand is shed: tier %d sheds %v, want %v", test.fraction, tier, got, want)
			}
		}
	}
	controller.distributeShedding(0)
	controller.demand.tiers[light].shedFraction = 0.25
	shed := 0
	for range 100 {
		if reject, retryAfter := controller.RequestArrived(second, Request{Class: 0, DeclaredWork: float64(second)}); reject {
			if shed++; retryAfter <= 0 {
				t.Fatal("request shed without a Retry-After")
			}
		}
		if reject, _ := controller.RequestArrived(second, Request{Class: 1, DeclaredWork: float64(second)}); reject {
			t.Fatal("a request of a higher value tier was shed")
		}
	}
	if shed != 25 {
		t.Errorf("%d of 100 requests shed in a tier with a shed fraction of 0.25", shed)
	}
}

// For random observations, the fractions of a split are within 0 and 1 and add up to 1, a zone without listed cores
// gets no load, and no share rises faster than the ramp.
func TestSplitInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zoneCount := rapid.IntRange(1, 5).Draw(t, "zones")
		controller := New(Defaults(), Fleet{Zones: zoneCount, OwnZone: rapid.IntRange(0, zoneCount-1).Draw(t, "own"), Jitter: rapid.Float64Range(0, 1).Draw(t, "jitter")}, 0)
		now := rules.Time(1)
		before := controller.Status(now)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			elapsed := rules.Time(rapid.IntRange(1, 3000).Draw(t, "gap")) * ms
			now += elapsed
			observations := make([]Observation, zoneCount)
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
				controller.SetDraining(now, rapid.IntRange(0, zoneCount-1).Draw(t, "zone"), rapid.Bool().Draw(t, "on"))
			}
			controller.updateZones(now, observations)
			status := controller.Status(now)
			for i := range status {
				if increase := status[i].LoadShare - before[i].LoadShare; increase > float64(elapsed)/float64(controller.settings.RecoveryRamp)+1e-9 {
					t.Fatalf("the share of zone %d rose by %v in %d ms", i, increase, elapsed/ms)
				}
			}
			before = status
			split, sum := controller.Split(now), 0.0
			for i, fraction := range split.Fractions {
				if math.IsNaN(fraction) || fraction < 0 || fraction > 1+1e-9 {
					t.Fatalf("fractions %v", split.Fractions)
				}
				if fraction > 0 && observations[i].ListedCores <= 0 {
					t.Fatalf("zone %d has no listed cores and gets %v", i, fraction)
				}
				sum += fraction
			}
			if listed > 0 && math.Abs(sum-1) > 1e-9 || listed == 0 && sum != 0 {
				t.Fatalf("fractions %v add up to %v with %v cores listed", split.Fractions, sum, listed)
			}
		}
	})
}

// In a simulation of three zones, two take the load of the lost one within the spillover limit, and its load returns
// gradually.
func TestSimulate(t *testing.T) {
	scenario := Scenario{
		Zones:     []ZoneSpec{{"a", 100, 60}, {"b", 100, 60}, {"c", 100, 60}},
		Classes:   []ClassSpec{{"point", 0.1, 22}, {"report", 0.6, 10}, {"load", 0.3, 11}},
		LostZones: []int{0}, LostAt: 5 * second, ReturnAt: 30 * second, UnlistAfter: 3 * second, ClientsMoveAfter: 2 * second,
		ColdSpeed: 0.33, WarmupTime: 15 * second, Duration: 60 * second,
	}
	for _, sample := range Simulate(settingsWithSpillover(0.3), scenario) {
		at := int(sample.At / second)
		total := 0.0
		for _, zone := range sample.Zones {
			total += zone.OwnLoad + zone.ForeignLoad + zone.BlockedLoad + zone.ShedLoad
			if zone.ForeignLoad > 0.3*100+1e-9 {
				t.Errorf("second %d: %v cores of spillover, over the limit", at, zone.ForeignLoad)
			}
		}
		if math.Abs(total-sample.Demand) > 1e-6 {
			t.Errorf("second %d: the demand is %v cores, loads add up to %v", at, sample.Demand, total)
		}
		if (at < 5 || at > 55) && (sample.Unserved > 1e-6 || sample.Zones[0].OwnLoad < 59) {
			t.Errorf("second %d, no zone is lost: %+v", at, sample)
		}
		if at > 7 && at < 30 && (sample.Zones[0].OwnLoad+sample.Zones[0].ForeignLoad > 1e-9 || sample.Unserved > 1) {
			t.Errorf("second %d, zone a is lost and the others have capacity for its clients: %+v", at, sample)
		}
		if at == 33 && (sample.Zones[0].OwnLoad > 30 || sample.Zones[0].State != Returning) {
			t.Errorf("second %d, zone a returned 3 s ago: %+v", at, sample.Zones[0])
		}
	}
}

// Engines that are excluded for failures before a recovery do not cause another loss of the zone; failures after the
// recovery do.
func TestFailuresFromBeforeARecovery(t *testing.T) {
	controller := New(Defaults(), Fleet{Zones: 2, Gateways: 2}, 0)
	observe := func(from, duration rules.Time, lastFailure rules.Time, answered bool) rules.Time {
		for now := from; now < from+duration; now += 200 * ms {
			list := engineObservations(0, 1)
			for i := range list {
				list[i].LastFailure = lastFailure
			}
			for _, id := range controller.Observe(now, list, rules.LoadSummary{}, true).Probe {
				if id < 10 {
					controller.RecordProbe(0, answered)
				}
			}
		}
		return from + duration
	}
	now := observe(second, 3*second, second, false)
	if s := controller.Status(now)[0].State; s != Lost {
		t.Fatalf("all engines excluded for 3 s: %v", s)
	}
	now = observe(now, 7*second, second, true)
	if s := controller.Status(now)[0]; s.State != Returning || s.Losses != 1 {
		t.Fatalf("engines answer probes but are still excluded for earlier failures: %+v", s)
	}
	now = observe(now, 2*second, now, true)
	if s := controller.Status(now)[0]; s.State != Lost || s.Losses != 2 {
		t.Errorf("engines have failed again since the recovery: %+v", s)
	}
}

// A zone is probed when two of its engines have overdue requests and none has responded since. If no probe is answered,
// the zone is lost within 1.5 s, long before any of its engines is excluded. One overdue engine raises no suspicion,
// and a response from any engine ends it.
func TestSilentZoneIsSuspected(t *testing.T) {
	type testCase struct {
		overdue    int        // engines of the first zone with an overdue request
		answered   bool       // probes are answered
		respondsAt rules.Time // time after the start at which another engine of the zone responds; 0: never
	}
	simulate := func(test testCase) (probes int, lostAt rules.Time) {
		controller := New(Defaults(), Fleet{Zones: 2, Gateways: 2}, 0)
		const start = 10 * second
		probeResults := map[rules.Time]bool{}
		for now := rules.Time(start); now < start+4*second; now += 50 * ms {
			if answer, ok := probeResults[now]; ok {
				controller.RecordProbe(0, answer)
			}
			if now%(200*ms) != 0 {
				continue
			}
			list := engineObservations(1, 1)
			for i := range list[:4] {
				list[i].LastResponse = start - second
				if i < test.overdue {
					list[i].LastRequest, list[i].Overdue = start-100*ms, now > start
				}
			}
			if test.respondsAt != 0 && now >= start+test.respondsAt {
				list[3].LastResponse = start + test.respondsAt
			}
			for _, id := range controller.Observe(now, list, rules.LoadSummary{}, true).Probe {
				if id < 10 {
					probes++
					probeResults[now+250*ms] = test.answered
				}
			}
			if controller.Status(now)[0].State == Lost && lostAt == 0 {
				lostAt = now - start
			}
		}
		return probes, lostAt
	}
	if probes, lostAt := simulate(testCase{overdue: 2}); probes < 2 || lostAt == 0 || lostAt > 1500*ms {
		t.Errorf("silent zone: probed %d times, lost after %d ms", probes, lostAt/ms)
	}
	if probes, lostAt := simulate(testCase{overdue: 1}); probes != 0 || lostAt != 0 {
		t.Errorf("one overdue engine: probed %d times, lost after %d ms", probes, lostAt/ms)
	}
	if probes, lostAt := simulate(testCase{overdue: 2, answered: true}); probes == 0 || lostAt != 0 {
		t.Errorf("probes are answered: probed %d times, lost after %d ms", probes, lostAt/ms)
	}
	if probes, lostAt := simulate(testCase{overdue: 2, respondsAt: 300 * ms}); probes > 2 || lostAt != 0 {
		t.Errorf("another engine responds: probed %d times, lost after %d ms", probes, lostAt/ms)
	}
}

// A zone that peers report as lost is probed, and is lost only if it does not answer.
func TestSuspicionFromPeers(t *testing.T) {
	for _, answered := range []bool{true, false} {
		controller := New(Defaults(), Fleet{Zones: 2, Gateways: 2}, 0)
		probes := 0
		for now := rules.Time(second); now < 4*second; now += 250 * ms {
			if now == 2*second {
				controller.Suspect(0)
				controller.Suspect(7) // unknown zone, ignored
			}
			for _, id := range controller.Observe(now, engineObservations(1, 1), rules.LoadSummary{}, true).Probe {
				if id < 10 {
					probes++
					controller.RecordProbe(0, answered)
				}
			}
		}
		if s := controller.Status(4 * second)[0].State; probes == 0 || (s == Lost) == answered {
			t.Errorf("probes answered %v: probed %d times, then state %v", answered, probes, s)
		}
	}
}
