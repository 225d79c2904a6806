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

// EnvDefect names the defect that is planted; empty: none.
const EnvDefect = "FOXLANE_PLANT"

// Command is what the process is told on standard input, a JSON object a line.
type Command struct {
	Kind     string  `json:"kind"`            // step, calls, disk or late
	MS       int64   `json:"ms,omitempty"`    // step: by how much the wall clock is stepped; late: by how much dials are late, at most
	Calls    string  `json:"calls,omitempty"` // which calls fail: dial, accept, udp; write, sync, open
	Errno    string  `json:"errno,omitempty"` // as Linux names it
	Fraction float64 `json:"part,omitempty"`  // of the calls that fail
	ForMS    int64   `json:"for_ms,omitempty"`
}

// Kinds of orders.
const (
	CommandStep      = "step"
	CommandCalls     = "calls"
	CommandDisk      = "disk"
	CommandLateDials = "late"
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
	mu        sync.Mutex
	rng       *rand.Rand
	failing   map[string]fault
	lateDials dialDelays
}

// dialDelays are dials that come up late.
type dialDelays struct {
	max      time.Duration
	fraction float64
	until    time.Time
}

func (f *faults) setLateDials(o Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateDials = dialDelays{time.Duration(o.MS) * time.Millisecond, o.Fraction, time.Now().Add(time.Duration(o.ForMS) * time.Millisecond)}
}

// dialDelay is by how much a dial that begins now comes up late.
func (f *faults) dialDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lateDials.max <= 0 || time.Now().After(f.lateDials.until) || f.rng.Float64() >= f.lateDials.fraction {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(f.lateDials.max)))
}

type fault struct {
	errno    syscall.Errno
	fraction float64
	until    time.Time
}

func newFaults() *faults {
	return &faults{rng: rand.New(rand.NewPCG(uint64(os.Getpid()), 3)), failing: map[string]fault{}}
}

// inject answers the error of a call, or nil.
func (f *faults) inject(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	x, ok := f.failing[call]
	if !ok || time.Now().After(x.until) || f.rng.Float64() >= x.fraction {
		return nil
	}
	return os.NewSyscallError(call, x.errno)
}

func (f *faults) setErrors(o Command) error {
	errno, err := ParseErrno(o.Errno)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, call := range strings.Split(o.Calls, ",") {
		f.failing[call] = fault{errno, o.Fraction, time.Now().Add(time.Duration(o.ForMS) * time.Millisecond)}
	}
	return nil
}

// executeCommands carries out what comes on standard input until it ends.
func executeCommands(in io.Reader, f *faults, c *steppedClock, complain func(error)) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		var o Command
		err := json.Unmarshal(lines.Bytes(), &o)
		switch {
		case err != nil:
		case o.Kind == CommandStep:
			c.step(time.Duration(o.MS) * time.Millisecond)
		case o.Kind == CommandCalls || o.Kind == CommandDisk:
			err = f.setErrors(o)
		case o.Kind == CommandLateDials:
			f.setLateDials(o)
		default:
			err = fmt.Errorf("double: unknown order %q", o.Kind)
		}
		if err != nil {
			complain(err)
		}
	}
	os.Exit(exitOrphaned) // who started us has gone
}

// exitOrphaned is how a double ends whose starter has gone.
const exitOrphaned = 3

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
	go executeCommands(os.Stdin, f, clock, func(err error) { log.Error("double: order", zap.Error(err)) })
	platform, err := withDefect(os.Getenv(EnvDefect), newPlatform(f, clock), clock)
	if err != nil {
		return err
	}
	return net.RunOn(platform, cfg, log, net.Signals{Reload: reload, Terminate: end})
}
