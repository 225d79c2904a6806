package transport

import (
	"net"
	"net/netip"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/zap"

	"foxlane/internal/gateway"
)

// This file has the poller, which reads and writes all connections, and the connections that clients make.

const (
	readBufferSize   = 16 << 10
	maxReadsPerEvent = 16 // reads of one connection before the next has its turn
	acceptErrorPause = 10 * time.Millisecond
)

// startPoller begins to listen, and to read and write connections.
func (s *Server) startPoller() error {
	s.poller = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{s.cfg.Listen.String()}, NPoller: 1, ReadBufferSize: readBufferSize,
		MaxConnReadTimesPerEventLoop: maxReadsPerEvent,
		Listen: func(_, addr string) (ln net.Listener, err error) {
			ln, err = s.platform.Listen(addr)
			s.listener = ln
			return ln, err
		},
	})
	s.poller.OnOpen(s.onOpen)
	s.poller.OnData(s.onData)
	s.poller.OnWrittenSize(s.onWritten)
	s.poller.OnClose(s.onClose)
	s.poller.OnAcceptError(s.onAcceptError)
	return s.poller.Start()
}

// onOpen takes in a connection that a client has opened, or that a dial has. Where clients come faster than the reducer
// can close others for them, the accepting goroutine waits here: descriptors must not run out, or dials to engines fail
// with them.
func (s *Server) onOpen(nb *nbio.Conn) {
	s.mu.Lock()
	c := s.connsByNB[nb]
	if c == nil {
		for s.clientCount >= s.limits.MaxClients+s.limits.AcceptOverflow && !s.shuttingDown.Load() {
			s.clientClosed.Wait()
		}
		s.lastAccepted++
		s.clientCount++
		c = &conn{id: s.lastAccepted, nb: nb, maxPending: int64(s.limits.ClientSendBuffer), fromClient: true}
		s.connsByNB[nb] = c
	}
	s.conns[c.id] = c
	s.mu.Unlock()
	if c.fromClient {
		s.queue.enqueue(gateway.ConnectionAccepted{Conn: c.id, From: remoteIP(nb.RemoteAddr())})
	} else {
		s.queue.enqueue(gateway.DialSucceeded{Conn: c.id})
	}
}

func (s *Server) onData(nb *nbio.Conn, data []byte) {
	if c := s.countRead(nb); c != nil {
		s.queue.enqueueReceived(c.id, data)
	}
}

func (s *Server) onClose(nb *nbio.Conn, err error) {
	c := s.connByNB(nb)
	if c == nil {
		return
	}
	if closeErr := s.removeConn(c); closeErr != nil {
		err = closeErr
	}
	s.queue.enqueue(gateway.ConnectionClosed{Conn: c.id, Err: err, AcceptedBytes: c.acceptedBytes.Load()})
}

// onAcceptError waits before the next accept: where descriptors ran out they come back when something closes. Once the
// listener is closed nothing more is accepted.
func (s *Server) onAcceptError(err error) {
	if !s.shuttingDown.Load() {
		s.log.Warn("accept failed", zap.Error(err))
	}
	time.Sleep(acceptErrorPause)
}

// remoteIP returns the IP address of the other side, or the zero address.
func remoteIP(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
