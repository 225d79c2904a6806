package transport

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"foxlane/internal/config"
	"foxlane/internal/gateway"
)

// newTestControlServer returns a control server whose requests stay in the queue, and a function that connects and
// sends a line.
func newTestControlServer(t *testing.T) (*controlServer, func(line string) (net.Conn, *bufio.Reader)) {
	t.Helper()
	return newTestControlServerAfter(t, new(atomic.Uint64))
}

// newTestControlServerAfter is like newTestControlServer, for a server that follows one that numbered connections up to lastConn.
func newTestControlServerAfter(t *testing.T, lastConn *atomic.Uint64) (*controlServer, func(line string) (net.Conn, *bufio.Reader)) {
	t.Helper()
	c, err := startControl(netip.MustParseAddrPort(freeAddress(t)), newEventQueue(config.Limits{EventQueueBytes: 1 << 20}), zap.NewNop(), lastConn)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.stop(); c.wait() })
	return c, func(line string) (net.Conn, *bufio.Reader) {
		t.Helper()
		conn, err := net.Dial("tcp", c.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { mustClose(t, conn) })
		if err := conn.SetDeadline(time.Now().Add(3 * time.Second)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(conn, line); err != nil {
			t.Fatal(err)
		}
		return conn, bufio.NewReader(conn)
	}
}

// takeRequest waits for the next request in the queue.
func (c *controlServer) takeRequest(t *testing.T) (out gateway.ControlRequest) {
	t.Helper()
	waitFor(t, "a request", func() bool {
		events, _ := c.queue.drain(nil, nil)
		if len(events) == 0 {
			return false
		}
		out = events[0].event.(gateway.ControlRequest)
		return true
	})
	return out
}

// A request is passed to the reducer as one line, the response is written to its connection, and the connection is
// closed.
func TestControlRequestIsAnswered(t *testing.T) {
	c, dial := newTestControlServer(t)
	_, in := dial("members\n")
	request := c.takeRequest(t)
	if string(request.Data) != "members" {
		t.Errorf("the reducer got %q", request.Data)
	}
	c.respond(gateway.ControlResponse{Conn: request.Conn + 1, Data: []byte("to nobody\n")})
	c.respond(gateway.ControlResponse{Conn: request.Conn, Data: []byte("[]\n")})
	if line, err := in.ReadString('\n'); err != nil || line != "[]\n" {
		t.Errorf("the command got %q, %v", line, err)
	}
	waitFor(t, "the connection to be removed", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.conns) == 0
	})
}

// Connections over the limit are closed at once; the open ones still get their responses.
func TestControlConnectionsAreLimited(t *testing.T) {
	c, dial := newTestControlServer(t)
	var readers []*bufio.Reader
	for range maxControlConns {
		_, in := dial("copies\n")
		readers = append(readers, in)
	}
	waitFor(t, "all connections", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.conns) == maxControlConns
	})
	_, in := dial("")
	if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("a connection over the limit read %v, want EOF", err)
	}
	for id := range gateway.ConnID(maxControlConns) {
		c.respond(gateway.ControlResponse{Conn: id + 1, Data: []byte("{}\n")})
	}
	for i, in := range readers {
		if line, err := in.ReadString('\n'); err != nil || line != "{}\n" {
			t.Errorf("command %d got %q, %v", i, line, err)
		}
	}
}

// Stopping the server closes connections that wait for a response and connections that have sent no request.
func TestControlStopClosesConnections(t *testing.T) {
	c, dial := newTestControlServer(t)
	_, waiting := dial("members\n")
	c.takeRequest(t)
	_, silent := dial("")
	waitFor(t, "both connections", func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.conns) == 2
	})
	c.stop()
	c.wait()
	for client, in := range map[string]*bufio.Reader{"that waits for a response": waiting, "that has sent no request": silent} {
		if _, err := in.ReadByte(); !errors.Is(err, io.EOF) {
			t.Errorf("the connection %s read %v, want EOF", client, err)
		}
	}
}

// Guards against a command that gets the response to another one: after a reload has replaced the control server, a
// response to a command of the former server must not reach a connection of the new one.
func TestLateControlResponseReachesNoLaterCommand(t *testing.T) {
	lastConn := new(atomic.Uint64)
	former, dial := newTestControlServerAfter(t, lastConn)
	dial("{\"kind\":\"drain\"}\n")
	late := former.takeRequest(t)
	former.stop()
	former.wait()
	next, dial := newTestControlServerAfter(t, lastConn)
	_, in := dial("members\n")
	request := next.takeRequest(t)
	next.respond(gateway.ControlResponse{Conn: late.Conn, Data: []byte("{\"index\":7}\n")})
	next.respond(gateway.ControlResponse{Conn: request.Conn, Data: []byte("[]\n")})
	if line, err := in.ReadString('\n'); err != nil || line != "[]\n" {
		t.Errorf("the command got %q, %v", line, err)
	}
}

// Guards against a response that is cut off: one that is being written when the server stops is written to its end.
func TestResponseIsWrittenThoughServerStops(t *testing.T) {
	c, dial := newTestControlServer(t)
	_, in := dial("copies\n")
	request := c.takeRequest(t)
	response := append(bytes.Repeat([]byte("x"), 8<<20), '\n') // more than the sockets hold
	c.respond(gateway.ControlResponse{Conn: request.Conn, Data: response})
	c.stop()
	if line, err := in.ReadBytes('\n'); err != nil || len(line) != len(response) {
		t.Errorf("the command got %d of %d bytes, %v", len(line), len(response), err)
	}
}
