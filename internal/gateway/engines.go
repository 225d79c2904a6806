package gateway

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"foxlane/internal/config"
	"foxlane/rules"
)

// This file follows the list of engines and translates it for the module. It never forgets an engine to which a connection is left.

const (
	listName    = "_data._tcp.farm.lan" // the SRV name of the list
	weightScale = 10                    // weights in SRV records are integers, ten times as large
)

// engineState is an engine as the reducer knows it.
type engineState struct {
	id          rules.EngineID
	entry       config.Engine
	zone        int // of the entry, by its index in the settings
	kind        int // the machine type, by its index in the settings
	state       rules.EngineState
	stateSince  rules.Time      // when we were notified of its state
	slowStart   *slowStartSends // nil: nothing was sent to it
	startedAt   rules.Time      // when it started, by the clock of events; 0: long ago
	conns       []*engineConn
	lastRead    rules.Time // when something was last read from it
	lastRequest rules.Time // when a request was last sent to it, or would have been if it had let us connect
	lastServed  rules.Time // when it last served something
	lastFault   rules.Time // when an attempt there last ended otherwise, and may have run
	lastError   rules.Time // when it last answered an error
	lastBroken  rules.Time // when a connection with requests last broke

	drainedByDirective bool
}

// applyList takes over a complete list and tells the module what has changed.
func (g *Gateway) applyList(entries []config.Engine, mode rules.UpdateMode) {
	listed := make(map[rules.EngineID]bool, len(entries))
	var changed []rules.Engine
	var stale []*engineAttempt
	for _, entry := range entries {
		eng := g.engineOf(entry.ID)
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
		g.tellModule(rules.FleetUpdate{Mode: mode, Engines: changed})
	}
	for _, attempt := range stale {
		g.concludeAttempt(attempt, rules.StatusSuperseded)
	}
}

// applyEntry takes over the entry of an engine that is listed. It returns attempts that must not be written to where its process was.
func (g *Gateway) applyEntry(eng *engineState, entry config.Engine, mode rules.UpdateMode) (stale []*engineAttempt) {
	if eng.entry.Addr != entry.Addr || eng.entry.Started != entry.Started || eng.state == rules.EngineGone {
		stale = g.retireConns(eng) // another process, perhaps on another machine
	}
	if eng.entry.Started != entry.Started {
		eng.startedAt = g.startTime(entry)
		eng.slowStart.processChanged()
		eng.undoRequest() // the new process owes no answer to what the former one was sent
	}
	g.setEntry(eng, entry)
	eng.drainedByDirective = g.drainsEngine(entry.ID)
	state := rules.EngineServing
	if entry.State == config.StateDraining {
		state = rules.EngineDraining
	}
	if state != eng.state {
		g.enterState(eng, state, mode)
	}
	return stale
}

// enterState changes an engine's state.
func (g *Gateway) enterState(eng *engineState, state rules.EngineState, mode rules.UpdateMode) {
	before := eng.state
	eng.state, eng.stateSince = state, g.now
	g.logState(eng, before, mode)
	if before == rules.EngineServing {
		g.armGrace(eng)
	}
}

var stateNames = map[rules.EngineState]string{rules.EngineServing: "serving", rules.EngineDraining: "draining", rules.EngineGone: "gone"}

// logState logs a change of an engine's state, unless it comes from the list at the start.
func (g *Gateway) logState(eng *engineState, before rules.EngineState, mode rules.UpdateMode) {
	if mode != rules.UpdateDelta {
		return
	}
	waiting, inFlight := 0, 0
	for _, conn := range eng.conns {
		waiting, inFlight = waiting+len(conn.waiting), inFlight+len(conn.inFlight)
	}
	g.log(Info, "engine: state changed", Attr{keyEngine, eng.entry.ID}, Attr{keyState, stateNames[eng.state]}, Attr{"was", stateNames[before]},
		Attr{keySerial, g.list.Serial()}, Attr{keyInFlight, inFlight}, Attr{keyWaiting, waiting})
}

// engineOf finds the engine of a name, or adds it. Its number is a hash of the name, so that all gateways use the same one.
func (g *Gateway) engineOf(name string) *engineState {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name)) // never fails
	id := rules.EngineID(hash.Sum32())
	for { // past engines of other names with the same hash
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

// setEntry takes over an engine's entry of the list. Names are resolved here, since each send needs their indexes.
func (g *Gateway) setEntry(eng *engineState, entry config.Engine) {
	eng.entry = entry
	eng.zone = indexOf(g.cfg.Settings.ZoneNames, entry.Zone)
	eng.kind = indexOf(g.cfg.Settings.KindNames, entry.Kind)
}

// startTime is when an engine started, by the clock of events.
func (g *Gateway) startTime(entry config.Engine) rules.Time {
	if entry.Started == 0 {
		return 0
	}
	return g.clockSteps.ProcessTime(rules.Time(entry.Started)*rules.Millisecond, g.now)
}

// moduleEngine is an engine as the module is told of it.
func (g *Gateway) moduleEngine(eng *engineState) rules.Engine {
	state := eng.state
	if eng.drainedByDirective && state == rules.EngineServing {
		state = rules.EngineDraining
	}
	return rules.Engine{
		ID:        eng.id,
		Cell:      eng.entry.Cell,
		Zone:      eng.zone,
		Kind:      eng.kind,
		StartedAt: eng.startedAt,
		State:     state,
		Scale:     eng.entry.Weight,
	}
}

// indexOf is a name's index in its list; an unknown name has the index after the last.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
