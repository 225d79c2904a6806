package transport

import (
	"bytes"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
	"foxlane/internal/members"
	"foxlane/rules"
)

// This file has the way to other gateways: who the members are, and what is sent among them.

// membership is the way to other gateways, from joining them to leaving them. What is sent goes through a bounded queue to
// a goroutine of its own; when the queue is full, it is lost.
type membership struct {
	members *members.Membership
	small   chan memberMessage // datagrams
	large   chan memberMessage // what takes a connection: it may stall, and must not hold up the others
	leaving atomic.Bool        // what is still queued is not sent any more
	senders sync.WaitGroup
	control *controlServer // nil: operators' commands are not answered
}

// memberMessage is a message to a member.
type memberMessage struct {
	to      string
	channel byte
	data    []byte
}

const (
	maxQueuedMessages      = 512
	maxQueuedLargeMessages = 16
	largeMessageSize       = 1200 // bytes that still fit into a datagram
	maxMemberEventsPerStep = 256  // member events in one iteration of the reducer

	rejoinPause  = 250 * time.Millisecond // between attempts to join
	leaveTimeout = time.Second            // for which the end of the process waits: some members may not answer
)

// errLeaving is why members can't be joined again yet: the address is still in use, and the reducer waits for nobody.
var errLeaving = errors.New("members: still being left")

// joinMembers begins to look for members, if the operator's file says so.
func (s *Server) joinMembers() error {
	if s.cfg.Site == nil || s.cfg.Site.Members == nil || s.membership != nil {
		return nil
	}
	set := s.cfg.Site.Members
	allowed, err := set.AllowedSet()
	if err != nil {
		return err
	}
	zone := ""
	if i := s.cfg.Settings.Rules.Zone; i >= 0 && i < len(s.cfg.Settings.ZoneNames) {
		zone = s.cfg.Settings.ZoneNames[i]
	}
	if s.leaving.Load() > 0 {
		return errLeaving
	}
	m := &membership{small: make(chan memberMessage, maxQueuedMessages), large: make(chan memberMessage, maxQueuedLargeMessages)}
	settings := members.Settings{Name: s.cfg.Name, Zone: zone, Bind: set.Bind, Seeds: set.Seeds, Allowed: allowed,
		DialAddrs: set.AddressMap, FastDetection: set.FastTimers}
	if m.members, err = members.Start(settings, func() { s.queue.signal() }); err != nil {
		return err
	}
	if set.Control.IsValid() {
		if m.control, err = startControl(set.Control, s.queue, s.log); err != nil {
			m.members.Close()
			return err
		}
	}
	for _, queue := range []chan memberMessage{m.small, m.large} {
		m.senders.Go(func() { m.send(queue) })
	}
	s.membership = m
	return nil
}

// send sends what is queued, until the queue is closed.
func (m *membership) send(queue <-chan memberMessage) {
	for message := range queue {
		if !m.leaving.Load() {
			_ = m.members.Send(message.to, message.channel, message.data) // a member that has left loses it
		}
	}
}

// joinMembersOrRetry looks for members, and again later where that fails: the address may still be another process's.
func (s *Server) joinMembersOrRetry() {
	s.rejoin = nil
	if err := s.joinMembers(); err != nil {
		s.log.Warn("members: not joined, to be tried again", zap.Error(err))
		s.rejoin = time.After(rejoinPause)
	}
}

// leaveMembers leaves the members. That takes a while, for which the reducer does not wait: awaitLeave does.
func (s *Server) leaveMembers() {
	s.rejoin = nil
	m := s.membership
	if m == nil {
		return
	}
	s.membership = nil
	m.leaving.Store(true)
	close(m.small)
	close(m.large)
	s.leaving.Add(1)
	s.leaveWorkers.Go(func() {
		defer s.leaving.Add(-1)
		m.close()
	})
}

func (m *membership) close() {
	if m.control != nil {
		m.control.stop()
	}
	m.members.Close()
	m.senders.Wait()
	if m.control != nil {
		m.control.wait()
	}
}

// awaitLeave waits, for a bounded time, until all members are left.
func (s *Server) awaitLeave() {
	if !returnsWithin(leaveTimeout, s.leaveWorkers.Wait) {
		s.log.Warn("members: not left in time, the process ends without")
	}
}

// sendToMember queues a message to a member.
func (s *Server) sendToMember(f gateway.SendToMember) {
	m := s.membership
	if m == nil {
		return
	}
	queue := m.small
	if len(f.Data) > largeMessageSize {
		queue = m.large
	}
	select {
	case queue <- memberMessage{f.To, f.Channel, bytes.Clone(f.Data)}:
	default: // it is lost, as on the network
	}
}

var peerKinds = map[members.Kind]gateway.PeerKind{members.Joined: gateway.PeerJoined, members.Left: gateway.PeerLeft,
	members.Received: gateway.PeerMessage, members.NameConflict: gateway.PeerNameConflict}

// stepMemberEvents passes what has happened among the members to the reducer, a bounded number in each iteration.
func (s *Server) stepMemberEvents(now rules.Time, reducer Reducer) {
	m := s.membership
	if m == nil {
		return
	}
	for range maxMemberEventsPerStep {
		x, ok := m.members.Next()
		if !ok {
			return
		}
		reducer.Step(now, gateway.PeerEvent{Kind: peerKinds[x.Kind], Name: x.Name, Zone: x.Zone, Channel: x.Channel, Data: x.Data, Text: x.Text})
	}
	s.queue.signal() // the rest comes in the next iteration
}
