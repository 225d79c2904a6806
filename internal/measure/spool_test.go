package measure

import (
	"bytes"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"foxlane/internal/standin"
)

// A gateway that is killed outright serves what it had acknowledged when it is back, without the query
// running again, to who has the handle.
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
	w, err := StartTestbed(s)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := w.Close(); err != nil {
			t.Error(err)
		}
	}()
	read := func(text string) (handle string, rows int, sum []byte) {
		c, err := standin.Connect(w.Addr, netip.Addr{}, 2*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		err = c.QueryRows(text, 10*time.Second, func(row []byte) {
			switch {
			case bytes.HasPrefix(row, []byte("\x07#handle")):
				handle = string(row[9:73])
			case row[1] != '#':
				rows++
				sum = append(sum, row[:3]...)
			}
		})
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		return handle, rows, sum
	}
	handle, rows, first := read("/* kind=point,req=00000000000000aa,timeout=2500,spool=1 */ SELECT 1 FROM sales_1.x")
	if rows != 9000 || len(handle) != 64 {
		t.Fatalf("%d rows, handle %q", rows, handle)
	}
	for range 3 {
		if err := w.KillAndRestart(); err != nil {
			t.Fatal(err)
		}
		again, rows, sum := read("/* resume=" + handle + " */ FETCH")
		if again != handle || rows != 9000 || !bytes.Equal(sum, first) {
			t.Fatalf("after a kill: %d rows", rows)
		}
	}
	if n := w.Requests(); n != 1 {
		t.Errorf("the query ran %d times", n)
	}
	if mb, err := w.RSS(); err != nil || mb > 32 {
		t.Errorf("the gateway holds %.1f MB, %v", mb, err)
	}
}
