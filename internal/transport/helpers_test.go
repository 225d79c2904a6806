package transport

import (
	"context"
	"database/sql"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/internal/standin"
)

// This file has what the tests of the package share: a whole gateway between fake servers, a server without a reducer, and
// small helpers.

// No goroutine of a server is left behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSettings = `{"classes":[
 {"name":"point","aim":200000,"aimStretch":1.5,"giveUp":1500000,"effect":"pure","group":"all","lateValue":0.1,"worth":1},
 {"name":"load","aim":1300000,"aimStretch":3,"giveUp":4000000,"effect":"side_effect","group":"all","lateValue":0.6,"worth":25}],
"extra":{"classThreads":[1,2],"cpuOfKind":[16],"ramOfKindMb":[65536],"isLoad":[false,true],"takesGrants":true,"ranksHeeded":true,"tellsCost":true},
"limits":{"cancel":true,"connIdle":15000000,"connectTimeout":250000,"maxAttempts":3,"maxOpen":20000,"multiplex":32,"parallelTries":true},
"machineTypes":["std-16"],"membershipMode":"push","rules":{"answerSlack":5000,"stopSendingWithin":1000000},"siblings":1,"tick":1000,"zones":["hall-a"]}`

// ordinaryLimits are those of the tests that are not about limits.
const ordinaryLimits = `{"cores":1,"memory_mb":192,"sockets":1024}`

// testbed is a gateway between fake servers, on loopback.
type testbed struct {
	t       *testing.T
	addr    string
	names   *standin.NameServer
	engines []*standin.Engine
	hosts   []standin.Host
	config  string
	stop    chan os.Signal
	hup     chan os.Signal
	ended   chan error
	db      *sql.DB
}

func newTestbed(t *testing.T, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	return newTestbedWithLimits(t, ordinaryLimits, answers...)
}

// newTestbedWithLimits has a gateway with other limits.
func newTestbedWithLimits(t *testing.T, limits string, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	return newTestbedOn(t, System(), limits, answers...)
}

// newTestbedOn has a gateway on a platform that may be a double.
func newTestbedOn(t *testing.T, platform Platform, limits string, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	s := &testbed{t: t, stop: make(chan os.Signal, 1), hup: make(chan os.Signal, 1), ended: make(chan error, 1)}
	goroutines, files, heap := runtime.NumGoroutine(), descriptors(t), heapAlloc()
	t.Cleanup(func() { s.checkNoLeaks(goroutines, files, heap) }) // behind all that the test defers
	var err error
	if s.names, err = standin.NewNameServer("127.0.0.1:0", "_data._tcp.farm.lan"); err != nil {
		t.Fatal(err)
	}
	var servers []string
	for i, answer := range answers {
		e, err := standin.NewEngine("127.0.0.1:0", answer)
		if err != nil {
			t.Fatal(err)
		}
		h := standin.Host{ID: fmt.Sprintf("s-%08x", i), Zone: "hall-a", Kind: "std-16", Weight: 4, Addr: netip.MustParseAddrPort(e.Addr())}
		s.engines, s.hosts = append(s.engines, e), append(s.hosts, h)
		servers = append(servers, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":"hall-a","kind":"std-16","state":"active","weight":4}`, h.ID, h.Addr))
	}
	s.names.SetHosts(1, s.hosts)
	s.addr = freeAddress(t)
	s.config = `{"name":"n0","listen":"` + s.addr + `","seed":"01","limits":` + limits + `,
		"dns":"` + s.names.Addr() + `","known":{"seq":1,"results":[{"seq":1,"fleet":{"full":true,"servers":[` +
		strings.Join(servers, ",") + `]}}]},"settings":` + testSettings + `}`
	cfg, err := config.Parse([]byte(s.config))
	if err != nil {
		t.Fatal(err)
	}
	go func() { s.ended <- RunOn(platform, cfg, zap.NewNop(), Signals{Reload: s.hup, Terminate: s.stop}) }()
	if s.db, err = sql.Open("mysql", "app@tcp("+s.addr+")/main?interpolateParams=true"); err != nil {
		t.Fatal(err)
	}
	for i := 0; s.db.Ping() != nil; i++ {
		if i > 200 {
			t.Fatal("the gateway does not answer")
		}
		time.Sleep(10 * time.Millisecond)
	}
	return s
}

// end asks the gateway to end and closes the rest.
func (s *testbed) end() {
	s.t.Helper()
	s.stop <- syscall.SIGTERM
	select {
	case err := <-s.ended:
		if err != nil {
			s.t.Errorf("ended with %v", err)
		}
	case <-time.After(5 * time.Second):
		s.t.Error("not ended 5 s after SIGTERM")
	}
	mustClose(s.t, s.db)
	for _, e := range s.engines {
		e.Close()
	}
	s.names.Close()
}

func statement(class, id string, timeout int) string {
	return fmt.Sprintf("/* kind=%s,req=%s,timeout=%d */ SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = 'x''y'", class, id, timeout)
}

// rows reads all of a result.
func rows(ctx context.Context, db *sql.DB, text string) (out []string, err error) {
	r, err := db.QueryContext(ctx, text)
	if err != nil {
		return nil, err
	}
	defer func() {
		if closeErr := r.Close(); err == nil {
			err = closeErr
		}
	}()
	for r.Next() {
		var a, b, c string
		if err := r.Scan(&a, &b, &c); err != nil {
			return out, err
		}
		out = append(out, a+"|"+b+"|"+c)
	}
	return out, r.Err()
}

