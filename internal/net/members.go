package net

import (
	"bufio"
	"bytes"
	"errors"
	stdnet "net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/directives"
	"foxlane/internal/gateway"
	"foxlane/internal/members"
	"foxlane/rules"
)

// membership is the way to other gateways: who is there, what is said, and the listener for operators' commands. What is sent goes through a
// ring to a goroutine of its own; when it is full, it is lost.
type membership struct {
	members         *members.Membership
	small           chan memberMessage // datagrams
	large           chan memberMessage // what takes a connection: it may stand still, and must not hold the others up
	leaving         atomic.Bool        // what still waits is not sent any more
	wg              sync.WaitGroup
	control         stdnet.Listener // nil: no commands are answered
	mu              sync.Mutex
	controlConns    map[gateway.ConnID]stdnet.Conn
	lastControlConn gateway.ConnID
	closed          bool
}

// voterWorker is the disk of a voter on directives, and the goroutine that writes to it.
type voterWorker struct {
	log       VoterLog
	batches   chan directives.Batch
	wg        sync.WaitGroup
	recovered directives.PersistedState // at the start, until the reducer has it
}

// openVoterLog reads the voter's log, if we are one, before anything else: another process that uses its folder ends this one.
func (s *Server) openVoterLog() error {
	if s.cfg.Site == nil || s.cfg.Site.Directives == nil || s.cfg.Site.Members == nil || s.cfg.Site.Directives.LogFolder == "" ||
		!slices.Contains(s.cfg.Site.Directives.Voters, s.cfg.Name) {
		return nil
	}
	v, err := retryStart(s, "voter's log", func() (*voterWorker, error) {
		l, kept, err := s.platform.OpenVoterLog(s.cfg.Site.Directives.LogFolder)
		return &voterWorker{log: l, batches: make(chan directives.Batch, maxQueuedBatches), recovered: kept}, err
	})
	if err != nil {
		return err
	}
	kept := v.recovered
	v.wg.Go(func() {
		for b := range v.batches {
			s.queue.enqueue(gateway.VoterLogPersisted{Err: s.persistWithRetry(v.log, b)})
		}
	})
	s.voter = v
	s.log.Info("directives: voter's log opened", zap.Bool("made", kept.Initialized), zap.Int("entries", len(kept.Entries)), zap.Bool("snapshot", kept.Snapshot != nil))
	return nil
}

// voterRepairPause is how long a disk that failed is left alone.
const voterRepairPause = 100 * time.Millisecond

// persistWithRetry keeps a batch, and tries again where that fails, until it is kept or the process ends. Nothing is said
// that rests on it meanwhile: a voter whose disk fails is one that is slow.
func (s *Server) persistWithRetry(l VoterLog, b directives.Batch) error {
	for failed := false; ; failed = true {
		err := l.Persist(b)
		if err == nil {
			if failed {
				s.log.Info("directives: the voter's disk works again")
			}
			return nil
		}
		s.log.Warn("directives: the voter's disk fails", zap.Error(err))
		for {
			if !sleep(s.ctx, voterRepairPause) {
				return err
			}
			if err = l.Repair(); err == nil {
				break
			}
			s.log.Warn("directives: the voter's log can't be repaired yet", zap.Error(err))
		}
	}
}

func (s *Server) closeVoterLog() {
	v := s.voter
	if v == nil {
		return
	}
	s.cancel()
	close(v.batches)
	if !returnsWithin(diskCloseTimeout, func() { v.wg.Wait(); v.log.Close() }) {
		s.log.Warn("directives: the voter's disk hangs, left as it is")
	}
}

// diskCloseTimeout is how long the end of the process waits for a disk: what was acknowledged is on it.
const diskCloseTimeout = time.Second

