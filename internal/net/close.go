package net

import (
	"errors"
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

// cut ends a connection at once. It shuts it down, and the poller closes it when it sees that. Nothing else closes
// a descriptor: the poller works off events in batches, by number, and one that was closed within a batch may be a
// new connection's before its old event has its turn, which then ends the wrong one.
func (e *Edge) cut(c *conn, why error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[c.id] != c || c.err != nil {
		return
	}
	c.err = why
	_ = syscall.Shutdown(c.nb.Hash(), syscall.SHUT_RDWR)    // one that is not connected any more has its event already
	e.after(e.lim.FlushWithin, func() { _ = c.nb.Close() }) // should the system tell the poller nothing
}

// send writes as much as the system takes and leaves the rest to nbio. It does not write by nbio from the start, since
// that closes a broken connection from the goroutine that writes (see cut).
func (e *Edge) send(c *conn, data []byte) {
	if c.pending.Load() == 0 {
		n, err := e.writeOnce(c, data)
		if err != nil { // what is missing can't be sent later, behind what follows
			e.cut(c, err)
			return
		}
		data = data[n:]
	}
	if len(data) == 0 {
		return
	}
	if c.pending.Add(int64(len(data))) > c.most {
		e.cut(c, errNotRead)
		return
	}
	_, _ = c.nb.Write(data) // an error has closed it
}

// writeOnce is one call of the system's write, on a descriptor that is still this connection's.
func (e *Edge) writeOnce(c *conn, data []byte) (n int, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conns[c.id] != c || c.hungUp || c.err != nil {
		return 0, errDone
	}
	n, err = syscall.Write(c.nb.Hash(), data)
	if err == syscall.EAGAIN || err == syscall.EINTR {
		n, err = 0, nil
	}
	c.taken.Add(int64(max(n, 0)))
	return max(n, 0), err
}

func (e *Edge) after(d rules.Time, do func()) { time.AfterFunc(time.Duration(d)*time.Microsecond, do) }

// shutWrite closes our half of a connection. The caller holds the lock, and the connection is known: its
// descriptor, by which nbio names it, is closed behind forget only, and can't be another's yet.
func (e *Edge) shutWrite(c *conn) bool {
	if c.hungUp {
		return true
	}
	if syscall.Shutdown(c.nb.Hash(), syscall.SHUT_WR) != nil {
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
			if c.queued == 0 && unread(c) == 0 {
				e.shutWrite(c)
			}
		}
	}
	return !left || !time.Now().Before(s.until)
}

// unread is how many bytes wait to be read on a connection whose descriptor is known to be its own.
func unread(c *conn) int {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	if err != nil {
		return 0 // it is not told
	}
	return n
}
