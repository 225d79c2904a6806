package gateway

import (
	"math"
	"slices"

	"foxlane/rules"
)

// This file counts what operators want to see. It never influences anything.

type stats struct{ classes []classStats }

// classStats counts the requests of a class since the last line of it.
type classStats struct {
	taken, served, refused, failed, left int
	took                                 rules.Time // of the served, from the query to the answer
	attempts                             int
	verdicts                             [8]int // of attempts
	open, running                        int    // now, and not reset
}

// logBeliefs notes what the module holds of each engine beside what is open on the sockets.
func (g *Gateway) logBeliefs() {
	for _, b := range g.module.EngineViews() {
		e := g.engines[b.Engine]
		if e == nil {
			continue
		}
		open, silent := 0, int64(-1) // never heard
		if e.heard > 0 {
			silent = int64((g.now - e.heard) / rules.Millisecond)
		}
		for _, l := range e.links {
			open += len(l.open) + len(l.waiting)
		}
		g.log(Info, "engine", Attr{"engine", e.entry.ID}, Attr{"state", e.entry.State}, Attr{"out", b.InFlight}, Attr{"open", open},
			Attr{"connections", len(e.links)}, Attr{"left_out", b.Ejected}, Attr{"slow", math.Round(100*b.Slowdown) / 100},
			Attr{"silent_ms", silent})
	}
}

// logCloses notes how many connections were closed since the last line, by reason.
func (g *Gateway) logCloses() {
	var attrs []Attr
	for i, n := range g.closed {
		if n > 0 {
			attrs = append(attrs, Attr{CloseReason(i).String(), n})
		}
	}
	if attrs != nil {
		g.log(Info, "closed", attrs...)
	}
	g.closed = [closeReasons]int{}
}

// logStats notes the last while, a line a class.
func (g *Gateway) logStats() {
	g.timers.add(timer{at: g.now + g.lim.StatsEvery, kind: timerStats})
	for i := range g.stats.classes {
		c := &g.stats.classes[i]
		mean := 0.0
		if c.served > 0 {
			mean = float64(c.took) / float64(c.served) / float64(rules.Millisecond)
		}
		g.log(Info, "class", Attr{"class", g.cfg.Settings.ClassNames[i]}, Attr{"taken", c.taken}, Attr{"served", c.served},
			Attr{"refused", c.refused}, Attr{"failed", c.failed}, Attr{"left", c.left}, Attr{"mean_ms", int(mean)},
			Attr{"attempts", c.attempts}, Attr{"verdicts", slices.Clone(c.verdicts[:])}, Attr{"open", c.open}, Attr{"running", c.running})
		*c = classStats{open: c.open, running: c.running}
	}
	g.log(Info, "connections", Attr{"clients", len(g.clients)}, Attr{"idle", g.idle.Len()}, Attr{"engines", len(g.links)},
		Attr{"open", len(g.requests)}, Attr{"result_bytes", g.resultHeld}, Attr{"input_bytes", g.inputHeld})
	g.logSource()
	g.logCloses()
	g.logBroken()
	g.logGate()
	g.logShelf()
	g.logSites()
	g.logPeers()
	g.logOrders()
	g.logBeliefs()
}
