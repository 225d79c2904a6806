// Package faultproxy forwards TCP connections and UDP datagrams on loopback, and injects faults: it delays, drops, duplicates,
// throttles, cuts or resets them, each direction by its own conditions. It must never look into what it forwards, nor reach any
// address but this machine's.
//
// Simplified: a TCP connection through a cut link is accepted and stays silent, as behind a proxy, where a network would let it
// time out; lost TCP segments arrive late, as after a retransmission.
package faultproxy

import (
	"fmt"
	"net/netip"
)

// TCPAndUDP is a proxy for connections and datagrams, on one address.
type TCPAndUDP struct {
	tcp *TCP
	udp *UDP
}

const maxPortAttempts = 20 // one port must be free for both

// NewTCPAndUDP starts a proxy to a target, on a free port of an address of this machine.
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

// Addr is the address the proxy listens on.
func (p *TCPAndUDP) Addr() netip.AddrPort { return p.tcp.Addr() }

// Close stops the proxy with all of its connections.
func (p *TCPAndUDP) Close() {
	p.tcp.Close()
	p.udp.Close()
}
