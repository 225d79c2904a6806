// Package members owns membership: which other gateways are there, by gossip (hashicorp/memberlist, SWIM), and the datagrams among them. It
// reports who joins and leaves and hands over messages, in order, through a bounded queue: when the queue is full, messages are dropped and
// counted, and nobody waits. The package decides nothing, does not look into what it carries, and never blocks request serving.
//
// There are no keys and there is no encryption: a set of addresses says who may connect, and that is all. It is for a network of the
// operators' own. The name of a sender is claimed, not proven.
package members

import (
	"errors"
	"fmt"
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
	Bind          netip.AddrPort                    // for UDP and TCP, as others reach it
	Seeds         []netip.AddrPort                  // members that are tried first
	Allowed       *netipx.IPSet                     // addresses that are accepted; nil: any
	DialAddrs     map[netip.AddrPort]netip.AddrPort // by the address that a member announces: where it is reached, as behind a NAT
	QueueSize     int                               // events; 0: defaultQueueSize
	FastDetection bool                              // for links of a millisecond: failures are detected sooner
}

const (
	defaultQueueSize   = 1024
	maxName            = 64
	maxDatagram        = 1400 // bytes that memberlist sends as one packet
	maxReliableMessage = 64 << 10
	minRejoinDelay     = 500 * time.Millisecond
	maxRejoinDelay     = 15 * time.Second
	leaveTimeout       = 300 * time.Millisecond
)

// Validate returns an error that names the first setting that can't be used.
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

// Errors of Start and Send.
var (
	ErrListen   = errors.New("members: can't listen") // may pass: another process may be about to release the address
	ErrNoMember = errors.New("members: no member")
	ErrTooLarge = errors.New("members: message too large")
)

// Kind is what an Event reports.
type Kind int

// Kinds of events.
const (
	Joined       Kind = iota + 1
	Left              // it has left, or is held to be dead
	Received          // Data arrived on Channel
	NameConflict      // another process has the name of a member; Text names the addresses of both
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

// Membership is this process as a member.
type Membership struct {
	settings Settings
	list     *memberlist.Memberlist
	queue    chan Event
	notify   func() // called when something was put into the queue
	done     chan struct{}
	wg       sync.WaitGroup // the goroutine of rejoin
	mu       sync.Mutex
	nodes    map[string]*memberlist.Node
	stats    struct{ dropped, bytesSent, bytesReceived, rejected atomic.Int64 }
}

// Stats are counts since the start, and the number of members now.
type Stats struct {
	Members       int
	Dropped       int64 // events that found the queue full
	BytesSent     int64
	BytesReceived int64
	Rejected      int64 // packets and connections of addresses that are not allowed
}

// Start joins the members, and goes on to look for them until Close. Notify is called, from any goroutine, when Next has something.
func Start(settings Settings, notify func()) (*Membership, error) {
	if err := settings.Validate(); err != nil {
		return nil, err
	}
	if settings.QueueSize <= 0 {
		settings.QueueSize = defaultQueueSize
	}
	m := &Membership{settings: settings, queue: make(chan Event, settings.QueueSize), notify: notify, done: make(chan struct{}),
		nodes: map[string]*memberlist.Node{}}
	t, err := listen(settings, &m.stats.rejected)
	if err != nil {
		return nil, err
	}
	if m.list, err = memberlist.Create(m.config(t)); err != nil {
		_ = t.Shutdown() // it reports nothing
		return nil, fmt.Errorf("members: start at %s: %w", settings.Bind, err)
	}
	m.wg.Go(m.rejoin)
	return m, nil
}

// config is memberlist's own defaults for a local network, but for what is said here.
func (m *Membership) config(t *transport) *memberlist.Config {
	c := memberlist.DefaultLANConfig()
	if m.settings.FastDetection {
		c.ProbeInterval, c.ProbeTimeout = 300*time.Millisecond, 150*time.Millisecond
		c.SuspicionMult, c.GossipInterval, c.PushPullInterval = 3, 200*time.Millisecond, 5*time.Second
		c.TCPTimeout = time.Second
	}
	c.Name, c.Transport, c.Logger, c.LogOutput = m.settings.Name, t, discardLogger(), nil
	c.BindAddr, c.BindPort = m.settings.Bind.Addr().String(), int(m.settings.Bind.Port())
	c.AdvertiseAddr, c.AdvertisePort = c.BindAddr, c.BindPort
	c.Delegate, c.Events, c.Conflict = delegate{m}, events{m}, conflicts{m}
	c.EnableCompression, c.UDPBufferSize = false, maxDatagram+128
	c.DeadNodeReclaimTime = time.Second // a process that returns at another address has its name again
	return c
}

// rejoin looks for seeds that are not among the members: often while there is no member at all, and now and then for those that a partition
// has cut off.
func (m *Membership) rejoin() {
	delay := minRejoinDelay
	for {
		if seeds := m.missingSeeds(); len(seeds) > 0 {
			if n, _ := m.list.Join(seeds[:1]); n > 0 {
				delay = minRejoinDelay
			}
		}
		if delay = min(2*delay, maxRejoinDelay); m.list.NumMembers() == 1 {
			delay = min(delay, 4*minRejoinDelay)
		}
		select {
		case <-m.done:
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(delay))):
		}
	}
}

