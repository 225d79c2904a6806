package faultproxy

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"
)

// UDP is a proxy for datagrams to one target. It opens a separate socket to the target for each source, which
// identifies the source that an answer belongs to.
type UDP struct {
	conn    *net.UDPConn
	target  *net.UDPAddr
	forward *Link
	reverse *Link

	mu        sync.Mutex
	upstreams map[netip.AddrPort]*net.UDPConn // sockets to the target, by source
	closed    bool

	wg sync.WaitGroup // serve, and a reader for each upstream
}

const (
	maxSources  = 64               // per proxy; datagrams of further sources are dropped
	maxDatagram = 64 << 10         // bytes
	retryPause  = time.Millisecond // after a failed read from an upstream, as the target may be down for now
)

var errNoUpstream = errors.New("faultproxy: proxy is closed or has too many sources")

// NewUDP starts a proxy that listens on an address of this machine and forwards to a target. The forward link leads
// to the target, the reverse link back from it.
func NewUDP(listen, target string, forward, reverse *Link) (*UDP, error) {
	targetAddr, err := net.ResolveUDPAddr("udp", target)
	if err != nil {
		return nil, err
	}
	listenAddr, err := net.ResolveUDPAddr("udp", listen)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp", listenAddr)
	if err != nil {
		return nil, err
	}
	p := &UDP{conn: conn, target: targetAddr, forward: forward, reverse: reverse, upstreams: map[netip.AddrPort]*net.UDPConn{}}
	p.wg.Go(p.serve)
	return p, nil
}

// Reverse returns the link from the target.
func (p *UDP) Reverse() *Link { return p.reverse }

// Addr returns the address that the proxy listens on.
func (p *UDP) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.conn.LocalAddr().String()) }

// Close stops the proxy and waits for its goroutines. Datagrams in transit are dropped.
func (p *UDP) Close() {
	p.mu.Lock()
	p.closed = true
	for _, upstream := range p.upstreams {
		_ = upstream.Close()
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
		upstream, err := p.upstreamFor(from)
		if err != nil {
			continue
		}
		p.deliver(append([]byte(nil), buf[:n]...), p.forward, func(data []byte) { _, _ = upstream.Write(data) })
	}
}

// upstreamFor returns the socket to the target for a source. It opens a new socket for a new source and forwards the
// answers that arrive there. It returns errNoUpstream if the proxy is closed or has maxSources sources.
func (p *UDP) upstreamFor(from netip.AddrPort) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if existing := p.upstreams[from]; existing != nil {
		return existing, nil
	}
	if p.closed || len(p.upstreams) >= maxSources {
		return nil, fmt.Errorf("%w: %s", errNoUpstream, from)
	}
	upstream, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, err
	}
	p.upstreams[from] = upstream
	p.wg.Go(func() {
		buf := make([]byte, maxDatagram)
		for {
			n, err := upstream.Read(buf)
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
	return upstream, nil
}

func (p *UDP) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// deliver sends a datagram with the delay and in the copies that the link draws. A datagram sent later may overtake it.
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
