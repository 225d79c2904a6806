// Package net owns the sockets, the clock and the log of a gateway: it turns
// what happens there into events for the reducer and carries out the effects
// that the reducer asks for. It must never decide anything, look into the
// bytes it carries, or keep the reducer waiting.
package net

import (
	"crypto/rand"
	"errors"
	stdnet "net"
	"net/netip"
	"os"
	"runtime"
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
}

var errNotRead = errors.New("the other side does not read")

// Edge is the outside of one gateway.
type Edge struct {
	cfg    config.Config
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
	dials    sync.WaitGroup
	ending   atomic.Bool
	readers  sync.WaitGroup // of UDP
	shelf    *shelf         // nil: no spool is on a disk
	talk     *talk          // nil: other gateways are not talked to
	hushing  sync.WaitGroup // talk that is being ended
	votes    *votes         // nil: this gateway does not vote on directives
}

// Run serves until the process is asked to end by a signal, and all is answered.
// SIGHUP makes it read its configuration again; any other signal asks it to end.
func Run(cfg config.Config, log *zap.Logger, signals <-chan os.Signal) error {
	e := &Edge{cfg: cfg, log: log, box: newMailbox(cfg.Limits), conns: map[gateway.ConnID]*conn{},
		byNB: map[*nbio.Conn]*conn{}, start: time.Now()}
	e.unix = e.start.UnixMicro()
	e.fewer.L = &e.mu
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

// now is the Unix time in microseconds, carried on by the monotonic clock.
func (e *Edge) now() rules.Time {
	return rules.Time(e.unix + time.Since(e.start).Microseconds())
}

func (e *Edge) open() error {
	logging.SetLogger(quiet{})
	nbio.MaxOpenFiles = max(e.cfg.Limits.Sockets, 4096) // numbers of descriptors that its table holds
	if err := e.openUDP(e.cfg.DNS); err != nil {
		return err
	}
	e.engine = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{e.cfg.Listen.String()}, NPoller: 1, ReadBufferSize: readBuffer,
		MaxConnReadTimesPerEventLoop: readsInTurn,
	})
	e.engine.OnOpen(e.onOpen)
	e.engine.OnData(func(nb *nbio.Conn, data []byte) {
		if c := e.of(nb); c != nil {
			e.box.put(gateway.Event{Kind: gateway.Data, Conn: c.id, Data: data})
		}
	})
	e.engine.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c := e.of(nb); c != nil {
			c.pending.Add(-int64(n))
			if c.pending.Load() <= 0 {
				if c.closing.Load() {
					go nb.Close() // this runs under the connection's lock
				}
				e.tellDrained(c)
			}
		}
	})
	e.engine.OnClose(func(nb *nbio.Conn, err error) {
		if c := e.of(nb); c != nil {
			e.forget(c)
			e.box.put(gateway.Event{Kind: gateway.Closed, Conn: c.id, Err: err})
		}
	})
	e.engine.OnAcceptError(func(err error) {
		if e.ending.Load() {
			return
		}
		e.log.Warn("accept failed", zap.Error(err))
		time.Sleep(10 * time.Millisecond) // descriptors ran out: they come back when something closes
	})
	if err := e.engine.Start(); err != nil {
		e.udp.Close()
		e.readers.Wait()
		return err
	}
	return nil
}

// openUDP goes over to a name service. Only what comes from there is read from then on.
func (e *Edge) openUDP(addr netip.AddrPort) error {
	udp, err := stdnet.DialUDP("udp", nil, stdnet.UDPAddrFromAddrPort(addr))
	if err != nil {
		return err
	}
	if e.udp != nil {
		e.udp.Close()
	}
	e.udp = udp
	e.readers.Add(1)
	go e.readUDP(udp)
	return nil
}

func (e *Edge) close() {
	e.mu.Lock()
	e.ending.Store(true)
	e.fewer.Broadcast()
	e.mu.Unlock()
	e.box.close()
	e.udp.Close()
	e.readers.Wait()
	e.dials.Wait()
	e.engine.Stop()
}

