// Package process configures the Go runtime of a gateway's process, and reads what the process occupies.
package process

import (
	"bytes"
	"errors"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"foxlane/internal/config"
)

// gcPercent lets garbage grow to the size of the live heap. Both are small, so collections take hardly any time. With a
// higher value the resident size grows for a minute or more before the first collection, which looks like a leak.
const gcPercent = 100

// Configure configures the Go runtime for a machine with a fraction of a core and little memory.
func Configure(limits config.Limits) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(limits.MemoryBytes)
}

// Usage is what a process occupies, in KB.
type Usage struct {
	ResidentKB     int // resident memory, with the mapped pages of the program's file
	ResidentPeakKB int // highest ResidentKB since the start
	AnonymousKB    int // the part of ResidentKB that is not pages of files
	RuntimeUsage
	Goroutines  int
	Descriptors int // open file descriptors
}

// Read returns the usage of this process. Figures that the system does not tell are 0.
func Read() Usage {
	u := Usage{RuntimeUsage: readRuntime(), Goroutines: runtime.NumGoroutine()}
	if entries, err := os.ReadDir("/proc/self/fd"); err == nil {
		u.Descriptors = len(entries) - 1 // without the one that reads the folder
	}
	raw, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return u
	}
	for line := range strings.Lines(string(raw)) {
		name, rest, _ := strings.Cut(line, ":")
		words := strings.Fields(rest)
		if len(words) == 0 {
			continue
		}
		switch kb, _ := strconv.Atoi(words[0]); name {
		case "VmRSS":
			u.ResidentKB = kb
		case "VmHWM":
			u.ResidentPeakKB = kb
		case "RssAnon":
			u.AnonymousKB = kb
		}
	}
	return u
}

// ResidentFile reads the resident memory of this process. It keeps its file open, so that it needs no free descriptor
// when memory is short. The zero value reads nothing.
type ResidentFile struct{ file *os.File }

// OpenResidentFile returns a ResidentFile. If the system has no such file, it reads nothing.
func OpenResidentFile() ResidentFile {
	file, err := os.Open("/proc/self/statm")
	if err != nil {
		return ResidentFile{}
	}
	return ResidentFile{file}
}

// Close closes the file.
func (r ResidentFile) Close() {
	if r.file != nil {
		_ = r.file.Close() // opened read-only
	}
}

// Bytes returns the resident memory of this process, or 0 if it can't be read.
func (r ResidentFile) Bytes() int64 {
	if r.file == nil {
		return 0
	}
	var text [128]byte // seven numbers
	n, err := r.file.ReadAt(text[:], 0)
	fields := bytes.Fields(text[:n])
	if err != nil && !errors.Is(err, io.EOF) || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(string(fields[1]), 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
