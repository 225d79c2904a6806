// Package transport is the transport of a gateway: it owns the sockets, the clock and the log, turns what happens there into
// events for the reducer and executes the effects that the reducer returns. It must never decide anything, look into the
// bytes it carries, or keep the reducer waiting.
package transport

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/internal/members"
	"foxlane/internal/syserr"
	"foxlane/rules"
)

// This file has the server's state, its start and its end. Each group of fields has a file of its own.

// Server is the transport of one gateway.
type Server struct {
	cfg      config.Config // only the reducer's goroutine uses it
	limits   config.Limits
	log      *zap.Logger
	queue    *eventQueue
	poller   *nbio.Engine
	clock    *clock
	platform Platform
	ctx      context.Context // done once the process has begun to end
	cancel   context.CancelFunc

	// The name service (dns.go). Only the reducer's goroutine uses the connections.
	dnsConn         net.Conn // nil: it could not be opened
	previousDNSConn net.Conn // the one before, to which late answers may still come; nil: none
	dnsAddr         netip.AddrPort
	dnsReaders      sync.WaitGroup

	// Connections (conn.go, accept.go, dial.go, close.go). The lock is for all that follows up to shuttingDown.
	mu           sync.Mutex
	clientClosed sync.Cond // signalled when clientCount falls, and at the end
	clientCount  int       // accepted connections that are not closed
	conns        map[gateway.ConnID]*conn
	connsByNB    map[*nbio.Conn]*conn
	lastAccepted gateway.ConnID
	pendingDials map[gateway.ConnID]context.CancelFunc
	lingering    []*conn // half closed, oldest first
	reserved     []int   // descriptors (descriptors.go), oldest first

	dialWorkers  sync.WaitGroup
	devNull      *os.File
	listener     net.Listener
	shuttingDown atomic.Bool // nothing more is accepted

	results *resultStore // nil: no results are kept on a disk
	voter   *voterWorker // nil: this gateway does not vote on directives

	// Other gateways (members.go). Only the reducer's goroutine uses the first two.
	membership   *membership      // nil: there are no members
	rejoin       <-chan time.Time // when joining is tried again after it failed
	leaving      atomic.Int64     // memberships that are still being left
	leaveWorkers sync.WaitGroup   // that leave them
}

// Signals are those that a process gets, each kind on a channel of its own: none may be lost behind another.
type Signals struct {
	Reload    <-chan os.Signal // the configuration is to be read again; several that come meanwhile count as one
	Terminate <-chan os.Signal
}

// Run serves until the process is asked to end by a signal, and all requests are answered.
func Run(cfg config.Config, log *zap.Logger, signals Signals) error {
	return RunOn(System(), cfg, log, signals)
}

// RunOn serves as Run does, on a platform that may be a test double.
func RunOn(platform Platform, cfg config.Config, log *zap.Logger, signals Signals) error {
	s := newServer(platform, cfg, log)
	defer s.cancel()
	if _, err := rand.Read(s.cfg.Entropy[:]); err != nil {
		return fmt.Errorf("entropy: %w", err)
	}
	// The folders come first: another process that uses them ends this one before it has done anything.
	if err := s.openResultStore(); err != nil {
		return err
	}
	defer s.closeResultStore()
	if err := s.openVoterLog(); err != nil {
		return err
	}
	defer s.closeVoterLog()
	if err := s.retryStart("members", s.joinMembers); err != nil {
		return err
	}
	defer s.awaitLeave()
	defer s.leaveMembers()
	// The sockets come last: once the loops of nbio are started they must have begun before they are stopped, which a
	// start that fails later would not wait for.
	if err := s.open(); err != nil {
		return err
	}
	defer s.close()
	log.Info("serving", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen),
		zap.Int("engines", len(cfg.InitialList.Engines)))
	newReducerLoop(s).run(signals)
	return nil
}

func newServer(platform Platform, cfg config.Config, log *zap.Logger) *Server {
	s := &Server{cfg: cfg, limits: cfg.Limits, log: log, queue: newEventQueue(cfg.Limits), conns: map[gateway.ConnID]*conn{},
		connsByNB: map[*nbio.Conn]*conn{}, pendingDials: map[gateway.ConnID]context.CancelFunc{}, platform: platform, clock: newClock(platform.Clock)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.clientClosed.L = &s.mu
	return s
}

func (s *Server) now() rules.Time { return s.clock.now() }

// open opens the sockets. What fails transiently is retried for a while: a start must not fail for one call.
func (s *Server) open() (err error) {
	logging.SetLogger(silentLogger{})
	nbio.MaxOpenFiles = max(s.limits.Sockets, minTableSize)
	defer func() {
		if err != nil {
			s.closeDNS()
			s.dnsReaders.Wait()
			if s.devNull != nil {
				_ = s.devNull.Close() // it was only read
			}
		}
	}()
	openNull := func() (err error) { s.devNull, err = os.Open(os.DevNull); return err }
	if err := s.retryStart("open "+os.DevNull, openNull); err != nil {
		return err
	}
	if err := s.retryStart("name service", func() error { return s.openDNS(s.cfg.DNS) }); err != nil {
		return err
	}
	return s.retryStart("listen", s.startPoller)
}

// minTableSize is the least size of nbio's table of connections, which it indexes by descriptor.
const minTableSize = 4096

// A call of the start that fails transiently is retried, with a pause, for so long.
const (
	startRetryTimeout = 5 * time.Second
	startRetryPause   = 50 * time.Millisecond
)

// retryStart calls a step of the start, and calls it again where it fails transiently.
func (s *Server) retryStart(what string, step func() error) error {
	for until := time.Now().Add(startRetryTimeout); ; {
		err := step()
		if err == nil || !transient(err) || time.Now().After(until) {
			return err
		}
		s.log.Warn("start: tried again", zap.String("what", what), zap.Error(err))
		time.Sleep(startRetryPause)
	}
}

// transient answers whether what failed may work a moment later.
func transient(err error) bool { return syserr.Transient(err) || errors.Is(err, members.ErrListen) }

// close stops everything that open has started and waits for its goroutines.
func (s *Server) close() {
	s.mu.Lock()
	s.shuttingDown.Store(true)
	s.cancel()
	s.clientClosed.Broadcast()
	for _, cancelDial := range s.pendingDials {
		cancelDial()
	}
	s.mu.Unlock()
	s.queue.close()
	s.closeDNS()
	s.dnsReaders.Wait()
	s.dialWorkers.Wait()
	s.poller.Stop()
	s.releaseAllDescriptors()
	_ = s.devNull.Close() // it was only read
}

// silentLogger keeps nbio from writing a log of its own.
type silentLogger struct{}

// SetLevel implements logging.Logger.
func (silentLogger) SetLevel(int) {}

// Debug implements logging.Logger.
func (silentLogger) Debug(string, ...any) {}

// Info implements logging.Logger.
func (silentLogger) Info(string, ...any) {}

// Warn implements logging.Logger.
func (silentLogger) Warn(string, ...any) {}

// Error implements logging.Logger.
func (silentLogger) Error(string, ...any) {}
