package process

import "runtime/metrics"

// RuntimeUsage is what the Go runtime holds, in KB.
type RuntimeUsage struct {
	HeapKB         int     // heap objects in use, with garbage not yet collected
	LiveKB         int     // heap objects that the latest collection found in use
	GoalKB         int     // size of the heap at which the current collection cycle is to end
	FreeKB         int     // free heap memory that is not returned to the operating system
	ReturnedKB     int     // free heap memory that is returned to the operating system
	StacksKB       int     // stacks of goroutines
	RuntimeKB      int     // the runtime's own state
	Collections    int     // since the start
	LimiterAt      int     // number of the latest collection whose processor time was limited, which lets the heap grow; 0: none
	CollectorShare float64 // fraction of the processor time since the start that collections took
}

// Names of the runtime's metrics, in the order in which readRuntime uses them.
var runtimeMetrics = [...]string{
	"/memory/classes/heap/objects:bytes", "/gc/heap/live:bytes", "/gc/heap/goal:bytes", "/memory/classes/heap/free:bytes", "/memory/classes/heap/unused:bytes",
	"/memory/classes/heap/released:bytes", "/memory/classes/heap/stacks:bytes", "/memory/classes/metadata/mcache/inuse:bytes",
	"/memory/classes/metadata/mspan/inuse:bytes", "/memory/classes/metadata/other:bytes", "/memory/classes/other:bytes", "/gc/cycles/total:gc-cycles",
	"/gc/limiter/last-enabled:gc-cycle", "/cpu/classes/gc/total:cpu-seconds", "/cpu/classes/total:cpu-seconds", "/cpu/classes/idle:cpu-seconds",
}

// readRuntime returns what the Go runtime holds. Figures that it does not tell are 0.
func readRuntime() (u RuntimeUsage) {
	samples := make([]metrics.Sample, len(runtimeMetrics))
	for i, name := range runtimeMetrics {
		samples[i].Name = name
	}
	metrics.Read(samples)
	integer := func(i int) int {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int(samples[i].Value.Uint64())
	}
	seconds := func(i int) float64 {
		if samples[i].Value.Kind() != metrics.KindFloat64 {
			return 0
		}
		return samples[i].Value.Float64()
	}
	u = RuntimeUsage{
		HeapKB: integer(0) >> 10, LiveKB: integer(1) >> 10, GoalKB: integer(2) >> 10, FreeKB: (integer(3) + integer(4)) >> 10, ReturnedKB: integer(5) >> 10,
		StacksKB: integer(6) >> 10, RuntimeKB: (integer(7) + integer(8) + integer(9) + integer(10)) >> 10, Collections: integer(11), LimiterAt: integer(12),
	}
	if busy := seconds(14) - seconds(15); busy > 0 {
		u.CollectorShare = float64(int(1000*seconds(13)/busy)) / 1000
	}
	return u
}
