package gateway

import (
	"math/rand/v2"

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
