package transport

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"foxlane/internal/gateway"
	"foxlane/rules"
)

// The poller handles a batch of events by descriptor. If a connection is ended by another goroutine during the batch
// and its descriptor is reused, the stale event must not close the new connection.
func TestStaleEventDoesNotCloseNewConnection(t *testing.T) {
	t.Run("closed by a failed write", func(t *testing.T) { testStaleEvent(t, true) })
	t.Run("closed by the reducer", func(t *testing.T) { testStaleEvent(t, false) })
}

func testStaleEvent(t *testing.T, failedWrite bool) {
	server := newBareServer(t)
	lowestFD, err := syscall.Dup(0) // the kernel allocates the lowest free descriptor
	if err != nil {
		t.Fatal(err)
	}
	first, _ := server.connectClient(t)
	second, secondConn := server.connectClient(t)
	third, _ := server.connectClient(t)
	setQueueBytes := func(limit, queued int) {
		server.queue.mu.Lock()
		server.queue.maxBytes, server.queue.queuedBytes = limit, queued
		server.queue.notFull.Broadcast()
		server.queue.mu.Unlock()
	}
	maxBytes := server.queue.maxBytes
	setQueueBytes(0, 1) // the poller blocks within a batch, on the first connection's bytes
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
	setQueueBytes(0, 0) // the poller blocks in its next batch, on the third's bytes, ahead of the second's close event
	server.awaitQueue(t, "the bytes of the first connection", func(q *eventQueue) bool { return q.queuedBytes > 0 })
	time.Sleep(50 * time.Millisecond)
	// The accepting goroutine blocks in onOpen with one new connection; the others wait to be accepted.
	server.mu.Lock()
	server.clientCount += 1000
	lastAccepted := server.lastAccepted
	server.mu.Unlock()
	var fillers []int
	for fd := 0; fd < secondConn.nb.Hash(); {
		if fd, err = syscall.Dup(0); err != nil {
			t.Fatal(err)
		}
		fillers = append(fillers, fd)
	}
	const newConns = 3
	for range newConns {
		nc, err := net.Dial("tcp", server.cfg.Listen.String())
		if err != nil {
			t.Fatal(err)
		}
		defer mustClose(t, nc)
	}
	time.Sleep(50 * time.Millisecond)
	server.mu.Lock() // the second connection is closed by this process, as an engine's connection is
	secondConn.fromClient = false
	server.clientCount--
	server.mu.Unlock()
	if failedWrite {
		for range 3 {
			server.execute(&gateway.Write{Conn: secondConn.id, Data: bytes.Repeat([]byte("x"), 64)})
			time.Sleep(10 * time.Millisecond)
		}
	}
	server.execute(gateway.CloseConnection{Conn: secondConn.id})
	time.Sleep(50 * time.Millisecond)
	mustCloseFD(t, lowestFD)
	server.mu.Lock()
	server.clientCount -= 1000
	server.clientClosed.Broadcast()
	server.mu.Unlock()
	waitFor(t, "the new connections", func() bool { return server.connByID(lastAccepted+newConns) != nil })
	setQueueBytes(maxBytes, 0)
	waitFor(t, "the second connection to be removed", func() bool { return server.connByID(secondConn.id) == nil })
	time.Sleep(50 * time.Millisecond)
	for i := range gateway.ConnID(newConns) {
		if server.connByID(lastAccepted+1+i) == nil {
			t.Errorf("new connection %d was closed by the stale event of another", i)
		}
	}
	for _, fd := range fillers {
		mustCloseFD(t, fd)
	}
}

