// Package syserr classifies errors of system calls: by whether their cause is on this machine, and by whether they are
// transient. It has these two lists and nothing else.
package syserr

import (
	"errors"
	"slices"
	"syscall"
)

// localErrors are errors of socket and connect that report exhaustion on this machine, or that it has no route. They say
// nothing of the other side. Linux documents them in socket(2), connect(2), epoll_ctl(2) and ip(7).
var localErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EPERM, syscall.EACCES,
}

// transientErrors are errors of calls on files and sockets that may succeed a moment later.
var transientErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ENOSPC, syscall.EADDRNOTAVAIL,
	syscall.EADDRINUSE, syscall.EAGAIN, syscall.EINTR, syscall.ENETUNREACH, syscall.ENETDOWN, syscall.EIO, syscall.ESTALE,
	syscall.ETIMEDOUT, syscall.ECONNABORTED,
}

// Local answers whether a connection could not be made for a cause on this machine.
func Local(err error) bool { return matches(err, localErrors) }

// Transient answers whether a call that failed is worth a retry.
func Transient(err error) bool { return matches(err, transientErrors) }

func matches(err error, list []syscall.Errno) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(list, errno)
}
