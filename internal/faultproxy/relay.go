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
	Delay  time.Duration
	Jitter time.Duration // added, evenly from 0 to it
	Loss   float64       // part of datagrams that are lost, and of TCP segments that come a retransmission later
	Double float64       // part of datagrams that come twice
	Cut    bool          // nothing comes through: datagrams are lost, TCP waits
	Rate   int           // bytes a second; 0: any
}

const (
	retransmission = 200 * time.Millisecond
	chunk          = 16 << 10
	waiting        = 64 // chunks of a connection that are on their way
	cutPoll        = 5 * time.Millisecond
)

// Way is one direction between two parties. Any number of relays may share it.
type Way struct {
	mu    sync.Mutex
	cond  Conditions
	since time.Time // when something was wrong with it last changed
	rng   *rand.Rand
	ends  time.Time // of what the rate lets through
	bytes atomic.Int64
	lost  atomic.Int64 // datagrams, and segments that came late for it
	resets,
	taken atomic.Int64
}

// NewWay returns one on which nothing is wrong.
func NewWay(seed uint64) *Way { return &Way{rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))} }

// Set changes how it is from now on.
func (w *Way) Set(c Conditions) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c != w.cond {
		w.since = time.Now()
	}
	w.cond = c
}

// ChangedWithin answers whether its conditions changed within that time: what was under way may still come late.
func (w *Way) ChangedWithin(d time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.since.IsZero() && time.Since(w.since) < d
}

// Conditions are how it is now.
func (w *Way) Conditions() Conditions {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cond
}

// Counts are what went over a way: bytes, datagrams and segments lost, connections taken and reset.
type Counts struct{ Bytes, Lost, Taken, Resets int64 }

// Counts tells what went over it so far.
func (w *Way) Counts() Counts {
	return Counts{w.bytes.Load(), w.lost.Load(), w.taken.Load(), w.resets.Load()}
}

// passage is what becomes of n bytes that come now.
func (w *Way) passage(n int, tcp bool) (after time.Duration, copies int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.cond
	after, copies = c.Delay, 1
	if c.Jitter > 0 {
		after += time.Duration(w.rng.Int64N(int64(c.Jitter)))
	}
	if c.Rate > 0 {
		now := time.Now()
		if w.ends.Before(now) {
			w.ends = now
		}
		w.ends = w.ends.Add(time.Duration(float64(n) / float64(c.Rate) * float64(time.Second)))
		after += w.ends.Sub(now)
	}
	lost := c.Loss > 0 && w.rng.Float64() < c.Loss
	switch {
	case tcp && lost:
		after += retransmission
		w.lost.Add(1)
	case !tcp && (lost || c.Cut):
		w.lost.Add(1)
		return 0, 0
	case !tcp && c.Double > 0 && w.rng.Float64() < c.Double:
		copies = 2
	}
	w.bytes.Add(int64(n))
	return after, copies
}

// TCP is a relay for connections to one address.
type TCP struct {
	ln     net.Listener
	there  *Way
	back   *Way
	mu     sync.Mutex
	target string
	conns  map[*net.TCPConn]struct{}
	closed bool
	wg     sync.WaitGroup
}

// NewTCP starts a relay to a target, on an address of this machine.
func NewTCP(listen, target string, there, back *Way) (*TCP, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	r := &TCP{ln: ln, target: target, there: there, back: back, conns: map[*net.TCPConn]struct{}{}}
	r.wg.Add(1)
	go r.accept()
	return r, nil
}

// There is the way to the target, Back the one from it.
func (r *TCP) There() *Way { return r.there }

// Back is the way from the target.
func (r *TCP) Back() *Way { return r.back }

// Addr is where it listens.
func (r *TCP) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.ln.Addr().String()) }

// Turn has new connections go to another target.
func (r *TCP) Turn(target string) {
	r.mu.Lock()
	r.target = target
	r.mu.Unlock()
}

// Reset ends all connections as a machine that forgot them does.
func (r *TCP) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_ = c.SetLinger(0)
		c.Close()
	}
	r.there.resets.Add(int64(len(r.conns)) / 2)
}

// Close ends it with all of its connections.
func (r *TCP) Close() {
	r.mu.Lock()
	r.closed = true
	r.mu.Unlock()
	r.ln.Close()
	r.Reset()
	r.wg.Wait()
}

func (r *TCP) accept() {
	defer r.wg.Done()
	for {
		c, err := r.ln.Accept()
		if err != nil {
			return
		}
		r.wg.Add(1)
		go r.carry(c.(*net.TCPConn))
	}
}

