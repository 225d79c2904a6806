package rules

import (
	"slices"
	"testing"
)

// fixedPlan gives each zone a weight, and closes some.
type fixedPlan struct {
	weights []float64
	closed  []int
	blocked bool
	sent    []int // zones, in order
	retries int   // further attempts among them
}

func (p *fixedPlan) PickZone(_ Time, drawn, _ float64, tried []int) (zone int, ok bool) {
	if p.blocked {
		return 0, false
	}
	odds := slices.Clone(p.weights)
	for _, z := range tried {
		odds[z] = 0
	}
	for i, o := range odds {
		if drawn -= o; o > 0 && drawn < 0 {
			return i, true
		}
	}
	return slices.IndexFunc(odds, func(o float64) bool { return o > 0 }), true
}

func (p *fixedPlan) Admits(_ Time, zone int, _ float64, _ bool) bool {
	return !slices.Contains(p.closed, zone)
}

func (p *fixedPlan) RecordSend(_ Time, zone int, _ float64, retry bool) {
	p.sent = append(p.sent, zone)
	if retry {
		p.retries++
	}
}

// startZoned starts a module with n engines in so many zones and a plan for them.
func startZoned(t *testing.T, s Settings, n, zones int, plan *fixedPlan) (*checker, []Engine) {
	chk := newChecker(t, s, 5, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	fleet := fleetOf(n)
	for i := range fleet {
		fleet[i].Zone = i % zones
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
	chk.handle(ZonePlanChanged{Plan: plan})
	return chk, fleet
}

// Load follows the weights of a plan. A retry leaves the zone that had an attempt. Without capacity in the
// zone picked, others that are open are taken, and those that are closed never.
func TestZonePlan(t *testing.T) {
	s := basicSettings(interactive)
	s.Gateways = 50
	plan := &fixedPlan{weights: []float64{0.7, 0.3, 0}}
	chk, fleet := startZoned(t, s, 15, 3, plan)
	got, again, sends := [3]int{}, [3]int{}, 0
	for set := range 300 {
		id := chk.submit(0, func(r *Request) { r.DataSet = set % 7 })
		got[chk.requests[id].attempts[0].engine.Zone]++
		sends++
		if set%10 == 0 {
			first := chk.requests[id].attempts[0].engine.Zone
			chk.resolve(chk.pending()[0], StatusRejected)
			if as := chk.requests[id].attempts; len(as) == 2 {
				sends++
				if as[1].engine.Zone == first {
					again[first]++
				}
			}
		}
		chk.resolveAll(StatusOK)
		chk.advance(50 * Millisecond)
	}
	if got[0] < 180 || got[1] < 60 || got[2] > 0 {
		t.Errorf("parts of 0.7, 0.3 and 0: %v of 300 first attempts", got)
	}
	if again != [3]int{} {
		t.Errorf("%v retries stayed in the zone of the first", again)
	}
	if len(plan.sent) != sends || plan.retries != sends-300 {
		t.Errorf("the plan heard of %d attempts, %d of them retries; %d were sent", len(plan.sent), plan.retries, sends)
	}
	for i := range fleet {
		if fleet[i].Zone < 2 {
			fleet[i].State = EngineDraining
		}
	}
	chk.handle(FleetUpdate{Mode: UpdateDelta, Engines: fleet})
	plan.closed = []int{2}
	if id := chk.submit(0, nil); chk.attempts(id) != 0 {
		t.Error("sent to a zone that is closed")
	}
	plan.closed = nil
	if id := chk.submit(0, nil); chk.attempts(id) != 1 {
		t.Error("no engine of the zones drawn serves, and the one that does was not taken")
	}
	plan.blocked = true
	id := chk.submit(0, nil)
	if chk.attempts(id) != 0 {
		t.Error("sent though the plan makes it wait")
	}
	plan.blocked = false
	if chk.advance(100 * Millisecond); chk.attempts(id) != 1 {
		t.Error("not sent once the plan has room")
	}
}

// A class bound to zones goes there, whatever the plan says.
func TestZonePlanLeavesBoundClasses(t *testing.T) {
	bound := interactive
	bound.AllowedZones = []int{1}
	s := basicSettings(bound)
	chk := newChecker(t, s, 5, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	fleet := fleetOf(4)
	for i := range fleet {
		fleet[i].Zone = i % 2
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
	chk.handle(ZonePlanChanged{Plan: &fixedPlan{weights: []float64{1, 0}, closed: []int{1}, blocked: true}})
	if id := chk.submit(0, nil); chk.attempts(id) != 1 {
		t.Error("a class that runs in zone 1 only is kept from it")
	}
}

// Short queries pay as much for crossing zones as long ones, and are little load: they stay in the gateway's
// zone while a preferred engine there takes them, and cross when none does.
func TestShortQueriesStayInTheirZone(t *testing.T) {
	heavy := interactive
	heavy.LatencyObjective, heavy.PriorityWeight = 5*Second, 2
	s := basicSettings(interactive, heavy)
	s.AcceptsPriority, s.Penalties.CrossZone, s.Zone, s.Gateways = true, 0.05, 1, 50
	chk := newChecker(t, s, 1, 1000*Second)
	chk.work[0], chk.work[1] = float64(100*Millisecond), float64(Second)
	fleet := fleetOf(12)
	for i := range fleet {
		fleet[i].Zone = i % 3
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
	crossed := func(class int) (n int) {
		for set := range 40 {
			id := chk.submit(class, func(r *Request) { r.DataSet = set })
			chk.resolveAll(StatusOK)
			if as := chk.requests[id].attempts; len(as) > 0 && as[0].engine.Zone != s.Zone {
				n++
			}
			chk.advance(20 * Millisecond)
		}
		return n
	}
	if n := crossed(1); n < 15 {
		t.Errorf("%d of 40 long queries crossed zones: they are the load, and go where there is least", n)
	}
	if n := crossed(0); n > 0 {
		t.Errorf("%d of 40 short queries crossed zones", n)
	}
	for i := range fleet {
		if fleet[i].Zone == s.Zone {
			fleet[i].State = EngineDraining
		}
	}
	chk.handle(FleetUpdate{Mode: UpdateDelta, Engines: fleet})
	if n := crossed(0); n != 40 {
		t.Errorf("%d of 40 short queries crossed zones when their own was gone", n)
	}
}

// The retry of a short query that failed in the gateway's zone may leave it: a lost zone would use up all
// attempts.
func TestFurtherAttemptLeavesTheZone(t *testing.T) {
	heavy := interactive
	heavy.PriorityWeight = 2
	s := basicSettings(interactive, heavy)
	s.AcceptsPriority, s.Penalties.CrossZone, s.Gateways = true, 0.05, 50
	left := 0
	for seed := range uint64(20) {
		chk := newChecker(t, s, seed, 1000*Second)
		chk.work[0], chk.work[1] = float64(100*Millisecond), float64(Second)
		fleet := fleetOf(30)
		for i := range fleet {
			fleet[i].Zone = i % 5
		}
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
		chk.submit(1, nil)
		chk.resolve(chk.pending()[0], StatusOK)
		id := chk.submit(0, nil)
		chk.resolve(chk.pending()[0], StatusConnectFailed)
		if as := chk.requests[id].attempts; as[0].engine.Zone != s.Zone || len(as) != 2 {
			t.Fatalf("%d attempts, the first in zone %d", len(as), as[0].engine.Zone)
		} else if as[1].engine.Zone != s.Zone {
			left++
		}
	}
	if left < 10 {
		t.Errorf("%d of 20 retries left the zone, of five that are alike", left)
	}
}
