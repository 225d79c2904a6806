package measure

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"
	"time"

	"foxlane/internal/emulator"
	"foxlane/internal/harness"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file measures the plan for the loss of a zone: on the modelled fleet, the same seeds with the plan, without and with
// splits that never change; and with processes, held against what the plan says.

const (
	zoneSeeds      = 10
	extraSeeds     = 3 // of the hard cases, which have no figure of their own but that they go no worse than without
	zoneGateways   = 300
	zoneEngines    = 36
	zoneCount      = 3
	lostAt         = 8 * rules.Second
	lostFor        = 8 * rules.Second
	flapInterval   = 2 * rules.Second
	flaps          = 6
	toleratedFlaps = 3 // after which a flap must hardly move anything
)

type zoneScenario struct {
	name      string
	seeds     int
	load      float64
	faults    []emulator.Fault
	placement []int
	configure func(*zones.Settings)
	from      int // seconds that count
	to        int
}

func lostZone() emulator.Fault { return emulator.LoseZone(lostAt, 0, 3*rules.Second, lostFor) }

// Scenes that have figures of their own, by place in siteScenes.
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
	{name: "lost at a load of 0.9, with the ladder", seeds: zoneSeeds, load: 0.9, faults: []emulator.Fault{lostZone()}, from: 8, to: 27,
		configure: func(s *zones.Settings) { s.SheddingEnabled = true }},
	{name: "a burst of half as much again, with the ladder", seeds: zoneSeeds, load: 0.9,
		faults: []emulator.Fault{emulator.LoadBurst(lostAt, lostFor, 1.5)}, from: 8, to: 27, configure: func(s *zones.Settings) { s.SheddingEnabled = true }},
	{name: "a zone's engines are lost, its gateways not; spill 0.25", seeds: zoneSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.SilenceZone(lostAt, lostFor, 0, 1)}, from: 8, to: 27,
		configure: func(s *zones.Settings) { s.SpilloverLimit, s.RetryBudget = 0.25, 0.2 }},
	{name: "the same without a limit", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.SilenceZone(lostAt, lostFor, 0, 1)}, from: 8, to: 27},
	{name: "all zones lost", seeds: extraSeeds, load: 0.3, faults: []emulator.Fault{emulator.LoseZone(lostAt, 0, 3*rules.Second, lostFor),
		emulator.LoseZone(lostAt, 1, 3*rules.Second, lostFor), emulator.LoseZone(lostAt, 2, 3*rules.Second, lostFor)}, from: 8, to: 29},
	{name: "half of a zone is lost", seeds: extraSeeds, load: 0.6, faults: []emulator.Fault{emulator.SilenceZone(lostAt, lostFor, 0, 0.5)}, from: 8, to: 27},
	{name: "lost while another drains", seeds: extraSeeds, load: 0.3,
		faults: []emulator.Fault{emulator.DrainZone(4*rules.Second, 18*rules.Second, 1), lostZone()}, from: 8, to: 29},
	{name: "lost while the list is dark", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.ListOutage(6*rules.Second, 14*rules.Second), lostZone()}, from: 8, to: 29},
	{name: "lost, lists four times as late", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.DelayList(0, 30*rules.Second, 4), lostZone()}, from: 8, to: 29},
	{name: "two of three lost", seeds: extraSeeds, load: 0.3,
		faults: []emulator.Fault{lostZone(), emulator.LoseZone(lostAt+rules.Second, 1, 3*rules.Second, lostFor)}, from: 8, to: 29},
	{name: "the smaller of 1:3 takes over", seeds: extraSeeds, load: 0.5, placement: []int{0, 0, 0, 1}, faults: []emulator.Fault{lostZone()}, from: 8, to: 29},
	{name: "back under new ids", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.ReplaceZone(lostAt, 0, 3*rules.Second, lostFor)}, from: 8, to: 29},
	{name: "answers cut off one way", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.CutLink(lostAt, lostFor, 0, 1), emulator.CutLink(lostAt, lostFor, 0, 2)}, from: 8, to: 27},
	{name: "a site cut off, its clients not", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{emulator.CutLink(lostAt, lostFor, 0, 1), emulator.CutLink(lostAt, lostFor, 0, 2), emulator.CutLink(lostAt, lostFor, 1, 0),
			emulator.CutLink(lostAt, lostFor, 2, 0)}, from: 8, to: 27},
	{name: "gateways start in the middle of a loss", seeds: extraSeeds, load: 0.55,
		faults: []emulator.Fault{lostZone(), emulator.KillGateways(lostAt+3*rules.Second, 0.2, rules.Second)}, from: 8, to: 27},
	{name: "flaps every 10 s", seeds: extraSeeds, load: 0.55, faults: []emulator.Fault{emulator.FlapZone(5*rules.Second, 0, 2, 6*rules.Second)}, from: 5, to: 29},
}

