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

// This file compares the plan for the loss of a zone, as `foxlane plan` prints it, with what processes do.

// A zone of three is lost and comes back. Times are in seconds since the start.
const (
	planLostAt   = 4
	planAway     = 6
	planUnlisted = 2
	planLength   = 24
	planRamp     = 4
)

// comparePlan runs the loss of a zone with processes, and reports how far the parts of the work by zone are from the plan.
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
	did, err := harness.Run(ctx, gateway, *script, "")
	if err != nil {
		return err
	}
	planned := simulatePlan(script)
	worst := 0.0
	for _, span := range []struct {
		name     string
		from, to int
	}{
		{"before", 1, planLostAt},
		{"lost", planLostAt + 2, planLostAt + planAway},
		{"returning", planLostAt + planAway + 3, planLostAt + planAway + 7},
		{"after", planLostAt + planAway + 9, planLength},
	} {
		plan, is := partsByZone(planned[span.from:min(span.to, len(planned))], len(script.Zones)), did.WorkByZone(span.from, span.to)
		for z := range plan {
			worst = max(worst, math.Abs(plan[z]-is[z]))
		}
		r.addRow("processes, "+span.name, "on", fmt.Sprintf("%.3f", did.ServedShare(span.from, span.to)), "-", fmt.Sprintf("plan %.2f", plan), "-", "-", fmt.Sprintf("did %.2f", is), "-")
	}
	r.setValue("plan_error", worst, "0.1 or less")
	r.setValue("processes_worth", did.ServedShare(planLostAt, planLength), "")
	r.setValue("processes_breaches", float64(len(did.Violations)), "0")
	r.setValue("processes_amplification", did.Amplification(), "1.2 or less")
	for _, violation := range did.Violations {
		r.addRow("violation", violation)
	}
	return nil
}

// planScript is the harness script of the loss.
func planScript() (*harness.Script, error) {
	text := threeZones()
	text += fmt.Sprintf("cores = 8\nload = 0.5\ncold = \"6s\"\nlength = \"%ds\"\noperator = \"sites {\\n  ramp = \\\"%ds\\\"\\n}\\n\"\n", planLength, planRamp)
	text += fmt.Sprintf("fault \"lose\" {\n  of = \"hall-a\"\n  at = \"%ds\"\n  for = \"%ds\"\n  unlisted = \"%ds\"\n}\n", planLostAt, planAway, planUnlisted)
	return harness.ParseScript([]byte(text), "sites.hcl")
}

// simulatePlan is the plan, by second, for the loss that a script runs.
func simulatePlan(script *harness.Script) []zones.Moment {
	settings := zones.Defaults()
	settings.RecoveryRamp = planRamp * rules.Second
	cores := float64(len(script.Zones) * 2 * script.Cores) // of all zones
	sc := zones.Scenario{Classes: []zones.ClassSpec{{Name: "all", DemandFraction: 1, ValuePerCoreSecond: 1}}, LostZones: []int{0}, LostAt: planLostAt * rules.Second,
		ReturnAt:    (planLostAt + planAway) * rules.Second,
		UnlistAfter: planUnlisted * rules.Second, ClientsMoveAfter: rules.Second / 10, ColdSpeed: script.ColdFrom, WarmupTime: rules.Time(script.Cold / time.Microsecond),
		Duration: planLength * rules.Second}
	for _, z := range script.Zones {
		sc.Zones = append(sc.Zones, zones.ZoneSpec{Name: z.Name, Cores: cores / 3, Demand: script.Load * cores / 3})
	}
	return zones.Simulate(settings, sc)
}

// partsByZone are the parts of the planned work that each zone does.
func partsByZone(planned []zones.Moment, zoneCount int) []float64 {
	parts, all := make([]float64, zoneCount), 0.0
	for _, m := range planned {
		for z := range m.Zones {
			parts[z] += m.Zones[z].OwnLoad + m.Zones[z].ForeignLoad
			all += m.Zones[z].OwnLoad + m.Zones[z].ForeignLoad
		}
	}
	for z := range parts {
		parts[z] /= max(all, 1e-9)
	}
	return parts
}
