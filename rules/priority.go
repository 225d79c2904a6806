package rules

// Priority: which priority a request gets on engines, and with which requests it competes there. The types
// are in api.go. Invariant: a class with a large part of the work competes with all classes, whatever its
// priority.

import "math"

// Priorities of attempts on engines.
const (
	lowPriority  = 1
	highPriority = 3
)

// shortClassMaxWorkFraction is the largest fraction of all work with which a class of high priority counts as
// short. With a larger one its requests compete with each other for the whole engine.
const shortClassMaxWorkFraction = 0.35

// priority returns highPriority if no class earns more priority weight per work than that of the request,
// and lowPriority otherwise.
func (m *Module) priority(req *request) int {
	work := req.class.requestWork.valueOr(1)
	for _, cls := range m.classes {
		if cls.PriorityWeight*work > req.class.PriorityWeight*cls.requestWork.valueOr(math.Inf(1)) {
			return lowPriority
		}
	}
	return highPriority
}

// priorityBand returns which of an engine's slowdowns applies to a request: 1 for short queries, which
// overtake the others there, and 0 for all others.
func (m *Module) priorityBand(req *request) int {
	if m.settings.AcceptsPriority && m.priority(req) == highPriority &&
		req.class.requestWork.sum <= shortClassMaxWorkFraction*m.requestWork.sum {
		return 1
	}
	return 0
}
