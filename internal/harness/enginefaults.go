package harness

import (
	"time"
)

// This file owns the faults of engines.

// Modes in which engines answer a part of the requests that reach them.
const (
	modeHang      = "hang"  // no answer
	modeError     = "error" // an error
	modeMalformed = "spoil" // bytes that can't be parsed, or an answer that stops short
	modeReset     = "break" // the connection is reset
)

// breakEngines has engines answer a part of their requests in a fault's mode.
func (f *fleet) breakEngines(fault *Fault) (revertFunc, error) {
	set := func(mode string, share float64) {
		f.eachEngine(fault.Target, func(e *engine) {
			e.mu.Lock()
			e.faultMode, e.faultShare = mode, share
			e.mu.Unlock()
		})
	}
	set(fault.Text, fault.Factor)
	return func() error { set("", 0); return nil }, nil
}

// slowEngines has engines take a fault's factor times as long.
func (f *fleet) slowEngines(fault *Fault) (revertFunc, error) {
	set := func(factor float64) {
		f.eachEngine(fault.Target, func(e *engine) {
			e.mu.Lock()
			e.slowdown = factor
			e.mu.Unlock()
		})
	}
	set(fault.Factor)
	return func() error { set(1); return nil }, nil
}

// How engines leave the list, by the text of the fault.
const (
	retireDrain = ""      // they drain
	retireGone  = "gone"  // they are dropped from the list, and still run for a while
	retireBoth  = "both"  // one list drops the first of them and drains the others
	retireFlap  = "flap"  // they drain, are active again, and drain again within half a second
	retireNewID = "newid" // as retireDrain, and come back under new ids at the addresses of the old ones
)

// flapPause lies between two changes of a flapping engine.
const flapPause = 200 * time.Millisecond

// retire has engines leave the list. Once reverted they stop, and come back as new processes, cold.
func (f *fleet) retire(fault *Fault) (revertFunc, error) {
	first := true
	leave := func(e *engine) {
		e.draining = fault.Text != retireGone && (fault.Text != retireBoth || !first)
		e.unlisted = !e.draining
		first = false
	}
	stay := func(e *engine) { e.draining = false }
	f.relist(fault.Target, leave)
	if fault.Text == retireFlap {
		time.Sleep(flapPause)
		f.relist(fault.Target, stay)
		time.Sleep(flapPause)
		f.relist(fault.Target, leave)
	}
	return func() error {
		f.relist(fault.Target, func(e *engine) { e.draining, e.unlisted = false, true })
		time.Sleep(2 * publishDelay)
		for _, e := range f.engines {
			if !e.matches(fault.Target) {
				continue
			}
			if err := e.restartCold(); err != nil {
				return err
			}
			if fault.Text == retireNewID {
				f.assignNewID(e)
			}
		}
		f.relist(fault.Target, func(e *engine) { e.unlisted = false })
		return nil
	}, nil
}

// restartCold replaces the engine's process by a new one, cold, at the same address for gateways.
func (e *engine) restartCold() error {
	e.stop()
	if err := e.start(true); err != nil {
		return err
	}
	for _, proxy := range e.proxies {
		proxy.Reset()
		proxy.SetTarget(e.addr())
	}
	return nil
}

// assignNewID gives an engine a new id.
func (f *fleet) assignNewID(e *engine) {
	f.mu.Lock()
	id := f.newEngineID()
	f.mu.Unlock()
	e.mu.Lock()
	e.id = id
	e.mu.Unlock()
}

// relist changes the list status of engines and publishes the list.
func (f *fleet) relist(selector string, change func(*engine)) {
	f.eachEngine(selector, func(e *engine) {
		e.listMu.Lock()
		change(e)
		e.listMu.Unlock()
	})
	f.publishList(0)
}
