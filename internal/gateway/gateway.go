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

const dialled ConnID = 1 << 63

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

	Config     *config.Config   // with Reload: what holds from now on
	Spool      []spool.Event    // with Shelved
	Peer       *PeerEvent       // with Peer; Data is what a member said
	VoterState *directives.Kept // with VoterOpened
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
	cfg     config.Config
	lim     config.Limits
	module  *rules.Module
	rng     *rand.Rand
	now     rules.Time
	effects []Effect
	given   []Effect // handed out last
	spare   [][]byte // large buffers
	dirty   []*pipe
	timers  timers
	armed   rules.Time
	inbox   []rules.Event // for the module
	telling bool

	clients   map[ConnID]*client
	sessions  map[uint32]*client
	fresh     list.List // of clients that have asked for nothing yet, oldest first
	idle      list.List // of other clients without a request, longest idle first
	inputHeld int       // bytes of statements held for all clients
	partial   int       // bytes of unfinished packets of all clients
	session   uint32    // last id given

	requests   map[rules.RequestID]*request
	unanswered int
	classIndex map[string]int
	resultHeld int        // bytes of results that wait for their last page
	pageQueue  []*attempt // want pages, wait for others to free room

	engines  map[rules.EngineID]*engineState
	order    []*engineState
	links    map[ConnID]*link
	lastLink ConnID
	lastTag  uint64

	list      *discovery.List
	asked     [askedMost]uint16     // ids of the latest queries
	askedAt   [askedMost]rules.Time // and when they were sent
	askedNum  int
	source    source // of the list: the name service
	steps     wallclock.Steps
	lastStall stall // the last one

	shelf  *shelf              // nil: no spool is set, results are passed on at once
	gate   *gate               // nil: the door is off, all requests go to the module at once
	sites  *sites              // nil: no plan for the loss of a zone is set
	seen   []zones.EngineSight // scratch
	peers  *peers              // nil: other gateways are not talked to
	orders *orders             // nil: no directives are followed

	stats    stats
	broken   guard.Violations
	pastList []guard.PriorAttempt // scratch
	closed   [closeReasons]int
	stopping bool
	stopped  bool
	lingered bool
}

// askedMost is how many queries to the name service are remembered: those of the time in which an answer may come, polls and as
// many again for reloads.
const askedMost = 192

const (
	keepOut   = 2048 // bytes of a buffer that a connection keeps
	keepSpare = 64   // larger buffers kept for all
)

// pipe is a connection's way out.
type pipe struct {
	id    ConnID
	out   []byte
	given int64 // bytes of it that were handed out to be written, in all
	dirty bool
	ended bool // closed, by us or by the other side
}

// New returns a gateway that has just started.
func New(cfg config.Config, now rules.Time) *Gateway {
	var seed [32]byte
	for i := range seed {
		seed[i] = byte(cfg.Seed >> (8 * (i % 8)))
	}
	g := &Gateway{
		cfg: cfg, lim: cfg.Limits, now: now,
		module:     rules.New(cfg.Settings.Rules, cfg.Seed),
		rng:        rand.New(rand.NewChaCha8(seed)),
		clients:    map[ConnID]*client{},
		sessions:   map[uint32]*client{},
		requests:   map[rules.RequestID]*request{},
		classIndex: map[string]int{},
		engines:    map[rules.EngineID]*engineState{},
		links:      map[ConnID]*link{},
		list:       discovery.New(cfg.Known.Seq, cfg.Known.Engines),
		source:     source{heard: now, fresh: now, pause: cfg.Limits.ListSilent},
	}
	g.session = g.rng.Uint32() >> 1
	for i, name := range cfg.Settings.ClassNames {
		g.classIndex[name] = i
	}
	g.gate, g.shelf = newGate(&g.cfg), newShelf(&g.cfg)
	g.sites = newSites(&g.cfg, g.rng, now)
	if g.sites != nil {
		g.planZones()
	}
	g.beginOrders()
	g.beginPeers()
	engines, _ := g.list.Changed()
	g.applyList(engines, rules.UpdateCached)
	g.poll()
	g.timers.add(timer{at: now + g.lim.Sweep, kind: timerSweep})
	g.timers.add(timer{at: now + g.lim.StatsEvery, kind: timerStats})
	g.stats.classes = make([]classStats, len(cfg.Settings.ClassNames))
	return g
}

