package members

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go4.org/netipx"

	"foxlane/internal/faultproxy"
)

// TestMain fails if a goroutine outlives the tests, since Close must end all goroutines of Start. A probe of memberlist
// that is running at Shutdown ends only at its timeout, which grows to eight probe intervals on a slow machine. That is
// longer than goleak waits by default.
func TestMain(m *testing.M) {
	code := m.Run()
	if code == 0 {
		err := goleak.Find()
		for end := time.Now().Add(10 * time.Second); err != nil && time.Now().Before(end); {
			err = goleak.Find()
		}
		if err != nil {
			fmt.Fprintln(os.Stderr, "goroutines outlive the tests:", err)
			code = 1
		}
	}
	os.Exit(code)
}

// freeAddr returns an address with a free port, for use with TCP and UDP.
func freeAddr(t *testing.T, i int) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.9.%d.1:0", i+1))
	if err != nil {
		t.Fatal(err)
	}
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	return netip.MustParseAddrPort(ln.Addr().String())
}

// member is a Membership with the events that it has reported.
type member struct {
	*Membership
	present   []string
	messages  []string
	conflicts int
}

// drain processes all queued events.
func (m *member) drain() {
	for {
		e, ok := m.Next()
		if !ok {
			return
		}
		switch e.Kind {
		case Joined:
			m.present = append(m.present, e.Name+"@"+e.Zone)
		case Left:
			m.present = slices.DeleteFunc(m.present, func(s string) bool { return strings.HasPrefix(s, e.Name+"@") })
		case Received:
			m.messages = append(m.messages, fmt.Sprintf("%s/%d %s", e.Name, e.Channel, e.Data))
		case NameConflict:
			m.conflicts++
		}
	}
}

func startMember(t *testing.T, s Settings) *member {
	t.Helper()
	s.FastDetection = true
	m, err := Start(s, func() {})
	if err != nil {
		t.Fatal(err)
	}
	return &member{Membership: m}
}

func waitUntil(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Errorf("condition not met within 10 s: %s", condition)
}

// Three members find each other through one seed and exchange messages. The others notice when one leaves. No goroutine
// remains after Close.
func TestJoinAndLeave(t *testing.T) {
	before := runtime.NumGoroutine()
	var addrs []netip.AddrPort
	for i := range 3 {
		addrs = append(addrs, freeAddr(t, i))
	}
	var members []*member
	for i := range 3 {
		members = append(members, startMember(t, Settings{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i), Bind: addrs[i], Seeds: addrs[:1]}))
	}
	waitUntil(t, "all members know each other", func() bool {
		for _, m := range members {
			if m.drain(); len(m.present) != 2 {
				return false
			}
		}
		return true
	})
	slices.Sort(members[0].present)
	if got := fmt.Sprint(members[0].present); got != "[n1@z1 n2@z2]" {
		t.Errorf("the first member knows %s", got)
	}
	if err := members[1].Send("n2", 7, []byte("hello")); err != nil {
		t.Error(err)
	}
	if err := members[1].Send("nobody", 7, nil); !errors.Is(err, ErrNoMember) {
		t.Errorf("send to an unknown member: %v", err)
	}
	if err := members[1].Send("n2", 7, make([]byte, 100<<10)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("send of 100 KiB: %v", err)
	}
	waitUntil(t, "a datagram arrives", func() bool { members[2].drain(); return slices.Contains(members[2].messages, "n1/7 hello") })
	if err := members[1].Send("n2", 8, make([]byte, 20<<10)); err != nil {
		t.Error(err)
	}
	waitUntil(t, "a message larger than a datagram arrives", func() bool {
		members[2].drain()
		return slices.ContainsFunc(members[2].messages, func(s string) bool { return len(s) > 20<<10 })
	})
	members[1].Close()
	waitUntil(t, "the member that left is removed", func() bool {
		members[0].drain()
		members[2].drain()
		return len(members[0].present) == 1 && len(members[2].present) == 1
	})
	members[0].Close()
	members[2].Close()
	waitUntil(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before+2 })
}

