package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
)

// This file has the sockets by which the name service is queried.

// readErrorPause is between reads of a socket whose reads fail, as they do while the name service refuses.
const readErrorPause = time.Millisecond

// openDNS moves to a name service, with a new socket. Only its datagrams are read from then on; where it is the one that
// was queried before, those that still come to the last socket count too. Where no descriptor is left for a new socket,
// the old ones are closed for it.
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
		_ = s.previousDNSConn.Close() // UDP: nothing is lost that matters
		s.previousDNSConn = nil
	}
	if old := s.dnsConn; old != nil && old.RemoteAddr().String() == udp.RemoteAddr().String() {
		s.previousDNSConn = old
	} else if old != nil {
		_ = old.Close() // as above
	}
	s.dnsConn = udp
	s.dnsReaders.Go(func() { s.readDNS(udp) })
	return nil
}

func (s *Server) closeDNS() {
	for _, udp := range []net.Conn{s.dnsConn, s.previousDNSConn} {
		if udp != nil {
			_ = udp.Close() // UDP: nothing is lost that matters
		}
	}
	s.dnsConn, s.previousDNSConn = nil, nil
}

// queryDNS sends a query. Where the socket could not be opened the last time, that is tried again first.
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

// readDNS queues what comes on a socket, until the socket is closed.
func (s *Server) readDNS(udp net.Conn) {
	buf := make([]byte, s.limits.MaxDatagramBytes)
	for {
		n, err := udp.Read(buf)
		switch {
		case err == nil:
			skew := s.clock.skew()
			s.queue.enqueueBytes(buf[:n], func(data []byte) gateway.Event { return gateway.DNSResponse{Data: data, ClockSkew: skew} })
		case errors.Is(err, net.ErrClosed):
			return
		default:
			time.Sleep(readErrorPause)
		}
	}
}
