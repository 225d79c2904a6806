package measure

import (
	"slices"

	"foxlane/internal/emulator"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file defines the scenarios that measure the plan for the loss of a zone, and runs one of them.

const (
	zoneSeeds      = 10
	extraSeeds     = 3 // of scenarios without figures of their own: they only have to be no worse than without the plan
	zoneGateways   = 300
	zoneEngines    = 36
	zoneCount      = 3
	lostAt         = 8 * rules.Second
	outageDuration = 8 * rules.Second
	flapInterval   = 2 * rules.Second
	flaps          = 6
	toleratedFlaps = 3 // flaps after these must cause almost no transitions
)

// zoneScenario is a scenario of the modelled fleet.
type zoneScenario struct {
	name                 string
	seeds                int
	load                 float64
	faults               []emulator.Fault
	placement            []int                 // zones of engines and gateways, repeated; nil: round robin
	configure            func(*zones.Settings) // nil: the defaults
	fromSecond, toSecond int                   // the seconds that are measured: from fromSecond, before toSecond
}

// zoneLoss returns the fault of most scenarios: zone 0 is lost and returns cold.
func zoneLoss() emulator.Fault { return emulator.LoseZone(lostAt, 0, 3*rules.Second, outageDuration) }

// Indexes in zoneScenarios of the scenarios that have figures of their own.
const (
	scenarioCalm = iota
	scenarioZoneLost
	scenarioFlapping
	scenarioShedding
	scenarioBurst
)

var zoneScenarios = []zoneScenario{
	{name: "calm", seeds: zoneSeeds, load: 0.8, fromSecond: 4, toSecond: 25},
	{name: "a zone is lost and returns cold", seeds: zoneSeeds, load: 0.55, faults: []emulator.Fault{zoneLoss()}, fromSecond: 8, toSecond: 27},
	{name: "a zone flaps every 2 s", seeds: zoneSeeds, load: 0.55, faults: []emulator.Fault{emulator.FlapZone(lostAt, 0, flaps, flapInterval)}, fromSecond: 8, toSecond: 29},
	{name: "lost at a load of 0.9, with shedding", seeds: zoneSeeds, load: 0.9, faults: []emulator.Fault{zoneLoss()}, fromSecond: 8, toSecond: 27,
		configure: func(s *zones.Settings) { s.SheddingEnabled = true }},
	{name: "a burst of half as much again, with shedding", seeds: zoneSeeds, load: 0.9,
		faults: []emulator.Fault{emulator.LoadBurst(lostAt, outageDuration, 1.5)}, fromSecond: 8, toSecond: 27, configure: func(s *zones.Settings) { s.SheddingEnabled = true }},
	{name: "a zone's engines are lost, its gateways not; spillover 0.25", seeds: zoneSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.SilenceZone(lostAt, outageDuration, 0, 1)}, fromSecond: 8, toSecond: 27,
		configure: func(s *zones.Settings) { s.SpilloverLimit, s.RetryBudget = 0.25, 0.2 }},
	{name: "the same without a limit", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.SilenceZone(lostAt, outageDuration, 0, 1)}, fromSecond: 8, toSecond: 27},
	{name: "all zones lost", seeds: extraSeeds, load: 0.3, faults: []emulator.Fault{emulator.LoseZone(lostAt, 0, 3*rules.Second, outageDuration),
		emulator.LoseZone(lostAt, 1, 3*rules.Second, outageDuration), emulator.LoseZone(lostAt, 2, 3*rules.Second, outageDuration)}, fromSecond: 8, toSecond: 29},
	{name: "half of a zone is lost", seeds: extraSeeds, load: 0.6, faults: []emulator.Fault{emulator.SilenceZone(lostAt, outageDuration, 0, 0.5)}, fromSecond: 8, toSecond: 27},
	{name: "lost while another drains", seeds: extraSeeds, load: 0.3,
		faults: []emulator.Fault{emulator.DrainZone(4*rules.Second, 18*rules.Second, 1), zoneLoss()}, fromSecond: 8, toSecond: 29},
	{name: "lost during a list outage", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.ListOutage(6*rules.Second, 14*rules.Second), zoneLoss()}, fromSecond: 8, toSecond: 29},
	{name: "lost, list updates four times as late", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.DelayList(0, 30*rules.Second, 4), zoneLoss()}, fromSecond: 8, toSecond: 29},
	{name: "two of three lost", seeds: extraSeeds, load: 0.3,
		faults: []emulator.Fault{zoneLoss(), emulator.LoseZone(lostAt+rules.Second, 1, 3*rules.Second, outageDuration)}, fromSecond: 8, toSecond: 29},
	{name: "the smaller of 1:3 takes over", seeds: extraSeeds, load: 0.5, placement: []int{0, 0, 0, 1}, faults: []emulator.Fault{zoneLoss()}, fromSecond: 8, toSecond: 29},
	{name: "back under new ids", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.ReplaceZone(lostAt, 0, 3*rules.Second, outageDuration)}, fromSecond: 8, toSecond: 29},
	{name: "the link is cut, one way", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.CutLink(lostAt, outageDuration, 0, 1), emulator.CutLink(lostAt, outageDuration, 0, 2)}, fromSecond: 8, toSecond: 27},
	{name: "a zone is cut off, its clients not", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.CutLink(lostAt, outageDuration, 0, 1), emulator.CutLink(lostAt, outageDuration, 0, 2), emulator.CutLink(lostAt, outageDuration, 1, 0),
			emulator.CutLink(lostAt, outageDuration, 2, 0)}, fromSecond: 8, toSecond: 27},
	{name: "gateways start in the middle of a loss", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{zoneLoss(), emulator.KillGateways(lostAt+3*rules.Second, 0.2, rules.Second)}, fromSecond: 8, toSecond: 27},
	{name: "flaps every 10 s", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.FlapZone(5*rules.Second, 0, 2, 6*rules.Second)}, fromSecond: 5, toSecond: 29},
}

