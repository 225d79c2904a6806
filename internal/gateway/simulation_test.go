package gateway

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"flag"
	"fmt"
	"iter"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"testing"

	"foxlane/internal/config"
	"foxlane/internal/minheap"
	"foxlane/internal/spool"
	"foxlane/internal/spool/segment"
	"foxlane/internal/standin"
	"foxlane/rules"
)

// simulation runs one reducer with simulated clients, engines and a name service on a fake clock. It keeps its own
// record of the requests and checks the seven rules only by the bytes that clients and engines see:
//
//  1. Each request gets one answer by its deadline, or none if its client has disconnected or killed it. After that
//     the request reaches no engine once maxStartAfterLeave has passed.
//  2. Attempts of one request never run in parallel. A request that may have run is retried or rejected only if
//     running it again is safe.
//  3. An engine that drains or was removed gets no requests from 1 s after the notification.
//  4. An engine in slow start gets at most its budget of work.
//  5. Requests with the same key are sent in order.
//  6. Requests are sent only to the zones that their class allows.
//  7. Retries stay within the retry budget.
type simulation struct {
	t                 *testing.T
	g                 *Gateway
	rng               *rand.Rand
	now               rules.Time
	start             rules.Time
	queue             minheap.Heap[simEvent, *simEvent]
	eventSeq          int
	wakeAt            rules.Time // when the latest SetTimer fires; 0: not set
	faultRate         float64    // scales the probability of each fault; 0: no faults
	conns             map[ConnID]*simConn
	lastConn          ConnID     // ID of the last client connection
	idleClients       []*simConn // clients without a request
	engines           map[string]*simEngine
	serial            uint32 // of the endpoint list
	requestsByID      map[string]*simRequest
	requests          []*simRequest
	retryTimes        []rules.Time
	violations        []string // violations of the seven rules
	attemptsReceived  int      // attempts that reached an engine
	served            int      // results received by clients
	rejected          int
	failed            int
	exited            bool
	shutdownAt        rules.Time           // when the shutdown was requested; 0: not yet
	badClientsEnded   int                  // bad clients that got an error or were closed
	malformedAnswers  int                  // malformed answers sent by engines
	nextClientAddr    func() netip.Addr    // returns the next client's address; nil: addresses are unknown
	reloadChange      func(*config.Config) // changes the configuration at a reload; nil: no change
	diskRecords       [][]byte             // records on the spool's disk
	commandAnswers    []string             // answers to operator commands
	localExhaustion   bool                 // all dials fail because a local resource is exhausted
	localDialFailures int                  // dials that failed because of localExhaustion
	lastReadAt        rules.Time           // when the last event that arrived during a pause is read
	pausedUntil       rules.Time           // the gateway's process is paused until this time
	clockSkew         rules.Time           // how far the wall clock was stepped ahead
	onEffect          func(Effect)         // called with each effect before its execution; may be nil
}

var (
	firstSeed = flag.Uint64("seed", 0, "first seed of the randomized tests")
	seedCount = flag.Uint64("seeds", 0, "number of seeds of the randomized tests; 0: each test's default")
)

// seeds yields the seeds of a randomized test. The flag -seeds overrides the default count.
func seeds(defaultCount uint64) iter.Seq[uint64] {
	count := cmp.Or(*seedCount, defaultCount)
	return func(yield func(uint64) bool) {
		for i := range count {
			if !yield(*firstSeed + i) {
				return
			}
		}
	}
}

// simEvent is a scheduled action of the simulation.
type simEvent struct {
	at     rules.Time
	seq    int // orders events of the same time as they were scheduled
	action func()
}

// Before orders events by time, then in the order in which they were scheduled.
func (e *simEvent) Before(other *simEvent) bool {
	return e.at < other.at || e.at == other.at && e.seq < other.seq
}

