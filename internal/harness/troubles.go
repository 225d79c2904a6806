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
	modeHang  = "hang"  // nothing is ever heard of it
	modeErr   = "error" // an error
	modeSpoil = "spoil" // bytes that can't be read, or an answer that stops short
	modeBreak = "break" // the connection is reset
)

// order is what a test double is told.
type order struct {
	Kind  string  `json:"kind"`
	MS    int64   `json:"ms,omitempty"`
	Calls string  `json:"calls,omitempty"`
	Errno string  `json:"errno,omitempty"`
	Part  float64 `json:"part,omitempty"`
	ForMS int64   `json:"for_ms,omitempty"`
}

// trouble carries out a fault of this file. It returns what takes it back, and whether it is one.
func (r *Rig) trouble(ctx context.Context, f *Fault) (back func() error, mine bool, err error) {
	switch f.Kind {
	case "mode":
		r.mode(f.Of, f.Text, f.Factor)
		return func() error { r.mode(f.Of, "", 0); return nil }, true, nil
	case "retire":
		return r.retire(f), true, nil
	case "term":
		return nil, true, r.term(f, syscall.SIGTERM)
	case "signals":
		return nil, true, r.signals(f)
	case "late-dials":
		r.each(f.Of, func(g *gateway) {
			g.tellDouble(order{Kind: "late", MS: f.By.Milliseconds(), Part: f.Factor, ForMS: f.For.Milliseconds()})
		})
		return nil, true, nil
	case "reload":
		return nil, true, r.rereadOf(f.Of)
	case "step":
		r.each(f.Of, func(g *gateway) { g.tellDouble(order{Kind: "step", MS: int64(f.Factor * 1000)}) })
		return nil, true, nil
	case "calls":
		calls, errno, _ := strings.Cut(f.Text, " ")
		r.each(f.Of, func(g *gateway) {
			g.tellDouble(order{Kind: "calls", Calls: calls, Errno: errno, Part: f.Factor, ForMS: f.For.Milliseconds()})
			g.strained(f.For + time.Second)
		})
		return nil, true, nil
	case "disk":
		calls, errno, _ := strings.Cut(f.Text, " ")
		r.each(f.Of, func(g *gateway) {
			g.tellDouble(order{Kind: "disk", Calls: calls, Errno: errno, Part: f.Factor, ForMS: f.For.Milliseconds()})
		})
		return nil, true, nil
	case "files":
		return r.limitFiles(f)
	case "log":
		r.each(f.Of, func(g *gateway) { g.stallLog(f.For) })
		return nil, true, nil
	case "rogue":
		var clients sync.WaitGroup
		stop := make(chan struct{})
		r.each(f.Of, func(g *gateway) {
			rng := rand.New(rand.NewPCG(r.Seed, uint64(g.index)+77))
			clients.Go(func() { rogue(g.front.Addr().String(), rng, stop) })
		})
		return func() error { close(stop); clients.Wait(); return nil }, true, nil
	case "leave":
		r.leaving.Store(int64(f.Factor * 1000))
		return func() error { r.leaving.Store(int64(r.Leave * 1000)); return nil }, true, nil
	case "lists": // each answer asks what holds
		if f.Text == listsAnew {
			r.each(f.Of, (*gateway).anew)
		}
		return nil, true, nil
	case "fifo":
		return r.fifo(f.Of)
	}
	return nil, false, nil
}

