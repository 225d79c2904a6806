package faultgateway

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/internal/transport"
	"foxlane/rules"
)

// Defects lists the defects that can be planted to test whether the soak detects them.
var Defects = []string{
	DefectDrainIgnored, DefectNonIdempotentTwice, DefectSentAfterDisconnect, DefectSlowStartOverload, DefectResponseLate, DefectClosedWithoutResponse, DefectWallClockDeadline,
	DefectSyncErrorIgnored, DefectSerialOnly, DefectListIgnoredAtStart, DefectBytesLeftInBuffer, DefectOlderList, DefectOrderKeyIgnored,
	DefectMemoryUncharged, DefectMemoryHeld, DefectPanic,
}

// Names of the defects that can be planted.
const (
	DefectDrainIgnored          = "drain_ignored"         // draining engines are treated as active
	DefectNonIdempotentTwice    = "unsafe_twice"          // a request that is not idempotent is sent to a second engine
	DefectSentAfterDisconnect   = "sent_after_gone"       // a request is sent after its client has disconnected
	DefectSlowStartOverload     = "cold_overload"         // engines that have just started get all requests but data loads
	DefectResponseLate          = "answer_late"           // some responses are delayed beyond their deadline
	DefectClosedWithoutResponse = "close_unanswered"      // some connections are closed in place of a response
	DefectWallClockDeadline     = "wall_deadline"         // deadlines follow the wall clock
	DefectSyncErrorIgnored      = "sync_ignored"          // a failed sync is treated as successful
	DefectSerialOnly            = "number_only"           // endpoint lists are ordered by serial number alone
	DefectListIgnoredAtStart    = "list_ignored_at_start" // endpoint lists are ignored for the first seconds
	DefectBytesLeftInBuffer     = "bytes_left"            // bytes stay in the buffer to a draining engine
	DefectOlderList             = "older_list"            // the endpoint list before the latest one is used
	DefectOrderKeyIgnored       = "key_twice"             // the order key of requests is ignored
	DefectMemoryUncharged       = "memory_uncharged"      // the memory that input takes is not limited
	DefectMemoryHeld            = "memory_held"           // 20 MB are held that nothing counts
	DefectPanic                 = "panic"                 // a goroutine panics after some hundred events
)

// ErrUnknownDefect is returned for a name that is not in Defects.
var ErrUnknownDefect = errors.New("faultgateway: unknown defect")

// withDefect plants a defect around the platform's reducer, or in the spool's folder. An empty name plants none.
func withDefect(name string, platform transport.Platform, clock *steppedClock) (transport.Platform, error) {
	if name == "" {
		return platform, nil
	}
	if !slices.Contains(Defects, name) {
		return platform, fmt.Errorf("%w %q", ErrUnknownDefect, name)
	}
	if name == DefectSyncErrorIgnored {
		open := platform.OpenFolder
		platform.OpenFolder = func(path string) (transport.Folder, error) {
			folder, err := open(path)
			if d, ok := folder.(*faultyFolder); ok {
				d.hideSyncErrors = true
			}
			return folder, err
		}
		return platform, nil
	}
	newReducer := platform.Reducer
	platform.Reducer = func(cfg config.Config, now rules.Time) transport.Reducer {
		if name == DefectMemoryUncharged {
			cfg.Limits.MaxInputBytes, cfg.Limits.ResultBufferBytes, cfg.Limits.EngineOutputBytes = unlimitedBytes, unlimitedBytes, unlimitedBytes
			cfg.Limits.ProcessBytes = unlimitedBytes // else the backstop would keep the process within its limit
			debug.SetMemoryLimit(unlimitedBytes)
		}
		return &defectiveReducer{Reducer: newReducer(cfg, now), name: name, clock: clock, engines: map[gateway.ConnID]bool{}, clients: map[gateway.ConnID]string{},
			requests: map[string]engineRequest{}, dials: map[gateway.ConnID]netip.AddrPort{}, coldUntil: map[netip.AddrPort]rules.Time{},
			highestSerial: cfg.InitialList.Seq, startedAt: now, draining: map[netip.AddrPort]bool{}}
	}
	return platform, nil
}

