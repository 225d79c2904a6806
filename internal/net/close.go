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
func (e *Server) closeGracefully(c *conn) {
	if !c.accepted {
		e.shutdownConn(c, errClosedHere)
		return
	}
	e.mu.Lock()
	var oldest *conn
	if known := e.conns[c.id] == c && e.closeWrite(c); known && len(e.lingering) > e.limits.MaxLingering {
		oldest = e.lingering[0]
	}
	e.mu.Unlock()
	if oldest != nil {
		e.shutdownConn(oldest, errClosedHere)
	}
	e.after(e.limits.FlushTimeout, func() { e.shutdownConn(c, errClosedHere) })
}

var errClosedHere = errors.New("done with")

// shutdownConn ends a connection at once. It shuts it down, and the poller closes it when it sees that. The poller works off events
// in batches, by number of the descriptor: one that is closed from elsewhere within the batch may be a new connection's
// before its old event has its turn, which then ends the wrong one.
func (e *Server) shutdownConn(c *conn, why error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[c.id] != c || c.closeErr != nil {
		return
	}
	c.closeErr = why
	if c.ownsDescriptor() {
		_ = syscall.Shutdown(c.nb.Hash(), syscall.SHUT_RDWR)
	}
	e.after(e.limits.FlushTimeout, func() { // should the system tell the poller nothing
		if e.connByID(c.id) == c {
			_ = c.nb.Close()
			e.reserveDescriptor(c.nb.Hash())
		}
	})
}

// reset resets a connection: neither side reads what the system still holds of it.
func (e *Server) reset(c *conn) {
	if c.ownsDescriptor() {
		_ = syscall.SetsockoptLinger(c.nb.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
	}
	e.shutdownConn(c, errPeerNotReading)
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
func (e *Server) send(c *conn, data []byte) {
	if c.pending.Add(int64(len(data))) > c.maxPending {
		e.shutdownConn(c, errPeerNotReading)
		return
	}
	if _, err := c.nb.Write(data); err != nil && !errors.Is(err, stdnet.ErrClosed) {
		e.reserveDescriptor(c.nb.Hash())
	}
	e.noteBlocked(c)
}

// reserveDescriptor holds the number of a descriptor that was closed a moment ago, until the poller has done with its batch. Few are held
// at a time: the oldest gives way.
func (e *Server) reserveDescriptor(fd int) {
	var lower []int
	defer func() {
		for _, n := range lower {
			syscall.Close(n)
		}
	}()
	for range maxReserveAttempts {
		n, err := syscall.Dup(int(e.devNull.Fd())) // the lowest number that is free
		switch {
		case err != nil:
			return
		case n == fd:
			e.mu.Lock()
			e.reserved = append(e.reserved, n)
			if len(e.reserved) > e.limits.MaxReservedDescriptors {
				syscall.Close(e.reserved[0])
				e.reserved = e.reserved[1:]
			}
			e.mu.Unlock()
			e.after(e.limits.FlushTimeout, func() { e.releaseDescriptor(n) })
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
func (e *Server) releaseDescriptor(fd int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.reserved, fd); i >= 0 {
		syscall.Close(fd)
		e.reserved = slices.Delete(e.reserved, i, i+1)
	}
}

func (e *Server) after(d rules.Time, do func()) {
	time.AfterFunc(time.Duration(d)*time.Microsecond, do)
}

// closeWrite closes our half of a connection that is known. The caller holds the lock.
func (e *Server) closeWrite(c *conn) bool {
	if c.halfClosed {
		return true
	}
	if !c.ownsDescriptor() || syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR) != nil {
		return false
	}
	c.halfClosed = true
	e.lingering = append(e.lingering, c)
	return true
}

// cancelDial ends a dial whose connection is wanted no more.
func (e *Server) cancelDial(id gateway.ConnID) {
	e.mu.Lock()
	giveUp := e.pendingDials[id]
	delete(e.pendingDials, id)
	e.mu.Unlock()
	if giveUp != nil {
		giveUp()
	}
}

// uncountReads notes which bytes the reducer takes from the mailbox.
func (e *Server) uncountReads(events []queuedEvent) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range events {
		if events[i].event != nil {
			continue
		}
		if c := e.conns[events[i].received.Conn]; c != nil {
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
func (e *Server) advanceShutdown(s *shutdownState) bool {
	if s.deadline.IsZero() {
		s.deadline = time.Now().Add(time.Duration(e.limits.FlushTimeout) * time.Microsecond)
		e.shuttingDown.Store(true)
		e.listener.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	left := len(e.queue.ready) > 0
	for _, c := range e.conns {
		switch {
		case c.pending.Load() > 0:
			left = true
		case c.accepted:
			left = true
			if !c.halfClosed && c.queuedReads == 0 && unreadBytes(c) == 0 {
				e.closeWrite(c)
			}
		}
	}
	return !left || !time.Now().Before(s.deadline)
}

// unreadBytes is how many bytes wait to be read on a connection.
func unreadBytes(c *conn) int {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	if err != nil {
		return 0 // it is not told
	}
	return n
}
