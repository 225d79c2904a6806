package faultgateway

import (
	"encoding/json"
	"errors"
	"syscall"
	"testing"
	"time"
)

// A command must affect the clock, later calls or dials, or return the matching error without any effect.
func TestExecuteCommand(t *testing.T) {
	for _, test := range []struct {
		name, line string
		err        error // tested by errors.Is
		invalid    bool  // JSON syntax error
		step       time.Duration
		call       string // expected to fail afterwards
		errno      syscall.Errno
		delays     bool // dials must be delayed
	}{
		{name: "step", line: `{"kind":"step","ms":-5000}`, step: -5 * time.Second},
		{name: "calls", line: `{"kind":"calls","calls":"dial,accept","errno":"ENFILE","part":1,"for_ms":60000}`, call: "accept", errno: syscall.ENFILE},
		{name: "disk", line: `{"kind":"disk","calls":"sync","errno":"EIO","part":1,"for_ms":60000}`, call: "sync", errno: syscall.EIO},
		{name: "late dials", line: `{"kind":"late","ms":60000,"part":1,"for_ms":60000}`, delays: true},
		{name: "a duration that has already ended", line: `{"kind":"calls","calls":"dial","errno":"ENFILE","part":1,"for_ms":-1}`},
		{name: "unknown kind", line: `{"kind":"stop"}`, err: ErrUnknownCommand},
		{name: "unknown error name", line: `{"kind":"calls","calls":"dial","errno":"EWHAT"}`, err: ErrUnknownErrno},
		{name: "not JSON", line: `step`, invalid: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f, clock := newFaults(), newSteppedClock()
			err := executeCommand([]byte(test.line), f, clock)
			var syntax *json.SyntaxError
			if test.invalid != errors.As(err, &syntax) || !test.invalid && !errors.Is(err, test.err) {
				t.Fatalf("got %v, want %v", err, test.err)
			}
			if got := clock.offset(); got != test.step {
				t.Errorf("wall clock offset is %v, want %v", got, test.step)
			}
			for _, call := range []string{"dial", test.call} {
				fails := test.call != "" && (call == test.call || test.name == "calls")
				if err := f.inject(call); (err != nil) != fails || fails && !errors.Is(err, test.errno) {
					t.Errorf("call %q returned %v", call, err)
				}
			}
			if delay := f.dialDelay(); (delay > 0) != test.delays {
				t.Errorf("dials are delayed by %v", delay)
			}
		})
	}
}
