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
func (e *Server) onOpen(nb *nbio.Conn) {
	e.mu.Lock()
	c := e.connsByNB[nb]
	if c == nil {
		for e.clientCount >= e.limits.MaxClients+e.limits.AcceptOverflow && !e.shuttingDown.Load() {
			e.clientClosed.Wait()
		}
		e.lastAccepted++
		e.clientCount++
		c = &conn{id: e.lastAccepted, nb: nb, maxPending: int64(e.limits.ClientSendBuffer), accepted: true}
		e.connsByNB[nb] = c
	}
	e.conns[c.id] = c
	e.mu.Unlock()
	if c.accepted {
		e.queue.enqueue(gateway.ConnectionAccepted{Conn: c.id, From: remoteIP(nb.RemoteAddr())})
	} else {
		e.queue.enqueue(gateway.DialSucceeded{Conn: c.id})
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
func (e *Server) startDial(id gateway.ConnID, addr netip.AddrPort, wait rules.Time) {
	ctx, giveUp := context.WithTimeout(context.Background(), time.Duration(wait)*time.Microsecond)
	e.mu.Lock()
	e.pendingDials[id] = giveUp
	e.mu.Unlock()
	e.dialWorkers.Go(func() {
		defer giveUp()
		e.dial(ctx, id, addr)
	})
}

// dial connects by the standard library, which tells a refusal from a silence.
func (e *Server) dial(ctx context.Context, id gateway.ConnID, addr netip.AddrPort) {
	std, err := e.dialWithRetry(ctx, addr)
	var c *conn
	if err == nil {
		c, err = e.registerDialed(id, std)
	}
	if c != nil {
		if _, err = e.poller.AddConn(c.nb); err == nil {
			return
		}
		_ = e.removeConn(c)
	}
	e.cancelDial(id)
	e.queue.enqueue(gateway.DialFailed{Conn: id, Err: err, Local: syserr.Local(err)})
}

// A connection that this machine could not make is tried again a few times: what it lacks may be back at once. Who waits
// for longer could have gone elsewhere.
const (
	maxDialAttempts = 4
	dialRetryPause  = 10 * time.Millisecond
)

// dialWithRetry dials, and dials again where the call failed for want of something on this machine.
func (e *Server) dialWithRetry(ctx context.Context, addr netip.AddrPort) (stdnet.Conn, error) {
	for try := 1; ; try++ {
		conn, err := e.platform.Dial(ctx, addr)
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
func (e *Server) registerDialed(id gateway.ConnID, std stdnet.Conn) (*conn, error) {
	nb, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, wanted := e.pendingDials[id]
	delete(e.pendingDials, id)
	if !wanted {
		_ = nb.Close()
		return nil, errDialCancelled
	}
	c := &conn{id: id, nb: nb, maxPending: int64(e.limits.EngineSendBuffer)}
	e.connsByNB[nb], e.conns[id] = c, c // from here on the reducer's close finds it
	return c, nil
}
