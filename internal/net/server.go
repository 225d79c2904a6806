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

// slowThreshold is how long events or written bytes wait before that is worth a line in the log.
const slowThreshold = 100 * time.Millisecond

const (
	readBufferSize   = 16 << 10
	maxReadsPerEvent = 16 // of one connection before the next has its turn
)

// conn is a connection with what the edge remembers of it.
type conn struct {
	id            gateway.ConnID
	nb            *nbio.Conn
	pending       atomic.Int64 // bytes written and not yet taken by the system
	maxPending    int64        // bytes that may be pending
	closing       atomic.Bool  // to be closed once they are
	notifyDrained atomic.Bool  // the reducer is to be told once they are
	accepted      bool         // accepted, not dialled
	acceptedBytes atomic.Int64 // bytes that the system has taken

	blockedMu    sync.Mutex   // orders what the reducer is told of it
	blockedSince atomic.Int64 // since when bytes of an engine's connection are pending, in the edge's time; 0: none are

	// Under the edge's lock.
	queuedReads int   // times that bytes of it wait in the mailbox
	halfClosed  bool  // our half is closed: what comes is read, and counts no more
	closeErr    error // why we have cut it; nil: we have not
}

var errPeerNotReading = errors.New("the other side does not read")

// Server is the outside of one gateway.
type Server struct {
	cfg      config.Config // the reducer's goroutine has it
	limits   config.Limits
	log      *zap.Logger
	queue    *eventQueue
	poller   *nbio.Engine
	dnsConn  stdnet.Conn    // to the name service; the reducer's goroutine has it; nil: it could not be opened
	dnsAddr  netip.AddrPort // of the name service
	clock    *clock
	platform Platform
	ctx      context.Context // done once the end of the process has begun
	cancel   context.CancelFunc

	mu              sync.Mutex
	clientClosed    sync.Cond // clients, or the end
	clientCount     int       // connections that were accepted and are not closed
	conns           map[gateway.ConnID]*conn
	connsByNB       map[*nbio.Conn]*conn
	lastAccepted    gateway.ConnID
	pendingDials    map[gateway.ConnID]context.CancelFunc
	dialWorkers     sync.WaitGroup
	listener        stdnet.Listener
	lingering       []*conn // hung up, oldest first
	devNull         *os.File
	reserved        []int // numbers of descriptors that are held, oldest first
	shuttingDown    atomic.Bool
	dnsReaders      sync.WaitGroup   // of UDP
	previousDNSConn stdnet.Conn      // asked before this one: late answers may still come to it; nil: none
	results         *resultStore     // nil: no spool is on a disk
	rejoin          <-chan time.Time // when members are to be looked for again, where that could not begin
	membership      *membership      // nil: other gateways are not talked to
	leaving         atomic.Int64     // talks that are being ended
	leaveWorkers    sync.WaitGroup   // talk that is being ended
	voter           *voterWorker     // nil: this gateway does not vote on directives
}

// Signals are those that a process gets, each kind on a channel of its own: none may be lost behind another.
type Signals struct {
	Reload    <-chan os.Signal // the configuration is to be read again; several that come meanwhile count as one
	Terminate <-chan os.Signal
}

// Run serves until the process is asked to end by a signal, and all is answered.
func Run(cfg config.Config, log *zap.Logger, signals Signals) error {
	return RunOn(System(), cfg, log, signals)
}

// RunOn serves as Run does, on a platform that may be a test double.
func RunOn(platform Platform, cfg config.Config, log *zap.Logger, signals Signals) error {
	server := newServer(platform, cfg, log)
	defer server.cancel()
	if _, err := rand.Read(server.cfg.Entropy[:]); err != nil {
		return err
	}
	if err := server.openResultStore(); err != nil {
		return err
	}
	defer server.closeResultStore()
	if err := server.openVoterLog(); err != nil {
		return err
	}
	defer server.closeVoterLog()
	if _, err := retryStart(server, "members", func() (struct{}, error) { return struct{}{}, server.joinMembers() }); err != nil {
		return err
	}
	defer server.awaitLeave()
	defer server.leaveMembers()
	// The sockets come last: once their library's loops are started they must have begun before they are stopped, which a
	// start that fails behind them does not wait for.
	if err := server.open(); err != nil {
		return err
	}
	defer server.close()
	log.Info("serving", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen),
		zap.Int("engines", len(cfg.InitialList.Engines)))
	server.run(signals)
	return nil
}

