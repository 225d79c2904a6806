package transport

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"foxlane/rules"
)

// This file closes connections. Closing a socket that holds unread received bytes resets the connection, and the peer
// loses what it has not read yet, such as the last answer. Client connections therefore use a lingering close: the
// write half is closed after the last write, and the read half is read to its end, for a bounded time and a bounded
// number of connections.

// errClosedLocally is the cause of a shutdown that the reducer requested.
var errClosedLocally = errors.New("closed by the gateway")

// closeAfterWrites closes a connection once its pending bytes are written, or after FlushTimeout.
func (s *Server) closeAfterWrites(c *conn) {
	c.closeWhenDrained.Store(true)
	if c.pending.Load() <= 0 {
		s.closeGracefully(c)
		return
	}
	s.runAfter(s.limits.FlushTimeout, func() { s.shutdownConn(c, errPeerNotReading) })
}

// closeGracefully closes a connection that has no pending bytes. A client connection gets a lingering close; the
// oldest lingering connection is closed if there are more than MaxLingering. An engine connection is closed at once:
// no attempt is in flight on it, so whatever the engine still sends is not an answer.
func (s *Server) closeGracefully(c *conn) {
	if !c.fromClient {
		s.shutdownConn(c, errClosedLocally)
		return
	}
	s.mu.Lock()
	var oldest *conn
	if halfClosed := s.conns[c.id] == c && s.closeWrite(c); halfClosed && len(s.lingering) > s.limits.MaxLingering {
		oldest = s.lingering[0]
	}
	s.mu.Unlock()
	if oldest != nil {
		s.shutdownConn(oldest, errClosedLocally)
	}
	s.runAfter(s.limits.FlushTimeout, func() { s.shutdownConn(c, errClosedLocally) })
}

// closeWrite closes the write half of a connection and reports whether that half is closed. The caller holds s.mu.
func (s *Server) closeWrite(c *conn) bool {
	if c.halfClosed {
		return true
	}
	if !c.ownsDescriptor() || syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR) != nil {
		return false
	}
	c.halfClosed = true
	s.lingering = append(s.lingering, c)
	return true
}

// shutdownConn ends a connection at once. It only shuts the socket down; the poller closes it when it gets the event.
// The poller handles events in batches, keyed by descriptor: if another goroutine closed the socket during a batch,
// its descriptor could be reused for a new connection, which the stale event would then close.
func (s *Server) shutdownConn(c *conn, cause error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c.id] != c || c.closeErr != nil {
		return
	}
	c.closeErr = cause
	if c.ownsDescriptor() {
		_ = syscall.Shutdown(c.nb.Hash(), syscall.SHUT_RDWR) // fails if the peer has already closed the connection
	}
	s.runAfter(s.limits.FlushTimeout, func() { // in case the poller gets no event
		if s.connByID(c.id) == c {
			_ = c.nb.Close() // the connection is no longer used
			s.reserveDescriptor(c.nb.Hash())
		}
	})
}

// reset resets a connection, which discards the bytes still held in socket buffers.
func (s *Server) reset(c *conn) {
	if c.ownsDescriptor() {
		_ = syscall.SetsockoptLinger(c.nb.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
	}
	s.shutdownConn(c, errPeerNotReading)
}

// ownsDescriptor reports whether the connection's descriptor still belongs to it. nbio reports a close afterwards,
// from another goroutine, when the descriptor may already belong to another connection. The comparison of both
// addresses is sufficient, since no two connections share the same pair.
func (c *conn) ownsDescriptor() bool {
	fd := c.nb.Hash()
	local, err := syscall.Getsockname(fd)
	if err != nil || !sameAddress(local, c.nb.LocalAddr()) {
		return false
	}
	remote, err := syscall.Getpeername(fd)
	return err == nil && sameAddress(remote, c.nb.RemoteAddr())
}

// sameAddress reports whether sockaddr and addr are the same TCP address.
func sameAddress(sockaddr syscall.Sockaddr, addr net.Addr) bool {
	var addrPort netip.AddrPort
	switch a := sockaddr.(type) {
	case *syscall.SockaddrInet4:
		addrPort = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		addrPort = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	tcp, ok := addr.(*net.TCPAddr)
	return ok && addrPort.IsValid() && addrPort == netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}

// runAfter calls action in a goroutine of its own after delay. If the process stalled meanwhile, input and output that
// are pending get LongSettleTime first.
func (s *Server) runAfter(delay rules.Time, action func()) {
	due := s.now() + delay
	time.AfterFunc(time.Duration(delay)*time.Microsecond, func() {
		defer s.reportPanic("timer")
		if s.now()-due >= s.limits.StallThreshold {
			sleep(s.ctx, time.Duration(s.limits.LongSettleTime)*time.Microsecond)
		}
		action()
	})
}