// Step takes one event.
func (g *Gateway) Step(now rules.Time, e Event) {
	g.now = max(g.now, now)
	g.noteStall()
	switch e.Kind {
	case ConnectionAccepted:
		g.stillReading()
		g.accept(e.Conn, e.From)
	case DataReceived:
		if c := g.clients[e.Conn]; c != nil {
			g.stillReading()
			g.clientData(c, e.Data)
		} else if l := g.links[e.Conn]; l != nil {
			g.linkData(l, e.Data)
		}
	case ConnectionClosed:
		if c := g.clients[e.Conn]; c != nil {
			g.stillReading()
			g.noteClose(c, ClosePeer)
			g.dropClient(c)
		} else if l := g.links[e.Conn]; l != nil {
			g.dropLink(l, e.Err, e.AcceptedBytes, false)
		}
	case DialSucceeded:
		if l := g.links[e.Conn]; l != nil {
			g.linkUp(l)
		}
	case DialFailed:
		if l := g.links[e.Conn]; l != nil {
			g.dropLink(l, e.Err, 0, e.Local)
		}
	case DNSResponse:
		g.steps.Note(e.ClockSkew)
		g.datagram(e.Data)
	case TimerFired:
		g.ring()
	case ShutdownRequested:
		g.stop()
	case ConfigReloaded:
		g.steps.Note(e.ClockSkew)
		g.reload(e.Config)
	case SpoolCompleted:
		g.shelved(e.Spool)
	case WriteDrained:
		if c := g.clients[e.Conn]; c != nil {
			g.drained(c)
		} else if l := g.links[e.Conn]; l != nil {
			l.blockedAt = 0
		}
	case WriteBlocked:
		if l := g.links[e.Conn]; l != nil {
			l.blockedAt = g.now
		}
	case PeerNotified:
		g.peer(e)
	case ControlRequest:
		g.inquire(e)
	case VoterLogOpened:
		g.voterOpened(e.VoterState)
	case VoterLogPersisted:
		if g.orders != nil {
			g.carryOrders(g.orders.desk.Handle(g.now, directives.Event{Kind: directives.Persisted, OK: e.Err == nil}))
		}
	}
}

// Flush returns what is to be done, in order. It is valid until the next Step.
func (g *Gateway) Flush() []Effect {
	for _, p := range g.dirty {
		p.dirty = false
		if !p.ended && len(p.out) > 0 {
			p.given += int64(len(p.out))
			g.effects = append(g.effects, Effect{Kind: Write, Conn: p.id, Data: p.out})
		}
		g.reuse(p)
	}
	g.dirty = g.dirty[:0]
	g.maybeExit() // behind the last answers, or they would never be written
	if at, ok := g.nextWake(); ok && at != g.armed {
		g.armed = at
		g.effects = append(g.effects, Effect{Kind: SetTimer, At: at})
	}
	out := g.effects
	g.effects, g.given = g.given[:0], out
	return out
}

// reuse empties a connection's way out. Large buffers go round: few results are written at a time,
// and the many connections would keep them all.
func (g *Gateway) reuse(p *pipe) {
	if cap(p.out) <= keepOut {
		p.out = p.out[:0]
		return
	}
	if len(g.spare) < keepSpare {
		g.spare = append(g.spare, p.out[:0])
	}
	p.out = nil
}

// roomy gives a connection's empty way out a large buffer.
func (g *Gateway) roomy(p *pipe) {
	if n := len(g.spare) - 1; len(p.out) == 0 && n >= 0 {
		p.out, g.spare[n] = g.spare[n], nil
		g.spare = g.spare[:n]
	}
}

func (g *Gateway) do(e Effect) { g.effects = append(g.effects, e) }

func (g *Gateway) log(level Level, text string, attrs ...Attr) {
	g.do(Effect{Kind: Log, Level: level, Text: text, Attrs: attrs})
}

// touch notes that something was put into a pipe.
func (g *Gateway) touch(p *pipe) {
	if !p.dirty {
		p.dirty = true
		g.dirty = append(g.dirty, p)
	}
}

// flushNow sends what is in a pipe ahead of what others hold.
func (g *Gateway) flushNow(p *pipe) {
	if len(p.out) > 0 {
		p.given += int64(len(p.out))
		g.do(Effect{Kind: Write, Conn: p.id, Data: p.out})
		p.out = nil
	}
}

// shut closes a connection behind what was written to it.
func (g *Gateway) shut(p *pipe) {
	if p.ended {
		return
	}
	g.flushNow(p)
	p.ended = true
	g.do(Effect{Kind: CloseConnection, Conn: p.id})
}

// ---- the module

// tell hands an event to the module and carries out what it asks for. Events
// that arise meanwhile wait for their turn: the module is never called from
// within its own actions.
func (g *Gateway) tell(e rules.Event) {
	g.inbox = append(g.inbox, e)
	if g.telling {
		return
	}
	g.telling = true
	for i := 0; i < len(g.inbox); i++ {
		for _, a := range g.module.Handle(g.now, g.inbox[i]) {
			g.act(a)
		}
	}
	clear(g.inbox)
	g.inbox = g.inbox[:0]
	g.telling = false
}

func (g *Gateway) act(action rules.Action) {
	switch a := action.(type) {
	case rules.Send:
		g.send(a)
	case rules.SetAttemptOptions:
		g.setTerms(a)
	case rules.Cancel:
		g.cancel(a)
	case rules.Reject:
		g.refuse(g.requests[a.ID], a.RetryAfter, moduleReasons[a.Reason])
	case rules.Fail:
		g.fail(g.requests[a.ID], moduleReasons[a.Reason])
	case rules.SetTimer:
		g.timers.add(timer{at: max(a.At, g.now+1), kind: timerAlarm, token: a.Token})
	case rules.Probe:
		g.probe(a.Engine)
	case rules.CloseIdle:
		g.closeIdle(g.engines[a.Engine])
	case rules.FetchFleet:
		g.query()
	case rules.Subscribe:
		// The name service is polled in any case.
	case rules.Broadcast:
		g.log(Debug, "no protocol among gateways: note dropped")
	case rules.Log:
		g.log(Info, "module", Attr{"text", a.Text})
	}
}
