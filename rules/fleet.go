package rules

// Endpoint list: what an update of the list changes; the types are in api.go. Invariant: a failed poll or a
// missing update removes no engine, and what was learned of an engine is dropped only when it restarts.

// fleetRetryDelay is how long after a failed poll the list is asked for again. The last list stays valid
// meanwhile, and the name service may be overloaded.
const fleetRetryDelay = Second

func (m *Module) handleFleetUpdate(update FleetUpdate) {
	if update.Mode == UpdateFailed {
		m.emit(SetTimer{At: m.now + fleetRetryDelay, Token: timerPoll})
		return
	}
	if update.Mode != UpdateDelta {
		for _, eng := range m.engines {
			eng.State = EngineGone
		}
	}
	for _, entry := range update.Engines {
		m.updateEngine(entry)
	}
	m.removeGoneEngines()
	m.forgetPreferences()
	m.fleetCapacity = m.servingCapacity()
}

func (m *Module) updateEngine(entry Engine) {
	eng := m.engineByID[entry.ID]
	if eng == nil {
		eng = newEngine()
		m.engineByID[entry.ID] = eng
		m.engines = append(m.engines, eng)
	}
	if entry.StartedAt != eng.StartedAt {
		eng.forgetProcess()
	}
	eng.Engine = entry
}
