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

// gateway is one of the fleet's gateways, over all incarnations of its process, with its name server and the proxies around it.
type gateway struct {
	party
	fleet         *fleet
	index         int        // in fleet.gateways
	zoneIndex     int        // in Script.Zones
	startMu       sync.Mutex // held during a start by a fault
	nameServer    *standin.NameServer
	dnsProxy      *faultproxy.UDP // to the name server
	clientProxy   *faultproxy.TCP // from clients
	listenAddr    string
	gossipAddr    netip.AddrPort          // for other gateways
	controlAddr   netip.AddrPort          // for operators' commands
	peerProxies   []*faultproxy.TCPAndUDP // to each other gateway, by its index; nil for itself
	incarnation   atomic.Int64            // grows with each start and each stop
	frozen        atomic.Bool
	resumedAt     atomic.Int64 // when it was last resumed; Unix nanoseconds, as the following
	resetAt       atomic.Int64 // when its clients' connections were last reset
	killedAt      atomic.Int64 // when it was last killed
	endedAt       atomic.Int64 // when its latest process exited
	strainedUntil atomic.Int64 // until when it may lack descriptors, or its calls may fail

	mu      sync.Mutex
	current *process  // nil: stopped, or being stopped
	latest  *process  // the one started last
	termAt  time.Time // when it was asked to stop; zero: it was not since its start
	log     cappedLog

	list endpointList // what its name server publishes
}

// cappedLog keeps the beginning of a log, up to maxLogBytes.
type cappedLog struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

// Write appends to the log what still fits.
func (l *cappedLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len()+len(p) <= maxLogBytes {
		l.buf.Write(p)
	}
	return len(p), nil
}

// String is the log so far.
func (l *cappedLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// disturbed reports whether a fault keeps the gateway from answering its clients in time now: it is frozen, or a link with them is
// bad.
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

// tail is the end of a log, for messages.
func tail(text string) string { return text[max(0, len(text)-2000):] }

// acceptsNewConnections reports whether clients open new connections to the gateway: not for long after it was asked to stop.
func (g *gateway) acceptsNewConnections() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.termAt.IsZero() || time.Since(g.termAt) < newConnectionsAfterTerm
}

// markStrained marks the gateway as unable to accept every connection for a while: what it closes unread is not lost then.
func (g *gateway) markStrained(d time.Duration) { g.strainedUntil.Store(time.Now().Add(d).UnixNano()) }

// disturbedSince reports whether a fault kept the gateway from its clients at any time since then.
func (g *gateway) disturbedSince(since time.Time) bool {
	return g.disturbed() || g.resumedAt.Load() > since.UnixNano() || g.resetAt.Load() > since.UnixNano() ||
		g.clientProxy.Forward().ChangedWithin(time.Since(since)) || g.clientProxy.Reverse().ChangedWithin(time.Since(since))
}

// stoppedSince reports whether the process was frozen at any time since then.
func (g *gateway) stoppedSince(t time.Time) bool {
	return g.frozen.Load() || g.resumedAt.Load() > t.UnixNano()
}
