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

// talk is the way to other gateways: who is there, what is said, and the listener for operators' commands. What is sent goes through a
// ring to a goroutine of its own; when it is full, it is lost.
type talk struct {
	members *members.Members
	out     chan telling // datagrams
	large   chan telling // what takes a connection: it may stand still, and must not hold the others up
	ending  atomic.Bool  // what still waits is not sent any more
	wg      sync.WaitGroup
	control stdnet.Listener // nil: no commands are answered
	mu      sync.Mutex
	asking  map[gateway.ConnID]stdnet.Conn
	last    gateway.ConnID
	closed  bool
}

// votes is the disk of a voter on directives, and the goroutine that writes to it.
type votes struct {
	log  VoterLog
	in   chan directives.Batch
	wg   sync.WaitGroup
	kept directives.Kept // at the start, until the reducer has it
}

// openVotes reads the voter's log, if we are one, before anything else: another process that uses its folder ends this one.
func (e *Edge) openVotes() error {
	if e.cfg.Site == nil || e.cfg.Site.Directives == nil || e.cfg.Site.Members == nil || e.cfg.Site.Directives.Folder == "" ||
		!slices.Contains(e.cfg.Site.Directives.Voters, e.cfg.Name) {
		return nil
	}
	v, err := retry(e, "voter's log", func() (*votes, error) {
		l, kept, err := e.platform.OpenVotes(e.cfg.Site.Directives.Folder)
		return &votes{log: l, in: make(chan directives.Batch, keeps), kept: kept}, err
	})
	if err != nil {
		return err
	}
	kept := v.kept
	v.wg.Go(func() {
		for b := range v.in {
			e.box.put(gateway.Event{Kind: gateway.KeptIt, Err: e.keepAgain(v.log, b)})
		}
	})
	e.votes = v
	e.log.Info("directives: voter's log opened", zap.Bool("made", kept.Born), zap.Int("entries", len(kept.Entries)), zap.Bool("snapshot", kept.Snap != nil))
	return nil
}

// keepPause is how long a disk that failed is left alone.
const keepPause = 100 * time.Millisecond

// keepAgain keeps a batch, and tries again where that fails, until it is kept or the process ends. Nothing is said
// that rests on it meanwhile: a voter whose disk fails is one that is slow.
func (e *Edge) keepAgain(l VoterLog, b directives.Batch) error {
	for failed := false; ; failed = true {
		err := l.Keep(b)
		if err == nil {
			if failed {
				e.log.Info("directives: the voter's disk works again")
			}
			return nil
		}
		e.log.Warn("directives: the voter's disk fails", zap.Error(err))
		for {
			if !sleep(e.over, keepPause) {
				return err
			}
			if err = l.Repair(); err == nil {
				break
			}
			e.log.Warn("directives: the voter's log can't be repaired yet", zap.Error(err))
		}
	}
}

func (e *Edge) closeVotes() {
	v := e.votes
	if v == nil {
		return
	}
	e.finish()
	close(v.in)
	if !within(diskCloses, func() { v.wg.Wait(); v.log.Close() }) {
		e.log.Warn("directives: the voter's disk hangs, left as it is")
	}
}

// diskCloses is how long the end of the process waits for a disk: what was acknowledged is on it.
const diskCloses = time.Second

// within answers whether a call has come back in time. It goes on by itself if not.
func within(d time.Duration, call func()) bool {
	done := make(chan struct{})
	go func() { defer close(done); call() }()
	select {
	case <-done:
		return true
	case <-time.After(d):
		return false
	}
}

// keep hands a batch to the disk's goroutine. Few are ever on their way: one, and a snapshot.
func (e *Edge) keep(b directives.Batch) {
	if e.votes == nil {
		e.box.put(gateway.Event{Kind: gateway.KeptIt, Err: errNoFolder})
		return
	}
	select {
	case e.votes.in <- b:
	default:
		e.box.put(gateway.Event{Kind: gateway.KeptIt, Err: errNoFolder})
	}
}

var errNoFolder = errors.New("directives: no disk to keep a vote on")

type telling struct {
	to      string
	channel byte
	data    []byte
}

const (
	tellings     = 512  // that wait to be sent
	largeOnes    = 16   // of what takes a connection
	largeFrom    = 1200 // bytes
	hearInTurn   = 256  // events of members in one turn of the reducer
	askers       = 8    // operators' commands at a time
	askWithin    = 6 * time.Second
	keeps        = 64       // batches that wait for the voter's disk
	questionMost = 64 << 10 // bytes of a question
)

