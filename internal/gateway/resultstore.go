package gateway

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/zeebo/xxh3"

	"foxlane/internal/config"
	"foxlane/internal/engine"
	"foxlane/internal/mysql"
	"foxlane/internal/spool"
	"foxlane/rules"
)

// This file carries results to the spool and from there to their clients, and
// the spool's effects out. It never decides what is kept; where the operator
// has set no spool it does nothing, and requests.go has the way of results.

// resultStore is the spool with what names its results and readers here.
type resultStore struct {
	spool     *spool.Store
	inbox     []spool.Event
	handling  bool
	wakeAt    rules.Time // 0: none
	random    *rand.ChaCha8
	filling   map[spool.ID]*queryRequest
	readers   slotTable[clientConn]
	lastStats spool.Stats // at the last line of the log
}

// resultReader is a client's way through a result.
type resultReader struct {
	slot          int
	id            spool.ID
	nextSeq       byte // of the next packet
	headerWritten bool // the columns are written
	resumable     bool // told of the handle, so that it may come back
	lastChunk     int  // handed over last
	complete      bool
	handle        spool.Handle
}

// resultState is what a request knows of its result on the shelf.
type resultState struct {
	handle     spool.Handle
	reserved   bool // there is room set aside
	resumable  bool // the client asked for a handle
	source     *engineAttempt
	engineDone bool // the engine has given all: the module has no more to do
}

func newResultStore(cfg *config.Config) *resultStore {
	if cfg.Site == nil || cfg.Site.Spool == nil {
		return nil
	}
	return &resultStore{spool: spool.New(cfg.Site.Spool.Budget, cfg.Seed), random: rand.NewChaCha8(cfg.Entropy),
		filling: map[spool.ID]*queryRequest{}, readers: newSlotTable[clientConn](cfg.Limits.MaxClients + cfg.Limits.AcceptOverflow)}
}

// newHandle draws a new one. The generator is cryptographically strong, and its seed the system's entropy.
func (s *resultStore) newHandle() (out spool.Handle) {
	_, _ = s.random.Read(out.ID[:])
	_, _ = s.random.Read(out.Key[:])
	return out
}

// handleSpool hands an event to the spool and carries out what it asks for. Events
// that arise meanwhile wait for their turn, as with the module.
func (g *Gateway) handleSpool(event spool.Event) {
	store := g.results
	if store == nil {
		return
	}
	store.inbox = append(store.inbox, event)
	if store.handling {
		return
	}
	store.handling = true
	for i := 0; i < len(store.inbox); i++ {
		for _, effect := range store.spool.Handle(g.now, store.inbox[i]) {
			g.runSpoolEffect(effect)
		}
	}
	clear(store.inbox)
	store.inbox = store.inbox[:0]
	store.handling = false
}

func (g *Gateway) runSpoolEffect(effect spool.Effect) {
	store := g.results
	switch effect.Kind {
	case spool.WriteRecord, spool.LoadChunk, spool.DiscardRecords:
		g.emit(SubmitSpool{Effect: effect})
	case spool.SetTimer:
		store.wakeAt = effect.At
	case spool.DeliverChunk:
		if client := store.readers.entries[effect.Reader]; client != nil {
			g.writeChunk(client, effect)
		}
	case spool.Deny:
		if client := store.readers.entries[effect.Reader]; client != nil {
			g.removeReader(client)
			g.rejectCommand(client, mysql.CodeUnknownError, "no such result")
			g.clientBecameIdle(client)
		}
	case spool.AbortRead:
		if client := store.readers.entries[effect.Reader]; client != nil {
			g.abortReader(client, effect.Reason)
		}
	default:
		if req := store.filling[effect.ID]; req != nil {
			g.runResultEffect(req, effect)
		}
	}
}

// runResultEffect carries out what concerns a result that is on its way.
func (g *Gateway) runResultEffect(req *queryRequest, effect spool.Effect) {
	switch effect.Kind {
	case spool.Granted:
		req.result.reserved = true
		if !req.submitted {
			g.submit(req)
			return
		}
		g.startFilling(req)
	case spool.Rejected:
		delete(g.results.filling, effect.ID)
		req.result.reserved = false
		g.log(Info, "spool: no room for a result", Attr{"why", effect.Reason.String()}, Attr{"class", g.cfg.Settings.ClassNames[req.class]})
		switch {
		case req.answered:
		case !req.submitted: // nothing ran
			req.endReason = EndNoResultCapacity
			g.writeRejection(req, g.capRetryAfter(effect.RetryAfter))
		default:
			g.resultLost(req, effect.Reason)
		}
	case spool.FetchPages:
		if attempt := req.result.source; attempt != nil {
			for n := effect.Index; n < effect.End; n++ {
				attempt.conn.output = engine.AppendFetchPage(attempt.conn.output, string(req.id), n)
			}
			g.markDirty(&attempt.conn.outputBuffer)
		}
	case spool.ReleaseEngine:
		g.resultReceived(req)
	case spool.Completed:
		g.serveStored(req)
	case spool.Failed:
		delete(g.results.filling, effect.ID)
		req.result.reserved = false
		if effect.Reason == spool.ReasonAttemptFailed { // another attempt may follow, and needs room of its own
			if !req.answered && !req.result.engineDone {
				g.reserveResult(req)
			}
			return
		}
		g.log(Warn, "spool: a result can't be kept", Attr{"why", effect.Reason.String()}, Attr{"class", g.cfg.Settings.ClassNames[req.class]})
		g.resultLost(req, effect.Reason)
	}
}

