package transport

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"foxlane/internal/gateway"
	"foxlane/internal/syserr"
)

// TCP_NODELAY is set on accepted and dialed connections, so that small writes are not delayed.
func TestNoDelay(t *testing.T) {
	server := newBareServer(t)
	_, accepted := server.connectClient(t)
	ln := listenLoopback(t)
	server.startDial(1<<63|1, addrOf(ln), server.limits.ConnectTimeout)
	waitFor(t, "the dial", func() bool { return server.connByID(1<<63|1) != nil })
	for name, c := range map[string]*conn{"accepted": accepted, "dialed": server.connByID(1<<63 | 1)} {
		if on, err := syscall.GetsockoptInt(c.nb.Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
			t.Errorf("%s: TCP_NODELAY is %d, %v", name, on, err)
		}
	}
}

// A cancelled dial ends at once. A connection that is established at the same time is closed, since nothing would
// use it.
func TestDialCancelled(t *testing.T) {
	server := newBareServer(t)
	ln := listenLoopback(t)
	const id = gateway.ConnID(1<<63 | 7)
	server.mu.Lock() // the connection is established while the cancellation is in progress
	server.pendingDials[id] = func() {}
	server.mu.Unlock()
	server.cancelDial(id)
	server.dial(t.Context(), id, addrOf(ln))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, nc)
	_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the peer read %v, want EOF", err)
	}
	if server.connByID(id) != nil || len(server.pendingDials) != 0 {
		t.Error("the server still has the connection or the dial")
	}
	// Dials that are never answered: the backlog of the listener is full.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer mustCloseFD(t, fd)
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	full := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port))
	for i := range gateway.ConnID(4) {
		server.startDial(1<<63|(100+i), full, 60_000_000)
	}
	time.Sleep(50 * time.Millisecond)
	for i := range gateway.ConnID(4) {
		server.execute(gateway.CloseConnection{Conn: 1<<63 | (100 + i)})
	}
	done := make(chan struct{})
	go func() { server.dialWorkers.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(5 * time.Second):
		t.Error("a cancelled dial has not ended after 5 s")
	}
}

// The reducer may close a connection that is established but not yet reported to it: the close must still take
// effect.
func TestCloseBetweenDialAndEvent(t *testing.T) {
	server := newBareServer(t)
	ln := listenLoopback(t)
	const id = gateway.ConnID(1<<63 | 9)
	std, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	server.mu.Lock()
	server.pendingDials[id] = func() {}
	server.mu.Unlock()
	c, err := server.registerDialed(id, std)
	if err != nil {
		t.Fatal(err)
	}
	server.execute(gateway.CloseConnection{Conn: id})
	if _, err := server.poller.AddConn(c.nb); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the connection to be removed", func() bool { return server.connByID(id) == nil })
}

// Dial errors with a cause on this machine are distinguished from those caused by the engine or the network.
func TestLocalDialErrors(t *testing.T) {
	for err, local := range map[error]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.EADDRNOTAVAIL: true, syscall.ENOBUFS: true,
		syscall.ENOMEM: true, syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false} {
		wrapped := &net.OpError{Op: "dial", Err: fmt.Errorf("connect: %w", err)}
		if syserr.Local(wrapped) != local {
			t.Errorf("%v counts as local: %v", err, !local)
		}
	}
}
