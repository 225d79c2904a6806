package net

import (
	"errors"
	stdnet "net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
)

// This file owns the sockets by which the name service is asked.

// openUDP asks a name service from a new socket. Only what comes from there is read from then on; where it is the
// one that was asked before, what it still says to the last socket counts too. Where descriptors have run out, those
// of the old sockets serve.
func (e *Edge) openUDP(addr netip.AddrPort) error {
	e.namesAt = addr
	udp, err := e.platform.DialUDP(addr)
	if err != nil && e.udp != nil {
		e.closeUDP()
		udp, err = e.platform.DialUDP(addr)
	}
	if err != nil {
		return err
	}
	if e.former != nil {
		e.former.Close()
		e.former = nil
	}
	if old := e.udp; old != nil && old.RemoteAddr().String() == udp.RemoteAddr().String() {
		e.former = old
	} else if old != nil {
		old.Close()
	}
	e.udp = udp
	e.readers.Add(1)
	go e.readUDP(udp)
	return nil
}

func (e *Edge) closeUDP() {
	for _, udp := range []stdnet.Conn{e.udp, e.former} {
		if udp != nil {
			udp.Close()
		}
	}
	e.udp, e.former = nil, nil
}

// query asks the name service. Where its socket could not be opened the last time, that is tried again first.
func (e *Edge) query(question []byte) {
	if e.udp == nil {
		if err := e.openUDP(e.namesAt); err != nil {
			e.log.Warn("name service: no socket to ask from", zap.Error(err))
			return
		}
	}
	if _, err := e.udp.Write(question); err != nil {
		e.log.Warn("name service: query not sent", zap.Error(err))
	}
}

func (e *Edge) readUDP(udp stdnet.Conn) {
	defer e.readers.Done()
	buf := make([]byte, e.lim.Datagram)
	for {
		n, err := udp.Read(buf)
		switch {
		case err == nil:
			e.box.put(gateway.Event{Kind: gateway.Datagram, Data: buf[:n], Skew: e.clock.skew()})
		case errors.Is(err, stdnet.ErrClosed):
			return
		default: // refused, for now
			time.Sleep(time.Millisecond)
		}
	}
}