// defectiveReducer wraps a reducer and changes its events and effects according to a planted defect.
type defectiveReducer struct {
	transport.Reducer
	name      string
	clock     *steppedClock
	now       rules.Time
	engines   map[gateway.ConnID]bool   // open connections to engines
	clients   map[gateway.ConnID]string // id of the last request on each client connection
	requests  map[string]engineRequest  // requests sent to engines, by id
	dials     map[gateway.ConnID]netip.AddrPort
	coldUntil map[netip.AddrPort]rules.Time // engines that started recently, and the end of their overload
	delayed   []delayedEffect
	responses int
	effects   []gateway.Effect
	events    int      // passed to the reducer
	held      [][]byte // by DefectMemoryHeld

	highestSerial uint32     // of the endpoint lists so far
	startedAt     rules.Time // of the process
	lastList      *dns.Msg
	previousList  *dns.Msg // the list before lastList, with another serial number
	draining      map[netip.AddrPort]bool
}

// engineRequest is the text of a request and the engine connection that it was written to.
type engineRequest struct {
	conn gateway.ConnID
	text []byte
}

// delayedEffect is a write that is delayed until a time.
type delayedEffect struct {
	at     rules.Time
	effect *gateway.Write
}

// dialledBit is set in the ids of connections that the gateway has dialled, which are those to engines.
const dialledBit gateway.ConnID = 1 << 63

// faultyResponseInterval is the number of responses of which one is delayed or replaced by a close.
const faultyResponseInterval = 10

// unlimitedBytes is more than any gateway takes.
const unlimitedBytes = 1 << 40

// eventsUntilPanic is the number of events after which DefectPanic takes effect.
const eventsUntilPanic = 600

// countForPanic counts an event, and starts a goroutine that panics once enough are counted.
func (d *defectiveReducer) countForPanic() {
	if d.events++; d.name == DefectPanic && d.events == eventsUntilPanic {
		go panic("planted")
	}
}

// DefectMemoryHeld takes a block of heldBlock bytes with every heldInterval-th event, up to heldBlocks.
const (
	heldBlock    = 256 << 10
	heldBlocks   = 80
	heldInterval = 10
)

// holdMemory takes memory that nothing counts.
func (d *defectiveReducer) holdMemory() {
	if d.name == DefectMemoryHeld && d.events%heldInterval == 0 && len(d.held) < heldBlocks {
		d.held = append(d.held, bytes.Repeat([]byte{1}, heldBlock))
	}
}

// Step passes an event to the reducer, after the defect has changed or dropped it.
func (d *defectiveReducer) Step(now rules.Time, event gateway.Event) {
	d.now = now
	d.countForPanic()
	d.holdMemory()
	if d.name == DefectWallClockDeadline {
		now += rules.Time(d.clock.offset() / time.Microsecond)
	}
	switch e := event.(type) {
	case gateway.DialSucceeded:
		d.engines[e.Conn] = true
	case gateway.ConnectionClosed:
		delete(d.engines, e.Conn)
		if id := d.clients[e.Conn]; d.name == DefectSentAfterDisconnect && id != "" {
			if sent, ok := d.requests[id]; ok {
				d.delayed = append(d.delayed, delayedEffect{d.now + 400*rules.Millisecond, &gateway.Write{Conn: sent.conn, Data: sent.text}})
			}
		}
		delete(d.clients, e.Conn)
	case *gateway.DataReceived:
		if d.name == DefectOrderKeyIgnored && e.Conn&dialledBit == 0 {
			e = &gateway.DataReceived{Conn: e.Conn, Data: bytes.ReplaceAll(e.Data, []byte("subject="), []byte("subjekt="))}
			event = e
		}
		if _, after, ok := bytes.Cut(e.Data, []byte("req=")); ok && e.Conn&dialledBit == 0 && len(after) >= 16 {
			d.clients[e.Conn] = string(after[:16])
		}
	case gateway.WriteBlocked:
		if d.name == DefectMemoryUncharged {
			return
		}
	case gateway.DNSResponse:
		changed, err := d.rewriteList(e.Data)
		if errors.Is(err, errDropped) {
			return
		}
		if err == nil {
			e.Data = changed
			event = e
		}
	}
	d.Reducer.Step(now, event)
}

// overloadCold also sends a request to all engines that started less than coldOverloadPeriod ago.
func (d *defectiveReducer) overloadCold(text []byte) {
	for conn := range d.engines {
		if until, ok := d.coldUntil[d.dials[conn]]; ok && d.now < until {
			d.effects = append(d.effects, &gateway.Write{Conn: conn, Data: text})
		}
	}
}

