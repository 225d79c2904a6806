package rules

import "testing"

// A fleet of dozens keeps a data set cached on few engines only if all gateways send it to the same ones. A
// set that many ask for gets more of them, and data loads of one set keep apart.
func TestDataSetsHavePreferredEngines(t *testing.T) {
	preferred := func(seed uint64, class Class, set int, of int) map[EngineID]bool {
		s := basicSettings(class)
		s.Gateways = 4
		chk := newChecker(t, s, seed, 1000*Second)
		chk.work[0] = float64(100 * Millisecond)
		chk.handle(FleetUpdate{Mode: UpdateCached, Engines: fleetOf(30)})
		seen := map[EngineID]bool{}
		for i := range 600 {
			chk.submit(0, func(r *Request) {
				if r.DataSet = 100 + i%40; i%of == 0 {
					r.DataSet = set
				}
			})
			o := chk.pending()[0]
			if chk.requests[o.ID].DataSet == set {
				seen[o.Engine] = true
			}
			o.Latency = 100 * Millisecond
			chk.resolve(o, StatusOK)
			chk.advance(5 * Millisecond)
		}
		return seen
	}
	a, b := preferred(1, interactive, 7, 60), preferred(2, interactive, 7, 60)
	for id := range b {
		a[id] = true
	}
	if len(a) > 4 {
		t.Fatalf("two gateways sent a little read data set to %d engines of 30", len(a))
	}
	if n := len(preferred(1, interactive, 7, 2)); n < 10 {
		t.Fatalf("half of all requests are for a data set that got %d engines of 30", n)
	}
	load := interactive
	load.IsDataLoad = true
	if n := len(preferred(1, load, 7, 60)); n < 5 {
		t.Fatalf("ten loads of one data set met on %d engines", n)
	}
}

// A data load blocks its data set on its engine: a second one there would hold its memory without progress.
func TestLoadsOfOneDataSetKeepApart(t *testing.T) {
	load := interactive
	load.IsDataLoad, load.Idempotency = true, NotIdempotent
	for range 20 {
		chk := startModule(t, basicSettings(load), 3)
		for range 3 {
			chk.submit(0, func(r *Request) { r.DataSet = 4 })
		}
		seen := map[EngineID]bool{}
		for _, o := range chk.pending() {
			if seen[o.Engine] {
				t.Fatal("two loads of a data set on one engine")
			}
			seen[o.Engine] = true
		}
		id := chk.submit(0, func(r *Request) { r.DataSet = 4 })
		if len(chk.requests[id].attempts) != 0 {
			t.Fatal("a fourth load of the data set was sent while every engine runs one")
		}
		chk.resolve(chk.pending()[0], StatusOK)
		if len(chk.requests[id].attempts) != 1 {
			t.Fatal("the queued load was not sent when an engine finished the load of its data set")
		}
	}
}

// Within the zone that a plan picks, queries keep to the preferred engines of their data set, and data loads
// of one data set keep apart: on the same engines they would block each other with all the memory they were
// granted.
func TestLoadsKeepApartInAPlannedZone(t *testing.T) {
	met := func(isLoad bool) int {
		class := interactive
		class.IsDataLoad = isLoad
		s := basicSettings(class)
		s.Gateways = 50
		chk, _ := startZoned(t, s, 24, 2, &fixedPlan{weights: []float64{1, 0}})
		seen := map[EngineID]bool{}
		for range 60 {
			id := chk.submit(0, func(r *Request) { r.DataSet = 7 })
			if e := chk.requests[id].attempts[0].engine; e.Zone != 0 {
				t.Fatal("the plan was not followed")
			} else {
				seen[e.ID] = true
			}
			chk.resolve(chk.pending()[0], StatusOK)
			chk.advance(50 * Millisecond)
		}
		return len(seen)
	}
	if n := met(false); n > minPreferredEngines {
		t.Errorf("queries of one data set went to %d engines of a zone", n)
	}
	if n := met(true); n < 10 {
		t.Errorf("loads of one data set met on %d of the 12 engines of a zone", n)
	}
}
