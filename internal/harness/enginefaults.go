package harness

import (
	"time"
)

// This file injects the faults of engines.

// Modes in which engines mishandle a fraction of the requests that reach them.
const (
	modeHang      = "hang"  // no answer
	modeError     = "error" // an error
	modeMalformed = "spoil" // bytes that can't be parsed, or a truncated answer
	modeReset     = "break" // a reset of the connection
)

// breakEngines makes engines mishandle a fraction of their requests, by the mode in the fault's text.
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

// slowEngines makes requests at engines take longer by the fault's factor.
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

// Ways in which engines leave the list, by the text of the fault.
const (
	retireDrain = ""      // they drain
	retireGone  = "gone"  // they are dropped from the list without a drain, and run on for a while
	retireBoth  = "both"  // one version of the list drops the first of them and drains the others
	retireFlap  = "flap"  // they drain, become active, and drain again within half a second
	retireNewID = "newid" // they drain, and return with new ids at the old addresses

	// They end without a word, and others start at their addresses at once, with new ids. The list has both until the
	// fault is reverted.
	retireReplaced = "replaced"
)

// flapPause is the time between two changes of a flapping engine.
const flapPause = 200 * time.Millisecond

// retireEngines makes engines leave the list. Reverting it stops them, and starts them again cold, as new processes.
func (f *fleet) retireEngines(fault *Fault) (revertFunc, error) {
	if fault.Text == retireReplaced {
		return f.replaceEngines(fault)
	}
	first := true
	leave := func(e *engine) {
		e.draining = fault.Text != retireGone && (fault.Text != retireBoth || !first)
		e.unlisted = !e.draining
		first = false
	}
	stay := func(e *engine) { e.draining = false }
	f.changeListStatus(fault.Target, leave)
	if fault.Text == retireFlap {
		time.Sleep(flapPause)
		f.changeListStatus(fault.Target, stay)
		time.Sleep(flapPause)
		f.changeListStatus(fault.Target, leave)
	}
	return func() error {
		f.changeListStatus(fault.Target, func(e *engine) { e.draining, e.unlisted = false, true })
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
		f.changeListStatus(fault.Target, func(e *engine) { e.unlisted = false })
		return nil
	}, nil
}

// replaceEngines ends engines, and starts others at their addresses with new ids, cold. Reverting it drops the former ones
// from the list.
func (f *fleet) replaceEngines(fault *Fault) (revertFunc, error) {
	for _, e := range f.engines {
		if !e.matches(fault.Target) {
			continue
		}
		e.setFormer()
		if err := e.restartCold(); err != nil {
			return nil, err
		}
		f.assignNewID(e)
	}
	f.publishList(publishDelay)
	return func() error {
		f.changeListStatus(fault.Target, func(e *engine) { e.formerID = "" })
		return nil
	}, nil
}

// setFormer keeps the engine in the list under its present id.
func (e *engine) setFormer() {
	e.listMu.Lock()
	defer e.listMu.Unlock()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.formerID, e.formerStarted = e.id, e.started
}

// restartCold stops the engine and starts it again cold, as a new process. Gateways reach it at the same addresses as
// before.
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

// changeListStatus changes whether engines are listed and draining, and publishes the list.
func (f *fleet) changeListStatus(selector string, change func(*engine)) {
	f.eachEngine(selector, func(e *engine) {
		e.listMu.Lock()
		change(e)
		e.listMu.Unlock()
	})
	f.publishList(0)
}
