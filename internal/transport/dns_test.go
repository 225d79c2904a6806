package transport

import (
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

// With no descriptor left the gateway still moves to another name service: it closes the old socket for the new one.
func TestNameServiceMoveAtDescriptorLimit(t *testing.T) {
	server := newBareServer(t)
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	probe, err := syscall.Dup(0) // the lowest number that is free
	if err != nil {
		t.Fatal(err)
	}
	mustCloseFD(t, probe)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(probe), Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	_, full := syscall.Dup(0)
	first := server.openDNS(netip.MustParseAddrPort("127.0.0.1:10"))
	second := server.openDNS(netip.MustParseAddrPort("127.0.0.1:10"))
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if full == nil {
		t.Fatal("descriptors are free below the limit: nothing is shown")
	}
	if first != nil || second != nil || server.dnsConn == nil || server.dnsConn.RemoteAddr().String() != "127.0.0.1:10" {
		t.Errorf("moved with %v, again with %v", first, second)
	}
}

// A name service that answers each socket for a while only: the gateway queries it from a new one, and learns of a drain
// within the time after which it counts as notified.
func TestDrainSeenThroughANewSocket(t *testing.T) {
	s := newTestbed(t, served(time.Millisecond, "a\tb\tc\n"), served(time.Millisecond, "a\tb\tc\n"))
	defer s.end()
	var mu sync.Mutex
	heard := map[string]int{}
	s.names.SetFilter(func(from string) bool {
		mu.Lock()
		defer mu.Unlock()
		heard[from]++
		return heard[from] <= 3
	})
	time.Sleep(600 * time.Millisecond) // its socket is silent by now, for good
	drained := slices.Clone(s.hosts)
	drained[0].Draining = true
	s.names.SetHosts(2, drained)
	told := time.Now()
	waitFor(t, "a query from a new socket", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(heard) > 1
	})
	time.Sleep(300 * time.Millisecond)
	if took := time.Since(told); took > 5*time.Second {
		t.Errorf("heard %v after the drain", took)
	}
	before := len(s.engines[0].Requests())
	for i := range 12 {
		if _, err := rows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", 0xd00+i), 1500)); err != nil {
			t.Error(err)
		}
	}
	if n := len(s.engines[0].Requests()); n != before {
		t.Errorf("%d attempts went to an engine that drains", n-before)
	}
}
