package transport

import (
	"context"
	"database/sql"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"path/filepath"
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

// This file has helpers shared by the package's tests: a whole gateway between fake servers, a server without a
// reducer, and small functions.

// TestMain checks that no goroutines are leaked. With envPanic set it runs no tests.
func TestMain(m *testing.M) {
	if goroutine := os.Getenv(envPanic); goroutine != "" {
		runPanickingGateway(goroutine)
		return
	}
	goleak.VerifyTestMain(m)
}

const testSettings = `{"classes":[
 {"name":"point","aim":200000,"aimStretch":1.5,"giveUp":1500000,"effect":"pure","group":"all","lateValue":0.1,"worth":1},
 {"name":"load","aim":1300000,"aimStretch":3,"giveUp":4000000,"effect":"side_effect","group":"all","lateValue":0.6,"worth":25}],
"extra":{"classThreads":[1,2],"cpuOfKind":[16],"ramOfKindMb":[65536],"isLoad":[false,true],"takesGrants":true,"ranksHeeded":true,"tellsCost":true},
"limits":{"cancel":true,"connIdle":15000000,"connectTimeout":250000,"maxAttempts":3,"maxOpen":20000,"multiplex":32,"parallelTries":true},
"machineTypes":["std-16"],"membershipMode":"push","rules":{"answerSlack":5000,"stopSendingWithin":1000000},"siblings":1,"tick":1000,"zones":["hall-a"]}`

// defaultLimits are the limits in tests that do not depend on limits.
const defaultLimits = `{"cores":1,"memory_mb":192,"sockets":1024}`

// testbed is a gateway on loopback with a fake name server and fake engines.
type testbed struct {
	t          *testing.T
	addr       string
	nameServer *standin.NameServer
	engines    []*standin.Engine
	hosts      []standin.Host
	platform   Platform
	config     string
	sitePath   string // of the operator's own file; empty: none
	stop       chan os.Signal
	hup        chan os.Signal
	exited     chan error
	db         *sql.DB
}

// newTestbed starts a gateway with an engine for each function in answers.
func newTestbed(t *testing.T, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	return newTestbedWithLimits(t, defaultLimits, answers...)
}

// newTestbedWithLimits is like newTestbed, with the given limits.
func newTestbedWithLimits(t *testing.T, limits string, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	return newTestbedOn(t, System(), limits, answers...)
}

// newTestbedOn is like newTestbed, with the given platform and limits.
func newTestbedOn(t *testing.T, platform Platform, limits string, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	return startTestbed(t, platform, limits, "", answers...)
}

// newTestbedWithSite is like newTestbed, on the given platform and with an operator's own file of the given text.
func newTestbedWithSite(t *testing.T, platform Platform, text string, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	path := filepath.Join(t.TempDir(), "site.hcl")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return startTestbed(t, platform, defaultLimits, path, answers...)
}

func startTestbed(t *testing.T, platform Platform, limits, sitePath string, answers ...func(standin.Request) standin.Reply) *testbed {
	t.Helper()
	s := &testbed{t: t, platform: platform, sitePath: sitePath, stop: make(chan os.Signal, 1), hup: make(chan os.Signal, 1), exited: make(chan error, 1)}
	goroutines, files, heap := runtime.NumGoroutine(), countDescriptors(t), heapAlloc()
	t.Cleanup(func() { s.checkNoLeaks(goroutines, files, heap) }) // runs after the deferred calls of the test
	var err error
	if s.nameServer, err = standin.NewNameServer("127.0.0.1:0", "_data._tcp.farm.lan"); err != nil {
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
	s.nameServer.SetHosts(1, s.hosts)
	s.addr = freeAddress(t)
	s.config = `{"name":"n0","listen":"` + s.addr + `","seed":"01","limits":` + limits + `,
		"dns":"` + s.nameServer.Addr() + `","known":{"seq":1,"results":[{"seq":1,"fleet":{"full":true,"servers":[` +
		strings.Join(servers, ",") + `]}}]},"settings":` + testSettings + `}`
	if s.db, err = sql.Open("mysql", "app@tcp("+s.addr+")/main?interpolateParams=true"); err != nil {
		t.Fatal(err)
	}
	s.start()
	return s
}

// start starts the gateway, for the first time or again, and waits until it answers.
func (s *testbed) start() {
	s.t.Helper()
	cfg, err := config.Parse([]byte(s.config))
	if err == nil {
		cfg, err = cfg.WithSite(s.sitePath)
	}
	if err != nil {
		s.t.Fatal(err)
	}
	go func() {
		s.exited <- RunOn(s.platform, cfg, zap.NewNop(), Signals{Reload: s.hup, Terminate: s.stop})
	}()
	for i := 0; s.db.Ping() != nil; i++ {
		if i > 200 {
			s.t.Fatal("the gateway does not answer pings")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// terminate sends SIGTERM to the gateway and returns how long it took to exit.
func (s *testbed) terminate() time.Duration {
	s.t.Helper()
	began := time.Now()
	s.stop <- syscall.SIGTERM
	select {
	case err := <-s.exited:
		if err != nil {
			s.t.Errorf("Run returned %v", err)
		}
	case <-time.After(5 * time.Second):
		s.t.Error("still running 5 s after SIGTERM")
	}
	return time.Since(began)
}

// shutdown sends SIGTERM to the gateway, waits for it to exit and closes the fake servers.
func (s *testbed) shutdown() {
	s.t.Helper()
	s.terminate()
	s.closeFakeServers()
}

// closeFakeServers closes the fake servers of a gateway that has exited.
func (s *testbed) closeFakeServers() {
	s.t.Helper()
	mustClose(s.t, s.db)
	for _, e := range s.engines {
		e.Close()
	}
	s.nameServer.Close()
}

// statement returns a query of a class with a request id and a timeout in milliseconds.
func statement(class, id string, timeout int) string {
	return fmt.Sprintf("/* kind=%s,req=%s,timeout=%d */ SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = 'x''y'", class, id, timeout)
}

// queryRows runs a query and returns all rows of the result, with the columns of a row joined by |.
func queryRows(ctx context.Context, db *sql.DB, text string) (out []string, err error) {
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

// replyAfter returns an engine behavior that answers every request with the pages, after a delay.
func replyAfter(delay time.Duration, pages ...string) func(standin.Request) standin.Reply {
	return func(standin.Request) standin.Reply {
		return standin.Reply{Delay: delay, Status: "served", Pages: pages}
	}
}

// checkNoLeaks checks that no more goroutines, descriptors and heap bytes are in use than before the test.
func (s *testbed) checkNoLeaks(goroutines, files int, heap uint64) {
	const tolerance = 4 << 20 // bytes; allows for caches of libraries and for the testbed itself
	if s.t.Failed() {
		return
	}
	for i := 0; ; i++ {
		n, f, h := runtime.NumGoroutine(), countDescriptors(s.t), heapAlloc()
		if n <= goroutines && f <= files && h <= heap+tolerance {
			return
		}
		if i > 100 {
			s.t.Fatalf("%d goroutines, %d descriptors and %d heap bytes in use; %d, %d and %d before the test", n, f, h, goroutines, files, heap)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// heapAlloc returns the heap bytes in use after garbage collection.
func heapAlloc() uint64 {
	runtime.GC()
	runtime.GC() // a sync.Pool keeps its items for one collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// countDescriptors returns the number of open descriptors.
func countDescriptors(t *testing.T) int {
	t.Helper()
	list, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Skip("/proc/self/fd is not available")
	}
	return len(list)
}

// waitFor waits up to 2 s for a condition and fails the test if it does not become true.
func waitFor(t *testing.T, condition string, ok func() bool) {
	t.Helper()
	for range 200 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", condition)
}

// ---- a server without a reducer

// newBareServer returns a server without a reducer: events stay in the queue until the test takes them.
func newBareServer(t *testing.T) *Server {
	t.Helper()
	return newBareServerOn(t, System(), defaultLimits)
}

// newBareServerOn is like newBareServer, with the given platform and limits.
func newBareServerOn(t *testing.T, platform Platform, limits string) *Server {
	t.Helper()
	server := newServer(platform, loopbackConfig(t, limits), zap.NewNop())
	if err := server.open(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.close)
	// nbio's event loops run in goroutines of their own, and a loop that is stopped before it has begun never ends.
	// Both loops have begun once a byte was received. (A gateway runs for at least 0.9 s.)
	client, c := server.connectClient(t)
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	server.awaitQueue(t, "a byte", func(q *eventQueue) bool { return q.queuedBytes > 0 })
	mustClose(t, client)
	waitFor(t, "the connection to be removed", func() bool { return server.connByID(c.id) == nil })
	server.awaitQueue(t, "the events of the connection", func(q *eventQueue) bool { return len(q.events) == 3 })
	server.queue.drain(nil, nil)
	return server
}

// awaitQueue waits until the queue fulfills a condition.
func (s *Server) awaitQueue(t *testing.T, condition string, ok func(q *eventQueue) bool) {
	t.Helper()
	waitFor(t, condition, func() bool {
		s.queue.mu.Lock()
		defer s.queue.mu.Unlock()
		return ok(s.queue)
	})
}

// connectClient connects a client to the server and returns both sides of the connection.
func (s *Server) connectClient(t *testing.T) (client net.Conn, c *conn) {
	t.Helper()
	s.mu.Lock()
	lastAccepted := s.lastAccepted
	s.mu.Unlock()
	client, err := net.Dial("tcp", s.cfg.Listen.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = client.Close() }) // the test may have closed it
	waitFor(t, "the connection", func() bool {
		c = s.connByID(lastAccepted + 1)
		return c != nil
	})
	return client, c
}

// awaitDialResult waits for a DialSucceeded or DialFailed event.
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

// loopbackConfig returns the configuration of a gateway on a free address, without engines or a name service.
func loopbackConfig(t *testing.T, limits string) config.Config {
	t.Helper()
	cfg, err := config.Parse(configText(freeAddress(t), limits))
	if err != nil {
		t.Fatal(err)
	}
	return cfg
}

// configText returns the configuration file of a gateway without engines or a name service.
func configText(listen, limits string) []byte {
	return []byte(`{"name":"n0","listen":"` + listen + `","seed":"01","limits":` + limits + `,
		"dns":"127.0.0.1:9","known":{"seq":0},"settings":` + testSettings + `}`)
}

// listenLoopback listens on a free loopback address until the test ends.
func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mustClose(t, ln) })
	return ln
}

// freeAddress returns a loopback address on which nothing listens.
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

// mustClose closes c and fails the test on an error.
func mustClose(t *testing.T, c io.Closer) {
	t.Helper()
	if err := c.Close(); err != nil {
		t.Errorf("close: %v", err)
	}
}

// mustCloseFD closes a descriptor and fails the test on an error.
func mustCloseFD(t *testing.T, fd int) {
	t.Helper()
	if err := syscall.Close(fd); err != nil {
		t.Errorf("close descriptor %d: %v", fd, err)
	}
}

// loginPacket returns a client's login packet, including the header.
func loginPacket() []byte {
	login := append([]byte{0, 0x82, 8, 0, 0, 0, 0, 1, 45}, make([]byte, 23)...)
	login = append(login, "app\x00\x00"...)
	return append([]byte{byte(len(login)), 0, 0, 1}, login...)
}

// transientFault returns an error for a number of calls, then none.
type transientFault struct {
	remaining atomic.Int64
	err       error
}

func (f *transientFault) next() error {
	if f.remaining.Add(-1) >= 0 {
		return &net.OpError{Op: "dial", Err: os.NewSyscallError("call", f.err)}
	}
	return nil
}
