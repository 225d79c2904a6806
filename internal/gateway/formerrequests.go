package gateway

import (
	"slices"
	"strings"

	"foxlane/rules"
)

// This file remembers requests after their end. Engines and their answers name a request by the ID that its client chose,
// and a client may use an ID again, for example when it connects anew and sends its last query once more. A later request
// with the ID must not be run again if that is unsafe, and must not get a late answer to the earlier one.

// formerRequests holds the latest requests that were written to engines, up to limit of them.
type formerRequests struct {
	limit int
	byID  map[rules.RequestID]*formerRequest
	ids   []rules.RequestID // in the order of their end, as a ring
	next  int               // place of the next entry in the ring
}

// formerRequest is what is remembered of a request.
type formerRequest struct {
	mayHaveRun bool
	idempotent bool
	conns      formerConns
}

// formerConns are the latest connections to which attempts of earlier requests with the same ID were written. 0: none.
type formerConns [4]ConnID

func newFormerRequests(limit int) formerRequests {
	return formerRequests{limit: limit, byID: map[rules.RequestID]*formerRequest{}}
}

// add remembers a request whose attempts have all ended, if any of them was written to an engine.
func (f *formerRequests) add(req *queryRequest, idempotent bool) {
	ended := formerRequest{idempotent: idempotent, conns: req.formerConns}
	sent := false
	for _, attempt := range req.attempts {
		if !attempt.sent {
			continue
		}
		sent = true
		ended.mayHaveRun = ended.mayHaveRun || !attempt.status.NeverExecuted()
		ended.conns.add(attempt.conn.id)
	}
	if !sent {
		return
	}
	if earlier := f.byID[req.id]; earlier != nil {
		ended.mayHaveRun = ended.mayHaveRun || earlier.mayHaveRun
		ended.idempotent = ended.idempotent && earlier.idempotent
		*earlier = ended
		return
	}
	f.insert(rules.RequestID(strings.Clone(string(req.id))), &ended) // the ID may be a part of the query's comment
}

// insert adds an entry, in the place of the oldest one if there are limit of them.
func (f *formerRequests) insert(id rules.RequestID, ended *formerRequest) {
	f.byID[id] = ended
	if len(f.ids) < f.limit {
		f.ids = append(f.ids, id)
		return
	}
	delete(f.byID, f.ids[f.next])
	f.ids[f.next] = id
	f.next = (f.next + 1) % f.limit
}

// unsafeToRun reports whether a new request with an ID could repeat the effect of an earlier one.
func (f *formerRequests) unsafeToRun(id rules.RequestID, idempotent bool) bool {
	earlier := f.byID[id]
	return earlier != nil && earlier.mayHaveRun && (!idempotent || !earlier.idempotent)
}

// connsOf returns the connections that carried earlier requests with an ID.
func (f *formerRequests) connsOf(id rules.RequestID) formerConns {
	if earlier := f.byID[id]; earlier != nil {
		return earlier.conns
	}
	return formerConns{}
}

// add adds a connection, in the place of the oldest one.
func (c *formerConns) add(id ConnID) {
	copy(c[:], c[1:])
	c[len(c)-1] = id
}

// contain reports whether a connection is among them.
func (c *formerConns) contain(id ConnID) bool { return slices.Contains(c[:], id) }
