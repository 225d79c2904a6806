package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// This file measures the plan for the loss of a zone: on the modelled fleet, by the same seeds with the plan, without it
// and with static splits, and on real processes (plan.go).

// staticHomeShares are the shares that stay at home in the static splits.
var staticHomeShares = []float64{1, 0.8, 0.6, 1.0 / 3}

// zoneRuns are the results of all simulations.
type zoneRuns struct {
	off, on [][]zoneRun // by scenario and seed
	static  [][]zoneRun // of scenarioZoneLost, by home share and seed
}

// Zones measures the loss of a zone: on 300 modelled gateways in virtual time, with the plan and without, and on processes.
func Zones(ctx context.Context, gateway string, progress io.Writer) (*Report, error) {
	runs, err := runZones(ctx, progress)
	if err != nil {
		return nil, err
	}
	r := newReport("sites", "scenario", "plan", "served share, median", "least", "across zones", "attempts a request", "probes a gateway and s",
		"states entered a gateway of the zone", "cold engines collapsed")
	runs.addRows(r)
	runs.setValues(r)
	return r, comparePlan(ctx, gateway, r, progress)
}

func runZones(ctx context.Context, progress io.Writer) (*zoneRuns, error) {
	runs := &zoneRuns{}
	p := newPool(ctx, progress)
	start := func(s zoneScenario, plan bool, staticHomeShare *float64) []zoneRun {
		results := make([]zoneRun, s.seeds)
		for i := range results {
			p.run(func() { results[i] = s.run(plan, staticHomeShare, uint64(i)+1) })
		}
		return results
	}
	for _, s := range zoneScenarios {
		runs.off = append(runs.off, start(s, false, nil))
		runs.on = append(runs.on, start(s, true, nil))
	}
	for i := range staticHomeShares {
		runs.static = append(runs.static, start(zoneScenarios[scenarioZoneLost], false, &staticHomeShares[i]))
	}
	return runs, p.wait()
}

func (runs *zoneRuns) addRows(r *Report) {
	row := func(scenario, plan string, of []zoneRun) {
		shares := column(of, zoneRun.served)
		r.addRow(scenario, plan, fmt.Sprintf("%.3f", median(shares)), fmt.Sprintf("%.3f", slices.Min(shares)),
			fmt.Sprintf("%.2f", median(column(of, zoneRun.crossZoneShare))),
			fmt.Sprintf("%.2f", median(column(of, zoneRun.attemptsPerRequest))),
			fmt.Sprintf("%.3f", median(column(of, func(run zoneRun) float64 { return run.probes }))),
			fmt.Sprintf("%.1f", median(column(of, func(run zoneRun) float64 { return run.transitions }))),
			total(of, func(run zoneRun) int { return run.collapses }))
	}
	for i, s := range zoneScenarios {
		row(s.name, "off", runs.off[i])
		row(s.name, "on", runs.on[i])
	}
	for i, share := range staticHomeShares {
		row(zoneScenarios[scenarioZoneLost].name, fmt.Sprintf("static, %.2f at home", share), runs.static[i])
	}
}

func (runs *zoneRuns) setValues(r *Report) {
	lost, flapping := runs.on[scenarioZoneLost], runs.on[scenarioFlapping]
	worst := 0.0
	for i := range zoneScenarios {
		worst = max(worst, 1-runs.ratio(i, zoneRun.served))
	}
	r.setValue("worth_calm", runs.ratio(scenarioCalm, zoneRun.served), "0.99 or more of without the plan")
	r.setValue("cross_share", runs.ratio(scenarioCalm, zoneRun.crossZoneShare), "0.5 or less of without the plan")
	r.setValue("worth_lost_over_off", runs.ratio(scenarioZoneLost, zoneRun.served), "")
	r.setValue("worth_lost_site", runs.overBestStatic(), "0.9 or more of the best static split")
	r.setValue("recover_ratio", median(column(lost, func(run zoneRun) float64 { return run.recoverySeconds }))/warmUpSeconds(), "1.5 or less")
	r.setValue("retry_amplification", median(column(lost, zoneRun.attemptsPerRequest)), "1.2 or less")
	r.setValue("worth_flap_over_off", runs.ratio(scenarioFlapping, zoneRun.served), "")
	r.setValue("flap_moves", median(column(flapping, func(run zoneRun) float64 { return run.lateTransitions }))/(flaps-toleratedFlaps), "under 0.1 a flap after the third")
	r.setValue("worth_ladder_lost_over_off", runs.ratio(scenarioShedding, zoneRun.served), "")
	r.setValue("worth_ladder_burst_over_off", runs.ratio(scenarioBurst, zoneRun.served), "")
	r.setValue("cold_overload", runs.totalOn(func(run zoneRun) int { return run.collapses }), "0")
	r.setValue("shed", runs.totalOn(func(run zoneRun) int { return run.shed }), "")
	r.setValue("shed_order_wrong", runs.totalOn(func(run zoneRun) int { return run.misordered })/max(runs.totalOn(func(run zoneRun) int { return run.shedding }), 1),
		"0, of the seconds of gateways in which they shed")
	r.setValue("refused_order_wrong", runs.totalOn(func(run zoneRun) int { return run.rejectedMisordered }), "seconds, with what the module rejects later")
	r.setValue("spill_over_limit_s", runs.totalOn(func(run zoneRun) int { return run.overSpillLimit }), "0")
	r.setValue("worst_loss_of_a_scene", worst, "")
}

// ratio is a value with the plan over that without, paired by seed, the median of the seeds.
func (runs *zoneRuns) ratio(scenario int, of func(zoneRun) float64) float64 {
	ratios := make([]float64, len(runs.on[scenario]))
	for seed := range ratios {
		ratios[seed] = of(runs.on[scenario][seed]) / max(of(runs.off[scenario][seed]), 1e-9)
	}
	return median(ratios)
}

// overBestStatic is the served share with the plan over that with the static split that is best for the seed.
func (runs *zoneRuns) overBestStatic() float64 {
	ratios := make([]float64, zoneSeeds)
	for seed, run := range runs.on[scenarioZoneLost] {
		best := 0.0
		for _, static := range runs.static {
			best = max(best, static[seed].servedShare)
		}
		ratios[seed] = run.servedShare / best
	}
	return median(ratios)
}

// totalOn adds up a count over all runs with the plan.
func (runs *zoneRuns) totalOn(of func(zoneRun) int) float64 {
	n := 0
	for _, seeds := range runs.on {
		n += total(seeds, of)
	}
	return float64(n)
}

// total adds up a count over runs.
func total(runs []zoneRun, of func(zoneRun) int) (n int) {
	for _, run := range runs {
		n += of(run)
	}
	return n
}
