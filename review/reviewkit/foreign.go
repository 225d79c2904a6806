package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["foreign"] = runForeign }

// Sizes of the case foreign.
const (
	foreignSite = `spool {
  folder = %q
  disk   = "256MB"
  memory = "8MB"
}
`
	foreignResultBytes = 300 << 10
	foreignResults     = 8 // of each tenant
	foreignClients     = 12
	foreignLength      = 20 * time.Second
	foreignTimeout     = 10 * time.Second      // of one read
	foreignPause       = 30 * time.Millisecond // of a client between two reads
	foreignPatience    = 3 * time.Millisecond  // for which an impatient client waits at most
)

// foreignReads counts what the clients of the tenant blue have read.
type foreignReads struct {
	mu            sync.Mutex
	whole, failed int
	wrong         int    // answers that ended as served with rows of another result
	example       string // what was wrong with the first of them
}

// runForeign has clients of the tenant blue read their stored results, while clients of the tenant red begin to read
// theirs and leave. Rows of another result in an answer break the rule.
func runForeign(r *run) error {
	if err := r.startEngines(2, serveTables(foreignResultBytes)); err != nil {
		return err
	}
	g, err := r.startGateway("n0", fmt.Sprintf(foreignSite, r.path("results")))
	if err != nil {
		return err
	}
	red, err := storeResults(g, "red", foreignResults, foreignResultBytes)
	if err != nil {
		return err
	}
	blue, err := storeResults(g, "blue", foreignResults, foreignResultBytes)
	if err != nil {
		return err
	}
	r.note("stored %d results of each tenant", foreignResults)
	var reads foreignReads
	var clients sync.WaitGroup
	end := time.Now().Add(foreignLength)
	for i := range foreignClients {
		clients.Go(func() { readOwn(r, g, blue, end, &reads) })
		clients.Go(func() { readAndLeave(r, g, red[i%len(red)], end) })
	}
	clients.Wait()
	r.note("blue: %d whole answers, %d failed, %d with foreign rows", reads.whole, reads.failed, reads.wrong)
	if reads.wrong > 0 {
		return fmt.Errorf("%w: a client got another result's rows in %d answers; the first: %s", errBroken, reads.wrong, reads.example)
	}
	if reads.whole == 0 {
		return fmt.Errorf("no answer was read: %s", g.log())
	}
	return nil
}

// readOwn reads stored results again and again and compares them with what the engine sent.
func readOwn(r *run, g *gateway, results []storedResult, end time.Time, reads *foreignReads) {
	for time.Now().Before(end) {
		time.Sleep(rand.N(foreignPause))
		result := results[rand.IntN(len(results))]
		a, err := g.ask(resumeQuery(result.owner, result.handle), foreignTimeout)
		if difference := reads.add(a, err, result); difference != "" {
			r.note("blue asked for %s: %s", result.table, difference)
		}
	}
}

// add counts an answer to the client that has read a result. It returns what was wrong with an answer that ended as
// served.
func (f *foreignReads) add(a answer, err error, result storedResult) (difference string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.failed++
		return ""
	}
	difference = firstDifference(a.rows, result.rows)
	if difference == "" {
		f.whole++
	} else if f.wrong++; f.wrong == 1 {
		f.example = difference
	}
	return difference
}

// readAndLeave begins to read a stored result again and again. With trouble the client leaves soon after it has asked.
func readAndLeave(r *run, g *gateway, result storedResult, end time.Time) {
	for time.Now().Before(end) {
		time.Sleep(rand.N(foreignPause))
		client, err := g.connect()
		if err != nil {
			continue
		}
		if r.trouble {
			time.AfterFunc(rand.N(foreignPatience), client.Close)
		}
		_, _ = r.read(client, resumeQuery(result.owner, result.handle), foreignTimeout, nil) // only blue is judged
		client.Close()
	}
}
