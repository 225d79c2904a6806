package gateway

import (
	"math/rand/v2"

	"github.com/zeebo/xxh3"

	"foxlane/internal/config"
	"foxlane/internal/engine"
	"foxlane/internal/spool"
)

// This file connects the reducer to package spool: it notifies the spool of results and readers and executes its
// decisions. Without the block `spool` in the operator's file there is no spool, and results are held in memory
// (see answers.go).

// resultStore holds the spool, and the requests and clients that belong to its results and readers.
type resultStore struct {
	spool     *spool.Store
	queue     serialQueue[spool.Event]
	wakeAt    wakeTime                   // when the spool's timer fires
	random    *rand.ChaCha8              // generates handles
	filling   map[spool.ID]*queryRequest // requests whose results are incomplete
	readers   slotTable[clientConn]
	turns     chunkTurns
	lastStats spool.Stats // as of the last statistics log line
	over      bool        // more is stored than the budget allows, as of the last log line about it
}

// resultState is the state of a request's stored result.
type resultState struct {
	handle     spool.Handle
	reserved   bool           // the spool has reserved capacity for it
	resumable  bool           // the client requested a handle to read the result again
	source     *engineAttempt // attempt that fills it; nil: none
	engineDone bool           // no pages are needed any more: for the module the request is over
}

// newResultStore returns the configured result store, or nil if the spool is not configured.
func newResultStore(cfg *config.Config) *resultStore {
	if cfg.Site == nil || cfg.Site.Spool == nil {
		return nil
	}
	return &resultStore{
		spool:   spool.New(cfg.Site.Spool.Budget, cfg.Seed),
		random:  rand.NewChaCha8(cfg.Entropy),
		filling: map[spool.ID]*queryRequest{},
		readers: newSlotTable[clientConn](cfg.Limits.MaxClients + cfg.Limits.AcceptOverflow),
	}
}

// newHandle generates a random handle. Anyone who knows a handle may read the result, so it must not be guessable:
// the generator is cryptographically strong and seeded from system entropy.
func (s *resultStore) newHandle() (handle spool.Handle) {
	_, _ = s.random.Read(handle.ID[:]) // never fails
	_, _ = s.random.Read(handle.Key[:])
	return handle
}

// notifySpool passes an event to the spool and executes the resulting effects.
func (g *Gateway) notifySpool(event spool.Event) {
	store := g.results
	if store == nil || !store.queue.add(event) {
		return
	}
	for event, ok := store.queue.next(); ok; event, ok = store.queue.next() {
		for _, effect := range store.spool.Handle(g.now, event) {
			g.runSpoolEffect(effect)
		}
	}
}

func (g *Gateway) runSpoolEffect(effect spool.Effect) {
	store := g.results
	switch effect := effect.(type) {
	case spool.DiskEffect:
		g.emit(SubmitSpool{Effect: effect})
	case spool.SetTimer:
		store.wakeAt = wakeTime(effect.At)
	case spool.DeliverChunk:
		if client := store.readers.lookup(slotID(effect.Reader)); client != nil {
			g.deliverChunk(client, effect)
		}
	case spool.Acknowledged:
		if client := store.readers.lookup(slotID(effect.Reader)); client != nil {
			g.confirmResultRelease(client)
		}
	case spool.Deny:
		if client := store.readers.lookup(slotID(effect.Reader)); client != nil {
			g.denyResult(client)
		}
	case spool.AbortRead:
		if client := store.readers.lookup(slotID(effect.Reader)); client != nil {
			g.abortReader(client, effect.Reason)
		}
	case spool.FillEffect:
		if req := store.filling[effect.ResultID()]; req != nil {
			g.runFillEffect(req, effect)
		}
	}
}

// runFillEffect executes an effect on an incomplete result.
func (g *Gateway) runFillEffect(req *queryRequest, effect spool.FillEffect) {
	switch effect := effect.(type) {
	case spool.Granted:
		g.handleResultGranted(req)
	case spool.Rejected:
		g.handleResultRejected(req, effect)
	case spool.FetchPages:
		g.fetchPages(req, effect)
	case spool.ReleaseEngine:
		g.handleResultReceived(req)
	case spool.Completed:
		g.serveStoredResult(req)
	case spool.Failed:
		g.handleResultFailed(req, effect)
	}
}

// handleResultGranted continues a request after capacity for its result was reserved.
func (g *Gateway) handleResultGranted(req *queryRequest) {
	req.result.reserved = true
	if !req.submitted {
		g.submit(req)
		return
	}
	g.startFilling(req)
}

