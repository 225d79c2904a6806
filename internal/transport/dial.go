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

// This file has the connections that the gateway makes to engines.

// startDial connects in a goroutine of its own, within a timeout and until the reducer closes the connection.
func (s *Server) startDial(id gateway.ConnID, addr netip.AddrPort, timeout rules.Time) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(timeout)*time.Microsecond)
	s.mu.Lock()
	s.pendingDials[id] = cancel
	s.mu.Unlock()
	s.dialWorkers.Go(func() {
		defer cancel()
		s.dial(ctx, id, addr)
	})
}

// dial connects and gives the connection to the poller. It connects by the standard library, which tells a refusal from a
// silence.
func (s *Server) dial(ctx context.Context, id gateway.ConnID, addr netip.AddrPort) {
	std, err := s.dialWithRetry(ctx, addr)
	var c *conn
	if err == nil {
		c, err = s.registerDialed(id, std)
	}
	if c != nil {
		if _, err = s.poller.AddConn(c.nb); err == nil {
			return // onOpen reports it
		}
		_ = s.removeConn(c) // it was never in use
	}
	s.cancelDial(id)
	s.queue.enqueue(gateway.DialFailed{Conn: id, Err: err, Local: syserr.Local(err)})
}

// A dial that failed for want of something on this machine is retried a few times: what it lacks may be back at once. A
// request that waited longer could have gone elsewhere.
const (
	maxDialAttempts = 4
	dialRetryPause  = 10 * time.Millisecond
)

// dialWithRetry dials, and dials again where the call failed for want of something on this machine.
func (s *Server) dialWithRetry(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	for attempt := 1; ; attempt++ {
		std, err := s.platform.Dial(ctx, addr)
		if err == nil || attempt == maxDialAttempts || !syserr.Local(err) || !sleep(ctx, dialRetryPause) {
			return std, err
		}
	}
}

// errDialCancelled is why a connection that came up was closed at once.
var errDialCancelled = errors.New("given up")

// registerDialed makes a connection that came up one of the server's. One whose dial was cancelled meanwhile is closed:
// nothing would ever use it.
func (s *Server) registerDialed(id gateway.ConnID, std net.Conn) (*conn, error) {
	nb, err := nbio.NBConn(std)
	if err != nil {
		_ = std.Close() // err says what is wrong with it
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wanted := s.pendingDials[id]
	delete(s.pendingDials, id)
	if !wanted {
		_ = nb.Close() // nothing was written on it
		return nil, errDialCancelled
	}
	c := &conn{id: id, nb: nb, maxPending: int64(s.limits.EngineSendBuffer)}
	s.connsByNB[nb], s.conns[id] = c, c // from here on a CloseConnection finds it
	return c, nil
}

// cancelDial ends a dial whose connection is no longer wanted.
func (s *Server) cancelDial(id gateway.ConnID) {
	s.mu.Lock()
	cancel := s.pendingDials[id]
	delete(s.pendingDials, id)
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}
