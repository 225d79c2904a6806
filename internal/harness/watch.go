package harness

import (
	"context"
	"sync"
	"time"
)

// This file watches the processes of gateways while they run: that none exits unless it is asked to, and that none
// passes its memory limit.

const watchInterval = 50 * time.Millisecond

// watchProcesses checks all processes at intervals until the context ends.
func (f *fleet) watchProcesses(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, g := range f.gateways {
			switch proc, exited := g.running(); {
			case proc == nil || !proc.ready.Load():
			case exited:
				g.reportExit(proc)
			default:
				g.checkMemory(proc)
			}
		}
	}
}

// running returns the process that nobody has asked to stop, and whether it has exited all the same; nil: none.
func (g *gateway) running() (proc *process, exited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current, g.current != nil && g.current.hasExited()
}

// startWatch starts watchProcesses. The returned function stops it and waits for its end.
func (f *fleet) startWatch(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var watcher sync.WaitGroup
	watcher.Go(func() { f.watchProcesses(ctx) })
	return func() { cancel(); watcher.Wait() }
}

// reportExit adds a violation for a process that has exited although nobody asked it to, once for each process.
func (g *gateway) reportExit(proc *process) {
	if !proc.crashSeen.Swap(true) {
		g.fleet.recorder.addViolation(Crashed, "%s has exited by itself with %v: %s", g.name, proc.err, tail(g.log.String()))
	}
}

// checkMemory records the resident peak of a process, and adds a violation if it is over the limit, once for each
// process. The kernel keeps the peak, so that none between two calls is missed.
func (g *gateway) checkMemory(proc *process) {
	usage, err := MemoryOf(proc.cmd.Process.Pid)
	if err != nil {
		return // it has exited
	}
	limit := float64(g.fleet.memoryMB())
	if g.fleet.process.Instrumented {
		return
	}
	g.fleet.recorder.recordPeak(usage.PeakMB / limit)
	if usage.PeakMB > limit && !proc.overLimit.Swap(true) {
		g.fleet.recorder.addViolation(MemoryExceeded, "%s has a resident peak of %.1f MB, %.0f MB are allowed", g.name, usage.PeakMB, limit)
	}
}

// recordPeak records a process's resident peak as a fraction of its limit.
func (r *recorder) recordPeak(fraction float64) {
	r.mu.Lock()
	r.PeakFraction = max(r.PeakFraction, fraction)
	r.mu.Unlock()
}
