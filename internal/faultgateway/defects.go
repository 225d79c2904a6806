package faultgateway

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/internal/transport"
	"foxlane/rules"
)

// Defects are the names of the defects that can be planted, to see whether the soak detects them.
var Defects = []string{
	DefectDrainIgnored, DefectNonIdempotentTwice, DefectSentAfterDisconnect, DefectSlowStartOverload, DefectResponseLate, DefectClosedWithoutResponse, DefectWallClockDeadline,
	DefectSyncErrorIgnored, DefectSerialOnly, DefectListIgnoredAtStart, DefectBytesLeftInBuffer, DefectOlderList, DefectOrderKeyIgnored,
}

// Defects that can be planted.
const (
	DefectDrainIgnored          = "drain_ignored"         // draining engines look active
	DefectNonIdempotentTwice    = "unsafe_twice"          // a request that is not idempotent is sent to a second engine
	DefectSentAfterDisconnect   = "sent_after_gone"       // a request is sent after its client has disconnected
	DefectSlowStartOverload     = "cold_overload"         // engines that have just started receive all requests
	DefectResponseLate          = "answer_late"           // some responses are delayed beyond their deadline
	DefectClosedWithoutResponse = "close_unanswered"      // some connections are closed in place of a response
	DefectWallClockDeadline     = "wall_deadline"         // deadlines follow the wall clock
	DefectSyncErrorIgnored      = "sync_ignored"          // a sync that failed is taken as done
	DefectSerialOnly            = "number_only"           // lists are told apart by their serial number alone
	DefectListIgnoredAtStart    = "list_ignored_at_start" // for the first seconds of the process
	DefectBytesLeftInBuffer     = "bytes_left"            // in a write buffer to an engine that drains
	DefectOlderList             = "older_list"            // the list before the last one is taken
	DefectOrderKeyIgnored       = "key_twice"             // the key of ordered requests is not read
)

// ErrUnknownDefect is the error of a name that is not in Defects.
var ErrUnknownDefect = errors.New("faultgateway: unknown defect")

// withDefect puts a defect between sockets and reducer, or into the folder of results.
func withDefect(name string, p transport.Platform, clock *steppedClock) (transport.Platform, error) {
	if name == "" {
		return p, nil
	}
	if !slices.Contains(Defects, name) {
		return p, fmt.Errorf("%w %q", ErrUnknownDefect, name)
	}
	if name == DefectSyncErrorIgnored {
		open := p.OpenFolder
		p.OpenFolder = func(path string) (transport.Folder, error) {
			folder, err := open(path)
			if d, ok := folder.(*faultyFolder); ok {
				d.hideSyncErrors = true
			}
			return folder, err
		}
		return p, nil
	}
	newReducer := p.Reducer
	p.Reducer = func(cfg config.Config, now rules.Time) transport.Reducer {
		return &defectiveReducer{Reducer: newReducer(cfg, now), name: name, clock: clock, engines: map[gateway.ConnID]bool{}, clients: map[gateway.ConnID]string{},
			requests: map[string]engineRequest{}, dials: map[gateway.ConnID]netip.AddrPort{}, coldUntil: map[netip.AddrPort]rules.Time{},
			highestSerial: cfg.InitialList.Seq, startedAt: now, draining: map[netip.AddrPort]bool{}}
	}
	return p, nil
}

// defectiveReducer is a reducer with a planted defect: it changes the events that reach the reducer, and its effects.
type defectiveReducer struct {
	transport.Reducer
	name      string
	clock     *steppedClock
	now       rules.Time
	engines   map[gateway.ConnID]bool   // connections to engines
	clients   map[gateway.ConnID]string // the id of the last request of each client's connection
	requests  map[string]engineRequest  // by id
	dials     map[gateway.ConnID]netip.AddrPort
	coldUntil map[netip.AddrPort]rules.Time // engines that have just started, and until when they count as cold
	delayed   []delayedEffect
	responses int
	effects   []gateway.Effect

	highestSerial uint32     // of a list so far
	startedAt     rules.Time // of the process
	lastList      *dns.Msg
	previousList  *dns.Msg // of an earlier serial number
	draining      map[netip.AddrPort]bool
}

// engineRequest is a request as it was written to an engine.
type engineRequest struct {
	conn gateway.ConnID
	text []byte
}

// delayedEffect is a write that is held back until a time.
type delayedEffect struct {
	at     rules.Time
	effect *gateway.Write
}

// dialledBit is set in the ids of connections that the gateway dialled, to engines.
const dialledBit gateway.ConnID = 1 << 63

// faultyResponseInterval is how many responses there are for one that is delayed or replaced by a close.
const faultyResponseInterval = 10

// Step passes an event to the reducer, changed or dropped as the defect has it.
func (d *defectiveReducer) Step(now rules.Time, event gateway.Event) {
	d.now = now
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

// overloadCold sends a request to all engines that have just started as well.
func (d *defectiveReducer) overloadCold(text []byte) {
	for conn := range d.engines {
		if until, ok := d.coldUntil[d.dials[conn]]; ok && d.now < until {
			d.effects = append(d.effects, &gateway.Write{Conn: conn, Data: text})
		}
	}
}

// Flush returns the reducer's effects, changed as the defect has it, and those whose delay is over.
func (d *defectiveReducer) Flush() []gateway.Effect {
	d.effects = d.effects[:0]
	for _, effect := range d.Reducer.Flush() {
		d.applyTo(effect)
	}
	pending := d.delayed[:0]
	for _, held := range d.delayed {
		if held.at <= d.now {
			d.effects = append(d.effects, held.effect)
		} else {
			pending = append(pending, held)
		}
	}
	d.delayed = pending
	return d.effects
}

// applyTo applies the defect to one effect.
func (d *defectiveReducer) applyTo(effect gateway.Effect) {
	switch f := effect.(type) {
	case *gateway.Write:
		d.applyToWrite(f)
		return
	case *gateway.SetTimer:
		if d.name == DefectWallClockDeadline {
			effect = &gateway.SetTimer{At: f.At - rules.Time(d.clock.offset()/time.Microsecond)}
		}
	case gateway.Dial:
		d.dials[f.Conn] = f.Addr
	}
	d.effects = append(d.effects, effect)
}

// applyToWrite applies the defect to a write, to a client or to an engine.
func (d *defectiveReducer) applyToWrite(effect *gateway.Write) {
	toEngine := effect.Conn&dialledBit != 0
	if toEngine && d.name == DefectBytesLeftInBuffer {
		d.delayed = append(d.delayed, delayedEffect{d.now + writeBufferFor, cloneWrite(effect)})
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

// cloneWrite copies a write that is kept beyond the next Step.
func cloneWrite(w *gateway.Write) *gateway.Write {
	return &gateway.Write{Conn: w.Conn, Data: bytes.Clone(w.Data)}
}

// isResponse reports whether bytes for a client begin a result set or an error, not a greeting or an OK.
func isResponse(data []byte) bool { return len(data) > 4 && data[3] == 1 && data[4] != 0 }

// recordRequests records the requests in what is written to an engine, and sends them to others as well where the defect says so.
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

// cutRequest returns the request at the start of what is written, whose body has a length.
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
