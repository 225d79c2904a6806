package harness

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"foxlane/internal/standin"
)

// clientPool is what all clients share: idle connections by gateway, and the gateways they avoid after a failure.
type clientPool struct {
	mu      sync.Mutex
	avoided []time.Time // by gateway: until when; guarded by mu
	idle    []chan idleConn
}

// idleConn is an open connection without a request.
type idleConn struct {
	client *standin.Client
	since  time.Time
}

const (
	maxIdleTime    = 4 * time.Second        // after which clients close an idle connection
	maxIdleConns   = 64                     // for each gateway
	avoidDuration  = time.Second            // for which clients avoid a gateway after a failure
	connectTimeout = 300 * time.Millisecond // of clients
)

func newClientPool(n int) *clientPool {
	p := &clientPool{avoided: make([]time.Time, n)}
	for range n {
		p.idle = append(p.idle, make(chan idleConn, maxIdleConns))
	}
	return p
}

// close closes all idle connections, when no client runs any more.
func (p *clientPool) close() {
	for _, conns := range p.idle {
		for len(conns) > 0 { // nobody else takes from it any more
			(<-conns).client.Close()
		}
	}
}

// chooseGateway draws a gateway that is not avoided, from the client's zone if there is one; if all are avoided, any.
func (f *fleet) chooseGateway(zone int, rng *rand.Rand) int {
	pool := f.clients
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := time.Now()
	var inZone, usable []int
	for i, g := range f.gateways {
		if now.Before(pool.avoided[i]) {
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

// avoid has clients avoid a gateway for a while.
func (p *clientPool) avoid(i int) {
	p.mu.Lock()
	p.avoided[i] = time.Now().Add(avoidDuration)
	p.mu.Unlock()
}

var errNoNewConnections = errors.New("harness: no new connections to a gateway that is stopping")

// get returns an idle connection to a gateway, or a new one if none is left and mayConnect.
func (p *clientPool) get(i int, addr string, mayConnect bool) (c *standin.Client, fresh bool, err error) {
	for {
		select {
		case conn := <-p.idle[i]:
			if time.Since(conn.since) < maxIdleTime {
				return conn.client, false, nil
			}
			conn.client.Close()
		default:
			if !mayConnect {
				return nil, true, errNoNewConnections
			}
			c, err = standin.Connect(addr, netip.Addr{}, connectTimeout)
			return c, true, err
		}
	}
}

// put keeps a connection without a request for the next one, or closes it where enough are kept.
func (p *clientPool) put(i int, c *standin.Client) {
	select {
	case p.idle[i] <- idleConn{c, time.Now()}:
	default:
		c.Close()
	}
}