// simConn is the client's or engine's end of a connection.
type simConn struct {
	id                ConnID
	session           uint32 // session ID, known after the greeting
	client            bool
	input             []byte // received and not read yet
	loggedIn          bool
	sendsInvalidInput bool // such a client is called bad
	replyDue          bool // the bad client must still get an error or be closed
	request           *simRequest
	engine            *simEngine
	inFlight          map[string]*simAttempt // of an engine connection, by request ID
	closed            bool
	written           int64      // bytes that the operating system accepted from the gateway
	delay             rules.Time // network delay to the engine; 0 for clients
}

// simEngine is a simulated engine.
type simEngine struct {
	host            standin.Host
	delisted        bool        // removed from the endpoint list
	refusing        bool        // refuses new connections
	silent          bool        // accepts and sends nothing
	notifiedAt      rules.Time  // when the gateway was notified that it drains or was removed
	slowStartSince  rules.Time  // when its process restarted; 0: it has not
	slowStartSends  []timedWork // attempts that reached it since the restart
	startNotifiedAt rules.Time  // when the gateway was notified of the restart
	slowStartTrace  []string    // its events since the restart, reported with a violation of rule 4
}

// timedWork is work that reached an engine at a time.
type timedWork struct {
	at   rules.Time
	work float64
}

// simRequest is a request as its client sees it.
type simRequest struct {
	id               string
	client           *simConn
	class            int
	key              string
	sentAt           rules.Time
	deadline         rules.Time
	work             rules.Time
	attempts         []*simAttempt
	answers          int // final answers
	killed           bool
	clientLeft       bool       // the client closed its connection
	leftAt           rules.Time // when the client disconnected or killed its query; 0: it has not
	finished         bool
	quarantinedUntil rules.Time // end of the quarantine of its key
}

// simAttempt is an attempt that has reached an engine.
type simAttempt struct {
	request    *simRequest
	engine     *simEngine
	conn       *simConn
	receivedAt rules.Time
	ended      bool
	neverRan   bool // it is known that the attempt never ran
	pages      []string
}

const simSettings = `{"classes":[
 {"name":"point","aim":200000,"aimStretch":1.5,"giveUp":800000,"effect":"pure","group":"all","lateValue":0.1,"worth":1},
 {"name":"report","aim":500000,"aimStretch":2.5,"giveUp":3000000,"effect":"pure","group":"all","lateValue":0.4,"worth":20,"staysIn":[1]},
 {"name":"load","aim":1300000,"aimStretch":3,"giveUp":4000000,"effect":"side_effect","group":"all","lateValue":0.6,"worth":25},
 {"name":"note","aim":500000,"aimStretch":1,"giveUp":2000000,"effect":"token","group":"zone","dedupWindow":1500000,"worth":2},
 {"name":"line","aim":500000,"aimStretch":1,"giveUp":2000000,"effect":"pure","group":"all","worth":2,"serialByKey":true}],
"extra":{"classThreads":[1,4,2,1,1],"cpuOfKind":[16],"ramOfKindMb":[65536],"isLoad":[false,false,true,false,false],"mostGrant":0.4,
 "takesGrants":true,"ranksHeeded":true,"tellsCost":true},
"limits":{"cancel":true,"connIdle":3000000,"connectTimeout":250000,"maxAttempts":3,"maxOpen":20000,"multiplex":4,"parallelTries":false,"probes":true,"retryAfter":true},
"machineTypes":["std-16"],"membershipMode":"push","report":{"fields":["queue"],"how":"piggyback"},
"rules":{"answerSlack":5000,"cold":4000000,"coldFrom":0.3,"overloadFactor":2,"tipAfter":1000000,"stopSendingWithin":1000000,
 "extraPerRequest":0.2,"freeResends":3,"lookBack":2000000,"keyRest":300000},
"siblings":1,"tick":1000,"zones":["hall-a","hall-b"]}`

var simClasses = []struct {
	name       string
	maxTimeout rules.Time
	work       rules.Time
	threads    rules.Time
}{
	{"point", 800 * rules.Millisecond, 20 * rules.Millisecond, 1},
	{"report", 3 * rules.Second, 600 * rules.Millisecond, 4},
	{"load", 4 * rules.Second, 800 * rules.Millisecond, 2},
	{"note", 2 * rules.Second, 30 * rules.Millisecond, 1},
	{"line", 2 * rules.Second, 30 * rules.Millisecond, 1},
}

