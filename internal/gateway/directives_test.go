package gateway

import (
	"fmt"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/rules"
)

const membersSite = "members {\n  bind = \"127.0.0.1:7946\"\n}\n"

// A gateway that is the only voter applies directives, and returns to normal once they are withdrawn. The seven rules
// hold throughout.
func TestDirectivesAreApplied(t *testing.T) {
	text := membersSite + "directives {\n  voters = [\"n0\"]\n}\nsites {\n  ramp = \"1s\"\n  drain_over = \"1s\"\n}\n"
	sim := newSimulationWith(t, 4, 0, withSite(t, text))
	sim.step(VoterLogOpened{State: &directives.PersistedState{Initialized: true}})
	for at := rules.Time(0); at < 24*rules.Second; at += 12 * rules.Millisecond {
		sim.schedule(at, sim.sendRequest)
	}
	scheduleCommand := func(at rules.Time, op, kind, subject string) {
		sim.schedule(at, func() {
			sim.step(ControlRequest{Conn: 7, Data: fmt.Appendf(nil, `{"id":"%s-%s-%s","op":%q,"kind":%q,"subject":%q}`, op, kind, subject, op, kind, subject)})
		})
	}
	scheduleCommand(3*rules.Second, "set", "drain-engine", "s-00000001")
	scheduleCommand(6*rules.Second, "unset", "drain-engine", "s-00000001")
	scheduleCommand(9*rules.Second, "set", "drain-zone", "hall-a")
	scheduleCommand(14*rules.Second, "unset", "drain-zone", "hall-a")
	scheduleCommand(18*rules.Second, "set", "refuse-class", "point")
	scheduleCommand(21*rules.Second, "set", "dance", "all")
	sim.schedule(22*rules.Second, func() { sim.step(ControlRequest{Conn: 8, Data: []byte("book")}) })
	sim.run(sim.start + 24*rules.Second)
	countEngineAttempts := func(id string, from, to rules.Time) (n int) {
		for _, req := range sim.requests {
			for _, attempt := range req.attempts {
				if attempt.engine.host.ID == id && attempt.receivedAt >= sim.start+from && attempt.receivedAt < sim.start+to {
					n++
				}
			}
		}
		return n
	}
	if before, during, after := countEngineAttempts("s-00000001", rules.Second, 3*rules.Second), countEngineAttempts("s-00000001", 3100*rules.Millisecond, 6*rules.Second),
		countEngineAttempts("s-00000001", 6100*rules.Millisecond, 9*rules.Second); before == 0 || during > 0 || after == 0 {
		t.Errorf("the drained engine got %d, %d and %d attempts before, during and after", before, during, after)
	}
	if during, after := sim.countZoneAttempts("hall-a", 11*rules.Second, 14*rules.Second), sim.countZoneAttempts("hall-a", 16*rules.Second, 18*rules.Second); during > 3 || after < 20 {
		t.Errorf("the drained zone got %d and %d attempts during and after", during, after)
	}
	served := 0
	for _, req := range sim.requests {
		if req.class == 0 && req.sentAt > sim.start+18200*rules.Millisecond && len(req.attempts) > 0 {
			served++
		}
	}
	if served > 0 || sim.rejected < 50 {
		t.Errorf("%d requests of the rejected class were forwarded, %d were rejected", served, sim.rejected)
	}
	accepted, unknown, lists := 0, 0, 0
	for _, s := range sim.commandAnswers {
		switch {
		case strings.HasPrefix(s, `{"index":`) && !strings.Contains(s, "held"):
			accepted++
		case strings.Contains(s, "unknown kind"):
			unknown++
		case strings.Contains(s, `"held":[{"kind":"refuse-class"`):
			lists++
		}
	}
	if accepted != 5 || unknown != 1 || lists != 1 {
		t.Errorf("answers: %v", sim.commandAnswers)
	}
	sim.reportViolations()
}

// A gateway keeps serving while reloads remove and restore the block `members`. Without the block, the members command
// is answered with an error.
func TestMembersBlockToggles(t *testing.T) {
	sim := newSimulationWith(t, 5, 0.4, withSite(t, membersSite))
	n := 0
	sim.reloadChange = func(cfg *config.Config) {
		if n++; n%2 == 1 {
			cfg.Site = parseSite(t, "fair {}\n")
			cfg.Site.Admission = nil
		} else {
			cfg.Site = parseSite(t, membersSite)
		}
		sim.step(ControlRequest{Conn: 8, Data: []byte("members")})
		sim.step(PeerEvent{Kind: PeerJoined, Name: "n1", Zone: "hall-a"})
		sim.step(PeerEvent{Kind: PeerMessage, Name: "n1", Channel: ChannelReplica, Data: []byte("garbage")})
	}
	sim.play(6 * rules.Second)
	on, off := 0, 0
	for _, s := range sim.commandAnswers {
		if strings.Contains(s, "talk is off") {
			off++
		} else if strings.Contains(s, `"us":true`) {
			on++
		}
	}
	if on == 0 || off == 0 {
		t.Errorf("answers: %v", sim.commandAnswers)
	}
	sim.reportViolations()
}

// A reload that removes the block `directives`, with or without the block `members`, leaves the directives in force,
// and the command that lists them is still answered. Such a reload used to crash the gateway at its next tick.
func TestDirectivesStayInForceWithoutBlock(t *testing.T) {
	for name, text := range map[string]string{"without directives": membersSite, "without members": "sites {\n}\n", "no blocks": ""} {
		t.Run(name, func(t *testing.T) {
			gw := newTestGatewayWith(t, withSite(t, membersSite+"directives {\n  voters = [\"n0\"]\n}\n"), oneHost)
			gw.step(VoterLogOpened{State: &directives.PersistedState{Initialized: true}})
			cfg := gw.g.cfg
			if cfg.Site = nil; text != "" {
				cfg.Site = parseSite(t, text)
			}
			gw.step(ConfigReloaded{Config: &cfg})
			gw.advance(3 * rules.Second)
			gw.g.Step(gw.now, ControlRequest{Conn: 8, Data: []byte("book")})
			answer := ""
			for _, effect := range gw.g.Flush() {
				if response, ok := effect.(ControlResponse); ok {
					answer = string(response.Data)
				}
			}
			if !strings.Contains(answer, `"voters":["n0"]`) {
				t.Errorf("answered %q", answer)
			}
		})
	}
}