func newServer(platform Platform, cfg config.Config, log *zap.Logger) *Server {
	e := &Server{cfg: cfg, limits: cfg.Limits, log: log, queue: newEventQueue(cfg.Limits), conns: map[gateway.ConnID]*conn{},
		connsByNB: map[*nbio.Conn]*conn{}, pendingDials: map[gateway.ConnID]context.CancelFunc{}, platform: platform, clock: newClock(platform.Clock)}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.clientClosed.L = &e.mu
	return e
}

func (s *Server) now() rules.Time { return s.clock.now() }

// open opens the sockets. What fails for a moment is tried again for a while: a start must not hang on one call.
func (s *Server) open() (err error) {
	logging.SetLogger(silentLogger{})
	nbio.MaxOpenFiles = max(s.limits.Sockets, 4096) // numbers of descriptors that its table holds
	if s.devNull, err = retryStart(s, "open "+os.DevNull, func() (*os.File, error) { return os.Open(os.DevNull) }); err != nil {
		return err
	}
	if _, err = retryStart(s, "name service", func() (struct{}, error) { return struct{}{}, s.openDNS(s.cfg.DNS) }); err != nil {
		s.devNull.Close()
		return err
	}
	if _, err = retryStart(s, "listen", func() (struct{}, error) { return struct{}{}, s.startPoller() }); err != nil {
		s.closeDNS()
		s.dnsReaders.Wait()
		s.devNull.Close()
	}
	return err
}

// startWithin is for how long a start goes on trying what fails for a moment.
const (
	startRetryTimeout = 5 * time.Second
	startRetryPause   = 50 * time.Millisecond
)

// retryStart tries a call of the start again where it failed for a moment.
func retryStart[T any](s *Server, what string, call func() (T, error)) (out T, err error) {
	for until := time.Now().Add(startRetryTimeout); ; {
		if out, err = call(); err == nil || !transient(err) || time.Now().After(until) {
			return out, err
		}
		s.log.Warn("start: tried again", zap.String("what", what), zap.Error(err))
		time.Sleep(startRetryPause)
	}
}

// transient answers whether what failed may work a moment later.
func transient(err error) bool { return syserr.Transient(err) || errors.Is(err, members.ErrListen) }

// startPoller begins to listen, and to read and write connections.
func (s *Server) startPoller() error {
	s.poller = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{s.cfg.Listen.String()}, NPoller: 1, ReadBufferSize: readBufferSize,
		MaxConnReadTimesPerEventLoop: maxReadsPerEvent,
		Listen: func(_, addr string) (ln stdnet.Listener, err error) {
			ln, err = s.platform.Listen(addr)
			s.listener = ln
			return ln, err
		},
	})
	s.poller.OnOpen(s.onOpen)
	s.poller.OnData(func(nb *nbio.Conn, data []byte) {
		if c := s.countRead(nb); c != nil {
			s.queue.enqueueReceived(c.id, data)
		}
	})
	s.poller.OnWrittenSize(func(nb *nbio.Conn, _ []byte, n int) {
		if c := s.connByNB(nb); c != nil {
			c.acceptedBytes.Add(int64(n))
			if c.pending.Add(-int64(n)) <= 0 {
				s.noteUnblocked(c)
				if c.closing.Load() {
					go s.closeGracefully(c) // this runs under the connection's lock
				}
				s.reportDrained(c)
			}
		}
	})
	s.poller.OnClose(func(nb *nbio.Conn, err error) {
		if c := s.connByNB(nb); c != nil {
			if ours := s.removeConn(c); ours != nil {
				err = ours
			}
			s.queue.enqueue(gateway.ConnectionClosed{Conn: c.id, Err: err, AcceptedBytes: c.acceptedBytes.Load()})
		}
	})
	s.poller.OnAcceptError(func(err error) {
		if !s.shuttingDown.Load() {
			s.log.Warn("accept failed", zap.Error(err))
		}
		time.Sleep(10 * time.Millisecond) // descriptors ran out: they come back when something closes; or nothing more is accepted
	})
	return s.poller.Start()
}