const (
	classLoad   = 2
	classNote   = 3
	timingSlack = 5*rules.Millisecond + 50*rules.Millisecond // answerSlack of the settings, plus a margin for sockets
)

// simConfig parses a configuration file with simSettings and the given engines.
func simConfig(t testing.TB, engines []standin.Host) config.Config {
	var servers []string
	for _, host := range engines {
		servers = append(servers, fmt.Sprintf(`{"id":%q,"addr":%q,"zone":%q,"kind":%q,"state":"active","weight":4}`,
			host.ID, host.Addr, host.Zone, host.Kind))
	}
	c, err := config.Parse([]byte(`{"name":"n0","listen":"127.0.0.1:7001","seed":"8c1f30d27a5be964",
		"limits":{"cores":1,"memory_mb":192,"sockets":1024},"dns":"127.0.0.1:5300",
		"known":{"seq":1,"results":[{"seq":1,"fleet":{"version":1,"full":true,"servers":[` + strings.Join(servers, ",") + `]}}]},
		"settings":` + simSettings + `}`))
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func newSimulation(t *testing.T, seed uint64, faultRate float64) *simulation {
	return newSimulationWith(t, seed, faultRate, nil)
}

// newSimulationWith returns a simulation with four engines in two zones. If modify is not nil, it changes the
// configuration first.
func newSimulationWith(t *testing.T, seed uint64, faultRate float64, modify func(*config.Config)) *simulation {
	sim := &simulation{t: t, rng: rand.New(rand.NewPCG(seed, 7)), now: 1_700_000_000 * rules.Second, faultRate: faultRate, serial: 1,
		conns: map[ConnID]*simConn{}, engines: map[string]*simEngine{}, requestsByID: map[string]*simRequest{}}
	sim.start = sim.now
	var hosts []standin.Host
	for i := range 4 {
		host := standin.Host{ID: fmt.Sprintf("s-%08x", i), Zone: []string{"hall-a", "hall-b"}[i%2], Kind: "std-16", Weight: 4,
			Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, 1, byte(i + 1)}), 7001)}
		hosts = append(hosts, host)
		sim.engines[host.ID] = &simEngine{host: host}
	}
	cfg := simConfig(t, hosts)
	if modify != nil {
		modify(&cfg)
	}
	sim.g = New(cfg, sim.now)
	sim.executeEffects()
	return sim
}

// schedule runs do after delay.
func (sim *simulation) schedule(delay rules.Time, action func()) {
	sim.eventSeq++
	sim.queue.Push(simEvent{sim.now + delay, sim.eventSeq, action})
}

// reportViolations fails the test with the first five violations of the rules, if there are any.
func (sim *simulation) reportViolations() {
	sim.t.Helper()
	for _, text := range sim.violations[:min(len(sim.violations), 5)] {
		sim.t.Error(text)
	}
}

// addViolation records a violation of one of the seven rules.
func (sim *simulation) addViolation(rule int, format string, args ...any) {
	sim.violations = append(sim.violations, fmt.Sprintf("rule %d at %d ms: %s", rule, (sim.now-sim.start)/rules.Millisecond, fmt.Sprintf(format, args...)))
}

// step passes an event to the gateway, after the pause if its process is paused.
func (sim *simulation) step(event Event) {
	if sim.exited {
		return
	}
	if sim.now < sim.pausedUntil { // the event waits in the operating system and is read after the process resumes
		event = cloneData(event)
		sim.lastReadAt = max(sim.lastReadAt, sim.pausedUntil) + readAfterPause
		sim.schedule(sim.lastReadAt-sim.now, func() { sim.step(event) })
		return
	}
	switch e := event.(type) {
	case ConnectionAccepted:
		if sim.nextClientAddr != nil {
			e.From = sim.nextClientAddr()
		}
		event = e
	case DNSResponse:
		e.ClockSkew = sim.clockSkew
		event = e
	case ConfigReloaded:
		e.ClockSkew = sim.clockSkew
		event = e
	}
	sim.g.Step(sim.now, event)
	sim.executeEffects()
}

