package rules

import (
	"encoding/binary"
	"math"
)

// The state of what other gateways report of their load on an engine, and the form of such a report.
// It decides nothing.

// peerReport is what one gateway reports of its own load on an engine.
type peerReport struct {
	engine  EngineID
	threads float64
	work    float64
}

// peerReportSize is that of an engine's ID, threads, and work in milliseconds.
const peerReportSize = 4 + 2 + 4

func (r peerReport) encode() []byte {
	b := binary.BigEndian.AppendUint32(make([]byte, 0, peerReportSize), uint32(r.engine))
	b = binary.BigEndian.AppendUint16(b, uint16(min(r.threads, math.MaxUint16)))
	return binary.BigEndian.AppendUint32(b, uint32(min(r.work/float64(Millisecond), math.MaxUint32)))
}

func decodePeerReport(b []byte) (report peerReport, ok bool) {
	if len(b) != peerReportSize {
		return peerReport{}, false
	}
	report.engine = EngineID(binary.BigEndian.Uint32(b))
	report.threads = float64(binary.BigEndian.Uint16(b[4:]))
	report.work = float64(binary.BigEndian.Uint32(b[6:])) * float64(Millisecond)
	return report, true
}

// encodePeerReport is the report of an engine to peers.
func (e *engine) encodePeerReport() []byte {
	return peerReport{e.ID, e.reportedToPeers.threads, e.reportedToPeers.work}.encode()
}

func (m *Module) handlePeerMessage(msg PeerMessage) {
	if report, ok := decodePeerReport(msg.Payload); ok && m.engineByID[report.engine] != nil {
		m.engineByID[report.engine].peers.record(msg.From, m.now, report)
	}
}

// peerLoad sums up what peers run on an engine, by the latest report of each.
type peerLoad struct {
	threads, work float64
	latest        map[int]peerEntry
	byAge         []peerEntry // oldest first
}

type peerEntry struct {
	from int
	at   Time
	peerReport
}

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

// expire drops what was reported before then and never renewed.
func (l *peerLoad) expire(before Time) {
	for len(l.byAge) > 0 && l.byAge[0].at < before {
		if entry := l.byAge[0]; l.latest[entry.from].at == entry.at {
			l.add(l.latest[entry.from].peerReport, -1)
			delete(l.latest, entry.from)
		}
		l.byAge = l.byAge[1:]
	}
}
