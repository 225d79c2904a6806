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

var errShort = io.ErrUnexpectedEOF

// Plants are the defects that can be planted, to see whether the soak finds them.
var Plants = []string{
	PlantDrainIgnored, PlantUnsafeTwice, PlantSentAfterGone, PlantColdOverload, PlantAnswerLate, PlantCloseUnanswered, PlantWallDeadline,
	PlantSyncIgnored, PlantNumberOnly, PlantListAtStart, PlantBytesLeft, PlantOlderList, PlantKeyTwice,
}

// Planted defects.
const (
	PlantDrainIgnored    = "drain_ignored"
	PlantUnsafeTwice     = "unsafe_twice"
	PlantSentAfterGone   = "sent_after_gone"
	PlantColdOverload    = "cold_overload"
	PlantAnswerLate      = "answer_late"
	PlantCloseUnanswered = "close_unanswered"
	PlantWallDeadline    = "wall_deadline"
	PlantSyncIgnored     = "sync_ignored"
	PlantNumberOnly      = "number_only"           // lists are told apart by their number alone
	PlantListAtStart     = "list_ignored_at_start" // for the first seconds of the process
	PlantBytesLeft       = "bytes_left"            // in a write buffer to an engine that drains
	PlantOlderList       = "older_list"            // the list before the last one is taken
	PlantKeyTwice        = "key_twice"             // the key of ordered requests is not read
)

// plant puts a defect between sockets and reducer, or into the folder.
func plant(name string, p net.Platform, clock *steppedClock) (net.Platform, error) {
	if name == "" {
		return p, nil
	}
	if !slices.Contains(Plants, name) {
		return p, fmt.Errorf("double: no defect is called %q", name)
	}
	if name == PlantSyncIgnored {
		open := p.OpenFolder
		p.OpenFolder = func(path string) (net.Folder, error) {
			folder, err := open(path)
			if d, ok := folder.(*folderDouble); ok {
				d.lie = true
			}
			return folder, err
		}
		return p, nil
	}
	make := p.Reducer
	p.Reducer = func(cfg config.Config, now rules.Time) net.Reducer {
		return &planted{Reducer: make(cfg, now), name: name, clock: clock, engines: map[gateway.ConnID]bool{}, clients: map[gateway.ConnID]string{},
			asks: map[string]ask{}, dials: map[gateway.ConnID]netip.AddrPort{}, cold: map[netip.AddrPort]rules.Time{},
			highest: cfg.InitialList.Seq, began: now, draining: map[netip.AddrPort]bool{}}
	}
	return p, nil
}

// planted is a reducer with a defect.
type planted struct {
	net.Reducer
	name    string
	clock   *steppedClock
	now     rules.Time
	engines map[gateway.ConnID]bool   // that are up
	clients map[gateway.ConnID]string // the id of the request that came last
	asks    map[string]ask            // by id
	dials   map[gateway.ConnID]netip.AddrPort
	cold    map[netip.AddrPort]rules.Time // engines that have just started, until when
	later   []delayed
	answers int
	out     []gateway.Effect

	highest  uint32     // number of a list so far
	began    rules.Time // when the process started
	last     *dns.Msg   // the latest list, and the one before it
	before   *dns.Msg
	draining map[netip.AddrPort]bool
}

type ask struct {
	conn gateway.ConnID
	text []byte
}

type delayed struct {
	at     rules.Time
	effect gateway.Effect
}

const dialledBit gateway.ConnID = 1 << 63

// everyAnswer is which of the answers are delayed or replaced by a close.
const everyAnswer = 10

