package transport

import (
	"bufio"
	"bytes"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
)

// This file serves operators' commands on the control socket.

const (
	maxControlConns         = 8
	maxControlRequestSize   = 64 << 10 // bytes of a request
	controlTimeout          = 6 * time.Second
	controlAcceptRetryDelay = 10 * time.Millisecond  // between a failed accept and the next
	responseFlushTimeout    = 200 * time.Millisecond // for writing responses once the server stops
)

// controlServer reads one request line from each control connection, passes it to the reducer and writes the
// reducer's response.
type controlServer struct {
	listener net.Listener
	queue    *eventQueue
	log      *zap.Logger
	workers  sync.WaitGroup

	lastConn *atomic.Uint64 // number of the last connection, of this server or an earlier one

	mu     sync.Mutex
	conns  map[gateway.ConnID]*controlConn // connections without a complete response
	closed bool
}

// controlConn is a connection from an operator's command.
type controlConn struct {
	net.Conn
	responding bool // its response is being written
}

// startControl starts a control server. It numbers connections from lastConn on, which outlives it: a reload may replace
// the server while the reducer still has a response to a command that came to the former one.
func startControl(addr netip.AddrPort, queue *eventQueue, log *zap.Logger, lastConn *atomic.Uint64) (*controlServer, error) {
	listener, err := net.Listen("tcp", addr.String())
	if err != nil {
		return nil, err
	}
	c := &controlServer{listener: listener, queue: queue, log: log, lastConn: lastConn, conns: map[gateway.ConnID]*controlConn{}}
	c.workers.Go(c.accept)
	return c, nil
}

// stop closes the listener and all connections without waiting for their goroutines. Responses that are being written get
// responseFlushTimeout first.
func (c *controlServer) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	_ = c.listener.Close() // an error has no consequence: the server is stopping
	for _, conn := range c.conns {
		if conn.responding {
			_ = conn.SetDeadline(time.Now().Add(responseFlushTimeout)) // fails only on a closed connection
		} else {
			_ = conn.Close() // the command gets no response
		}
	}
}

// wait waits for the server's goroutines to end. It is called after stop.
func (c *controlServer) wait() { c.workers.Wait() }

func (c *controlServer) accept() {
	for {
		conn, err := c.listener.Accept()
		if err != nil {
			if c.isClosed() {
				return
			}
			time.Sleep(controlAcceptRetryDelay)
			continue
		}
		id, ok := c.add(conn)
		if !ok {
			_ = conn.Close() // too many connections, or the server is stopping
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

// add registers a connection. It returns false if the server is stopping or maxControlConns are open.
func (c *controlServer) add(conn net.Conn) (id gateway.ConnID, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.conns) >= maxControlConns {
		return 0, false
	}
	id = gateway.ConnID(c.lastConn.Add(1))
	c.conns[id] = &controlConn{Conn: conn}
	return id, true
}

// readRequest reads a request and passes it to the reducer. The connection stays open for the response.
func (c *controlServer) readRequest(id gateway.ConnID, conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(controlTimeout)) // fails only on a closed connection, on which Scan fails too
	scanner := bufio.NewScanner(conn)
	scanner.Buffer(make([]byte, 0, 512), maxControlRequestSize)
	if !scanner.Scan() {
		c.remove(id)
		return
	}
	c.queue.enqueueBytes(scanner.Bytes(), func(line []byte) gateway.Event { return gateway.ControlRequest{Conn: id, Data: line} })
}

// respond writes a response in a goroutine of its own and then closes the connection.
func (c *controlServer) respond(response gateway.ControlResponse) {
	c.mu.Lock()
	conn := c.conns[response.Conn]
	if conn != nil {
		conn.responding = true
	}
	c.mu.Unlock()
	if conn == nil {
		return
	}
	line := bytes.Clone(response.Data)
	c.workers.Go(func() {
		if _, err := conn.Write(line); err != nil {
			c.log.Debug("control: answer not written", zap.Error(err))
		}
		c.remove(response.Conn)
	})
}

func (c *controlServer) remove(id gateway.ConnID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[id]; conn != nil {
		_ = conn.Close() // respond logs failed writes
	}
	delete(c.conns, id)
}
