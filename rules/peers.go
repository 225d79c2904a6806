package rules

import (
	"encoding/binary"
	"math"
)

// State of the load that other gateways report on an engine, and the encoding of such a report. This file
// makes no decisions.

// peerReport is the report of one gateway about its own load on an engine.
type peerReport struct {
	engine  EngineID
	threads float64
	work    float64
}

// peerReportSize is the size of an encoded report: engine ID, threads, and work in milliseconds.
const peerReportSize = 4 + 2 + 4

func (r peerReport) encode() []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, peerReportSize), uint32(r.engine))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.threads, math.MaxUint16)))
	return binary.BigEndian.AppendUint32(b, uint32(min(r.work/float64(Millisecond), math.MaxUint32)))
}

// decodePeerReport decodes a report. It returns false if the size is wrong.
func decodePeerReport(payload []byte) (report peerReport, ok bool) {
	if len(payload) != peerReportSize {
		return peerReport{}, false
	}
	report.engine = EngineID(binary.BigEndian.Uint32(payload))
	report.threads = float64(binary.BigEndian.Uint16(payload[4:]))
	report.work = float64(binary.BigEndian.Uint32(payload[6:])) * float64(Millisecond)
	return report, true
}

// encodePeerReport returns the encoded report of this gateway about an engine.
func (e *engine) encodePeerReport() []byte {
	return peerReport{e.ID, e.reportedLoad.threads, e.reportedLoad.work}.encode()
}

// handlePeerMessage records the report of a peer. Malformed reports, and those about unknown engines, are
// ignored.
func (m *Module) handlePeerMessage(msg PeerMessage) {
	if report, ok := decodePeerReport(msg.Payload); ok && m.engineByID[report.engine] != nil {
		m.engineByID[report.engine].peers.record(msg.From, m.now, report)
	}
}

// peerLoad is the total load of the peers on an engine, by the latest report of each.
type peerLoad struct {
	threads, work float64
	latest        map[int]peerEntry
	byAge         []peerEntry // oldest first
}

// peerEntry is a report with the index of its gateway and the time of its receipt.
type peerEntry struct {
	from int
	at   Time
	peerReport
}

// record replaces the report of a gateway.
func (l *peerLoad) record(from int, at Time, report peerReport) {
	if l.latest == nil {
		l.latest = map[int]peerEntry{}
	}
	entry := peerEntry{from, at, report}
	l.add(report, 1)
	l.add(l.latest[from].peerReport, -1)
	l.latest[from] = entry
	l.byAge = append(l.byAge, entry)
}

func (l *peerLoad) add(report peerReport, sign float64) {
	l.threads += sign * report.threads
	l.work += sign * report.work
}

// expire drops reports that were received before a time and not replaced since.
func (l *peerLoad) expire(before Time) {
	for len(l.byAge) > 0 && l.byAge[0].at < before {
		if entry := l.byAge[0]; l.latest[entry.from].at == entry.at {
			l.add(l.latest[entry.from].peerReport, -1)
			delete(l.latest, entry.from)
		}
		l.byAge = l.byAge[1:]
	}
}
