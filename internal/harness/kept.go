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

// This file owns clients that ask for results to be kept, and come for them again once their gateway was killed.

// keeper is the client of one gateway.
type keeper struct {
	gateway *gateway
	last    uint64
	kept    []keptResult
}

// keptResult is one that a gateway has said to keep.
type keptResult struct {
	handle string
	row    string
	at     time.Time
}

const (
	keepEvery  = 250 * time.Millisecond
	keepWithin = 3 * time.Second
	handleName = "\x07#handle"
	handleAt   = 9 // where a handle begins in its row
	handleSize = 64
)

// keep has a client of each gateway ask for results to be kept, until the context ends.
func (r *Rig) keep(ctx context.Context, wg *sync.WaitGroup) {
	for _, g := range r.gateways {
		k := &keeper{gateway: g}
		r.keepers = append(r.keepers, k)
		wg.Go(func() {
			for ctx.Err() == nil {
				k.ask()
				select {
				case <-ctx.Done():
				case <-time.After(keepEvery):
				}
			}
		})
	}
}

// ask asks for one. What ends without a whole answer was not taken on.
func (k *keeper) ask() {
	r := k.gateway.rig
	c, err := standin.Connect(k.gateway.front.Addr().String(), netip.Addr{}, 300*time.Millisecond)
	if err != nil {
		return
	}
	defer c.Close()
	q := &request{class: 1, work: 20 * time.Millisecond, at: time.Now()}
	id := r.books.open(q, k.gateway, keepWithin)
	handle, row, err := readKept(c, fmt.Sprintf("/* kind=report,req=%s,timeout=%d,ms=20,spool=1 */ SELECT 1 FROM sales_1.x", id, keepWithin.Milliseconds()))
	if err == nil && handle != "" {
		k.kept = append(k.kept, keptResult{handle, row, time.Now()})
	}
}

// readKept reads a result with the handle ahead of its rows.
func readKept(c *standin.Client, text string) (handle, row string, err error) {
	err = c.Rows(text, keepWithin, func(b []byte) {
		switch {
		case bytes.HasPrefix(b, []byte(handleName)) && len(b) >= handleAt+handleSize:
			handle = string(b[handleAt : handleAt+handleSize])
		case len(b) > 1 && b[1] != '#':
			row += string(b)
		}
	})
	return handle, row, err
}

// comeAgain kills all gateways, starts them again, and has each keeper read all that was said to be kept.
func (r *Rig) comeAgain() error {
	if len(r.keepers) == 0 {
		return nil
	}
	for _, g := range r.gateways {
		g.signal(syscall.SIGCONT)
		_ = g.end(syscall.SIGKILL)
	}
	for _, k := range r.keepers {
		if err := k.gateway.begin(); err != nil {
			return err
		}
		for _, x := range k.kept {
			k.again(x)
		}
		r.books.mu.Lock()
		r.books.Kept += len(k.kept)
		r.books.mu.Unlock()
	}
	return nil
}

func (k *keeper) again(x keptResult) {
	c, err := standin.Connect(k.gateway.listen, netip.Addr{}, time.Second)
	row := ""
	if err == nil {
		_, row, err = readKept(c, "/* resume="+x.handle+" */ FETCH")
		c.Close()
	}
	if err != nil || row != x.row {
		k.gateway.rig.books.judge(Lost, "a result that %s kept at %.2f s is not there after a kill: %v, %q instead of %q", k.gateway.name,
			x.at.Sub(k.gateway.rig.start).Seconds(), err, row, x.row)
	}
}