// returnsWithin answers whether a call has come back in time. It goes on by itself if not.
func returnsWithin(d time.Duration, call func()) bool {
	done := make(chan struct{})
	go func() { defer close(done); call() }()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// persist hands a batch to the disk's goroutine. Few are ever on their way: one, and a snapshot.
func (s *Server) persist(b directives.Batch) {
	if s.voter == nil {
		s.queue.enqueue(gateway.VoterLogPersisted{Err: errNoVoterLog})
		return
	}
	select {
	case s.voter.batches <- b:
	default:
		s.queue.enqueue(gateway.VoterLogPersisted{Err: errNoVoterLog})
	}
}

var errNoVoterLog = errors.New("directives: no disk to keep a vote on")

type memberMessage struct {
	to      string
	channel byte
	data    []byte
}

const (
	maxQueuedMessages      = 512  // that wait to be sent
	maxQueuedLargeMessages = 16   // of what takes a connection
	largeMessageSize       = 1200 // bytes
	maxMemberEventsPerStep = 256  // events of members in one turn of the reducer
	maxControlConns        = 8    // operators' commands at a time
	controlTimeout         = 6 * time.Second
	maxQueuedBatches       = 64       // batches that wait for the voter's disk
	maxControlRequestSize  = 64 << 10 // bytes of a question
)

// joinMembers begins to look for members, if the operator's file says so.
func (s *Server) joinMembers() error {
	if s.cfg.Site == nil || s.cfg.Site.Members == nil || s.membership != nil {
		return nil
	}
	set := s.cfg.Site.Members
	may, err := set.AllowedSet()
	if err != nil {
		return err
	}
	zone := ""
	if i := s.cfg.Settings.Rules.Zone; i >= 0 && i < len(s.cfg.Settings.ZoneNames) {
		zone = s.cfg.Settings.ZoneNames[i]
	}
	if s.leaving.Load() > 0 {
		return errLeaving // its address is still taken, and the reducer waits for nobody
	}
	m := &membership{small: make(chan memberMessage, maxQueuedMessages), large: make(chan memberMessage, maxQueuedLargeMessages), controlConns: map[gateway.ConnID]stdnet.Conn{}}
	poke := func() {
		select {
		case s.queue.ready <- struct{}{}:
		default:
		}
	}
	if m.members, err = members.Start(members.Settings{Name: s.cfg.Name, Zone: zone, Bind: set.Bind, Seeds: set.Seeds, Allowed: may, DialAddrs: set.AddressMap,
		FastDetection: set.FastTimers}, poke); err != nil {
		return err
	}
	if set.Control.IsValid() {
		if m.control, err = stdnet.Listen("tcp", set.Control.String()); err != nil {
			m.members.Close()
			return err
		}
		m.wg.Go(func() { s.serveControl(m) })
	}
	for _, ring := range []chan memberMessage{m.small, m.large} {
		m.wg.Go(func() {
			for x := range ring {
				if !m.leaving.Load() {
					_ = m.members.Send(x.to, x.channel, x.data) // whoever has gone hears nothing
				}
			}
		})
	}
	s.membership = m
	return nil
}

// rejoinPause is how long members are not looked for after that could not begin.
const rejoinPause = 250 * time.Millisecond

var errLeaving = errors.New("members: still being left")

// joinMembersOrRetry looks for members, and tries again later where that can't begin: its address may still be another process's.
func (s *Server) joinMembersOrRetry() {
	s.rejoin = nil
	if err := s.joinMembers(); err != nil {
		s.log.Warn("members: talk can't begin", zap.Error(err))
		s.rejoin = time.After(rejoinPause)
	}
}

// leaveTimeout is how long the end of the process waits until the members were left: some of them may not answer.
const leaveTimeout = time.Second

// awaitLeave waits until talks that are being ended have, for a bounded time.
func (s *Server) awaitLeave() {
	if !returnsWithin(leaveTimeout, s.leaveWorkers.Wait) {
		s.log.Warn("members: not left in time, the process ends without")
	}
}

// leaveMembers leaves the members. It takes a while, for which the reducer does not wait: hushing ends with it.
func (s *Server) leaveMembers() {
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
	m.mu.Lock()
	m.closed = true
	if m.control != nil {
		m.control.Close()
	}
	for _, c := range m.controlConns {
		c.Close()
	}
	m.mu.Unlock()
	m.members.Close()
	m.wg.Wait()
}

// sendToMember hands a datagram to the goroutine that sends.
func (s *Server) sendToMember(f gateway.SendToMember) {
	m := s.membership
	if m == nil {
		return
	}
	ring := m.small
	if len(f.Data) > largeMessageSize {
		ring = m.large
	}
	select {
	case ring <- memberMessage{f.To, f.Channel, bytes.Clone(f.Data)}:
	default: // it is lost, as on the network
	}
}

var peerKinds = map[members.Kind]gateway.PeerKind{members.Joined: gateway.PeerJoined, members.Left: gateway.PeerLeft,
	members.Received: gateway.PeerMessage, members.NameConflict: gateway.PeerNameConflict}

// stepMemberEvents hands what has happened among the members to the reducer, a bounded part in each turn.
func (s *Server) stepMemberEvents(now rules.Time, g Reducer) {
	m := s.membership
	if m == nil {
		return
	}
	for range maxMemberEventsPerStep {
		x, ok := m.members.Next()
		if !ok {
			return
		}
		g.Step(now, gateway.PeerEvent{Kind: peerKinds[x.Kind], Name: x.Name, Zone: x.Zone, Channel: x.Channel, Data: x.Data, Text: x.Text})
	}
	select { // the rest has its turn
	case s.queue.ready <- struct{}{}:
	default:
	}
}

// ---- operators' commands

// serveControl takes questions, a line each, and gives each to the reducer.
func (s *Server) serveControl(m *membership) {
	for {
		c, err := m.control.Accept()
		if err != nil {
			m.mu.Lock()
			closed := m.closed
			m.mu.Unlock()
			if closed {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		m.mu.Lock()
		if m.closed || len(m.controlConns) >= maxControlConns {
			m.mu.Unlock()
			c.Close()
			continue
		}
		m.lastControlConn++
		id := m.lastControlConn
		m.controlConns[id] = c
		m.mu.Unlock()
		m.wg.Go(func() {
			_ = c.SetDeadline(time.Now().Add(controlTimeout))
			in := bufio.NewScanner(c)
			in.Buffer(make([]byte, 0, 512), maxControlRequestSize)
			if in.Scan() {
				s.queue.enqueueBytes(in.Bytes(), func(data []byte) gateway.Event { return gateway.ControlRequest{Conn: id, Data: data} })
				return // answer closes it
			}
			m.closeControlConn(id)
		})
	}
}

func (m *membership) closeControlConn(id gateway.ConnID) stdnet.Conn {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.controlConns[id]
	delete(m.controlConns, id)
	if c != nil {
		c.Close()
	}
	return c
}

// sendControlResponse writes what the reducer says off its goroutine, and closes the connection.
func (s *Server) sendControlResponse(f gateway.ControlResponse) {
	m := s.membership
	if m == nil {
		return
	}
	m.mu.Lock()
	c := m.controlConns[f.Conn]
	m.mu.Unlock()
	if c == nil {
		return
	}
	line := bytes.Clone(f.Data)
	m.wg.Go(func() {
		if _, err := c.Write(line); err != nil {
			s.log.Debug("control: answer not written", zap.Error(err))
		}
		m.closeControlConn(f.Conn)
	})
}
