// Package relay owns ways between parties on loopback, and what befalls them: it carries TCP connections and UDP
// datagrams and delays, drops, doubles, cuts, slows or resets them as it is told, each direction by itself. It must never
// look into what it carries, nor reach any address but this machine's.
//
// Simplified: a TCP connection through a way that is cut is taken and stays silent, as behind a proxy, where the network
// would let it time out; lost TCP segments come late, as after a retransmission.
package faultproxy

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// Conditions are how one direction of a way is.
type Conditions struct {
	Delay     time.Duration
	Jitter    time.Duration // added, evenly from 0 to it
	Loss      float64       // part of datagrams that are lost, and of TCP segments that come a retransmission later
	Duplicate float64       // part of datagrams that come twice
	Cut       bool          // nothing comes through: datagrams are lost, TCP waits
	Rate      int           // bytes a second; 0: any
}

const (
	retransmissionDelay = 200 * time.Millisecond
	chunkSize           = 16 << 10
	maxQueuedChunks     = 64 // chunks of a connection that are on their way
	cutPollInterval     = 5 * time.Millisecond
)

// Link is one direction between two parties. Any number of relays may share it.
type Link struct {
	mu            sync.Mutex
	conditions    Conditions
	changedAt     time.Time // when something was wrong with it last changed
	rng           *rand.Rand
	rateBusyUntil time.Time // of what the rate lets through
	bytes         atomic.Int64
	lost          atomic.Int64 // datagrams, and segments that came late for it
	resets,
	accepted atomic.Int64
}

// NewLink returns one on which nothing is wrong.
func NewLink(seed uint64) *Link { return &Link{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))} }

// SetConditions changes how it is from now on.
func (l *Link) SetConditions(c Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c != l.conditions {
		l.changedAt = time.Now()
	}
	l.conditions = c
}

// ChangedWithin answers whether its conditions changed within that time: what was under way may still come late.
func (l *Link) ChangedWithin(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.changedAt.IsZero() && time.Since(l.changedAt) < d
}

// Conditions are how it is now.
func (l *Link) Conditions() Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions
}

// Counts are what went over a way: bytes, datagrams and segments lost, connections taken and reset.
type Counts struct {
	Bytes    int64
	Lost     int64
	Accepted int64 `json:"Taken"`
	Resets   int64
}

// Counts tells what went over it so far.
func (l *Link) Counts() Counts {
	return Counts{l.bytes.Load(), l.lost.Load(), l.accepted.Load(), l.resets.Load()}
}

// delivery is what becomes of n bytes that come now.
func (l *Link) delivery(n int, tcp bool) (after time.Duration, copies int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.conditions
	after, copies = c.Delay, 1
	if c.Jitter > 0 {
		after += time.Duration(l.rng.Int64N(int64(c.Jitter)))
	}
	if c.Rate > 0 {
		now := time.Now()
		if l.rateBusyUntil.Before(now) {
			l.rateBusyUntil = now
		}
		l.rateBusyUntil = l.rateBusyUntil.Add(time.Duration(float64(n) / float64(c.Rate) * float64(time.Second)))
		after += l.rateBusyUntil.Sub(now)
	}
	lost := c.Loss > 0 && l.rng.Float64() < c.Loss
	switch {
	case tcp && lost:
		after += retransmissionDelay
		l.lost.Add(1)
	case !tcp && (lost || c.Cut):
		l.lost.Add(1)
		return 0, 0
	case !tcp && c.Duplicate > 0 && l.rng.Float64() < c.Duplicate:
		copies = 2
	}
	l.bytes.Add(int64(n))
	return after, copies
}

// TCP is a relay for connections to one address.
type TCP struct {
	listener net.Listener
	forward  *Link
	reverse  *Link
	mu       sync.Mutex
	target   string
	conns    map[*net.TCPConn]struct{}
	closed   bool
	wg       sync.WaitGroup
}

// NewTCP starts a relay to a target, on an address of this machine.
func NewTCP(listen, target string, there, back *Link) (*TCP, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &TCP{listener: ln, target: target, forward: there, reverse: back, conns: map[*net.TCPConn]struct{}{}}
	p.wg.Add(1)
	go p.accept()
	return p, nil
}

// Forward is the way to the target, Back the one from it.
func (p *TCP) Forward() *Link { return p.forward }

// Reverse is the way from the target.
func (p *TCP) Reverse() *Link { return p.reverse }

// Addr is where it listens.
func (p *TCP) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// SetTarget has new connections go to another target.
func (p *TCP) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
}

// Reset ends all connections as a machine that forgot them does.
func (p *TCP) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
	p.forward.resets.Add(int64(len(p.conns)) / 2)
}

// Close ends it with all of its connections.
func (p *TCP) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.Reset()
	p.wg.Wait()
}

func (p *TCP) accept() {
	defer p.wg.Done()
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Add(1)
		go p.serveConn(c.(*net.TCPConn))
	}
}

// track notes a connection, so that it can be reset. It answers whether the relay goes on.
func (p *TCP) track(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *TCP) untrack(c *net.TCPConn) {
	c.Close()
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *TCP) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

