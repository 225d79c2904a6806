package harness

import (
	"syscall"
	"time"
)

// This file owns the faults of whole zones, of connections, and of what all gateways are told.

// loseZone takes a zone away: its gateways are killed, its engines fall silent, and after a while the list drops them. It comes
// back with new processes, cold.
func (f *fleet) loseZone(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) { _ = g.stop(syscall.SIGKILL) })
	var lost []*engine
	f.eachEngine(fault.Target, func(e *engine) { lost = append(lost, e) })
	setUnlisted := func(unlisted bool) {
		f.mu.Lock()
		for _, e := range lost {
			f.unlisted[e.index] = unlisted
		}
		f.mu.Unlock()
		f.publishList(publishDelay)
	}
	unlist := time.AfterFunc(fault.unlistAfter, func() { setUnlisted(true) })
	return func() error {
		unlist.Stop()
		for _, e := range lost {
			if err := e.restartCold(); err != nil {
				return err
			}
		}
		setUnlisted(false)
		return f.startGateways(fault.Target)
	}, nil
}

// resetConnections resets the connections of the target with its engines, gateways and clients.
func (f *fleet) resetConnections(fault *Fault) (revertFunc, error) {
	for _, e := range f.engines {
		for i, proxy := range e.proxies {
			if e.matches(fault.Target) || f.gateways[i].matches(fault.Target) {
				proxy.Reset()
			}
		}
	}
	f.eachGateway(fault.Target, func(g *gateway) {
		g.resetAt.Store(time.Now().UnixNano())
		g.clientProxy.Reset()
	})
	return nil, nil
}

// drainZone drains a zone by the operator's file, which all gateways read again.
func (f *fleet) drainZone(fault *Fault) (revertFunc, error) {
	set := func(draining bool) error {
		f.mu.Lock()
		if f.drainedZones[fault.Target] = draining; !draining {
			delete(f.drainedZones, fault.Target)
		}
		f.mu.Unlock()
		return f.reloadGateways("*")
	}
	return func() error { return set(false) }, set(true)
}

// switchGossipOff drops the members block from the operator's file, which all gateways read again.
func (f *fleet) switchGossipOff(*Fault) (revertFunc, error) {
	set := func(off bool) error {
		f.gossipOff.Store(off)
		return f.reloadGateways("*")
	}
	return func() error { return set(false) }, set(true)
}

// silenceNameServers drops all answers of the name service.
func (f *fleet) silenceNameServers(*Fault) (revertFunc, error) {
	set := func(rewrite func([]byte) []byte) {
		for _, g := range f.gateways {
			g.nameServer.SetRewrite(rewrite)
		}
	}
	set(func([]byte) []byte { return nil })
	return func() error { set(nil); return nil }, nil
}

// restartListSerials has the lists' serial numbers begin anew, if the fault says so; other list faults act on each answer.
func (f *fleet) restartListSerials(fault *Fault) (revertFunc, error) {
	if fault.Text == listSerialsRestart {
		f.eachGateway(fault.Target, (*gateway).restartSerials)
	}
	return nil, nil
}

// setDirectives asks gateways for a directive.
func (f *fleet) setDirectives(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) { f.setDirective(g, fault.Text) })
	return nil, nil
}
