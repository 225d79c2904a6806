package rules

// Priority: which priority a request asks for at the engines, and with which requests it competes there; the
// types are in api.go. Invariant: a class that is much of the work competes with all, whatever its priority.

import "math"

// Priorities asked for at the engines.
const (
	lowPriority  = 1
	highPriority = 3
)

// shortClassMaxWork is the fraction of all work up to which a class of high priority counts as short: above
// it such requests compete with each other for the whole engine.
const shortClassMaxWork = 0.35

// priority is high for the class that earns the most priority weight for its work.
func (m *Module) priority(req *request) int {
	work := req.class.requestWork.valueOr(1)
	for _, cls := range m.classes {
		if cls.PriorityWeight*work > req.class.PriorityWeight*cls.requestWork.valueOr(math.Inf(1)) {
			return lowPriority
		}
	}
	return highPriority
}

// priorityBand is which of an engine's slowdowns a request sees: 1 is that of short queries, which overtake
// the others there, 0 that of all others.
func (m *Module) priorityBand(req *request) int {
	if m.settings.AcceptsPriority && m.priority(req) == highPriority &&
		req.class.requestWork.sum <= shortClassMaxWork*m.requestWork.sum {
		return 1
	}
	return 0
}
