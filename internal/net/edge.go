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
	"foxlane/internal/members"
	"foxlane/internal/syserr"
	"foxlane/rules"
)

// slowFrom is how long events or written bytes wait before that is worth a line in the log.
const slowFrom = 100 * time.Millisecond

const (
	readBuffer  = 16 << 10
	readsInTurn = 16 // of one connection before the next has its turn
)

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

	blocking sync.Mutex   // orders what the reducer is told of it
	blocked  atomic.Int64 // since when bytes of an engine's connection are pending, in the edge's time; 0: none are

	// Under the edge's lock.
	queued int   // times that bytes of it wait in the mailbox
	hungUp bool  // our half is closed: what comes is read, and counts no more
	err    error // why we have cut it; nil: we have not
}

var errNotRead = errors.New("the other side does not read")

// Edge is the outside of one gateway.
type Edge struct {
	cfg      config.Config // the reducer's goroutine has it
	lim      config.Limits
	log      *zap.Logger
	box      *mailbox
	engine   *nbio.Engine
	udp      stdnet.Conn    // to the name service; the reducer's goroutine has it; nil: it could not be opened
	namesAt  netip.AddrPort // of the name service
	clock    *clock
	platform Platform
	over     context.Context // done once the end of the process has begun
	finish   context.CancelFunc

	mu        sync.Mutex
	fewer     sync.Cond // clients, or the end
	clients   int       // connections that were accepted and are not closed
	conns     map[gateway.ConnID]*conn
	byNB      map[*nbio.Conn]*conn
	accepted  gateway.ConnID
	dialling  map[gateway.ConnID]context.CancelFunc
	dials     sync.WaitGroup
	listener  stdnet.Listener
	lingers   []*conn // hung up, oldest first
	null      *os.File
	plugs     []int // numbers of descriptors that are held, oldest first
	ending    atomic.Bool
	readers   sync.WaitGroup   // of UDP
	former    stdnet.Conn      // asked before this one: late answers may still come to it; nil: none
	shelf     *shelf           // nil: no spool is on a disk
	talkAgain <-chan time.Time // when members are to be looked for again, where that could not begin
	talk      *talk            // nil: other gateways are not talked to
	leaving   atomic.Int64     // talks that are being ended
	hushing   sync.WaitGroup   // talk that is being ended
	votes     *votes           // nil: this gateway does not vote on directives
}

// Signals are those that a process gets, each kind on a channel of its own: none may be lost behind another.
type Signals struct {
	Reload <-chan os.Signal // the configuration is to be read again; several that come meanwhile count as one
	End    <-chan os.Signal
}

// Run serves until the process is asked to end by a signal, and all is answered.
func Run(cfg config.Config, log *zap.Logger, signals Signals) error {
	return RunOn(System(), cfg, log, signals)
}

// RunOn serves as Run does, on a platform that may be a test double.
func RunOn(platform Platform, cfg config.Config, log *zap.Logger, signals Signals) error {
	e := newEdge(platform, cfg, log)
	defer e.finish()
	if _, err := rand.Read(e.cfg.Entropy[:]); err != nil {
		return err
	}
	if err := e.openShelf(); err != nil {
		return err
	}
	defer e.closeShelf()
	if err := e.openVotes(); err != nil {
		return err
	}
	defer e.closeVotes()
	if _, err := retry(e, "members", func() (struct{}, error) { return struct{}{}, e.openTalk() }); err != nil {
		return err
	}
	defer e.awaitTalk()
	defer e.closeTalk()
	// The sockets come last: once their library's loops are started they must have begun before they are stopped, which a
	// start that fails behind them does not wait for.
	if err := e.open(); err != nil {
		return err
	}
	defer e.close()
	log.Info("serving", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen),
		zap.Int("engines", len(cfg.Known.Engines)))
	e.loop(signals)
	return nil
}

func newEdge(platform Platform, cfg config.Config, log *zap.Logger) *Edge {
	e := &Edge{cfg: cfg, lim: cfg.Limits, log: log, box: newMailbox(cfg.Limits), conns: map[gateway.ConnID]*conn{},
		byNB: map[*nbio.Conn]*conn{}, dialling: map[gateway.ConnID]context.CancelFunc{}, platform: platform, clock: newClock(platform.Clock)}
	e.over, e.finish = context.WithCancel(context.Background())
	e.fewer.L = &e.mu
	return e
}

func (e *Edge) now() rules.Time { return e.clock.now() }

