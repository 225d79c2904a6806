package transport

import (
	"net"
	"net/netip"
	"time"

	"github.com/lesismal/nbio"
	"go.uber.org/zap"

	"foxlane/internal/gateway"
)

// This file runs the poller, which reads and writes all connections, and accepts connections from clients.

const (
	readBufferSize   = 16 << 10
	maxReadsPerEvent = 16 // consecutive reads of one connection before the poller serves the next
	acceptRetryDelay = 10 * time.Millisecond
)

// startPoller starts listening for clients and starts the poller that reads and writes connections.
func (s *Server) startPoller() error {
	s.poller = nbio.NewEngine(nbio.Config{
		Network: "tcp", Addrs: []string{s.cfg.Listen.String()}, NPoller: 1, ReadBufferSize: readBufferSize,
		MaxConnReadTimesPerEventLoop: maxReadsPerEvent, BodyAllocator: &s.writeBuffers,
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

// onOpen registers an accepted or dialed connection. If clients connect faster than the reducer closes excess
// connections, the accepting goroutine blocks here: running out of descriptors would also make dials to engines fail.
func (s *Server) onOpen(nb *nbio.Conn) {
	defer s.reportPanic("connection opened")
	s.mu.Lock()
	c := s.connsByNB[nb]
	if c == nil {
		for (s.clientCount >= s.limits.MaxClients+s.limits.AcceptOverflow || s.acceptPaused) && !s.shuttingDown.Load() {
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

// pauseAccepting pauses or resumes the acceptance of connections. One that the accepting goroutine has already taken
// waits meanwhile.
func (s *Server) pauseAccepting(paused bool) {
	s.mu.Lock()
	s.acceptPaused = paused
	s.clientClosed.Broadcast()
	s.mu.Unlock()
}

func (s *Server) onData(nb *nbio.Conn, data []byte) {
	defer s.reportPanic("data received")
	if c := s.recordQueuedRead(nb); c != nil {
		s.queue.enqueueReceived(c.id, data)
	}
}

func (s *Server) onClose(nb *nbio.Conn, err error) {
	defer s.endOnPanic("connection closed") // nbio recovers from panics here
	c := s.connByNB(nb)
	if c == nil {
		return
	}
	if closeErr := s.removeConn(c); closeErr != nil {
		err = closeErr
	}
	s.queue.enqueue(gateway.ConnectionClosed{Conn: c.id, Err: err, AcceptedBytes: c.acceptedBytes.Load()})
}

// onAcceptError waits before the next accept: after descriptor exhaustion, descriptors become free when connections
// close. The error is not logged during shutdown, when accepts fail because the listener is closed.
func (s *Server) onAcceptError(err error) {
	if !s.shuttingDown.Load() {
		s.log.Warn("accept failed", zap.Error(err))
	}
	time.Sleep(acceptRetryDelay)
}

// remoteIP returns the IP address of a TCP address, or the zero Addr for any other address.
func remoteIP(a net.Addr) netip.Addr {
	if tcp, ok := a.(*net.TCPAddr); ok {
		return tcp.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}
