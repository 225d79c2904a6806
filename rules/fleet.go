package rules

// Endpoint list: how an update of the list is applied. The types are in api.go. Invariant: a failed poll or
// a missing update removes no engine, and what was learned about an engine is dropped only when it
// restarts.

// fleetRetryDelay is the delay after a failed poll before the list is requested again. The previous list
// stays valid in the meantime, and the name service may be overloaded.
const fleetRetryDelay = Second

// handleFleetUpdate applies an update of the list. A complete list removes the engines that it lacks.
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
	m.resetPreferences()
	m.fleetCapacity = m.servingCapacity()
}

// updateEngine adds or updates an engine, and drops what was learned about it if its process has changed.
func (m *Module) updateEngine(entry Engine) {
	eng := m.engineByID[entry.ID]
	if eng == nil {
		eng = newEngine()
		m.engineByID[entry.ID] = eng
		m.engines = append(m.engines, eng)
	}
	if entry.StartedAt != eng.StartedAt {
		eng.startIncarnation()
	}
	if entry.Host != eng.Host {
		m.chargeForPredecessors(eng, entry.Host)
	}
	eng.Engine = entry
}
