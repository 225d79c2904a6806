package transport

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"foxlane/internal/standin"
)

// smallBuffer is what the system holds of a connection, so that the rest waits in ours.
const smallBuffer = 32 << 10

// heldBySystem is how many of the test's requests of 60 KB the system holds of a connection: it doubles both sides' buffers.
const heldBySystem = 2

// stalledEngine is an engine that reads nothing until it is told to.
type stalledEngine struct {
	ln   net.Listener
	read chan struct{} // closed: it reads from now on
	asks atomic.Int64  // that have come whole
	made atomic.Int64  // connections to it
	done sync.WaitGroup
}

func newStalledEngine(t *testing.T) *stalledEngine {
	t.Helper()
	small := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallBuffer)
		})
		return errors.Join(err, failed)
	}}
	ln, err := small.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &stalledEngine{ln: ln, read: make(chan struct{})}
	e.done.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.made.Add(1)
			e.done.Go(func() { e.serve(c) })
		}
	})
	return e
}

func (e *stalledEngine) close(t *testing.T) {
	t.Helper()
	mustClose(t, e.ln)
	e.done.Wait()
}

// serve counts the requests that come on a connection.
func (e *stalledEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // the gateway may have reset it
	<-e.read
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		words, length := strings.Fields(line), 0
		if len(words) != 4 || words[0] != "ASK" {
			continue
		}
		if _, err := fmt.Sscan(words[3], &length); err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, in, int64(length+2)); err != nil {
			return
		}
		e.asks.Add(1)
	}
}

// An engine stops reading, so that requests to it wait in the gateway's own buffer, and leaves the list: what has not left by the
// end of the grace never does, and its clients are answered from elsewhere.
func TestNothingLeavesTheBufferAfterADrain(t *testing.T) {
	for name, leave := range map[string]func(stuck standin.Host) []standin.Host{
		"drains": func(stuck standin.Host) []standin.Host { stuck.Draining = true; return []standin.Host{stuck} },
		"gone":   func(standin.Host) []standin.Host { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			platform := System()
			platform.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				c, err := dialTCP(ctx, addr)
				if tcp, ok := c.(*net.TCPConn); ok {
					err = tcp.SetWriteBuffer(smallBuffer)
				}
				return c, err
			}
			stuck := newStalledEngine(t)
			s := newTestbedOn(t, platform, ordinaryLimits, served(time.Millisecond, "a\tb\tc\n"))
			defer stuck.close(t)
			defer s.end()
			host := s.hosts[0]
			host.ID, host.Addr = "s-unread", netip.MustParseAddrPort(stuck.ln.Addr().String())
			s.names.SetHosts(2, []standin.Host{host})
			time.Sleep(300 * time.Millisecond)
			var asked sync.WaitGroup
			for i := range 8 {
				asked.Go(func() {
					text := fmt.Sprintf("/* kind=point,req=%016x,timeout=7000,ms=20 */ SELECT day FROM sales_1.orders WHERE tag = '%s'", 0xe00+i, strings.Repeat("x", 60_000))
					if _, err := rows(t.Context(), s.db, text); err != nil {
						t.Errorf("query %d: %v", i, err)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			s.names.SetHosts(3, append(leave(host), s.hosts...))
			time.Sleep(1300 * time.Millisecond) // it is told within 0.1 s, and has 1 s to stop
			close(stuck.read)
			asked.Wait()
			time.Sleep(700 * time.Millisecond) // for it to read what comes
			if n, most := stuck.asks.Load(), heldBySystem*stuck.made.Load(); n > most {
				t.Errorf("%d requests came behind the grace, the system holds %d", n, most)
			}
		})
	}
}