// zoneRun is one run: without a plan, with it, or with a split that never changes.
type zoneRun struct {
	servedShare, crossZone, amplification float64
	collapses                             int
	transitions                           float64 // states that the zone entered, at each of its own gateways: others hardly send there
	lateTransitions                       float64 // of these, after the third flap
	recoverySeconds                       float64 // seconds from a return until 0.95 of the former worth is served again
	misordered, shedding                  int     // seconds of gateways in which the ladder shed what earns more than what it let in, of those in which it shed
	rejectedMisordered                    int     // and in which a larger part of it was refused, by the ladder or the decision module
	overSpillLimit                        int     // seconds in which foreign load was over the limit of spill, by zone
	shed                                  int
	probes                                float64 // a gateway and second
}

// staticHomeShares are the parts that stay at home in splits that never change.
var staticHomeShares = []float64{1, 0.8, 0.6, 1.0 / 3}

// Zones plays the loss of a zone to 300 gateways in virtual time, with the plan and without, and to processes.
func Zones(ctx context.Context, gateway string, progress io.Writer) (*Report, error) {
	r := newReport("sites", "scene", "plan", "share of worth, median", "least", "across zones", "attempts a request", "probes a gateway and s", "states entered a gateway of the zone",
		"cold engines pushed over")
	runs := make([][2][]zoneRun, len(zoneScenarios))
	fixed := make([][]zoneRun, len(staticHomeShares))
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	play := func(to *zoneRun, do func() zoneRun) {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if ctx.Err() == nil {
				*to = do()
				fmt.Fprint(progress, ".")
			}
		})
	}
	for i, sc := range zoneScenarios {
		for plan := range 2 {
			runs[i][plan] = make([]zoneRun, sc.seeds)
			for seed := range sc.seeds {
				play(&runs[i][plan][seed], func() zoneRun { return sc.play(plan == 1, nil, uint64(seed)+1) })
			}
		}
	}
	for i := range staticHomeShares {
		fixed[i] = make([]zoneRun, zoneSeeds)
		for seed := range zoneSeeds {
			play(&fixed[i][seed], func() zoneRun {
				return zoneScenarios[scenarioZoneLost].play(false, &staticHomeShares[i], uint64(seed)+1)
			})
		}
	}
	wait.Wait()
	fmt.Fprintln(progress)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	fallen := 0
	row := func(name, plan string, runs []zoneRun) {
		fell := 0
		for _, run := range runs {
			fell += run.collapses
		}
		if plan == "on" {
			fallen += fell
		}
		shares := column(runs, zoneRun.served)
		r.addRow(name, plan, fmt.Sprintf("%.3f", median(shares)), fmt.Sprintf("%.3f", slices.Min(shares)),
			fmt.Sprintf("%.2f", median(column(runs, func(s zoneRun) float64 { return s.crossZone }))),
			fmt.Sprintf("%.2f", median(column(runs, func(s zoneRun) float64 { return s.amplification }))),
			fmt.Sprintf("%.3f", median(column(runs, func(s zoneRun) float64 { return s.probes }))),
			fmt.Sprintf("%.1f", median(column(runs, func(s zoneRun) float64 { return s.transitions }))), fell)
	}
	for i, sc := range zoneScenarios {
		row(sc.name, "off", runs[i][0])
		row(sc.name, "on", runs[i][1])
	}
	best := make([]float64, zoneSeeds)
	for i, part := range staticHomeShares {
		row(zoneScenarios[scenarioZoneLost].name, fmt.Sprintf("static, %.2f at home", part), fixed[i])
		for seed, run := range fixed[i] {
			best[seed] = max(best[seed], run.servedShare)
		}
	}
	ratio := func(scene int, of func(zoneRun) float64) float64 {
		ratios := make([]float64, zoneScenarios[scene].seeds)
		for seed := range ratios {
			ratios[seed] = of(runs[scene][1][seed]) / max(of(runs[scene][0][seed]), 1e-9)
		}
		return median(ratios)
	}
	over := make([]float64, zoneSeeds)
	for seed, run := range runs[scenarioZoneLost][1] {
		over[seed] = run.servedShare / best[seed]
	}
	sum := func(of func(zoneRun) int) (n float64) {
		for i := range runs {
			for _, run := range runs[i][1] {
				n += float64(of(run))
			}
		}
		return n
	}
	worse := 0.0
	for i := range zoneScenarios {
		worse = max(worse, 1-ratio(i, zoneRun.served))
	}
	r.setValue("worth_calm", ratio(scenarioCalm, zoneRun.served), "0.99 or more of without the plan")
	r.setValue("cross_share", ratio(scenarioCalm, func(s zoneRun) float64 { return s.crossZone }), "0.5 or less of without the plan")
	r.setValue("worth_lost_over_off", ratio(scenarioZoneLost, zoneRun.served), "")
	r.setValue("worth_lost_site", median(over), "0.9 or more of the best static split")
	r.setValue("recover_ratio", median(column(runs[scenarioZoneLost][1], func(s zoneRun) float64 { return s.recoverySeconds }))/warmUpSeconds(), "1.5 or less")
	r.setValue("retry_amplification", median(column(runs[scenarioZoneLost][1], func(s zoneRun) float64 { return s.amplification })), "1.2 or less")
	r.setValue("worth_flap_over_off", ratio(scenarioFlapping, zoneRun.served), "")
	r.setValue("flap_moves", median(column(runs[scenarioFlapping][1], func(s zoneRun) float64 { return s.lateTransitions }))/(flaps-toleratedFlaps), "under 0.1 a flap after the third")
	r.setValue("worth_ladder_lost_over_off", ratio(scenarioShedding, zoneRun.served), "")
	r.setValue("worth_ladder_burst_over_off", ratio(scenarioBurst, zoneRun.served), "")
	r.setValue("cold_overload", float64(fallen), "0")
	r.setValue("shed", sum(func(s zoneRun) int { return s.shed }), "")
	r.setValue("shed_order_wrong", sum(func(s zoneRun) int { return s.misordered })/max(sum(func(s zoneRun) int { return s.shedding }), 1), "0, of the seconds of gateways in which the ladder sheds")
	r.setValue("refused_order_wrong", sum(func(s zoneRun) int { return s.rejectedMisordered }), "seconds, with what the module refuses later")
	r.setValue("spill_over_limit_s", sum(func(s zoneRun) int { return s.overSpillLimit }), "0")
	r.setValue("worst_loss_of_a_scene", worse, "")
	return r, comparePlan(ctx, gateway, r, progress)
}