// zoneRun is the result of one run: without the plan, with it, or with a static split. Transitions are the states that
// the lost zone entered, per gateway of that zone, since other gateways rarely send there.
type zoneRun struct {
	servedShare, crossZone, amplification float64
	collapses                             int
	transitions                           float64 // all of the run
	lateTransitions                       float64 // those after the tolerated flaps
	recoverySeconds                       float64 // from the zone's return until recoveredShare is reached
	misordered, shedding                  int     // MisorderedSeconds and SheddingSeconds of the metrics
	rejectedMisordered                    int     // see misorderedSeconds; rejected by the plan or the module
	overSpillLimit                        int     // seconds, see secondsOverSpillLimit
	shed                                  int
	probes                                float64 // per gateway and second
}

func (r zoneRun) served() float64             { return r.servedShare }
func (r zoneRun) crossZoneShare() float64     { return r.crossZone }
func (r zoneRun) attemptsPerRequest() float64 { return r.amplification }

// recoveredShare is the fraction of the former served share at which a fleet counts as recovered.
const recoveredShare = 0.95

// slowStartSeconds returns the slow-start period of the engines in the scenarios.
func slowStartSeconds() float64 {
	return float64(emulator.Warehouse(1, 1, 1, 1).Settings.Constraints.SlowStartPeriod) / float64(rules.Second)
}

// run simulates the scenario once. A static home share of nil means no static split.
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
	metrics := emulator.New(scenario).Run()
	requested := 0
	for i := range scenario.Classes {
		requested += metrics.Class(i).Requested
	}
	run := zoneRun{servedShare: metrics.ServedShare(s.fromSecond, s.toSecond), crossZone: float64(metrics.CrossZone) / float64(max(1, metrics.Attempts)), collapses: metrics.OverloadCollapses,
		amplification: float64(metrics.Attempts) / float64(max(1, requested)), shed: metrics.Shed,
		probes:          float64(metrics.Probes) / zoneGateways / (float64(scenario.Duration) / float64(rules.Second)),
		recoverySeconds: recoverySeconds(metrics, s.toSecond)}
	run.countTransitions(metrics, scenario.Zones)
	if plan {
		run.overSpillLimit = secondsOverSpillLimit(metrics, settings)
		run.misordered, run.shedding = metrics.MisorderedSeconds, metrics.SheddingSeconds
		run.rejectedMisordered = misorderedSeconds(metrics, settings, func(sec *emulator.Second) []int { return sec.Rejected })
	}
	return run
}

// countTransitions counts the states that zone 0, the lost zone, entered, and divides by the number of its gateways.
func (r *zoneRun) countTransitions(metrics *emulator.Metrics, zoneCount int) {
	gatewaysPerZone := float64(zoneGateways) / float64(zoneCount)
	const from, to = lostAt + 2*flapInterval*toleratedFlaps, lostAt + 2*flapInterval*flaps
	for _, t := range metrics.Transitions {
		if t.Zone != 0 {
			continue
		}
		r.transitions += 1 / gatewaysPerZone
		if t.At >= from && t.At < to {
			r.lateTransitions += 1 / gatewaysPerZone
		}
	}
}

// recoverySeconds returns the seconds from the zone's return until the fleet has recovered, or until endSecond if it
// has not recovered before.
func recoverySeconds(metrics *emulator.Metrics, endSecond int) float64 {
	const fromSecond, lostSecond, returnSecond = 4, int(lostAt / rules.Second), int((lostAt + outageDuration) / rules.Second)
	formerShare := metrics.ServedShare(fromSecond, lostSecond)
	second := returnSecond
	for second < endSecond && metrics.ServedShare(second, second+1) < recoveredShare*formerShare {
		second++
	}
	return float64(second - returnSecond)
}

// secondsOverSpillLimit counts the seconds, once for each zone, in which a zone did more work for other zones than
// the spillover limit allows.
func secondsOverSpillLimit(metrics *emulator.Metrics, settings zones.Settings) (n int) {
	if settings.SpilloverLimit >= 1 {
		return 0
	}
	for _, sec := range metrics.Seconds[:len(metrics.Seconds)-1] { // the last second is incomplete
		for z, work := range sec.CrossZoneWork {
			if sec.Capacity[z] > 0 && work > settings.SpilloverLimit*sec.Capacity[z] {
				n++
			}
		}
	}
	return n
}

const (
	orderSlack    = 0.05 // by which a higher value's rejected fraction in a second may exceed a lower one's
	orderMinTries = 20   // fewer first tries of a value give no meaningful rejected fraction
)

// misorderedSeconds counts the seconds in which a larger fraction of the first tries of some value was rejected
// than of a lower value, with a tolerance of orderSlack.
func misorderedSeconds(metrics *emulator.Metrics, settings zones.Settings, rejected func(*emulator.Second) []int) (n int) {
	if !settings.SheddingEnabled {
		return 0
	}
	for i := range metrics.Seconds {
		sec := &metrics.Seconds[i]
		minRejectedShare, misordered := 1.0, false
		for tier, tries := range sec.FirstTries {
			if tries < orderMinTries {
				continue
			}
			rejectedShare := float64(rejected(sec)[tier]) / float64(tries)
			misordered = misordered || rejectedShare > minRejectedShare+orderSlack
			minRejectedShare = min(minRejectedShare, rejectedShare)
		}
		if misordered {
			n++
		}
	}
	return n
}
