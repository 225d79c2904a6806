package faultgateway

import (
	"errors"
	"net/netip"
	"slices"

	"github.com/miekg/dns"

	"foxlane/rules"
)

// This file owns the defects that change or misread the name service's answers.

// rewriteList returns an answer of the name service as the defect has it; errDropped: it does not reach the reducer. With any other
// error it is not a list.
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

var (
	errDropped  = errors.New("faultgateway: an answer is dropped")
	errNoSerial = errors.New("faultgateway: an answer without a serial number")
)

// ignoreListsFor is for how long lists are ignored after the start of the process.
const ignoreListsFor = 3 * rules.Second

// serialOf is the serial number of a list.
func serialOf(m *dns.Msg) (serial uint32, ok bool) {
	for _, r := range m.Ns {
		if soa, is := r.(*dns.SOA); is {
			return soa.Serial, true
		}
	}
	return 0, false
}

// dropLowerSerial drops lists whose serial number is lower than one that came before.
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
	writeBufferFor    = 60 * rules.Millisecond   // for which each write to an engine is delayed
	drainingBufferFor = 1500 * rules.Millisecond // more, if the engine begins to drain meanwhile
)

// holdForDraining delays the pending writes to engines that begin to drain with this list.
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

// coldDuration is for how long an engine that has just started is overloaded.
const coldDuration = 3 * rules.Second
