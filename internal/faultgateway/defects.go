package faultgateway

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/miekg/dns"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
	"foxlane/internal/net"
	"foxlane/rules"
)

var errNoSerial = io.ErrUnexpectedEOF

// Defects are the defects that can be planted, to see whether the soak finds them.
var Defects = []string{
	DefectDrainIgnored, DefectNonIdempotentTwice, DefectSentAfterDisconnect, DefectSlowStartOverload, DefectResponseLate, DefectClosedWithoutResponse, DefectWallClockDeadline,
	DefectSyncErrorIgnored, DefectSerialOnly, DefectListIgnoredAtStart, DefectBytesLeftInBuffer, DefectOlderList, DefectOrderKeyIgnored,
}

// Planted defects.
const (
	DefectDrainIgnored          = "drain_ignored"
	DefectNonIdempotentTwice    = "unsafe_twice"
	DefectSentAfterDisconnect   = "sent_after_gone"
	DefectSlowStartOverload     = "cold_overload"
	DefectResponseLate          = "answer_late"
	DefectClosedWithoutResponse = "close_unanswered"
	DefectWallClockDeadline     = "wall_deadline"
	DefectSyncErrorIgnored      = "sync_ignored"
	DefectSerialOnly            = "number_only"           // lists are told apart by their number alone
	DefectListIgnoredAtStart    = "list_ignored_at_start" // for the first seconds of the process
	DefectBytesLeftInBuffer     = "bytes_left"            // in a write buffer to an engine that drains
	DefectOlderList             = "older_list"            // the list before the last one is taken
	DefectOrderKeyIgnored       = "key_twice"             // the key of ordered requests is not read
)

// withDefect puts a defect between sockets and reducer, or into the folder.
func withDefect(name string, p net.Platform, clock *steppedClock) (net.Platform, error) {
	if name == "" {
		return p, nil
	}
	if !slices.Contains(Defects, name) {
		return p, fmt.Errorf("double: no defect is called %q", name)
	}
	if name == DefectSyncErrorIgnored {
		open := p.OpenFolder
		p.OpenFolder = func(path string) (net.Folder, error) {
			folder, err := open(path)
			if d, ok := folder.(*faultyFolder); ok {
				d.hideSyncErrors = true
			}
			return folder, err
		}
		return p, nil
	}
	make := p.Reducer
	p.Reducer = func(cfg config.Config, now rules.Time) net.Reducer {
		return &defectiveReducer{Reducer: make(cfg, now), name: name, clock: clock, engines: map[gateway.ConnID]bool{}, clients: map[gateway.ConnID]string{},
			requests: map[string]engineRequest{}, dials: map[gateway.ConnID]netip.AddrPort{}, coldUntil: map[netip.AddrPort]rules.Time{},
			highestSerial: cfg.InitialList.Seq, startedAt: now, draining: map[netip.AddrPort]bool{}}
	}
	return p, nil
}

// defectiveReducer is a reducer with a defect.
type defectiveReducer struct {
	net.Reducer
	name      string
	clock     *steppedClock
	now       rules.Time
	engines   map[gateway.ConnID]bool   // that are up
	clients   map[gateway.ConnID]string // the id of the request that came last
	requests  map[string]engineRequest  // by id
	dials     map[gateway.ConnID]netip.AddrPort
	coldUntil map[netip.AddrPort]rules.Time // engines that have just started, until when
	delayed   []delayedEffect
	responses int
	effects   []gateway.Effect

	highestSerial uint32     // number of a list so far
	startedAt     rules.Time // when the process started
	lastList      *dns.Msg   // the latest list, and the one before it
	previousList  *dns.Msg
	draining      map[netip.AddrPort]bool
}

type engineRequest struct {
	conn gateway.ConnID
	text []byte
}

type delayedEffect struct {
	at     rules.Time
	effect *gateway.Write
}

const dialledBit gateway.ConnID = 1 << 63

