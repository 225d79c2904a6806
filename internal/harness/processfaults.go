package harness

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// This file owns troubles that single processes have with their surroundings, and those that engines and clients make.

// Troubles of engines, by what becomes of a part of the requests that come.
const (
	modeHang      = "hang"  // nothing is ever heard of it
	modeError     = "error" // an error
	modeMalformed = "spoil" // bytes that can't be read, or an answer that stops short
	modeReset     = "break" // the connection is reset
)

// command is what a test double is told.
type command struct {
	Kind     string  `json:"kind"`
	MS       int64   `json:"ms,omitempty"`
	Calls    string  `json:"calls,omitempty"`
	Errno    string  `json:"errno,omitempty"`
	Fraction float64 `json:"part,omitempty"`
	ForMS    int64   `json:"for_ms,omitempty"`
}

// injectProcessFault carries out a fault of this file. It returns what takes it back, and whether it is one.
func (f *fleet) injectProcessFault(ctx context.Context, fault *Fault) (back func() error, mine bool, err error) {
	switch fault.Kind {
	case "mode":
		f.setFaultMode(fault.Target, fault.Text, fault.Factor)
		return func() error { f.setFaultMode(fault.Target, "", 0); return nil }, true, nil
	case "retire":
		return f.retire(fault), true, nil
	case "term":
		return nil, true, f.terminate(fault, syscall.SIGTERM)
	case "signals":
		return nil, true, f.signals(fault)
	case "late-dials":
		f.eachGateway(fault.Target, func(g *gateway) {
			g.sendCommand(command{Kind: "late", MS: fault.Delay.Milliseconds(), Fraction: fault.Factor, ForMS: fault.For.Milliseconds()})
		})
		return nil, true, nil
	case "reload":
		return nil, true, f.reloadGateways(fault.Target)
	case "step":
		f.eachGateway(fault.Target, func(g *gateway) { g.sendCommand(command{Kind: "step", MS: int64(fault.Factor * 1000)}) })
		return nil, true, nil
	case "calls":
		calls, errno, _ := strings.Cut(fault.Text, " ")
		f.eachGateway(fault.Target, func(g *gateway) {
			g.sendCommand(command{Kind: "calls", Calls: calls, Errno: errno, Fraction: fault.Factor, ForMS: fault.For.Milliseconds()})
			g.markStrained(fault.For + time.Second)
		})
		return nil, true, nil
	case "disk":
		calls, errno, _ := strings.Cut(fault.Text, " ")
		f.eachGateway(fault.Target, func(g *gateway) {
			g.sendCommand(command{Kind: "disk", Calls: calls, Errno: errno, Fraction: fault.Factor, ForMS: fault.For.Milliseconds()})
		})
		return nil, true, nil
	case "files":
		return f.limitFiles(fault)
	case "log":
		f.eachGateway(fault.Target, func(g *gateway) { g.stallLog(fault.For) })
		return nil, true, nil
	case "rogue":
		var clients sync.WaitGroup
		stop := make(chan struct{})
		f.eachGateway(fault.Target, func(g *gateway) {
			rng := rand.New(rand.NewPCG(f.Seed, uint64(g.index)+77))
			clients.Go(func() { runRogueClient(g.clientProxy.Addr().String(), rng, stop) })
		})
		return func() error { close(stop); clients.Wait(); return nil }, true, nil
	case "leave":
		f.abandonPermille.Store(int64(fault.Factor * 1000))
		return func() error { f.abandonPermille.Store(int64(f.AbandonShare * 1000)); return nil }, true, nil
	case "lists": // each answer asks what holds
		if fault.Text == listSerialsRestart {
			f.eachGateway(fault.Target, (*gateway).restartSerials)
		}
		return nil, true, nil
	case "fifo":
		return f.replaceConfigWithFIFO(fault.Target)
	}
	return nil, false, nil
}

func (f *fleet) setFaultMode(of, mode string, part float64) {
	for _, e := range f.engines {
		if e.matches(of) {
			e.mu.Lock()
			e.faultMode, e.faultShare = mode, part
			e.mu.Unlock()
		}
	}
}

// Ways in which engines leave the list, by the text of the fault.
const (
	retireDrain = ""      // they drain
	retireGone  = "gone"  // they are not named any more, and still run for a while
	retireBoth  = "both"  // one list says that the first of them has gone and the others drain
	retireFlap  = "flap"  // they drain, are active again, and drain again within half a second
	retireNewID = "newid" // as retireDrain, and come back under new ids at the addresses of the old ones
)

