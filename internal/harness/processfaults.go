package harness

import (
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file injects the faults of gateway processes: signals, broken files, resource limits, and the commands of fault
// gateways.

// command is a command to a fault gateway, which reads one JSON object per line from standard input
// (faultgateway.Command).
type command struct {
	Kind     string  `json:"kind"`
	MS       int64   `json:"ms,omitempty"`
	Calls    string  `json:"calls,omitempty"`
	Errno    string  `json:"errno,omitempty"`
	Fraction float64 `json:"part,omitempty"`
	ForMS    int64   `json:"for_ms,omitempty"`
}

// failCommand returns the command that makes calls fail. The fault's text holds the calls and the error.
func failCommand(kind string, fault *Fault) command {
	calls, errno, _ := strings.Cut(fault.Text, " ")
	return command{Kind: kind, Calls: calls, Errno: errno, Fraction: fault.Factor, ForMS: fault.For.Milliseconds()}
}

func (f *fleet) failCalls(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) {
		g.sendCommand(failCommand("calls", fault))
		g.markLimited(fault.For + time.Second)
	})
	return nil, nil
}

func (f *fleet) failDisk(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) { g.sendCommand(failCommand("disk", fault)) })
	return nil, nil
}

func (f *fleet) delayDials(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) {
		g.sendCommand(command{Kind: "late", MS: fault.Delay.Milliseconds(), Fraction: fault.Factor, ForMS: fault.For.Milliseconds()})
	})
	return nil, nil
}

func (f *fleet) stepClocks(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) { g.sendCommand(command{Kind: "step", MS: int64(fault.Factor * 1000)}) })
	return nil, nil
}

func (f *fleet) stallLogs(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) { g.stallLog(fault.For) })
	return nil, nil
}

func (f *fleet) freezeGateways(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, (*gateway).freeze)
	return func() error {
		f.eachGateway(fault.Target, (*gateway).resume)
		return nil
	}, nil
}

func (f *fleet) killGateways(fault *Fault) (revertFunc, error) {
	// A killed process is expected to exit with an error.
	f.eachGateway(fault.Target, func(g *gateway) { _ = g.stop(syscall.SIGKILL) })
	return func() error { return f.startStoppedGateways(fault.Target) }, nil
}

func (f *fleet) restartGateways(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, (*gateway).stopGracefully)
	return func() error { return f.startStoppedGateways(fault.Target) }, nil
}

const (
	killAfterDeadline  = 700 * time.Millisecond // from the longest request timeout after SIGTERM until SIGKILL
	maxCountedDeadline = 3 * time.Second        // a longer request timeout counts as this
)

// killDelay returns the time from SIGTERM to SIGKILL: the shortest one that the operators' documents name.
func (f *fleet) killDelay() time.Duration {
	return min(f.longestTimeout(), maxCountedDeadline) + killAfterDeadline
}

// terminateGateways sends SIGTERM to gateways, kills those that have not exited after killDelay, and starts them again.
// Clients continue to use their open connections meanwhile.
func (f *fleet) terminateGateways(fault *Fault) (revertFunc, error) {
	var exits sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) {
		exits.Go(func() {
			began := time.Now()
			g.checkExit(g.stopWithin(syscall.SIGTERM, f.killDelay()), began)
		})
	})
	exits.Wait()
	return nil, f.startStoppedGateways(fault.Target)
}

const (
	signalPause  = 20 * time.Millisecond  // before each signal of a series
	stopDuration = 150 * time.Millisecond // how long a series waits after SIGSTOP
)

// signalsByName are the signals that a series may contain.
var signalsByName = map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// signalGateways sends a series of signals to gateways. Those that get SIGTERM are started again once they have exited.
func (f *fleet) signalGateways(fault *Fault) (revertFunc, error) {
	var series sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) {
		series.Go(func() { g.sendSignals(strings.Fields(fault.Text)) })
	})
	series.Wait()
	return nil, f.startStoppedGateways(fault.Target)
}

// sendSignals sends a series of signals to the process. After the first SIGTERM it still sends the rest of the series
// while the process stops, and returns when the process has exited.
func (g *gateway) sendSignals(names []string) {
	exited := make(chan error, 1)
	stopping, began := false, time.Now()
	for _, name := range names {
		time.Sleep(signalPause)
		switch {
		case name == "TERM" && !stopping:
			stopping = true
			go func() { exited <- g.stopWithin(syscall.SIGTERM, g.fleet.killDelay()) }()
		case name == "STOP":
			g.freeze()
			time.Sleep(stopDuration)
		case name == "CONT":
			g.resume()
		default:
			g.signal(signalsByName[name])
		}
	}
	if stopping {
		g.checkExit(<-exited, began)
	}
}

// reloadTargets makes the target's gateways reload their files.
func (f *fleet) reloadTargets(fault *Fault) (revertFunc, error) {
	return nil, f.reloadGateways(fault.Target)
}

// reloadGateways writes the current files of gateways and makes the gateways reload them.
func (f *fleet) reloadGateways(selector string) error {
	var errs []error
	f.eachGateway(selector, func(g *gateway) {
		errs = append(errs, g.writeFiles())
		g.signal(syscall.SIGHUP)
	})
	return errors.Join(errs...)
}

// replaceConfigsWithFIFO replaces the configuration files of gateways by FIFOs that nothing writes to, and sends
// SIGHUP.
func (f *fleet) replaceConfigsWithFIFO(fault *Fault) (revertFunc, error) {
	var errs []error
	f.eachGateway(fault.Target, func(g *gateway) {
		path := g.path("config.json")
		_ = os.Remove(path) // Mkfifo reports an error if the file is still there
		errs = append(errs, syscall.Mkfifo(path, 0o600))
		g.signal(syscall.SIGHUP)
	})
	return func() error {
		// writeFiles replaces the FIFO if its removal fails.
		f.eachGateway(fault.Target, func(g *gateway) { _ = os.Remove(g.path("config.json")) })
		return f.reloadGateways(fault.Target)
	}, errors.Join(errs...)
}

// limitFiles leaves gateways only a few file descriptors beyond those that are open.
func (f *fleet) limitFiles(fault *Fault) (revertFunc, error) {
	const spare = 3
	type limit struct {
		gateway  *gateway
		previous uint64
	}
	var limits []limit
	f.eachGateway(fault.Target, func(g *gateway) {
		pid := g.pid()
		if pid == 0 {
			return
		}
		previous, err := g.limitFiles(uint64(openFiles(pid) + spare))
		if err == nil && previous > 0 {
			limits = append(limits, limit{g, previous})
			g.markLimited(fault.For + time.Second)
		}
	})
	return func() error {
		for _, limit := range limits {
			_, _ = limit.gateway.limitFiles(limit.previous) // the process may have exited
		}
		return nil
	}, nil
}
