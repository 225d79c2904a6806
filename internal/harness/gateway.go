package harness

import (
	"bytes"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"foxlane/internal/faultproxy"
	"foxlane/internal/standin"
)

// gateway is one of the fleet's gateways over all incarnations of its process, with its name server and its proxies.
type gateway struct {
	party
	fleet        *fleet
	index        int        // in fleet.gateways
	zoneIndex    int        // in Script.Zones
	startMu      sync.Mutex // held while a fault starts the gateway
	nameServer   *standin.NameServer
	dnsProxy     *faultproxy.UDP // to the name server
	clientProxy  *faultproxy.TCP // from clients
	listenAddr   string
	gossipAddr   netip.AddrPort          // for other gateways
	controlAddr  netip.AddrPort          // for operators' commands
	peerProxies  []*faultproxy.TCPAndUDP // to each other gateway, by the other's index; nil for itself
	incarnation  atomic.Int64            // grows with each start and each stop
	frozen       atomic.Bool
	resumedAt    atomic.Int64 // when it was last resumed; like the next four in Unix nanoseconds
	resetAt      atomic.Int64 // when its clients' connections were last reset
	killedAt     atomic.Int64 // when it was last killed
	exitedAt     atomic.Int64 // when its latest process exited
	limitedUntil atomic.Int64 // until when it may lack file descriptors, or its calls may fail

	mu      sync.Mutex
	current *process  // nil: stopped, or being stopped
	latest  *process  // the process started last; it may have exited
	termAt  time.Time // when it got SIGTERM or SIGKILL; zero: not since its last start
	log     cappedLog

	list endpointList // the engine list that its name server publishes
}

// cappedLog keeps the beginning of a log, up to maxLogBytes.
type cappedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends p to the log, or drops all of it if it does not fit. It never fails.
func (l *cappedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len()+len(p) <= maxLogBytes {
		l.buf.Write(p)
	}
	return len(p), nil
}

// String returns the log so far.
func (l *cappedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// disturbed reports whether a fault currently keeps the gateway from answering its clients in time: it is frozen, or
// a link between it and its clients is cut, delayed or lossy.
func (g *gateway) disturbed() bool {
	if g.frozen.Load() {
		return true
	}
	for _, link := range []*faultproxy.Link{g.fleet.link(clientsParty, g.party), g.fleet.link(g.party, clientsParty)} {
		if c := link.Conditions(); c.Cut || c.Delay > 0 || c.Loss > 0 {
			return true
		}
	}
	return false
}

// tail returns the last 2000 bytes of a log, for messages.
func tail(text string) string { return text[max(0, len(text)-2000):] }

// acceptsNewConnections reports whether clients open new connections to the gateway. They stop
// newConnectionsAfterTerm after the gateway was asked to stop.
func (g *gateway) acceptsNewConnections() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.termAt.IsZero() || time.Since(g.termAt) < newConnectionsAfterTerm
}

// markLimited marks the gateway as possibly unable to accept every connection for a while. A request on a new
// connection that it closes at once does not count as lost then.
func (g *gateway) markLimited(d time.Duration) { g.limitedUntil.Store(time.Now().Add(d).UnixNano()) }

// disturbedSince reports whether a fault may have kept the gateway from answering its clients in time at any point
// after since.
func (g *gateway) disturbedSince(since time.Time) bool {
	return g.disturbed() || g.resumedAt.Load() > since.UnixNano() || g.resetAt.Load() > since.UnixNano() ||
		g.clientProxy.Forward().ChangedWithin(time.Since(since)) || g.clientProxy.Reverse().ChangedWithin(time.Since(since))
}

// frozenSince reports whether the process has been frozen at any time since t.
func (g *gateway) frozenSince(t time.Time) bool {
	return g.frozen.Load() || g.resumedAt.Load() > t.UnixNano()
}
