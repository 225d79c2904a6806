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
func (e *Server) openVoterLog() error {
	if e.cfg.Site == nil || e.cfg.Site.Directives == nil || e.cfg.Site.Members == nil || e.cfg.Site.Directives.LogFolder == "" ||
		!slices.Contains(e.cfg.Site.Directives.Voters, e.cfg.Name) {
		return nil
	}
	v, err := retryStart(e, "voter's log", func() (*voterWorker, error) {
		l, kept, err := e.platform.OpenVoterLog(e.cfg.Site.Directives.LogFolder)
		return &voterWorker{log: l, batches: make(chan directives.Batch, maxQueuedBatches), recovered: kept}, err
	})
	if err != nil {
		return err
	}
	kept := v.recovered
	v.wg.Go(func() {
		for b := range v.batches {
			e.queue.enqueue(gateway.VoterLogPersisted{Err: e.persistWithRetry(v.log, b)})
		}
	})
	e.voter = v
	e.log.Info("directives: voter's log opened", zap.Bool("made", kept.Initialized), zap.Int("entries", len(kept.Entries)), zap.Bool("snapshot", kept.Snapshot != nil))
	return nil
}

// voterRepairPause is how long a disk that failed is left alone.
const voterRepairPause = 100 * time.Millisecond

// persistWithRetry keeps a batch, and tries again where that fails, until it is kept or the process ends. Nothing is said
// that rests on it meanwhile: a voter whose disk fails is one that is slow.
func (e *Server) persistWithRetry(l VoterLog, b directives.Batch) error {
	for failed := false; ; failed = true {
		err := l.Persist(b)
		if err == nil {
			if failed {
				e.log.Info("directives: the voter's disk works again")
			}
			return nil
		}
		e.log.Warn("directives: the voter's disk fails", zap.Error(err))
		for {
			if !sleep(e.ctx, voterRepairPause) {
				return err
			}
			if err = l.Repair(); err == nil {
				break
			}
			e.log.Warn("directives: the voter's log can't be repaired yet", zap.Error(err))
		}
	}
}

