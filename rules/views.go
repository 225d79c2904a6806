package rules

import "math"

// What the module tells its host of what it has learned. It decides nothing.

// ClassEstimates is what is known of each class.
func (m *Module) ClassEstimates() []ClassEstimate {
	estimates := make([]ClassEstimate, len(m.classes))
	for i, cls := range m.classes {
		estimates[i] = ClassEstimate{CostRatio: cls.costRatio.valueOr(1), MeanWork: cls.requestWork.valueOr(0),
			SampleWeight: cls.requestWork.weight}
	}
	return estimates
}

// SlowStartUsage is what was sent to each warming engine within the overload window.
func (m *Module) SlowStartUsage() (usage []SlowStartUsage) {
	for _, eng := range m.engines {
		if m.warmingUp(eng) && eng.State == EngineServing {
			usage = append(usage, SlowStartUsage{eng.ID, m.slowStartWork(eng), m.slowStartQuota(eng)})
		}
	}
	return usage
}

// LoadSummary is the gateway's own load.
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

// EngineViews is what is known of each engine, in the order they were first listed.
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

// slowInFlight counts the attempts in flight that count as slow, by engine.
func (m *Module) slowInFlight() map[*engine]int {
	slow := map[*engine]int{}
	for _, req := range m.requests {
		for i := range req.attempts {
			if att := &req.attempts[i]; !att.done && att.countedSlow > 0 {
				slow[att.engine]++
			}
		}
	}
	return slow
}
