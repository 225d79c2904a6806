// Package net owns the sockets, the clock and the log of a gateway: it turns
// what happens there into events for the reducer and carries out the effects
// that the reducer asks for. It must never decide anything, look into the
// bytes it carries, or keep the reducer waiting.
package net

import (
	"context"
	"crypto/rand"
	"errors"
	stdnet "net"
	"net/netip"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/rules"
)

const (
	readBuffer  = 16 << 10
	readsInTurn = 16 // of one connection before the next has its turn
)

// mailbox holds what has happened until the reducer takes it. Its bytes lie in
// an arena that is used again once the reducer is done with them.
type mailbox struct {
	mu     sync.Mutex
	room   sync.Cond
	events []gateway.Event
	arena  []byte
	bytes  int
	most   int // bytes that wait before reading stops
	keep   int // room of an arena that is used again
	ready  chan struct{}
	closed bool
}

func newMailbox(l config.Limits) *mailbox {
	m := &mailbox{ready: make(chan struct{}, 1), most: l.Mailbox, keep: l.Arena}
	m.room.L = &m.mu
	return m
}

// put adds an event with a copy of its bytes. Only those that carry bytes wait for room.
func (m *mailbox) put(e gateway.Event) {
	m.mu.Lock()
	for len(e.Data) > 0 && m.bytes > m.most && !m.closed {
		m.room.Wait()
	}
	if len(e.Data) > 0 {
		from := len(m.arena)
		m.arena = append(m.arena, e.Data...)
		m.bytes += len(e.Data)
		e.Data = m.arena[from:len(m.arena):len(m.arena)]
	}
	m.events = append(m.events, e)
	m.mu.Unlock()
	select {
	case m.ready <- struct{}{}:
		runtime.Gosched() // the reducer may go at once, not when the poller's next wait has lost its processor
	default:
	}
}

// take swaps what has come for the buffers of the last turn.
func (m *mailbox) take(events []gateway.Event, arena []byte) ([]gateway.Event, []byte) {
	clear(events)
	if cap(arena) > m.keep {
		arena = nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	outEvents, outArena := m.events, m.arena
	m.events, m.arena, m.bytes = events[:0], arena[:0], 0
	m.room.Broadcast()
	return outEvents, outArena
}

func (m *mailbox) close() {
	m.mu.Lock()
	m.closed = true
	m.room.Broadcast()
	m.mu.Unlock()
}

// conn is a connection with what the edge remembers of it.
type conn struct {
	id      gateway.ConnID
	nb      *nbio.Conn
	pending atomic.Int64 // bytes written and not yet taken by the system
	most    int64        // bytes that may be pending
	closing atomic.Bool  // to be closed once they are
	watched atomic.Bool  // the reducer is to be told once they are
	client  bool         // accepted, not dialled
	taken   atomic.Int64 // bytes that the system has taken

	// Under the edge's lock.
	queued int   // times that bytes of it wait in the mailbox
	hungUp bool  // our half is closed: what comes is read, and counts no more
	err    error // why we have cut it; nil: we have not
}

var errNotRead = errors.New("the other side does not read")

// Edge is the outside of one gateway.
type Edge struct {
	cfg    config.Config // the reducer's goroutine has it
	lim    config.Limits
	log    *zap.Logger
	box    *mailbox
	engine *nbio.Engine
	udp    *stdnet.UDPConn // to the name service; the reducer's goroutine has it
	start  time.Time
	unix   int64 // microseconds at start

	mu       sync.Mutex
	fewer    sync.Cond // clients, or the end
	clients  int       // connections that were accepted and are not closed
	conns    map[gateway.ConnID]*conn
	byNB     map[*nbio.Conn]*conn
	accepted gateway.ConnID
	dialling map[gateway.ConnID]context.CancelFunc
	dials    sync.WaitGroup
	listener stdnet.Listener
	lingers  []*conn // hung up, oldest first
	null     *os.File
	plugs    []int // numbers of descriptors that are held, oldest first
	ending   atomic.Bool
	readers  sync.WaitGroup  // of UDP
	former   *stdnet.UDPConn // asked before this one: late answers may still come to it; nil: none
	reloads  sync.WaitGroup
	shelf    *shelf         // nil: no spool is on a disk
	talk     *talk          // nil: other gateways are not talked to
	hushing  sync.WaitGroup // talk that is being ended
	votes    *votes         // nil: this gateway does not vote on directives
}

// Signals are those that a process gets, each kind on a channel of its own: none may be lost behind another.
type Signals struct {
	Reload <-chan os.Signal // the configuration is to be read again; several that come meanwhile count as one
	End    <-chan os.Signal
}

// Run serves until the process is asked to end by a signal, and all is answered.
func Run(cfg config.Config, log *zap.Logger, signals Signals) error {
	e := newEdge(cfg, log)
	if _, err := rand.Read(e.cfg.Entropy[:]); err != nil {
		return err
	}
	if err := e.openShelf(); err != nil {
		return err
	}
	defer e.closeShelf()
	if err := e.open(); err != nil {
		return err
	}
	defer e.close()
	if err := e.openVotes(); err != nil {
		return err
	}
	defer e.closeVotes()
	if err := e.openTalk(); err != nil {
		return err
	}
	defer e.hushing.Wait()
	defer e.closeTalk()
	log.Info("serving", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen),
		zap.Int("engines", len(cfg.Known.Engines)))
	e.loop(signals)
	return nil
}