// openTalk begins to look for members, if the operator's file says so.
func (e *Edge) openTalk() error {
	if e.cfg.Site == nil || e.cfg.Site.Members == nil || e.talk != nil {
		return nil
	}
	set := e.cfg.Site.Members
	may, err := set.Set()
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
	t := &talk{out: make(chan telling, tellings), large: make(chan telling, largeOnes), asking: map[gateway.ConnID]stdnet.Conn{}}
	poke := func() {
		select {
		case e.box.ready <- struct{}{}:
		default:
		}
	}
	if t.members, err = members.Start(members.Settings{Name: e.cfg.Name, Zone: zone, Bind: set.Bind, Seeds: set.Seeds, May: may, Via: set.Via,
		Fast: set.Fast}, poke); err != nil {
		return err
	}
	if set.Control.IsValid() {
		if t.control, err = stdnet.Listen("tcp", set.Control.String()); err != nil {
			t.members.Close()
			return err
		}
		t.wg.Go(func() { e.serveControl(t) })
	}
	for _, ring := range []chan telling{t.out, t.large} {
		t.wg.Go(func() {
			for x := range ring {
				if !t.ending.Load() {
					_ = t.members.Send(x.to, x.channel, x.data) // whoever has gone hears nothing
				}
			}
		})
	}
	e.talk = t
	return nil
}

// talkPause is how long members are not looked for after that could not begin.
const talkPause = 250 * time.Millisecond

var errLeaving = errors.New("members: still being left")

// beginTalk looks for members, and tries again later where that can't begin: its address may still be another process's.
func (e *Edge) beginTalk() {
	e.talkAgain = nil
	if err := e.openTalk(); err != nil {
		e.log.Warn("members: talk can't begin", zap.Error(err))
		e.talkAgain = time.After(talkPause)
	}
}

// talkCloses is how long the end of the process waits until the members were left: some of them may not answer.
const talkCloses = time.Second

// awaitTalk waits until talks that are being ended have, for a bounded time.
func (e *Edge) awaitTalk() {
	if !within(talkCloses, e.hushing.Wait) {
		e.log.Warn("members: not left in time, the process ends without")
	}
}

// closeTalk leaves the members. It takes a while, for which the reducer does not wait: hushing ends with it.
func (e *Edge) closeTalk() {
	t := e.talk
	if t == nil {
		return
	}
	e.talk = nil
	t.ending.Store(true)
	close(t.out)
	close(t.large)
	e.leaving.Add(1)
	e.hushing.Go(func() {
		defer e.leaving.Add(-1)
		t.close()
	})
}

func (t *talk) close() {
	t.mu.Lock()
	t.closed = true
	if t.control != nil {
		t.control.Close()
	}
	for _, c := range t.asking {
		c.Close()
	}
	t.mu.Unlock()
	t.members.Close()
	t.wg.Wait()
}

// tellMember hands a datagram to the goroutine that sends.
func (e *Edge) tellMember(f *gateway.Effect) {
	t := e.talk
	if t == nil {
		return
	}
	ring := t.out
	if len(f.Data) > largeFrom {
		ring = t.large
	}
	select {
	case ring <- telling{f.To, f.Channel, bytes.Clone(f.Data)}:
	default: // it is lost, as on the network
	}
}

var peerKinds = map[members.Kind]gateway.PeerKind{members.Joined: gateway.PeerJoined, members.Left: gateway.PeerLeft,
	members.Came: gateway.PeerCame, members.Namesake: gateway.PeerNamesake}

// hearMembers hands what has happened among the members to the reducer, a bounded part in each turn.
func (e *Edge) hearMembers(now rules.Time, g Reducer) {
	t := e.talk
	if t == nil {
		return
	}
	for range hearInTurn {
		x, ok := t.members.Take()
		if !ok {
			return
		}
		g.Step(now, gateway.Event{Kind: gateway.Peer, Data: x.Data,
			Peer: &gateway.PeerEvent{Kind: peerKinds[x.Kind], Name: x.Name, Zone: x.Zone, Channel: x.Channel, Text: x.Text}})
	}
	select { // the rest has its turn
	case e.box.ready <- struct{}{}:
	default:
	}
}

// ---- operators' commands

// serveControl takes questions, a line each, and gives each to the reducer.
func (e *Edge) serveControl(t *talk) {
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
		if t.closed || len(t.asking) >= askers {
			t.mu.Unlock()
			c.Close()
			continue
		}
		t.last++
		id := t.last
		t.asking[id] = c
		t.mu.Unlock()
		t.wg.Go(func() {
			_ = c.SetDeadline(time.Now().Add(askWithin))
			in := bufio.NewScanner(c)
			in.Buffer(make([]byte, 0, 512), questionMost)
			if in.Scan() {
				e.box.put(gateway.Event{Kind: gateway.Inquiry, Conn: id, Data: bytes.Clone(in.Bytes())})
				return // answer closes it
			}
			t.drop(id)
		})
	}
}

func (t *talk) drop(id gateway.ConnID) stdnet.Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.asking[id]
	delete(t.asking, id)
	if c != nil {
		c.Close()
	}
	return c
}

// answer writes what the reducer says off its goroutine, and closes the connection.
func (e *Edge) answer(f *gateway.Effect) {
	t := e.talk
	if t == nil {
		return
	}
	t.mu.Lock()
	c := t.asking[f.Conn]
	t.mu.Unlock()
	if c == nil {
		return
	}
	line := bytes.Clone(f.Data)
	t.wg.Go(func() {
		if _, err := c.Write(line); err != nil {
			e.log.Debug("control: answer not written", zap.Error(err))
		}
		t.drop(f.Conn)
	})
}
