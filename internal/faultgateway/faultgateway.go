// Package faultgateway is the gateway's process for fault injection: the same server, on a clock, sockets and files that fail by
// commands on standard input, and with a planted defect in its reducer if one is named. Only the lab starts it; the released
// program has no way to any of this. It must never reach any address but this machine's.
package faultgateway

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"foxlane/internal/asynclog"
	"foxlane/internal/config"
	"foxlane/internal/transport"
)

// EnvDefect is the environment variable that names the planted defect; empty: none.
const EnvDefect = "FOXLANE_PLANT"

// Command is what the process reads on standard input, a JSON object a line.
type Command struct {
	Kind     string  `json:"kind"`             // one of the constants below
	MS       int64   `json:"ms,omitempty"`     // step: of the wall clock; late: by which dials are delayed, at most
	Calls    string  `json:"calls,omitempty"`  // calls, disk: which fail: dial, accept, udp, send, receive; open, read, write, truncate, sync, remove
	Errno    string  `json:"errno,omitempty"`  // as Linux names it
	Fraction float64 `json:"part,omitempty"`   // of the calls that fail
	ForMS    int64   `json:"for_ms,omitempty"` // calls, disk, late: how long it holds
}

// Kinds of commands.
const (
	CommandStep      = "step"  // step the wall clock
	CommandCalls     = "calls" // have calls on sockets fail
	CommandDisk      = "disk"  // have calls on the folder of results fail
	CommandLateDials = "late"  // delay dials
)

// executeCommands executes the commands that come on standard input. When that ends the lab has exited, and so does the process.
func executeCommands(in io.Reader, f *faults, clock *steppedClock, onError func(error)) {
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		if err := executeCommand(lines.Bytes(), f, clock); err != nil {
			onError(err)
		}
	}
	os.Exit(exitOrphaned)
}

// exitOrphaned is the exit code after the end of standard input.
const exitOrphaned = 3

// ErrUnknownCommand is the error of a command whose kind is none of the constants.
var ErrUnknownCommand = errors.New("faultgateway: unknown command")

func executeCommand(line []byte, f *faults, clock *steppedClock) error {
	var c Command
	if err := json.Unmarshal(line, &c); err != nil {
		return fmt.Errorf("faultgateway: command: %w", err)
	}
	switch c.Kind {
	case CommandStep:
		clock.step(time.Duration(c.MS) * time.Millisecond)
	case CommandCalls, CommandDisk:
		return f.setErrors(c)
	case CommandLateDials:
		f.setLateDials(c)
	default:
		return fmt.Errorf("%w %q", ErrUnknownCommand, c.Kind)
	}
	return nil
}

// Serve serves as `foxlane serve --verbose` does, until SIGTERM. Site is the path of the operator's file; empty: none.
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
	runtime.GOMAXPROCS(1)
	lines := asynclog.New(os.Stderr, 4<<20, func(n int) []byte { return fmt.Appendf(nil, `{"msg":"log: lines lost","lines":%d}`+"\n", n) })
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
