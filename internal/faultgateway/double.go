// Package double is a test double of the gateway's process: the same net.Run, on a clock, sockets and files that fail as
// they are told to on standard input, and with a defect planted in its reducer if one is named. Only the lab starts it;
// the released program has no way to any of this. It must never reach any address but this machine's.
package faultgateway

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/asynclog"
	"foxlane/internal/config"
	"foxlane/internal/net"
)

// EnvPlant names the defect that is planted; empty: none.
const EnvPlant = "FOXLANE_PLANT"

// Order is what the process is told on standard input, a JSON object a line.
type Order struct {
	Kind  string  `json:"kind"`            // step, calls, disk or late
	MS    int64   `json:"ms,omitempty"`    // step: by how much the wall clock is stepped; late: by how much dials are late, at most
	Calls string  `json:"calls,omitempty"` // which calls fail: dial, accept, udp; write, sync, open
	Errno string  `json:"errno,omitempty"` // as Linux names it
	Part  float64 `json:"part,omitempty"`  // of the calls that fail
	ForMS int64   `json:"for_ms,omitempty"`
}

// Kinds of orders.
const (
	OrderStep  = "step"
	OrderCalls = "calls"
	OrderDisk  = "disk"
	OrderLate  = "late"
)

var errnos = map[string]syscall.Errno{
	"ECONNABORTED": syscall.ECONNABORTED, "ENFILE": syscall.ENFILE, "EMFILE": syscall.EMFILE, "ENOBUFS": syscall.ENOBUFS,
	"ENOMEM": syscall.ENOMEM, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "EADDRINUSE": syscall.EADDRINUSE, "ENETUNREACH": syscall.ENETUNREACH,
	"EINTR": syscall.EINTR, "EHOSTUNREACH": syscall.EHOSTUNREACH, "ETIMEDOUT": syscall.ETIMEDOUT, "EPROTO": syscall.EPROTO,
	"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO, "EAGAIN": syscall.EAGAIN,
}

// ParseErrno returns the error of a name.
func ParseErrno(name string) (syscall.Errno, error) {
	e, ok := errnos[name]
	if !ok {
		return 0, fmt.Errorf("double: unknown error %q", name)
	}
	return e, nil
}

// faults are the calls that fail now, by name.
type faults struct {
	mu   sync.Mutex
	rng  *rand.Rand
	on   map[string]fault
	late lateDials
}

// lateDials are dials that come up late.
type lateDials struct {
	by    time.Duration
	part  float64
	until time.Time
}

func (f *faults) setLate(o Order) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.late = lateDials{time.Duration(o.MS) * time.Millisecond, o.Part, time.Now().Add(time.Duration(o.ForMS) * time.Millisecond)}
}

// lateness is by how much a dial that begins now comes up late.
func (f *faults) lateness() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.late.by <= 0 || time.Now().After(f.late.until) || f.rng.Float64() >= f.late.part {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(f.late.by)))
}

type fault struct {
	errno syscall.Errno
	part  float64
	until time.Time
}

func newFaults() *faults {
	return &faults{rng: rand.New(rand.NewPCG(uint64(os.Getpid()), 3)), on: map[string]fault{}}
}

// fail answers the error of a call, or nil.
func (f *faults) fail(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.on[call]
	if !ok || time.Now().After(x.until) || f.rng.Float64() >= x.part {
		return nil
	}
	return os.NewSyscallError(call, x.errno)
}

func (f *faults) set(o Order) error {
	errno, err := ParseErrno(o.Errno)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, call := range strings.Split(o.Calls, ",") {
		f.on[call] = fault{errno, o.Part, time.Now().Add(time.Duration(o.ForMS) * time.Millisecond)}
	}
	return nil
}

// obey carries out what comes on standard input until it ends.
func obey(in io.Reader, f *faults, c *steppedClock, complain func(error)) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var o Order
		err := json.Unmarshal(lines.Bytes(), &o)
		switch {
		case err != nil:
		case o.Kind == OrderStep:
			c.step(time.Duration(o.MS) * time.Millisecond)
		case o.Kind == OrderCalls || o.Kind == OrderDisk:
			err = f.set(o)
		case o.Kind == OrderLate:
			f.setLate(o)
		default:
			err = fmt.Errorf("double: unknown order %q", o.Kind)
		}
		if err != nil {
			complain(err)
		}
	}
	os.Exit(exitOrphan) // who started us has gone
}

// exitOrphan is how a double ends whose starter has gone.
const exitOrphan = 3

// Serve serves as `foxlane serve --verbose` does, until SIGTERM. Site names the operator's file; empty: none.
func Serve(site string) error {
	reload, end := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(end, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := config.Load()
	if err != nil {
		return err
	}
	if cfg, err = cfg.WithSite(site); err != nil {
		return err
	}
	cfg.Trace = true
	runtime.GOMAXPROCS(1)
	lines := asynclog.New(os.Stderr, 4<<20, func(n int) []byte { return fmt.Appendf(nil, `{"msg":"log: lines lost","lines":%d}`+"\n", n) })
	defer lines.Close(200 * time.Millisecond)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), lines, zapcore.DebugLevel))
	f, clock := newFaults(), newSteppedClock()
	go obey(os.Stdin, f, clock, func(err error) { log.Error("double: order", zap.Error(err)) })
	platform, err := plant(os.Getenv(EnvPlant), platformOf(f, clock), clock)
	if err != nil {
		return err
	}
	return net.RunOn(platform, cfg, log, net.Signals{Reload: reload, Terminate: end})
}
