package harness

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"foxlane/internal/standin"
)

// testProcess is a gateway process whose standard error and configuration the test controls.
type testProcess struct {
	t          *testing.T
	cmd        *exec.Cmd
	listenAddr string
	configPath string
	exitErr    chan error
}

// startProcess starts a gateway whose standard error is the given file, and one engine that serves every request.
func startProcess(t *testing.T, stderr *os.File) *testProcess {
	t.Helper()
	engine, err := standin.NewEngine("127.0.0.1:0", func(request standin.Request) standin.Reply {
		return standin.Reply{Delay: time.Millisecond, Status: "served", Pages: []string{request.ID + "\tb\tc\n"}}
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(engine.Close)
	names, err := standin.NewNameServer("127.0.0.1:0", serviceName)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(names.Close)
	names.SetHosts(1, []standin.Host{{ID: "s-1", Zone: "a", Kind: "std", Weight: 4, Addr: netip.MustParseAddrPort(engine.Addr())}})
	listen, err := unusedAddr(0)
	if err != nil {
		t.Fatal(err)
	}
	p := &testProcess{t: t, listenAddr: listen, configPath: filepath.Join(t.TempDir(), "config.json"), exitErr: make(chan error, 1)}
	if err := os.WriteFile(p.configPath, []byte(silentConfig("n0", listen, names.Addr(), engine.Addr())), 0o600); err != nil {
		t.Fatal(err)
	}
	p.cmd = exec.Command(gatewayProgram, "serve")
	p.cmd.Env = append(os.Environ(), "LB_CONFIG="+p.configPath, "LB_NAME=", "LB_LISTEN=")
	p.cmd.Stderr = stderr
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.exitErr <- p.cmd.Wait() }()
	t.Cleanup(func() { _ = p.cmd.Process.Kill() })
	for i := 0; ; i++ {
		if p.query(i) == nil {
			return p
		}
		if i > 300 {
			t.Fatal("the gateway does not serve queries")
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// query sends the gateway a query and expects one row. The number n makes its request id unique.
func (p *testProcess) query(n int) error {
	c, err := standin.Connect(p.listenAddr, netip.Addr{}, time.Second)
	if err != nil {
		return err
	}
	defer c.Close()
	rows, err := c.Query(fmt.Sprintf("/* kind=point,req=%016x,timeout=1000,ms=1.0 */ SELECT day FROM sales_1.orders", time.Now().UnixNano()+int64(n)), time.Second)
	if err == nil && rows != 1 {
		err = fmt.Errorf("got %d rows, want 1", rows)
	}
	return err
}

func (p *testProcess) signal(s syscall.Signal, times int) {
	for range times {
		_ = p.cmd.Process.Signal(s)
		time.Sleep(2 * time.Millisecond)
	}
}

// checkServes fails the test if a query is not served.
func (p *testProcess) checkServes(when string) {
	p.t.Helper()
	if err := p.query(0); err != nil {
		p.t.Errorf("%s: a query failed: %v", when, err)
	}
}

// checkStops sends SIGTERM and fails the test unless the process exits with code 0 within 5 s.
func (p *testProcess) checkStops() {
	p.t.Helper()
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.exitErr:
		if err != nil {
			p.t.Errorf("exited with %v after SIGTERM", err)
		}
	case <-time.After(5 * time.Second):
		p.t.Error("still running 5 s after SIGTERM")
		_ = p.cmd.Process.Kill()
		p.t.Logf("killed: %v", <-p.exitErr)
	}
}

// smallPipe returns the ends of a pipe that holds 4 KB.
func smallPipe(t *testing.T) (r, w *os.File) {
	t.Helper()
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := unix.FcntlInt(w.Fd(), unix.F_SETPIPE_SZ, 4096); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = r.Close(), w.Close() }) // the test may have closed them
	return r, w
}

// fill writes to a pipe until it is full. It opens a separate file description in non-blocking mode, so that writes
// of the process through the original one still block.
func fill(t *testing.T, w *os.File) {
	t.Helper()
	fd, err := unix.Open(fmt.Sprintf("/proc/self/fd/%d", w.Fd()), unix.O_WRONLY|unix.O_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(fd) }()
	for {
		if _, err := unix.Write(fd, []byte("\n")); err == unix.EAGAIN {
			return
		} else if err != nil {
			t.Fatal(err)
		}
	}
}

// A log collector that exits must not stop the gateway: writes to the pipe fail, and the gateway continues to serve.
func TestStandardErrorClosed(t *testing.T) {
	r, w := smallPipe(t)
	p := startProcess(t, w)
	if err := errors.Join(w.Close(), r.Close()); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP, 20)
	time.Sleep(100 * time.Millisecond)
	p.checkServes("with the other end of standard error closed")
	p.checkStops()
}

// A log collector that stops reading must not block the gateway: while the pipe is full, queries are served and SIGTERM
// takes effect.
func TestStandardErrorFull(t *testing.T) {
	_, w := smallPipe(t)
	p := startProcess(t, w)
	fill(t, w)
	p.signal(syscall.SIGHUP, 30)
	time.Sleep(100 * time.Millisecond)
	p.checkServes("with standard error full")
	p.checkStops()
}

// A reload of a file whose read never returns, such as one on a mount that hangs, must block neither the gateway nor
// its shutdown.
func TestReloadWhileConfigReadHangs(t *testing.T) {
	log, err := os.Create(filepath.Join(t.TempDir(), "log"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = log.Close() }()
	p := startProcess(t, log)
	whole, err := os.ReadFile(p.configPath)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(p.configPath); err != nil {
		t.Fatal(err)
	}
	if err := syscall.Mkfifo(p.configPath, 0o600); err != nil { // nothing ever writes to it, so that reads block
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP, 3)
	time.Sleep(100 * time.Millisecond)
	p.checkServes("while reading the configuration hangs")
	if err := os.Remove(p.configPath); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(p.configPath, []byte(strings.Replace(string(whole), `"seq":1,`, `"seq":2,`, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	p.signal(syscall.SIGHUP, 1)
	p.checkServes("with the configuration in place again")
	p.checkStops()
	if raw, err := os.ReadFile(log.Name()); err != nil || !strings.Contains(string(raw), `"configuration reloaded"`) {
		t.Errorf("the restored configuration was not loaded: %v\n%s", err, raw)
	}
}
