package gateway

import (
	"slices"

	"foxlane/internal/memory"
	"foxlane/rules"
)

// This file logs statistics at intervals. The statistics do not influence any decision.

// gatewayStats holds the statistics of the gateway.
type gatewayStats struct{ classes []classStats } // by class index

// classStats holds the statistics of a class since the last log line.
type classStats struct {
	accepted, served, rejected, failed, abandoned int
	latencySum                                    rules.Time // sum over served requests, from query to answer
	attempts                                      int
	statuses                                      [8]int // ended attempts by rules.Status
	inFlight, attemptsInFlight                    int    // current numbers, not reset
}

// logEngines logs the module's view of each engine and the attempts on its connections. Differing in-flight counts
// indicate a bug.
func (g *Gateway) logEngines() {
	for _, view := range g.module.EngineViews() {
		eng := g.engines[view.Engine]
		if eng == nil {
			continue
		}
		inFlight, silent := 0, int64(-1) // -1: nothing was ever read
		if eng.lastRead > 0 {
			silent = milliseconds(g.now - eng.lastRead)
		}
		for _, conn := range eng.conns {
			inFlight += len(conn.inFlight) + len(conn.waiting)
		}
		g.log(Info, "engine", Attr{keyEngine, eng.entry.ID}, Attr{keyState, eng.entry.State}, Attr{"module_in_flight", view.InFlight},
			Attr{keyInFlight, inFlight}, Attr{keyConnections, len(eng.conns)}, Attr{"ejected", view.Ejected},
			Attr{"slowdown", round2(view.Slowdown)}, Attr{keySilent, silent})
	}
}

// logCloses logs the number of ended connections by reason since its last log line.
func (g *Gateway) logCloses() {
	var attrs []Attr
	for i, n := range g.closeCounts {
		if n > 0 {
			attrs = append(attrs, Attr{CloseReason(i).String(), n})
		}
	}
	if attrs != nil {
		g.log(Info, "closed", attrs...)
	}
	g.closeCounts = [closeReasonCount]int{}
}

// logStats logs all statistics of the last interval and sets the timer for the next one.
func (g *Gateway) logStats() {
	g.timers.add(timer{at: g.now + g.limits.StatsInterval, kind: timerStats})
	g.logClasses()
	g.log(Info, "connections", Attr{keyClients, len(g.clients)}, Attr{"idle", g.idleClients.Len()}, Attr{keyEngines, len(g.engineConns)},
		Attr{keyInFlight, len(g.requests)}, Attr{"result_bytes", g.memory.Used(memory.Results)}, Attr{"input_bytes", g.memory.Used(memory.Statements)})
	g.reportMemory()
	g.logNameService()
	g.logCloses()
	g.logViolations()
	g.logAdmission()
	g.logSpool()
	g.logZones()
	g.logPeers()
	g.logDirectives()
	g.logEngines()
}

// logClasses logs one line per class and resets the statistics.
func (g *Gateway) logClasses() {
	for i := range g.stats.classes {
		stats := &g.stats.classes[i]
		mean := 0.0
		if stats.served > 0 {
			mean = float64(stats.latencySum) / float64(stats.served) / float64(rules.Millisecond)
		}
		g.log(Info, "class", Attr{keyClass, g.cfg.Settings.ClassNames[i]}, Attr{"accepted", stats.accepted}, Attr{keyServed, stats.served},
			Attr{keyRejected, stats.rejected}, Attr{keyFailed, stats.failed}, Attr{"abandoned", stats.abandoned}, Attr{"mean_ms", int(mean)},
			Attr{keyAttempts, stats.attempts}, Attr{"statuses", slices.Clone(stats.statuses[:])}, Attr{keyInFlight, stats.inFlight},
			Attr{"attempts_in_flight", stats.attemptsInFlight})
		*stats = classStats{inFlight: stats.inFlight, attemptsInFlight: stats.attemptsInFlight}
	}
}
