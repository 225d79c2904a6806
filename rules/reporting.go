package rules

// Reports to peers: which attempts are reported to other gateways. The types are in api.go. Invariant:
// peers get a report at both the start and the end of an attempt, or none.

// peerReportFactor is the multiple of the mean work of a request from which an attempt is reported: such
// attempts are few but most of the work, and each message has a cost.
const peerReportFactor = 2.0

// reportsToPeers reports whether peers are informed about an attempt.
func (m *Module) reportsToPeers(att *attempt) bool {
	return m.settings.Limits.PeerMessages && m.settings.Gateways > 1 &&
		att.work >= peerReportFactor*m.requestWork.valueOr(0)
}