func newEdge(cfg config.Config, log *zap.Logger) *Edge {
	e := &Edge{cfg: cfg, lim: cfg.Limits, log: log, box: newMailbox(cfg.Limits), conns: map[gateway.ConnID]*conn{},
		byNB: map[*nbio.Conn]*conn{}, dialling: map[gateway.ConnID]context.CancelFunc{}, start: time.Now()}
	e.unix = e.start.UnixMicro()
	e.fewer.L = &e.mu
	return e
}

// now is the Unix time in microseconds, carried on by the monotonic clock.
func (e *Edge) now() rules.Time {
	return rules.Time(e.unix + time.Since(e.start).Microseconds())
}

func (e *Edge) open() error {
	logging.SetLogger(quiet{})
	nbio.MaxOpenFiles = max(e.lim.Sockets, 4096) // numbers of descriptors that its table holds
	null, err := os.Open(os.DevNull)
	if err != nil {
		return err
	}
	if err := e.openUDP(e.cfg.DNS); err != nil {
		null.Close()
		return err
	}
	e.null = null
	e.engine = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{e.cfg.Listen.String()}, NPoller: 1, ReadBufferSize: readBuffer,
		MaxConnReadTimesPerEventLoop: readsInTurn,
		Listen: func(network, addr string) (ln stdnet.Listener, err error) {
			ln, err = stdnet.Listen(network, addr)
			e.listener = ln
			return ln, err
		},
	})
	e.engine.OnOpen(e.onOpen)
	e.engine.OnData(func(nb *nbio.Conn, data []byte) {
		if c := e.reads(nb); c != nil {
			e.box.put(gateway.Event{Kind: gateway.Data, Conn: c.id, Data: data})
		}
	})
	e.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c := e.of(nb); c != nil {
			c.taken.Add(int64(n))
			if c.pending.Add(-int64(n)) <= 0 {
				if c.closing.Load() {
					go e.hangUp(c) // this runs under the connection's lock
				}
				e.tellDrained(c)
			}
		}
	})
	e.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c := e.of(nb); c != nil {
			if ours := e.forget(c); ours != nil {
				err = ours
			}
			e.box.put(gateway.Event{Kind: gateway.Closed, Conn: c.id, Err: err, Taken: c.taken.Load()})
		}
	})
	e.engine.OnAcceptError(func(err error) {
		if !e.ending.Load() {
			e.log.Warn("accept failed", zap.Error(err))
		}
		time.Sleep(10 * time.Millisecond) // descriptors ran out: they come back when something closes; or nothing more is accepted
	})
	if err := e.engine.Start(); err != nil {
		e.closeUDP()
		e.readers.Wait()
		null.Close()
		return err
	}
	return nil
}