func (p *TCP) serveConn(in *net.TCPConn) {
	defer p.wg.Done()
	if !p.track(in) {
		return
	}
	defer p.untrack(in)
	p.forward.accepted.Add(1)
	time.Sleep(p.forward.Conditions().Delay + p.reverse.Conditions().Delay)
	if !p.waitWhileCut(in, p.forward) || !p.waitWhileCut(in, p.reverse) {
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	c, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := c.(*net.TCPConn)
	if !p.track(out) {
		return
	}
	defer p.untrack(out)
	var both sync.WaitGroup
	both.Go(func() { p.copyDelayed(out, in, p.forward) })
	both.Go(func() { p.copyDelayed(in, out, p.reverse) })
	both.Wait()
}

// waitWhileCut waits until a way is not cut. It answers whether the connection is still wanted.
func (p *TCP) waitWhileCut(c *net.TCPConn, link *Link) bool {
	for link.Conditions().Cut {
		if p.isClosed() {
			return false
		}
		p.mu.Lock()
		_, open := p.conns[c]
		p.mu.Unlock()
		if !open {
			return false
		}
		time.Sleep(cutPollInterval)
	}
	return true
}

type delayedChunk struct {
	data []byte
	due  time.Time
}

// copyDelayed carries one direction, in order.
func (p *TCP) copyDelayed(dst, src *net.TCPConn, link *Link) {
	line := make(chan delayedChunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() {
		failed := false
		for chunk := range line {
			if !failed {
				time.Sleep(time.Until(chunk.due))
				failed = !p.waitWhileCut(dst, link)
			}
			if !failed {
				_, err := dst.Write(chunk.data)
				failed = err != nil
			}
			if failed {
				src.Close()
			}
		}
		_ = dst.CloseWrite()
	})
	for {
		buf := make([]byte, chunkSize)
		n, err := src.Read(buf)
		if n > 0 {
			after, _ := link.delivery(n, true)
			line <- delayedChunk{buf[:n], time.Now().Add(after)}
		}
		if err != nil {
			if err != io.EOF { // it was reset: so is the other side
				_ = dst.SetLinger(0)
				dst.Close()
			}
			break
		}
	}
	close(line)
	writer.Wait()
}

// UDP is a relay for datagrams to one address.
type UDP struct {
	conn      *net.UDPConn
	target    *net.UDPAddr
	forward   *Link
	reverse   *Link
	mu        sync.Mutex
	upstreams map[netip.AddrPort]*net.UDPConn
	closed    bool
	wg        sync.WaitGroup
}

const maxSources = 64 // whose answers find their way back

// NewUDP starts a relay to a target, on an address of this machine.
func NewUDP(listen, target string, there, back *Link) (*UDP, error) {
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
	p := &UDP{conn: conn, target: to, forward: there, reverse: back, upstreams: map[netip.AddrPort]*net.UDPConn{}}
	p.wg.Go(p.serve)
	return p, nil
}

// Reverse is the way from the target.
func (p *UDP) Reverse() *Link { return p.reverse }

// Addr is where it listens.
func (p *UDP) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.conn.LocalAddr().String()) }

// Close ends it.
func (p *UDP) Close() {
	p.mu.Lock()
	p.closed = true
	for _, up := range p.upstreams {
		up.Close()
	}
	p.mu.Unlock()
	p.conn.Close()
	p.wg.Wait()
}

func (p *UDP) serve() {
	buf := make([]byte, 64<<10)
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

// upstream is the socket that stands for a source.
func (p *UDP) upstream(from netip.AddrPort) (*net.UDPConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if up := p.upstreams[from]; up != nil {
		return up, nil
	}
	if p.closed || len(p.upstreams) >= maxSources {
		return nil, fmt.Errorf("relay: no room for %s", from)
	}
	up, err := net.DialUDP("udp", nil, p.target)
	if err != nil {
		return nil, err
	}
	p.upstreams[from] = up
	p.wg.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := up.Read(buf)
			if err != nil {
				if p.isClosed() {
					return
				}
				time.Sleep(time.Millisecond) // refused, for now
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

// deliver sends a datagram on its way; later ones may overtake it.
func (p *UDP) deliver(data []byte, link *Link, send func([]byte)) {
	after, copies := link.delivery(len(data), false)
	for range copies {
		if after <= 0 {
			send(data)
			continue
		}
		time.AfterFunc(after, func() {
			if !p.isClosed() {
				send(data)
			}
		})
	}
}

// TCPAndUDP is a relay for datagrams and connections alike, on one address.
type TCPAndUDP struct {
	tcp *TCP
	udp *UDP
}

const maxPortAttempts = 20 // ports that are tried: one must be free for both

// NewTCPAndUDP starts a relay to a target, on a port of an address of this machine.
func NewTCPAndUDP(host, target string, there, back *Link) (*TCPAndUDP, error) {
	var err error
	for range maxPortAttempts {
		var t *TCP
		if t, err = NewTCP(host+":0", target, there, back); err != nil {
			return nil, err
		}
		var u *UDP
		if u, err = NewUDP(t.Addr().String(), target, there, back); err == nil {
			return &TCPAndUDP{t, u}, nil
		}
		t.Close()
	}
	return nil, err
}

// Addr is where it listens.
func (p *TCPAndUDP) Addr() netip.AddrPort { return p.tcp.Addr() }

// Reset ends all connections.
func (p *TCPAndUDP) Reset() { p.tcp.Reset() }

// Close ends it.
func (p *TCPAndUDP) Close() {
	p.tcp.Close()
	p.udp.Close()
}
