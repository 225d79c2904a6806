package emulator

import (
	"reflect"
	"testing"

	"foxlane/internal/zones"
	"foxlane/rules"
)

const second = rules.Second

// scenarios are what a fleet of 60 gateways and 12 engines goes through. least is of the worth that clients
// offer from one second to another; what was served there before the causes were mended stands behind it.
var scenarios = []struct {
	name     string
	load     float64
	faults   []Fault
	from, to int
	least    float64
}{
	{"calm", 0.8, nil, 4, 25, 0.95},
	{"release of six in ten engines within 7 s", 0.75,
		[]Fault{ReplaceEngines(8*second, 0.6, 7*second, 2*second)}, 10, 25, 0.87}, // 0.61 to 0.67
	{"release under restarts of all gateways", 0.75,
		[]Fault{ReplaceEngines(5*second, 0.5, 12*second, 2*second), RestartGateways(5*second, 0.1, 1500*rules.Millisecond, 3*second)},
		6, 25, 0.88}, // 0.80 to 0.81
	{"seven in ten gateways killed in a release", 0.7,
		[]Fault{ReplaceEngines(8*second, 0.25, 5*second, 2*second), KillGateways(10*second, 0.7, second)}, 13, 25, 0.9},
	{"the list dark in a release", 0.7,
		[]Fault{ReplaceEngines(6*second, 0.25, 4*second, 6*second), ListOutage(8*second, 8*second)}, 8, 25, 0.95},
}

// A fleet goes through each of its failures without pushing a cold engine over, leaving a request without
// an answer, or losing more of the worth than the scene allows.
func TestFleetSurvivesFaults(t *testing.T) {
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				s := Warehouse(60, 12, sc.load, seed+1)
				s.Faults = sc.faults
				b := New(s).Run()
				t.Logf("seed %d: share %.3f\n%v", seed+1, b.ServedShare(sc.from, sc.to), b)
				if got := b.ServedShare(sc.from, sc.to); got < sc.least {
					t.Errorf("seed %d: share %.3f from second %d to %d, want %.2f", seed+1, got, sc.from, sc.to, sc.least)
				}
				if b.OverloadCollapses > 0 || b.Unanswered > 0 {
					t.Errorf("seed %d: %d cold engines pushed over, %d requests without an answer", seed+1, b.OverloadCollapses, b.Unanswered)
				}
			}
		})
	}
}

// A zone is lost for 8 s, engines and gateways, and comes back cold; another flaps. With a plan gateways lose less, cross
// zones seldom, move each zone a few times only, and push no cold engine over.
func TestFleetLosesAZone(t *testing.T) {
	for _, sc := range []struct {
		name  string
		fault Fault
		from  int
		least float64
		cross float64
		moves int // states entered, a gateway
	}{
		{"lost and back", LoseZone(8*second, 0, 3*second, 8*second), 8, 0.975, 0.15, 4},
		{"flaps every 2 s", FlapZone(8*second, 0, 4, 2*second), 8, 0.975, 0.35, 2},
	} {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			set := zones.Defaults()
			var worth [2]float64
			for i, sites := range []*zones.Settings{nil, &set} {
				s := Warehouse(60, 15, 0.55, 3)
				s.Zones, s.ZoneFailover, s.Faults = 3, sites, []Fault{sc.fault}
				s.Settings.Penalties.CrossZone = 0.05
				b := New(s).Run()
				worth[i] = b.ServedShare(sc.from, 27)
				cross := float64(b.CrossZone) / float64(b.Attempts)
				t.Logf("plan %v: share %.3f, %.2f across zones, %d moves\n%v", sites != nil, worth[i], cross, b.ZoneTransitions, b)
				if b.OverloadCollapses > 0 || b.Unanswered > 0 {
					t.Errorf("plan %v: %d cold engines pushed over, %d requests without an answer", sites != nil, b.OverloadCollapses, b.Unanswered)
				}
				if sites != nil && (cross > sc.cross || b.ZoneTransitions > sc.moves*s.Gateways || b.ZoneTransitions == 0) {
					t.Errorf("%.2f of the sends across zones, %d moves of %d gateways", cross, b.ZoneTransitions, s.Gateways)
				}
			}
			if worth[1] < sc.least || worth[1] <= worth[0] {
				t.Errorf("share %.3f with a plan, %.3f without; %.3f wanted", worth[1], worth[0], sc.least)
			}
		})
	}
}

// The same seed gives the same run.
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
