package net

import (
	"context"
	"errors"
	stdnet "net"
	"net/netip"
	"time"

	"github.com/lesismal/nbio"

	"foxlane/internal/gateway"
	"foxlane/internal/syserr"
	"foxlane/rules"
)

// This file owns how connections begin: those that clients make and those to engines.

// onOpen takes in a connection that a client has opened, or that a dial has. Where clients come
// faster than the reducer can close others for them, the accepting goroutine waits here: descriptors
// must not run out, or dials to engines fail with them.
func (s *Server) onOpen(nb *nbio.Conn) {
	s.mu.Lock()
	c := s.connsByNB[nb]
	if c == nil {
		for s.clientCount >= s.limits.MaxClients+s.limits.AcceptOverflow && !s.shuttingDown.Load() {
			s.clientClosed.Wait()
		}
		s.lastAccepted++
		s.clientCount++
		c = &conn{id: s.lastAccepted, nb: nb, maxPending: int64(s.limits.ClientSendBuffer), accepted: true}
		s.connsByNB[nb] = c
	}
	s.conns[c.id] = c
	s.mu.Unlock()
	if c.accepted {
		s.queue.enqueue(gateway.ConnectionAccepted{Conn: c.id, From: remoteIP(nb.RemoteAddr())})
	} else {
		s.queue.enqueue(gateway.DialSucceeded{Conn: c.id})
	}
}

// remoteIP is the address of the other side, or none.
func remoteIP(a stdnet.Addr) netip.Addr {
	if tcp, ok := a.(*stdnet.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// startDial connects in a goroutine of its own, for so long at most and until the reducer closes the connection.
func (s *Server) startDial(id gateway.ConnID, addr netip.AddrPort, wait rules.Time) {
	ctx, giveUp := context.WithTimeout(context.Background(), time.Duration(wait)*time.Microsecond)
	s.mu.Lock()
	s.pendingDials[id] = giveUp
	s.mu.Unlock()
	s.dialWorkers.Go(func() {
		defer giveUp()
		s.dial(ctx, id, addr)
	})
}

// dial connects by the standard library, which tells a refusal from a silence.
func (s *Server) dial(ctx context.Context, id gateway.ConnID, addr netip.AddrPort) {
	std, err := s.dialWithRetry(ctx, addr)
	var c *conn
	if err == nil {
		c, err = s.registerDialed(id, std)
	}
	if c != nil {
		if _, err = s.poller.AddConn(c.nb); err == nil {
			return
		}
		_ = s.removeConn(c)
	}
	s.cancelDial(id)
	s.queue.enqueue(gateway.DialFailed{Conn: id, Err: err, Local: syserr.Local(err)})
}

// A connection that this machine could not make is tried again a few times: what it lacks may be back at once. Who waits
// for longer could have gone elsewhere.
const (
	maxDialAttempts = 4
	dialRetryPause  = 10 * time.Millisecond
)

// dialWithRetry dials, and dials again where the call failed for want of something on this machine.
func (s *Server) dialWithRetry(ctx context.Context, addr netip.AddrPort) (stdnet.Conn, error) {
	for try := 1; ; try++ {
		conn, err := s.platform.Dial(ctx, addr)
		if err == nil || try == maxDialAttempts || !syserr.Local(err) || !sleep(ctx, dialRetryPause) {
			return conn, err
		}
	}
}

// sleep waits, or answers false once the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

var errDialCancelled = errors.New("given up")

// registerDialed makes a connection that came up one of the edge's. One that was given up meanwhile is closed: nobody would
// ever use it.
func (s *Server) registerDialed(id gateway.ConnID, std stdnet.Conn) (*conn, error) {
	nb, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	_, wanted := s.pendingDials[id]
	delete(s.pendingDials, id)
	if !wanted {
		_ = nb.Close()
		return nil, errDialCancelled
	}
	c := &conn{id: id, nb: nb, maxPending: int64(s.limits.EngineSendBuffer)}
	s.connsByNB[nb], s.conns[id] = c, c // from here on the reducer's close finds it
	return c, nil
}
