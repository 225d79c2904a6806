package main

import (
	"fmt"
	"time"
)

func init() { cases["lease"] = runLease }

// Times of the case lease, in seconds after the result was stored. The lease is the site's; the result is read twice
// in it, so that it still runs when the gateway is killed and when the result is read for the last time.
const (
	leaseSite = `spool {
  folder = %q
  disk   = "64MB"
  lease  = "6s"
}
`
	leaseResultBytes = 20 << 10
	leaseTimeout     = 5 * time.Second
	leaseFirstRead   = 4 * time.Second
	leaseSecondRead  = 8 * time.Second  // the lease runs until 14 s
	leaseKill        = 12 * time.Second // its first lease, and as long again, has passed
	leaseLastRead    = 13 * time.Second
)

// runLease stores a result, reads it in time twice, kills the gateway and starts it again, and reads the result within
// its lease. A denial breaks the rule.
func runLease(r *run) error {
	if err := r.startEngines(2, serveTables(leaseResultBytes)); err != nil {
		return err
	}
	g, err := r.startGateway("n0", fmt.Sprintf(leaseSite, r.path("results")))
	if err != nil {
		return err
	}
	stored, err := g.ask(reportQuery("red", "red_0", leaseTimeout, true), leaseTimeout)
	if err != nil {
		return err
	}
	storedAt := time.Now()
	r.note("stored a result of %d rows", len(stored.rows))
	for _, after := range []time.Duration{leaseFirstRead, leaseSecondRead} {
		time.Sleep(time.Until(storedAt.Add(after)))
		again, err := g.ask(resumeQuery("red", stored.handle), leaseTimeout)
		if err != nil {
			return fmt.Errorf("read before the restart: %w", err)
		}
		r.note("read %d rows again", len(again.rows))
	}
	time.Sleep(time.Until(storedAt.Add(leaseKill)))
	if r.trouble {
		g.kill()
		r.note("killed the gateway")
		if err := g.start(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(storedAt.Add(leaseLastRead)))
	last, err := g.ask(resumeQuery("red", stored.handle), leaseTimeout)
	if err != nil && !isGone(err) {
		return fmt.Errorf("read within the lease: %w", err)
	}
	if err != nil {
		return fmt.Errorf("%w: a result that was read %v ago, with a lease of 6 s, is gone: %w", errBroken, leaseLastRead-leaseSecondRead, err)
	}
	if difference := firstDifference(last.rows, stored.rows); difference != "" {
		return fmt.Errorf("%w: the result has changed: %s", errBroken, difference)
	}
	r.note("read %d rows within the lease", len(last.rows))
	return nil
}
