package emulator

import (
	"reflect"
	"testing"

	"foxlane/internal/zones"
	"foxlane/rules"
)

const second = rules.Second

// scenarios are faults in a fleet of 60 gateways and 12 engines. minShare is the minimum share of the offered value
// that must be served between the seconds from and to. A comment after a scenario is the share served before the faults
// found with it were fixed.
var scenarios = []struct {
	name     string
	load     float64
	faults   []Fault
	from, to int
	minShare float64
}{
	{"calm", 0.8, nil, 4, 25, 0.95},
	{"release of six in ten engines within 7 s", 0.75,
		[]Fault{ReplaceEngines(8*second, 0.6, 7*second, 2*second)}, 10, 25, 0.87}, // 0.61 to 0.67
	{"release under restarts of all gateways", 0.75,
		[]Fault{ReplaceEngines(5*second, 0.5, 12*second, 2*second), RestartGateways(5*second, 0.1, 1500*rules.Millisecond, 3*second)},
		6, 25, 0.88}, // 0.80 to 0.81
	{"seven in ten gateways killed in a release", 0.7,
		[]Fault{ReplaceEngines(8*second, 0.25, 5*second, 2*second), KillGateways(10*second, 0.7, second)}, 13, 25, 0.9},
	{"list outage in a release", 0.7,
		[]Fault{ReplaceEngines(6*second, 0.25, 4*second, 6*second), ListOutage(8*second, 8*second)}, 8, 25, 0.95},
	{"a quarter of the engines slow, another fails at once", 0.4,
		[]Fault{SlowEngines(8*second, 10*second, 0.25, 3), EngineErrors(8*second, 10*second, 0.25, 0.9)}, 8, 25, 0.95},
}

// Checks for each scenario that no cold engine collapses, that every request is answered, and that enough is served.
func TestFleetSurvivesFaults(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := Warehouse(60, 12, sc.load, seed+1)
				s.Faults = sc.faults
				m := New(s).Run()
				t.Logf("seed %d: share %.3f\n%v", seed+1, m.ServedShare(sc.from, sc.to), m)
				if got := m.ServedShare(sc.from, sc.to); got < sc.minShare {
					t.Errorf("seed %d: share %.3f from second %d to %d, want %.2f", seed+1, got, sc.from, sc.to, sc.minShare)
				}
				if m.OverloadCollapses > 0 || m.Unanswered > 0 {
					t.Errorf("seed %d: %d cold engines collapsed, %d requests without an answer", seed+1, m.OverloadCollapses, m.Unanswered)
				}
			}
		})
	}
}

// A zone is lost for 8 s with its engines and gateways and comes back cold, or its engines flap. With zone failover the
// fleet must serve more than without, with few cross-zone attempts and few state changes, and no cold engine may
// collapse.
func TestFleetLosesAZone(t *testing.T) {
	for _, sc := range []struct {
		name           string
		fault          Fault
		from           int
		minShare       float64
		maxCrossZone   float64
		maxTransitions int // per gateway
	}{
		{"lost and back", LoseZone(8*second, 0, 3*second, 8*second), 8, 0.975, 0.15, 4},
		{"flaps every 2 s", FlapZone(8*second, 0, 4, 2*second), 8, 0.975, 0.35, 2},
	} {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			settings := zones.Defaults()
			var served [2]float64
			for i, plan := range []*zones.Settings{nil, &settings} {
				s := Warehouse(60, 15, 0.55, 3)
				s.Zones, s.ZoneFailover, s.Faults = 3, plan, []Fault{sc.fault}
				s.Settings.Penalties.CrossZone = 0.05
				m := New(s).Run()
				served[i] = m.ServedShare(sc.from, 27)
				crossZone := float64(m.CrossZone) / float64(m.Attempts)
				t.Logf("plan %v: share %.3f, %.2f across zones, %d transitions\n%v", plan != nil, served[i], crossZone, m.ZoneTransitions, m)
				if m.OverloadCollapses > 0 || m.Unanswered > 0 {
					t.Errorf("plan %v: %d cold engines collapsed, %d requests without an answer", plan != nil, m.OverloadCollapses, m.Unanswered)
				}
				if plan != nil && (crossZone > sc.maxCrossZone || m.ZoneTransitions > sc.maxTransitions*s.Gateways || m.ZoneTransitions == 0) {
					t.Errorf("%.2f of the attempts across zones, %d transitions at %d gateways", crossZone, m.ZoneTransitions, s.Gateways)
				}
			}
			if served[1] < sc.minShare || served[1] <= served[0] {
				t.Errorf("share %.3f with a plan, %.3f without; %.3f wanted", served[1], served[0], sc.minShare)
			}
		})
	}
}

// Two runs with the same seed must be identical, and a run with another seed must differ.
func TestSameSeedSameRun(t *testing.T) {
	s := Warehouse(20, 6, 0.8, 5)
	s.Faults = []Fault{ReplaceEngines(5*second, 0.5, 5*second, 2*second), KillGateways(8*second, 0.5, second)}
	a, b := New(s).Run(), New(s).Run()
	if a.String() != b.String() || !reflect.DeepEqual(a.Seconds, b.Seconds) {
		t.Errorf("two runs of one seed differ:\n%v\n%v", a, b)
	}
	s.Seed++
	if c := New(s).Run(); a.String() == c.String() {
		t.Error("another seed gave the same run")
	}
}
