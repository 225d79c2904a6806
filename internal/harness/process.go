package harness

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"foxlane/internal/standin"
)

// This file owns the life of a gateway's process: its start, what it is told on standard input if it is a test double,
// who reads its log, and its end.

// Process is the program that gateways run.
type Process struct {
	Program         string
	Args            []string // ahead of `serve`
	Env             []string // beside the rig's own
	AcceptsCommands bool     // it takes orders on standard input
}

// stackDumpTimeout is how long a process that hangs has to say where.
const stackDumpTimeout = 2 * time.Second

const maxReadyTime = 10 * time.Second // from a start until a gateway greets its clients

// process is one life of a process.
type process struct {
	cmd       *exec.Cmd
	commands  io.WriteCloser // nil: it takes none
	ended     chan struct{}
	err       error // once ended
	logReader *logReader
}

// spawn starts the process; it ends by itself, or by end.
func (g *gateway) spawn() (*process, error) {
	p := g.fleet.process
	args := append(append([]string{}, p.Args...), "serve")
	if g.fleet.OperatorFile != "" || g.fleet.Gossip {
		args = append(args, "--site", g.path("site.hcl"))
	}
	cmd := exec.Command(p.Program, args...)
	cmd.Env = append(append(os.Environ(), p.Env...), "LB_CONFIG="+g.path("config.json"), "LB_NAME=", "LB_LISTEN=")
	proc := &process{cmd: cmd, ended: make(chan struct{})}
	if p.AcceptsCommands {
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		proc.commands = in
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = w
	if g.fleet.OneCore {
		err = startOnCore(cmd, int(g.fleet.Seed))
	} else {
		err = cmd.Start()
	}
	w.Close()
	if err != nil {
		r.Close()
		return nil, err
	}
	proc.logReader = startLogReader(r, &g.log)
	go func() {
		proc.err = cmd.Wait()
		g.endedAt.Store(time.Now().UnixNano())
		proc.logReader.done.Wait()
		close(proc.ended)
	}()
	return proc, nil
}

// startOnCore starts a process that may run on one core only, the n-th of those that this one may use, in turn.
func startOnCore(cmd *exec.Cmd, n int) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	left := n % all.Count()
	for i := range maxCores {
		if !all.IsSet(i) {
			continue
		}
		if left == 0 {
			one.Set(i)
			break
		}
		left--
	}
	if err := unix.SchedSetaffinity(0, &one); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &all) }()
	return cmd.Start()
}

// maxCores is how many cores are looked at.
const maxCores = 1024

// hasEnded answers whether the process has ended.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// logReader reads a process's log, and stops reading for a while or for good when it is told to.
type logReader struct {
	pipe        *os.File
	pausedUntil atomic.Int64 // Unix nanoseconds: it does not read before
	done        sync.WaitGroup
}

const logPollInterval = 5 * time.Millisecond

func startLogReader(pipe *os.File, to io.Writer) *logReader {
	reader := &logReader{pipe: pipe}
	reader.done.Go(func() {
		defer pipe.Close()
		buf := make([]byte, 32<<10)
		for {
			for time.Now().UnixNano() < reader.pausedUntil.Load() {
				time.Sleep(logPollInterval)
			}
			n, err := pipe.Read(buf)
			_, _ = to.Write(buf[:n])
			if err != nil {
				return
			}
		}
	})
	return reader
}

func (r *logReader) stall(d time.Duration) { r.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

// startIfStopped starts the process, unless it runs.
func (g *gateway) startIfStopped() error {
	g.startMu.Lock()
	defer g.startMu.Unlock()
	g.mu.Lock()
	runs := g.current != nil
	g.mu.Unlock()
	if runs {
		return nil
	}
	return g.start()
}

// start starts the process and waits until it greets clients.
func (g *gateway) start() error {
	g.mu.Lock()
	former := g.latest
	g.mu.Unlock()
	if former != nil { // no two processes have one address
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
			return fmt.Errorf("rig: %s ended at once: %v: %s", g.name, proc.err, tail(g.log.String()))
		}
		if c, err := standin.Connect(g.listenAddr, netip.Addr{}, time.Second); err == nil {
			c.Close()
			g.incarnation.Add(1)
			if took := time.Since(began); took > maxReadyTime {
				g.fleet.recorder.addViolation(NotReady, "%s was ready after %v", g.name, took.Round(time.Millisecond))
			}
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.fleet.recorder.addViolation(NotReady, "%s was not ready after %v", g.name, startTimeout)
	g.signal(syscall.SIGQUIT) // it says where it stands
	select {
	case <-proc.ended:
	case <-time.After(stackDumpTimeout):
	}
	return fmt.Errorf("rig: %s does not serve: %s", g.name, g.log.String())
}

// stoppedSince answers whether the process was stopped at any time since some time.
func (g *gateway) stoppedSince(t time.Time) bool {
	return g.frozen.Load() || g.resumedAt.Load() > t.UnixNano()
}

var errNotEnded = errors.New("rig: a process did not end")

// signal sends one, if the process runs.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latest != nil && !g.latest.hasEnded() { // also one that is being ended: it may have been stopped, and must go on
		_ = g.latest.cmd.Process.Signal(s)
	}
}

// stop ends the process by a signal, and returns how it ended. One that had ended by itself has crashed.
func (g *gateway) stop(s syscall.Signal) error { return g.stopWithin(s, stopTimeout) }

// stopWithin ends the process by a signal, and by SIGKILL where it has not ended within that.
func (g *gateway) stopWithin(s syscall.Signal, within time.Duration) error {
	began := time.Now()
	g.mu.Lock()
	x, ending := g.current, g.latest
	g.current, g.termAt = nil, began
	g.mu.Unlock()
	if x == nil && s == syscall.SIGKILL && ending != nil && !ending.hasEnded() { // it is being ended, and is killed over that
		g.killedAt.Store(began.UnixNano())
		_ = ending.cmd.Process.Kill()
		<-ending.ended
	}
	if x == nil {
		return nil
	}
	g.incarnation.Add(1)
	if x.hasEnded() {
		g.fleet.recorder.addViolation(Crashed, "%s had ended by itself with %v: %s", g.name, x.err, tail(g.log.String()))
		return nil
	}
	if s == syscall.SIGKILL {
		g.killedAt.Store(time.Now().UnixNano())
	}
	_ = x.cmd.Process.Signal(s)
	select {
	case <-x.ended:
		if s == syscall.SIGKILL || g.killedAt.Load() > began.UnixNano() {
			return nil
		}
		return x.err
	case <-time.After(within):
		if g.stoppedSince(began) { // it can't know when it was asked
			g.killedAt.Store(time.Now().UnixNano())
		}
		_ = x.cmd.Process.Kill()
		<-x.ended
		return fmt.Errorf("%w within %v: %s", errNotEnded, within, g.name)
	}
}

// pid is the process's number, 0 if it does not run.
func (g *gateway) pid() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.current == nil || g.current.hasEnded() {
		return 0
	}
	return g.current.cmd.Process.Pid
}

// sendCommand gives the process an order, if it takes any and runs.
func (g *gateway) sendCommand(order any) {
	raw, err := json.Marshal(order)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && g.current != nil && g.current.commands != nil {
		_, _ = g.current.commands.Write(append(raw, '\n')) // one that has ended takes none
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

// limitFiles sets how many descriptors the process may have open, and returns the limit from before.
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

// openFiles is how many descriptors the process has open.
func openFiles(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}
