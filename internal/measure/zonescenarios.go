package measure

import (
	"slices"

	"foxlane/internal/emulator"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file owns the scenarios by which the plan for the loss of a zone is measured, and one run of them.

const (
	zoneSeeds      = 10
	extraSeeds     = 3 // of the scenarios without figures of their own, which only must not be worse than without the plan
	zoneGateways   = 300
	zoneEngines    = 36
	zoneCount      = 3
	lostAt         = 8 * rules.Second
	lostFor        = 8 * rules.Second
	flapInterval   = 2 * rules.Second
	flaps          = 6
	toleratedFlaps = 3 // after these a flap must hardly cause a transition
)

// zoneScenario is one scenario.
type zoneScenario struct {
	name      string
	seeds     int
	load      float64
	faults    []emulator.Fault
	placement []int // zones of engines and gateways, repeated; nil: round robin
	configure func(*zones.Settings)
	from, to  int // the seconds that count
}

// lostZone is the fault of most scenarios: zone 0 is lost and returns cold.
func lostZone() emulator.Fault { return emulator.LoseZone(lostAt, 0, 3*rules.Second, lostFor) }

// The scenarios that have figures of their own, by index in zoneScenarios.
const (
	scenarioCalm = iota
	scenarioZoneLost
	scenarioFlapping
	scenarioShedding
	scenarioBurst
)

var zoneScenarios = []zoneScenario{
	{name: "calm", seeds: zoneSeeds, load: 0.8, from: 4, to: 25},
	{name: "a zone is lost and returns cold", seeds: zoneSeeds, load: 0.55, faults: []emulator.Fault{lostZone()}, from: 8, to: 27},
	{name: "a zone flaps every 2 s", seeds: zoneSeeds, load: 0.55, faults: []emulator.Fault{emulator.FlapZone(lostAt, 0, flaps, flapInterval)}, from: 8, to: 29},
	{name: "lost at a load of 0.9, with shedding", seeds: zoneSeeds, load: 0.9, faults: []emulator.Fault{lostZone()}, from: 8, to: 27,
		configure: func(s *zones.Settings) { s.SheddingEnabled = true }},
	{name: "a burst of half as much again, with shedding", seeds: zoneSeeds, load: 0.9,
		faults: []emulator.Fault{emulator.LoadBurst(lostAt, lostFor, 1.5)}, from: 8, to: 27, configure: func(s *zones.Settings) { s.SheddingEnabled = true }},
	{name: "a zone's engines are lost, its gateways not; spillover 0.25", seeds: zoneSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.SilenceZone(lostAt, lostFor, 0, 1)}, from: 8, to: 27,
		configure: func(s *zones.Settings) { s.SpilloverLimit, s.RetryBudget = 0.25, 0.2 }},
	{name: "the same without a limit", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.SilenceZone(lostAt, lostFor, 0, 1)}, from: 8, to: 27},
	{name: "all zones lost", seeds: extraSeeds, load: 0.3, faults: []emulator.Fault{emulator.LoseZone(lostAt, 0, 3*rules.Second, lostFor),
		emulator.LoseZone(lostAt, 1, 3*rules.Second, lostFor), emulator.LoseZone(lostAt, 2, 3*rules.Second, lostFor)}, from: 8, to: 29},
	{name: "half of a zone is lost", seeds: extraSeeds, load: 0.6, faults: []emulator.Fault{emulator.SilenceZone(lostAt, lostFor, 0, 0.5)}, from: 8, to: 27},
	{name: "lost while another drains", seeds: extraSeeds, load: 0.3,
		faults: []emulator.Fault{emulator.DrainZone(4*rules.Second, 18*rules.Second, 1), lostZone()}, from: 8, to: 29},
	{name: "lost during a list outage", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.ListOutage(6*rules.Second, 14*rules.Second), lostZone()}, from: 8, to: 29},
	{name: "lost, list updates four times as late", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.DelayList(0, 30*rules.Second, 4), lostZone()}, from: 8, to: 29},
	{name: "two of three lost", seeds: extraSeeds, load: 0.3,
		faults: []emulator.Fault{lostZone(), emulator.LoseZone(lostAt+rules.Second, 1, 3*rules.Second, lostFor)}, from: 8, to: 29},
	{name: "the smaller of 1:3 takes over", seeds: extraSeeds, load: 0.5, placement: []int{0, 0, 0, 1}, faults: []emulator.Fault{lostZone()}, from: 8, to: 29},
	{name: "back under new ids", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.ReplaceZone(lostAt, 0, 3*rules.Second, lostFor)}, from: 8, to: 29},
	{name: "the link is cut, one way", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.CutLink(lostAt, lostFor, 0, 1), emulator.CutLink(lostAt, lostFor, 0, 2)}, from: 8, to: 27},
	{name: "a zone is cut off, its clients not", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.CutLink(lostAt, lostFor, 0, 1), emulator.CutLink(lostAt, lostFor, 0, 2), emulator.CutLink(lostAt, lostFor, 1, 0),
			emulator.CutLink(lostAt, lostFor, 2, 0)}, from: 8, to: 27},
	{name: "gateways start in the middle of a loss", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{lostZone(), emulator.KillGateways(lostAt+3*rules.Second, 0.2, rules.Second)}, from: 8, to: 27},
	{name: "flaps every 10 s", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.FlapZone(5*rules.Second, 0, 2, 6*rules.Second)}, from: 5, to: 29},
}