// openUDP asks a name service from a new socket. Only what comes from there is read from then on; where it is the
// one that was asked before, what it still says to the last socket counts too. Where descriptors have run out, those
// of the old sockets serve.
func (e *Edge) openUDP(addr netip.AddrPort) error {
	dial := func() (*stdnet.UDPConn, error) {
		return stdnet.DialUDP("udp", nil, stdnet.UDPAddrFromAddrPort(addr))
	}
	udp, err := dial()
	if err != nil && e.udp != nil {
		e.closeUDP()
		udp, err = dial()
	}
	if err != nil {
		return err
	}
	if e.former != nil {
		e.former.Close()
		e.former = nil
	}
	if old := e.udp; old != nil && old.RemoteAddr().String() == udp.RemoteAddr().String() {
		e.former = old
	} else if old != nil {
		old.Close()
	}
	e.udp = udp
	e.readers.Add(1)
	go e.readUDP(udp)
	return nil
}

func (e *Edge) closeUDP() {
	for _, udp := range []*stdnet.UDPConn{e.udp, e.former} {
		if udp != nil {
			udp.Close()
		}
	}
	e.udp, e.former = nil, nil
}

func (e *Edge) close() {
	e.mu.Lock()
	e.ending.Store(true)
	e.fewer.Broadcast()
	for _, giveUp := range e.dialling {
		giveUp()
	}
	e.mu.Unlock()
	e.box.close()
	e.closeUDP()
	e.readers.Wait()
	e.reloads.Wait()
	e.dials.Wait()
	e.engine.Stop()
	e.mu.Lock()
	for _, fd := range e.plugs {
		syscall.Close(fd)
	}
	e.plugs = nil
	e.mu.Unlock()
	e.null.Close()
}

// forget drops what is remembered of a connection. It answers why we have cut it, if we have.
func (e *Edge) forget(c *conn) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, c.id)
	delete(e.byNB, c.nb)
	if c.hungUp {
		e.lingers = slices.DeleteFunc(e.lingers, func(o *conn) bool { return o == c })
	}
	if c.client {
		e.clients--
		e.fewer.Signal()
	}
	return c.err
}

func (e *Edge) get(id gateway.ConnID) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conns[id]
}

// of finds what is remembered of a connection of nbio. Its own place for that
// is not synchronised between its goroutines.
func (e *Edge) of(nb *nbio.Conn) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.byNB[nb]
}

// reads finds the connection on which bytes have come that count: those of one that was hung up don't.
func (e *Edge) reads(nb *nbio.Conn) *conn {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.byNB[nb]
	if c == nil || c.hungUp {
		return nil
	}
	c.queued++
	return c
}

// onOpen takes in a connection that a client has opened, or that a dial has. Where clients come
// faster than the reducer can close others for them, the accepting goroutine waits here: descriptors
// must not run out, or dials to engines fail with them.
func (e *Edge) onOpen(nb *nbio.Conn) {
	e.mu.Lock()
	c, kind := e.byNB[nb], gateway.Connected
	if c == nil {
		for e.clients >= e.lim.Clients+e.lim.AcceptAhead && !e.ending.Load() {
			e.fewer.Wait()
		}
		e.accepted++
		e.clients++
		c, kind = &conn{id: e.accepted, nb: nb, most: int64(e.lim.ClientOut), client: true}, gateway.Accepted
		e.byNB[nb] = c
	}
	e.conns[c.id] = c
	e.mu.Unlock()
	ev := gateway.Event{Kind: kind, Conn: c.id}
	if c.client {
		ev.From = addressOf(nb.RemoteAddr())
	}
	e.box.put(ev)
}

