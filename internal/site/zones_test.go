package site

import (
	"reflect"
	"testing"

	"foxlane/internal/zones"
	"foxlane/rules"
)

const zonesSample = `
sites {
  overprovision = 1.2
  spill         = 0.25
  ramp          = "20s"
  damping {
    half_life = "30s"
  }
  shedding {
    up = 1.2
  }
  zone "hall-a" {
    prefers = [["hall-b"], ["hall-c", "hall-x"]]
  }
  zone "hall-c" {
    drain = true
  }
  class "report" {
    requests = 2.4
    work     = "2s"
  }
}
`

func TestZones(t *testing.T) {
	s := parse(t, zonesSample)
	set, drained := s.Zones.Resolve([]string{"hall-a", "hall-b", "hall-c"})
	if set.Overprovision != 1.2 || set.SpilloverLimit != 0.25 || set.RecoveryRamp != 20*rules.Second || set.Damping.HalfLife != 30*rules.Second ||
		set.Damping.SuppressAbove != zones.Defaults().Damping.SuppressAbove || set.Shedding.Threshold != 1.2 || set.PanicThreshold != zones.Defaults().PanicThreshold {
		t.Errorf("got %+v", set)
	}
	if !reflect.DeepEqual(set.Tiers, map[int][][]int{0: {{1}, {2}}}) || !reflect.DeepEqual(drained, []int{2}) {
		t.Errorf("tiers %v, drained %v; an unknown zone is ignored", set.Tiers, drained)
	}
	if c := s.Zones.Classes; len(c) != 1 || c[0] != (PlanClass{"report", 2.4, 2 * rules.Second}) {
		t.Errorf("classes %+v", c)
	}
}

func TestInvalidZones(t *testing.T) {
	checkErrors(t, map[string]string{
		"sites {\n  spill = 2\n}":                                               "2:11: spill: 2 is not between 0 and 1",
		"sites {\n  lost_below = 0.8\n}":                                        "lost_below is 0.8 and back_over 0.7",
		"sites {\n  ramp = \"0s\"\n}":                                           "ramp and drain must be over 0",
		"sites {\n  damping {\n    reuse = 9\n  }\n}":                           "reuse is 9 and suppress 2.5",
		"sites {\n  zone \"a\" {\n    prefers = [\"b\"]\n  }\n}":                "3:16: prefers: each tier must be a list of strings",
		"sites {\n  zone \"a\" {\n    prefers = \"b\"\n  }\n}":                  "prefers must be a list of lists",
		"sites {\n  zone \"a\" {\n    prefers = [[\"b\"], [\"a\"]]\n  }\n}":     "\"a\" is named twice, or is the zone itself",
		"sites {\n  zone \"a\" {}\n  zone \"a\" {}\n}":                          "3:3: zone \"a\" is declared twice",
		"sites {\n  class \"c\" {\n    requests = 1\n    work = \"0s\"\n  }\n}": "work must be greater than 0",
		"sites {\n  class \"c\" {\n    requests = 1\n  }\n}":                    "needs both requests and work",
		"sites {\n  shedding {\n    slack = 2\n  }\n}":                          "slack at least 0 and under up - 1",
		"sites {\n  spil = 1\n}":                                                "2:3: Unsupported argument",
		"sites {}\nsites {}":                                                    "Duplicate sites block",
	})
}
