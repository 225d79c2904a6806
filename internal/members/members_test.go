package members

import (
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"go4.org/netipx"

	"foxlane/internal/faultproxy"
)

// freeAddr is an address that nobody listens on, for TCP and UDP.
func freeAddr(t *testing.T, i int) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", fmt.Sprintf("127.9.%d.1:0", i+1))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// member is one with what it has told.
type member struct {
	*Membership
	present   []string
	messages  []string
	conflicts int
}

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

// Three find one another by one seed, say something, one dies, and nothing of any is left behind.
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
	if all[1].Send("nobody", 7, nil) == nil || all[1].Send("n2", 7, make([]byte, 100<<10)) == nil {
		t.Error("what can't be sent is no error")
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

// A name that comes twice is told; addresses that may not speak are not heard.
func TestNameConflictsAndRejectedAddresses(t *testing.T) {
	at := []netip.AddrPort{freeAddr(t, 10), freeAddr(t, 11), freeAddr(t, 12)}
	var b netipx.IPSetBuilder
	b.AddPrefix(netip.MustParsePrefix("127.9.0.0/16"))
	b.Remove(at[2].Addr())
	may, err := b.IPSet()
	if err != nil {
		t.Fatal(err)
	}
	one := startMember(t, Settings{Name: "n0", Bind: at[0], Allowed: may})
	defer one.Close()
	two := startMember(t, Settings{Name: "n0", Bind: at[1], Seeds: at[:1], Allowed: may})
	defer two.Close()
	third := startMember(t, Settings{Name: "n1", Bind: freeAddr(t, 13), Seeds: at[:2], Allowed: may})
	defer third.Close()
	waitUntil(t, "a namesake is told", func() bool { third.drain(); return third.conflicts > 0 })
	odd := startMember(t, Settings{Name: "n9", Bind: at[2], Seeds: at[:1]})
	defer odd.Close()
	waitUntil(t, "a stranger is counted", func() bool { return one.Stats().Rejected > 0 })
	if one.drain(); slices.ContainsFunc(one.present, func(s string) bool { return strings.HasPrefix(s, "n9@") }) {
		t.Errorf("a stranger is a member: %v", one.present)
	}
	if (Settings{Name: "x", Bind: at[2], Allowed: may}).Validate() == nil {
		t.Error("a member that may not speak itself is valid")
	}
}

// Through relays by pair and direction: datagrams are lost and late, all find one another all the same; cut off both ways one is
// held to be dead, and found again.
func TestThroughFaultProxy(t *testing.T) {
	const n = 3
	at := []netip.AddrPort{freeAddr(t, 20), freeAddr(t, 21), freeAddr(t, 22)}
	var ways []*faultproxy.Link
	var all []*member
	for i := range n {
		via := map[netip.AddrPort]netip.AddrPort{}
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
			via[at[j]] = p.Addr()
			if i == 2 || j == 2 {
				ways = append(ways, there, back)
			}
			there.SetConditions(faultproxy.Conditions{Loss: 0.2, Delay: 5 * time.Millisecond})
		}
		all = append(all, startMember(t, Settings{Name: fmt.Sprint("n", i), Bind: at[i], Seeds: at, DialAddrs: via}))
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
	waitUntil(t, "all know all through relays", know(2, 2, 2))
	for _, w := range ways {
		w.SetConditions(faultproxy.Conditions{Cut: true})
	}
	waitUntil(t, "the third is cut off", know(1, 1, 0))
	for _, w := range ways {
		w.SetConditions(faultproxy.Conditions{})
	}
	waitUntil(t, "and found again", know(2, 2, 2))
}

// A ring that is full loses what members say, and keeps who comes and goes.
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
		t.Errorf("%d events kept, %d lost, who left among them: %v", got, m.stats.dropped.Load(), left)
	}
}
