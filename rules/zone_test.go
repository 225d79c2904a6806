package rules

import (
	"slices"
	"testing"
)

// fixedPlan is a ZonePlan with a weight for each zone. It records all sends.
type fixedPlan struct {
	weights   []float64 // by zone; their sum is 1
	closed    []int     // zones that admit no query
	full      bool      // no zone has capacity
	sentZones []int     // the zone of each send, in order
	retries   int       // number of retries among the sends
}

// PickZone draws a zone by the weights, without the zones of earlier attempts.
func (p *fixedPlan) PickZone(_ Time, draw, _ float64, tried []int) (zone int, ok bool) {
	if p.full {
		return 0, false
	}
	odds := slices.Clone(p.weights)
	for _, z := range tried {
		odds[z] = 0
	}
	for i, o := range odds {
		if draw -= o; o > 0 && draw < 0 {
			return i, true
		}
	}
	return slices.IndexFunc(odds, func(o float64) bool { return o > 0 }), true
}

// Admits reports whether a zone is open.
func (p *fixedPlan) Admits(_ Time, zone int, _ float64, _ bool) bool {
	return !slices.Contains(p.closed, zone)
}

// RecordSend records the zone of a send.
func (p *fixedPlan) RecordSend(_ Time, zone int, _ float64, retry bool) {
	p.sentZones = append(p.sentZones, zone)
	if retry {
		p.retries++
	}
}

