package rules

// Reports to peers: which attempts other gateways are told of; the types are in api.go. Invariant: peers
// hear of an attempt at its start and its end, or not at all.

// peerReportFactor is the multiple of the mean work of a request from which an attempt is reported: such
// attempts are most of the work and few in number, and messages cost.
const peerReportFactor = 2.0

func (m *Module) reportsToPeers(att *attempt) bool {
	return m.settings.Limits.PeerMessages && m.settings.Gateways > 1 &&
		att.work >= peerReportFactor*m.requestWork.valueOr(0)
}
