package faultproxy

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// dialTimeout bounds a connection attempt to the target.
const dialTimeout = time.Second

// TCP is a proxy for TCP connections to one target at a time.
type TCP struct {
	listener net.Listener
	forward  *Link
	reverse  *Link

	mu     sync.Mutex
	target string                    // for new connections
	conns  map[*net.TCPConn]struct{} // open connections, both to clients and to the target
	closed bool

	wg sync.WaitGroup // accept, and a serveConn for each connection
}

// NewTCP starts a proxy that listens on an address of this machine and forwards to a target. The forward link leads
// to the target, the reverse link back from it.
func NewTCP(listen, target string, forward, reverse *Link) (*TCP, error) {
	ln, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &TCP{listener: ln, target: target, forward: forward, reverse: reverse, conns: map[*net.TCPConn]struct{}{}}
	p.wg.Go(p.accept)
	return p, nil
}

// Forward returns the link to the target.
func (p *TCP) Forward() *Link { return p.forward }

// Reverse returns the link from the target.
func (p *TCP) Reverse() *Link { return p.reverse }

// Addr returns the address that the proxy listens on.
func (p *TCP) Addr() netip.AddrPort { return netip.MustParseAddrPort(p.listener.Addr().String()) }

// SetTarget changes the target of new connections.
func (p *TCP) SetTarget(target string) {
	p.mu.Lock()
	p.target = target
	p.mu.Unlock()
}

// Reset resets all open connections, as a restart of the target's machine does.
func (p *TCP) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
	p.forward.resets.Add(int64(len(p.conns)) / 2)
}

// reset closes a connection with RST instead of FIN.
func reset(c *net.TCPConn) {
	_ = c.SetLinger(0)
	_ = c.Close()
}

// Close stops the proxy, resets its connections and waits for its goroutines.
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

// track adds a connection to those that Reset resets. If the proxy is closed it closes the connection and returns
// false.
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

// untrack closes a connection and removes it from those that Reset resets.
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

// serveConn forwards one accepted connection to the target until both directions have ended. It resets the connection
// if the target can't be reached.
func (p *TCP) serveConn(client *net.TCPConn) {
	if !p.track(client) {
		return
	}
	defer p.untrack(client)
	p.forward.accepted.Add(1)
	time.Sleep(p.forward.Conditions().Delay + p.reverse.Conditions().Delay)
	if !p.waitWhileCut(client, p.forward) || !p.waitWhileCut(client, p.reverse) {
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = client.SetLinger(0) // the Close in untrack then sends a reset
		return
	}
	upstream := conn.(*net.TCPConn)
	if !p.track(upstream) {
		return
	}
	defer p.untrack(upstream)
	var both sync.WaitGroup
	both.Go(func() { p.copyDelayed(upstream, client, p.forward) })
	both.Go(func() { p.copyDelayed(client, upstream, p.reverse) })
	both.Wait()
}

// waitWhileCut waits while a link is cut. It returns false if the connection or the proxy is closed meanwhile.
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

// delayedChunk is data in transit and the time at which it arrives.
type delayedChunk struct {
	data []byte
	due  time.Time
}

// copyDelayed copies one direction of a connection in order, under the conditions of its link. It stops reading while
// maxQueuedChunks are in transit. The end of src closes dst for writing, a reset of src resets dst, and a failed
// write to dst closes src.
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
				_ = src.Close() // ends the read loop below
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
