package gateway

import (
	"math/rand/v2"

	"github.com/zeebo/xxh3"

	"foxlane/internal/config"
	"foxlane/internal/engine"
	"foxlane/internal/spool"
)

// This file connects the reducer with package spool: it tells the spool of results and readers, and carries out what the spool
// decides. It never decides itself what is stored. Without the block `spool` in the operator's file there is no spool, and results
// are passed on at once (answers.go).

// resultStore is the spool with the requests and clients behind its results and readers.
type resultStore struct {
	spool     *spool.Store
	queue     serialQueue[spool.Event]
	alarm     alarm                      // of the spool
	random    *rand.ChaCha8              // of handles
	filling   map[spool.ID]*queryRequest // whose results are not complete
	readers   slotTable[clientConn]
	lastStats spool.Stats // when figures were last logged
}

// resultState is what a request knows of its stored result.
type resultState struct {
	handle     spool.Handle
	reserved   bool           // the spool has capacity set aside for it
	resumable  bool           // the client asked for a handle, by which it may read again
	source     *engineAttempt // whose pages fill it
	engineDone bool           // the engine has given all pages: for the module the request is over
}

// newResultStore returns the spool that the operator has configured, or nil.
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

// newHandle draws a handle. Whoever knows one may read the result, so it must not be guessed: the generator is cryptographically
// strong, and its seed is the system's entropy.
func (s *resultStore) newHandle() (handle spool.Handle) {
	_, _ = s.random.Read(handle.ID[:]) // never fails
	_, _ = s.random.Read(handle.Key[:])
	return handle
}

// handleSpool tells the spool of an event and carries out what it decides.
func (g *Gateway) handleSpool(event spool.Event) {
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
		store.alarm = alarm(effect.At)
	case spool.DeliverChunk:
		if client := store.readers.entries[effect.Reader]; client != nil {
			g.writeChunk(client, effect)
		}
	case spool.Acknowledged:
		if client := store.readers.entries[effect.Reader]; client != nil {
			g.resultAcknowledged(client)
		}
	case spool.Deny:
		if client := store.readers.entries[effect.Reader]; client != nil {
			g.resultDenied(client)
		}
	case spool.AbortRead:
		if client := store.readers.entries[effect.Reader]; client != nil {
			g.abortReader(client, effect.Reason)
		}
	case spool.FillEffect:
		if req := store.filling[effect.ResultID()]; req != nil {
			g.runFillEffect(req, effect)
		}
	}
}

// runFillEffect carries out what concerns a result that is being filled.
func (g *Gateway) runFillEffect(req *queryRequest, effect spool.FillEffect) {
	switch effect := effect.(type) {
	case spool.Granted:
		g.resultGranted(req)
	case spool.Rejected:
		g.resultRejected(req, effect)
	case spool.FetchPages:
		g.fetchPages(req, effect)
	case spool.ReleaseEngine:
		g.resultReceived(req)
	case spool.Completed:
		g.serveStored(req)
	case spool.Failed:
		g.resultFailed(req, effect)
	}
}

// resultGranted goes on with a request that has capacity for its result now.
func (g *Gateway) resultGranted(req *queryRequest) {
	req.result.reserved = true
	if !req.submitted {
		g.submit(req)
		return
	}
	g.startFilling(req)
}

// resultRejected ends a request for whose result there is no capacity.
func (g *Gateway) resultRejected(req *queryRequest, effect spool.Rejected) {
	delete(g.results.filling, effect.ID)
	req.result.reserved = false
	g.log(Info, "spool: no capacity for a result", Attr{keyReason, effect.Reason.String()}, Attr{keyClass, g.cfg.Settings.ClassNames[req.class]})
	switch {
	case req.answered:
	case !req.submitted: // no attempt was made, so a retry is harmless
		req.endReason = EndNoResultCapacity
		g.writeRejection(req, capRetryAfter(&g.cfg.Settings.Rules.Limits, effect.RetryAfter))
	default:
		g.resultLost(req, effect.Reason)
	}
}

// fetchPages asks the engine that fills a result for further pages.
func (g *Gateway) fetchPages(req *queryRequest, effect spool.FetchPages) {
	if attempt := req.result.source; attempt != nil {
		for n := effect.Index; n < effect.End; n++ {
			attempt.conn.output = engine.AppendFetchPage(attempt.conn.output, string(req.id), n)
		}
		g.markDirty(&attempt.conn.outputBuffer)
	}
}

// resultFailed ends the filling of a result that can't be completed.
func (g *Gateway) resultFailed(req *queryRequest, effect spool.Failed) {
	delete(g.results.filling, effect.ID)
	req.result.reserved = false
	if effect.Reason == spool.ReasonAttemptFailed { // another attempt may follow, and needs capacity of its own
		if !req.answered && !req.result.engineDone {
			g.reserveResult(req)
		}
		return
	}
	g.log(Warn, "spool: result could not be stored", Attr{keyReason, effect.Reason.String()}, Attr{keyClass, g.cfg.Settings.ClassNames[req.class]})
	g.resultLost(req, effect.Reason)
}

// reserveResult asks the spool for capacity for a request's result.
func (g *Gateway) reserveResult(req *queryRequest) {
	handle := g.results.newHandle()
	req.result.handle = handle
	g.results.filling[handle.ID] = req
	g.handleSpool(spool.Reserve{ID: handle.ID, Secret: handle.Secret(), Tenant: req.resultOwner, Class: req.class,
		Durable: req.result.resumable})
}

// releaseResult gives back what the spool holds for a request that has ended before its result was complete.
func (g *Gateway) releaseResult(req *queryRequest) {
	if g.results == nil || g.results.filling[req.result.handle.ID] != req {
		return
	}
	delete(g.results.filling, req.result.handle.ID)
	g.handleSpool(spool.Release{ID: req.result.handle.ID})
}

// tenantKey names the owner of a result: the tenant that the request declared, else nobody, so that a client that returns from
// another address may read it. It is a hash without a seed, since it must be the same after a restart.
func tenantKey(tenant string) uint64 {
	if tenant == "" {
		return 0
	}
	return xxh3.HashString(tenant)
}

// diskCompleted tells the spool what its disk has done.
func (g *Gateway) diskCompleted(events []spool.Event) {
	for _, event := range events {
		g.handleSpool(event)
	}
}

func (g *Gateway) wakeSpool() {
	if store := g.results; store != nil && store.alarm.ring(g.now) {
		g.handleSpool(spool.TimerFired{})
	}
}

// logSpool logs what the spool did since the last such line.
func (g *Gateway) logSpool() {
	store := g.results
	if store == nil {
		return
	}
	stats, last := store.spool.Stats(), store.lastStats
	store.lastStats = stats
	g.log(Info, "spool", Attr{"results", stats.Results}, Attr{"readers", stats.Readers},
		Attr{"disk_bytes", stats.DiskBytes}, Attr{"memory_bytes", stats.MemoryBytes},
		Attr{"reserved", stats.Reserved - last.Reserved}, Attr{keyRejected, stats.Rejected - last.Rejected},
		Attr{"completed", stats.Completed - last.Completed}, Attr{keyFailed, stats.Failed - last.Failed},
		Attr{"delivered", stats.Delivered - last.Delivered}, Attr{"denied", stats.Denied - last.Denied},
		Attr{"expired", stats.Expired - last.Expired}, Attr{"evicted", stats.Evicted - last.Evicted})
}
