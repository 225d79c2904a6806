package transport

import (
	"runtime/debug"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
	"foxlane/internal/process"
	"foxlane/rules"
)

// This file samples the resident memory of the process, and has garbage collected when the reducer asks for it.

// memorySampleInterval is how often the resident memory is read while there are events. A read takes some microseconds.
const memorySampleInterval = 20 * rules.Millisecond

// memorySampler reads the resident memory of the process at intervals.
type memorySampler struct {
	resident process.ResidentFile
	next     rules.Time
}

// stepMemorySample passes the resident memory to the reducer, if it was not read for memorySampleInterval.
func (l *reducerLoop) stepMemorySample(now rules.Time) {
	if now < l.memory.next {
		return
	}
	l.memory.next = now + memorySampleInterval
	if resident := l.memory.resident.Bytes(); resident > 0 {
		l.reducer.Step(now, gateway.MemorySampled{ResidentBytes: resident})
	}
}

// collectMemory collects garbage and returns free memory to the operating system, in a goroutine of its own. It does
// nothing while that is under way.
func (s *Server) collectMemory() {
	if s.collecting.Swap(true) {
		return
	}
	go func() {
		defer s.reportPanic("memory collection")
		debug.FreeOSMemory()
		s.collecting.Store(false)
	}()
}

// idleHeapBytes is the heap of a process without clients and engines: settings, the log's counters, tables of the poller.
const idleHeapBytes = 900 << 10

// logMemory logs what the process occupies, with the reducer's account and estimates.
func (s *Server) logMemory(effect gateway.ReportMemory) {
	usage := process.Read()
	queueBuffers := s.queue.memoryBytes()
	fields := append(usageFields(usage), zap.Int64("write_buffers", s.writeBuffers.bytes()), zap.Int("queue_peak", s.queue.takePeak()),
		zap.Int("queue_buffers", queueBuffers), zap.Int64("unexplained_kb", max(0, int64(usage.LiveKB)-(effect.PeakHeld+int64(queueBuffers)+idleHeapBytes)>>10)))
	for _, attr := range effect.Attrs {
		fields = append(fields, zap.Any(attr.Key, attr.Value))
	}
	s.log.Info("memory", fields...)
}

// usageFields returns the fields of a log line for what the process occupies.
func usageFields(u process.Usage) []zap.Field {
	return []zap.Field{zap.Int("resident_kb", u.ResidentKB), zap.Int("resident_peak_kb", u.ResidentPeakKB), zap.Int("anonymous_kb", u.AnonymousKB),
		zap.Int("heap_kb", u.HeapKB), zap.Int("live_kb", u.LiveKB), zap.Int("goal_kb", u.GoalKB), zap.Int("free_kb", u.FreeKB), zap.Int("returned_kb", u.ReturnedKB),
		zap.Int("stacks_kb", u.StacksKB), zap.Int("runtime_kb", u.RuntimeKB), zap.Int("collections", u.Collections), zap.Int("limiter_at", u.LimiterAt),
		zap.Float64("collector_share", u.CollectorShare), zap.Int("goroutines", u.Goroutines), zap.Int("descriptors", u.Descriptors)}
}
