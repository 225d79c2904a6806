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
func (e *Edge) onOpen(nb *nbio.Conn) {
	e.mu.Lock()
	c, kind := e.byNB[nb], gateway.Connected
	if c == nil {
		for e.clients >= e.lim.Clients+e.lim.AcceptAhead && !e.ending.Load() {
			e.fewer.Wait()
		}
		e.accepted++
		e.clients++
		c, kind = &conn{id: e.accepted, nb: nb, most: int64(e.lim.ClientOut), client: true}, gateway.Accepted
		e.byNB[nb] = c
	}
	e.conns[c.id] = c
	e.mu.Unlock()
	ev := gateway.Event{Kind: kind, Conn: c.id}
	if c.client {
		ev.From = addressOf(nb.RemoteAddr())
	}
	e.box.put(ev)
}

// addressOf is the address of the other side, or none.
func addressOf(a stdnet.Addr) netip.Addr {
	if tcp, ok := a.(*stdnet.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

// beginDial connects in a goroutine of its own, for so long at most and until the reducer closes the connection.
func (e *Edge) beginDial(id gateway.ConnID, addr netip.AddrPort, wait rules.Time) {
	ctx, giveUp := context.WithTimeout(context.Background(), time.Duration(wait)*time.Microsecond)
	e.mu.Lock()
	e.dialling[id] = giveUp
	e.mu.Unlock()
	e.dials.Go(func() {
		defer giveUp()
		e.dial(ctx, id, addr)
	})
}

// dial connects by the standard library, which tells a refusal from a silence.
func (e *Edge) dial(ctx context.Context, id gateway.ConnID, addr netip.AddrPort) {
	std, err := e.connect(ctx, addr)
	var c *conn
	if err == nil {
		c, err = e.takeIn(id, std)
	}
	if c != nil {
		if _, err = e.engine.AddConn(c.nb); err == nil {
			return
		}
		_ = e.forget(c)
	}
	e.giveUpDial(id)
	e.box.put(gateway.Event{Kind: gateway.DialFailed, Conn: id, Err: err, Ours: syserr.Local(err)})
}

// A connection that this machine could not make is tried again a few times: what it lacks may be back at once. Who waits
// for longer could have gone elsewhere.
const (
	connectTries = 4
	connectPause = 10 * time.Millisecond
)

// connect dials, and dials again where the call failed for want of something on this machine.
func (e *Edge) connect(ctx context.Context, addr netip.AddrPort) (stdnet.Conn, error) {
	for try := 1; ; try++ {
		conn, err := e.platform.Dial(ctx, addr)
		if err == nil || try == connectTries || !syserr.Local(err) || !sleep(ctx, connectPause) {
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

var errGivenUp = errors.New("given up")

// takeIn makes a connection that came up one of the edge's. One that was given up meanwhile is closed: nobody would
// ever use it.
func (e *Edge) takeIn(id gateway.ConnID, std stdnet.Conn) (*conn, error) {
	nb, err := nbio.NBConn(std)
	if err != nil {
		std.Close()
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	_, wanted := e.dialling[id]
	delete(e.dialling, id)
	if !wanted {
		_ = nb.Close()
		return nil, errGivenUp
	}
	c := &conn{id: id, nb: nb, most: int64(e.lim.LinkOut)}
	e.byNB[nb], e.conns[id] = c, c // from here on the reducer's close finds it
	return c, nil
}
