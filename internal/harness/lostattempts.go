package harness

import (
	"time"
)

// lostAttempt is an attempt whose connection ended, or stayed silent, before its response.
type lostAttempt struct {
	id, class  string
	gateway    *gateway
	began      time.Time
	took, left time.Duration
	fresh      bool // its connection was new
	err        error
}

const (
	closeRace               = 50 * time.Millisecond  // a request sent while its idle connection is closed has failed by then
	newConnectionsAfterTerm = 400 * time.Millisecond // for which clients still open connections after SIGTERM
)

// checkLost checks an attempt without a response: its gateway owes one unless it was killed or kept from its clients.
func (f *fleet) checkLost(lost lostAttempt) {
	g, end := lost.gateway, lost.began.Add(lost.took)
	timedOut := lost.took >= lost.left+responseGrace
	within := func(unix int64) bool { return unix > lost.began.Add(-time.Second).UnixNano() && unix <= end.UnixNano() }
	g.mu.Lock()
	running := g.current != nil
	g.mu.Unlock()
	ended := time.Unix(0, g.endedAt.Load())
	switch {
	case timedOut && f.pauses.totalSince(lost.began) > 0:
		return
	case within(g.killedAt.Load()), g.disturbedSince(lost.began.Add(-time.Second)):
		return
	case !running && lost.began.After(ended.Add(-closeRace-socketSlack)): // the process had ended
		return
	case !timedOut && !lost.fresh && lost.took < closeRace+socketSlack: // the gateway closed the idle connection meanwhile
		return
	case !timedOut && g.strainedUntil.Load() > lost.began.UnixNano() && lost.fresh && lost.took < closeRace:
		return
	}
	f.recorder.addViolation(LostRequest, "%s of class %s at %s: %v after %v of %v", lost.id, lost.class, g.name, lost.err, lost.took.Round(time.Millisecond), lost.left)
}
