// Package emulator runs a whole fleet in virtual time: the unmodified decision modules of many gateways against models
// of clients, engines, the network and the endpoint list. It owns the models and the metrics of a run. It must never
// read a clock, use randomness other than from its seed, or show a module more than a real gateway would see.
package emulator

import (
	"math"
	"math/rand/v2"

	"foxlane/internal/eventqueue"
	"foxlane/rules"
)

// Fleet is one run of a scenario. Runs are deterministic: all random values are drawn from the scenario's seed, in the
// order of the events.
type Fleet struct {
	Metrics Metrics // of the run so far

	scenario        Scenario
	rng             *rand.Rand
	now             rules.Time
	queue           eventqueue.Queue
	gateways        []*gateway
	engines         []*engine // including those that have stopped
	nextID          rules.EngineID
	nextRequest     int
	cutLinks        map[[2]int]bool // pairs of zones, from and to, between which all messages are lost
	listOutage      bool            // gateways receive no endpoint list updates
	listDelayFactor float64         // multiplies the delay of endpoint list updates
	requestRate     float64         // new requests per microsecond, over all gateways
	gatewayWeights  []float64       // relative load of each gateway, not normalized
}

// New returns a run that is ready to start.
func New(s Scenario) *Fleet {
	f := &Fleet{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 0x5bd1e995)), now: s.Start, listDelayFactor: 1, cutLinks: map[[2]int]bool{}}
	f.Metrics.start, f.Metrics.zones = s.Start, max(1, s.Zones)
	f.Metrics.classes = make([]ClassMetrics, len(s.Classes))
	for range s.Engines {
		f.addEngine(0)
	}
	work, total := 0.0, 0.0
	for _, c := range s.Classes {
		work += c.Share * float64(c.Work)
		total += c.Share
	}
	f.requestRate = s.Load * s.Engine.Cores * float64(s.Engines) / (work / total)
	for i := range s.Gateways {
		g := &gateway{fleet: f, index: i, zone: s.zoneOf(i)}
		f.gateways = append(f.gateways, g)
		f.gatewayWeights = append(f.gatewayWeights, math.Exp(f.rng.NormFloat64()*s.Clients.LoadSkew))
		g.start()
	}
	f.after(f.interarrival(), f.newClientRequest)
	f.after(capacityInterval, f.recordCapacity)
	for _, fault := range s.Faults {
		f.queue.Schedule(s.Start+fault.At, func() { fault.Inject(f) })
	}
	return f
}

// Run runs the whole scenario and returns its metrics.
func (f *Fleet) Run() *Metrics {
	f.queue.RunUntil(f.scenario.Start+f.scenario.Duration, &f.now)
	for _, e := range f.engines {
		f.Metrics.PeakSlowStartBudget = max(f.Metrics.PeakSlowStartBudget, e.peakSlowStartBudget)
	}
	return &f.Metrics
}

func (f *Fleet) after(d rules.Time, run func()) { f.queue.Schedule(f.now+d, run) }

// capacityInterval is how often the capacity of the engines is sampled.
const capacityInterval = 100 * rules.Millisecond

// recordCapacity adds the capacity of each zone's engines over one interval to the current second.
func (f *Fleet) recordCapacity() {
	s := f.Metrics.second(f.now)
	for _, e := range f.engines {
		if !e.stopped && !e.collapsed && !e.silent && e.state == rules.EngineServing {
			s.Capacity[e.zone] += f.scenario.Engine.Cores * e.speedFraction() / e.slowdown * float64(capacityInterval) / float64(rules.Second)
		}
	}
	f.after(capacityInterval, f.recordCapacity)
}

// delay returns the one-way network delay between a gateway and an engine.
func (f *Fleet) delay(g *gateway, e *engine) rules.Time {
	if g.zone == e.zone {
		return f.scenario.Network.SameZone
	}
	return f.scenario.Network.CrossZone
}

// isCut reports whether the link from one zone to another is cut.
func (f *Fleet) isCut(from, to int) bool { return f.cutLinks[[2]int{from, to}] }
