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

	"foxlane/internal/config"
	"foxlane/internal/standin"
)

// socketBufferSize is the socket buffer size in bytes. It is small so that further bytes wait in the gateway's own
// buffer.
const socketBufferSize = 32 << 10

// requestsHeldByKernel is how many of the test's requests of 60 KB fit in the socket buffers of a connection: Linux
// doubles the requested size on both sides.
const requestsHeldByKernel = 2

// stalledEngine is an engine that reads nothing until its resume channel is closed.
type stalledEngine struct {
	ln          net.Listener
	resume      chan struct{} // closed to let it read
	requests    atomic.Int64  // completely received requests
	connections atomic.Int64  // accepted connections
	goroutines  sync.WaitGroup
}

func newStalledEngine(t *testing.T) *stalledEngine {
	t.Helper()
	listenConfig := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var sockErr error
		err := c.Control(func(fd uintptr) {
			sockErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, socketBufferSize)
		})
		return errors.Join(err, sockErr)
	}}
	ln, err := listenConfig.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &stalledEngine{ln: ln, resume: make(chan struct{})}
	e.goroutines.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			e.connections.Add(1)
			e.goroutines.Go(func() { e.serve(c) })
		}
	})
	return e
}

func (e *stalledEngine) close(t *testing.T) {
	t.Helper()
	mustClose(t, e.ln)
	e.goroutines.Wait()
}

// serve counts the requests received on a connection.
func (e *stalledEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }() // the gateway may have reset it
	<-e.resume
	_ = c.SetReadDeadline(time.Now().Add(time.Second))
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		fields, length := strings.Fields(line), 0
		if len(fields) != 4 || fields[0] != "ASK" {
			continue
		}
		if _, err := fmt.Sscan(fields[3], &length); err != nil {
			return
		}
		if _, err := io.CopyN(io.Discard, in, int64(length+2)); err != nil {
			return
		}
		e.requests.Add(1)
	}
}

// An engine that does not read, so that requests to it wait in the gateway's buffer, is drained or removed from the
// list. Requests that were not sent by the end of the drain period must never be sent, and another engine answers
// them.
func TestBufferedRequestsAreNotSentAfterDrain(t *testing.T) {
	for name, changeList := range map[string]func(stalled standin.Host) []standin.Host{
		"drains": func(stalled standin.Host) []standin.Host { stalled.Draining = true; return []standin.Host{stalled} },
		"gone":   func(standin.Host) []standin.Host { return nil },
	} {
		t.Run(name, func(t *testing.T) {
			platform := System()
			platform.Dial = func(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
				c, err := dialTCP(ctx, addr)
				if tcp, ok := c.(*net.TCPConn); ok {
					err = tcp.SetWriteBuffer(socketBufferSize)
				}
				return c, err
			}
			stalled := newStalledEngine(t)
			s := newTestbedOn(t, platform, defaultLimits, replyAfter(time.Millisecond, "a\tb\tc\n"))
			defer stalled.close(t)
			defer s.shutdown()
			host := s.hosts[0]
			host.ID, host.Addr = "s-unread", netip.MustParseAddrPort(stalled.ln.Addr().String())
			s.nameServer.SetHosts(2, []standin.Host{host})
			time.Sleep(300 * time.Millisecond)
			var queries sync.WaitGroup
			for i := range 8 {
				queries.Go(func() {
					text := fmt.Sprintf("/* kind=point,req=%016x,timeout=7000,ms=20 */ SELECT day FROM sales_1.orders WHERE tag = '%s'", 0xe00+i, strings.Repeat("x", 60_000))
					if _, err := queryRows(t.Context(), s.db, text); err != nil {
						t.Errorf("query %d: %v", i, err)
					}
				})
			}
			time.Sleep(300 * time.Millisecond)
			s.nameServer.SetHosts(3, append(changeList(host), s.hosts...))
			time.Sleep(1300 * time.Millisecond) // the gateway learns of the change within 0.1 s and then has 1 s to stop sending
			close(stalled.resume)
			queries.Wait()
			time.Sleep(700 * time.Millisecond) // the engine reads what arrives
			if n, limit := stalled.requests.Load(), requestsHeldByKernel*stalled.connections.Load(); n > limit {
				t.Errorf("%d requests arrived after the drain period, want at most the %d that fit in the socket buffers", n, limit)
			}
		})
	}
}

// Guards against late answers beside clients that send much: a full event queue stopped all reading until the interval
// between batches was over, so that some hundred clients with packets of 30 KB delayed all others by 0.2 s.
func TestFullQueueEndsTheIntervalBetweenBatches(t *testing.T) {
	const queueBytes, long, short = 1 << 10, 10 * time.Second, 50 * time.Millisecond
	for _, limited := range []bool{false, true} {
		queue := newEventQueue(config.Limits{EventQueueBytes: queueBytes})
		wait := long
		if limited { // memory is short: input is to be taken slowly
			queue.setMaxBytes(queueBytes / 4)
			wait = short
		}
		var reader sync.WaitGroup
		reader.Go(func() {
			for range 2 {
				queue.enqueueReceived(1, make([]byte, 2*queueBytes))
			}
		})
		began := time.Now()
		queue.awaitFull(wait)
		switch took := time.Since(began); {
		case !limited && took > long/2:
			t.Errorf("the batch waited for %v though the queue was full", took)
		case limited && took < short:
			t.Errorf("the batch waited for %v only, with a limited queue", took)
		}
		queue.drain(nil, nil)
		reader.Wait()
		began = time.Now()
		if queue.awaitFull(short); time.Since(began) < short {
			t.Errorf("a signal was left over after the queue was drained")
		}
	}
}
