package transport

import (
	"errors"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"foxlane/internal/gateway"
	"foxlane/rules"
)

// This file keeps track of open connections and writes to them.

// conn is the state of one connection.
type conn struct {
	id         gateway.ConnID
	nb         *nbio.Conn
	fromClient bool // accepted from a client; false: dialed to an engine

	// Shared by the reducer's and the poller's goroutines.
	pending          atomic.Int64 // bytes written that the kernel has not accepted yet
	maxPending       int64        // bytes; the connection is shut down if more are pending
	acceptedBytes    atomic.Int64 // total bytes that the kernel has accepted
	closeWhenDrained atomic.Bool  // close the connection once no bytes are pending
	notifyDrained    atomic.Bool  // the reducer requested WriteDrained once no bytes are pending
	unsentLimited    atomic.Bool  // the kernel holds few unsent bytes: WriteDrained comes once it has sent most of them

	blockedMu    sync.Mutex   // keeps WriteBlocked and WriteUnblocked in order
	blockedSince atomic.Int64 // server time at which bytes became pending; 0: no bytes are pending

	// Guarded by Server.mu.
	queuedInput int   // DataReceived and WriteUnblocked events of this connection in the queue
	halfClosed  bool  // the write half is closed; received bytes are read and dropped
	closeErr    error // why this process shut the connection down; nil: it did not
}

// errPeerNotReading is the cause of a shutdown after too many bytes were pending, or were pending for too long.
var errPeerNotReading = errors.New("peer is not reading")

// slowThreshold is how long events or written bytes may wait before a warning is logged.
const slowThreshold = 100 * time.Millisecond

func (s *Server) connByID(id gateway.ConnID) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[id]
}

// connByNB returns the state of an nbio connection, or nil. It uses a map because access to the session value of an
// nbio connection is not synchronized between nbio's goroutines.
func (s *Server) connByNB(nb *nbio.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connsByNB[nb]
}

// removeConn removes a closed connection. It returns the cause if this process shut the connection down.
func (s *Server) removeConn(c *conn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c.id)
	delete(s.connsByNB, c.nb)
	if c.halfClosed {
		s.lingering = slices.DeleteFunc(s.lingering, func(o *conn) bool { return o == c })
	}
	if c.fromClient {
		s.clientCount--
		s.clientClosed.Signal()
	}
	return c.closeErr
}

// recordQueuedRead counts a read as queued and returns its connection. It returns nil if the received bytes are to be
// dropped, as they are after a half close.
func (s *Server) recordQueuedRead(nb *nbio.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.connsByNB[nb]
	if c == nil || c.halfClosed {
		return nil
	}
	c.queuedInput++
	return c
}

// recordQueued counts a WriteUnblocked of a connection as queued.
func (s *Server) recordQueued(c *conn) {
	s.mu.Lock()
	c.queuedInput++
	s.mu.Unlock()
}

// recordDequeued counts the events among which a client's input may be as taken from the queue.
func (s *Server) recordDequeued(events []queuedEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range events {
		id := events[i].received.Conn
		if events[i].event != nil {
			unblocked, ok := events[i].event.(gateway.WriteUnblocked)
			if !ok {
				continue
			}
			id = unblocked.Conn
		}
		if c := s.conns[id]; c != nil {
			c.queuedInput--
		}
	}
}

// send writes to a connection. If the write fails, nbio closes the connection immediately; its descriptor is then
// reserved so that it is not reused while the poller may still hold an event for it (see shutdownConn).
func (s *Server) send(c *conn, data []byte) {
	if c.pending.Add(int64(len(data))) > c.maxPending {
		s.shutdownConn(c, errPeerNotReading)
		return
	}
	if _, err := c.nb.Write(data); err != nil && !errors.Is(err, net.ErrClosed) {
		s.reserveDescriptor(c.nb.Hash())
	}
	s.reportBlocked(c)
}

// onWritten records that the kernel has accepted n bytes. nbio calls it with its lock on the connection held.
func (s *Server) onWritten(nb *nbio.Conn, _ []byte, n int) {
	defer s.reportPanic("data written")
	c := s.connByNB(nb)
	if c == nil {
		return
	}
	c.acceptedBytes.Add(int64(n))
	if c.pending.Add(-int64(n)) > 0 {
		return
	}
	s.reportUnblocked(c)
	if c.closeWhenDrained.Load() {
		go s.closeGracefully(c) // closing takes the lock that nbio holds here
	}
	s.reportDrained(c)
}

// notifyWhenDrained sends one WriteDrained event to the reducer once no bytes are pending.
func (s *Server) notifyWhenDrained(c *conn) {
	c.notifyDrained.Store(true)
	if c.pending.Load() <= 0 {
		s.reportDrained(c)
	}
}

// limitUnsent sets how many bytes the kernel holds for a connection before it sends them; 0: as many as it likes. Bytes on
// their way to the peer don't count, so the limit costs no throughput.
func (s *Server) limitUnsent(c *conn, bytes int) {
	limited := bytes > 0
	if !limited {
		bytes = math.MaxInt32
	}
	if !c.ownsDescriptor() {
		return
	}
	err := unix.SetsockoptInt(c.nb.Hash(), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, bytes)
	if err != nil {
		s.log.Debug("unsent bytes not limited", zap.Error(err))
	}
	c.unsentLimited.Store(err == nil && limited)
}

// reportDrained sends WriteDrained to the reducer if requested, once per request. Where unsent bytes are limited, the watcher
// sends it once most of them are sent.
func (s *Server) reportDrained(c *conn) {
	if !c.notifyDrained.Swap(false) {
		return
	}
	if s.watcher != nil && c.unsentLimited.Load() && s.watcher.watch(c) {
		return
	}
	s.queue.enqueue(gateway.WriteDrained{Conn: c.id})
}

// reportBlocked sends WriteBlocked to the reducer if bytes have become pending.
func (s *Server) reportBlocked(c *conn) {
	pending := c.pending.Load()
	if pending <= 0 || c.blockedSince.Load() != 0 {
		return
	}
	c.blockedMu.Lock()
	c.blockedSince.Store(int64(s.now()))
	s.queue.enqueue(gateway.WriteBlocked{Conn: c.id, Pending: pending})
	c.blockedMu.Unlock()
	if c.pending.Load() <= 0 { // the bytes were accepted in the meantime
		s.reportUnblocked(c)
	}
}

// reportUnblocked sends WriteUnblocked to the reducer if writes were blocked. It logs a wait of at least slowThreshold for
// an engine.
func (s *Server) reportUnblocked(c *conn) {
	if c.blockedSince.Load() == 0 {
		return
	}
	c.blockedMu.Lock()
	defer c.blockedMu.Unlock()
	since := c.blockedSince.Swap(0)
	if since == 0 {
		return
	}
	s.recordQueued(c)
	s.queue.enqueue(gateway.WriteUnblocked{Conn: c.id})
	if waited := s.now() - rules.Time(since); !c.fromClient && waited >= rules.Time(slowThreshold.Microseconds()) {
		s.log.Warn("engine: bytes written waited", zap.Uint64("connection", uint64(c.id)&^(1<<63)), zap.Int64("ms", int64(waited/rules.Millisecond)))
	}
}
