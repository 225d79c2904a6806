package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/rules"
)

// A request that is read after a stall may have waited in its socket for as long. Its engine still gets no more time
// than the client waits.
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

// After a stall, timers are due before the process has read the input that arrived meanwhile. Requests whose clients
// disconnected or killed them during the stall must not be sent to an engine.
func TestNothingIsSentForClientsGoneDuringStall(t *testing.T) {
	abandoned := 0
	for seed := range seeds(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			sim := newSimulation(t, seed, 0)
			for at := 500 * rules.Millisecond; at < 6*rules.Second; at += 1500 * rules.Millisecond {
				sim.schedule(at, func() { sim.pauseProcess(600 * rules.Millisecond) })
				sim.schedule(at+100*rules.Millisecond, func() {
					for _, req := range sim.requests {
						if !req.finished {
							sim.abandonRequest(req)
							abandoned++
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
	if abandoned < 100 {
		t.Errorf("only %d requests were abandoned: the test covers too little", abandoned)
	}
}
