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

// With no free descriptor the gateway can still move to another name service: it closes the old socket to open the
// new one.
func TestNameServiceMoveAtDescriptorLimit(t *testing.T) {
	server := newBareServer(t)
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	probe, err := syscall.Dup(0) // the lowest free descriptor
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
		t.Fatal("descriptors are free below the limit; the test needs all of them in use")
	}
	if first != nil || second != nil || server.dnsConn == nil || server.dnsConn.RemoteAddr().String() != "127.0.0.1:10" {
		t.Errorf("first open: %v, second open: %v", first, second)
	}
}

// A name service may stop answering a socket. The gateway must then query it from a new socket, and learn of a drain
// within the time after which it counts as notified.
func TestDrainIsSeenThroughNewSocket(t *testing.T) {
	s := newTestbed(t, replyAfter(time.Millisecond, "a\tb\tc\n"), replyAfter(time.Millisecond, "a\tb\tc\n"))
	defer s.shutdown()
	var mu sync.Mutex
	queries := map[string]int{}
	s.nameServer.SetFilter(func(from string) bool {
		mu.Lock()
		defer mu.Unlock()
		queries[from]++
		return queries[from] <= 3
	})
	time.Sleep(600 * time.Millisecond) // the first socket gets no more answers by now
	drained := slices.Clone(s.hosts)
	drained[0].Draining = true
	s.nameServer.SetHosts(2, drained)
	drainedAt := time.Now()
	waitFor(t, "a query from a new socket", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(queries) > 1
	})
	time.Sleep(300 * time.Millisecond)
	if took := time.Since(drainedAt); took > 5*time.Second {
		t.Errorf("queried from a new socket %v after the drain, want 5 s at most", took)
	}
	before := len(s.engines[0].Requests())
	for i := range 12 {
		if _, err := queryRows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", 0xd00+i), 1500)); err != nil {
			t.Error(err)
		}
	}
	if n := len(s.engines[0].Requests()); n != before {
		t.Errorf("%d attempts were sent to a draining engine", n-before)
	}
}
