package transport

import (
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"foxlane/rules"
)

// This file has how connections end. A close while received bytes are unread resets the connection, and takes with it what
// the other side has not read yet: our last answer. So a client's connection ends by a lingering close: our half is
// closed behind what was written, and the other half is read to its end, within bounds.

// errClosedHere is why a connection was shut down that the reducer has closed.
var errClosedHere = errors.New("done with")

// closeAfterWrites closes a connection once nothing is pending on it, or after a while.
func (s *Server) closeAfterWrites(c *conn) {
	c.closing.Store(true)
	if c.pending.Load() <= 0 {
		s.closeGracefully(c)
		return
	}
	s.after(s.limits.FlushTimeout, func() { s.shutdownConn(c, errPeerNotReading) })
}

// closeGracefully ends a connection on which nothing is pending. That of an engine ends at once: no attempt is in flight
// on it, and what it still sends answers nothing.
func (s *Server) closeGracefully(c *conn) {
	if !c.fromClient {
		s.shutdownConn(c, errClosedHere)
		return
	}
	s.mu.Lock()
	var oldest *conn
	if known := s.conns[c.id] == c && s.closeWrite(c); known && len(s.lingering) > s.limits.MaxLingering {
		oldest = s.lingering[0]
	}
	s.mu.Unlock()
	if oldest != nil {
		s.shutdownConn(oldest, errClosedHere)
	}
	s.after(s.limits.FlushTimeout, func() { s.shutdownConn(c, errClosedHere) })
}

// closeWrite closes our half of a connection that is known. The caller holds the lock.
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

// shutdownConn ends a connection at once. It shuts the socket down, and the poller closes it when it sees that. The poller
// works off events in batches, by descriptor: a socket that is closed from another goroutine within a batch may be a new
// connection's before its old event has its turn, which then ends the wrong connection.
func (s *Server) shutdownConn(c *conn, why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c.id] != c || c.closeErr != nil {
		return
	}
	c.closeErr = why
	if c.ownsDescriptor() {
		_ = syscall.Shutdown(c.nb.Hash(), syscall.SHUT_RDWR) // it fails where the other side has ended it already
	}
	s.after(s.limits.FlushTimeout, func() { // in case the system tells the poller nothing
		if s.connByID(c.id) == c {
			_ = c.nb.Close() // nothing of it is needed any more
			s.reserveDescriptor(c.nb.Hash())
		}
	})
}

// reset resets a connection: neither side reads what the system still holds of it.
func (s *Server) reset(c *conn) {
	if c.ownsDescriptor() {
		_ = syscall.SetsockoptLinger(c.nb.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
	}
	s.shutdownConn(c, errPeerNotReading)
}

// ownsDescriptor answers whether the connection's descriptor is still its own. nbio reports a close after the fact, from
// another goroutine: the descriptor may be another connection's by then. No two connections have the same two addresses.
func (c *conn) ownsDescriptor() bool {
	fd := c.nb.Hash()
	local, err := syscall.Getsockname(fd)
	if err != nil || !sameAddress(local, c.nb.LocalAddr()) {
		return false
	}
	remote, err := syscall.Getpeername(fd)
	return err == nil && sameAddress(remote, c.nb.RemoteAddr())
}

func sameAddress(a syscall.Sockaddr, b net.Addr) bool {
	var at netip.AddrPort
	switch a := a.(type) {
	case *syscall.SockaddrInet4:
		at = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		at = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	tcp, ok := b.(*net.TCPAddr)
	return ok && at.IsValid() && at == netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}

func (s *Server) after(d rules.Time, do func()) {
	time.AfterFunc(time.Duration(d)*time.Microsecond, do)
}
