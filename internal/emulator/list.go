package emulator

import "foxlane/rules"

// This file models the list of engines and the delivery of its updates to the gateways.

// addEngine adds an engine to the fleet; startedAt 0 is long ago, so that it is warm.
func (f *Fleet) addEngine(startedAt rules.Time) *engine {
	f.nextID++
	// The multiplier spreads the ids over their range, as those of a real list are.
	e := &engine{fleet: f, id: f.nextID * 2654435761, zone: f.scenario.zoneOf(len(f.engines)), startedAt: startedAt,
		slowdown: 1, settledAt: f.now}
	f.engines = append(f.engines, e)
	return e
}

// engineByID returns the engine with an id, nil if there was never one.
func (f *Fleet) engineByID(id rules.EngineID) *engine {
	for _, e := range f.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// servingEngines are the engines that serve, by the list as it is now.
func (f *Fleet) servingEngines() (serving []*engine) {
	for _, e := range f.engines {
		if e.state == rules.EngineServing {
			serving = append(serving, e)
		}
	}
	return serving
}

// servingInZone are those of one zone.
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

// listEntries is the list as it is now.
func (f *Fleet) listEntries() (list []rules.Engine) {
	for _, e := range f.engines {
		if e.state != rules.EngineGone {
			list = append(list, e.listEntry())
		}
	}
	return list
}

// announce sends an update of the list to all gateways, which receive it each with a delay of its own.
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
