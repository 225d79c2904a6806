package measure

import (
	"context"
	"fmt"
	"io"
	"math"
	"time"

	"foxlane/internal/harness"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file compares the plan for the loss of a zone, as printed by `foxlane plan`, with the behaviour of real
// processes.

// One zone of three is lost and returns. All values are in seconds; planLostAt counts from the start.
const (
	planLostAt       = 4
	planOutage       = 6
	planUnlistDelay  = 2
	planLength       = 24
	planRecoveryRamp = 4
)

// comparePlan runs the loss of a zone with real processes, and reports how far each zone's share of the work
// differs from the plan.
func comparePlan(ctx context.Context, gateway string, r *Report, progress io.Writer) error {
	gateway, remove, err := GatewayProgram(ctx, gateway)
	if err != nil {
		return err
	}
	defer remove()
	script, err := planScript()
	if err != nil {
		return err
	}
	progressf(progress, "processes, %v\n", script.Length)
	report, err := harness.Run(ctx, gateway, *script, "")
	if err != nil {
		return err
	}
	planned := simulatePlan(script)
	maxError := 0.0
	for _, span := range []struct {
		name     string
		from, to int
	}{
		{"before", 1, planLostAt},
		{"lost", planLostAt + 2, planLostAt + planOutage},
		{"returning", planLostAt + planOutage + 3, planLostAt + planOutage + 7},
		{"after", planLostAt + planOutage + 9, planLength},
	} {
		plannedShares, actualShares := workShares(planned[span.from:min(span.to, len(planned))], len(script.Zones)), report.WorkByZone(span.from, span.to)
		for z := range plannedShares {
			maxError = max(maxError, math.Abs(plannedShares[z]-actualShares[z]))
		}
		r.addRow("processes, "+span.name, "on", fmt.Sprintf("%.3f", report.ServedShare(span.from, span.to)), "-", fmt.Sprintf("plan %.2f", plannedShares), "-", "-", fmt.Sprintf("did %.2f", actualShares), "-")
	}
	r.setValue("plan_error", maxError, "0.1 or less")
	r.setValue("processes_worth", report.ServedShare(planLostAt, planLength), "")
	r.setValue("processes_breaches", float64(len(report.Violations)), "0")
	r.setValue("processes_amplification", report.Amplification(), "1.2 or less")
	for _, violation := range report.Violations {
		r.addRow("violation", violation)
	}
	return nil
}

// planScript returns the harness script of the scenario.
func planScript() (*harness.Script, error) {
	text := threeZonesScript()
	text += fmt.Sprintf("cores = 8\nload = 0.5\ncold = \"6s\"\nlength = \"%ds\"\noperator = \"sites {\\n  ramp = \\\"%ds\\\"\\n}\\n\"\n", planLength, planRecoveryRamp)
	text += fmt.Sprintf("fault \"lose\" {\n  of = \"hall-a\"\n  at = \"%ds\"\n  for = \"%ds\"\n  unlisted = \"%ds\"\n}\n", planLostAt, planOutage, planUnlistDelay)
	return harness.ParseScript([]byte(text), "sites.hcl")
}

// simulatePlan returns the plan, second by second, for the zone loss that the script runs.
func simulatePlan(script *harness.Script) []zones.Sample {
	settings := zones.Defaults()
	settings.RecoveryRamp = planRecoveryRamp * rules.Second
	cores := float64(len(script.Zones) * 2 * script.Cores) // of all zones together
	scenario := zones.Scenario{Classes: []zones.ClassSpec{{Name: "all", DemandFraction: 1, ValuePerCoreSecond: 1}}, LostZones: []int{0}, LostAt: planLostAt * rules.Second,
		ReturnAt:    (planLostAt + planOutage) * rules.Second,
		UnlistAfter: planUnlistDelay * rules.Second, ClientsMoveAfter: rules.Second / 10, ColdSpeed: script.ColdFrom, WarmupTime: rules.Time(script.Cold / time.Microsecond),
		Duration: planLength * rules.Second}
	for _, z := range script.Zones {
		scenario.Zones = append(scenario.Zones, zones.ZoneSpec{Name: z.Name, Cores: cores / 3, Demand: script.Load * cores / 3})
	}
	return zones.Simulate(settings, scenario)
}

// workShares returns the fraction of the planned work that each zone does.
func workShares(planned []zones.Sample, zoneCount int) []float64 {
	shares, totalWork := make([]float64, zoneCount), 0.0
	for _, m := range planned {
		for z := range m.Zones {
			shares[z] += m.Zones[z].OwnLoad + m.Zones[z].ForeignLoad
			totalWork += m.Zones[z].OwnLoad + m.Zones[z].ForeignLoad
		}
	}
	for z := range shares {
		shares[z] /= max(totalWork, 1e-9)
	}
	return shares
}
