// Package standin owns fakes for tests on loopback and for the example: an engine, a name server and a MySQL
// client. They implement the public protocols without any of the gateway's own code, so that the two sides cannot
// share a mistake. The gateway must not import this package.
package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Request is a request that an engine has received.
type Request struct {
	ID        string
	Fields    map[string]string // the fields of the command, by name
	Statement string
}

// Reply describes how an engine answers a request.
type Reply struct {
	Delay        time.Duration // before the reply
	ReportedWork time.Duration // elapsed time reported for a served request; 0: the delay
	Status       string        // served, overload, crashed or nobody; empty: no reply
	Pages        []string      // the result of a served request
	Reset        bool          // the connection is reset instead of a reply
	Raw          string        // written instead of a reply
}

// Engine is a fake engine that records the requests it receives.
type Engine struct {
	listener  net.Listener
	handler   func(Request) Reply
	wg        sync.WaitGroup
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	requests  []Request
	cancelled []string
	startedAt map[string]time.Time
	holdTimes map[string]time.Duration
	stopped   bool
}

// NewEngine starts an engine that listens on addr. The handler returns the reply to each request; it may be called
// concurrently.
func NewEngine(addr string, handler func(Request) Reply) (*Engine, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{listener: ln, handler: handler, conns: map[net.Conn]struct{}{}, startedAt: map[string]time.Time{}, holdTimes: map[string]time.Duration{}}
	e.wg.Add(1)
	go e.accept()
	return e, nil
}

// Addr returns the address that the engine listens on.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Requests returns the requests received so far.
func (e *Engine) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Request(nil), e.requests...)
}

// Cancelled returns the ids of the requests cancelled so far.
func (e *Engine) Cancelled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.cancelled...)
}

// HoldTime returns how long a request held the engine until it was freed or cancelled, and 0 before that.
func (e *Engine) HoldTime(id string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holdTimes[id]
}

// Close ends the engine like a killed process, by resetting its connections, and waits for its goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.stopped = true
	_ = e.listener.Close() // the listener is not used again
	for c := range e.conns {
		resetConn(c)
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close() // an error does not matter: the connection is not used again
}

func (e *Engine) accept() {
	defer e.wg.Done()
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.stopped {
			resetConn(conn)
		} else {
			e.conns[conn] = struct{}{}
			e.wg.Add(1)
			go e.serve(conn)
		}
		e.mu.Unlock()
	}
}

// session is the state of one connection from a gateway.
type session struct {
	engine  *Engine
	conn    net.Conn
	mu      sync.Mutex
	running map[string]*time.Timer
	results map[string][]string
}

func (e *Engine) serve(conn net.Conn) {
	defer e.wg.Done()
	s := &session{engine: e, conn: conn, running: map[string]*time.Timer{}, results: map[string][]string{}}
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil || !s.handleCommand(in, strings.Fields(line)) {
			break
		}
	}
	_ = conn.Close() // the peer has disconnected or violated the protocol
	s.mu.Lock()
	for _, t := range s.running {
		t.Stop()
	}
	s.mu.Unlock()
	e.mu.Lock()
	delete(e.conns, conn)
	e.mu.Unlock()
}

// handleCommand executes the command whose line has the given words. It returns false if the command violates the
// protocol.
func (s *session) handleCommand(in *bufio.Reader, words []string) (ok bool) {
	if len(words) < 2 {
		return false
	}
	id := words[1]
	switch words[0] {
	case "ASK":
		return len(words) == 4 && s.handleAsk(in, id, words[2], words[3])
	case "QUIT", "FREE":
		s.release(id, words[0] == "QUIT")
	case "NEXT":
		page, err := strconv.Atoi(words[len(words)-1])
		s.mu.Lock()
		pages := s.results[id]
		s.mu.Unlock()
		if err != nil || page < 1 || page >= len(pages) {
			s.writeReply(id, "crashed", "-", "")
		} else {
			s.writeReply(id, "rows", "index="+strconv.Itoa(page), pages[page])
		}
	case "NOOP":
		s.writeReply(id, "green", "-", "")
	case "INFO":
		s.mu.Lock()
		running := len(s.running)
		s.mu.Unlock()
		s.writeReply(id, "green", fmt.Sprintf("rep=inflight:%d;util:0.50", running), "")
	case "PRIO":
	default:
		return false
	}
	return true
}

// release discards a request and its result after the request was freed or cancelled, and records its hold time.
func (s *session) release(id string, cancelled bool) {
	s.mu.Lock()
	if t := s.running[id]; t != nil {
		t.Stop()
	}
	delete(s.running, id)
	delete(s.results, id)
	s.mu.Unlock()
	s.engine.mu.Lock()
	defer s.engine.mu.Unlock()
	if startedAt, ok := s.engine.startedAt[id]; ok {
		s.engine.holdTimes[id] = time.Since(startedAt)
		delete(s.engine.startedAt, id)
	}
	if cancelled {
		s.engine.cancelled = append(s.engine.cancelled, id)
	}
}

// maxStatementBytes is the longest statement that an engine accepts.
const maxStatementBytes = 1 << 24

// handleAsk reads the statement of a request and schedules its reply. It returns false if the request violates the
// protocol.
func (s *session) handleAsk(in *bufio.Reader, id, fields, length string) bool {
	size, err := strconv.Atoi(length)
	if err != nil || size < 0 || size > maxStatementBytes {
		return false
	}
	body := make([]byte, size+2)
	if _, err := io.ReadFull(in, body); err != nil || string(body[size:]) != "\r\n" {
		return false
	}
	request := Request{ID: id, Fields: map[string]string{}, Statement: string(body[:size])}
	for _, f := range strings.Split(fields, ",") {
		if name, value, ok := strings.Cut(f, "="); ok {
			request.Fields[name] = value
		}
	}
	s.engine.mu.Lock()
	s.engine.requests = append(s.engine.requests, request)
	s.engine.startedAt[id] = time.Now()
	s.engine.mu.Unlock()
	reply := s.engine.handler(request)
	s.mu.Lock()
	s.running[id] = time.AfterFunc(reply.Delay, func() { s.finish(id, reply) })
	s.mu.Unlock()
	return true
}

// finish sends the reply to a request, unless the request was cancelled.
func (s *session) finish(id string, reply Reply) {
	s.mu.Lock()
	_, running := s.running[id]
	delete(s.running, id)
	if running && reply.Status == "served" {
		s.results[id] = reply.Pages
	}
	s.mu.Unlock()
	switch {
	case !running:
	case reply.Reset:
		resetConn(s.conn)
	case reply.Raw != "":
		s.writeRaw(reply.Raw)
	case reply.Status == "served":
		page := ""
		if len(reply.Pages) > 0 {
			page = reply.Pages[0]
		}
		work := reply.ReportedWork
		if work == 0 {
			work = reply.Delay
		}
		s.writeReply(id, reply.Status, fmt.Sprintf("total=%d,elapsed=%d,rss=64", max(len(reply.Pages), 1), work.Milliseconds()), page)
	case reply.Status != "":
		s.writeReply(id, reply.Status, "-", "")
	}
}

func (s *session) writeReply(id, word, fields, body string) {
	s.writeRaw(fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body))
}

func (s *session) writeRaw(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.conn, text) // a failed connection is detected by the read loop
}
