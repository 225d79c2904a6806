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

// reportPanic logs a panic of the goroutine that defers it, with its stack, waits until the log is written, and lets the
// panic end the process. Without it the lines ahead of the panic, which the log's writer still holds, would be lost.
func (s *Server) reportPanic(goroutine string) {
	cause := recover()
	if cause == nil {
		return
	}
	fields := append(usageFields(process.Read()), zap.String("reason", "panic"), zap.String("goroutine", goroutine),
		zap.String("error", fmt.Sprint(cause)), zap.ByteString("stack", debug.Stack()))
	s.log.Error("process ends", fields...)
	_ = s.log.Sync() // the process ends in any case
	panic(cause)
}
