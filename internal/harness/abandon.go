package harness

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"foxlane/internal/standin"
)

// closeAfterKill is the time from a client's KILL QUERY until it closes its connection.
const closeAfterKill = 500 * time.Millisecond

// scheduleAbandon makes a share of clients abandon their request at a random time: they close the connection, or send
// KILL QUERY and close the connection later. The returned function cancels this, and reports whether the client had
// already abandoned the request.
func (f *fleet) scheduleAbandon(conn *standin.Client, g *gateway, id string, left time.Duration) (stop func() bool) {
	rng := rand.New(rand.NewPCG(f.Seed, uint64(time.Now().UnixNano())))
	if rng.Int64N(1000) >= f.abandonPermille.Load() {
		return func() bool { return false }
	}
	var mu sync.Mutex
	cancelled, abandoned := false, false
	kill := rng.IntN(2) == 0
	timer := time.AfterFunc(time.Duration(rng.Int64N(int64(min(left, 600*time.Millisecond)))), func() {
		mu.Lock()
		defer mu.Unlock()
		if cancelled {
			return
		}
		abandoned = true
		if !kill {
			f.recorder.recordAbandoned(id)
			conn.Close()
			return
		}
		if killer, err := standin.Connect(g.clientProxy.Addr().String(), netip.Addr{}, connectTimeout); err == nil {
			_, _ = killer.Query(fmt.Sprintf("KILL QUERY %d", conn.ConnectionID), connectTimeout) // the query may have ended
			f.recorder.recordAbandoned(id)
			killer.Close()
			time.Sleep(closeAfterKill)
		} else {
			f.recorder.recordAbandoned(id)
		}
		conn.Close()
	})
	return func() bool {
		timer.Stop()
		mu.Lock()
		defer mu.Unlock()
		cancelled = true
		return abandoned
	}
}
