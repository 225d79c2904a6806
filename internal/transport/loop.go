package transport

import (
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
	"foxlane/rules"
)

// This file has the reducer's goroutine.

// pacer keeps an interval between iterations of the reducer, as the simulator does between its batches: what comes
// meanwhile is worked off and written together, which spares all sides calls and wakes. Where little comes, nothing waits.
type pacer struct{ interval, last rules.Time }

// wait is how long to wait before the next iteration.
func (p pacer) wait(now rules.Time) rules.Time {
	return min(p.last+p.interval-now, p.interval)
}

// reducerLoop is the goroutine that alone calls the reducer: it executes the effects, waits for something to happen and
// passes what has happened to the reducer.
type reducerLoop struct {
	*Server
	reducer  Reducer
	timer    *time.Timer
	timerAt  rules.Time
	pace     pacer
	reload   reloadState
	shutdown shutdownState
	events   []queuedEvent // the buffers of the last iteration
	arena    []byte
}

func newReducerLoop(s *Server) *reducerLoop {
	return &reducerLoop{Server: s, reducer: s.platform.Reducer(s.cfg, s.now()), timer: time.NewTimer(time.Hour),
		pace: pacer{interval: s.limits.MinBatchInterval}, reload: newReloadState()}
}

// run returns once the process may end.
func (l *reducerLoop) run(signals Signals) {
	defer l.timer.Stop()
	l.stepRecovered()
	for {
		exit := l.executeEffects()
		if l.shutdown = l.shutdown.next(exit); exit && l.advanceShutdown(&l.shutdown) {
			return
		}
		l.wait(signals)
		l.stepQueued()
	}
}

// stepRecovered passes to the reducer what was found on disks at the start.
func (l *reducerLoop) stepRecovered() {
	if l.results != nil {
		l.reducer.Step(l.now(), gateway.SpoolCompleted{Events: l.results.recovered})
		l.results.recovered = nil
	}
	if l.voter != nil {
		state := l.voter.recovered
		l.reducer.Step(l.now(), gateway.VoterLogOpened{State: &state})
	}
}

// executeEffects executes what the reducer asks for. It answers whether that is the end of the process.
func (l *reducerLoop) executeEffects() (exit bool) {
	for _, effect := range l.reducer.Flush() {
		switch f := effect.(type) {
		case *gateway.SetTimer:
			l.timerAt = f.At
			l.timer.Reset(time.Duration(f.At-l.now()) * time.Microsecond)
		case gateway.Exit:
			exit = true
		default:
			l.execute(effect)
		}
	}
	return exit
}

// wait waits until something has happened. What comes on a channel of its own it passes to the reducer here.
func (l *reducerLoop) wait(signals Signals) {
	reload := signals.Reload
	if l.reload.current != 0 {
		reload = nil // one at a time: what is asked for meanwhile comes after it
	}
	select {
	case <-l.queue.ready:
	case <-l.timer.C:
	case <-l.shutdown.tick:
	case <-signals.Terminate:
		l.reducer.Step(l.now(), gateway.ShutdownRequested{})
	case <-reload:
		l.startReload(&l.reload)
	case <-l.rejoin:
		l.joinMembersOrRetry()
	case <-l.reload.timeout:
		l.abandonReload(&l.reload)
	case result := <-l.reload.results:
		if l.finishReload(&l.reload, result) {
			l.cfg = result.cfg
			l.reducer.Step(l.now(), gateway.ConfigReloaded{Config: &result.cfg, ClockSkew: l.clock.skew()})
		}
	}
}

// stepQueued passes the queued events to the reducer, not before the next iteration is due.
func (l *reducerLoop) stepQueued() {
	if wait := l.pace.wait(l.now()); wait > 0 {
		time.Sleep(time.Duration(wait) * time.Microsecond)
	}
	if age := l.queue.oldestAge(); age >= slowThreshold {
		l.log.Warn("events waited for the reducer", zap.Int64("ms", age.Milliseconds()))
	}
	l.events, l.arena = l.queue.drain(l.events, l.arena)
	l.uncountReads(l.events)
	now := l.now()
	l.pace.last = now
	for i := range l.events {
		l.reducer.Step(now, l.events[i].get())
	}
	l.stepMemberEvents(now, l.reducer)
	if now >= l.timerAt {
		l.reducer.Step(now, gateway.TimerFired{})
	}
}