func (s zoneRun) served() float64 { return s.servedShare }

func warmUpSeconds() float64 {
	return float64(emulator.Warehouse(1, 1, 1, 1).Settings.Constraints.SlowStartPeriod) / float64(rules.Second)
}

func (sc zoneScenario) play(plan bool, static *float64, seed uint64) zoneRun {
	s := emulator.Warehouse(zoneGateways, zoneEngines, sc.load, seed)
	s.Zones, s.Placement, s.Faults, s.StaticHomeShare = zoneCount, sc.placement, sc.faults, static
	if sc.placement != nil {
		s.Zones = slices.Max(sc.placement) + 1
	}
	s.Settings.Penalties.CrossZone = 0.05
	set := zones.Defaults()
	if sc.configure != nil {
		sc.configure(&set)
	}
	if plan {
		s.ZoneFailover = &set
	}
	b := emulator.New(s).Run()
	asked := 0
	for i := range s.Classes {
		asked += b.Class(i).Requested
	}
	run := zoneRun{servedShare: b.ServedShare(sc.from, sc.to), crossZone: float64(b.CrossZone) / float64(max(1, b.Attempts)), collapses: b.OverloadCollapses,
		amplification: float64(b.Attempts) / float64(max(1, asked)), shed: b.Shed,
		probes: float64(b.Probes) / zoneGateways / (float64(s.Duration) / float64(rules.Second))}
	own := float64(zoneGateways) / float64(s.Zones)
	third := lostAt + 2*flapInterval*toleratedFlaps
	for _, m := range b.Transitions {
		if m.Zone == 0 {
			run.transitions += 1 / own
			if m.At >= third && m.At < third+2*flapInterval*(flaps-toleratedFlaps) {
				run.lateTransitions += 1 / own
			}
		}
	}
	former, back := b.ServedShare(4, int(lostAt/rules.Second)), int((lostAt+lostFor)/rules.Second)
	for back+int(run.recoverySeconds) < sc.to && b.ServedShare(back+int(run.recoverySeconds), back+int(run.recoverySeconds)+1) < 0.95*former {
		run.recoverySeconds++
	}
	if plan {
		run.overSpillLimit = secondsOverSpillLimit(b, set)
		run.misordered, run.shedding = b.MisorderedSeconds, b.SheddingSeconds
		run.rejectedMisordered = misorderedSeconds(b, set, func(s *emulator.Second) []int { return s.Rejected })
	}
	return run
}