const flapPause = 200 * time.Millisecond

// retire has engines leave the list, end, and come back as new processes, cold.
func (f *fleet) retire(fault *Fault) func() error {
	of, first := fault.Target, true
	leave := func(e *engine) {
		e.draining = fault.Text != retireGone && (fault.Text != retireBoth || !first)
		e.unlisted = !e.draining
		first = false
	}
	stay := func(e *engine) { e.draining = false }
	f.relist(of, leave)
	if fault.Text == retireFlap {
		time.Sleep(flapPause)
		f.relist(of, stay)
		time.Sleep(flapPause)
		f.relist(of, leave)
	}
	return func() error {
		f.relist(of, func(e *engine) { e.draining, e.unlisted = false, true })
		time.Sleep(2 * publishDelay)
		for _, e := range f.engines {
			if !e.matches(of) {
				continue
			}
			e.stop()
			if err := e.start(true); err != nil {
				return err
			}
			for _, t := range e.proxies {
				t.Reset()
				t.SetTarget(e.addr())
			}
			if fault.Text == retireNewID {
				f.assignNewID(e)
			}
		}
		f.relist(of, func(e *engine) { e.unlisted = false })
		return nil
	}
}

// assignNewID gives an engine a new id.
func (f *fleet) assignNewID(e *engine) {
	f.mu.Lock()
	id := f.newEngineID()
	f.mu.Unlock()
	e.mu.Lock()
	e.id = id
	e.mu.Unlock()
}

// relist changes how engines stand in the list, and tells it.
func (f *fleet) relist(of string, change func(*engine)) {
	for _, e := range f.engines {
		if e.matches(of) {
			e.listMu.Lock()
			change(e)
			e.listMu.Unlock()
		}
	}
	f.publishList(0)
}

const (
	killAfterDeadline  = 700 * time.Millisecond // SIGKILL comes so long behind the longest deadline after SIGTERM,
	maxCountedDeadline = 3 * time.Second        // which counts as that at most
)

// killDelay is how long after SIGTERM SIGKILL comes, at the earliest that the operators' pages name.
func (f *fleet) killDelay() time.Duration {
	return min(f.longestTimeout(), maxCountedDeadline) + killAfterDeadline
}

// terminate asks gateways to end, kills those that have not when their time is over, and starts them again. Clients use their open
// connections on.
func (f *fleet) terminate(fault *Fault, s syscall.Signal) error {
	var ends sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) {
		ends.Go(func() {
			began := time.Now()
			g.checkExit(g.stopWithin(s, f.killDelay()), began)
		})
	})
	ends.Wait()
	return f.startGateways(fault.Target)
}

// checkExit judges how the process ended that was asked to since some time. One that was stopped meanwhile may have to be killed.
func (g *gateway) checkExit(err error, since time.Time) {
	if err == nil || errors.Is(err, errNotEnded) && g.stoppedSince(since) {
		return
	}
	g.fleet.recorder.addViolation(Crashed, "%s ended with %v: %s", g.name, err, tail(g.log.String()))
}

// signalPause lies between two signals of a series.
const signalPause = 20 * time.Millisecond

var signalNames = map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// signals sends gateways a series of signals, and has them end with the first SIGTERM among them.
func (f *fleet) signals(fault *Fault) error {
	var ends sync.WaitGroup
	f.eachGateway(fault.Target, func(g *gateway) {
		ends.Go(func() {
			ending := make(chan error, 1)
			asked, began := false, time.Now()
			for _, name := range strings.Fields(fault.Text) {
				time.Sleep(signalPause)
				switch {
				case name == "TERM" && !asked:
					asked = true
					go func() { ending <- g.stopWithin(syscall.SIGTERM, f.killDelay()) }()
				case name == "STOP":
					g.frozen.Store(true)
					g.signal(syscall.SIGSTOP)
					time.Sleep(stopDuration)
				case name == "CONT":
					g.signal(syscall.SIGCONT)
					g.resumedAt.Store(time.Now().UnixNano())
					time.AfterFunc(time.Second, func() { g.frozen.Store(false) })
				default:
					g.signal(signalNames[name])
				}
			}
			if !asked {
				return
			}
			g.checkExit(<-ending, began)
		})
	})
	ends.Wait()
	return f.startGateways(fault.Target)
}

