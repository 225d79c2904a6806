package replica

import "foxlane/rules"

// This file enforces the send budget: at most BytesPerSecond within a sliding second, in messages of at most
// MaxMessageBytes.

const (
	maxRowBytes         = 8 + 10 + 10
	maxHeaderBytes      = len(magic) + 2 + 1 + maxNameBytes + 10 + checksumSize
	maxBlockHeaderBytes = 1 + maxNameBytes + 10 + 10 + 10 + 2
	maxReplyMessages    = 4  // messages sent in reply to one message
	typicalEntryBytes   = 28 // measured on entries of one or two values
)

// withinBudget reports whether the budget allows a message of size bytes now, and counts the message in OverBudget if
// not.
func (s *Store) withinBudget(size int) bool {
	if s.sentBytes.Total(s.now)+float64(size) <= float64(s.settings.BytesPerSecond) {
		return true
	}
	s.stats.OverBudget++
	return false
}

// minInterval returns the minimum time between two sends of an entry, even if it changes. It grows with the number of
// members, since the entries of all members must fit into the budget of one. Urgent kinds are exempt.
func (s *Store) minInterval(k Kind) rules.Time {
	if urgent(k) {
		return 0
	}
	return rules.Time(float64(len(s.members)*s.settings.Fanout*typicalEntryBytes) / float64(s.settings.BytesPerSecond) * float64(rules.Second))
}

// beginMessage starts a message in the scratch buffer. The writer owns the buffer until finishMessage.
func (s *Store) beginMessage(t messageType) writer {
	w := writer{buf: s.buf}
	w.begin(t, s.settings.Name, s.own.incarnation)
	return w
}

// finishMessage completes a message and returns it. The result is valid until the next beginMessage.
func (s *Store) finishMessage(w *writer) []byte {
	msg := w.finish()
	s.buf = msg[:0]
	return msg
}

func (s *Store) send(to string, msg []byte) {
	s.sentBytes.Add(s.now, float64(len(msg)))
	s.stats.BytesSent += len(msg)
	s.stats.MessagesSent++
	s.emit(Send{To: to, Data: append([]byte(nil), msg...)})
}

// sendWithinBudget sends a message, or drops it if the budget does not allow it.
func (s *Store) sendWithinBudget(to string, msg []byte) {
	if s.withinBudget(len(msg)) {
		s.send(to, msg)
	}
}