// secondsOverSpillLimit counts the seconds in which a zone got more foreign load than the limit of spill allows.
func secondsOverSpillLimit(b *emulator.Metrics, set zones.Settings) (n int) {
	if set.SpilloverLimit >= 1 {
		return 0
	}
	for _, sec := range b.Seconds[:len(b.Seconds)-1] {
		for z, foreign := range sec.CrossZoneWork {
			if sec.Capacity[z] > 0 && foreign > set.SpilloverLimit*sec.Capacity[z] {
				n++
			}
		}
	}
	return n
}

const (
	orderSlack    = 0.05 // by which the part refused of what earns more may pass that of what earns less, within a second
	orderMinTries = 20   // first tries of a kind that tell a part
)

// misorderedSeconds counts the seconds in which a larger part was turned away of first tries that earn more for their told work than of some
// that earn less.
func misorderedSeconds(b *emulator.Metrics, set zones.Settings, of func(*emulator.Second) []int) (n int) {
	if !set.SheddingEnabled {
		return 0
	}
	for i := range b.Seconds {
		sec := &b.Seconds[i]
		least, wrong := 1.0, false // of what earns less
		for rung, tried := range sec.FirstTries {
			if tried < orderMinTries {
				continue
			}
			part := float64(of(sec)[rung]) / float64(tried)
			wrong = wrong || part > least+orderSlack
			least = min(least, part)
		}
		if wrong {
			n++
		}
	}
	return n
}

