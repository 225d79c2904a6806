package rules

import "testing"

// Each of hundreds of gateways has so little load on an engine that it cannot tell a full engine from an idle
// one. If peer messages are allowed, the load that peers report counts in the bounds and in the choice of an
// engine, until they report its end or send no report for longer than clients wait.
func TestPeerReportsCountInRouting(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Gateways, settings.Limits.PeerMessages = 100, true
	chk := startModule(t, settings, 2)
	sendNext := func() EngineID {
		chk.submit(0, nil)
		o := chk.pending()[0]
		chk.resolve(o, StatusOK)
		return o.Engine
	}
	chk.handle(PeerMessage{From: 7, Payload: peerReport{1, 3, float64(Second)}.encode()})
	for range 20 {
		if sendNext() != 2 {
			t.Fatal("the engine on which a peer has load was chosen")
		}
	}
	chk.handle(PeerMessage{From: 8, Payload: peerReport{2, 12, float64(Second)}.encode()})
	for range 20 {
		if sendNext() != 1 {
			t.Fatal("a query was sent to an engine that peers have filled")
		}
	}
	chk.handle(PeerMessage{From: 7, Payload: peerReport{1, 12, float64(Second)}.encode()})
	id := chk.submit(0, nil)
	if chk.attemptCount(id) != 0 {
		t.Fatal("a query was sent though peers have filled all engines")
	}
	chk.handle(PeerMessage{From: 7, Payload: []byte("not a report")})
	chk.handle(PeerMessage{From: 7, Payload: peerReport{1, 0, 0}.encode()})
	if chk.attemptCount(id) != 1 {
		t.Fatal("a query was queued though a peer reported the end of its load")
	}
	chk.resolve(chk.pending()[0], StatusOK)
	chk.advance(interactive.ClientTimeout + Second)
	used := map[EngineID]bool{}
	for range 40 {
		used[sendNext()] = true
	}
	if !used[2] {
		t.Fatal("a report older than the longest client timeout still counted")
	}
}

// Only heavy queries are reported to peers, both when they start and when they end.
func TestHeavyQueriesAreReportedToPeers(t *testing.T) {
	settings := basicSettings(interactive)
	settings.Gateways, settings.Limits.PeerMessages = 4, true
	chk := startModule(t, settings, 2)
	var reports []peerReport
	chk.observe = func(a Action) {
		if broadcast, ok := a.(Broadcast); ok {
			report, ok := decodePeerReport(broadcast.Payload)
			if !ok {
				t.Fatalf("a report could not be decoded: %v", broadcast.Payload)
			}
			reports = append(reports, report)
		}
	}
	for range 20 {
		chk.submit(0, nil)
		chk.resolve(chk.pending()[0], StatusOK)
	}
	if len(reports) != 0 {
		t.Fatalf("%d reports were sent about light queries", len(reports))
	}
	chk.submit(0, func(r *Request) { r.EstimatedWork = Second })
	chk.resolve(chk.pending()[0], StatusOK)
	if len(reports) != 2 || reports[0].threads != 1 || reports[0].work <= 0 ||
		reports[1].threads != 0 || reports[1].work != 0 {
		t.Fatalf("reports about a heavy query: %v, want one thread and then no load", reports)
	}
}
