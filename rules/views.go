package rules

import "math"

// Views of the state of the module for its host. This file makes no decisions.

// ClassEstimates returns what was learned about each class, by its index.
func (m *Module) ClassEstimates() []ClassEstimate {
	estimates := make([]ClassEstimate, len(m.classes))
	for i, cls := range m.classes {
		estimates[i] = ClassEstimate{CostRatio: cls.costRatio.valueOr(1), MeanWork: cls.requestWork.valueOr(0),
			SampleWeight: cls.requestWork.weight}
	}
	return estimates
}

// SlowStartUsage returns what was used of the slow-start budget of each serving engine that warms up.
func (m *Module) SlowStartUsage() (usage []SlowStartUsage) {
	for _, eng := range m.engines {
		if m.warmingUp(eng) && eng.State == EngineServing {
			usage = append(usage, SlowStartUsage{eng.ID, m.slowStartUsed(eng), m.slowStartQuota(eng)})
		}
	}
	return usage
}

// LoadSummary returns the gateway's own load.
func (m *Module) LoadSummary() LoadSummary {
	summary := LoadSummary{Share: max(m.share, 1), MeanWork: make([]float64, len(m.classes))}
	for i, cls := range m.classes {
		summary.MeanWork[i] = cls.requestWork.valueOr(0)
		for _, q := range cls.queues {
			for _, req := range q.requests {
				if !req.late {
					summary.QueuedWork += req.queuedWork
				}
			}
		}
	}
	return summary
}

// EngineViews returns what is known about each engine, in the order in which they were first listed.
func (m *Module) EngineViews() []EngineView {
	views := make([]EngineView, 0, len(m.engines))
	slow := m.slowInFlight()
	for _, eng := range m.engines {
		views = append(views, EngineView{
			Engine: eng.ID, InFlight: eng.attempts, Ejected: m.ejected(eng),
			Slowdown:      math.Exp(max(eng.slowdowns[0].log, eng.slowdowns[1].log)),
			SpeedFraction: m.speedFraction(eng), SlowInFlight: slow[eng],
		})
	}
	return views
}

// slowInFlight returns the number of slow attempts in flight, by engine.
func (m *Module) slowInFlight() map[*engine]int {
	slow := map[*engine]int{}
	for _, req := range m.requests {
		for i := range req.attempts {
			if att := &req.attempts[i]; !att.done && att.penalizedTime > 0 {
				slow[att.engine]++
			}
		}
	}
	return slow
}

// Estimated sizes in bytes, with entries in maps and queues.
const (
	requestBytes = 900
	dataSetBytes = 150
	keyBytes     = 300
	engineBytes  = 600
	pointerBytes = 8
	timeBytes    = 8
)

// MemoryBytes returns an estimate of the memory that the state of the module takes.
func (m *Module) MemoryBytes() int64 {
	size := len(m.requests)*requestBytes + len(m.keyQueues)*keyBytes + len(m.engines)*engineBytes +
		len(m.dataSets)*(dataSetBytes+len(m.engines)*pointerBytes) + (len(m.arrivals)+len(m.retries))*timeBytes
	return int64(size)
}