// reserveResult asks for room for a request's result.
func (g *Gateway) reserveResult(req *queryRequest) {
	req.result.handle = g.results.newHandle()
	g.results.filling[req.result.handle.ID] = req
	g.handleSpool(spool.Event{Kind: spool.Reserve, ID: req.result.handle.ID, Secret: req.result.handle.Secret(), Tenant: req.resultOwner, Class: req.class,
		Shape: req.statementShape, Durable: req.result.resumable})
}

// releaseResult lets go of what is kept for a request that is over.
func (g *Gateway) releaseResult(req *queryRequest) {
	if g.results == nil || g.results.filling[req.result.handle.ID] != req {
		return
	}
	delete(g.results.filling, req.result.handle.ID)
	g.handleSpool(spool.Event{Kind: spool.Release, ID: req.result.handle.ID})
}

// capRetryAfter is a time of return within what the site allows.
func (g *Gateway) capRetryAfter(after rules.Time) rules.Time {
	limits := g.cfg.Settings.Rules.Limits
	if !limits.RetryAfter {
		return 0
	}
	if limits.MaxRetryAfter > 0 {
		after = min(after, limits.MaxRetryAfter)
	}
	return after
}

// tenantKey is whose a result is: the tenant that was told, else nobody's, so that a client that comes back
// from another address may read it. It is the same after a restart.
func tenantKey(tenant string) uint64 {
	if tenant == "" {
		return 0
	}
	return xxh3.HashString(tenant)
}

// ---- from the engine

// spoolFirstPage takes a first page where results are kept.
func (g *Gateway) spoolFirstPage(attempt *engineAttempt, answer *engine.Answer, total int) {
	if !wellFormed(answer.Body) {
		g.malformedAnswer(attempt, "a row has not three columns, or a page ends within one")
		return
	}
	attempt.firstPageReceived, attempt.latency = true, g.now-attempt.startedAt
	attempt.workMS, attempt.memoryMB = answer.WorkMS, answer.MemoryMB
	attempt.totalPages, attempt.firstPage = total, bytes.Clone(answer.Body)
	if attempt.firstPage == nil {
		attempt.firstPage = []byte{}
	}
	g.startFilling(attempt.request)
}

// startFilling lets the first attempt that has answered give its pages, if there is room and none does yet.
func (g *Gateway) startFilling(req *queryRequest) {
	if !req.result.reserved || req.result.source != nil || req.answered || req.result.engineDone {
		return
	}
	for _, attempt := range req.attempts {
		if attempt.firstPageReceived && !attempt.done && !attempt.terminating {
			req.result.source = attempt
			first := attempt.firstPage
			attempt.firstPage = nil
			g.handleSpool(spool.Event{Kind: spool.PageArrived, ID: req.result.handle.ID, PageCount: attempt.totalPages, Data: first})
			return
		}
	}
}

// spoolPage takes a further page.
func (g *Gateway) spoolPage(attempt *engineAttempt, n int, body []byte) {
	req := attempt.request
	switch {
	case !attempt.firstPageReceived || n < 0 || n >= attempt.totalPages || req.result.source != attempt:
		g.malformedAnswer(attempt, "a page that was not asked for")
	case !wellFormed(body):
		g.malformedAnswer(attempt, "a row has not three columns, or a page ends within one")
	default:
		data := append(make([]byte, 0, len(body)), body...)
		g.handleSpool(spool.Event{Kind: spool.PageArrived, ID: req.result.handle.ID, Index: n, PageCount: attempt.totalPages, Data: data})
	}
}

// wellFormed answers whether a page holds whole rows of as many columns as all have.
func wellFormed(page []byte) bool {
	for len(page) > 0 {
		row, rest, ok := bytes.Cut(page, []byte{'\n'})
		if !ok || bytes.Count(row, []byte{'\t'}) != columnCount-1 {
			return false
		}
		page = rest
	}
	return true
}

