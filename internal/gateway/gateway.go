// Package gateway implements the gateway as one deterministic reducer that owns all of its state. The host passes
// in timestamped events and executes the effects that the reducer returns. The reducer never performs I/O or
// logging and never reads a clock itself.
//
// The decision module (package rules) decides where a query runs, how long it may take and, if there is a choice, how
// it ends. The reducer passes events to the module and executes its actions.
//
// The types exchanged with the host are defined in events.go and effects.go.
package gateway

import (
	"container/list"
	"math/rand/v2"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/discovery"
	"foxlane/internal/guard"
	"foxlane/internal/memory"
	"foxlane/internal/wallclock"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// Gateway is the reducer. It is not safe for concurrent use.
type Gateway struct {
	cfg             config.Config
	limits          config.Limits
	module          *rules.Module
	rng             *rand.Rand
	now             rules.Time
	eventNumber     uint64       // number of the event being handled
	effects         *effectBatch // emitted since the last Flush
	lastEffects     *effectBatch // returned by the last Flush
	freeBuffers     [][]byte     // large output buffers for reuse, of freeBufferBytes together
	freeBufferBytes int
	dirtyBuffers    []*outputBuffer
	timers          timers
	armedFor        rules.Time // time of the last SetTimer; 0: it has fired
	moduleQueue     serialQueue[rules.Event]

	clients     map[ConnID]*clientConn
	sessions    map[uint32]*clientConn
	newClients  list.List // clients that have not sent a command yet, oldest first
	idleClients list.List // all other clients without a request, longest idle first
	lastSession uint32    // last session ID assigned

	requests   map[rules.RequestID]*queryRequest
	former     formerRequests
	unanswered int
	classIndex map[string]int
	pageQueue  []*engineAttempt // attempts waiting for memory for their pages

	engines      map[rules.EngineID]*engineState
	engineOrder  []*engineState
	engineConns  map[ConnID]*engineConn
	lastConn     ConnID
	lastProbeTag uint64

	endpointList *discovery.List
	queryIDs     [queryHistorySize]uint16     // IDs of the latest name service queries, as a ring
	queryTimes   [queryHistorySize]rules.Time // send times of these queries
	queryCount   int                          // queries sent since the start
	nameService  nameService
	clockSteps   wallclock.Steps
	lastStall    stall

	memory              memory.Account
	memoryStats         memoryStats
	pressure            memoryPressure
	undeliveredOfClosed map[ConnID]int64 // bytes written to connections that the gateway has closed and that have not ended

	results           *resultStore              // nil: no spool is configured, results are held in memory
	admission         *admissionControl         // nil: admission control is not configured
	zones             *zoneRouting              // nil: zones are not configured
	observationBuffer []zones.EngineObservation // scratch space of engineObservations
	peers             *peerState                // nil: members are not configured
	directives        *directiveState           // nil: directives are not configured

	stats              gatewayStats
	violations         guard.Violations
	priorAttemptBuffer []guard.PriorAttempt  // scratch space of priorAttempts
	closeCounts        [closeReasonCount]int // closed connections by CloseReason
	stopping           bool
	answersDue         rules.Time // while stopping: when every answer must be complete
	stopped            bool
	drainPeriodOver    bool
}

// queryHistorySize is the number of name service queries that are remembered. It is at least twice the number of polls
// whose answers may still arrive, so that half of the entries remain for the queries sent on reloads.
const queryHistorySize = 192

// New returns a Gateway that starts at the time now with the configuration cfg.
func New(cfg config.Config, now rules.Time) *Gateway {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(cfg.Seed >> (8 * (i % 8)))
	}
	g := &Gateway{
		cfg: cfg, limits: cfg.Limits, now: now, effects: &effectBatch{}, lastEffects: &effectBatch{},
		module:              rules.New(cfg.Settings.Rules, cfg.Seed),
		rng:                 rand.New(rand.NewChaCha8(seed)),
		clients:             map[ConnID]*clientConn{},
		sessions:            map[uint32]*clientConn{},
		requests:            map[rules.RequestID]*queryRequest{},
		former:              newFormerRequests(cfg.Limits.FormerRequests),
		classIndex:          map[string]int{},
		engines:             map[rules.EngineID]*engineState{},
		engineConns:         map[ConnID]*engineConn{},
		memory:              newMemoryAccount(&cfg.Limits),
		pressure:            memoryPressure{Pressure: memory.Pressure{Limit: cfg.Limits.ProcessBytes}},
		undeliveredOfClosed: map[ConnID]int64{},
		endpointList:        discovery.New(cfg.InitialList.Seq, cfg.InitialList.Engines),
		nameService:         nameService{lastAnswer: now, listConfirmedAt: now, renewAfter: cfg.Limits.ResolverTimeout},
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
	engines, _ := g.endpointList.Changed()
	g.applyList(engines, rules.UpdateCached)
	g.pollNameService()
	g.timers.add(timer{at: now + g.limits.SweepInterval, kind: timerSweep})
	g.timers.add(timer{at: now + g.limits.StatsInterval, kind: timerStats})
	g.stats.classes = make([]classStats, len(cfg.Settings.ClassNames))
	return g
}

// Step handles one event. If now is before the time of the previous event, the previous time is used.
func (g *Gateway) Step(now rules.Time, event Event) {
	g.now = max(g.now, now)
	g.eventNumber++
	g.detectStall()
	switch e := event.(type) {
	case ConnectionAccepted:
		g.extendCatchUp()
		g.acceptClient(e.Conn, e.From)
	case *DataReceived:
		g.handleDataReceived(e)
	case ClientLeaving:
		g.handleClientLeaving(e.Conn)
	case ConnectionClosed:
		g.handleConnectionClosed(e)
	case DialSucceeded:
		if conn := g.engineConns[e.Conn]; conn != nil {
			g.handleEngineConnected(conn)
		}
	case DialFailed:
		if conn := g.engineConns[e.Conn]; conn != nil {
			g.handleEngineConnEnded(conn, e.Err, 0, e.Local)
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
		g.handleDiskCompleted(e.Events)
	case WriteDrained:
		g.handleWriteDrained(e.Conn)
	case WriteBlocked:
		g.handleWriteBlocked(e)
	case MemorySampled:
		g.handleMemorySampled(e)
	case WriteUnblocked:
		g.handleWriteUnblocked(e.Conn)
	case PeerEvent:
		g.handlePeer(e)
	case ControlRequest:
		g.handleControlRequest(e)
	case VoterLogOpened:
		g.handleVoterOpened(e.State)
	case VoterLogPersisted:
		g.handleVoterPersisted(e.Err)
	}
}

func (g *Gateway) handleDataReceived(e *DataReceived) {
	if client := g.clients[e.Conn]; client != nil {
		g.extendCatchUp()
		g.handleClientData(client, e.Data)
	} else if conn := g.engineConns[e.Conn]; conn != nil {
		g.handleEngineData(conn, e.Data)
	}
}

func (g *Gateway) handleConnectionClosed(e ConnectionClosed) {
	g.releaseUndeliveredOfClosed(e.Conn)
	if client := g.clients[e.Conn]; client != nil {
		g.extendCatchUp()
		g.countClose(client, CloseByPeer)
		g.removeClient(client)
	} else if conn := g.engineConns[e.Conn]; conn != nil {
		g.handleEngineConnEnded(conn, e.Err, e.AcceptedBytes, false)
	}
}

func (g *Gateway) handleWriteDrained(id ConnID) {
	if client := g.clients[id]; client != nil {
		g.handleClientDrained(client)
	}
}

func (g *Gateway) handleVoterPersisted(err error) {
	if g.directives != nil {
		g.runDirectiveEffects(g.directives.node.Handle(g.now, directives.Persisted{OK: err == nil}))
	}
}

// Flush returns the effects to execute, in order. The slice is valid until the next Step.
func (g *Gateway) Flush() []Effect {
	g.flushDirty()
	g.timers.sweep(g.timerObsolete)
	g.logPressure()
	g.updateHolders()
	g.exitWhenDone() // after the last answers, which would otherwise never be written
	if at, ok := g.nextWake(); ok && at != g.armedFor {
		g.armedFor = at
		g.effects.setTimer(at)
	}
	if g.results != nil {
		g.results.turns.sent = 0
	}
	g.effects, g.lastEffects = g.lastEffects, g.effects
	g.effects.reset()
	return g.lastEffects.list
}

func (g *Gateway) emit(e Effect) { g.effects.list = append(g.effects.list, e) }

func (g *Gateway) log(level Level, text string, attrs ...Attr) {
	g.emit(Log{Level: level, Text: text, Attrs: attrs})
}

// notifyModule passes an event to the decision module and executes the resulting actions.
func (g *Gateway) notifyModule(event rules.Event) {
	if !g.moduleQueue.add(event) {
		return
	}
	for event, ok := g.moduleQueue.next(); ok; event, ok = g.moduleQueue.next() {
		for _, action := range g.module.Handle(g.now, event) {
			g.runAction(action)
		}
	}
}

func (g *Gateway) runAction(action rules.Action) {
	switch a := action.(type) {
	case rules.Send:
		g.startAttempt(a)
	case rules.SetAttemptOptions:
		g.setAttemptOptions(a)
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
		g.queryNameService()
	case rules.Subscribe:
		// No action is needed: the name service is always polled.
	case rules.Broadcast:
		g.log(Debug, "peer note dropped: no protocol")
	case rules.Log:
		g.log(Info, "module", Attr{"text", a.Text})
	}
}
