package replica

// This file implements anti-entropy: members exchange digests of the entries that they hold, and send each other the
// missing ones.

// digestRow states that a member holds all entries of an origin up to a counter.
type digestRow struct{ hash, incarnation, counter uint64 }

func (o *origin) digestRow() digestRow {
	return digestRow{hashName(o.name), o.incarnation, o.completeTo}
}

const maxDigestRows = 512 // in one digest

// digestCapacity returns the number of rows that fit into one message.
func (s *Store) digestCapacity() int {
	return min((s.settings.MaxMessageBytes-maxHeaderBytes-4)/maxRowBytes, maxDigestRows)
}

// sendDigest sends a member as many rows as fit into one message, in round-robin order of origins, and requests a
// reply.
func (s *Store) sendDigest(to string) {
	var rows []digestRow
	for range min(len(s.originNames), s.digestCapacity()) {
		s.nextDigestOrigin %= len(s.originNames)
		rows = append(rows, s.origins[s.originNames[s.nextDigestOrigin]].digestRow())
		s.nextDigestOrigin++
	}
	s.sendDigestRows(to, rows, true)
}

func (s *Store) sendDigestRows(to string, rows []digestRow, requestReply bool) {
	rows = rows[:min(len(rows), s.digestCapacity())]
	if len(rows) == 0 {
		return
	}
	w := s.beginMessage(typeDigest)
	flag := byte(0)
	if requestReply {
		flag = 1
	}
	w.buf = append(w.buf, flag)
	w.uvarint(uint64(len(rows)))
	for _, row := range rows {
		w.uvarint(row.hash)
		w.uvarint(row.incarnation)
		w.uvarint(row.counter)
	}
	s.sendWithinBudget(to, s.finishMessage(&w))
}

// receiveDigest sends the entries that the sender lacks. If the sender requests a reply, receiveDigest also sends the
// rows of which the sender holds more. This reply does not request another one.
func (s *Store) receiveDigest(h header, body *reader) {
	replyRequested := body.bytes(1)[0] == 1
	n := body.count(maxDigestRows)
	rows := make([]digestRow, 0, n)
	for range n {
		rows = append(rows, digestRow{body.uvarint(), body.uvarint(), body.uvarint()})
	}
	if body.err != nil {
		return
	}
	byHash := s.originsByHash()
	var missing []digestRow
	sent := 0
	for _, row := range rows {
		o := byHash[row.hash]
		switch {
		case o == nil:
			missing = append(missing, digestRow{hash: row.hash})
		case o == s.own && row.incarnation > o.incarnation:
			s.refute(h.sender, row.incarnation)
		case row.incarnation > o.incarnation || row.incarnation == o.incarnation && row.counter > o.completeTo:
			if o != s.own && o.leftAt == 0 {
				missing = append(missing, o.digestRow())
			}
		case sent < maxReplyMessages && row.incarnation < o.incarnation:
			sent += s.sendEntries(h.sender, o, 0, maxReplyMessages-sent)
		case sent < maxReplyMessages && row.counter < o.completeTo:
			sent += s.sendEntries(h.sender, o, row.counter, maxReplyMessages-sent)
		}
	}
	switch {
	case len(missing) == 0 && replyRequested:
		s.behindSince = 0
	case len(missing) > 0 && s.behindSince == 0:
		s.behindSince = max(s.now, 1)
	}
	if replyRequested {
		s.sendDigestRows(h.sender, missing, false)
	}
}

func (s *Store) originsByHash() map[uint64]*origin {
	m := make(map[uint64]*origin, len(s.originNames))
	for _, name := range s.originNames {
		m[hashName(name)] = s.origins[name]
	}
	return m
}

// sendEntries sends the entries of an origin with counters over from, in at most limit messages that each cover a
// contiguous range of counters. It stops when the budget is used up, and returns the number of messages sent.
func (s *Store) sendEntries(to string, o *origin, from uint64, limit int) (sent int) {
	list := o.entriesAfter(from)
	for sent < limit {
		w := s.beginMessage(typeDelta)
		n := min(len(list), (s.settings.MaxMessageBytes-maxHeaderBytes-maxBlockHeaderBytes)/maxEntryBytes)
		until := o.completeTo
		if n < len(list) {
			until = list[n-1].Counter
		}
		w.blockHeader(o, from, until, n)
		for _, e := range list[:n] {
			w.entry(e, e.checksumFor(o.name), s.now)
		}
		msg := s.finishMessage(&w)
		if !s.withinBudget(len(msg)) {
			return sent
		}
		s.send(to, msg)
		sent++
		if list, from = list[n:], until; len(list) == 0 {
			return sent
		}
	}
	return sent
}
