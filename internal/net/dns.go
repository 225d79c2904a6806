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
func (s *Server) openDNS(addr netip.AddrPort) error {
	s.dnsAddr = addr
	udp, err := s.platform.DialUDP(addr)
	if err != nil && s.dnsConn != nil {
		s.closeDNS()
		udp, err = s.platform.DialUDP(addr)
	}
	if err != nil {
		return err
	}
	if s.previousDNSConn != nil {
		s.previousDNSConn.Close()
		s.previousDNSConn = nil
	}
	if old := s.dnsConn; old != nil && old.RemoteAddr().String() == udp.RemoteAddr().String() {
		s.previousDNSConn = old
	} else if old != nil {
		old.Close()
	}
	s.dnsConn = udp
	s.dnsReaders.Add(1)
	go s.readDNS(udp)
	return nil
}

func (s *Server) closeDNS() {
	for _, udp := range []stdnet.Conn{s.dnsConn, s.previousDNSConn} {
		if udp != nil {
			udp.Close()
		}
	}
	s.dnsConn, s.previousDNSConn = nil, nil
}

// queryDNS asks the name service. Where its socket could not be opened the last time, that is tried again first.
func (s *Server) queryDNS(question []byte) {
	if s.dnsConn == nil {
		if err := s.openDNS(s.dnsAddr); err != nil {
			s.log.Warn("name service: no socket to ask from", zap.Error(err))
			return
		}
	}
	if _, err := s.dnsConn.Write(question); err != nil {
		s.log.Warn("name service: query not sent", zap.Error(err))
	}
}

func (s *Server) readDNS(udp stdnet.Conn) {
	defer s.dnsReaders.Done()
	buf := make([]byte, s.limits.MaxDatagramBytes)
	for {
		n, err := udp.Read(buf)
		switch {
		case err == nil:
			skew := s.clock.skew()
			s.queue.enqueueBytes(buf[:n], func(data []byte) gateway.Event { return gateway.DNSResponse{Data: data, ClockSkew: skew} })
		case errors.Is(err, stdnet.ErrClosed):
			return
		default: // refused, for now
			time.Sleep(time.Millisecond)
		}
	}
}
