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

// This file starts, signals and stops the processes of gateways.

const (
	startTimeout      = 10 * time.Second
	maxReadyTime      = 10 * time.Second // from a start until the gateway accepts logins
	readyPollInterval = 10 * time.Millisecond
	stackDumpTimeout  = 2 * time.Second // after SIGQUIT to a process that did not become ready
	stopTimeout       = 8 * time.Second
	resumeGrace       = time.Second // a gateway counts as frozen this long after SIGCONT
)

// startIfStopped starts the process unless it is running.
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

// start writes the gateway's files, starts its process and waits until it accepts a client's login, or until another
// fault has stopped it.
func (g *gateway) start() error {
	g.mu.Lock()
	previous := g.latest
	g.mu.Unlock()
	if previous != nil { // it holds the address until it has exited
		<-previous.exited
	}
	g.restartList()
	if err := g.writeFiles(); err != nil {
		return err
	}
	g.incarnation.Add(1) // before clients can reach the process
	proc, err := g.spawn()
	if err != nil {
		return err
	}
	began := time.Now()
	g.mu.Lock()
	g.current, g.latest, g.termAt = proc, proc, time.Time{}
	g.mu.Unlock()
	for time.Since(began) < startTimeout {
		if proc.hasExited() {
			if g.stopRequested(proc) {
				return nil
			}
			return fmt.Errorf("%w: %s: %s: %s", errExitedDuringStart, g.name, proc.exitStatus(), tail(g.log.String()))
		}
		if c, err := standin.Connect(g.listenAddr, netip.Addr{}, time.Second); err == nil {
			c.Close()
			proc.ready.Store(true)
			if took := time.Since(began); took > maxReadyTime {
				g.fleet.recorder.addViolation(NotReady, "%s became ready only after %v", g.name, took.Round(time.Millisecond))
			}
			return nil
		}
		time.Sleep(readyPollInterval)
	}
	g.fleet.recorder.addViolation(NotReady, "%s was not ready after %v", g.name, startTimeout)
	g.signal(syscall.SIGQUIT) // makes the process write its stacks to the log
	select {
	case <-proc.exited:
	case <-time.After(stackDumpTimeout):
	}
	return fmt.Errorf("%w: %s: %s", errNotServing, g.name, g.log.String())
}

var (
	errExitedDuringStart = errors.New("harness: a process exited during its start")
	errNotServing        = errors.New("harness: a process does not accept clients")
	errNotExited         = errors.New("harness: a process did not exit")
)

// stopRequested reports whether a call of stop has taken the process to stop it.
func (g *gateway) stopRequested(proc *process) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.current != proc
}

// signal sends a signal to the latest process, if that has not exited. A process that is being stopped gets it too.
func (g *gateway) signal(sig syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	// latest, not current: a frozen process that is being stopped has to be resumed before it can exit.
	if g.latest != nil && !g.latest.hasExited() {
		_ = g.latest.cmd.Process.Signal(sig)
	}
}

// stop stops the process with a signal within stopTimeout, see stopWithin.
func (g *gateway) stop(sig syscall.Signal) error { return g.stopWithin(sig, stopTimeout) }

// stopWithin stops the process with a signal. If it has not exited within the timeout, stopWithin kills it and
// returns errNotExited. Otherwise it returns the process's exit error, or nil if the process was killed on purpose. A
// process that had already exited by itself is a violation.
func (g *gateway) stopWithin(sig syscall.Signal, timeout time.Duration) error {
	began := time.Now()
	g.mu.Lock()
	proc, stopping := g.current, g.latest
	g.current, g.termAt = nil, began
	g.mu.Unlock()
	// If another call is stopping the process, kill the process under that call.
	if proc == nil && sig == syscall.SIGKILL && stopping != nil && !stopping.hasExited() {
		g.killedAt.Store(began.UnixNano())
		_ = stopping.cmd.Process.Kill()
		<-stopping.exited
	}
	if proc == nil {
		return nil
	}
	g.incarnation.Add(1)
	if proc.hasExited() {
		g.reportExit(proc)
		return nil
	}
	g.checkMemory(proc)
	if sig == syscall.SIGKILL {
		g.killedAt.Store(time.Now().UnixNano())
	}
	_ = proc.cmd.Process.Signal(sig)
	select {
	case <-proc.exited:
		if sig == syscall.SIGKILL || g.killedAt.Load() > began.UnixNano() {
			return nil
		}
		return proc.err
	case <-time.After(timeout):
		if g.frozenSince(began) { // it may not have received the signal in time
			g.killedAt.Store(time.Now().UnixNano())
		}
		_ = proc.cmd.Process.Kill()
		<-proc.exited
		return fmt.Errorf("%w within %v: %s", errNotExited, timeout, g.name)
	}
}

// pid returns the process's id, or 0 if it is not running.
func (g *gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil || g.current.hasExited() {
		return 0
	}
	return g.current.cmd.Process.Pid
}

// sendCommand writes a command to the standard input of the process, if it is running and accepts commands.
func (g *gateway) sendCommand(c command) {
	raw, err := json.Marshal(c)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && g.current != nil && g.current.commandInput != nil {
		_, _ = g.current.commandInput.Write(append(raw, '\n')) // fails only if the process has exited
	}
}

// stallLog suspends reading of the process's log for a while.
func (g *gateway) stallLog(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current != nil {
		g.current.logReader.stall(d)
	}
}

// limitFiles sets how many file descriptors the process may have open, at most its hard limit, and returns the previous
// limit; 0 if the process is not running.
func (g *gateway) limitFiles(limit uint64) (previous uint64, err error) {
	pid := g.pid()
	if pid == 0 {
		return 0, nil
	}
	var old unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &old); err != nil {
		return 0, err
	}
	return old.Cur, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: min(limit, old.Max), Max: old.Max}, nil)
}

// checkExit reports a crash if a process that was signalled to stop at stopAt did not exit cleanly. A process that was
// frozen meanwhile may have had to be killed.
func (g *gateway) checkExit(err error, stopAt time.Time) {
	if errors.Is(err, errNotExited) && g.frozenSince(stopAt) {
		return
	}
	g.reportCrash(err)
}

// reportCrash adds a violation if a process exited with an error after a signal to stop.
func (g *gateway) reportCrash(err error) {
	if err != nil {
		g.fleet.recorder.addViolation(Crashed, "%s exited with %v: %s", g.name, err, tail(g.log.String()))
	}
}

// stopGracefully stops the process with SIGTERM, and reports a crash if it does not exit cleanly.
func (g *gateway) stopGracefully() { g.reportCrash(g.stop(syscall.SIGTERM)) }

// startStoppedGateways starts those gateways that the selector matches and that are not running.
func (f *fleet) startStoppedGateways(selector string) error {
	for _, g := range f.gateways {
		if g.matches(selector) {
			if err := g.startIfStopped(); err != nil {
				return err
			}
		}
	}
	return nil
}

// freeze suspends the process with SIGSTOP until resume.
func (g *gateway) freeze() {
	g.frozen.Store(true)
	g.signal(syscall.SIGSTOP)
}

// resume lets a frozen process continue. The gateway counts as frozen for another resumeGrace.
func (g *gateway) resume() {
	g.signal(syscall.SIGCONT)
	g.resumedAt.Store(time.Now().UnixNano())
	time.AfterFunc(resumeGrace, func() { g.frozen.Store(false) })
}
