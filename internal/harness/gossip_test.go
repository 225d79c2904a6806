package harness

import (
	"strings"
	"testing"
	"time"
)

const gossipZones = "talk = true\n" + threeZones

// An engine becomes silent, and the gateways learn of it from one another through proxies that lose 30 % of all
// datagrams and delay the rest. One member is killed and returns, one is frozen, one is cut off in one direction, and
// gossip is switched off at the end. None of this may affect clients.
func TestGossipThroughFaults(t *testing.T) {
	t.Parallel()
	report := playScript(t, gossipZones+siteSettings+`
load   = 0.4
length = "18s"
`+
		fault("link", `from = "gateways"`, `to = "gateways"`, `at = "1s"`, `for = "14s"`, `loss = 0.3`, `delay = "20ms"`, `jitter = "100ms"`)+
		fault("kill", `of = "hall-b/g1"`, `at = "4s"`, `for = "1s"`)+
		fault("silence", `of = "hall-a/e0"`, `at = "5s"`, `for = "5s"`)+
		fault("freeze", `of = "hall-c/g0"`, `at = "7s"`, `for = "2s"`)+
		fault("cut", `from = "hall-a/g1"`, `to = "hall-b/g0"`, `at = "8s"`, `for = "4s"`)+
		fault("gossip-off", `at = "15s"`))
	checkServedShare(t, report, 11, 17, 0.95, "towards the end")
	joined, left := map[string]bool{}, map[string]bool{} // by gateway
	for _, e := range report.Events {
		switch {
		case strings.HasPrefix(e.Text, "members: joined"):
			joined[e.Source] = true
		case strings.HasPrefix(e.Text, "members: leaving"):
			left[e.Source] = true
			if e.At < 15*time.Second {
				t.Errorf("%s stopped its gossip at %v, before gossip was switched off", e.Source, e.At)
			}
		}
	}
	if len(joined) != 6 || len(left) != 6 {
		t.Errorf("%d of 6 gateways joined others, %d stopped their gossip when it was switched off, want all", len(joined), len(left))
	}
	if report.MaxReplicaEntries < 10 {
		t.Errorf("gateways held at most %d replicated entries, want at least 10: gossip shared nothing", report.MaxReplicaEntries)
	}
}

// Three of six gateways vote, and a directive is in effect at all six. While one voter is cut off, after another was
// killed and returned, a majority must still accept directives. At the end all confirmed directives must be in effect
// at every gateway, and no request may reach a drained engine.
func TestDirectivesThroughFaults(t *testing.T) {
	t.Parallel()
	report := playScript(t, gossipZones+siteSettings+`
voters = 3
load   = 0.25
length = "17s"
`+
		fault("order", `of = "hall-a/g0"`, `at = "3s"`, `text = "drain-engine s-00000003"`)+
		fault("kill", `of = "hall-a/g1"`, `at = "5s"`, `for = "2s"`)+
		fault("order", `of = "hall-b/g0"`, `at = "6s"`, `text = "refuse-class load"`)+
		fault("cut", `from = "hall-a/g0"`, `to = "gateways"`, `both = true`, `at = "9s"`, `for = "4s"`)+
		fault("order", `of = "hall-a/g0"`, `at = "10s"`, `text = "drain-zone hall-c"`)+
		fault("order", `of = "hall-b/g0"`, `at = "11s"`, `text = "drain-engine s-00000001"`))
	if n := len(report.AcceptedDirectives); n < 3 {
		t.Errorf("%d of 4 directives were confirmed, want at least 3: %v", n, report.AcceptedDirectives)
	}
	if rejected := report.Classes[2].Rejected; rejected < 10 {
		t.Errorf("%d requests of the rejected class were rejected, want at least 10", rejected)
	}
	checkServedShare(t, report, 1, 6, 0.95, "with one engine drained")
}
