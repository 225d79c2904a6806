package harness

import (
	"context"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// This file owns the life of a fault: it begins, holds for its time on links and parties, and is reverted.

// revertFunc takes a fault back; nil: there is nothing to take back.
type revertFunc func() error

// faultKind is what a kind of fault needs in a script, and how it begins. A kind without inject acts only while it is active: on
// the conditions of links, on the rate of clients, or on answers of the name service.
type faultKind struct {
	target bool // it needs `of`
	link   bool // it needs `from` and `to`
	inject func(*fleet, *Fault) (revertFunc, error)
}

// faultKinds are the kinds of faults by their name in scripts. Those marked with * need a fault gateway (Process.AcceptsCommands).
var faultKinds = map[string]faultKind{
	"lose":       {target: true, inject: (*fleet).loseZone},               // a zone, gateways killed and engines silent; it comes back cold after `for`
	"silence":    {target: true},                                          // nothing comes to or from it
	"freeze":     {target: true, inject: (*fleet).freezeGateways},         // gateways are stopped and go on after `for`
	"kill":       {target: true, inject: (*fleet).killGateways},           // gateways are killed, and started after `for`
	"restart":    {target: true, inject: (*fleet).restartGateways},        // gateways get SIGTERM, and are started again once they have exited
	"reset":      {target: true, inject: (*fleet).resetConnections},       // its connections are reset
	"drain":      {target: true, inject: (*fleet).drainZone},              // the operator's file drains a zone
	"burst":      {target: true},                                          // clients of a zone send `factor` times as much
	"slow":       {target: true, inject: (*fleet).slowEngines},            // engines take `factor` times as long
	"order":      {target: true, inject: (*fleet).setDirectives},          // a gateway is asked for a directive: `text` is its kind and subject
	"hush":       {inject: (*fleet).switchGossipOff},                      // the operator's file switches gossip among gateways off
	"mode":       {target: true, inject: (*fleet).breakEngines},           // engines answer a part (`factor`) of requests by `text`: hang, error, spoil, break
	"retire":     {target: true, inject: (*fleet).retire},                 // engines drain, stop after `for`, and come back cold; `text` is gone, both, flap or newid
	"term":       {target: true, inject: (*fleet).terminateGateways},      // gateways get SIGTERM, SIGKILL as early as the operators allow, and are started again
	"signals":    {target: true, inject: (*fleet).signalGateways},         // gateways get a series: `text` is "HUP TERM STOP CONT"; after a TERM as with term
	"late-dials": {target: true, inject: (*fleet).delayDials},             // * a part (`factor`) of connections to engines are delayed by up to `delay`
	"reload":     {target: true, inject: (*fleet).reloadTargets},          // gateways read their files again
	"step":       {target: true, inject: (*fleet).stepClocks},             // * the wall clock is stepped by `factor` seconds
	"calls":      {target: true, inject: (*fleet).failCalls},              // * a part (`factor`) of calls fails: `text` is "dial,accept ENETUNREACH"
	"disk":       {target: true, inject: (*fleet).failDisk},               // * a part of calls on the folder of results fails: `text` is "write,sync EIO"
	"files":      {target: true, inject: (*fleet).limitFiles},             // gateways may open few descriptors beyond those that are open
	"log":        {target: true, inject: (*fleet).stallLogs},              // nobody reads the log
	"rogue":      {target: true, inject: (*fleet).startRogueClients},      // clients that break the protocol
	"leave":      {inject: (*fleet).abandonMore},                          // a part (`factor`) of clients abandon their request
	"fifo":       {target: true, inject: (*fleet).replaceConfigsWithFIFO}, // the configuration is replaced by a pipe, and back
	"dark":       {inject: (*fleet).silenceNameServers},                   // the name service says nothing
	"late":       {},                                                      // what it says is late by `delay`
	"lists":      {target: true, inject: (*fleet).restartListSerials},     // a part (`factor`) of its answers is `text`: see endpointlist.go; late ones by up to `delay`
	"cut":        {link: true},                                            // nothing comes through from one to the other
	"link":       {link: true},                                            // delay, jitter, loss, rate
}

// inject carries a fault out and, if it has a time, reverts it after that.
func (f *fleet) inject(ctx context.Context, fault *Fault) error {
	f.recorder.recordFault(fault)
	f.setActive(fault, true)
	var revert revertFunc
	if inject := faultKinds[fault.Kind].inject; inject != nil {
		var err error
		if revert, err = inject(f, fault); err != nil {
			return err
		}
	}
	if fault.For <= 0 {
		return nil
	}
	select {
	case <-time.After(fault.For):
	case <-ctx.Done():
	}
	f.setActive(fault, false)
	if revert == nil {
		return nil
	}
	return revert()
}

// setActive adds a fault to the active ones or removes it, and sets the conditions of all links anew.
func (f *fleet) setActive(fault *Fault, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	active := f.activeFaults[:0:0]
	for _, other := range f.activeFaults {
		if other != fault {
			active = append(active, other)
		}
	}
	if on {
		active = append(active, fault)
	}
	f.activeFaults = active
	for _, link := range f.links {
		link.SetConditions(f.conditions(link))
	}
}

// conditions are what all active faults together make of a link. f.mu is held.
func (f *fleet) conditions(link *link) (c faultproxy.Conditions) {
	for _, fault := range f.activeFaults {
		switch fault.Kind {
		case "lose": // its engines fall silent; its gateways have been killed
			c.Cut = c.Cut || link.from.kind == "engines" && link.from.matches(fault.Target) || link.to.kind == "engines" && link.to.matches(fault.Target)
		case "silence":
			c.Cut = c.Cut || link.from.matches(fault.Target) || link.to.matches(fault.Target)
		case "cut":
			c.Cut = c.Cut || fault.affects(link)
		case "link":
			if !fault.affects(link) {
				continue
			}
			c.Delay += fault.Delay
			c.Jitter += fault.jitter
			c.Loss = 1 - (1-c.Loss)*(1-fault.Loss)
			if fault.Rate > 0 && (c.Rate == 0 || fault.Rate < c.Rate) {
				c.Rate = fault.Rate
			}
		case "late":
			if link.from.kind == "names" {
				c.Delay += fault.Delay
			}
		}
	}
	return c
}

// affects reports whether a link lies between the ends that the fault names. Links within a zone are affected only if the fault
// names single parties.
func (f *Fault) affects(link *link) bool {
	between := link.from.matches(f.From) && link.to.matches(f.To) ||
		f.Both && link.from.matches(f.To) && link.to.matches(f.From)
	withinZone := link.from.zone == link.to.zone && link.from.zone != ""
	return between && (!withinZone || strings.Contains(f.From, "/"))
}

// eachGateway calls do for each gateway that the selector matches.
func (f *fleet) eachGateway(selector string, do func(*gateway)) {
	for _, g := range f.gateways {
		if g.matches(selector) {
			do(g)
		}
	}
}

// eachEngine calls do for each engine that the selector matches.
func (f *fleet) eachEngine(selector string, do func(*engine)) {
	for _, e := range f.engines {
		if e.matches(selector) {
			do(e)
		}
	}
}
