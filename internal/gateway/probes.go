package gateway

import (
	"maps"
	"slices"
	"strconv"

	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file owns health checks of engines.

// healthProbe is a health check that is under way.
type healthProbe struct {
	engine          *engineState
	conn            *engineConn
	tag             string
	sentAt          rules.Time
	suspected       bool // other gateways report that the engine fails
	localExhaustion bool // it could not be made because a local resource was exhausted
	done            bool
}

// probesInOrder lists the health checks on a connection in an order that is not that of a map.
func (c *engineConn) probesInOrder() (probes []*healthProbe) {
	for _, tag := range slices.Sorted(maps.Keys(c.probes)) {
		probes = append(probes, c.probes[tag])
	}
	return probes
}

// startProbe checks an engine's health for the module or the zones.
func (g *Gateway) startProbe(id rules.EngineID) { g.probeEngine(id, false) }

// probeEngine checks an engine's health, with suspected because other gateways report that it fails.
func (g *Gateway) probeEngine(id rules.EngineID, suspected bool) {
	eng := g.engines[id]
	if eng == nil {
		return
	}
	g.lastProbeTag++
	probe := &healthProbe{
		engine:    eng,
		suspected: suspected,
		tag:       "p" + strconv.FormatUint(g.lastProbeTag, 10),
		sentAt:    g.now,
		conn:      g.connFor(eng, nil),
	}
	if probe.conn == nil || eng.state == rules.EngineGone {
		probe.localExhaustion = probe.conn == nil
		g.finishProbe(probe, rules.StatusConnectFailed, nil)
		return
	}
	probe.conn.probes[probe.tag] = probe
	g.timers.add(timer{at: g.now + g.limits.ProbeTimeout, kind: timerProbe, probe: probe})
	if probe.conn.up {
		probe.conn.output = engine.AppendProbe(probe.conn.output, probe.tag)
		probe.conn.lastUsed = g.now
		g.markDirty(&probe.conn.outputBuffer)
	}
}

// finishProbe ends a health check and tells the module and the zones. A check that a local resource prevented says nothing of the engine.
func (g *Gateway) finishProbe(probe *healthProbe, status rules.Status, report []byte) {
	if probe.done {
		return
	}
	probe.done = true
	if !probe.localExhaustion {
		g.zoneProbed(probe.engine, status == rules.StatusOK)
	}
	if probe.conn != nil {
		delete(probe.conn.probes, probe.tag)
		g.closeIfDrained(probe.conn)
	}
	g.tellModule(rules.ProbeResult{
		Engine:    probe.engine.id,
		Suspected: probe.suspected && !probe.localExhaustion,
		Status:    status,
		Latency:   g.now - probe.sentAt,
		Load:      engine.ParseReport(report),
	})
}
