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

// tickEvery is how often the end of the process is looked at.
const tickEvery = 2 * time.Millisecond

// hangUp ends a connection behind what was written on it. That of an engine ends at once: nothing of ours is open
// on it, and what it still says answers nothing.
func (e *Edge) hangUp(c *conn) {
	if !c.client {
		e.cut(c, errDone)
		return
	}
	e.mu.Lock()
	var oldest *conn
	if known := e.conns[c.id] == c && e.shutWrite(c); known && len(e.lingers) > e.lim.Lingering {
		oldest = e.lingers[0]
	}
	e.mu.Unlock()
	if oldest != nil {
		e.cut(oldest, errDone)
	}
	e.after(e.lim.FlushWithin, func() { e.cut(c, errDone) })
}

var errDone = errors.New("done with")

// cut ends a connection at once. It shuts it down, and the poller closes it when it sees that. The poller works off events
// in batches, by number of the descriptor: one that is closed from elsewhere within the batch may be a new connection's
// before its old event has its turn, which then ends the wrong one.
func (e *Edge) cut(c *conn, why error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[c.id] != c || c.err != nil {
		return
	}
	c.err = why
	if c.owns() {
		_ = syscall.Shutdown(c.nb.Hash(), syscall.SHUT_RDWR)
	}
	e.after(e.lim.FlushWithin, func() { // should the system tell the poller nothing
		if e.get(c.id) == c {
			_ = c.nb.Close()
			e.plug(c.nb.Hash())
		}
	})
}

// abort resets a connection: neither side reads what the system still holds of it.
func (e *Edge) abort(c *conn) {
	if c.owns() {
		_ = syscall.SetsockoptLinger(c.nb.Hash(), syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1, Linger: 0})
	}
	e.cut(c, errNotRead)
}

// owns answers whether the connection's number is still its own. Nbio tells of a close behind it, from another goroutine:
// the number may be another connection's by then. No two connections have the same ends.
func (c *conn) owns() bool {
	fd := c.nb.Hash()
	local, err := syscall.Getsockname(fd)
	if err != nil || !same(local, c.nb.LocalAddr()) {
		return false
	}
	remote, err := syscall.Getpeername(fd)
	return err == nil && same(remote, c.nb.RemoteAddr())
}

func same(a syscall.Sockaddr, b stdnet.Addr) bool {
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
func (e *Edge) send(c *conn, data []byte) {
	if c.pending.Add(int64(len(data))) > c.most {
		e.cut(c, errNotRead)
		return
	}
	if _, err := c.nb.Write(data); err != nil && !errors.Is(err, stdnet.ErrClosed) {
		e.plug(c.nb.Hash())
	}
	e.noteBlocked(c)
}

// plug holds the number of a descriptor that was closed a moment ago, until the poller has done with its batch. Few are held
// at a time: the oldest gives way.
func (e *Edge) plug(fd int) {
	var lower []int
	defer func() {
		for _, n := range lower {
			syscall.Close(n)
		}
	}()
	for range plugTries {
		n, err := syscall.Dup(int(e.null.Fd())) // the lowest number that is free
		switch {
		case err != nil:
			return
		case n == fd:
			e.mu.Lock()
			e.plugs = append(e.plugs, n)
			if len(e.plugs) > e.lim.Plugs {
				syscall.Close(e.plugs[0])
				e.plugs = e.plugs[1:]
			}
			e.mu.Unlock()
			e.after(e.lim.FlushWithin, func() { e.unplug(n) })
			return
		case n > fd: // somebody has it
			syscall.Close(n)
			return
		}
		lower = append(lower, n)
	}
}

// plugTries is how many lower numbers are passed over on the way to the one that is to be held.
const plugTries = 8

// unplug gives a number free that is still held.
func (e *Edge) unplug(fd int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if i := slices.Index(e.plugs, fd); i >= 0 {
		syscall.Close(fd)
		e.plugs = slices.Delete(e.plugs, i, i+1)
	}
}

func (e *Edge) after(d rules.Time, do func()) { time.AfterFunc(time.Duration(d)*time.Microsecond, do) }

// shutWrite closes our half of a connection that is known. The caller holds the lock.
func (e *Edge) shutWrite(c *conn) bool {
	if c.hungUp {
		return true
	}
	if !c.owns() || syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR) != nil {
		return false
	}
	c.hungUp = true
	e.lingers = append(e.lingers, c)
	return true
}

// giveUpDial ends a dial whose connection is wanted no more.
func (e *Edge) giveUpDial(id gateway.ConnID) {
	e.mu.Lock()
	giveUp := e.dialling[id]
	delete(e.dialling, id)
	e.mu.Unlock()
	if giveUp != nil {
		giveUp()
	}
}

// unqueue notes which bytes the reducer takes from the mailbox.
func (e *Edge) unqueue(events []gateway.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i := range events {
		if events[i].Kind == gateway.Data {
			if c := e.conns[events[i].Conn]; c != nil {
				c.queued--
			}
		}
	}
}

// ending is how far the end of the process has come.
type ending struct {
	until time.Time // zero: it has not begun
	tick  <-chan time.Time
}

// next goes on with the end, or takes it back: something has come that is to be answered first.
func (s ending) next(over bool) ending {
	if !over {
		return ending{}
	}
	s.tick = time.After(tickEvery)
	return s
}

// end goes on with the end of the process, once all is answered: nothing is accepted any more, and each client's
// connection is hung up on which no byte waits to be read. What waits goes to the reducer first. It answers whether
// all of them have ended, or the time for it is over.
func (e *Edge) end(s *ending) bool {
	if s.until.IsZero() {
		s.until = time.Now().Add(time.Duration(e.lim.FlushWithin) * time.Microsecond)
		e.ending.Store(true)
		e.listener.Close()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	left := len(e.box.ready) > 0
	for _, c := range e.conns {
		switch {
		case c.pending.Load() > 0:
			left = true
		case c.client:
			left = true
			if !c.hungUp && c.queued == 0 && unread(c) == 0 {
				e.shutWrite(c)
			}
		}
	}
	return !left || !time.Now().Before(s.until)
}

// unread is how many bytes wait to be read on a connection.
func unread(c *conn) int {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	if err != nil {
		return 0 // it is not told
	}
	return n
}
