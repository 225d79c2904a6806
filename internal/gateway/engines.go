package gateway

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
	"slices"

	"github.com/zeebo/xxh3"

	"foxlane/internal/config"
	"foxlane/rules"
)

// This file applies the endpoint list to the engines' state and translates it for the module. An engine that
// was removed from the list is kept until its last connection has ended.

const (
	listName    = "_data._tcp.farm.lan" // SRV name of the endpoint list
	weightScale = 10                    // SRV weights are integers: ten times the engine's weight
)

// engineState is the reducer's state of an engine.
type engineState struct {
	id                 rules.EngineID
	entry              config.Engine
	zone               int // index of the entry's zone in the settings
	kind               int // index of the entry's machine type in the settings
	state              rules.EngineState
	stateSince         rules.Time      // when the gateway was notified of the state
	slowStart          *slowStartSends // nil: no work was sent to the engine yet
	startedAt          rules.Time      // start of its process in event time; 0: not listed, treated as long ago
	conns              []*engineConn
	lastRead           rules.Time // last read from it
	lastRequest        rules.Time // last request sent to it, or that a failed connect kept from being sent
	lastServed         rules.Time // last answer that served a request
	lastFailure        rules.Time // last attempt that ended neither as served nor as not executed
	lastError          rules.Time // last error answer
	lastConnectionLoss rules.Time // last loss of a connection with requests in flight

	drainedByDirective bool // an operator directive drains it
}

// applyList applies a complete endpoint list and notifies the module of the changes.
func (g *Gateway) applyList(entries []config.Engine, mode rules.UpdateMode) {
	listed := make(map[rules.EngineID]bool, len(entries))
	var changed []rules.Engine
	var stale []*engineAttempt
	for _, entry := range entries {
		eng := g.engineByName(entry.ID)
		listed[eng.id] = true
		if eng.entry == entry && eng.state != rules.EngineGone && mode == rules.UpdateDelta {
			continue
		}
		stale = append(stale, g.applyEntry(eng, entry, mode)...)
		changed = append(changed, g.moduleEngine(eng))
	}
	for _, eng := range g.engineOrder {
		if !listed[eng.id] && eng.state != rules.EngineGone {
			g.enterState(eng, rules.EngineGone, mode)
			stale = append(stale, g.retireConns(eng)...)
			changed = append(changed, g.moduleEngine(eng))
		}
	}
	g.engineOrder = slices.DeleteFunc(g.engineOrder, func(eng *engineState) bool {
		if eng.state == rules.EngineGone && len(eng.conns) == 0 {
			delete(g.engines, eng.id)
			return true
		}
		return false
	})
	if len(changed) > 0 || mode != rules.UpdateDelta {
		g.notifyModule(rules.FleetUpdate{Mode: mode, Engines: changed})
	}
	for _, attempt := range stale {
		g.concludeAttempt(attempt, rules.StatusNotExecuted)
	}
}

// applyEntry applies the list entry of an engine. It returns the attempts that must not be written to the address
// of a replaced process.
func (g *Gateway) applyEntry(eng *engineState, entry config.Engine, mode rules.UpdateMode) (stale []*engineAttempt) {
	if eng.entry.Addr != entry.Addr || eng.entry.Started != entry.Started || eng.state == rules.EngineGone {
		stale = g.retireConns(eng) // another process, possibly on another machine
	}
	if eng.entry.Started != entry.Started {
		eng.startedAt = g.startTime(entry)
		eng.slowStart.resetForNewProcess()
		eng.resetLastRequest() // the new process does not answer requests sent to the previous one
	}
	g.setEntry(eng, entry)
	eng.drainedByDirective = g.engineDrainedByDirective(entry.ID)
	state := rules.EngineServing
	if entry.State == config.StateDraining {
		state = rules.EngineDraining
	}
	if state != eng.state {
		g.enterState(eng, state, mode)
	}
	return stale
}

// enterState changes an engine's state. An engine that stops serving gets a grace period.
func (g *Gateway) enterState(eng *engineState, state rules.EngineState, mode rules.UpdateMode) {
	previous := eng.state
	eng.state, eng.stateSince = state, g.now
	g.logState(eng, previous, mode)
	if previous == rules.EngineServing {
		g.armDrainGrace(eng)
	}
}

// engineStateNames are the engine states as logged.
var engineStateNames = map[rules.EngineState]string{rules.EngineServing: "serving", rules.EngineDraining: "draining", rules.EngineGone: "gone"}

// logState logs a change of an engine's state, except for the initial list.
func (g *Gateway) logState(eng *engineState, previous rules.EngineState, mode rules.UpdateMode) {
	if mode != rules.UpdateDelta {
		return
	}
	waiting, inFlight := 0, 0
	for _, conn := range eng.conns {
		waiting, inFlight = waiting+len(conn.waiting), inFlight+len(conn.inFlight)
	}
	g.log(Info, "engine: state changed", Attr{keyEngine, eng.entry.ID}, Attr{keyState, engineStateNames[eng.state]}, Attr{"was", engineStateNames[previous]},
		Attr{keySerial, g.endpointList.Serial()}, Attr{keyInFlight, inFlight}, Attr{keyWaiting, waiting})
}

// engineByName returns the engine with a name, adding it if it is unknown. Its ID is a hash of the name, so that all
// gateways use the same ID.
func (g *Gateway) engineByName(name string) *engineState {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	id := rules.EngineID(hash.Sum32())
	for { // linear probing past engines whose names have the same hash
		eng := g.engines[id]
		if eng == nil {
			eng = &engineState{id: id, state: rules.EngineGone}
			g.setEntry(eng, config.Engine{ID: name, Addr: netip.AddrPort{}})
			g.engines[id] = eng
			g.engineOrder = append(g.engineOrder, eng)
		}
		if eng.entry.ID == name {
			return eng
		}
		id++
	}
}

// setEntry sets an engine's list entry. It resolves the names of zone and machine type once, since each send needs
// their indexes.
func (g *Gateway) setEntry(eng *engineState, entry config.Engine) {
	eng.entry = entry
	eng.zone = indexOf(g.cfg.Settings.ZoneNames, entry.Zone)
	eng.kind = indexOf(g.cfg.Settings.KindNames, entry.Kind)
}

// startTime returns the start of an engine's process in event time, or 0 if the entry has none.
func (g *Gateway) startTime(entry config.Engine) rules.Time {
	if entry.Started == 0 {
		return 0
	}
	return g.clockSteps.ProcessTime(rules.Time(entry.Started)*rules.Millisecond, g.now)
}

// moduleEngine returns an engine as reported to the module: draining if a directive drains it.
func (g *Gateway) moduleEngine(eng *engineState) rules.Engine {
	state := eng.state
	if eng.drainedByDirective && state == rules.EngineServing {
		state = rules.EngineDraining
	}
	return rules.Engine{
		ID:        eng.id,
		Host:      hostHash(eng.entry.Addr),
		Cell:      eng.entry.Cell,
		Zone:      eng.zone,
		Kind:      eng.kind,
		StartedAt: eng.startedAt,
		State:     state,
		Scale:     eng.entry.Weight,
	}
}

// hostHash returns a hash of an address, by which the module recognises engines that were listed at the same one.
func hostHash(addr netip.AddrPort) uint64 {
	ip := addr.Addr().As16()
	return xxh3.Hash(binary.BigEndian.AppendUint16(ip[:], addr.Port()))
}

// indexOf returns the index of a name in a list, or the list's length if it is not listed.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