// cloneData returns an event whose data stays valid after the caller reuses its buffer.
func cloneData(event Event) Event {
	switch e := event.(type) {
	case *DataReceived:
		return &DataReceived{Conn: e.Conn, Data: bytes.Clone(e.Data)}
	case DNSResponse:
		e.Data = bytes.Clone(e.Data)
		return e
	case PeerEvent:
		e.Data = bytes.Clone(e.Data)
		return e
	case ControlRequest:
		e.Data = bytes.Clone(e.Data)
		return e
	}
	return event
}

// readAfterPause is the time in microseconds that the process takes to read each event that arrived during a pause.
// Timers fire first; the last event is read late if many have arrived or other processes compete for the processor.
const readAfterPause = 300

// pauseProcess stops the gateway's process for a duration.
func (sim *simulation) pauseProcess(duration rules.Time) { sim.pausedUntil = sim.now + duration }

// run plays scheduled events and the gateway's timers up to the time until.
func (sim *simulation) run(until rules.Time) {
	for !sim.exited {
		at := until
		if len(sim.queue) > 0 {
			at = min(at, sim.queue[0].at)
		}
		if sim.wakeAt != 0 {
			sim.wakeAt = max(sim.wakeAt, sim.pausedUntil)
		}
		if sim.wakeAt != 0 && sim.wakeAt <= at {
			sim.now, sim.wakeAt = max(sim.now, sim.wakeAt), 0
			sim.step(TimerFired{})
			continue
		}
		sim.now = max(sim.now, at)
		if len(sim.queue) == 0 || sim.queue[0].at > until {
			return
		}
		sim.queue.Pop().action()
	}
}

// executeEffects executes the gateway's pending effects.
func (sim *simulation) executeEffects() {
	for _, effect := range sim.g.Flush() {
		if sim.onEffect != nil {
			sim.onEffect(effect)
		}
		switch effect := effect.(type) {
		case *Write:
			conn := sim.conns[effect.Conn]
			if conn == nil || conn.closed {
				continue
			}
			conn.written += int64(len(effect.Data))
			if conn.client {
				conn.input = append(conn.input, effect.Data...)
				sim.readClientInput(conn)
				continue
			}
			sim.checkWritten(conn.engine, effect.Data)
			data := bytes.Clone(effect.Data)
			sim.schedule(conn.delay, func() {
				if !conn.closed {
					conn.input = append(conn.input, data...)
					sim.readEngineInput(conn)
				}
			})
		case CloseConnection:
			conn := sim.conns[effect.Conn]
			if conn == nil || conn.closed {
				continue
			}
			if conn.client {
				sim.endConn(conn, false)
				continue
			}
			sim.schedule(conn.delay, func() { // after the pending writes
				if !conn.closed {
					sim.endConn(conn, false)
				}
			})
		case Dial:
			sim.dial(effect)
		case QueryDNS:
			sim.answerNameQuery(effect.Data)
		case *SetTimer:
			sim.wakeAt = effect.At
		case SubmitSpool:
			sim.submitDisk(effect.Effect)
		case NotifyDrained:
			sim.schedule(sim.randomLatency(), func() { sim.step(WriteDrained(effect)) })
		case PersistVoterLog:
			sim.schedule(sim.randomLatency(), func() { sim.step(VoterLogPersisted{}) })
		case ControlResponse:
			sim.commandAnswers = append(sim.commandAnswers, string(effect.Data))
		case Exit:
			sim.exited = true
		}
	}
}

