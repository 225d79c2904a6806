package net

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	stdnet "net"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/internal/standin"
	"foxlane/internal/syserr"
)

// newBareServer is an edge without a reducer: what happens stays in the mailbox until the test takes it.
func newBareServer(t *testing.T) *Server {
	t.Helper()
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	cfg, err := config.Parse([]byte(`{"name":"n0","listen":"` + addr + `","seed":"01","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"dns":"127.0.0.1:9","known":{"seq":0},"settings":` + testSettings + `}`))
	if err != nil {
		t.Fatal(err)
	}
	server := newServer(System(), cfg, zap.NewNop())
	if err := server.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.close)
	// The library's loops begin in goroutines of their own, and one that is stopped ahead of its beginning goes on for
	// ever: both have begun once a byte has come. (A gateway lives 0.9 s at least.)
	client, c := server.connectClient(t)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "a byte", func() bool {
		server.queue.mu.Lock()
		defer server.queue.mu.Unlock()
		return server.queue.queuedBytes > 0
	})
	client.Close()
	waitFor(t, "its end", func() bool { return server.connByID(c.id) == nil })
	waitFor(t, "the event of it", func() bool {
		server.queue.mu.Lock()
		defer server.queue.mu.Unlock()
		return len(server.queue.events) == 3
	})
	server.queue.drain(nil, nil)
	return server
}

// connectClient connects a client to a bare edge.
func (s *Server) connectClient(t *testing.T) (client stdnet.Conn, c *conn) {
	t.Helper()
	s.mu.Lock()
	had := s.lastAccepted
	s.mu.Unlock()
	client, err := stdnet.Dial("tcp", s.cfg.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close() })
	waitFor(t, "the connection", func() bool {
		c = s.connByID(had + 1)
		return c != nil
	})
	return client, c
}

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
	send := func(nc stdnet.Conn) {
		if _, err := nc.Write([]byte("x")); err != nil {
			t.Fatal(err)
		}
		time.Sleep(50 * time.Millisecond)
	}
	send(first)
	send(third)
	second.Close()
	time.Sleep(50 * time.Millisecond)
	room(0, 0) // and now in its next, on the third's bytes, with the end of the second behind them
	waitFor(t, "the first's bytes", func() bool {
		server.queue.mu.Lock()
		defer server.queue.mu.Unlock()
		return server.queue.queuedBytes > 0
	})
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
		nc, err := stdnet.Dial("tcp", server.cfg.Listen.String())
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
	}
	time.Sleep(50 * time.Millisecond)
	server.mu.Lock() // the second ends from here, as an engine's connection does
	c2.accepted = false
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
	syscall.Close(low)
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
		syscall.Close(fd)
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
			nc, err := stdnet.Dial("tcp", s.addr)
			if err != nil {
				t.Error(err)
				return
			}
			defer nc.Close()
			_ = nc.SetDeadline(time.Now().Add(3 * time.Second))
			login := append([]byte{0, 0x82, 8, 0, 0, 0, 0, 1, 45}, make([]byte, 23)...)
			login = append(login, "app\x00\x00"...)
			// A packet that is too large, and a body of it that goes on coming.
			ahead := append(append([]byte{byte(len(login)), 0, 0, 1}, login...), 0xff, 0xff, 0xfe, 0)
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

// Small writes are not held back, on accepted connections and dialled ones.
func TestNoDelay(t *testing.T) {
	server := newBareServer(t)
	_, accepted := server.connectClient(t)
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	server.startDial(1<<63|1, netip.MustParseAddrPort(ln.Addr().String()), server.limits.ConnectTimeout)
	waitFor(t, "the dial", func() bool { return server.connByID(1<<63|1) != nil })
	for name, c := range map[string]*conn{"accepted": accepted, "dialled": server.connByID(1<<63 | 1)} {
		if on, err := syscall.GetsockoptInt(c.nb.Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); err != nil || on == 0 {
			t.Errorf("%s: TCP_NODELAY is %d, %v", name, on, err)
		}
	}
}

// A dial that is given up ends at once, and a connection that comes up in that moment is closed: nobody would use it.
func TestDialCancelled(t *testing.T) {
	server := newBareServer(t)
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const id = gateway.ConnID(1<<63 | 7)
	server.mu.Lock() // it comes up while the close is on its way
	server.pendingDials[id] = func() {}
	server.mu.Unlock()
	server.cancelDial(id)
	server.dial(t.Context(), id, netip.MustParseAddrPort(ln.Addr().String()))
	nc, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer nc.Close()
	_ = nc.SetReadDeadline(time.Now().Add(2 * time.Second))
	if _, err := nc.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("the other side read %v, want the end", err)
	}
	if server.connByID(id) != nil || len(server.pendingDials) != 0 {
		t.Error("the edge still knows it")
	}
	// One that never comes up: a listener whose line is full.
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer syscall.Close(fd)
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
		t.Error("a dial that was given up goes on")
	}
}

// With no descriptor left the gateway still turns to another name service: the old socket's serves.
func TestNameServiceMoveAtDescriptorLimit(t *testing.T) {
	server := newBareServer(t)
	var old syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	probe, err := syscall.Dup(0) // the lowest number that is free
	if err != nil {
		t.Fatal(err)
	}
	syscall.Close(probe)
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: uint64(probe), Max: old.Max}); err != nil {
		t.Fatal(err)
	}
	_, full := syscall.Dup(0)
	first := server.openDNS(netip.MustParseAddrPort("127.0.0.1:10"))
	second := server.openDNS(netip.MustParseAddrPort("127.0.0.1:10"))
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &old); err != nil {
		t.Fatal(err)
	}
	if full == nil {
		t.Fatal("descriptors are free below the limit: nothing is shown")
	}
	if first != nil || second != nil || server.dnsConn == nil || server.dnsConn.RemoteAddr().String() != "127.0.0.1:10" {
		t.Errorf("moved with %v, again with %v", first, second)
	}
}

