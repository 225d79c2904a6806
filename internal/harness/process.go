package harness

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// This file spawns single gateway processes, pins them to a core, and reads their logs.

// Process is the program that gateways run, with its arguments and environment.
type Process struct {
	Program         string
	Args            []string // passed before `serve`
	Env             []string // added to the environment of the harness
	AcceptsCommands bool     // it reads commands from standard input, as a fault gateway does
	Instrumented    bool     // it is built with the race detector, whose memory is several times the program's and is not judged
}

// process is one incarnation of a gateway.
type process struct {
	cmd          *exec.Cmd
	commandInput io.WriteCloser // nil: it accepts no commands
	exited       chan struct{}  // closed once it has exited and its log is read
	err          error          // exit error; set before exited is closed
	logReader    *logReader
	ready        atomic.Bool // it has accepted a login
	crashSeen    atomic.Bool // its exit, which nobody asked for, is reported
	overLimit    atomic.Bool // that its memory passed the limit is reported
}

// exitStatus describes how the process exited. It must have exited.
func (p *process) exitStatus() string {
	if p.err == nil {
		return "exit status 0"
	}
	return p.err.Error()
}

// spawn starts the gateway's process, and a goroutine that waits for its exit and closes exited.
func (g *gateway) spawn() (*process, error) {
	p := g.fleet.process
	args := append(append([]string{}, p.Args...), "serve")
	if g.fleet.OperatorFile != "" || g.fleet.Gossip {
		args = append(args, "--site", g.path("site.hcl"))
	}
	cmd := exec.Command(p.Program, args...)
	cmd.Env = append(append(os.Environ(), p.Env...), "LB_CONFIG="+g.path("config.json"), "LB_NAME=", "LB_LISTEN=")
	proc := &process{cmd: cmd, exited: make(chan struct{})}
	if p.AcceptsCommands {
		in, err := cmd.StdinPipe()
		if err != nil {
			return nil, err
		}
		proc.commandInput = in
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
	_ = logWrite.Close() // the process has its own copy
	if err != nil {
		_ = logRead.Close()
		return nil, err
	}
	proc.logReader = startLogReader(logRead, &g.log)
	go func() {
		proc.err = cmd.Wait()
		g.exitedAt.Store(time.Now().UnixNano())
		proc.logReader.done.Wait()
		close(proc.exited)
	}()
	return proc, nil
}

// startOnCore starts a process that may run on one core only: the core with the given number, modulo their count,
// among those that the harness may use. The child inherits the affinity of the thread that starts it, so startOnCore
// sets the thread's affinity for the start.
func startOnCore(cmd *exec.Cmd, core uint64) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var allowed unix.CPUSet
	if err := unix.SchedGetaffinity(0, &allowed); err != nil {
		return err
	}
	pinned := pinnedCore(&allowed, core)
	if err := unix.SchedSetaffinity(0, &pinned); err != nil {
		return err
	}
	defer func() { _ = unix.SchedSetaffinity(0, &allowed) }()
	return cmd.Start()
}

// pinnedCore returns the set of the core with the given number, modulo their count, among the allowed ones.
func pinnedCore(allowed *unix.CPUSet, core uint64) (pinned unix.CPUSet) {
	remaining := core % uint64(allowed.Count())
	for i := range maxCores {
		if !allowed.IsSet(i) {
			continue
		}
		if remaining == 0 {
			pinned.Set(i)
			break
		}
		remaining--
	}
	return pinned
}

// threadsOf returns the threads of a process; none if it is not running.
func threadsOf(pid int) (threads []int) {
	entries, err := os.ReadDir(filepath.Join("/proc", strconv.Itoa(pid), "task"))
	if err != nil {
		return nil
	}
	for _, entry := range entries {
		if thread, err := strconv.Atoi(entry.Name()); err == nil {
			threads = append(threads, thread)
		}
	}
	return threads
}

// maxCores is the number of cores that a unix.CPUSet can hold.
const maxCores = 1024

// hasExited reports whether the process has exited.
func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// logReader copies a process's log until the pipe is closed. It can suspend reading for a while, so that the pipe
// fills up.
type logReader struct {
	pipe        *os.File
	pausedUntil atomic.Int64   // when reading resumes, in Unix nanoseconds
	done        sync.WaitGroup // its goroutine, which ends when the pipe is closed
}

const logPollInterval = 5 * time.Millisecond

// startLogReader starts a goroutine that copies a log from a pipe, and closes the pipe at its end.
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

// stall suspends reading for d.
func (r *logReader) stall(d time.Duration) { r.pausedUntil.Store(time.Now().Add(d).UnixNano()) }

// openFiles returns how many file descriptors a process has open; 0 if it is not running.
func openFiles(pid int) int {
	entries, err := os.ReadDir(filepath.Join("/proc", fmt.Sprint(pid), "fd"))
	if err != nil {
		return 0
	}
	return len(entries)
}
