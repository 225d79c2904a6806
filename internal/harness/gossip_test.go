package harness

import (
	"strings"
	"testing"
	"time"
)

const gossipZones = "talk = true\n" + threeZones

// A fifth of the engines fall silent and the gateways learn of it from one another, through proxies that lose a third of all
// datagrams and delay the rest; a member is killed and comes back, one is frozen, one is cut off in one direction, and gossip is
// switched off in the end: clients notice nothing of any of it.
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
		fault("hush", `at = "15s"`))
	wantServed(t, report, 11, 17, 0.95, "at the end")
	joined, ended := map[string]bool{}, map[string]bool{}
	for _, e := range report.Events {
		switch {
		case strings.HasPrefix(e.Text, "members: joined"):
			joined[e.Source] = true
		case strings.HasPrefix(e.Text, "members: leaving"):
			ended[e.Source] = true
			if e.At < 15*time.Second {
				t.Errorf("%s stops its gossip at %v", e.Source, e.At)
			}
		}
	}
	if len(joined) != 6 || len(ended) != 6 {
		t.Errorf("%d of 6 gateways have joined others, %d have stopped their gossip when it was switched off", len(joined), len(ended))
	}
	if report.MaxReplicaEntries < 10 {
		t.Errorf("%d replicated entries at most: nothing was shared", report.MaxReplicaEntries)
	}
}

// Three of six gateways vote, and a directive is in effect at all six. While the leader's zone is cut off and voters are killed, a
// majority still accepts directives; in the end those confirmed are in effect everywhere, and a drained engine gets nothing.
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
		t.Errorf("%d of 4 directives were confirmed: %v", n, report.AcceptedDirectives)
	}
	if refused := report.Classes[2].Rejected; refused < 10 {
		t.Errorf("%d requests of the rejected class were rejected", refused)
	}
	wantServed(t, report, 1, 6, 0.95, "with one engine drained")
}
