package harness

import (
	"bytes"
	"context"
	"fmt"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"foxlane/internal/standin"
)

// This file owns clients that have results stored by a gateway, and check that the results survive a kill of the
// gateway.

// resultClient is a client that has results stored by one gateway.
type resultClient struct {
	gateway *gateway
	results []storedResult
}

// storedResult is a result that a gateway has confirmed as stored.
type storedResult struct {
	handle string
	row    string
	at     time.Time
}

const (
	storeInterval = 250 * time.Millisecond
	storeTimeout  = 3 * time.Second
	handlePrefix  = "\x07#handle" // the length and text of the first column of a handle's row
	handleOffset  = 9             // position of the handle in its row
	handleSize    = 64            // bytes
)

// storeResults starts a client per gateway that has results stored until the context ends, in goroutines of wg.
func (f *fleet) storeResults(ctx context.Context, wg *sync.WaitGroup) {
	for _, g := range f.gateways {
		client := &resultClient{gateway: g}
		f.resultClients = append(f.resultClients, client)
		wg.Go(func() {
			for ctx.Err() == nil {
				client.store()
				select {
				case <-ctx.Done():
				case <-time.After(storeInterval):
				}
			}
		})
	}
}

// store runs one query for a stored result. A gateway only has to keep results whose answer was complete.
func (c *resultClient) store() {
	f := c.gateway.fleet
	conn, err := standin.Connect(c.gateway.clientProxy.Addr().String(), netip.Addr{}, connectTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	req := &request{class: reportClass, work: 20 * time.Millisecond, at: time.Now()}
	id := f.recorder.startAttempt(req, c.gateway, storeTimeout)
	handle, row, err := readStored(conn, fmt.Sprintf("/* kind=report,req=%s,timeout=%d,ms=20,spool=1 */ SELECT 1 FROM sales_1.x", id, storeTimeout.Milliseconds()))
	if err == nil && handle != "" {
		c.results = append(c.results, storedResult{handle, row, time.Now()})
	}
}

// readStored runs a query for a stored result, and returns the handle, which comes before the rows, and the row.
func readStored(conn *standin.Client, text string) (handle, row string, err error) {
	err = conn.QueryRows(text, storeTimeout, func(b []byte) {
		switch {
		case bytes.HasPrefix(b, []byte(handlePrefix)) && len(b) >= handleOffset+handleSize:
			handle = string(b[handleOffset : handleOffset+handleSize])
		case len(b) > 1 && b[1] != '#':
			row += string(b)
		}
	})
	return handle, row, err
}

// verifyStoredResults kills all gateways, starts them again, and fetches and checks all stored results.
func (f *fleet) verifyStoredResults() error {
	if len(f.resultClients) == 0 {
		return nil
	}
	for _, g := range f.gateways {
		g.signal(syscall.SIGCONT)
		_ = g.stop(syscall.SIGKILL)
	}
	for _, client := range f.resultClients {
		if err := client.gateway.start(); err != nil {
			return err
		}
		for _, result := range client.results {
			client.verify(result)
		}
		f.recorder.mu.Lock()
		f.recorder.StoredResults += len(client.results)
		f.recorder.mu.Unlock()
	}
	return nil
}

// verify fetches a result and adds a violation if it differs from what was stored.
func (c *resultClient) verify(result storedResult) {
	conn, err := standin.Connect(c.gateway.listenAddr, netip.Addr{}, time.Second)
	row := ""
	if err == nil {
		_, row, err = readStored(conn, "/* resume="+result.handle+" */ FETCH")
		conn.Close()
	}
	if err != nil || row != result.row {
		c.gateway.fleet.recorder.addViolation(LostRequest, "a result that %s stored at %.2f s is lost or changed after a kill: error %v, got %q, want %q", c.gateway.name,
			result.at.Sub(c.gateway.fleet.startedAt).Seconds(), err, row, result.row)
	}
}
