package emulator

import (
	"flag"
	"fmt"
	"testing"

	"foxlane/rules"
)

var slowStartSeeds = flag.Uint64("ramp.seeds", 1, "seeds of each slow-start scenario; with more than one, all scenarios also run with 300 gateways")

// runSlowStart runs a loaded fleet in which half of the engines are replaced by cold ones. The slow-start budget N of a
// cold engine limits the sum of the work from all gateways. The operators tolerate 2*sqrt(N)+2 above N for random
// variation; the tests require N itself.
func runSlowStart(gateways int, seed uint64, change func(s *Scenario)) *Metrics {
	s := Warehouse(gateways, min(max(4, gateways/2), 16), 0.85, seed)
	s.Duration = 20 * second
	s.Faults = []Fault{ReplaceEngines(4*second, 0.5, 5*second, 2*second)}
	change(&s)
	return New(s).Run()
}

// plannedBudget is the fraction of a budget that gateways plan to use, 0.6, plus two standard deviations of the sum of
// 60 queries whose work has a coefficient of variation of 1.
const plannedBudget = 0.8

var slowStartScenarios = []struct {
	name      string
	maxBudget float64 // maximum fraction of a budget that may be used
	change    func(s *Scenario)
}{
	{"even traffic", 1, func(s *Scenario) { s.Clients.LoadSkew = 0 }},
	{"uneven traffic", 1, func(s *Scenario) { s.Clients.LoadSkew = 1 }},
	{"all gateways restart during the warm-up", 1, func(s *Scenario) {
		s.Faults = append(s.Faults, RestartGateways(6*second, 0.25, 1500*rules.Millisecond, second))
	}},
	{"the endpoint list is delayed at some gateways", 1, func(s *Scenario) { s.Network.MaxListDelay = 6 * second }},
	{"clients retry often", 1, func(s *Scenario) {
		s.Load, s.Clients.MaxTries, s.Clients.Backoff, s.Clients.HonorRetryAfter = 1.1, 4, 100*rules.Millisecond, 0
	}},
	{"queries with long deadlines, and a small budget", plannedBudget, longDeadlines},
}

// longDeadlines makes every gateway use its whole slow-start budget all the time: with these objectives no query on a
// cold engine is late.
func longDeadlines(s *Scenario) {
	s.Load = 1.2
	s.Settings.Constraints.OverloadFactor, s.Settings.Constraints.OverloadWindow = 1, second
	for i := range s.Classes {
		s.Classes[i] = ClassModel{Share: 1, Work: 200 * rules.Millisecond, CV: 1, DeclaredNoise: 0.3}
		c := &s.Settings.Classes[i]
		c.LatencyObjective, c.ClientTimeout, c.Threads, c.Idempotency, c.IsDataLoad = 15*second, 20*second, 1, rules.Idempotent, false
	}
}

// The work from all gateways together must stay within the slow-start budget of a cold engine, for any number of
// gateways and any distribution of the load over them.
func TestSlowStartBudgetAcrossFleet(t *testing.T) {
	for _, gateways := range []int{2, 20, 30, 300} {
		seeds := *slowStartSeeds
		if gateways > 30 {
			seeds = max(1, seeds/2)
		}
		for i, scenario := range slowStartScenarios {
			// These take long, and tests with real processes run at the same time.
			if gateways > 30 && *slowStartSeeds == 1 && i != 1 && i != 2 {
				continue
			}
			t.Run(fmt.Sprintf("%d gateways, %s", gateways, scenario.name), func(t *testing.T) {
				worst := 0.0
				for seed := range seeds {
					m := runSlowStart(gateways, seed+1, scenario.change)
					worst = max(worst, m.PeakSlowStartBudget)
					if m.OverloadCollapses > 0 || m.PeakSlowStartBudget > scenario.maxBudget {
						t.Errorf("seed %d: %d cold engines collapsed, %.2f of a budget was used, %.2f at most", seed+1, m.OverloadCollapses, m.PeakSlowStartBudget, scenario.maxBudget)
					}
				}
				t.Logf("%d gateways, %s: at most %.2f of a budget was used", gateways, scenario.name, worst)
			})
		}
	}
}

// Checks that the test above can fail: gateways that assume 1.5 times the budget use more than planned.
func TestSlowStartWithTooLargeABudget(t *testing.T) {
	worst := 0.0
	for seed := range *slowStartSeeds {
		worst = max(worst, runSlowStart(20, seed+1, func(s *Scenario) { longDeadlines(s); s.SlowStartBudgetFactor = 1.5 }).PeakSlowStartBudget)
	}
	if t.Logf("%.2f of a budget was used", worst); worst <= plannedBudget {
		t.Errorf("gateways that assume 1.5 times the budget used %.2f of it, no more than planned", worst)
	}
}
