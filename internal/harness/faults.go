package harness

import (
	"context"
	"strings"
	"syscall"
	"time"

	"foxlane/internal/faultproxy"
)

// inject carries a fault out, and takes it back after its time.
func (f *fleet) inject(ctx context.Context, fault *Fault) error {
	f.recorder.recordFault(fault)
	f.setActive(fault, true)
	back, mine, err := f.injectProcessFault(ctx, fault)
	if mine {
		return f.revertAfter(ctx, fault, back, err)
	}
	switch fault.Kind {
	case "lose":
		back, err = f.loseZone(ctx, fault)
	case "freeze":
		back = f.freeze(fault)
	case "kill":
		f.eachGateway(fault.Target, func(g *gateway) { _ = g.stop(syscall.SIGKILL) })
		back = func() error { return f.startGateways(fault.Target) }
	case "restart":
		f.eachGateway(fault.Target, func(g *gateway) {
			if e := g.stop(syscall.SIGTERM); e != nil {
				f.recorder.addViolation(Crashed, "%s ended with %v: %s", g.name, e, tail(g.log.String()))
			}
		})
		back = func() error { return f.startGateways(fault.Target) }
	case "reset":
		f.resetConnections(fault.Target)
	case "drain":
		back, err = f.drainZone(fault)
	case "slow":
		f.slowEngines(fault.Target, fault.Factor)
		back = func() error { f.slowEngines(fault.Target, 1); return nil }
	case "order":
		f.eachGateway(fault.Target, func(g *gateway) { f.setDirective(g, fault.Text) })
	case "hush": // the operator's file switches the talk off
		set := func(off bool) error {
			f.gossipOff.Store(off)
			return f.reloadAll()
		}
		back, err = func() error { return set(false) }, set(true)
	case "dark":
		f.mangleNames(func([]byte) []byte { return nil })
		back = func() error { f.mangleNames(nil); return nil }
	}
	return f.revertAfter(ctx, fault, back, err)
}

// revertAfter waits for a fault's time and takes it back.
func (f *fleet) revertAfter(ctx context.Context, fault *Fault, back func() error, err error) error {
	if err != nil {
		return err
	}
	if fault.For > 0 {
		select {
		case <-time.After(fault.For):
		case <-ctx.Done():
		}
		f.setActive(fault, false)
		if back != nil {
			return back()
		}
	}
	return nil
}

// setActive has a fault hold, or hold no more, and takes all ways anew.
func (f *fleet) setActive(fault *Fault, on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := f.activeFaults[:0:0]
	for _, o := range f.activeFaults {
		if o != fault {
			kept = append(kept, o)
		}
	}
	if on {
		kept = append(kept, fault)
	}
	f.activeFaults = kept
	for _, link := range f.links {
		link.SetConditions(f.conditions(link))
	}
}

// conditions are what all faults that hold make of a way.
func (f *fleet) conditions(link *link) (c faultproxy.Conditions) {
	for _, fault := range f.activeFaults {
		switch fault.Kind {
		case "lose": // its engines say nothing; its gateways are dead
			c.Cut = c.Cut || link.from.kind == "engines" && link.from.matches(fault.Target) || link.to.kind == "engines" && link.to.matches(fault.Target)
		case "silence":
			c.Cut = c.Cut || link.from.matches(fault.Target) || link.to.matches(fault.Target)
		case "cut", "link":
			there := link.from.matches(fault.From) && link.to.matches(fault.To)
			if fault.Both {
				there = there || link.from.matches(fault.To) && link.to.matches(fault.From)
			}
			if !there || link.from.zone == link.to.zone && link.from.zone != "" && !strings.Contains(fault.From, "/") { // within a site all stays as it is
				continue
			}
			if fault.Kind == "cut" {
				c.Cut = true
				continue
			}
			c.Delay += fault.Delay
			c.Jitter += fault.jitter
			c.Loss = 1 - (1-c.Loss)*(1-fault.Loss)
			if fault.Rate > 0 && (c.Rate == 0 || fault.Rate < c.Rate) {
				c.Rate = fault.Rate
			}
		case "late":
			if link.from.kind == "names" {
				c.Delay += fault.Delay
			}
		}
	}
	return c
}

