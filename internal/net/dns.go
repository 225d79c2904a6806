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

// openDNS asks a name service from a new socket. Only what comes from there is read from then on; where it is the
// one that was asked before, what it still says to the last socket counts too. Where descriptors have run out, those
// of the old sockets serve.
func (e *Server) openDNS(addr netip.AddrPort) error {
	e.dnsAddr = addr
	udp, err := e.platform.DialUDP(addr)
	if err != nil && e.dnsConn != nil {
		e.closeDNS()
		udp, err = e.platform.DialUDP(addr)
	}
	if err != nil {
		return err
	}
	if e.previousDNSConn != nil {
		e.previousDNSConn.Close()
		e.previousDNSConn = nil
	}
	if old := e.dnsConn; old != nil && old.RemoteAddr().String() == udp.RemoteAddr().String() {
		e.previousDNSConn = old
	} else if old != nil {
		old.Close()
	}
	e.dnsConn = udp
	e.dnsReaders.Add(1)
	go e.readDNS(udp)
	return nil
}

func (e *Server) closeDNS() {
	for _, udp := range []stdnet.Conn{e.dnsConn, e.previousDNSConn} {
		if udp != nil {
			udp.Close()
		}
	}
	e.dnsConn, e.previousDNSConn = nil, nil
}

// queryDNS asks the name service. Where its socket could not be opened the last time, that is tried again first.
func (e *Server) queryDNS(question []byte) {
	if e.dnsConn == nil {
		if err := e.openDNS(e.dnsAddr); err != nil {
			e.log.Warn("name service: no socket to ask from", zap.Error(err))
			return
		}
	}
	if _, err := e.dnsConn.Write(question); err != nil {
		e.log.Warn("name service: query not sent", zap.Error(err))
	}
}

func (e *Server) readDNS(udp stdnet.Conn) {
	defer e.dnsReaders.Done()
	buf := make([]byte, e.limits.MaxDatagramBytes)
	for {
		n, err := udp.Read(buf)
		switch {
		case err == nil:
			skew := e.clock.skew()
			e.queue.enqueueBytes(buf[:n], func(data []byte) gateway.Event { return gateway.DNSResponse{Data: data, ClockSkew: skew} })
		case errors.Is(err, stdnet.ErrClosed):
			return
		default: // refused, for now
			time.Sleep(time.Millisecond)
		}
	}
}
