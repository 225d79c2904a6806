package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// dialTimeout is that of connections to the target.
const dialTimeout = time.Second

// TCP is a proxy for connections to one address.
type TCP struct {
	listener net.Listener
	forward  *Link
	reverse  *Link

	mu     sync.Mutex
	target string                    // of new connections
	conns  map[*net.TCPConn]struct{} // open ones, both to clients and to the target
	closed bool

	wg sync.WaitGroup // accept, and a goroutine for each connection
}

// NewTCP starts a proxy to a target, on an address of this machine. Forward is the link to the target, reverse the one from it.
func NewTCP(listen, target string, forward, reverse *Link) (*TCP, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &TCP{listener: ln, target: target, forward: forward, reverse: reverse, conns: map[*net.TCPConn]struct{}{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Forward is the link to the target.
func (p *TCP) Forward() *Link { return p.forward }

// Reverse is the link from the target.
func (p *TCP) Reverse() *Link { return p.reverse }

// Addr is the address the proxy listens on.
func (p *TCP) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// SetTarget has new connections go to another target.
func (p *TCP) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
}

// Reset resets all connections, as a machine that has restarted does.
func (p *TCP) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	p.forward.resets.Add(int64(len(p.conns)) / 2)
}

// reset closes a connection by a reset instead of an end of file.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Close stops the proxy with all of its connections, and waits for their goroutines.
func (p *TCP) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	_ = p.listener.Close()
	p.Reset()
	p.wg.Wait()
}

// accept accepts connections until the listener is closed.
func (p *TCP) accept() {
	for {
		conn, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.wg.Go(func() { p.serveConn(conn.(*net.TCPConn)) })
	}
}

// track adds a connection to those that Reset resets, or closes it and returns false if the proxy is closed.
func (p *TCP) track(c *net.TCPConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		_ = c.Close()
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

// untrack closes a connection and removes it.
func (p *TCP) untrack(c *net.TCPConn) {
	_ = c.Close() // it may have been reset
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

func (p *TCP) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// serveConn forwards one accepted connection to the target, until both directions have ended. A target that can't be reached
// resets it.
func (p *TCP) serveConn(in *net.TCPConn) {
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
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = in.SetLinger(0) // untrack then resets it
		return
	}
	out := conn.(*net.TCPConn)
	if !p.track(out) {
		return
	}
	defer p.untrack(out)
	var both sync.WaitGroup
	both.Go(func() { p.copyDelayed(out, in, p.forward) })
	both.Go(func() { p.copyDelayed(in, out, p.reverse) })
	both.Wait()
}

// waitWhileCut waits until a link is not cut. It returns false if the connection or the proxy is closed before that.
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

// delayedChunk is data in transit, which arrives when it is due.
type delayedChunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies one direction of a connection, in order, with the conditions of its link. Backpressure is that of
// maxQueuedChunks in transit. The end of src closes dst for writing, a reset of src resets dst, a failed dst closes src.
func (p *TCP) copyDelayed(dst, src *net.TCPConn, link *Link) {
	inTransit := make(chan delayedChunk, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() {
		failed := false
		for chunk := range inTransit {
			if !failed {
				time.Sleep(time.Until(chunk.due))
				failed = !p.waitWhileCut(dst, link)
			}
			if !failed {
				_, err := dst.Write(chunk.data)
				failed = err != nil
			}
			if failed {
				_ = src.Close() // the reader below ends
			}
		}
		_ = dst.CloseWrite()
	})
	for {
		buf := make([]byte, chunkSize)
		n, err := src.Read(buf)
		if n > 0 {
			delay, _ := link.delivery(n, true)
			inTransit <- delayedChunk{buf[:n], time.Now().Add(delay)}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) { // src was reset or closed
				reset(dst)
			}
			break
		}
	}
	close(inTransit)
	writer.Wait()
}
