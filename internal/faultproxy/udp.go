package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// UDP is a proxy for datagrams to one address. For each source it has a socket of its own to the target, by which answers find
// their way back.
type UDP struct {
	conn    *net.UDPConn
	target  *net.UDPAddr
	forward *Link
	reverse *Link

	mu        sync.Mutex
	upstreams map[netip.AddrPort]*net.UDPConn // by source
	closed    bool

	wg sync.WaitGroup // serve, and a goroutine for each upstream
}

const (
	maxSources  = 64               // of one proxy; datagrams of others are dropped
	maxDatagram = 64 << 10         // bytes
	retryPause  = time.Millisecond // after an error of an upstream: the target may be down for now
)

var errNoUpstream = errors.New("faultproxy: no upstream for another source")

// NewUDP starts a proxy to a target, on an address of this machine. Forward is the link to the target, reverse the one from it.
func NewUDP(listen, target string, forward, reverse *Link) (*UDP, error) {
	to, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	at, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", at)
	if err != nil {
		return nil, err
	}
	p := &UDP{conn: conn, target: to, forward: forward, reverse: reverse, upstreams: map[netip.AddrPort]*net.UDPConn{}}
	p.wg.Go(p.serve)
	return p, nil
}

// Reverse is the link from the target.
func (p *UDP) Reverse() *Link { return p.reverse }

// Addr is the address the proxy listens on.
func (p *UDP) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.conn.LocalAddr().String()) }

// Close stops the proxy and waits for its goroutines. Datagrams in transit are dropped.
func (p *UDP) Close() {
	p.mu.Lock()
	p.closed = true
	for _, up := range p.upstreams {
		_ = up.Close()
	}
	p.mu.Unlock()
	_ = p.conn.Close()
	p.wg.Wait()
}

// serve forwards datagrams to the target until the socket is closed.
func (p *UDP) serve() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		up, err := p.upstream(from)
		if err != nil {
			continue
		}
		p.deliver(append([]byte(nil), buf[:n]...), p.forward, func(data []byte) { _, _ = up.Write(data) })
	}
}

// upstream returns the socket to the target for a source, and starts forwarding its answers if it is new.
func (p *UDP) upstream(from netip.AddrPort) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if up := p.upstreams[from]; up != nil {
		return up, nil
	}
	if p.closed || len(p.upstreams) >= maxSources {
		return nil, fmt.Errorf("%w: %s", errNoUpstream, from)
	}
	up, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, err
	}
	p.upstreams[from] = up
	p.wg.Go(func() {
		buf := make([]byte, maxDatagram)
		for {
			n, err := up.Read(buf)
			if err != nil {
				if p.isClosed() {
					return
				}
				time.Sleep(retryPause)
				continue
			}
			p.deliver(append([]byte(nil), buf[:n]...), p.reverse, func(data []byte) { _, _ = p.conn.WriteToUDPAddrPort(data, from) })
		}
	})
	return up, nil
}

func (p *UDP) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// deliver sends a datagram as often and as late as the link has it; later ones may overtake it.
func (p *UDP) deliver(data []byte, link *Link, send func([]byte)) {
	delay, copies := link.delivery(len(data), false)
	for range copies {
		if delay <= 0 {
			send(data)
			continue
		}
		time.AfterFunc(delay, func() {
			if !p.isClosed() {
				send(data)
			}
		})
	}
}
