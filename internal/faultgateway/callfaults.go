package faultgateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// errnos are the errors that commands may name.
var errnos = map[string]syscall.Errno{
	"ECONNABORTED": syscall.ECONNABORTED, "ENFILE": syscall.ENFILE, "EMFILE": syscall.EMFILE, "ENOBUFS": syscall.ENOBUFS,
	"ENOMEM": syscall.ENOMEM, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "EADDRINUSE": syscall.EADDRINUSE, "ENETUNREACH": syscall.ENETUNREACH,
	"EINTR": syscall.EINTR, "EHOSTUNREACH": syscall.EHOSTUNREACH, "ETIMEDOUT": syscall.ETIMEDOUT, "EPROTO": syscall.EPROTO,
	"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO, "EAGAIN": syscall.EAGAIN,
}

// ErrUnknownErrno is the error of a name that is not in the list of errors a command may name.
var ErrUnknownErrno = errors.New("faultgateway: unknown error")

// ParseErrno returns the error of a name, such as ENOSPC.
func ParseErrno(name string) (syscall.Errno, error) {
	errno, ok := errnos[name]
	if !ok {
		return 0, fmt.Errorf("%w %q", ErrUnknownErrno, name)
	}
	return errno, nil
}

// faults are the calls that fail now, and the delay of dials. Each is drawn anew for each call.
type faults struct {
	mu        sync.Mutex
	rng       *rand.Rand
	failing   map[string]fault // by call
	lateDials dialDelays
}

// fault has a fraction of calls fail with an error, until a time.
type fault struct {
	errno    syscall.Errno
	fraction float64
	until    time.Time
}

func newFaults() *faults {
	return &faults{rng: rand.New(rand.NewPCG(uint64(os.Getpid()), 3)), failing: map[string]fault{}}
}

// inject returns the error by which a call is to fail now, or nil.
func (f *faults) inject(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	failing, ok := f.failing[call]
	if !ok || time.Now().After(failing.until) || f.rng.Float64() >= failing.fraction {
		return nil
	}
	return os.NewSyscallError(call, failing.errno)
}

// setErrors has the calls that a command names fail.
func (f *faults) setErrors(c Command) error {
	errno, err := ParseErrno(c.Errno)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, call := range strings.Split(c.Calls, ",") {
		f.failing[call] = fault{errno, c.Fraction, time.Now().Add(time.Duration(c.ForMS) * time.Millisecond)}
	}
	return nil
}

// dialDelays delays a fraction of dials by up to max, until a time.
type dialDelays struct {
	max      time.Duration
	fraction float64
	until    time.Time
}

// setLateDials has dials be delayed as a command says.
func (f *faults) setLateDials(c Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lateDials = dialDelays{time.Duration(c.MS) * time.Millisecond, c.Fraction, time.Now().Add(time.Duration(c.ForMS) * time.Millisecond)}
}

// dialDelay is the delay of a dial that begins now.
func (f *faults) dialDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lateDials.max <= 0 || time.Now().After(f.lateDials.until) || f.rng.Float64() >= f.lateDials.fraction {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(f.lateDials.max)))
}
