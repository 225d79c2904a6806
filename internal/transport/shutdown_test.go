package transport

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"foxlane/internal/gateway"
	"foxlane/internal/standin"
)

// At shutdown a connection with unread bytes in its socket or in the queue stays open until the reducer has received
// them. An idle connection is half closed, and bytes received on it afterwards are dropped.
func TestShutdownWaitsForUnreadBytes(t *testing.T) {
	server := newBareServer(t)
	idleClient, idle := server.connectClient(t)
	activeClient, active := server.connectClient(t)
	if _, err := activeClient.Write([]byte("a request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the bytes in the queue", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return active.queuedInput > 0
	})
	s := shutdownState{}.next(true)
	if server.advanceShutdown(&s) {
		t.Fatal("the shutdown is complete with a request in the queue")
	}
	server.mu.Lock()
	if active.halfClosed || !idle.halfClosed {
		t.Errorf("half closed: the connection with a request %v, the idle one %v", active.halfClosed, idle.halfClosed)
	}
	server.mu.Unlock()
	if _, err := net.DialTimeout("tcp", server.cfg.Listen.String(), time.Second); err == nil {
		t.Error("a new connection was accepted")
	}
	events, _ := server.queue.drain(nil, nil)
	server.recordDequeued(events)
	if s = s.next(false).next(true); server.advanceShutdown(&s) {
		t.Error("the shutdown is complete with two client connections open")
	}
	server.mu.Lock()
	if !active.halfClosed {
		t.Error("the connection whose request was read is not half closed")
	}
	server.mu.Unlock()
	_ = idleClient.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := idleClient.Write([]byte("a request that crosses")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if _, err := idleClient.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the idle client read %v, want EOF", err)
	}
	events, _ = server.queue.drain(nil, nil)
	for _, ev := range events {
		if received, ok := ev.unwrap().(*gateway.DataReceived); ok {
			t.Errorf("the reducer got %q from a half closed connection", received.Data)
		}
	}
	mustClose(t, idleClient)
	mustClose(t, activeClient)
	waitFor(t, "the shutdown to complete", func() bool { return server.advanceShutdown(&s) })
}

// Requests are sent one by one from shortly before the process exits to shortly after. Each is either answered, or
// its connection ends without any byte of an answer and no engine has received the request. The gateway itself resets
// no connection; the test accepts resets because the kernel sends them for bytes that arrive after the exit.
func TestRequestsDuringShutdown(t *testing.T) {
	s := newTestbed(t, replyAfter(5*time.Millisecond, "a\tb\tc\n"))
	const clients = 60
	type outcome struct {
		id     string
		answer bool
		err    error
	}
	outcomes := make(chan outcome, clients)
	shutdownDelay := 900 * time.Millisecond
	from := netip.Addr{}
	conns := make([]*standin.Client, clients)
	for i := range conns {
		c, err := standin.Connect(s.addr, from, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.QueryRows("SET x = 1", time.Second, nil); err != nil {
			t.Fatal(err)
		}
		conns[i] = c
	}
	began := time.Now()
	s.stop <- syscall.SIGTERM
	for i, c := range conns {
		go func() {
			defer c.Close()
			time.Sleep(time.Until(began.Add(shutdownDelay + time.Duration(i-10)*10*time.Millisecond)))
			o := outcome{id: fmt.Sprintf("%016x", 0xabc000+i)}
			var n int
			n, o.err = c.Query(statement("point", o.id, 1500), 3*time.Second)
			var serverErr *standin.ServerError
			o.answer = n > 0 || errors.As(o.err, &serverErr)
			outcomes <- o
		}()
	}
	unanswered := map[string]bool{}
	answered, closed := 0, 0
	for range clients {
		switch o := <-outcomes; {
		case o.answer:
			answered++
		case errors.Is(o.err, io.EOF), errors.Is(o.err, syscall.EPIPE):
			closed++
			unanswered[o.id] = true
		case errors.Is(o.err, syscall.ECONNRESET):
			closed++ // the bytes arrived after the process had exited, not only after the connection was closed
			unanswered[o.id] = true
		default:
			t.Errorf("%s: %v", o.id, o.err)
		}
	}
	select {
	case err := <-s.exited:
		s.exited <- err
	case <-time.After(5 * time.Second):
		t.Fatal("still running 5 s after the last request")
	}
	for _, a := range s.engines[0].Requests() {
		if unanswered[a.ID] {
			t.Errorf("%s was sent to an engine, but its client got no answer", a.ID)
		}
	}
	if answered == 0 || closed == 0 {
		t.Logf("%d answered, %d closed: the requests did not overlap the exit on this machine", answered, closed)
	}
	s.shutdown() // sends a second SIGTERM and closes the fake servers
}

// The process exits in time despite clients that never close: an idle one, one that sends a lot and reads nothing,
// one that sent part of a login packet and one that sent only a login.
func TestShutdownWithClientsThatNeverClose(t *testing.T) {
	s := newTestbed(t, replyAfter(5*time.Millisecond, "a\tb\tc\n"))
	for i := range 4 {
		nc, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer mustClose(t, nc)
		switch i {
		case 1:
			go func() { _, _ = nc.Write(bytes.Repeat([]byte{1, 0, 0, 0, 14}, 4<<20)) }()
		case 2:
			_, _ = nc.Write([]byte{60, 0, 0, 1, 3})
		case 3:
			_, _ = nc.Write(loginPacket())
		}
	}
	s.shutdown()
}

// Guards against a SIGKILL that comes before the exit, after a shutdown that was held up: the last flush, here for a client that
// does not close, ends when the process is to have exited.
func TestLastFlushEndsWithTheTimeForTheExit(t *testing.T) {
	server := newBareServer(t)
	server.connectClient(t)
	server.exitBy = time.Now().Add(50 * time.Millisecond)
	s := shutdownState{}.next(true)
	if server.advanceShutdown(&s) {
		t.Fatal("the shutdown is complete with a client connection open")
	}
	time.Sleep(70 * time.Millisecond)
	if s = s.next(true); !server.advanceShutdown(&s) {
		t.Errorf("the shutdown is not complete %v after the time for the exit", time.Since(server.exitBy))
	}
}
