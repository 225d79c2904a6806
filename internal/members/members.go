// Package members owns who else is there: membership by gossip (hashicorp/memberlist, SWIM) behind an interface of our own, and
// the datagrams among members. It tells of who comes and goes and hands over what they say, in order, through a ring that is
// bounded: when it is full, what members say is lost, and counted, and nobody waits. It must never decide anything, look into what it
// carries, or keep serving waiting.
//
// There are no keys and there is no encryption: address sets say who may speak, and that is all. Run it on a network that is the
// operators' own. A sender's name is claimed, not proven.
package members

import (
	"errors"
	"fmt"
	"io"

	"log"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go4.org/netipx"
)

// Settings are how a member finds others.
type Settings struct {
	Name          string
	Zone          string
	Bind          netip.AddrPort                    // UDP and TCP; also what is told to others
	Seeds         []netip.AddrPort                  // members that are tried first
	Allowed       *netipx.IPSet                     // addresses that may speak; nil: any
	DialAddrs     map[netip.AddrPort]netip.AddrPort // addresses that are reached by others, as behind a translation
	QueueSize     int                               // events that wait
	FastDetection bool                              // for links of a millisecond: failures are told sooner
}

const (
	defaultQueueSize   = 1024
	maxName            = 64
	maxDatagram        = 1400 // bytes of a datagram: what memberlist carries whole
	maxReliableMessage = 64 << 10
	minRejoinDelay     = 500 * time.Millisecond
	maxRejoinDelay     = 15 * time.Second
	leaveTimeout       = 300 * time.Millisecond
)

// Validate says what can't be used.
func (s Settings) Validate() error {
	switch {
	case s.Name == "" || len(s.Name) > maxName || len(s.Zone) > maxName:
		return fmt.Errorf("members: name %q must have 1 to %d bytes, zone %q at most that", s.Name, maxName, s.Zone)
	case !s.Bind.IsValid() || s.Bind.Port() == 0:
		return errors.New("members: bind must be an address with a port")
	case s.Bind.Addr().IsUnspecified():
		return errors.New("members: bind must be one address, which others are told")
	case s.Allowed != nil && !s.Allowed.Contains(s.Bind.Addr()):
		return fmt.Errorf("members: %s itself is not among the addresses that may speak", s.Bind.Addr())
	}
	return nil
}

// ErrListen is returned where the address can't be listened on, which may be so for a moment only.
var ErrListen = errors.New("members: can't listen")

// Kind is what an Event tells.
type Kind int

// Kinds of events.
const (
	Joined       Kind = iota + 1
	Left              // it has left, or is held to be dead
	Received          // Data came on Channel
	NameConflict      // another process has a member's name: Name, Text
)

// Event is something that happened.
type Event struct {
	Kind    Kind
	Name    string
	Zone    string
	Addr    netip.AddrPort
	Channel byte
	Data    []byte
	Text    string
}

// Membership is one member.
type Membership struct {
	settings Settings
	list     *memberlist.Memberlist
	queue    chan Event
	notify   func() // called when something was put into the ring
	done     chan struct{}
	wg       sync.WaitGroup
	mu       sync.Mutex
	nodes    map[string]*memberlist.Node
	stats    struct{ dropped, bytesSent, bytesReceived, rejected atomic.Int64 }
}

// Stats are counts since the start.
type Stats struct {
	Members       int
	Dropped       int64 // events that found the ring full
	BytesSent     int64 // bytes
	BytesReceived int64
	Rejected      int64 // packets and connections of addresses that may not speak
}

// Start begins to look for others. ready is called, from any goroutine, when Take has something.
func Start(set Settings, ready func()) (*Membership, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	if set.QueueSize <= 0 {
		set.QueueSize = defaultQueueSize
	}
	m := &Membership{settings: set, queue: make(chan Event, set.QueueSize), notify: ready, done: make(chan struct{}), nodes: map[string]*memberlist.Node{}}
	quiet := log.New(io.Discard, "", 0)
	inner, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{set.Bind.Addr().String()},
		BindPort: int(set.Bind.Port()), Logger: quiet})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrListen, err)
	}
	t := newTransport(inner, set, &m.stats.rejected)
	c := memberlist.DefaultLANConfig()
	if set.FastDetection {
		c.ProbeInterval, c.ProbeTimeout = 300*time.Millisecond, 150*time.Millisecond
		c.SuspicionMult, c.GossipInterval, c.PushPullInterval = 3, 200*time.Millisecond, 5*time.Second
		c.TCPTimeout = time.Second
	}
	c.Name, c.Transport, c.Logger, c.LogOutput = set.Name, t, quiet, nil
	c.BindAddr, c.BindPort = set.Bind.Addr().String(), int(set.Bind.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.Delegate, c.Events, c.Conflict = delegate{m}, events{m}, conflicts{m}
	c.EnableCompression, c.UDPBufferSize = false, maxDatagram+128
	c.DeadNodeReclaimTime = time.Second // a process that comes back at another address has its name again
	if m.list, err = memberlist.Create(c); err != nil {
		_ = inner.Shutdown()
		return nil, fmt.Errorf("members: %w", err)
	}
	m.wg.Add(1)
	go m.rejoin()
	return m, nil
}