func (s *Server) close() {
	s.mu.Lock()
	s.shuttingDown.Store(true)
	s.cancel()
	s.clientClosed.Broadcast()
	for _, giveUp := range s.pendingDials {
		giveUp()
	}
	s.mu.Unlock()
	s.queue.close()
	s.closeDNS()
	s.dnsReaders.Wait()
	s.dialWorkers.Wait()
	s.poller.Stop()
	s.mu.Lock()
	for _, fd := range s.reserved {
		syscall.Close(fd)
	}
	s.reserved = nil
	s.mu.Unlock()
	s.devNull.Close()
}

// removeConn drops what is remembered of a connection. It answers why we have cut it, if we have.
func (s *Server) removeConn(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	delete(s.connsByNB, c.nb)
	if c.halfClosed {
		s.lingering = slices.DeleteFunc(s.lingering, func(o *conn) bool { return o == c })
	}
	if c.accepted {
		s.clientCount--
		s.clientClosed.Signal()
	}
	return c.closeErr
}

func (s *Server) connByID(id gateway.ConnID) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[id]
}

// connByNB finds what is remembered of a connection of nbio. Its own place for that
// is not synchronised between its goroutines.
func (s *Server) connByNB(nb *nbio.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connsByNB[nb]
}

// countRead finds the connection on which bytes have come that count: those of one that was hung up don't.
func (s *Server) countRead(nb *nbio.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connsByNB[nb]
	if c == nil || c.halfClosed {
		return nil
	}
	c.queuedReads++
	return c
}

// pacer keeps an interval between turns of the reducer, as the simulator does
// between its batches: what comes meanwhile is worked off and written together,
// which spares all sides calls and wakes. Where little comes, nothing waits.
type pacer struct{ interval, last rules.Time }

// wait is how long to wait before the next turn.
func (p pacer) wait(now rules.Time) rules.Time {
	return min(p.last+p.interval-now, p.interval)
}

// run is the reducer's goroutine.
func (s *Server) run(signals Signals) {
	g := s.platform.Reducer(s.cfg, s.now())
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	if s.results != nil {
		g.Step(s.now(), gateway.SpoolCompleted{Events: s.results.recovered})
		s.results.recovered = nil
	}
	if s.voter != nil {
		kept := s.voter.recovered
		g.Step(s.now(), gateway.VoterLogOpened{State: &kept})
	}
	var events []queuedEvent
	var arena []byte
	var end shutdownState
	reading := newReloadState()
	armed, turns := rules.Time(0), pacer{interval: s.limits.MinBatchInterval}
	for {
		over := false
		for _, f := range g.Flush() {
			switch f := f.(type) {
			case *gateway.SetTimer:
				armed = f.At
				wake.Reset(time.Duration(f.At-s.now()) * time.Microsecond)
			case gateway.Exit:
				over = true
			default:
				s.execute(f)
			}
		}
		if end = end.next(over); over && s.advanceShutdown(&end) {
			return
		}
		again := signals.Reload
		if reading.current != 0 {
			again = nil // one at a time: what is asked for meanwhile comes behind
		}
		select {
		case <-s.queue.ready:
		case <-wake.C:
		case <-end.tick:
		case <-signals.Terminate:
			g.Step(s.now(), gateway.ShutdownRequested{})
		case <-again:
			s.startReload(&reading)
		case <-s.rejoin:
			s.joinMembersOrRetry()
		case <-reading.timeout:
			s.abandonReload(&reading)
		case x := <-reading.results:
			if s.finishReload(&reading, x) {
				s.cfg = x.cfg
				g.Step(s.now(), gateway.ConfigReloaded{Config: &x.cfg, ClockSkew: s.clock.skew()})
			}
		}
		if rest := turns.wait(s.now()); rest > 0 {
			time.Sleep(time.Duration(rest) * time.Microsecond)
		}
		if waited := s.queue.oldestAge(); waited >= slowThreshold {
			s.log.Warn("events waited for the reducer", zap.Int64("ms", waited.Milliseconds()))
		}
		events, arena = s.queue.drain(events, arena)
		s.uncountReads(events)
		now := s.now()
		turns.last = now
		for i := range events {
			g.Step(now, events[i].get())
		}
		s.stepMemberEvents(now, g)
		if now >= armed {
			g.Step(now, gateway.TimerFired{})
		}
	}
}