// submitDisk executes a disk operation of the spool after a delay. A fraction of the operations fails.
func (sim *simulation) submitDisk(effect spool.DiskEffect) {
	fails := sim.chance(0.02)
	sim.schedule(sim.randomLatency(), func() {
		var events []spool.Event
		switch effect := effect.(type) {
		case spool.WriteRecord:
			location := spool.Location{Segment: 1, Offset: int64(len(sim.diskRecords)), Size: int32(segment.RecordSize(len(effect.Data)))}
			sim.diskRecords = append(sim.diskRecords, bytes.Clone(effect.Data))
			events = append(events, spool.RecordWritten{ID: effect.ID, Record: effect.Record, Index: effect.Index, Location: location, Failed: fails})
			if effect.Record == segment.Seal && !fails {
				events = append(events, spool.ResultSynced{ID: effect.ID})
			}
		case spool.LoadChunk:
			events = append(events, spool.ChunkLoaded{Reader: effect.Reader, Index: effect.Index, Data: sim.diskRecords[effect.Location.Offset], Failed: fails})
		default:
			return
		}
		sim.step(SpoolCompleted{Events: events})
	})
}

// chance returns true with probability p, scaled by the fault rate.
func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p*sim.faultRate }

func (sim *simulation) randomLatency() rules.Time { return rules.Time(100 + sim.rng.IntN(1500)) }

// answerNameQuery answers a name service query with the current list. At times the answer is lost, corrupt or late.
func (sim *simulation) answerNameQuery(query []byte) {
	if sim.chance(0.3) {
		return // lost
	}
	var hosts []standin.Host
	for i := range len(sim.engines) {
		if engine := sim.engines[fmt.Sprintf("s-%08x", i)]; !engine.delisted {
			hosts = append(hosts, engine.host)
		}
	}
	msg := standin.EncodeAnswer(binary.BigEndian.Uint16(query), "_data._tcp.farm.lan", sim.serial, hosts)
	serial := sim.serial
	if sim.chance(0.1) { // forged, corrupt or truncated
		msg[sim.rng.IntN(12)] ^= 1 << sim.rng.IntN(8)
		msg = msg[:1+sim.rng.IntN(len(msg))]
		serial = 0
	}
	delay := sim.randomLatency()
	if sim.chance(0.1) {
		delay += 400 * rules.Millisecond
	}
	sim.schedule(delay, func() {
		if serial == sim.serial { // the answer notifies the gateway of the current list
			for _, host := range hosts {
				if engine := sim.engines[host.ID]; engine.startNotifiedAt == 0 && engine.slowStartSince != 0 && host.Started == engine.host.Started {
					engine.startNotifiedAt = sim.now
					sim.traceSlowStart(engine, "the list with its start time reaches the gateway")
				}
			}
			for _, engine := range sim.engines {
				if engine.notifiedAt == 0 && (engine.delisted || engine.host.Draining) {
					engine.notifiedAt = sim.now
				}
			}
		}
		sim.step(DNSResponse{Data: msg})
	})
}

// dial connects to the engine at the address, unless it refuses connections or is silent.
func (sim *simulation) dial(effect Dial) {
	var engine *simEngine
	for _, other := range sim.engines {
		if other.host.Addr == effect.Addr {
			engine = other
		}
	}
	id := effect.Conn
	switch {
	case sim.localExhaustion:
		sim.localDialFailures++
		sim.schedule(sim.randomLatency(), func() { sim.step(DialFailed{Conn: id, Err: errLocalExhaustion, Local: true}) })
	case engine == nil || engine.refusing:
		sim.schedule(sim.randomLatency(), func() { sim.step(DialFailed{Conn: id, Err: fmt.Errorf("refused")}) })
	case engine.silent:
		sim.schedule(effect.Timeout, func() { sim.step(DialFailed{Conn: id, Err: fmt.Errorf("timeout")}) })
	default:
		conn := &simConn{id: id, engine: engine, inFlight: map[string]*simAttempt{}, delay: sim.randomLatency()}
		sim.conns[id] = conn
		sim.schedule(2*conn.delay, func() {
			if !sim.conns[id].closed {
				sim.step(DialSucceeded{Conn: id})
			}
		})
	}
}

