package harness

import (
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"foxlane/internal/crowd"
)

// This file injects the faults of clients.

// abandonMore replaces the script's share of clients that abandon their request with the fault's factor.
func (f *fleet) abandonMore(fault *Fault) (revertFunc, error) {
	set := func(share float64) { f.abandonPermille.Store(int64(share * 1000)) }
	set(fault.Factor)
	return func() error { set(f.AbandonShare); return nil }, nil
}

// startRogueClients starts a rogue client for each gateway of the target. Reverting stops the clients and waits for
// them.
func (f *fleet) startRogueClients(fault *Fault) (revertFunc, error) {
	var clients sync.WaitGroup
	stop := make(chan struct{})
	f.eachGateway(fault.Target, func(g *gateway) {
		rng := rand.New(rand.NewPCG(f.Seed, uint64(g.index)+77))
		clients.Go(func() { f.runRogueClient(g, rng, stop) })
	})
	return func() error { close(stop); clients.Wait(); return nil }, nil
}

// runRogueClient opens up to maxConns connections one after another, until it is stopped. On each it breaks the
// protocol or closes before it has read an answer.
func (f *fleet) runRogueClient(g *gateway, rng *rand.Rand, stop <-chan struct{}) {
	const maxConns = 400
	addr := g.clientProxy.Addr().String()
	for range maxConns {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(10)) * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		switch rng.IntN(5) {
		case 0: // a truncated login
			_, _ = c.Write([]byte{60, 0, 0, 1, 3})
		case 1: // bytes that are no valid packet
			_, _ = c.Write([]byte(strings.Repeat("\xff\x00junk", rng.IntN(4000))))
		case 2: // a large query whose answer is never read
			_, _ = c.Write(loginWithQuery(strings.Repeat("x", 60000)))
		case 3: // a valid query on a connection that closes before its answer
			id := fmt.Sprintf("%016x", rogueIDBits|rng.Uint64()>>8)
			f.recorder.startRogueQuery(id, g)
			_, _ = c.Write(loginWithQuery(fmt.Sprintf("/* kind=point,req=%s,timeout=900,ms=5.0 */ SELECT 1 FROM sales_1.x", id)))
		}
		if tcp, ok := c.(*net.TCPConn); ok && rng.IntN(2) == 0 {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close() // the gateway may have reset it
	}
}

// crowdTimeout is the timeout of a crowd's queries.
const crowdTimeout = 900 * time.Millisecond

// startCrowds starts a crowd of clients for each gateway of the target. Reverting stops them and waits for them.
func (f *fleet) startCrowds(fault *Fault) (revertFunc, error) {
	ctx, stop := context.WithCancel(context.Background())
	var crowds sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) {
		var lastID atomic.Uint64
		clients := crowd.Crowd{Addr: g.clientProxy.Addr().String(), Clients: int(fault.Factor), Timeout: crowdTimeout,
			Behaviours: []crowd.Behaviour{crowd.SendIncomplete, crowd.SendWithoutReading, crowd.SendShort, crowd.SendMalformed},
			NextID: func() string {
				id := fmt.Sprintf("%016x", rogueIDBits|uint64(g.index)<<40|lastID.Add(1))
				f.recorder.startRogueQuery(id, g)
				return id
			}}
		g.markLimited(fault.For + time.Second)
		crowds.Go(func() { clients.Run(ctx) })
	})
	return func() error { stop(); crowds.Wait(); return nil }, nil
}

// Request ids of rogue clients begin with rogueIDBits, which are the hexadecimal digits rogueIDPrefix. Gateways owe no
// response to these requests.
const (
	rogueIDBits   = 0xff00000000000000
	rogueIDPrefix = "ff"
)

// loginWithQuery returns the bytes of a login followed by one query. They are sent without waiting for the greeting.
func loginWithQuery(query string) []byte {
	p := binary.LittleEndian.AppendUint32(nil, 1<<9|1<<15|1<<3|1<<19)
	p = binary.LittleEndian.AppendUint32(p, 1<<24)
	p = append(append(p, 45), make([]byte, 23)...)
	p = append(p, "app\x00\x00main\x00mysql_native_password\x00"...)
	return append(packet(1, p), packet(0, append([]byte{3}, query...))...)
}

// packet returns a MySQL packet: the header and the payload.
func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}
