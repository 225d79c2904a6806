package emulator

import "foxlane/rules"

// This file owns the faults of a scenario. Each constructor returns a fault that begins at a time since the start.

// Fault is a fault that is injected into a fleet.
type Fault struct {
	At     rules.Time // since the start
	Inject func(f *Fleet)
}

// ReplaceEngines drains a part of the engines one after another over a span, and adds a cold one for each, in its zone.
// A drained engine stops after grace.
func ReplaceEngines(at rules.Time, part float64, over, grace rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		old := f.servingEngines()
		n := int(part * float64(len(old)))
		for i, p := range f.rng.Perm(len(old))[:n] {
			e := old[p]
			f.after(over*rules.Time(i)/rules.Time(max(1, n)), func() {
				added := f.addEngine(f.now)
				added.zone = e.zone
				e.state = rules.EngineDraining
				f.announce(e, added)
				f.after(grace, func() {
					e.state, e.stopped = rules.EngineGone, true
					e.endAll(rules.StatusReset)
					f.announce(e)
				})
			})
		}
	}}
}

// RestartEngines has another process take the place of a part of the engines, one after another over a span: cold, at once, and at
// the same address. The gateways are notified when the list reaches them.
func RestartEngines(at rules.Time, part float64, over rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		serving := f.servingEngines()
		n := int(part * float64(len(serving)))
		for i, p := range f.rng.Perm(len(serving))[:n] {
			e := serving[p]
			f.after(over*rules.Time(i)/rules.Time(max(1, n)), func() {
				e.restart()
				f.announce(e)
			})
		}
	}}
}

// LoseZone takes a zone away, engines and gateways: connections to it stay silent. Its engines leave the list after
// unlisted, and all come back, cold, after away; 0 is never.
func LoseZone(at rules.Time, zone int, unlisted, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		lost := f.silenceZone(zone)
		var crashed []*gateway
		for _, g := range f.gateways {
			if g.zone == zone && g.up {
				crashed = append(crashed, g)
				g.crash()
			}
		}
		f.after(unlisted, func() {
			for _, e := range lost {
				e.state = rules.EngineGone
			}
			f.announce(lost...)
		})
		if away == 0 {
			return
		}
		f.after(away, func() {
			for _, e := range lost {
				e.silent, e.state, e.startedAt = false, rules.EngineServing, f.now
			}
			f.announce(lost...)
			for _, g := range crashed {
				f.after(f.jitter(), g.start)
			}
		})
	}}
}

// ReplaceZone takes the engines of a zone away as LoseZone does, and adds as many new ones, cold, after away.
func ReplaceZone(at rules.Time, zone int, unlisted, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		lost := f.silenceZone(zone)
		f.after(unlisted, func() {
			for _, e := range lost {
				e.state, e.stopped = rules.EngineGone, true
			}
			f.announce(lost...)
		})
		f.after(away, func() {
			var added []*engine
			for range lost {
				e := f.addEngine(f.now)
				e.zone = zone
				added = append(added, e)
			}
			f.announce(added...)
		})
	}}
}

// silenceZone silences the engines of a zone that serve, and ends all that they run. No gateway hears of it.
func (f *Fleet) silenceZone(zone int) []*engine {
	lost := f.servingInZone(zone)
	for _, e := range lost {
		e.silent = true
		e.endAll(rules.StatusReset)
	}
	return lost
}

// jitter spreads the starts of gateways over a second.
func (f *Fleet) jitter() rules.Time { return rules.Time(f.rng.Int64N(int64(rules.Second))) }

// CutLink cuts the network from one zone to another for a while, in that direction only.
func CutLink(at, length rules.Time, from, to int) Fault {
	return Fault{at, func(f *Fleet) {
		f.cutLinks[[2]int{from, to}] = true
		f.after(length, func() { delete(f.cutLinks, [2]int{from, to}) })
	}}
}