// readEngineInput handles the complete lines that an engine has received on a connection.
func (sim *simulation) readEngineInput(conn *simConn) {
	for {
		line, rest, ok := bytes.Cut(conn.input, []byte("\r\n"))
		if !ok {
			return
		}
		words := strings.Fields(string(line))
		if len(words) < 2 {
			sim.t.Fatalf("engine received malformed line %q", line)
		}
		switch words[0] {
		case "ASK":
			n, err := strconv.Atoi(words[3])
			if err != nil {
				sim.t.Fatalf("engine received malformed line %q", line)
			}
			if len(rest) < n+2 {
				return
			}
			sim.receiveAsk(conn, words[1], words[2], string(rest[:n]))
			rest = rest[n+2:]
		case "QUIT", "FREE":
			if attempt := conn.inFlight[words[1]]; attempt != nil {
				sim.interruptAttempt(attempt)
				delete(conn.inFlight, words[1])
			}
		case "INFO":
			sim.respond(conn, words[1]+" green - 0\r\n\r\n", nil)
		case "NEXT":
			if attempt := conn.inFlight[words[1]]; attempt != nil {
				n, _ := strconv.Atoi(words[2])
				sim.respond(conn, fmt.Sprintf("%s rows index=%d %d\r\n%s\r\n", words[1], n, len(attempt.pages[n]), attempt.pages[n]), func() {
					if n == len(attempt.pages)-1 {
						sim.endAttempt(attempt, false)
					}
				})
			}
		}
		conn.input = rest
	}
}

// endAttempt ends an attempt that its engine has answered. neverRan is set if the answer proves that it never ran.
func (sim *simulation) endAttempt(attempt *simAttempt, neverRan bool) {
	if attempt.ended {
		return
	}
	attempt.ended, attempt.neverRan = true, neverRan
}

// interruptAttempt ends an attempt that may still run on its engine, so its key is quarantined.
func (sim *simulation) interruptAttempt(attempt *simAttempt) {
	if !attempt.ended {
		attempt.ended, attempt.request.quarantinedUntil = true, sim.now+300*rules.Millisecond
	}
}

// respond sends an engine's answer after a delay. It calls onSend, which may be nil, before the gateway receives it.
func (sim *simulation) respond(conn *simConn, text string, onSend func()) {
	sim.schedule(sim.randomLatency(), func() {
		if conn.closed || conn.engine.silent {
			return
		}
		if onSend != nil {
			onSend()
		}
		if cut := sim.rng.IntN(len(text)); sim.chance(0.5) { // split into two reads
			sim.step(&DataReceived{Conn: conn.id, Data: []byte(text[:cut])})
			text = text[cut:]
		}
		if !conn.closed {
			sim.step(&DataReceived{Conn: conn.id, Data: []byte(text)})
		}
	})
}

// parseTTL returns how long an engine may run a request, from the fields of its ASK line.
func parseTTL(fields string) rules.Time {
	for _, f := range strings.Split(fields, ",") {
		if text, ok := strings.CutPrefix(f, "ttl="); ok {
			ms, _ := strconv.Atoi(text)
			return rules.Time(ms) * rules.Millisecond
		}
	}
	return 0
}

// maxStartAfterLeave is the maximum time between a client's departure and the arrival of its request at an engine,
// including the network delay.
const maxStartAfterLeave = 100*rules.Millisecond + 5*rules.Millisecond

