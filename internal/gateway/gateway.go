// Package gateway owns all state of a gateway on sockets, in one reducer:
// events with their time go in, effects come out. It calls the decision module
// and carries its actions out. It must never read, write, dial, log or look at
// a clock itself, nor decide what the module should: where a query runs, how
// long it may take and how it ends when that is a choice.
//
// This file has the events, the effects and the loop between module and host;
// clients.go, requests.go, links.go and fleet.go have the rest of the state.
package gateway

import (
	"container/list"
	"math/rand/v2"
	"net/netip"

	"foxlane/internal/config"
	"foxlane/internal/directives"
	"foxlane/internal/discovery"
	"foxlane/internal/guard"
	"foxlane/internal/spool"
	"foxlane/internal/wallclock"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// ConnID names a connection. Those that the reducer dials have the top bit set.
type ConnID uint64

const dialledBit ConnID = 1 << 63

// EventKind is what an Event tells.
type EventKind int

// Kinds of events.
const (
	ConnectionAccepted EventKind = iota + 1 // a client connected
	DataReceived                            // bytes came on a connection
	ConnectionClosed                        // a connection ended
	DialSucceeded                           // a dial came up
	DialFailed                              // or did not; nothing was written
	DNSResponse                             // bytes came from the name service
	TimerFired                              // the time asked for has come
	ShutdownRequested                       // the process is asked to end
	ConfigReloaded                          // the configuration was read again
	SpoolCompleted                          // the spool's disk has done what it was asked for
	WriteDrained                            // a connection that was watched has taken all that was written to it
	PeerNotified                            // something has happened among the members
	ControlRequest                          // an operator's command asks something
	VoterLogOpened                          // the voter's log was read: Kept
	VoterLogPersisted                       // what Keep asked for is on the disk, or Err
	WriteBlocked                            // a connection to an engine does not take what was written to it; Drained follows once it has
)

// Event is something that happened outside. Data is valid during the call only.
type Event struct {
	Kind  EventKind
	Conn  ConnID
	Data  []byte
	Err   error
	From  netip.Addr // with Accepted: the client's address, if it is known
	Local bool       // with DialFailed: for want of something here, such as descriptors

	// With Closed: how many bytes of all that was written on the connection the system has taken. What lies behind
	// them has never left, whatever broke.
	AcceptedBytes int64

	// With Datagram and Reload: by how much the wall clock is ahead of the time of events, since it was stepped.
	ClockSkew rules.Time

	Config     *config.Config             // with Reload: what holds from now on
	Spool      []spool.Event              // with Shelved
	Peer       *PeerEvent                 // with Peer; Data is what a member said
	VoterState *directives.PersistedState // with VoterOpened
}

// EffectKind is what an Effect asks for.
type EffectKind int

// Kinds of effects.
const (
	Write           EffectKind = iota + 1 // send Data on a connection
	CloseConnection                       // close a connection once what was written is sent, or give up its dial
	Dial                                  // connect to Addr within Wait
	QueryDNS                              // send Data to the name service
	SetNameServer                         // ask the name service at Addr from now on, from a new socket
	SetTimer                              // wake the reducer at At, and at no earlier time
	Log                                   // note Text
	Exit                                  // all is answered: end the process, unless more has come meanwhile
	SubmitSpool                           // carry Spool out on the spool's disk; its data stays as it is until it is answered
	NotifyDrained                         // tell Drained once all that was written on a connection is taken
	SendToMember                          // send Data to the member To on Channel; it may be lost
	JoinMembers                           // begin to look for members, as the configuration has it now
	LeaveMembers                          // leave them
	ControlResponse                       // Data answers the Inquiry of Conn
	PersistVoterLog                       // put Keep on the voter's disk, synced, and tell KeptIt
	ResetConnection                       // reset a connection: what it has not taken is never sent; Closed follows
)

// Level is the weight of a log line.
type Level int

// Levels.
const (
	Debug Level = iota
	Info
	Warn
)

// Attr is a named value of a log line.
type Attr struct {
	Key   string
	Value any
}

// Effect is something to do. Data is valid until the next Step.
type Effect struct {
	Kind    EffectKind
	Conn    ConnID
	Data    []byte
	Addr    netip.AddrPort
	Timeout rules.Time
	At      rules.Time
	Level   Level
	Text    string
	Attrs   []Attr
	Spool   spool.Effect

	To      string
	Channel byte
	Batch   directives.Batch
}

// Gateway is the reducer.
type Gateway struct {
	cfg          config.Config
	limits       config.Limits
	module       *rules.Module
	rng          *rand.Rand
	now          rules.Time
	effects      []Effect
	lastEffects  []Effect // handed out last
	freeBuffers  [][]byte // large buffers
	dirtyBuffers []*outputBuffer
	timers       timers
	armedAt      rules.Time
	moduleInbox  []rules.Event // for the module
	inModule     bool

	clients        map[ConnID]*clientConn
	sessions       map[uint32]*clientConn
	newClients     list.List // of clients that have asked for nothing yet, oldest first
	idleClients    list.List // of other clients without a request, longest idle first
	statementBytes int       // bytes of statements held for all clients
	partialBytes   int       // bytes of unfinished packets of all clients
	lastSession    uint32    // last id given

	requests    map[rules.RequestID]*queryRequest
	unanswered  int
	classIndex  map[string]int
	resultBytes int              // bytes of results that wait for their last page
	pageQueue   []*engineAttempt // want pages, wait for others to free room

	engines      map[rules.EngineID]*engineState
	engineOrder  []*engineState
	engineConns  map[ConnID]*engineConn
	lastConn     ConnID
	lastProbeTag uint64

	list        *discovery.List
	queryIDs    [maxQueries]uint16     // ids of the latest queries
	queryTimes  [maxQueries]rules.Time // and when they were sent
	queryCount  int
	nameService nameService // of the list: the name service
	clockSteps  wallclock.Steps
	lastStall   stall // the last one

	results     *resultStore              // nil: no spool is set, results are passed on at once
	admission   *admissionControl         // nil: the door is off, all requests go to the module at once
	zones       *zoneRouting              // nil: no plan for the loss of a zone is set
	sightBuffer []zones.EngineObservation // scratch
	peers       *peerState                // nil: other gateways are not talked to
	directives  *directiveState           // nil: no directives are followed

	stats           gatewayStats
	violations      guard.Violations
	pastBuffer      []guard.PriorAttempt // scratch
	closeCounts     [closeReasons]int
	stopping        bool
	stopped         bool
	drainPeriodOver bool
}

// maxQueries is how many queries to the name service are remembered: those of the time in which an answer may come, polls and as
// many again for reloads.
const maxQueries = 192

const (
	maxIdleBuffer  = 2048 // bytes of a buffer that a connection keeps
	maxFreeBuffers = 64   // larger buffers kept for all
)

// outputBuffer is a connection's way out.
type outputBuffer struct {
	id        ConnID
	output    []byte
	handedOut int64 // bytes of it that were handed out to be written, in all
	dirty     bool
	closed    bool // closed, by us or by the other side
}

// New returns a gateway that has just started.
func New(cfg config.Config, now rules.Time) *Gateway {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(cfg.Seed >> (8 * (i % 8)))
	}
	g := &Gateway{
		cfg: cfg, limits: cfg.Limits, now: now,
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

// Step takes one event.
func (g *Gateway) Step(now rules.Time, event Event) {
	g.now = max(g.now, now)
	g.detectStall()
	switch event.Kind {
	case ConnectionAccepted:
		g.extendCatchUp()
		g.acceptClient(event.Conn, event.From)
	case DataReceived:
		if client := g.clients[event.Conn]; client != nil {
			g.extendCatchUp()
			g.clientData(client, event.Data)
		} else if conn := g.engineConns[event.Conn]; conn != nil {
			g.engineData(conn, event.Data)
		}
	case ConnectionClosed:
		if client := g.clients[event.Conn]; client != nil {
			g.extendCatchUp()
			g.countClose(client, CloseByPeer)
			g.removeClient(client)
		} else if conn := g.engineConns[event.Conn]; conn != nil {
			g.engineConnEnded(conn, event.Err, event.AcceptedBytes, false)
		}
	case DialSucceeded:
		if conn := g.engineConns[event.Conn]; conn != nil {
			g.engineConnected(conn)
		}
	case DialFailed:
		if conn := g.engineConns[event.Conn]; conn != nil {
			g.engineConnEnded(conn, event.Err, 0, event.Local)
		}
	case DNSResponse:
		g.clockSteps.Note(event.ClockSkew)
		g.receiveDatagram(event.Data)
	case TimerFired:
		g.runTimers()
	case ShutdownRequested:
		g.beginShutdown()
	case ConfigReloaded:
		g.clockSteps.Note(event.ClockSkew)
		g.reconfigure(event.Config)
	case SpoolCompleted:
		g.diskCompleted(event.Spool)
	case WriteDrained:
		if client := g.clients[event.Conn]; client != nil {
			g.clientDrained(client)
		} else if conn := g.engineConns[event.Conn]; conn != nil {
			conn.blockedSince = 0
		}
	case WriteBlocked:
		if conn := g.engineConns[event.Conn]; conn != nil {
			conn.blockedSince = g.now
		}
	case PeerNotified:
		g.handlePeer(event)
	case ControlRequest:
		g.answerInquiry(event)
	case VoterLogOpened:
		g.voterOpened(event.VoterState)
	case VoterLogPersisted:
		if g.directives != nil {
			g.runDirectiveOutcomes(g.directives.proposer.Handle(g.now, directives.Persisted{OK: event.Err == nil}))
		}
	}
}

// Flush returns what is to be done, in order. It is valid until the next Step.
func (g *Gateway) Flush() []Effect {
	for _, buffer := range g.dirtyBuffers {
		buffer.dirty = false
		if !buffer.closed && len(buffer.output) > 0 {
			buffer.handedOut += int64(len(buffer.output))
			g.effects = append(g.effects, Effect{Kind: Write, Conn: buffer.id, Data: buffer.output})
		}
		g.recycleBuffer(buffer)
	}
	g.dirtyBuffers = g.dirtyBuffers[:0]
	g.exitWhenDone() // behind the last answers, or they would never be written
	if at, ok := g.nextWake(); ok && at != g.armedAt {
		g.armedAt = at
		g.effects = append(g.effects, Effect{Kind: SetTimer, At: at})
	}
	out := g.effects
	g.effects, g.lastEffects = g.lastEffects[:0], out
	return out
}

// recycleBuffer empties a connection's way out. Large buffers go round: few results are written at a time,
// and the many connections would keep them all.
func (g *Gateway) recycleBuffer(buffer *outputBuffer) {
	if cap(buffer.output) <= maxIdleBuffer {
		buffer.output = buffer.output[:0]
		return
	}
	if len(g.freeBuffers) < maxFreeBuffers {
		g.freeBuffers = append(g.freeBuffers, buffer.output[:0])
	}
	buffer.output = nil
}

// borrowBuffer gives a connection's empty way out a large buffer.
func (g *Gateway) borrowBuffer(buffer *outputBuffer) {
	if n := len(g.freeBuffers) - 1; len(buffer.output) == 0 && n >= 0 {
		buffer.output, g.freeBuffers[n] = g.freeBuffers[n], nil
		g.freeBuffers = g.freeBuffers[:n]
	}
}

func (g *Gateway) emit(effect Effect) { g.effects = append(g.effects, effect) }

func (g *Gateway) log(level Level, text string, attrs ...Attr) {
	g.emit(Effect{Kind: Log, Level: level, Text: text, Attrs: attrs})
}

// markDirty notes that something was put into a pipe.
func (g *Gateway) markDirty(buffer *outputBuffer) {
	if !buffer.dirty {
		buffer.dirty = true
		g.dirtyBuffers = append(g.dirtyBuffers, buffer)
	}
}

// flushNow sends what is in a pipe ahead of what others hold.
func (g *Gateway) flushNow(buffer *outputBuffer) {
	if len(buffer.output) > 0 {
		buffer.handedOut += int64(len(buffer.output))
		g.emit(Effect{Kind: Write, Conn: buffer.id, Data: buffer.output})
		buffer.output = nil
	}
}

// closeAfterWrites closes a connection behind what was written to it.
func (g *Gateway) closeAfterWrites(buffer *outputBuffer) {
	if buffer.closed {
		return
	}
	g.flushNow(buffer)
	buffer.closed = true
	g.emit(Effect{Kind: CloseConnection, Conn: buffer.id})
}

// ---- the module

// tellModule hands an event to the module and carries out what it asks for. Events
// that arise meanwhile wait for their turn: the module is never called from
// within its own actions.
func (g *Gateway) tellModule(event rules.Event) {
	g.moduleInbox = append(g.moduleInbox, event)
	if g.inModule {
		return
	}
	g.inModule = true
	for i := 0; i < len(g.moduleInbox); i++ {
		for _, act := range g.module.Handle(g.now, g.moduleInbox[i]) {
			g.runAction(act)
		}
	}
	clear(g.moduleInbox)
	g.moduleInbox = g.moduleInbox[:0]
	g.inModule = false
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
		g.log(Debug, "no protocol among gateways: note dropped")
	case rules.Log:
		g.log(Info, "module", Attr{"text", a.Text})
	}
}
