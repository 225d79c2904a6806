// Package members owns the membership of the fleet and the messages between members. Membership is maintained by gossip
// (SWIM, hashicorp/memberlist). Joins, leaves and received messages are delivered in order through a bounded queue. If
// the queue is full, messages are dropped and counted; no sender waits. The package makes no decisions, does not
// interpret messages and never blocks request serving.
//
// Messages are neither authenticated nor encrypted. Access is restricted by a set of allowed addresses only, so members
// must run on a private network of the operator. The name of a sender is not verified.
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
	ErrListen   = errors.New("members: can't listen") // may be temporary: another process may still hold the address
	ErrNoMember = errors.New("members: no member")
	ErrTooLarge = errors.New("members: message too large")
)

// Kind is what an Event reports.
type Kind int

// Kinds of events.
const (
	Joined       Kind = iota + 1
	Left              // the member has left or is considered dead
	Received          // Data arrived on Channel
	NameConflict      // another process has the name of a member; Text has the addresses of both
)

// Event reports a change of the membership or a received message.
type Event struct {
	Kind    Kind
	Name    string         // of the member or sender
	Zone    string         // with Joined
	Addr    netip.AddrPort // with Joined
	Channel byte           // with Received
	Data    []byte         // with Received
	Text    string         // with NameConflict
}

// Membership is the membership of this process.
type Membership struct {
	settings Settings
	list     *memberlist.Memberlist
	queue    chan Event
	notify   func()         // called after an event was added to the queue
	done     chan struct{}  // closed by Close
	wg       sync.WaitGroup // waits for rejoin
	mu       sync.Mutex
	nodes    map[string]*memberlist.Node // other members by name, guarded by mu
	stats    struct{ dropped, bytesSent, bytesReceived, rejected atomic.Int64 }
}

// Stats are counts since the start and the current number of members.
type Stats struct {
	Members       int   // now, including this process
	Dropped       int64 // events lost because the queue was full
	BytesSent     int64
	BytesReceived int64
	Rejected      int64 // packets and connections from addresses that are not allowed
}

// Start starts this process as a member, which tries to join the others until Close. It calls notify, from any
// goroutine, when Next has an event.
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
		_ = t.Shutdown() // the error of Create is returned
		return nil, fmt.Errorf("members: start at %s: %w", settings.Bind, err)
	}
	m.wg.Go(m.rejoin)
	return m, nil
}

// enqueue adds an event to the queue. If the queue is full, a message is dropped. Any other event must not be lost, so
// it displaces older events until there is room.
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

// Send sends a message to a member: as a datagram, or over a connection if it does not fit into one. In the second case
// it blocks until the message is written. Delivery is not guaranteed.
func (m *Membership) Send(to string, channel byte, data []byte) error {
	if len(data) > maxReliableMessage {
		return fmt.Errorf("%w: %d bytes to %q, over %d", ErrTooLarge, len(data), to, maxReliableMessage)
	}
	m.mu.Lock()
	node := m.nodes[to]
	m.mu.Unlock()
	if node == nil {
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
	if err := send(node, msg); err != nil {
		return fmt.Errorf("members: send to %q at %s: %w", to, node.Address(), err)
	}
	return nil
}

// Stats returns the counts since the start and the current number of members.
func (m *Membership) Stats() Stats {
	return Stats{Members: m.list.NumMembers(), Dropped: m.stats.dropped.Load(), BytesSent: m.stats.bytesSent.Load(),
		BytesReceived: m.stats.bytesReceived.Load(), Rejected: m.stats.rejected.Load()}
}

// Close leaves the membership, waiting for at most leaveTimeout, and ends all goroutines. It must be called once.
func (m *Membership) Close() {
	close(m.done)
	_ = m.list.Leave(leaveTimeout) // after a timeout the others detect the failure instead
	_ = m.list.Shutdown()          // always returns nil
	m.wg.Wait()
}
