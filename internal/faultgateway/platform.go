package faultgateway

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"foxlane/internal/spool/disk"
	"foxlane/internal/transport"
)

// steppedClock is a clock whose wall time can be stepped. Its monotonic time is that of the system.
type steppedClock struct {
	origin      time.Time
	offsetNanos atomic.Int64
}

func newSteppedClock() *steppedClock { return &steppedClock{origin: time.Now()} }

// Wall returns the wall time, including all steps so far.
func (c *steppedClock) Wall() time.Time { return time.Now().Add(time.Duration(c.offsetNanos.Load())) }

// Elapsed returns the monotonic time since the creation of the clock.
func (c *steppedClock) Elapsed() time.Duration { return time.Since(c.origin) }

// step steps the wall time forward, or backward by a negative duration.
func (c *steppedClock) step(by time.Duration) { c.offsetNanos.Add(int64(by)) }

// offset returns the sum of all steps.
func (c *steppedClock) offset() time.Duration { return time.Duration(c.offsetNanos.Load()) }

// newPlatform returns the system's platform with the given clock, and with faults injected into its calls.
func newPlatform(f *faults, clock *steppedClock) transport.Platform {
	p := transport.System()
	system := p
	p.Clock = clock
	p.Listen = func(addr string) (net.Listener, error) {
		ln, err := system.Listen(addr)
		if err != nil {
			return nil, err
		}
		return &faultyListener{ln, f}, nil
	}
	p.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
		if err := f.inject("dial"); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		if delay := f.dialDelay(); delay > 0 {
			select {
			case <-ctx.Done():
				return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			case <-time.After(delay):
			}
		}
		return system.Dial(ctx, addr)
	}
	p.DialUDP = func(addr netip.AddrPort) (net.Conn, error) {
		if err := f.inject("udp"); err != nil {
			return nil, &net.OpError{Op: "dial", Net: "udp", Err: err}
		}
		conn, err := system.DialUDP(addr)
		if err != nil {
			return nil, err
		}
		return &faultyDatagramConn{conn, f}, nil
	}
	p.OpenFolder = func(path string) (transport.Folder, error) {
		folder, err := disk.OpenFolder(path)
		if err != nil {
			return nil, err
		}
		return &faultyFolder{Folder: folder, faults: f}, nil
	}
	return p
}

// faultyListener is a listener whose Accept can fail.
type faultyListener struct {
	net.Listener
	faults *faults
}

// Accept accepts a connection, or fails with an injected error.
func (l *faultyListener) Accept() (net.Conn, error) {
	if err := l.faults.inject("accept"); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return l.Listener.Accept()
}

// faultyDatagramConn is a UDP socket whose reads and writes can fail.
type faultyDatagramConn struct {
	net.Conn
	faults *faults
}

// Write sends a datagram, or fails with an injected error.
func (d *faultyDatagramConn) Write(p []byte) (int, error) {
	if err := d.faults.inject("send"); err != nil {
		return 0, &net.OpError{Op: "write", Net: "udp", Err: err}
	}
	return d.Conn.Write(p)
}

// Read receives a datagram, or drops it and fails with an injected error.
func (d *faultyDatagramConn) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if err == nil {
		if fault := d.faults.inject("receive"); fault != nil {
			return 0, &net.OpError{Op: "read", Net: "udp", Err: fault}
		}
	}
	return n, err
}
