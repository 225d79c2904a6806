package harness

import (
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns the faults of gateways' processes: signals, their files and limits, and the commands of fault gateways.

// command is what a fault gateway reads on standard input, a JSON object a line (faultgateway.Command).
type command struct {
	Kind     string  `json:"kind"`
	MS       int64   `json:"ms,omitempty"`
	Calls    string  `json:"calls,omitempty"`
	Errno    string  `json:"errno,omitempty"`
	Fraction float64 `json:"part,omitempty"`
	ForMS    int64   `json:"for_ms,omitempty"`
}

// failCommand is the command by which a fault's calls fail. The fault's text is the calls and the error.
func failCommand(kind string, fault *Fault) command {
	calls, errno, _ := strings.Cut(fault.Text, " ")
	return command{Kind: kind, Calls: calls, Errno: errno, Fraction: fault.Factor, ForMS: fault.For.Milliseconds()}
}

func (f *fleet) failCalls(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, func(g *gateway) {
		g.sendCommand(failCommand("calls", fault))
		g.markStrained(fault.For + time.Second)
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
	f.eachGateway(fault.Target, func(g *gateway) { _ = g.stop(syscall.SIGKILL) }) // a kill is expected to end it with an error
	return func() error { return f.startGateways(fault.Target) }, nil
}

func (f *fleet) restartGateways(fault *Fault) (revertFunc, error) {
	f.eachGateway(fault.Target, (*gateway).stopGracefully)
	return func() error { return f.startGateways(fault.Target) }, nil
}

const (
	killAfterDeadline  = 700 * time.Millisecond // SIGKILL comes this long after the longest deadline after SIGTERM,
	maxCountedDeadline = 3 * time.Second        // which counts as this at most
)

// killDelay is how long after SIGTERM SIGKILL comes, the earliest that the operators' documents name.
func (f *fleet) killDelay() time.Duration {
	return min(f.longestTimeout(), maxCountedDeadline) + killAfterDeadline
}

// terminateGateways sends gateways SIGTERM, kills those that have not exited after killDelay, and starts them again. Clients go on
// using their open connections.
func (f *fleet) terminateGateways(fault *Fault) (revertFunc, error) {
	var exits sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) {
		exits.Go(func() {
			began := time.Now()
			g.checkExit(g.stopWithin(syscall.SIGTERM, f.killDelay()), began)
		})
	})
	exits.Wait()
	return nil, f.startGateways(fault.Target)
}

const (
	signalPause  = 20 * time.Millisecond  // between two signals of a series
	stopDuration = 150 * time.Millisecond // for which a series of signals stops a process
)

// signalNames are the signals that a series may name.
var signalNames = map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// signalGateways sends gateways a series of signals. Those that get a SIGTERM are started again once they have exited.
func (f *fleet) signalGateways(fault *Fault) (revertFunc, error) {
	var series sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) {
		series.Go(func() { g.sendSeries(strings.Fields(fault.Text)) })
	})
	series.Wait()
	return nil, f.startGateways(fault.Target)
}

// sendSeries sends the process a series of signals. With the first SIGTERM it begins to stop, while the rest of the series goes on;
// sendSeries returns when it has exited.
func (g *gateway) sendSeries(names []string) {
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
			g.signal(signalNames[name])
		}
	}
	if stopping {
		g.checkExit(<-exited, began)
	}
}

// reloadTargets has the target's gateways read their files again.
func (f *fleet) reloadTargets(fault *Fault) (revertFunc, error) {
	return nil, f.reloadGateways(fault.Target)
}

// reloadGateways writes the gateways' files as they are to be now, and has them read again.
func (f *fleet) reloadGateways(selector string) error {
	var errs []error
	f.eachGateway(selector, func(g *gateway) {
		errs = append(errs, g.writeFiles())
		g.signal(syscall.SIGHUP)
	})
	return errors.Join(errs...)
}

// replaceConfigsWithFIFO replaces configurations by pipes that nobody writes to, and asks for a reload.
func (f *fleet) replaceConfigsWithFIFO(fault *Fault) (revertFunc, error) {
	var errs []error
	f.eachGateway(fault.Target, func(g *gateway) {
		path := g.path("config.json")
		_ = os.Remove(path) // Mkfifo fails if it is still there
		errs = append(errs, syscall.Mkfifo(path, 0o600))
		g.signal(syscall.SIGHUP)
	})
	return func() error {
		f.eachGateway(fault.Target, func(g *gateway) { _ = os.Remove(g.path("config.json")) }) // writeFiles replaces what is left
		return f.reloadGateways(fault.Target)
	}, errors.Join(errs...)
}

// limitFiles leaves gateways few descriptors beyond those that are open.
func (f *fleet) limitFiles(fault *Fault) (revertFunc, error) {
	const spare = 3
	type limit struct {
		gateway *gateway
		before  uint64
	}
	var limits []limit
	f.eachGateway(fault.Target, func(g *gateway) {
		pid := g.pid()
		if pid == 0 {
			return
		}
		before, err := g.limitFiles(uint64(openFiles(pid) + spare))
		if err == nil && before > 0 {
			limits = append(limits, limit{g, before})
			g.markStrained(fault.For + time.Second)
		}
	})
	return func() error {
		for _, limit := range limits {
			_, _ = limit.gateway.limitFiles(limit.before) // it may have ended
		}
		return nil
	}, nil
}
