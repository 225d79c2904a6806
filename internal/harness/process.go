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
	Program string
	Args    []string // ahead of `serve`
	Env     []string // beside the rig's own
	Orders  bool     // it takes orders on standard input
}

// stackWait is how long a process that hangs has to say where.
const stackWait = 2 * time.Second

const readyMost = 10 * time.Second // from a start until a gateway greets its clients

// running is one life of a process.
type running struct {
	cmd    *exec.Cmd
	orders io.WriteCloser // nil: it takes none
	ended  chan struct{}
	err    error // once ended
	reader *logReader
}

// start starts the process; it ends by itself, or by end.
func (g *gateway) start() (*running, error) {
	p := g.rig.process
	args := append(append([]string{}, p.Args...), "serve")
	if g.rig.Operator != "" || g.rig.Talk {
		args = append(args, "--site", g.path("site.hcl"))
	}
	cmd := exec.Command(p.Program, args...)
	cmd.Env = append(append(os.Environ(), p.Env...), "LB_CONFIG="+g.path("config.json"), "LB_NAME=", "LB_LISTEN=")
	x := &running{cmd: cmd, ended: make(chan struct{})}
	if p.Orders {
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		x.orders = in
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = w
	if g.rig.OneCore {
		err = startOnCore(cmd, int(g.rig.Seed))
	} else {
		err = cmd.Start()
	}
	w.Close()
	if err != nil {
		r.Close()
		return nil, err
	}
	x.reader = readLog(r, &g.log)
	go func() {
		x.err = cmd.Wait()
		g.ended.Store(time.Now().UnixNano())
		x.reader.done.Wait()
		close(x.ended)
	}()
	return x, nil
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

// over answers whether the process has ended.
func (x *running) over() bool {
	select {
	case <-x.ended:
		return true
	default:
		return false
	}
}

// logReader reads a process's log, and stops reading for a while or for good when it is told to.
type logReader struct {
	pipe  *os.File
	until atomic.Int64 // Unix nanoseconds: it does not read before
	done  sync.WaitGroup
}

const logPoll = 5 * time.Millisecond

func readLog(pipe *os.File, to io.Writer) *logReader {
	r := &logReader{pipe: pipe}
	r.done.Go(func() {
		defer pipe.Close()
		buf := make([]byte, 32<<10)
		for {
			for time.Now().UnixNano() < r.until.Load() {
				time.Sleep(logPoll)
			}
			n, err := pipe.Read(buf)
			_, _ = to.Write(buf[:n])
			if err != nil {
				return
			}
		}
	})
	return r
}

func (r *logReader) stall(d time.Duration) { r.until.Store(time.Now().Add(d).UnixNano()) }

// beginAgain starts the process, unless it runs.
func (g *gateway) beginAgain() error {
	g.begins.Lock()
	defer g.begins.Unlock()
	g.mu.Lock()
	runs := g.run != nil
	g.mu.Unlock()
	if runs {
		return nil
	}
	return g.begin()
}

// begin starts the process and waits until it greets clients.
func (g *gateway) begin() error {
	g.mu.Lock()
	former := g.latest
	g.mu.Unlock()
	if former != nil { // no two processes have one address
		<-former.ended
	}
	g.beginLists()
	if err := g.write(); err != nil {
		return err
	}
	x, err := g.start()
	if err != nil {
		return err
	}
	began := time.Now()
	g.mu.Lock()
	g.run, g.latest, g.termAt = x, x, time.Time{}
	g.mu.Unlock()
	for time.Since(began) < startWait {
		if x.over() {
			return fmt.Errorf("rig: %s ended at once: %v: %s", g.name, x.err, tail(g.log.String()))
		}
		if c, err := standin.Connect(g.listen, netip.Addr{}, time.Second); err == nil {
			c.Close()
			g.life.Add(1)
			if took := time.Since(began); took > readyMost {
				g.rig.books.judge(NotReady, "%s was ready after %v", g.name, took.Round(time.Millisecond))
			}
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	g.rig.books.judge(NotReady, "%s was not ready after %v", g.name, startWait)
	g.signal(syscall.SIGQUIT) // it says where it stands
	select {
	case <-x.ended:
	case <-time.After(stackWait):
	}
	return fmt.Errorf("rig: %s does not serve: %s", g.name, g.log.String())
}

// stoppedSince answers whether the process was stopped at any time since some time.
func (g *gateway) stoppedSince(t time.Time) bool {
	return g.frozen.Load() || g.thawed.Load() > t.UnixNano()
}

var errNotEnded = errors.New("rig: a process did not end")

// signal sends one, if the process runs.
func (g *gateway) signal(s syscall.Signal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.latest != nil && !g.latest.over() { // also one that is being ended: it may have been stopped, and must go on
		_ = g.latest.cmd.Process.Signal(s)
	}
}

// end ends the process by a signal, and returns how it ended. One that had ended by itself has crashed.
func (g *gateway) end(s syscall.Signal) error { return g.endBy(s, endWait) }

// endBy ends the process by a signal, and by SIGKILL where it has not ended within that.
func (g *gateway) endBy(s syscall.Signal, within time.Duration) error {
	began := time.Now()
	g.mu.Lock()
	x, ending := g.run, g.latest
	g.run, g.termAt = nil, began
	g.mu.Unlock()
	if x == nil && s == syscall.SIGKILL && ending != nil && !ending.over() { // it is being ended, and is killed over that
		g.killed.Store(began.UnixNano())
		_ = ending.cmd.Process.Kill()
		<-ending.ended
	}
	if x == nil {
		return nil
	}
	g.life.Add(1)
	if x.over() {
		g.rig.books.judge(Crashed, "%s had ended by itself with %v: %s", g.name, x.err, tail(g.log.String()))
		return nil
	}
	if s == syscall.SIGKILL {
		g.killed.Store(time.Now().UnixNano())
	}
	_ = x.cmd.Process.Signal(s)
	select {
	case <-x.ended:
		if s == syscall.SIGKILL || g.killed.Load() > began.UnixNano() {
			return nil
		}
		return x.err
	case <-time.After(within):
		if g.stoppedSince(began) { // it can't know when it was asked
			g.killed.Store(time.Now().UnixNano())
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
	if g.run == nil || g.run.over() {
		return 0
	}
	return g.run.cmd.Process.Pid
}

// tellDouble gives the process an order, if it takes any and runs.
func (g *gateway) tellDouble(order any) {
	raw, err := json.Marshal(order)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil && g.run != nil && g.run.orders != nil {
		_, _ = g.run.orders.Write(append(raw, '\n')) // one that has ended takes none
	}
}

// stallLog stops reading the process's log for a while.
func (g *gateway) stallLog(d time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.run != nil {
		g.run.reader.stall(d)
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
