package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/rules"
)

// A request that is read after a stall may have waited for as long: its engine may run it for no longer than its client waits.
func TestDeadlinesAfterStall(t *testing.T) {
	for seed := range seeds(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 0)
			for at := 500 * rules.Millisecond; at < 6*rules.Second; at += 1500 * rules.Millisecond {
				sim.schedule(at, func() { sim.pauseProcess(900 * rules.Millisecond) })
			}
			sim.play(6 * rules.Second)
			for _, violation := range sim.violations {
				if strings.Contains(violation, "to run, and its client waits") {
					t.Error(violation)
				}
			}
		})
	}
}

// A process that is stopped for a while, or starved, finds its timers due before it has read what came meanwhile: clients
// that have gone, queries that were killed. Nothing of these is sent to an engine after that.
func TestNothingIsSentForClientsGoneDuringStall(t *testing.T) {
	gone := 0
	for seed := range seeds(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 0)
			for at := 500 * rules.Millisecond; at < 6*rules.Second; at += 1500 * rules.Millisecond {
				sim.schedule(at, func() { sim.pauseProcess(600 * rules.Millisecond) })
				sim.schedule(at+100*rules.Millisecond, func() {
					for _, req := range sim.requests {
						if !req.finished {
							sim.abandonRequest(req)
							gone++
						}
					}
				})
			}
			sim.play(6 * rules.Second)
			for _, violation := range sim.violations {
				if strings.Contains(violation, "had gone") || strings.HasPrefix(violation, "rule 2") {
					t.Error(violation)
				}
			}
		})
	}
	if gone < 100 {
		t.Errorf("only %d clients have gone: the test has lost its subject", gone)
	}
}
