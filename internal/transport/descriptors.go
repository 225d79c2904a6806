package transport

import (
	"slices"
	"syscall"
)

// This file reserves descriptors: one that was closed a moment ago is kept from being given out again until the poller has
// done with its batch of events (see shutdownConn). A reserved descriptor is a duplicate of /dev/null's.

// maxReserveAttempts is how many lower descriptors are passed over on the way to the one that is to be reserved.
const maxReserveAttempts = 8

// reserveDescriptor reserves a descriptor, for a while and if it is free. Few are reserved at a time: the oldest gives way.
func (s *Server) reserveDescriptor(fd int) {
	var lower []int
	defer func() {
		for _, n := range lower {
			closeDescriptor(n)
		}
	}()
	for range maxReserveAttempts {
		n, err := syscall.Dup(int(s.devNull.Fd())) // the lowest number that is free
		switch {
		case err != nil:
			return
		case n == fd:
			s.keepReserved(n)
			return
		case n > fd: // it is in use
			closeDescriptor(n)
			return
		}
		lower = append(lower, n)
	}
}

// keepReserved takes over a descriptor that was just made.
func (s *Server) keepReserved(fd int) {
	s.mu.Lock()
	s.reserved = append(s.reserved, fd)
	if len(s.reserved) > s.limits.MaxReservedDescriptors {
		closeDescriptor(s.reserved[0])
		s.reserved = s.reserved[1:]
	}
	s.mu.Unlock()
	s.after(s.limits.FlushTimeout, func() { s.releaseDescriptor(fd) })
}

// releaseDescriptor gives a descriptor free that is still reserved.
func (s *Server) releaseDescriptor(fd int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.reserved, fd); i >= 0 {
		closeDescriptor(fd)
		s.reserved = slices.Delete(s.reserved, i, i+1)
	}
}

func (s *Server) releaseAllDescriptors() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fd := range s.reserved {
		closeDescriptor(fd)
	}
	s.reserved = nil
}

// closeDescriptor closes a duplicate of /dev/null's descriptor, on which nothing can be lost.
func closeDescriptor(fd int) { _ = syscall.Close(fd) }
