package measure

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
)

// TestMain fails if a testbed or its clients leave goroutines behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// TestAdmissionTargets checks the targets of admission control that are measured in virtual time, which makes the
// results deterministic.
func TestAdmissionTargets(t *testing.T) {
	if j := jainIndex(); j < 0.97 {
		t.Errorf("Jain's index of 100 greedy tenants is %.3f, want 0.97 or more", j)
	}
	if e := weightError(); e > 0.1 {
		t.Errorf("shares differ from the weights by %.3f, want 0.1 or less", e)
	}
	for _, slowdown := range []float64{1, 2} { // 2: the engines lose half of their capacity during the run
		served, p50 := retriesAfterRejection(slowdown)
		if served < 0.9 || p50 < 0.5 || p50 > 2 {
			t.Errorf("engines %v times slower: %.2f of the retries were served, after %.2f of the Retry-After", slowdown, served, p50)
		}
	}
	bytes, bound := stateSize(10_000)
	if bytes > bound {
		t.Errorf("the state of 10,000 tenants takes %d bytes, want at most %d", bytes, bound)
	}
}

// TestDisplacedClientsAtAdmission guards against treating the clients of a lost zone as a flood. They get the
// capacity that the home clients leave, no connection is evicted, and the home clients, who use less than an even
// share, lose almost nothing.
func TestDisplacedClientsAtAdmission(t *testing.T) {
	before, after, displaced, evicted := displacedClients()
	t.Logf("at home %.3f, then %.3f; displaced %.3f; %d connections evicted", before, after, displaced, evicted)
	if before < 0.99 || after < 0.97 || displaced < 0.5 || evicted > 0 {
		t.Errorf("at home %.3f, then %.3f; displaced %.3f; %d connections evicted", before, after, displaced, evicted)
	}
}

// TestQuietClientsBesideAFlood checks on sockets that a gateway of the smallest size serves quiet clients beside a
// flood.
func TestQuietClientsBesideAFlood(t *testing.T) {
	dir := t.TempDir()
	gateway, err := BuildGateway(t.Context(), dir)
	if err != nil {
		t.Fatal(err)
	}
	setup := fairSetup(gateway, fairSiteConfig)
	setup.MemoryMB, setup.Sockets = 32, 256 // the smallest supported machine
	testbed, err := StartTestbed(setup)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
	defer stop()
	quiet, flood := quietGroup(), floodGroup(200) // more clients than the gateway accepts
	quiet.WarmUp, flood.WarmUp = time.Second, 0
	stats := RunClients(ctx, testbed, quiet, flood)
	if err := testbed.Close(); err != nil {
		t.Error(err)
	}
	got := stats["quiet"]
	if requested, served := got.Requested.Load(), got.Served.Load(); requested < 50 || served < requested*9/10 {
		t.Errorf("of %d requests of quiet clients, %d were served, %d rejected, %d failed, %d disconnected",
			requested, served, got.Rejected.Load(), got.Failed.Load(), got.Disconnected.Load())
	}
	if flooded := stats["flood"]; flooded.Served.Load() < 100 {
		t.Errorf("the flood was served only %d times: too few for the test to be meaningful", flooded.Served.Load())
	}
	if !strings.Contains(testbed.Log(), "\"stopped\"") {
		t.Error("the gateway did not shut down in order")
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
