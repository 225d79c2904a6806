package transport

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
)

// This file has the listener for operators' commands.

const (
	maxControlConns       = 8
	maxControlRequestSize = 64 << 10 // bytes of a request
	controlTimeout        = 6 * time.Second
	controlAcceptPause    = 10 * time.Millisecond // after an accept has failed
)

// controlServer takes requests of operators' commands, one line on each connection, passes them to the reducer and
// writes its responses.
type controlServer struct {
	listener net.Listener
	queue    *eventQueue
	log      *zap.Logger
	workers  sync.WaitGroup

	mu       sync.Mutex
	conns    map[gateway.ConnID]net.Conn // whose request is read or not answered yet
	lastConn gateway.ConnID
	closed   bool
}

func startControl(addr netip.AddrPort, queue *eventQueue, log *zap.Logger) (*controlServer, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := &controlServer{listener: listener, queue: queue, log: log, conns: map[gateway.ConnID]net.Conn{}}
	c.workers.Go(c.accept)
	return c, nil
}

// stop ends the listener and all connections; wait waits for their goroutines.
func (c *controlServer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.listener.Close() // it accepts nothing more in any case
	for _, conn := range c.conns {
		_ = conn.Close() // its command gets no answer
	}
}

func (c *controlServer) wait() { c.workers.Wait() }

func (c *controlServer) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if c.isClosed() {
				return
			}
			time.Sleep(controlAcceptPause)
			continue
		}
		id, ok := c.add(conn)
		if !ok {
			_ = conn.Close() // too many commands at a time, or the end
			continue
		}
		c.workers.Go(func() { c.readRequest(id, conn) })
	}
}

func (c *controlServer) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

func (c *controlServer) add(conn net.Conn) (id gateway.ConnID, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.conns) >= maxControlConns {
		return 0, false
	}
	c.lastConn++
	c.conns[c.lastConn] = conn
	return c.lastConn, true
}

// readRequest passes a request to the reducer, whose response closes the connection.
func (c *controlServer) readRequest(id gateway.ConnID, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(controlTimeout)) // it fails on a closed connection, as Scan does then
	in := bufio.NewScanner(conn)
	in.Buffer(make([]byte, 0, 512), maxControlRequestSize)
	if !in.Scan() {
		c.remove(id)
		return
	}
	c.queue.enqueueBytes(in.Bytes(), func(line []byte) gateway.Event { return gateway.ControlRequest{Conn: id, Data: line} })
}

// respond writes a response from a goroutine of its own and closes the connection.
func (c *controlServer) respond(f gateway.ControlResponse) {
	c.mu.Lock()
	conn := c.conns[f.Conn]
	c.mu.Unlock()
	if conn == nil {
		return
	}
	line := bytes.Clone(f.Data)
	c.workers.Go(func() {
		if _, err := conn.Write(line); err != nil {
			c.log.Debug("control: answer not written", zap.Error(err))
		}
		c.remove(f.Conn)
	})
}

func (c *controlServer) remove(id gateway.ConnID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[id]; conn != nil {
		_ = conn.Close() // a response that did not arrive is logged where it is written
	}
	delete(c.conns, id)
}