// noteBlocked tells the reducer that an engine does not take what was written to it, if it does not.
func (s *Server) noteBlocked(c *conn) {
	if c.accepted || c.pending.Load() <= 0 || c.blockedSince.Load() != 0 {
		return
	}
	c.blockedMu.Lock()
	c.blockedSince.Store(int64(s.now()))
	s.queue.enqueue(gateway.WriteBlocked{Conn: c.id})
	c.blockedMu.Unlock()
	if c.pending.Load() <= 0 { // it was taken meanwhile
		s.noteUnblocked(c)
	}
}

// noteUnblocked tells the reducer that an engine has taken what it did not before, and the log how long that took.
func (s *Server) noteUnblocked(c *conn) {
	if c.blockedSince.Load() == 0 {
		return
	}
	c.blockedMu.Lock()
	defer c.blockedMu.Unlock()
	since := c.blockedSince.Swap(0)
	if since == 0 {
		return
	}
	s.queue.enqueue(gateway.WriteDrained{Conn: c.id})
	if waited := s.now() - rules.Time(since); waited >= rules.Time(slowThreshold.Microseconds()) {
		s.log.Warn("engine: bytes written waited", zap.Uint64("connection", uint64(c.id)&^(1<<63)), zap.Int64("ms", int64(waited/rules.Millisecond)))
	}
}

func (s *Server) execute(effect gateway.Effect) {
	switch f := effect.(type) {
	case *gateway.Write:
		if c := s.connByID(f.Conn); c != nil {
			s.send(c, f.Data)
		}
	case gateway.CloseConnection:
		if c := s.connByID(f.Conn); c != nil {
			c.closing.Store(true)
			if c.pending.Load() <= 0 {
				s.closeGracefully(c)
				return
			}
			s.after(s.limits.FlushTimeout, func() { s.shutdownConn(c, errPeerNotReading) })
		} else {
			s.cancelDial(f.Conn)
		}
	case gateway.ResetConnection:
		if c := s.connByID(f.Conn); c != nil {
			s.reset(c)
		}
	case gateway.Dial:
		s.startDial(f.Conn, f.Addr, f.Timeout)
	case gateway.QueryDNS:
		s.queryDNS(f.Data)
	case gateway.SetNameServer:
		if err := s.openDNS(f.Addr); err != nil {
			s.log.Warn("name service: not reached at its new address", zap.Error(err))
		}
	case gateway.SubmitSpool:
		s.submitToResultStore(f.Effect)
	case gateway.NotifyDrained:
		if c := s.connByID(f.Conn); c != nil {
			c.notifyDrained.Store(true)
			if c.pending.Load() <= 0 {
				s.reportDrained(c)
			}
		}
	case gateway.SendToMember:
		s.sendToMember(f)
	case gateway.JoinMembers:
		s.joinMembersOrRetry()
	case gateway.LeaveMembers:
		s.rejoin = nil
		s.leaveMembers()
	case gateway.ControlResponse:
		s.sendControlResponse(f)
	case gateway.PersistVoterLog:
		s.persist(f.Batch)
	case gateway.Log:
		s.writeLog(f)
	}
}

var logLevels = map[gateway.Level]zapcore.Level{
	gateway.Debug: zapcore.DebugLevel, gateway.Info: zapcore.InfoLevel, gateway.Warn: zapcore.WarnLevel,
}

func (s *Server) writeLog(f gateway.Log) {
	entry := s.log.Check(logLevels[f.Level], f.Text)
	if entry == nil {
		return
	}
	fields := make([]zap.Field, len(f.Attrs))
	for i, a := range f.Attrs {
		fields[i] = zap.Any(a.Key, a.Value)
	}
	entry.Write(fields...)
}

// silentLogger keeps nbio from a log of its own.
type silentLogger struct{}

func (silentLogger) SetLevel(int)         {}
func (silentLogger) Debug(string, ...any) {}
func (silentLogger) Info(string, ...any)  {}
func (silentLogger) Warn(string, ...any)  {}
func (silentLogger) Error(string, ...any) {}
