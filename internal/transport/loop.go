package transport

import (
	"time"

	"go.uber.org/zap"

	"foxlane/internal/gateway"
	"foxlane/internal/process"
	"foxlane/rules"
)

// pacer keeps a minimum interval between iterations of the reducer loop, as the simulator does between its batches.
// Events that arrive within the interval are handled, and their output written, together, which saves system calls
// and wakeups on both sides. Under low load nothing is delayed, and neither is a batch that fills the queue: all
// connections would wait for it.
type pacer struct{ interval, last rules.Time }

// delay returns how long to wait before the next iteration; zero or less means not at all.
func (p pacer) delay(now rules.Time) rules.Time {
	return min(p.last+p.interval-now, p.interval)
}

// reducerLoop executes the reducer's effects, waits for events and passes them to the reducer. Its goroutine is the
// only one that calls the reducer.
type reducerLoop struct {
	*Server
	reducer  Reducer
	timer    *time.Timer
	timerAt  rules.Time
	pacer    pacer
	reload   reloadState
	shutdown shutdownState
	memory   memorySampler

	events     []queuedEvent // with arena: the queue buffers of the last iteration
	arena      []byte
	departures departures // of the last iteration
}

func newReducerLoop(s *Server) *reducerLoop {
	return &reducerLoop{Server: s, memory: memorySampler{resident: process.OpenResidentFile()}, reducer: s.platform.Reducer(s.cfg, s.now()), timer: time.NewTimer(time.Hour),
		pacer: pacer{interval: s.limits.MinBatchInterval}, reload: newReloadState(), departures: departures{}}
}

// run runs the loop until the process may exit, or returns why it can't serve any more.
func (l *reducerLoop) run(signals Signals) error {
	defer l.timer.Stop()
	defer l.memory.resident.Close()
	defer l.reportPanic("reducer")
	l.stepRecovered()
	for {
		exit := l.executeEffects()
		if l.shutdown = l.shutdown.next(exit); exit && l.advanceShutdown(&l.shutdown) {
			return nil
		}
		if err := l.wait(signals); err != nil {
			return err
		}
		l.stepQueued()
	}
}

// stepRecovered passes the results and the voter's log that were recovered from disk at the start to the reducer.
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

// executeEffects executes the reducer's pending effects and reports whether an Exit was among them.
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

// wait blocks until there is something to do. Events that arrive on channels other than the queue are handled here. An
// error means that nothing is read or written any more.
func (l *reducerLoop) wait(signals Signals) error {
	reload := signals.Reload
	if l.reload.current != 0 {
		reload = nil // one reload at a time; a signal received meanwhile stays in the channel
	}
	select {
	case err := <-l.pollerEnded:
		return err
	case <-l.queue.ready:
	case <-l.timer.C:
	case <-l.shutdown.tick:
	case <-signals.Terminate:
		l.setExitBy()
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
	return nil
}

// stepQueued waits out the pacer's interval, then passes the queued events to the reducer.
func (l *reducerLoop) stepQueued() {
	if delay := l.pacer.delay(l.now()); delay > 0 {
		l.queue.awaitFull(time.Duration(delay) * time.Microsecond)
	}
	if age := l.queue.oldestAge(); age >= slowThreshold {
		l.log.Warn("events waited for the reducer", zap.Int64("ms", age.Milliseconds()))
	}
	l.events, l.arena = l.queue.drain(l.events, l.arena)
	l.recordDequeued(l.events)
	now := l.now()
	l.pacer.last = now
	l.stepEvents(now)
	l.stepMemberEvents(now, l.reducer)
	l.stepMemorySample(now)
	if now >= l.timerAt {
		l.reducer.Step(now, gateway.TimerFired{})
	}
}
