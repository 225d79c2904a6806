package faultgateway

import (
	"context"
	stdnet "net"
	"net/netip"
	"os"
	"sync/atomic"
	"time"

	"foxlane/internal/net"
	"foxlane/internal/spool/disk"
)

// steppedClock is one whose wall part is stepped; its monotonic part runs on.
type steppedClock struct {
	origin time.Time
	by     atomic.Int64
}

func newSteppedClock() *steppedClock { return &steppedClock{origin: time.Now()} }

func (c *steppedClock) Wall() time.Time        { return time.Now().Add(time.Duration(c.by.Load())) }
func (c *steppedClock) Elapsed() time.Duration { return time.Since(c.origin) }
func (c *steppedClock) step(by time.Duration)  { c.by.Add(int64(by)) }
func (c *steppedClock) stepped() time.Duration { return time.Duration(c.by.Load()) }

// platformOf is the system's platform with calls that fail.
func platformOf(f *faults, clock *steppedClock) net.Platform {
	p := net.System()
	system := p
	p.Clock = clock
	p.Listen = func(addr string) (stdnet.Listener, error) {
		ln, err := system.Listen(addr)
		if err != nil {
			return nil, err
		}
		return &listener{ln, f}, nil
	}
	p.Dial = func(ctx context.Context, addr netip.AddrPort) (stdnet.Conn, error) {
		if err := f.fail("dial"); err != nil {
			return nil, &stdnet.OpError{Op: "dial", Net: "tcp", Err: err}
		}
		if late := f.lateness(); late > 0 {
			select {
			case <-ctx.Done():
				return nil, &stdnet.OpError{Op: "dial", Net: "tcp", Err: os.ErrDeadlineExceeded}
			case <-time.After(late):
			}
		}
		return system.Dial(ctx, addr)
	}
	p.DialUDP = func(addr netip.AddrPort) (stdnet.Conn, error) {
		if err := f.fail("udp"); err != nil {
			return nil, &stdnet.OpError{Op: "dial", Net: "udp", Err: err}
		}
		conn, err := system.DialUDP(addr)
		if err != nil {
			return nil, err
		}
		return &datagrams{conn, f}, nil
	}
	p.OpenFolder = func(path string) (net.Folder, error) {
		folder, err := disk.OpenFolder(path)
		if err != nil {
			return nil, err
		}
		return &folderDouble{Folder: folder, faults: f, lie: false}, nil
	}
	return p
}

// listener fails to accept.
type listener struct {
	stdnet.Listener
	faults *faults
}

func (l *listener) Accept() (stdnet.Conn, error) {
	if err := l.faults.fail("accept"); err != nil {
		return nil, &stdnet.OpError{Op: "accept", Net: "tcp", Err: err}
	}
	return l.Listener.Accept()
}

// datagrams fail to be sent and read.
type datagrams struct {
	stdnet.Conn
	faults *faults
}

func (d *datagrams) Write(p []byte) (int, error) {
	if err := d.faults.fail("send"); err != nil {
		return 0, &stdnet.OpError{Op: "write", Net: "udp", Err: err}
	}
	return d.Conn.Write(p)
}

func (d *datagrams) Read(p []byte) (int, error) {
	n, err := d.Conn.Read(p)
	if err == nil {
		if fault := d.faults.fail("receive"); fault != nil {
			return 0, &stdnet.OpError{Op: "read", Net: "udp", Err: fault}
		}
	}
	return n, err
}
