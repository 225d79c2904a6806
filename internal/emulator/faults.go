package emulator

import "foxlane/rules"

// Fault is something that befalls a fleet, so long after the start.
type Fault struct {
	At rules.Time
	Do func(f *Fleet)
}

// Replace drains a part of the engines one after another over a span, and puts a cold one in the place of
// each. It is gone after grace.
func Replace(at rules.Time, part float64, over, grace rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		var old []*engine
		for _, e := range f.engines {
			if e.state == rules.EngineServing {
				old = append(old, e)
			}
		}
		n := int(part * float64(len(old)))
		for i, p := range f.rng.Perm(len(old))[:n] {
			e := old[p]
			f.after(over*rules.Time(i)/rules.Time(max(1, n)), func() {
				fresh := f.addEngine(f.now)
				fresh.zone = e.zone
				e.state = rules.EngineDraining
				f.news(e, fresh)
				f.after(grace, func() {
					e.state, e.gone = rules.EngineGone, true
					e.drop(rules.StatusReset)
					f.news(e)
				})
			})
		}
	}}
}

// LoseZone takes a zone away, engines and gateways, without a word: connections stay silent. Its engines leave the
// list after unlisted, and all come back, cold, after away; 0 is never.
func LoseZone(at rules.Time, zone int, unlisted, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		var lost []*engine
		for _, e := range f.engines {
			if e.zone == zone && e.state == rules.EngineServing {
				lost = append(lost, e)
				e.silent = true
				e.drop(rules.StatusReset) // nobody hears of it
			}
		}
		var gone []*gateway
		for _, g := range f.gateways {
			if g.zone == zone && g.up {
				gone = append(gone, g)
				g.die()
			}
		}
		f.after(unlisted, func() {
			for _, e := range lost {
				e.state = rules.EngineGone
			}
			f.news(lost...)
		})
		if away > 0 {
			f.after(away, func() {
				for _, e := range lost {
					e.silent, e.state, e.started = false, rules.EngineServing, f.now
				}
				f.news(lost...)
				for _, g := range gone {
					f.after(rules.Time(f.rng.Int64N(int64(rules.Second))), g.begin)
				}
			})
		}
	}}
}

// CutWay has nothing come through from one zone to another for a while: one way only, the other stays open.
func CutWay(at, length rules.Time, from, to int) Fault {
	return Fault{at, func(f *Fleet) {
		f.cuts[[2]int{from, to}] = true
		f.after(length, func() { delete(f.cuts, [2]int{from, to}) })
	}}
}

// SilenceIn has a part of a zone's engines, the first of them, say nothing for a while.
func SilenceIn(at, length rules.Time, zone int, part float64) Fault {
	return Fault{at, func(f *Fleet) {
		var there []*engine
		for _, e := range f.engines {
			if e.zone == zone && e.state == rules.EngineServing {
				there = append(there, e)
			}
		}
		for _, e := range there[:int(part*float64(len(there)))] {
			e.silent = true
			f.after(length, func() { e.silent = false })
		}
	}}
}

// ReplaceZone takes a zone's engines away without a word, and brings as many new ones, cold, after away.
func ReplaceZone(at rules.Time, zone int, unlisted, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		var lost []*engine
		for _, e := range f.engines {
			if e.zone == zone && e.state == rules.EngineServing {
				lost = append(lost, e)
				e.silent = true
				e.drop(rules.StatusReset)
			}
		}
		f.after(unlisted, func() {
			for _, e := range lost {
				e.state, e.gone = rules.EngineGone, true
			}
			f.news(lost...)
		})
		f.after(away, func() {
			var fresh []*engine
			for range lost {
				e := f.addEngine(f.now)
				e.zone = zone
				fresh = append(fresh, e)
			}
			f.news(fresh...)
		})
	}}
}

// DrainZone has all gateways drain a zone on purpose for a while.
func DrainZone(at, length rules.Time, zone int) Fault {
	set := func(f *Fleet, on bool) {
		for _, g := range f.gateways {
			if g.up && g.zones != nil {
				g.zones.SetDraining(f.now, zone, on)
			}
		}
	}
	return Fault{at, func(f *Fleet) {
		set(f, true)
		f.after(length, func() { set(f, false) })
	}}
}

// Late has news of the list take so many times as long for a while.
func Late(at, length rules.Time, times float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.late = times
		f.after(length, func() { f.late = 1 })
	}}
}

// Flap has a zone's engines fall silent and come back, warm, so many times: silent for a while, then well for as long.
func Flap(at rules.Time, zone, times int, every rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		set := func(on bool) func() {
			return func() {
				for _, e := range f.engines {
					if e.zone == zone {
						e.silent = on
					}
				}
			}
		}
		for i := range rules.Time(times) {
			f.after(2*i*every, set(true))
			f.after((2*i+1)*every, set(false))
		}
	}}
}

// Kill ends a part of the gateways at once; each starts again after away.
func Kill(at rules.Time, part float64, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		for _, i := range f.rng.Perm(len(f.gateways))[:int(part*float64(len(f.gateways)))] {
			g := f.gateways[i]
			g.die()
			f.after(away+rules.Time(f.rng.Int64N(int64(rules.Second))), g.begin)
		}
	}}
}

// Restart ends all gateways on purpose, a part at a time: each answers what it has, takes no more, and
// starts again after away.
func Restart(at rules.Time, part float64, every, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		n := max(1, int(part*float64(len(f.gateways))))
		for i, p := range f.rng.Perm(len(f.gateways)) {
			g := f.gateways[p]
			f.after(every*rules.Time(i/n), func() {
				if !g.up {
					return
				}
				g.stopping = true
				g.tell(rules.ShutdownStarted{Deadline: f.now + away})
				life := g.life
				f.after(away, func() {
					if g.life == life {
						g.die()
						g.begin()
					}
				})
			})
		}
	}}
}

// Dark keeps all news of the list from the gateways for a while.
func Dark(at, length rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		f.listDark = true
		f.after(length, func() {
			f.listDark = false
			f.news(f.engines...)
		})
	}}
}

// Silence has a part of the engines say nothing for a while.
func Silence(at, length rules.Time, part float64) Fault {
	return some(at, length, part, func(e *engine, on bool) { e.silent = on })
}

// Slow has a part of the engines take so many times as long for a while.
func Slow(at, length rules.Time, part, times float64) Fault {
	return some(at, length, part, func(e *engine, on bool) {
		e.settle()
		if e.slow = 1; on {
			e.slow = times
		}
		e.arm()
	})
}

// Errors has a part of the engines answer a part of what comes with errors, at once.
func Errors(at, length rules.Time, part, errs float64) Fault {
	return some(at, length, part, func(e *engine, on bool) {
		if e.errs = 0; on {
			e.errs = errs
		}
	})
}

// some puts a state on a part of the engines that serve, and takes it off again.
func some(at, length rules.Time, part float64, set func(e *engine, on bool)) Fault {
	return Fault{at, func(f *Fleet) {
		var serving []*engine
		for _, e := range f.engines {
			if e.state == rules.EngineServing {
				serving = append(serving, e)
			}
		}
		for _, i := range f.rng.Perm(len(serving))[:int(part*float64(len(serving)))] {
			e := serving[i]
			set(e, true)
			f.after(length, func() { set(e, false) })
		}
	}}
}

// Burst multiplies what clients ask for during a while.
func Burst(at, length rules.Time, times float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.rate *= times
		f.after(length, func() { f.rate /= times })
	}}
}
