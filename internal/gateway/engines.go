package gateway

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"foxlane/internal/config"
	"foxlane/internal/window"
	"foxlane/rules"
)

// This file follows the list of engines and translates it for the module. It
// never drops an engine on which something of ours still runs.

const (
	listName    = "_data._tcp.farm.lan"
	weightScale = 10 // weights are ten times as large in SRV records
)

type engineState struct {
	id            rules.EngineID
	entry         config.Engine
	zone          int // of entry, by their places in the settings
	kind          int
	state         rules.EngineState
	stateSince    rules.Time  // when we were told of its present state
	slowStartSent *window.Sum // what we have sent it, while it is cold
	startedAt     rules.Time  // when it started, in our time; 0: long ago
	conns         []*engineConn
	lastRead      rules.Time // when something was last read from it
	lastRequest   rules.Time // when a request was last sent to it, or would have been had it let us connect
	lastServed    rules.Time // when it last served something
	lastFault     rules.Time // when an attempt there last ended otherwise, and was not moot
	lastError     rules.Time // when it last answered an error
	lastBroken    rules.Time // when a connection with requests last broke

	drainedByDirective bool // the operators' directives drain it
}

// applyList takes the whole list and tells the module what is new in it.
func (g *Gateway) applyList(entries []config.Engine, mode rules.UpdateMode) {
	listed := make(map[rules.EngineID]bool, len(entries))
	var news []rules.Engine
	var stale []*engineAttempt
	for _, entry := range entries {
		eng := g.engineOf(entry.ID)
		listed[eng.id] = true
		if eng.entry == entry && eng.state != rules.EngineGone && mode == rules.UpdateDelta {
			continue
		}
		if eng.entry.Addr != entry.Addr || eng.entry.Started != entry.Started || eng.state == rules.EngineGone {
			stale = append(stale, g.retireConns(eng)...) // another process, perhaps on another machine
		}
		if eng.entry.Started != entry.Started {
			eng.startedAt = g.startTime(entry)
		}
		before := eng.state
		g.setEntry(eng, entry)
		eng.state, eng.drainedByDirective = rules.EngineServing, g.drainsEngine(entry.ID)
		if entry.State == config.StateDraining {
			eng.state = rules.EngineDraining
		}
		if eng.state != before {
			eng.stateSince = g.now
			g.logState(eng, before, mode)
			if before == rules.EngineServing {
				g.armGrace(eng)
			}
		}
		news = append(news, g.moduleEngine(eng))
	}
	for _, eng := range g.engineOrder {
		if !listed[eng.id] && eng.state != rules.EngineGone {
			before := eng.state
			eng.state, eng.stateSince = rules.EngineGone, g.now
			g.logState(eng, before, mode)
			if before == rules.EngineServing {
				g.armGrace(eng)
			}
			stale = append(stale, g.retireConns(eng)...)
			news = append(news, g.moduleEngine(eng))
		}
	}
	g.engineOrder = slices.DeleteFunc(g.engineOrder, func(eng *engineState) bool {
		if eng.state == rules.EngineGone && len(eng.conns) == 0 {
			delete(g.engines, eng.id)
			return true
		}
		return false
	})
	if len(news) > 0 || mode != rules.UpdateDelta {
		g.tellModule(rules.FleetUpdate{Mode: mode, Engines: news})
	}
	for _, attempt := range stale {
		g.concludeAttempt(attempt, rules.StatusSuperseded)
	}
}

var stateNames = map[rules.EngineState]string{rules.EngineServing: "serving", rules.EngineDraining: "draining", rules.EngineGone: "gone"}

// logState writes a change of an engine's state to the log, but for the list of the start.
func (g *Gateway) logState(eng *engineState, before rules.EngineState, mode rules.UpdateMode) {
	if mode != rules.UpdateDelta {
		return
	}
	waiting, open := 0, 0
	for _, conn := range eng.conns {
		waiting, open = waiting+len(conn.waiting), open+len(conn.inFlight)
	}
	g.log(Info, "engine: new state", Attr{"engine", eng.entry.ID}, Attr{"state", stateNames[eng.state]}, Attr{"was", stateNames[before]},
		Attr{"serial", g.list.Serial()}, Attr{"open", open}, Attr{"waiting", waiting})
}

// engineOf finds the engine of a name. Its number is a hash of the name, so
// that all gateways know it by the same one.
func (g *Gateway) engineOf(name string) *engineState {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := rules.EngineID(h.Sum32())
	for {
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

// setEntry takes an engine's entry of the list. Its names are looked up here, since each send needs their places.
func (g *Gateway) setEntry(eng *engineState, entry config.Engine) {
	eng.entry = entry
	eng.zone = indexOf(g.cfg.Settings.ZoneNames, entry.Zone)
	eng.kind = indexOf(g.cfg.Settings.KindNames, entry.Kind)
}

// startTime is when an engine started, in our time.
func (g *Gateway) startTime(entry config.Engine) rules.Time {
	if entry.Started == 0 {
		return 0
	}
	return g.clockSteps.ProcessTime(rules.Time(entry.Started)*rules.Millisecond, g.now)
}

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

// indexOf is a name's place in its list; an unknown name has the place behind the last.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
