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
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/hashicorp/memberlist"
)

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
