package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"strings"
	"sync"
	"time"

	"foxlane/internal/standin"
)

func init() { cases["compact"] = runCompact }

// Sizes and times of the case compact. The results of blue begin in the oldest segment (32 MB). What red's clients
// leave behind is more than an eighth of the disk and more than half of all bytes, so that segment is compacted.
const (
	compactSite = `spool {
  folder = %q
  disk   = "256MB"
  memory = "8MB"
  result = "32MB"
  tenant = "192MB"
}
`
	compactBlueResults = 45
	compactBlueBytes   = 640 << 10
	compactBlueClients = 24
	compactBlueRate    = 1 << 20 // bytes per second of each link of blue, so that a client reads a result for 0.6 s
	compactRedClients  = 6
	compactRedBytes    = 8 << 20
	compactRedRate     = 250 << 10   // bytes per second of each link of red, so that no client reads its whole result
	compactLeave       = time.Second // after the clients of red have begun to read, they leave
	compactRounds      = 5           // how often new clients of red come
	compactRedTimeout  = 8 * time.Second
	compactBlueTimeout = 20 * time.Second
)

// compactReads counts the answers that the clients of blue have read.
type compactReads struct {
	mu            sync.Mutex
	whole, failed int    // failed: an error instead of rows, which is an answer
	givenUp       int    // answers that their client gave up after its own time
	broken        int    // answers that broke off after their first row, or ended as served with wrong rows
	example       string // what was wrong with the first of them
}

// runCompact has clients of blue read their stored results again and again, while clients of red read large results
// over slow links, and leave in the middle of them. An answer to a client of blue that breaks off breaks the rule;
// an error without rows does not, nor does an answer that its client gave up after its own time.
func runCompact(r *run) error {
	if err := r.startEngines(2, serveByOwner); err != nil {
		return err
	}
	g, err := r.startGateway("n0", fmt.Sprintf(compactSite, r.path("results")))
	if err != nil {
		return err
	}
	blue, err := storeResults(g, "blue", compactBlueResults, compactBlueBytes)
	if err != nil {
		return err
	}
	blueLink, err := newSlowLink(g.listen, compactBlueRate)
	if err != nil {
		return err
	}
	defer blueLink.close()
	redLink, err := newSlowLink(g.listen, compactRedRate)
	if err != nil {
		return err
	}
	defer redLink.close()
	r.note("stored %d results of blue", len(blue))
	var reads compactReads
	var clients sync.WaitGroup
	end := make(chan struct{})
	for range compactBlueClients {
		clients.Go(func() { reads.readUntil(r, blueLink, blue, end) })
	}
	red, err := r.readAndLeaveInRounds(redLink)
	close(end)
	clients.Wait()
	closeAll(red)
	if err != nil {
		return err
	}
	r.note("blue: %d whole answers, %d errors without rows, %d given up, %d broke off", reads.whole, reads.failed, reads.givenUp, reads.broken)
	if reads.broken > 0 {
		return fmt.Errorf("%w: %d answers broke off; the first: %s", errBroken, reads.broken, reads.example)
	}
	if reads.whole == 0 {
		return fmt.Errorf("no answer was read: %s", g.log())
	}
	return nil
}

// readAndLeaveInRounds has clients of red read results over slow links, and returns them. With trouble all of them leave
// before the next ones come.
func (r *run) readAndLeaveInRounds(link *slowLink) (clients []*standin.Client, err error) {
	for range compactRounds {
		red, err := r.startSlowReads(link)
		clients = append(clients, red...)
		if err != nil {
			return clients, err
		}
		r.note("%d clients of red read their results", len(red))
		time.Sleep(compactLeave)
		if r.trouble {
			closeAll(red)
			r.note("they left")
			time.Sleep(compactLeave)
		}
	}
	return clients, nil
}

// serveByOwner answers with a result of the size that the tables of the owner have.
func serveByOwner(request standin.Request) standin.Reply {
	if strings.Contains(request.Statement, ".blue_") {
		return serveTables(compactBlueBytes)(request)
	}
	return serveTables(compactRedBytes)(request)
}

// startSlowReads starts clients of red one after the other, each once the one before has its first row.
func (r *run) startSlowReads(link *slowLink) (clients []*standin.Client, err error) {
	for i := range compactRedClients {
		client, err := standin.Connect(link.addr(), netip.Addr{}, compactRedTimeout)
		if err != nil {
			return clients, err
		}
		clients = append(clients, client)
		began := make(chan struct{})
		begin := sync.OnceFunc(func() { close(began) })
		go func() {
			defer begin()
			query := reportQuery("red", fmt.Sprintf("red_%d", i), compactRedTimeout, false)
			_, _ = r.read(client, query, compactRedTimeout, begin) // only blue is judged
		}()
		<-began
	}
	return clients, nil
}

func closeAll(clients []*standin.Client) {
	for _, client := range clients {
		client.Close()
	}
}

// readUntil reads stored results over a link until the end.
func (c *compactReads) readUntil(r *run, link *slowLink, results []storedResult, end <-chan struct{}) {
	for !closed(end) {
		result := results[rand.IntN(len(results))]
		got, err := r.askAt(link.addr(), resumeQuery(result.owner, result.handle), compactBlueTimeout)
		rows := len(got.rows)
		if err == nil {
			rows = max(rows, 1) // it ended as served, so missing rows are missed
			err = rowsDiffer(got.rows, result.rows)
		}
		c.add(result, rows, err)
	}
}

// closed reports whether a channel is closed.
func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// add counts an answer of which so many rows were read.
func (c *compactReads) add(result storedResult, rows int, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err == nil:
		c.whole++
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.givenUp++ // slow, which is not judged
	case rows == 0:
		c.failed++
	default:
		if c.broken++; c.broken == 1 {
			c.example = fmt.Sprintf("%s, after %d rows: %v", result.table, rows, err)
		}
	}
}
