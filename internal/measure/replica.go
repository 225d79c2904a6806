package measure

import (
	"context"
	"fmt"
	"io"
	"slices"
)

// This file combines the measurements of gossip among gateways in cluster.go and gossip.go into one report.

const (
	replicaSeeds        = 10
	largeSeeds          = 3 // of the cluster of 300 members, which takes long to simulate
	divergenceSchedules = 10_000
	divergenceParts     = 20
)

// replicaRuns holds the results of all simulations, by seed.
type replicaRuns struct {
	converge5           [replicaSeeds]float64 // seconds
	converge300, bytes  [largeSeeds]float64   // seconds, bytes per second and member
	catchUp, burst      [replicaSeeds]float64 // seconds, peak as a ratio to the budget
	diverged            [divergenceParts]int
	servedShare, probes [][2][replicaSeeds]float64 // by scenario, without gossip and with
}

// Replica measures gossip among gateways: replicas alone and a modelled fleet, both in virtual time, and six real
// processes. The gateway is the path of its program; empty: the program is built from this module.
func Replica(ctx context.Context, gateway string, progress io.Writer) (*Report, error) {
	runs, err := runReplicas(ctx, progress)
	if err != nil {
		return nil, err
	}
	r := newReport("replica", "scenario", "gossip", "median", "least", "most", "probes a gateway")
	runs.report(r)
	return r, gossipCost(ctx, gateway, r, progress)
}

func runReplicas(ctx context.Context, progress io.Writer) (*replicaRuns, error) {
	runs := &replicaRuns{servedShare: make([][2][replicaSeeds]float64, len(gossipScenarios)), probes: make([][2][replicaSeeds]float64, len(gossipScenarios))}
	p := newPool(ctx, progress)
	for i := range replicaSeeds {
		seed := uint64(i) + 1
		p.run(func() { runs.converge5[i], _ = convergence(5, seed) })
		p.run(func() { runs.catchUp[i], runs.burst[i] = catchUpTime(40, seed) })
		if i < largeSeeds {
			p.run(func() { runs.converge300[i], runs.bytes[i] = convergence(300, seed) })
		}
	}
	for part := range divergenceParts {
		p.run(func() {
			for i := range divergenceSchedules / divergenceParts {
				if ctx.Err() == nil && diverges(uint64(part*divergenceSchedules+i)) {
					runs.diverged[part]++
				}
			}
		})
	}
	for i, scenario := range gossipScenarios {
		for on := range 2 {
			for seed := range replicaSeeds {
				p.run(func() {
					share, probes := scenario.run(on == 1, uint64(seed)+1)
					runs.servedShare[i][on][seed], runs.probes[i][on][seed] = share, float64(probes)/gossipGateways
				})
			}
		}
	}
	return runs, p.wait()
}

func (runs *replicaRuns) report(r *Report) {
	row := func(name, gossip string, values []float64, probes string) {
		r.addRow(name, gossip, fmt.Sprintf("%.3f", median(values)), fmt.Sprintf("%.3f", slices.Min(values)), fmt.Sprintf("%.3f", slices.Max(values)), probes)
	}
	row("entries to 5 members at a loss of 0.3, p99, s", "on", runs.converge5[:], "-")
	row("entries to 300 members at a loss of 0.3, p99, s", "on", runs.converge300[:], "-")
	row("bytes a second of a member of 300", "on", runs.bytes[:], "-")
	row("a member of 40 back after 60 s, s until it has all entries", "on", runs.catchUp[:], "-")
	for i, scenario := range gossipScenarios {
		row("served: "+scenario.name, "off", runs.servedShare[i][0][:], "0")
		row("served: "+scenario.name, "on", runs.servedShare[i][1][:], fmt.Sprintf("%.1f", median(runs.probes[i][1][:])))
	}
	r.setValue("converge_s_5", slices.Max(runs.converge5[:]), "2 or less")
	r.setValue("converge_s_300", slices.Max(runs.converge300[:]), "5 or less")
	r.setValue("bytes_s", slices.Max(runs.bytes[:]), "20000 or less")
	r.setValue("catchup_s", slices.Max(runs.catchUp[:]), "3 or less")
	r.setValue("catchup_burst", slices.Max(runs.burst[:]), "1.0 of the budget")
	r.setValue("diverged", float64(sum(runs.diverged[:])), fmt.Sprintf("0 of %d schedules", divergenceSchedules))
	r.setValue("worth_gain", runs.servedRatio(scenarioEngineFaults), "over 1")
	r.setValue("warm_gain", runs.servedRatio(scenarioRestarts), "over 1")
	r.setValue("liar_worth", runs.servedRatio(scenarioOneByzantine), "0.97 or more of without gossip")
	r.setValue("liars_worth", runs.servedRatio(scenarioThreeByzantine), "")
	r.setValue("rejoin_worth", runs.servedRatio(scenarioSilent), "0.99 or more of without gossip")
}

// servedRatio returns the median ratio of the served share with gossip to that without, paired by seed.
func (runs *replicaRuns) servedRatio(scenario int) float64 {
	ratios := make([]float64, replicaSeeds)
	for seed := range ratios {
		ratios[seed] = runs.servedShare[scenario][1][seed] / runs.servedShare[scenario][0][seed]
	}
	return median(ratios)
}
