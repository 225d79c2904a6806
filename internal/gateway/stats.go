package gateway

import (
	"math"
	"slices"

	"foxlane/rules"
)

// This file counts what operators want to see. It never influences anything.

type gatewayStats struct{ classes []classStats }

// classStats counts the requests of a class since the last line of it.
type classStats struct {
	accepted, served, rejected, failed, abandoned int
	latencySum                                    rules.Time // of the served, from the query to the answer
	attempts                                      int
	statuses                                      [8]int // of attempts
	inFlight, attemptsInFlight                    int    // now, and not reset
}

// logEngines notes what the module holds of each engine beside what is open on the sockets.
func (g *Gateway) logEngines() {
	for _, belief := range g.module.EngineViews() {
		eng := g.engines[belief.Engine]
		if eng == nil {
			continue
		}
		open, silent := 0, int64(-1) // never heard
		if eng.lastRead > 0 {
			silent = int64((g.now - eng.lastRead) / rules.Millisecond)
		}
		for _, conn := range eng.conns {
			open += len(conn.inFlight) + len(conn.waiting)
		}
		g.log(Info, "engine", Attr{"engine", eng.entry.ID}, Attr{"state", eng.entry.State}, Attr{"out", belief.InFlight}, Attr{"open", open},
			Attr{"connections", len(eng.conns)}, Attr{"left_out", belief.Ejected}, Attr{"slow", math.Round(100*belief.Slowdown) / 100},
			Attr{"silent_ms", silent})
	}
}

// logCloses notes how many connections were closed since the last line, by reason.
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
	g.closeCounts = [closeReasons]int{}
}

// logStats notes the last while, a line a class.
func (g *Gateway) logStats() {
	g.timers.add(timer{at: g.now + g.limits.StatsInterval, kind: timerStats})
	for i := range g.stats.classes {
		stats := &g.stats.classes[i]
		mean := 0.0
		if stats.served > 0 {
			mean = float64(stats.latencySum) / float64(stats.served) / float64(rules.Millisecond)
		}
		g.log(Info, "class", Attr{"class", g.cfg.Settings.ClassNames[i]}, Attr{"taken", stats.accepted}, Attr{"served", stats.served},
			Attr{"refused", stats.rejected}, Attr{"failed", stats.failed}, Attr{"left", stats.abandoned}, Attr{"mean_ms", int(mean)},
			Attr{"attempts", stats.attempts}, Attr{"verdicts", slices.Clone(stats.statuses[:])}, Attr{"open", stats.inFlight}, Attr{"running", stats.attemptsInFlight})
		*stats = classStats{inFlight: stats.inFlight, attemptsInFlight: stats.attemptsInFlight}
	}
	g.log(Info, "connections", Attr{"clients", len(g.clients)}, Attr{"idle", g.idleClients.Len()}, Attr{"engines", len(g.engineConns)},
		Attr{"open", len(g.requests)}, Attr{"result_bytes", g.resultBytes}, Attr{"input_bytes", g.statementBytes})
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