func (f *fleet) eachGateway(of string, do func(*gateway)) {
	for _, g := range f.gateways {
		if g.matches(of) {
			do(g)
		}
	}
}

// startGateways starts the gateways that a fault has ended.
func (f *fleet) startGateways(of string) error {
	for _, g := range f.gateways {
		if g.matches(of) {
			if err := g.startIfStopped(); err != nil {
				return err
			}
		}
	}
	return nil
}

// loseZone takes a zone away: gateways die, engines fall silent, and after a while the list says so. It comes back with new
// processes, cold.
func (f *fleet) loseZone(ctx context.Context, fault *Fault) (func() error, error) {
	f.eachGateway(fault.Target, func(g *gateway) { _ = g.stop(syscall.SIGKILL) })
	var lost []*engine
	for _, e := range f.engines {
		if e.matches(fault.Target) {
			lost = append(lost, e)
		}
	}
	list := func(gone bool) {
		f.mu.Lock()
		for _, e := range lost {
			f.unlisted[e.index] = gone
		}
		f.mu.Unlock()
		f.publishList(publishDelay)
	}
	unlist := time.AfterFunc(fault.unlistAfter, func() { list(true) })
	if fault.For <= 0 {
		return nil, nil
	}
	return func() error {
		unlist.Stop()
		for _, e := range lost {
			e.stop() // what ran there is gone
			if err := e.start(true); err != nil {
				return err
			}
			for _, t := range e.proxies {
				t.Reset()
				t.SetTarget(e.addr())
			}
		}
		list(false)
		return f.startGateways(fault.Target)
	}, nil
}

func (f *fleet) freeze(fault *Fault) func() error {
	f.eachGateway(fault.Target, func(g *gateway) {
		g.frozen.Store(true)
		g.signal(syscall.SIGSTOP)
	})
	return func() error {
		f.eachGateway(fault.Target, func(g *gateway) {
			g.signal(syscall.SIGCONT)
			g.resumedAt.Store(time.Now().UnixNano())
			time.AfterFunc(time.Second, func() { g.frozen.Store(false) })
		})
		return nil
	}
}

func (f *fleet) resetConnections(of string) {
	for _, e := range f.engines {
		for i, t := range e.proxies {
			if e.matches(of) || f.gateways[i].matches(of) {
				t.Reset()
			}
		}
	}
	f.eachGateway(of, func(g *gateway) {
		g.resetAt.Store(time.Now().UnixNano())
		g.clientProxy.Reset()
	})
}

// drainZone has the operator's file drain a zone, and all gateways read it again.
func (f *fleet) drainZone(fault *Fault) (func() error, error) {
	set := func(on bool) error {
		f.mu.Lock()
		if f.drainedZones[fault.Target] = on; !on {
			delete(f.drainedZones, fault.Target)
		}
		f.mu.Unlock()
		return f.reloadAll()
	}
	return func() error { return set(false) }, set(true)
}

// reloadAll has all gateways read their files again.
func (f *fleet) reloadAll() error {
	for _, g := range f.gateways {
		if err := g.writeFiles(); err != nil {
			return err
		}
		g.signal(syscall.SIGHUP)
	}
	return nil
}

func (f *fleet) slowEngines(of string, factor float64) {
	for _, e := range f.engines {
		if e.matches(of) {
			e.mu.Lock()
			e.slowdown = factor
			e.mu.Unlock()
		}
	}
}

func (f *fleet) mangleNames(mangle func([]byte) []byte) {
	for _, g := range f.gateways {
		g.nameServer.SetRewrite(mangle)
	}
}
