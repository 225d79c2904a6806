// Package gateway owns all state of a gateway on sockets, in one reducer: events with their time go in, effects come out. It calls the
// decision module and carries out its actions. It must never read, write, dial, log or look at a clock itself, nor decide what the
// module should: where a query runs, how long it may take, and how it ends where that is a choice.
//
// This file has the state and the loop between module and host; events.go and effects.go have what passes between
// the reducer and its host.
package gateway

import (
	"container/list"
	"math/rand/v2"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/discovery"
	"foxlane/internal/guard"
	"foxlane/internal/wallclock"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// Gateway is the reducer.
type Gateway struct {
	cfg          config.Config
	limits       config.Limits
	module       *rules.Module
	rng          *rand.Rand
	now          rules.Time
	eventNumber  uint64       // of the event that is handled
	effects      *effectBatch // since the last Flush
	lastEffects  *effectBatch // that Flush returned last
	freeBuffers  [][]byte     // large buffers
	dirtyBuffers []*outputBuffer
	timers       timers
	armedAt      rules.Time // the time of the last SetTimer; 0: it has fired
	moduleQueue  serialQueue[rules.Event]

	clients        map[ConnID]*clientConn
	sessions       map[uint32]*clientConn
	newClients     list.List // clients that have sent no command yet, oldest first
	idleClients    list.List // other clients without a request, longest idle first
	statementBytes int       // of statements of all requests that are not answered
	partialBytes   int       // of unfinished packets of all clients
	lastSession    uint32    // the last session id that was given

	requests    map[rules.RequestID]*queryRequest
	unanswered  int
	classIndex  map[string]int
	resultBytes int              // reserved for results whose pages were requested
	pageQueue   []*engineAttempt // that wait for memory for their pages

	engines      map[rules.EngineID]*engineState
	engineOrder  []*engineState
	engineConns  map[ConnID]*engineConn
	lastConn     ConnID
	lastProbeTag uint64

	list        *discovery.List
	queryIDs    [maxQueries]uint16     // ids of the latest queries
	queryTimes  [maxQueries]rules.Time // and when they were sent
	queryCount  int
	nameService nameService // that answers with the list
	clockSteps  wallclock.Steps
	lastStall   stall

	results     *resultStore              // nil: results are not stored but passed on at once
	admission   *admissionControl         // nil: it is off, all requests go to the module at once
	zones       *zoneRouting              // nil: there is no plan for the loss of a zone
	sightBuffer []zones.EngineObservation // scratch
	peers       *peerState                // nil: other gateways are not contacted
	directives  *directiveState           // nil: no directives are followed

	stats           gatewayStats
	violations      guard.Violations
	pastBuffer      []guard.PriorAttempt // scratch
	closeCounts     [closeReasons]int
	stopping        bool
	stopped         bool
	drainPeriodOver bool
}

// maxQueries is how many queries to the name service are remembered: the polls in the time in which an answer may come, and as many again
// for reloads.
const maxQueries = 192

// New returns a gateway that has just started.
func New(cfg config.Config, now rules.Time) *Gateway {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(cfg.Seed >> (8 * (i % 8)))
	}
	g := &Gateway{
		cfg: cfg, limits: cfg.Limits, now: now, effects: &effectBatch{}, lastEffects: &effectBatch{},
		module:      rules.New(cfg.Settings.Rules, cfg.Seed),
		rng:         rand.New(rand.NewChaCha8(seed)),
		clients:     map[ConnID]*clientConn{},
		sessions:    map[uint32]*clientConn{},
		requests:    map[rules.RequestID]*queryRequest{},
		classIndex:  map[string]int{},
		engines:     map[rules.EngineID]*engineState{},
		engineConns: map[ConnID]*engineConn{},
		list:        discovery.New(cfg.InitialList.Seq, cfg.InitialList.Engines),
		nameService: nameService{lastAnswer: now, listAsOf: now, renewAfter: cfg.Limits.ResolverTimeout},
	}
	g.lastSession = g.rng.Uint32() >> 1
	for i, name := range cfg.Settings.ClassNames {
		g.classIndex[name] = i
	}
	g.admission, g.results = newAdmission(&g.cfg), newResultStore(&g.cfg)
	g.zones = newZoneRouting(&g.cfg, g.rng, now)
	if g.zones != nil {
		g.setZonePlan()
	}
	g.startDirectives()
	g.startPeers()
	engines, _ := g.list.Changed()
	g.applyList(engines, rules.UpdateCached)
	g.poll()
	g.timers.add(timer{at: now + g.limits.SweepInterval, kind: timerSweep})
	g.timers.add(timer{at: now + g.limits.StatsInterval, kind: timerStats})
	g.stats.classes = make([]classStats, len(cfg.Settings.ClassNames))
	return g
}

