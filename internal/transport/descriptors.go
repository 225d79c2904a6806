package transport

import (
	"slices"
	"syscall"
)

// This file reserves descriptors: it keeps a descriptor that was just closed from being reused until the poller has
// handled its current batch of events (see shutdownConn). A reserved descriptor is a duplicate of that of /dev/null.

// maxReserveAttempts is how many times a descriptor is duplicated to reach the number to be reserved.
const maxReserveAttempts = 8

// reserveDescriptor reserves a descriptor for FlushTimeout if it is free. At most MaxReservedDescriptors are reserved
// at a time; the oldest is released to make room.
func (s *Server) reserveDescriptor(fd int) {
	var lower []int
	defer func() {
		for _, n := range lower {
			closeDescriptor(n)
		}
	}()
	for range maxReserveAttempts {
		n, err := syscall.Dup(int(s.devNull.Fd())) // dup returns the lowest free descriptor
		switch {
		case err != nil:
			return
		case n == fd:
			s.addReserved(n)
			return
		case n > fd: // fd is in use
			closeDescriptor(n)
			return
		}
		lower = append(lower, n)
	}
}

// addReserved adds a duplicate to the reserved descriptors and schedules its release.
func (s *Server) addReserved(fd int) {
	s.mu.Lock()
	s.reserved = append(s.reserved, fd)
	if len(s.reserved) > s.limits.MaxReservedDescriptors {
		closeDescriptor(s.reserved[0])
		s.reserved = s.reserved[1:]
	}
	s.mu.Unlock()
	s.runAfter(s.limits.FlushTimeout, func() { s.releaseDescriptor(fd) })
}

// releaseDescriptor closes a descriptor if it is still reserved.
func (s *Server) releaseDescriptor(fd int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.reserved, fd); i >= 0 {
		closeDescriptor(fd)
		s.reserved = slices.Delete(s.reserved, i, i+1)
	}
}

func (s *Server) releaseReservedDescriptors() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, fd := range s.reserved {
		closeDescriptor(fd)
	}
	s.reserved = nil
}

// closeDescriptor closes a duplicate of the /dev/null descriptor. Errors are ignored: no data can be lost.
func closeDescriptor(fd int) { _ = syscall.Close(fd) }
