package lab

import (
	"context"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"sync"

	"foxlane/internal/emu"
	"foxlane/internal/zones"
	"foxlane/rules"
)

// This file measures the plan for the loss of a zone on the modelled fleet: the same seeds with the plan and without.

const (
	siteSeeds    = 10
	siteGateways = 300
	siteEngines  = 36
	siteZones    = 3
	lostAt       = 8 * rules.Second
	lostFor      = 8 * rules.Second
	flapEvery    = 2 * rules.Second
	flaps        = 6
)

type siteScene struct {
	name   string
	load   float64
	faults []emu.Fault
	from   int // seconds that count
	to     int
}

var siteScenes = []siteScene{
	{"calm", 0.8, nil, 4, 25},
	{"a zone is lost and returns cold", 0.55, []emu.Fault{emu.LoseZone(lostAt, 0, 3*rules.Second, lostFor)}, 8, 27},
	{"a zone flaps every 2 s", 0.55, []emu.Fault{emu.Flap(lostAt, 0, flaps, flapEvery)}, 8, 27},
}

// siteRun is one run with the plan, or without.
type siteRun struct {
	share, cross float64
	fallen       int
	moves        float64 // states that the zone entered, at each of its own gateways: others hardly send there
	recovered    float64 // seconds from a return until 0.95 of the former worth is served again
}

// MeasureSites plays the loss of a zone to 300 gateways in virtual time, ten seeds a scene, with the plan and without.
func MeasureSites(ctx context.Context, progress io.Writer) (*Report, error) {
	r := newReport("sites", "scene", "plan", "share of worth, median", "least", "across zones", "states entered a gateway of the zone", "cold engines pushed over")
	runs := make([][2][siteSeeds]siteRun, len(siteScenes))
	var wait sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i, sc := range siteScenes {
		for plan := range 2 {
			for seed := range siteSeeds {
				wait.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					if ctx.Err() == nil {
						runs[i][plan][seed] = sc.play(plan == 1, uint64(seed)+1)
						fmt.Fprint(progress, ".")
					}
				})
			}
		}
	}
	wait.Wait()
	fmt.Fprintln(progress)
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	fallen := 0
	for i, sc := range siteScenes {
		for plan, seeds := range runs[i] {
			fell := 0
			for _, run := range seeds {
				fell += run.fallen
			}
			if plan == 1 {
				fallen += fell
			}
			shares := pick(seeds, func(s siteRun) float64 { return s.share })
			r.row(sc.name, []string{"off", "on"}[plan], fmt.Sprintf("%.3f", median(shares)), fmt.Sprintf("%.3f", slices.Min(shares)),
				fmt.Sprintf("%.2f", median(pick(seeds, func(s siteRun) float64 { return s.cross }))),
				fmt.Sprintf("%.1f", median(pick(seeds, func(s siteRun) float64 { return s.moves }))), fell)
		}
	}
	ratio := func(scene int, of func(siteRun) float64) float64 {
		ratios := make([]float64, siteSeeds)
		for seed := range siteSeeds {
			ratios[seed] = of(runs[scene][1][seed]) / max(of(runs[scene][0][seed]), 1e-9)
		}
		return median(ratios)
	}
	share := func(s siteRun) float64 { return s.share }
	r.set("worth_calm", ratio(0, share), "0.99 or more of without the plan")
	r.set("cross_share", ratio(0, func(s siteRun) float64 { return s.cross }), "0.5 or less of without the plan")
	r.set("worth_lost_over_off", ratio(1, share), "")
	r.set("worth_lost_site", median(pick(runs[1][1], share)), "")
	r.set("recover_ratio", median(pick(runs[1][1], func(s siteRun) float64 { return s.recovered }))/coldSeconds(), "1.5 or less")
	r.set("worth_flap_over_off", ratio(2, share), "")
	r.set("flap_states", median(pick(runs[2][1], func(s siteRun) float64 { return s.moves }))/flaps, "of each of the zone's gateways, a flap")
	r.set("cold_overload", float64(fallen), "0")
	return r, nil
}

func coldSeconds() float64 {
	return float64(emu.Warehouse(1, 1, 1, 1).Settings.Duties.ColdFor) / float64(rules.Second)
}

func (sc siteScene) play(plan bool, seed uint64) siteRun {
	s := emu.Warehouse(siteGateways, siteEngines, sc.load, seed)
	s.Zones, s.Faults = siteZones, sc.faults
	s.Settings.Fees.CrossZone = 0.05
	if plan {
		set := zones.Defaults()
		s.Sites = &set
	}
	b := emu.New(s).Run()
	run := siteRun{share: b.Share(sc.from, sc.to), cross: float64(b.Cross) / float64(max(1, b.Sends)), fallen: b.Fallen,
		moves: float64(b.Moves) * siteZones / siteGateways}
	former, back := b.Share(4, int(lostAt/rules.Second)), int((lostAt+lostFor)/rules.Second)
	for back+int(run.recovered) < sc.to && b.Share(back+int(run.recovered), back+int(run.recovered)+1) < 0.95*former {
		run.recovered++
	}
	return run
}

func pick(runs [siteSeeds]siteRun, of func(siteRun) float64) []float64 {
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
