package measure

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// TestResultSurvivesKill checks that a gateway that was killed and restarted serves acknowledged results by their
// handles, without running the query again.
func TestResultSurvivesKill(t *testing.T) {
	gateway, err := BuildGateway(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	setup := fairSetup(gateway, fmt.Sprintf("spool {\n folder = %q\n disk = \"64MB\"\n}\n", t.TempDir()))
	setup.MemoryMB = 32
	for n := range 300 { // 1.6 MB
		setup.Pages = append(setup.Pages, strings.Repeat(fmt.Sprintf("%d\tfield\t%s\n", n, strings.Repeat("x", 170)), 30))
	}
	testbed, err := StartTestbed(setup)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := testbed.Close(); err != nil {
			t.Error(err)
		}
	}()
	read := func(text string) storedResult {
		result, err := testbed.readResult(text, 10*time.Second)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		return result
	}
	first := read("/* kind=point,req=00000000000000aa,timeout=2500,spool=1 */ SELECT 1 FROM sales_1.x")
	if first.rows != 9000 || len(first.handle) != 64 {
		t.Fatalf("first read: %d rows, handle %q, want 9000 rows and a handle of 64 bytes", first.rows, first.handle)
	}
	for range 3 {
		if err := testbed.KillAndRestart(); err != nil {
			t.Fatal(err)
		}
		again := read("/* resume=" + first.handle + " */ FETCH")
		if again.handle != first.handle || again.rows != 9000 || !bytes.Equal(again.prefixes, first.prefixes) {
			t.Fatalf("after a kill: got %d rows, want the handle and the rows of the first read", again.rows)
		}
	}
	if n := testbed.Requests(); n != 1 {
		t.Errorf("the query ran %d times, want 1", n)
	}
	if mb, err := testbed.RSS(); err != nil || mb > 32 {
		t.Errorf("the gateway uses %.1f MB, want at most 32: %v", mb, err)
	}
}