// Flush returns the reducer's effects as changed by the defect, and the delayed effects that are due.
func (d *defectiveReducer) Flush() []gateway.Effect {
	d.effects = d.effects[:0]
	for _, effect := range d.Reducer.Flush() {
		d.applyToEffect(effect)
	}
	pending := d.delayed[:0]
	for _, write := range d.delayed {
		if write.at <= d.now {
			d.effects = append(d.effects, write.effect)
		} else {
			pending = append(pending, write)
		}
	}
	d.delayed = pending
	return d.effects
}

// applyToEffect applies the defect to an effect, and adds the result to the effects of this Flush.
func (d *defectiveReducer) applyToEffect(effect gateway.Effect) {
	switch e := effect.(type) {
	case *gateway.Write:
		d.applyToWrite(e)
		return
	case *gateway.SetTimer:
		if d.name == DefectWallClockDeadline {
			effect = &gateway.SetTimer{At: e.At - rules.Time(d.clock.offset()/time.Microsecond)}
		}
	case gateway.Dial:
		d.dials[e.Conn] = e.Addr
	}
	d.effects = append(d.effects, effect)
}

// applyToWrite applies the defect to a write to a client or to an engine.
func (d *defectiveReducer) applyToWrite(effect *gateway.Write) {
	toEngine := effect.Conn&dialledBit != 0
	if toEngine && d.name == DefectBytesLeftInBuffer {
		d.delayed = append(d.delayed, delayedEffect{d.now + writeDelay, cloneWrite(effect)})
		return
	}
	if toEngine {
		d.effects = append(d.effects, effect)
		d.recordRequests(effect)
		return
	}
	if !isResponse(effect.Data) || d.clients[effect.Conn] == "" {
		d.effects = append(d.effects, effect)
		return
	}
	d.responses++
	switch {
	case d.responses%faultyResponseInterval != 0:
		d.effects = append(d.effects, effect)
	case d.name == DefectResponseLate:
		d.delayed = append(d.delayed, delayedEffect{d.now + 5*rules.Second, cloneWrite(effect)})
	case d.name == DefectClosedWithoutResponse:
		d.effects = append(d.effects, gateway.CloseConnection{Conn: effect.Conn})
	default:
		d.effects = append(d.effects, effect)
	}
}

// cloneWrite copies a write, so that it remains valid after the next Step.
func cloneWrite(w *gateway.Write) *gateway.Write {
	return &gateway.Write{Conn: w.Conn, Data: bytes.Clone(w.Data)}
}

// isResponse reports whether a write to a client begins with a result set or an error, not a greeting or an OK.
func isResponse(data []byte) bool { return len(data) > 4 && data[3] == 1 && data[4] != 0 }

// recordRequests records the requests in a write to an engine. Some defects also send them to other engines.
func (d *defectiveReducer) recordRequests(effect *gateway.Write) {
	for _, line := range bytes.SplitAfter(effect.Data, []byte("\r\n")) {
		words := strings.Fields(string(line))
		if len(words) != 4 || words[0] != "ASK" {
			continue
		}
		i := bytes.Index(effect.Data, line)
		text, err := cutRequest(effect.Data[i:], words[3])
		if err != nil {
			continue
		}
		text = bytes.Clone(text)
		d.requests[words[1]] = engineRequest{effect.Conn, text}
		if d.name == DefectSlowStartOverload && !strings.Contains(words[2], "lane=load") {
			d.overloadCold(text)
		}
		if d.name != DefectNonIdempotentTwice || !strings.Contains(words[2], "lane=load") {
			continue
		}
		for conn := range d.engines {
			if conn != effect.Conn {
				d.delayed = append(d.delayed, delayedEffect{d.now + 50*rules.Millisecond, &gateway.Write{Conn: conn, Data: bytes.Clone(text)}})
				break
			}
		}
	}
}

var errIncompleteRequest = errors.New("faultgateway: incomplete request")

// cutRequest returns the request at the start of data, whose body has the given length in decimal.
func cutRequest(data []byte, length string) ([]byte, error) {
	var n int
	if _, err := fmt.Sscan(length, &n); err != nil {
		return nil, err
	}
	end := bytes.Index(data, []byte("\r\n")) + 2 + n + 2
	if n < 0 || end > len(data) {
		return nil, errIncompleteRequest
	}
	return data[:end], nil
}