func (e *Edge) forget(c *conn) {
	e.mu.Lock()
	delete(e.conns, c.id)
	delete(e.byNB, c.nb)
	if c.client {
		e.clients--
		e.fewer.Signal()
	}
	e.mu.Unlock()
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

// onOpen takes in a connection that a client has opened, or that a dial has. Where clients come
// faster than the reducer can close others for them, the accepting goroutine waits here: descriptors
// must not run out, or dials to engines fail with them.
func (e *Edge) onOpen(nb *nbio.Conn) {
	e.mu.Lock()
	c, kind := e.byNB[nb], gateway.Connected
	if c == nil {
		for e.clients >= e.cfg.Limits.Clients+e.cfg.Limits.AcceptAhead && !e.ending.Load() {
			e.fewer.Wait()
		}
		e.accepted++
		e.clients++
		c, kind = &conn{id: e.accepted, nb: nb, most: int64(e.cfg.Limits.ClientOut), client: true}, gateway.Accepted
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

// dial connects by the standard library, which tells a refusal from a silence.
func (e *Edge) dial(id gateway.ConnID, addr netip.AddrPort, wait rules.Time) {
	defer e.dials.Done()
	std, err := stdnet.DialTimeout("tcp", addr.String(), time.Duration(wait)*time.Microsecond)
	if err == nil {
		var nb *nbio.Conn
		if nb, err = nbio.NBConn(std); err == nil {
			c := &conn{id: id, nb: nb, most: int64(e.cfg.Limits.LinkOut)}
			e.mu.Lock()
			e.byNB[nb] = c
			e.mu.Unlock()
			if _, err = e.engine.AddConn(nb); err == nil {
				return
			}
			e.forget(c)
		}
	}
	ours := errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
	e.box.put(gateway.Event{Kind: gateway.DialFailed, Conn: id, Err: err, Ours: ours})
}

func (e *Edge) readUDP(udp *stdnet.UDPConn) {
	defer e.readers.Done()
	buf := make([]byte, e.cfg.Limits.Datagram)
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
func (e *Edge) loop(signals <-chan os.Signal) {
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
	armed, turns := rules.Time(0), pace{least: e.cfg.Limits.Turn}
	for {
		for _, f := range g.Flush() {
			switch f.Kind {
			case gateway.Arm:
				armed = f.At
				wake.Reset(time.Duration(f.At-e.now()) * time.Microsecond)
			case gateway.Exit:
				e.drain()
				return
			default:
				e.carryOut(&f)
			}
		}
		select {
		case <-e.box.ready:
		case <-wake.C:
		case s := <-signals:
			if ev, ok := e.signal(s); ok {
				g.Step(e.now(), ev)
			}
		}
		if rest := turns.rest(e.now()); rest > 0 {
			time.Sleep(time.Duration(rest) * time.Microsecond)
		}
		events, arena = e.box.take(events, arena)
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

// signal is what a signal means to the reducer. A configuration that can't be used changes nothing.
func (e *Edge) signal(s os.Signal) (ev gateway.Event, ok bool) {
	if s != syscall.SIGHUP {
		return gateway.Event{Kind: gateway.Terminate}, true
	}
	cfg, err := e.cfg.Reload()
	if err != nil {
		e.log.Warn("configuration kept as it was", zap.Error(err))
		return ev, false
	}
	e.cfg = cfg // Reload has kept the entropy
	return gateway.Event{Kind: gateway.Reload, Config: &cfg}, true
}

func (e *Edge) carryOut(f *gateway.Effect) {
	switch f.Kind {
	case gateway.Write:
		if c := e.get(f.Conn); c != nil {
			c.pending.Add(int64(len(f.Data)))
			if _, err := c.nb.Write(f.Data); err != nil {
				_ = c.nb.CloseWithError(err)
			} else if c.pending.Load() > c.most {
				_ = c.nb.CloseWithError(errNotRead)
			}
		}
	case gateway.Close:
		if c := e.get(f.Conn); c != nil {
			c.closing.Store(true)
			if c.pending.Load() <= 0 {
				_ = c.nb.Close()
				return
			}
			_ = c.nb.SetWriteDeadline(time.Now().Add(time.Duration(e.cfg.Limits.FlushWithin) * time.Microsecond))
		}
	case gateway.Dial:
		e.dials.Add(1)
		go e.dial(f.Conn, f.Addr, f.Wait)
	case gateway.Query:
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

// drain waits until all that was written has left, within bounds.
func (e *Edge) drain() {
	until := time.Now().Add(time.Duration(e.cfg.Limits.FlushWithin) * time.Microsecond)
	for time.Now().Before(until) && e.unsent() {
		time.Sleep(time.Millisecond)
	}
}

func (e *Edge) unsent() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, c := range e.conns {
		if c.pending.Load() > 0 {
			return true
		}
	}
	return false
}

// quiet keeps nbio from a log of its own.
type quiet struct{}

func (quiet) SetLevel(int)         {}
func (quiet) Debug(string, ...any) {}
func (quiet) Info(string, ...any)  {}
func (quiet) Warn(string, ...any)  {}
func (quiet) Error(string, ...any) {}
