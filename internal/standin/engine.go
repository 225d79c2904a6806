// Package standin owns fake servers and a client for tests on loopback and for the example: an engine, a name server and
// a MySQL client. They implement the public protocols without any of the gateway's own code, so that both sides can't
// share a mistake. They must never be part of the gateway.
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
	Fields    map[string]string // by name, as the command has them
	Statement string
}

// Reply is how an engine answers a request.
type Reply struct {
	Delay        time.Duration // before the reply
	ReportedWork time.Duration // reported for a served request; 0: the delay
	Status       string        // served, overload, crashed or nobody; empty: no reply
	Pages        []string      // of a served request
	Reset        bool          // reset the connection instead of replying
	Raw          string        // write this instead of a reply
}

// Engine is a fake engine.
type Engine struct {
	listener  net.Listener
	answer    func(Request) Reply
	wg        sync.WaitGroup
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	requests  []Request
	cancelled []string
	startedAt map[string]time.Time
	holdTimes map[string]time.Duration
	stopped   bool
}

// NewEngine starts an engine on an address. The function decides the reply to each request; it may be called concurrently.
func NewEngine(addr string, answer func(Request) Reply) (*Engine, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{listener: ln, answer: answer, conns: map[net.Conn]struct{}{}, startedAt: map[string]time.Time{}, holdTimes: map[string]time.Duration{}}
	e.wg.Add(1)
	go e.accept()
	return e, nil
}

// Addr is the address that it listens on.
func (e *Engine) Addr() string { return e.listener.Addr().String() }

// Requests are the requests that it has received so far.
func (e *Engine) Requests() []Request {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Request(nil), e.requests...)
}

// Cancelled are the ids of the requests that were cancelled so far.
func (e *Engine) Cancelled() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.cancelled...)
}

// HoldTime is how long a request held the engine, until it was freed or cancelled; 0 until then.
func (e *Engine) HoldTime(id string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.holdTimes[id]
}

// Close ends the engine as a process that is killed does: its connections are reset. It waits for its goroutines.
func (e *Engine) Close() {
	e.mu.Lock()
	e.stopped = true
	_ = e.listener.Close() // the engine ends in any case
	for c := range e.conns {
		resetConn(c)
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// resetConn closes a connection by a reset.
func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close() // it is reset in any case
}

func (e *Engine) accept() {
	defer e.wg.Done()
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.stopped {
			resetConn(c)
		} else {
			e.conns[c] = struct{}{}
			e.wg.Add(1)
			go e.serve(c)
		}
		e.mu.Unlock()
	}
}

// session is one connection of a gateway.
type session struct {
	engine  *Engine
	conn    net.Conn
	mu      sync.Mutex
	running map[string]*time.Timer
	results map[string][]string
}

func (e *Engine) serve(c net.Conn) {
	defer e.wg.Done()
	s := &session{engine: e, conn: c, running: map[string]*time.Timer{}, results: map[string][]string{}}
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil || !s.command(in, strings.Fields(line)) {
			break
		}
	}
	_ = c.Close() // its client has gone or has broken the protocol
	s.mu.Lock()
	for _, t := range s.running {
		t.Stop()
	}
	s.mu.Unlock()
	e.mu.Lock()
	delete(e.conns, c)
	e.mu.Unlock()
}

// command executes one command; words are those of its line. It reports false for one that breaks the protocol.
func (s *session) command(in *bufio.Reader, words []string) (ok bool) {
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
		n, err := strconv.Atoi(words[len(words)-1])
		s.mu.Lock()
		pages := s.results[id]
		s.mu.Unlock()
		if err != nil || n < 1 || n >= len(pages) {
			s.write(id, "crashed", "-", "")
		} else {
			s.write(id, "rows", "index="+strconv.Itoa(n), pages[n])
		}
	case "NOOP":
		s.write(id, "green", "-", "")
	case "INFO":
		s.mu.Lock()
		n := len(s.running)
		s.mu.Unlock()
		s.write(id, "green", fmt.Sprintf("rep=inflight:%d;util:0.50", n), "")
	case "PRIO":
	default:
		return false
	}
	return true
}

// release forgets a request and its result, at its end or when it is cancelled.
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
	if from, ok := s.engine.startedAt[id]; ok {
		s.engine.holdTimes[id] = time.Since(from)
		delete(s.engine.startedAt, id)
	}
	if cancelled {
		s.engine.cancelled = append(s.engine.cancelled, id)
	}
}

// maxStatementBytes bounds what an engine reads of one statement.
const maxStatementBytes = 1 << 24

// handleAsk reads the rest of a request and starts it. It reports false for one that breaks the protocol.
func (s *session) handleAsk(in *bufio.Reader, id, fields, length string) bool {
	n, err := strconv.Atoi(length)
	if err != nil || n < 0 || n > maxStatementBytes {
		return false
	}
	body := make([]byte, n+2)
	if _, err := io.ReadFull(in, body); err != nil || string(body[n:]) != "\r\n" {
		return false
	}
	a := Request{ID: id, Fields: map[string]string{}, Statement: string(body[:n])}
	for _, f := range strings.Split(fields, ",") {
		if name, value, ok := strings.Cut(f, "="); ok {
			a.Fields[name] = value
		}
	}
	s.engine.mu.Lock()
	s.engine.requests = append(s.engine.requests, a)
	s.engine.startedAt[id] = time.Now()
	s.engine.mu.Unlock()
	r := s.engine.answer(a)
	s.mu.Lock()
	s.running[id] = time.AfterFunc(r.Delay, func() { s.finish(id, r) })
	s.mu.Unlock()
	return true
}

// finish sends the reply to a request, unless that was cancelled.
func (s *session) finish(id string, r Reply) {
	s.mu.Lock()
	_, open := s.running[id]
	delete(s.running, id)
	if open && r.Status == "served" {
		s.results[id] = r.Pages
	}
	s.mu.Unlock()
	switch {
	case !open:
	case r.Reset:
		resetConn(s.conn)
	case r.Raw != "":
		s.writeRaw(r.Raw)
	case r.Status == "served":
		page := ""
		if len(r.Pages) > 0 {
			page = r.Pages[0]
		}
		work := r.ReportedWork
		if work == 0 {
			work = r.Delay
		}
		s.write(id, r.Status, fmt.Sprintf("total=%d,elapsed=%d,rss=64", max(len(r.Pages), 1), work.Milliseconds()), page)
	case r.Status != "":
		s.write(id, r.Status, "-", "")
	}
}

func (s *session) write(id, word, fields, body string) {
	s.writeRaw(fmt.Sprintf("%s %s %s %d\r\n%s\r\n", id, word, fields, len(body), body))
}

func (s *session) writeRaw(text string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = io.WriteString(s.conn, text) // a broken connection shows when it is read
}
