package faultgateway

import (
	"errors"
	"net/netip"
	"slices"

	"github.com/miekg/dns"

	"foxlane/rules"
)

// This file owns the defects that change or misinterpret answers of the name service.

// rewriteList applies the defect to an answer of the name service and returns the result. The error is errDropped if
// the answer must not reach the reducer; with any other error the answer is not an endpoint list.
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
		if d.now-d.startedAt < listIgnorePeriod {
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
	for name, justStarted := range started {
		addr := netip.AddrPortFrom(addrs[name], ports[name])
		if _, known := d.coldUntil[addr]; justStarted && !known {
			d.coldUntil[addr] = d.now + coldOverloadPeriod
		}
	}
	return m.Pack()
}

var (
	errDropped  = errors.New("faultgateway: name service answer dropped")
	errNoSerial = errors.New("faultgateway: name service answer has no serial number")
)

// listIgnorePeriod is the time after the start of the process during which endpoint lists are ignored.
const listIgnorePeriod = 3 * rules.Second

// serialOf returns the serial number of an endpoint list, if it has one.
func serialOf(m *dns.Msg) (serial uint32, ok bool) {
	for _, r := range m.Ns {
		if soa, isSOA := r.(*dns.SOA); isSOA {
			return soa.Serial, true
		}
	}
	return 0, false
}

// dropLowerSerial returns errDropped for a list whose serial number is lower than that of an earlier list.
func (d *defectiveReducer) dropLowerSerial(m *dns.Msg) error {
	serial, ok := serialOf(m)
	if ok && serial < d.highestSerial {
		return errDropped
	}
	d.highestSerial = max(d.highestSerial, serial)
	return nil
}

// replaceWithOlder replaces the records of an answer by those of the list before the latest one.
func (d *defectiveReducer) replaceWithOlder(m *dns.Msg) ([]byte, error) {
	serial, ok := serialOf(m)
	if !ok {
		return nil, errNoSerial
	}
	if d.lastList == nil {
		d.lastList = m
	}
	if lastSerial, _ := serialOf(d.lastList); lastSerial != serial {
		d.previousList, d.lastList = d.lastList, m
	}
	if d.previousList == nil {
		return m.Pack()
	}
	rewritten := *m
	rewritten.Answer, rewritten.Extra = d.previousList.Answer, d.previousList.Extra
	return rewritten.Pack()
}

const (
	writeDelay         = 60 * rules.Millisecond   // delay of each write to an engine
	drainingExtraDelay = 1500 * rules.Millisecond // further delay if the engine starts draining before the write
)

// holdForDraining delays the pending writes to engines that start draining with this list.
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
		addr := netip.AddrPortFrom(addrs[srv.Target], srv.Port)
		startsDraining := srv.Priority > 0 && !d.draining[addr]
		d.draining[addr] = srv.Priority > 0
		for i := range d.delayed {
			if startsDraining && d.dials[d.delayed[i].effect.Conn] == addr {
				d.delayed[i].at += drainingExtraDelay
			}
		}
	}
}

// coldOverloadPeriod is the time for which an engine that has just started is overloaded.
const coldOverloadPeriod = 3 * rules.Second
