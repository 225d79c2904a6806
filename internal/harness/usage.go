package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// Usage is the resident memory of a process and the CPU time that it has used.
type Usage struct {
	RSSMB      float64
	CPUSeconds float64
}

const ticksPerSecond = 100 // USER_HZ, the unit of CPU times in /proc on Linux

// UsageOf reads a process's usage from /proc.
func UsageOf(pid int) (u Usage, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	_, rest, ok := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 22 {
		return u, fmt.Errorf("harness: stat of process %d is malformed: %q", pid, raw)
	}
	for _, f := range fields[11:13] { // user and system time
		n, err := strconv.Atoi(f)
		if err != nil {
			return u, err
		}
		u.CPUSeconds += float64(n) / ticksPerSecond
	}
	pages, err := strconv.Atoi(fields[21])
	u.RSSMB = float64(pages) * float64(os.Getpagesize()) / (1 << 20)
	return u, err
}

// MemoryUsage is the memory of a process as the kernel accounts for it. File pages of the program that are mapped count
// as resident; socket buffers, page tables and files do not.
type MemoryUsage struct {
	ResidentMB  float64
	PeakMB      float64 // highest ResidentMB since the start of the process
	AnonymousMB float64 // the part of ResidentMB that is not file pages
}

// MemoryOf reads a process's memory usage from /proc.
func MemoryOf(pid int) (u MemoryUsage, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for _, field := range []struct {
		name string
		to   *float64
	}{{"VmRSS", &u.ResidentMB}, {"VmHWM", &u.PeakMB}, {"RssAnon", &u.AnonymousMB}} {
		_, rest, found := strings.Cut(string(raw), "\n"+field.name+":")
		words := strings.Fields(rest)
		if !found || len(words) == 0 {
			return u, fmt.Errorf("harness: status of process %d has no %s", pid, field.name)
		}
		kb, err := strconv.Atoi(words[0])
		if err != nil {
			return u, err
		}
		*field.to = float64(kb) / 1024
	}
	return u, nil
}
