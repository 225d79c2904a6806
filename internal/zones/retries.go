package zones

import (
	"math"

	"foxlane/rules"
)

// This file owns the retry budget of a zone.

// retryCounts counts the attempts sent to a zone, decaying by e over retryWindow.
type retryCounts struct {
	first, retries float64
	updatedAt      rules.Time
}

const (
	retryWindow = 10 * rules.Second
	freeRetries = 5 // retries into a zone that are allowed within a window in any case
)

func (r *retryCounts) decay(now rules.Time) {
	keep := math.Exp(-float64(now-r.updatedAt) / float64(retryWindow))
	r.first, r.retries, r.updatedAt = r.first*keep, r.retries*keep, now
}

func (r *retryCounts) add(now rules.Time, retry bool) {
	r.decay(now)
	if retry {
		r.retries++
	} else {
		r.first++
	}
}

// retryAllowed reports whether a zone may get one more retry. The decision module's own retry budget bounds all
// retries of the gateway; this one bounds those that a zone gets on top of the load that it has taken over.
func (c *Controller) retryAllowed(zone *zoneRecord) bool {
	if c.settings.RetryBudget >= 1 {
		return true
	}
	counts := &zone.retries
	counts.decay(c.now)
	if counts.retries+1 <= freeRetries+c.settings.RetryBudget*counts.first {
		return true
	}
	c.counts.RetriesBlocked++
	return false
}
