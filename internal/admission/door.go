// Package door owns who a request belongs to, what each principal may have
// open, the order in which held requests pass to the decision module, the
// refusals at the door and the times of return that these name. It must never
// see bytes of a protocol, a clock, a socket or a goroutine, nor decide what is
// the module's: the engine, the attempt, the class lottery, the draw among the
// requests that were passed.
//
// Events with their time go in, effects come out, in order. A request and a
// connection are named by slots that the caller chooses, below Sizes.Asks and
// Sizes.Conns; a slot is free again once its Done or Closed was told. All state
// has a size that follows from Sizes, however many principals come.
package admission

import (
	"math"
	"math/rand/v2"

	"foxlane/rules"
)

// EventKind is what an Event tells.
type EventKind uint8

// Kinds of events.
const (
	Opened   EventKind = iota + 1 // a connection came: Conn, From
	Closed                        // a connection has gone, its request before it: Conn
	Idle                          // a connection that has asked before waits for its client: Conn
	Input                         // Bytes of an unfinished packet are held for a connection: Conn
	Asked                         // a request came on a connection: Slot, Conn, Ask
	Sent                          // a request has its first attempt: Slot
	Spent                         // an attempt of a request held an engine for Took: Slot, Took
	Done                          // a request is over, served or not: Slot, Served
	TurnDown                      // the module refuses a request; a Refuse with the time of return follows: Slot
	Tick                          // the time asked for has come
	Retuned                       // other settings hold from now on: Settings, Declared
	Stopping                      // the gateway ends: all deadlines come forward to By, nobody is told to return
)

// Event is something the door is told. Only the fields named at its kind count.
type Event struct {
	Kind   EventKind
	Conn   int
	Slot   int
	From   Address
	Bytes  int
	Ask    Ask
	Took   rules.Time
	Served bool
	By     rules.Time

	Settings *Settings
	Declared []string
}

// Ask is a request as the door sees it.
type Ask struct {
	Class  int
	Tenant string // as told; empty: none
	Key    string // requests of one key pass in the order in which they came; empty: none
	Due    rules.Time
	Work   rules.Time // told work of all threads; 0: not told
	Bytes  int        // of its statement
}

// EffectKind is what an Effect asks for.
type EffectKind uint8

// Kinds of effects.
const (
	Pass   EffectKind = iota + 1 // hand Slot to the module; it has waited for After
	Refuse                       // answer Slot with a refusal that names After, if over 0; it never passed, or TurnDown asked
	Evict                        // close Conn, with an error that names After, if over 0
	Breach                       // close Conn: its unfinished input is more than its part
	Wake                         // tell Tick at At; only the latest Wake counts
)

// Why says for what an Effect was chosen.
type Why uint8

// Reasons.
const (
	ForNothing  Why = iota
	ForRoom         // requests or bytes of statements are at their limit, and its principal holds most
	ForTime         // it can't be in time any more, or could not from the start
	ForConns        // connections are at their limit, and its principal holds most
	ForSilence      // connections are at their limit, and nothing was asked on it
	ForIgnoring     // it keeps coming before the time that it was told
	ForInput        // unfinished input is at its limit, and its principal holds most
	ForModule       // the module refused it
	whys        = iota
)

var whyNames = [whys]string{"nothing", "room", "time", "connections", "silence", "ignoring", "input", "module"}

func (w Why) String() string { return whyNames[w] }

// Effect is something to do.
type Effect struct {
	Kind  EffectKind
	Slot  int
	Conn  int
	After rules.Time
	At    rules.Time
	Why   Why
}

// Sizes bound the door.
type Sizes struct {
	Conns      int // slots of connections: over Room, and one more for who is turned away
	Room       int // connections that may ask; more may stay until they do, since it may be a KILL that comes
	Asks       int // requests
	Statements int // bytes of the statements of all requests
	Input      int // bytes of all unfinished packets
	State      int // bytes that remember principals which have nothing open
}

// Door is the door's whole state.
type Door struct {
	set     Settings
	sizes   Sizes
	classes []rules.Class
	who     *directory
	seed    uint64
	rng     *rand.Rand
	now     rules.Time
	out     []Effect
	woken   rules.Time // the Wake that holds
	lastDue rules.Time
	ending  bool

	asks   []ask
	conns  []conn
	late   lateHeap // of held requests, by when they are refused
	chains map[uint64]int32
	flows  []classFlow

	active   map[uint64]*tenant // with a connection or a request
	tenants  []*tenant          // the same, in no order
	spare    []*tenant
	spares   []*client
	virtual  float64 // where a tenant that comes back starts
	weights  float64 // of tenants that have something held
	epoch    uint64
	debts    table // of tenants that have left
	inner    table // of clients that have left a tenant that has not
	sketch   sketch
	open     int // connections
	taken    int // requests
	held     int // of these, those that have not passed
	bytes    int // of statements
	input    int // of unfinished packets
	weigher  []estimate
	capacity flowRate
	bias     float64 // log of time needed over time told
	pledges  pledges
	seq      uint64
	stats    Stats
}