// addressOf is the address of the other side, or none.
func addressOf(a stdnet.Addr) netip.Addr {
	if tcp, ok := a.(*stdnet.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// beginDial connects in a goroutine of its own, for so long at most and until the reducer closes the connection.
func (e *Edge) beginDial(id gateway.ConnID, addr netip.AddrPort, wait rules.Time) {
	ctx, giveUp := context.WithTimeout(context.Background(), time.Duration(wait)*time.Microsecond)
	e.mu.Lock()
	e.dialling[id] = giveUp
	e.mu.Unlock()
	e.dials.Go(func() {
		defer giveUp()
		e.dial(ctx, id, addr)
	})
}

// dial connects by the standard library, which tells a refusal from a silence.
func (e *Edge) dial(ctx context.Context, id gateway.ConnID, addr netip.AddrPort) {
	var dialer stdnet.Dialer
	std, err := dialer.DialContext(ctx, "tcp", addr.String())
	var c *conn
	if err == nil {
		c, err = e.takeIn(id, std)
	}
	if c != nil {
		if _, err = e.engine.AddConn(c.nb); err == nil {
			return
		}
		_ = e.forget(c)
	}
	e.giveUpDial(id)
	e.box.put(gateway.Event{Kind: gateway.DialFailed, Conn: id, Err: err, Ours: ourWant(err)})
}

var errGivenUp = errors.New("given up")

// takeIn makes a connection that came up one of the edge's. One that was given up meanwhile is closed: nobody would
// ever use it.
func (e *Edge) takeIn(id gateway.ConnID, std stdnet.Conn) (*conn, error) {
	nb, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, wanted := e.dialling[id]
	delete(e.dialling, id)
	if !wanted {
		_ = nb.Close()
		return nil, errGivenUp
	}
	c := &conn{id: id, nb: nb, most: int64(e.lim.LinkOut)}
	e.byNB[nb], e.conns[id] = c, c // from here on the reducer's close finds it
	return c, nil
}

// ourWant answers whether a dial failed for want of something on this machine.
func ourWant(err error) bool {
	for _, want := range []error{syscall.EMFILE, syscall.ENFILE, syscall.EADDRNOTAVAIL, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, want) {
			return true
		}
	}
	return false
}

func (e *Edge) readUDP(udp *stdnet.UDPConn) {
	defer e.readers.Done()
	buf := make([]byte, e.lim.Datagram)
	for {
		n, err := udp.Read(buf)
		switch {
		case err == nil:
			e.box.put(gateway.Event{Kind: gateway.Datagram, Data: buf[:n]})
		case errors.Is(err, stdnet.ErrClosed):
			return
		default: // refused, for now
			time.Sleep(time.Millisecond)
		}
	}
}

// pace keeps an interval between turns of the reducer, as the simulator does
// between its batches: what comes meanwhile is worked off and written together,
// which spares all sides calls and wakes. Where little comes, nothing waits.
type pace struct{ least, last rules.Time }

// rest is how long to wait before the next turn.
func (p pace) rest(now rules.Time) rules.Time {
	return min(p.last+p.least-now, p.least)
}

// loop is the reducer's goroutine.
func (e *Edge) loop(signals Signals) {
	g := gateway.New(e.cfg, e.now())
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	if e.shelf != nil {
		g.Step(e.now(), gateway.Event{Kind: gateway.Shelved, Spool: e.shelf.found})
		e.shelf.found = nil
	}
	if e.votes != nil {
		kept := e.votes.kept
		g.Step(e.now(), gateway.Event{Kind: gateway.VoterOpened, Kept: &kept})
	}
	var events []gateway.Event
	var arena []byte
	var end ending
	read, reading := make(chan config.Config, 1), false
	armed, turns := rules.Time(0), pace{least: e.lim.Turn}
	for {
		over := false
		for _, f := range g.Flush() {
			switch f.Kind {
			case gateway.Arm:
				armed = f.At
				wake.Reset(time.Duration(f.At-e.now()) * time.Microsecond)
			case gateway.Exit:
				over = true
			default:
				e.carryOut(&f)
			}
		}
		if end = end.next(over); over && e.end(&end) {
			return
		}
		again := signals.Reload
		if reading {
			again = nil // one at a time: what is asked for meanwhile comes behind
		}
		select {
		case <-e.box.ready:
		case <-wake.C:
		case <-end.tick:
		case <-signals.End:
			g.Step(e.now(), gateway.Event{Kind: gateway.Terminate})
		case <-again:
			reading = true
			e.reload(read)
		case cfg := <-read:
			if reading = false; cfg.Name != "" {
				e.cfg = cfg
				g.Step(e.now(), gateway.Event{Kind: gateway.Reload, Config: &cfg})
			}
		}
		if rest := turns.rest(e.now()); rest > 0 {
			time.Sleep(time.Duration(rest) * time.Microsecond)
		}
		events, arena = e.box.take(events, arena)
		e.unqueue(events)
		now := e.now()
		turns.last = now
		for _, ev := range events {
			g.Step(now, ev)
		}
		e.hearMembers(now, g)
		if now >= armed {
			g.Step(now, gateway.Event{Kind: gateway.Wake})
		}
	}
}

// reload reads the configuration again, off the reducer's goroutine, and hands it over. One that can't be used
// changes nothing: then it has no name.
func (e *Edge) reload(read chan<- config.Config) {
	old := e.cfg
	e.reloads.Go(func() {
		cfg, err := old.Reload() // keeps the entropy
		if err != nil {
			e.log.Warn("configuration kept as it was", zap.Error(err))
			cfg = config.Config{}
		}
		read <- cfg
	})
}

func (e *Edge) carryOut(f *gateway.Effect) {
	switch f.Kind {
	case gateway.Write:
		if c := e.get(f.Conn); c != nil {
			e.send(c, f.Data)
		}
	case gateway.Close:
		if c := e.get(f.Conn); c != nil {
			c.closing.Store(true)
			if c.pending.Load() <= 0 {
				e.hangUp(c)
				return
			}
			e.after(e.lim.FlushWithin, func() { e.cut(c, errNotRead) })
		} else {
			e.giveUpDial(f.Conn)
		}
	case gateway.Dial:
		e.beginDial(f.Conn, f.Addr, f.Wait)
	case gateway.Query:
		if e.udp == nil {
			return // it is asked from a new socket before long
		}
		if _, err := e.udp.Write(f.Data); err != nil {
			e.log.Warn("name service: query not sent", zap.Error(err))
		}
	case gateway.Names:
		if err := e.openUDP(f.Addr); err != nil {
			e.log.Warn("name service: not reached at its new address", zap.Error(err))
		}
	case gateway.Disk:
		e.toShelf(f)
	case gateway.Watch:
		if c := e.get(f.Conn); c != nil {
			c.watched.Store(true)
			if c.pending.Load() <= 0 {
				e.tellDrained(c)
			}
		}
	case gateway.Tell:
		e.tellMember(f)
	case gateway.Talk:
		if err := e.openTalk(); err != nil {
			e.log.Warn("members: talk can't begin", zap.Error(err))
		}
	case gateway.Hush:
		e.closeTalk()
	case gateway.Answer:
		e.answer(f)
	case gateway.Keep:
		e.keep(f.Keep)
	case gateway.Log:
		e.write(f)
	}
}

var levels = map[gateway.Level]zapcore.Level{
	gateway.Debug: zapcore.DebugLevel, gateway.Info: zapcore.InfoLevel, gateway.Warn: zapcore.WarnLevel,
}

func (e *Edge) write(f *gateway.Effect) {
	entry := e.log.Check(levels[f.Level], f.Text)
	if entry == nil {
		return
	}
	fields := make([]zap.Field, len(f.Attrs))
	for i, a := range f.Attrs {
		fields[i] = zap.Any(a.Key, a.Value)
	}
	entry.Write(fields...)
}

// quiet keeps nbio from a log of its own.
type quiet struct{}

func (quiet) SetLevel(int)         {}
func (quiet) Debug(string, ...any) {}
func (quiet) Info(string, ...any)  {}
func (quiet) Warn(string, ...any)  {}
func (quiet) Error(string, ...any) {}