// receiveAsk handles a request that has reached an engine: it checks the attempt, and answers or fails it later.
func (sim *simulation) receiveAsk(conn *simConn, id, fields, statement string) {
	req, engine := sim.requestsByID[id], conn.engine
	if req == nil {
		sim.t.Fatalf("engine received request %s, which no client sent", id)
	}
	if !strings.Contains(statement, "WHERE tag = '"+id+"'") || !strings.Contains(fields, "lane="+simClasses[req.class].name) {
		sim.t.Fatalf("request %s reached the engine as %s %q", id, fields, statement)
	}
	sim.checkSend(req, engine)
	if req.leftAt != 0 && sim.now > req.leftAt+maxStartAfterLeave {
		sim.addViolation(1, "%s reached an engine %d ms after its client had gone", req.id, (sim.now-req.leftAt)/rules.Millisecond)
	}
	if req.client == nil || req.client.sendsInvalidInput {
		sim.t.Fatalf("engine received request %s of a bad client", id)
	}
	if remaining := req.deadline - sim.now; parseTTL(fields) > remaining+150*rules.Millisecond+timingSlack {
		sim.addViolation(1, "%s reached an engine with %d ms to run, and its client waits for %d ms", req.id, parseTTL(fields)/rules.Millisecond, remaining/rules.Millisecond)
	}
	attempt := &simAttempt{request: req, engine: engine, conn: conn, receivedAt: sim.now}
	req.attempts = append(req.attempts, attempt)
	sim.attemptsReceived++
	conn.inFlight[id] = attempt
	if engine.silent || sim.chance(0.02) {
		return // the attempt is never answered
	}
	runTime := rules.Time(float64(req.work/simClasses[req.class].threads) * (0.9 + 0.4*sim.rng.Float64()))
	if sim.chance(0.05) {
		runTime *= 20
	}
	sim.schedule(runTime, func() {
		if attempt.ended || conn.closed {
			return
		}
		status, draw := "served", sim.rng.Float64()
		switch {
		case sim.faultRate == 0 || draw > 0.16:
		case draw < 0.04:
			status = "overload"
		case draw < 0.08:
			status = "crashed"
		case draw < 0.09:
			status = "nobody"
		case draw < 0.14:
			sim.malformedAnswers++
			sim.respond(conn, sim.malformedAnswer(id), nil)
			return
		case draw < 0.15:
			sim.respond(conn, id+" rows index=3 0\r\n\r\n", func() { sim.endAttempt(attempt, false) })
			return
		default:
			sim.endConn(conn, true)
			return
		}
		if status != "served" {
			sim.respond(conn, id+" "+status+" - 0\r\n\r\n", func() { sim.endAttempt(attempt, status != "crashed") })
			return
		}
		for range 1 + sim.rng.IntN(3) {
			attempt.pages = append(attempt.pages, fmt.Sprintf("%s\tpage\t%d\n", id, len(attempt.pages)))
		}
		text := fmt.Sprintf("%s served total=%d,elapsed=%d,rss=64,rep=queue:0 %d\r\n%s\r\n", id, len(attempt.pages),
			req.work/rules.Millisecond, len(attempt.pages[0]), attempt.pages[0])
		if sim.chance(0.05) { // with an answer to an unknown request, and a duplicate
			text = "ffffffffffffffff served total=1 6\r\n9\t9\t9\n\r\n" + text + text
		}
		sim.respond(conn, text, func() {
			if len(attempt.pages) == 1 {
				sim.endAttempt(attempt, false)
			}
		})
	})
}

// malformedAnswer returns an answer that is malformed, inconsistent or incomplete.
func (sim *simulation) malformedAnswer(id string) string {
	return []string{
		id + " served total=2,elapsed=x 0\r\n\r\n",
		id + " served total=1 3221225472\r\n1\t2\t3\n",
		id + " served total=1 600\r\n1\t2",
		id + " served total=1,elapsed=1e30 0\r\n\r\n",
		id + " served total=1 4\r\n1\t2\t3\n\r\n",
		id + " served total=1 4\r\n1\t2\n\r\n",
		id + " ser",
		"\x00\x17\xff\x80 served",
		strings.Repeat("x", 3000),
	}[sim.rng.IntN(9)]
}

// endConn ends a connection that was closed by the client or engine (byPeer), or by the gateway.
func (sim *simulation) endConn(conn *simConn, byPeer bool) {
	conn.closed = true
	if conn.replyDue {
		conn.replyDue = false
		sim.badClientsEnded++
	}
	for _, attempt := range conn.inFlight {
		sim.interruptAttempt(attempt)
	}
	if req := conn.request; conn.client && req != nil && !req.finished {
		if byPeer {
			req.clientLeft, req.finished, req.leftAt = true, true, sim.now
		} else if !req.killed {
			sim.addViolation(1, "the connection of %s ended without an answer", req.id)
		}
	}
	sim.schedule(sim.randomLatency(), func() { sim.step(ConnectionClosed{Conn: conn.id, AcceptedBytes: conn.written}) })
}
