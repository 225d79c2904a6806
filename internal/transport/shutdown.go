package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// This file closes the connections at shutdown, after the reducer has reported that all requests are answered.

// shutdownPollInterval is how often the progress of the shutdown is checked.
const shutdownPollInterval = 2 * time.Millisecond

// shutdownState is the progress of the shutdown. The zero value means that it has not begun.
type shutdownState struct {
	deadline time.Time // zero: the shutdown has not begun
	tick     <-chan time.Time
}

// next returns the state for the next iteration. Without exit, the shutdown is reverted: new input must be answered
// first.
func (s shutdownState) next(exit bool) shutdownState {
	if !exit {
		return shutdownState{}
	}
	s.tick = time.After(shutdownPollInterval)
	return s
}

// advanceShutdown stops accepting connections and half closes each client connection that has no unread bytes; unread
// bytes go to the reducer first. It reports whether the shutdown is complete: all client connections are closed, and
// no written bytes or queued events are pending, or FlushTimeout or the time for the exit has passed.
func (s *Server) advanceShutdown(state *shutdownState) bool {
	if state.deadline.IsZero() {
		state.deadline = time.Now().Add(s.closeTimeout(time.Duration(s.limits.FlushTimeout) * time.Microsecond))
		s.shuttingDown.Store(true)
		_ = s.listener.Close() // already closed if the shutdown was reverted before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	busy := len(s.queue.ready) > 0
	for _, c := range s.conns {
		switch {
		case c.pending.Load() > 0:
			busy = true
		case c.fromClient:
			busy = true
			if !c.halfClosed && c.queuedInput == 0 && unreadBytes(c) == 0 {
				s.closeWrite(c)
			}
		}
	}
	return !busy || !time.Now().Before(state.deadline)
}

// unreadBytes returns how many bytes the kernel holds for reading on a connection, or 0 if that is unknown.
func unreadBytes(c *conn) int {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}