// resultReceived: the engine has given all and is free, whatever becomes of the client.
func (g *Gateway) resultReceived(req *queryRequest) {
	attempt := req.result.source
	req.result.source, req.result.engineDone = nil, true
	if attempt == nil || attempt.done {
		return
	}
	if attempt.totalPages > 1 { // of a single page the engine keeps nothing
		attempt.conn.output = engine.AppendRelease(attempt.conn.output, string(req.id))
		g.markDirty(&attempt.conn.outputBuffer)
	}
	g.concludeAttempt(attempt, rules.StatusOK)
	g.timers.add(timer{at: req.dueAt, kind: timerResultStored, request: req})
}

// shortenStoreDeadlines brings the deadlines of what waits for the disk alone forward: the gateway ends.
func (g *Gateway) shortenStoreDeadlines() {
	if g.results == nil {
		return
	}
	var waiting []*queryRequest
	for _, req := range g.requests {
		if req.result.engineDone && !req.answered {
			waiting = append(waiting, req)
		}
	}
	slices.SortFunc(waiting, func(left, right *queryRequest) int { return cmp.Compare(left.id, right.id) })
	for _, req := range waiting {
		g.timers.add(timer{at: g.now + g.limits.ShutdownTimeout, kind: timerResultStored, request: req})
	}
}

// resultLost answers a request whose result can't be kept. It has run: only of what may be repeated freely
// the client hears that asking again is harmless.
func (g *Gateway) resultLost(req *queryRequest, why spool.Reason) {
	if req.answered {
		return
	}
	req.result.engineDone, req.endReason = true, EndResultLost
	if attempt := req.result.source; attempt != nil {
		req.result.source = nil
		attempt.blameless = true
		g.abandonAttempt(attempt, rules.StatusCancelled)
	}
	if safe := g.cfg.Settings.Rules.Classes[req.class].Idempotency == rules.Idempotent; safe && why != spool.ReasonTooLarge {
		g.writeRejection(req, 0)
	} else {
		req.stats.failed++
		g.writeErr(req.client, mysql.CodeUnknownError, "the result could not be kept: "+why.String())
		g.finishRequest(req, outcomeFailed)
	}
	g.tellModule(rules.ClientGone{ID: req.id})
}

// ---- to the client

// serveStored begins the answer: the result is whole.
func (g *Gateway) serveStored(req *queryRequest) {
	delete(g.results.filling, req.result.handle.ID)
	client := req.client
	if req.answered || client == nil {
		g.handleSpool(spool.Event{Kind: spool.Release, ID: req.result.handle.ID})
		return
	}
	req.served = true
	req.stats.served++
	req.stats.latencySum += g.now - req.arrivedAt
	client.reader = &resultReader{id: req.result.handle.ID, nextSeq: 1, resumable: req.result.resumable, handle: req.result.handle}
	g.finishRequest(req, outcomeServed)
	g.attachReader(client, req.resultOwner, 0)
}

// attachReader lets a client read from a chunk on.
func (g *Gateway) attachReader(client *clientConn, owner uint64, from int) {
	reader := client.reader
	reader.slot = g.results.readers.allocate(client)
	g.handleSpool(spool.Event{Kind: spool.Attach, Reader: reader.slot, ID: reader.id, Secret: reader.handle.Secret(), Tenant: owner, Index: from})
}

// resumeResult takes a client's wish to read a result again, or to be done with it.
func (g *Gateway) resumeResult(client *clientConn, resume *mysql.Resume) {
	handle, err := spool.ParseHandle([]byte(resume.Handle))
	if g.results == nil || err != nil {
		g.rejectCommand(client, mysql.CodeUnknownError, "no such result") // the same words for whatever is wrong with a handle
		return
	}
	client.reader = &resultReader{id: handle.ID, nextSeq: 1, resumable: true, handle: handle}
	if resume.Release {
		client.reader.slot = g.results.readers.allocate(client)
		g.handleSpool(spool.Event{Kind: spool.Acknowledge, Reader: client.reader.slot, ID: handle.ID, Secret: handle.Secret(), Tenant: tenantKey(resume.Tenant)})
		return
	}
	g.attachReader(client, tenantKey(resume.Tenant), resume.FromChunk)
}

