package main

import (
	"syscall"
	"testing"
	"time"
)

// A burst of unread SIGHUPs must not hide a SIGTERM. One SIGHUP stays pending as well.
func TestReloadBurstDoesNotHideTermination(t *testing.T) {
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
		t.Error("the SIGTERM was lost in the burst of SIGHUPs")
	}
	select {
	case <-signals.Reload:
	case <-time.After(5 * time.Second):
		t.Error("no SIGHUP is pending")
	}
}
