package main

import (
	"bytes"
	"runtime"
	"runtime/debug"
	"strings"
	"testing"

	"foxlane/internal/config"
)

func run(args ...string) (string, error) {
	var out bytes.Buffer
	cmd := root()
	cmd.SetOut(&out)
	cmd.SetArgs(args)
	err := cmd.Execute()
	return out.String(), err
}

// The example's configuration is one that serves, and check says what it holds.
func TestCheck(t *testing.T) {
	out, err := run("check", "../../example/config.json")
	if err != nil || !strings.Contains(out, "n0 listens on 127.0.0.1:7001") || !strings.Contains(out, "3 classes, 2 engines") {
		t.Errorf("got %q, %v", out, err)
	}
	if _, err := run("check", "../../go.mod"); err == nil {
		t.Error("a file that is no configuration passed")
	}
	if _, err := run("check"); err == nil {
		t.Error("check without a file passed")
	}
}

func TestVersion(t *testing.T) {
	if out, err := run("version"); err != nil || !strings.HasPrefix(out, "foxlane dev go") {
		t.Errorf("got %q, %v", out, err)
	}
}

// Without a configuration, serve ends at once with one line that names it.
func TestServeNeedsConfiguration(t *testing.T) {
	t.Setenv("LB_CONFIG", "")
	if _, err := run("serve"); err == nil || !strings.Contains(err.Error(), "LB_CONFIG") {
		t.Errorf("got %v", err)
	}
}

var garbage []byte

// The collector was let wait until there was nine times as much garbage as is kept, so that memory grew
// all through a long day. 64 MB of garbage leave it within a few MB.
func TestGarbageIsCollectedEarly(t *testing.T) {
	procs := runtime.GOMAXPROCS(0)
	defer func() { runtime.GOMAXPROCS(procs); debug.SetGCPercent(100); debug.SetMemoryLimit(1 << 50) }()
	c, err := config.LoadFile("../../example/config.json")
	if err != nil {
		t.Fatal(err)
	}
	setRuntime(c.Limits)
	debug.FreeOSMemory()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range 64 << 10 {
		garbage = make([]byte, 1024)
	}
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapSys-after.HeapReleased) - int64(before.HeapSys-before.HeapReleased); grown > 12<<20 {
		t.Errorf("the heap grew by %d MB", grown>>20)
	}
}