// Stats count since the start, but for those that say now.
type Stats struct {
	Passed, Waited      int // requests that passed; of these, those that were held first
	Refused             [whys]int
	Evicted             [whys]int
	Told, Kept, Lost    int // promises that were given; those that came back and were served; those that were not
	NeededOverTold      float64
	Held, Open, Tenants int // now
	CapacityMS          float64
}

// New returns the door of a gateway that has just started. The seed must not
// be known to clients, or they could choose names that share a place.
func New(set Settings, sizes Sizes, classes []rules.Class, declared []string, seed uint64) *Door {
	d := &Door{set: set, sizes: sizes, classes: classes, seed: seed, lastDue: math.MaxInt64,
		rng:    rand.New(rand.NewPCG(seed, seed^0x6a09e667f3bcc909)),
		asks:   make([]ask, sizes.Asks),
		conns:  make([]conn, sizes.Conns),
		chains: make(map[uint64]int32, sizes.Asks),
		active: make(map[uint64]*tenant, sizes.Conns),
		flows:  make([]classFlow, len(classes)),
	}
	d.who = newDirectory(set, declared, seed)
	rows := sizes.State / 4
	d.debts, d.inner = newTable(rows), newTable(rows)
	d.sketch, d.pledges = newSketch(rows), newPledges(rows)
	for _, c := range classes {
		d.weigher = append(d.weigher, estimate{})
		d.weigher[len(d.weigher)-1].start(float64(c.LatencyObjective) / 2)
	}
	d.capacity.span = float64(capacitySpan)
	for i := range d.conns {
		d.conns[i].slot = int32(i)
	}
	for i := range d.asks {
		d.asks[i].slot, d.asks[i].lateAt = int32(i), -1
	}
	return d
}

// Handle takes one event and returns what to do. The result is valid until the next call.
func (d *Door) Handle(now rules.Time, e Event) []Effect {
	d.out = d.out[:0]
	d.now = max(d.now, now) // a clock that steps back stands still here
	switch e.Kind {
	case Opened:
		d.opened(e.Conn, e.From)
	case Closed:
		d.closed(&d.conns[e.Conn])
	case Idle:
		d.enlist(&d.conns[e.Conn], connIdle)
	case Input:
		d.unfinished(&d.conns[e.Conn], e.Bytes)
	case Asked:
		d.asked(e.Slot, e.Conn, e.Ask)
	case Sent:
		d.sent(&d.asks[e.Slot])
	case Spent:
		d.asks[e.Slot].spent += float64(e.Took) * d.threads(d.asks[e.Slot].class)
	case Done:
		d.done(&d.asks[e.Slot], e.Served)
	case TurnDown:
		a := &d.asks[e.Slot]
		d.refused(a, ForModule)
	case Retuned:
		d.retune(*e.Settings, e.Declared)
	case Stopping:
		d.stop(e.By)
	}
	d.pass()
	d.expire()
	d.pass() // what stood behind a key, or what no longer counts as ahead, left room
	d.wake()
	return d.out
}

func (d *Door) do(e Effect) { d.out = append(d.out, e) }

func (d *Door) threads(class int32) float64 { return float64(max(1, d.classes[class].Threads)) }

// Stats returns the counts.
func (d *Door) Stats() Stats {
	s := d.stats
	s.Held, s.Open, s.Tenants = d.held, d.open, len(d.tenants)
	s.NeededOverTold = math.Exp(d.bias)
	s.CapacityMS = d.capacity.rate(d.now) * float64(rules.Second) / float64(rules.Millisecond)
	return s
}

// stop brings all deadlines forward: who can't be served by then has its answer at once.
func (d *Door) stop(by rules.Time) {
	d.ending, d.lastDue = true, by
	for i := range d.asks {
		if a := &d.asks[i]; a.state == askChained || a.state == askQueued {
			a.due = min(a.due, by)
			a.latest = d.latest(a)
			d.late.fix(a)
		}
	}
}

// wake asks for a Tick when the next held request is to be refused or stops counting as ahead.
func (d *Door) wake() {
	at := rules.Time(math.MaxInt64)
	if len(d.late) > 0 {
		at = d.late[0].latest
	}
	for c := range d.flows {
		if f := &d.flows[c]; f.waiting() && f.ahead > 0 {
			at = min(at, f.stale)
		}
	}
	if at != math.MaxInt64 && at != d.woken {
		d.do(Effect{Kind: Wake, At: at})
	}
	d.woken = at
}
