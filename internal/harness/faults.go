package harness

import (
	"context"
	"strings"
	"syscall"
	"time"

	"foxlane/internal/faultproxy"
)

// befall carries a fault out, and takes it back after its time.
func (r *Rig) befall(ctx context.Context, f *Fault) error {
	r.books.note(f)
	r.put(f, true)
	back, mine, err := r.trouble(ctx, f)
	if mine {
		return r.takeBack(ctx, f, back, err)
	}
	switch f.Kind {
	case "lose":
		back, err = r.lose(ctx, f)
	case "freeze":
		back = r.freeze(f)
	case "kill":
		r.each(f.Of, func(g *gateway) { _ = g.end(syscall.SIGKILL) })
		back = func() error { return r.begin(f.Of) }
	case "restart":
		r.each(f.Of, func(g *gateway) {
			if e := g.end(syscall.SIGTERM); e != nil {
				r.books.judge(Crashed, "%s ended with %v: %s", g.name, e, tail(g.log.String()))
			}
		})
		back = func() error { return r.begin(f.Of) }
	case "reset":
		r.reset(f.Of)
	case "drain":
		back, err = r.drain(f)
	case "slow":
		r.slow(f.Of, f.Factor)
		back = func() error { r.slow(f.Of, 1); return nil }
	case "order":
		r.each(f.Of, func(g *gateway) { r.order(g, f.Text) })
	case "hush": // the operator's file switches the talk off
		set := func(off bool) error {
			r.hushed.Store(off)
			return r.reread()
		}
		back, err = func() error { return set(false) }, set(true)
	case "dark":
		r.dark(func([]byte) []byte { return nil })
		back = func() error { r.dark(nil); return nil }
	}
	return r.takeBack(ctx, f, back, err)
}

// takeBack waits for a fault's time and takes it back.
func (r *Rig) takeBack(ctx context.Context, f *Fault, back func() error, err error) error {
	if err != nil {
		return err
	}
	if f.For > 0 {
		select {
		case <-time.After(f.For):
		case <-ctx.Done():
		}
		r.put(f, false)
		if back != nil {
			return back()
		}
	}
	return nil
}

// put has a fault hold, or hold no more, and takes all ways anew.
func (r *Rig) put(f *Fault, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.faults[:0:0]
	for _, o := range r.faults {
		if o != f {
			kept = append(kept, o)
		}
	}
	if on {
		kept = append(kept, f)
	}
	r.faults = kept
	for _, w := range r.ways {
		w.Set(r.conditions(w))
	}
}

// conditions are what all faults that hold make of a way.
func (r *Rig) conditions(w *way) (c faultproxy.Conditions) {
	for _, f := range r.faults {
		switch f.Kind {
		case "lose": // its engines say nothing; its gateways are dead
			c.Cut = c.Cut || w.from.kind == "engines" && w.from.is(f.Of) || w.to.kind == "engines" && w.to.is(f.Of)
		case "silence":
			c.Cut = c.Cut || w.from.is(f.Of) || w.to.is(f.Of)
		case "cut", "link":
			there := w.from.is(f.From) && w.to.is(f.To)
			if f.Both {
				there = there || w.from.is(f.To) && w.to.is(f.From)
			}
			if !there || w.from.zone == w.to.zone && w.from.zone != "" && !strings.Contains(f.From, "/") { // within a site all stays as it is
				continue
			}
			if f.Kind == "cut" {
				c.Cut = true
				continue
			}
			c.Delay += f.By
			c.Jitter += f.jitter
			c.Loss = 1 - (1-c.Loss)*(1-f.Loss)
			if f.Rate > 0 && (c.Rate == 0 || f.Rate < c.Rate) {
				c.Rate = f.Rate
			}
		case "late":
			if w.from.kind == "names" {
				c.Delay += f.By
			}
		}
	}
	return c
}

func (r *Rig) each(of string, do func(*gateway)) {
	for _, g := range r.gateways {
		if g.is(of) {
			do(g)
		}
	}
}

// begin starts the gateways that a fault has ended.
func (r *Rig) begin(of string) error {
	for _, g := range r.gateways {
		if g.is(of) {
			if err := g.beginAgain(); err != nil {
				return err
			}
		}
	}
	return nil
}

// lose takes a zone away: gateways die, engines fall silent, and after a while the list says so. It comes back with new
// processes, cold.
func (r *Rig) lose(ctx context.Context, f *Fault) (func() error, error) {
	r.each(f.Of, func(g *gateway) { _ = g.end(syscall.SIGKILL) })
	var lost []*engine
	for _, e := range r.engines {
		if e.is(f.Of) {
			lost = append(lost, e)
		}
	}
	list := func(gone bool) {
		r.mu.Lock()
		for _, e := range lost {
			r.gone[e.index] = gone
		}
		r.mu.Unlock()
		r.news(newsWithin)
	}
	unlist := time.AfterFunc(f.unlist, func() { list(true) })
	if f.For <= 0 {
		return nil, nil
	}
	return func() error {
		unlist.Stop()
		for _, e := range lost {
			e.end() // what ran there is gone
			if err := e.begin(true); err != nil {
				return err
			}
			for _, t := range e.ways {
				t.Reset()
				t.Turn(e.addr())
			}
		}
		list(false)
		return r.begin(f.Of)
	}, nil
}

func (r *Rig) freeze(f *Fault) func() error {
	r.each(f.Of, func(g *gateway) {
		g.frozen.Store(true)
		g.signal(syscall.SIGSTOP)
	})
	return func() error {
		r.each(f.Of, func(g *gateway) {
			g.signal(syscall.SIGCONT)
			g.thawed.Store(time.Now().UnixNano())
			time.AfterFunc(time.Second, func() { g.frozen.Store(false) })
		})
		return nil
	}
}

func (r *Rig) reset(of string) {
	for _, e := range r.engines {
		for i, t := range e.ways {
			if e.is(of) || r.gateways[i].is(of) {
				t.Reset()
			}
		}
	}
	r.each(of, func(g *gateway) {
		g.resets.Store(time.Now().UnixNano())
		g.front.Reset()
	})
}

// drain has the operator's file drain a zone, and all gateways read it again.
func (r *Rig) drain(f *Fault) (func() error, error) {
	set := func(on bool) error {
		r.mu.Lock()
		if r.drains[f.Of] = on; !on {
			delete(r.drains, f.Of)
		}
		r.mu.Unlock()
		return r.reread()
	}
	return func() error { return set(false) }, set(true)
}

// reread has all gateways read their files again.
func (r *Rig) reread() error {
	for _, g := range r.gateways {
		if err := g.write(); err != nil {
			return err
		}
		g.signal(syscall.SIGHUP)
	}
	return nil
}

func (r *Rig) slow(of string, factor float64) {
	for _, e := range r.engines {
		if e.is(of) {
			e.mu.Lock()
			e.slow = factor
			e.mu.Unlock()
		}
	}
}

func (r *Rig) dark(mangle func([]byte) []byte) {
	for _, g := range r.gateways {
		g.names.Mangle(mangle)
	}
}
