package emulator

import "foxlane/rules"

// This file models the endpoint list and the delivery of its updates to the gateways.

// addEngine adds an engine to the fleet. With startedAt 0 it started long ago, and is warm.
func (f *Fleet) addEngine(startedAt rules.Time) *engine {
	f.nextID++
	// The multiplier spreads the ids over their range, like the ids of a real endpoint list.
	e := &engine{fleet: f, id: f.nextID * 2654435761, zone: f.scenario.zoneOf(len(f.engines)), startedAt: startedAt,
		slowdown: 1, advancedAt: f.now}
	f.engines = append(f.engines, e)
	return e
}

// engineByID returns the engine with the id, or nil if there has never been one.
func (f *Fleet) engineByID(id rules.EngineID) *engine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// servingEngines returns the engines whose state in the current endpoint list is serving.
func (f *Fleet) servingEngines() (serving []*engine) {
	for _, e := range f.engines {
		if e.state == rules.EngineServing {
			serving = append(serving, e)
		}
	}
	return serving
}

// servingInZone returns the serving engines of one zone.
func (f *Fleet) servingInZone(zone int) (serving []*engine) {
	for _, e := range f.servingEngines() {
		if e.zone == zone {
			serving = append(serving, e)
		}
	}
	return serving
}

func (e *engine) listEntry() rules.Engine {
	return rules.Engine{ID: e.id, Zone: e.zone, StartedAt: e.startedAt, State: e.state, Scale: 1}
}

// listEntries returns the current endpoint list.
func (f *Fleet) listEntries() (list []rules.Engine) {
	for _, e := range f.engines {
		if e.state != rules.EngineGone {
			list = append(list, e.listEntry())
		}
	}
	return list
}

// announce sends the changed entries of the endpoint list to all gateways, to each with its own random delay.
func (f *Fleet) announce(changed ...*engine) {
	list := make([]rules.Engine, 0, len(changed))
	for _, e := range changed {
		list = append(list, e.listEntry())
	}
	network := f.scenario.Network
	for _, g := range f.gateways {
		delay := network.MinListDelay + rules.Time(f.rng.Float64()*float64(network.MaxListDelay-network.MinListDelay))
		g.after(rules.Time(f.listDelayFactor*float64(delay)), func() {
			if !f.listOutage {
				g.applyList(rules.UpdateDelta, list)
			}
		})
	}
}