// writeChunk writes a chunk, and asks to be told once the client's connection has taken it.
func (g *Gateway) writeChunk(client *clientConn, effect spool.Effect) {
	reader := client.reader
	if effect.Data == nil && effect.Last && effect.Index < 0 { // an acknowledgement
		g.removeReader(client)
		g.writeOK(client)
		g.clientBecameIdle(client)
		return
	}
	if !reader.headerWritten {
		reader.headerWritten = true
		client.output, reader.nextSeq = mysql.AppendColumns(client.output, reader.nextSeq, columnNames)
		if reader.resumable {
			client.output, reader.nextSeq, _ = mysql.AppendRow(client.output, reader.nextSeq, []byte("#handle\t"+reader.handle.String()+"\t"+strconv.Itoa(effect.End)), columnCount)
		}
	}
	for page := effect.Data; len(page) > 0; {
		var row []byte
		row, page, _ = bytes.Cut(page, []byte{'\n'})
		client.output, reader.nextSeq, _ = mysql.AppendRow(client.output, reader.nextSeq, row, columnCount) // it was checked when it came
	}
	if reader.resumable {
		client.output, reader.nextSeq, _ = mysql.AppendRow(client.output, reader.nextSeq, []byte("#page\t"+strconv.Itoa(effect.Index)+"\t"+strconv.Itoa(effect.End)), columnCount)
	}
	reader.lastChunk, reader.complete = effect.Index, effect.Last
	g.markDirty(&client.outputBuffer)
	if !effect.Last {
		g.watchClient(client)
		return
	}
	client.output = mysql.AppendEnd(client.output, reader.nextSeq)
	if reader.resumable { // kept until it is acknowledged, or its lease is over
		g.handleSpool(spool.Event{Kind: spool.Detach, Reader: reader.slot})
	} else {
		g.handleSpool(spool.Event{Kind: spool.NextChunk, Reader: reader.slot, Index: effect.Index + 1})
	}
	g.removeReader(client)
	g.clientBecameIdle(client)
}

// watchClient asks to be told once all that was written to a client has been taken.
func (g *Gateway) watchClient(client *clientConn) {
	g.flushNow(&client.outputBuffer)
	g.emit(NotifyDrained{Conn: client.id})
}

// clientDrained: the client has taken a chunk and gets the next.
func (g *Gateway) clientDrained(client *clientConn) {
	if reader := client.reader; reader != nil && reader.headerWritten && !reader.complete {
		g.handleSpool(spool.Event{Kind: spool.NextChunk, Reader: reader.slot, Index: reader.lastChunk + 1})
	}
}

// removeReader takes a client off the shelf's readers.
func (g *Gateway) removeReader(client *clientConn) {
	if client.reader != nil {
		g.results.readers.release(client.reader.slot)
		client.reader, client.answeredAt = nil, g.now
	}
}

// detachReader: a client has gone while it read. What nobody can ask for again goes with it.
func (g *Gateway) detachReader(client *clientConn) {
	reader := client.reader
	if reader == nil {
		return
	}
	g.removeReader(client)
	g.handleSpool(spool.Event{Kind: spool.Detach, Reader: reader.slot})
	if !reader.resumable {
		g.handleSpool(spool.Event{Kind: spool.Release, ID: reader.id})
	}
}

// abortReader ends an answer that can't go on, so that its client can tell it from a whole one.
func (g *Gateway) abortReader(client *clientConn, why spool.Reason) {
	reader := client.reader
	g.log(Warn, "spool: a result was lost while it was read", Attr{"session", client.session}, Attr{"why", why.String()})
	client.output = mysql.AppendErr(client.output, reader.nextSeq, mysql.CodeUnknownError, "the result was lost: "+why.String())
	g.markDirty(&client.outputBuffer)
	g.removeReader(client)
	g.clientBecameIdle(client)
}

// diskCompleted takes what the disk says.
func (g *Gateway) diskCompleted(events []spool.Event) {
	for _, event := range events {
		g.handleSpool(event)
	}
}

func (g *Gateway) wakeSpool() {
	if store := g.results; store != nil && store.wakeAt != 0 && store.wakeAt <= g.now {
		store.wakeAt = 0
		g.handleSpool(spool.Event{Kind: spool.TimerFired})
	}
}

// logSpool notes what the spool did since the last line.
func (g *Gateway) logSpool() {
	store := g.results
	if store == nil {
		return
	}
	stats, last := store.spool.Stats(), store.lastStats
	store.lastStats = stats
	g.log(Info, "spool", Attr{"results", stats.Results}, Attr{"readers", stats.Readers}, Attr{"disk_bytes", stats.DiskBytes}, Attr{"memory_bytes", stats.MemoryBytes},
		Attr{"reserved", stats.Reserved - last.Reserved}, Attr{"refused", stats.Rejected - last.Rejected}, Attr{"whole", stats.Completed - last.Completed},
		Attr{"failed", stats.Failed - last.Failed}, Attr{"given", stats.Delivered - last.Delivered}, Attr{"denied", stats.Denied - last.Denied},
		Attr{"expired", stats.Expired - last.Expired}, Attr{"gave_way", stats.Evicted - last.Evicted})
}