func (p *planted) Step(now rules.Time, e gateway.Event) {
	p.now = now
	if p.name == PlantWallDeadline {
		now += rules.Time(p.clock.stepped() / time.Microsecond)
	}
	switch e.Kind {
	case gateway.DialSucceeded:
		p.engines[e.Conn] = true
	case gateway.ConnectionClosed:
		delete(p.engines, e.Conn)
		if id := p.clients[e.Conn]; p.name == PlantSentAfterGone && id != "" {
			if a, ok := p.asks[id]; ok {
				p.later = append(p.later, delayed{p.now + 400*rules.Millisecond, gateway.Effect{Kind: gateway.Write, Conn: a.conn, Data: a.text}})
			}
		}
		delete(p.clients, e.Conn)
	case gateway.DataReceived:
		if p.name == PlantKeyTwice && e.Conn&dialledBit == 0 {
			e.Data = bytes.ReplaceAll(e.Data, []byte("subject="), []byte("subjekt="))
		}
		if _, after, ok := bytes.Cut(e.Data, []byte("req=")); ok && e.Conn&dialledBit == 0 && len(after) >= 16 {
			p.clients[e.Conn] = string(after[:16])
		}
	case gateway.DNSResponse:
		changed, err := p.list(e.Data)
		if errors.Is(err, errDropped) {
			return
		}
		if err == nil {
			e.Data = changed
		}
	}
	p.Reducer.Step(now, e)
}