func (e *Server) closeVoterLog() {
	v := e.voter
	if v == nil {
		return
	}
	e.cancel()
	close(v.batches)
	if !returnsWithin(diskCloseTimeout, func() { v.wg.Wait(); v.log.Close() }) {
		e.log.Warn("directives: the voter's disk hangs, left as it is")
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
func (e *Server) persist(b directives.Batch) {
	if e.voter == nil {
		e.queue.enqueue(gateway.VoterLogPersisted{Err: errNoVoterLog})
		return
	}
	select {
	case e.voter.batches <- b:
	default:
		e.queue.enqueue(gateway.VoterLogPersisted{Err: errNoVoterLog})
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
func (e *Server) joinMembers() error {
	if e.cfg.Site == nil || e.cfg.Site.Members == nil || e.membership != nil {
		return nil
	}
	set := e.cfg.Site.Members
	may, err := set.AllowedSet()
	if err != nil {
		return err
	}
	zone := ""
	if i := e.cfg.Settings.Rules.Zone; i >= 0 && i < len(e.cfg.Settings.ZoneNames) {
		zone = e.cfg.Settings.ZoneNames[i]
	}
	if e.leaving.Load() > 0 {
		return errLeaving // its address is still taken, and the reducer waits for nobody
	}
	t := &membership{small: make(chan memberMessage, maxQueuedMessages), large: make(chan memberMessage, maxQueuedLargeMessages), controlConns: map[gateway.ConnID]stdnet.Conn{}}
	poke := func() {
		select {
		case e.queue.ready <- struct{}{}:
		default:
		}
	}
	if t.members, err = members.Start(members.Settings{Name: e.cfg.Name, Zone: zone, Bind: set.Bind, Seeds: set.Seeds, Allowed: may, DialAddrs: set.AddressMap,
		FastDetection: set.FastTimers}, poke); err != nil {
		return err
	}
	if set.Control.IsValid() {
		if t.control, err = stdnet.Listen("tcp", set.Control.String()); err != nil {
			t.members.Close()
			return err
		}
		t.wg.Go(func() { e.serveControl(t) })
	}
	for _, ring := range []chan memberMessage{t.small, t.large} {
		t.wg.Go(func() {
			for x := range ring {
				if !t.leaving.Load() {
					_ = t.members.Send(x.to, x.channel, x.data) // whoever has gone hears nothing
				}
			}
		})
	}
	e.membership = t
	return nil
}

// rejoinPause is how long members are not looked for after that could not begin.
const rejoinPause = 250 * time.Millisecond

var errLeaving = errors.New("members: still being left")

// joinMembersOrRetry looks for members, and tries again later where that can't begin: its address may still be another process's.
func (e *Server) joinMembersOrRetry() {
	e.rejoin = nil
	if err := e.joinMembers(); err != nil {
		e.log.Warn("members: talk can't begin", zap.Error(err))
		e.rejoin = time.After(rejoinPause)
	}
}

// leaveTimeout is how long the end of the process waits until the members were left: some of them may not answer.
const leaveTimeout = time.Second

// awaitLeave waits until talks that are being ended have, for a bounded time.
func (e *Server) awaitLeave() {
	if !returnsWithin(leaveTimeout, e.leaveWorkers.Wait) {
		e.log.Warn("members: not left in time, the process ends without")
	}
}

// leaveMembers leaves the members. It takes a while, for which the reducer does not wait: hushing ends with it.
func (e *Server) leaveMembers() {
	t := e.membership
	if t == nil {
		return
	}
	e.membership = nil
	t.leaving.Store(true)
	close(t.small)
	close(t.large)
	e.leaving.Add(1)
	e.leaveWorkers.Go(func() {
		defer e.leaving.Add(-1)
		t.close()
	})
}

func (t *membership) close() {
	t.mu.Lock()
	t.closed = true
	if t.control != nil {
		t.control.Close()
	}
	for _, c := range t.controlConns {
		c.Close()
	}
	t.mu.Unlock()
	t.members.Close()
	t.wg.Wait()
}

// sendToMember hands a datagram to the goroutine that sends.
func (e *Server) sendToMember(f gateway.SendToMember) {
	t := e.membership
	if t == nil {
		return
	}
	ring := t.small
	if len(f.Data) > largeMessageSize {
		ring = t.large
	}
	select {
	case ring <- memberMessage{f.To, f.Channel, bytes.Clone(f.Data)}:
	default: // it is lost, as on the network
	}
}

var peerKinds = map[members.Kind]gateway.PeerKind{members.Joined: gateway.PeerJoined, members.Left: gateway.PeerLeft,
	members.Received: gateway.PeerMessage, members.NameConflict: gateway.PeerNameConflict}

// stepMemberEvents hands what has happened among the members to the reducer, a bounded part in each turn.
func (e *Server) stepMemberEvents(now rules.Time, g Reducer) {
	t := e.membership
	if t == nil {
		return
	}
	for range maxMemberEventsPerStep {
		x, ok := t.members.Next()
		if !ok {
			return
		}
		g.Step(now, gateway.PeerEvent{Kind: peerKinds[x.Kind], Name: x.Name, Zone: x.Zone, Channel: x.Channel, Data: x.Data, Text: x.Text})
	}
	select { // the rest has its turn
	case e.queue.ready <- struct{}{}:
	default:
	}
}

// ---- operators' commands

// serveControl takes questions, a line each, and gives each to the reducer.
func (e *Server) serveControl(t *membership) {
	for {
		c, err := t.control.Accept()
		if err != nil {
			t.mu.Lock()
			closed := t.closed
			t.mu.Unlock()
			if closed {
				return
			}
			time.Sleep(10 * time.Millisecond)
			continue
		}
		t.mu.Lock()
		if t.closed || len(t.controlConns) >= maxControlConns {
			t.mu.Unlock()
			c.Close()
			continue
		}
		t.lastControlConn++
		id := t.lastControlConn
		t.controlConns[id] = c
		t.mu.Unlock()
		t.wg.Go(func() {
			_ = c.SetDeadline(time.Now().Add(controlTimeout))
			in := bufio.NewScanner(c)
			in.Buffer(make([]byte, 0, 512), maxControlRequestSize)
			if in.Scan() {
				e.queue.enqueueBytes(in.Bytes(), func(data []byte) gateway.Event { return gateway.ControlRequest{Conn: id, Data: data} })
				return // answer closes it
			}
			t.closeControlConn(id)
		})
	}
}

func (t *membership) closeControlConn(id gateway.ConnID) stdnet.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.controlConns[id]
	delete(t.controlConns, id)
	if c != nil {
		c.Close()
	}
	return c
}

// sendControlResponse writes what the reducer says off its goroutine, and closes the connection.
func (e *Server) sendControlResponse(f gateway.ControlResponse) {
	t := e.membership
	if t == nil {
		return
	}
	t.mu.Lock()
	c := t.controlConns[f.Conn]
	t.mu.Unlock()
	if c == nil {
		return
	}
	line := bytes.Clone(f.Data)
	t.wg.Go(func() {
		if _, err := c.Write(line); err != nil {
			e.log.Debug("control: answer not written", zap.Error(err))
		}
		t.closeControlConn(f.Conn)
	})
}
