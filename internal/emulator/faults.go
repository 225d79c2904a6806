package emulator

import "foxlane/rules"

// This file owns the faults of a scenario. The parameter at of each constructor is the time since the start of the run.

// Fault is a fault and the time of its injection into a fleet.
type Fault struct {
	At     rules.Time // since the start
	Inject func(f *Fleet)
}

// ReplaceEngines drains a random fraction of the engines one after another over span, and adds a cold engine in the
// same zone for each. A drained engine stops after grace.
func ReplaceEngines(at rules.Time, fraction float64, span, grace rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		old := f.servingEngines()
		n := int(fraction * float64(len(old)))
		for i, p := range f.rng.Perm(len(old))[:n] {
			e := old[p]
			f.after(span*rules.Time(i)/rules.Time(max(1, n)), func() {
				added := f.addEngine(f.now)
				added.zone = e.zone
				e.state = rules.EngineDraining
				f.announce(e, added)
				f.after(grace, func() {
					e.state, e.stopped = rules.EngineGone, true
					e.endAllJobs(rules.StatusReset)
					f.announce(e)
				})
			})
		}
	}}
}

// RestartEngines restarts a random fraction of the engines one after another over span: each is replaced at once by a
// cold process at the same address. Gateways are notified by an update of the endpoint list.
func RestartEngines(at rules.Time, fraction float64, span rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		serving := f.servingEngines()
		n := int(fraction * float64(len(serving)))
		for i, p := range f.rng.Perm(len(serving))[:n] {
			e := serving[p]
			f.after(span*rules.Time(i)/rules.Time(max(1, n)), func() {
				e.restart()
				f.announce(e)
			})
		}
	}}
}

