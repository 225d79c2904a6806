package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"

	"github.com/lesismal/nbio"

	"foxlane/internal/gateway"
	"foxlane/internal/syserr"
	"foxlane/rules"
)

// This file dials engines.

// startDial dials in a goroutine of its own, until the timeout or until the reducer closes the connection.
func (s *Server) startDial(id gateway.ConnID, addr netip.AddrPort, timeout rules.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeout)*time.Microsecond)
	s.mu.Lock()
	s.pendingDials[id] = cancel
	s.mu.Unlock()
	s.dialWorkers.Go(func() {
		defer cancel()
		defer s.reportPanic("dial")
		s.dial(ctx, id, addr)
	})
}

// dial connects and hands the connection to the poller. It dials through the standard library, which distinguishes a
// refused connection from a timeout.
func (s *Server) dial(ctx context.Context, id gateway.ConnID, addr netip.AddrPort) {
	netConn, err := s.dialWithRetry(ctx, addr)
	var c *conn
	if err == nil {
		c, err = s.registerDialed(id, netConn)
	}
	if c != nil {
		if _, err = s.poller.AddConn(c.nb); err == nil {
			return // onOpen reports the connection
		}
		_ = s.removeConn(c) // the connection was never used
	}
	s.cancelDial(id)
	s.queue.enqueue(gateway.DialFailed{Conn: id, Err: err, Local: syserr.Local(err)})
}

// A dial that failed for a cause on this machine is retried a few times, since a lacking resource may soon be
// available again. Retries are kept short: after a longer wait the request could have been sent to another engine.
const (
	maxDialAttempts = 4
	dialRetryDelay  = 10 * time.Millisecond
)

// dialWithRetry dials, with retries after failures whose cause is on this machine.
func (s *Server) dialWithRetry(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	for attempt := 1; ; attempt++ {
		netConn, err := s.platform.Dial(ctx, addr)
		if err == nil || attempt == maxDialAttempts || !syserr.Local(err) || !sleep(ctx, dialRetryDelay) {
			return netConn, err
		}
	}
}

// errDialCancelled is the error of a dial that succeeded after it was cancelled.
var errDialCancelled = errors.New("dial cancelled")

// registerDialed registers an established connection. If the dial was cancelled in the meantime, it closes the
// connection and returns errDialCancelled.
func (s *Server) registerDialed(id gateway.ConnID, netConn net.Conn) (*conn, error) {
	nb, err := nbio.NBConn(netConn)
	if err != nil {
		_ = netConn.Close() // the caller gets err
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wanted := s.pendingDials[id]
	delete(s.pendingDials, id)
	if !wanted {
		_ = nb.Close() // nothing was written to it
		return nil, errDialCancelled
	}
	c := &conn{id: id, nb: nb, maxPending: int64(s.limits.EngineSendBuffer)}
	s.connsByNB[nb], s.conns[id] = c, c // CloseConnection effects find the connection from here on
	return c, nil
}

// cancelDial cancels a pending dial; if there is none, it does nothing.
func (s *Server) cancelDial(id gateway.ConnID) {
	s.mu.Lock()
	cancel := s.pendingDials[id]
	delete(s.pendingDials, id)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
