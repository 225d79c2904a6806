// Package transport runs a gateway on the operating system. It owns the sockets, the clock and the log, turns input
// into events for the reducer and executes the effects that the reducer returns. It must not make decisions,
// interpret the bytes it carries or block the reducer.
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

// Server is the transport of one gateway. Each group of fields is used mainly by the files named above it.
type Server struct {
	cfg      config.Config // used only by the reducer's goroutine
	limits   config.Limits
	log      *zap.Logger
	queue    *eventQueue
	poller   *nbio.Engine
	clock    *clock
	platform Platform
	ctx      context.Context // cancelled at shutdown
	cancel   context.CancelFunc

	// Name service (dns.go). The connections are used only by the reducer's goroutine.
	dnsConn         net.Conn // nil: no socket could be opened
	previousDNSConn net.Conn // the previous socket, on which late responses may still arrive; nil: none
	dnsAddr         netip.AddrPort
	dnsReaders      sync.WaitGroup

	// Connections (conn.go, accept.go, dial.go, close.go). mu guards the fields up to reserved.
	mu           sync.Mutex
	clientClosed sync.Cond    // signalled when clientCount decreases or accepting resumes, and at shutdown
	clientCount  int          // accepted connections that are open
	acceptPaused bool         // no more connections are accepted for a while
	writeBuffers writeBuffers // bytes written and not yet accepted by the kernel
	conns        map[gateway.ConnID]*conn
	connsByNB    map[*nbio.Conn]*conn
	lastAccepted gateway.ConnID
	pendingDials map[gateway.ConnID]context.CancelFunc
	lingering    []*conn // half closed connections, oldest first
	reserved     []int   // reserved descriptors (descriptors.go), oldest first

	dialWorkers  sync.WaitGroup
	devNull      *os.File
	listener     net.Listener
	shuttingDown atomic.Bool // no more connections are accepted
	exitBy       time.Time   // when the process is to have exited; zero: there was no SIGTERM. Used only by the reducer's goroutine

	results *resultStore     // nil: results are not stored on disk
	watcher *writableWatcher // nil: no results are stored
	voter   *voterWorker     // nil: this gateway does not vote on directives

	collecting  atomic.Bool // collectMemory runs
	pollerEnded chan error  // the poller's loop has ended, and nothing is read or written any more

	// Other gateways (members.go). membership and rejoin are used only by the reducer's goroutine.
	membership         *membership      // nil: members are not joined
	rejoin             <-chan time.Time // fires when a failed join is to be retried
	closingMemberships atomic.Int64     // memberships that leaveMembers is still closing
	leaveWorkers       sync.WaitGroup   // goroutines that close memberships
	lastControlConn    atomic.Uint64    // number of the last control connection
}

// Signals are the signals to the process. Each kind has its own channel, so that one kind can't displace another.
type Signals struct {
	Reload    <-chan os.Signal // reload the configuration; signals that arrive during a reload count as one
	Terminate <-chan os.Signal // shut down gracefully
}

// Run serves until a Terminate signal arrives and all requests are answered. It returns an error if the start fails.
func Run(cfg config.Config, log *zap.Logger, signals Signals) error {
	return RunOn(System(), cfg, log, signals)
}

// RunOn is like Run, on the given platform, which may be a test double.
func RunOn(platform Platform, cfg config.Config, log *zap.Logger, signals Signals) error {
	s := newServer(platform, cfg, log)
	defer s.cancel()
	if _, err := rand.Read(s.cfg.Entropy[:]); err != nil {
		return fmt.Errorf("entropy: %w", err)
	}
	// The folders come first: if another process uses them, this one fails before it has any effect.
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
	// The sockets come last: nbio's event loops must not be stopped before they have begun to run, and the cleanup
	// after a later failed step of the start would not wait for that.
	if err := s.open(); err != nil {
		return err
	}
	defer s.close()
	log.Info("serving", zap.String("name", cfg.Name), zap.Stringer("listen", cfg.Listen),
		zap.Int("engines", len(cfg.InitialList.Engines)))
	if err := newReducerLoop(s).run(signals); err != nil {
		s.logFailure(err)
		return err
	}
	s.logEnd()
	return nil
}

func newServer(platform Platform, cfg config.Config, log *zap.Logger) *Server {
	s := &Server{cfg: cfg, limits: cfg.Limits, log: log, queue: newEventQueue(cfg.Limits), conns: map[gateway.ConnID]*conn{},
		connsByNB: map[*nbio.Conn]*conn{}, pendingDials: map[gateway.ConnID]context.CancelFunc{}, platform: platform, clock: newClock(platform.Clock), pollerEnded: make(chan error, 1)}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.clientClosed.L = &s.mu
	return s
}

// now returns the server's time.
func (s *Server) now() rules.Time { return s.clock.now() }

// open opens the sockets. Transient errors are retried, so that a single failed call does not fail the start.
func (s *Server) open() (err error) {
	logging.SetLogger(pollerLogger{s.pollerEnded})
	nbio.MaxOpenFiles = max(s.limits.Sockets, minConnTableSize)
	defer func() {
		if err != nil {
			s.closeDNS()
			s.dnsReaders.Wait()
			s.closeWatcher()
			if s.devNull != nil {
				_ = s.devNull.Close() // opened read-only
			}
		}
	}()
	openDevNull := func() (err error) { s.devNull, err = os.Open(os.DevNull); return err }
	if err := s.retryStart("open "+os.DevNull, openDevNull); err != nil {
		return err
	}
	if err := s.retryStart("name service", func() error { return s.openDNS(s.cfg.DNS) }); err != nil {
		return err
	}
	if s.cfg.Site != nil && s.cfg.Site.Spool != nil {
		if err := s.retryStart("watcher", s.startWatcher); err != nil {
			return err
		}
	}
	return s.retryStart("listen", s.startPoller)
}

// startWatcher starts the watcher of the connections that read stored results.
func (s *Server) startWatcher() (err error) {
	s.watcher, err = startWritableWatcher(s.queue, s.log)
	return err
}

// closeWatcher ends the watcher, if there is one.
func (s *Server) closeWatcher() {
	if s.watcher != nil {
		s.watcher.close()
	}
}

// minConnTableSize is the minimum size of nbio's connection table, which is indexed by descriptor.
const minConnTableSize = 4096

// Steps of the start that fail transiently are retried for startRetryTimeout, with a pause between attempts.
const (
	startRetryTimeout = 5 * time.Second
	startRetryDelay   = 50 * time.Millisecond
)

// retryStart runs a step of the start, with retries after transient errors.
func (s *Server) retryStart(operation string, step func() error) error {
	for deadline := time.Now().Add(startRetryTimeout); ; {
		err := step()
		if err == nil || !isTransient(err) || time.Now().After(deadline) {
			return err
		}
		s.log.Warn("start: tried again", zap.String("what", operation), zap.Error(err))
		time.Sleep(startRetryDelay)
	}
}

// isTransient reports whether a retry after err may succeed.
func isTransient(err error) bool { return syserr.Transient(err) || errors.Is(err, members.ErrListen) }

// close stops everything that open started and waits for its goroutines.
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
	s.closeWatcher()
	s.releaseReservedDescriptors()
	_ = s.devNull.Close() // opened read-only
}