// LoseZone takes down a zone: its engines become unresponsive and its gateways crash. The engines are removed from the
// endpoint list after unlistDelay. Engines (cold) and gateways come back after downtime; 0: never.
func LoseZone(at rules.Time, zone int, unlistDelay, downtime rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		lost := f.silenceZone(zone)
		var crashed []*gateway
		for _, g := range f.gateways {
			if g.zone == zone && g.up {
				crashed = append(crashed, g)
				g.crash()
			}
		}
		f.after(unlistDelay, func() {
			for _, e := range lost {
				e.state = rules.EngineGone
			}
			f.announce(lost...)
		})
		if downtime == 0 {
			return
		}
		f.after(downtime, func() {
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

// ReplaceZone takes down the engines of a zone as LoseZone does, and adds as many cold ones after replacementDelay.
func ReplaceZone(at rules.Time, zone int, unlistDelay, replacementDelay rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		lost := f.silenceZone(zone)
		f.after(unlistDelay, func() {
			for _, e := range lost {
				e.state, e.stopped = rules.EngineGone, true
			}
			f.announce(lost...)
		})
		f.after(replacementDelay, func() {
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

// silenceZone makes the serving engines of a zone unresponsive, and ends all of their jobs. Gateways are not notified.
func (f *Fleet) silenceZone(zone int) []*engine {
	lost := f.servingInZone(zone)
	for _, e := range lost {
		e.silent = true
		e.endAllJobs(rules.StatusReset)
	}
	return lost
}

// jitter draws a delay of up to one second, which spreads the starts of gateways.
func (f *Fleet) jitter() rules.Time { return rules.Time(f.rng.Int64N(int64(rules.Second))) }

// CutLink cuts the network from one zone to another for a duration, in that direction only.
func CutLink(at, duration rules.Time, from, to int) Fault {
	return Fault{at, func(f *Fleet) {
		f.cutLinks[[2]int{from, to}] = true
		f.after(duration, func() { delete(f.cutLinks, [2]int{from, to}) })
	}}
}

// SilenceZone makes a fraction of a zone's serving engines, the first ones, unresponsive for a duration.
func SilenceZone(at, duration rules.Time, zone int, fraction float64) Fault {
	return Fault{at, func(f *Fleet) {
		serving := f.servingInZone(zone)
		for _, e := range serving[:int(fraction*float64(len(serving)))] {
			e.silent = true
			f.after(duration, func() { e.silent = false })
		}
	}}
}

// DrainZone drains a zone at all gateways, as an operator's directive does, for a duration.
func DrainZone(at, duration rules.Time, zone int) Fault {
	setDraining := func(f *Fleet, draining bool) {
		for _, g := range f.gateways {
			if g.up && g.zones != nil {
				g.zones.SetDraining(f.now, zone, draining)
			}
		}
	}
	return Fault{at, func(f *Fleet) {
		setDraining(f, true)
		f.after(duration, func() { setDraining(f, false) })
	}}
}

// DelayList multiplies the delay of endpoint list updates by factor for a duration.
func DelayList(at, duration rules.Time, factor float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.listDelayFactor = factor
		f.after(duration, func() { f.listDelayFactor = 1 })
	}}
}

// FlapZone makes a zone's engines unresponsive several times, each time for an interval. In between they serve, warm,
// for the same interval.
func FlapZone(at rules.Time, zone, times int, interval rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		setSilent := func(silent bool) func() {
			return func() {
				for _, e := range f.engines {
					if e.zone == zone {
						e.silent = silent
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

// KillGateways crashes a random fraction of the gateways at the same time; each starts again after downtime plus
// jitter.
func KillGateways(at rules.Time, fraction float64, downtime rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		for _, i := range f.rng.Perm(len(f.gateways))[:int(fraction*float64(len(f.gateways)))] {
			g := f.gateways[i]
			g.crash()
			f.after(downtime+f.jitter(), g.start)
		}
	}}
}

// RestartGateways restarts all gateways in random order, a fraction of them per interval. Each shuts down gracefully
// for downtime, and then starts again.
func RestartGateways(at rules.Time, fraction float64, interval, downtime rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		n := max(1, int(fraction*float64(len(f.gateways))))
		for i, p := range f.rng.Perm(len(f.gateways)) {
			g := f.gateways[p]
			f.after(interval*rules.Time(i/n), func() {
				if !g.up {
					return
				}
				g.stopping = true
				g.handle(rules.ShutdownStarted{Deadline: f.now + downtime})
				g.after(downtime, func() {
					g.crash()
					g.start()
				})
			})
		}
	}}
}

// ListOutage withholds all endpoint list updates from the gateways for a duration, after which they get the whole list.
func ListOutage(at, duration rules.Time) Fault {
	return Fault{at, func(f *Fleet) {
		f.listOutage = true
		f.after(duration, func() {
			f.listOutage = false
			f.announce(f.engines...)
		})
	}}
}

// SilenceEngines makes a random fraction of the engines unresponsive for a duration.
func SilenceEngines(at, duration rules.Time, fraction float64) Fault {
	return onRandomEngines(at, duration, fraction, func(e *engine, active bool) { e.silent = active })
}

// SlowEngines multiplies the execution time at a random fraction of the engines by slowdown for a duration.
func SlowEngines(at, duration rules.Time, fraction, slowdown float64) Fault {
	return onRandomEngines(at, duration, fraction, func(e *engine, active bool) {
		e.advance()
		if e.slowdown = 1; active {
			e.slowdown = slowdown
		}
		e.armTimer()
	})
}

// EngineErrors makes a random fraction of the engines fail attempts immediately, with probability errorRate, for a
// duration.
func EngineErrors(at, duration rules.Time, fraction, errorRate float64) Fault {
	return onRandomEngines(at, duration, fraction, func(e *engine, active bool) {
		if e.errorRate = 0; active {
			e.errorRate = errorRate
		}
	})
}

// onRandomEngines calls set(e, true) for a random fraction of the serving engines, and set(e, false) after the
// duration.
func onRandomEngines(at, duration rules.Time, fraction float64, set func(e *engine, active bool)) Fault {
	return Fault{at, func(f *Fleet) {
		serving := f.servingEngines()
		for _, i := range f.rng.Perm(len(serving))[:int(fraction*float64(len(serving)))] {
			e := serving[i]
			set(e, true)
			f.after(duration, func() { set(e, false) })
		}
	}}
}

// LoadBurst multiplies the rate of new requests by factor for a duration.
func LoadBurst(at, duration rules.Time, factor float64) Fault {
	return Fault{at, func(f *Fleet) {
		f.requestRate *= factor
		f.after(duration, func() { f.requestRate /= factor })
	}}
}
