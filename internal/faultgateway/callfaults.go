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

// errnos maps the names that commands accept to error numbers.
var errnos = map[string]syscall.Errno{
	"ECONNABORTED": syscall.ECONNABORTED, "ENFILE": syscall.ENFILE, "EMFILE": syscall.EMFILE, "ENOBUFS": syscall.ENOBUFS,
	"ENOMEM": syscall.ENOMEM, "EADDRNOTAVAIL": syscall.EADDRNOTAVAIL, "EADDRINUSE": syscall.EADDRINUSE, "ENETUNREACH": syscall.ENETUNREACH,
	"EINTR": syscall.EINTR, "EHOSTUNREACH": syscall.EHOSTUNREACH, "ETIMEDOUT": syscall.ETIMEDOUT, "EPROTO": syscall.EPROTO,
	"ENOSPC": syscall.ENOSPC, "EIO": syscall.EIO, "EAGAIN": syscall.EAGAIN,
}

// ErrUnknownErrno is returned for an error name that commands do not accept.
var ErrUnknownErrno = errors.New("faultgateway: unknown error name")

// ParseErrno returns the error number of a name such as ENOSPC, or ErrUnknownErrno.
func ParseErrno(name string) (syscall.Errno, error) {
	errno, ok := errnos[name]
	if !ok {
		return 0, fmt.Errorf("%w %q", ErrUnknownErrno, name)
	}
	return errno, nil
}

// faults holds the injected call failures and dial delays. Each call draws at random whether it is affected.
type faults struct {
	mu         sync.Mutex
	rng        *rand.Rand
	failing    map[string]fault // by the name of the call, as in Command.Calls
	dialDelays dialDelayFault
}

// fault makes a fraction of the calls fail with errno until a time.
type fault struct {
	errno    syscall.Errno
	fraction float64
	until    time.Time
}

func newFaults() *faults {
	return &faults{rng: rand.New(rand.NewPCG(uint64(os.Getpid()), 3)), failing: map[string]fault{}}
}

// inject returns the error with which a call must fail now, or nil.
func (f *faults) inject(call string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	injected, ok := f.failing[call]
	if !ok || time.Now().After(injected.until) || f.rng.Float64() >= injected.fraction {
		return nil
	}
	return os.NewSyscallError(call, injected.errno)
}

// setCallErrors makes the calls that a command names fail.
func (f *faults) setCallErrors(c Command) error {
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

// dialDelayFault delays a fraction of the dials by up to max until a time.
type dialDelayFault struct {
	max      time.Duration
	fraction float64
	until    time.Time
}

// setDialDelays sets the dial delays of a command.
func (f *faults) setDialDelays(c Command) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dialDelays = dialDelayFault{time.Duration(c.MS) * time.Millisecond, c.Fraction, time.Now().Add(time.Duration(c.ForMS) * time.Millisecond)}
}

// dialDelay draws the delay of a dial that begins now; 0: none.
func (f *faults) dialDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dialDelays.max <= 0 || time.Now().After(f.dialDelays.until) || f.rng.Float64() >= f.dialDelays.fraction {
		return 0
	}
	return time.Duration(f.rng.Int64N(int64(f.dialDelays.max)))
}
