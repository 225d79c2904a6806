package zones

import (
	"math"

	"foxlane/rules"
)

// This file owns the retry budget of each zone.

// retryCounts are exponentially decaying counts of the attempts sent to a zone, with the time constant retryWindow.
type retryCounts struct {
	first, retries float64
	updatedAt      rules.Time
}

const (
	retryWindow = 10 * rules.Second
	freeRetries = 5 // retries into a zone that are allowed within a window regardless of first attempts
)

func (r *retryCounts) decay(now rules.Time) {
	factor := math.Exp(-float64(now-r.updatedAt) / float64(retryWindow))
	r.first, r.retries, r.updatedAt = r.first*factor, r.retries*factor, now
}

func (r *retryCounts) add(now rules.Time, retry bool) {
	r.decay(now)
	if retry {
		r.retries++
	} else {
		r.first++
	}
}

// retryAllowed reports whether the retry budget of a zone allows one more retry. The retry budget of the decision
// module bounds all retries of the gateway; this one bounds the retries that a zone gets in addition to the load that
// it has taken over from other zones.
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
