package transport

import (
	"fmt"
	"runtime/debug"

	"go.uber.org/zap"

	"foxlane/internal/process"
)

// This file logs why the process ends.

// logEnd logs the end of a process that was told to end.
func (s *Server) logEnd() {
	s.log.Info("process ends", append(usageFields(process.Read()), zap.String("reason", "terminated"))...)
}

// logFailure logs the end of a process that can't serve any more.
func (s *Server) logFailure(err error) {
	s.log.Error("process ends", append(usageFields(process.Read()), zap.String("reason", "event_loop"), zap.Error(err))...)
	_ = s.log.Sync() // the process ends in any case
}

// reportPanic logs a panic of the goroutine that defers it, with its stack, waits until the log is written, and lets the
// panic end the process. Without it the lines ahead of the panic, which the log's writer still holds, would be lost.
func (s *Server) reportPanic(goroutine string) {
	if cause := recover(); cause != nil {
		s.logPanic(goroutine, cause)
		panic(cause)
	}
}

// endOnPanic is like reportPanic, for a call whose caller would recover from the panic and go on.
func (s *Server) endOnPanic(goroutine string) {
	if cause := recover(); cause != nil {
		s.logPanic(goroutine, cause)
		go panic(cause)
		select {} // nothing more of this call runs
	}
}

// logPanic logs a panic and waits until the log is written.
func (s *Server) logPanic(goroutine string, cause any) {
	fields := append(usageFields(process.Read()), zap.String("reason", "panic"), zap.String("goroutine", goroutine),
		zap.String("error", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
	s.log.Error("process ends", fields...)
	_ = s.log.Sync() // the process ends in any case
}