// list is an answer of the name service as the defect has it.
func (p *planted) list(data []byte) ([]byte, error) {
	if !slices.Contains([]string{PlantDrainIgnored, PlantColdOverload, PlantNumberOnly, PlantListAtStart, PlantBytesLeft, PlantOlderList}, p.name) {
		return data, nil
	}
	var m dns.Msg
	if err := m.Unpack(data); err != nil {
		return nil, err
	}
	switch p.name {
	case PlantNumberOnly:
		return data, p.numberOnly(&m)
	case PlantListAtStart:
		if p.now-p.began < ignoredFor {
			return nil, errDropped
		}
		return data, nil
	case PlantBytesLeft:
		p.hold(&m)
		return data, nil
	case PlantOlderList:
		return p.older(&m)
	}
	ports, addrs, started := map[string]uint16{}, map[string]netip.Addr{}, map[string]bool{}
	for _, r := range slices.Concat(m.Answer, m.Extra) {
		switch r := r.(type) {
		case *dns.SRV:
			ports[r.Target] = r.Port
			if p.name == PlantDrainIgnored {
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
		if _, known := p.cold[at]; late && !known {
			p.cold[at] = p.now + coldFor
		}
	}
	return m.Pack()
}

var errDropped = errors.New("double: an answer is dropped")

// ignoredFor is for how long lists are ignored at the start.
const ignoredFor = 3 * rules.Second

func serialOf(m *dns.Msg) (serial uint32, ok bool) {
	for _, r := range m.Ns {
		if soa, is := r.(*dns.SOA); is {
			return soa.Serial, true
		}
	}
	return 0, false
}

// numberOnly drops lists whose number is lower than one that came before.
func (p *planted) numberOnly(m *dns.Msg) error {
	serial, ok := serialOf(m)
	if ok && serial < p.highest {
		return errDropped
	}
	p.highest = max(p.highest, serial)
	return nil
}

// older puts the records of the list before the last one into an answer.
func (p *planted) older(m *dns.Msg) ([]byte, error) {
	serial, ok := serialOf(m)
	if !ok {
		return nil, errShort
	}
	if p.last == nil {
		p.last = m
	}
	if was, _ := serialOf(p.last); was != serial {
		p.before, p.last = p.last, m
	}
	if p.before == nil {
		return m.Pack()
	}
	out := *m
	out.Answer, out.Extra = p.before.Answer, p.before.Extra
	return out.Pack()
}

const (
	bufferFor = 60 * rules.Millisecond   // how long all that is written to engines waits
	leftFor   = 1500 * rules.Millisecond // and where the engine begins to drain meanwhile
)

// hold leaves what waits for engines that begin to drain in its buffer.
func (p *planted) hold(m *dns.Msg) {
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
		began := srv.Priority > 0 && !p.draining[at]
		p.draining[at] = srv.Priority > 0
		for i := range p.later {
			if began && p.dials[p.later[i].effect.Conn] == at {
				p.later[i].at += leftFor
			}
		}
	}
}

// coldFor is for how long the defect overloads an engine that has just started.
const coldFor = 3 * rules.Second

// overload sends what others are asked to engines that have just started as well.
func (p *planted) overload(text []byte) {
	for conn := range p.engines {
		if until, ok := p.cold[p.dials[conn]]; ok && p.now < until {
			p.out = append(p.out, gateway.Effect{Kind: gateway.Write, Conn: conn, Data: text})
		}
	}
}

func (p *planted) Flush() []gateway.Effect {
	p.out = p.out[:0]
	for _, f := range p.Reducer.Flush() {
		p.pass(f)
	}
	kept := p.later[:0]
	for _, d := range p.later {
		if d.at <= p.now {
			p.out = append(p.out, d.effect)
		} else {
			kept = append(kept, d)
		}
	}
	p.later = kept
	return p.out
}

// pass lets an effect through, as the defect has it.
func (p *planted) pass(f gateway.Effect) {
	if f.Kind == gateway.SetTimer && p.name == PlantWallDeadline {
		f.At -= rules.Time(p.clock.stepped() / time.Microsecond)
	}
	if f.Kind == gateway.Dial {
		p.dials[f.Conn] = f.Addr
	}
	if f.Kind != gateway.Write {
		p.out = append(p.out, f)
		return
	}
	if f.Conn&dialledBit != 0 && p.name == PlantBytesLeft {
		f.Data = bytes.Clone(f.Data)
		p.later = append(p.later, delayed{p.now + bufferFor, f})
		return
	}
	if f.Conn&dialledBit != 0 {
		p.out = append(p.out, f)
		p.asked(f)
		return
	}
	if !isAnswer(f.Data) || p.clients[f.Conn] == "" {
		p.out = append(p.out, f)
		return
	}
	p.answers++
	switch {
	case p.answers%everyAnswer != 0:
		p.out = append(p.out, f)
	case p.name == PlantAnswerLate:
		f.Data = bytes.Clone(f.Data)
		p.later = append(p.later, delayed{p.now + 5*rules.Second, f})
	case p.name == PlantCloseUnanswered:
		p.out = append(p.out, gateway.Effect{Kind: gateway.CloseConnection, Conn: f.Conn})
	default:
		p.out = append(p.out, f)
	}
}

// isAnswer answers whether bytes are a result set or an error, not a greeting or an OK.
func isAnswer(data []byte) bool { return len(data) > 4 && data[3] == 1 && data[4] != 0 }

// asked notes what engines are asked, and asks another as well where the defect is that.
func (p *planted) asked(f gateway.Effect) {
	for _, line := range bytes.SplitAfter(f.Data, []byte("\r\n")) {
		words := strings.Fields(string(line))
		if len(words) != 4 || words[0] != "ASK" {
			continue
		}
		i := bytes.Index(f.Data, line)
		text, err := whole(f.Data[i:], words[3])
		if err != nil {
			continue
		}
		text = bytes.Clone(text)
		p.asks[words[1]] = ask{f.Conn, text}
		if p.name == PlantColdOverload && !strings.Contains(words[2], "lane=load") {
			p.overload(text)
		}
		if p.name != PlantUnsafeTwice || !strings.Contains(words[2], "lane=load") {
			continue
		}
		for conn := range p.engines {
			if conn != f.Conn {
				p.later = append(p.later, delayed{p.now + 50*rules.Millisecond, gateway.Effect{Kind: gateway.Write, Conn: conn, Data: bytes.Clone(text)}})
				break
			}
		}
	}
}

var errNotWhole = errors.New("double: not a whole request")

// whole cuts one request out of what is written.
func whole(data []byte, length string) ([]byte, error) {
	var n int
	if _, err := fmt.Sscan(length, &n); err != nil {
		return nil, err
	}
	end := bytes.Index(data, []byte("\r\n")) + 2 + n + 2
	if end > len(data) {
		return nil, errNotWhole
	}
	return data[:end], nil
}
