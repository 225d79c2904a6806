package harness

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// This file owns single processes of gateways: how one is spawned, who reads its log, and its limits.

// Process is the program that gateways run.
type Process struct {
	Program         string
	Args            []string // before `serve`
	Env             []string // added to the harness's own
	AcceptsCommands bool     // it reads commands on standard input, as a fault gateway does
}

// process is one incarnation of a gateway.
type process struct {
	cmd       *exec.Cmd
	commands  io.WriteCloser // nil: it accepts none
	ended     chan struct{}  // closed once it has exited and its log is read
	err       error          // how it exited; set before ended is closed
	logReader *logReader
}

// exitText says how a process that has ended exited.
func (p *process) exitText() string {
	if p.err == nil {
		return "exit status 0"
	}
	return p.err.Error()
}

// spawn starts the process. A goroutine waits for its exit and closes ended.
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
	logRead, logWrite, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = logWrite
	if g.fleet.OneCore {
		err = startOnCore(cmd, g.fleet.Seed)
	} else {
		err = cmd.Start()
	}
	_ = logWrite.Close() // the process has its own
	if err != nil {
		_ = logRead.Close()
		return nil, err
	}
	proc.logReader = startLogReader(logRead, &g.log)
	go func() {
		proc.err = cmd.Wait()
		g.endedAt.Store(time.Now().UnixNano())
		proc.logReader.done.Wait()
		close(proc.ended)
	}()
	return proc, nil
}

// startOnCore starts a process that may run on one core only: the n-th, modulo their number, of those this process may use.
func startOnCore(cmd *exec.Cmd, n uint64) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one unix.CPUSet
	if err := unix.SchedGetaffinity(0, &all); err != nil {
		return err
	}
	left := n % uint64(all.Count())
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

// maxCores is the number of cores that a CPUSet can name.
const maxCores = 1024

// hasEnded reports whether the process has exited.
func (p *process) hasEnded() bool {
	select {
	case <-p.ended:
		return true
	default:
		return false
	}
}

// logReader copies a process's log until its end, and can be told not to read for a while, so that the pipe fills up.
type logReader struct {
	pipe        *os.File
	pausedUntil atomic.Int64   // Unix nanoseconds: it does not read before
	done        sync.WaitGroup // of its goroutine, which ends with the pipe
}

const logPollInterval = 5 * time.Millisecond

// startLogReader starts the goroutine that copies a log from a pipe, which it owns.
func startLogReader(pipe *os.File, to io.Writer) *logReader {
	reader := &logReader{pipe: pipe}
	reader.done.Go(func() {
		defer func() { _ = pipe.Close() }()
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

// stall stops reading for a while.
func (r *logReader) stall(d time.Duration) { r.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

// openFiles is how many descriptors a process has open; 0 if it does not run.
func openFiles(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}
