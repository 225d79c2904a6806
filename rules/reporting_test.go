package rules

import "testing"

// Hundreds of gateways with next to nothing on each engine can't tell a full one from an idle one. Where peer
// messages are allowed, what peers report counts in the bounds and in the choice, until they take it back or
// are not heard of for longer than clients wait.
func TestPeerReportsCount(t *testing.T) {
	s := basicSettings(interactive)
	s.Gateways, s.Limits.PeerMessages = 100, true
	chk := startModule(t, s, 2)
	engineOfNext := func() EngineID {
		chk.submit(0, nil)
		o := chk.pending()[0]
		chk.resolve(o, StatusOK)
		return o.Engine
	}
	chk.handle(PeerMessage{From: 7, Payload: peerReport{1, 3, float64(Second)}.encode()})
	for range 20 {
		if engineOfNext() != 2 {
			t.Fatal("the engine on which a peer has work was picked")
		}
	}
	chk.handle(PeerMessage{From: 8, Payload: peerReport{2, 12, float64(Second)}.encode()})
	for range 20 {
		if engineOfNext() != 1 {
			t.Fatal("a query went to an engine that peers fill")
		}
	}
	chk.handle(PeerMessage{From: 7, Payload: peerReport{1, 12, float64(Second)}.encode()})
	id := chk.submit(0, nil)
	if chk.attempts(id) != 0 {
		t.Fatal("a query was sent though peers fill every engine")
	}
	chk.handle(PeerMessage{From: 7, Payload: []byte("not a report")})
	chk.handle(PeerMessage{From: 7, Payload: peerReport{1, 0, 0}.encode()})
	if chk.attempts(id) != 1 {
		t.Fatal("a query was queued though a peer took its load back")
	}
	chk.resolve(chk.pending()[0], StatusOK)
	chk.advance(interactive.ClientTimeout + Second)
	seen := map[EngineID]bool{}
	for range 40 {
		seen[engineOfNext()] = true
	}
	if !seen[2] {
		t.Fatal("a peer not heard of for longer than clients wait still kept queries away")
	}
}

// Peers are told of heavy queries only, when they start and when they end.
func TestPeersHearOfHeavyQueries(t *testing.T) {
	s := basicSettings(interactive)
	s.Gateways, s.Limits.PeerMessages = 4, true
	chk := startModule(t, s, 2)
	var reports []peerReport
	chk.observe = func(a Action) {
		if p, ok := a.(Broadcast); ok {
			n, ok := decodePeerReport(p.Payload)
			if !ok {
				t.Fatalf("a report that peers can't read: %v", p.Payload)
			}
			reports = append(reports, n)
		}
	}
	for range 20 {
		chk.submit(0, nil)
		chk.resolve(chk.pending()[0], StatusOK)
	}
	if len(reports) != 0 {
		t.Fatalf("%d reports of light queries", len(reports))
	}
	chk.submit(0, func(r *Request) { r.EstimatedWork = Second })
	chk.resolve(chk.pending()[0], StatusOK)
	if len(reports) != 2 || reports[0].threads != 1 || reports[0].work <= 0 || reports[1].threads != 0 || reports[1].work != 0 {
		t.Fatalf("reports of a heavy query: %v, want one thread and then none", reports)
	}
}
