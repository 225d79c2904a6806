// Package faultproxy owns proxies that forward TCP connections and UDP datagrams on loopback and inject faults: they
// delay, drop, duplicate, throttle, cut or reset traffic, with separate conditions for each direction. A proxy must
// never inspect what it forwards, nor connect to another machine.
//
// Two simplifications: a TCP connection through a cut link is accepted and then stays silent, where a real network
// would let the dial time out; lost TCP segments arrive late, as after a retransmission.
package faultproxy

import (
	"fmt"
	"net/netip"
)

// TCPAndUDP is a proxy for both TCP connections and UDP datagrams on one address.
type TCPAndUDP struct {
	tcp *TCP
	udp *UDP
}

const maxPortAttempts = 20 // until a port is found that is free for both TCP and UDP

// NewTCPAndUDP starts a proxy to a target on a free port of host, an address of this machine.
func NewTCPAndUDP(host, target string, forward, reverse *Link) (*TCPAndUDP, error) {
	var err error
	for range maxPortAttempts {
		var tcp *TCP
		if tcp, err = NewTCP(host+":0", target, forward, reverse); err != nil {
			return nil, err
		}
		var udp *UDP
		if udp, err = NewUDP(tcp.Addr().String(), target, forward, reverse); err == nil {
			return &TCPAndUDP{tcp, udp}, nil
		}
		tcp.Close()
	}
	return nil, fmt.Errorf("faultproxy: no port of %s is free for TCP and UDP: %w", host, err)
}

// Addr returns the address that the proxy listens on.
func (p *TCPAndUDP) Addr() netip.AddrPort { return p.tcp.Addr() }

// Close stops the proxy and closes its connections.
func (p *TCPAndUDP) Close() {
	p.tcp.Close()
	p.udp.Close()
}