// A client that is rejected while it still sends must read the rejection and then EOF. Closing the socket with unread
// bytes would reset the connection, and the client would lose the rejection.
func TestRejectionIsReadBeforeTheClose(t *testing.T) {
	s := newTestbed(t)
	defer s.shutdown()
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
			// A packet header with a size over the limit, followed by a large body.
			packets := append(loginPacket(), 0xff, 0xff, 0xfe, 0)
			if _, err := nc.Write(append(packets, bytes.Repeat([]byte{3}, 4<<20)...)); err != nil {
				t.Errorf("the client could not send the whole body: %v", err)
			}
			time.Sleep(50 * time.Millisecond) // the client is slow to read
			got, err := io.ReadAll(nc)
			if err != nil || !strings.Contains(string(got), "packet of") {
				t.Errorf("the client read %.200q, then %v", got, err)
			}
		})
	}
	wg.Wait()
}

// A full queue stops the poller, which then reports no closed connections. After the queue is drained once, all
// closes must be reported, regardless of their number.
func TestClosesAreReportedAfterFullQueue(t *testing.T) {
	server := newBareServer(t)
	const closing = 200
	sender, _ := server.connectClient(t)
	var clients []net.Conn
	ids := map[gateway.ConnID]bool{}
	for range closing {
		nc, c := server.connectClient(t)
		clients, ids[c.id] = append(clients, nc), true
	}
	server.queue.drain(nil, nil)
	server.queue.mu.Lock()
	server.queue.maxBytes = 1000
	server.queue.mu.Unlock()
	for range 2 { // the first write fills the queue, the second blocks the poller
		if _, err := sender.Write(make([]byte, 4000)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	for _, nc := range clients {
		mustClose(t, nc)
	}
	time.Sleep(50 * time.Millisecond)
	countCloses := func() (n int) {
		events, _ := server.queue.drain(nil, nil)
		for _, ev := range events {
			if closed, ok := ev.event.(gateway.ConnectionClosed); ok && ids[closed.Conn] {
				n++
			}
		}
		return n
	}
	if n := countCloses(); n != 0 {
		t.Fatalf("%d closes were reported while the queue was full; the test needs a blocked poller", n)
	}
	server.awaitQueue(t, "events of all closes", func(q *eventQueue) bool { return len(q.events) > closing })
	if n := countCloses(); n != closing {
		t.Errorf("%d of %d closes were reported after one drain of the queue", n, closing)
	}
}

// nbio reports a close only after the fact. The descriptor may already belong to another connection, which must not
// be shut down in its place.
func TestReusedDescriptorIsNotShutDown(t *testing.T) {
	server := newBareServer(t)
	_, old := server.connectClient(t)
	client, other := server.connectClient(t)
	if err := syscall.Dup3(other.nb.Hash(), old.nb.Hash(), 0); err != nil { // as if the descriptor were closed and reused
		t.Fatal(err)
	}
	server.execute(gateway.CloseConnection{Conn: old.id})
	server.shutdownConn(old, errClosedLocally)
	time.Sleep(20 * time.Millisecond)
	_ = client.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
	if _, err := client.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the other connection's client read %v", err)
	}
	if server.connByID(other.id) == nil {
		t.Error("the other connection was closed")
	}
}

// stalledClock is a clock that is ahead by the time for which the process was stopped.
type stalledClock struct {
	Clock
	stalledFor atomic.Int64 // nanoseconds
}

func (c *stalledClock) Elapsed() time.Duration {
	return c.Clock.Elapsed() + time.Duration(c.stalledFor.Load())
}

// After a stall the timers that end closing connections are due before their peers' input has been read and their own
// output written. Both get time first, or the last answer would be lost.
func TestStallDelaysTheEndOfClosingConnections(t *testing.T) {
	platform := System()
	clock := &stalledClock{Clock: platform.Clock}
	platform.Clock = clock
	server := newBareServerOn(t, platform, defaultLimits)
	const delay = 10 * time.Millisecond
	started, ended := time.Now(), make(chan time.Time, 1)
	server.runAfter(rules.Time(delay.Microseconds()), func() { ended <- time.Now() })
	clock.stalledFor.Store(int64(time.Second))
	if got, want := (<-ended).Sub(started), delay+time.Duration(server.limits.LongSettleTime)*time.Microsecond; got < want {
		t.Errorf("the timer ran %v after its start, want %v at least", got, want)
	}
}
