package measure

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"
)

// A gateway that was killed serves the results that it had acknowledged by their handles, without running their queries
// again.
func TestResultSurvivesKill(t *testing.T) {
	gateway, err := BuildGateway(t.Context(), t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	s := fairSetup(gateway, fmt.Sprintf("spool {\n folder = %q\n disk = \"64MB\"\n}\n", t.TempDir()))
	s.MemoryMB = 32
	for n := range 300 { // 1.6 MB
		s.Pages = append(s.Pages, strings.Repeat(fmt.Sprintf("%d\tfield\t%s\n", n, strings.Repeat("x", 170)), 30))
	}
	testbed, err := StartTestbed(s)
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
		t.Fatalf("%d rows, handle %q", first.rows, first.handle)
	}
	for range 3 {
		if err := testbed.KillAndRestart(); err != nil {
			t.Fatal(err)
		}
		again := read("/* resume=" + first.handle + " */ FETCH")
		if again.handle != first.handle || again.rows != 9000 || !bytes.Equal(again.prefixes, first.prefixes) {
			t.Fatalf("after a kill: %d rows", again.rows)
		}
	}
	if n := testbed.Requests(); n != 1 {
		t.Errorf("the query ran %d times", n)
	}
	if mb, err := testbed.RSS(); err != nil || mb > 32 {
		t.Errorf("the gateway uses %.1f MB, %v", mb, err)
	}
}
