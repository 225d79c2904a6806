package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"
)

// The aims of the door that virtual time decides, so that the verdict is always the same.
func TestAdmissionTargets(t *testing.T) {
	if j := jainIndex(); j < 0.97 {
		t.Errorf("Jain's index of 100 greedy tenants is %.3f", j)
	}
	if e := weightError(); e > 0.1 {
		t.Errorf("weights are missed by %.3f", e)
	}
	for _, slower := range []float64{1, 2} { // the engines lose half of their capacity on the way
		kept, p50 := returnsAfterRejection(slower)
		if kept < 0.9 || p50 < 0.5 || p50 > 2 {
			t.Errorf("engines %v times slower: %.2f of those that came back were served, after %.2f of the time told", slower, kept, p50)
		}
	}
	bytes, bound := stateSize(10_000)
	if bytes > bound {
		t.Errorf("10,000 tenants take %d bytes, %d at most", bytes, bound)
	}
}

// The clients of a lost site are no flood: they get what those at home leave, nobody's connection gives way, and those at home, who ask
// for less than an even share, hardly notice.
func TestDisplacedClientsAtAdmission(t *testing.T) {
	before, after, theirs, evicted := displacedClients()
	t.Logf("at home %.3f, then %.3f; strangers %.3f; %d connections gave way", before, after, theirs, evicted)
	if before < 0.99 || after < 0.97 || theirs < 0.5 || evicted > 0 {
		t.Errorf("at home %.3f, then %.3f; strangers %.3f; %d connections gave way", before, after, theirs, evicted)
	}
}

// A flooding client and quiet ones on loopback: the quiet ones are served.
func TestQuietClientsBesideAFlood(t *testing.T) {
	dir := t.TempDir()
	gateway, err := BuildGateway(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	s := fairSetup(gateway, fairSiteConfig)
	s.MemoryMB, s.Sockets = 32, 256 // the least machine
	w, err := StartTestbed(s)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
	defer stop()
	q, f := quiet(), flood(200) // more than may be connected
	q.WarmUp, f.WarmUp = time.Second, 0
	tallies := RunClients(ctx, w, q, f)
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	got := tallies["quiet"]
	if asked, served := got.Requested.Load(), got.Served.Load(); asked < 50 || served < asked*9/10 {
		t.Errorf("of %d queries of quiet clients %d were served, %d refused, %d failed, %d connections cut",
			asked, served, got.Rejected.Load(), got.Failed.Load(), got.Disconnected.Load())
	}
	if flooded := tallies["flood"]; flooded.Served.Load() < 100 {
		t.Errorf("the flood was served %d times: the test has lost its subject", flooded.Served.Load())
	}
	if !strings.Contains(w.Log(), "\"stopped\"") {
		t.Error("the gateway did not end in order")
	}
}

func TestReport(t *testing.T) {
	r := newReport("x", "a", "b")
	r.addRow("one", 2.25)
	r.setValue("second", 2, "")
	r.setValue("first", 0.5, "1 or less")
	var out bytes.Buffer
	if err := r.Write(&out); err != nil {
		t.Fatal(err)
	}
	if want := "a    b    \none  2.2  \n\nfirst: 0.5   (aim: 1 or less)\nsecond: 2\n"; out.String() != want {
		t.Errorf("got %q", out.String())
	}
	out.Reset()
	if err := r.WriteJSON(&out); err != nil {
		t.Fatal(err)
	}
	var back Report
	if err := json.Unmarshal(out.Bytes(), &back); err != nil || back.Values["first"] != 0.5 || back.Rows[0][1] != "2.2" {
		t.Errorf("%v, %+v", err, back)
	}
}
