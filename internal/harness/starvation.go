package harness

import (
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// This file leaves gateways little processor time.

const (
	pulseStop = 60 * time.Millisecond // a pulse suspends a process for this long
	pulseRun  = 20 * time.Millisecond // and lets it run for this long
)

// starveGateways pins the target's gateways to one core, and keeps that core busy with as many threads as the fault's
// factor says.
func (f *fleet) starveGateways(fault *Fault) (revertFunc, error) {
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return nil, err
	}
	core := pinnedCore(&allowed, f.Seed)
	var stop atomic.Bool
	var busy sync.WaitGroup
	for range int(fault.Factor) {
		busy.Go(func() { keepBusy(&core, &stop) })
	}
	f.eachGateway(fault.Target, func(g *gateway) { setAffinity(g.pid(), &core) })
	return func() error {
		stop.Store(true)
		busy.Wait()
		f.eachGateway(fault.Target, func(g *gateway) { setAffinity(g.pid(), &allowed) })
		return nil
	}, nil
}

// keepBusy keeps a core busy until it is told to stop, at most for maxLength. Its thread ends with it, since the thread
// stays pinned.
func keepBusy(core *unix.CPUSet, stop *atomic.Bool) {
	runtime.LockOSThread()
	if unix.SchedSetaffinity(0, core) != nil {
		return
	}
	for began := time.Now(); !stop.Load() && time.Since(began) < maxLength; {
	}
}

// setAffinity pins all threads of a process to cores. It does nothing if the process has exited.
func setAffinity(pid int, cores *unix.CPUSet) {
	for _, thread := range threadsOf(pid) {
		_ = unix.SchedSetaffinity(thread, cores) // the thread may have ended
	}
}

// pulseGateways suspends the target's gateways again and again for a moment, until the fault is reverted.
func (f *fleet) pulseGateways(fault *Fault) (revertFunc, error) {
	stop := make(chan struct{})
	var pulses sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) { pulses.Go(func() { g.pulse(stop) }) })
	return func() error { close(stop); pulses.Wait(); return nil }, nil
}

// pulse suspends the gateway for a moment, again and again, until stop is closed.
func (g *gateway) pulse(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(pulseRun):
		}
		g.freeze()
		time.Sleep(pulseStop)
		g.resume()
	}
}