// SilenceZone silences a part of a zone's engines, the first of them, for a while.
func SilenceZone(at, length rules.Time, zone int, part float64) Fault {
	return Fault{at, func(f *Fleet) {
		serving := f.servingInZone(zone)
		for _, e := range serving[:int(part*float64(len(serving)))] {
			e.silent = true
			f.after(length, func() { e.silent = false })
		}
	}}
}

// DrainZone has all gateways drain a zone by order for a while.
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

// DelayList multiplies the delay of updates of the list for a while.
func DelayList(at, length rules.Time, factor float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.listDelayFactor = factor
		f.after(length, func() { f.listDelayFactor = 1 })
	}}
}

// FlapZone silences a zone's engines several times, each time for an interval, and has them serve, warm, for as long
// between.
func FlapZone(at rules.Time, zone, times int, interval rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		setSilent := func(on bool) func() {
			return func() {
				for _, e := range f.engines {
					if e.zone == zone {
						e.silent = on
					}
				}
			}
		}
		for i := range rules.Time(times) {
			f.after(2*i*interval, setSilent(true))
			f.after((2*i+1)*interval, setSilent(false))
		}
	}}
}

// KillGateways crashes a part of the gateways at once; each starts again after away.
func KillGateways(at rules.Time, part float64, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		for _, i := range f.rng.Perm(len(f.gateways))[:int(part*float64(len(f.gateways)))] {
			g := f.gateways[i]
			g.crash()
			f.after(away+f.jitter(), g.start)
		}
	}}
}

// RestartGateways restarts all gateways, a part at a time: each shuts down gracefully, and starts again after away.
func RestartGateways(at rules.Time, part float64, interval, away rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		n := max(1, int(part*float64(len(f.gateways))))
		for i, p := range f.rng.Perm(len(f.gateways)) {
			g := f.gateways[p]
			f.after(interval*rules.Time(i/n), func() {
				if !g.up {
					return
				}
				g.stopping = true
				g.handle(rules.ShutdownStarted{Deadline: f.now + away})
				g.after(away, func() {
					g.crash()
					g.start()
				})
			})
		}
	}}
}

// ListOutage keeps all updates of the list from the gateways for a while.
func ListOutage(at, length rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		f.listOutage = true
		f.after(length, func() {
			f.listOutage = false
			f.announce(f.engines...)
		})
	}}
}

// SilenceEngines silences a part of the engines for a while.
func SilenceEngines(at, length rules.Time, part float64) Fault {
	return onSomeEngines(at, length, part, func(e *engine, on bool) { e.silent = on })
}

// SlowEngines multiplies the time that the work of a part of the engines takes, for a while.
func SlowEngines(at, length rules.Time, part, slowdown float64) Fault {
	return onSomeEngines(at, length, part, func(e *engine, on bool) {
		e.advance()
		if e.slowdown = 1; on {
			e.slowdown = slowdown
		}
		e.armTimer()
	})
}

// EngineErrors has a part of the engines answer a part of their attempts with an error at once, for a while.
func EngineErrors(at, length rules.Time, part, errorRate float64) Fault {
	return onSomeEngines(at, length, part, func(e *engine, on bool) {
		if e.errorRate = 0; on {
			e.errorRate = errorRate
		}
	})
}

// onSomeEngines sets a state of a part of the engines that serve, and resets it after a while.
func onSomeEngines(at, length rules.Time, part float64, set func(e *engine, on bool)) Fault {
	return Fault{at, func(f *Fleet) {
		serving := f.servingEngines()
		for _, i := range f.rng.Perm(len(serving))[:int(part*float64(len(serving)))] {
			e := serving[i]
			set(e, true)
			f.after(length, func() { set(e, false) })
		}
	}}
}

// LoadBurst multiplies the rate of new requests for a while.
func LoadBurst(at, length rules.Time, factor float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.requestRate *= factor
		f.after(length, func() { f.requestRate /= factor })
	}}
}