// stopDuration is for how long a series of signals stops a process.
const stopDuration = 150 * time.Millisecond

// reloadGateways has gateways read their files again.
func (f *fleet) reloadGateways(of string) (err error) {
	f.eachGateway(of, func(g *gateway) {
		if e := g.writeFiles(); e != nil {
			err = e
		}
		g.signal(syscall.SIGHUP)
	})
	return err
}

// replaceConfigWithFIFO puts a pipe that nobody writes in the place of a configuration, and asks for a reload.
func (f *fleet) replaceConfigWithFIFO(of string) (back func() error, mine bool, err error) {
	f.eachGateway(of, func(g *gateway) {
		path := g.path("config.json")
		_ = os.Remove(path)
		if e := syscall.Mkfifo(path, 0o600); e != nil {
			err = e
		}
		g.signal(syscall.SIGHUP)
	})
	return func() error {
		f.eachGateway(of, func(g *gateway) { _ = os.Remove(g.path("config.json")) })
		return f.reloadGateways(of)
	}, true, err
}

// limitFiles leaves gateways few descriptors beyond those that are open.
func (f *fleet) limitFiles(fault *Fault) (back func() error, mine bool, err error) {
	const spare = 3
	type limit struct {
		g      *gateway
		before uint64
	}
	var limits []limit
	f.eachGateway(fault.Target, func(g *gateway) {
		pid := g.pid()
		if pid == 0 {
			return
		}
		before, e := g.limitFiles(uint64(openFiles(pid) + spare))
		if e == nil && before > 0 {
			limits = append(limits, limit{g, before})
			g.markStrained(fault.For + time.Second)
		}
	})
	return func() error {
		for _, l := range limits {
			_, _ = l.g.limitFiles(l.before) // it may have ended
		}
		return nil
	}, true, nil
}

// markStrained notes that for a while the gateway can't take every connection: what it shuts unread is no fault of its own.
func (g *gateway) markStrained(d time.Duration) { g.strainedUntil.Store(time.Now().Add(d).UnixNano()) }

// disturbedSince answers whether something kept the gateway from its clients at any time since then.
func (g *gateway) disturbedSince(since time.Time) bool {
	return g.disturbed() || g.resumedAt.Load() > since.UnixNano() || g.resetAt.Load() > since.UnixNano() ||
		g.clientProxy.Forward().ChangedWithin(time.Since(since)) || g.clientProxy.Reverse().ChangedWithin(time.Since(since))
}

// runRogueClient behaves as no client should until it is stopped.
func runRogueClient(addr string, rng *rand.Rand, stop <-chan struct{}) {
	const most = 400
	for range most {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(rng.IntN(10)) * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", addr, 200*time.Millisecond)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
		switch rng.IntN(5) {
		case 0: // half a login
			_, _ = c.Write([]byte{60, 0, 0, 1, 3})
		case 1: // what is no packet
			_, _ = c.Write([]byte(strings.Repeat("\xff\x00junk", rng.IntN(4000))))
		case 2: // much at once, unread
			_, _ = c.Write(loginWithQuery(strings.Repeat("x", 60000)))
		case 3: // a query, and away
			_, _ = c.Write(loginWithQuery(fmt.Sprintf("/* kind=point,req=%016x,timeout=900,ms=5.0 */ SELECT 1 FROM sales_1.x", rogueIDBits|rng.Uint64()>>8)))
		}
		if tcp, ok := c.(*net.TCPConn); ok && rng.IntN(2) == 0 {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// rogueIDBits marks ids of rogue clients: nothing is owed for them.
const rogueIDBits = 0xff00000000000000

// loginWithQuery is a login with one query behind it.
func loginWithQuery(query string) []byte {
	p := binary.LittleEndian.AppendUint32(nil, 1<<9|1<<15|1<<3|1<<19)
	p = binary.LittleEndian.AppendUint32(p, 1<<24)
	p = append(append(p, 45), make([]byte, 23)...)
	p = append(p, "app\x00\x00main\x00mysql_native_password\x00"...)
	return append(packet(1, p), packet(0, append([]byte{3}, query...))...)
}

func packet(seq byte, payload []byte) []byte {
	n := len(payload)
	return append([]byte{byte(n), byte(n >> 8), byte(n >> 16), seq}, payload...)
}
