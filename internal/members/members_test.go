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

// TestMain fails if a goroutine outlives the tests: Close ends all that Start began. A probe of memberlist that is running at its Shutdown
// ends by its own timeout, which grows to eight probe intervals on a slow machine: longer than goleak waits by itself.
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

// freeAddr is an address that nobody listens on, for TCP and UDP.
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

// member is a member with what it has reported.
type member struct {
	*Membership
	present   []string
	messages  []string
	conflicts int
}

// drain takes all events that wait.
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

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Errorf("not within 10 s: %s", what)
}

// Three members find one another by one seed and exchange messages; one leaves; no goroutine of any remains.
func TestJoinAndLeave(t *testing.T) {
	before := runtime.NumGoroutine()
	var at []netip.AddrPort
	for i := range 3 {
		at = append(at, freeAddr(t, i))
	}
	var all []*member
	for i := range 3 {
		all = append(all, startMember(t, Settings{Name: fmt.Sprint("n", i), Zone: fmt.Sprint("z", i), Bind: at[i], Seeds: at[:1]}))
	}
	waitUntil(t, "all know all", func() bool {
		for _, m := range all {
			if m.drain(); len(m.present) != 2 {
				return false
			}
		}
		return true
	})
	slices.Sort(all[0].present)
	if got := fmt.Sprint(all[0].present); got != "[n1@z1 n2@z2]" {
		t.Errorf("the first knows %s", got)
	}
	if err := all[1].Send("n2", 7, []byte("hello")); err != nil {
		t.Error(err)
	}
	if err := all[1].Send("nobody", 7, nil); !errors.Is(err, ErrNoMember) {
		t.Errorf("sent to nobody: %v", err)
	}
	if err := all[1].Send("n2", 7, make([]byte, 100<<10)); !errors.Is(err, ErrTooLarge) {
		t.Errorf("sent 100 KiB: %v", err)
	}
	waitUntil(t, "a datagram", func() bool { all[2].drain(); return slices.Contains(all[2].messages, "n1/7 hello") })
	if err := all[1].Send("n2", 8, make([]byte, 20<<10)); err != nil {
		t.Error(err)
	}
	waitUntil(t, "more than a datagram", func() bool {
		all[2].drain()
		return slices.ContainsFunc(all[2].messages, func(s string) bool { return len(s) > 20<<10 })
	})
	all[1].Close()
	waitUntil(t, "one that leaves is gone", func() bool {
		all[0].drain()
		all[2].drain()
		return len(all[0].present) == 1 && len(all[2].present) == 1
	})
	all[0].Close()
	all[2].Close()
	waitUntil(t, "all goroutines end", func() bool { return runtime.NumGoroutine() <= before+2 })
}

// A second process of one name is reported; addresses that are not allowed are rejected and counted.
func TestNameConflictsAndRejectedAddresses(t *testing.T) {
	at := []netip.AddrPort{freeAddr(t, 10), freeAddr(t, 11), freeAddr(t, 12)}
	var b netipx.IPSetBuilder
	b.AddPrefix(netip.MustParsePrefix("127.9.0.0/16"))
	b.Remove(at[2].Addr())
	allowed, err := b.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	one := startMember(t, Settings{Name: "n0", Bind: at[0], Allowed: allowed})
	defer one.Close()
	two := startMember(t, Settings{Name: "n0", Bind: at[1], Seeds: at[:1], Allowed: allowed})
	defer two.Close()
	third := startMember(t, Settings{Name: "n1", Bind: freeAddr(t, 13), Seeds: at[:2], Allowed: allowed})
	defer third.Close()
	waitUntil(t, "the name conflict is reported", func() bool { third.drain(); return third.conflicts > 0 })
	outsider := startMember(t, Settings{Name: "n9", Bind: at[2], Seeds: at[:1]})
	defer outsider.Close()
	waitUntil(t, "the address that is not allowed is counted", func() bool { return one.Stats().Rejected > 0 })
	if one.drain(); slices.ContainsFunc(one.present, func(s string) bool { return strings.HasPrefix(s, "n9@") }) {
		t.Errorf("an address that is not allowed is a member: %v", one.present)
	}
	if (Settings{Name: "x", Bind: at[2], Allowed: allowed}).Validate() == nil {
		t.Error("a member that is not allowed itself is valid")
	}
}

// Behind a fault-injecting proxy for each pair and direction that loses and delays datagrams, all find one another. A member that is cut
// off is held to be dead, and found again.
func TestThroughFaultProxy(t *testing.T) {
	const n = 3
	at := []netip.AddrPort{freeAddr(t, 20), freeAddr(t, 21), freeAddr(t, 22)}
	var links []*faultproxy.Link
	var all []*member
	for i := range n {
		dialAddrs := map[netip.AddrPort]netip.AddrPort{}
		for j := range n {
			if i == j {
				continue
			}
			there, back := faultproxy.NewLink(uint64(i*n+j)), faultproxy.NewLink(uint64(100+i*n+j))
			p, err := faultproxy.NewTCPAndUDP(fmt.Sprintf("127.9.%d.%d", 40+i, 1+j), at[j].String(), there, back)
			if err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			dialAddrs[at[j]] = p.Addr()
			if i == 2 || j == 2 {
				links = append(links, there, back)
			}
			there.SetConditions(faultproxy.Conditions{Loss: 0.2, Delay: 5 * time.Millisecond})
		}
		all = append(all, startMember(t, Settings{Name: fmt.Sprint("n", i), Bind: at[i], Seeds: at, DialAddrs: dialAddrs}))
		defer all[i].Close()
	}
	know := func(counts ...int) func() bool {
		return func() bool {
			for i, m := range all {
				if m.drain(); len(m.present) != counts[i] {
					return false
				}
			}
			return true
		}
	}
	waitUntil(t, "all know all through the proxies", know(2, 2, 2))
	for _, link := range links {
		link.SetConditions(faultproxy.Conditions{Cut: true})
	}
	waitUntil(t, "the third is cut off", know(1, 1, 0))
	for _, link := range links {
		link.SetConditions(faultproxy.Conditions{})
	}
	waitUntil(t, "and found again", know(2, 2, 2))
}

// A full queue drops messages, and keeps the events of members that join and leave.
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
		t.Errorf("%d events kept, %d lost, the one of the member that left among them: %v", got, m.stats.dropped.Load(), left)
	}
}

// Shutdown ends though packets wait that nobody takes: the sockets' goroutines would block it otherwise.
func TestShutdownWithPacketsThatWait(t *testing.T) {
	at := freeAddr(t, 30)
	var rejected atomic.Int64
	tr, err := listen(Settings{Bind: at}, &rejected)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("udp", at.String())
	if err != nil {
		t.Fatal(err)
	}
	for range 20 {
		if _, err := c.Write([]byte("a packet")); err != nil {
			t.Fatal(err)
		}
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	time.Sleep(50 * time.Millisecond) // the packets are read, and wait
	ended := make(chan error, 1)
	go func() { ended <- tr.Shutdown() }()
	select {
	case err := <-ended:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("Shutdown does not end")
	}
}
