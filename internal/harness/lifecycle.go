package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxlane/internal/standin"
)

// This file owns how a gateway's process is started, signalled and stopped.

const (
	startTimeout      = 10 * time.Second
	maxReadyTime      = 10 * time.Second // from a start until the gateway greets clients
	readyPollInterval = 10 * time.Millisecond
	stackDumpTimeout  = 2 * time.Second // for a process that does not become ready, after SIGQUIT
	stopTimeout       = 8 * time.Second
	freezeAftermath   = time.Second // a gateway counts as frozen this long after SIGCONT
)

// startIfStopped starts the process unless it runs.
func (g *gateway) startIfStopped() error {
	g.startMu.Lock()
	defer g.startMu.Unlock()
	g.mu.Lock()
	running := g.current != nil
	g.mu.Unlock()
	if running {
		return nil
	}
	return g.start()
}

// start writes the gateway's files, starts its process and waits until it greets clients.
func (g *gateway) start() error {
	g.mu.Lock()
	former := g.latest
	g.mu.Unlock()
	if former != nil { // it may still hold the address
		<-former.ended
	}
	g.startList()
	if err := g.writeFiles(); err != nil {
		return err
	}
	proc, err := g.spawn()
	if err != nil {
		return err
	}
	began := time.Now()
	g.mu.Lock()
	g.current, g.latest, g.termAt = proc, proc, time.Time{}
	g.mu.Unlock()
	for time.Since(began) < startTimeout {
		if proc.hasEnded() {
			return fmt.Errorf("%w: %s: %s: %s", errEndedAtStart, g.name, proc.exitText(), tail(g.log.String()))
		}
		if c, err := standin.Connect(g.listenAddr, netip.Addr{}, time.Second); err == nil {
			c.Close()
			g.incarnation.Add(1)
			if took := time.Since(began); took > maxReadyTime {
				g.fleet.recorder.addViolation(NotReady, "%s was ready after %v", g.name, took.Round(time.Millisecond))
			}
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	g.fleet.recorder.addViolation(NotReady, "%s was not ready after %v", g.name, startTimeout)
	g.signal(syscall.SIGQUIT) // it writes its stacks to the log
	select {
	case <-proc.ended:
	case <-time.After(stackDumpTimeout):
	}
	return fmt.Errorf("%w: %s: %s", errNotServing, g.name, g.log.String())
}

var (
	errEndedAtStart = errors.New("harness: a process exited during its start")
	errNotServing   = errors.New("harness: a process does not serve")
	errNotEnded     = errors.New("harness: a process did not exit")
)

// signal sends a signal, if the process runs.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latest != nil && !g.latest.hasEnded() { // also while it is being stopped: it may be frozen, and must go on to exit
		_ = g.latest.cmd.Process.Signal(s)
	}
}

// stop stops the process by a signal, as stopWithin does.
func (g *gateway) stop(s syscall.Signal) error { return g.stopWithin(s, stopTimeout) }

// stopWithin stops the process by a signal, and by SIGKILL if it has not exited within a time, which is errNotEnded. Otherwise it
// returns the process's exit error; an exit after SIGKILL is none. A process that had exited by itself is a violation.
func (g *gateway) stopWithin(s syscall.Signal, within time.Duration) error {
	began := time.Now()
	g.mu.Lock()
	proc, stopping := g.current, g.latest
	g.current, g.termAt = nil, began
	g.mu.Unlock()
	if proc == nil && s == syscall.SIGKILL && stopping != nil && !stopping.hasEnded() { // another call is stopping it: kill it under that
		g.killedAt.Store(began.UnixNano())
		_ = stopping.cmd.Process.Kill()
		<-stopping.ended
	}
	if proc == nil {
		return nil
	}
	g.incarnation.Add(1)
	if proc.hasEnded() {
		g.fleet.recorder.addViolation(Crashed, "%s had ended by itself with %v: %s", g.name, proc.err, tail(g.log.String()))
		return nil
	}
	if s == syscall.SIGKILL {
		g.killedAt.Store(time.Now().UnixNano())
	}
	_ = proc.cmd.Process.Signal(s)
	select {
	case <-proc.ended:
		if s == syscall.SIGKILL || g.killedAt.Load() > began.UnixNano() {
			return nil
		}
		return proc.err
	case <-time.After(within):
		if g.stoppedSince(began) { // it may not have received the signal in time
			g.killedAt.Store(time.Now().UnixNano())
		}
		_ = proc.cmd.Process.Kill()
		<-proc.ended
		return fmt.Errorf("%w within %v: %s", errNotEnded, within, g.name)
	}
}

// pid is the process's id, 0 if it does not run.
func (g *gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil || g.current.hasEnded() {
		return 0
	}
	return g.current.cmd.Process.Pid
}

// sendCommand sends the process a command on standard input, if it accepts commands and runs.
func (g *gateway) sendCommand(c command) {
	raw, err := json.Marshal(c)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && g.current != nil && g.current.commands != nil {
		_, _ = g.current.commands.Write(append(raw, '\n')) // fails only if the process has exited
	}
}

// stallLog stops reading the process's log for a while.
func (g *gateway) stallLog(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil {
		g.current.logReader.stall(d)
	}
}

// limitFiles sets how many descriptors the process may have open, and returns the limit before that; 0 if it does not run.
func (g *gateway) limitFiles(most uint64) (before uint64, err error) {
	pid := g.pid()
	if pid == 0 {
		return 0, nil
	}
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		return 0, err
	}
	return old.Cur, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: min(most, old.Max), Max: old.Max}, nil)
}

// checkExit checks the exit of a process that was asked to stop at a time. One that was frozen meanwhile may have to be killed.
func (g *gateway) checkExit(err error, since time.Time) {
	if errors.Is(err, errNotEnded) && g.stoppedSince(since) {
		return
	}
	g.reportCrash(err)
}

// reportCrash adds a violation if a process that was asked to stop exited with an error.
func (g *gateway) reportCrash(err error) {
	if err != nil {
		g.fleet.recorder.addViolation(Crashed, "%s ended with %v: %s", g.name, err, tail(g.log.String()))
	}
}

// stopGracefully stops the process by SIGTERM, and reports a crash if it does not exit cleanly.
func (g *gateway) stopGracefully() { g.reportCrash(g.stop(syscall.SIGTERM)) }

// startGateways starts those of the gateways that a fault has stopped.
func (f *fleet) startGateways(selector string) error {
	for _, g := range f.gateways {
		if g.matches(selector) {
			if err := g.startIfStopped(); err != nil {
				return err
			}
		}
	}
	return nil
}

// freeze stops the process by SIGSTOP, until resume.
func (g *gateway) freeze() {
	g.frozen.Store(true)
	g.signal(syscall.SIGSTOP)
}

// resume has a frozen process go on.
func (g *gateway) resume() {
	g.signal(syscall.SIGCONT)
	g.resumedAt.Store(time.Now().UnixNano())
	time.AfterFunc(freezeAftermath, func() { g.frozen.Store(false) })
}
