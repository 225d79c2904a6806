package main

import (
	"fmt"
	"syscall"
	"time"

	"foxlane/internal/standin"
)

func init() { cases["term"] = runTerm }

// Sizes and times of the case term.
const (
	termSite = `spool {
  folder = %q
  disk   = "256MB"
  memory = "8MB"
  result = "64MB"
}
`
	termResultBytes = 16 << 20
	termTimeout     = 20 * time.Second
	termReadTime    = 2200 * time.Millisecond // in which the client reads the whole result, from its first row on
	termAfter       = 200 * time.Millisecond  // from the first row to SIGTERM
)

// runTerm has a client read a large result at an even pace, and tells the gateway to end meanwhile. The answer would
// be complete well before the earliest SIGKILL; one that is cut off breaks the rule.
func runTerm(r *run) error {
	if err := r.startEngines(2, serveTables(termResultBytes)); err != nil {
		return err
	}
	g, err := r.startGateway("n0", fmt.Sprintf(termSite, r.path("results")))
	if err != nil {
		return err
	}
	client, err := g.connect()
	if err != nil {
		return err
	}
	defer client.Close()
	got, termAt, err := readAtPace(r, g, client)
	took := time.Since(termAt)
	want := resultRows("red_0", termResultBytes)
	difference := firstDifference(got.rows, want)
	r.note("read %d of %d rows until %v after the time for SIGTERM: error %v", len(got.rows), len(want), took.Round(time.Millisecond), err)
	switch {
	case termAt.IsZero():
		return fmt.Errorf("the answer did not begin: %w", err)
	case err == nil && difference == "":
		return nil
	case err == nil:
		return fmt.Errorf("%w: %s", errBroken, difference)
	case took > exitTimeout:
		return fmt.Errorf("the client was too slow: it read until %v after SIGTERM", took)
	}
	return fmt.Errorf("%w: the gateway ended an answer %v after SIGTERM, with %d of %d rows: %w", errBroken, took.Round(time.Millisecond), len(got.rows),
		len(want), err)
}

// readAtPace reads a result at an even pace. It returns when the gateway was told to end, or would have been.
func readAtPace(r *run, g *gateway, client *standin.Client) (got answer, termAt time.Time, err error) {
	rowCount := len(resultRows("red_0", termResultBytes))
	var firstRowAt time.Time
	rows := 0
	got, err = r.read(client, reportQuery("red", "red_0", termTimeout, false), termTimeout, func() {
		if rows++; rows == 1 {
			firstRowAt = time.Now()
			termAt = firstRowAt.Add(termAfter)
			time.AfterFunc(termAfter, func() { r.terminate(g) })
		}
		time.Sleep(time.Until(firstRowAt.Add(termReadTime * time.Duration(rows) / time.Duration(rowCount))))
	})
	return got, termAt, err
}

// terminate tells a gateway to end, if there is trouble.
func (r *run) terminate(g *gateway) {
	if r.trouble {
		g.signal(syscall.SIGTERM)
		r.note("sent SIGTERM")
	}
}
