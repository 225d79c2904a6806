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

// At shutdown a connection with unread bytes, in its socket or in the queue, is left open until the reducer has had them; an
// idle one is half closed, and what comes on it after that is dropped.
func TestShutdownWaitsForUnreadBytes(t *testing.T) {
	server := newBareServer(t)
	resting, rest := server.connectClient(t)
	asking, ask := server.connectClient(t)
	if _, err := asking.Write([]byte("a request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the bytes in the queue", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return ask.queuedReads > 0
	})
	s := shutdownState{}.next(true)
	if server.advanceShutdown(&s) {
		t.Fatal("over with a request in the queue")
	}
	server.mu.Lock()
	if ask.halfClosed || !rest.halfClosed {
		t.Errorf("half closed: the one that asks %v, the idle one %v", ask.halfClosed, rest.halfClosed)
	}
	server.mu.Unlock()
	if _, err := net.DialTimeout("tcp", server.cfg.Listen.String(), time.Second); err == nil {
		t.Error("a new connection was taken")
	}
	events, _ := server.queue.drain(nil, nil)
	server.uncountReads(events)
	if s = s.next(false).next(true); server.advanceShutdown(&s) {
		t.Error("over with two clients that have not closed yet")
	}
	server.mu.Lock()
	if !ask.halfClosed {
		t.Error("what was read and answered is not half closed")
	}
	server.mu.Unlock()
	_ = resting.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := resting.Write([]byte("a request that crosses")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(20 * time.Millisecond)
	if _, err := resting.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the resting client read %v, want the end", err)
	}
	events, _ = server.queue.drain(nil, nil)
	for _, ev := range events {
		if received, ok := ev.get().(*gateway.DataReceived); ok {
			t.Errorf("the reducer hears %q of a connection that was half closed", received.Data)
		}
	}
	mustClose(t, resting)
	mustClose(t, asking)
	waitFor(t, "both to be gone", func() bool { return server.advanceShutdown(&s) })
}

// Requests that cross the end of the process, one by one from well ahead of it to well behind: each is answered, or its
// connection ends with not a byte of an answer and no engine has seen it. None is reset.
func TestRequestsDuringShutdown(t *testing.T) {
	s := newTestbed(t, served(5*time.Millisecond, "a\tb\tc\n"))
	const clients = 60
	type outcome struct {
		id     string
		answer bool
		err    error
	}
	outcomes := make(chan outcome, clients)
	linger := 900 * time.Millisecond
	from := netip.Addr{}
	all := make([]*standin.Client, clients)
	for i := range all {
		c, err := standin.Connect(s.addr, from, time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.QueryRows("SET x = 1", time.Second, nil); err != nil {
			t.Fatal(err)
		}
		all[i] = c
	}
	began := time.Now()
	s.stop <- syscall.SIGTERM
	for i, c := range all {
		go func() {
			defer c.Close()
			time.Sleep(time.Until(began.Add(linger + time.Duration(i-10)*10*time.Millisecond)))
			o := outcome{id: fmt.Sprintf("%016x", 0xabc000+i)}
			var n int
			n, o.err = c.Query(statement("point", o.id, 1500), 3*time.Second)
			var refusal *standin.ServerError
			o.answer = n > 0 || errors.As(o.err, &refusal)
			outcomes <- o
		}()
	}
	ids := map[string]bool{}
	answered, ended := 0, 0
	for range clients {
		switch o := <-outcomes; {
		case o.answer:
			answered++
		case errors.Is(o.err, io.EOF), errors.Is(o.err, syscall.EPIPE):
			ended++
			ids[o.id] = true
		case errors.Is(o.err, syscall.ECONNRESET):
			ended++ // its bytes came behind the end of the process, not only of the connection
			ids[o.id] = true
		default:
			t.Errorf("%s: %v", o.id, o.err)
		}
	}
	select {
	case err := <-s.ended:
		s.ended <- err
	case <-time.After(5 * time.Second):
		t.Fatal("not ended")
	}
	for _, a := range s.engines[0].Requests() {
		if ids[a.ID] {
			t.Errorf("%s went to an engine, and its client has no answer", a.ID)
		}
	}
	if answered == 0 || ended == 0 {
		t.Logf("%d answered, %d ended: the end was not crossed on this machine", answered, ended)
	}
	s.end() // a second SIGTERM, and the rest
}

// A client that never closes, one that sends without end and reads nothing, half a login and a login with nothing
// behind it: the process ends in time all the same.
func TestShutdownWithClientsThatNeverClose(t *testing.T) {
	s := newTestbed(t, served(5*time.Millisecond, "a\tb\tc\n"))
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
	s.end()
}