// open opens the sockets. What fails for a moment is tried again for a while: a start must not hang on one call.
func (e *Edge) open() (err error) {
	logging.SetLogger(quiet{})
	nbio.MaxOpenFiles = max(e.lim.Sockets, 4096) // numbers of descriptors that its table holds
	if e.null, err = retry(e, "open "+os.DevNull, func() (*os.File, error) { return os.Open(os.DevNull) }); err != nil {
		return err
	}
	if _, err = retry(e, "name service", func() (struct{}, error) { return struct{}{}, e.openUDP(e.cfg.DNS) }); err != nil {
		e.null.Close()
		return err
	}
	if _, err = retry(e, "listen", func() (struct{}, error) { return struct{}{}, e.startEngine() }); err != nil {
		e.closeUDP()
		e.readers.Wait()
		e.null.Close()
	}
	return err
}

// startWithin is for how long a start goes on trying what fails for a moment.
const (
	startWithin = 5 * time.Second
	startPause  = 50 * time.Millisecond
)

// retry tries a call of the start again where it failed for a moment.
func retry[T any](e *Edge, what string, call func() (T, error)) (out T, err error) {
	for until := time.Now().Add(startWithin); ; {
		if out, err = call(); err == nil || !passing(err) || time.Now().After(until) {
			return out, err
		}
		e.log.Warn("start: tried again", zap.String("what", what), zap.Error(err))
		time.Sleep(startPause)
	}
}

// passing answers whether what failed may work a moment later.
func passing(err error) bool { return syserr.Passing(err) || errors.Is(err, members.ErrNotBound) }

// startEngine begins to listen, and to read and write connections.
func (e *Edge) startEngine() error {
	e.engine = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{e.cfg.Listen.String()}, NPoller: 1, ReadBufferSize: readBuffer,
		MaxConnReadTimesPerEventLoop: readsInTurn,
		Listen: func(_, addr string) (ln stdnet.Listener, err error) {
			ln, err = e.platform.Listen(addr)
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
				e.noteUnblocked(c)
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
	return e.engine.Start()
}

func (e *Edge) close() {
	e.mu.Lock()
	e.ending.Store(true)
	e.finish()
	e.fewer.Broadcast()
	for _, giveUp := range e.dialling {
		giveUp()
	}
	e.mu.Unlock()
	e.box.close()
	e.closeUDP()
	e.readers.Wait()
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
	g := e.platform.Reducer(e.cfg, e.now())
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
	reading := newReloads()
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
		if reading.current != 0 {
			again = nil // one at a time: what is asked for meanwhile comes behind
		}
		select {
		case <-e.box.ready:
		case <-wake.C:
		case <-end.tick:
		case <-signals.End:
			g.Step(e.now(), gateway.Event{Kind: gateway.Terminate})
		case <-again:
			e.beginReload(&reading)
		case <-e.talkAgain:
			e.beginTalk()
		case <-reading.timeout:
			e.giveUpReload(&reading)
		case x := <-reading.read:
			if e.endReload(&reading, x) {
				e.cfg = x.cfg
				g.Step(e.now(), gateway.Event{Kind: gateway.Reload, Config: &x.cfg, Skew: e.clock.skew()})
			}
		}
		if rest := turns.rest(e.now()); rest > 0 {
			time.Sleep(time.Duration(rest) * time.Microsecond)
		}
		if waited := e.box.waited(); waited >= slowFrom {
			e.log.Warn("events waited for the reducer", zap.Int64("ms", waited.Milliseconds()))
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

// noteBlocked tells the reducer that an engine does not take what was written to it, if it does not.
func (e *Edge) noteBlocked(c *conn) {
	if c.client || c.pending.Load() <= 0 || c.blocked.Load() != 0 {
		return
	}
	c.blocking.Lock()
	c.blocked.Store(int64(e.now()))
	e.box.put(gateway.Event{Kind: gateway.Blocked, Conn: c.id})
	c.blocking.Unlock()
	if c.pending.Load() <= 0 { // it was taken meanwhile
		e.noteUnblocked(c)
	}
}

// noteUnblocked tells the reducer that an engine has taken what it did not before, and the log how long that took.
func (e *Edge) noteUnblocked(c *conn) {
	if c.blocked.Load() == 0 {
		return
	}
	c.blocking.Lock()
	defer c.blocking.Unlock()
	since := c.blocked.Swap(0)
	if since == 0 {
		return
	}
	e.box.put(gateway.Event{Kind: gateway.Drained, Conn: c.id})
	if waited := e.now() - rules.Time(since); waited >= rules.Time(slowFrom.Microseconds()) {
		e.log.Warn("engine: bytes written waited", zap.Uint64("connection", uint64(c.id)&^(1<<63)), zap.Int64("ms", int64(waited/rules.Millisecond)))
	}
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
	case gateway.Abort:
		if c := e.get(f.Conn); c != nil {
			e.abort(c)
		}
	case gateway.Dial:
		e.beginDial(f.Conn, f.Addr, f.Wait)
	case gateway.Query:
		e.query(f.Data)
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
		e.beginTalk()
	case gateway.Hush:
		e.talkAgain = nil
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