// Reading stops while the mailbox is full, and with it word of those that leave: one turn of the reducer later all is
// heard, however many they are.
func TestClosesBehindAFullQueue(t *testing.T) {
	server := newBareServer(t)
	const leaving = 200
	sender, _ := server.connectClient(t)
	var gone []stdnet.Conn
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
		nc.Close()
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
	waitFor(t, "word of all", func() bool {
		server.queue.mu.Lock()
		defer server.queue.mu.Unlock()
		return len(server.queue.events) > leaving
	})
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

// The reducer closes a connection that is up, and of which it will hear in a moment: it is found all the same.
func TestCloseBetweenDialAndEvent(t *testing.T) {
	server := newBareServer(t)
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	const id = gateway.ConnID(1<<63 | 9)
	std, err := stdnet.Dial("tcp", ln.Addr().String())
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
	waitFor(t, "the connection to be gone", func() bool { return server.connByID(id) == nil })
}

// Dials that fail for want of something here are told apart from those that the engine refuses.
func TestLocalDialErrors(t *testing.T) {
	for err, ours := range map[error]bool{syscall.EMFILE: true, syscall.ENFILE: true, syscall.EADDRNOTAVAIL: true, syscall.ENOBUFS: true,
		syscall.ENOMEM: true, syscall.ECONNREFUSED: false, syscall.ETIMEDOUT: false, syscall.EHOSTUNREACH: false} {
		wrapped := &stdnet.OpError{Op: "dial", Err: fmt.Errorf("connect: %w", err)}
		if syserr.Local(wrapped) != ours {
			t.Errorf("%v counts as ours: %v", err, !ours)
		}
	}
}

// At the end a connection with bytes that nobody has read, in its socket or in the mailbox, is left open until the
// reducer had them; one that rests is ended cleanly, and what comes on it behind that counts no more.
func TestShutdownWaitsForUnreadBytes(t *testing.T) {
	server := newBareServer(t)
	resting, rest := server.connectClient(t)
	asking, ask := server.connectClient(t)
	if _, err := asking.Write([]byte("a request")); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the bytes in the mailbox", func() bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		return ask.queuedReads > 0
	})
	s := shutdownState{}.next(true)
	if server.advanceShutdown(&s) {
		t.Fatal("over with a request in the mailbox")
	}
	server.mu.Lock()
	if ask.halfClosed || !rest.halfClosed {
		t.Errorf("hung up: the one that asks %v, the one that rests %v", ask.halfClosed, rest.halfClosed)
	}
	server.mu.Unlock()
	if _, err := stdnet.DialTimeout("tcp", server.cfg.Listen.String(), time.Second); err == nil {
		t.Error("a new connection was taken")
	}
	events, _ := server.queue.drain(nil, nil)
	server.uncountReads(events)
	if s = s.next(false).next(true); server.advanceShutdown(&s) {
		t.Error("over with two clients that have not closed yet")
	}
	server.mu.Lock()
	if !ask.halfClosed {
		t.Error("what was read and answered is not hung up")
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
			t.Errorf("the reducer hears %q of a connection that was hung up", received.Data)
		}
	}
	resting.Close()
	asking.Close()
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
		nc, err := stdnet.Dial("tcp", s.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer nc.Close()
		switch i {
		case 1:
			go func() { _, _ = nc.Write(bytes.Repeat([]byte{1, 0, 0, 0, 14}, 4<<20)) }()
		case 2:
			_, _ = nc.Write([]byte{60, 0, 0, 1, 3})
		case 3:
			login := append([]byte{0, 0x82, 8, 0, 0, 0, 0, 1, 45}, make([]byte, 23)...)
			login = append(login, "app\x00\x00"...)
			_, _ = nc.Write(append([]byte{byte(len(login)), 0, 0, 1}, login...))
		}
	}
	s.end()
}

// A name service that answers each socket for a while only: the gateway comes again from a new one, and hears of a
// drain within the time after which it counts as told.
func TestDrainSeenThroughANewSocket(t *testing.T) {
	s := newTestbed(t, served(time.Millisecond, "a\tb\tc\n"), served(time.Millisecond, "a\tb\tc\n"))
	defer s.end()
	var mu sync.Mutex
	heard := map[string]int{}
	s.names.SetFilter(func(from string) bool {
		mu.Lock()
		defer mu.Unlock()
		heard[from]++
		return heard[from] <= 3
	})
	time.Sleep(600 * time.Millisecond) // its socket is silent by now, for good
	drained := slices.Clone(s.hosts)
	drained[0].Draining = true
	s.names.SetHosts(2, drained)
	told := time.Now()
	waitFor(t, "a query from a new socket", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(heard) > 1
	})
	time.Sleep(300 * time.Millisecond)
	if took := time.Since(told); took > 5*time.Second {
		t.Errorf("heard %v after the drain", took)
	}
	before := len(s.engines[0].Requests())
	for i := range 12 {
		if _, err := rows(t.Context(), s.db, statement("point", fmt.Sprintf("%016x", 0xd00+i), 1500)); err != nil {
			t.Error(err)
		}
	}
	if n := len(s.engines[0].Requests()); n != before {
		t.Errorf("%d attempts went to an engine that drains", n-before)
	}
}
