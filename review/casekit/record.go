// Package casekit holds what the review's cases share: the gateway's process as the deploy file starts it, its
// configuration, a client that writes at chosen moments, and the record of a run. It must not decide whether a rule was
// broken.
package casekit

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record is the record of a run: what was sent, answered and run, each line with the time since the start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file of a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Printf appends a line.
func (r *Record) Printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line) // the verdict does not depend on the record
}

// Close ends the record.
func (r *Record) Close() { _ = r.file.Close() }

// longestRun is the time after which a case is given up.
const longestRun = 110 * time.Second

// endEarly ends all processes of the case and the case itself if it is told to end or takes too long.
func endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longestRun):
	}
	killAll()
	os.Exit(NotRun)
}

// Main runs a case and exits with its result. The only argument is the path of the record. TROUBLE=0 in the environment
// switches the disruption off.
func Main(run func(record *Record, trouble bool) (code int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case RECORD")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	go endEarly()
	code, err := run(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		code = NotRun
		record.Printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
	}
	record.Printf("exit code %d", code)
	record.Close()
	os.Exit(code)
}
