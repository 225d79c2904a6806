// Package faultgateway owns the gateway process for fault injection. It runs the same server as the released program,
// but with a clock, sockets and files that fail by commands on standard input, and optionally with a planted defect.
// Only foxlab starts it; the released program can't do any of this. It must never communicate with other machines.
package faultgateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/asynclog"
	"foxlane/internal/config"
	_ "foxlane/internal/earlysignals" // a SIGHUP must not end the process before it can be handled
	"foxlane/internal/process"
	"foxlane/internal/transport"
)

// EnvDefect is the environment variable with the name of the defect to plant; empty: none.
const EnvDefect = "FOXLANE_PLANT"

// Command is a command on standard input, one JSON object per line.
type Command struct {
	Kind string `json:"kind"`         // one of the constants below
	MS   int64  `json:"ms,omitempty"` // step: by how much the wall clock steps; late: maximum delay of dials
	// Calls is a comma-separated list of the calls that fail. Kind calls: dial, accept, udp, send, receive; kind disk:
	// open, read, write, truncate, sync, remove.
	Calls    string  `json:"calls,omitempty"`
	Errno    string  `json:"errno,omitempty"`  // name on Linux, such as ENOSPC
	Fraction float64 `json:"part,omitempty"`   // of the calls that fail, or of the dials that are delayed
	ForMS    int64   `json:"for_ms,omitempty"` // calls, disk, late: duration of the fault
}

// Kinds of commands.
const (
	CommandStep      = "step"  // step the wall clock
	CommandCalls     = "calls" // make calls on sockets fail
	CommandDisk      = "disk"  // make calls on the spool's folder fail
	CommandLateDials = "late"  // delay dials
)

// executeCommands executes the commands from standard input. It exits the process at the end of the input, because then
// foxlab has exited.
func executeCommands(in io.Reader, f *faults, clock *steppedClock, onError func(error)) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if err := executeCommand(lines.Bytes(), f, clock); err != nil {
			onError(err)
		}
	}
	os.Exit(exitOrphaned)
}

// exitOrphaned is the exit code at the end of standard input.
const exitOrphaned = 3

// ErrUnknownCommand is returned for a command of an unknown kind.
var ErrUnknownCommand = errors.New("faultgateway: unknown command")

func executeCommand(line []byte, f *faults, clock *steppedClock) error {
	var c Command
	if err := json.Unmarshal(line, &c); err != nil {
		return fmt.Errorf("faultgateway: decode command: %w", err)
	}
	switch c.Kind {
	case CommandStep:
		clock.step(time.Duration(c.MS) * time.Millisecond)
	case CommandCalls, CommandDisk:
		return f.setCallErrors(c)
	case CommandLateDials:
		f.setDialDelays(c)
	default:
		return fmt.Errorf("%w %q", ErrUnknownCommand, c.Kind)
	}
	return nil
}

// logBufferBytes is the size of the log's buffer. It is larger than that of the released program, since the harness reads
// state changes and broken invariants from the log, also of a gateway whose log nobody reads for a while.
const logBufferBytes = 1 << 20

// Serve runs the gateway like `foxlane serve --verbose` until SIGTERM. Site is the path of the operator's file; empty:
// none.
func Serve(site string) error {
	reload, terminate := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	signal.Notify(terminate, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := config.Load()
	if err != nil {
		return err
	}
	if cfg, err = cfg.WithSite(site); err != nil {
		return err
	}
	cfg.Trace = true
	process.Configure(cfg.Limits)
	lines := asynclog.New(os.Stderr, logBufferBytes, func(n int) []byte { return fmt.Appendf(nil, `{"msg":"log: lines lost","lines":%d}`+"\n", n) })
	defer lines.Close(200 * time.Millisecond)
	encoder := zap.NewProductionEncoderConfig()
	encoder.EncodeTime = zapcore.ISO8601TimeEncoder
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), lines, zapcore.DebugLevel))
	f, clock := newFaults(), newSteppedClock()
	go executeCommands(os.Stdin, f, clock, func(err error) { log.Error("faultgateway: command failed", zap.Error(err)) })
	platform, err := withDefect(os.Getenv(EnvDefect), newPlatform(f, clock), clock)
	if err != nil {
		return err
	}
	return transport.RunOn(platform, cfg, log, transport.Signals{Reload: reload, Terminate: terminate})
}
