package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// This file measures the plan for the loss of a zone. The modelled fleet runs with the plan, without it and with
// static splits, each with the same seeds; plan.go runs real processes.

// staticHomeShares lists the share of the work that stays in its home zone, for each static split.
var staticHomeShares = []float64{1, 0.8, 0.6, 1.0 / 3}

// zoneRuns holds the results of all simulations.
type zoneRuns struct {
	withoutPlan, withPlan [][]zoneRun // by scenario and seed
	static                [][]zoneRun // of scenarioZoneLost, by home share and seed
}

// Zones measures the loss of a zone on 300 modelled gateways in virtual time, with the plan and without, and on real
// processes. The gateway is the path of its program; empty: the program is built from this module.
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
	startRuns := func(s zoneScenario, plan bool, staticHomeShare *float64) []zoneRun {
		results := make([]zoneRun, s.seeds)
		for i := range results {
			p.run(func() { results[i] = s.run(plan, staticHomeShare, uint64(i)+1) })
		}
		return results
	}
	for _, s := range zoneScenarios {
		runs.withoutPlan = append(runs.withoutPlan, startRuns(s, false, nil))
		runs.withPlan = append(runs.withPlan, startRuns(s, true, nil))
	}
	for i := range staticHomeShares {
		runs.static = append(runs.static, startRuns(zoneScenarios[scenarioZoneLost], false, &staticHomeShares[i]))
	}
	return runs, p.wait()
}

func (runs *zoneRuns) addRows(r *Report) {
	row := func(scenario, plan string, results []zoneRun) {
		shares := column(results, zoneRun.served)
		r.addRow(scenario, plan, fmt.Sprintf("%.3f", median(shares)), fmt.Sprintf("%.3f", slices.Min(shares)),
			fmt.Sprintf("%.2f", median(column(results, zoneRun.crossZoneShare))),
			fmt.Sprintf("%.2f", median(column(results, zoneRun.attemptsPerRequest))),
			fmt.Sprintf("%.3f", median(column(results, func(run zoneRun) float64 { return run.probes }))),
			fmt.Sprintf("%.1f", median(column(results, func(run zoneRun) float64 { return run.transitions }))),
			total(results, func(run zoneRun) int { return run.collapses }))
	}
	for i, s := range zoneScenarios {
		row(s.name, "off", runs.withoutPlan[i])
		row(s.name, "on", runs.withPlan[i])
	}
	for i, share := range staticHomeShares {
		row(zoneScenarios[scenarioZoneLost].name, fmt.Sprintf("static, %.2f at home", share), runs.static[i])
	}
}

func (runs *zoneRuns) setValues(r *Report) {
	lost, flapping := runs.withPlan[scenarioZoneLost], runs.withPlan[scenarioFlapping]
	maxLoss := 0.0
	for i := range zoneScenarios {
		maxLoss = max(maxLoss, 1-runs.medianRatio(i, zoneRun.served))
	}
	r.setValue("worth_calm", runs.medianRatio(scenarioCalm, zoneRun.served), "0.99 or more of without the plan")
	r.setValue("cross_share", runs.medianRatio(scenarioCalm, zoneRun.crossZoneShare), "0.5 or less of without the plan")
	r.setValue("worth_lost_over_off", runs.medianRatio(scenarioZoneLost, zoneRun.served), "")
	r.setValue("worth_lost_site", runs.ratioToBestStatic(), "0.9 or more of the best static split")
	r.setValue("recover_ratio", median(column(lost, func(run zoneRun) float64 { return run.recoverySeconds }))/slowStartSeconds(), "1.5 or less")
	r.setValue("retry_amplification", median(column(lost, zoneRun.attemptsPerRequest)), "1.2 or less")
	r.setValue("worth_flap_over_off", runs.medianRatio(scenarioFlapping, zoneRun.served), "")
	r.setValue("flap_moves", median(column(flapping, func(run zoneRun) float64 { return run.lateTransitions }))/(flaps-toleratedFlaps), "under 0.1 a flap after the third")
	r.setValue("worth_ladder_lost_over_off", runs.medianRatio(scenarioShedding, zoneRun.served), "")
	r.setValue("worth_ladder_burst_over_off", runs.medianRatio(scenarioBurst, zoneRun.served), "")
	r.setValue("cold_overload", runs.totalWithPlan(func(run zoneRun) int { return run.collapses }), "0")
	r.setValue("shed", runs.totalWithPlan(func(run zoneRun) int { return run.shed }), "")
	r.setValue("shed_order_wrong", runs.totalWithPlan(func(run zoneRun) int { return run.misordered })/max(runs.totalWithPlan(func(run zoneRun) int { return run.shedding }), 1),
		"0, of the seconds of gateways in which they shed")
	r.setValue("refused_order_wrong", runs.totalWithPlan(func(run zoneRun) int { return run.rejectedMisordered }), "seconds, with what the module rejects later")
	r.setValue("spill_over_limit_s", runs.totalWithPlan(func(run zoneRun) int { return run.overSpillLimit }), "0")
	r.setValue("worst_loss_of_a_scene", maxLoss, "")
}

// medianRatio returns the median, over the seeds, of the ratio of a value with the plan to the value without it.
func (runs *zoneRuns) medianRatio(scenario int, value func(zoneRun) float64) float64 {
	ratios := make([]float64, len(runs.withPlan[scenario]))
	for seed := range ratios {
		ratios[seed] = value(runs.withPlan[scenario][seed]) / max(value(runs.withoutPlan[scenario][seed]), 1e-9)
	}
	return median(ratios)
}

// ratioToBestStatic returns the median, over the seeds, of the ratio of the served share with the plan to that with
// the best static split for the seed.
func (runs *zoneRuns) ratioToBestStatic() float64 {
	ratios := make([]float64, zoneSeeds)
	for seed, run := range runs.withPlan[scenarioZoneLost] {
		best := 0.0
		for _, static := range runs.static {
			best = max(best, static[seed].servedShare)
		}
		ratios[seed] = run.servedShare / best
	}
	return median(ratios)
}

// totalWithPlan returns the sum of a count over all runs with the plan.
func (runs *zoneRuns) totalWithPlan(count func(zoneRun) int) float64 {
	n := 0
	for _, seeds := range runs.withPlan {
		n += total(seeds, count)
	}
	return float64(n)
}

// total returns the sum of a count over the runs.
func total(runs []zoneRun, count func(zoneRun) int) (n int) {
	for _, run := range runs {
		n += count(run)
	}
	return n
}
