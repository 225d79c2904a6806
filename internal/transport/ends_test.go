package transport

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/rules"
)

// envPanic tells the test binary to run a gateway in which this goroutine panics, instead of the tests.
const envPanic = "FOXLANE_TEST_PANIC"

// panickingReducer panics on the first event.
type panickingReducer struct{ Reducer }

func (panickingReducer) Step(rules.Time, gateway.Event) { panic("planted") }

// panickingConn panics when it is read.
type panickingConn struct{ net.Conn }

func (panickingConn) Read([]byte) (int, error) { panic("planted") }

// runPanickingGateway runs a gateway in which the named goroutine panics. It returns only if the gateway does.
func runPanickingGateway(goroutine string) {
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.Lock(os.Stderr), zapcore.InfoLevel))
	platform := System()
	switch goroutine {
	case "reducer":
		platform.Reducer = func(cfg config.Config, now rules.Time) Reducer { return panickingReducer{gateway.New(cfg, now)} }
	case "name service":
		dial := platform.DialUDP
		platform.DialUDP = func(addr netip.AddrPort) (net.Conn, error) {
			conn, err := dial(addr)
			return panickingConn{conn}, err
		}
	case "dial":
		server := newServer(platform, config.Config{}, log)
		platform.Dial = func(context.Context, netip.AddrPort) (net.Conn, error) { panic("planted") }
		server.platform = platform
		server.startDial(1, netip.AddrPort{}, rules.Second)
		time.Sleep(5 * time.Second)
		return
	case "connection closed":
		server := &Server{log: log}
		defer func() { _ = recover() }() // as nbio does
		defer server.endOnPanic(goroutine)
		panic("planted")
	}
	cfg, err := config.LoadFile("../../example/config.json")
	if err == nil {
		cfg.Listen, err = netip.ParseAddrPort("127.0.0.1:0")
	}
	if err == nil {
		err = RunOn(platform, cfg, log, Signals{})
	}
	log.Error("the gateway returned", zap.Error(err))
}

// A panic in any goroutine ends the process, with its cause in the log, also where the caller would recover from it.
func TestPanicsEndTheProcess(t *testing.T) {
	for _, goroutine := range []string{"reducer", "name service", "dial", "connection closed"} {
		t.Run(goroutine, func(t *testing.T) {
			cmd := exec.CommandContext(t.Context(), os.Args[0])
			cmd.Env = append(os.Environ(), envPanic+"="+goroutine)
			output, err := cmd.CombinedOutput()
			var exit *exec.ExitError
			if !errors.As(err, &exit) || exit.ExitCode() != 2 {
				t.Errorf("the process ended with %v, want exit code 2", err)
			}
			for _, want := range []string{`"msg":"process ends"`, `"goroutine":"` + goroutine + `"`, "panic: planted"} {
				if !strings.Contains(string(output), want) {
					t.Errorf("the log lacks %s: %.600s", want, output)
				}
			}
		})
	}
}

// A gateway whose event loop has ended reads and writes nothing any more, so it must end too, for another process to be
// started in its place.
func TestEndOfTheEventLoopEndsTheProcess(t *testing.T) {
	before := pollerDescriptors(t)
	s := newTestbed(t)
	for fd := range pollerDescriptors(t) {
		if before[fd] {
			continue
		}
		devNull, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		if err := syscall.Dup3(int(devNull.Fd()), fd, syscall.O_CLOEXEC); err != nil {
			t.Fatal(err)
		}
		_ = devNull.Close() // opened read-only
	}
	go func() { _ = s.db.Ping() }() // wakes the loop; it may get no answer
	select {
	case err := <-s.exited:
		if !errors.Is(err, ErrPollerEnded) {
			t.Errorf("the gateway ended with %v, want %v", err, ErrPollerEnded)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the gateway goes on without its event loop")
	}
	_ = s.db.Close() // its connections are closed already
	s.nameServer.Close()
}

// pollerDescriptors returns the descriptors of epoll instances of this process.
func pollerDescriptors(t *testing.T) map[int]bool {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	found := map[int]bool{}
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join("/proc/self/fd", entry.Name()))
		if err != nil || target != "anon_inode:[eventpoll]" {
			continue
		}
		if fd, err := strconv.Atoi(entry.Name()); err == nil {
			found[fd] = true
		}
	}
	return found
}