// startModuleWithZones returns a checker whose module has a zone plan and engines that are spread evenly over
// the zones, and the endpoint list with these engines.
func startModuleWithZones(t *testing.T, settings Settings, engineCount, zoneCount int,
	plan *fixedPlan) (*checker, []Engine) {
	chk := newChecker(t, settings, 5, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	fleet := fleetOf(engineCount)
	for i := range fleet {
		fleet[i].Zone = i % zoneCount
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
	chk.handle(ZonePlanChanged{Plan: plan})
	return chk, fleet
}

// The load follows the weights of the zone plan, and a retry is sent to another zone. If the zone that the
// plan picks has no engine for a request, other zones are used, but never one that is closed.
func TestZonePlan(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Gateways = 50
	plan := &fixedPlan{weights: []float64{0.7, 0.3, 0}}
	chk, fleet := startModuleWithZones(t, settings, 15, 3, plan)
	firstAttempts, sameZoneRetries, sends := [3]int{}, [3]int{}, 0
	for dataSet := range 300 {
		id := chk.submit(0, func(r *Request) { r.DataSet = dataSet % 7 })
		firstAttempts[chk.requests[id].attempts[0].engine.Zone]++
		sends++
		if dataSet%10 == 0 {
			firstZone := chk.requests[id].attempts[0].engine.Zone
			chk.resolve(chk.pending()[0], StatusRejected)
			if attempts := chk.requests[id].attempts; len(attempts) == 2 {
				sends++
				if attempts[1].engine.Zone == firstZone {
					sameZoneRetries[firstZone]++
				}
			}
		}
		chk.resolveAll(StatusOK)
		chk.advance(50 * Millisecond)
	}
	if firstAttempts[0] < 180 || firstAttempts[1] < 60 || firstAttempts[2] > 0 {
		t.Errorf("with weights of 0.7, 0.3 and 0, the zones got %v of 300 first attempts", firstAttempts)
	}
	if sameZoneRetries != [3]int{} {
		t.Errorf("%v retries, by zone, stayed in the zone of the first attempt", sameZoneRetries)
	}
	if len(plan.sentZones) != sends || plan.retries != sends-300 {
		t.Errorf("the plan recorded %d attempts, %d of them retries; %d were sent",
			len(plan.sentZones), plan.retries, sends)
	}
	for i := range fleet {
		if fleet[i].Zone < 2 {
			fleet[i].State = EngineDraining
		}
	}
	chk.handle(FleetUpdate{Mode: UpdateDelta, Engines: fleet})
	plan.closed = []int{2}
	if id := chk.submit(0, nil); chk.attemptCount(id) != 0 {
		t.Error("a request was sent to a closed zone")
	}
	plan.closed = nil
	if id := chk.submit(0, nil); chk.attemptCount(id) != 1 {
		t.Error("a request was not sent to the only zone with serving engines, which the plan admits")
	}
	plan.full = true
	id := chk.submit(0, nil)
	if chk.attemptCount(id) != 0 {
		t.Error("a request was sent though the plan had no capacity")
	}
	plan.full = false
	if chk.advance(100 * Millisecond); chk.attemptCount(id) != 1 {
		t.Error("a queued request was not sent once the plan had capacity")
	}
}

// A class whose AllowedZones are set is sent to these zones, whatever the zone plan says.
func TestZonePlanDoesNotApplyToClassesWithAllowedZones(t *testing.T) {
	zoneOneOnly := interactive
	zoneOneOnly.AllowedZones = []int{1}
	settings := basicSettings(zoneOneOnly)
	chk := newChecker(t, settings, 5, 1000*Second)
	chk.work[0] = float64(100 * Millisecond)
	fleet := fleetOf(4)
	for i := range fleet {
		fleet[i].Zone = i % 2
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
	chk.handle(ZonePlanChanged{Plan: &fixedPlan{weights: []float64{1, 0}, closed: []int{1}, full: true}})
	if id := chk.submit(0, nil); chk.attemptCount(id) != 1 {
		t.Error("a request of a class that may run in zone 1 only was not sent there")
	}
}

// The penalty for crossing zones is per query, and short queries are little load. So they stay in the zone
// of the gateway while a preferred engine there can take them, and cross zones if none can.
func TestShortQueriesStayInTheirZone(t *testing.T) {
	heavy := interactive
	heavy.LatencyObjective, heavy.PriorityWeight = 5*Second, 2
	settings := basicSettings(interactive, heavy)
	settings.AcceptsPriority, settings.Penalties.CrossZone, settings.Zone, settings.Gateways = true, 0.05, 1, 50
	chk := newChecker(t, settings, 1, 1000*Second)
	chk.work[0], chk.work[1] = float64(100*Millisecond), float64(Second)
	fleet := fleetOf(12)
	for i := range fleet {
		fleet[i].Zone = i % 3
	}
	chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleet})
	countCrossed := func(class int) (n int) {
		for dataSet := range 40 {
			id := chk.submit(class, func(r *Request) { r.DataSet = dataSet })
			chk.resolveAll(StatusOK)
			if attempts := chk.requests[id].attempts; len(attempts) > 0 && attempts[0].engine.Zone != settings.Zone {
				n++
			}
			chk.advance(20 * Millisecond)
		}
		return n
	}
	if n := countCrossed(1); n < 15 {
		t.Errorf("%d of 40 long queries crossed zones, want at least 15: they go where load is least", n)
	}
	if n := countCrossed(0); n > 0 {
		t.Errorf("%d of 40 short queries crossed zones, want none", n)
	}
	for i := range fleet {
		if fleet[i].Zone == settings.Zone {
			fleet[i].State = EngineDraining
		}
	}
	chk.handle(FleetUpdate{Mode: UpdateDelta, Engines: fleet})
	if n := countCrossed(0); n != 40 {
		t.Errorf("%d of 40 short queries crossed zones when their own had no serving engine, want all", n)
	}
}

// The retry of a short query that failed in the gateway's zone may be sent to another zone. Otherwise a
// lost zone would use up all attempts.
func TestRetryMayLeaveZone(t *testing.T) {
	heavy := interactive
	heavy.PriorityWeight = 2
	settings := basicSettings(interactive, heavy)
	settings.AcceptsPriority, settings.Penalties.CrossZone, settings.Gateways = true, 0.05, 50
	leftZone := 0
	for seed := range uint64(20) {
		chk := newChecker(t, settings, seed, 1000*Second)
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
		if attempts := chk.requests[id].attempts; attempts[0].engine.Zone != settings.Zone || len(attempts) != 2 {
			t.Fatalf("%d attempts, the first in zone %d", len(attempts), attempts[0].engine.Zone)
		} else if attempts[1].engine.Zone != settings.Zone {
			leftZone++
		}
	}
	if leftZone < 10 {
		t.Errorf("%d of 20 retries left the zone, want at least 10 with five equal zones", leftZone)
	}
}