// Step handles one event at a time that is never before that of the last.
func (g *Gateway) Step(now rules.Time, event Event) {
	g.now = max(g.now, now)
	g.eventNumber++
	g.detectStall()
	switch e := event.(type) {
	case ConnectionAccepted:
		g.extendCatchUp()
		g.acceptClient(e.Conn, e.From)
	case *DataReceived:
		g.received(e)
	case ConnectionClosed:
		g.connectionClosed(e)
	case DialSucceeded:
		if engine := g.engineConns[e.Conn]; engine != nil {
			g.engineConnected(engine)
		}
	case DialFailed:
		if engine := g.engineConns[e.Conn]; engine != nil {
			g.engineConnEnded(engine, e.Err, 0, e.Local)
		}
	case DNSResponse:
		g.clockSteps.Note(e.ClockSkew)
		g.receiveDatagram(e.Data)
	case TimerFired:
		g.runTimers()
	case ShutdownRequested:
		g.beginShutdown()
	case ConfigReloaded:
		g.clockSteps.Note(e.ClockSkew)
		g.reconfigure(e.Config)
	case SpoolCompleted:
		g.diskCompleted(e.Events)
	case WriteDrained:
		g.writeDrained(e.Conn)
	case WriteBlocked:
		if engine := g.engineConns[e.Conn]; engine != nil {
			engine.blockedSince = g.now
		}
	case PeerEvent:
		g.handlePeer(e)
	case ControlRequest:
		g.answerInquiry(e)
	case VoterLogOpened:
		g.voterOpened(e.State)
	case VoterLogPersisted:
		g.voterPersisted(e.Err)
	}
}

func (g *Gateway) received(e *DataReceived) {
	if client := g.clients[e.Conn]; client != nil {
		g.extendCatchUp()
		g.clientData(client, e.Data)
	} else if engine := g.engineConns[e.Conn]; engine != nil {
		g.engineData(engine, e.Data)
	}
}

func (g *Gateway) connectionClosed(e ConnectionClosed) {
	if client := g.clients[e.Conn]; client != nil {
		g.extendCatchUp()
		g.countClose(client, CloseByPeer)
		g.removeClient(client)
	} else if engine := g.engineConns[e.Conn]; engine != nil {
		g.engineConnEnded(engine, e.Err, e.AcceptedBytes, false)
	}
}

func (g *Gateway) writeDrained(conn ConnID) {
	if client := g.clients[conn]; client != nil {
		g.clientDrained(client)
	} else if engine := g.engineConns[conn]; engine != nil {
		engine.blockedSince = 0
	}
}

func (g *Gateway) voterPersisted(err error) {
	if g.directives != nil {
		g.runDirectiveOutcomes(g.directives.proposer.Handle(g.now, directives.Persisted{OK: err == nil}))
	}
}

// Flush returns what is to be done, in order. It is valid until the next Step.
func (g *Gateway) Flush() []Effect {
	g.flushDirty()
	g.exitWhenDone() // behind the last answers, or they would never be written
	if at, ok := g.nextWake(); ok && at != g.armedAt {
		g.armedAt = at
		g.effects.setTimer(at)
	}
	g.effects, g.lastEffects = g.lastEffects, g.effects
	g.effects.reset()
	return g.lastEffects.list
}

func (g *Gateway) emit(e Effect) { g.effects.list = append(g.effects.list, e) }

func (g *Gateway) log(level Level, text string, attrs ...Attr) {
	g.emit(Log{Level: level, Text: text, Attrs: attrs})
}

// ---- the module

// tellModule tells the module of an event and carries out what it decides.
func (g *Gateway) tellModule(event rules.Event) {
	if !g.moduleQueue.add(event) {
		return
	}
	for event, ok := g.moduleQueue.next(); ok; event, ok = g.moduleQueue.next() {
		for _, act := range g.module.Handle(g.now, event) {
			g.runAction(act)
		}
	}
}

func (g *Gateway) runAction(action rules.Action) {
	switch a := action.(type) {
	case rules.Send:
		g.startAttempt(a)
	case rules.SetAttemptOptions:
		g.setTerms(a)
	case rules.Cancel:
		g.cancelAttempt(a)
	case rules.Reject:
		g.reject(g.requests[a.ID], a.RetryAfter, moduleReasons[a.Reason])
	case rules.Fail:
		g.failRequest(g.requests[a.ID], moduleReasons[a.Reason])
	case rules.SetTimer:
		g.timers.add(timer{at: max(a.At, g.now+1), kind: timerModule, token: a.Token})
	case rules.Probe:
		g.startProbe(a.Engine)
	case rules.CloseIdle:
		g.closeIdleConns(g.engines[a.Engine])
	case rules.FetchFleet:
		g.sendQuery()
	case rules.Subscribe:
		// The name service is polled in any case.
	case rules.Broadcast:
		g.log(Debug, "peer note dropped: no protocol")
	case rules.Log:
		g.log(Info, "module", Attr{"text", a.Text})
	}
}
