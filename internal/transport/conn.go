package transport

import (
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/zap"

	"foxlane/internal/gateway"
	"foxlane/rules"
)

// This file has the connections that are open: who they are, what is written to them and how far that has got.

// conn is a connection with what the server knows of it.
type conn struct {
	id         gateway.ConnID
	nb         *nbio.Conn
	fromClient bool // it was accepted; false: it was dialed, to an engine

	// Written by the reducer's goroutine, read by the poller's, or the other way round.
	pending       atomic.Int64 // bytes that were written and that the system has not accepted
	maxPending    int64        // beyond which the connection is shut down
	acceptedBytes atomic.Int64 // bytes that the system has accepted, in all
	closing       atomic.Bool  // to be closed once none are pending
	notifyDrained atomic.Bool  // the reducer asked for WriteDrained once none are pending

	blockedMu    sync.Mutex   // keeps WriteBlocked and WriteDrained in order
	blockedSince atomic.Int64 // when bytes to an engine became pending, in the server's time; 0: none are

	// Under the server's lock.
	queuedReads int   // DataReceived events of it in the queue
	halfClosed  bool  // our half is closed: what comes is read and dropped
	closeErr    error // why it was shut down from here; nil: it was not
}

// errPeerNotReading is why a connection was shut down to which more is pending than it may hold.
var errPeerNotReading = errors.New("the other side does not read")

// slowThreshold is how long events or written bytes wait before that is worth a line in the log.
const slowThreshold = 100 * time.Millisecond

func (s *Server) connByID(id gateway.ConnID) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns[id]
}

// connByNB finds the connection that an nbio connection belongs to. The session that nbio would keep of it is not
// synchronised between its goroutines.
func (s *Server) connByNB(nb *nbio.Conn) *conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.connsByNB[nb]
}

// removeConn forgets a connection that has closed. It returns why it was shut down from here, if it was.
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

// countRead finds the connection on which bytes have come, and counts them as queued. It returns nil where they are to be
// dropped, as behind a half close.
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

// uncountReads notes which received bytes the reducer takes from the queue.
func (s *Server) uncountReads(events []queuedEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range events {
		if events[i].event != nil {
			continue
		}
		if c := s.conns[events[i].received.Conn]; c != nil {
			c.queuedReads--
		}
	}
}

// send writes to a connection. Where the connection turns out to be broken nbio closes it here and now, and its
// descriptor must not be given out again while the poller may still hold an event of it (see shutdownConn).
func (s *Server) send(c *conn, data []byte) {
	if c.pending.Add(int64(len(data))) > c.maxPending {
		s.shutdownConn(c, errPeerNotReading)
		return
	}
	if _, err := c.nb.Write(data); err != nil && !errors.Is(err, net.ErrClosed) {
		s.reserveDescriptor(c.nb.Hash())
	}
	s.noteBlocked(c)
}

// onWritten takes note that the system has accepted bytes. It runs under nbio's lock of the connection.
func (s *Server) onWritten(nb *nbio.Conn, _ []byte, n int) {
	c := s.connByNB(nb)
	if c == nil {
		return
	}
	c.acceptedBytes.Add(int64(n))
	if c.pending.Add(-int64(n)) > 0 {
		return
	}
	s.noteUnblocked(c)
	if c.closing.Load() {
		go s.closeGracefully(c) // it needs that lock
	}
	s.reportDrained(c)
}

// notifyWhenDrained has the reducer hear of it once nothing is pending.
func (s *Server) notifyWhenDrained(c *conn) {
	c.notifyDrained.Store(true)
	if c.pending.Load() <= 0 {
		s.reportDrained(c)
	}
}

// reportDrained tells the reducer, if it has asked, that a connection has taken all that was written to it: once.
func (s *Server) reportDrained(c *conn) {
	if c.notifyDrained.Swap(false) {
		s.queue.enqueue(gateway.WriteDrained{Conn: c.id})
	}
}

// noteBlocked tells the reducer that an engine does not take what was written to it, if it does not.
func (s *Server) noteBlocked(c *conn) {
	if c.fromClient || c.pending.Load() <= 0 || c.blockedSince.Load() != 0 {
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
