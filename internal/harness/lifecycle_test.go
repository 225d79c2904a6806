package harness

import (
	"net/netip"
	"syscall"
	"testing"
	"time"

	"foxlane/internal/standin"
)

// buildOneGateway builds a fleet with one gateway and one engine, which ends with the test.
func buildOneGateway(t *testing.T) *gateway {
	t.Helper()
	script, err := ParseScript([]byte(`
zone "hall-a" {
  gateways = 1
  engines  = 1
}
cores  = 1
load   = 0.1
length = "1s"
`), "one.hcl")
	if err != nil {
		t.Fatal(err)
	}
	f := newFleet(Process{Program: gatewayProgram}, *script, "")
	t.Cleanup(func() {
		if err := f.close(); err != nil {
			t.Error(err)
		}
	})
	if err := f.build(); err != nil {
		t.Fatal(err)
	}
	return f.gateways[0]
}

// A restarted gateway may accept requests before the harness has found that it is ready. They belong to the new
// incarnation: those that were counted with the one before were missing in the retry budget.
func TestAcceptedRequestsBelongToNewIncarnation(t *testing.T) {
	g := buildOneGateway(t)
	for range 5 {
		if err := g.stop(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
		stopped := g.incarnation.Load()
		accepted := make(chan int64, 1)
		go func() {
			for deadline := time.Now().Add(startTimeout); time.Now().Before(deadline); time.Sleep(100 * time.Microsecond) {
				if c, err := standin.Connect(g.listenAddr, netip.Addr{}, time.Second); err == nil {
					accepted <- g.incarnation.Load()
					c.Close()
					return
				}
			}
			accepted <- 0
		}()
		if err := g.start(); err != nil {
			t.Fatal(err)
		}
		if got := <-accepted; got != stopped+1 {
			t.Errorf("the first connection belongs to incarnation %d, want %d", got, stopped+1)
		}
	}
}

// A second fault may kill a gateway that the first one is starting again. That is no failed start.
func TestKillDuringStart(t *testing.T) {
	g := buildOneGateway(t)
	for range 5 {
		if err := g.stop(syscall.SIGKILL); err != nil {
			t.Fatal(err)
		}
		killed := make(chan error, 1)
		go func() {
			for deadline := time.Now().Add(startTimeout); g.pid() == 0 && time.Now().Before(deadline); {
				time.Sleep(100 * time.Microsecond)
			}
			killed <- g.stop(syscall.SIGKILL)
		}()
		if err := g.start(); err != nil {
			t.Errorf("the start returned %.200v", err)
		}
		if err := <-killed; err != nil {
			t.Errorf("the kill returned %v", err)
		}
	}
	if n := g.fleet.recorder.ViolationCounts; n != (Report{}).ViolationCounts {
		t.Errorf("violations: %v", n)
	}
}
