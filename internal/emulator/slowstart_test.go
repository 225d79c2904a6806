package emulator

import (
	"flag"
	"fmt"
	"testing"

	"foxlane/rules"
)

var slowStartSeeds = flag.Uint64("ramp.seeds", 1, "seeds of each slow-start scenario; with more than one all are run with 300 gateways, too")

// runSlowStart runs a fleet, under load, of which half of the engines are replaced by cold ones. The slow-start budget N
// binds the sum of what all gateways send. The operators allow twice the root of N and 2 above it for chance; here N
// itself must hold.
func runSlowStart(gateways int, seed uint64, change func(s *Scenario)) *Metrics {
	s := Warehouse(gateways, min(max(4, gateways/2), 16), 0.85, seed)
	s.Duration = 20 * second
	s.Faults = []Fault{ReplaceEngines(4*second, 0.5, 5*second, 2*second)}
	change(&s)
	return New(s).Run()
}

// plannedBudget is the part of a budget that gateways plan to use, 0.6, and two standard deviations of the sum of 60
// queries whose work has a coefficient of variation of 1.
const plannedBudget = 0.8

var slowStartScenarios = []struct {
	name   string
	most   float64 // part of a budget that may be used
	change func(s *Scenario)
}{
	{"even traffic", 1, func(s *Scenario) { s.Clients.LoadSkew = 0 }},
	{"uneven traffic", 1, func(s *Scenario) { s.Clients.LoadSkew = 1 }},
	{"all gateways restart during the warm-up", 1, func(s *Scenario) {
		s.Faults = append(s.Faults, RestartGateways(6*second, 0.25, 1500*rules.Millisecond, second))
	}},
	{"the list is late at some gateways", 1, func(s *Scenario) { s.Network.MaxListDelay = 6 * second }},
	{"clients retry often", 1, func(s *Scenario) {
		s.Load, s.Clients.MaxTries, s.Clients.Backoff, s.Clients.HonorRetryAfter = 1.1, 4, 100*rules.Millisecond, 0
	}},
	{"queries with long deadlines, and a small budget", plannedBudget, longDeadlines},
}

// longDeadlines has every gateway use all of its budget for cold engines all the time: nothing that runs there is late.
func longDeadlines(s *Scenario) {
	s.Load = 1.2
	s.Settings.Constraints.OverloadFactor, s.Settings.Constraints.OverloadWindow = 1, second
	for i := range s.Classes {
		s.Classes[i] = ClassModel{Share: 1, Work: 200 * rules.Millisecond, CV: 1, DeclaredNoise: 0.3}
		c := &s.Settings.Classes[i]
		c.LatencyObjective, c.ClientTimeout, c.Threads, c.Idempotency, c.IsDataLoad = 15*second, 20*second, 1, rules.Idempotent, false
	}
}

// Whatever the number of gateways and however the load is spread over them, all together stay within the slow-start
// budget of a cold engine.
func TestSlowStartBudgetAcrossFleet(t *testing.T) {
	for _, gateways := range []int{2, 20, 30, 300} {
		seeds := *slowStartSeeds
		if gateways > 30 {
			seeds = max(1, seeds/2)
		}
		for i, r := range slowStartScenarios {
			if gateways > 30 && *slowStartSeeds == 1 && i != 1 && i != 2 { // they take long, and tests of real processes run beside
				continue
			}
			t.Run(fmt.Sprintf("%d gateways, %s", gateways, r.name), func(t *testing.T) {
				worst := 0.0
				for seed := range seeds {
					m := runSlowStart(gateways, seed+1, r.change)
					worst = max(worst, m.PeakColdBudget)
					if m.OverloadCollapses > 0 || m.PeakColdBudget > r.most {
						t.Errorf("seed %d: %d cold engines collapsed, %.2f of a budget was used, %.2f at most", seed+1, m.OverloadCollapses, m.PeakColdBudget, r.most)
					}
				}
				t.Logf("%d gateways, %s: at most %.2f of a budget was used", gateways, r.name, worst)
			})
		}
	}
}

// The test above can fail: with an assumed budget that is half as much again, more than planned is used.
func TestSlowStartWithTooLargeABudget(t *testing.T) {
	worst := 0.0
	for seed := range *slowStartSeeds {
		worst = max(worst, runSlowStart(20, seed+1, func(s *Scenario) { longDeadlines(s); s.ColdBudgetFactor = 1.5 }).PeakColdBudget)
	}
	if t.Logf("%.2f of a budget was used", worst); worst <= plannedBudget {
		t.Errorf("under a budget half as much again %.2f of it was used, no more than planned", worst)
	}
}
