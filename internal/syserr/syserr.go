// Package syserr classifies errors of system calls by whether their cause is on this machine, and by whether they are
// transient.
package syserr

import (
	"errors"
	"slices"
	"syscall"
)

// localErrors are errors of socket and connect calls that report exhausted resources, a missing route or a lack of
// permission on this machine. They do not indicate a fault of the peer. Linux documents them in socket(2),
// connect(2), epoll_ctl(2) and ip(7).
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES,
}

// transientErrors are errors of calls on files and sockets for which a retry may succeed.
var transientErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EIO, syscall.ESTALE,
	syscall.ETIMEDOUT, syscall.ECONNABORTED,
}

// Local reports whether err says that a connection could not be made for a cause on this machine.
func Local(err error) bool { return matches(err, localErrors) }

// Transient reports whether a call that failed with err may succeed if it is retried.
func Transient(err error) bool { return matches(err, transientErrors) }

func matches(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
