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

// This file joins and leaves the other gateways, called members, and exchanges messages with them.

// membership is the gateway's participation in the group of members, from join to leave. Goroutines send the messages
// of bounded queues; a message is dropped if its queue is full.
type membership struct {
	members   *members.Membership
	datagrams chan memberMessage // messages that fit in a datagram
	streams   chan memberMessage // messages sent over connections, which may stall and must not delay datagrams
	leaving   atomic.Bool        // set by leaveMembers; messages still queued are then dropped
	senders   sync.WaitGroup
	control   *controlServer // nil: there is no control socket
}

// memberMessage is a message to a member.
type memberMessage struct {
	to      string
	channel byte
	data    []byte
}

const (
	maxQueuedDatagrams      = 512
	maxQueuedStreamMessages = 16
	maxDatagramPayload      = 1200 // bytes; larger messages may not fit in a datagram
	maxMemberEventsPerStep  = 256  // member events per iteration of the reducer loop

	rejoinDelay  = 250 * time.Millisecond // between attempts to join
	leaveTimeout = time.Second            // how long shutdown waits for a leave; some members may not answer
)

// errLeaving means that members can't be joined yet because a previous membership still uses the address. The join is
// retried later, since waiting here would block the reducer's goroutine.
var errLeaving = errors.New("members: the previous membership has not ended yet")

// joinMembers joins the members if the site configuration has any and they are not joined yet.
func (s *Server) joinMembers() error {
	if s.cfg.Site == nil || s.cfg.Site.Members == nil || s.membership != nil {
		return nil
	}
	memberCfg := s.cfg.Site.Members
	allowed, err := memberCfg.AllowedSet()
	if err != nil {
		return err
	}
	zone := ""
	if i := s.cfg.Settings.Rules.Zone; i >= 0 && i < len(s.cfg.Settings.ZoneNames) {
		zone = s.cfg.Settings.ZoneNames[i]
	}
	if s.closingMemberships.Load() > 0 {
		return errLeaving
	}
	m := &membership{datagrams: make(chan memberMessage, maxQueuedDatagrams), streams: make(chan memberMessage, maxQueuedStreamMessages)}
	settings := members.Settings{Name: s.cfg.Name, Zone: zone, Bind: memberCfg.Bind, Seeds: memberCfg.Seeds, Allowed: allowed,
		DialAddrs: memberCfg.AddressMap, FastDetection: memberCfg.FastTimers}
	if m.members, err = members.Start(settings, func() { s.queue.signal() }); err != nil {
		return err
	}
	if memberCfg.Control.IsValid() {
		if m.control, err = startControl(memberCfg.Control, s.queue, s.log, &s.lastControlConn); err != nil {
			m.members.Close()
			return err
		}
	}
	for _, queue := range []chan memberMessage{m.datagrams, m.streams} {
		m.senders.Go(func() {
			defer s.reportPanic("members")
			m.send(queue)
		})
	}
	s.membership = m
	return nil
}

// send sends queued messages until the queue is closed.
func (m *membership) send(queue <-chan memberMessage) {
	for message := range queue {
		if !m.leaving.Load() {
			_ = m.members.Send(message.to, message.channel, message.data) // a failed send is a lost message, as on the network
		}
	}
}

// joinMembersOrRetry joins the members. If that fails, for example because another process still uses the address, it
// schedules another attempt.
func (s *Server) joinMembersOrRetry() {
	s.rejoin = nil
	if err := s.joinMembers(); err != nil {
		s.log.Warn("members: not joined, to be tried again", zap.Error(err))
		s.rejoin = time.After(rejoinDelay)
	}
}

// leaveMembers starts to leave the members without blocking the reducer's goroutine; awaitLeave waits for the end.
func (s *Server) leaveMembers() {
	s.rejoin = nil
	m := s.membership
	if m == nil {
		return
	}
	s.membership = nil
	m.leaving.Store(true)
	close(m.datagrams)
	close(m.streams)
	s.closingMemberships.Add(1)
	s.leaveWorkers.Go(func() {
		defer s.reportPanic("members")
		defer s.closingMemberships.Add(-1)
		m.close()
	})
}

// close leaves the members and waits for all goroutines of the membership to end.
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

// awaitLeave waits until all memberships have ended, for leaveTimeout at most, or until the process is to have exited.
func (s *Server) awaitLeave() {
	if !returnsWithin(s.closeTimeout(leaveTimeout), s.leaveWorkers.Wait) {
		s.log.Warn("members: not left in time, the process ends without")
	}
}

// sendToMember queues a message to a member. The message is dropped if its queue is full.
func (s *Server) sendToMember(effect gateway.SendToMember) {
	m := s.membership
	if m == nil {
		return
	}
	queue := m.datagrams
	if len(effect.Data) > maxDatagramPayload {
		queue = m.streams
	}
	select {
	case queue <- memberMessage{effect.To, effect.Channel, bytes.Clone(effect.Data)}:
	default: // dropped, as it could be on the network
	}
}

var peerKinds = map[members.Kind]gateway.PeerKind{members.Joined: gateway.PeerJoined, members.Left: gateway.PeerLeft,
	members.Received: gateway.PeerMessage, members.NameConflict: gateway.PeerNameConflict}

// stepMemberEvents passes member events to the reducer, at most maxMemberEventsPerStep of them.
func (s *Server) stepMemberEvents(now rules.Time, reducer Reducer) {
	m := s.membership
	if m == nil {
		return
	}
	for range maxMemberEventsPerStep {
		event, ok := m.members.Next()
		if !ok {
			return
		}
		reducer.Step(now, gateway.PeerEvent{Kind: peerKinds[event.Kind], Name: event.Name, Zone: event.Zone, Channel: event.Channel, Data: event.Data, Text: event.Text})
	}
	s.queue.signal() // the next iteration handles the rest
}
