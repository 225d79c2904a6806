package harness

import (
	"syscall"
	"time"
)

// This file injects the faults of whole zones, of connections, of the name service, and of settings that all gateways
// share.

// loseZone makes a zone fail: its gateways are killed, its engines become silent, and after unlistAfter the list
// drops them. Reverting it starts new gateway processes and cold engines.
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
		return f.startStoppedGateways(fault.Target)
	}, nil
}

// resetConnections resets all connections of the target's engines and gateways: those between gateways and engines, and
// those of clients.
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

// drainZone drains a zone in the operator's file and makes all gateways reload it.
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

// switchGossipOff removes the members block from the operator's file and makes all gateways reload it.
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

// restartListSerials restarts the serial numbers of the engine lists if the fault's text is listSerialsRestart. The
// other faults of lists act on each answer, see alterReply.
func (f *fleet) restartListSerials(fault *Fault) (revertFunc, error) {
	if fault.Text == listSerialsRestart {
		f.eachGateway(fault.Target, (*gateway).restartSerials)
	}
	return nil, nil
}

// setDirectives sends each of the target's gateways a request to set the directive in the fault's text.
func (f *fleet) setDirectives(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) { f.setDirective(g, fault.Text) })
	return nil, nil
}