// keep notes a connection, so that it can be reset. It answers whether the relay goes on.
func (r *TCP) keep(c *net.TCPConn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		c.Close()
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *TCP) drop(c *net.TCPConn) {
	c.Close()
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

func (r *TCP) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

func (r *TCP) carry(in *net.TCPConn) {
	defer r.wg.Done()
	if !r.keep(in) {
		return
	}
	defer r.drop(in)
	r.there.taken.Add(1)
	time.Sleep(r.there.Conditions().Delay + r.back.Conditions().Delay)
	if !r.whole(in, r.there) || !r.whole(in, r.back) {
		return
	}
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	c, err := net.DialTimeout("tcp", target, time.Second)
	if err != nil {
		_ = in.SetLinger(0)
		return
	}
	out := c.(*net.TCPConn)
	if !r.keep(out) {
		return
	}
	defer r.drop(out)
	var both sync.WaitGroup
	both.Go(func() { r.pump(out, in, r.there) })
	both.Go(func() { r.pump(in, out, r.back) })
	both.Wait()
}

// whole waits until a way is not cut. It answers whether the connection is still wanted.
func (r *TCP) whole(c *net.TCPConn, w *Way) bool {
	for w.Conditions().Cut {
		if r.ended() {
			return false
		}
		r.mu.Lock()
		_, open := r.conns[c]
		r.mu.Unlock()
		if !open {
			return false
		}
		time.Sleep(cutPoll)
	}
	return true
}

type passing struct {
	data []byte
	due  time.Time
}

// pump carries one direction, in order.
func (r *TCP) pump(dst, src *net.TCPConn, w *Way) {
	line := make(chan passing, waiting)
	var writer sync.WaitGroup
	writer.Go(func() {
		failed := false
		for p := range line {
			if !failed {
				time.Sleep(time.Until(p.due))
				failed = !r.whole(dst, w)
			}
			if !failed {
				_, err := dst.Write(p.data)
				failed = err != nil
			}
			if failed {
				src.Close()
			}
		}
		_ = dst.CloseWrite()
	})
	for {
		buf := make([]byte, chunk)
		n, err := src.Read(buf)
		if n > 0 {
			after, _ := w.passage(n, true)
			line <- passing{buf[:n], time.Now().Add(after)}
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
	conn   *net.UDPConn
	target *net.UDPAddr
	there  *Way
	back   *Way
	mu     sync.Mutex
	ups    map[netip.AddrPort]*net.UDPConn
	closed bool
	wg     sync.WaitGroup
}

const mostSources = 64 // whose answers find their way back

// NewUDP starts a relay to a target, on an address of this machine.
func NewUDP(listen, target string, there, back *Way) (*UDP, error) {
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
	r := &UDP{conn: conn, target: to, there: there, back: back, ups: map[netip.AddrPort]*net.UDPConn{}}
	r.wg.Go(r.serve)
	return r, nil
}

// Back is the way from the target.
func (r *UDP) Back() *Way { return r.back }

// Addr is where it listens.
func (r *UDP) Addr() netip.AddrPort { return netip.MustParseAddrPort(r.conn.LocalAddr().String()) }

// Close ends it.
func (r *UDP) Close() {
	r.mu.Lock()
	r.closed = true
	for _, up := range r.ups {
		up.Close()
	}
	r.mu.Unlock()
	r.conn.Close()
	r.wg.Wait()
}

func (r *UDP) serve() {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := r.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		up, err := r.up(from)
		if err != nil {
			continue
		}
		r.pass(append([]byte(nil), buf[:n]...), r.there, func(data []byte) { _, _ = up.Write(data) })
	}
}

// up is the socket that stands for a source.
func (r *UDP) up(from netip.AddrPort) (*net.UDPConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if up := r.ups[from]; up != nil {
		return up, nil
	}
	if r.closed || len(r.ups) >= mostSources {
		return nil, fmt.Errorf("relay: no room for %s", from)
	}
	up, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil, err
	}
	r.ups[from] = up
	r.wg.Go(func() {
		buf := make([]byte, 64<<10)
		for {
			n, err := up.Read(buf)
			if err != nil {
				if r.ended() {
					return
				}
				time.Sleep(time.Millisecond) // refused, for now
				continue
			}
			r.pass(append([]byte(nil), buf[:n]...), r.back, func(data []byte) { _, _ = r.conn.WriteToUDPAddrPort(data, from) })
		}
	})
	return up, nil
}

func (r *UDP) ended() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.closed
}

// pass sends a datagram on its way; later ones may overtake it.
func (r *UDP) pass(data []byte, w *Way, send func([]byte)) {
	after, copies := w.passage(len(data), false)
	for range copies {
		if after <= 0 {
			send(data)
			continue
		}
		time.AfterFunc(after, func() {
			if !r.ended() {
				send(data)
			}
		})
	}
}

// Pair is a relay for datagrams and connections alike, on one address.
type Pair struct {
	tcp *TCP
	udp *UDP
}

const pairTries = 20 // ports that are tried: one must be free for both

// NewPair starts a relay to a target, on a port of an address of this machine.
func NewPair(host, target string, there, back *Way) (*Pair, error) {
	var err error
	for range pairTries {
		var t *TCP
		if t, err = NewTCP(host+":0", target, there, back); err != nil {
			return nil, err
		}
		var u *UDP
		if u, err = NewUDP(t.Addr().String(), target, there, back); err == nil {
			return &Pair{t, u}, nil
		}
		t.Close()
	}
	return nil, err
}

// Addr is where it listens.
func (p *Pair) Addr() netip.AddrPort { return p.tcp.Addr() }

// Reset ends all connections.
func (p *Pair) Reset() { p.tcp.Reset() }

// Close ends it.
func (p *Pair) Close() {
	p.tcp.Close()
	p.udp.Close()
}
