package main

import (
	"fmt"
	"strings"
	"syscall"
	"time"
)

func init() { cases["budget"] = runBudget }

// Sizes and times of the case budget.
const (
	budgetSite = `spool {
  folder = %q
  disk   = %q
  lease  = "10m"
}
`
	budgetBefore      = "32MB"
	budgetAfter       = "8MB"
	budgetResults     = 12
	budgetResultBytes = 1 << 20
	budgetTimeout     = 10 * time.Second
	budgetReloadTime  = 2 * time.Second // a new configuration takes effect within this
)

// runBudget stores results, gives the gateway a smaller disk budget by SIGHUP, kills it and starts it again, and reads
// the results, whose leases still run. A denial breaks the rule.
func runBudget(r *run) error {
	if err := r.startEngines(2, serveTables(budgetResultBytes)); err != nil {
		return err
	}
	g, err := r.startGateway("n0", fmt.Sprintf(budgetSite, r.path("results"), budgetBefore))
	if err != nil {
		return err
	}
	results, err := storeResults(g, "red", budgetResults, budgetResultBytes)
	if err != nil {
		return err
	}
	r.note("stored %d results of 1 MB", budgetResults)
	if err := g.reloadBudget(); err != nil {
		return err
	}
	gone, err := countGone(r, g, results)
	if err != nil {
		return err
	}
	if gone > 0 {
		return fmt.Errorf("%w: %d of %d results were gone after SIGHUP", errBroken, gone, budgetResults)
	}
	if r.trouble {
		g.kill()
		r.note("killed the gateway")
		if err := g.start(); err != nil {
			return err
		}
	}
	if gone, err = countGone(r, g, results); err != nil {
		return err
	}
	if gone > 0 {
		return fmt.Errorf("%w: %d of %d results were gone, with a lease of 10 min", errBroken, gone, budgetResults)
	}
	return nil
}

// reloadBudget gives a gateway the smaller budget, and waits until it has taken it.
func (g *gateway) reloadBudget() error {
	if err := g.writeSite(fmt.Sprintf(budgetSite, g.run.path("results"), budgetAfter)); err != nil {
		return err
	}
	g.signal(syscall.SIGHUP)
	for deadline := time.Now().Add(budgetReloadTime); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if strings.Contains(g.log(), "configuration reloaded") {
			g.run.note("reloaded, with a disk of %s instead of %s", budgetAfter, budgetBefore)
			return nil
		}
	}
	return fmt.Errorf("the new configuration was not taken: %s", g.log())
}

// countGone reads stored results and returns how many are gone. Any other failure to read one is an error.
func countGone(r *run, g *gateway, results []storedResult) (gone int, err error) {
	for _, result := range results {
		got, err := g.ask(resumeQuery(result.owner, result.handle), budgetTimeout)
		switch {
		case isGone(err):
			gone++
			r.note("%s: %v", result.table, err)
		case err != nil:
			return gone, fmt.Errorf("read %s: %w", result.table, err)
		default:
			if err := rowsDiffer(got.rows, result.rows); err != nil {
				return gone, fmt.Errorf("%w: %s: %w", errBroken, result.table, err)
			}
		}
	}
	r.note("%d of %d results were read whole", len(results)-gone, len(results))
	return gone, nil
}