// handleResultRejected ends a request because there is no capacity for its result.
func (g *Gateway) handleResultRejected(req *queryRequest, effect spool.Rejected) {
	delete(g.results.filling, effect.ID)
	req.result.reserved = false
	g.log(Info, "spool: no capacity for a result", Attr{keyReason, effect.Reason.String()}, Attr{keyClass, g.cfg.Settings.ClassNames[req.class]})
	switch {
	case req.answered:
	case !req.submitted: // no attempt was made, so the client may retry
		req.endReason = EndNoResultCapacity
		g.writeRejection(req, capRetryAfter(&g.cfg.Settings.Rules.Limits, effect.RetryAfter))
	default:
		g.answerLostResult(req, effect.Reason)
	}
}

// fetchPages requests further pages from the engine that fills a result.
func (g *Gateway) fetchPages(req *queryRequest, effect spool.FetchPages) {
	if attempt := req.result.source; attempt != nil {
		for n := effect.Index; n < effect.End; n++ {
			attempt.conn.output = engine.AppendFetchPage(attempt.conn.output, string(req.id), n)
		}
		g.markDirty(&attempt.conn.outputBuffer)
	}
}

// handleResultFailed handles a result that cannot be completed.
func (g *Gateway) handleResultFailed(req *queryRequest, effect spool.Failed) {
	delete(g.results.filling, effect.ID)
	req.result.reserved = false
	if effect.Reason == spool.ReasonAttemptFailed { // another attempt may follow, which needs a new reservation
		if !req.answered && !req.result.engineDone {
			g.reserveResult(req)
		}
		return
	}
	g.log(Warn, "spool: result could not be stored", Attr{keyReason, effect.Reason.String()}, Attr{keyClass, g.cfg.Settings.ClassNames[req.class]})
	g.answerLostResult(req, effect.Reason)
}

// reserveResult requests capacity for a request's result from the spool.
func (g *Gateway) reserveResult(req *queryRequest) {
	handle := g.results.newHandle()
	req.result.handle = handle
	g.results.filling[handle.ID] = req
	g.notifySpool(spool.Reserve{ID: handle.ID, Secret: handle.Secret(), Tenant: req.resultOwner, Class: req.class,
		Durable: req.result.resumable})
}

// releaseResult releases the spool's capacity for a request that ended before its result was complete.
func (g *Gateway) releaseResult(req *queryRequest) {
	if g.results == nil || g.results.filling[req.result.handle.ID] != req {
		return
	}
	delete(g.results.filling, req.result.handle.ID)
	g.notifySpool(spool.Release{ID: req.result.handle.ID})
}

// tenantKey identifies the owner of a result by the declared tenant, or returns 0 if there is none. It does not
// include the client's address, so that a client may read the result from another address. The hash is unseeded, so
// that it stays the same after a restart.
func tenantKey(tenant string) uint64 {
	if tenant == "" {
		return 0
	}
	return xxh3.HashString(tenant)
}

// handleDiskCompleted passes completed disk operations to the spool.
func (g *Gateway) handleDiskCompleted(events []spool.Event) {
	for _, event := range events {
		g.notifySpool(event)
	}
	g.logBudget()
}

// logBudget logs that more results are stored than the budget allows, and that this is over.
func (g *Gateway) logBudget() {
	store := g.results
	if store == nil || store.over == store.spool.OverBudget() {
		return
	}
	store.over = !store.over
	stats := store.spool.Stats()
	attrs := []Attr{{"results", stats.Results}, {"disk_bytes", stats.DiskBytes}, {"memory_bytes", stats.MemoryBytes}}
	if store.over {
		g.log(Warn, "spool: over its budget, nothing new is stored", attrs...)
		return
	}
	g.log(Info, "spool: within its budget again", attrs...)
}

// wakeSpool notifies the spool if its timer has fired.
func (g *Gateway) wakeSpool() {
	if store := g.results; store != nil && store.wakeAt.fire(g.now) {
		g.notifySpool(spool.TimerFired{})
	}
}

// logSpool logs the statistics of the spool since its last log line.
func (g *Gateway) logSpool() {
	store := g.results
	if store == nil {
		return
	}
	stats, last := store.spool.Stats(), store.lastStats
	store.lastStats = stats
	g.logBudget()
	g.log(Info, "spool", Attr{"results", stats.Results}, Attr{"readers", stats.Readers},
		Attr{"disk_bytes", stats.DiskBytes}, Attr{"memory_bytes", stats.MemoryBytes},
		Attr{"reserved", stats.Reserved - last.Reserved}, Attr{keyRejected, stats.Rejected - last.Rejected},
		Attr{"completed", stats.Completed - last.Completed}, Attr{keyFailed, stats.Failed - last.Failed},
		Attr{"delivered", stats.Delivered - last.Delivered}, Attr{"denied", stats.Denied - last.Denied},
		Attr{"expired", stats.Expired - last.Expired}, Attr{"evicted", stats.Evicted - last.Evicted})
}
