package harness

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"foxlane/internal/standin"
)

// clientPool holds what all clients share: idle connections by gateway, and the gateways to avoid after a failure.
type clientPool struct {
	mu           sync.Mutex
	avoidedUntil []time.Time // by gateway; guarded by mu
	idle         []chan idleConn
}

// idleConn is an open connection without a request in flight.
type idleConn struct {
	client *standin.Client
	since  time.Time
}

const (
	maxIdleTime    = 4 * time.Second        // clients close a connection that was idle for longer
	maxIdleConns   = 64                     // per gateway
	avoidDuration  = time.Second            // how long clients avoid a gateway after a failure
	connectTimeout = 300 * time.Millisecond // for connections of clients to gateways
)

func newClientPool(n int) *clientPool {
	p := &clientPool{avoidedUntil: make([]time.Time, n)}
	for range n {
		p.idle = append(p.idle, make(chan idleConn, maxIdleConns))
	}
	return p
}

// close closes all idle connections. No client may use the pool any more.
func (p *clientPool) close() {
	for _, conns := range p.idle {
		for len(conns) > 0 { // nothing else receives from the channel any more
			(<-conns).client.Close()
		}
	}
}

// chooseGateway draws a gateway among those that are not avoided, preferably in the client's zone. If all are avoided
// it draws among all gateways.
func (f *fleet) chooseGateway(zone int, rng *rand.Rand) int {
	pool := f.clients
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	var inZone, usable []int
	for i, g := range f.gateways {
		if now.Before(pool.avoidedUntil[i]) {
			continue
		}
		if usable = append(usable, i); g.zoneIndex == zone {
			inZone = append(inZone, i)
		}
	}
	switch {
	case len(inZone) > 0:
		return inZone[rng.IntN(len(inZone))]
	case len(usable) > 0:
		return usable[rng.IntN(len(usable))]
	}
	return rng.IntN(len(f.gateways))
}

// avoid makes clients avoid a gateway for avoidDuration.
func (p *clientPool) avoid(gatewayIndex int) {
	p.mu.Lock()
	p.avoidedUntil[gatewayIndex] = time.Now().Add(avoidDuration)
	p.mu.Unlock()
}

var errNoNewConnections = errors.New("harness: gateway is stopping and gets no new connections")

// get returns an idle connection to a gateway or, if none is left, a new one. Without mayConnect it returns
// errNoNewConnections instead of opening one.
func (p *clientPool) get(gatewayIndex int, addr string, mayConnect bool) (client *standin.Client, isNew bool, err error) {
	for {
		select {
		case conn := <-p.idle[gatewayIndex]:
			if time.Since(conn.since) < maxIdleTime {
				return conn.client, false, nil
			}
			conn.client.Close()
		default:
			if !mayConnect {
				return nil, true, errNoNewConnections
			}
			client, err = standin.Connect(addr, netip.Addr{}, connectTimeout)
			return client, true, err
		}
	}
}

// put returns an idle connection to the pool, or closes it if the pool has maxIdleConns connections to the gateway.
func (p *clientPool) put(gatewayIndex int, client *standin.Client) {
	select {
	case p.idle[gatewayIndex] <- idleConn{client, time.Now()}:
	default:
		client.Close()
	}
}
