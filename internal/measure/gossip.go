package measure

import (
	"context"
	"fmt"
	"io"

	"foxlane/internal/emulator"
	"foxlane/internal/gossip"
	"foxlane/internal/harness"
	"foxlane/rules"
)

// This file measures the benefit of gossip in the modelled fleet and its cost in real processes.

const (
	gossipGateways = 60
	gossipEngines  = 15
	gossipZones    = 3
)

// gossipScenario is a scenario of the modelled fleet that is run with gossip and without.
type gossipScenario struct {
	name                 string
	load                 float64
	faults               []emulator.Fault
	configure            func(*emulator.GossipModel) // nil: the defaults
	declaredRatio        float64                     // declared over true work; 0 means 1
	fromSecond, toSecond int                         // the seconds that are measured: from fromSecond, before toSecond
}

// Indexes of the scenarios in gossipScenarios.
const (
	scenarioEngineFaults = iota
	scenarioRestarts
	scenarioOneByzantine
	scenarioThreeByzantine
	scenarioSilent
)

// silenceFifth returns a fault that silences a fifth of the engines from second 8 to 28.
func silenceFifth() emulator.Fault {
	return emulator.SilenceEngines(8*rules.Second, 20*rules.Second, 0.2)
}

var gossipScenarios = []gossipScenario{
	{"a fifth of the engines silent for 20 s", 0.5, []emulator.Fault{silenceFifth()}, nil, 0, 8, 28},
	{"three tenths of the gateways restart, four times, declared work is a quarter", 0.9, []emulator.Fault{emulator.KillGateways(8*rules.Second, 0.3, rules.Second),
		emulator.KillGateways(10*rules.Second, 0.3, rules.Second), emulator.KillGateways(12*rules.Second, 0.3, rules.Second), emulator.KillGateways(14*rules.Second, 0.3, rules.Second)}, nil, 0.25, 8, 22},
	{"the first, one gateway is byzantine", 0.5, []emulator.Fault{silenceFifth()}, func(m *emulator.GossipModel) { m.ByzantineGateways = 1 }, 0, 8, 28},
	{"the first, three gateways are byzantine", 0.5, []emulator.Fault{silenceFifth()}, func(m *emulator.GossipModel) { m.ByzantineGateways = 3 }, 0, 8, 28},
	{"the first, all gossip is lost from 6 s on", 0.5, []emulator.Fault{silenceFifth()}, func(m *emulator.GossipModel) { m.SilentFrom = 6 * rules.Second }, 0, 8, 28},
}

// run simulates the scenario once and returns the served share and the number of probes.
func (s gossipScenario) run(withGossip bool, seed uint64) (servedShare float64, probes int) {
	scenario := emulator.Warehouse(gossipGateways, gossipEngines, s.load, seed)
	scenario.Zones, scenario.Faults = gossipZones, s.faults
	for i := range scenario.Classes {
		scenario.Classes[i].DeclaredRatio = s.declaredRatio
	}
	if withGossip {
		model := &emulator.GossipModel{Network: emulator.DatagramModel{Loss: 0.05, MinDelay: rules.Millisecond, MaxDelay: 10 * rules.Millisecond}, DetectionDelay: 2 * rules.Second,
			Settings: gossip.Defaults()}
		if s.configure != nil {
			s.configure(model)
		}
		scenario.Gossip = model
	}
	metrics := emulator.New(scenario).Run()
	return metrics.ServedShare(s.fromSecond, s.toSecond), metrics.Probes
}

// gossipCost measures the CPU time and the memory that gossip adds to six gateway processes.
func gossipCost(ctx context.Context, gateway string, r *Report, progress io.Writer) error {
	gateway, remove, err := GatewayProgram(ctx, gateway)
	if err != nil {
		return err
	}
	defer remove()
	var reports [2]*harness.Report
	for on := range reports {
		text := fmt.Sprintf("cores = 8\nload = 0.6\nlength = \"20s\"\ntalk = %v\n", on == 1) + threeZonesScript()
		script, err := harness.ParseScript([]byte(text), "talk.hcl")
		if err != nil {
			return err
		}
		progressf(progress, "processes, gossip %v, %v\n", on == 1, script.Length)
		if reports[on], err = harness.Run(ctx, gateway, *script, ""); err != nil {
			return err
		}
		r.addRow("six processes, served share", []string{"off", "on"}[on], fmt.Sprintf("%.3f", reports[on].ServedShare(1, 20)), "-", "-", "-")
	}
	without, with := reports[0], reports[1]
	r.setValue("cpu_ratio", with.CPUSeconds/without.CPUSeconds, "1.05 or less")
	r.setValue("rss_added_mb", with.RSSMB-without.RSSMB, "4 or less")
	r.setValue("processes_breaches", float64(len(without.Violations)+len(with.Violations)), "0")
	return nil
}

// threeZonesScript returns the part of a harness script that defines three zones of two gateways and two engines
// each.
func threeZonesScript() (text string) {
	for _, name := range []string{"hall-a", "hall-b", "hall-c"} {
		text += fmt.Sprintf("zone %q {\n  gateways = 2\n  engines = 2\n}\n", name)
	}
	return text
}
