package emulator

import "foxlane/rules"

// Fault is something that befalls a fleet, so long after the start.
type Fault struct {
	At     rules.Time
	Inject func(f *Fleet)
}

// ReplaceEngines drains a part of the engines one after another over a span, and puts a cold one in the place of
// each. It is gone after grace.
func ReplaceEngines(at rules.Time, part float64, over, grace rules.Time) Fault {
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
				f.announce(e, fresh)
				f.after(grace, func() {
					e.state, e.stopped = rules.EngineGone, true
					e.endAll(rules.StatusReset)
					f.announce(e)
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
				e.endAll(rules.StatusReset) // nobody hears of it
			}
		}
		var gone []*gateway
		for _, g := range f.gateways {
			if g.zone == zone && g.up {
				gone = append(gone, g)
				g.crash()
			}
		}
		f.after(unlisted, func() {
			for _, e := range lost {
				e.state = rules.EngineGone
			}
			f.announce(lost...)
		})
		if away > 0 {
			f.after(away, func() {
				for _, e := range lost {
					e.silent, e.state, e.startedAt = false, rules.EngineServing, f.now
				}
				f.announce(lost...)
				for _, g := range gone {
					f.after(rules.Time(f.rng.Int64N(int64(rules.Second))), g.start)
				}
			})
		}
	}}
}

// CutLink has nothing come through from one zone to another for a while: one way only, the other stays open.
func CutLink(at, length rules.Time, from, to int) Fault {
	return Fault{at, func(f *Fleet) {
		f.cutLinks[[2]int{from, to}] = true
		f.after(length, func() { delete(f.cutLinks, [2]int{from, to}) })
	}}
}

// SilenceZone has a part of a zone's engines, the first of them, say nothing for a while.
func SilenceZone(at, length rules.Time, zone int, part float64) Fault {
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
				e.endAll(rules.StatusReset)
			}
		}
		f.after(unlisted, func() {
			for _, e := range lost {
				e.state, e.stopped = rules.EngineGone, true
			}
			f.announce(lost...)
		})
		f.after(away, func() {
			var fresh []*engine
			for range lost {
				e := f.addEngine(f.now)
				e.zone = zone
				fresh = append(fresh, e)
			}
			f.announce(fresh...)
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

// DelayList has news of the list take so many times as long for a while.
func DelayList(at, length rules.Time, times float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.listDelayFactor = times
		f.after(length, func() { f.listDelayFactor = 1 })
	}}
}

// FlapZone has a zone's engines fall silent and come back, warm, so many times: silent for a while, then well for as long.
func FlapZone(at rules.Time, zone, times int, every rules.Time) Fault {
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

// KillGateways ends a part of the gateways at once; each starts again after away.
func KillGateways(at rules.Time, part float64, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		for _, i := range f.rng.Perm(len(f.gateways))[:int(part*float64(len(f.gateways)))] {
			g := f.gateways[i]
			g.crash()
			f.after(away+rules.Time(f.rng.Int64N(int64(rules.Second))), g.start)
		}
	}}
}

// RestartGateways ends all gateways on purpose, a part at a time: each answers what it has, takes no more, and
// starts again after away.
func RestartGateways(at rules.Time, part float64, every, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		n := max(1, int(part*float64(len(f.gateways))))
		for i, p := range f.rng.Perm(len(f.gateways)) {
			g := f.gateways[p]
			f.after(every*rules.Time(i/n), func() {
				if !g.up {
					return
				}
				g.stopping = true
				g.handle(rules.ShutdownStarted{Deadline: f.now + away})
				life := g.incarnation
				f.after(away, func() {
					if g.incarnation == life {
						g.crash()
						g.start()
					}
				})
			})
		}
	}}
}

// ListOutage keeps all news of the list from the gateways for a while.
func ListOutage(at, length rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		f.listOutage = true
		f.after(length, func() {
			f.listOutage = false
			f.announce(f.engines...)
		})
	}}
}

// SilenceEngines has a part of the engines say nothing for a while.
func SilenceEngines(at, length rules.Time, part float64) Fault {
	return onSomeEngines(at, length, part, func(e *engine, on bool) { e.silent = on })
}

// SlowEngines has a part of the engines take so many times as long for a while.
func SlowEngines(at, length rules.Time, part, times float64) Fault {
	return onSomeEngines(at, length, part, func(e *engine, on bool) {
		e.advance()
		if e.slowdown = 1; on {
			e.slowdown = times
		}
		e.armTimer()
	})
}

// EngineErrors has a part of the engines answer a part of what comes with errors, at once.
func EngineErrors(at, length rules.Time, part, errs float64) Fault {
	return onSomeEngines(at, length, part, func(e *engine, on bool) {
		if e.errorRate = 0; on {
			e.errorRate = errs
		}
	})
}

// onSomeEngines puts a state on a part of the engines that serve, and takes it off again.
func onSomeEngines(at, length rules.Time, part float64, set func(e *engine, on bool)) Fault {
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

// LoadBurst multiplies what clients ask for during a while.
func LoadBurst(at, length rules.Time, times float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.requestRate *= times
		f.after(length, func() { f.requestRate /= times })
	}}
}
