package transport

import (
	"errors"
	"net"
	"net/netip"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
)

// This file queries the name service over UDP sockets.

// dnsReadRetryDelay is the pause after a failed read. Reads fail while the name service's port is unreachable.
const dnsReadRetryDelay = time.Millisecond

// openDNS opens a new socket to a name service, which replaces the current one. If the address is unchanged, the
// replaced socket stays open, so that late responses to it are still read; otherwise it is closed. If the socket
// can't be opened, for example because no descriptor is free, the old sockets are closed and the open is retried
// once.
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
		_ = s.previousDNSConn.Close() // UDP: no unsent data to lose
		s.previousDNSConn = nil
	}
	if old := s.dnsConn; old != nil && old.RemoteAddr().String() == udp.RemoteAddr().String() {
		s.previousDNSConn = old
	} else if old != nil {
		_ = old.Close() // UDP: no unsent data to lose
	}
	s.dnsConn = udp
	s.dnsReaders.Go(func() { s.readDNS(udp) })
	return nil
}

func (s *Server) closeDNS() {
	for _, udp := range []net.Conn{s.dnsConn, s.previousDNSConn} {
		if udp != nil {
			_ = udp.Close() // UDP: no unsent data to lose
		}
	}
	s.dnsConn, s.previousDNSConn = nil, nil
}

// queryDNS sends a query. If the last attempt to open a socket failed, it first tries again.
func (s *Server) queryDNS(query []byte) {
	if s.dnsConn == nil {
		if err := s.openDNS(s.dnsAddr); err != nil {
			s.log.Warn("name service: no socket to ask from", zap.Error(err))
			return
		}
	}
	if _, err := s.dnsConn.Write(query); err != nil {
		s.log.Warn("name service: query not sent", zap.Error(err))
	}
}

// readDNS queues the datagrams received on a socket until the socket is closed.
func (s *Server) readDNS(udp net.Conn) {
	defer s.reportPanic("name service")
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
			time.Sleep(dnsReadRetryDelay)
		}
	}
}
