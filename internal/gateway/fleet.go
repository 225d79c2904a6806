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
	id       rules.EngineID
	entry    config.Engine
	zone     int // of entry, by their places in the settings
	kind     int
	state    rules.EngineState
	told     rules.Time  // when we were told of its present state
	coldSent *window.Sum // what we have sent it, while it is cold
	began    rules.Time  // when it started, in our time; 0: long ago
	links    []*link
	heard    rules.Time // when something was last read from it
	asked    rules.Time // when a request was last sent to it, or would have been had it let us connect
	good     rules.Time // when it last served something
	fault    rules.Time // when an attempt there last ended otherwise, and was not moot
	erred    rules.Time // when it last answered an error
	broke    rules.Time // when a connection with requests last broke

	ordered bool // the operators' directives drain it
}

// applyList takes the whole list and tells the module what is new in it.
func (g *Gateway) applyList(entries []config.Engine, mode rules.UpdateMode) {
	listed := make(map[rules.EngineID]bool, len(entries))
	var news []rules.Engine
	var stale []*attempt
	for _, entry := range entries {
		e := g.engineOf(entry.ID)
		listed[e.id] = true
		if e.entry == entry && e.state != rules.EngineGone && mode == rules.UpdateDelta {
			continue
		}
		if e.entry.Addr != entry.Addr || e.entry.Started != entry.Started || e.state == rules.EngineGone {
			stale = append(stale, g.retireLinks(e)...) // another process, perhaps on another machine
		}
		if e.entry.Started != entry.Started {
			e.began = g.beganAt(entry)
		}
		before := e.state
		g.enter(e, entry)
		e.state, e.ordered = rules.EngineServing, g.drainsEngine(entry.ID)
		if entry.State == config.StateLeaving {
			e.state = rules.EngineDraining
		}
		if e.state != before {
			e.told = g.now
			g.noteState(e, before, mode)
			if before == rules.EngineServing {
				g.watchGrace(e)
			}
		}
		news = append(news, g.translate(e))
	}
	for _, e := range g.order {
		if !listed[e.id] && e.state != rules.EngineGone {
			before := e.state
			e.state, e.told = rules.EngineGone, g.now
			g.noteState(e, before, mode)
			if before == rules.EngineServing {
				g.watchGrace(e)
			}
			stale = append(stale, g.retireLinks(e)...)
			news = append(news, g.translate(e))
		}
	}
	g.order = slices.DeleteFunc(g.order, func(e *engineState) bool {
		if e.state == rules.EngineGone && len(e.links) == 0 {
			delete(g.engines, e.id)
			return true
		}
		return false
	})
	if len(news) > 0 || mode != rules.UpdateDelta {
		g.tell(rules.FleetUpdate{Mode: mode, Engines: news})
	}
	for _, a := range stale {
		g.conclude(a, rules.StatusSuperseded)
	}
}

var stateNames = map[rules.EngineState]string{rules.EngineServing: "serving", rules.EngineDraining: "draining", rules.EngineGone: "gone"}

// noteState writes a change of an engine's state to the log, but for the list of the start.
func (g *Gateway) noteState(e *engineState, before rules.EngineState, mode rules.UpdateMode) {
	if mode != rules.UpdateDelta {
		return
	}
	waiting, open := 0, 0
	for _, l := range e.links {
		waiting, open = waiting+len(l.waiting), open+len(l.open)
	}
	g.log(Info, "engine: new state", Attr{"engine", e.entry.ID}, Attr{"state", stateNames[e.state]}, Attr{"was", stateNames[before]},
		Attr{"serial", g.list.Serial()}, Attr{"open", open}, Attr{"waiting", waiting})
}

// engineOf finds the engine of a name. Its number is a hash of the name, so
// that all gateways know it by the same one.
func (g *Gateway) engineOf(name string) *engineState {
	h := fnv.New32a()
	h.Write([]byte(name))
	id := rules.EngineID(h.Sum32())
	for {
		e := g.engines[id]
		if e == nil {
			e = &engineState{id: id, state: rules.EngineGone}
			g.enter(e, config.Engine{ID: name, Addr: netip.AddrPort{}})
			g.engines[id] = e
			g.order = append(g.order, e)
		}
		if e.entry.ID == name {
			return e
		}
		id++
	}
}

// enter takes an engine's entry of the list. Its names are looked up here, since each send needs their places.
func (g *Gateway) enter(e *engineState, entry config.Engine) {
	e.entry = entry
	e.zone = indexOf(g.cfg.Settings.ZoneNames, entry.Zone)
	e.kind = indexOf(g.cfg.Settings.KindNames, entry.Kind)
}

// beganAt is when an engine started, in our time.
func (g *Gateway) beganAt(entry config.Engine) rules.Time {
	if entry.Started == 0 {
		return 0
	}
	return g.steps.ProcessTime(rules.Time(entry.Started)*rules.Millisecond, g.now)
}

func (g *Gateway) translate(e *engineState) rules.Engine {
	state := e.state
	if e.ordered && state == rules.EngineServing {
		state = rules.EngineDraining
	}
	return rules.Engine{
		ID:        e.id,
		Cell:      e.entry.Cell,
		Zone:      e.zone,
		Kind:      e.kind,
		StartedAt: e.began,
		State:     state,
		Scale:     e.entry.Weight,
	}
}

// indexOf is a name's place in its list; an unknown name has the place behind the last.
func indexOf(names []string, name string) int {
	if i := slices.Index(names, name); i >= 0 {
		return i
	}
	return len(names)
}