// A second process with the name of a member is reported. Addresses that are not allowed are rejected and counted.
func TestNameConflictsAndRejectedAddresses(t *testing.T) {
	addrs := []netip.AddrPort{freeAddr(t, 10), freeAddr(t, 11), freeAddr(t, 12)}
	var allowedSet netipx.IPSetBuilder
	allowedSet.AddPrefix(netip.MustParsePrefix("127.9.0.0/16"))
	allowedSet.Remove(addrs[2].Addr())
	allowed, err := allowedSet.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	first := startMember(t, Settings{Name: "n0", Bind: addrs[0], Allowed: allowed})
	defer first.Close()
	second := startMember(t, Settings{Name: "n0", Bind: addrs[1], Seeds: addrs[:1], Allowed: allowed})
	defer second.Close()
	third := startMember(t, Settings{Name: "n1", Bind: freeAddr(t, 13), Seeds: addrs[:2], Allowed: allowed})
	defer third.Close()
	waitUntil(t, "the name conflict is reported", func() bool { third.drain(); return third.conflicts > 0 })
	outsider := startMember(t, Settings{Name: "n9", Bind: addrs[2], Seeds: addrs[:1]})
	defer outsider.Close()
	waitUntil(t, "traffic from a disallowed address is counted", func() bool { return first.Stats().Rejected > 0 })
	if first.drain(); slices.ContainsFunc(first.present, func(s string) bool { return strings.HasPrefix(s, "n9@") }) {
		t.Errorf("a process with a disallowed address became a member: %v", first.present)
	}
	if (Settings{Name: "x", Bind: addrs[2], Allowed: allowed}).Validate() == nil {
		t.Error("settings whose own address is not allowed are valid")
	}
}

// Members find each other although a proxy for each pair and direction drops and delays datagrams. A member that is cut
// off is considered dead and rejoins once the links work again.
func TestThroughFaultProxy(t *testing.T) {
	const n = 3
	addrs := []netip.AddrPort{freeAddr(t, 20), freeAddr(t, 21), freeAddr(t, 22)}
	var cutLinks []*faultproxy.Link
	var members []*member
	for i := range n {
		dialAddrs := map[netip.AddrPort]netip.AddrPort{}
		for j := range n {
			if i == j {
				continue
			}
			there, back := faultproxy.NewLink(uint64(i*n+j)), faultproxy.NewLink(uint64(100+i*n+j))
			proxy, err := faultproxy.NewTCPAndUDP(fmt.Sprintf("127.9.%d.%d", 40+i, 1+j), addrs[j].String(), there, back)
			if err != nil {
				t.Fatal(err)
			}
			defer proxy.Close()
			dialAddrs[addrs[j]] = proxy.Addr()
			if i == 2 || j == 2 {
				cutLinks = append(cutLinks, there, back)
			}
			there.SetConditions(faultproxy.Conditions{Loss: 0.2, Delay: 5 * time.Millisecond})
		}
		members = append(members, startMember(t, Settings{Name: fmt.Sprint("n", i), Bind: addrs[i], Seeds: addrs, DialAddrs: dialAddrs}))
		defer members[i].Close()
	}
	allKnow := func(counts ...int) func() bool {
		return func() bool {
			for i, m := range members {
				if m.drain(); len(m.present) != counts[i] {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "all members know each other through the proxies", allKnow(2, 2, 2))
	for _, link := range cutLinks {
		link.SetConditions(faultproxy.Conditions{Cut: true})
	}
	waitUntil(t, "the third member is considered dead", allKnow(1, 1, 0))
	for _, link := range cutLinks {
		link.SetConditions(faultproxy.Conditions{})
	}
	waitUntil(t, "the third member has rejoined", allKnow(2, 2, 2))
}

// A full queue drops messages but keeps events of members that join and leave.
func TestQueueIsBounded(t *testing.T) {
	m := &Membership{queue: make(chan Event, 4), notify: func() {}}
	for i := range 20 {
		m.enqueue(Event{Kind: Received, Name: fmt.Sprint(i)})
	}
	m.enqueue(Event{Kind: Left, Name: "gone"})
	got := 0
	left := false
	for {
		e, ok := m.Next()
		if !ok {
			break
		}
		got++
		left = left || e.Kind == Left
	}
	if got != 4 || !left || m.stats.dropped.Load() != 17 {
		t.Errorf("%d events kept, %d dropped, Left event kept: %v", got, m.stats.dropped.Load(), left)
	}
}

// Shutdown returns even if nobody consumes the packets that have arrived. Otherwise the listeners' goroutines, which
// block on delivering them, would block Shutdown.
func TestShutdownWithUnreadPackets(t *testing.T) {
	addr := freeAddr(t, 30)
	var rejected atomic.Int64
	tr, err := listen(Settings{Bind: addr}, &rejected)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("udp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if _, err := conn.Write([]byte("a packet")); err != nil {
			t.Fatal(err)
		}
	}
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // until the packets are read and blocked in delivery
	ended := make(chan error, 1)
	go func() { ended <- tr.Shutdown() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Shutdown did not return within 5 s")
	}
}
