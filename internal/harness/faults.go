package harness

import (
	"context"
	"strings"
	"time"

	"foxlane/internal/faultproxy"
)

// This file injects faults, keeps the list of active ones, and reverts them.

// revertFunc reverts a fault; nil: there is nothing to revert.
type revertFunc func() error

// faultKind holds what a kind of fault needs in a script, and the function that injects it. A kind without that
// function only acts while it is active: on the conditions of links, the rate of clients, or the answers of the name
// service.
type faultKind struct {
	target bool // the fault needs `of`
	link   bool // the fault needs `from` and `to`
	inject func(*fleet, *Fault) (revertFunc, error)
}

// faultKinds are the kinds of faults by their names in scripts. Kinds marked with * need a fault gateway, see
// Process.AcceptsCommands.
var faultKinds = map[string]faultKind{
	"lose":       {target: true, inject: (*fleet).loseZone},               // a zone is lost: gateways are killed, engines are silent; it returns with cold engines after `for`
	"silence":    {target: true},                                          // links to and from the target are cut
	"freeze":     {target: true, inject: (*fleet).freezeGateways},         // gateways get SIGSTOP, and SIGCONT after `for`
	"kill":       {target: true, inject: (*fleet).killGateways},           // gateways get SIGKILL, and are started again after `for`
	"restart":    {target: true, inject: (*fleet).restartGateways},        // gateways get SIGTERM, and are started again `for` after they have exited
	"reset":      {target: true, inject: (*fleet).resetConnections},       // connections of the target are reset
	"drain":      {target: true, inject: (*fleet).drainZone},              // a zone is drained by the operator's file
	"burst":      {target: true},                                          // clients of a zone send `factor` times as many requests
	"slow":       {target: true, inject: (*fleet).slowEngines},            // engines take `factor` times as long per request
	"order":      {target: true, inject: (*fleet).setDirectives},          // gateways are asked to set a directive: `text` is its kind and subject
	"hush":       {inject: (*fleet).switchGossipOff},                      // the operator's file switches off gossip among gateways
	"mode":       {target: true, inject: (*fleet).breakEngines},           // engines mishandle a fraction (`factor`) of requests; `text` is hang, error, spoil or break
	"retire":     {target: true, inject: (*fleet).retireEngines},          // engines drain, stop after `for`, and return cold; `text` is empty, gone, both, flap or newid
	"term":       {target: true, inject: (*fleet).terminateGateways},      // gateways get SIGTERM, SIGKILL after killDelay if they still run, and are started again
	"signals":    {target: true, inject: (*fleet).signalGateways},         // gateways get a series of signals, such as `text` "HUP TERM STOP CONT"; after a TERM they are handled as by term
	"late-dials": {target: true, inject: (*fleet).delayDials},             // * a fraction (`factor`) of connection attempts to engines is delayed by up to `delay`
	"reload":     {target: true, inject: (*fleet).reloadTargets},          // gateways reload their files
	"step":       {target: true, inject: (*fleet).stepClocks},             // * the wall clock is stepped by `factor` seconds
	"calls":      {target: true, inject: (*fleet).failCalls},              // * a fraction (`factor`) of system calls fails; `text` names calls and error, such as "dial,accept ENETUNREACH"
	"disk":       {target: true, inject: (*fleet).failDisk},               // * a fraction (`factor`) of calls on the result folder fails; `text` is as in "write,sync EIO"
	"files":      {target: true, inject: (*fleet).limitFiles},             // gateways may open only a few more file descriptors
	"log":        {target: true, inject: (*fleet).stallLogs},              // the harness does not read the gateways' logs
	"rogue":      {target: true, inject: (*fleet).startRogueClients},      // clients that break the protocol connect to the gateways
	"leave":      {inject: (*fleet).abandonMore},                          // a fraction (`factor`) of clients abandons its requests
	"fifo":       {target: true, inject: (*fleet).replaceConfigsWithFIFO}, // the configuration file is replaced by a FIFO, and restored
	"dark":       {inject: (*fleet).silenceNameServers},                   // the name service does not answer
	"late":       {},                                                      // the name service's answers arrive late by `delay`
	"lists":      {target: true, inject: (*fleet).restartListSerials},     // a fraction (`factor`) of its answers has the fault `text`, see listFaults; late ones are late by up to `delay`
	"cut":        {link: true},                                            // links from `from` to `to` are cut
	"link":       {link: true},                                            // links from `from` to `to` have a delay, jitter, loss and rate
}

// inject injects a fault and, if it has a duration, waits for that or the end of the context and reverts the fault.
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

// setActive adds a fault to the active ones or removes it, and updates the conditions of all links.
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

// conditions returns the conditions of a link under all active faults. The caller holds f.mu.
func (f *fleet) conditions(link *link) (c faultproxy.Conditions) {
	for _, fault := range f.activeFaults {
		switch fault.Kind {
		case "lose": // cuts the links of the zone's engines; its gateways have been killed
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

// affects reports whether a link lies between From and To, or back if Both is set. Links within a zone are affected
// only if From names a single party.
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
