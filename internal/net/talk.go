package net

import (
	"bufio"
	"bytes"
	stdnet "net"
	"sync"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
	"foxlane/internal/members"
	"foxlane/rules"
)

// talk is the way to other gateways: who is there, what is said, and the listener for operators' commands. What is sent goes through a
// ring to a goroutine of its own; when it is full, it is lost.
type talk struct {
	members *members.Members
	out     chan telling
	lost    int // what found the ring full, since the last word of it
	wg      sync.WaitGroup
	control stdnet.Listener // nil: no commands are answered
	mu      sync.Mutex
	asking  map[gateway.ConnID]stdnet.Conn
	last    gateway.ConnID
	closed  bool
}

type telling struct {
	to      string
	channel byte
	data    []byte
}

const (
	tellings     = 512 // that wait to be sent
	hearInTurn   = 256 // events of members in one turn of the reducer
	askers       = 8   // operators' commands at a time
	askWithin    = 2 * time.Second
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
	t := &talk{out: make(chan telling, tellings), asking: map[gateway.ConnID]stdnet.Conn{}}
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
	t.wg.Go(func() {
		for x := range t.out {
			_ = t.members.Send(x.to, x.channel, x.data) // whoever has gone hears nothing
		}
	})
	e.talk = t
	return nil
}

func (e *Edge) closeTalk() {
	t := e.talk
	if t == nil {
		return
	}
	e.talk = nil
	close(t.out)
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
	select {
	case t.out <- telling{f.To, f.Channel, bytes.Clone(f.Data)}:
	default:
		t.lost++
	}
}

var peerKinds = map[members.Kind]gateway.PeerKind{members.Joined: gateway.PeerJoined, members.Left: gateway.PeerLeft,
	members.Came: gateway.PeerCame, members.Namesake: gateway.PeerNamesake}

// hearMembers hands what has happened among the members to the reducer, a bounded part in each turn.
func (e *Edge) hearMembers(now rules.Time, g *gateway.Gateway) {
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