// rejoin looks for seeds: again and again while alone, and now and then for those that a partition has cut off.
func (m *Membership) rejoin() {
	defer m.wg.Done()
	wait := minRejoinDelay
	for {
		if seeds := m.missingSeeds(); len(seeds) > 0 {
			if n, _ := m.list.Join(seeds[:1]); n > 0 {
				wait = minRejoinDelay
			}
		}
		if wait = min(2*wait, maxRejoinDelay); m.list.NumMembers() == 1 {
			wait = min(wait, 4*minRejoinDelay)
		}
		select {
		case <-m.done:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(wait))):
		}
	}
}

// missingSeeds are seeds that are not among the members, in any order.
func (m *Membership) missingSeeds() (seeds []string) {
	there := map[string]bool{m.settings.Bind.String(): true}
	for _, n := range m.list.Members() {
		there[netip.AddrPortFrom(addrOf(n.Addr), n.Port).String()] = true
	}
	for _, i := range rand.Perm(len(m.settings.Seeds)) {
		if s := m.settings.Seeds[i].String(); !there[s] {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

func addrOf(ip net.IP) netip.Addr {
	a, _ := netip.AddrFromSlice(ip)
	return a.Unmap()
}

// enqueue adds an event. What members say gives way where there is no room; who comes and goes must not be lost, and
// takes the place of something older.
func (m *Membership) enqueue(e Event) {
	for {
		select {
		case m.queue <- e:
			m.notify()
			return
		default:
		}
		if e.Kind == Received {
			m.stats.dropped.Add(1)
			return
		}
		select {
		case old := <-m.queue:
			m.stats.dropped.Add(1)
			if old.Kind != Received { // the newest of it counts
				continue
			}
		default:
		}
	}
}

// Next returns the next event, if there is one.
func (m *Membership) Next() (e Event, ok bool) {
	select {
	case e = <-m.queue:
		return e, true
	default:
		return e, false
	}
}

// Send sends something to a member: a datagram, or over a connection where it is larger than one, for which it waits. It may be
// lost; to one that is not there it is.
func (m *Membership) Send(to string, channel byte, data []byte) error {
	if len(data) > maxReliableMessage {
		return fmt.Errorf("members: %d bytes are more than is sent at once", len(data))
	}
	m.mu.Lock()
	n := m.nodes[to]
	m.mu.Unlock()
	if n == nil {
		return fmt.Errorf("members: no member %q", to)
	}
	msg := make([]byte, 0, 2+len(m.settings.Name)+len(data))
	msg = append(msg, channel, byte(len(m.settings.Name)))
	msg = append(append(msg, m.settings.Name...), data...)
	m.stats.bytesSent.Add(int64(len(msg)))
	if len(msg) > maxDatagram {
		return m.list.SendReliable(n, msg)
	}
	return m.list.SendBestEffort(n, msg)
}

// Stats tells what was done since the start.
func (m *Membership) Stats() Stats {
	return Stats{Members: m.list.NumMembers(), Dropped: m.stats.dropped.Load(), BytesSent: m.stats.bytesSent.Load(), BytesReceived: m.stats.bytesReceived.Load(),
		Rejected: m.stats.rejected.Load()}
}

// Close leaves, within a bounded time, and ends all that runs here.
func (m *Membership) Close() {
	close(m.done)
	_ = m.list.Leave(leaveTimeout)
	_ = m.list.Shutdown()
	m.wg.Wait()
}

// ---- what memberlist calls

type delegate struct{ m *Membership }

func (d delegate) NodeMeta(int) []byte { return []byte(d.m.settings.Zone) }

func (d delegate) NotifyMsg(msg []byte) {
	if len(msg) < 2 || len(msg) < 2+int(msg[1]) {
		return
	}
	d.m.stats.bytesReceived.Add(int64(len(msg)))
	end := 2 + int(msg[1])
	d.m.enqueue(Event{Kind: Received, Channel: msg[0], Name: string(msg[2:end]), Data: append([]byte(nil), msg[end:]...)})
}

func (delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (delegate) LocalState(bool) []byte          { return nil }
func (delegate) MergeRemoteState([]byte, bool)   {}

type events struct{ m *Membership }

func (e events) NotifyJoin(n *memberlist.Node) {
	if n.Name == e.m.settings.Name {
		return
	}
	e.m.mu.Lock()
	e.m.nodes[n.Name] = n
	e.m.mu.Unlock()
	e.m.enqueue(Event{Kind: Joined, Name: n.Name, Zone: string(n.Meta), Addr: netip.AddrPortFrom(addrOf(n.Addr), n.Port)})
}

func (e events) NotifyLeave(n *memberlist.Node) {
	if n.Name == e.m.settings.Name {
		return
	}
	e.m.mu.Lock()
	delete(e.m.nodes, n.Name)
	e.m.mu.Unlock()
	e.m.enqueue(Event{Kind: Left, Name: n.Name})
}

func (e events) NotifyUpdate(n *memberlist.Node) { e.NotifyJoin(n) }

type conflicts struct{ m *Membership }

// NotifyConflict: a name comes twice. The first one stays; it is told, not believed.
func (c conflicts) NotifyConflict(has, other *memberlist.Node) {
	c.m.enqueue(Event{Kind: NameConflict, Name: other.Name, Text: fmt.Sprintf("%s and %s", has.Address(), other.Address())})
}