// comparePlan holds the plan against what processes do: a zone of three is lost and comes back.
func comparePlan(ctx context.Context, gateway string, r *Report, progress io.Writer) error {
	gateway, remove, err := GatewayProgram(ctx, gateway)
	if err != nil {
		return err
	}
	defer remove()
	const at, away, length, unlisted = 4, 6, 24, 2
	text := ""
	for _, name := range []string{"hall-a", "hall-b", "hall-c"} {
		text += fmt.Sprintf("zone %q {\n  gateways = 2\n  engines = 2\n}\n", name)
	}
	text += fmt.Sprintf("cores = 8\nload = 0.5\ncold = \"6s\"\nlength = \"%ds\"\noperator = \"sites {\\n  ramp = \\\"4s\\\"\\n}\\n\"\n", length)
	text += fmt.Sprintf("fault \"lose\" {\n  of = \"hall-a\"\n  at = \"%ds\"\n  for = \"%ds\"\n  unlisted = \"%ds\"\n}\n", at, away, unlisted)
	script, err := harness.ParseScript([]byte(text), "sites.hcl")
	if err != nil {
		return err
	}
	fmt.Fprintf(progress, "processes, %v\n", script.Length)
	b, err := harness.Run(ctx, gateway, *script, "")
	if err != nil {
		return err
	}
	set := zones.Defaults()
	set.RecoveryRamp = 4 * rules.Second
	whole := float64(len(script.Zones) * 2 * script.Cores)
	sc := zones.Scenario{Classes: []zones.ClassSpec{{Name: "all", DemandFraction: 1, ValuePerCoreSecond: 1}}, LostZones: []int{0}, LostAt: at * rules.Second, ReturnAt: (at + away) * rules.Second,
		UnlistAfter: unlisted * rules.Second, ClientsMoveAfter: rules.Second / 10, ColdSpeed: script.ColdFrom, WarmupTime: rules.Time(script.Cold / time.Microsecond),
		Duration: length * rules.Second}
	for _, z := range script.Zones {
		sc.Zones = append(sc.Zones, zones.ZoneSpec{Name: z.Name, Cores: whole / 3, Demand: script.Load * whole / 3})
	}
	planned := zones.Simulate(set, sc)
	worst := 0.0
	for _, span := range []struct {
		what     string
		from, to int
	}{{"before", 1, at}, {"lost", at + 2, at + away}, {"returning", at + away + 3, at + away + 7}, {"after", at + away + 9, length}} {
		is, sum := make([]float64, len(sc.Zones)), 0.0
		for _, m := range planned[span.from:min(span.to, len(planned))] {
			for z := range m.Zones {
				is[z] += m.Zones[z].OwnLoad + m.Zones[z].ForeignLoad
				sum += m.Zones[z].OwnLoad + m.Zones[z].ForeignLoad
			}
		}
		did := b.WorkByZone(span.from, span.to)
		for z := range is {
			is[z] /= max(sum, 1e-9)
			worst = max(worst, math.Abs(is[z]-did[z]))
		}
		r.addRow("processes, "+span.what, "on", fmt.Sprintf("%.3f", b.ServedShare(span.from, span.to)), "-", fmt.Sprintf("plan %.2f", is), "-", "-", fmt.Sprintf("did %.2f", did), "-")
	}
	r.setValue("plan_error", worst, "0.1 or less")
	r.setValue("processes_worth", b.ServedShare(at, length), "")
	r.setValue("processes_breaches", float64(len(b.Violations)), "0")
	r.setValue("processes_amplification", b.Amplification(), "1.2 or less")
	for _, x := range b.Violations {
		r.addRow("breach", x)
	}
	return nil
}

func column(runs []zoneRun, of func(zoneRun) float64) []float64 {
	out := make([]float64, len(runs))
	for i, run := range runs {
		out[i] = of(run)
	}
	return out
}

// median is the middle of some values, or the mean of the two in the middle.
func median(of []float64) float64 {
	if len(of) == 0 {
		return math.NaN()
	}
	s := slices.Sorted(slices.Values(of))
	return (s[(len(s)-1)/2] + s[len(s)/2]) / 2
}
