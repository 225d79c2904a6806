package syserr

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
)

func TestLocalAndTransient(t *testing.T) {
	wrap := func(e syscall.Errno) error {
		return fmt.Errorf("dial: %w", &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", e)})
	}
	for _, c := range []struct {
		err              error
		local, transient bool
	}{
		{wrap(syscall.ENETUNREACH), true, true},
		{wrap(syscall.EADDRNOTAVAIL), true, true},
		{wrap(syscall.EMFILE), true, true},
		{wrap(syscall.ECONNREFUSED), false, false},
		{wrap(syscall.EHOSTUNREACH), false, false},
		{wrap(syscall.EIO), false, true},
		{wrap(syscall.ENOENT), false, false},
		{errors.New("other"), false, false},
		{nil, false, false},
	} {
		if Local(c.err) != c.local || Transient(c.err) != c.transient {
			t.Errorf("%v: local %v, transient %v", c.err, Local(c.err), Transient(c.err))
		}
	}
}
