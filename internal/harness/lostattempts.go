package harness

import (
	"time"
)

// lostAttempt is an attempt whose connection ended, or stayed silent, before its response.
type lostAttempt struct {
	id, class     string
	gateway       *gateway
	began         time.Time
	took, left    time.Duration
	newConnection bool // it was the first attempt on its connection
	err           error
}

const (
	idleCloseWindow         = 50 * time.Millisecond  // a request on a connection that is being closed fails within this
	newConnectionsAfterTerm = 400 * time.Millisecond // how long after SIGTERM clients still open connections
)

// checkLost adds a violation for an attempt without a response, unless its gateway was killed or had exited, a fault
// kept it from its clients, it closed an idle connection or could not accept a new one, or the harness itself paused.
func (f *fleet) checkLost(lost lostAttempt) {
	g, end := lost.gateway, lost.began.Add(lost.took)
	timedOut := lost.took >= lost.left+responseGrace
	duringAttempt := func(unix int64) bool { return unix > lost.began.Add(-time.Second).UnixNano() && unix <= end.UnixNano() }
	g.mu.Lock()
	running := g.current != nil
	g.mu.Unlock()
	exitedAt := time.Unix(0, g.exitedAt.Load())
	switch {
	case timedOut && f.pauses.totalSince(lost.began) > 0:
		return
	case duringAttempt(g.killedAt.Load()), g.disturbedSince(lost.began.Add(-time.Second)):
		return
	case !running && lost.began.After(exitedAt.Add(-idleCloseWindow-socketSlack)): // the process had exited
		return
	case !timedOut && !lost.newConnection && lost.took < idleCloseWindow+socketSlack: // it was closed while it was idle
		return
	case !timedOut && g.limitedUntil.Load() > lost.began.UnixNano() && lost.newConnection && lost.took < idleCloseWindow:
		return
	}
	f.recorder.addViolation(LostRequest, "%s of class %s at %s got no response: %v after %v of %v", lost.id, lost.class, g.name, lost.err, lost.took.Round(time.Millisecond), lost.left)
}
