package gateway

import (
	"foxlane/internal/engine"
	"foxlane/rules"
	"strconv"
)

// This file owns health checks of engines.

type healthProbe struct {
	engine          *engineState
	link            *engineConn
	tag             string
	sentAt          rules.Time
	suspected       bool // others say that the engine fails
	localExhaustion bool // it could not be made, for want of something here
	done            bool
}

func (g *Gateway) startProbe(id rules.EngineID) { g.probeEngine(id, false) }

// probeEngine asks an engine for its health, with doubt because others say that it fails.
func (g *Gateway) probeEngine(id rules.EngineID, doubt bool) {
	eng := g.engines[id]
	if eng == nil {
		return
	}
	g.lastProbeTag++
	probe := &healthProbe{engine: eng, suspected: doubt, tag: "p" + strconv.FormatUint(g.lastProbeTag, 10), sentAt: g.now, link: g.connFor(eng, nil)}
	if probe.link == nil || eng.state == rules.EngineGone {
		probe.localExhaustion = probe.link == nil
		g.finishProbe(probe, rules.StatusConnectFailed, nil)
		return
	}
	probe.link.probes[probe.tag] = probe
	g.timers.add(timer{at: g.now + g.limits.ProbeTimeout, kind: timerProbe, probe: probe})
	if probe.link.up {
		probe.link.output = engine.AppendProbe(probe.link.output, probe.tag)
		probe.link.lastUsed = g.now
		g.markDirty(&probe.link.outputBuffer)
	}
}

func (g *Gateway) finishProbe(probe *healthProbe, status rules.Status, report []byte) {
	if probe.done {
		return
	}
	probe.done = true
	if !probe.localExhaustion {
		g.zoneProbed(probe.engine, status == rules.StatusOK)
	}
	if probe.link != nil {
		delete(probe.link.probes, probe.tag)
		g.closeIfDrained(probe.link)
	}
	g.tellModule(rules.ProbeResult{Engine: probe.engine.id, Suspected: probe.suspected && !probe.localExhaustion, Status: status, Latency: g.now - probe.sentAt, Load: engine.ParseReport(report)})
}