// missingSeeds are the seeds that are not among the members, in random order.
func (m *Membership) missingSeeds() (seeds []string) {
	present := map[string]bool{m.settings.Bind.String(): true}
	for _, n := range m.list.Members() {
		present[netip.AddrPortFrom(addrOf(n.Addr), n.Port).String()] = true
	}
	for _, i := range rand.Perm(len(m.settings.Seeds)) {
		if s := m.settings.Seeds[i].String(); !present[s] {
			seeds = append(seeds, s)
		}
	}
	return seeds
}

func addrOf(ip net.IP) netip.Addr {
	a, _ := netip.AddrFromSlice(ip)
	return a.Unmap()
}

// enqueue adds an event. A message is dropped if the queue is full. Any other event must not be lost: it displaces older ones until there is
// room.
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
		case <-m.queue:
			m.stats.dropped.Add(1)
		default:
		}
	}
}

// Next returns the next event; ok is false if there is none.
func (m *Membership) Next() (e Event, ok bool) {
	select {
	case e = <-m.queue:
		return e, true
	default:
		return e, false
	}
}

// Send sends a message to a member: as a datagram, or over a connection if it is larger than one, for which it waits. Delivery is not
// guaranteed.
func (m *Membership) Send(to string, channel byte, data []byte) error {
	if len(data) > maxReliableMessage {
		return fmt.Errorf("%w: %d bytes to %q, over %d", ErrTooLarge, len(data), to, maxReliableMessage)
	}
	m.mu.Lock()
	n := m.nodes[to]
	m.mu.Unlock()
	if n == nil {
		return fmt.Errorf("%w %q", ErrNoMember, to)
	}
	msg := make([]byte, 0, 2+len(m.settings.Name)+len(data))
	msg = append(msg, channel, byte(len(m.settings.Name)))
	msg = append(append(msg, m.settings.Name...), data...)
	m.stats.bytesSent.Add(int64(len(msg)))
	send := m.list.SendBestEffort
	if len(msg) > maxDatagram {
		send = m.list.SendReliable
	}
	if err := send(n, msg); err != nil {
		return fmt.Errorf("members: send to %q at %s: %w", to, n.Address(), err)
	}
	return nil
}

// Stats returns the counts since the start.
func (m *Membership) Stats() Stats {
	return Stats{Members: m.list.NumMembers(), Dropped: m.stats.dropped.Load(), BytesSent: m.stats.bytesSent.Load(),
		BytesReceived: m.stats.bytesReceived.Load(), Rejected: m.stats.rejected.Load()}
}

// Close leaves the members, for which it waits at most leaveTimeout, and ends all goroutines. It must be called once.
func (m *Membership) Close() {
	close(m.done)
	_ = m.list.Leave(leaveTimeout) // a timeout: the others detect the failure instead
	_ = m.list.Shutdown()          // it reports nothing
	m.wg.Wait()
}
