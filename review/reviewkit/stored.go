package main

import (
	"errors"
	"fmt"
	"strings"
	"time"

	"foxlane/internal/standin"
)

// storedResult is a result that a gateway stores, as the engine sent it.
type storedResult struct {
	owner, table, handle string
	rows                 []string
}

// storeTimeout is how long the client of a result that is to be stored waits.
const storeTimeout = 10 * time.Second

// storeResults runs queries of an owner whose results, of the given size, are stored.
func storeResults(g *gateway, owner string, count, bytes int) (results []storedResult, err error) {
	for i := range count {
		table := fmt.Sprintf("%s_%d", owner, i)
		got, err := g.ask(reportQuery(owner, table, storeTimeout, true), storeTimeout)
		if err != nil {
			return nil, fmt.Errorf("store %s: %w", table, err)
		}
		results = append(results, storedResult{owner, table, got.handle, resultRows(table, bytes)})
	}
	return results, nil
}

// isGone reports whether an answer says that there is no such result. A refusal and a failed connection do not.
func isGone(err error) bool {
	var denied *standin.ServerError
	return errors.As(err, &denied) && !denied.Retryable() && strings.Contains(denied.Message, "no such result")
}