func served(after time.Duration, pages ...string) func(standin.Request) standin.Reply {
	return func(standin.Request) standin.Reply {
		return standin.Reply{Delay: after, Status: "served", Pages: pages}
	}
}

// checkNoLeaks checks, behind each scene, that goroutines, descriptors and memory are as before.
func (s *testbed) checkNoLeaks(goroutines, files int, heap uint64) {
	const spare = 4 << 20 // what libraries keep for later, and what the testbed itself holds
	if s.t.Failed() {
		return
	}
	for i := 0; ; i++ {
		n, f, h := runtime.NumGoroutine(), descriptors(s.t), heapAlloc()
		if n <= goroutines && f <= files && h <= heap+spare {
			return
		}
		if i > 100 {
			s.t.Fatalf("%d goroutines, %d descriptors and %d bytes are left; %d, %d and %d before", n, f, h, goroutines, files, heap)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heapAlloc is how much memory is in use after garbage collection.
func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC() // pools keep theirs over one
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func descriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("no /proc here")
	}
	return len(list)
}

func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("waited in vain for %s", what)
}

// ---- a server without a reducer

// newBareServer is a server without a reducer: events stay in the queue until the test takes them.
func newBareServer(t *testing.T) *Server {
	t.Helper()
	return newBareServerOn(t, System(), ordinaryLimits)
}

// newBareServerOn is a server without a reducer on a platform that may be a double.
func newBareServerOn(t *testing.T, platform Platform, limits string) *Server {
	t.Helper()
	server := newServer(platform, loopbackConfig(t, limits), zap.NewNop())
	if err := server.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.close)
	// The loops of nbio begin in goroutines of their own, and one that is stopped before it has begun goes on for ever: both
	// have begun once a byte has come. (A gateway lives 0.9 s at least.)
	client, c := server.connectClient(t)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	server.awaitQueue(t, "a byte", func(q *eventQueue) bool { return q.queuedBytes > 0 })
	mustClose(t, client)
	waitFor(t, "its end", func() bool { return server.connByID(c.id) == nil })
	server.awaitQueue(t, "the event of it", func(q *eventQueue) bool { return len(q.events) == 3 })
	server.queue.drain(nil, nil)
	return server
}

// awaitQueue waits until something holds of the queue.
func (s *Server) awaitQueue(t *testing.T, what string, ok func(q *eventQueue) bool) {
	t.Helper()
	waitFor(t, what, func() bool {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		return ok(s.queue)
	})
}

// connectClient connects a client to a bare server.
func (s *Server) connectClient(t *testing.T) (client net.Conn, c *conn) {
	t.Helper()
	s.mu.Lock()
	had := s.lastAccepted
	s.mu.Unlock()
	client, err := net.Dial("tcp", s.cfg.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // the test may have closed it
	waitFor(t, "the connection", func() bool {
		c = s.connByID(had + 1)
		return c != nil
	})
	return client, c
}

// awaitDialResult waits for what becomes of a dial.
func (s *Server) awaitDialResult(t *testing.T) (out gateway.Event) {
	t.Helper()
	waitFor(t, "the end of the dial", func() bool {
		events, _ := s.queue.drain(nil, nil)
		for _, ev := range events {
			switch ev.event.(type) {
			case gateway.DialSucceeded, gateway.DialFailed:
				out = ev.event
				return true
			}
		}
		return false
	})
	return out
}

// ---- small helpers

// loopbackConfig is that of a gateway without engines or a name service, on a free address.
func loopbackConfig(t *testing.T, limits string) config.Config {
	t.Helper()
	cfg, err := config.Parse(configText(freeAddress(t), limits))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

func configText(listen, limits string) []byte {
	return []byte(`{"name":"n0","listen":"` + listen + `","seed":"01","limits":` + limits + `,
		"dns":"127.0.0.1:9","known":{"seq":0},"settings":` + testSettings + `}`)
}

// listenLoopback listens until the test ends.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, ln) })
	return ln
}

// freeAddress is one on which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer mustClose(t, ln)
	return ln.Addr().String()
}

func addrOf(ln net.Listener) netip.AddrPort { return netip.MustParseAddrPort(ln.Addr().String()) }

// mustClose closes what nothing else has closed.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// mustCloseFD closes a descriptor that the test has made.
func mustCloseFD(t *testing.T, fd int) {
	t.Helper()
	if err := syscall.Close(fd); err != nil {
		t.Errorf("close descriptor %d: %v", fd, err)
	}
}

// loginPacket is a client's login, with its header.
func loginPacket() []byte {
	login := append([]byte{0, 0x82, 8, 0, 0, 0, 0, 1, 45}, make([]byte, 23)...)
	login = append(login, "app\x00\x00"...)
	return append([]byte{byte(len(login)), 0, 0, 1}, login...)
}

// transientFault answers an error for so many calls, then none.
type transientFault struct {
	left atomic.Int64
	err  error
}

func (f *transientFault) next() error {
	if f.left.Add(-1) >= 0 {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError("call", f.err)}
	}
	return nil
}
