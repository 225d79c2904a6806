package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"foxlane/internal/gateway"
)

// The poller works off a batch of events by descriptor. A connection that is ended from elsewhere within the batch,
// with its descriptor given to a new one, must not have its old event end the new one.
func TestStaleEventEndsNoNewConnection(t *testing.T) {
	t.Run("ended by a write that finds it broken", func(t *testing.T) { testStaleEvent(t, true) })
	t.Run("ended by a close", func(t *testing.T) { testStaleEvent(t, false) })
}

func testStaleEvent(t *testing.T, write bool) {
	server := newBareServer(t)
	low, err := syscall.Dup(0) // the system gives out the lowest number that is free
	if err != nil {
		t.Fatal(err)
	}
	first, _ := server.connectClient(t)
	second, c2 := server.connectClient(t)
	third, _ := server.connectClient(t)
	room := func(most, bytes int) {
		server.queue.mu.Lock()
		server.queue.maxBytes, server.queue.queuedBytes = most, bytes
		server.queue.notFull.Broadcast()
		server.queue.mu.Unlock()
	}
	most := server.queue.maxBytes
	room(0, 1) // the poller waits in a batch, on the first connection's bytes
	send := func(nc net.Conn) {
		if _, err := nc.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	send(first)
	send(third)
	mustClose(t, second)
	time.Sleep(50 * time.Millisecond)
	room(0, 0) // and now in its next, on the third's bytes, with the end of the second behind them
	server.awaitQueue(t, "the first's bytes", func(q *eventQueue) bool { return q.queuedBytes > 0 })
	time.Sleep(50 * time.Millisecond)
	// New connections wait at the accepting goroutine, which holds one.
	server.mu.Lock()
	server.clientCount += 1000
	had := server.lastAccepted
	server.mu.Unlock()
	var fillers []int
	for fd := 0; fd < c2.nb.Hash(); {
		if fd, err = syscall.Dup(0); err != nil {
			t.Fatal(err)
		}
		fillers = append(fillers, fd)
	}
	const fresh = 3
	for range fresh {
		nc, err := net.Dial("tcp", server.cfg.Listen.String())
		if err != nil {
			t.Fatal(err)
		}
		defer mustClose(t, nc)
	}
	time.Sleep(50 * time.Millisecond)
	server.mu.Lock() // the second ends from here, as an engine's connection does
	c2.fromClient = false
	server.clientCount--
	server.mu.Unlock()
	if write {
		for range 3 {
			server.execute(&gateway.Write{Conn: c2.id, Data: bytes.Repeat([]byte("x"), 64)})
			time.Sleep(10 * time.Millisecond)
		}
	}
	server.execute(gateway.CloseConnection{Conn: c2.id})
	time.Sleep(50 * time.Millisecond)
	mustCloseFD(t, low)
	server.mu.Lock()
	server.clientCount -= 1000
	server.clientClosed.Broadcast()
	server.mu.Unlock()
	waitFor(t, "the new connections", func() bool { return server.connByID(had+fresh) != nil })
	room(most, 0)
	waitFor(t, "the second to be gone", func() bool { return server.connByID(c2.id) == nil })
	time.Sleep(50 * time.Millisecond)
	for i := range gateway.ConnID(fresh) {
		if server.connByID(had+1+i) == nil {
			t.Errorf("new connection %d was ended by the old event of another", i)
		}
	}
	for _, fd := range fillers {
		mustCloseFD(t, fd)
	}
}

// A client that is refused while it still sends reads the refusal and an end, no reset: a close over its unread bytes
// would take the refusal with it.
func TestRejectionIsReadBeforeTheClose(t *testing.T) {
	s := newTestbed(t)
	defer s.end()
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			nc, err := net.Dial("tcp", s.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer mustClose(t, nc)
			_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
			// A packet that is too large, and a body of it that goes on coming.
			ahead := append(loginPacket(), 0xff, 0xff, 0xfe, 0)
			if _, err := nc.Write(append(ahead, bytes.Repeat([]byte{3}, 4<<20)...)); err != nil {
				t.Errorf("the client could not send to the end: %v", err)
			}
			time.Sleep(50 * time.Millisecond) // it is slow to read
			got, err := io.ReadAll(nc)
			if err != nil || !strings.Contains(string(got), "packet of") {
				t.Errorf("the client read %.200q, then %v", got, err)
			}
		})
	}
	wg.Wait()
}

// Reading stops while the queue is full, and with it reports of clients that leave: one iteration of the reducer later all
// are reported, however many they are.
func TestClosesBehindAFullQueue(t *testing.T) {
	server := newBareServer(t)
	const leaving = 200
	sender, _ := server.connectClient(t)
	var gone []net.Conn
	ids := map[gateway.ConnID]bool{}
	for range leaving {
		nc, c := server.connectClient(t)
		gone, ids[c.id] = append(gone, nc), true
	}
	server.queue.drain(nil, nil)
	server.queue.mu.Lock()
	server.queue.maxBytes = 1000
	server.queue.mu.Unlock()
	for range 2 { // the first fills it, the second has the poller wait
		if _, err := sender.Write(make([]byte, 4000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, nc := range gone {
		mustClose(t, nc)
	}
	time.Sleep(50 * time.Millisecond)
	heard := func() (n int) {
		events, _ := server.queue.drain(nil, nil)
		for _, ev := range events {
			if closed, ok := ev.event.(gateway.ConnectionClosed); ok && ids[closed.Conn] {
				n++
			}
		}
		return n
	}
	if n := heard(); n != 0 {
		t.Fatalf("%d were heard of ahead of the turn: the test has lost its subject", n)
	}
	server.awaitQueue(t, "word of all", func(q *eventQueue) bool { return len(q.events) > leaving })
	if n := heard(); n != leaving {
		t.Errorf("%d of %d were heard of within one turn", n, leaving)
	}
}

// Nbio tells of a close behind it: by then the number may be another connection's, which must not be shut down for it.
func TestReusedDescriptorIsNotShutDown(t *testing.T) {
	server := newBareServer(t)
	_, old := server.connectClient(t)
	client, other := server.connectClient(t)
	if err := syscall.Dup3(other.nb.Hash(), old.nb.Hash(), 0); err != nil { // as if it were closed and given out again
		t.Fatal(err)
	}
	server.execute(gateway.CloseConnection{Conn: old.id})
	server.shutdownConn(old, errClosedHere)
	time.Sleep(20 * time.Millisecond)
	_ = client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other connection's client read %v", err)
	}
	if server.connByID(other.id) == nil {
		t.Error("the other connection has ended")
	}
}
