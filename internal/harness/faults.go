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
	// A zone is lost: gateways are killed, engines are silent. It returns with cold engines after `for`.
	"lose": {target: true, inject: (*fleet).loseZone},
	// Links to and from the target are cut.
	"silence": {target: true},
	// Gateways get SIGSTOP, and SIGCONT after `for`.
	"freeze": {target: true, inject: (*fleet).freezeGateways},
	// Gateways share one core with `factor` busy threads.
	"starve": {target: true, inject: (*fleet).starveGateways},
	// Gateways get SIGSTOP and SIGCONT in turn, so that they run for a quarter of the time.
	"pulse": {target: true, inject: (*fleet).pulseGateways},
	// Gateways get SIGKILL, and are started again after `for`.
	"kill": {target: true, inject: (*fleet).killGateways},
	// Gateways get SIGTERM, and are started again `for` after they have exited.
	"restart": {target: true, inject: (*fleet).restartGateways},
	// Connections of the target are reset.
	"reset": {target: true, inject: (*fleet).resetConnections},
	// A zone is drained by the operator's file.
	"drain": {target: true, inject: (*fleet).drainZone},
	// For each gateway, `factor` clients send large, incomplete or malformed input, or do not read.
	"crowd": {target: true, inject: (*fleet).startCrowds},
	// Clients of a zone send `factor` times as many requests.
	"burst": {target: true},
	// Engines take `factor` times as long per request.
	"slow": {target: true, inject: (*fleet).slowEngines},
	// Gateways get a request to set a directive; `text` is its kind and subject.
	"order": {target: true, inject: (*fleet).setDirectives},
	// The operator's file switches off gossip among gateways.
	"gossip-off": {inject: (*fleet).switchGossipOff},
	// Engines mishandle a fraction (`factor`) of requests; `text` is hang, error, spoil or break.
	"mode": {target: true, inject: (*fleet).breakEngines},
	// Engines drain, stop after `for`, and return cold; `text` is empty, gone, both, flap, newid or replaced.
	"retire": {target: true, inject: (*fleet).retireEngines},
	// Gateways get SIGTERM, and SIGKILL after killDelay if they still run; then they are started again.
	"term": {target: true, inject: (*fleet).terminateGateways},
	// Gateways get the series of signals in `text`, such as "HUP TERM STOP CONT". After a TERM they are killed and
	// started as by term.
	"signals": {target: true, inject: (*fleet).signalGateways},
	// * A fraction (`factor`) of connection attempts to engines is delayed by up to `delay`.
	"late-dials": {target: true, inject: (*fleet).delayDials},
	// Gateways reload their files.
	"reload": {target: true, inject: (*fleet).reloadTargets},
	// * The wall clock is stepped by `factor` seconds.
	"step": {target: true, inject: (*fleet).stepClocks},
	// * A fraction (`factor`) of system calls fails; `text` names calls and error, such as "dial,accept ENETUNREACH".
	"calls": {target: true, inject: (*fleet).failCalls},
	// * A fraction (`factor`) of calls on the spool's folder fails; `text` names calls and error, as in "write,sync EIO".
	"disk": {target: true, inject: (*fleet).failDisk},
	// Gateways may open only a few more file descriptors.
	"files": {target: true, inject: (*fleet).limitFiles},
	// The harness does not read the gateways' logs.
	"log": {target: true, inject: (*fleet).stallLogs},
	// Clients that break the protocol connect to the gateways.
	"rogue": {target: true, inject: (*fleet).startRogueClients},
	// A fraction (`factor`) of clients abandons its requests.
	"leave": {inject: (*fleet).abandonMore},
	// The configuration file is replaced by a FIFO, and restored.
	"fifo": {target: true, inject: (*fleet).replaceConfigsWithFIFO},
	// The name service does not answer.
	"dark": {inject: (*fleet).silenceNameServers},
	// The name service's answers arrive late by `delay`.
	"late": {},
	// A fraction (`factor`) of the name service's answers has the fault `text`, see listFaults. `delay` is the maximum
	// delay of a delayed answer.
	"lists": {target: true, inject: (*fleet).restartListSerials},
	// Links from `from` to `to` are cut.
	"cut": {link: true},
	// Links from `from` to `to` have a delay, jitter, loss and rate limit.
	"link": {link: true},
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

// affects reports whether the fault affects a link: one from From to To or, if Both is set, from To to From. Links
// within a zone are affected only if From names a single party.
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
