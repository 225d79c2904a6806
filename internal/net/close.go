package net

import (
	"errors"
	stdnet "net"
	"net/netip"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxlane/internal/gateway"
	"foxlane/rules"
)

// This file owns how connections end. A close over bytes that nobody has read resets the connection, and takes
// with it what the other side has not read yet: our last answer. So a client's connection ends by a lingering
// close: our half is closed behind what was written, and the other half is read to its end, within bounds.

// shutdownPollInterval is how often the end of the process is looked at.
const shutdownPollInterval = 2 * time.Millisecond

// closeGracefully ends a connection behind what was written on it. That of an engine ends at once: nothing of ours is open
// on it, and what it still says answers nothing.
func (s *Server) closeGracefully(c *conn) {
	if !c.accepted {
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

var errClosedHere = errors.New("done with")

// shutdownConn ends a connection at once. It shuts it down, and the poller closes it when it sees that. The poller works off events
// in batches, by number of the descriptor: one that is closed from elsewhere within the batch may be a new connection's
// before its old event has its turn, which then ends the wrong one.
func (s *Server) shutdownConn(c *conn, why error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.conns[c.id] != c || c.closeErr != nil {
		return
	}
	c.closeErr = why
	if c.ownsDescriptor() {
		_ = syscall.Shutdown(c.nb.Hash(), syscall.SHUT_RDWR)
	}
	s.after(s.limits.FlushTimeout, func() { // should the system tell the poller nothing
		if s.connByID(c.id) == c {
			_ = c.nb.Close()
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

// ownsDescriptor answers whether the connection's number is still its own. Nbio tells of a close behind it, from another goroutine:
// the number may be another connection's by then. No two connections have the same ends.
func (c *conn) ownsDescriptor() bool {
	fd := c.nb.Hash()
	local, err := syscall.Getsockname(fd)
	if err != nil || !sameAddress(local, c.nb.LocalAddr()) {
		return false
	}
	remote, err := syscall.Getpeername(fd)
	return err == nil && sameAddress(remote, c.nb.RemoteAddr())
}

func sameAddress(a syscall.Sockaddr, b stdnet.Addr) bool {
	var at netip.AddrPort
	switch a := a.(type) {
	case *syscall.SockaddrInet4:
		at = netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *syscall.SockaddrInet6:
		at = netip.AddrPortFrom(netip.AddrFrom16(a.Addr).Unmap(), uint16(a.Port))
	}
	tcp, ok := b.(*stdnet.TCPAddr)
	return ok && at.IsValid() && at == netip.AddrPortFrom(tcp.AddrPort().Addr().Unmap(), tcp.AddrPort().Port())
}

// send writes to a connection. Where it turns out to be broken nbio closes it here and now, and its number must not be
// given out while the poller may still hold an event of it (see cut).
func (s *Server) send(c *conn, data []byte) {
	if c.pending.Add(int64(len(data))) > c.maxPending {
		s.shutdownConn(c, errPeerNotReading)
		return
	}
	if _, err := c.nb.Write(data); err != nil && !errors.Is(err, stdnet.ErrClosed) {
		s.reserveDescriptor(c.nb.Hash())
	}
	s.noteBlocked(c)
}

// reserveDescriptor holds the number of a descriptor that was closed a moment ago, until the poller has done with its batch. Few are held
// at a time: the oldest gives way.
func (s *Server) reserveDescriptor(fd int) {
	var lower []int
	defer func() {
		for _, n := range lower {
			syscall.Close(n)
		}
	}()
	for range maxReserveAttempts {
		n, err := syscall.Dup(int(s.devNull.Fd())) // the lowest number that is free
		switch {
		case err != nil:
			return
		case n == fd:
			s.mu.Lock()
			s.reserved = append(s.reserved, n)
			if len(s.reserved) > s.limits.MaxReservedDescriptors {
				syscall.Close(s.reserved[0])
				s.reserved = s.reserved[1:]
			}
			s.mu.Unlock()
			s.after(s.limits.FlushTimeout, func() { s.releaseDescriptor(n) })
			return
		case n > fd: // somebody has it
			syscall.Close(n)
			return
		}
		lower = append(lower, n)
	}
}

// maxReserveAttempts is how many lower numbers are passed over on the way to the one that is to be held.
const maxReserveAttempts = 8

// releaseDescriptor gives a number free that is still held.
func (s *Server) releaseDescriptor(fd int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.reserved, fd); i >= 0 {
		syscall.Close(fd)
		s.reserved = slices.Delete(s.reserved, i, i+1)
	}
}

func (s *Server) after(d rules.Time, do func()) {
	time.AfterFunc(time.Duration(d)*time.Microsecond, do)
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

// cancelDial ends a dial whose connection is wanted no more.
func (s *Server) cancelDial(id gateway.ConnID) {
	s.mu.Lock()
	giveUp := s.pendingDials[id]
	delete(s.pendingDials, id)
	s.mu.Unlock()
	if giveUp != nil {
		giveUp()
	}
}

// uncountReads notes which bytes the reducer takes from the mailbox.
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

// shutdownState is how far the end of the process has come.
type shutdownState struct {
	deadline time.Time // zero: it has not begun
	tick     <-chan time.Time
}

// next goes on with the end, or takes it back: something has come that is to be answered first.
func (s shutdownState) next(over bool) shutdownState {
	if !over {
		return shutdownState{}
	}
	s.tick = time.After(shutdownPollInterval)
	return s
}

// advanceShutdown goes on with the end of the process, once all is answered: nothing is accepted any more, and each client's
// connection is hung up on which no byte waits to be read. What waits goes to the reducer first. It answers whether
// all of them have ended, or the time for it is over.
func (s *Server) advanceShutdown(state *shutdownState) bool {
	if state.deadline.IsZero() {
		state.deadline = time.Now().Add(time.Duration(s.limits.FlushTimeout) * time.Microsecond)
		s.shuttingDown.Store(true)
		s.listener.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := len(s.queue.ready) > 0
	for _, c := range s.conns {
		switch {
		case c.pending.Load() > 0:
			left = true
		case c.accepted:
			left = true
			if !c.halfClosed && c.queuedReads == 0 && unreadBytes(c) == 0 {
				s.closeWrite(c)
			}
		}
	}
	return !left || !time.Now().Before(state.deadline)
}

// unreadBytes is how many bytes wait to be read on a connection.
func unreadBytes(c *conn) int {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	if err != nil {
		return 0 // it is not told
	}
	return n
}
