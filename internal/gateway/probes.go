package gateway

import (
	"maps"
	"slices"
	"strconv"

	"foxlane/internal/engine"
	"foxlane/rules"
)

// This file runs health probes of engines.

// healthProbe is a health probe in progress.
type healthProbe struct {
	engine          *engineState
	engineStarted   int64 // start time of the engine's process in the endpoint list when the probe started
	conn            *engineConn
	tag             string
	sentAt          rules.Time
	suspected       bool // started because peers report that the engine fails
	localExhaustion bool // not sent because a local resource was exhausted
	done            bool
}

// probesInOrder returns the probes on a connection sorted by tag, so that their order does not depend on map
// iteration.
func (c *engineConn) probesInOrder() (probes []*healthProbe) {
	for _, tag := range slices.Sorted(maps.Keys(c.probes)) {
		probes = append(probes, c.probes[tag])
	}
	return probes
}

// startProbe probes an engine on behalf of the module or the zone controller.
func (g *Gateway) startProbe(id rules.EngineID) { g.probeEngine(id, false) }

// probeEngine probes an engine's health. With suspected, the probe was started because peers report that the engine
// fails.
func (g *Gateway) probeEngine(id rules.EngineID, suspected bool) {
	eng := g.engines[id]
	if eng == nil {
		return
	}
	g.lastProbeTag++
	probe := &healthProbe{
		engine:        eng,
		engineStarted: eng.entry.Started,
		suspected:     suspected,
		tag:           "p" + strconv.FormatUint(g.lastProbeTag, 10),
		sentAt:        g.now,
		conn:          g.connFor(eng, nil),
	}
	if probe.conn == nil || eng.state == rules.EngineGone {
		probe.localExhaustion = probe.conn == nil
		g.finishProbe(probe, rules.StatusConnectFailed, nil)
		return
	}
	probe.conn.probes[probe.tag] = probe
	g.timers.add(timer{at: g.now + g.limits.ProbeTimeout, kind: timerProbe, probe: probe})
	if probe.conn.established {
		probe.conn.output = engine.AppendProbe(probe.conn.output, probe.tag)
		probe.conn.lastUsed = g.now
		g.markDirty(&probe.conn.outputBuffer)
	}
}

// finishProbe ends a probe and notifies the module and the zone controller. A probe that was prevented because a
// local resource was exhausted does not count against the engine. The result of a probe that began before the endpoint list
// reported another process says nothing about that process, and is dropped.
func (g *Gateway) finishProbe(probe *healthProbe, status rules.Status, report []byte) {
	if probe.done {
		return
	}
	probe.done = true
	if probe.conn != nil {
		delete(probe.conn.probes, probe.tag)
		g.closeIfDrained(probe.conn)
	}
	if probe.engineStarted != probe.engine.entry.Started {
		return
	}
	if !probe.localExhaustion {
		g.recordZoneProbe(probe.engine, status == rules.StatusOK)
	}
	g.notifyModule(rules.ProbeResult{
		Engine:    probe.engine.id,
		Suspected: probe.suspected && !probe.localExhaustion,
		Status:    status,
		Latency:   g.now - probe.sentAt,
		Load:      engine.ParseReport(report),
	})
}