// zoneRun is the result of one run: without a plan, with it, or with a static split.
type zoneRun struct {
	servedShare, crossZone, amplification float64
	collapses                             int
	transitions                           float64 // states that the lost zone entered, at each of its own gateways: others hardly send there
	lateTransitions                       float64 // of these, those after the tolerated flaps
	recoverySeconds                       float64 // from the zone's return until 0.95 of the former share is served again
	misordered, shedding                  int     // seconds of gateways in which they shed a higher value than they admitted, of those in which they shed
	rejectedMisordered                    int     // seconds in which a larger part of a higher value was rejected, by the plan or the decision module
	overSpillLimit                        int     // seconds in which a zone's work for other zones was over the spillover limit
	shed                                  int
	probes                                float64 // a gateway and second
}

func (r zoneRun) served() float64             { return r.servedShare }
func (r zoneRun) crossZoneShare() float64     { return r.crossZone }
func (r zoneRun) attemptsPerRequest() float64 { return r.amplification }

// recoveredShare is the part of the former served share at which a fleet counts as recovered.
const recoveredShare = 0.95

// warmUpSeconds is how long the engines of the scenarios warm up.
func warmUpSeconds() float64 {
	return float64(emulator.Warehouse(1, 1, 1, 1).Settings.Constraints.SlowStartPeriod) / float64(rules.Second)
}

// run runs the scenario once.
func (s zoneScenario) run(plan bool, staticHomeShare *float64, seed uint64) zoneRun {
	scenario := emulator.Warehouse(zoneGateways, zoneEngines, s.load, seed)
	scenario.Zones, scenario.Placement, scenario.Faults, scenario.StaticHomeShare = zoneCount, s.placement, s.faults, staticHomeShare
	if s.placement != nil {
		scenario.Zones = slices.Max(s.placement) + 1
	}
	scenario.Settings.Penalties.CrossZone = 0.05
	settings := zones.Defaults()
	if s.configure != nil {
		s.configure(&settings)
	}
	if plan {
		scenario.ZoneFailover = &settings
	}
	m := emulator.New(scenario).Run()
	requested := 0
	for i := range scenario.Classes {
		requested += m.Class(i).Requested
	}
	run := zoneRun{servedShare: m.ServedShare(s.from, s.to), crossZone: float64(m.CrossZone) / float64(max(1, m.Attempts)), collapses: m.OverloadCollapses,
		amplification: float64(m.Attempts) / float64(max(1, requested)), shed: m.Shed,
		probes:          float64(m.Probes) / zoneGateways / (float64(scenario.Duration) / float64(rules.Second)),
		recoverySeconds: recoverySeconds(m, s.to)}
	run.countTransitions(m, scenario.Zones)
	if plan {
		run.overSpillLimit = secondsOverSpillLimit(m, settings)
		run.misordered, run.shedding = m.MisorderedSeconds, m.SheddingSeconds
		run.rejectedMisordered = misorderedSeconds(m, settings, func(sec *emulator.Second) []int { return sec.Rejected })
	}
	return run
}

// countTransitions counts the states that zone 0 entered, the zone that is lost, at each of its gateways.
func (r *zoneRun) countTransitions(m *emulator.Metrics, zoneCount int) {
	gateways := float64(zoneGateways) / float64(zoneCount)
	const from, to = lostAt + 2*flapInterval*toleratedFlaps, lostAt + 2*flapInterval*flaps
	for _, t := range m.Transitions {
		if t.Zone != 0 {
			continue
		}
		r.transitions += 1 / gateways
		if t.At >= from && t.At < to {
			r.lateTransitions += 1 / gateways
		}
	}
}

// recoverySeconds are the seconds from the zone's return, up to a second of the run, until the fleet has recovered.
func recoverySeconds(m *emulator.Metrics, to int) float64 {
	const fromSecond, lostSecond, returnSecond = 4, int(lostAt / rules.Second), int((lostAt + lostFor) / rules.Second)
	former := m.ServedShare(fromSecond, lostSecond)
	second := returnSecond
	for second < to && m.ServedShare(second, second+1) < recoveredShare*former {
		second++
	}
	return float64(second - returnSecond)
}

// secondsOverSpillLimit counts the seconds in which a zone did more work for other zones than the spillover limit allows.
func secondsOverSpillLimit(m *emulator.Metrics, settings zones.Settings) (n int) {
	if settings.SpilloverLimit >= 1 {
		return 0
	}
	for _, sec := range m.Seconds[:len(m.Seconds)-1] { // the last one is not complete
		for z, work := range sec.CrossZoneWork {
			if sec.Capacity[z] > 0 && work > settings.SpilloverLimit*sec.Capacity[z] {
				n++
			}
		}
	}
	return n
}

const (
	orderSlack    = 0.05 // by which the rejected part of a higher value may exceed that of a lower one, within a second
	orderMinTries = 20   // first tries of a value from which its rejected part is meaningful
)

// misorderedSeconds counts the seconds in which a larger part of the first tries of some value was rejected than of a
// lower value.
func misorderedSeconds(m *emulator.Metrics, settings zones.Settings, rejected func(*emulator.Second) []int) (n int) {
	if !settings.SheddingEnabled {
		return 0
	}
	for i := range m.Seconds {
		sec := &m.Seconds[i]
		leastOfLower, misordered := 1.0, false
		for tier, tries := range sec.FirstTries {
			if tries < orderMinTries {
				continue
			}
			part := float64(rejected(sec)[tier]) / float64(tries)
			misordered = misordered || part > leastOfLower+orderSlack
			leastOfLower = min(leastOfLower, part)
		}
		if misordered {
			n++
		}
	}
	return n
}