// faultyResponseInterval is which of the answers are delayed or replaced by a close.
const faultyResponseInterval = 10

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
			if a, ok := d.requests[id]; ok {
				d.delayed = append(d.delayed, delayedEffect{d.now + 400*rules.Millisecond, &gateway.Write{Conn: a.conn, Data: a.text}})
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

// rewriteList is an answer of the name service as the defect has it.
func (d *defectiveReducer) rewriteList(data []byte) ([]byte, error) {
	if !slices.Contains([]string{DefectDrainIgnored, DefectSlowStartOverload, DefectSerialOnly, DefectListIgnoredAtStart, DefectBytesLeftInBuffer, DefectOlderList}, d.name) {
		return data, nil
	}
	var m dns.Msg
	if err := m.Unpack(data); err != nil {
		return nil, err
	}
	switch d.name {
	case DefectSerialOnly:
		return data, d.dropLowerSerial(&m)
	case DefectListIgnoredAtStart:
		if d.now-d.startedAt < ignoreListsFor {
			return nil, errDropped
		}
		return data, nil
	case DefectBytesLeftInBuffer:
		d.holdForDraining(&m)
		return data, nil
	case DefectOlderList:
		return d.replaceWithOlder(&m)
	}
	ports, addrs, started := map[string]uint16{}, map[string]netip.Addr{}, map[string]bool{}
	for _, r := range slices.Concat(m.Answer, m.Extra) {
		switch r := r.(type) {
		case *dns.SRV:
			ports[r.Target] = r.Port
			if d.name == DefectDrainIgnored {
				r.Priority = 0
			}
		case *dns.A:
			addrs[r.Hdr.Name], _ = netip.AddrFromSlice(r.A.To4())
		case *dns.TXT:
			started[r.Hdr.Name] = !slices.Contains(r.Txt, "started=0")
		}
	}
	for name, late := range started {
		at := netip.AddrPortFrom(addrs[name], ports[name])
		if _, known := d.coldUntil[at]; late && !known {
			d.coldUntil[at] = d.now + coldDuration
		}
	}
	return m.Pack()
}

var errDropped = errors.New("double: an answer is dropped")

// ignoreListsFor is for how long lists are ignored at the start.
const ignoreListsFor = 3 * rules.Second

func serialOf(m *dns.Msg) (serial uint32, ok bool) {
	for _, r := range m.Ns {
		if soa, is := r.(*dns.SOA); is {
			return soa.Serial, true
		}
	}
	return 0, false
}

// dropLowerSerial drops lists whose number is lower than one that came before.
func (d *defectiveReducer) dropLowerSerial(m *dns.Msg) error {
	serial, ok := serialOf(m)
	if ok && serial < d.highestSerial {
		return errDropped
	}
	d.highestSerial = max(d.highestSerial, serial)
	return nil
}

// replaceWithOlder puts the records of the list before the last one into an answer.
func (d *defectiveReducer) replaceWithOlder(m *dns.Msg) ([]byte, error) {
	serial, ok := serialOf(m)
	if !ok {
		return nil, errNoSerial
	}
	if d.lastList == nil {
		d.lastList = m
	}
	if was, _ := serialOf(d.lastList); was != serial {
		d.previousList, d.lastList = d.lastList, m
	}
	if d.previousList == nil {
		return m.Pack()
	}
	out := *m
	out.Answer, out.Extra = d.previousList.Answer, d.previousList.Extra
	return out.Pack()
}

const (
	writeBufferFor    = 60 * rules.Millisecond   // how long all that is written to engines waits
	drainingBufferFor = 1500 * rules.Millisecond // and where the engine begins to drain meanwhile
)

// holdForDraining leaves what waits for engines that begin to drain in its buffer.
func (d *defectiveReducer) holdForDraining(m *dns.Msg) {
	addrs := map[string]netip.Addr{}
	for _, r := range m.Extra {
		if a, ok := r.(*dns.A); ok {
			addrs[a.Hdr.Name], _ = netip.AddrFromSlice(a.A.To4())
		}
	}
	for _, r := range m.Answer {
		srv, ok := r.(*dns.SRV)
		if !ok {
			continue
		}
		at := netip.AddrPortFrom(addrs[srv.Target], srv.Port)
		began := srv.Priority > 0 && !d.draining[at]
		d.draining[at] = srv.Priority > 0
		for i := range d.delayed {
			if began && d.dials[d.delayed[i].effect.Conn] == at {
				d.delayed[i].at += drainingBufferFor
			}
		}
	}
}

// coldDuration is for how long the defect overloads an engine that has just started.
const coldDuration = 3 * rules.Second

// overloadCold sends what others are asked to engines that have just started as well.
func (d *defectiveReducer) overloadCold(text []byte) {
	for conn := range d.engines {
		if until, ok := d.coldUntil[d.dials[conn]]; ok && d.now < until {
			d.effects = append(d.effects, &gateway.Write{Conn: conn, Data: text})
		}
	}
}

func (d *defectiveReducer) Flush() []gateway.Effect {
	d.effects = d.effects[:0]
	for _, effect := range d.Reducer.Flush() {
		d.applyTo(effect)
	}
	kept := d.delayed[:0]
	for _, held := range d.delayed {
		if held.at <= d.now {
			d.effects = append(d.effects, held.effect)
		} else {
			kept = append(kept, held)
		}
	}
	d.delayed = kept
	return d.effects
}

// applyTo lets an effect through, as the defect has it.
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

func (d *defectiveReducer) applyToWrite(effect *gateway.Write) {
	if effect.Conn&dialledBit != 0 && d.name == DefectBytesLeftInBuffer {
		d.delayed = append(d.delayed, delayedEffect{d.now + writeBufferFor, cloneWrite(effect)})
		return
	}
	if effect.Conn&dialledBit != 0 {
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

// isResponse answers whether bytes are a result set or an error, not a greeting or an OK.
func isResponse(data []byte) bool { return len(data) > 4 && data[3] == 1 && data[4] != 0 }

// recordRequests notes what engines are asked, and asks another as well where the defect is that.
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

var errIncompleteRequest = errors.New("double: not a whole request")

// cutRequest cuts one request out of what is written.
func cutRequest(data []byte, length string) ([]byte, error) {
	var n int
	if _, err := fmt.Sscan(length, &n); err != nil {
		return nil, err
	}
	end := bytes.Index(data, []byte("\r\n")) + 2 + n + 2
	if end > len(data) {
		return nil, errIncompleteRequest
	}
	return data[:end], nil
}
