package main

import (
	"syscall"
	"testing"
	"time"
)

// SIGHUPs that nobody reads don't keep a SIGTERM from being received, and one of them is received, too.
func TestBurstHidesNoEnd(t *testing.T) {
	signals := notifySignals()
	for range 32 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(50 * time.Millisecond)
	for range 2 {
		if err := syscall.Kill(syscall.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-signals.Terminate:
	case <-time.After(5 * time.Second):
		t.Error("the SIGTERM is lost behind the SIGHUPs")
	}
	select {
	case <-signals.Reload:
	case <-time.After(5 * time.Second):
		t.Error("no SIGHUP is left")
	}
}