func (r *Rig) mode(of, mode string, part float64) {
	for _, e := range r.engines {
		if e.is(of) {
			e.mu.Lock()
			e.mode, e.part = mode, part
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
func (r *Rig) retire(f *Fault) func() error {
	of, first := f.Of, true
	leave := func(e *engine) {
		e.draining = f.Text != retireGone && (f.Text != retireBoth || !first)
		e.unlisted = !e.draining
		first = false
	}
	stay := func(e *engine) { e.draining = false }
	r.listAs(of, leave)
	if f.Text == retireFlap {
		time.Sleep(flapPause)
		r.listAs(of, stay)
		time.Sleep(flapPause)
		r.listAs(of, leave)
	}
	return func() error {
		r.listAs(of, func(e *engine) { e.draining, e.unlisted = false, true })
		time.Sleep(2 * newsWithin)
		for _, e := range r.engines {
			if !e.is(of) {
				continue
			}
			e.end()
			if err := e.begin(true); err != nil {
				return err
			}
			for _, t := range e.ways {
				t.Reset()
				t.Turn(e.addr())
			}
			if f.Text == retireNewID {
				r.rename(e)
			}
		}
		r.listAs(of, func(e *engine) { e.unlisted = false })
		return nil
	}
}

// rename gives an engine a new id.
func (r *Rig) rename(e *engine) {
	r.mu.Lock()
	id := r.newID()
	r.mu.Unlock()
	e.mu.Lock()
	e.id = id
	e.mu.Unlock()
}

// listAs changes how engines stand in the list, and tells it.
func (r *Rig) listAs(of string, change func(*engine)) {
	for _, e := range r.engines {
		if e.is(of) {
			e.listMu.Lock()
			change(e)
			e.listMu.Unlock()
		}
	}
	r.news(0)
}

const (
	killBehind = 700 * time.Millisecond // SIGKILL comes so long behind the longest deadline after SIGTERM,
	killMost   = 3 * time.Second        // which counts as that at most
)

// killAfter is how long after SIGTERM SIGKILL comes, at the earliest that the operators' pages name.
func (r *Rig) killAfter() time.Duration { return min(r.longest(), killMost) + killBehind }

// term asks gateways to end, kills those that have not when their time is over, and starts them again. Clients use their open
// connections on.
func (r *Rig) term(f *Fault, s syscall.Signal) error {
	var ends sync.WaitGroup
	r.each(f.Of, func(g *gateway) {
		ends.Go(func() {
			began := time.Now()
			g.judgeEnd(g.endBy(s, r.killAfter()), began)
		})
	})
	ends.Wait()
	return r.begin(f.Of)
}

// judgeEnd judges how the process ended that was asked to since some time. One that was stopped meanwhile may have to be killed.
func (g *gateway) judgeEnd(err error, since time.Time) {
	if err == nil || errors.Is(err, errNotEnded) && g.stoppedSince(since) {
		return
	}
	g.rig.books.judge(Crashed, "%s ended with %v: %s", g.name, err, tail(g.log.String()))
}

// signalPause lies between two signals of a series.
const signalPause = 20 * time.Millisecond

var signalNames = map[string]syscall.Signal{"HUP": syscall.SIGHUP, "TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT}

// signals sends gateways a series of signals, and has them end with the first SIGTERM among them.
func (r *Rig) signals(f *Fault) error {
	var ends sync.WaitGroup
	r.each(f.Of, func(g *gateway) {
		ends.Go(func() {
			ending := make(chan error, 1)
			asked, began := false, time.Now()
			for _, name := range strings.Fields(f.Text) {
				time.Sleep(signalPause)
				switch {
				case name == "TERM" && !asked:
					asked = true
					go func() { ending <- g.endBy(syscall.SIGTERM, r.killAfter()) }()
				case name == "STOP":
					g.frozen.Store(true)
					g.signal(syscall.SIGSTOP)
					time.Sleep(stopFor)
				case name == "CONT":
					g.signal(syscall.SIGCONT)
					g.thawed.Store(time.Now().UnixNano())
					time.AfterFunc(time.Second, func() { g.frozen.Store(false) })
				default:
					g.signal(signalNames[name])
				}
			}
			if !asked {
				return
			}
			g.judgeEnd(<-ending, began)
		})
	})
	ends.Wait()
	return r.begin(f.Of)
}

// stopFor is for how long a series of signals stops a process.
const stopFor = 150 * time.Millisecond

// rereadOf has gateways read their files again.
func (r *Rig) rereadOf(of string) (err error) {
	r.each(of, func(g *gateway) {
		if e := g.write(); e != nil {
			err = e
		}
		g.signal(syscall.SIGHUP)
	})
	return err
}

// fifo puts a pipe that nobody writes in the place of a configuration, and asks for a reload.
func (r *Rig) fifo(of string) (back func() error, mine bool, err error) {
	r.each(of, func(g *gateway) {
		path := g.path("config.json")
		_ = os.Remove(path)
		if e := syscall.Mkfifo(path, 0o600); e != nil {
			err = e
		}
		g.signal(syscall.SIGHUP)
	})
	return func() error {
		r.each(of, func(g *gateway) { _ = os.Remove(g.path("config.json")) })
		return r.rereadOf(of)
	}, true, err
}

// limitFiles leaves gateways few descriptors beyond those that are open.
func (r *Rig) limitFiles(f *Fault) (back func() error, mine bool, err error) {
	const spare = 3
	type limit struct {
		g      *gateway
		before uint64
	}
	var limits []limit
	r.each(f.Of, func(g *gateway) {
		pid := g.pid()
		if pid == 0 {
			return
		}
		before, e := g.limitFiles(uint64(openFiles(pid) + spare))
		if e == nil && before > 0 {
			limits = append(limits, limit{g, before})
			g.strained(f.For + time.Second)
		}
	})
	return func() error {
		for _, l := range limits {
			_, _ = l.g.limitFiles(l.before) // it may have ended
		}
		return nil
	}, true, nil
}

// strained notes that for a while the gateway can't take every connection: what it shuts unread is no fault of its own.
func (g *gateway) strained(d time.Duration) { g.strain.Store(time.Now().Add(d).UnixNano()) }

// disturbedSince answers whether something kept the gateway from its clients at any time since then.
func (g *gateway) disturbedSince(since time.Time) bool {
	return g.disturbed() || g.thawed.Load() > since.UnixNano() || g.resets.Load() > since.UnixNano() ||
		g.front.There().ChangedWithin(time.Since(since)) || g.front.Back().ChangedWithin(time.Since(since))
}

// rogue behaves as no client should until it is stopped.
func rogue(addr string, rng *rand.Rand, stop <-chan struct{}) {
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
			_, _ = c.Write(loginAnd(strings.Repeat("x", 60000)))
		case 3: // a query, and away
			_, _ = c.Write(loginAnd(fmt.Sprintf("/* kind=point,req=%016x,timeout=900,ms=5.0 */ SELECT 1 FROM sales_1.x", rogueBit|rng.Uint64()>>8)))
		}
		if tcp, ok := c.(*net.TCPConn); ok && rng.IntN(2) == 0 {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// rogueBit marks ids of rogue clients: nothing is owed for them.
const rogueBit = 0xff00000000000000

// loginAnd is a login with one query behind it.
func loginAnd(query string) []byte {
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
