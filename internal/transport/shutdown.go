package transport

import (
	"time"

	"golang.org/x/sys/unix"
)

// This file has the end of the process, once the reducer says that all is answered.

// shutdownPollInterval is how often the end of the process is looked at.
const shutdownPollInterval = 2 * time.Millisecond

// shutdownState is how far the end of the process has come. The zero value is that it has not begun.
type shutdownState struct {
	deadline time.Time // zero: it has not begun
	tick     <-chan time.Time
}

// next goes on with the end, or takes it back: something has come that is to be answered first.
func (s shutdownState) next(exit bool) shutdownState {
	if !exit {
		return shutdownState{}
	}
	s.tick = time.After(shutdownPollInterval)
	return s
}

// advanceShutdown goes on with the end of the process: nothing is accepted any more, and each client's connection is half
// closed on which no byte waits to be read. What waits goes to the reducer first. It answers whether all connections have
// ended, or the time for that is over.
func (s *Server) advanceShutdown(state *shutdownState) bool {
	if state.deadline.IsZero() {
		state.deadline = time.Now().Add(time.Duration(s.limits.FlushTimeout) * time.Microsecond)
		s.shuttingDown.Store(true)
		_ = s.listener.Close() // it is closed already where the end was taken back
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	left := len(s.queue.ready) > 0
	for _, c := range s.conns {
		switch {
		case c.pending.Load() > 0:
			left = true
		case c.fromClient:
			left = true
			if !c.halfClosed && c.queuedReads == 0 && unreadBytes(c) == 0 {
				s.closeWrite(c)
			}
		}
	}
	return !left || !time.Now().Before(state.deadline)
}

// unreadBytes is how many bytes wait to be read on a connection, as far as the system says.
func unreadBytes(c *conn) int {
	n, err := unix.IoctlGetInt(c.nb.Hash(), unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}
